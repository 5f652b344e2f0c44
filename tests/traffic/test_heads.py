"""Reservations at heads: choice of the head, waiting and refusal."""

import asyncio
import collections
import dataclasses
import random
import time

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import errors
from plantainway import traffic
from plantainway.traffic import _admission
from plantainway.traffic import _heads
from plantainway.traffic import _queue
from tests.traffic import test_admission

RANKED = frozenset({'s'})


def _head(name, epoch=1, slots=2):
    member = deployment.Membership(
        f'g{epoch}', epoch, 0, deployment.GroupState.OPEN, 'm0'
    )
    return deployment.Upstream(
        name, 's', '10.0.0.1:1', 'a', slots, False, membership=member
    )


class FakePermits(traffic.BasePermitSource):
    """Permits of which a test sets the number, by upstream."""

    def __init__(self):
        self.left: dict[str, int] = {}
        self.retry_after_s = 0.7
        self.asked: list[float] = []

    def is_limited(self, upstream):
        """Returns whether the test has set a number."""
        return upstream.name in self.left

    async def acquire(self, upstreams, max_wait_s):
        """Takes a permit, without waiting."""
        self.asked.append(max_wait_s)
        for item in upstreams:
            if self.left[item.name] > 0:
                self.left[item.name] -= 1
                return item
        raise errors.NotRunError(
            'no permit', reason='limited', retry_after_s=self.retry_after_s
        )

    def forget(self, name):
        """Drops the limit of an upstream."""
        self.left.pop(name, None)


class PoolHarness:
    """A head pool over the given heads, with its real components."""

    def __init__(self, *heads, seed=1):
        self.clock = clocks.ManualClock()
        self.book = deployment.UpstreamRegistry()
        self.book.replace(heads, 1)
        self.health = traffic.HealthTracker(self.clock)
        self.stalls = traffic.StallDetector(self.clock)
        self.loads = traffic.LoadTracker()
        self.permits = FakePermits()
        self.pool = traffic.HeadPool(
            self.book,
            self.health,
            self.stalls,
            self.loads,
            traffic.RateGate(self.permits, self.loads, self.clock),
            self.clock,
            random.Random(seed),
        )

    def entry(self, **fields):
        """Returns the queue entry of a request that has just arrived."""
        now = self.clock.now()
        return _queue.QueueEntry(1, now, now + 0.3, now + 2.0, **fields)

    async def fill(self, count, priority):
        """Sends requests of a priority; returns how many got capacity."""
        got = 0
        for _request in range(count):
            entry = self.entry()
            entry.priority = priority
            try:
                async with asyncio.timeout(0.005):
                    await self.pool.reserve('s', 'm0', entry)
                got += 1
            except (TimeoutError, errors.NotRunError):
                pass
        return got

    async def reserve(self, **fields):
        """Reserves capacity for a new request."""
        return await self.pool.reserve('s', 'm0', self.entry(**fields))


async def test_requests_are_spread_over_all_heads():
    """Idle heads of the same size get nearly the same number of requests.

    Guards against heads left idle: with slots for twice the requests, a
    head that got 3 times the part of another would be late.
    """
    harness = PoolHarness(*(_head(f'h{n}', slots=24) for n in range(4)))
    for _request in range(48):
        await harness.reserve()
    counts = harness.loads.local_counts
    assert len(counts) == 4
    assert max(counts.values()) <= 2 * min(counts.values())


async def test_all_capacity_is_used_before_a_request_waits():
    """No request waits or is refused while any head has room."""
    harness = PoolHarness(*(_head(f'h{n}') for n in range(4)))
    for _request in range(4 * (2 + traffic.MAX_QUEUED_PER_GROUP)):
        await asyncio.wait_for(harness.reserve(), 1.0)
    assert set(harness.loads.local_counts.values()) == {5}


async def test_nodes_that_see_the_same_loads_choose_differently():
    """Guards against a head that opens and gets the requests of all nodes.

    113 nodes see one idle head beside 11 with 18 requests: by room it is due
    24 of 113, by the least load all of them.
    """
    counts = collections.Counter()
    for node in range(113):
        heads = [_head(f'h{n}', slots=24) for n in range(12)]
        harness = PoolHarness(*heads, seed=node)
        harness.loads.set_remote_counts({f'h{n}': 18 for n in range(1, 12)})
        counts[(await harness.reserve()).head.name] += 1
    assert 12 <= counts['h0'] <= 36
    assert len(counts) == 12


