"""Tests of warm-ups and of the load budget."""

import dataclasses

import pytest

from plantainway import deployment
from plantainway.supply import _adoption
from plantainway.supply import _orders
from plantainway.supply import _pacing
from plantainway.supply import _state
from plantainway.supply import _warming
from tests.supply import test_plan

State = deployment.GroupState
NOW = 100.0
DEADLINE = 120.0


def _engine(state=None, group='w5', epoch=5, model='big', **changes):
    member = None
    if state is not None:
        member = deployment.Membership(group, epoch, 0, state, model)
    upstream = deployment.Upstream(
        'e0', 's', '10.0.0.1:1', 'a', 4, False, started_ms=7, membership=member
    )
    reachability = changes.pop('reachability', _state.Reachability.ANSWERS)
    return _state.EngineStatus(
        dataclasses.replace(upstream, **changes), reachability
    )


def _by_name(engine):
    return {} if engine is None else {engine.name: engine}


def test_spare_joins_a_group_of_one():
    """The order to join has the engine as its only member."""
    tracker = _warming.WarmupTracker()
    order = tracker.begin(_engine(), 'big', 5, DEADLINE)
    assert order == _orders.Order(
        _orders.OrderKind.JOIN, 'e0', 'w5', 5, 'big', ('e0',)
    )
    assert tracker.models == {'e0': 'big'}
    assert tracker.member_keys == {('e0', 'w5', 5)}


@pytest.mark.parametrize(
    'engine, now, goes_on, leaves',
    [
        (_engine(), NOW, True, False),
        (_engine(State.JOINING), NOW, True, False),
        (_engine(State.READY), NOW, False, True),
        (_engine(State.READY, group='g4', epoch=4), NOW, True, False),
        (_engine(State.JOINING), DEADLINE + 0.1, False, False),
        (_engine(State.READY, started_ms=8), NOW, False, False),
        (_engine(State.READY, draining=True), NOW, False, False),
        (
            _engine(State.JOINING, reachability=_state.Reachability.GONE),
            NOW,
            False,
            False,
        ),
        (None, NOW, False, False),
    ],
)
def test_warmup_ends(engine, now, goes_on, leaves):
    """A ready engine leaves; lost, restarted and late ones are dropped."""
    tracker = _warming.WarmupTracker()
    tracker.begin(_engine(), 'big', 5, DEADLINE)
    ready = tracker.remove_ended(_by_name(engine), now)
    assert bool(tracker.models) == goes_on
    assert ready == ([engine] if leaves else [])


@pytest.mark.parametrize(
    'state, group, adopted',
    [
        (State.JOINING, 'w5', True),
        (State.READY, 'w5', False),  # loaded, has only to leave
        (State.JOINING, 'g5', False),
    ],
)
def test_new_leader_adopts_warmups(state, group, adopted):
    """A load that an earlier leader started is not interrupted."""
    tracker = _warming.WarmupTracker()
    engine = _engine(
        state, group=group, model=''
    )  # the model is not reported yet
    tracker.adopt(_by_name(engine), DEADLINE)
    assert tracker.models == ({'e0': ''} if adopted else {})
    records = _adoption.adopt_groups(
        _by_name(engine), test_plan.make_profile(), NOW
    )
    assert 'w5' not in records


@pytest.mark.parametrize(
    'traffic, opened, spares, free, spares_free',
    [
        (False, False, 0, 11, 11),  # 15 at once, 4 members load
        (False, False, 10, 1, 1),
        (False, True, 13, 2, 4),  # as many spares as there are engines
        (True, True, 6, 2, 2),  # 8 at once
        (True, True, 0, 3, 3),  # 4 a second, less a margin
    ],
)
def test_load_budget(traffic, opened, spares, free, spares_free):
    """Spares may all load at once until the first request."""
    engines = [test_plan.make_engine(f'e{n}') for n in range(4)]
    by_name = {engine.name: engine for engine in engines}
    record = _state.GroupRecord(
        'g1', 1, 'big', tuple(by_name), NOW, {}, opened=opened
    )
    pacer = _pacing.LoadPacer(by_name.get)
    pacer.profile = test_plan.make_profile()
    pacer.traffic_seen = traffic
    groups = {'g1': record}
    assert pacer.load_budget(by_name, groups, spares, NOW) == free
    assert pacer.spare_load_budget(by_name, groups, spares, NOW) == spares_free
