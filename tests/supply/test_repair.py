"""Tests of the repair of groups, one row for each fault."""

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
    reachability = changes.pop('reachability', _state.Reachability.ANSWERS)
    pace = changes.pop('pace', 1.0)
    return _state.EngineStatus(
        dataclasses.replace(upstream, **changes), reachability, pace=pace
    )


def _other_group(rank):
    return deployment.Membership('g2', 2, rank, State.READY, 'm0')


def _decide(engines, **record):
    fields = {
        'opened': True,
        'formed_at': NOW - 10.0,
    } | record
    group = _state.GroupRecord(
        'g1',
        1,
        'm0',
        ('e0', 'e1'),
        born_by_member={'e0': 1, 'e1': 1},
        **fields,
    )
    view = _state.DomainView(
        'd', {e.name: e for e in engines}, {'g1': group}, frozenset()
    )
    return _repair.plan_repairs(view, NOW, lambda _record: 1.0)


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
            [HEAD, _engine('e1', 1, reachability=_state.Reachability.SILENT)],
            ['disband lost e1'],
        ),
        (
            [_engine('e0', 0, reachability=_state.Reachability.GONE), MEMBER],
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
    """A lost member disbands the group, a draining member closes it."""
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
def test_slow_member_is_replaced_by_a_spare_with_the_weights(
    member_pace, spares, expected
):
    """A slow group is disbanded only if a fast spare has the weights."""
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
    """A closing group is disbanded when its head is ready or times out."""
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
        (
            READY,
            {'is_from_this_term': False},
            ['disband of an earlier leader'],
        ),
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
    """A group opens only when all of its members are ready."""
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
