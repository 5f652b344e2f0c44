"""Tests of nodes whose store comes back from a copy some seconds old."""

import asyncio
import contextlib

import pytest

from plantainway.cluster import _follower
from tests.platform import conftest


CONFIG_APPLY_S = 2.0  # of the platform's rules


@pytest.fixture
async def nodes(store, runners):
    """Two nodes, the first of which leads; the copy is from before them."""
    store.copy()
    async with contextlib.AsyncExitStack() as stack:
        found = []
        for name in ('n1', 'n2'):
            one = await stack.enter_async_context(
                conftest.running(conftest.settings(name, store.address))
            )
            found.append(one)
            await conftest.until(
                lambda one=one: one.open_head_count('llm', 'm0') == 2,
                'heads seen',
            )
        await conftest.until(
            lambda: len(found[1].dump()['nodes']) == 2, 'linked'
        )
        yield found


async def _until_configured(nodes, version):
    await conftest.until(
        lambda: all(one.dump()['configuration'] == version for one in nodes),
        f'configuration {version}',
    )


def _open_epochs(runners):
    return {
        head.name: head.group['epoch'] for head in conftest.open_heads(runners)
    }


async def test_configuration_does_not_go_back_with_the_store(
    nodes, store, client
):
    """Nor is one missed that is written under a version given out again."""
    store.copy()
    newer = conftest.configuration(version=9)
    newer['routes'] = newer['routes'][1:]
    store.put('op', 'config', newer)
    await _until_configured(nodes, 9)
    store.restore()
    await asyncio.sleep(_follower.REMOVAL_GRACE_S)
    for one in nodes:
        got = await conftest.send_request(client, one, '/safe/x')
        assert (got.status, one.dump()['configuration']) == (404, 9)
    store.put('op', 'config', newer)
    store.put('op', 'config', conftest.configuration(version=12))
    await _until_configured(nodes, 12)
    for one in nodes:
        got = await conftest.send_request(client, one, '/safe/x')
        assert got.status == 200


async def test_groups_stay_as_they_are_when_entries_go_back(
    nodes, store, runners, client
):
    """The copy was made before the groups were formed.

    Engines write their entries again; until then they are served as before.
    """
    epochs = _open_epochs(runners)
    terms = [one.dump()['term'] for one in nodes]
    store.restore()
    for _ in range(5):
        for one in nodes:
            got = await conftest.send_request(
                client,
                one,
                '/stream/x',
                method='POST',
                Model='m0',
                Token_Count='10,10',
            )
            assert (got.status, got.is_whole) == (200, True)
        await asyncio.sleep(0.2)
    for runner in runners.values():
        runner.write_entry()
    await asyncio.sleep(_follower.REMOVAL_GRACE_S)
    assert _open_epochs(runners) == epochs
    assert [one.dump()['term'] for one in nodes] == terms
    assert nodes[0].dump()['leads']


@pytest.mark.parametrize('is_written_again', [True, False])
async def test_entry_that_the_copy_lacks_counts_until_writers_are_back(
    nodes, store, runners, client, is_written_again
):
    """A runner that does not write it again is gone."""
    gone = runners['p-2']
    store.put('servers', 'p-2', None)
    store.copy()
    gone.write_entry()
    version = store.version
    await conftest.until(
        lambda: all(one.table_version('servers') >= version for one in nodes),
        'entry seen',
    )
    store.restore()
    if is_written_again:
        gone.write_entry()
    await asyncio.sleep(_follower.REMOVAL_GRACE_S + 1.5)
    gone.seen.clear()
    for number in range(8):
        got = await conftest.send_request(
            client, nodes[number % 2], '/safe/x', request_id=f'r-{number}'
        )
        assert got.status == 200
    assert bool(gone.seen) is is_written_again


async def test_quarantine_is_stored_again_after_a_restore(nodes, store):
    """The row of the copy lacks it."""
    store.copy()
    nodes[0]._dependencies.quarantine.add('p')
    await conftest.until(
        lambda: ('plantainway', '', 'quarantine') in store.rows, 'stored'
    )
    store.restore()
    nodes[0]._dependencies.quarantine.add('q')
    await conftest.until(
        lambda: (
            set(
                (store.value('plantainway', 'quarantine') or {})
                .get('value', {})
                .get('remaining_ms', {})
            )
            == {'p', 'q'}
        ),
        'stored again',
    )


async def _restore_twice(nodes, store, stack):
    store.restore()
    await asyncio.sleep(0.3)
    store.restore()


async def _restore_and_kill_leader(nodes, store, stack):
    store.restore()
    await asyncio.sleep(0.1)
    await nodes.pop(0).close()


async def _kill_leader_and_restore(nodes, store, stack):
    await nodes.pop(0).close()
    await asyncio.sleep(0.1)
    store.restore()


async def _restore_while_a_node_starts(nodes, store, stack):
    store.restore()
    later = await stack.enter_async_context(
        conftest.running(conftest.settings('n3', store.address))
    )
    await conftest.until(later.is_ready, 'ready')
    await conftest.until(
        lambda: len(later.dump()['nodes']) == len(nodes) + 1, 'linked'
    )
    nodes.append(later)


@pytest.mark.parametrize(
    'happen',
    [
        _restore_twice,
        _restore_and_kill_leader,
        _kill_leader_and_restore,
        _restore_while_a_node_starts,
    ],
)
async def test_confirmed_configuration_stays_in_force_beside_a_restore(
    nodes, store, client, happen
):
    """Until the operator writes it again, and a newer one after that."""
    store.copy()
    newer = conftest.configuration(version=9)
    newer['routes'] = newer['routes'][1:]
    store.put('op', 'config', newer)
    await _until_configured(nodes, 9)
    async with contextlib.AsyncExitStack() as stack:
        nodes = list(nodes)
        await happen(nodes, store, stack)
        async with asyncio.timeout(CONFIG_APPLY_S):
            await _until_configured(nodes, 9)
        for _check in range(20):
            await asyncio.sleep(0.1)
            assert {one.dump()['configuration'] for one in nodes} == {9}
        store.put('op', 'config', newer)
        await asyncio.sleep(0.2)
        store.put('op', 'config', conftest.configuration(version=12))
        async with asyncio.timeout(CONFIG_APPLY_S):
            await _until_configured(nodes, 12)
        for one in nodes:
            got = await conftest.send_request(client, one, '/safe/x')
            assert got.status == 200
