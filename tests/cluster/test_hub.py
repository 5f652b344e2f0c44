"""Tests of the links between the leader and the nodes, on loopback."""

import asyncio
import json
import random
import zlib

import cbor2
import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.cluster import _messages
from plantainway import errors
from plantainway import stores
from tests.platform import conftest


class Lease:
    """Fake lease whose state a test sets."""

    def __init__(self, leads):
        self.is_held = leads
        self.version = 5

    def is_leader(self):
        """Returns whether the node leads."""
        return self.is_held


def _beat(name, **more):
    fields = {'loads': {}, 'suspects': [], 'work': {}} | more
    info = cluster.NodeInfo(name, f'{name}:1', 'a', 1.0, True)
    return cluster.Heartbeat(info, **fields)


def _snapshot(version, **rows):
    return stores.RowBatch(
        tuple(
            stores.RawRow(key, value, version) for key, value in rows.items()
        ),
        version,
    )


def _update(row_bytes, age_ms=100):
    row = _messages.RelayedRow('a', b'x' * row_bytes, 1)
    return _messages.LeaderUpdate(
        leader='n1',
        lease_version=5,
        nodes=None,
        loads={},
        suspects=[],
        closed={},
        opened=[],
        tables=[_messages.TableUpdate('t', [row], 1, age_ms, ['a'])],
    )


class Pair:
    """A leader's hub and one node's link to it."""

    def __init__(self):
        self.clock = clocks.MonotonicClock()
        self.lease = Lease(True)
        self.leader_rows = cluster.TableCache('t', self.clock)
        self.node_rows = cluster.TableCache('t', self.clock)
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
        """Applies a snapshot to the leader's table."""
        self.leader_rows.apply_snapshot(
            _snapshot(version, **rows), self.clock.now()
        )

    async def start(self):
        """Starts the hub and links the node to it."""
        address = await self.hub.listen('127.0.0.1:0')
        self.task = asyncio.ensure_future(self.link.run_link(address))


@pytest.fixture
async def pair():
    """A leader and a node that has received an update."""
    found = Pair()
    found.load(1, a=b'1')
    await found.start()
    await conftest.until(lambda: found.link.last_update is not None, 'update')
    yield found
    found.task.cancel()
    await found.hub.close()


async def test_rows_are_relayed_to_node(pair):
    """The node gets all rows first, then changed and removed rows."""
    assert pair.node_rows.rows['a'].value == b'1'
    pair.load(2, b=b'2')
    await conftest.until(lambda: 'b' in pair.node_rows.rows, 'b')
    assert 'a' not in pair.node_rows.rows
    assert pair.node_rows.version == 2


async def test_update_names_leader_and_node(pair):
    """The nodes in an update are the leader and the linked nodes."""
    await conftest.until(
        lambda: len(pair.link.nodes) == 2, 'both nodes in an update'
    )
    names = {info.node for info in pair.link.nodes}
    assert names == {'n1', 'n2'}
    assert pair.link.last_update.lease_version == 5


async def test_longest_pressure_of_all_nodes_reaches_each(pair):
    """Pressure of a heartbeat ends in time though no other follows."""
    pair.beats['n1'] = _beat('n1', pressure_ms={'s/m': {1: 300, 2: 900}})
    pair.beats['n2'] = _beat('n2', pressure_ms={'s/m': {1: 700}})
    pair.link.send_soon()
    await conftest.until(
        lambda: 600 < pair.hub.pressure_ms()['s/m'][1] <= 700, 'heartbeat'
    )
    pair.hub.send_soon()
    await conftest.until(
        lambda: 2 in pair.link.last_update.pressure_ms.get('s/m', ()),
        'update',
    )
    got = pair.link.last_update.pressure_ms['s/m']
    assert 300 < got[1] <= 700
    assert got[2] == 900
    pair.beats['n1'] = _beat('n1')
    pair.beats['n2'] = _beat('n2', pressure_ms={'s/n': {1: 1}})
    await conftest.until(lambda: not pair.hub.pressure_ms(), 'its end')


