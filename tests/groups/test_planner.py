"""Tests of the planner of a fabric domain and of its policies."""

import dataclasses
import math

import pytest

from plantainway import groups
from plantainway import wire

NOW = 1000.0
SPEC = groups.GroupSpec(
    'big', 'v', 'w', (), 1, 2, 1.0, 1.0, 1.0, 10.0, 0, 3.0, 5.0
)
SMALL = dataclasses.replace(SPEC, name='small', vms_per_copy=1, value=0.1)


class Fixture:
    """Planner input of a fabric domain, with methods to modify it."""

    def __init__(self, copies=1, spares=1, specs=(SPEC,)):
        self.specs = {spec.name: spec for spec in specs}
        self.copies = {}
        self.holds = {}
        self.vms = {}
        for number in range(1, copies + 1):
            self.add_copy(f'f-c{number}', specs[0])
        for number in range(spares):
            self.add_vm(f'spare-{number}')

    def add_vm(self, vm, copy_id='', token=0, role='idle'):
        """Adds a VM that is up."""
        self.holds[vm] = groups.Hold(
            vm, 'f', copy_id, token, boot='b' if copy_id else ''
        )
        seen = wire.VmState(True, 'b', copy_id, token, role, False, 8)
        self.vms[vm] = groups.VmFacts(
            vm,
            '',
            True,
            False,
            True,
            groups.Observation(seen, NOW, 'w'),
            None,
            0.0,
        )

    def add_copy(self, copy_id, spec, state='serving'):
        """Adds a copy whose members are ready."""
        vms = [f'{copy_id}-{n}' for n in range(spec.vms_per_copy)]
        boot = '' if state == 'loading' else 'b'
        self.copies[copy_id] = groups.Copy(
            copy_id,
            spec.name,
            'f',
            'v',
            1,
            groups.CopyState(state),
            tuple(groups.Member(vm, boot) for vm in vms),
        )
        for vm in vms:
            self.add_vm(vm, copy_id, 1, 'ready')

    def seen(self, vm, **changes):
        """Changes fields of the observed state of a VM."""
        facts = self.vms[vm]
        seen = dataclasses.replace(facts.observation.seen, **changes)
        self.facts(
            vm, observation=dataclasses.replace(facts.observation, seen=seen)
        )

    def facts(self, vm, **changes):
        """Changes fields of the facts of a VM."""
        self.vms[vm] = dataclasses.replace(self.vms[vm], **changes)

    def lose(self, vm, away_s=0.0, **changes):
        """Marks a VM as lost for ``away_s`` seconds."""
        lost = wire.VmState(False, '', '', 0, '', False)
        self.facts(
            vm,
            lost_since=NOW - away_s,
            observation=groups.Observation(lost, NOW, 'w'),
            **changes,
        )

    def view(self):
        """Returns the planner input."""
        return groups.ShardView(
            'f', self.copies, self.holds, self.specs, self.vms, NOW
        )

    def plan(self, policy=None):
        """Returns the plan, by default under the planner policy."""
        return groups.plan(
            self.view(),
            policy or groups.PlannerPolicy(groups.AbsenceModel()),
        )


def names(found):
    """Returns the class names of the planned actions."""
    return [type(action).__name__ for action in found.actions]


def test_healthy_copy_needs_no_action():
    """A serving copy without faults gets no action."""
    found = Fixture(spares=0).plan()
    assert (found.actions, found.prefetches) == ((), ())
    assert found.replan_at == math.inf


def _loading(fix):
    fix.copies.clear()
    fix.holds.clear()
    fix.add_copy('f-c1', SPEC, 'loading')


def _one_still_loads(fix):
    _loading(fix)
    fix.seen('f-c1-1', role='loading')


def _one_has_old_token(fix):
    _loading(fix)
    fix.seen('f-c1-1', token=0)


def _one_unseen(fix):
    _loading(fix)
    fix.facts('f-c1-1', observation=None)


def _restarted(fix):
    fix.seen('f-c1-1', boot='b2', role='idle', copy_id='', token=0)


def _restarted_and_obeyed_old_order(fix):
    fix.seen('f-c1-1', boot='b2')


def _obeyed_old_order(fix):
    fix.seen('f-c1-1', token=0, role='ready')


def _unseen(fix):
    fix.facts('f-c1-1', observation=None)


def _lost_briefly(fix):
    fix.lose('f-c1-1', 0.5)


def _lost_warm_spare_long(fix):
    fix.lose('f-c1-1', 500.0)
    fix.seen('spare-0', warm=SPEC.warm_label(1))


def _lost_and_unlisted(fix):
    fix.lose('f-c1-1', 0.5, listed=False)


def _lost_no_spare(fix):
    fix.lose('f-c1-1', 500.0)
    fix.seen('spare-0', leaving=True)


def _leaving(fix):
    fix.facts('f-c1-1', listed_as_leaving=True)


def _engine_leaving(fix):
    fix.seen('f-c1-1', leaving=True)


def _new_version(fix):
    fix.specs['big'] = dataclasses.replace(SPEC, version='v2')


