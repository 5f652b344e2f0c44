"""Tests of the adoption of groups and of orders to leave a group."""

import dataclasses

import pytest

from plantainway import deployment
from plantainway.supply import _adoption
from plantainway.supply import _orders
from plantainway.supply import _releases
from plantainway.supply import _state
from tests.supply import test_plan

State = deployment.GroupState
NOW = 100.0


def _engine(name, rank, state, group='g1', model='big', **changes):
    member = deployment.Membership(group, 1, rank, state, model)
    upstream = deployment.Upstream(
        name, 's', '10.0.0.1:1', 'a', 4, False, started_ms=7, membership=member
    )
    reachability = changes.pop('reachability', _state.Reachability.ANSWERS)
    return _state.EngineStatus(
        dataclasses.replace(upstream, **changes), reachability
    )


def _by_name(*engines):
    return {engine.name: engine for engine in engines}


def _ranks(states, model='big'):
    return [
        _engine(f'e{rank}', rank, state, model=model)
        for rank, state in enumerate(states)
        if state is not None
    ]


JOIN, READY, OPEN, CLOSING = (
    State.JOINING,
    State.READY,
    State.OPEN,
    State.CLOSING,
)


@pytest.mark.parametrize(
    'states, model, members, opened, closing',
    [
        ((OPEN, READY, READY, READY), 'big', 4, True, False),
        ((OPEN, READY, None, READY), 'big', 4, True, False),
        ((CLOSING, READY, READY, READY), 'big', 4, True, True),
        ((JOIN, JOIN, JOIN, JOIN), '', 4, False, False),
        ((READY, JOIN), '', 2, False, False),
        ((JOIN, JOIN, None, JOIN), 'big', None, False, False),
        ((None, READY, READY, READY), 'big', None, False, False),
    ],
)
def test_new_leader_adopts_groups(states, model, members, opened, closing):
    """Open groups are adopted as they are, joining ones if complete."""
    found = _adoption.adopt_groups(
        _by_name(*_ranks(states, model)), test_plan.make_profile(), NOW
    )
    if members is None:
        assert found == {}
        return
    record = found['g1']
    assert len(record.members) == members
    assert [bool(name) for name in record.members] == [
        state is not None for state in states
    ]
    assert (record.opened, record.closing_since is not None) == (
        opened,
        closing,
    )
    assert not record.is_from_this_term


@pytest.mark.parametrize(
    'states, answering, is_incomplete',
    [
        ((OPEN, READY, READY, READY), 4, False),
        ((OPEN, READY, READY, READY), 1, False),  # the others are silent
        ((OPEN, READY, None, READY), 4, True),
        ((OPEN, READY, None, READY), 0, False),
        ((JOIN, JOIN, None, JOIN), 4, False),  # not adopted in any case
        ((None, READY, READY, READY), 4, True),
        ((None, READY, READY, READY), 0, False),
    ],
)
def test_incomplete_groups(states, answering, is_incomplete):
    """Only an engine that answers shows that its group still exists."""
    engines = _ranks(states)
    for number, engine in enumerate(engines):
        if number >= answering:
            engines[number] = dataclasses.replace(
                engine, reachability=_state.Reachability.SILENT
            )
    assert (
        _adoption.has_incomplete_groups(
            _by_name(*engines), test_plan.make_profile()
        )
        is is_incomplete
    )


@pytest.mark.parametrize(
    'engine, known, orders',
    [
        (_engine('e0', 0, OPEN), {('e0', 'g1', 1)}, []),
        (_engine('e0', 0, OPEN), set(), ['e0']),
        (_engine('e0', 1, READY), {('e9', 'g1', 1)}, ['e0']),
        (
            _engine('e0', 0, OPEN, reachability=_state.Reachability.SILENT),
            set(),
            [],
        ),
        (_engine('e0', 0, OPEN, draining=True), set(), []),
    ],
)
def test_members_of_unmanaged_groups_leave(engine, known, orders):
    """A member of an unmanaged group gets an order to leave if it answers."""
    tracker = _releases.ReleaseTracker()
    sent = tracker.collect_due_orders(_by_name(engine), known, NOW)
    assert [order.upstream for order in sent] == orders
    assert all(order.kind is _orders.OrderKind.LEAVE for order in sent)
    assert tracker.pending == frozenset(orders)


def test_leave_order_is_resent_until_it_takes_effect():
    """After the order took effect the membership counts as ended."""
    tracker = _releases.ReleaseTracker()
    engine = _engine('e0', 0, OPEN)
    by_name = _by_name(engine)
    (order,) = tracker.collect_due_orders(by_name, set(), NOW)
    assert tracker.collect_due_orders(by_name, set(), NOW + 0.5) == []
    assert tracker.collect_due_orders(by_name, set(), NOW + 1.5) == [order]
    tracker.record_left(order)
    assert tracker.pending == frozenset()
    assert engine.member_key in tracker.ended_memberships
    assert tracker.collect_due_orders(by_name, set(), NOW + 3.0) == []


def test_release_of_a_lost_engine_is_dropped():
    """An engine that is no longer listed gets no more orders to leave."""
    tracker = _releases.ReleaseTracker()
    tracker.collect_due_orders(_by_name(_engine('e0', 0, OPEN)), set(), NOW)
    tracker.collect_due_orders({}, set(), NOW)
    assert tracker.pending == frozenset()
