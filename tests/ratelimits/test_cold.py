"""Rates of cold upstreams over all nodes, and how long they stay cold."""

import collections
import dataclasses
import types

import hypothesis
from hypothesis import strategies
import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import ratelimits
from plantainway.ratelimits import _cold
from plantainway.ratelimits import _window
from tests.ratelimits import test_issuer

MAX_WAIT_S = 0.2  # of a request for a permit
DELAY_MAX_S = 0.5  # used up to 0.1 s late, and 0.4 s to connect


def _upstream(started_ms=1, left_ms=0):
    return deployment.Upstream(
        'u', 's', '', 'a', 2, False, started_ms, cold_left_ms=left_ms
    )


def _configure(cold, per_second, overshoot=1.5, tolerance=5.0):
    service = deployment.Service('s', '/', 1, cold_per_s=per_second)
    cold.configure(types.SimpleNamespace(services={'s': service}))
    cold.upstreams = types.SimpleNamespace(by_name={'u': _upstream()})
    cold.overshoot, cold.tolerance = overshoot, tolerance


class ColdFleet(test_issuer.Fleet):
    """Nodes that share the rate of a cold upstream.

    Requests with a permit are delayed so that as many as possible arrive from
    ``align_at`` on.
    """

    def __init__(self, per_second, count, margin=(1.5, 5.0), seed=1):
        super().__init__(per_second, count, seed)
        self.limits.forget('u')
        _configure(self.limits.cold, per_second, *margin)
        self.limits.cold.observe_entry(_upstream(left_ms=100_000), 1)
        self.align_at = 0.0
        self.arrivals = []

    def _ask(self, node):
        now = self.clock.now()
        if not node.is_linked:
            if now >= node.starts_at and node.shares.try_send('u'):
                self.arrivals.append(now)
        elif self._is_in_touch(node):
            permit = self.issuer.issue(node.name, ['u'], MAX_WAIT_S)
            if permit.upstream:
                node.shares.record_sent('u')
                due_at = now + permit.wait_s
                late_s = max(self.align_at - due_at, 0.0)
                self.arrivals.append(due_at + min(late_s, DELAY_MAX_S))

    def run_aligned(self, seconds, demand_per_s):
        """Runs with the delays that are the worst for this period."""
        self.align_at = self.clock.now() + DELAY_MAX_S
        self.run(seconds, demand_per_s)

    def most_in_a_second(self):
        """Returns the most requests that arrive within a second."""
        return max(
            sum(start <= at <= start + 1.0 for at in self.arrivals)
            for start in self.arrivals
        )


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    per_second=strategies.floats(1.0, 30.0),
    margin=strategies.sampled_from([(1.5, 1.0), (1.5, 5.0), (2.0, 2.5)]),
    count=strategies.sampled_from([1, 12, 300]),
    bursts=strategies.lists(strategies.sampled_from([0, 40, 400]), min_size=4),
    seed=strategies.integers(0, 1000),
)
def test_rate_holds_in_any_second(per_second, margin, count, bursts, seed):
    """Permits that many nodes use late must not add up above the rule."""
    fleet = ColdFleet(per_second, count, margin, seed)
    for demand_per_s in (400, 0, 400, 400, *bursts):
        fleet.run_aligned(1.0, demand_per_s)
    allowed = per_second * margin[0] + margin[1]
    assert fleet.most_in_a_second() <= allowed