def _not_declared(fix):
    fix.specs.clear()


def _fewer_declared(fix):
    fix.specs['big'] = dataclasses.replace(SPEC, copies=0)


def _more_declared(fix):
    fix.specs['big'] = dataclasses.replace(SPEC, copies=2)
    fix.add_vm('spare-1')


def _more_declared_no_room(fix):
    fix.specs['big'] = dataclasses.replace(SPEC, copies=2)


def _drain_goes_on(fix):
    _set_copy_state(fix, 'draining')
    fix.seen('f-c1-0', role='draining')


def _drained(fix):
    _set_copy_state(fix, 'draining')
    fix.seen('f-c1-0', role='drained')


def _drained_not_wanted(fix):
    _drained(fix)
    fix.specs.clear()


def _set_copy_state(fix, state):
    fix.copies['f-c1'] = dataclasses.replace(
        fix.copies['f-c1'], state=groups.CopyState(state)
    )


@pytest.mark.parametrize(
    'change, actions',
    [
        (_loading, ['MarkServing']),
        (_one_still_loads, []),
        (_one_has_old_token, []),
        (_one_unseen, []),
        (_restarted, ['Reform']),
        (_restarted_and_obeyed_old_order, ['Reform']),
        (_obeyed_old_order, ['Reform']),
        (_unseen, []),
        (_lost_briefly, []),
        (_lost_warm_spare_long, ['Reform']),
        (_lost_and_unlisted, ['Reform']),
        (_lost_no_spare, []),
        (_leaving, ['Drain']),
        (_engine_leaving, ['Drain']),
        (_new_version, ['Drain']),
        (_not_declared, ['Drain']),
        (_fewer_declared, ['Drain']),
        (_more_declared, ['Form']),
        (_more_declared_no_room, []),
        (_drain_goes_on, []),
        (_drained, ['Reform']),
        (_drained_not_wanted, ['Dissolve']),
    ],
)
def test_actions(change, actions):
    """Each changed state leads to the expected actions."""
    fix = Fixture()
    change(fix)
    assert names(fix.plan()) == actions


def test_replacement_takes_the_lost_members_rank():
    """The other members keep their ranks, and thereby their weights."""
    fix = Fixture()
    fix.lose('f-c1-0', 0.5, listed=False)
    [action] = fix.plan().actions
    assert action.vms == ('spare-0', 'f-c1-1')


def test_replacement_prefetches_while_the_copy_waits():
    """The spare fetches the weights of the lost rank at once."""
    fix = Fixture()
    fix.lose('f-c1-1', 0.5)
    found = fix.plan()
    assert [(p.vm, p.rank) for p in found.prefetches] == [('spare-0', 1)]


def test_new_version_drains_one_copy_at_a_time():
    """One copy is drained at a time, and none while another is down."""
    spec = dataclasses.replace(SPEC, copies=2)
    fix = Fixture(copies=2, specs=(spec,))
    fix.specs['big'] = dataclasses.replace(spec, version='v2')
    assert names(fix.plan()) == ['Drain']
    fix.lose('f-c2-0', 0.5)
    assert names(fix.plan()) == []


def test_surplus_copy_removed_is_the_broken_one():
    """If one of two copies is declared, the broken one is removed."""
    fix = Fixture(copies=2)
    fix.lose('f-c1-0', 0.5)
    [action] = fix.plan().actions
    assert (type(action), action.copy.copy_id) == (groups.Dissolve, 'f-c1')


@pytest.mark.parametrize(
    'policy, away_s, due',
    [
        (groups.StaticPolicy(), 10**6, False),
        (groups.ReplacePolicy(), 0.0, True),
        (groups.WaitPolicy(60.0), 59.0, False),
        (groups.WaitPolicy(60.0), 61.0, True),
    ],
)
def test_baseline_policies(policy, away_s, due):
    """Each baseline policy replaces a lost member at its own time."""
    fix = Fixture()
    fix.lose('f-c1-1', away_s)
    found = fix.plan(policy)
    assert names(found) == (['Reform'] if due else [])
    assert found.prefetches == ()


def _with_small_group(**small):
    spec = dataclasses.replace(SMALL, **small)
    fix = Fixture(spares=0, specs=(SPEC, spec))
    fix.add_copy('f-c9', spec)
    return fix


@pytest.mark.parametrize(
    'small, away_s, listed, actions',
    [
        # Extra copy: preempted once the loss is final.
        ({'copies': 0, 'extra_copies': 1}, 0.5, False, ['Drain']),
        # Declared copy whose outage costs less.
        ({'copies': 1}, 0.5, False, ['Drain']),
        # Declared copy whose outage costs more.
        ({'copies': 1, 'value': 99.0}, 0.5, False, []),
        # The member may still come back soon.
        ({'copies': 1}, 0.5, True, []),
    ],
)
def test_preemption_of_another_group(small, away_s, listed, actions):
    """A copy is preempted only if its outage costs less."""
    fix = _with_small_group(**small)
    fix.lose('f-c1-1', away_s, listed=listed)
    found = fix.plan()
    assert names(found) == actions
    assert all(a.copy.copy_id == 'f-c9' for a in found.actions)


