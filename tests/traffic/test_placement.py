"""Choice of a head at random."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from plantainway.traffic import _placement

ROOMS = strategies.lists(strategies.integers(0, 30), max_size=20)


@hypothesis.given(ROOMS, strategies.integers())
def test_only_heads_with_room_are_drawn(rooms, seed):
    """Guards against requests at full heads while others have room."""
    heads = list(range(len(rooms)))
    head = _placement.draw(heads, rooms, random.Random(seed))
    assert (head is None) == (not any(rooms))
    assert head is None or rooms[head] > 0


@hypothesis.given(ROOMS)
def test_weights_grow_with_the_room_and_are_limited(rooms):
    """Guards against a head that gets the requests of all nodes."""
    weights = _placement.weigh(rooms)
    by_room = [weight for _room, weight in sorted(zip(rooms, weights))]
    assert by_room == sorted(by_room)
    with_room = [room for room in rooms if room]
    if with_room:
        mean = sum(with_room) / len(with_room)
        assert max(weights) <= 2 * mean
    assert [weight > 0 for weight in weights] == [room > 0 for room in rooms]


@pytest.mark.parametrize(
    'rooms, weights',
    [
        ([], []),
        ([0, 0], [0, 0]),
        ([3, 9, 0], [3, 9, 0]),
        ([27, 1, 1, 1], [15, 1, 1, 1]),
        ([27, 0, 0, 0], [27, 0, 0, 0]),
    ],
)
def test_weights(rooms, weights):
    """The mean is that of the heads with room."""
    assert _placement.weigh(rooms) == weights
