"""Tests of the distribution of copies over fabric domains."""

import dataclasses

import pytest

from plantainway import groups
from plantainway.groups import _allotment


@dataclasses.dataclass
class Group:
    """Fields of a declared replica group that the allotment uses."""

    name: str = 'g'
    copies: int = 2
    extra_copies: int = 0
    vms_per_copy: int = 4
    fabric_domains: tuple = ('a', 'b')
    value: float = 1.0


def placed(*places, is_movable=False):
    """Returns one existing copy of the group per domain given."""
    return [_allotment.PlacedCopy(place, 'g', is_movable) for place in places]


@pytest.mark.parametrize(
    'group, free_vms, existing, copies, extra',
    [
        # New copies go to the domain with the fewest VMs that suffice.
        (Group(), {'a': 9, 'b': 4}, [], {'a': 1, 'b': 1}, {}),
        (Group(), {'a': 3, 'b': 9}, [], {'b': 2}, {}),
        (Group(), {'a': 3, 'b': 3}, [], {}, {}),
        # Existing copies keep their domain, also with no free VMs.
        (Group(), {'a': 0, 'b': 9}, placed('a'), {'a': 1, 'b': 1}, {}),
        (Group(), {'a': 0, 'b': 9}, placed('a', 'a'), {'a': 2}, {}),
        # A movable copy moves only if another domain has free VMs.
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
        # Fewer copies declared than exist: movable ones go first.
        (
            Group(copies=1),
            {'a': 0, 'b': 0},
            placed('a', is_movable=True) + placed('b'),
            {'b': 1},
            {},
        ),
        # A domain that the group may no longer use.
        (
            Group(copies=1, fabric_domains=('b',)),
            {'a': 0, 'b': 9},
            placed('a'),
            {'b': 1},
            {},
        ),
        # Extra copies use remaining VMs and keep their domain.
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
    """Each case gets the expected copies and extra copies by domain."""
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


def test_higher_value_is_placed_first():
    """If free VMs are short, the group of higher value gets them."""
    found = groups.allot_copies(
        [Group('low', 1), Group('high', 1, value=2.0)],
        [groups.DomainCapacity('a', 4), groups.DomainCapacity('b', 0)],
        [],
    )
    assert found['a'].copies == {'high': 1}
