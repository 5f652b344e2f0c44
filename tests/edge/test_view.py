"""What a node takes from the leader before the store shows it."""

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
    'entry, opened, told',
    [
        (None, True, True),
        (('g1', 1, 'ready'), True, True),
        (('g2', 2, 'ready'), True, True),
        (('g2', 2, 'open'), True, False),
        (('g3', 3, 'open'), True, False),  # the entry is newer
    ],
)
def test_opened_head_is_used_before_its_entry_shows_it(entry, opened, told):
    """The leader's word counts unless the entry shows as much."""
    clock = clocks.ManualClock()
    view = _view.PlatformView(clock)
    view.upstream_rows.load(
        stores.Reading((stores.RawRow('e0', _entry(entry), 1),), 1),
        clock.now(),
    )
    changes = []
    view.on_upstreams.append(lambda: changes.append('head'))
    view.note_opened('e0', deployment.Membership('g2', 2, 0, State.OPEN, 'm'))
    heads = view.book.find_open_heads('s', 'm')
    assert bool(heads) == opened
    assert bool(changes) == told
    view.upstream_rows.apply(
        stores.Reading(
            (stores.RawRow('e0', _entry(('g4', 4, 'joining')), 2),), 2
        ),
        clock.now(),
    )
    assert view.book.find_open_heads('s', 'm') == []


def test_unknown_head_is_not_taken():
    """A head without an entry has no address."""
    view = _view.PlatformView(clocks.ManualClock())
    view.note_opened('e9', deployment.Membership('g2', 2, 0, State.OPEN, 'm'))
    assert view.book.by_name == {}
