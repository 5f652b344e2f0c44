"""Places at heads: who gets one, who waits, who is turned away."""

import asyncio
import random

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import errors
from plantainway import traffic
from plantainway.traffic import _queue


def _head(name, epoch=1, slots=2):
    member = deployment.Membership(
        f'g{epoch}', epoch, 0, deployment.GroupState.OPEN, 'm0'
    )
    return deployment.Upstream(
        name, 's', '10.0.0.1:1', 'a', slots, False, membership=member
    )


class Rig:
    """A pool over heads that a test sets."""

    def __init__(self, *heads):
        self.clock = clocks.ManualClock()
        self.book = deployment.UpstreamRegistry()
        self.book.replace(heads, 1)
        self.health = traffic.HealthTracker(self.clock)
        self.stalls = traffic.StallDetector(self.clock)
        self.loads = traffic.LoadTracker()
        self.pool = traffic.HeadPool(
            self.book,
            self.health,
            self.stalls,
            self.loads,
            self.clock,
            random.Random(1),
        )

    def ticket(self, **more):
        """Returns a ticket of a request that has just come."""
        now = self.clock.now()
        return _queue.Ticket(1, now, now + 0.3, now + 2.0, **more)

    async def place(self, **more):
        """Takes a place for a new request."""
        return await self.pool.place('s', 'm0', self.ticket(**more))


async def test_turns_keep_the_load_even():
    """Requests go to all heads in turn."""
    rig = Rig(*(_head(f'h{n}') for n in range(4)))
    for _request in range(8):
        await rig.place()
    assert set(rig.loads.local_counts.values()) == {2}


async def test_loads_of_other_nodes_count():
    """A head that other nodes keep busy gets less."""
    rig = Rig(_head('h0'), _head('h1'))
    rig.loads.set_remote_counts({'h0': 4})
    assert [(await rig.place()).head.name for _n in range(2)] == ['h1', 'h1']


@pytest.mark.parametrize(
    'trouble',
    [
        lambda rig, head: rig.health.note_failed(head.name, certain=True),
        lambda rig, head: rig.stalls.mark_suspect(head.name),
        lambda rig, head: rig.pool.mark_closed(head),
    ],
)
async def test_head_in_trouble_is_left_out(trouble):
    """Ejected, suspected and closed heads get no new work."""
    heads = [_head('h0'), _head('h1')]
    rig = Rig(*heads)
    trouble(rig, heads[0])
    names = {(await rig.place()).head.name for _n in range(3)}
    assert names == {'h1'}


async def test_closed_head_counts_again_in_a_new_group():
    """Only the membership that was refused is left out."""
    rig = Rig(_head('h0'))
    rig.pool.mark_closed(_head('h0'))
    with pytest.raises(errors.NotRunError):
        await rig.place()
    rig.book.replace([_head('h0', epoch=2)], 2)
    assert (await rig.place()).head.name == 'h0'


async def test_waiting_request_gets_the_place_that_is_given_back():
    """A full model lets a request wait until a place is free."""
    rig = Rig(_head('h0'))
    held = [await rig.place() for _n in range(5)]
    waiting = asyncio.ensure_future(rig.place())
    await asyncio.sleep(0)
    assert not waiting.done()
    rig.pool.release(held[0], served=True)
    assert (await waiting).head.name == 'h0'
    assert rig.loads.total('h0') == 5


async def test_place_is_not_lost_with_a_client_that_leaves():
    """A cancelled request gives the place back that it was given."""
    rig = Rig(_head('h0'))
    held = [await rig.place() for _n in range(5)]
    waiting = asyncio.ensure_future(rig.place())
    await asyncio.sleep(0)
    rig.pool.release(held[0])
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert rig.loads.total('h0') == 4


async def test_failures_are_no_sign_of_room():
    """Places given back by failed attempts don't shorten the prediction."""
    rig = Rig(_head('h0'))
    held = [await rig.place() for _n in range(5)]
    line = rig.pool._line('s', 'm0')
    before = line.predicted_wait_s(rig.ticket())
    for place in held[:4]:
        rig.pool.release(place)
    assert line.predicted_wait_s(rig.ticket()) == before


async def test_no_group_is_said_at_once():
    """Without an open group nobody waits."""
    rig = Rig()
    with pytest.raises(errors.NotRunError) as caught:
        await rig.place()
    assert caught.value.reason == 'unavailable'
