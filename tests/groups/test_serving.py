"""Tests of the check whether a copy may get new requests."""

import dataclasses

import pytest

from plantainway import clock
from plantainway import groups
from plantainway import peers
from plantainway import wire

SEEN = wire.VmState(True, 'b1', 'f-c1', 3, 'ready', False, 8)
COPY = wire.CopyView(
    'f-c1', 'g', 'v', 3, 'serving', [['vm-1', 'b1'], ['vm-2', 'b1']], 9
)


def report(node, seen, number=1, incarnation=1):
    """Returns the report of a watcher."""
    return wire.NodeReport(
        node, incarnation, number, 'r', 'p', 'p', '', '', False, seen, {}, {}
    )


class Watchers:
    """Observations of two VMs by two remote watchers."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.book = peers.MembershipView('me', self.clock)
        self.observations = groups.VmObservations('me', self.book, self.clock)
        self.numbers = {'w1': 0, 'w2': 0}
        for node in self.numbers:
            self.deliver_report(node, {'vm-1': SEEN, 'vm-2': SEEN})

    def deliver_report(self, node, seen, incarnation=1):
        """Delivers a new report and a heartbeat that confirms it."""
        self.numbers[node] += 1
        item = report(node, seen, self.numbers[node], incarnation)
        self.book.add_report(item)
        self.observations.index_report(item)
        self.deliver_beat(node, incarnation=incarnation)

    def deliver_beat(self, node, age_ms=0, ahead=0, incarnation=1):
        """Delivers a heartbeat; ``ahead`` names a report not yet received."""
        self.book.add_heartbeat(
            wire.Heartbeat(
                node, incarnation, age_ms, self.numbers[node] + ahead
            )
        )

    def verdict(self, copy=COPY):
        """Returns the verdict on the copy."""
        return groups.may_send(copy, self.observations.current)


@pytest.mark.parametrize(
    'changes, reason',
    [
        ({}, 'serving'),
        ({'ok': False}, 'missing vm-2'),
        ({'boot': 'b2'}, 'restarted vm-2'),
        ({'copy_id': 'f-c2'}, 'elsewhere vm-2'),
        ({'token': 2}, 'elsewhere vm-2'),
        ({'token': 4}, 'elsewhere vm-2'),
        ({'role': 'loading'}, 'loading vm-2'),
        ({'role': 'draining'}, 'draining vm-2'),
        ({'leaving': True}, 'leaving vm-2'),
    ],
)
def test_one_member_blocks_the_copy(changes, reason):
    """Any deviation of one member blocks new requests to the copy."""
    watchers = Watchers()
    seen = dataclasses.replace(SEEN, **changes)
    for node in ('w1', 'w2'):
        watchers.deliver_report(node, {'vm-1': SEEN, 'vm-2': seen})
    verdict = watchers.verdict()
    assert verdict.reason == reason
    assert verdict.allowed == (reason == 'serving')


@pytest.mark.parametrize('state', ['loading', 'draining'])
def test_only_serving_copies_get_requests(state):
    """A copy that is not serving, or has no members, gets no requests."""
    copy = dataclasses.replace(COPY, state=state)
    assert not Watchers().verdict(copy).allowed
    assert (
        not Watchers().verdict(dataclasses.replace(COPY, members=[])).allowed
    )


def one_watcher_lost(watchers):
    """One watcher can't reach the VM, but the other can."""
    lost = wire.VmState(False, '', '', 0, '', False)
    watchers.deliver_report('w1', {'vm-1': SEEN, 'vm-2': lost})


def beats_stop(watchers):
    """Heartbeats of both watchers stop."""
    watchers.clock.advance(groups.OBSERVATION_MAX_AGE_S + 0.1)


def one_watcher_silent(watchers):
    """Heartbeats of one of the two watchers stop."""
    watchers.clock.advance(groups.OBSERVATION_MAX_AGE_S + 0.1)
    watchers.deliver_beat('w2')


def old_beat(watchers):
    """A heartbeat arrives that was delayed by more than the maximum age."""
    watchers.clock.advance(groups.OBSERVATION_MAX_AGE_S + 0.1)
    watchers.deliver_beat('w1', age_ms=3500)


def report_behind(watchers):
    """Heartbeats confirm a report that has not arrived."""
    watchers.deliver_beat('w1', ahead=1)
    watchers.deliver_beat('w2', ahead=1)


def watcher_restarted(watchers):
    """Watchers restart, which invalidates their old reports."""
    watchers.deliver_beat('w1', incarnation=2)
    watchers.deliver_beat('w2', incarnation=2)


def request_failed(watchers):
    """A request to a VM failed after its last observation."""
    watchers.observations.mark_suspected('vm-1')


def request_failed_then_seen(watchers):
    """The VM was observed again after a failed request."""
    watchers.observations.mark_suspected('vm-1')
    watchers.clock.advance(0.5)
    watchers.deliver_beat('w1')


def late_old_report(watchers):
    """An old report arrives after a report of the loss."""
    one_watcher_lost(watchers)
    watchers.book.add_report(report('w1', {'vm-1': SEEN, 'vm-2': SEEN}, 1))


@pytest.mark.parametrize(
    'fault, allowed',
    [
        (one_watcher_lost, False),
        (beats_stop, False),
        (one_watcher_silent, True),
        (old_beat, False),
        (report_behind, False),
        (watcher_restarted, False),
        (request_failed, False),
        (request_failed_then_seen, True),
        (late_old_report, False),
    ],
)
def test_observations_under_faults(fault, allowed):
    """Only recent observations confirmed by a heartbeat are used."""
    watchers = Watchers()
    assert watchers.verdict().allowed
    fault(watchers)
    assert watchers.verdict().allowed == allowed


def test_verdict_has_the_oldest_observation_time():
    """The verdict has the time of its oldest observation."""
    watchers = Watchers()
    watchers.clock.advance(1.0)
    watchers.observations.set_own('vm-1', SEEN, watchers.clock.now())
    assert watchers.verdict().oldest_seen_at == watchers.clock.now() - 1.0