def _most_nodes_cut_off(fleet):
    for step in range(6):
        for name in list(fleet.nodes)[len(fleet.nodes) // 5 :]:
            fleet.cut(name, 5.0 + step * 0.15)
        fleet.run(7.0, 200.0)


@pytest.mark.parametrize('count', [15, 300])
@pytest.mark.parametrize(
    'happen',
    [
        test_issuer._new_leader,
        test_issuer._leader_cut_off,
        test_issuer._nodes_cut_off,
        test_issuer._cut_off_while_the_leader_changes,
        test_issuer._store_away,
        _most_nodes_cut_off,
    ],
    ids=lambda found: found.__name__.strip('_'),
)
def test_rate_holds_while_leaders_are_lost(happen, count):
    """Nodes without a leader must not send four seconds' worth at once."""
    fleet = ColdFleet(17.0, count, (1.5, 1.0))
    fleet.run(4.0, 100.0)
    happen(fleet)
    fleet.run(4.0, 100.0)
    assert fleet.most_in_a_second() <= 17.0 * 1.5 + 1.0
    fleet.arrivals.clear()
    fleet.run(4.0, 100.0)
    assert len(fleet.arrivals) >= 0.8 * 17.0 * 4.0


def test_part_of_a_node_is_held_back_until_its_use_is_past():
    """It may have been used just before the node came back."""
    fleet = ColdFleet(17.0, 2)
    fleet.issuer.begin_term(['n001'], {})
    rates = [fleet.issuer._rate('u', 17.0)]
    for seconds in (0.5, 0.6):
        fleet.issuer.record_heard('n001', {})
        fleet.clock.advance(seconds)
        fleet.issuer._update_absent()
        rates.append(fleet.issuer._rate('u', 17.0))
    assert rates == [9.0, 9.0, 17.0]


def test_nodes_go_on_sending_without_a_leader():
    """A cold upstream must not be left idle while the store is away."""
    fleet = ColdFleet(17.0, 15)
    fleet.run(4.0, 100.0)
    fleet.kill(fleet.leader, 30.0)
    fleet.elect_at += 30.0
    fleet.run(4.0, 100.0)
    fleet.arrivals.clear()
    fleet.run(4.0, 100.0)
    assert 0.7 * 17.0 * 4.0 <= len(fleet.arrivals)
    assert fleet.most_in_a_second() <= 17.0 + 1.0


@pytest.mark.parametrize(
    'named, left_ms, expected',
    [
        (None, 0, 17.0),  # only the node that asks knows it
        (2.0, 0, 2.0),
        (2.0, 5000, 2.0),
        (30.0, 0, 30.0),
        (30.0, 5000, 17.0),
    ],
)
def test_permits_follow_the_lower_limit(named, left_ms, expected):
    """The leader may know of neither, of one, or of both."""
    limits = ratelimits.LimitBook(clocks.ManualClock())
    _configure(limits.cold, 17.0)
    limits.observe(_upstream(), named)
    limits.cold.observe_entry(_upstream(left_ms=left_ms), 1)
    assert limits.find_by_name('u') == expected


@pytest.mark.parametrize(
    'events, cold_until',
    [
        # Time, kind, incarnation, milliseconds left, version of the row.
        ([(0, 'row', 1, 5000, 1)], 5.0),
        ([(0, 'row', 1, 5000, 1), (2, 'row', 1, 5000, 1)], 5.0),
        ([(0, 'row', 1, 5000, 1), (2, 'row', 1, 3100, 2)], 5.0),
        ([(0, 'row', 1, 5000, 1), (2, 'row', 1, 0, 2)], 5.0),
        ([(0, 'row', 1, 5000, 1), (2, 'row', 1, 6000, 2)], 8.0),
        ([(0, 'row', 1, 5000, 1), (2, 'answer', 1, 6000, 0)], 8.0),
        ([(0, 'row', 1, 5000, 1), (2, 'node', 1, 100, 0)], 5.0),
        ([(0, 'node', 1, 5000, 0)], 5.0),
        ([(0, 'row', 2, 5000, 1), (1, 'row', 1, 9000, 2)], 5.0),
        ([(0, 'row', 1, 10**12, 1)], 600.0),
    ],
)
def test_end_is_kept_on_the_own_clock(events, cold_until):
    """Repeated, late and older news neither shorten nor prolong it."""
    clock = clocks.ManualClock(0.0)
    cold = ratelimits.ColdStates(clock)
    _configure(cold, 17.0)
    for at, kind, started_ms, left_ms, version in events:
        clock.advance(at - clock.now())
        upstream = _upstream(started_ms, left_ms)
        if kind == 'row':
            cold.observe_entry(upstream, version)
        elif kind == 'answer':
            cold.observe_answer(upstream, left_ms / 1000)
        else:
            cold.merge([ratelimits.ColdObservation('u', started_ms, left_ms)])
    clock.advance(cold_until - 0.01 - clock.now())
    assert cold.find(_upstream()) == 17.0
    clock.advance(0.02)
    assert cold.find(_upstream()) is None


def test_end_does_not_grow_between_nodes():
    """What a node was told by the leader does not go back to it."""
    clock = clocks.ManualClock()
    books = [ratelimits.ColdStates(clock) for _ in range(2)]
    for one in books:
        _configure(one, 17.0)
    books[0].observe_answer(_upstream(), 5.0)
    books[1].merge(books[0].take_unreported())
    assert books[1].find(_upstream()) == 17.0
    assert books[1].take_unreported() == books[1].answered() == []
    assert len(books[1].observations()) == 1


def test_services_without_a_rate_are_never_limited():
    """Deployments without cold engines must see no change."""
    limits = ratelimits.LimitBook(clocks.ManualClock())
    _configure(limits.cold, 0.0)
    limits.cold.observe_entry(_upstream(left_ms=5000), 1)
    limits.cold.observe_answer(_upstream(), 5.0)
    assert limits.find(_upstream()) is limits.find_by_name('u') is None
    assert limits.revision == 0 and not limits.cold_in_force()


def _many_cold(clock, count):
    """Returns the limits with some cold upstreams, and their names."""
    limits = ratelimits.LimitBook(clock)
    names = [f'u{number}' for number in range(count)]
    _configure(limits.cold, 17.0)
    limits.cold.upstreams.by_name = {
        name: dataclasses.replace(_upstream(left_ms=100_000), name=name)
        for name in names
    }
    for upstream in limits.cold.upstreams.by_name.values():
        limits.cold.observe_entry(upstream, 1)
    return limits, names


@pytest.mark.parametrize('candidates', [1, 20])
def test_cost_of_a_share_does_not_grow_with_the_cold_upstreams(
    monkeypatch, candidates
):
    """A request must not look at all cold upstreams for each candidate."""
    clock = clocks.ManualClock()
    calls = collections.Counter()
    for module, name in (
        (_cold.ColdStates, '_find_state'),
        (_window, 'equal_quotas'),
    ):
        monkeypatch.setattr(
            module, name, _counted(getattr(module, name), calls, name)
        )
    limits, names = _many_cold(clock, 200)
    shares = ratelimits.KeptShares('n300', limits, clock)
    nodes = [f'n{number:03}' for number in range(360)]
    shares.update(False, nodes, clock.now())
    clock.advance(5.0)
    calls.clear()
    for name in names[:candidates]:
        assert not shares.try_send(name)
    shares.retry_after_s(names[:candidates])
    assert calls['_find_state'] <= 6 * candidates
    assert calls['equal_quotas'] <= 1


def test_what_is_held_back_is_computed_once_for_a_rate(monkeypatch):
    """Sorting all nodes for each candidate delays the leader's requests."""
    clock = clocks.ManualClock()
    calls = collections.Counter()
    limits, names = _many_cold(clock, 60)
    issuer = ratelimits.PermitIssuer('n0', limits, clock)
    issuer.begin_term([f'n{number:03}' for number in range(1, 360)], {})
    monkeypatch.setattr(
        _window, 'equal_quotas', _counted(_window.equal_quotas, calls, 'q')
    )
    for _ in range(3):
        clock.advance(0.25)
        calls.clear()
        issuer.issue('n5', names, 0.0)
        assert calls['q'] == 1
    rates = [issuer._rate('u0', 17.0)]
    # A node that is lost or back counts at once.
    for number in range(1, 360):
        issuer.record_heard(f'n{number:03}', {})
    clock.advance(1.1)
    for number in range(1, 360):
        issuer.record_heard(f'n{number:03}', {})
    issuer._update_absent()
    rates.append(issuer._rate('u0', 17.0))
    for name in ('n001', 'n002'):
        issuer.record_lost(name)
        rates.append(issuer._rate('u0', 17.0))
    assert rates == [1.0, 17.0, 16.0, 15.0]


def _counted(function, calls, name):
    def call(*args):
        calls[name] += 1
        return function(*args)

    return call