async def test_remote_loads_count():
    """A head that is loaded by other nodes gets fewer requests."""
    harness = PoolHarness(_head('h0', slots=24), _head('h1', slots=24))
    harness.loads.set_remote_counts({'h0': 24})
    names = [(await harness.reserve()).head.name for _n in range(20)]
    assert names.count('h1') >= 15


async def test_heads_filled_by_other_nodes_get_no_requests():
    """A full head is no choice beside one with room."""
    harness = PoolHarness(_head('h0'), _head('h1'))
    harness.loads.set_remote_counts({'h0': 5})
    names = {(await harness.reserve()).head.name for _n in range(5)}
    assert names == {'h1'}


@pytest.mark.parametrize(
    'exclude',
    [
        lambda harness, head: harness.health.record_failure(
            head.name, eject_now=True
        ),
        lambda harness, head: harness.stalls.mark_suspect(head.name),
        lambda harness, head: harness.pool.mark_closed(head),
    ],
)
async def test_unfit_head_gets_no_new_requests(exclude):
    """Ejected, suspect and closed heads get no new requests."""
    heads = [_head('h0'), _head('h1')]
    harness = PoolHarness(*heads)
    exclude(harness, heads[0])
    names = {(await harness.reserve()).head.name for _n in range(3)}
    assert names == {'h1'}


@pytest.mark.parametrize(
    'zones, before, after',
    [({'b'}, {'h0'}, 'h0'), ({'a', 'b', 'none'}, set(), None)],
)
async def test_queued_request_follows_an_evacuation(zones, before, after):
    """One that waits for the evacuated head only would wait in vain."""
    heads = [_head('h0'), dataclasses.replace(_head('h1'), zone='b')]
    harness = PoolHarness(*heads)
    held = [await harness.reserve() for _n in range(10)]
    waiting = asyncio.ensure_future(harness.reserve())
    await asyncio.sleep(0)
    assert harness.pool.dump() == {'s/m0': 1}
    harness.book.set_evacuated(zones)
    harness.pool.dispatch_waiting()
    for reservation in held:
        harness.pool.release(reservation)
    found = {item.name for item in harness.book.find_open_heads('s', 'm0')}
    assert found == before
    if after is None:
        with pytest.raises(errors.NotRunError):
            await waiting
    else:
        assert (await waiting).head.name == after


async def test_closed_head_is_used_again_in_a_new_group():
    """A closed head is excluded only for the membership it had then."""
    harness = PoolHarness(_head('h0'))
    harness.pool.mark_closed(_head('h0'))
    with pytest.raises(errors.NotRunError):
        await harness.reserve()
    harness.book.replace([_head('h0', epoch=2)], 2)
    assert (await harness.reserve()).head.name == 'h0'


async def test_waiting_request_gets_released_capacity():
    """A request waits while all heads are full, until one has capacity."""
    harness = PoolHarness(_head('h0'))
    held = [await harness.reserve() for _n in range(5)]
    waiting = asyncio.ensure_future(harness.reserve())
    await asyncio.sleep(0)
    assert not waiting.done()
    harness.pool.release(held[0], served=True)
    assert (await waiting).head.name == 'h0'
    assert harness.loads.total('h0') == 5


async def test_cancelled_request_returns_its_reservation():
    """A request cancelled just after its dispatch leaks no capacity."""
    harness = PoolHarness(_head('h0'))
    held = [await harness.reserve() for _n in range(5)]
    waiting = asyncio.ensure_future(harness.reserve())
    await asyncio.sleep(0)
    harness.pool.release(held[0])
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert harness.loads.total('h0') == 4


async def test_failed_attempts_do_not_shorten_the_predicted_wait():
    """Releases by failed attempts are no sign of capacity."""
    harness = PoolHarness(_head('h0'))
    held = [await harness.reserve() for _n in range(5)]
    queue = harness.pool._queue_for('s', 'm0')
    before = queue.predicted_wait_s(harness.entry())
    for reservation in held[:4]:
        harness.pool.release(reservation)
    assert queue.predicted_wait_s(harness.entry()) == before


async def test_request_is_refused_at_once_without_an_open_group():
    """Without an open group, a request does not wait."""
    harness = PoolHarness()
    with pytest.raises(errors.NotRunError) as caught:
        await harness.reserve()
    assert caught.value.reason == 'unavailable'


