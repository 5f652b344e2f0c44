"""Tests of requests that wait for a slot of a copy."""

import asyncio
import socket
import time
import types

import pytest

from plantainway import clock as clocks
from plantainway import errors
from plantainway.requests import _dispatch

TIMEOUT_S = 0.2
PAUSE_S = 0.4


class _View:
    """One copy with one slot; ``running`` counts the requests that hold it."""

    def __init__(self):
        self.on_change = []
        self.load_estimator = self
        self.running = 0

    def record_sent(self, _vm):
        """Takes the slot."""
        self.running += 1

    def record_ended(self, _vm):
        """Frees the slot."""
        self.running -= 1

    def own_slot_share(self, _model):
        """Returns many slots, so that the predicted wait is short."""
        return 100.0

    def find_candidates(self, _model, _excluded, _digests, _ceiling):
        """Returns the copy, if its slot is free."""
        copy = types.SimpleNamespace(name='c')
        return ([] if self.running else [copy]), True

    def choose(self, candidates):
        """Returns the copy, if it is a candidate."""
        return candidates[0] if candidates else None

    def get_copy(self, _name):
        """Returns the copy."""
        return types.SimpleNamespace(members=(('vm-1', 'b'),))


@pytest.fixture
def view(monkeypatch):
    """A view of one copy; requests wait for its slot for ``TIMEOUT_S``."""
    monkeypatch.setattr(_dispatch, 'QUEUE_TIMEOUT_S', TIMEOUT_S)
    return _View()


@pytest.fixture
async def queued(view):
    """A dispatcher, the slot that a request holds, and one that waits."""
    clock = clocks.MonotonicClock()
    dispatcher = _dispatch.Dispatcher(view, clock)
    req = types.SimpleNamespace(
        model='m', account='a', rank=1, deadline=clock.now() + 60.0
    )
    slot = await dispatcher.acquire(req, set(), ())
    waiting = asyncio.ensure_future(dispatcher.acquire(req, set(), ()))
    await asyncio.sleep(0.01)
    return dispatcher, slot, waiting


@pytest.mark.parametrize('end', ['timeout', 'caller_gone'])
async def test_slot_that_comes_as_the_wait_ends_is_not_lost(view, queued, end):
    """Guards against a copy that gets less and less requests."""
    dispatcher, slot, waiting = queued

    def free():
        dispatcher.release(slot)
        if end == 'caller_gone':
            waiting.cancel()

    asyncio.get_running_loop().call_soon(free)
    if end == 'timeout':
        time.sleep(PAUSE_S)
    found = (await asyncio.gather(waiting, return_exceptions=True))[0]
    if isinstance(found, _dispatch.Slot):
        dispatcher.release(found)
    assert view.running == 0
    assert dispatcher.dump()['m'] == {'waiting': 0, 'running': 0}


@pytest.mark.parametrize(
    'is_freed, rounds', [(True, 0), (True, 5), (False, 0)]
)
async def test_wait_of_a_late_loop(queued, is_freed, rounds):
    """Guards against refusals for the node's own pause."""
    dispatcher, slot, waiting = queued
    answer_end, engine_end = socket.socketpair()
    with answer_end, engine_end:
        reader, writer = await asyncio.open_connection(sock=answer_end)

        async def read_answer():
            await reader.readexactly(1)
            for _round in range(rounds):
                await asyncio.sleep(0)
            dispatcher.release(slot)

        running = asyncio.ensure_future(read_answer())
        await asyncio.sleep(0.01)
        if is_freed:
            engine_end.send(b'x')
        time.sleep(PAUSE_S)
        if is_freed:
            assert isinstance(await waiting, _dispatch.Slot)
        else:
            with pytest.raises(errors.NotRunError):
                await waiting
        running.cancel()
        writer.close()


async def test_slot_that_comes_after_the_deadline_is_given_back(view, queued):
    """Guards against a late node that sends what nobody waits for."""
    dispatcher, slot, waiting = queued
    waiting.cancel()
    clock = clocks.MonotonicClock()
    req = types.SimpleNamespace(
        model='m', account='a', rank=1, deadline=clock.now() + TIMEOUT_S
    )
    last = asyncio.ensure_future(dispatcher.acquire(req, set(), ()))
    await asyncio.sleep(0.01)
    asyncio.get_running_loop().call_soon(dispatcher.release, slot)
    time.sleep(PAUSE_S)
    with pytest.raises(errors.NotRunError) as caught:
        await last
    assert caught.value.reason == 'deadline'
    assert view.running == 0
