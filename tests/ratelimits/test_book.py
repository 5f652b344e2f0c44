"""Which of several observations of a limit holds."""

import math

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import ratelimits
from plantainway.ratelimits import _book


def upstream(name='u0', started_ms=1):
    """Returns an incarnation of an upstream."""
    return deployment.Upstream(
        name, 's', '10.0.0.1:1', 'a', 2, False, started_ms=started_ms
    )


def observed(per_second, age_s, started_ms=1):
    """Returns what another node reports of the upstream."""
    return ratelimits.LimitObservation(
        'u0', started_ms, per_second, int(age_s * 1000)
    )


@pytest.fixture
def clock():
    """A clock that the test advances."""
    return clocks.ManualClock()


@pytest.fixture
def book(clock):
    """An empty book."""
    return ratelimits.LimitBook(clock)


@pytest.mark.parametrize(
    'answers, expected',
    [
        ([None], None),
        ([2.0], 2.0),
        ([2.0, 3.5], 3.5),
        ([3.5, 0.0], 0.0),
        ([2.0, None], None),
        ([2.0, None, 1.0], 1.0),
        ([2.0, math.nan], 2.0),
        ([math.nan], None),
    ],
)
def test_newest_answer_to_this_node_holds(book, clock, answers, expected):
    """An answer without a limit ends it, an unreadable one changes nothing."""
    for per_second in answers:
        clock.advance(0.1)
        book.observe(upstream(), per_second)
    assert book.find(upstream()) == expected


@pytest.mark.parametrize(
    'known, other, delay_s, expected',
    [
        # Known and other: limit and seconds since the answer.
        ((2.0, 5.0), (3.0, 1.0), 0.01, 3.0),
        ((2.0, 5.0), (None, 1.0), 0.01, None),
        ((None, 1.0), (2.0, 5.0), 0.01, None),
        ((3.0, 1.0), (2.0, 5.0), 0.01, 3.0),
        # Sent with the age of a fresh answer, and long on its way.
        ((None, 1.0), (2.0, 0.0), 4.0, None),
        ((2.0, 1.0), (None, 0.0), 4.0, 2.0),
        ((None, 5.0), (2.0, 0.0), 4.0, 2.0),
    ],
)
def test_later_answer_holds_whichever_arrives_first(
    book, clock, known, other, delay_s, expected
):
    """An older limit does not come back with news that was delayed."""
    book.observe(upstream(), 9.0)
    book.observe(upstream(), known[0])
    clock.advance(known[1])
    book.merge([observed(*other)], delay_s)
    assert book.find(upstream()) == expected


@pytest.mark.parametrize(
    'age_s, expected', [(0.5, 2.0), (29.0, 2.0), (31.0, None)]
)
def test_observations_that_are_too_old_are_not_taken(book, age_s, expected):
    """A node may report what it saw long before it was cut off."""
    book.merge([observed(2.0, age_s)], 0.0)
    assert book.find(upstream()) == expected


def test_limit_belongs_to_one_incarnation(book, clock):
    """An upstream that has started again under its name has named none."""
    book.observe(upstream(), 2.0)
    assert book.find(upstream(started_ms=2)) is None
    clock.advance(1.0)
    book.observe(upstream(started_ms=2), 3.0)
    assert book.find(upstream(started_ms=2)) == 3.0
    assert book.find(upstream()) is None


def test_ended_limit_is_remembered_against_older_news(book, clock):
    """Only once no node can still report the limit is it forgotten."""
    book.observe(upstream(), 2.0)
    book.observe(upstream(), None)
    assert [one.per_second for one in book.observations()] == [None]
    clock.advance(_book.ENDED_TTL_S + 1.0)
    assert book.observations() == []
    assert _book.ENDED_TTL_S > _book.OBSERVATION_TTL_S


def test_observations_are_reported_once(book, clock):
    """Repeated answers are reported too: they are the newer ones."""
    book.observe(upstream(), 2.0)
    assert len(book.take_unreported()) == 1
    assert book.take_unreported() == []
    clock.advance(1.0)
    book.observe(upstream(), 2.0)
    assert len(book.take_unreported()) == 1
    book.merge([observed(3.0, 0.0)], 0.0)
    assert book.take_unreported() == []


def test_only_changes_by_own_answers_are_announced(book, clock):
    """What the leader has sent need not be sent back to it."""
    calls = []
    book.on_named.append(lambda: calls.append(book.find(upstream())))
    book.observe(upstream(), 2.0)
    book.observe(upstream(), 2.0)
    clock.advance(1.0)
    book.merge([observed(3.0, 0.0)], 0.0)
    assert calls == [2.0]
    assert book.revision == 2


def test_unconfirmed_limits_are_those_without_a_recent_answer(book, clock):
    """An upstream that no one calls has to be asked."""
    book.observe(upstream('u0'), 2.0)
    clock.advance(3.0)
    book.observe(upstream('u1'), 2.0)
    book.observe(upstream('u2'), 2.0)
    book.observe(upstream('u2'), None)
    assert book.unconfirmed(2.0) == ['u0']
