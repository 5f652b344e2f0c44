"""Selects the log lines that explain the course of one request."""

import dataclasses
import json
import re

PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
GROUP_EVENTS = frozenset(('form', 'open', 'close', 'disband'))
UPSTREAM_EVENTS = frozenset(
    ('engine_lost', 'upstream_gone', 'upstream_failed', 'stray_member')
)
STATE_EVENTS = frozenset(
    ('store_lost', 'store_regained', 'leadership_taken', 'leadership_lost')
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One logged event; ``source`` is the name of the log file."""

    source: str
    time: str
    event: str
    pairs: dict[str, str]

    def __str__(self) -> str:
        pairs = ' '.join(
            f'{name}={value}'
            for name, value in self.pairs.items()
            if name not in ('time', 'event', 'level')
        )
        return f'{self.time} {self.source} {self.event} {pairs}'


def parse(source: str, text: str) -> LogLine | None:
    """Parses one line of a structured log.

    Args:
        source: Name of the file.
        text: The line; any text before its first pair is ignored.

    Returns:
        The parsed line, or ``None`` if it has no time or no event.
    """
    pairs = {}
    for name, value in PAIR_PATTERN.findall(text):
        if value.startswith('"'):
            try:
                value = json.loads(value)
            except ValueError:
                value = value.strip('"')
        pairs.setdefault(name, value)
    if 'event' not in pairs or 'time' not in pairs:
        return None
    return LogLine(source, pairs['time'], pairs['event'], pairs)


def explain(request: str, lines) -> list[LogLine]:
    """Returns the lines that explain a request, sorted by time.

    These are the request's own lines, those about the groups and upstreams
    that it was sent to, and those about the store and the leader, up to the
    last line of the request.

    Args:
        request: Id of the request.
        lines: Lines of all logs, in any order.
    """
    lines = sorted(lines, key=lambda line: line.time)
    own = [line for line in lines if line.pairs.get('request') == request]
    if not own:
        return []
    groups = {line.pairs.get('group') for line in own} - {None, ''}
    upstreams = {line.pairs.get('upstream') for line in own} - {None, ''}
    ended_at = own[-1].time
    found = []
    for line in lines:
        if line.time > ended_at:
            break
        if line in own or _is_related(line, groups, upstreams):
            found.append(line)
    return found


def _is_related(line: LogLine, groups: set, upstreams: set) -> bool:
    if line.event in STATE_EVENTS:
        return True
    if line.event in GROUP_EVENTS:
        return line.pairs.get('group') in groups
    return (
        line.event in UPSTREAM_EVENTS
        and line.pairs.get('upstream') in upstreams
    )
