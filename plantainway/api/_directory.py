"""Which nodes callers should use, and until when."""

import dataclasses

from plantainway import peers

DIRECTORY_TTL_S = 10.0
ENTRIES_MAX = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Address of a node for callers."""

    node: str
    address: str
    place: str


def choose_entries(live: dict, place: str, region: str, salt: str) -> list:
    """Chooses a bounded number of nodes, near ones first.

    Args:
        live: Reports of the live nodes by name.
        place: Place of the caller.
        region: Region of the caller.
        salt: Name of the caller; spreads callers over nodes.

    Returns:
        Entries; leaving nodes are not among them.
    """
    order = peers.ranked(
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
