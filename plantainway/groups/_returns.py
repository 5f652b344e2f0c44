"""How long lost VMs stay away, learned from those that came back."""

import collections

SAMPLES_MAX = 512
PRIOR_S = (2.0, 5.0, 20.0, 60.0, 300.0, float('inf'))
PRIOR_LOSSES = 1.0
PRIOR_EXPOSURE_S = 2 * 86400.0  # one loss in two days
FOREVER_S = 3600.0  # planning horizon for an absence that may never end


class AbsenceModel:
    """Lengths in seconds of absences that ended with the same boot.

    A VM that came back with a new boot, or never, did not return in this
    sense: its copy had to be loaded anew in any case, and its absence
    counts as infinite.
    """

    def __init__(self):
        self._samples = collections.deque(PRIOR_S, maxlen=SAMPLES_MAX)
        self._losses = PRIOR_LOSSES
        self._exposure_s = PRIOR_EXPOSURE_S

    def add_absence(self, away_s: float) -> None:
        """Takes in one finished absence.

        Args:
            away_s: Its length in seconds, infinite if it was final.
        """
        self._samples.append(away_s)
        if away_s == float('inf'):
            self._losses += 1

    def add_exposure(self, vm_seconds: float) -> None:
        """Takes in for how long VMs were under watch.

        Args:
            vm_seconds: Number of VMs times seconds.
        """
        self._exposure_s += vm_seconds

    def losses_per_vm_s(self) -> float:
        """Returns the rate of losses that need a load, for each VM."""
        return self._losses / self._exposure_s

    def samples(self) -> tuple[float, ...]:
        """Returns the lengths to plan with, a prior included."""
        return tuple(self._samples)

    def expected_s(self, away_s: float) -> float:
        """Returns the expected rest of an absence, bounded by an hour.

        Args:
            away_s: Its length so far in seconds.
        """
        longer = [x - away_s for x in self._samples if x > away_s]
        if not longer:
            return FOREVER_S
        return sum(min(x, FOREVER_S) for x in longer) / len(longer)


def best_wait_s(samples, away_s: float, repair_s: float) -> float:
    """Chooses how long to wait for a lost VM before repairing.

    Minimises the expected downtime ``E[min(T, w)] + P(T > w) * repair``
    over the learned lengths T that are longer than the present absence.
    Waiting is capped at the price of not waiting, which bounds the loss
    to twice the best choice in hindsight (ski rental).

    Args:
        samples: Learned lengths in seconds.
        away_s: Length of the present absence so far in seconds.
        repair_s: Downtime that a repair costs, in seconds.

    Returns:
        Total length of the absence, in seconds, at which to repair.
    """
    longer = sorted(length for length in samples if length > away_s)
    total = len(longer)
    best = away_s
    best_cost = repair_s * total
    waited = 0.0
    for index, length in enumerate(longer):
        wait_s = length - away_s
        if wait_s > repair_s:
            break
        waited += wait_s
        left = total - index - 1
        cost = waited + left * (wait_s + repair_s)
        if cost < best_cost:
            best_cost = cost
            best = length
    return best
