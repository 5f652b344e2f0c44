"""Links between the leader and the nodes, over real sockets."""

import asyncio

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway import stores
from tests.platform import conftest


class Lease:
    """A lease that a test gives and takes."""

    def __init__(self, leads):
        self.held = leads
        self.version = 5

    def is_leader(self):
        """Tells whether the node leads."""
        return self.held


def _beat(name, **more):
    fields = {'loads': {}, 'suspects': [], 'work': {}} | more
    info = cluster.NodeInfo(name, f'{name}:1', 'a', 1.0, True)
    return cluster.Beat(info, **fields)


class Pair:
    """A leader's hub and one node's link to it."""

    def __init__(self):
        self.clock = clocks.MonotonicClock()
        self.lease = Lease(True)
        self.leader_rows = cluster.Follower('t', self.clock)
        self.node_rows = cluster.Follower('t', self.clock)
        self.beats = {'n1': _beat('n1'), 'n2': _beat('n2')}
        self.hub = cluster.Hub(
            'n1',
            self.lease,
            [self.leader_rows],
            lambda: self.beats['n1'],
            self.clock,
        )
        self.link = cluster.HubClient(
            [self.node_rows], lambda: self.beats['n2'], self.clock
        )
        self.task = None

    def load(self, version, **rows):
        """Lets the leader read its table."""
        self.leader_rows.load(
            stores.RowBatch(
                tuple(
                    stores.RawRow(key, value, version)
                    for key, value in rows.items()
                ),
                version,
            ),
            self.clock.now(),
        )

    async def start(self):
        """Links the node to the leader."""
        address = await self.hub.listen('127.0.0.1:0')
        self.task = asyncio.ensure_future(self.link.run_link(address))


@pytest.fixture
async def pair():
    """A linked pair."""
    found = Pair()
    found.load(1, a=b'1')
    await found.start()
    await conftest.until(lambda: found.link.digest is not None, 'digest')
    yield found
    found.task.cancel()
    await found.hub.close()


async def test_rows_reach_the_node(pair):
    """All rows at first, then what changes and what goes."""
    assert pair.node_rows.rows['a'].value == b'1'
    pair.load(2, b=b'2')
    await conftest.until(lambda: 'b' in pair.node_rows.rows, 'b')
    assert 'a' not in pair.node_rows.rows
    assert pair.node_rows.version == 2


async def test_both_name_both_nodes(pair):
    """The leader names itself and whoever is linked."""
    await conftest.until(lambda: len(pair.link.nodes) == 2, 'both named')
    names = {info.node for info in pair.link.nodes}
    assert names == {'n1', 'n2'}
    assert pair.link.digest.lease_version == 5


@pytest.mark.parametrize(
    'suspects, told',
    [((('h',), ()), []), ((('h',), ('h',)), ['h'])],
)
async def test_suspicion_of_one_node_is_not_passed_on(pair, suspects, told):
    """Two nodes must suspect a head before all leave it."""
    for name, heads in zip(('n1', 'n2'), suspects, strict=True):
        pair.beats[name] = _beat(name, suspects=list(heads), loads={'h': 2})
    pair.link.poke()
    await conftest.until(
        lambda: pair.link.digest.loads.get('h') == 4, 'beat taken'
    )
    assert pair.link.digest.suspects == told


async def test_work_is_counted_once(pair):
    """A node's work counts from the first beat, over its restarts."""
    for total in (10.0, 14.0, 3.0):
        pair.beats['n2'] = _beat('n2', work={'s/m': total}, loads={'x': 1})
        pair.link.poke()
        await conftest.until(
            lambda total=total: (
                pair.hub._work_by_node.get('n2', {}).get('s/m') == total
            ),
            'beat taken',
        )
    assert pair.hub.work()['s/m'] == pytest.approx(4.0 + 3.0)


async def test_link_ends_with_the_lease(pair):
    """A node whose lease is gone gives no more news."""
    pair.lease.held = False
    pair.hub.poke()
    async with asyncio.timeout(conftest.WAIT_S):
        await pair.task


async def test_node_that_does_not_lead_takes_no_link(pair):
    """Whoever asks a node without the lease is sent away."""
    other = Pair()
    other.lease.held = False
    other.load(1, a=b'1')
    await other.start()
    async with asyncio.timeout(conftest.WAIT_S):
        await other.task
    assert other.link.digest is None
    await other.hub.close()


def _hub_with(clock, beats, links, followers_before):
    rows = cluster.Follower('t', clock)
    rows.load(stores.RowBatch((), 1), clock.now())
    hub = cluster.Hub('n0', Lease(True), [rows], lambda: _beat('n0'), clock)
    hub._links = {name: object() for name in range(followers_before)}
    hub.note_renewed()
    hub._links = dict.fromkeys(links)
    hub._beats = dict(beats)
    return hub


@pytest.mark.parametrize(
    'heard_s, ages_s, links, before, followed',
    [
        ((0.1, 0.3, 0.7), (3.0, 3.2, 2.9), 3, 3, True),
        ((0.1, 0.3, 0.7), (3.0, 3.2, 2.9), 3, 4, True),
        ((0.1, 0.3, 0.7), (3.0, 3.2, 2.9), 3, 5, False),  # too few are left
        ((0.1, 0.9, 1.0), (3.0, 3.2, 2.9), 3, 3, False),  # two are silent
        ((0.1, 0.3, 0.7), (3.0, 3.2, 2.9), 1, 3, False),  # two links ended
        ((0.1, 0.3, 0.7), (3.0, 0.4, 2.9), 3, 3, False),  # one reads it
        ((), (), 0, 0, False),
    ],
)
def test_leader_is_followed(heard_s, ages_s, links, before, followed):
    """Most nodes are linked, and none reaches a store that it does not."""
    clock = clocks.ManualClock()
    names = [f'n{n}' for n in range(1, len(heard_s) + 1)]
    now = clock.now() + 3.0
    beats = {
        name: (now - ago, _beat(name, store_age_ms=int(age * 1000)))
        for name, ago, age in zip(names, heard_s, ages_s, strict=True)
    }
    hub = _hub_with(clock, beats, names[:links], before)
    clock.advance(3.0)
    assert hub.is_followed() == followed


async def test_nodes_are_told_on_change_only(pair):
    """A digest names the nodes when they are new to the link."""
    digests = []
    pair.link.on_digest.append(digests.append)
    await conftest.until(lambda: len(pair.link.nodes) == 2, 'both named')
    digests.clear()
    pair.hub.poke()
    await conftest.until(lambda: len(digests) >= 2, 'two digests')
    assert [digest.nodes for digest in digests] == [None] * len(digests)
    changed = cluster.NodeInfo('n1', 'n1:1', 'a', 1.0, False)
    pair.beats['n1'] = cluster.Beat(changed, {}, [], {})
    await conftest.until(lambda: changed in pair.link.nodes, 'change told')
