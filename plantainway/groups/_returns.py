"""How long lost VMs stay away, learned from those that came back."""

import collections

SAMPLES_MAX = 512
PRIOR_S = (2.0, 5.0, 20.0, 60.0, 300.0, float('inf'))


class ReturnModel:
    """Outage lengths in seconds; infinity for a VM that never returned."""

    def __init__(self):
        self._samples = collections.deque(maxlen=SAMPLES_MAX)

    def add(self, away_s: float) -> None:
        """Takes in one finished absence.

        Args:
            away_s: Its length in seconds, infinite if it was final.
        """
        self._samples.append(away_s)

    def samples(self) -> tuple[float, ...]:
        """Returns the lengths to plan with, a prior included."""
        return PRIOR_S + tuple(self._samples)


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
    if not longer:
        return away_s
    best = away_s
    best_cost = repair_s
    total = len(longer)
    waited = 0.0
    for index, length in enumerate(longer):
        wait_s = length - away_s
        if length > repair_s:
            break
        waited += wait_s
        left = total - index - 1
        cost = (waited + left * (wait_s + repair_s)) / total
        if cost < best_cost:
            best_cost = cost
            best = length
    return best
