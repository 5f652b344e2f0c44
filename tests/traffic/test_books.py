"""Health, retry budget, event parsing, wait queue and stall detection.

The tests set the time by hand.
"""

import pytest

from plantainway import clock as clocks
from plantainway import traffic
from plantainway.traffic import _events
from plantainway.traffic import _queue


class NamedUpstream:
    """The part of an upstream that health checks read."""

    def __init__(self, name):
        self.name = name


@pytest.fixture
def clock():
    """A clock that the test advances."""
    return clocks.ManualClock()


@pytest.mark.parametrize(
    'outcomes, eject_now, ejected',
    [
        ('f', False, False),
        ('ff', False, True),
        ('fsf', False, False),
        ('f', True, True),
        ('fssssfssssfssssfssss', False, False),
        ('fsfsfsfsfsfsfsfsf', False, True),
    ],
)
def test_failing_upstream_is_ejected(clock, outcomes, eject_now, ejected):
    """Two failures in a row or half of the requests eject an upstream."""
    health = traffic.HealthTracker(clock)
    for outcome in outcomes:
        if outcome == 's':
            health.record_success('u1')
        else:
            health.record_failure('u1', eject_now)
    assert health.is_ejected('u1') is ejected


def test_ejection_time_doubles_up_to_a_limit(clock):
    """Ejections double in length, up to 8 s."""
    health = traffic.HealthTracker(clock)
    lengths = []
    for _time in range(5):
        health.record_failure('u1', eject_now=True)
        ejected_at = clock.now()
        while health.is_ejected('u1'):
            clock.advance(0.25)
        lengths.append(clock.now() - ejected_at)
    assert lengths == [1.0, 2.0, 4.0, 8.0, 8.0]


def test_all_upstreams_are_returned_if_all_are_ejected(clock):
    """A service is never left without upstreams."""
    health = traffic.HealthTracker(clock)
    both = [NamedUpstream('u1'), NamedUpstream('u2')]
    health.record_failure('u1', eject_now=True)
    assert health.exclude_ejected(both) == both[1:]
    health.record_failure('u2', eject_now=True)
    assert health.exclude_ejected(both) == both


def test_sum_of_retry_budgets_stays_within_allowance(clock):
    """The retries of all nodes stay within the allowance of the service."""
    nodes = [traffic.RetryBudget(clock, 0.2, 100.0, 10.0) for _n in range(10)]
    clock.advance(20.0)
    granted = 0
    for node in nodes:
        node.node_count = len(nodes)
        for _request in range(50):
            node.record_request('s')
        granted += sum(node.try_take('s') for _try in range(1000))
    assert 0 < granted <= 0.2 * 500 + 100


def test_restart_of_all_nodes_stays_within_allowance(clock):
    """Nodes that are all killed and restarted spend one allowance in total.

    Restarted nodes do not know what they spent before within the window.
    """
    granted = 0
    for _life in range(2):
        nodes = [
            traffic.RetryBudget(clock, 0.2, 283.0, 10.0) for _n in range(15)
        ]
        for node in nodes:
            node.node_count = len(nodes)
        if not granted:
            clock.advance(30.0)
        granted += sum(
            node.try_take('s') for node in nodes for _try in range(100)
        )
    assert 0 < granted <= 283


def test_budget_recovers_after_a_window(clock):
    """Retries older than the window no longer count."""
    budget = traffic.RetryBudget(clock, 0.0, 10.0, 10.0)
    budget.node_count = 1
    clock.advance(30.0)
    while budget.try_take('s'):
        pass
    assert not budget.try_take('s')
    clock.advance(11.0)
    assert budget.try_take('s')


