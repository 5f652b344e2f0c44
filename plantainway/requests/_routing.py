"""Choice of a copy or a service instance for one request."""

import abc
import dataclasses
import statistics

EJECT_AFTER = 3  # failures in a row
EJECT_S = 5.0
CACHED_MIN = 0.5  # part of a prompt worth leaving the turn for
CACHED_LOAD_MAX = 0.4  # load per slot up to which that is done
FAR = 2  # distance of another region
STRAGGLER_RATIO = 2.0
PACE_WEIGHT = 0.1
PACE_SAMPLES_MIN = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get the request now.

    ``load`` is the work it has per slot; ``distance`` is 0 in the same
    place, 1 in the same region, 2 beyond; ``cached`` is the part of the
    prompt it is thought to have cached; ``slow`` is its pace against its
    peers', 1 for the usual one; ``reported`` is the load it last reported,
    ``slots`` how many requests it runs at once.
    """

    name: str
    load: float
    distance: int
    cached: float = 0.0
    slow: float = 1.0
    reported: float = 0.0
    slots: int = 1


class BaseChooser(abc.ABC):
    """Chooses one of several candidates."""

    @abc.abstractmethod
    def choose(self, candidates: list[Candidate]) -> Candidate | None:
        """Chooses a candidate.

        Args:
            candidates: Targets that may get the request.

        Returns:
            The chosen one, ``None`` if there is none.
        """


class TurnChooser(BaseChooser):
    """Takes turns, and leaves the turn for a cached prompt or a straggler.

    Loads are known late and by all nodes alike: choosing the lowest sends
    everybody to the same copy. They only bar a copy here, they never rank.

    Args:
        rng: Source of randomness for the first turn.
    """

    def __init__(self, rng):
        self._turn = rng.randrange(1 << 16)

    def choose(self, candidates: list[Candidate]) -> Candidate | None:
        """Chooses a candidate; see the base class."""
        if not candidates:
            return None
        self._turn += 1
        best = max(
            candidates, key=lambda item: (item.cached, -item.load, item.name)
        )
        if (
            best.cached >= CACHED_MIN
            and best.load < CACHED_LOAD_MAX
            and best.slow == 1.0
        ):
            return best
        nearest = min(item.distance for item in candidates)
        ordered = sorted(
            (
                item
                for item in candidates
                if item.slow == 1.0 and (item.distance < FAR or nearest == FAR)
            ),
            key=lambda item: item.name,
        )
        ordered = ordered or candidates
        return ordered[self._turn % len(ordered)]


class RoundRobinChooser(BaseChooser):
    """Takes the candidates in turn; a baseline for measurements."""

    def __init__(self):
        self._turn = 0

    def choose(self, candidates: list[Candidate]) -> Candidate | None:
        """Chooses a candidate; see the base class."""
        if not candidates:
            return None
        self._turn += 1
        ordered = sorted(candidates, key=lambda item: item.name)
        return ordered[self._turn % len(ordered)]


class LeastReportedLoadChooser(BaseChooser):
    """Takes the least reported load; a baseline for measurements."""

    def choose(self, candidates: list[Candidate]) -> Candidate | None:
        """Chooses a candidate; see the base class."""
        return min(
            candidates,
            key=lambda item: (item.reported, item.name),
            default=None,
        )


class PaceBook:
    """How long each copy takes from one piece to the next.

    A copy that is slow against the median of its peers is a straggler.
    """

    def __init__(self):
        self._pace: dict[str, tuple[int, float]] = {}

    def note(self, copy_id: str, gap_s: float) -> None:
        """Takes in the mean gap between the pieces of an answer.

        Args:
            copy_id: Name of the copy.
            gap_s: Seconds.
        """
        count, mean = self._pace.get(copy_id, (0, gap_s))
        mean += PACE_WEIGHT * (gap_s - mean)
        self._pace[copy_id] = (count + 1, mean)

    def slow(self, copy_id: str) -> float:
        """Returns the pace of a copy against its peers, at least 1.

        Args:
            copy_id: Name of the copy.
        """
        count, mean = self._pace.get(copy_id, (0, 0.0))
        if count < PACE_SAMPLES_MIN:
            return 1.0
        peers = [
            other
            for name, (number, other) in self._pace.items()
            if number >= PACE_SAMPLES_MIN and name != copy_id
        ]
        if not peers:
            return 1.0
        ratio = mean / max(statistics.median(peers), 1e-9)
        return ratio if ratio >= STRAGGLER_RATIO else 1.0

    def forget(self, copy_id: str) -> None:
        """Forgets a copy that was loaded anew.

        Args:
            copy_id: Name of the copy.
        """
        self._pace.pop(copy_id, None)


class InstanceHealth:
    """Ejects an instance for a while after failures in a row."""

    def __init__(self):
        self._failures: dict[str, int] = {}
        self._ejected_until: dict[str, float] = {}

    def note(self, name: str, failed: bool, now: float) -> None:
        """Notes the end of one call.

        Args:
            name: Name of the instance.
            failed: Whether it failed.
            now: Monotonic seconds.
        """
        if not failed:
            self._failures.pop(name, None)
            return
        count = self._failures.get(name, 0) + 1
        self._failures[name] = count
        if count >= EJECT_AFTER:
            self._ejected_until[name] = now + EJECT_S
            self._failures[name] = 0

    def usable(self, names, now: float) -> list[str]:
        """Returns the instances that are not ejected.

        Args:
            names: Names of all instances.
            now: Monotonic seconds.

        Returns:
            Their names, all of them if every one is ejected.
        """
        fine = [
            name for name in names if self._ejected_until.get(name, 0) <= now
        ]
        return fine or list(names)
