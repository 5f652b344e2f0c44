"""Limits on the number and the duration of model loads and joins."""

import math

from plantainway import deployment

CONCURRENT_LOADS_RATIO = 4 / 3  # of the loads that run at full speed
# Loads before the first request are so short that the store would idle
# between them.
STARTUP_LOADS_RATIO = 2.5
LOAD_RATE_RATIO = 0.8  # of the load rate of the weight store
MAX_LOAD_TIME_RATIO = 1.6  # concurrent loads slow each other down
MAX_STARTUP_LOAD_S = 12.0  # before the first request
REJOIN_S = 0.2  # for adopted groups whose model is unknown


class LoadPacer:
    """Limits model loads to the rate that the weight store can serve.

    Args:
        find: Function that returns the upstream of a name, ``None`` if it
            is unknown.

    Attributes:
        profile: The engine profile, set before the first use.
        traffic_seen: Whether this node, as the leader, has been told of any
            work of the service since its process started.
    """

    def __init__(self, find):
        self._find = find
        self._load_starts: list[float] = []
        self.profile: deployment.EngineProfile | None = None
        self.traffic_seen = False

    def record_load_start(self, now: float) -> None:
        """Records the start of a load, which counts against the rate.

        Args:
            now: Monotonic seconds.
        """
        self._load_starts.append(now)

    def max_concurrent_loads(self) -> int:
        """Returns how many loads may run at once."""
        ratio = (
            CONCURRENT_LOADS_RATIO
            if self.traffic_seen
            else STARTUP_LOADS_RATIO
        )
        return math.ceil(self.profile.max_concurrent_loads * ratio)

    def load_budget(
        self, engines, groups, loading_spares: int, now: float
    ) -> int:
        """Returns how many loads may start now.

        Until traffic is seen only the number of concurrent loads is limited,
        then also the number of starts per second.

        Args:
            engines: Engines by name.
            groups: Group records by name.
            loading_spares: Number of spares that are loading.
            now: Monotonic seconds.
        """
        loading = loading_spares + _count_loading_members(engines, groups)
        free_loads = max(self.max_concurrent_loads() - loading, 0)
        if not self.traffic_seen:
            return free_loads
        self._load_starts = [at for at in self._load_starts if now - at < 1.0]
        max_starts = max_load_starts(self.profile)
        return min(free_loads, max(max_starts - len(self._load_starts), 0))

    def spare_load_budget(
        self, engines, groups, loading_spares: int, now: float
    ) -> int:
        """Returns how many spares may start to load now.

        A load before the first request takes a tenth of the time of a later
        one, so spares need not wait for each other once no group member is
        loading.

        Args:
            engines: Engines by name.
            groups: Group records by name.
            loading_spares: Number of spares that are loading.
            now: Monotonic seconds.
        """
        if not self.traffic_seen and not _count_loading_members(
            engines, groups
        ):
            return len(engines)
        return self.load_budget(engines, groups, loading_spares, now)

    def longest_load_s(self) -> float:
        """Returns how long a load of any model may take, in seconds."""
        return max(
            (self.max_load_s(model.name) for model in self.profile.models),
            default=MAX_STARTUP_LOAD_S,
        )

    def max_load_s(self, model: str) -> float:
        """Returns how long a load of a model may take, in seconds.

        Until traffic is seen, and for an unknown model, this is
        ``MAX_STARTUP_LOAD_S``.

        Args:
            model: Name of the model.
        """
        if not self.traffic_seen:
            return MAX_STARTUP_LOAD_S
        found = self.profile.find_model(model)
        return (
            found.load_s * MAX_LOAD_TIME_RATIO if found else MAX_STARTUP_LOAD_S
        )

    def join_time_s(self, record) -> float:
        """Returns the seconds that members of a group may take to be ready.

        This is the join time of the model if all members have its weights,
        else its maximum load time, and ``REJOIN_S`` if the model is unknown.

        Args:
            record: The group.
        """
        model = self.profile.find_model(record.model)
        if model is None:
            return REJOIN_S
        staged = all(
            (found := self._find(name)) is not None
            and record.model in found.staged
            for name in record.members
        )
        return model.warmup_s if staged else self.max_load_s(record.model)


def max_load_starts(profile) -> int:
    """Returns how many loads may start in a second once traffic is seen.

    Args:
        profile: The engine profile.
    """
    return int(profile.loads_per_s * LOAD_RATE_RATIO)


def _count_loading_members(engines, groups) -> int:
    """Returns how many members of forming groups have yet to load."""
    return sum(
        name in engines and record.model not in engines[name].upstream.staged
        for record in groups.values()
        if not record.opened
        for name in record.members
    )
