"""Permits of all nodes together, while leaders and nodes come and go."""

import random

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import ratelimits
from plantainway.ratelimits import _issuer
from plantainway.ratelimits import _shares
from plantainway.ratelimits import _window

TICK_S = 0.05
LEADER_LOST_S = 1.0  # until a node takes its leader for lost
ELECTION_S = 2.5
HEARTBEAT_S = 0.4
WINDOW_S = 4.0  # as in the platform's rule
# Requests beyond the limit and its burst, for rounding when shares move.
ROUNDING = 2


class Node:
    """One node: what it may send without a leader, and when it is cut off."""

    def __init__(self, name, limits, clock):
        self.name = name
        self.shares = ratelimits.KeptShares(name, limits, clock)
        self.cut_until = 0.0
        self.starts_at = 0.0
        self.heard_at = clock.now()
        self.is_linked = True


class Fleet:
    """Nodes with one leader that share the limit of one upstream.

    Args:
        per_second: The limit.
        count: Number of nodes.
        seed: Seed of the nodes' demand.
    """

    def __init__(self, per_second, count, seed=1):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.per_second = per_second
        self.limits = ratelimits.LimitBook(self.clock)
        self.upstream = deployment.Upstream('u', 's', '', 'a', 2, False)
        self.limits.observe(self.upstream, per_second)
        self.nodes = {
            name: Node(name, self.limits, self.clock)
            for name in (f'n{number:03}' for number in range(count))
        }
        self.leader = 'n000'
        self.elect_at = None
        self.issuer = ratelimits.PermitIssuer(
            self.leader, self.limits, self.clock
        )
        self.issuer.begin_term([], {})
        self.sent_at = []
        self.denied = 0
        self.next_beat = self.clock.now()

    def run(self, seconds, demand_per_s):
        """Lets nodes ask for a rate of permits, one after the other."""
        ends_at = self.clock.now() + seconds
        while self.clock.now() < ends_at:
            self.clock.advance(TICK_S)
            self._follow()
            expected = demand_per_s * TICK_S
            count = int(expected) + (self.rng.random() < expected % 1)
            for _request in range(count):
                self._ask(self.rng.choice(list(self.nodes.values())))

    def _is_in_touch(self, node):
        return (
            self.leader is not None
            and self.clock.now() >= node.cut_until
            and self.clock.now() >= self.nodes[self.leader].cut_until
        )

    def _follow(self):
        now = self.clock.now()
        if self.leader is None and now >= self.elect_at:
            self._elect()
        is_beat = now >= self.next_beat
        if is_beat:
            self.next_beat = now + HEARTBEAT_S
        for node in self.nodes.values():
            if self._is_in_touch(node):
                if is_beat or not node.is_linked:
                    if node.name != self.leader:
                        self.issuer.record_heard(
                            node.name, node.shares.shares()
                        )
                    node.heard_at = now
                    node.is_linked = True
            elif now - node.heard_at > LEADER_LOST_S:
                node.is_linked = False
            node.shares.update(node.is_linked, self.nodes, node.heard_at)

    def _elect(self):
        now = self.clock.now()
        name = next(
            name for name, one in self.nodes.items() if one.cut_until <= now
        )
        node = self.nodes[name]
        self.leader = name
        others = set(self.nodes) | set(self.absent)
        self.issuer = ratelimits.PermitIssuer(name, self.limits, self.clock)
        self.issuer.begin_term(others - {name}, node.shares.shares())
        node.is_linked, node.heard_at = True, now
        node.shares.update(True, self.nodes, now)

    def _ask(self, node):
        if self.clock.now() < node.starts_at:
            return
        if node.is_linked:
            if not self._is_in_touch(node):
                return  # the request times out
            permit = self.issuer.issue(node.name, ['u'], 0.0)
            if permit.upstream:
                node.shares.record_sent('u')
                self.sent_at.append(self.clock.now())
            else:
                self.denied += 1
        elif node.shares.try_send('u'):
            self.sent_at.append(self.clock.now())

    def kill(self, name, seconds=1.0):
        """Ends a process; another one starts after some seconds."""
        self.nodes[name] = Node(name, self.limits, self.clock)
        starts_at = self.clock.now() + seconds
        self.nodes[name].starts_at = starts_at
        self.nodes[name].cut_until = starts_at
        self.nodes[name].is_linked = False
        self.issuer.record_lost(name)
        if name == self.leader:
            self._lose_leader()

    def _lose_leader(self):
        self.absent = self.issuer.absent_nodes()
        self.leader = None
        self.elect_at = self.clock.now() + ELECTION_S

    def cut(self, name, seconds):
        """Cuts a node off from the other nodes, not from the upstream."""
        self.nodes[name].cut_until = self.clock.now() + seconds
        if name == self.leader:
            self._lose_leader()

    def most_sent(self):
        """Returns the most requests in a window."""
        return max(
            (
                sum(at <= other < at + WINDOW_S for other in self.sent_at)
                for at in self.sent_at
            ),
            default=0,
        )

    def assert_limit_holds(self):
        """Checks what the upstream gets in any window."""
        window_s = WINDOW_S + _issuer.BURST_S
        allowed = self.per_second * window_s + ROUNDING
        assert self.most_sent() <= allowed


