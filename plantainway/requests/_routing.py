"""Choice of a copy or a service instance for one request."""

import dataclasses

EJECT_AFTER = 3  # failures in a row
EJECT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get the request now.

    ``load`` is the work it has per slot, reported and since sent;
    ``distance`` is 0 in the same place, 1 in the same region, 2 beyond.
    """

    name: str
    load: float
    distance: int


def choose(candidates, rng):
    """Chooses the better of two random candidates.

    Args:
        candidates: Targets that may get the request.
        rng: Source of randomness.

    Returns:
        The chosen one, ``None`` if there is none.
    """
    if not candidates:
        return None
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=_cost)


def _cost(candidate) -> tuple:
    return (candidate.load + 0.1 * candidate.distance, candidate.name)


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
