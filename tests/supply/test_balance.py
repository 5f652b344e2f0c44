"""Tests of the moves of capacity between models."""

import dataclasses
import itertools
import math

import hypothesis
from hypothesis import strategies
import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway.supply import _balance
from plantainway.supply import _demand
from plantainway.supply import _plan
from plantainway.supply import _state
from tests.supply import test_control
from tests.supply import test_plan

SWING_S = 17.0
SWING = 0.55


def make_profile(big=12, small=6, load_rate=14.0, loads=20):
    return dataclasses.replace(
        test_plan.make_profile(),
        models=(
            deployment.ModelProfile('big', big, 0.5, 1.0, 16.0, 1.6),
            deployment.ModelProfile('small', small, 0.5, 0.6, 12.0, 1.1),
        ),
        loads_per_s=load_rate,
        max_concurrent_loads=loads,
    )


class Site:
    """Domains in which a balancer decides; the test carries out its moves.

    ``groups`` and ``idle`` hold the groups of the models and the idle
    engines of each domain, ``closing`` the names of closing groups with
    their models. As in the controller, a group that is told to close counts
    no longer, but it is not gone until the test says so.
    """

    def __init__(self, profile, groups, idle, base=None):
        self.profile = profile
        self.clock = clocks.ManualClock()
        self.balancer = _balance.Balancer(self.clock)
        self.groups = [dict(zip(('big', 'small'), item)) for item in groups]
        self.idle = list(idle)
        self.closing = [{} for _groups in groups]
        self.staged = 'big'
        total = self.total()
        self.targets = {
            name: _plan.GroupTarget(count, 0)
            for name, count in (base or total).items()
        }
        self.moves = []

    def total(self):
        return {
            name: sum(item[name] for item in self.groups)
            for name in ('big', 'small')
        }

    def views(self, forming=()):
        views = []
        for index, groups in enumerate(self.groups):
            domain = f'd{index}'
            engines = [
                test_plan.make_engine(f'{domain}-i{n}', self.staged)
                for n in range(self.idle[index])
            ]
            closing = self.closing[index]
            models = dict(closing)
            for model, count in groups.items():
                names = (f'{domain}-{model}{n}' for n in itertools.count())
                names = (name for name in names if name not in closing)
                models |= dict.fromkeys(itertools.islice(names, count), model)
            records = {
                name: _state.GroupRecord(
                    name,
                    1,
                    model,
                    (name,),
                    0.0,
                    {},
                    opened=domain not in forming,
                    closing_since=0.0 if name in closing else None,
                )
                for name, model in models.items()
            }
            views.append(
                _state.DomainView(
                    domain,
                    {engine.name: engine for engine in engines},
                    records,
                    frozenset(),
                )
            )
        return views

    def plan(self, demand, forming=(), max_loads=27):
        views = self.views(forming)
        counts = _plan.GroupCounts(
            self.total(), self.balancer.correct(self.targets, views)
        )
        move = self.balancer.plan(
            views, self.profile, counts, demand, max_loads
        )
        if move is not None:
            assert move.domain not in self.balancer.domains
            self.balancer.begin(move, views, self.clock.now() + 25.0)
            self.moves.append(move)
            index = int(move.domain.removeprefix('d'))
            self.groups[index][move.donor] -= len(move.closing)
            self.closing[index] = dict.fromkeys(move.closing, move.donor)
        return move

    def correct(self):
        targets = self.balancer.correct(self.targets, self.views())
        return {name: target.base for name, target in targets.items()}

    def carry_out(self, move):
        """Closes and forms the groups of a move."""
        index = int(move.domain.removeprefix('d'))
        sizes = {model.name: model.members for model in self.profile.models}
        self.closing[index] = {}
        self.groups[index][move.receiver] += move.gained
        self.idle[index] += (
            len(move.closing) * sizes[move.donor]
            - move.gained * sizes[move.receiver]
        )
        assert self.idle[index] >= _plan.SPARES_PER_DOMAIN
        self.balancer.remove_ended(self.views(), self.profile)


def make_demand(
    big, small, big_peak=None, small_peak=None, measured_s=_demand.HISTORY_S
):
    return _demand.Demand(
        {'big': big, 'small': small},
        {
            'big': big if big_peak is None else big_peak,
            'small': small if small_peak is None else small_peak,
        },
        {'big': measured_s, 'small': measured_s},
    )


def make_site(**more):
    return Site(make_profile(), [(1, 2)] * 6, [3] * 6, **more)


