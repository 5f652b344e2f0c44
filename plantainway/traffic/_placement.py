"""Choice of a head by loads that are some hundred milliseconds old.

It addresses many nodes of which each sends few requests: if all chose the
head with the least load, they would all choose the same one until they
learn of each other's requests. docs/design/placement.md compares the rules.
"""

MAX_WEIGHT_TO_MEAN = 2.0  # limits the part of a head that has just opened
# Weight of a head where the request would be late. Lower ones make all nodes
# choose the few heads that are on time: 0.1 has five times the rejections.
LATE_WEIGHT = 0.5


def weigh(rooms) -> list[float]:
    """Returns the weights of heads for a random draw.

    Args:
        rooms: For each head, how many more requests it takes, at least 0.

    Returns:
        The numbers, of which none is over ``MAX_WEIGHT_TO_MEAN`` times the
        mean of those that are not 0.
    """
    with_room = [room for room in rooms if room > 0]
    if not with_room:
        return [0.0 for _room in rooms]
    most = MAX_WEIGHT_TO_MEAN * sum(with_room) / len(with_room)
    return [min(max(room, 0.0), most) for room in rooms]


def draw(heads, rooms, rng, late_heads=frozenset()):
    """Draws a head at random, weighted by the room that it has.

    Args:
        heads: The heads.
        rooms: For each head, how many more requests it takes.
        rng: Source of randomness.
        late_heads: Those of the heads where the request would be late.

    Returns:
        A head with room, ``None`` if there is none.
    """
    weights = weigh(
        [
            room * LATE_WEIGHT if head in late_heads else room
            for head, room in zip(heads, rooms)
        ]
    )
    if not any(weights):
        return None
    return rng.choices(heads, weights)[0]
