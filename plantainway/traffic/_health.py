"""Passive health checks: ejects upstreams that fail requests for a while.

Only the outcomes of requests count, never what an upstream reports about its
own health: upstreams may fail in part, flap, or report themselves healthy
while they fail.
"""

import dataclasses

EJECT_AFTER_FAILURES = 2  # consecutive
FAILURE_RATE_WEIGHT = 0.2  # of one outcome in the moving average
MAX_FAILURE_RATE = 0.5  # upstreams that fail more than half are ejected
BASE_EJECTION_S = 1.0  # first ejection; doubles with each further one
MAX_EJECTION_S = 8.0
EJECTION_HISTORY_S = 20.0  # older ejections do not lengthen the next one


@dataclasses.dataclass(slots=True)
class _Outcomes:
    """Recent outcomes of one upstream; times in monotonic seconds."""

    consecutive_failures: int = 0
    failure_rate: float = 0.0
    ejection_count: int = 0
    ejected_until: float = 0.0
    probing: bool = False


class HealthTracker:
    """Tracks the outcomes of requests and ejects failing upstreams.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._outcomes: dict[str, _Outcomes] = {}

    def record_success(self, name: str) -> None:
        """Counts a request that an upstream answered in time.

        Resets its consecutive failures and lowers its failure rate. Does not
        end an ejection.

        Args:
            name: Name of the upstream.
        """
        outcomes = self._outcomes.get(name)
        if outcomes is None:
            return
        outcomes.consecutive_failures = 0
        outcomes.failure_rate *= 1 - FAILURE_RATE_WEIGHT
        if outcomes.failure_rate < FAILURE_RATE_WEIGHT / 4 and (
            self._clock.now() > outcomes.ejected_until + EJECTION_HISTORY_S
        ):
            del self._outcomes[name]

    def record_failure(self, name: str, eject_now: bool = False) -> bool:
        """Counts a failed request and ejects the upstream if it fails often.

        While an upstream is ejected, further failures do not extend the
        ejection. After it, the upstream is ejected again if its next outcome
        is a failure.

        Args:
            name: Name of the upstream.
            eject_now: Whether this failure alone ejects the upstream.

        Returns:
            Whether this failure ejected the upstream.
        """
        now = self._clock.now()
        outcomes = self._outcomes.setdefault(name, _Outcomes())
        outcomes.consecutive_failures += 1
        outcomes.failure_rate += FAILURE_RATE_WEIGHT * (
            1 - outcomes.failure_rate
        )
        is_failing = eject_now or (
            outcomes.consecutive_failures >= EJECT_AFTER_FAILURES
            or outcomes.failure_rate > MAX_FAILURE_RATE
        )
        if not is_failing or now < outcomes.ejected_until:
            return False
        if now > outcomes.ejected_until + EJECTION_HISTORY_S:
            outcomes.ejection_count = 0
        ejection_s = min(
            BASE_EJECTION_S * 2**outcomes.ejection_count, MAX_EJECTION_S
        )
        outcomes.ejection_count += 1
        outcomes.ejected_until = now + ejection_s
        # After the ejection, a single failure ejects the upstream again.
        outcomes.consecutive_failures = EJECT_AFTER_FAILURES - 1
        return True

    def reset(self) -> None:
        """Drops all outcomes, since they show nothing about upstreams."""
        self._outcomes.clear()

    def forget(self, name: str) -> None:
        """Drops the outcomes of an upstream that no longer exists.

        Args:
            name: Name of the upstream.
        """
        self._outcomes.pop(name, None)

    def is_ejected(self, name: str) -> bool:
        """Returns whether an upstream is ejected at the moment.

        Args:
            name: Name of the upstream.
        """
        outcomes = self._outcomes.get(name)
        return (
            outcomes is not None and self._clock.now() < outcomes.ejected_until
        )

    def exclude_ejected(self, candidates) -> list:
        """Returns the upstreams that are not ejected.

        If all are ejected, returns all of them, so that a service is never
        left without upstreams.

        Args:
            candidates: Upstreams to choose from.
        """
        healthy = [
            item for item in candidates if not self.is_ejected(item.name)
        ]
        return healthy or list(candidates)
