"""The parts of prompts and the requests that are refused, and until when."""

from plantainway import errors
from plantainway.quarantine import _evidence

QUARANTINE_S = 600.0
# After its quarantine one crash is enough to quarantine a part again.
PROBATION_S = 600.0
PARTS_MAX = 64
# Times that differ by less come from the way between nodes.
MERGE_TOLERANCE_S = 2.0


class Quarantine:
    """Parts of prompts, and whole requests, on which upstreams crash.

    A whole request is kept like a part, under its fingerprint. Requests with
    such a part are refused for ``QUARANTINE_S``; then the part is on probation
    for ``PROBATION_S`` and is forgotten after that. At most ``PARTS_MAX``
    parts are kept, those with the latest end of quarantine.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._ends_at: dict[str, float] = {}

    def find(self, parts) -> str | None:
        """Returns the first of the parts that is quarantined, if any.

        Args:
            parts: Ids of parts.
        """
        if not self._ends_at:
            return None
        now = self._clock.now()
        for part in parts:
            if self._ends_at.get(part, now) > now:
                return part
        return None

    def ensure_allowed(self, parts) -> None:
        """Raises an error if one of the parts is quarantined.

        Args:
            parts: Ids of parts.

        Raises:
            NotRunError: With reason ``quarantined`` and the end of the
                quarantine as the time to retry.
        """
        part = self.find(parts)
        if part is not None:
            raise errors.NotRunError(
                f'upstreams crash on {_describe(part)}',
                'route',
                reason='quarantined',
                retry_after_s=self._ends_at[part] - self._clock.now(),
            )

    def is_on_probation(self, part: str) -> bool:
        """Returns whether a part was quarantined and is not any more.

        Args:
            part: Id of the part.
        """
        ends_at = self._ends_at.get(part)
        return (
            ends_at is not None
            and ends_at <= self._clock.now() < ends_at + PROBATION_S
        )

    def add(self, part: str) -> None:
        """Quarantines a part from now on.

        Args:
            part: Id of the part.
        """
        self.merge({part: int(QUARANTINE_S * 1000)})

    def merge(self, remaining_ms: dict[str, int]) -> bool:
        """Adds parts that another node knows, or prolongs their quarantine.

        Args:
            remaining_ms: Milliseconds to the end of the quarantine by part,
                negative on probation.

        Returns:
            Whether anything has changed.
        """
        now = self._clock.now()
        changed = False
        for part, ms in remaining_ms.items():
            ends_at = now + min(ms / 1000, QUARANTINE_S)
            known = self._ends_at.get(part, float('-inf'))
            if (
                ends_at > known + MERGE_TOLERANCE_S
                and now < ends_at + PROBATION_S
            ):
                self._ends_at[part] = ends_at
                changed = True
        if changed:
            self._drop_excess()
        return changed

    def _drop_excess(self) -> None:
        ends = sorted(self._ends_at.items(), key=lambda item: -item[1])
        self._ends_at = dict(ends[:PARTS_MAX])

    def ids(self) -> list[str]:
        """Returns the parts that are quarantined or on probation."""
        return sorted(self._ends_at)

    def remaining_ms(self) -> dict[str, int]:
        """Returns the parts as ``merge`` takes them, and drops ended ones."""
        if not self._ends_at:
            return {}
        now = self._clock.now()
        self._ends_at = {
            part: ends_at
            for part, ends_at in self._ends_at.items()
            if now < ends_at + PROBATION_S
        }
        return {
            part: int((ends_at - now) * 1000)
            for part, ends_at in self._ends_at.items()
        }


def _describe(part: str) -> str:
    if part.startswith(_evidence.FINGERPRINT_PREFIX):
        return part
    return f'part {part} of the prompt'
