"""Tests of the planning of groups and spares, and of demand."""

import dataclasses

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway.supply import _demand
from plantainway.supply import _plan
from plantainway.supply import _state


def make_profile():
    return deployment.EngineProfile(
        slots=13,
        models=(
            deployment.ModelProfile('big', 4, 0.67, 1.0, 16.0, 1.6),
            deployment.ModelProfile('small', 2, 0.33, 0.6, 12.0, 1.1),
        ),
        step_ms=6.0,
        step_ms_per_sequence=0.5,
        step_ms_per_1k_context=0.01,
        prefill_tokens_per_s=46000.0,
        prefill_chunk_tokens=2048,
        steps_per_pass=5,
        typical_prompt_tokens=1000.0,
        typical_answer_tokens=100.0,
        kv_cache_tokens=700000,
        group_formation_ms=300.0,
        loads_per_s=4.0,
        max_concurrent_loads=6,
    )


def make_engine(name, staged='', group='', **more):
    member = None
    if group:
        member = deployment.Membership(
            group, 1, 0, deployment.GroupState.READY, staged
        )
    upstream = deployment.Upstream(
        name,
        's',
        '10.0.0.1:1',
        'a',
        13,
        more.get('draining', False),
        staged=(staged,) if staged else (),
        membership=member,
    )
    return _state.EngineStatus(upstream)


def _view(domain, engines, groups=(), busy=(), left=(), loading=None):
    records = {
        name: _state.GroupRecord(name, 1, model, members, 0.0, {})
        for name, model, members in groups
    }
    return _state.DomainView(
        domain,
        {engine.name: engine for engine in engines},
        records,
        frozenset(busy),
        frozenset(left),
        loading or {},
    )


def _evacuated(view, **kept):
    return dataclasses.replace(view, is_evacuated=True, kept_groups=kept)


def _counts(big, small, want=(1, 1)):
    return _plan.GroupCounts(
        {'big': big, 'small': small},
        {
            'big': _plan.GroupTarget(want[0], 0),
            'small': _plan.GroupTarget(want[1], 0),
        },
    )


def _formed(actions):
    return [(action.model, action.members) for action in actions]


@pytest.mark.parametrize(
    'engines, domains, demand, big, small',
    [
        (48, 6, {}, 6, 6),
        (0, 0, {}, 1, 1),
        (48, 6, {'small': 7.5}, 6, 9),
        (171, 9, {}, 26, 25),
    ],
)
def test_group_targets(engines, domains, demand, big, small):
    """Engines except spares are divided by share; demand adds groups."""
    targets = _plan.group_targets(make_profile(), engines, domains, demand)
    assert (targets['big'].required, targets['small'].required) == (big, small)


def test_large_group_is_formed_first_at_the_start():
    """Engines that register first are not used for a small group."""
    engines = [make_engine(f'e{n}') for n in range(3)]
    actions = _plan.form_groups(
        [_view('d', engines)], make_profile(), _counts(0, 0), 8, True
    )
    assert actions == []
    engines += [make_engine('e3')]
    actions = _plan.form_groups(
        [_view('d', engines)], make_profile(), _counts(0, 0), 8, True
    )
    assert _formed(actions) == [('big', ('e0', 'e1', 'e2', 'e3'))]


def test_group_never_spans_domains():
    """Four idle engines in two domains can't form a group of four."""
    views = [
        _view('d0', [make_engine('a0', 'big'), make_engine('a1', 'big')]),
        _view('d1', [make_engine('b0', 'big'), make_engine('b1', 'big')]),
    ]
    counts = _counts(0, 1)
    assert _plan.form_groups(views, make_profile(), counts, 8, False) == []


def test_engines_with_the_weights_are_preferred():
    """A group is formed without a load if enough engines have weights."""
    engines = [
        make_engine('e0', 'small'),
        make_engine('e1', 'big'),
        make_engine('e2', 'big'),
        make_engine('e3', 'big'),
        make_engine('e4', 'big'),
    ]
    actions = _plan.form_groups(
        [_view('d', engines)], make_profile(), _counts(0, 1), 0, False
    )
    assert _formed(actions) == [('big', ('e1', 'e2', 'e3', 'e4'))]


@pytest.mark.parametrize(
    'busy, left, formed',
    [((), (), False), (('e0',), (), False), ((), ('e0',), True)],
)
def test_engine_joins_only_after_it_has_left(busy, left, formed):
    """An engine that is still in a group can't join another."""
    engines = [make_engine('e0', 'small', 'g9'), make_engine('e1', 'small')]
    view = _view('d', engines, busy=busy, left=[(n, 'g9', 1) for n in left])
    actions = _plan.form_groups(
        [view], make_profile(), _counts(1, 0), 8, False
    )
    assert bool(actions) is formed


def test_no_load_while_engines_leave_a_group():
    """No engine loads weights while others with them become free."""
    views = [
        _view('d0', [make_engine('a0', 'small'), make_engine('a1', 'big')]),
        _view('d1', [make_engine('b0', 'small', 'g1')], busy=('b0',)),
    ]
    counts = _counts(1, 0)
    assert _plan.form_groups(views, make_profile(), counts, 8, False) == []


