"""Load balancing: choice of a copy or service instance for a request."""

import abc
import dataclasses
import statistics

EJECT_FAILURES = 3  # consecutive failures
EJECTION_S = 5.0
# A copy with this fraction of the prompt cached is preferred, up to a load
# per slot.
CACHED_FRACTION_MIN = 0.5
CACHE_PREFERENCE_LOAD_MAX = 0.4
DISTANCE_OTHER_REGION = 2
STRAGGLER_RATIO = 2.0  # inter-token latency over the median of the peers
GAP_EWMA_WEIGHT = 0.1
GAP_SAMPLES_MIN = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A copy that may get the request now.

    Attributes:
        name: Name of the copy.
        load: Estimated requests per slot.
        distance: 0 in the same place, 1 in the same region, 2 elsewhere.
        cached_fraction: Estimated part of the prompt in its cache.
        slowdown: Inter-token latency over the median of its peers, 1
            unless it is a straggler.
        reported_load: Number of requests that it last reported.
        slots: Number of requests that it runs at once.
    """

    name: str
    load: float
    distance: int
    cached_fraction: float = 0.0
    slowdown: float = 1.0
    reported_load: float = 0.0
    slots: int = 1


class BaseChooser(abc.ABC):
    """Load-balancing policy that chooses one of several candidates."""

    @abc.abstractmethod
    def choose(self, candidates: list[Candidate]) -> Candidate | None:
        """Chooses a candidate.

        Args:
            candidates: Copies that may get the request.

        Returns:
            The chosen copy, ``None`` if there are no candidates.
        """


class CacheAwareChooser(BaseChooser):
    """Round robin that prefers cached prompts and skips stragglers.

    A copy that has enough of the prompt cached and little load is chosen
    first. Other copies in another region are used only if there is no nearer
    one. If all copies in reach are stragglers, all candidates are used in
    turn.

    Copies are not ranked by load: reports are late and the same for all
    nodes, so choosing the lowest load would send all nodes to the same
    copy. Load only excludes copies.

    Args:
        rng: Source of randomness for the position to start from.
    """

    def __init__(self, rng):
        self._turn = rng.randrange(1 << 16)

    def choose(self, candidates: list[Candidate]) -> Candidate | None:
        """Chooses a candidate and moves the round robin on."""
        if not candidates:
            return None
        self._turn += 1
        best = max(
            candidates,
            key=lambda item: (item.cached_fraction, -item.load, item.name),
        )
        if (
            best.cached_fraction >= CACHED_FRACTION_MIN
            and best.load < CACHE_PREFERENCE_LOAD_MAX
            and best.slowdown == 1.0
        ):
            return best
        nearest = min(item.distance for item in candidates)
        ordered = sorted(
            (
                item
                for item in candidates
                if item.slowdown == 1.0
                and (
                    item.distance < DISTANCE_OTHER_REGION
                    or nearest == DISTANCE_OTHER_REGION
                )
            ),
            key=lambda item: item.name,
        )
        ordered = ordered or candidates
        return ordered[self._turn % len(ordered)]


class RoundRobinChooser(BaseChooser):
    """Plain round robin; a baseline for benchmarks."""

    def __init__(self):
        self._turn = 0

    def choose(self, candidates: list[Candidate]) -> Candidate | None:
        """Chooses a candidate and moves the round robin on."""
        if not candidates:
            return None
        self._turn += 1
        ordered = sorted(candidates, key=lambda item: item.name)
        return ordered[self._turn % len(ordered)]


class LeastReportedLoadChooser(BaseChooser):
    """Chooses the lowest reported load; a baseline for benchmarks."""

    def choose(self, candidates: list[Candidate]) -> Candidate | None:
        """Chooses a candidate; see the base class."""
        return min(
            candidates,
            key=lambda item: (item.reported_load, item.name),
            default=None,
        )


class InterTokenLatencyTracker:
    """Tracks the mean inter-token latency of each copy.

    A copy whose latency is at least ``STRAGGLER_RATIO`` times the median
    of its peers is a straggler. The mean of a copy is kept until
    ``forget_copy``, even if the copy is reloaded.
    """

    def __init__(self):
        self._gaps: dict[str, tuple[int, float]] = {}

    def record(self, copy_id: str, gap_s: float) -> None:
        """Updates the moving average of a copy with a complete answer.

        Args:
            copy_id: Name of the copy.
            gap_s: Mean time between the pieces of the answer, in seconds.
        """
        count, mean = self._gaps.get(copy_id, (0, gap_s))
        mean += GAP_EWMA_WEIGHT * (gap_s - mean)
        self._gaps[copy_id] = (count + 1, mean)

    def slowdown(self, copy_id: str) -> float:
        """Returns how much slower a straggler is than its peers.

        Args:
            copy_id: Name of the copy.

        Returns:
            Ratio of its latency to the median of the peers; 1 if it is no
            straggler or has too few samples.
        """
        count, mean = self._gaps.get(copy_id, (0, 0.0))
        if count < GAP_SAMPLES_MIN:
            return 1.0
        peers = [
            other
            for name, (number, other) in self._gaps.items()
            if number >= GAP_SAMPLES_MIN and name != copy_id
        ]
        if not peers:
            return 1.0
        ratio = mean / max(statistics.median(peers), 1e-9)
        return ratio if ratio >= STRAGGLER_RATIO else 1.0

    def forget_copy(self, copy_id: str) -> None:
        """Drops the average of a copy, for example after a reload.

        Args:
            copy_id: Name of the copy.
        """
        self._gaps.pop(copy_id, None)


class InstanceHealth:
    """Ejects service instances for ``EJECTION_S`` after repeated failures."""

    def __init__(self):
        self._failures: dict[str, int] = {}
        self._ejected_until: dict[str, float] = {}

    def record_result(self, name: str, failed: bool, now: float) -> None:
        """Records the result of a call, and ejects the instance if needed.

        Args:
            name: Name of the instance.
            failed: Whether the call failed.
            now: Monotonic seconds.
        """
        if not failed:
            self._failures.pop(name, None)
            return
        count = self._failures.get(name, 0) + 1
        self._failures[name] = count
        if count >= EJECT_FAILURES:
            self._ejected_until[name] = now + EJECTION_S
            self._failures[name] = 0

    def usable_instances(self, names, now: float) -> list[str]:
        """Returns the instances that are not ejected.

        Args:
            names: Names of all instances.
            now: Monotonic seconds.

        Returns:
            Names of the usable instances, or all names if every instance
            is ejected.
        """
        usable = [
            name for name in names if self._ejected_until.get(name, 0) <= now
        ]
        return usable or list(names)
