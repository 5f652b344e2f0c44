"""Tests of the client of the metadata store, with injected faults."""

import pytest

from plantainway import errors
from plantainway import platform
from plantainway.platform import _store
from plantainway import stores
from tests.platform import store_standin

OUTCOME = stores.Outcome


@pytest.fixture
async def server():
    """A running store stand-in."""
    found = store_standin.StoreStandIn(page_rows=3)
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def client(server):
    """The client under test."""
    async with platform.new_session() as session:
        yield platform.PlatformStore(server.address, session)


def _txn(key, version, value):
    return stores.Transaction(
        stores.new_txn_id(),
        (stores.Check(key, version),),
        (stores.Write(key, value),),
    )


@pytest.mark.parametrize('count', [0, 1, 3, 4, 7])
async def test_snapshot_reads_all_pages(server, client, count):
    """A snapshot has all rows of a table, over any number of pages."""
    for number in range(count):
        server.put('servers', f'k{number}', {'n': number})
    reading = await client.snapshot('servers')
    assert [row.key for row in reading.rows] == [
        f'k{number}' for number in range(count)
    ]
    assert reading.version == server.version


async def test_changes_come_in_order_with_tombstones(server, client):
    """Only later changes are returned, deleted rows without a value."""
    server.put('servers', 'a', {'n': 1})
    after = server.version
    server.put('servers', 'b', {'n': 2})
    server.put('servers', 'a', None)
    reading = await client.changes('servers', after, 0.0)
    assert [(row.key, row.value is None) for row in reading.rows] == [
        ('b', False),
        ('a', True),
    ]
    assert reading.version == server.version


async def test_lost_history_raises_an_error(server, client):
    """A version that is no longer in the history raises an error."""
    server.put('servers', 'a', {'n': 1})
    server.forget_history()
    with pytest.raises(errors.HistoryLostError):
        await client.changes('servers', 0, 0.0)


@pytest.mark.parametrize(
    'switches',
    [{'down': True}, {'refused': 1}],
)
async def test_failed_snapshot_raises_store_unavailable(
    server, client, switches
):
    """The error of a failed read has a step and a peer."""
    for name, value in switches.items():
        setattr(server.faults, name, value)
    with pytest.raises(errors.StoreUnavailableError) as caught:
        await client.snapshot('servers')
    assert caught.value.step
    assert caught.value.peer == server.address


@pytest.mark.parametrize(
    'switches, version, outcome, stored',
    [
        ({}, 0, OUTCOME.COMMITTED, {'n': 1}),
        ({}, 7, OUTCOME.NOT_COMMITTED, None),
        ({'lost_answers': 1}, 0, OUTCOME.UNKNOWN, {'n': 1}),
        ({'refused': 1}, 0, OUTCOME.UNKNOWN, None),
        ({'down': True}, 0, OUTCOME.UNKNOWN, None),
    ],
)
async def test_outcomes_of_a_commit(
    server, client, switches, version, outcome, stored
):
    """A conflict is not committed; a call that fails is unknown."""
    for name, value in switches.items():
        setattr(server.faults, name, value)
    result = await client.commit(_txn('k', version, {'n': 1}))
    assert result.outcome is outcome
    server.faults.down = False
    row = await client.read('k')
    assert (row.value if row else None) == stored
    if outcome is OUTCOME.COMMITTED:
        assert result.version == row.version


@pytest.mark.parametrize(
    'drip_s, body_timeout_s, is_read',
    [(0.05, 6.0, True), (2.0, 6.0, False), (0.05, 0.1, False)],
)
async def test_answer_is_read_as_long_as_it_arrives(
    server, client, monkeypatch, drip_s, body_timeout_s, is_read
):
    """A large row over a slow link is not given up half-way."""
    monkeypatch.setattr(_store, 'CALL_TIMEOUT_S', 0.3)
    monkeypatch.setattr(_store, 'BODY_TIMEOUT_S', body_timeout_s)
    server.put('op', 'config', {'routes': ['x' * 100] * 100})
    server.faults.drip_s = drip_s
    if is_read:
        reading = await client.changes('op', 0, 0.0)
        assert len(reading.rows) == 1
        return
    with pytest.raises(errors.StoreUnavailableError):
        await client.changes('op', 0, 0.0)


@pytest.mark.parametrize('writes_after', [0, 1, 2, 5])
async def test_changes_after_a_restore_are_not_taken_for_all(
    server, client, writes_after
):
    """Also where the version asked for was given out again."""
    server.put('servers', 'a', {'n': 1})
    server.copy()
    server.put('servers', 'a', {'n': 2})
    server.put('servers', 'b', {'n': 2})
    known = (await client.snapshot('servers')).version
    server.restore()
    for number in range(writes_after):
        server.put('servers', f'c{number}', {'n': 3})
    with pytest.raises(errors.StoreRestoredError):
        await client.changes('servers', known, 0.0)
    reading = await client.snapshot('servers')
    assert reading.version > known
    assert all(row.version > known for row in reading.rows)
    assert len(reading.rows) == 1 + writes_after
    later = await client.changes('servers', reading.version, 0.0)
    assert later.rows == ()


@pytest.mark.parametrize(
    'writes_after, knows_restore, took_effect',
    [
        (0, False, False),
        (1, False, True),
        (1, True, False),
        (2, False, False),
    ],
)
async def test_condition_from_before_a_restore_does_not_count(
    server, client, writes_after, knows_restore, took_effect
):
    """A version that was given out again may meet it by chance."""
    server.copy()
    result = await client.commit(_txn('k', stores.ABSENT, {'n': 1}))
    server.restore()
    for number in range(writes_after):
        other = platform.PlatformStore(server.address, client._session)
        row = await other.read('k')
        version = row.version if row else stores.ABSENT
        await other.commit(_txn('k', version, {'other': number}))
    if knows_restore:
        await client.read('k')
    with pytest.raises(errors.StoreRestoredError) as info:
        await client.commit(_txn('k', result.version, {'n': 2}))
    assert info.value.took_effect is took_effect
    row = await client.read('k')
    again = await client.commit(
        _txn('k', row.version if row else stores.ABSENT, {'n': 3})
    )
    assert again.outcome is OUTCOME.COMMITTED
    assert again.version > result.version


async def test_restore_between_two_pages_is_no_snapshot(server, client):
    """Rows of two eras are never put together."""
    for number in range(5):
        server.put('servers', f'k{number}', {'n': number})
    server.copy()
    call = client._call

    async def call_and_restore(*args, **kwargs):
        found = await call(*args, **kwargs)
        if server.era == 0:
            server.restore()
        return found

    client._call = call_and_restore
    with pytest.raises(errors.StoreUnavailableError):
        await client.snapshot('servers')
    assert len((await client.snapshot('servers')).rows) == 5


async def test_answer_from_before_a_restore_is_dropped(server, client):
    """It may arrive after one that names the restore."""
    server.put('servers', 'a', {'n': 1})
    server.era = 4  # of a store that was restored before the node started
    await client.snapshot('servers')
    assert client.restore_count == 0
    server.era = 7
    await client.snapshot('servers')
    server.era = 6
    with pytest.raises(errors.StoreUnavailableError):
        await client.snapshot('servers')
    assert client.restore_count == 3
