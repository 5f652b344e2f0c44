"""Structured logs: one line of key=value pairs for each event."""

import json
import os
import sys

import loguru

LINES_PER_S = 200.0  # at benchmark scale letter a node logs about 10 a second
BURST_S = 5.0  # seconds of the rate that a burst may use at once
_SECRET_NAMES = frozenset(('key', 'secret', 'authorization'))


def _quote(value) -> str:
    text = str(value)
    if text and not any(char in text for char in ' "=\n\\'):
        return text
    return json.dumps(text)


def _format(record) -> str:
    pairs = ' '.join(
        f'{name}={_quote(value)}'
        for name, value in record['extra'].items()
        if name not in _SECRET_NAMES
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
    """Writes lines to a file descriptor without blocking on its reader.

    Lines over the rate limit, and lines that the descriptor can't accept,
    are dropped. Their number is logged once lines can be written again.

    Args:
        descriptor: Open file descriptor; it is set non-blocking.
        clock: Source of monotonic time.
        per_s: Rate limit in lines per second; bursts of ``BURST_S``
            seconds of lines are allowed.
    """

    def __init__(self, descriptor: int, clock, per_s: float = LINES_PER_S):
        self._descriptor = descriptor
        self._clock = clock
        self._per_s = per_s
        self._line_tokens = per_s * BURST_S
        self._refilled_at = clock.now()
        self._unsent = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line, or drops it and counts it in ``dropped``.

        Args:
            line: The line, including its newline.
        """
        now = self._clock.now()
        self._line_tokens = min(
            self._line_tokens + (now - self._refilled_at) * self._per_s,
            self._per_s * BURST_S,
        )
        self._refilled_at = now
        if self._line_tokens < 1 or not self._flush():
            self.dropped += 1
            return
        self._line_tokens -= 1
        if self.dropped:
            note = f'level=warning event=log_dropped lines={self.dropped}\n'
            if not self._send(note.encode()):
                self.dropped += 1
                return
            self.dropped = 0
        if not self._send(line.encode(errors='replace')):
            self.dropped += 1

    def _flush(self) -> bool:
        """Writes the remainder of a partly written line.

        Returns:
            Whether nothing remains to be written.
        """
        if self._unsent:
            unsent, self._unsent = self._unsent, b''
            if not self._send(unsent):
                self._unsent = unsent
        return not self._unsent

    def _send(self, data: bytes) -> bool:
        """Writes a line; keeps the part that the descriptor did not accept.

        Returns:
            Whether any part of the line was written.
        """
        if self._unsent:
            return False
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            return False  # buffer full, or the reader has closed
        self._unsent = data[written:]
        return True


def configure(level: str = 'INFO', sink=None) -> None:
    """Writes all events at or above a level to one sink.

    Args:
        level: Name of the lowest level to write.
        sink: Stream or callable, standard error by default.
    """
    loguru.logger.remove()
    loguru.logger.add(
        sink or sys.stderr, level=level, format=_format, backtrace=False
    )


def event(name: str, level: str = 'INFO', **pairs) -> None:
    """Logs one event as a line of pairs; secret values are left out.

    Args:
        name: Name of the event, words joined by underscores.
        level: Level of the event.
        pairs: Keys and values to log, in order.
    """
    loguru.logger.bind(**pairs).log(level, name)
