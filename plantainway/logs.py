"""Structured logs: one line of key=value pairs for each event."""

import json
import sys

import loguru

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
