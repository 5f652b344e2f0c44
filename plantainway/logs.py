"""Structured logs: one line of key=value pairs for each event."""

import json
import os
import sys

import loguru

LINES_PER_S = 200.0  # a node at letter size writes some 10 a second
BURST_S = 5.0  # the rate may be exceeded for so long
_HIDDEN = frozenset(('key', 'secret', 'authorization'))


def _quote(value) -> str:
    text = str(value)
    if text and not any(char in text for char in ' "=\n\\'):
        return text
    return json.dumps(text)


def _format(record) -> str:
    pairs = ' '.join(
        f'{name}={_quote(value)}'
        for name, value in record['extra'].items()
        if name not in _HIDDEN
    )
    line = (
        f'time={record["time"].isoformat(timespec="milliseconds")} '
        f'level={record["level"].name.lower()} '
        f'event={record["message"]} {pairs}'
    )
    return line.replace('{', '{{').replace('}', '}}').replace('<', r'\<') + (
        '\n'
    )


class BoundedSink:
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines over the rate, and lines for which the descriptor has no room, are
    dropped; their number is written as soon as there is room again.

    Args:
        descriptor: Open file descriptor; made non-blocking.
        clock: Source of monotonic time.
        per_s: Lines a second over some seconds.
    """

    def __init__(self, descriptor: int, clock, per_s: float = LINES_PER_S):
        self._descriptor = descriptor
        self._clock = clock
        self._per_s = per_s
        self._allowance = per_s * BURST_S
        self._filled_at = clock.now()
        self._rest = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line or drops it.

        Args:
            line: The line with its end.
        """
        now = self._clock.now()
        self._allowance = min(
            self._allowance + (now - self._filled_at) * self._per_s,
            self._per_s * BURST_S,
        )
        self._filled_at = now
        if self._allowance < 1 or not self._flush():
            self.dropped += 1
            return
        self._allowance -= 1
        if self.dropped:
            note = f'level=warning event=log_dropped lines={self.dropped}\n'
            if not self._send(note.encode()):
                self.dropped += 1
                return
            self.dropped = 0
        if not self._send(line.encode(errors='replace')):
            self.dropped += 1

    def _flush(self) -> bool:
        """Writes the rest of a line that was cut.

        Returns:
            Whether nothing is left of it.
        """
        if self._rest:
            rest, self._rest = self._rest, b''
            if not self._send(rest):
                self._rest = rest
        return not self._rest

    def _send(self, data: bytes) -> bool:
        """Writes a line, or its beginning if there is no room for more.

        Returns:
            Whether any of it is written.
        """
        if self._rest:
            return False
        try:
            done = os.write(self._descriptor, data)
        except OSError:
            return False  # no room, or nobody will ever read it
        self._rest = data[done:]
        return True


def configure(level: str = 'INFO', sink=None) -> None:
    """Sends every event at or above a level to one sink.

    Args:
        level: Name of the lowest level to write.
        sink: Stream or callable, standard error by default.
    """
    loguru.logger.remove()
    loguru.logger.add(
        sink or sys.stderr, level=level, format=_format, backtrace=False
    )


def event(name: str, level: str = 'INFO', **pairs) -> None:
    """Writes one event.

    Args:
        name: Name of the event, words joined by underscores.
        level: Level of the event.
        pairs: Values to write, in order.
    """
    loguru.logger.bind(**pairs).log(level, name)
