"""Contract tests of the table service, for every implementation."""

import dataclasses

import pytest

from plantainway import clock
from plantainway import errors
from plantainway import stores

OUTCOME = stores.Outcome


def make_txn(txn_id, checks=(), writes=()):
    """Returns a transaction from pairs of checks and writes."""
    return stores.Transaction(
        txn_id,
        tuple(stores.Check(*pair) for pair in checks),
        tuple(stores.Write(*pair) for pair in writes),
    )


CREATE_A = make_txn('t1', [('a', 0)], [('a', {'n': 1})])


@pytest.mark.parametrize(
    'checks, writes, outcome, remaining_keys',
    [
        ([('b', 0)], [('b', {'n': 2})], 'committed', ['a', 'b']),
        ([('a', 0)], [('b', {'n': 2})], 'not_committed', ['a']),
        ([('a', 1)], [('a', None)], 'committed', []),
        ([('a', 1), ('b', 7)], [('a', None)], 'not_committed', ['a']),
        ([('a', 99)], [('a', {'n': 2})], 'not_committed', ['a']),
        ([], [('a2', {}), ('b', {})], 'committed', ['a', 'a2', 'b']),
    ],
)
async def test_commit_is_all_or_nothing(
    any_table, checks, writes, outcome, remaining_keys
):
    """All writes of a transaction take effect, or none of them."""
    table = any_table.table
    assert (await table.commit(CREATE_A)).version == 1
    result = await table.commit(make_txn('t2', checks, writes))
    assert result.outcome.value == outcome
    if result.outcome is OUTCOME.NOT_COMMITTED:
        assert result.reason == 'conflict' and result.conflicts
    assert [row.key for row in await table.scan('')] == remaining_keys


async def test_rows_written_together_have_one_version(any_table):
    """Rows have the version and id of the transaction that wrote them."""
    table = any_table.table
    await table.commit(CREATE_A)
    result = await table.commit(
        make_txn('t2', [('a', 1)], [('a', {'n': 2}), ('b', {'n': 3})])
    )
    rows = await table.scan('')
    assert {row.version for row in rows} == {result.version}
    assert {row.txn_id for row in rows} == {'t2'}
    assert await table.read('missing') is None


async def test_recreated_row_gets_a_new_version(any_table):
    """A check on an old version fails after the row was recreated."""
    table = any_table.table
    await table.commit(CREATE_A)
    await table.commit(make_txn('t2', [('a', 1)], [('a', None)]))
    await table.commit(dataclasses.replace(CREATE_A, txn_id='t3'))
    result = await table.commit(make_txn('t4', [('a', 1)], [('a', {})]))
    assert result.outcome is OUTCOME.NOT_COMMITTED


@pytest.mark.parametrize(
    'injected, outcome, is_applied',
    [
        ({'outage': True}, OUTCOME.NOT_COMMITTED, False),
        ({'lost_requests': 1}, OUTCOME.UNKNOWN, False),
        ({'lost_replies': 1}, OUTCOME.UNKNOWN, True),
        ({'slow_s': 0.01}, OUTCOME.COMMITTED, True),
    ],
)
async def test_commit_under_faults(any_table, injected, outcome, is_applied):
    """A lost request or reply gives UNKNOWN, whatever took effect."""
    for name, value in injected.items():
        setattr(any_table.faults, name, value)
    result = await any_table.table.commit(CREATE_A)
    assert result.outcome is outcome
    any_table.faults.outage = False
    row = await any_table.table.read('a')
    assert (row is not None) == is_applied


@pytest.mark.parametrize('call', ['read', 'scan'])
async def test_reads_raise_store_unavailable_in_outage(any_table, call):
    """A read during an outage raises an error with code and step."""
    any_table.faults.outage = True
    with pytest.raises(errors.StoreUnavailableError) as found:
        await getattr(any_table.table, call)('a')
    assert found.value.code == 'store_unavailable'
    assert found.value.step == f'table_{call}'


@pytest.mark.parametrize(
    'injected, has_competing_commit, outcome',
    [
        ({}, False, OUTCOME.COMMITTED),
        ({'lost_requests': 1}, False, OUTCOME.COMMITTED),
        ({'lost_requests': 2}, False, OUTCOME.COMMITTED),
        ({'lost_replies': 1}, False, OUTCOME.COMMITTED),
        ({'lost_replies': 2}, False, OUTCOME.COMMITTED),
        ({'lost_requests': 1, 'lost_replies': 1}, False, OUTCOME.COMMITTED),
        ({'lost_requests': 1}, True, OUTCOME.NOT_COMMITTED),
        ({'outage': True}, False, OUTCOME.NOT_COMMITTED),
        ({'lost_requests': 10**6}, False, OUTCOME.UNKNOWN),
    ],
)
async def test_unknown_outcome_is_resolved(
    any_table, injected, has_competing_commit, outcome
):
    """A transaction with a resolved outcome took effect once or never.

    Guards against wrong outcomes and repeated effects if requests or
    replies are lost, or if a competing transaction commits in between.
    """
    for name, value in injected.items():
        setattr(any_table.faults, name, value)
    if has_competing_commit:
        commit = any_table.table.commit

        async def commit_then_compete(transaction):
            result = await commit(transaction)
            if transaction.txn_id == 't1':
                await commit(dataclasses.replace(CREATE_A, txn_id='rival'))
            return result

        any_table.table.commit = commit_then_compete
    clk = clock.MonotonicClock()
    result = await stores.commit_and_resolve(
        any_table.table, CREATE_A, 'a', clk, clk.now() + 0.35
    )
    assert result.outcome is outcome
    if outcome is OUTCOME.COMMITTED:
        row = await any_table.table.read('a')
        assert (row.txn_id, row.version) == ('t1', result.version)