@pytest.mark.parametrize(
    'demand, moves',
    [
        ((2.2, 7.4), [('small', 1, 2)]),  # as far as equal utilisation
        ((1.0, 7.4), [('small', 1, 2)] * 3),
        ((1.5, 4.6), []),  # below the lowest utilisation that moves pay for
        ((3.2, 9.0), []),  # within the factor
        ((2.2, 7.4, 3.5), []),  # the peak of the donor needs its groups
        ((5.5, 2.0), [('big', 2, 1)] * 4),
    ],
)
def test_moves_by_demand(demand, moves):
    """Groups move only if demand is unbalanced, and no further than that."""
    site = make_site()
    while (move := site.plan(make_demand(*demand))) is not None:
        assert len(site.moves) < 20
        site.carry_out(move)
    assert [
        (move.receiver, len(move.closing), move.gained) for move in site.moves
    ] == moves


def test_no_move_begins_while_a_domain_is_evacuated():
    """Guards against loads for groups that serve again before they end."""
    site = make_site()
    views = site.views()
    counts = _plan.GroupCounts(site.total(), site.targets)
    demand = make_demand(1.0, 7.4)
    views[0] = dataclasses.replace(views[0], is_evacuated=True)
    plan = site.balancer.plan
    assert plan(views, site.profile, counts, demand, 27) is None
    views[0] = dataclasses.replace(views[0], is_evacuated=False)
    assert plan(views, site.profile, counts, demand, 27) is not None


def test_no_move_beyond_equal_utilisation():
    """With few groups one move could make the opposite one due."""
    site = Site(make_profile(), [(1, 2)] * 2, [3] * 2)
    assert site.plan(make_demand(0.6, 2.6)) is None
    assert site.plan(make_demand(0.2, 2.6)) is not None


@pytest.mark.parametrize('wait_s, moved', [(33.0, False), (35.0, True)])
def test_receiver_keeps_its_groups(wait_s, moved):
    """A model that has just gained groups gives none away."""
    site = make_site()
    site.carry_out(site.plan(make_demand(2.2, 7.4)))
    site.clock.advance(wait_s)
    assert (site.plan(make_demand(3.4, 2.0)) is not None) is moved


def test_donor_that_is_short_gets_its_groups_back_at_once():
    """Guards against a hold of half a day when demand has turned."""
    site = make_site()
    site.carry_out(site.plan(make_demand(2.2, 7.4)))
    site.clock.advance(5.0)
    assert site.plan(make_demand(3.4, 2.0)) is None  # utilisation 0.68
    assert site.plan(make_demand(3.6, 2.0)) is not None


def test_four_small_groups_give_one_large_group():
    """Engines of one domain are collected for a larger group."""
    site = Site(make_profile(16, 4), [(1, 4)] * 6, [5] * 6)
    move = site.plan(make_demand(6.0, 6.0))
    assert (move.receiver, len(move.closing), move.gained) == ('big', 4, 1)


def test_idle_engines_are_preferred_to_closing_a_group():
    """Engines that register later serve the short model first."""
    site = make_site()
    site.idle[4] = 15
    move = site.plan(make_demand(2.2, 7.4))
    assert (move.domain, move.closing, move.gained) == ('d4', (), 2)
    site.carry_out(move)
    assert site.correct() == {'big': 6, 'small': 14}


@pytest.mark.parametrize(
    'demand, gained, base',
    [
        ((2.2, 8.5), 2, {'big': 5, 'small': 14}),
        ((3.6, 12.0), None, {'big': 6, 'small': 12}),
    ],
)
def test_lost_group_of_the_donor(demand, gained, base):
    """A lost group is not formed anew if the donor can do without it."""
    site = make_site()
    site.groups[2]['big'], site.idle[2] = 0, 14
    move = site.plan(make_demand(*demand))
    assert (move and move.gained) == gained
    if move is not None:
        site.carry_out(move)
    assert site.correct() == base


def test_failed_load_of_a_lost_group_keeps_the_target():
    """A group of 16, too large for form_groups, is loaded where it was."""
    site = Site(make_profile(16, 4, 18.0), [(1, 4)] * 6, [5] * 6)
    site.groups[2]['big'], site.idle[2] = 0, 21
    move = site.plan(make_demand(6.0, 6.0))
    assert (move.domain, move.closing, move.gained) == ('d2', (), 1)
    assert site.correct() == {'big': 5, 'small': 24}
    site.idle[2] = 10
    assert site.balancer.remove_ended(site.views(), site.profile)
    assert site.correct() == {'big': 6, 'small': 24}


