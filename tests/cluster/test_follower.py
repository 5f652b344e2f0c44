"""Tests of the table cache: stale data and removals after outages."""

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.cluster import _follower
from plantainway import stores


def _row(key, value, version):
    return stores.RawRow(key, value, version)


def _reading(version, *rows):
    return stores.RowBatch(rows, version)


@pytest.fixture
def clock():
    """A manually advanced clock."""
    return clocks.ManualClock()


@pytest.fixture
def table(clock):
    """A table cache with one row, which defers removals after outages."""
    found = cluster.TableCache('t', clock, defers_removals=True)
    found.apply_snapshot(_reading(5, _row('a', b'1', 5)), clock.now())
    return found


@pytest.mark.parametrize(
    'version, value, expected',
    [(4, b'old', b'1'), (5, b'same', b'1'), (6, b'new', b'new')],
)
def test_stale_row_is_ignored(table, clock, version, value, expected):
    """Changes that arrive late do not revert a row."""
    table.apply_changes(
        _reading(version, _row('a', value, version)), clock.now()
    )
    assert table.rows['a'].value == expected


def test_stale_snapshot_is_ignored(table, clock):
    """A snapshot older than the known version removes no row."""
    table.apply_snapshot(_reading(4), clock.now())
    assert 'a' in table.rows


def test_removal_is_immediate_without_outage(table, clock):
    """While the store answers, a removal takes effect immediately."""
    gone = []
    table.on_change.append(lambda changed, removed: gone.extend(removed))
    table.apply_changes(_reading(6, _row('a', None, 6)), clock.now())
    assert gone == ['a']
    assert not table.rows


def test_stale_removal_keeps_newer_row(table, clock):
    """A removal older than the known row is ignored."""
    table.apply_changes(_reading(8, _row('a', b'2', 8)), clock.now())
    table.apply_changes(_reading(8, _row('a', None, 7)), clock.now())
    assert table.rows['a'].value == b'2'


@pytest.mark.parametrize('returns', [True, False])
def test_removal_after_outage_is_deferred(table, clock, returns):
    """A row that expired in an outage stays for the grace period.

    Its writer can restore it in that time; otherwise it is removed then.
    """
    table.record_failure()
    clock.advance(4.0)
    table.apply_changes(_reading(7, _row('a', None, 7)), clock.now())
    assert 'a' in table.rows
    if returns:
        clock.advance(1.0)
        table.apply_changes(_reading(8, _row('a', b'1', 8)), clock.now())
    clock.advance(2.5)
    table.remove_due_rows()
    assert ('a' in table.rows) is returns


def test_short_failure_defers_no_removal(table, clock):
    """A failure shorter than an outage does not defer removals."""
    table.record_failure()
    clock.advance(0.3)
    table.apply_changes(_reading(7, _row('a', None, 7)), clock.now())
    assert 'a' not in table.rows


@pytest.mark.parametrize(
    'age_s, is_deferred',
    [(0.1, False), (0.9, False), (2.0, True), (4.0, True)],
)
@pytest.mark.parametrize('is_snapshot', [True, False])
def test_relayed_old_rows_do_not_end_an_outage(
    table, clock, age_s, is_deferred, is_snapshot
):
    """A leader that the store does not answer either relays what it has.

    An outage counted only from the end of that leader, so that entries which
    had expired in the outage were dropped at once.
    """
    read_at = clock.now()
    clock.advance(age_s)
    table.record_failure()
    for _update in range(3):  # of the leader
        clock.advance(0.01)
        if is_snapshot:
            table.apply_snapshot(_reading(5), read_at, ['a'])
        else:
            table.apply_changes(_reading(5), read_at)
    table.apply_changes(_reading(7, _row('a', None, 7)), clock.now())
    assert ('a' in table.rows) is is_deferred


