"""Tests of a leader that takes over groups in an outage of the store."""

import asyncio

import pytest

from tests.platform import conftest

AWAY_S = 1.6  # by then the leader asks the engines instead of the store
SETTLED_S = 2.0  # after the entries are written again


def _open_groups(runners) -> dict:
    """Returns group and state of each member of an open group."""
    names = {one.group['name'] for one in conftest.open_heads(runners)}
    return {
        name: (one.group['name'], one.group['state'])
        for name, one in runners.items()
        if one.group and one.group['name'] in names
    }


async def _lose_a_member(runners) -> None:
    """Stops a member of an open group and waits until it is replaced."""
    before = {one.group['name'] for one in conftest.open_heads(runners)}
    lost = next(
        runners[name]
        for name, (_group, state) in _open_groups(runners).items()
        if state == 'ready'
    )
    await lost.stop()
    lost.group = None
    await conftest.until(
        lambda: any(
            head.group['name'] not in before
            for head in conftest.open_heads(runners)
        ),
        'replaced',
    )


async def _kill(node) -> None:
    """Ends a node at once; it hands nothing over."""
    await node.close()


async def _stop(node) -> None:
    """Begins to stop a node, which keeps leading in the outage."""
    stopping = asyncio.ensure_future(node.stop())
    await asyncio.sleep(0.1)
    stopping.cancel()
    await asyncio.wait((stopping,))
    await node.close()


@pytest.mark.parametrize('entries_late_s', [0.5, 1.5])
@pytest.mark.parametrize('has_expired', [False, True])
@pytest.mark.parametrize('end', [_kill, _stop])
async def test_group_formed_in_an_outage_outlives_its_leader(
    three_nodes, store, runners, end, has_expired, entries_late_s
):
    """Entries from before the outage do not move its members.

    The next leader, which had followed the last one through the outage, took
    such entries for current ones: it ordered the head of an open group and
    its other members into another group.
    """
    leader, *others = three_nodes
    for one in runners.values():
        one.is_cut_from_store = True
    store.faults.down = True
    await asyncio.sleep(AWAY_S)
    await _lose_a_member(runners)
    formed = _open_groups(runners)
    sent = {name: len(one.orders) for name, one in runners.items()}
    await end(leader)
    if has_expired:
        for name in formed:
            store.put('servers', name, None)
    store.faults.down = False
    await asyncio.sleep(entries_late_s)
    for one in runners.values():
        one.is_cut_from_store = False
        if one.is_running:
            one.write_entry()
    await conftest.until(
        lambda: any(one.dump()['leads'] for one in others), 'leader'
    )
    await asyncio.sleep(SETTLED_S)
    assert _open_groups(runners) == formed
    orders = [
        order
        for name in formed
        for order in runners[name].orders[sent[name] :]
    ]
    assert orders == []
