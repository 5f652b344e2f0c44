"""How many loads may begin, and how long loads and joins take."""

import math

from plantainway import deployment

STARTING_LOADS_RATIO = 4 / 3  # of those that run at full pace
LOADS_PER_S_PART = 0.8  # of the weight store's rate
LOAD_TIME_RATIO = 1.6  # loads take longer when several run at once
START_LOAD_S = 12.0  # longest load before the first request
JOIN_S = 0.2  # of engines that keep their model


class LoadPacer:
    """Keeps loads within the weight store's rate.

    Args:
        find: Function from a name to the engine, ``None`` if unknown.
    """

    def __init__(self, find):
        self._find = find
        self._starts: list[float] = []
        self.profile: deployment.EngineProfile | None = None
        self.traffic_seen = False

    def note_start(self, now: float) -> None:
        """Notes that a load begins.

        Args:
            now: Monotonic seconds.
        """
        self._starts.append(now)

    def loads_free(self, facts, groups, spares: int, now: float) -> int:
        """Returns how many loads may begin now.

        Args:
            facts: Engines by name.
            groups: Group records by name.
            spares: Spares that are loading.
            now: Monotonic seconds.
        """
        loading = spares + _joining(facts, groups)
        most = math.ceil(
            self.profile.max_concurrent_loads * STARTING_LOADS_RATIO
        )
        free = max(most - loading, 0)
        if not self.traffic_seen:
            return free
        self._starts = [at for at in self._starts if now - at < 1.0]
        rate = int(self.profile.loads_per_s * LOADS_PER_S_PART)
        return min(free, max(rate - len(self._starts), 0))

    def spare_loads_free(self, facts, groups, spares: int, now: float) -> int:
        """Returns how many spares may begin to load now.

        A load that begins before the first request costs a tenth of a later
        one, so that spares don't wait for each other once the groups stand.

        Args:
            facts: Engines by name.
            groups: Group records by name.
            spares: Spares that are loading.
            now: Monotonic seconds.
        """
        if not self.traffic_seen and not _joining(facts, groups):
            return len(facts)
        return self.loads_free(facts, groups, spares, now)

    def longest_load_s(self) -> float:
        """Returns how long a load of any model takes at most."""
        return max(
            (self.load_s(model.name) for model in self.profile.models),
            default=START_LOAD_S,
        )

    def load_s(self, model: str) -> float:
        """Returns how long a load takes at most.

        Args:
            model: Name of the model.
        """
        if not self.traffic_seen:
            return START_LOAD_S
        found = self.profile.find_model(model)
        return found.load_s * LOAD_TIME_RATIO if found else START_LOAD_S

    def expected_s(self, record) -> float:
        """Returns how long the members of a group need to join.

        Args:
            record: The group.
        """
        model = self.profile.find_model(record.model)
        if model is None:
            return JOIN_S
        staged = all(
            (found := self._find(name)) is not None
            and record.model in found.staged
            for name in record.members
        )
        return model.warmup_s if staged else self.load_s(record.model)


def _joining(facts, groups) -> int:
    """Returns how many members of groups that form load their weights."""
    return sum(
        name in facts and record.model not in facts[name].upstream.staged
        for record in groups.values()
        if not record.opened
        for name in record.members
    )
