"""Which nodes keep links: a mesh inside a failure domain, relays between."""

from plantainway.peers import _ranking


def _relays(domains: dict[str, list[str]], one: str, other: str) -> tuple:
    item = '/'.join(sorted((one, other)))
    return (
        _ranking.top_nodes(domains[one], item, 1)[0],
        _ranking.top_nodes(domains[other], item, 1)[0],
    )


def _by_domain(places: dict[str, str]) -> dict[str, list[str]]:
    domains = {}
    for node, domain in places.items():
        domains.setdefault(domain, []).append(node)
    return domains


def links_to_dial(node: str, places: dict[str, str]) -> set[str]:
    """Chooses the nodes that a node connects to.

    Of each pair that shares a link, only the one whose name sorts first
    dials.

    Args:
        node: The node itself.
        places: Failure domain of every live node by name.

    Returns:
        Names of the nodes to dial.
    """
    domains = _by_domain(places)
    mine = places[node]
    wanted = {other for other in domains[mine] if other != node}
    wanted |= set(relay_domains(node, places).values())
    return {other for other in wanted if node < other}


def relay_domains(node: str, places: dict[str, str]) -> dict[str, str]:
    """Returns the other failure domains that a node relays to.

    Args:
        node: The node itself.
        places: Failure domain of every live node by name.

    Returns:
        By failure domain, the node at the other end.
    """
    domains = _by_domain(places)
    mine = places[node]
    found = {}
    for other in domains:
        if other == mine:
            continue
        near, far = _relays(domains, mine, other)
        if near == node:
            found[other] = far
    return found
