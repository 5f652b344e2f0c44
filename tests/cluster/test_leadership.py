"""The lease in the platform's store under lost, late and racing writes."""

import asyncio

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.cluster import _leadership
from plantainway import platform
from tests.platform import store_standin


@pytest.fixture
async def server():
    """A running stand-in of the store."""
    found = store_standin.StoreStandIn()
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def table(server):
    """The table that the lease lives in."""
    async with platform.new_session() as session:
        yield platform.PlatformStore(server.address, session)


@pytest.fixture
def clock():
    """A settable clock."""
    return clocks.ManualClock()


def _node(name, table, clock, life='1'):
    return cluster.Leadership(name, life, table, clock)


async def _take(leadership):
    await leadership.look()
    return await leadership.take('10.0.0.1:1')


async def test_one_of_two_takes_the_lease(table, clock):
    """Two candidates that saw the same row: the first write wins."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    await first.look()
    await second.look()
    assert await first.take('10.0.0.1:1')
    assert not await second.take('10.0.0.2:1')
    assert first.is_leader()
    assert not second.is_leader()


async def test_holder_stops_before_others_may_take(table, clock):
    """The holder's time is over before any observer's wait is."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    assert await _take(first)
    await second.look()
    clock.advance(_leadership.TERM_S - _leadership.MARGIN_S + 0.001)
    assert not first.is_leader()
    assert not second.may_take(0.0)
    clock.advance(_leadership.MARGIN_S)
    assert second.may_take(0.0)
    assert await second.take('10.0.0.2:1')
    assert second.term == first.term + 1
    assert not await first.renew()
    assert not first.is_leader()


async def test_renewal_restarts_the_observers_wait(table, clock):
    """A lease that is renewed does not lapse."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    assert await _take(first)
    await second.look()
    for _renewal in range(4):
        clock.advance(_leadership.RENEW_EVERY_S)
        assert await first.renew()
        second.note_renewal(first.version)
    assert first.is_leader()
    assert not second.may_take(0.0)


@pytest.mark.parametrize('lost', [1, 3])
async def test_lost_answer_is_settled_by_reading_back(
    server, table, clock, lost
):
    """A write whose answer is lost counts if it is found in the row."""
    leadership = _node('n1', table, clock)
    await leadership.look()
    server.faults.lost_answers = lost
    assert await leadership.take('10.0.0.1:1')
    assert leadership.is_leader()


async def test_late_write_is_not_taken_for_done(server, table, clock):
    """A write that is carried out later makes no leader now."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    await first.look()
    await second.look()
    server.faults.late_writes = 1
    assert not await first.take('10.0.0.1:1')
    assert not first.is_leader()
    await asyncio.sleep(server.faults.late_s * 2)
    assert not await second.take('10.0.0.2:1')
    assert not second.is_leader()


async def test_next_life_of_a_node_takes_its_own_lease(table, clock):
    """A restarted process need not wait for its own earlier life."""
    assert await _take(_node('n1', table, clock))
    again = _node('n1', table, clock, life='2')
    other = _node('n1x', table, clock)
    await again.look()
    await other.look()
    assert again.may_take(0.0)
    assert not other.may_take(0.0)


async def test_lease_handed_back_is_free_at_once(table, clock):
    """A node that leaves lets another lead without a wait."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    assert await _take(first)
    await first.hand_back()
    assert not first.is_leader()
    await second.look()
    assert second.may_take(0.0)


async def test_leader_goes_on_through_an_outage(server, table, clock):
    """Extended moment by moment, it leads until the store is back."""
    leadership = _node('n1', table, clock)
    assert await _take(leadership)
    server.faults.late_writes = 1
    assert not await leadership.renew()
    await asyncio.sleep(server.faults.late_s * 2)
    for _moment in range(10):
        clock.advance(_leadership.EXTENSION_S - 0.1)
        assert leadership.is_leader()
        leadership.extend()
    assert await leadership.renew()
    assert leadership.is_leader()


@pytest.mark.parametrize(
    'pause_s, moments',
    [
        (_leadership.TERM_S, 1),  # its time had run out before
        (0.5, int(_leadership.EXTENDED_MAX_S / 0.5) + 3),
    ],
)
async def test_extension_ends(table, clock, pause_s, moments):
    """A leader that paused, or an outage without an end, extends nothing."""
    leadership = _node('n1', table, clock)
    assert await _take(leadership)
    for _moment in range(moments):
        clock.advance(pause_s)
        leadership.extend()
    assert not leadership.is_leader()


async def test_leader_in_an_outage_yields_to_a_new_one(table, clock):
    """The first renewal after the outage shows who leads."""
    first, second = (_node(name, table, clock) for name in ('n1', 'n2'))
    assert await _take(first)
    await second.look()
    for _moment in range(4):
        clock.advance(0.7)
        first.extend()
    assert second.may_take(0.0)
    assert await second.take('10.0.0.2:1')
    assert first.is_leader()
    assert not await first.renew()
    assert not first.is_leader()
    assert second.term > first.term
