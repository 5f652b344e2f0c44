"""Turns of waiting requests, estimates of load, choice of copies."""

import random

import pytest

from plantainway import clock
from plantainway import errors
from plantainway import requests
from plantainway.requests import _load
from plantainway.requests import _routing
from plantainway import upstreams


def ticket(account, rank=1, at=0.0, deadline=1e9):
    """Returns a waiting request."""
    return requests.Ticket(account, rank, deadline, at)


@pytest.mark.parametrize(
    'running, waiting, order',
    [
        # A lower rank goes first.
        ({}, [('a', 2), ('b', 0), ('c', 1)], 'bca'),
        # Within an account, first come first served.
        ({}, [('a', 1), ('a', 1)], 'aa'),
        # The account with fewer requests in progress goes first.
        ({'a': 3}, [('a', 1), ('a', 1), ('b', 1)], 'baa'),
        # A flood waits for itself.
        ({'a': 9}, [('a', 1)] * 5 + [('b', 1)] * 2, 'bbaaaaa'),
    ],
)
def test_turns(running, waiting, order):
    """Who goes first."""
    room = requests.WaitingRoom(clock.ManualClock())
    for account, count in running.items():
        for _request in range(count):
            room.started(account)
    for number, (account, rank) in enumerate(waiting):
        room.push(ticket(account, rank, float(number)))
    found = ''
    while (item := room.pop()) is not None:
        room.started(item.account)
        found += item.account
    assert found == order and room.waiting == 0


def test_flood_does_not_lengthen_anothers_wait():
    """The predicted wait grows with the account's own queue."""
    room = requests.WaitingRoom(clock.ManualClock())
    calm = room.predicted_wait_s(ticket('b'), 10.0)
    for number in range(1000):
        room.push(ticket('a', 1, float(number)))
    assert room.predicted_wait_s(ticket('b'), 10.0) <= 2 * calm
    assert not room.may_wait(ticket('a'), 10.0)
    assert room.may_wait(ticket('b'), 10.0)
    assert not room.may_wait(ticket('b', deadline=1000.0), 10.0)


def test_load_is_own_plus_what_others_have():
    """Own requests are exact; others' come from means, whatever the lag."""
    book = _load.LoadBook()
    assert book.estimate('h') == 0.0
    book.sent('h')
    assert book.estimate('h') == 1.0
    for _report in range(50):
        book.report({'h': [3, 1]})
    assert book.estimate('h') == pytest.approx(4.0, abs=0.01)
    book.sent('h')
    assert book.estimate('h') == pytest.approx(5.0, abs=0.01)
    book.ended('h')
    book.ended('h')
    assert book.estimate('h') == pytest.approx(3.0, abs=0.01)
    for _report in range(50):
        book.report({'h': [0, 0]})
    assert book.estimate('h') == pytest.approx(0.0, abs=0.01)


def candidate(name, **fields):
    """Returns a candidate with no load."""
    values = {'load': 0.0, 'distance': 0, 'slots': 4} | fields
    return requests.Candidate(name, **values)


@pytest.mark.parametrize(
    'one, other, chosen',
    [
        ({}, {}, 'both'),
        # Loads bar, they do not rank.
        ({'load': 0.9}, {}, 'both'),
        ({'cached': 1.0}, {}, 'one'),
        ({'cached': 0.3}, {}, 'both'),
        ({'cached': 1.0, 'load': 0.9}, {}, 'both'),
        ({'cached': 1.0, 'slow': 3.0}, {}, 'other'),
        ({'slow': 3.0}, {'slow': 3.0}, 'both'),
        ({'distance': 1}, {}, 'both'),
        ({'distance': 2}, {}, 'other'),
        ({'distance': 2}, {'distance': 2}, 'both'),
    ],
)
def test_choice(one, other, chosen):
    """Turns, left for a cached prompt, a straggler or another region."""
    chooser = requests.TurnChooser(random.Random(1))
    both = [candidate('one', **one), candidate('other', **other)]
    found = {chooser.choose(both).name for _request in range(4)}
    assert found == ({'one', 'other'} if chosen == 'both' else {chosen})
    assert chooser.choose([]) is None


def test_prefixes_fade_and_are_bounded(monkeypatch):
    """Old entries count less, and the least used are dropped."""
    monkeypatch.setattr(requests._affinity, 'ENTRIES_MAX', 10)
    manual = clock.ManualClock()
    found = requests.PrefixMap(manual)
    base = [{'role': 'system', 'content': 'x' * 2000}]
    digests = requests.prefix_digests(base)
    assert len(digests) == 7
    longer = requests.prefix_digests(
        [{'role': 'system', 'content': 'x' * 2000 + 'y' * 600}]
    )
    assert longer[:7] == digests
    found.note('c1', digests)
    assert found.cached_share('c1', digests) == 1.0
    assert 0.5 < found.cached_share('c1', longer) < 1.0
    assert found.cached_share('c2', digests) == 0.0
    manual.advance(120.0)
    assert found.cached_share('c1', digests) == pytest.approx(0.5)
    found.drop('c1', digests[-1])
    assert found.cached_share('c1', digests) < 0.5
    found.note('c2', longer)
    assert len(found) == 10


def test_stragglers_are_found():
    """A copy much slower than its peers counts as slow."""
    book = _routing.PaceBook()
    for name, gap_s in (('a', 0.05), ('b', 0.05), ('c', 0.2)):
        for _answer in range(20):
            book.note(name, gap_s)
    assert book.slow('a') == book.slow('b') == 1.0
    assert book.slow('c') > 2.0


def test_retry_budget_bounds_retries():
    """Retries are at most a tenth of the requests, once the start is used."""
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
def test_answers_are_whole_and_own(events, passed, error):
    """Late, duplicate and foreign events are dropped, gaps are errors."""
    check = requests.AnswerCheck('a', 0, 'vm')
    count = 0
    failed = False
    for attempt, position, *end in events:
        try:
            event = EVENT(attempt, position, b'', bool(end))
            count += check.take(event)
        except errors.UpstreamError:
            failed = True
    assert (count, failed) == (passed, error)
