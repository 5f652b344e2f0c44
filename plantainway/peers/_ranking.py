"""Rendezvous hashing: assigns keys to nodes."""

import hashlib

SCORE_BYTES = 8


def _score(node: str, key: str) -> bytes:
    return hashlib.blake2b(
        f'{key}\0{node}'.encode(), digest_size=SCORE_BYTES
    ).digest()


def rank_nodes(nodes, key: str) -> list[str]:
    """Returns nodes in the order of their rendezvous scores for a key.

    Args:
        nodes: Names of the nodes.
        key: Name of the work to assign; its owner comes first.
    """
    return sorted(nodes, key=lambda node: (_score(node, key), node))


def top_nodes(nodes, key: str, count: int) -> list[str]:
    """Returns the first nodes in the rendezvous order of a key.

    Args:
        nodes: Names of the nodes.
        key: Name of the work to assign.
        count: Maximum number of nodes to return.
    """
    return rank_nodes(nodes, key)[:count]
