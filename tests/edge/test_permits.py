"""Where a node gets its permits, and what a new leader holds back."""

import dataclasses
import types

import cbor2
import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.cluster import _messages
from plantainway import deployment
from plantainway.edge import _permits
from plantainway import errors
from plantainway.platform import _upstreams
from plantainway import ratelimits
from plantainway.ratelimits import _cold
from plantainway.ratelimits import _shares
from plantainway import traffic

OTHERS = ('n2', 'n3')


class Link:
    """Fake link to a leader, whose reply a test sets."""

    def __init__(self, clock):
        self.is_receiving = True
        self.last_update_at = clock.now()
        self.update_delay_s = 0.0
        self.absent_nodes = ['n4']
        self.nodes = [
            cluster.NodeInfo(name, '', 'a', 1.0, True)
            for name in ('n1', *OTHERS)
        ]
        self.reply = ratelimits.Permit('', 0.3)

    async def request_permit(self, upstreams, wait_s):
        """Returns the reply, or raises it."""
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


class Harness:
    """The permits of node ``n1``, with an upstream that takes 2 a second."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.limits = ratelimits.LimitBook(self.clock)
        self.issuer = ratelimits.PermitIssuer('n1', self.limits, self.clock)
        self.shares = ratelimits.KeptShares('n1', self.limits, self.clock)
        self.link = Link(self.clock)
        self.leads = False
        leadership = types.SimpleNamespace(is_leader=lambda: self.leads)
        self.asked = []
        self.source = _permits.PermitSource(
            'n1',
            self.limits,
            self.issuer,
            self.shares,
            leadership,
            self.link,
            self.clock,
        )
        self.task = _permits.LimitTask(
            'n1',
            self.limits,
            self.issuer,
            self.shares,
            leadership,
            self.link,
            self.asked.append,
            lambda _none: None,
            self.clock,
        )
        self.upstream = deployment.Upstream('u', 's', '', 'a', 2, False)
        self.limits.observe(self.upstream, 2.0)

    async def acquire(self):
        """Returns the upstream that may be sent a request, or the refusal."""
        try:
            found = await self.source.acquire([self.upstream], 0.0)
        except errors.NotRunError as exc:
            return exc
        return found.name


@pytest.fixture
def harness():
    """A follower that is in touch with its leader."""
    return Harness()


@pytest.mark.parametrize(
    'reply, expected',
    [
        (ratelimits.Permit('u', 0.0), 'u'),
        (ratelimits.Permit('u', 0.01), 'u'),
        (ratelimits.Permit('', 0.3), 0.3),
        (ratelimits.Permit('unknown', 0.0), 0.0),
        (
            errors.LeaderUnavailableError('late'),
            _permits.LEADER_RETRY_AFTER_S,
        ),
    ],
)
async def test_follower_asks_its_leader(harness, reply, expected):
    """Without a permit the request is refused with the time to the next."""
    harness.link.reply = reply
    found = await harness.acquire()
    if isinstance(found, errors.NotRunError):
        assert found.reason == traffic.REASON_LIMITED
        found = found.retry_after_s
    assert found == expected


async def test_leader_issues_its_own_permits(harness):
    """It counts among the nodes that use the limit."""
    harness.leads = True
    harness.link.nodes, harness.link.absent_nodes = [], []
    harness.link.is_receiving = False
    harness.task.handle_acquired()
    assert await harness.acquire() == 'u'
    assert (await harness.acquire()).retry_after_s == pytest.approx(0.5)


async def test_node_without_a_leader_uses_its_share(harness):
    """It sends no more than it did before."""
    harness.link.reply = ratelimits.Permit('u', 0.0)
    assert [await harness.acquire() for _ in range(2)] == ['u', 'u']
    harness.link.is_receiving = False
    harness.task.update_touch(is_leader=False)
    refused = await harness.acquire()
    assert refused.retry_after_s == pytest.approx(ratelimits.SHARE_WINDOW_S)
    harness.clock.advance(ratelimits.SHARE_WINDOW_S)
    assert [await harness.acquire() for _ in range(2)] == ['u', 'u']
    assert isinstance(await harness.acquire(), errors.NotRunError)


def test_new_leader_holds_back_for_all_nodes_but_itself(harness):
    """Each is accounted for by its first heartbeat."""
    harness.link.is_receiving = False
    harness.task.handle_acquired()
    assert harness.issuer.absent_nodes() == ['n2', 'n3', 'n4']
    for name in (*OTHERS, 'n4'):
        info = cluster.NodeInfo(name, '', 'a', 1.0, True)
        harness.task.handle_heartbeat(
            cluster.Heartbeat(info, {}, [], {}, shares={'u': 1}), 0.0
        )
    assert harness.issuer.absent_nodes() == []


def test_upstreams_that_no_one_calls_are_asked(harness):
    """Once a second, from two seconds after their last answer on."""
    asked_at = []
    for tick in range(40):
        before = len(harness.asked)
        harness.task._ask_unconfirmed()
        if len(harness.asked) > before:
            asked_at.append(round(tick * 0.1, 1))
        harness.clock.advance(0.1)
    assert harness.asked == ['u'] * len(asked_at)
    assert len(asked_at) == 2 and asked_at[0] >= _permits.CONFIRM_AFTER_S


class ColdHarness(Harness):
    """The permits of a node, whose upstream ``u`` is cold."""

    def __init__(self):
        super().__init__()
        self.limits.forget('u')
        cold = self.limits.cold
        service = deployment.Service('s', '/', 1, cold_per_s=17.0)
        cold.configure(types.SimpleNamespace(services={'s': service}))
        upstream = dataclasses.replace(self.upstream, cold_left_ms=100_000)
        cold.upstreams = types.SimpleNamespace(by_name={'u': upstream})
        cold.observe_entry(upstream, 1)

    def update(self, **fields):
        """Handles an update of the leader, as it arrives."""
        update = {
            'leader': 'n9',
            'lease_version': 1,
            'nodes': None,
            'loads': {},
            'suspects': [],
            'closed': {},
            'opened': [],
            'tables': [],
        }
        data = cbor2.dumps(['digest', update | fields])
        self.task.handle_update(_messages.decode(data, 'n9'))

    async def send_for(self, seconds):
        """Returns the times of the permits when asking all the time."""
        times = []
        for _ in range(int(seconds * 50)):
            if await self.acquire() == 'u':
                times.append(self.clock.now())
            self.clock.advance(0.02)
        return times


async def test_leader_of_an_earlier_build_issues_no_permits_for_cold_ones():
    """It permits any number, so each node keeps to its equal part."""
    harness = ColdHarness()
    harness.link.reply = ratelimits.Permit('u', 0.0)
    harness.update()
    began_at = harness.clock.now()
    times = await harness.send_for(8.0)
    assert times[0] >= began_at + _shares.COLD_SHARE_DELAY_S
    # One of three nodes that share 17 requests in any second.
    assert 5 * 5 <= len(times) <= 6 * 6
    assert max(sum(at <= one < at + 1.0 for one in times) for at in times) <= 6
    # Named limits are still those of the leader.
    assert harness.shares.shares() == {}
    other = deployment.Upstream('v', 's', '', 'a', 2, False)
    harness.limits.observe(other, 2.0)
    harness.link.reply = ratelimits.Permit('v', 0.0)
    both = [harness.upstream, other]
    found = [await harness.source.acquire(both, 0.0) for _ in range(20)]
    assert {item.name for item in found[-10:]} == {'v'}


async def test_leader_of_this_build_issues_all_permits():
    """An empty list tells that it limits cold upstreams."""
    harness = ColdHarness()
    harness.link.reply = ratelimits.Permit('u', 0.0)
    harness.update()
    harness.update(cold=[])
    assert len(await harness.send_for(1.0)) == 50


@pytest.mark.parametrize(
    'delays_s, expected',
    [
        ([0.0], 'u'),
        ([0.09], 'u'),
        ([0.2, 0.0], 'u'),  # asked again
        ([0.2, 0.2], None),
    ],
)
async def test_late_permit_for_a_cold_upstream_is_dropped(delays_s, expected):
    """It would arrive beside those of the second after its own."""
    harness = ColdHarness()
    harness.update(cold=[])
    asked = []

    async def request_permit(upstreams, wait_s):
        harness.clock.advance(delays_s[len(asked)])
        asked.append(wait_s)
        return ratelimits.Permit('u', 0.0)

    harness.link.request_permit = request_permit
    found = await harness.acquire()
    assert len(asked) == len(delays_s)
    if expected is None:
        assert found.reason == traffic.REASON_LIMITED
    else:
        assert found == expected


async def test_late_permit_for_a_named_limit_is_used():
    """Its limit allows for the delay, and a dropped permit is wasted."""
    harness = Harness()
    harness.link.reply = ratelimits.Permit('u', 0.0)
    request_permit = harness.link.request_permit

    async def late(upstreams, wait_s):
        harness.clock.advance(0.2)
        return await request_permit(upstreams, wait_s)

    harness.link.request_permit = late
    assert await harness.acquire() == 'u'


def test_assumed_delay_covers_all_that_follows_a_permit():
    """The burst of a cold upstream is derived from it."""
    bounds = _permits.PERMIT_LATE_MAX_S + _upstreams.CONNECT_TIMEOUT_S
    assert _cold.PERMIT_DELAY_MAX_S >= bounds
