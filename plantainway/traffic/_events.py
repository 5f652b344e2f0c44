"""Events of a stream, split from the bytes as they come."""

import dataclasses

END = b'\n\n'
ID_FIELD = b'id:'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event with its closing blank line.

    ``number`` is its id, ``None`` if it has none.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Collects bytes and gives out whole events."""

    def __init__(self):
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Returns the bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events they complete.

        Args:
            data: Bytes in the order in which they came.
        """
        parts = (self._rest + data).split(END)
        self._rest = parts.pop()
        return [Event(part + END, _number(part)) for part in parts]


def _number(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