@pytest.mark.parametrize(
    'forming, max_loads, started',
    [
        ((), 27, 2),
        ((), 40, 3),
        ((), 1, 1),
        (('d0', 'd1', 'd2', 'd3', 'd4'), 40, 1),
    ],
)
def test_moves_run_in_parallel(forming, max_loads, started):
    """Moves run in domains where nothing forms, as loads are allowed."""
    site = Site(make_profile(), [(2, 1)] * 6, [3] * 6)
    for _tick in range(10):
        site.plan(make_demand(0.5, 9.0), forming, max_loads)
    assert len(site.moves) == started
    assert len({move.domain for move in site.moves}) == started


def test_spares_do_not_load_while_the_group_closes():
    """They may have to repair other groups for as long as that takes."""
    site = make_site()
    site.plan(make_demand(2.2, 7.4))

    def go_on(views, profile, load_budget):
        return site.balancer.continue_moves(
            views, profile, site.targets, load_budget
        )

    assert go_on(site.views(), site.profile, 8) == []
    site.closing[0], site.idle[0] = {}, 15
    assert len(go_on(site.views(), site.profile, 8)) == 8
    assert len(go_on(site.views(), site.profile, 20)) == 14


def test_move_ends_and_a_failed_one_is_undone():
    """Idle engines with its weights give the donor its target back."""
    site = make_site()
    move = site.plan(make_demand(2.2, 7.4))
    site.closing[0], site.idle[0] = {}, 15
    site.clock.advance(24.0)
    assert site.balancer.remove_ended(site.views(), site.profile) == []
    site.clock.advance(2.0)
    assert site.balancer.remove_ended(site.views(), site.profile) == [
        (move, False)
    ]
    assert site.correct() == {'big': 5, 'small': 12}
    assert site.plan(make_demand(2.2, 3.0)) is None
    assert site.correct() == {'big': 6, 'small': 12}


@pytest.mark.parametrize('fault', ['no_engines', 'no_domain', 'no_model'])
def test_move_that_can_not_go_on_ends(fault):
    """Engines of the domain are free for other groups at once."""
    site = make_site()
    move = site.plan(make_demand(2.2, 7.4))
    site.closing[0], site.idle[0] = {}, 6
    assert site.balancer.remove_ended(site.views(), site.profile) == []
    site.idle[0] = 5 if fault == 'no_engines' else 15
    views = site.views()[1 if fault == 'no_domain' else 0 :]
    profile = site.profile
    if fault == 'no_model':
        profile = dataclasses.replace(profile, models=profile.models[:1])
    assert site.balancer.remove_ended(views, profile) == [(move, False)]
    assert site.correct() == {'big': 5, 'small': 12}


@pytest.mark.parametrize(
    'groups, idle, base',
    [
        ([(1, 2)] * 6, [3] * 6, (6, 12)),
        ([(0, 4)] + [(1, 2)] * 5, [3] * 6, (5, 14)),
        ([(0, 3)] + [(1, 2)] * 5, [9] + [3] * 5, (5, 13)),
        ([(0, 2)] + [(1, 2)] * 5, [15] + [3] * 5, (6, 12)),  # not loaded
        ([(0, 2)] * 2 + [(1, 2)] * 4, [3] * 6, (6, 12)),  # lost
        ([(1, 3)] + [(1, 2)] * 5, [3] * 6, (6, 12)),  # by spares
    ],
)
def test_new_leader_starts_from_what_stands(groups, idle, base):
    """A move is not undone by a new leader, and losses imply no move."""
    site = Site(make_profile(), groups, idle, base={'big': 6, 'small': 12})
    site.balancer.adopt(site.views(), site.profile, site.targets, 1e9)
    for index, item in enumerate(site.idle):
        if f'd{index}' in site.balancer.domains:
            site.groups[index]['small'] += item // 6
    assert tuple(site.correct().values()) == base


