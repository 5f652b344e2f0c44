"""Whether a copy may get new work."""

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
    """Returns a watcher's report."""
    return wire.NodeReport(
        node, incarnation, number, 'r', 'p', 'p', '', '', False, seen, {}, {}
    )


class Board:
    """A sighting board with two remote watchers."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.book = peers.MembershipView('me', self.clock)
        self.board = groups.VmObservations('me', self.book, self.clock)
        self.numbers = {'w1': 0, 'w2': 0}
        for node in self.numbers:
            self.tell(node, {'vm-1': SEEN, 'vm-2': SEEN})

    def tell(self, node, seen, incarnation=1):
        """Delivers a new report and its beat."""
        self.numbers[node] += 1
        item = report(node, seen, self.numbers[node], incarnation)
        self.book.add_report(item)
        self.board.index_report(item)
        self.beat(node, incarnation=incarnation)

    def beat(self, node, age_ms=0, ahead=0, incarnation=1):
        """Delivers a beat, perhaps for a report that has not arrived."""
        self.book.add_heartbeat(
            wire.Heartbeat(
                node, incarnation, age_ms, self.numbers[node] + ahead
            )
        )

    def verdict(self, copy=COPY):
        """Returns the verdict on the copy."""
        return groups.may_send(copy, self.board.current)


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
def test_one_member_stops_the_copy(changes, reason):
    """Each deviation of one member stops new work."""
    board = Board()
    seen = dataclasses.replace(SEEN, **changes)
    for node in ('w1', 'w2'):
        board.tell(node, {'vm-1': SEEN, 'vm-2': seen})
    verdict = board.verdict()
    assert verdict.reason == reason
    assert verdict.allowed == (reason == 'serving')


@pytest.mark.parametrize('state', ['loading', 'draining'])
def test_only_serving_copies_get_work(state):
    """The state in the table counts too."""
    copy = dataclasses.replace(COPY, state=state)
    assert not Board().verdict(copy).allowed
    assert not Board().verdict(dataclasses.replace(COPY, members=[])).allowed


def one_watcher_lost(board):
    """One watcher can't reach the VM, the other can."""
    lost = wire.VmState(False, '', '', 0, '', False)
    board.tell('w1', {'vm-1': SEEN, 'vm-2': lost})


def beats_stop(board):
    """Both watchers fall silent."""
    board.clock.advance(groups.OBSERVATION_MAX_AGE_S + 0.1)


def one_watcher_silent(board):
    """One of two watchers falls silent."""
    board.clock.advance(groups.OBSERVATION_MAX_AGE_S + 0.1)
    board.beat('w2')


def old_beat(board):
    """A beat arrives that was long on its way."""
    board.clock.advance(groups.OBSERVATION_MAX_AGE_S + 0.1)
    board.beat('w1', age_ms=3500)


def report_behind(board):
    """A beat vouches for a report that has not arrived."""
    board.beat('w1', ahead=1)
    board.beat('w2', ahead=1)


def watcher_restarted(board):
    """Watchers restart; their old reports are worth nothing."""
    board.beat('w1', incarnation=2)
    board.beat('w2', incarnation=2)


def request_failed(board):
    """A request to the VM failed since it was last seen."""
    board.board.mark_suspected('vm-1')


def request_failed_then_seen(board):
    """The VM was seen again after a request had failed."""
    board.board.mark_suspected('vm-1')
    board.clock.advance(0.5)
    board.beat('w1')


def late_old_report(board):
    """An old report arrives after the loss was told."""
    one_watcher_lost(board)
    board.book.add_report(report('w1', {'vm-1': SEEN, 'vm-2': SEEN}, 1))


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
def test_sightings_under_faults(fault, allowed):
    """Only a recent sighting that is vouched for counts."""
    board = Board()
    assert board.verdict().allowed
    fault(board)
    assert board.verdict().allowed == allowed


def test_seen_at_is_the_oldest_member():
    """The verdict tells how old its oldest sighting is."""
    board = Board()
    board.clock.advance(1.0)
    board.board.set_own('vm-1', SEEN, board.clock.now())
    assert board.verdict().oldest_seen_at == board.clock.now() - 1.0