def test_broken_copy_yields_to_another():
    """One of two broken copies is dissolved to repair the other."""
    fix = Fixture(copies=2, spares=0)
    fix.specs['big'] = dataclasses.replace(SPEC, copies=2)
    for vm in ('f-c1-0', 'f-c2-0'):
        fix.lose(vm, 500.0, listed=False)
    assert names(fix.plan()) == ['Dissolve']


@pytest.mark.parametrize(
    'spare, formed',
    [('stranded_weight', True), ('downtime_weight', False)],
)
def test_idle_vms_form_extra_copy_or_stay_spares(spare, formed):
    """The cost weights decide whether idle VMs form an extra copy."""
    spec = dataclasses.replace(
        SPEC,
        extra_copies=1,
        drain_s=50.0,
        downtime_weight=0.0,
        stranded_weight=0.0,
    )
    spec = dataclasses.replace(spec, **{spare: 10.0})
    fix = Fixture(spares=2, specs=(spec,))
    assert ('Form' in names(fix.plan())) == formed


def test_concurrent_loads_are_limited():
    """No more VMs load at once than the weight store can feed."""
    spec = dataclasses.replace(SPEC, copies=3, max_loading_vms=4)
    fix = Fixture(copies=0, spares=6, specs=(spec,))
    assert names(fix.plan()) == ['Form', 'Form']
    assert names(fix.plan(groups.ReplacePolicy())) == ['Form'] * 3


@pytest.mark.parametrize(
    'facts, seen, hold, proof',
    [
        ({}, {}, {}, 'idle'),
        ({}, {'boot': 'b2'}, {'boot': 'b'}, 'new boot'),
        ({}, {'role': 'ready', 'copy_id': 'f-c1'}, {}, ''),
        ({}, {'role': 'idle', 'copy_id': 'f-c1'}, {}, ''),
        ({'lost_since': NOW - 99.0}, {}, {}, ''),
        ({'observation': None}, {}, {}, ''),
        ({'listed': False}, {}, {}, 'idle'),
        ({'listed': False, 'lost_since': NOW - 9.0}, {}, {}, 'gone'),
        (
            {'checks_fencing': False, 'old_orders_expire_at': NOW + 1.0},
            {},
            {},
            '',
        ),
        (
            {'checks_fencing': False, 'old_orders_expire_at': NOW - 1.0},
            {},
            {},
            'idle',
        ),
        (
            {
                'checks_fencing': False,
                'old_orders_expire_at': NOW - 1.0,
                'observation': groups.Observation(
                    wire.VmState(True, 'b', '', 0, 'idle', False),
                    NOW - 2.0,
                    'w',
                ),
            },
            {},
            {},
            '',
        ),
    ],
)
def test_release_needs_proof(facts, seen, hold, proof):
    """A releasing VM is freed only with proof that it has no role."""
    fix = Fixture()
    fix.seen('spare-0', **seen)
    fix.facts('spare-0', **facts)
    fix.holds['spare-0'] = dataclasses.replace(
        fix.holds['spare-0'], releasing=True, **hold
    )
    found = groups.release_proof(fix.holds['spare-0'], fix.vms['spare-0'], NOW)
    assert found == proof
    assert names(fix.plan()) == (['Free'] if proof else [])


@pytest.mark.parametrize(
    'state, seen, orders',
    [
        ('loading', {'copy_id': '', 'token': 0}, ['load']),
        ('loading', {'token': 0}, ['load']),
        ('loading', {}, []),
        ('loading', {'ok': False}, []),
        ('serving', {'copy_id': '', 'token': 0}, []),
        ('draining', {}, ['drain']),
        ('draining', {'role': 'draining'}, []),
        ('draining', {'copy_id': 'f-c7'}, []),
    ],
)
def test_orders(state, seen, orders):
    """Engines get the orders that are due for the state of the copy."""
    fix = Fixture(spares=0)
    _set_copy_state(fix, state)
    fix.seen('f-c1-0', **seen)
    found = groups.orders_due(fix.view())
    assert [order.name for order in found] == orders


@pytest.mark.parametrize(
    'samples, away_s, repair_s, until_s',
    [
        ((math.inf,) * 9, 0.0, 100.0, 0.0),
        ((5.0,) * 9, 0.0, 100.0, 5.0),
        ((5.0,) * 9, 5.0, 100.0, 5.0),
        ((5.0,) * 5 + (math.inf,) * 5, 0.0, 100.0, 5.0),
        ((5.0,) + (math.inf,) * 99, 0.0, 100.0, 0.0),
        ((80.0,) * 9 + (500.0,), 0.0, 100.0, 80.0),
        ((200.0,) * 9, 0.0, 100.0, 0.0),
        ((), 7.0, 100.0, 7.0),
    ],
)
def test_best_absence_limit(samples, away_s, repair_s, until_s):
    """The limit has the lowest expected downtime, and bounds the wait."""
    found = groups.best_absence_limit_s(samples, away_s, repair_s)
    assert found == until_s
    assert found <= away_s + repair_s
