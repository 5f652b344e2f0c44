"""Tests of BoundedSink: slow readers and bursts never block a node."""

import os

import pytest

from plantainway import clock as clocks
from plantainway import logs


@pytest.fixture
def clock():
    """A clock that the test advances."""
    return clocks.ManualClock()


@pytest.fixture
def pipe():
    """Read and write descriptors of a pipe."""
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


def test_lines_over_rate_limit_are_dropped_and_counted(pipe, clock):
    """Lines over the rate limit are dropped; their number is logged."""
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


def test_full_pipe_does_not_block(pipe, clock):
    """With a full pipe, complete lines are dropped without blocking."""
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


def test_closed_pipe_raises_no_error(pipe, clock):
    """Lines written to a pipe without a reader are dropped."""
    reader, writer = os.pipe()
    sink = logs.BoundedSink(writer, clock)
    os.close(reader)
    sink.write('lost\n')
    os.close(writer)
    assert sink.dropped == 1