def test_spares_load_nothing_for_demand_above_the_base_target():
    """Demand uses only spares that already have the weights."""
    counts = _plan.GroupCounts(
        {'big': 1, 'small': 1},
        {'big': _plan.GroupTarget(1, 0), 'small': _plan.GroupTarget(1, 3)},
    )
    cold = [make_engine('e0', 'big'), make_engine('e1', 'small')]
    warm = [make_engine('e2', 'small'), make_engine('e3', 'small')]
    formed = _plan.form_groups(
        [_view('d0', cold), _view('d1', warm)],
        make_profile(),
        counts,
        8,
        False,
    )
    assert _formed(formed) == [('small', ('e2', 'e3'))]


def test_draining_engine_is_not_idle():
    """A draining engine can't join a group."""
    engines = [
        make_engine('e0', 'small', draining=True),
        make_engine('e1', 'small'),
    ]
    assert [e.name for e in _plan.idle_engines(_view('d', engines))] == ['e1']


@pytest.mark.parametrize(
    'staged, starting, expected',
    [
        (('', ''), True, [('e0', 'big'), ('e1', 'small')]),
        (('big', ''), True, [('e1', 'small')]),
        (('big', 'big'), True, [('e1', 'small')]),
        (('big', 'big'), False, []),
        (('big', 'small'), True, []),
    ],
)
def test_spares_load_a_mix_of_models(staged, starting, expected):
    """Spares hold both models; with traffic none changes its weights."""
    engines = [make_engine(f'e{n}', model) for n, model in enumerate(staged)]
    actions = _plan.warm_spares(
        [_view('d', engines)], make_profile(), _counts(1, 1), 8, starting
    )
    assert sorted((a.upstream, a.model) for a in actions) == sorted(expected)


def test_loading_spare_counts_towards_the_mix():
    """No second spare loads a model that another is loading."""
    engines = [make_engine('e0'), make_engine('e1', 'small')]
    view = _view('d', engines, busy=('e0',), loading={'e0': 'big'})
    assert (
        _plan.warm_spares([view], make_profile(), _counts(1, 1), 8, True) == []
    )


def test_demand_is_measured_over_a_window():
    """Busy groups are the group-seconds of work per second."""
    clock = clocks.ManualClock()
    meter = _demand.DemandMeter(clock)
    assert meter.busy_groups() == {}
    for step in range(6):
        meter.record({'big': 3.0 * step})
        clock.advance(1.0)
    assert meter.busy_groups() == {'big': pytest.approx(3.0)}


@pytest.mark.parametrize(
    'idle, have, expected',
    [
        (3, (0, 1), 3),  # too few for the group that is missing
        (4, (0, 1), 0),
        (1, (1, 0), 1),
        (2, (1, 0), 0),
        (2, (1, 1), 2),
    ],
)
def test_spares_do_not_load_while_a_group_can_be_formed(idle, have, expected):
    """At the start engines load only if no missing group can be formed."""
    engines = [make_engine(f'e{n}') for n in range(idle)]
    actions = _plan.warm_spares(
        [_view('d', engines)], make_profile(), _counts(*have), 8, True
    )
    assert len(actions) == expected


SMALL_GROUP = (('g0', 'small', ('a0', 'a1')),)


@pytest.mark.parametrize(
    'groups, is_evacuated, kept, spares, budget, starting, formed',
    [
        (SMALL_GROUP, False, 1, 'small', 8, False, []),
        (SMALL_GROUP, True, 1, 'small', 8, False, ['b0']),
        (SMALL_GROUP, True, 1, 'big', 8, False, []),  # met by all domains
        (SMALL_GROUP, True, 1, '', 8, False, []),
        (SMALL_GROUP, True, 1, 'small', 8, True, []),
        ((), True, 0, '', 0, False, []),
        ((), True, 0, '', 8, False, ['b0']),  # missing in any case
        ((), True, 0, 'big', 0, False, []),
        ((), True, 1, 'big', 0, False, ['a0']),  # a lost one
        ((), True, 1, 'small', 0, False, ['b0', 'a0']),
        ((), True, 0, 'small', 0, False, ['b0']),
    ],
)
def test_groups_in_evacuated_domains_are_no_capacity(
    groups, is_evacuated, kept, spares, budget, starting, formed
):
    """Other domains make up for them without loads of their own."""
    group = 'g0' if groups else ''
    members = [make_engine(f'a{n}', 'small', group) for n in range(2)]
    zone = _view('d0', members, groups)
    counts = _counts(1, len(groups))
    if is_evacuated:
        zone = _evacuated(zone, small=kept)
        counts.evacuated['small'] = 0 if starting else len(groups)
    other = _view('d1', [make_engine(f'b{n}', spares) for n in range(2)])
    actions = _plan.form_groups(
        [zone, other], make_profile(), counts, budget, starting
    )
    assert [action.members[0] for action in actions] == formed


@pytest.mark.parametrize('is_evacuated, loads', [(False, 1), (True, 0)])
@pytest.mark.parametrize('starting', [False, True])
def test_spares_of_evacuated_domains_load_nothing(
    is_evacuated, loads, starting
):
    """The zone may be out of service for a reason."""
    view = _view('d0', [make_engine('e0')])
    if is_evacuated:
        view = _evacuated(view)
    actions = _plan.warm_spares(
        [view], make_profile(), _counts(1, 1), 8, starting
    )
    assert len(actions) == loads