def _rolling_restart(fleet):
    for name in list(fleet.nodes)[:8]:
        fleet.kill(name)
        fleet.run(2.0, 30.0)


def _new_leader(fleet):
    fleet.kill(fleet.leader)
    fleet.run(12.0, 30.0)


def _leaders_in_series(fleet):
    for _leader in range(3):
        fleet.kill(fleet.leader, 30.0)
        fleet.run(5.0, 30.0)


def _leader_cut_off(fleet):
    fleet.cut(fleet.leader, 20.0)
    fleet.run(25.0, 30.0)


def _nodes_cut_off(fleet):
    for name in list(fleet.nodes)[3:8]:
        fleet.cut(name, 8.0)
    fleet.run(20.0, 30.0)


def _cut_off_while_the_leader_changes(fleet):
    for name in list(fleet.nodes)[3:8]:
        fleet.cut(name, 15.0)
    fleet.run(3.0, 30.0)
    fleet.kill(fleet.leader)
    fleet.run(20.0, 30.0)


def _store_away(fleet):
    fleet.kill(fleet.leader)
    fleet.elect_at += 12.0
    fleet.run(20.0, 30.0)


def _limit_named_without_a_leader(fleet):
    fleet.kill(fleet.leader)
    fleet.elect_at += 8.0
    fleet.run(2.0, 0.0)
    fleet.limits.forget('u')
    fleet.run(1.0, 0.0)
    fleet.limits.observe(fleet.upstream, fleet.per_second)
    fleet.run(15.0, 30.0)


def _limit_named_while_nodes_are_cut_off(fleet):
    fleet.limits.forget('u')
    fleet.issuer.forget('u')
    for name in list(fleet.nodes)[3:10]:
        fleet.cut(name, 20.0)
    fleet.run(3.0, 0.0)
    fleet.limits.observe(fleet.upstream, fleet.per_second)
    fleet.run(15.0, 30.0)


@pytest.mark.parametrize('per_second', [0.4, 2.0, 3.3, 12.0])
@pytest.mark.parametrize(
    'happen',
    [
        _rolling_restart,
        _new_leader,
        _leaders_in_series,
        _leader_cut_off,
        _nodes_cut_off,
        _cut_off_while_the_leader_changes,
        _store_away,
        _limit_named_without_a_leader,
        _limit_named_while_nodes_are_cut_off,
    ],
    ids=lambda found: found.__name__.strip('_'),
)
def test_nodes_together_stay_within_a_limit(happen, per_second):
    """Whatever happens to nodes and leaders, under a load of many times."""
    fleet = Fleet(per_second, 15)
    fleet.run(8.0, 30.0)
    happen(fleet)
    fleet.assert_limit_holds()


@pytest.mark.parametrize('count', [1, 15, 360])
@pytest.mark.parametrize('per_second', [0.4, 2.0, 12.0])
def test_a_limit_is_used_up_however_many_nodes_ask(count, per_second):
    """No node starves an upstream of requests that others would send."""
    fleet = Fleet(per_second, count)
    fleet.run(30.0, 5 * per_second)
    assert len(fleet.sent_at) >= 0.9 * per_second * 30.0 - 1


@pytest.mark.parametrize('count', [15, 360])
def test_one_busy_node_gets_the_whole_limit(count):
    """The shares follow the demand."""
    fleet = Fleet(2.0, count)
    node = fleet.nodes['n007']
    for _tick in range(400):
        fleet.run(TICK_S, 0.0)
        fleet._ask(node)
    assert len(fleet.sent_at) >= 0.9 * 2.0 * 20.0


