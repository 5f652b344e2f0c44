"""Tests of the request queue, load estimates, routing and streams."""

import random

import pytest

from plantainway import clock
from plantainway import errors
from plantainway import requests
from plantainway.requests import _load
from plantainway.requests import _routing
from plantainway import upstreams


def make_waiter(account, rank=1, at=0.0, deadline=1e9):
    """Returns a request that can be queued."""
    return requests.QueuedRequest(account, rank, deadline, at)


@pytest.mark.parametrize(
    'running, waiting, order',
    [
        # A request with a lower rank number is served first.
        ({}, [('a', 2), ('b', 0), ('c', 1)], 'bca'),
        # Requests of one account are served in order of arrival.
        ({}, [('a', 1), ('a', 1)], 'aa'),
        # The account with fewer requests in progress is served first.
        ({'a': 3}, [('a', 1), ('a', 1), ('b', 1)], 'baa'),
        # An account with many requests delays only its own.
        ({'a': 9}, [('a', 1)] * 5 + [('b', 1)] * 2, 'bbaaaaa'),
    ],
)
def test_order_of_service(running, waiting, order):
    """Requests leave the queue by rank, load of the account and age."""
    queue = requests.RequestQueue(clock.ManualClock())
    for account, count in running.items():
        for _request in range(count):
            queue.record_start(account)
    for number, (account, rank) in enumerate(waiting):
        queue.push(make_waiter(account, rank, float(number)))
    found = ''
    while (item := queue.pop()) is not None:
        queue.record_start(item.account)
        found += item.account
    assert found == order and queue.waiting_count == 0


def test_predicted_wait_depends_on_the_own_queue():
    """A long queue of one account does not delay another account."""
    queue = requests.RequestQueue(clock.ManualClock())
    wait_before_s = queue.predicted_wait_s(make_waiter('b'), 10.0)
    for number in range(1000):
        queue.push(make_waiter('a', 1, float(number)))
    assert queue.predicted_wait_s(make_waiter('b'), 10.0) <= 2 * wait_before_s
    assert not queue.can_wait(make_waiter('a'), 10.0)
    assert queue.can_wait(make_waiter('b'), 10.0)
    assert not queue.can_wait(make_waiter('b', deadline=1000.0), 10.0)


def test_estimated_load_adds_the_requests_of_other_nodes():
    """The requests of other nodes are estimated from mean reports.

    Own requests are known exactly, so the estimate follows them at once.
    """
    estimator = _load.LoadEstimator()
    assert estimator.estimated_requests('h') == 0.0
    estimator.record_sent('h')
    assert estimator.estimated_requests('h') == 1.0
    for _report in range(50):
        estimator.record_report({'h': [3, 1]})
    assert estimator.estimated_requests('h') == pytest.approx(4.0, abs=0.01)
    estimator.record_sent('h')
    assert estimator.estimated_requests('h') == pytest.approx(5.0, abs=0.01)
    estimator.record_ended('h')
    estimator.record_ended('h')
    assert estimator.estimated_requests('h') == pytest.approx(3.0, abs=0.01)
    for _report in range(50):
        estimator.record_report({'h': [0, 0]})
    assert estimator.estimated_requests('h') == pytest.approx(0.0, abs=0.01)


def candidate(name, **fields):
    """Returns a candidate with no load."""
    values = {'load': 0.0, 'distance': 0, 'slots': 4} | fields
    return requests.Candidate(name, **values)