async def test_sums_of_ramps_reach_each_node(pair):
    """All nodes count, the leader too; a sum ends with the last ramp."""
    pair.beats['n1'] = _beat('n1', ramps={'h/1': (3, 1)})
    pair.beats['n2'] = _beat('n2', ramps={'h/1': (2, 0), 'h2/7': (0, 1)})
    pair.link.send_soon()
    expected = {'h/1': (5, 1), 'h2/7': (0, 1)}
    await conftest.until(
        lambda: pair.hub.total_ramps() == expected, 'heartbeat'
    )
    pair.hub.send_soon()
    await conftest.until(
        lambda: pair.link.last_update.ramps == expected, 'update'
    )
    pair.beats['n2'] = _beat('n2')
    await conftest.until(
        lambda: pair.link.last_update.ramps == {'h/1': (5, 1)}, 'its end'
    )


@pytest.mark.parametrize('kind', [_messages.Heartbeat, _messages.LeaderUpdate])
def test_messages_without_ramps_are_read(kind):
    """Nodes of an earlier build run beside those of this one."""
    full = _beat('n1') if kind is _messages.Heartbeat else _update(1)
    tag, fields = cbor2.loads(_messages.encode(full))
    del fields['ramps']
    got = _messages.decode(cbor2.dumps([tag, fields]), 'peer')
    assert got == full


@pytest.mark.parametrize(
    'suspects, expected',
    [((('h',), ()), []), ((('h',), ('h',)), ['h'])],
)
async def test_suspect_needs_two_reports(pair, suspects, expected):
    """A head is suspect for all only if two nodes report it."""
    for name, heads in zip(('n1', 'n2'), suspects, strict=True):
        pair.beats[name] = _beat(name, suspects=list(heads), loads={'h': 2})
    pair.link.send_soon()
    await conftest.until(
        lambda: pair.link.last_update.loads.get('h') == 4, 'loads updated'
    )
    assert pair.link.last_update.suspects == expected


async def test_work_is_summed_over_restarts(pair):
    """A node's first total is a baseline, and a restart resets its total."""
    for total in (10.0, 14.0, 3.0):
        pair.beats['n2'] = _beat('n2', work={'s/m': total}, loads={'x': 1})
        pair.link.send_soon()
        await conftest.until(
            lambda total=total: (
                pair.hub._last_work_by_node.get('n2', {}).get('s/m') == total
            ),
            'heartbeat received',
        )
    assert pair.hub.total_work()['s/m'] == pytest.approx(4.0 + 3.0)


async def test_link_ends_with_lease(pair):
    """A former leader closes its links."""
    pair.lease.is_held = False
    pair.hub.send_soon()
    async with asyncio.timeout(conftest.WAIT_S):
        await pair.task


async def test_link_to_non_leader_is_refused(pair):
    """A node without the lease closes the link without an update."""
    other = Pair()
    other.lease.is_held = False
    other.load(1, a=b'1')
    await other.start()
    async with asyncio.timeout(conftest.WAIT_S):
        await other.task
    assert other.link.last_update is None
    await other.hub.close()


def _hub_with(clock, beats, links, links_at_renewal):
    rows = cluster.TableCache('t', clock)
    rows.apply_snapshot(stores.RowBatch((), 1), clock.now())
    hub = cluster.Hub('n0', Lease(True), [rows], lambda: _beat('n0'), clock)
    hub._links = {name: object() for name in range(links_at_renewal)}
    hub.record_link_count()
    hub._links = dict.fromkeys(links)
    hub._heartbeats = dict(beats)
    return hub


@pytest.mark.parametrize(
    'heard_s, ages_s, links, links_at_renewal, expected',
    [
        ((0.1, 0.3, 0.7), (3.0, 3.2, 2.9), 3, 3, True),
        ((0.1, 0.3, 0.7), (3.0, 3.2, 2.9), 3, 4, True),
        ((0.1, 0.3, 0.7), (3.0, 3.2, 2.9), 3, 5, False),  # too few are left
        ((0.1, 0.9, 1.0), (3.0, 3.2, 2.9), 3, 3, False),  # two are silent
        ((0.1, 0.3, 0.7), (3.0, 3.2, 2.9), 1, 3, False),  # two links ended
        ((0.1, 0.3, 0.7), (3.0, 0.4, 2.9), 3, 3, False),  # one reads the store
        ((), (), 0, 0, False),
    ],
)
def test_leader_has_enough_followers(
    heard_s, ages_s, links, links_at_renewal, expected
):
    """Most nodes are linked, and none has newer tables than the leader."""
    clock = clocks.ManualClock()
    names = [f'n{n}' for n in range(1, len(heard_s) + 1)]
    now = clock.now() + 3.0
    beats = {
        name: (now - ago, _beat(name, store_age_ms=int(age * 1000)))
        for name, ago, age in zip(names, heard_s, ages_s, strict=True)
    }
    hub = _hub_with(clock, beats, names[:links], links_at_renewal)
    clock.advance(3.0)
    assert hub.has_enough_followers() == expected


