"""Tests that the tasks of a node end when they are cancelled."""

import asyncio
import types

import pytest

from plantainway import bus
from plantainway import clock
from plantainway import objects
from plantainway import requests


def make_limits_task(parts):
    """Returns the task that shares rate limits between nodes."""
    limits = requests.AccountLimits('n1', parts.clock)
    return requests.LimitSharingTask(limits, 1, parts)


def make_objects_task(parts):
    """Returns the task that tracks the revision in force."""
    return objects.ObjectsTask(None, parts, types.SimpleNamespace())


@pytest.mark.parametrize(
    'make, message',
    [
        (make_limits_task, bus.RegisteredNodesRead(frozenset(('n1',)))),
        (make_objects_task, bus.RevisionAnnounced(1)),
    ],
)
async def test_cancel_while_a_message_arrives(make, message):
    """A message that arrives with the cancellation does not suppress it."""
    parts = types.SimpleNamespace(clock=clock.MonotonicClock(), bus=bus.Bus())
    task = asyncio.ensure_future(make(parts).run())
    await asyncio.sleep(0.01)
    parts.bus.publish(message)
    await asyncio.sleep(0)
    task.cancel()
    done, _pending = await asyncio.wait([task], timeout=1.0)
    task.cancel()
    assert done and task.cancelled()
