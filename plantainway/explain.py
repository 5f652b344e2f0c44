"""Puts the log lines that explain one request in order."""

import dataclasses
import json
import re

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
GROUP_EVENTS = frozenset(('form', 'open', 'close', 'disband'))
UPSTREAM_EVENTS = frozenset(
    ('engine_lost', 'upstream_gone', 'upstream_failed', 'stray_member')
)
STATE_EVENTS = frozenset(
    ('store_lost', 'store_regained', 'leadership_taken', 'leadership_lost')
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One event of a log; ``source`` names the file."""

    source: str
    time: str
    event: str
    pairs: dict[str, str]

    def __str__(self) -> str:
        rest = ' '.join(
            f'{name}={value}'
            for name, value in self.pairs.items()
            if name not in ('time', 'event', 'level')
        )
        return f'{self.time} {self.source} {self.event} {rest}'


def parse(source: str, text: str) -> LogLine | None:
    """Parses one line of a structured log.

    Args:
        source: Name of the file.
        text: The line; whatever stands before its first pair is left out.

    Returns:
        The line, ``None`` if it is no event.
    """
    pairs = {}
    for name, value in PAIR.findall(text):
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
    """Returns the lines that explain a request, in order of time.

    These are its own lines, those on the groups and upstreams that it was
    sent to, and those on the store and the leader, up to its end.

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
    ended = own[-1].time
    found = []
    for line in lines:
        if line.time > ended:
            break
        if line in own or _concerns(line, groups, upstreams):
            found.append(line)
    return found


def _concerns(line: LogLine, groups: set, upstreams: set) -> bool:
    if line.event in STATE_EVENTS:
        return True
    if line.event in GROUP_EVENTS:
        return line.pairs.get('group') in groups
    return (
        line.event in UPSTREAM_EVENTS
        and line.pairs.get('upstream') in upstreams
    )