async def test_update_names_nodes_only_on_change(pair):
    """An update leaves the nodes out if the link's last ones still hold."""
    updates = []
    pair.link.on_update.append(updates.append)
    await conftest.until(
        lambda: len(pair.link.nodes) == 2, 'both nodes in an update'
    )
    updates.clear()
    pair.hub.send_soon()
    await conftest.until(lambda: len(updates) >= 2, 'two updates')
    assert [update.nodes for update in updates] == [None] * len(updates)
    changed = cluster.NodeInfo('n1', 'n1:1', 'a', 1.0, False)
    pair.beats['n1'] = cluster.Heartbeat(changed, {}, [], {})
    await conftest.until(
        lambda: changed in pair.link.nodes, 'changed node sent'
    )


@pytest.mark.parametrize('beats', [0, 1, 3])
async def test_update_acknowledges_last_heartbeat(pair, beats):
    """The delay counts from the heartbeat that an update acknowledges."""
    for _beat_number in range(beats):
        before = max(pair.link._beats_sent_at)
        pair.link.send_soon()
        await conftest.until(
            lambda before=before: max(pair.link._beats_sent_at) > before,
            'heartbeat',
        )
    number = max(pair.link._beats_sent_at)
    await conftest.until(
        lambda: min(pair.link._beats_sent_at) >= number, 'acknowledged'
    )
    assert 0.0 <= pair.link.update_delay_s


async def test_update_with_unknown_acknowledgement_ends_link(pair):
    """An update for a heartbeat that was never sent is not applied."""
    with pytest.raises(errors.WireError):
        pair.link._apply_update(_messages.Ack(99, 0), pair.link.last_update)


NODES = 144  # beside the leader, at the size of the grown deployments
UPSTREAMS = 230
SMALL_UPLINK_BYTES_PER_S = 14e6 / 8  # of the smallest VMs
CLIENT_GONE_S = 0.5  # a request ends this soon after its client has left
CONFIGURATION_S = 3.0  # a configuration is in force everywhere by then


def _upstream_entry(number):
    entry = {
        'service': 'llm',
        'address': f'10.0.{number % 7}.{number}:8444',
        'zone': 'a',
        'slots': 25,
        'state': 'ready',
        'born': 1700000000000 + 977 * number,
        'domain': f'd{number // 19}',
        'staged': ['m0'],
        'seq': 7 * number,
        'group': {
            'name': f'g{100000 + number // 8}',
            'epoch': 100000 + number // 8,
            'rank': number % 8,
            'state': 'ready',
        },
        'models': [{'name': 'm0', 'version': 1, 'adapters': []}],
    }
    return json.dumps(entry).encode()


async def _first_update_bytes(pair) -> int:
    await pair.start()
    await conftest.until(lambda: pair.link.last_update is not None, 'update')
    await conftest.until(
        lambda: pair.node_rows.version == pair.leader_rows.version, 'rows'
    )
    return pair.hub.sent_bytes


async def test_nodes_that_hold_the_tables_do_not_fill_a_new_leaders_uplink():
    """All nodes link to a small VM while it must still forward closes."""
    pair = Pair()
    rows = {f'i-{n:010x}': _upstream_entry(n) for n in range(UPSTREAMS)}
    pair.load(7, **rows)
    pair.node_rows.apply_snapshot(
        stores.RowBatch(tuple(pair.leader_rows.rows.values()), 7),
        pair.clock.now(),
    )
    pair.beats['n1'] = _beat('n1', loads={name: 3 for name in list(rows)[:30]})
    sent = await _first_update_bytes(pair)
    pair.task.cancel()
    await pair.hub.close()
    assert sent * NODES <= SMALL_UPLINK_BYTES_PER_S * CLIENT_GONE_S


