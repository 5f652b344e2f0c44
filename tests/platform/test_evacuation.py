"""Tests of evacuated failure domains with stand-ins of store and runners."""

import asyncio

import pytest

from plantainway import traffic
from tests.platform import conftest

STREAM = {'Model': 'm0', 'Token_Count': '10,10', 'method': 'POST'}
PATHS = ['/safe/x', '/unsafe/x', '/stream/x']
PERMIT_S = 0.4
EVACUATE_S = 5.0  # of the platform's rules


@pytest.fixture
async def runners(runners):
    """Half of the runners are in zone b, with one of the two groups."""
    for runner in runners.values():
        if runner.domain == 'd1' or runner.name == 'p-2':
            runner.zone = 'b'
            runner.write_entry()
    return runners


async def evacuate(store, node, *zones):
    """Sets the evacuated zones and waits until a node knows them."""
    for zone in 'ab':
        key = f'evacuate/{zone}'
        if (zone in zones) != (('op', '', key) in store.rows):
            store.put('op', key, b'\xff{' if zone in zones else None)
    await conftest.until(
        lambda: node.dump()['evacuated_zones'] == sorted(zones), 'evacuated'
    )


async def send_many(node, client, path, count=8):
    """Sends requests at once; returns the responses."""
    return await asyncio.gather(
        *(
            conftest.send_request(
                client, node, path, request_id=f'r-{number}', **STREAM
            )
            for number in range(count)
        )
    )


def take_zones(runners):
    """Returns the zones that got requests since the last call."""
    zones = {item.zone for item in runners.values() if item.seen}
    for item in runners.values():
        item.seen.clear()
    return zones


@pytest.mark.parametrize('path', PATHS)
async def test_requests_leave_the_zone_until_it_returns(
    node, store, runners, client, path
):
    """Also while the store is away, and with a group kept there."""
    await evacuate(store, node, 'b')
    for is_down in (False, True):
        store.faults.down = is_down
        answers = await send_many(node, client, path)
        assert {got.status for got in answers} == {200}
        assert take_zones(runners) == {'a'}
        await asyncio.sleep(0.3)
    store.faults.down = False
    assert len(conftest.open_heads(runners)) == 2
    await evacuate(store, node)
    await send_many(node, client, path)
    assert take_zones(runners) == {'a', 'b'}


@pytest.mark.parametrize('path', PATHS)
async def test_all_zones_evacuated(node, store, runners, client, path):
    """Requests are refused at once and sent nowhere."""
    await evacuate(store, node, 'a', 'b')
    async with asyncio.timeout(1.0):
        answers = await send_many(node, client, path)
    for got in answers:
        assert got.status == 503
        assert float(got.headers['Retry-After']) > 0.0
    assert take_zones(runners) == set()


class SlowPermits(traffic.BasePermitSource):
    """Limits zone b, and gives permits after a wait."""

    def is_limited(self, upstream):
        """Returns whether an upstream is in zone b."""
        return upstream.zone == 'b'

    async def acquire(self, upstreams, max_wait_s):
        """Waits for a permit, which is for the first upstream."""
        await asyncio.sleep(PERMIT_S)
        return upstreams[0]

    def forget(self, name):
        """Does nothing."""


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('others, status', [((), 200), (('a',), 503)])
async def test_zone_is_checked_after_the_wait_for_a_permit(
    node, store, runners, client, path, others, status
):
    """Guards against a send to a zone that is evacuated meanwhile."""
    node._dependencies.rates._source = SlowPermits()
    await evacuate(store, node, 'a')
    sent = asyncio.ensure_future(send_many(node, client, path, count=1))
    await asyncio.sleep(PERMIT_S / 4)
    await evacuate(store, node, 'b', *others)
    (got,) = await sent
    assert got.status == status
    assert take_zones(runners) == ({'a'} if status == 200 else set())


@pytest.mark.parametrize(
    'end, zones', [('reset', {'a', 'b'}), ('whole', {'b'})]
)
async def test_stream_in_the_zone(node, store, runners, client, end, zones):
    """It goes on to its end there; a broken one is resumed elsewhere."""
    for runner in runners.values():
        if runner.zone == 'b':
            runner.faults.event_s = 0.03
            runner.faults.events = 15
            runner.faults.stream_end = end
        runner.events = 20
    await evacuate(store, node, 'a')
    sent = asyncio.ensure_future(send_many(node, client, '/stream/x', count=1))
    await conftest.until(
        lambda: any(item.seen for item in runners.values()), 'sent'
    )
    await evacuate(store, node, 'b')
    (got,) = await sent
    assert (got.status, got.is_whole) == (200, True)
    assert got.body.count(b'data:') == 20
    assert take_zones(runners) == zones


async def test_node_that_starts_knows_the_evacuation(
    node, store, runners, client
):
    """It takes no request before, and other zones' rows don't matter."""
    store.put('op', 'evacuate/nowhere', b'')
    await conftest.until(
        lambda: node.dump()['evacuated_zones'] == ['nowhere'], 'evacuated'
    )
    store.put('op', 'evacuate/b', b'')
    cfg = conftest.settings('n2', store.address)
    async with conftest.running(cfg) as later:
        await conftest.until(later.is_ready, 'ready')
        assert later.dump()['evacuated_zones'] == ['b', 'nowhere']
        await send_many(later, client, '/safe/x')
    assert take_zones(runners) == {'a'}


async def test_evacuation_outlasts_a_restore_of_the_store(node, store):
    """The copy lacks the row; a node that starts gets it from the leader."""
    store.copy()
    await evacuate(store, node, 'b')
    store.restore()
    await asyncio.sleep(0.5)
    assert node.dump()['evacuated_zones'] == ['b']
    async with conftest.running(
        conftest.settings('n2', store.address)
    ) as later:
        await conftest.until_linked([node, later])
        await conftest.until(
            lambda: later.dump()['evacuated_zones'] == ['b'], 'relayed'
        )
        store.put('op', 'evacuate/b', b'')
        store.put('op', 'evacuate/b', None)
        for one in (node, later):
            await conftest.until(
                lambda one=one: one.dump()['evacuated_zones'] == [], 'ended'
            )


async def test_evacuation_outlasts_the_leader(three_nodes, store):
    """The leader is lost when it has just seen the row, or has not yet."""
    leader, *others = three_nodes
    store.put('op', 'evacuate/b', b'')
    await leader.close()
    async with asyncio.timeout(EVACUATE_S):
        for one in others:
            await conftest.until(
                lambda one=one: one.dump()['evacuated_zones'] == ['b'], 'known'
            )
