"""Tests of requests that wait for a slot of a copy."""

import asyncio
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
        """Returns the number of slots."""
        return 1.0

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