@pytest.mark.parametrize(
    'chunks, numbers, rest',
    [
        ([b'id: 1\ndata: a\n\n'], [1], b''),
        ([b'id: 1\nda', b'ta: a\n\nid: 2\n', b'\n'], [1, 2], b''),
        ([b'id: 1\n\nid: 2\ndata: cut'], [1], b'id: 2\ndata: cut'),
        ([b'weight-versions: 3\nid: 7\ndata: a\n\n'], [7], b''),
        ([b'id: 1\r\n\r', b'\nid: 2\r\n\r\nid: 3\r\n'], [1, 2], b'id: 3\r\n'),
        ([b'data: a\n\n'], [None], b''),
        ([b'id: x\n\n'], [None], b''),
    ],
)
def test_events_are_split_at_blank_lines(chunks, numbers, rest):
    """Events are complete and unchanged however the bytes are split."""
    splitter = _events.EventSplitter()
    events = [event for chunk in chunks for event in splitter.feed(chunk)]
    assert [event.event_id for event in events] == numbers
    assert splitter.remainder == rest
    whole = b''.join(event.data for event in events) + rest
    assert whole == b''.join(chunks)


def _entry(clock, target_in_s, priority=1):
    now = clock.now()
    return _queue.QueueEntry(priority, now, now + target_in_s, now + 5.0)


def test_requests_in_time_go_before_late_ones(clock):
    """Requests that can meet their target go first, by earliest target."""
    queue = _queue.WaitQueue(clock)
    late = _entry(clock, 0.05)
    near_target = _entry(clock, 0.3)
    far_target = _entry(clock, 0.9)
    for entry in (late, far_target, near_target):
        queue.push(entry)
    assert queue.in_order() == [near_target, far_target, late]


def test_higher_priority_goes_first(clock):
    """Among requests that can meet their target, the priority decides."""
    queue = _queue.WaitQueue(clock)
    usual, urgent = _entry(clock, 0.5, 2), _entry(clock, 0.9, 1)
    queue.push(usual)
    queue.push(urgent)
    assert queue.in_order() == [urgent, usual]


def test_request_that_would_wait_too_long_is_refused(clock):
    """The queue accepts no more requests than can be served in time."""
    queue = _queue.WaitQueue(clock)
    accepted = 0
    while queue.may_wait(_entry(clock, 0.3)) and accepted < 1000:
        queue.push(_entry(clock, 0.3))
        accepted += 1
    assert 0 < accepted < 20


@pytest.mark.parametrize(
    'wait_s, left_s, expected',
    [(0.4, 6.0, 0.4), (5.0, 6.0, 2.0), (0.0, 6.0, 0.05)],
)
def test_retry_after_stays_within_what_clients_honour(
    wait_s, left_s, expected
):
    """A client honours at most a third of its remaining time."""
    assert _queue.retry_after_s(wait_s, left_s) == expected


def test_slow_head_gets_a_longer_gap_timeout(clock):
    """A slow head that makes progress is not treated as stalled."""
    stalls = traffic.StallDetector(clock)
    assert stalls.gap_timeout_s('h', 0.3) == pytest.approx(0.33)
    for _event in range(50):
        stalls.record_gap('h', 0.4)
    assert stalls.gap_timeout_s('h', 0.3) > 1.0


def test_stalls_raise_timeouts_until_the_group_changes(clock):
    """Each stall doubles the timeout, until the group of the head changes.

    Otherwise the streams of a slow head would be moved again and again.
    """
    stalls = traffic.StallDetector(clock)
    first_timeout_s = stalls.gap_timeout_s('h', 0.3)
    stalls.record_stall('h', first_timeout_s)
    second_timeout_s = stalls.gap_timeout_s('h', 0.3)
    assert second_timeout_s == pytest.approx(2 * first_timeout_s)
    timeout_s = stalls.first_event_timeout_s('h', 0.3)
    stalls.record_stall('h', timeout_s)
    assert stalls.first_event_timeout_s('h', 0.3) == pytest.approx(
        2 * timeout_s
    )
    assert stalls.is_suspect('h')
    stalls.forget('h')
    assert stalls.gap_timeout_s('h', 0.3) == pytest.approx(first_timeout_s)
    assert not stalls.is_suspect('h')


def test_progress_or_time_clears_suspicion(clock):
    """Suspicion ends with the next event, or after a while."""
    stalls = traffic.StallDetector(clock)
    stalls.mark_suspect('h')
    assert stalls.is_suspect('h')
    stalls.record_gap('h', 0.05)
    assert not stalls.is_suspect('h')
    stalls.mark_suspect('h')
    clock.advance(1.0)
    assert not stalls.is_suspect('h')
