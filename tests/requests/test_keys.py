"""Non-idempotent work runs at most once."""

import asyncio
import types

import pytest

from plantainway import clock
from plantainway import errors
from plantainway import requests
from plantainway.requests import _group_commit
from plantainway.requests import _key_sweep
from plantainway.requests import _keys
from plantainway import standins
from plantainway import upstreams

ANSWER = upstreams.ServiceResponse(201, 'application/json', b'{"order": 1}')


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    """Makes what is waited for in real time short."""
    monkeypatch.setattr(_keys, 'ANSWER_WAIT_S', 0.05)
    monkeypatch.setattr(_keys, 'RETRY_PAUSE_S', 0.01)
    monkeypatch.setattr(_group_commit, 'SETTLE_S', 0.15)


class Orders:
    """Key stores of two nodes over one table, and what was sent."""

    def __init__(self):
        self.table = standins.MemoryTable()
        self.clock = clock.MonotonicClock()
        self.stores = [
            requests.IdempotencyKeyStore(self.table, self.clock, name)
            for name in ('n1', 'n2')
        ]
        self.sent = []

    async def begin(self, node, attempt, body=b'body', key='k'):
        """Begins an attempt and notes it as sent if it may be."""
        found = await self.stores[node].begin('shops', key, body, attempt)
        if isinstance(found, requests.Begun):
            self.sent.append(attempt)
        return found

    async def state(self):
        """Returns the state of the one key row."""
        rows = await self.table.scan('key/')
        return rows[0].value['state'] if rows else None


async def answered(orders):
    """The first attempt was answered."""
    begun = await orders.begin(0, 'a1')
    assert await orders.stores[0].finish(begun, b'body', ANSWER)


async def in_doubt(orders):
    """The first attempt was sent and its node died."""
    await orders.begin(0, 'a1')


async def never_sent(orders):
    """The first attempt was certainly not sent."""
    begun = await orders.begin(0, 'a1')
    orders.sent.clear()
    assert await orders.stores[0].void(begun.row_key, 'a1')


async def store_down(orders):
    """The table was down at the first attempt."""
    orders.table.faults.outage = True
    with pytest.raises(errors.NotRunError):
        await orders.begin(0, 'a1')
    orders.table.faults.outage = False


async def creation_lost(orders):
    """The creation never arrived, and was settled by sending it again."""
    orders.table.faults.lost_requests = 1
    await orders.begin(0, 'a1')


async def creation_reply_lost(orders):
    """The creation took effect and its reply was lost."""
    orders.table.faults.lost_replies = 1
    await orders.begin(0, 'a1')


async def creation_unknown(orders):
    """The creation could not be settled in time."""
    orders.table.faults.lost_requests = 1000
    with pytest.raises(errors.NotRunError):
        await orders.begin(0, 'a1')
    orders.table.faults.lost_requests = 0
    await asyncio.wait(orders.stores[0].background)


async def nothing_before(orders):
    """The key is new."""


@pytest.mark.parametrize(
    'before, body, outcome, sent',
    [
        (nothing_before, b'body', requests.Begun, ['a2']),
        (answered, b'body', requests.Replay, ['a1']),
        (answered, b'other', errors.KeyReusedError, ['a1']),
        (in_doubt, b'body', errors.OutcomeUnknownError, ['a1']),
        (in_doubt, b'other', errors.KeyReusedError, ['a1']),
        (never_sent, b'body', requests.Begun, ['a2']),
        (store_down, b'body', requests.Begun, ['a2']),
        (creation_lost, b'body', errors.OutcomeUnknownError, ['a1']),
        (creation_reply_lost, b'body', errors.OutcomeUnknownError, ['a1']),
        (creation_unknown, b'body', requests.Begun, ['a2']),
    ],
)
async def test_same_key_again(before, body, outcome, sent):
    """A key is sent once, whatever happened to its first attempt."""
    orders = Orders()
    await before(orders)
    if issubclass(outcome, errors.PlantainwayError):
        with pytest.raises(outcome):
            await orders.begin(1, 'a2', body)
    else:
        found = await orders.begin(1, 'a2', body)
        assert isinstance(found, outcome)
        if outcome is requests.Replay:
            assert found.answer == ANSWER
    assert orders.sent == sent


@pytest.mark.parametrize('nodes', [(0, 0), (0, 1)])
async def test_two_callers_at_one_moment(nodes):
    """Of two attempts at one moment, one is sent."""
    orders = Orders()
    found = await asyncio.gather(
        orders.begin(nodes[0], 'a1'),
        orders.begin(nodes[1], 'a2'),
        return_exceptions=True,
    )
    assert len(orders.sent) == 1
    assert sum(isinstance(x, errors.OutcomeUnknownError) for x in found) == 1


async def test_second_caller_gets_the_answer_in_progress():
    """A repeat waits a little for the answer of the first attempt."""
    orders = Orders()
    begun = await orders.begin(0, 'a1')
    second = asyncio.ensure_future(orders.begin(1, 'a2'))
    await asyncio.sleep(0.01)
    await orders.stores[0].finish(begun, b'body', ANSWER)
    assert (await second).answer == ANSWER


async def test_late_creation_after_void_has_no_effect():
    """A creation still on its way can't revive a voided attempt."""
    orders = Orders()
    held = []
    commit = orders.table.commit

    async def hold_first(txn):
        if not held:
            held.append(txn)
            return await _lost(orders, txn)
        return await commit(txn)

    orders.table.commit = hold_first
    orders.table.faults.outage = False
    store = orders.stores[0]
    row_key = (await store._read('shops', 'k')).keys[0]
    assert await store.void(row_key, 'a1')
    result = orders.table.apply(held[0])
    assert result.reason == 'conflict'
    assert await orders.state() == 'void'


async def _lost(orders, txn):
    orders.table.faults.lost_requests = 1
    return await type(orders.table).commit(orders.table, txn)


async def test_group_commit_under_load():
    """Many keys at once take few commits, and none fails for another."""
    orders = Orders()
    orders.table.faults.slow_s = 0.01
    await orders.begin(1, 'taken', key='k7')
    before = orders.table.commits
    found = await asyncio.gather(
        *(orders.begin(0, f'a{n}', key=f'k{n}') for n in range(100)),
        return_exceptions=True,
    )
    begun = [x for x in found if isinstance(x, requests.Begun)]
    assert len(begun) == 99
    assert isinstance(found[7], errors.OutcomeUnknownError)
    assert orders.table.commits - before <= 10


async def test_keys_are_kept_for_an_epoch_and_then_removed():
    """Rows of the epoch before still count; older ones are removed."""
    orders = Orders()
    manual = clock.ManualClock()
    parts = types.SimpleNamespace(table=orders.table, clock=manual)
    sweep = _key_sweep.IdempotencyKeySweepTask('n1', parts)
    await answered(orders)

    async def next_epoch():
        await sweep.step()
        manual.advance(_key_sweep.EPOCH_S + 1)
        await sweep.step()
        for store in orders.stores:
            store._epoch_until = 0.0

    await next_epoch()
    await sweep.step()
    assert isinstance(await orders.begin(1, 'a2'), requests.Replay)
    await next_epoch()
    await sweep.step()
    assert sweep.removed == 1
    assert await orders.state() is None
