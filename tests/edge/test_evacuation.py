"""Tests of the rows that ask to evacuate failure domains."""

import dataclasses
import json

import pytest

from plantainway import clock as clocks
from plantainway.cluster import _follower
from plantainway.edge import _view
from plantainway import stores

ERA = 1 << 44  # versions of the next era of the store begin here


def _entry(zone):
    return json.dumps(
        {
            'service': 's',
            'address': '10.0.0.1:1',
            'zone': zone,
            'slots': 4,
            'state': 'draining' if zone == 'leaving' else 'ready',
            'group': {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'open'},
            'models': [{'name': 'm'}],
        }
    ).encode()


def _view_with(*zones, clock=None):
    view = _view.PlatformView(clock or clocks.ManualClock())
    rows = tuple(stores.RawRow(zone, _entry(zone), 1) for zone in zones)
    view.upstream_table.apply_snapshot(stores.RowBatch(rows, 1), 0.0)
    return view


def _snapshot(view, version, *keys, value=b'', row_version=2):
    rows = tuple(stores.RawRow(key, value, row_version) for key in keys)
    view.config_table.apply_snapshot(stores.RowBatch(rows, version), 0.0)


def _change(view, version, key, value):
    view.config_table.apply_changes(
        stores.RowBatch((stores.RawRow(key, value, version),), version), 0.0
    )


@pytest.mark.parametrize(
    'keys, zones, available',
    [
        ((), set(), {'a', 'b'}),
        (('evacuate/a',), {'a'}, {'b'}),
        (('evacuate/a', 'evacuate/b'), {'a', 'b'}, set()),
        (('evacuate/nowhere',), {'nowhere'}, {'a', 'b'}),
        (('evacuate/', 'evacuated/a', 'x/evacuate/a'), set(), {'a', 'b'}),
    ],
)
@pytest.mark.parametrize('value', [b'', b'{}', b'\xff\x00{', b'false'])
def test_rows_evacuate_zones_whatever_their_values(
    keys, zones, available, value
):
    """Guards against requests to a zone whose row can't be read."""
    view = _view_with('a', 'b', 'leaving')
    notified = []
    view.on_upstreams_changed.append(lambda: notified.append(1))
    _snapshot(view, 2, *keys, value=value)
    assert view.evacuated_zones == zones
    for found in (
        view.book.find_available('s'),
        view.book.find_open_heads('s', 'm'),
    ):
        assert {item.zone for item in found} == available
    assert bool(notified) == bool(zones)
    for number, key in enumerate(keys):
        _change(view, 3 + number, key, None)
    assert view.evacuated_zones == set()
    assert {item.zone for item in view.book.find_available('s')} == {'a', 'b'}


def test_evacuation_is_logged_once(monkeypatch):
    """Guards against a line for each change of the table."""
    names = []
    monkeypatch.setattr(
        'plantainway.logs.event', lambda name, *_level, **_: names.append(name)
    )
    view = _view_with('a')
    _snapshot(view, 1)
    for version in (2, 3):
        _change(view, version, 'evacuate/a', b'')
        _snapshot(view, version, 'evacuate/a', row_version=version)
    _change(view, 4, 'evacuate/a', None)
    _snapshot(view, 5)
    for name in ('evacuation_begun', 'evacuation_ended'):
        assert names.count(name) == 1


@pytest.mark.parametrize(
    'known, lacking, is_kept',
    [
        (('evacuate/a', 9), ERA + 5, True),
        (('evacuate/a', ERA + 2), ERA + 5, False),
        (('evacuate/a', 9), 12, False),
        (('other', 9), ERA + 5, False),
    ],
)
def test_row_lost_in_a_restore_stays_in_force(known, lacking, is_kept):
    """The operator has not removed what only the copy lacks (table)."""
    view = _view_with('a')
    key, version = known
    _snapshot(view, version, key, row_version=version)
    _snapshot(view, lacking)
    assert (key in view.config_table.rows) is is_kept
    relayed = [row.key for row in view.config_table.rows_after(lacking)]
    assert relayed == ([key] if is_kept else [])
    later = _view_with('a')
    _snapshot(later, lacking + 1)
    _snapshot(later, lacking, key, row_version=version)
    assert later.evacuated_zones == ({'a'} if is_kept else set())
    _change(view, lacking + 1, key, None)
    assert view.config_table.rows == {}
    assert view.config_table.rows_after(lacking) == []


@pytest.mark.parametrize(
    'removal, late',
    [
        # Row removed by a change or by a snapshot, in the first era, and a
        # relay of the row after a restore.
        (('change', 9), (ERA + 5, ERA + 6)),
        (('snapshot', 9), (ERA + 5, ERA + 6)),
        # Row removed in the next era, and a late snapshot of the first.
        (('change', ERA + 9), (ERA + 9, 3)),
        (('snapshot', ERA + 9), (ERA + 9, 3)),
    ],
)
def test_removed_row_stays_removed(removal, late):
    """Guards against a node that missed the removal and relays the row."""
    view = _view_with('a')
    kind, version = removal
    restored_at, late_at = late
    _snapshot(view, 3, 'evacuate/a', row_version=2)
    if version > ERA:
        _snapshot(view, ERA + 3, 'evacuate/a', row_version=ERA + 2)
    if kind == 'change':
        _change(view, version, 'evacuate/a', None)
    else:
        _snapshot(view, version)
    _snapshot(view, restored_at)
    _snapshot(view, late_at, 'evacuate/a', row_version=2)
    assert view.evacuated_zones == set()
    assert view.config_table.rows_after(-1) == []
    _change(view, 2 * ERA, 'evacuate/a', b'')
    assert view.evacuated_zones == {'a'}


