"""Which addresses a client is told to use."""

ADDRESSES_MAX = 64


def choose_addresses(nodes, zone: str) -> list[str]:
    """Returns the addresses to name, those of the client's zone first.

    Clients draw one of the addresses at random, so the list holds all nodes
    that take requests: their share of the load is then even, whatever the
    number of nodes and clients of a zone.

    Args:
        nodes: Nodes known.
        zone: Zone of the client.
    """
    ready = [item for item in nodes if item.ready]
    ready.sort(key=lambda item: (item.zone != zone, item.node))
    return [item.address for item in ready][:ADDRESSES_MAX]
