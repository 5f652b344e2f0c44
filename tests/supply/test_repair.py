"""Decisions on standing groups, one row for each trouble."""

import dataclasses

import pytest

from plantainway import deployment
from plantainway.supply import _repair
from plantainway.supply import _state

State = deployment.GroupState
NOW = 100.0


def _engine(name, rank, state=State.OPEN, **changes):
    member = deployment.Membership('g1', 1, rank, state, 'm0')
    upstream = deployment.Upstream(
        name, 's', '10.0.0.1:1', 'a', 4, False, started_ms=1, membership=member
    )
    contact = changes.pop('contact', _state.Contact.ANSWERS)
    pace = changes.pop('pace', 1.0)
    return _state.EngineFacts(
        dataclasses.replace(upstream, **changes), contact, pace=pace
    )


def _other_group(rank):
    return deployment.Membership('g2', 2, rank, State.READY, 'm0')


def _decide(engines, **record):
    fields = {
        'opened': True,
        'formed_at': NOW - 10.0,
    } | record
    group = _state.GroupRecord(
        'g1', 1, 'm0', ('e0', 'e1'), lives={'e0': 1, 'e1': 1}, **fields
    )
    view = _state.DomainView(
        'd', {e.name: e for e in engines}, {'g1': group}, frozenset()
    )
    return _repair.repair(view, NOW, lambda _record: 1.0)


HEAD = _engine('e0', 0)
MEMBER = _engine('e1', 1, State.READY)
READY_HEAD = _engine('e0', 0, State.READY)


@pytest.mark.parametrize(
    'engines, expected',
    [
        ([HEAD, MEMBER], []),
        ([HEAD], ['disband lost e1']),
        ([MEMBER], ['disband lost e0']),
        ([], ['disband lost e0']),
        (
            [HEAD, _engine('e1', 1, contact=_state.Contact.SILENT)],
            ['disband lost e1'],
        ),
        (
            [_engine('e0', 0, contact=_state.Contact.GONE), MEMBER],
            ['disband lost e0'],
        ),
        (
            [HEAD, _engine('e1', 1, membership=_other_group(1))],
            ['disband lost e1'],
        ),
        ([HEAD, _engine('e1', 1, started_ms=2)], ['disband lost e1']),
        ([_engine('e0', 0, State.BROKEN), MEMBER], ['disband broken']),
        (
            [HEAD, _engine('e1', 1, draining=True)],
            ['close finish e1 is leaving'],
        ),
        ([READY_HEAD, MEMBER], ['open']),
    ],
)
def test_open_group(engines, expected):
    """A group that has lost a member is given up, a leaving one closed."""
    assert _texts(_decide(engines)) == expected


def _spare(model, pace=1.0):
    return _engine('e9', 0, membership=None, staged=(model,), pace=pace)


@pytest.mark.parametrize(
    'member_pace, spares, expected',
    [
        (12.0, [_spare('m0')], ['disband e1 is slow']),
        (12.0, [], []),
        (12.0, [_spare('m1')], []),
        (12.0, [_spare('m0', pace=12.0)], []),
        (1.3, [_spare('m0')], []),
    ],
)
def test_slow_member_gives_way_to_a_staged_spare(
    member_pace, spares, expected
):
    """A slow group is given up only for one that is faster at once."""
    slow = _engine('e1', 1, State.READY, pace=member_pace)
    assert _texts(_decide([HEAD, slow, *spares])) == expected


@pytest.mark.parametrize(
    'engines, since, expected',
    [
        ([_engine('e0', 0, State.CLOSING), MEMBER], 0.5, []),
        (
            [_engine('e0', 0, State.CLOSING), MEMBER],
            5.0,
            ['disband did not close in time'],
        ),
        ([READY_HEAD, MEMBER], 0.5, ['disband closed']),
        ([MEMBER], 0.5, ['disband lost e0']),
    ],
)
def test_closing_group(engines, since, expected):
    """A closing group goes once its head is ready, or takes too long."""
    decided = _decide(engines, closing_since=NOW - since)
    assert _texts(decided) == expected


JOINING = [_engine('e0', 0, State.JOINING), _engine('e1', 1, State.JOINING)]
READY = [READY_HEAD, MEMBER]


@pytest.mark.parametrize(
    'engines, record, expected',
    [
        (JOINING, {'formed_at': NOW - 1.0}, []),
        (JOINING, {}, ['disband members did not join in time']),
        ([READY_HEAD, JOINING[1]], {'formed_at': NOW - 1.0}, []),
        (READY, {'formed_at': NOW - 1.0}, ['open']),
        (READY, {'is_ours': False}, ['disband of an earlier leader']),
        (
            [READY_HEAD, _engine('e1', 1, started_ms=2)],
            {'formed_at': NOW - 1.0},
            ['disband lost a joining member'],
        ),
        (
            [READY_HEAD, _engine('e1', 1, State.READY, draining=True)],
            {'formed_at': NOW - 1.0},
            ['disband lost a joining member'],
        ),
    ],
)
def test_joining_group(engines, record, expected):
    """A group opens only when all of its members are ready in it."""
    decided = _decide(engines, opened=False, **record)
    assert _texts(decided) == expected


def _texts(actions):
    texts = []
    for action in actions:
        words = [type(action).__name__.lower()]
        if getattr(action, 'finish', False):
            words.append('finish')
        reason = getattr(action, 'reason', '')
        texts.append(' '.join([*words, reason]).strip())
    return texts
