"""Directory that tells callers which nodes to use, and for how long."""

import dataclasses

from plantainway import peers

CACHED_LIST_TTL_S = 10.0
ENTRIES_MAX = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A node listed in the directory, with its caller API address."""

    node: str
    address: str
    place: str


def choose_entries(live: dict, place: str, region: str, salt: str) -> list:
    """Returns a bounded number of nodes, the nearest ones first.

    Args:
        live: Latest report of each live node, by name.
        place: Place of the caller.
        region: Region of the caller.
        salt: Caller name or address; spreads callers over nodes.

    Returns:
        At most ``ENTRIES_MAX`` entries, without nodes that are leaving.
    """
    order = peers.rank_nodes(
        [name for name, report in live.items() if not report.leaving], salt
    )
    order.sort(
        key=lambda name: (
            live[name].place != place,
            live[name].region != region,
        )
    )
    return [
        Entry(name, live[name].caller, live[name].place)
        for name in order[:ENTRIES_MAX]
    ]
