"""Tests of the leader lease under lost, late and concurrent writes."""

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.cluster import _leadership
from plantainway import platform
from tests.platform import store_standin


@pytest.fixture
async def server():
    """A running stand-in for the platform's store."""
    found = store_standin.StoreStandIn()
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def table(server):
    """A client of the store that holds the lease row."""
    async with platform.new_session() as session:
        yield platform.PlatformStore(server.address, session)


@pytest.fixture
def clock():
    """A manually advanced clock."""
    return clocks.ManualClock()


def _node(name, table, clock, incarnation='1'):
    return cluster.Leadership(name, incarnation, table, clock)


async def _acquire(leadership):
    await leadership.read_lease()
    return await leadership.acquire('10.0.0.1:1')


async def test_one_of_two_candidates_acquires_lease(table, clock):
    """Of two candidates that read the same row, the first write wins."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    await first.read_lease()
    await second.read_lease()
    assert await first.acquire('10.0.0.1:1')
    assert not await second.acquire('10.0.0.2:1')
    assert first.is_leader()
    assert not second.is_leader()


async def test_holder_stops_before_others_may_acquire(table, clock):
    """The lease ends for its holder before others may acquire it."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    assert await _acquire(first)
    await second.read_lease()
    clock.advance(
        _leadership.LEASE_TERM_S - _leadership.HOLDER_MARGIN_S + 0.001
    )
    assert not first.is_leader()
    assert not second.may_acquire(0.0)
    clock.advance(_leadership.HOLDER_MARGIN_S)
    assert second.may_acquire(0.0)
    assert await second.acquire('10.0.0.2:1')
    assert second.term == first.term + 1
    assert not await first.renew()
    assert not first.is_leader()


@pytest.mark.parametrize('reads_late', [False, True])
async def test_late_observer_does_not_get_a_lease_that_was_renewed(
    table, reads_late
):
    """Guards against a pause that is taken for a lapse of the lease."""
    clocks_by_node = [clocks.ManualClock(), clocks.ManualClock()]
    first, second = (
        _node(name, table, clock)
        for name, clock in zip(('n1', 'n2'), clocks_by_node, strict=True)
    )
    assert await _acquire(first)
    await second.read_lease()
    for clock in clocks_by_node:
        clock.advance(_leadership.RENEW_EVERY_S)
    assert await first.renew()
    clocks_by_node[1].advance(_leadership.LEASE_TERM_S)
    if reads_late:
        await second.read_lease()
        assert not second.may_acquire(0.0)
    assert not (second.may_acquire(0.0) and await second.acquire('10.0.0.2:1'))
    assert not second.is_leader()
    assert first.is_leader()
    assert await first.renew()


async def test_renewal_restarts_observer_wait(table, clock):
    """A lease that is renewed does not lapse for an observer."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    assert await _acquire(first)
    await second.read_lease()
    for _renewal in range(4):
        clock.advance(_leadership.RENEW_EVERY_S)
        assert await first.renew()
        second.observe_renewal(first.version)
    assert first.is_leader()
    assert not second.may_acquire(0.0)


@pytest.mark.parametrize('lost', [1, 3])
async def test_lost_response_is_resolved_by_reading(
    server, table, clock, lost
):
    """A write with a lost response counts if the row shows it."""
    leadership = _node('n1', table, clock)
    await leadership.read_lease()
    server.faults.lost_answers = lost
    assert await leadership.acquire('10.0.0.1:1')
    assert leadership.is_leader()


async def test_late_write_does_not_make_a_leader(server, table, clock):
    """A write that the store executes late makes nobody leader now."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    await first.read_lease()
    await second.read_lease()
    server.faults.late_writes, server.faults.late_s = 1, None
    assert not await first.acquire('10.0.0.1:1')
    assert not first.is_leader()
    server.apply_held_writes()
    assert not await second.acquire('10.0.0.2:1')
    assert not second.is_leader()


async def test_restarted_node_acquires_own_lease(table, clock):
    """A restarted node need not wait for its earlier process's lease."""
    assert await _acquire(_node('n1', table, clock))
    again = _node('n1', table, clock, incarnation='2')
    other = _node('n1x', table, clock)
    await again.read_lease()
    await other.read_lease()
    assert again.may_acquire(0.0)
    assert not other.may_acquire(0.0)


async def test_released_lease_is_free_at_once(table, clock):
    """After a release another node may acquire without a wait."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    assert await _acquire(first)
    await first.release()
    assert not first.is_leader()
    await second.read_lease()
    assert second.may_acquire(0.0)


async def test_leadership_is_extended_through_outage(server, table, clock):
    """Repeated extensions last until the store answers again."""
    leadership = _node('n1', table, clock)
    assert await _acquire(leadership)
    server.faults.late_writes, server.faults.late_s = 1, None
    assert not await leadership.renew()
    server.apply_held_writes()
    for _extension in range(10):
        clock.advance(_leadership.EXTENSION_S - 0.1)
        assert leadership.is_leader()
        leadership.extend()
    assert await leadership.renew()
    assert leadership.is_leader()


@pytest.mark.parametrize(
    'pause_s, extensions',
    [
        (_leadership.LEASE_TERM_S, 1),  # the lease had lapsed before
        (0.5, int(_leadership.EXTENSIONS_MAX_S / 0.5) + 3),
    ],
)
async def test_extension_is_limited(table, clock, pause_s, extensions):
    """No extension after the lease lapsed, nor in a very long outage."""
    leadership = _node('n1', table, clock)
    assert await _acquire(leadership)
    for _extension in range(extensions):
        clock.advance(pause_s)
        leadership.extend()
    assert not leadership.is_leader()


async def test_extended_leader_yields_to_new_one(table, clock):
    """The first renewal after an outage fails if another node leads."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    assert await _acquire(first)
    await second.read_lease()
    for _extension in range(4):
        clock.advance(0.7)
        first.extend()
    assert second.may_acquire(0.0)
    assert await second.acquire('10.0.0.2:1')
    assert first.is_leader()
    assert not await first.renew()
    assert not first.is_leader()
    assert second.term > first.term