async def test_large_configuration_reaches_all_nodes_from_a_small_vm():
    """A row of 1,700 routes passes a small uplink once for each node."""
    rng = random.Random(5)
    cfg = conftest.configuration(4)
    cfg['routes'] = [
        conftest.route(
            f'r-{rng.randbytes(4).hex()}',
            f'/{rng.randbytes(4).hex()}/',
            'llm',
            'stream',
            host=f'{rng.randbytes(3).hex()}.example',
            resumable=True,
            gapTargetMs=200,
        )
        for _route in range(1700)
    ]
    pair = Pair()
    pair.load(7, config=json.dumps(cfg, separators=(',', ':')).encode())
    sent = await _first_update_bytes(pair)
    pair.task.cancel()
    await pair.hub.close()
    assert sent * NODES <= SMALL_UPLINK_BYTES_PER_S * CONFIGURATION_S


@pytest.mark.parametrize(
    'beat_s, held_ms, age_ms, expected_s',
    [
        (0.0, 0, 100, 0.1),
        (3.0, 0, 100, 3.1),  # three seconds on the way
        (3.0, 2900, 100, 0.2),  # held by the leader, sent just now
        (0.4, 400, 1200, 1.2),  # old at the leader already
    ],
)
def test_relayed_table_is_as_old_as_its_way(
    beat_s, held_ms, age_ms, expected_s
):
    """Rows that were delayed on the way are not taken for current."""
    clock = clocks.ManualClock()
    table = cluster.TableCache('t', clock)
    link = cluster.HubClient([table], None, clock)
    link._beats_sent_at = {1: clock.now()}
    clock.advance(beat_s)
    link._apply_update(_messages.Ack(1, held_ms), _update(1, age_ms))
    assert table.age_s() == pytest.approx(expected_s)


@pytest.mark.parametrize(
    'held, held_version',
    [
        ({}, -1),
        ({'a': b'1'}, 1),  # lacks a change
        ({'a': b'1', 'x': b'9'}, 1),  # has a row that was removed since
        ({'a': b'1', 'b': b'2'}, 2),  # lacks nothing
        ({'b': b'3'}, 3),  # is newer than the leader
    ],
)
async def test_node_links_with_tables_of_another_version(held, held_version):
    """The node ends up with the leader's rows unless its own are newer."""
    pair = Pair()
    pair.load(1, a=b'1')
    pair.leader_rows.apply_changes(
        stores.RowBatch((stores.RawRow('b', b'2', 2),), 2), pair.clock.now()
    )
    if held:
        pair.node_rows.apply_snapshot(
            _snapshot(held_version, **held), pair.clock.now()
        )
    await pair.start()
    await conftest.until(lambda: pair.link.last_update is not None, 'update')
    pair.task.cancel()
    await pair.hub.close()
    values = {row.key: row.value for row in pair.node_rows.rows.values()}
    assert values == (held if held_version > 2 else {'a': b'1', 'b': b'2'})
    assert pair.node_rows.version == max(held_version, 2)
    (sent,) = pair.link.last_update.tables
    assert len(sent.rows) == {-1: 2, 1: 1, 2: 0, 3: 0}[held_version]


async def test_ended_links_do_not_wake_the_others(pair):
    """Many links that end together do not multiply the updates sent."""
    other = cluster.HubClient(
        [cluster.TableCache('t', pair.clock)],
        lambda: _beat('n3'),
        pair.clock,
    )
    host, port = pair.hub._server.sockets[0].getsockname()[:2]
    task = asyncio.ensure_future(other.run_link(f'{host}:{port}'))
    await conftest.until(lambda: 'n3' in pair.hub._links, 'n3 linked')
    wake = pair.hub._links['n2'].wake
    task.cancel()
    await conftest.until(lambda: 'n3' not in pair.hub._links, 'n3 gone')
    assert not wake.is_set()


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'0' * 12,
        b'0' * 12 + b'\1not compressed',
        b'0' * 12 + b'\1' + zlib.compress(b'x' * (5 << 20))[:-9],
        b'0' * 12 + b'\1' + zlib.compress(_messages.encode(_update(5 << 20))),
        b'0' * 12 + b'\0' + _messages.encode(_beat('n1')),
    ],
)
def test_invalid_update_is_refused(data):
    """A message that is no update, or too long once decompressed."""
    with pytest.raises(errors.WireError):
        _messages.decode_from_leader(data, 'n1')