def test_removal_of_a_row_that_a_node_lacks_is_remembered():
    """Another node may still have the row and relay it later."""
    view = _view_with('a')
    _snapshot(view, 3)
    _change(view, ERA + 4, 'evacuate/a', None)
    _snapshot(view, ERA + 5, 'evacuate/a', row_version=2)
    assert view.evacuated_zones == set()


def test_remembered_removals_are_bounded():
    """Guards against memory that grows with the number of removed rows."""
    view = _view_with('a')
    _snapshot(view, 1)
    for number in range(3 * _follower.REMOVALS_KEPT_MAX):
        _change(view, number + 2, f'evacuate/{number}', None)
    remembered = view.config_table._removed_versions
    assert len(remembered) == _follower.REMOVALS_KEPT_MAX
    assert f'evacuate/{number}' in remembered


@pytest.mark.parametrize(
    'happen, ends_after_s',
    [
        # The operator's plain removal shows in no feed: the copy lacks it.
        ([], 30.0),
        # Repeated snapshots, relays and a second restore give no more time.
        ([(20, lambda view: _snapshot(view, ERA + 9))], 30.0),
        (
            [
                (
                    20,
                    lambda view: _snapshot(
                        view, ERA + 9, 'evacuate/a', row_version=2
                    ),
                )
            ],
            30.0,
        ),
        ([(20, lambda view: _snapshot(view, 2 * ERA + 1))], 30.0),
        # The operator writes it again, or removes it.
        ([(20, lambda view: _change(view, ERA + 9, 'evacuate/a', b''))], None),
        (
            [
                (
                    20,
                    lambda view: _snapshot(
                        view, ERA + 9, 'evacuate/a', row_version=ERA + 8
                    ),
                )
            ],
            None,
        ),
        ([(20, lambda view: _change(view, ERA + 9, 'evacuate/a', None))], 20),
    ],
)
@pytest.mark.parametrize('noticed_by', ['snapshot', 'changes', 'relay'])
def test_row_that_the_store_does_not_confirm_ends(
    noticed_by, happen, ends_after_s
):
    """Guards against a zone that is evacuated until a node is restarted."""
    clock = clocks.ManualClock(0.0)
    view = _view_with('a', clock=clock)
    if noticed_by != 'relay':
        _snapshot(view, 2, 'evacuate/a')
        clock.advance(100.0)
        view.config_table.remove_due_rows()
    if noticed_by == 'changes':
        _change(view, ERA + 5, 'other', b'')
    else:
        _snapshot(view, ERA + 5)
    if noticed_by == 'relay':
        _snapshot(view, ERA + 5, 'evacuate/a')
    ended_after_s = None
    for second in range(60):
        for at, step in happen:
            if at == second:
                step(view)
        view.config_table.remove_due_rows()
        if not view.evacuated_zones:
            ended_after_s = second
            break
        clock.advance(1.0)
    assert ended_after_s == ends_after_s
    # A node that still has the row does not bring it back.
    _snapshot(view, 3 * ERA)
    _snapshot(view, 3 * ERA, 'evacuate/a')
    assert (not view.evacuated_zones) is (ends_after_s is not None)
    _change(view, 3 * ERA + 1, 'evacuate/a', b'')
    assert view.evacuated_zones == {'a'}


def test_end_of_an_unconfirmed_row_is_relayed_and_logged_once(monkeypatch):
    """Nodes that noticed the restore later must not keep the row longer."""
    names = []
    monkeypatch.setattr(
        'plantainway.logs.event', lambda name, *_level, **_: names.append(name)
    )
    clock = clocks.ManualClock(0.0)
    view = _view_with('a', clock=clock)
    _snapshot(view, 2, 'evacuate/a')
    _snapshot(view, ERA + 5)
    revision = view.config_table.revision
    clock.advance(30.0)
    for _ in range(3):
        view.config_table.remove_due_rows()
    assert view.config_table.changes_since(revision) == ([], ['evacuate/a'])
    assert names.count('lost_row_dropped') == 1


@pytest.mark.parametrize('zones', [(), ('a',)])
def test_heads_are_found_without_a_list_of_all_engines(monkeypatch, zones):
    """Each request looks for heads; most engines are none."""
    view = _view_with(*(f'z{number}' for number in range(50)), 'a', 'b')
    for name in (f'z{number}' for number in range(50)):
        known = view.book.by_name[name]
        view.book.by_name[name] = dataclasses.replace(
            known, membership=dataclasses.replace(known.membership, rank=1)
        )
    view.book.set_evacuated(zones)
    asked = []
    is_evacuated = view.book.is_evacuated
    monkeypatch.setattr(
        view.book,
        'is_evacuated',
        lambda item: asked.append(item.name) or is_evacuated(item),
    )
    found = view.book.find_open_heads('s', 'm')
    assert {item.name for item in found} == {'a', 'b'} - set(zones)
    assert sorted(asked) == ['a', 'b']


def test_lost_row_is_logged_once_in_an_era(monkeypatch):
    """Guards against a line for each snapshot of a restored store."""
    names = []
    monkeypatch.setattr(
        'plantainway.logs.event', lambda name, *_level, **_: names.append(name)
    )
    view = _view_with('a')
    _snapshot(view, 2, 'evacuate/a')
    for version in range(ERA + 5, ERA + 9):
        _snapshot(view, version)
        _snapshot(view, version, 'evacuate/a')
    assert names.count('lost_row_kept') == 1
    _snapshot(view, ERA + 9, 'evacuate/a', row_version=ERA + 9)
    for version in range(2 * ERA, 2 * ERA + 3):
        _snapshot(view, version)
    assert names.count('lost_row_kept') == 2