async def test_limited_heads_get_requests_only_with_a_permit():
    """One without a limit has room for the rest."""
    harness = PoolHarness(_head('h0'), _head('h1', epoch=2))
    harness.permits.left = {'h0': 0}
    for _request in range(4):
        assert (await harness.reserve()).head.name == 'h1'
    harness.permits.left = {'h0': 1}
    harness.clock.advance(harness.permits.retry_after_s)
    heads = [(await harness.reserve()).head.name for _request in range(2)]
    assert sorted(heads) == ['h0', 'h1']


@pytest.mark.parametrize(
    'on_time_s, gone_s, wait_s',
    [(0.5, 2.0, 0.38), (0.1, 2.0, 0.2), (-1.0, 2.0, 0.2), (0.5, 0.3, 0.18)],
)
async def test_refused_with_the_time_to_the_next_permit(
    on_time_s, gone_s, wait_s
):
    """A request asks to wait only as long as that is of use."""
    harness = PoolHarness(_head('h0'), _head('h1', epoch=2))
    harness.permits.left = {'h0': 0, 'h1': 0}
    now = harness.clock.now()
    entry = _queue.QueueEntry(1, now, now + on_time_s, now + gone_s)
    with pytest.raises(errors.NotRunError) as caught:
        await harness.pool.reserve('s', 'm0', entry)
    assert caught.value.retry_after_s == harness.permits.retry_after_s
    assert harness.permits.asked == [pytest.approx(wait_s)]
    assert not harness.loads.local_counts


async def test_full_heads_are_not_asked_a_permit_for():
    """They would not begin with the request."""
    harness = PoolHarness(_head('h0', slots=0))
    harness.permits.left = {'h0': 9}
    for _request in range(traffic.MAX_QUEUED_PER_GROUP):
        await harness.reserve()
    with pytest.raises(errors.NotRunError):
        await harness.reserve()
    assert harness.permits.left == {'h0': 6}


async def test_waiting_requests_ask_for_a_permit_once_all_heads_are_limited():
    """They do not wait in vain for capacity without a limit."""
    harness = PoolHarness(_head('h0', slots=0))
    for _request in range(traffic.MAX_QUEUED_PER_GROUP):
        reservation = await harness.reserve()
    waiting = asyncio.ensure_future(harness.reserve())
    await asyncio.sleep(0)
    harness.permits.left = {'h0': 1}
    harness.pool.release(reservation)
    assert (await waiting).head.name == 'h0'
    assert harness.permits.left == {'h0': 0}


@pytest.mark.parametrize('avoid', ['suspect', 'ejected'])
async def test_suspect_heads_serve_what_limited_ones_can_not(avoid):
    """A head that may have stalled is better than a refusal."""
    harness = PoolHarness(_head('h0'), _head('h1', epoch=2))
    harness.permits.left = {'h0': 1}
    if avoid == 'suspect':
        harness.stalls.mark_suspect('h1')
    else:
        harness.health.record_failure('h1', eject_now=True)
    heads = [(await harness.reserve()).head.name for _request in range(3)]
    assert heads == ['h0', 'h1', 'h1']


async def test_wait_of_a_late_loop_ends_with_the_capacity_it_got(monkeypatch):
    """Guards against a refusal for the node's own pause."""
    monkeypatch.setattr(_queue, 'MAX_WAIT_S', 0.3)
    harness = PoolHarness(_head('h0', slots=1))
    held = [await harness.reserve() for _n in range(4)]
    waiting = asyncio.ensure_future(harness.reserve())
    await asyncio.sleep(0.01)
    loop = asyncio.get_running_loop()
    loop.call_later(0.05, harness.pool.release, held[0], True)
    time.sleep(0.6)
    assert (await waiting).head.name == 'h0'


async def test_wait_for_capacity_ends():
    """The limit on the wait still holds."""
    harness = PoolHarness(_head('h0', slots=1))
    for _n in range(4):
        await harness.reserve()
    with pytest.raises(errors.NotRunError):
        await harness.reserve()


async def test_services_of_one_priority_have_the_constant_of_before():
    """Guards against other choices where the routes have one priority."""
    harness = PoolHarness(_head('h0'))
    harness.pool.configure({'s': test_admission.PROFILE}, frozenset())
    head = harness.book.by_name['h0']
    assert harness.pool._expected_s(head) == _queue.START_LATENCY_S
    harness.pool.configure({'s': test_admission.PROFILE}, RANKED)
    assert harness.pool._expected_s(head) != _queue.START_LATENCY_S


