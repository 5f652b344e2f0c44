"""Rendezvous hashing: who does which piece of work."""

import hashlib

SCORE_BYTES = 8


def _score(node: str, item: str) -> bytes:
    return hashlib.blake2b(
        f'{item}\0{node}'.encode(), digest_size=SCORE_BYTES
    ).digest()


def rank_nodes(nodes, item: str) -> list[str]:
    """Orders nodes by their claim to an item, best first.

    Args:
        nodes: Names of the nodes.
        item: Name of the piece of work.
    """
    return sorted(nodes, key=lambda node: (_score(node, item), node))


def top_nodes(nodes, item: str, count: int) -> list[str]:
    """Returns the nodes with the best claim to an item.

    Args:
        nodes: Names of the nodes.
        item: Name of the piece of work.
        count: How many nodes to return at most.
    """
    return rank_nodes(nodes, item)[:count]
