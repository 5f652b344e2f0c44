"""Tests of the planner simulation and of its independent check."""

import pytest

from benchmarks import _trace
from benchmarks import groups


def absent(trace):
    """A member is absent while its copy receives new requests."""
    trace.record_vm_down(5.0, 'vm-1')
    trace.record_vm_up(9.0, 'vm-1', True)


def absent_briefly(trace):
    """A member is absent for less than the watch deadline."""
    trace.record_vm_down(5.0, 'vm-1')
    trace.record_vm_up(7.0, 'vm-1', True)


def claimed_by_another(trace):
    """A member is claimed by another copy while it serves."""
    trace.record_claim(5.0, 'vm-1', 'c2')


def served_by_another(trace):
    """A VM serves in two copies at once."""
    trace.record_serving(5.0, 'c2', 'g', ['vm-2', 'vm-3'])


def nothing(trace):
    """Nothing happens."""


@pytest.mark.parametrize(
    'plant, broken',
    [
        (nothing, False),
        (absent_briefly, False),
        (absent, True),
        (claimed_by_another, True),
        (served_by_another, True),
    ],
)
def test_check_finds_planted_violations(plant, broken):
    """The check reports each kind of violation and no false one."""
    trace = _trace.Trace()
    for vm in ('vm-1', 'vm-2'):
        trace.record_claim(0.0, vm, 'c1')
    trace.record_serving(1.0, 'c1', 'g', ['vm-1', 'vm-2'])
    plant(trace)
    trace.finish(20.0)
    assert bool(trace.find_violations()) == broken


@pytest.mark.parametrize('policy', groups.POLICIES)
def test_replay_has_no_violations(policy):
    """No policy causes violations, and a seed gives the same result twice."""
    first = groups.run_one('today', 7, policy, 'lodz')
    assert first['violations'] == 0
    again = groups.run_one('today', 7, policy, 'lodz')
    first.pop('decision_us')
    again.pop('decision_us')
    assert first == again


def test_check_reports_sending_without_observations(monkeypatch):
    """The check reports nodes that send without valid observations."""

    def allow_serving(copy, observation_of):
        return groups.groups.Verdict(copy.state == 'serving', 'broken guard')

    monkeypatch.setattr(groups.groups, 'may_send', allow_serving)
    assert groups.run_one('today', 7, 'wait', 'lodz')['violations'] > 0