@pytest.mark.parametrize('copied', ['before_lease', 'before_renewal'])
async def test_leader_keeps_its_lease_when_the_store_is_restored(
    server, table, clock, copied
):
    """The row of the copy is older, or not there."""
    leader = _node('n1', table, clock)
    if copied == 'before_lease':
        server.copy()
    assert await _acquire(leader)
    if copied == 'before_renewal':
        server.copy()
    clock.advance(_leadership.RENEW_EVERY_S)
    assert await leader.renew()
    version = leader.version
    server.restore()
    clock.advance(_leadership.RENEW_EVERY_S)
    assert await leader.renew()
    assert leader.is_leader() and leader.term == 1
    assert leader.version > version
    assert await leader.renew()


@pytest.mark.parametrize('copied', ['absent', 'released', 'other_holder'])
async def test_others_wait_for_a_term_after_a_restore(
    server, table, clock, copied
):
    """Its holder may count on a lease that the copy lacks."""
    first = _node('n0', table, clock)
    if copied != 'absent':
        assert await _acquire(first)
    if copied == 'released':
        await first.release()
    server.copy()
    clock.advance(_leadership.LEASE_TERM_S + 0.1)
    second_table = platform.PlatformStore(server.address, table._session)
    candidate = _node('n2', second_table, clock)
    await candidate.read_lease()
    clock.advance(_leadership.LEASE_TERM_S + 0.1)
    leader = _node('n1', table, clock)
    await leader.read_lease()
    clock.advance(_leadership.LEASE_TERM_S + 0.1)
    assert await leader.acquire('10.0.0.1:1')
    server.restore()
    await candidate.read_lease()
    assert not candidate.may_acquire(0.0)
    clock.advance(_leadership.LEASE_TERM_S - 0.01)
    assert not leader.is_leader()
    assert not candidate.may_acquire(0.0)
    clock.advance(0.02)
    assert candidate.may_acquire(0.0)
    assert await candidate.acquire('10.0.0.2:1')
    assert not await leader.renew()


async def test_renewal_that_met_a_version_given_out_again_ends_the_lease(
    server, table, clock
):
    """It has overwritten another row than the one it was meant for."""
    server.copy()
    leader = _node('n1', table, clock)
    assert await _acquire(leader)
    server.restore()
    other_table = platform.PlatformStore(server.address, table._session)
    other = _node('n2', other_table, clock)
    assert await _acquire(other)
    assert not await leader.renew()
    assert not leader.is_leader()


@pytest.mark.parametrize(
    'known_term, used_term, expected', [(3, 0, 4), (0, 7, 8), (3, 1, 4)]
)
async def test_term_does_not_go_back_with_the_store(
    server, table, clock, known_term, used_term, expected
):
    """Epochs of groups grow with it; engines remember them."""
    server.copy()
    node = _node('n1', table, clock)
    for _ in range(known_term):
        await node.read_lease()
        assert await node.acquire('10.0.0.1:1')
    server.restore()
    node.newest_used_term = lambda: used_term
    clock.advance(10 * _leadership.LEASE_TERM_S)
    await node.read_lease()
    assert node.holder is None
    assert await node.acquire('10.0.0.1:1')
    assert node.term == expected


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'null',
        b'{"txn": "t"}',
        b'{"txn": "t", "value": null}',
        b'{"txn": "t", "value": ["n1"]}',
        b'{"txn": "t", "value": {"node": "n9"}}',
        b'{"txn": 3, "value": {"node": "n9", "address": "x", "term": "7", '
        b'"count": 1}}',
        b'{"txn": 3, "value": {"node": null, "address": null, "term": 7, '
        b'"count": 1}}',
        b'{"txn": 3, "value": {"node": "n9", "address": "x", "term": 7, '
        b'"count": 1, "more": 1}}',
    ],
)
async def test_unreadable_lease_is_overwritten_after_a_term(
    server, table, clock, value
):
    """Other rows that can't be read change nothing."""
    server.put('plantainway', 'leader', value)
    server.put('plantainway', 'quarantine', value)
    leadership = _node('n1', table, clock)
    await leadership.read_lease()
    assert not leadership.may_acquire(0.0)
    clock.advance(_leadership.LEASE_TERM_S + 0.001)
    assert leadership.may_acquire(0.0)
    assert await leadership.acquire('10.0.0.1:1')
    assert leadership.is_leader()
    server.put('plantainway', 'leader', value)
    assert not await leadership.renew()
    assert not leadership.is_leader()
