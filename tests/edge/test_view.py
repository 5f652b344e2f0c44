"""Tests of heads that the leader reports before the table shows them."""

import json

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway.edge import _view
from plantainway import stores

State = deployment.GroupState


def _entry(group=None):
    entry = {
        'service': 's',
        'address': '10.0.0.1:1',
        'zone': 'a',
        'slots': 4,
        'state': 'ready',
        'born': 7,
    }
    if group is not None:
        name, epoch, state = group
        entry['group'] = {
            'name': name,
            'epoch': epoch,
            'rank': 0,
            'state': state,
        }
        entry['models'] = [{'name': 'm', 'version': 1}]
    return json.dumps(entry).encode()


@pytest.mark.parametrize(
    'entry, opened, notified',
    [
        (None, True, True),
        (('g1', 1, 'ready'), True, True),
        (('g2', 2, 'ready'), True, True),
        (('g2', 2, 'open'), True, False),
        (('g3', 3, 'open'), True, False),  # the entry is newer
    ],
)
def test_reported_head_is_open_before_its_entry(entry, opened, notified):
    """The report takes effect unless the entry shows the same or newer."""
    clock = clocks.ManualClock()
    view = _view.PlatformView(clock)
    view.upstream_table.apply_snapshot(
        stores.RowBatch((stores.RawRow('e0', _entry(entry), 1),), 1),
        clock.now(),
    )
    changes = []
    view.on_upstreams_changed.append(lambda: changes.append('head'))
    view.mark_head_open(
        'e0', deployment.Membership('g2', 2, 0, State.OPEN, 'm')
    )
    heads = view.book.find_open_heads('s', 'm')
    assert bool(heads) == opened
    assert bool(changes) == notified
    view.upstream_table.apply_changes(
        stores.RowBatch(
            (stores.RawRow('e0', _entry(('g4', 4, 'joining')), 2),), 2
        ),
        clock.now(),
    )
    assert view.book.find_open_heads('s', 'm') == []


def test_change_of_the_cold_time_alone_is_passed_on_without_a_line(capsys):
    """Runners rewrite it with each heartbeat, at every node."""
    clock = clocks.ManualClock()
    view = _view.PlatformView(clock)
    seen = []
    view.on_entry.append(
        lambda one, version: seen.append((one.cold_left_ms, version))
    )
    lines = []
    for version, left_ms in ((1, 5000), (2, 4500)):
        entry = json.loads(_entry()) | {'coldLeftMs': left_ms}
        row = stores.RawRow('e0', json.dumps(entry).encode(), version)
        view.upstream_table.apply_snapshot(
            stores.RowBatch((row,), version), clock.now()
        )
        lines.append(capsys.readouterr().out.count('upstream_seen'))
    assert seen == [(5000, 1), (4500, 2)]
    assert lines[1] == 0


@pytest.mark.parametrize(
    'before, after, expected',
    [
        (('g1', 1, 'joining'), ('g1', 1, 'open'), ['e0']),
        (('g1', 1, 'open'), ('g2', 2, 'open'), ['e0']),
        (('g1', 1, 'open'), ('g1', 1, 'open'), []),
        (('g1', 1, 'open'), ('g1', 1, 'closing'), []),
        (None, ('g1', 1, 'open'), ['e0']),
    ],
)
def test_opening_of_a_known_head_is_announced(before, after, expected):
    """Those that a node finds open when it starts are not new."""
    view = _view.PlatformView(clocks.ManualClock())
    opened = []
    view.on_opened.append(lambda one: opened.append(one.name))
    for version, group in ((1, before), (2, after)):
        row = stores.RawRow('e0', _entry(group), version)
        view.upstream_table.apply_snapshot(
            stores.RowBatch((row,), version), 0.0
        )
    assert opened == expected


def test_report_of_unknown_head_is_ignored():
    """A head without an entry has no address, so it cannot be used."""
    view = _view.PlatformView(clocks.ManualClock())
    view.mark_head_open(
        'e9', deployment.Membership('g2', 2, 0, State.OPEN, 'm')
    )
    assert view.book.by_name == {}


def test_odd_cold_fields_are_logged_once_for_each_configuration(monkeypatch):
    """Guards against a line for each change of the table."""
    events = []
    monkeypatch.setattr(
        'plantainway.logs.event',
        lambda name, *_level, **fields: events.append((name, fields)),
    )
    view = _view.PlatformView(clocks.ManualClock())
    for row_version, version in enumerate([1, 1, 1, 2], 1):
        services = [
            {'name': name, 'coldS': 'x', 'coldPerS': []}
            for name in ('s1', 's2')
        ]
        body = {'version': version, 'routes': [], 'services': services}
        row = stores.RawRow('config', json.dumps(body).encode(), row_version)
        other = stores.RawRow('evacuate/a', b'', row_version)
        view.config_table.apply_snapshot(
            stores.RowBatch((row, other), row_version), 0.0
        )
    logged = [fields for name, fields in events if name == 'cold_field_odd']
    assert [item['version'] for item in logged] == [1, 2]
    assert logged[0]['services'] == 's1,s2'
