"""What a new leader takes over, and who must leave a group first."""

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
    contact = changes.pop('contact', _state.Contact.ANSWERS)
    return _state.EngineFacts(
        dataclasses.replace(upstream, **changes), contact
    )


def _facts(*engines):
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
def test_groups_that_a_new_leader_takes_over(
    states, model, members, opened, closing
):
    """Open groups as they are, joining ones if they are whole."""
    found = _adoption.adopt_groups(
        _facts(*_ranks(states, model)), test_plan.make_profile(), NOW
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
    assert not record.is_ours


@pytest.mark.parametrize(
    'engine, known, orders',
    [
        (_engine('e0', 0, OPEN), {('e0', 'g1', 1)}, []),
        (_engine('e0', 0, OPEN), set(), ['e0']),
        (_engine('e0', 1, READY), {('e9', 'g1', 1)}, ['e0']),
        (
            _engine('e0', 0, OPEN, contact=_state.Contact.SILENT),
            set(),
            [],
        ),
        (_engine('e0', 0, OPEN, draining=True), set(), []),
    ],
)
def test_members_of_groups_nobody_looks_after_leave(engine, known, orders):
    """A stray member leaves before it may join; a silent one can't."""
    book = _releases.ReleaseBook()
    sent = book.follow(_facts(engine), known, NOW)
    assert [order.upstream for order in sent] == orders
    assert all(order.kind is _orders.OrderKind.LEAVE for order in sent)
    assert book.pending == frozenset(orders)


def test_engine_is_free_once_it_has_left():
    """Until the order has taken effect it is sent again, then no more."""
    book = _releases.ReleaseBook()
    engine = _engine('e0', 0, OPEN)
    facts = _facts(engine)
    (order,) = book.follow(facts, set(), NOW)
    assert book.follow(facts, set(), NOW + 0.5) == []
    assert book.follow(facts, set(), NOW + 1.5) == [order]
    book.note_effect(order)
    assert book.pending == frozenset()
    assert engine.member_key in book.left
    assert book.follow(facts, set(), NOW + 3.0) == []


def test_another_membership_settles_a_release():
    """An engine that shows another group, or is gone, need not leave."""
    book = _releases.ReleaseBook()
    book.follow(_facts(_engine('e0', 0, OPEN)), set(), NOW)
    book.follow({}, set(), NOW)
    assert book.pending == frozenset()