def test_rows_read_after_the_failure_end_the_outage(table, clock):
    """Whoever read them: the store answers."""
    table.record_failure()
    clock.advance(3.0)
    table.apply_changes(_reading(6, _row('b', b'2', 6)), clock.now())
    settles_at = table.settles_at
    assert settles_at == clock.now() + _follower.REMOVAL_GRACE_S
    clock.advance(3.0)
    table.apply_changes(_reading(7, _row('b', b'3', 7)), clock.now())
    assert table.settles_at == settles_at


def test_first_snapshot_may_follow_an_outage(clock):
    """Before it a cache has not seen whether the store was away."""
    found = cluster.TableCache('t', clock, defers_removals=True)
    clock.advance(5.0)
    found.apply_snapshot(_reading(5), clock.now())
    assert found.settles_at == clock.now() + _follower.REMOVAL_GRACE_S


def test_changes_since_revision(table, clock):
    """Returns the changed rows and the removed keys after a revision."""
    start = table.revision
    table.apply_changes(_reading(6, _row('b', b'2', 6)), clock.now())
    table.apply_changes(_reading(7, _row('a', None, 7)), clock.now())
    rows, gone = table.changes_since(start)
    assert [row.key for row in rows] == ['b']
    assert gone == ['a']
    assert table.changes_since(table.revision) == ([], [])


def test_changes_beyond_history_need_snapshot(table, clock):
    """Without the old changes, the receiver needs a full snapshot."""
    for number in range(600):
        version = 10 + number
        table.apply_changes(
            _reading(version, _row('c', b'x', version)), clock.now()
        )
    assert table.changes_since(1) is None


def _batch(version, **values):
    return _reading(
        version, *(_row(key, value, version) for key, value in values.items())
    )


@pytest.fixture
def ranked(clock):
    """A cache whose row ``c`` is ranked by its length; ``x`` is not."""
    found = cluster.TableCache('t', clock, ranks={'c': len})
    found.apply_snapshot(_batch(5, c=b'9' * 9, x=b'x'), 0.0)
    return found


@pytest.mark.parametrize(
    'rows, value, is_relayed',
    [
        ({'c': b'333'}, b'9' * 9, True),
        ({'c': b''}, b'9' * 9, True),
        ({}, b'9' * 9, True),
        ({'c': b'8' * 9}, b'8' * 9, False),
        ({'c': b'9' * 12}, b'9' * 12, False),
    ],
)
def test_older_value_of_a_restored_store_replaces_no_newer_one(
    ranked, rows, value, is_relayed
):
    """The newer one goes to nodes that have the table at the same version."""
    ranked.apply_snapshot(_batch(8, **rows), 1.0)
    assert ranked.rows['c'].value == value
    assert ranked.version == 8
    relayed = [row.key for row in ranked.rows_after(8)]
    assert relayed == (['c'] if is_relayed else [])
    if is_relayed:
        changed, removed = ranked.changes_since(1)
        assert [row.key for row in changed if row.key == 'c'] == ['c']
        assert 'c' not in removed


def test_relayed_value_of_a_higher_rank_replaces_one_of_the_same_version(
    ranked, clock
):
    """A node that has just started reads the store before it is linked."""
    later = cluster.TableCache('t', clock, ranks={'c': len})
    later.apply_snapshot(_batch(8, c=b'333'), 0.0)
    ranked.apply_snapshot(_batch(8, c=b'333'), 0.0)
    relayed = stores.RowBatch(tuple(ranked.rows_after(8)), 8)
    later.apply_snapshot(relayed, 1.0, list(ranked.rows))
    assert later.rows['c'].value == b'9' * 9
    ranked.apply_changes(_batch(9, c=b'9' * 9), 1.0)
    assert ranked.rows_after(9) == []


def test_rows_without_a_rank_follow_the_store(ranked):
    """They are replaced and removed by version alone."""
    ranked.apply_changes(_batch(8, x=b''), 1.0)
    assert ranked.rows['x'].value == b''
    ranked.apply_snapshot(_batch(9, c=b'9' * 9), 1.0)
    assert 'x' not in ranked.rows
