"""Tests of streamed answers: logged silences, pauses and deadlines."""

import asyncio
import socket
import time
import types
from unittest import mock

import pytest

from plantainway import clock as clocks
from plantainway import errors
from plantainway import loops
from plantainway.requests import _chat
from plantainway.requests import _retries
from plantainway import upstreams


@pytest.mark.parametrize(
    'pieces_at, ends_at, logged',
    [
        ([], 0.05, []),
        ([], 0.2, [0]),
        ([0.05, 0.1, 0.15], 0.2, []),
        ([0.05], 0.25, [1]),
        ([0.15], 0.35, [0, 1]),
    ],
)
async def test_silent_stream_is_logged_once_a_silence(
    monkeypatch, pieces_at, ends_at, logged
):
    """With the position of the last piece that has arrived."""
    found = []
    monkeypatch.setattr(_chat, 'SILENCE_LOG_S', 0.1)
    monkeypatch.setattr(
        _chat.logs,
        'event',
        lambda name, _level, position, **inputs: found.append(position),
    )
    silence = _chat._SilenceLog(req='r')
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    for number, at in enumerate(pieces_at, 1):
        await asyncio.sleep(began_at + at - loop.time())
        silence.restart(number)
    await asyncio.sleep(began_at + ends_at - loop.time())
    silence.stop()
    await asyncio.sleep(0.15)
    assert found == logged


class _Engine:
    """Engine whose events are bytes in a socket.

    ``!`` ends the answer, ``?`` the attempt.
    """

    def __init__(self, reader):
        self._reader = reader
        self.cancelled = []

    async def chat(self, call):
        """Yields an event for each byte."""
        position = 0
        while (byte := await self._reader.readexactly(1)) != b'!':
            if byte == b'?':
                raise errors.UpstreamError('aborted', 'chat', 'vm-1')
            position += 1
            yield upstreams.ChatEvent(call.attempt, position, byte, False)
        yield upstreams.ChatEvent(call.attempt, position, b'[DONE]', True)

    async def cancel(self, attempt):
        """Notes that the attempt was cancelled."""
        self.cancelled.append(attempt)


@pytest.fixture
async def engine_end():
    """The engine, and the end of the socket at which it answers."""
    own_end, far_end = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=own_end)
    with far_end:
        yield _Engine(reader), far_end
        writer.close()


def make_runner(engine):
    """Returns a runner of chat requests with one copy, of one engine."""
    clock = clocks.MonotonicClock()
    copy = types.SimpleNamespace(
        copy_id='c', token=1, members=(('vm-1', 'b'),), state='serving'
    )
    slot = types.SimpleNamespace(copy=copy, engine_priority=0)

    async def acquire(_req, excluded, _digests):
        if excluded:
            raise errors.NotRunError('none', 'route', reason='unavailable')
        return slot

    view = types.SimpleNamespace(
        prefix_index=mock.Mock(),
        inter_token_latency=mock.Mock(),
        objects=types.SimpleNamespace(
            get=lambda *_names: types.SimpleNamespace(address='')
        ),
        verdict_for=lambda _copy: types.SimpleNamespace(
            oldest_seen_at=clock.now()
        ),
    )
    parts = types.SimpleNamespace(
        clock=clock,
        evidence=mock.Mock(),
        engines=lambda *_names: engine,
        spawn=asyncio.ensure_future,
        copies={'c': copy},
        vm_observations=mock.Mock(),
    )
    dispatcher = types.SimpleNamespace(
        acquire=acquire, release=lambda _slot: None
    )
    return _chat.ChatRunner(view, parts, _retries.RetryBudget(), dispatcher)


def make_request(left_s):
    """Returns a chat request."""
    deadline = clocks.MonotonicClock().now() + left_s
    return _chat.ChatRequest('r', 'a', 1, 'm', {}, deadline)


@pytest.mark.parametrize('length', [1, 40])
async def test_answer_that_came_before_the_deadline_is_whole(
    engine_end, length
):
    """Guards against answers cut off for the node's own pause."""
    engine, far_end = engine_end

    async def read():
        return [piece.end async for piece in runner.run(make_request(0.2))]

    runner = make_runner(engine)
    task = asyncio.ensure_future(read())
    await asyncio.sleep(0.02)
    far_end.send(b'x' * length + b'!')
    time.sleep(0.4)
    assert await task == [False] * length + [True]
    assert engine.cancelled == []


@pytest.mark.parametrize('ends', [False, True])
async def test_attempt_is_cancelled_at_the_deadline(engine_end, ends):
    """Whether the engine goes on after it, or ends the attempt itself."""
    engine, far_end = engine_end
    far_end.send(b'x')
    if ends:
        asyncio.get_running_loop().call_later(
            0.2 + loops.LISTEN_S / 4, far_end.send, b'?'
        )
    runner = make_runner(engine)
    with pytest.raises(errors.DeadlineError):
        async for _piece in runner.run(make_request(0.2)):
            pass
    await asyncio.sleep(0)
    assert len(engine.cancelled) == 1


async def test_silent_attempt_goes_on(engine_end, monkeypatch):
    """Guards against an attempt that is ended for its silence."""
    monkeypatch.setattr(_chat, 'SILENCE_LOG_S', 0.05)
    engine, far_end = engine_end
    loop = asyncio.get_running_loop()
    for number, data in enumerate((b'x', b'x', b'!'), 1):
        loop.call_later(0.2 * number, far_end.send, data)
    runner = make_runner(engine)
    pieces = [piece.end async for piece in runner.run(make_request(9.0))]
    assert pieces == [False, False, True]
