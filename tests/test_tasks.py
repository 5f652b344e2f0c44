"""Tasks of a node end when they are cancelled."""

import asyncio
import types

import pytest

from plantainway import bus
from plantainway import clock
from plantainway import objects
from plantainway import requests


def limits_task(parts):
    """The task that exchanges sheets."""
    book = requests.AccountLimits('n1', parts.clock)
    return requests.LimitSharingTask(book, 1, parts)


def objects_task(parts):
    """The task that follows revisions."""
    return objects.ObjectsTask(None, parts, types.SimpleNamespace())


@pytest.mark.parametrize(
    'make, message',
    [
        (limits_task, bus.RegisteredNodesRead(frozenset(('n1',)))),
        (objects_task, bus.RevisionAnnounced(1)),
    ],
)
async def test_cancel_in_the_moment_of_a_message(make, message):
    """A message that arrives with the cancellation does not swallow it."""
    parts = types.SimpleNamespace(clock=clock.MonotonicClock(), bus=bus.Bus())
    task = asyncio.ensure_future(make(parts).run())
    await asyncio.sleep(0.01)
    parts.bus.publish(message)
    await asyncio.sleep(0)
    task.cancel()
    done, _pending = await asyncio.wait([task], timeout=1.0)
    task.cancel()
    assert done and task.cancelled()