def test_nodes_go_on_sending_without_a_leader():
    """They keep their last share while the store is away."""
    fleet = Fleet(12.0, 15)
    fleet.run(8.0, 30.0)
    fleet.kill(fleet.leader, 30.0)
    fleet.elect_at += 30.0
    fleet.run(8.0, 30.0)
    without_leader = [
        at for at in fleet.sent_at if at > fleet.clock.now() - WINDOW_S
    ]
    assert len(without_leader) >= 0.5 * 12.0 * WINDOW_S


def test_share_ends_when_no_leader_is_heard_of_for_long():
    """The leader holds it back for longer."""
    fleet = Fleet(12.0, 3)
    fleet.run(8.0, 30.0)
    name = 'n002'
    fleet.cut(name, 100.0)
    fleet.run(2.0, 0.0)
    shares = fleet.nodes[name].shares
    assert shares.shares()['u'] > 0
    fleet.run(_shares.SHARE_TTL_S, 0.0)
    assert not shares.shares()
    assert not shares.try_send('u')
    assert _issuer.RESERVATION_TTL_S > _shares.SHARE_TTL_S


@pytest.mark.parametrize(
    'max_wait_s, upstream, wait_s',
    [(0.0, '', 0.5), (0.4, '', 0.5), (0.6, 'u', 0.5)],
)
def test_request_waits_only_as_long_as_it_can(max_wait_s, upstream, wait_s):
    """Otherwise it is told when the next permit falls due."""
    fleet = Fleet(2.0, 1)
    issuer = fleet.issuer
    assert issuer.issue('n0', ['u'], 0.0).upstream == 'u'
    permit = issuer.issue('n0', ['u'], max_wait_s)
    assert permit.upstream == upstream
    assert permit.wait_s == pytest.approx(wait_s)


def test_upstream_that_can_be_used_first_is_chosen():
    """Of equals the one that the node prefers; unlimited ones need none."""
    fleet = Fleet(2.0, 1)
    other = deployment.Upstream('v', 's', '', 'a', 2, False)
    fleet.limits.observe(other, 2.0)
    chosen = [
        fleet.issuer.issue('n0', ['v', 'u'], 2.0).upstream for _ in range(4)
    ]
    assert chosen == ['v', 'u', 'v', 'u']
    assert fleet.issuer.issue('n0', ['u', 'w'], 2.0) == ratelimits.Permit(
        'w', 0.0
    )


def test_limit_of_nothing_gives_no_permit():
    """The time to the next one is not known then."""
    fleet = Fleet(0.0, 1)
    assert fleet.issuer.issue('n0', ['u'], 10.0) == ratelimits.Permit(
        '', _issuer.UNKNOWN_RETRY_AFTER_S
    )


def test_higher_limit_takes_effect_at_once():
    """Permits that are due far ahead come closer."""
    fleet = Fleet(0.1, 1)
    fleet.issuer.issue('n0', ['u'], 0.0)
    fleet.clock.advance(0.1)
    assert fleet.issuer.issue('n0', ['u'], 0.0).wait_s > 1.0
    fleet.limits.observe(fleet.upstream, 10.0)
    assert fleet.issuer.issue('n0', ['u'], 0.2).upstream == 'u'


@pytest.mark.parametrize('count', [15, 360])
def test_lost_nodes_hold_back_no_more_than_their_part_of_a_later_limit(count):
    """A limit that is named when a third of the nodes are lost for good."""
    fleet = Fleet(12.0, count)
    fleet.limits.forget('u')
    fleet.run(1.0, 0.0)
    for name in list(fleet.nodes)[-count // 3 :]:
        fleet.kill(name, 100.0)
    fleet.run(2.0, 0.0)
    fleet.limits.observe(fleet.upstream, 12.0)
    fleet.run(10.0, 60.0)
    parts = _window.equal_quotas(_shares.units(12.0), fleet.nodes)
    lost = sum(list(parts.values())[-count // 3 :])
    assert len(fleet.sent_at) >= 0.9 * (12.0 - lost / WINDOW_S) * 10.0 - 1


def test_node_keeps_no_more_than_a_window_of_what_it_sent():
    """However long an upstream has been limited."""
    fleet = Fleet(2.0, 1)
    shares = fleet.nodes['n000'].shares
    for _request in range(1000):
        shares.record_sent('u')
        fleet.clock.advance(1.0)
    assert len(shares._sent['u']._used_at) <= _shares.SHARE_WINDOW_S + 1