@pytest.mark.parametrize('idle, base', [(2, 1), (3, 2), (4, 2)])
def test_spares_form_no_group_of_a_former_donor(idle, base):
    """Guards against a repair without spares, at a model with one member."""
    site = Site(
        make_profile(12, 1), [(1, 1)], [idle], base={'big': 1, 'small': 4}
    )
    site.staged = 'small'
    site.balancer.begin(
        _balance.Move('d0', 'small', 'big', (), 0, {'small': -3, 'big': 0}),
        site.views(),
        1e9,
    )
    site.balancer.remove_ended(site.views(), site.profile)
    assert site.plan(make_demand(0.2, 0.2)) is None
    assert site.correct()['small'] == base


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    level=strategies.floats(0.05, 1.5),
    ratio=strategies.floats(1.0, 1.45),
    is_big_higher=strategies.booleans(),
    idle=strategies.lists(strategies.integers(0, 4), min_size=6, max_size=6),
)
def test_balanced_demand_never_moves(level, ratio, is_big_higher, idle):
    """Models whose demand matches their groups within the factor stay."""
    site = Site(make_profile(), [(1, 2)] * 6, idle)
    used = (level * ratio, level) if is_big_higher else (level, level * ratio)
    assert site.plan(make_demand(6 * used[0], 12 * used[1])) is None


def _run_swing(site, means, phases, seconds, load_s):
    """Lets demand swing and moves take ``load_s``; yields after each plan.

    Yields the time, the measured demand, the groups before the plan and the
    move.
    """
    meter = _demand.DemandMeter(site.clock)
    work = dict.fromkeys(means, 0.0)
    due = []
    started_at = site.clock.now()
    while (now := site.clock.now()) < started_at + seconds:
        meter.record(dict(work))
        demand = meter.summarize()
        for finished in [item for item in due if item[0] <= now]:
            due.remove(finished)
            site.carry_out(finished[1])
        before = site.total()
        move = site.plan(demand)
        if move is not None:
            due.append((now + load_s, move))
        yield now - started_at, demand, before, move
        for name, mean in means.items():
            turns = (now - started_at + phases[name]) / SWING_S
            swing = math.sin(2 * math.pi * turns)
            work[name] += 0.2 * mean * (1 + SWING * swing)
        site.clock.advance(0.2)


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(
    sizes=strategies.sampled_from([(12, 6), (16, 4), (4, 2)]),
    means=strategies.tuples(
        strategies.floats(0.3, 12.0), strategies.floats(0.3, 16.0)
    ),
    phases=strategies.tuples(
        strategies.floats(0.0, SWING_S), strategies.floats(0.0, SWING_S)
    ),
    load_s=strategies.floats(1.0, 20.0),
)
def test_swing_moves_nothing_back(sizes, means, phases, load_s):
    """A swinging demand moves groups one way, and within the peak.

    Over 50 s no model gives and gains groups, and no donor is left with
    fewer groups than its measured peak needs with headroom.
    """
    site = Site(make_profile(*sizes), [(1, 4)] * 6, [3] * 6)
    means = dict(zip(('big', 'small'), means))
    phases = dict(zip(means, phases))
    for _at, demand, before, move in _run_swing(
        site, means, phases, 50.0, load_s
    ):
        if move is not None and move.closing:
            left = before[move.donor] - len(move.closing)
            assert left >= 1.5 * demand.peak[move.donor]
    closed = {move.donor for move in site.moves if move.closing}
    assert not closed & {move.receiver for move in site.moves}


def test_mean_and_peak_of_demand():
    """Work before the first request counts in neither mean nor peak."""
    clock = clocks.ManualClock()
    meter = _demand.DemandMeter(clock)
    total = 0.0
    for second in range(30):
        meter.record({'big': total})
        assert (meter.summarize() is None) is (second < 14)
        total += 0.0 if second < 10 else 4.0 if second in (14, 15) else 1.0
        clock.advance(1.0)
    demand = meter.summarize()
    assert demand.peak == {'big': pytest.approx(4.0)}
    assert demand.mean == {'big': pytest.approx(23 / 17)}
    meter.clear()
    assert meter.summarize() is None


def test_mean_of_a_model_that_begins_late():
    """Guards against a mean that the time before its first work lowers."""
    clock = clocks.ManualClock()
    meter = _demand.DemandMeter(clock)
    for second in range(15):
        late = max(second - 10, 0)
        meter.record({'big': 3.0 * late, 'small': 2.0 * second, 'idle': 0.0})
        demand = meter.summarize()
        clock.advance(1.0)
    mean = {'big': 3.0, 'small': 2.0, 'idle': 0.0}
    assert demand.mean == pytest.approx(mean)
    assert demand.measured_s == pytest.approx({'big': 4.0, 'small': 14.0})


def test_busy_groups_count_the_time_before_the_first_work():
    """Guards against other targets in deployments without moves.

    Without these samples the demand was unknown for the first 2 s of work.
    """
    clock = clocks.ManualClock()
    meter = _demand.DemandMeter(clock)
    for total in (0.0, 0.0, 0.0, 0.0, 4.0):
        meter.record({'big': total})
        clock.advance(1.0)
    assert meter.busy_groups() == {'big': pytest.approx(1.0)}
    assert meter.summarize() is None


