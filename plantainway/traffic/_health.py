"""Upstreams that fail requests are left out for a while.

Answers the load of partly failing, lying and flapping upstreams: only the
outcomes of requests count, never what the upstream says of its health.
"""

import dataclasses

FAILURES_IN_ROW = 2
RATE_WEIGHT = 0.2  # weight of one outcome in the failure rate
RATE_MAX = 0.5  # an upstream that fails half of its requests is left out
EJECT_S = 1.0  # first time; doubles with each further one
EJECT_MAX_S = 8.0
FORGET_S = 20.0  # ejections older than this no longer lengthen the next one


@dataclasses.dataclass(slots=True)
class _Record:
    """Outcomes of one upstream; times in monotonic seconds."""

    in_row: int = 0
    rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    probing: bool = False


class HealthTracker:
    """Outcomes of requests by upstream.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def note_served(self, name: str) -> None:
        """Notes an answer in time.

        Args:
            name: Name of the upstream.
        """
        record = self._records.get(name)
        if record is None:
            return
        record.in_row = 0
        record.rate *= 1 - RATE_WEIGHT
        if record.rate < RATE_WEIGHT / 4 and (
            self._clock.now() > record.ejected_until + FORGET_S
        ):
            del self._records[name]

    def note_failed(self, name: str, certain: bool = False) -> bool:
        """Notes a failed request.

        Args:
            name: Name of the upstream.
            certain: Whether one failure is proof enough.

        Returns:
            Whether the upstream is now left out that was not before.
        """
        now = self._clock.now()
        record = self._records.setdefault(name, _Record())
        record.in_row += 1
        record.rate += RATE_WEIGHT * (1 - record.rate)
        bad = certain or (
            record.in_row >= FAILURES_IN_ROW or record.rate > RATE_MAX
        )
        if not bad or now < record.ejected_until:
            return False
        if now > record.ejected_until + FORGET_S:
            record.ejections = 0
        length_s = min(EJECT_S * 2**record.ejections, EJECT_MAX_S)
        record.ejections += 1
        record.ejected_until = now + length_s
        record.in_row = FAILURES_IN_ROW - 1  # the next failure ejects again
        return True

    def forget(self, name: str) -> None:
        """Forgets an upstream that is gone.

        Args:
            name: Name of the upstream.
        """
        self._records.pop(name, None)

    def is_ejected(self, name: str) -> bool:
        """Tells whether an upstream is left out now.

        Args:
            name: Name of the upstream.
        """
        record = self._records.get(name)
        return record is not None and self._clock.now() < record.ejected_until

    def usable(self, candidates) -> list:
        """Returns the candidates that are not left out, or all.

        Args:
            candidates: Upstreams; a service is never left without any.
        """
        found = [item for item in candidates if not self.is_ejected(item.name)]
        return found or list(candidates)
