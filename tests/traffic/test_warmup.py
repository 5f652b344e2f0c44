"""Ramps of heads that have just opened or recovered."""

import contextlib
import types

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import errors
from plantainway import traffic
from tests.traffic import test_heads

FULL = 16
FAST_S, SLOW_S = 0.1, 0.5
KEY = 'h/1'  # of the head in leader updates


def _head(name='h', epoch=1):
    return deployment.Upstream(
        name,
        's',
        '',
        'a',
        13,
        False,
        membership=deployment.Membership(
            'g', epoch, 0, deployment.GroupState.OPEN, 'm0'
        ),
    )


def _configure(pacer, cold_per_s=17.0, priorities=(1, 5)):
    service = deployment.Service(
        's', '/', 1, cold_s=8.0, cold_per_s=cold_per_s
    )
    routes = types.SimpleNamespace(priorities=lambda _name: set(priorities))
    pacer.configure(
        types.SimpleNamespace(services={'s': service}, routes=routes)
    )


@pytest.fixture
def clock():
    """A clock that the test advances."""
    return clocks.ManualClock()


@pytest.fixture
def pacer(clock):
    """A pacer that knows how fast the other heads answer."""
    found = traffic.WarmupPacer(clock)
    _configure(found)
    found.record_first_event(_head('other'), FAST_S)
    return found


@pytest.mark.parametrize(
    'latencies, after_s, expected',
    [
        ([], 0.0, 4),
        ([], 2.0, 8),  # no answers: not left idle
        ([], 6.0, 16),
        ([FAST_S] * 5, 0.0, 9),
        ([FAST_S] * 30, 0.0, 16),
        ([SLOW_S], 0.0, 2),
        ([SLOW_S] * 5, 0.0, 2),  # they were sent before the reduction
        ([FAST_S] * 6 + [SLOW_S], 1.0, 7),
    ],
)
def test_limit_follows_answers_and_time(
    pacer, clock, latencies, after_s, expected
):
    """A head is neither filled at once nor left idle."""
    pacer.handle_opened(_head())
    pacer.max_load(_head(), FULL)
    for latency_s in latencies:
        pacer.record_first_event(_head(), latency_s)
    clock.advance(after_s)
    assert pacer.max_load(_head(), FULL) == expected


@pytest.mark.parametrize(
    'happen, expected',
    [
        (lambda pacer: pacer.handle_opened(_head()), FULL),
        (lambda pacer: pacer.handle_opened(_head(epoch=2)), 4),
        (lambda pacer: pacer.handle_ejected(_head()), 4),
        (lambda pacer: pacer.handle_paused(_head(), 1.0), 4),
        (lambda pacer: pacer.handle_paused(_head(), 0.1), FULL),
        (lambda pacer: _configure(pacer, 0.0), FULL),
    ],
)
def test_what_begins_a_ramp(pacer, clock, happen, expected):
    """An entry that repeats what the leader said must not begin one again."""
    pacer.handle_opened(_head())
    pacer.max_load(_head(), FULL)
    clock.advance(10.0)
    assert pacer.max_load(_head(), FULL) == FULL
    happen(pacer)
    clock.advance(3.0)  # the ramp begins with the first choice after it
    assert pacer.max_load(_head(), FULL) == expected


def test_services_without_a_rate_have_no_ramps(pacer):
    """Deployments without cold engines must see no change."""
    _configure(pacer, 0.0)
    pacer.handle_opened(_head())
    assert pacer.max_load(_head(), FULL) == FULL
    assert not pacer.is_urgent('s', -1)


@pytest.mark.parametrize(
    'priority, priorities, expected',
    [
        (1, (1, 5), True),
        (5, (1, 5), False),
        (1, (1,), False),
        (-1, (1,), True),
    ],
)
async def test_urgent_requests_are_not_held_up(priority, priorities, expected):
    """Others wait for the ramp; with equal priorities all do."""
    harness = test_heads.PoolHarness(_head())
    _configure(harness.pool.warmup, priorities=priorities)
    harness.pool.warmup.handle_opened(_head())
    harness.loads.set_remote_counts({'h': 4})
    entry = harness.entry()
    entry.priority = priority
    # Nothing is released, so a request that has to wait is refused.
    entry.client_gone_at = harness.clock.now()
    refused = pytest.raises(errors.NotRunError)
    with contextlib.nullcontext() if expected else refused:
        await harness.pool.reserve('s', 'm0', entry)