@pytest.mark.parametrize(
    'apart, moved_days', [(0.0, 0), (0.25, 0), (0.5, 4), (0.75, 0)]
)
def test_swings_of_balanced_models_move_one_group_at_most(apart, moved_days):
    """Guards against moves decided on a part of the period of the swing.

    Models at a mean utilisation of 0.5, with swings that are a part of the
    period apart, on days that begin anywhere in the period.
    """
    days = []
    for start in range(8):
        site = make_site()
        phase = SWING_S * start / 8
        phases = {'big': phase, 'small': phase + SWING_S * apart}
        for _step in _run_swing(
            site, {'big': 3.0, 'small': 6.0}, phases, 34.0, 13.0
        ):
            pass
        days.append(len(site.moves))
        # A peak of 1.55 x 3.0 or 6.0 fits into the donor's groups.
        total = site.total()
        assert total['big'] >= 5 and total['small'] >= 10
    assert max(days) <= 1
    assert sum(days) == moved_days


@pytest.mark.parametrize(
    'demand, early, settled',
    [
        ((2.2, 7.4), 0, 1),  # a ratio of 1.7
        ((1.6, 8.0, 2.4), 1, 2),
        ((1.6, 8.0, 2.8), 0, 1),  # less than half of the donor's groups
        ((1.0, 7.0), 1, 3),  # a ratio of 2.5 after the first move
        ((0.5, 8.4), 3, 4),  # ratios of 5.2 and 3.0, then of 2.8
    ],
)
def test_early_moves_need_a_clear_imbalance(demand, early, settled):
    """Guards against moves by what a part of the period may show."""
    for measured_s, moves in ((5.0, early), (17.0, settled)):
        site = make_site()
        found = make_demand(*demand, measured_s=measured_s)
        while site.plan(found, max_loads=80):
            assert len(site.moves) < 20
        assert len(site.moves) == moves


@pytest.mark.parametrize(
    'means', [{'big': 1.62, 'small': 8.9}, {'big': 4.44, 'small': 3.24}]
)
@pytest.mark.parametrize('start', range(8))
def test_clear_imbalance_moves_early(means, start):
    """Guards against a wait for a full period at utilisations 0.74 and 0.27.

    That would be half of a day.
    """
    site = make_site()
    phase = SWING_S * start / 8
    steps = _run_swing(site, means, dict.fromkeys(means, phase), 10.0, 13.0)
    assert next(step[0] for step in steps if step[3] is not None) <= 5.5


class _Fleet(test_control.Harness):
    """A controller of two models with demand; ``busy`` is by model."""

    def __init__(self, busy):
        profile = dataclasses.replace(
            test_plan.make_profile(), loads_per_s=14.0, max_concurrent_loads=20
        )
        domain = ('big',) * 9 + ('small',) * 5
        super().__init__({f'd{n}': domain for n in range(3)}, profile=profile)
        self.busy = busy
        self.work = dict.fromkeys(busy, 0.0)

    async def run_traffic(self, seconds):
        self.engines.load_ratio = 1.0
        for _tick in range(round(seconds / self.step_s)):
            for name, busy in self.busy.items():
                self.work[name] += busy * self.step_s
            self.control.update_demand(dict(self.work))
            await self.run(self.step_s)

    def counts(self):
        return self.open_groups('big'), self.open_groups('small')


@pytest.mark.parametrize(
    'busy, after',
    [
        ({'big': 0.5, 'small': 4.7}, (3, 12)),
        ({'big': 3.0, 'small': 2.5}, (6, 6)),
    ],
)
async def test_groups_follow_the_demand(busy, after):
    """A group of four becomes two of two, while spares remain."""
    fleet = _Fleet(busy)
    await fleet.run(8.0)
    assert fleet.counts() == (6, 6)
    await fleet.run_traffic(3.5)
    assert fleet.counts() == (6, 6)
    await fleet.run_traffic(20.0)
    assert fleet.counts() == after


@pytest.mark.parametrize('late_s', [6.0, 12.0, 20.0])
async def test_model_whose_requests_begin_late_keeps_its_groups(late_s):
    """Guards against a stripped model that its first requests find full."""
    fleet = _Fleet({'big': 0.0, 'small': 4.7})
    await fleet.run(8.0)
    await fleet.run_traffic(late_s)
    assert fleet.counts() == (6, 6)
    fleet.busy['big'] = 3.0
    await fleet.run_traffic(20.0)
    assert fleet.counts() == (6, 6)


