"""Health, budget, loads, stalls and queue, each with a settable clock."""

import pytest

from plantainway import clock as clocks
from plantainway import traffic
from plantainway.traffic import _events
from plantainway.traffic import _queue


class Named:
    """Anything with a name."""

    def __init__(self, name):
        self.name = name


@pytest.fixture
def clock():
    """A settable clock."""
    return clocks.ManualClock()


@pytest.mark.parametrize(
    'outcomes, certain, ejected',
    [
        ('f', False, False),
        ('ff', False, True),
        ('fsf', False, False),
        ('f', True, True),
        ('fssssfssssfssssfssss', False, False),
        ('fsfsfsfsfsfsfsfsf', False, True),
    ],
)
def test_upstream_is_left_out_by_outcomes(clock, outcomes, certain, ejected):
    """Failures in a row or of half the requests leave an upstream out."""
    health = traffic.HealthTracker(clock)
    for outcome in outcomes:
        if outcome == 's':
            health.note_served('u1')
        else:
            health.note_failed('u1', certain)
    assert health.is_ejected('u1') is ejected


def test_ejections_grow_and_end(clock):
    """An upstream is tried again after times that double."""
    health = traffic.HealthTracker(clock)
    lengths = []
    for _time in range(5):
        health.note_failed('u1', certain=True)
        began = clock.now()
        while health.is_ejected('u1'):
            clock.advance(0.25)
        lengths.append(clock.now() - began)
    assert lengths == [1.0, 2.0, 4.0, 8.0, 8.0]


def test_service_is_never_left_without_upstreams(clock):
    """If all are left out, all are candidates."""
    health = traffic.HealthTracker(clock)
    both = [Named('u1'), Named('u2')]
    health.note_failed('u1', certain=True)
    assert health.usable(both) == both[1:]
    health.note_failed('u2', certain=True)
    assert health.usable(both) == both


def test_budgets_of_all_nodes_keep_the_bound(clock):
    """The repeats of all nodes stay under the service's allowance."""
    nodes = [traffic.RetryBudget(clock, 0.2, 100.0, 10.0) for _n in range(10)]
    clock.advance(20.0)
    taken = 0
    for node in nodes:
        node.node_count = len(nodes)
        for _request in range(50):
            node.note_request('s')
        taken += sum(node.take('s') for _try in range(1000))
    assert 0 < taken <= 0.2 * 500 + 100


def test_two_lives_of_all_nodes_keep_the_bound(clock):
    """Nodes that are all killed and begin anew spend no second allowance."""
    taken = 0
    for _life in range(2):
        nodes = [
            traffic.RetryBudget(clock, 0.2, 283.0, 10.0) for _n in range(15)
        ]
        for node in nodes:
            node.node_count = len(nodes)
        if not taken:
            clock.advance(30.0)
        taken += sum(node.take('s') for node in nodes for _try in range(100))
    assert 0 < taken <= 283


def test_budget_slides(clock):
    """What was spent a window ago no longer counts."""
    budget = traffic.RetryBudget(clock, 0.0, 10.0, 10.0)
    budget.node_count = 1
    clock.advance(30.0)
    while budget.take('s'):
        pass
    assert not budget.take('s')
    clock.advance(11.0)
    assert budget.take('s')


@pytest.mark.parametrize(
    'chunks, numbers, rest',
    [
        ([b'id: 1\ndata: a\n\n'], [1], b''),
        ([b'id: 1\nda', b'ta: a\n\nid: 2\n', b'\n'], [1, 2], b''),
        ([b'id: 1\n\nid: 2\ndata: cut'], [1], b'id: 2\ndata: cut'),
        ([b'weight-versions: 3\nid: 7\ndata: a\n\n'], [7], b''),
        ([b'data: a\n\n'], [None], b''),
        ([b'id: x\n\n'], [None], b''),
    ],
)
def test_events_are_whole(chunks, numbers, rest):
    """Events come out whole and unchanged, whatever the chunks."""
    splitter = _events.EventSplitter()
    events = [event for chunk in chunks for event in splitter.feed(chunk)]
    assert [event.number for event in events] == numbers
    assert splitter.rest == rest
    whole = b''.join(event.data for event in events) + rest
    assert whole == b''.join(chunks)


def _ticket(clock, prompt_in, priority=1):
    now = clock.now()
    return _queue.Ticket(priority, now, now + prompt_in, now + 5.0)


def test_prompt_requests_go_before_late_ones(clock):
    """Who can still be prompt goes first, the most pressing one at that."""
    line = _queue.WaitingLine(clock)
    late = _ticket(clock, 0.05)
    pressing = _ticket(clock, 0.3)
    relaxed = _ticket(clock, 0.9)
    for ticket in (late, relaxed, pressing):
        line.push(ticket)
    order = []
    while (ticket := line.first()) is not None:
        line.remove(ticket)
        order.append(ticket)
    assert order == [pressing, relaxed, late]


def test_more_urgent_requests_go_first(clock):
    """Among prompt ones the priority decides."""
    line = _queue.WaitingLine(clock)
    usual, urgent = _ticket(clock, 0.5, 2), _ticket(clock, 0.9, 1)
    line.push(usual)
    line.push(urgent)
    assert line.first() is urgent


def test_hopeless_wait_is_refused_at_once(clock):
    """Nobody queues up behind more than can be served in time."""
    line = _queue.WaitingLine(clock)
    accepted = 0
    while line.may_wait(_ticket(clock, 0.3)) and accepted < 1000:
        line.push(_ticket(clock, 0.3))
        accepted += 1
    assert 0 < accepted < 20


@pytest.mark.parametrize(
    'wait_s, left_s, expected',
    [(0.4, 6.0, 0.4), (5.0, 6.0, 2.0), (0.0, 6.0, 0.05)],
)
def test_retry_after_is_honoured_by_clients(wait_s, left_s, expected):
    """Never more than the third of its time that a client honours."""
    assert _queue.retry_after_s(wait_s, left_s) == expected


def test_slow_head_gets_more_patience(clock):
    """A head that is slow but moves is not taken for dead."""
    stalls = traffic.StallDetector(clock)
    assert stalls.gap_patience_s('h', 0.3) == pytest.approx(0.33)
    for _event in range(50):
        stalls.note_gap('h', 0.4)
    assert stalls.gap_patience_s('h', 0.3) > 1.0


def test_slow_head_is_not_left_again_and_again(clock):
    """Each stall lets the next stream wait longer, until the group changes."""
    stalls = traffic.StallDetector(clock)
    first = stalls.gap_patience_s('h', 0.3)
    stalls.note_stall('h', first)
    second = stalls.gap_patience_s('h', 0.3)
    assert second == pytest.approx(2 * first)
    waited = stalls.first_patience_s('h', 0.3)
    stalls.note_stall('h', waited)
    assert stalls.first_patience_s('h', 0.3) == pytest.approx(2 * waited)
    assert stalls.is_suspect('h')
    stalls.forget('h')
    assert stalls.gap_patience_s('h', 0.3) == pytest.approx(first)
    assert not stalls.is_suspect('h')


def test_progress_ends_suspicion(clock):
    """A suspected head that moves is trusted again at once."""
    stalls = traffic.StallDetector(clock)
    stalls.mark_suspect('h')
    assert stalls.is_suspect('h')
    stalls.note_gap('h', 0.05)
    assert not stalls.is_suspect('h')
    stalls.mark_suspect('h')
    clock.advance(1.0)
    assert not stalls.is_suspect('h')
