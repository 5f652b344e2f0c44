"""Tests of links between a leader and a node whose event loop runs late."""

import asyncio
import time

import pytest

from plantainway.cluster import _hub
from plantainway import ratelimits
from tests.cluster import late_peers
from tests.platform import conftest

LATE_S = 1.3  # longer than any limit on what a leader sends


@pytest.fixture
def peers():
    """A thread for the peers of a late node."""
    found = late_peers.PeerThread()
    found.start()
    yield found
    found.stop()


@pytest.fixture
def leader(peers):
    """Hub of a leader that is on time."""
    hub = late_peers.new_hub()
    hub.issue_permit = lambda *_args: ratelimits.Permit('e1', 0.0)
    hub.address = peers.run(hub.listen('127.0.0.1:0'))
    yield hub
    peers.run(hub.close())


@pytest.fixture
async def follower(leader):
    """Link of a node that may run late."""
    link = late_peers.new_link(lambda: late_peers.new_beat('n1'))
    link.task = asyncio.ensure_future(link.run_link(leader.address))
    yield link
    link.task.cancel()
    await asyncio.gather(link.task, return_exceptions=True)


@pytest.mark.parametrize('pauses_s', [(LATE_S,), (LATE_S, LATE_S), (3.0,)])
async def test_late_follower_keeps_the_leader_it_has(follower, pauses_s):
    """Guards against an election because of the node's own pause."""
    await conftest.until(lambda: follower.is_receiving, 'update')
    for pause_s in pauses_s:
        time.sleep(pause_s)
        await asyncio.sleep(0.1)
        assert not follower.task.done()
        assert follower.is_receiving


@pytest.mark.parametrize('rounds', [1, 3, 6])
async def test_late_node_links_to_a_leader_that_accepts(follower, rounds):
    """Guards against a leader that is taken for unreachable."""
    for _round in range(rounds):
        await asyncio.sleep(0)
    time.sleep(LATE_S)
    await conftest.until(lambda: follower.is_receiving, 'update')
    assert not follower.task.done()


async def test_follower_leaves_a_leader_that_sends_nothing(peers, follower):
    """The limit on updates still holds, also for a node that was late."""
    await conftest.until(lambda: follower.is_receiving, 'update')
    peers.loop.call_soon_threadsafe(time.sleep, 3 * LATE_S)
    time.sleep(LATE_S)
    await conftest.until(lambda: not follower.is_receiving, 'link ended')


@pytest.mark.parametrize('rounds', [1, 3, 6])
async def test_late_node_gets_the_permit_it_was_given(follower, rounds):
    """Guards against requests that are refused although they may be sent."""
    await conftest.until(lambda: follower.is_receiving, 'update')
    task = asyncio.ensure_future(follower.request_permit(['e1'], 1.0))
    for _round in range(rounds):
        await asyncio.sleep(0)
    time.sleep(0.7)
    assert (await task).upstream == 'e1'


@pytest.fixture
async def late_leader(peers, monkeypatch):
    """Hub of a leader that may run late, with a node that stays linked."""
    monkeypatch.setattr(_hub, 'LINK_TIMEOUT_S', 9.0)
    hub = late_peers.new_hub()
    address = await hub.listen('127.0.0.1:0')
    link = late_peers.new_link(lambda: late_peers.new_beat('n1'))
    peers.spawn(link.run_link(address))
    await conftest.until(lambda: 'n1' in hub._links, 'link')
    yield hub
    await hub.close()


def _live_names(hub):
    return {
        'infos': {info.node for info in hub.live_nodes()},
        'beats': {beat.info.node for beat in hub.live_heartbeats()},
    }


@pytest.mark.parametrize('kind', ['infos', 'beats'])
async def test_late_leader_does_not_take_its_nodes_for_gone(late_leader, kind):
    """Guards against nodes that are dropped for the leader's own pause."""
    time.sleep(2.0)
    for _round in range(3):
        assert 'n1' in _live_names(late_leader)[kind]
        await asyncio.sleep(0)
    await asyncio.sleep(0.3)
    assert 'n1' in _live_names(late_leader)[kind]


async def test_node_that_sends_nothing_is_gone(peers, late_leader):
    """The limit on heartbeats still holds, also for a late leader."""
    peers.loop.call_soon_threadsafe(time.sleep, 4.0)
    time.sleep(LATE_S)
    await conftest.until(
        lambda: 'n1' not in _live_names(late_leader)['infos'], 'node gone'
    )
    assert 'n1' in late_leader._links
