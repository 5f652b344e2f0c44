"""Tests of calls to the store by a node whose event loop runs late."""

import asyncio
import time

import pytest

from plantainway import errors
from plantainway import platform
from plantainway.platform import _store
from plantainway import stores
from tests.cluster import late_peers
from tests.platform import store_standin

LATE_S = 0.7
CALL_TIMEOUT_S = 0.4
BODY_TIMEOUT_S = 0.6


@pytest.fixture
def server():
    """A store in a thread, beside a late loop."""
    peers = late_peers.PeerThread()
    peers.start()
    found = store_standin.StoreStandIn()
    found.put('servers', 'a', {'n': 1})
    peers.run(found.start())
    yield found
    peers.run(found.stop())
    peers.stop()


@pytest.fixture
async def client(server, monkeypatch):
    """The client of the late node, with shorter limits."""
    monkeypatch.setattr(_store, 'CALL_TIMEOUT_S', CALL_TIMEOUT_S)
    monkeypatch.setattr(_store, 'BODY_TIMEOUT_S', BODY_TIMEOUT_S)
    async with platform.new_session() as session:
        yield platform.PlatformStore(server.address, session)


async def read_table(client):
    """Reads a table."""
    return len((await client.snapshot('servers')).rows) == 1


async def wait_for_changes(client):
    """Waits until the store ends a wait for changes."""
    return not (await client.changes('servers', 1, 0.1)).rows


async def commit(client):
    """Commits a transaction."""
    result = await client.commit(
        stores.Transaction(
            stores.new_txn_id(),
            (stores.Check('k', stores.ABSENT),),
            (stores.Write('k', 1),),
        )
    )
    return result.outcome is stores.Outcome.COMMITTED


@pytest.mark.parametrize('call', [read_table, wait_for_changes, commit])
@pytest.mark.parametrize('rounds', [1, 3, 6])
async def test_answer_that_came_while_the_loop_was_late_counts(
    client, call, rounds
):
    """Guards against a late node that takes the store for lost."""
    task = asyncio.ensure_future(call(client))
    for _round in range(rounds):
        await asyncio.sleep(0)
    time.sleep(LATE_S)
    assert await task


@pytest.mark.parametrize('part', [1, 5])
async def test_body_that_came_while_the_loop_was_late_counts(
    server, client, part
):
    """Guards against a large row that is given up half-way."""
    server.faults.drip_s = 0.03
    task = asyncio.ensure_future(read_table(client))
    await asyncio.sleep(part * server.faults.drip_s)
    time.sleep(LATE_S)
    assert await task


@pytest.mark.parametrize('rounds', [1, 6])
async def test_store_that_does_not_answer_is_lost(server, client, rounds):
    """The limit still holds, also for a node that was late."""
    server.faults.drip_s = 9.0
    task = asyncio.ensure_future(read_table(client))
    for _round in range(rounds):
        await asyncio.sleep(0)
    time.sleep(LATE_S)
    with pytest.raises(errors.StoreUnavailableError):
        await task
