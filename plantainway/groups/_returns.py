"""Empirical distribution of how long lost VMs stay away."""

import collections

SAMPLES_MAX = 512
PRIOR_ABSENCES_S = (2.0, 5.0, 20.0, 60.0, 300.0, float('inf'))
PRIOR_LOSSES = 1.0
PRIOR_EXPOSURE_S = 2 * 86400.0  # one loss in two days
ABSENCE_CAP_S = 3600.0  # planning horizon: longer absences count as this long


class AbsenceModel:
    """Estimates absence durations and loss rates from past absences.

    The duration of an absence is the time until the VM is back with the
    same boot. If it comes back with a new boot, its copy has to be reloaded
    in any case, and the absence counts as infinite. A VM that has not come
    back is not counted yet.
    """

    def __init__(self):
        self._samples = collections.deque(PRIOR_ABSENCES_S, maxlen=SAMPLES_MAX)
        self._losses = PRIOR_LOSSES
        self._exposure_s = PRIOR_EXPOSURE_S

    def add_absence(self, away_s: float) -> None:
        """Adds a finished absence to the samples.

        An infinite one also counts as a loss.

        Args:
            away_s: Duration in seconds, infinite if the VM did not return
                with the same boot.
        """
        self._samples.append(away_s)
        if away_s == float('inf'):
            self._losses += 1

    def add_exposure(self, vm_seconds: float) -> None:
        """Adds observation time, over which the loss rate is computed.

        Args:
            vm_seconds: Number of observed VMs times seconds.
        """
        self._exposure_s += vm_seconds

    def losses_per_vm_s(self) -> float:
        """Returns the losses per VM and second that require a reload."""
        return self._losses / self._exposure_s

    def samples(self) -> tuple[float, ...]:
        """Returns the newest absence durations in seconds.

        The prior is included until newer samples displace it.
        """
        return tuple(self._samples)

    def expected_remaining_s(self, away_s: float) -> float:
        """Returns the expected remaining seconds of an absence.

        Each sample counts for at most ``ABSENCE_CAP_S``.

        Args:
            away_s: Duration so far in seconds.
        """
        longer = [x - away_s for x in self._samples if x > away_s]
        if not longer:
            return ABSENCE_CAP_S
        return sum(min(x, ABSENCE_CAP_S) for x in longer) / len(longer)


def best_absence_limit_s(samples, away_s: float, repair_s: float) -> float:
    """Returns the absence duration at which to stop waiting and repair.

    Minimises the expected downtime ``E[min(T, w)] + P(T > w) * repair``
    over the sampled durations T that exceed the current absence. Waiting
    is limited to the downtime of a repair, which bounds the total to twice
    the optimum in hindsight (ski rental problem).

    Args:
        samples: Durations of past absences in seconds.
        away_s: Duration of the current absence so far in seconds.
        repair_s: Downtime of a repair in seconds.

    Returns:
        Seconds since the start of the absence after which to repair.
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
