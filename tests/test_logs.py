"""The bounded sink: neither a slow reader nor a flood stops a node."""

import os

import pytest

from plantainway import clock as clocks
from plantainway import logs


@pytest.fixture
def clock():
    """A settable clock."""
    return clocks.ManualClock()


@pytest.fixture
def pipe():
    """Both ends of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def _read(reader) -> list[str]:
    os.set_blocking(reader, False)
    data = b''
    while True:
        try:
            more = os.read(reader, 1 << 16)
        except BlockingIOError:
            break
        if not more:
            break
        data += more
    return data.decode().splitlines()


def test_flood_is_bounded_and_told(pipe, clock):
    """Lines over the rate are dropped and counted."""
    sink = logs.BoundedSink(pipe[1], clock, per_s=10.0)
    for number in range(1000):
        sink.write(f'line {number}\n')
    lines = _read(pipe[0])
    assert len(lines) == 10 * logs.BURST_S
    clock.advance(1.0)
    sink.write('after\n')
    assert _read(pipe[0]) == [
        f'level=warning event=log_dropped lines={1000 - len(lines)}',
        'after',
    ]


def test_reader_that_stops_reading_blocks_nothing(pipe, clock):
    """A full pipe loses lines, whole ones, and never waits."""
    sink = logs.BoundedSink(pipe[1], clock, per_s=1e6)
    line = 'x' * 999 + '\n'
    for _number in range(1000):
        sink.write(line)
    assert sink.dropped > 0
    lines = _read(pipe[0])
    assert all(
        len(found) == 999 or 'event=log_dropped' in found
        for found in lines[:-1]
    )
    sink.write('after\n')
    rest = _read(pipe[0])
    assert rest[-1] == 'after'
    assert any('log_dropped' in found for found in rest)


def test_reader_that_is_gone_ends_nothing(pipe, clock):
    """A closed pipe loses lines without an error."""
    reader, writer = os.pipe()
    sink = logs.BoundedSink(writer, clock)
    os.close(reader)
    sink.write('lost\n')
    os.close(writer)
    assert sink.dropped == 1
