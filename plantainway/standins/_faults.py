"""Switches that make a stand-in fail."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Faults:
    """Faults of one stand-in.

    ``slow_s`` delays every answer, ``lost_replies`` counts the next writes
    whose reply is lost after they took effect, ``lost_requests`` the next
    ones that are lost before, ``lag_s`` makes lists and loads old.
    """

    outage: bool = False
    slow_s: float = 0.0
    lost_replies: int = 0
    lost_requests: int = 0
    lag_s: float = 0.0

    def take_lost_reply(self) -> bool:
        """Tells whether the reply at hand is to be lost."""
        if self.lost_replies > 0:
            self.lost_replies -= 1
            return True
        return False

    def take_lost_request(self) -> bool:
        """Tells whether the request at hand is to be lost."""
        if self.lost_requests > 0:
            self.lost_requests -= 1
            return True
        return False

    async def delay(self) -> None:
        """Waits as long as an answer is to be delayed."""
        if self.slow_s:
            await asyncio.sleep(self.slow_s)


def set_faults(faults: Faults, values: dict) -> None:
    """Changes switches by name.

    Args:
        faults: Switches to change.
        values: New values; unknown names are refused.

    Raises:
        KeyError: If a name is unknown.
    """
    known = {field.name for field in dataclasses.fields(faults)}
    unknown = set(values) - known
    if unknown:
        raise KeyError(', '.join(sorted(unknown)))
    for name, value in values.items():
        setattr(faults, name, value)
