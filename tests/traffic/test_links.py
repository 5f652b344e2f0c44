"""Tests of the decision whether a node has lost its links."""

import random

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway.traffic import _links


@pytest.fixture
def clock():
    """A clock that the test moves."""
    return clocks.ManualClock()


@pytest.fixture
def monitor(clock):
    """A monitor without evidence."""
    return _links.LinkMonitor(clock)


@pytest.mark.parametrize(
    'events, expected',
    [
        ('f:a', False),
        ('f:a f:a f:a', False),
        ('f:a f:b', True),
        ('f:a c f:b', False),
        ('f:a wait c f:b', False),
        # A node with few requests hears of no upstream for a while.
        ('c f:a', False),
        ('c quiet f:a', True),
        ('c quiet f:a c', False),
        ('c quiet f:a wait c', False),
        # Open connections live on while new ones are refused.
        ('u:a c u:b c', False),
        ('u:a c u:b c u:c c', True),
        ('u:a c u:b wait u:c c', False),
    ],
)
def test_failures_of_several_upstreams_in_a_row_are_suspicious(
    monitor, clock, events, expected
):
    """A sign of life of any upstream speaks for the links."""
    calls = []
    monitor.on_suspicious.append(lambda: calls.append(1))
    for event in events.split():
        kind, _, name = event.partition(':')
        if kind == 'wait':
            clock.advance(_links.FAILURE_TTL_S + 0.1)
        elif kind == 'quiet':
            clock.advance(_links.QUIET_S)
        elif kind == 'c':
            monitor.record_contact()
        elif kind == 'u':
            monitor.record_unreached(name)
        else:
            monitor.record_failure(name)
    assert monitor.is_suspicious is expected
    if expected:
        assert calls
    assert monitor.is_lost is False


@pytest.mark.parametrize(
    'checks, expected',
    [
        ([(0, 4)], False),
        ([(0, 4), (0, 4)], True),
        ([(0, 4), (1, 4), (0, 4)], True),
        ([(0, 4), (2, 4), (0, 4)], False),
        ([(0, 4), (0, 4), (1, 4)], True),
        ([(0, 4), (0, 4), (2, 4)], False),
        # Few upstreams, or none.
        ([(0, 1), (0, 1), (1, 1)], False),
        ([(0, 0), (0, 0)], False),
    ],
)
def test_links_are_lost_and_regained_by_checks(monitor, checks, expected):
    """Each change is notified once."""
    changes = []
    monitor.on_change.append(lambda: changes.append(monitor.is_lost))
    for reached, asked in checks:
        monitor.record_check(reached, asked)
    monitor.record_contact()
    assert monitor.is_lost is expected
    assert (changes[-1:] or [False]) == [expected]
    assert len(changes) <= 2


@pytest.mark.parametrize(
    'domains, expected', [(1, 1), (3, 3), (4, 4), (9, 4), (0, 0)]
)
def test_checked_upstreams_are_of_different_domains(domains, expected):
    """One failure domain that is lost is no reason to doubt the links."""
    upstreams = [
        deployment.Upstream(
            f'e{n}', 's', f'h:{n}', 'a', 4, False, domain=f'd{n % domains}'
        )
        for n in range(20 if domains else 0)
    ]
    for seed in range(20):
        chosen = _links.choose_checked(upstreams, random.Random(seed))
        assert len(set(chosen)) == min(4, len(upstreams))
        assert len({item.domain for item in chosen}) == expected
