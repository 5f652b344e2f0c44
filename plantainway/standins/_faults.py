"""Fault injection of the stand-ins."""

import asyncio
import dataclasses


@dataclasses.dataclass
class InjectedFaults:
    """Faults to inject into one stand-in.

    ``outage`` fails every request, ``slow_s`` delays every response by so
    many seconds. ``lost_replies`` is the number of next writes whose reply
    is lost after they took effect, ``lost_requests`` the number of next
    writes that are lost before they take effect. ``lag_s`` is the age in
    seconds of the lists and loads that are reported.
    """

    outage: bool = False
    slow_s: float = 0.0
    lost_replies: int = 0
    lost_requests: int = 0
    lag_s: float = 0.0

    def consume_lost_reply(self) -> bool:
        """Returns whether to drop this reply, and counts it as dropped."""
        if self.lost_replies > 0:
            self.lost_replies -= 1
            return True
        return False

    def consume_lost_request(self) -> bool:
        """Returns whether to drop this request, and counts it as dropped."""
        if self.lost_requests > 0:
            self.lost_requests -= 1
            return True
        return False

    async def delay(self) -> None:
        """Waits for the injected delay."""
        if self.slow_s:
            await asyncio.sleep(self.slow_s)


def set_faults(faults: InjectedFaults, values: dict) -> None:
    """Sets faults by field name.

    Args:
        faults: Faults to change.
        values: New values by field name.

    Raises:
        KeyError: If a name is unknown; no value is set then.
    """
    known = {field.name for field in dataclasses.fields(faults)}
    unknown = set(values) - known
    if unknown:
        raise KeyError(', '.join(sorted(unknown)))
    for name, value in values.items():
        setattr(faults, name, value)