async def test_heads_where_a_request_is_late_are_used_half_as_often():
    """A head whose streams begin late is avoided, but not left idle."""
    harness = PoolHarness(_head('h0', slots=99), _head('h1', slots=99))
    harness.pool.configure({'s': test_admission.PROFILE}, RANKED)
    harness.loads.set_remote_counts({'h0': 2, 'h1': 2})
    for _event in range(40):
        harness.stalls.record_first_event('h0', 1.0)
    names = []
    for _request in range(100):
        reservation = await harness.reserve()
        names.append(reservation.head.name)
        harness.pool.release(reservation)
    assert 20 <= names.count('h0') <= 45
    harness.clock.advance(4.0)
    entry = harness.entry()
    head = harness.book.by_name['h0']
    assert harness.pool._expected_s(head, entry.prompt_tokens) < 0.3


async def test_late_request_is_served_while_there_is_room():
    """A late answer is worth more than a refusal."""
    harness = PoolHarness(_head('h0'))
    harness.pool.configure({'s': test_admission.PROFILE}, RANKED)
    for _request in range(5):
        entry = harness.entry()
        entry.on_time_until = harness.clock.now()
        await harness.pool.reserve('s', 'm0', entry)


async def test_waiting_request_that_will_be_late_goes_after_one_in_time():
    """The expected start decides, not the constant of before (0.12 s)."""
    harness = PoolHarness(_head('h0'))
    profile = dataclasses.replace(test_admission.PROFILE, step_ms=60.0)
    harness.pool.configure({'s': profile}, RANKED)
    held = [await harness.reserve() for _n in range(5)]
    late, in_time = harness.entry(), harness.entry()
    late.on_time_until = harness.clock.now() + 0.15
    tasks = [
        asyncio.ensure_future(harness.pool.reserve('s', 'm0', entry))
        for entry in (late, in_time)
    ]
    await asyncio.sleep(0)
    harness.pool.release(held[0], served=True)
    await tasks[1]
    assert not tasks[0].done()
    harness.pool.release(held[1], served=True)
    await tasks[0]


async def test_request_that_would_begin_after_its_client_left_is_refused():
    """The expected start is that of the engine."""
    harness = PoolHarness(_head('h0'))
    profile = dataclasses.replace(test_admission.PROFILE, step_ms=1000.0)
    harness.pool.configure({'s': profile}, RANKED)
    for _request in range(5):
        await harness.reserve()
    with pytest.raises(errors.NotRunError) as caught:
        await asyncio.wait_for(harness.reserve(), 0.1)
    assert caught.value.reason == 'overload'


@pytest.mark.parametrize(
    'pressed, priority, wait_s, most',
    [
        ({}, 5, 0.0, 27),
        ({'s/m0': {5: 1000}}, 5, 0.0, 27),
        ({'s/m0': {7: 1000}}, 5, 0.0, 27),
        ({'s/m1': {1: 1000}}, 5, 0.0, 27),
        ({'s/m0': {1: 1000}}, 5, 0.0, 18),
        ({'s/m0': {1: 1000}}, -1, 0.0, 27),
        ({'s/m0': {1: 1000}}, 5, 1.1, 27),
        ({'s/m0': {1: 400}}, 5, 0.5, 27),
    ],
)
async def test_less_urgent_requests_leave_headroom(
    monkeypatch, pressed, priority, wait_s, most
):
    """Guards against heads full of them while urgent ones are refused.

    Only those of the same model, and only for the time of the pressure.
    """
    monkeypatch.setattr(_admission, 'EXEMPT_SHARE', 0.0)
    harness = PoolHarness(_head('h0', slots=24))
    harness.pool.pressure.merge(pressed)
    harness.clock.advance(wait_s)
    assert await harness.fill(30, priority) == most
    assert await harness.fill(10, 1) == 27 - most


async def test_refused_urgent_request_makes_others_yield_at_other_nodes():
    """The records of one node reach the heads of another."""
    urgent, other = PoolHarness(_head('h0')), PoolHarness(_head('h0'))
    urgent.loads.set_remote_counts({'h0': 5})
    assert await urgent.fill(1, 1) == 0
    other.pool.pressure.merge(urgent.pool.pressure.remaining_ms())
    assert other.pool.pressure.is_above('s/m0', 2)
    assert not other.pool.pressure.remaining_ms()


