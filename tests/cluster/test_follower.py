"""Tests of the table cache: stale data and removals after outages."""

import pytest

from plantainway import clock as clocks
from plantainway import cluster
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