@pytest.mark.parametrize(
    'one, other, chosen',
    [
        ({}, {}, 'both'),
        # Load excludes a copy at the ceiling; it does not rank copies.
        ({'load': 0.9}, {}, 'both'),
        ({'cached_fraction': 1.0}, {}, 'one'),
        ({'cached_fraction': 0.3}, {}, 'both'),
        ({'cached_fraction': 1.0, 'load': 0.9}, {}, 'both'),
        ({'cached_fraction': 1.0, 'slowdown': 3.0}, {}, 'other'),
        ({'slowdown': 3.0}, {'slowdown': 3.0}, 'both'),
        ({'distance': 1}, {}, 'both'),
        ({'distance': 2}, {}, 'other'),
        ({'distance': 2}, {'distance': 2}, 'both'),
    ],
)
def test_choice_of_a_copy(one, other, chosen):
    """Copies take turns unless one has the prompt cached.

    Stragglers and copies in another region are passed over.
    """
    chooser = requests.CacheAwareChooser(random.Random(1))
    both = [candidate('one', **one), candidate('other', **other)]
    found = {chooser.choose(both).name for _request in range(4)}
    assert found == ({'one', 'other'} if chosen == 'both' else {chosen})
    assert chooser.choose([]) is None


def test_prefix_index_decays_and_is_bounded(monkeypatch):
    """Entries lose weight with age; the least recent ones are evicted."""
    monkeypatch.setattr(requests._affinity, 'ENTRIES_MAX', 10)
    manual = clock.ManualClock()
    index = requests.PrefixCacheIndex(manual)
    base = [{'role': 'system', 'content': 'x' * 2000}]
    digests = requests.prefix_digests(base)
    assert len(digests) == 7
    longer = requests.prefix_digests(
        [{'role': 'system', 'content': 'x' * 2000 + 'y' * 600}]
    )
    assert longer[:7] == digests
    index.record('c1', digests)
    assert index.cached_fraction('c1', digests) == 1.0
    assert 0.5 < index.cached_fraction('c1', longer) < 1.0
    assert index.cached_fraction('c2', digests) == 0.0
    manual.advance(120.0)
    assert index.cached_fraction('c1', digests) == pytest.approx(0.5)
    index.remove('c1', digests[-1])
    assert index.cached_fraction('c1', digests) < 0.5
    index.record('c2', longer)
    assert len(index) == 10


def test_straggler_is_detected():
    """A copy far slower than the median has a slowdown above 1."""
    tracker = _routing.InterTokenLatencyTracker()
    for name, gap_s in (('a', 0.05), ('b', 0.05), ('c', 0.2)):
        for _answer in range(20):
            tracker.record(name, gap_s)
    assert tracker.slowdown('a') == tracker.slowdown('b') == 1.0
    assert tracker.slowdown('c') > 2.0


def test_retry_budget_bounds_retries():
    """After the initial balance, at most a tenth of requests are retried."""
    budget = requests.RetryBudget()
    while budget.withdraw():
        pass
    granted = 0
    for _request in range(1000):
        budget.deposit()
        granted += budget.withdraw()
    assert 90 <= granted <= 100


EVENT = upstreams.ChatEvent


@pytest.mark.parametrize(
    'events, passed, error',
    [
        ([('a', 1), ('a', 2), ('a', 2, True)], 3, False),
        ([('a', 1), ('a', 1), ('a', 2)], 2, False),
        ([('b', 1), ('a', 1)], 1, False),
        ([('b', 0, True)], 0, False),
        ([('b', 7), ('a', 1)], 1, False),
        ([('a', 1), ('a', 3)], 1, True),
        ([('a', 2)], 0, True),
        ([('a', 1), ('a', 3, True)], 1, True),
        ([('a', 1), ('a', 2), ('a', 1, True)], 2, True),
        ([('a', 0, True)], 1, False),
    ],
)
def test_stream_validation(events, passed, error):
    """Events that are repeated or of other attempts are dropped.

    A gap in the positions or a wrong end position is an error.
    """
    validator = requests.AnswerValidator('a', 0, 'vm')
    count = 0
    failed = False
    for attempt, position, *end in events:
        try:
            event = EVENT(attempt, position, b'', bool(end))
            count += validator.accept(event)
        except errors.UpstreamError:
            failed = True
    assert (count, failed) == (passed, error)
