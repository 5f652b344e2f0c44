"""Incremental parser for server-sent events."""

import dataclasses
import re

# A blank line; lines end with LF, CRLF or CR.
EVENT_END = re.compile(rb'(\n\n|\r\n\r\n|\r\r)')
ID_FIELD = b'id:'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    ``data`` holds its bytes including the blank line that ends it;
    ``event_id`` is ``None`` if it has no numeric id.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Buffers the bytes of a stream and splits them into events."""

    def __init__(self):
        self._buffer = b''

    @property
    def remainder(self) -> bytes:
        """Returns the bytes after the last complete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes to the buffer and returns the events they complete.

        Args:
            data: The next bytes of the stream, of any length.
        """
        parts = EVENT_END.split(self._buffer + data)
        self._buffer = parts.pop()
        return [
            Event(block + end, _parse_event_id(block))
            for block, end in zip(parts[::2], parts[1::2])
        ]


def _parse_event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
