"""Link topology: full mesh in a failure domain, one relay pair between two.

The relay pair of two failure domains is chosen by rendezvous hashing, so all
nodes with the same view of the live nodes choose the same pair.
"""

from plantainway.peers import _ranking


def _relay_pair(
    domains: dict[str, list[str]], domain: str, other_domain: str
) -> tuple:
    key = '/'.join(sorted((domain, other_domain)))
    return (
        _ranking.top_nodes(domains[domain], key, 1)[0],
        _ranking.top_nodes(domains[other_domain], key, 1)[0],
    )


def _nodes_by_domain(domain_by_node: dict[str, str]) -> dict[str, list[str]]:
    domains = {}
    for node, domain in domain_by_node.items():
        domains.setdefault(domain, []).append(node)
    return domains


def peers_to_dial(node: str, domain_by_node: dict[str, str]) -> set[str]:
    """Returns the nodes to which a node opens connections.

    Of the two nodes of a link, the one whose name sorts first dials.

    Args:
        node: Name of the node.
        domain_by_node: Failure domain of every live node by name.

    Returns:
        Names of the nodes to dial.
    """
    domains = _nodes_by_domain(domain_by_node)
    own_domain = domain_by_node[node]
    neighbors = {other for other in domains[own_domain] if other != node}
    neighbors |= set(relay_peers(node, domain_by_node).values())
    return {other for other in neighbors if node < other}


def relay_peers(node: str, domain_by_node: dict[str, str]) -> dict[str, str]:
    """Returns the relay links of a node to other failure domains.

    Args:
        node: Name of the node.
        domain_by_node: Failure domain of every live node by name.

    Returns:
        By failure domain, the name of the node at the far end of the link.
    """
    domains = _nodes_by_domain(domain_by_node)
    own_domain = domain_by_node[node]
    relays = {}
    for other_domain in domains:
        if other_domain == own_domain:
            continue
        own_relay, other_relay = _relay_pair(domains, own_domain, other_domain)
        if own_relay == node:
            relays[other_domain] = other_relay
    return relays
