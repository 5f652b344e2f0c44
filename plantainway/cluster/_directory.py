"""Selection of the node addresses that the directory gives to clients."""

ADDRESSES_MAX = 64


def choose_addresses(nodes, zone: str) -> list[str]:
    """Returns the addresses of the ready nodes, the client's zone first.

    Clients pick one of the addresses at random. The list therefore holds
    the nodes of all zones that take requests: each gets an even share of
    the load, no matter how nodes and clients are spread over the zones.
    Nodes that have lost their links to the upstreams are left out unless all
    have.
    Beyond ``ADDRESSES_MAX``, nodes of other zones are left out first.

    Args:
        nodes: Known nodes.
        zone: Zone of the client.

    Returns:
        At most ``ADDRESSES_MAX`` addresses.
    """
    ready = [item for item in nodes if item.ready]
    linked = [item for item in ready if not item.links_lost]
    ready = linked or ready
    ready.sort(key=lambda item: (item.zone != zone, item.node))
    return [item.address for item in ready][:ADDRESSES_MAX]