async def test_urgent_request_does_not_wait_behind_one_that_yields(
    monkeypatch,
):
    """Those that leave headroom don't take it by waiting in front."""
    monkeypatch.setattr(_admission, 'EXEMPT_SHARE', 0.0)
    harness = PoolHarness(_head('h0', slots=4))
    harness.pool.pressure.merge({'s/m0': {1: 1000}})
    harness.loads.set_remote_counts({'h0': 3})
    entry = harness.entry()
    entry.priority = 5
    waiting = asyncio.ensure_future(harness.pool.reserve('s', 'm0', entry))
    await asyncio.sleep(0)
    reservation = await asyncio.wait_for(harness.reserve(), 0.1)
    assert not waiting.done()
    harness.pool.release(reservation, served=True)
    harness.loads.set_remote_counts({'h0': 2})
    harness.pool.dispatch_waiting()
    assert (await waiting).head.name == 'h0'


async def test_late_urgent_requests_that_wait_pass_those_that_yield(
    monkeypatch,
):
    """A request that leaves headroom does not block the queue behind it."""
    monkeypatch.setattr(_admission, 'EXEMPT_SHARE', 0.0)
    harness = PoolHarness(_head('h0', slots=4))
    harness.loads.set_remote_counts({'h0': 7})
    first, second = harness.entry(), harness.entry()
    first.priority, second.on_time_until = 5, harness.clock.now()
    tasks = [
        asyncio.ensure_future(harness.pool.reserve('s', 'm0', entry))
        for entry in (first, second)
    ]
    await asyncio.sleep(0)
    harness.loads.set_remote_counts({'h0': 6})
    harness.pool.dispatch_waiting()
    await asyncio.wait_for(tasks[1], 0.1)
    assert not tasks[0].done()
    tasks[0].cancel()


async def test_a_share_of_the_less_urgent_requests_does_not_yield():
    """Guards against requests that starve beside more urgent ones."""
    harness = PoolHarness(_head('h0', slots=24))
    harness.pool.pressure.merge({'s/m0': {1: 1000}})
    harness.loads.set_remote_counts({'h0': 18})
    got = 0
    for _request in range(100):
        entry = harness.entry()
        entry.priority = 5
        yields = harness.pool._yields('s', 'm0', entry)
        assert yields == harness.pool._yields('s', 'm0', entry)
        got += not yields
    assert 15 <= got <= 35
    assert harness.pool.yielded == {'s/m0': 100 - got}


async def test_equal_priorities_change_nothing():
    """The choices are those without any pressure."""
    choices = []
    for pressed in ({}, {'s/m0': {1: 1000}}):
        harness = PoolHarness(*(_head(f'h{n}', slots=9) for n in range(4)))
        harness.pool.pressure.merge(pressed)
        choices.append(
            [(await harness.reserve()).head.name for _n in range(48)]
        )
        assert not harness.pool.yielded
    assert choices[0] == choices[1]


@pytest.mark.parametrize(
    'ranked, full_s, is_unsent, taken, is_shed',
    [
        (True, 0.0, True, 4, True),
        (True, 9.0, False, 7, False),  # an upstream has had it
        (False, 2.9, True, 7, False),  # a burst
        (False, 3.0, True, 7, True),
        (False, 9.0, False, 7, False),
    ],
)
async def test_requests_that_can_not_be_on_time_are_shed(
    ranked, full_s, is_unsent, taken, is_shed
):
    """Guards against late requests that hold what others need to be on time.

    A request that has not run is refused once it can no longer be on time, if
    its service is ranked, where it takes slots only, or if overload lasts.
    """
    harness = PoolHarness(_head('h0', slots=4))
    harness.pool.configure({}, RANKED if ranked else frozenset())
    for _request in range(taken):
        await harness.reserve(is_unsent=is_unsent)
    harness.clock.advance(full_s)
    entry = harness.entry(is_unsent=is_unsent)
    entry.on_time_until = harness.clock.now() + _queue.START_LATENCY_S + 0.02
    waiting = asyncio.ensure_future(harness.pool.reserve('s', 'm0', entry))
    await asyncio.sleep(0.1)
    assert waiting.done() == is_shed
    if not is_shed:
        waiting.cancel()
        return
    exc = waiting.exception()
    low, high = _heads.SHED_RETURN_MIN_S, _heads.SHED_RETURN_MAX_S
    assert isinstance(exc, errors.NotRunError) and exc.reason == 'overload'
    assert low <= exc.retry_after_s <= high
    assert harness.pool.shed == {'s/m0': 1}
    assert len(harness.pool.dump()) == 1 and not any(
        harness.pool.dump().values()
    )
