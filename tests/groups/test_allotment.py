"""How copies are spread over fabric domains."""

import dataclasses

import pytest

from plantainway import groups
from plantainway.groups import _allotment


@dataclasses.dataclass
class Group:
    """The fields of a declared replica group that matter here."""

    name: str = 'g'
    copies: int = 2
    extra_copies: int = 0
    vms_per_copy: int = 4
    fabric_domains: tuple = ('a', 'b')
    value: float = 1.0


def placed(*places, is_movable=False):
    """Returns copies of the group that stand in domains."""
    return [_allotment.PlacedCopy(place, 'g', is_movable) for place in places]


@pytest.mark.parametrize(
    'group, free_vms, existing, copies, extra',
    [
        # Free choice: the smallest gap that fits.
        (Group(), {'a': 9, 'b': 4}, [], {'a': 1, 'b': 1}, {}),
        (Group(), {'a': 3, 'b': 9}, [], {'b': 2}, {}),
        (Group(), {'a': 3, 'b': 3}, [], {}, {}),
        # What stands keeps its place, also with no room left.
        (Group(), {'a': 0, 'b': 9}, placed('a'), {'a': 1, 'b': 1}, {}),
        (Group(), {'a': 0, 'b': 9}, placed('a', 'a'), {'a': 2}, {}),
        # A stuck copy moves only where there is room.
        (
            Group(copies=1),
            {'a': 0, 'b': 9},
            placed('a', is_movable=True),
            {'b': 1},
            {},
        ),
        (
            Group(copies=1),
            {'a': 0, 'b': 3},
            placed('a', is_movable=True),
            {'a': 1},
            {},
        ),
        # Fewer declared than stand: stuck ones go first.
        (
            Group(copies=1),
            {'a': 0, 'b': 0},
            placed('a', is_movable=True) + placed('b'),
            {'b': 1},
            {},
        ),
        # A domain that the group may not use any more.
        (
            Group(copies=1, fabric_domains=('b',)),
            {'a': 0, 'b': 9},
            placed('a'),
            {'b': 1},
            {},
        ),
        # Extra copies take what is left, and stay where they stand.
        (
            Group(copies=1, extra_copies=2),
            {'a': 4, 'b': 8},
            [],
            {'a': 1},
            {'b': 2},
        ),
        (
            Group(copies=1, extra_copies=1),
            {'a': 0, 'b': 8},
            placed('a', 'a'),
            {'a': 1},
            {'a': 1},
        ),
    ],
)
def test_allot(group, free_vms, existing, copies, extra):
    """Copies and extra copies by domain."""
    found = groups.allot_copies(
        [group],
        [groups.DomainCapacity(name, vms) for name, vms in free_vms.items()],
        existing,
    )
    assert {
        name: item.copies['g'] for name, item in found.items() if item.copies
    } == copies
    assert {
        name: item.extra['g'] for name, item in found.items() if item.extra
    } == extra


def test_higher_value_goes_first():
    """When room is short, the more valuable group gets it."""
    found = groups.allot_copies(
        [Group('low', 1), Group('high', 1, value=2.0)],
        [groups.DomainCapacity('a', 4), groups.DomainCapacity('b', 0)],
        [],
    )
    assert found['a'].copies == {'high': 1}