async def _begin_moves():
    """Returns a fleet that has just begun three moves."""
    fleet = _Fleet({'big': 0.5, 'small': 4.2})
    await fleet.run(8.0)
    await fleet.run_traffic(4.3)
    assert fleet.counts()[0] < 6
    return fleet


def _spares(fleet, domain):
    return sorted(
        engine.staged
        for engine in fleet.engines.by_name.values()
        if engine.domain == domain and not engine.group and not engine.is_dead
    )


async def test_moved_groups_have_spares():
    """The spares of a domain are left over by a move."""
    fleet = await _begin_moves()
    await fleet.run_traffic(15.0)
    assert fleet.counts() == (3, 12)
    for domain in ('d0', 'd1', 'd2'):
        assert _spares(fleet, domain) == ['big', 'small']


@pytest.mark.parametrize('wait_s', [0.0, 3.0])
async def test_leader_changes_during_a_move(wait_s):
    """The new leader goes on with loaded engines and moves nothing back."""
    fleet = await _begin_moves()
    await fleet.run_traffic(wait_s)
    fleet.elect_controller(term=2)
    lowest = fleet.counts()
    await fleet.run_traffic(40.0)
    assert fleet.counts() == (3, 12)
    assert fleet.engines.load_count <= 16
    assert lowest[1] == 6
    assert fleet.engines.stolen_heads == []


@pytest.mark.parametrize('lost, after', [(1, (3, 12)), (3, (3, 11))])
async def test_engine_lost_while_it_loads(lost, after):
    """Another idle engine loads instead, else fewer groups are formed."""
    fleet = await _begin_moves()
    await fleet.run_traffic(3.0)
    loading = [
        engine
        for engine in fleet.engines.by_name.values()
        if engine.domain == 'd0' and engine.group.startswith('w')
    ]
    for engine in loading[:lost]:
        engine.is_dead = True
    await fleet.run_traffic(30.0)
    assert fleet.counts() == after


@pytest.mark.parametrize('peak, base', [(2.6, 5), (3.4, 6), (9.0, 6)])
def test_donor_keeps_what_a_higher_peak_needs(peak, base):
    """Guards against a donor whose peak was higher than in the first 4 s."""
    site = make_site()
    site.carry_out(site.plan(make_demand(1.6, 8.0, measured_s=4.0)))
    assert site.plan(make_demand(1.6, 8.0, peak, measured_s=10.0)) is None
    assert site.correct()['big'] == base


async def test_lost_groups_of_the_donor_come_first():
    """Guards against loads for the receiver while its donor lacks groups.

    The engines of a group that closes replace the groups that the donor
    loses meanwhile, up to the four that its peak needs.
    """
    fleet = _Fleet({'big': 2.4, 'small': 5.6})
    await fleet.run(8.0)
    by_name = fleet.engines.by_name
    for _tick in range(50):
        await fleet.run_traffic(0.1)
        if fleet.control._balancer.domains:
            break
    (domain,) = fleet.control._balancer.domains
    heads = {
        engine.domain: engine
        for engine in by_name.values()
        if engine.state is deployment.GroupState.OPEN and engine.model == 'big'
    }
    other = next(name for name in heads if name != domain)
    lost = heads[domain].members[:2] + heads[other].members
    for name in lost:
        by_name[name].is_dead = True
    for name in (domain, other):
        fleet.control.probe_group(heads[name].name)
    await fleet.run_traffic(2.0)
    assert fleet.counts() == (4, 6)


async def test_no_move_begins_without_the_store():
    """Old entries do not show which groups could be closed."""
    fleet = _Fleet({'big': 0.5, 'small': 4.2})
    await fleet.run(8.0)
    await fleet.run_traffic(2.0)
    fleet.engines.is_store_down = True
    await fleet.run_traffic(8.0)
    assert fleet.counts() == (6, 6)
    fleet.engines.is_store_down = False
    await fleet.run_traffic(1.0)
    assert fleet.counts()[0] < 6


async def test_work_of_an_earlier_term_is_no_demand():
    """The totals of a node that leads again rise by all work since then."""
    fleet = _Fleet({'big': 3.0, 'small': 2.5})
    await fleet.run(8.0)
    await fleet.run_traffic(6.0)
    fleet.lease.term = 2
    fleet.work['small'] += 100.0
    await fleet.run_traffic(6.0)
    assert fleet.counts() == (6, 6)
