"""Batches of records, chained by digests so that a gap shows."""

import dataclasses
import hashlib
import json

from plantainway import errors

PREFIX = 'evidence/'
FIRST_DIGEST = '0' * 64


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records of one node incarnation between two wall-clock times.

    ``previous`` is the digest of the batch before; ``last`` marks the end
    of a planned stop. Times are seconds since 1970, for reading only.
    """

    node: str
    incarnation: int
    number: int
    previous: str
    since: float
    until: float
    last: bool
    records: list[dict]


@dataclasses.dataclass(frozen=True, slots=True)
class ChainGap:
    """A stretch of time for which a node's records are not known."""

    node: str
    incarnation: int
    since: float
    until: float
    reason: str


def object_name(node: str, incarnation: int, number: int) -> str:
    """Returns the object store's name for a batch.

    Args:
        node: Name of the node.
        incarnation: Incarnation of the node.
        number: Number of the batch, from 1.
    """
    return f'{PREFIX}{node}/{incarnation:08d}/{number:08d}'


def encode_batch(batch: Batch) -> tuple[bytes, str]:
    """Encodes a batch.

    Args:
        batch: Batch to encode.

    Returns:
        The bytes to store and their digest.
    """
    body = json.dumps(
        dataclasses.asdict(batch), sort_keys=True, separators=(',', ':')
    ).encode()
    return body, hashlib.sha256(body).hexdigest()


def decode_batch(body: bytes) -> tuple[Batch, str]:
    """Decodes a batch.

    Args:
        body: Stored bytes.

    Returns:
        The batch and the digest of the bytes.

    Raises:
        BadRequestError: If the bytes are no batch.
    """
    try:
        batch = Batch(**json.loads(body))
    except (ValueError, TypeError) as exc:
        raise errors.BadRequestError(repr(exc), 'evidence_decode')
    return batch, hashlib.sha256(body).hexdigest()


def verify_chains(found: list, until: float, grace_s: float) -> list:
    """Finds gaps in the chains of all nodes.

    Args:
        found: ``(batch, digest)`` pairs in any order.
        until: End of the period, seconds since 1970.
        grace_s: Seconds that a live node's newest batch may lag.

    Returns:
        Gaps; a chain that ends without its last mark before ``until``
        leaves one to the node's next incarnation, or to ``until``.
    """
    chains = {}
    for batch, digest in found:
        chains.setdefault((batch.node, batch.incarnation), {})[
            batch.number
        ] = (batch, digest)
    gaps = []
    for (node, incarnation), chain in sorted(chains.items()):
        gaps += _gaps_inside(node, incarnation, chain)
        newest = chain[max(chain)][0]
        if newest.last:
            continue
        later = [
            batches[min(batches)][0].since
            for (other, number), batches in chains.items()
            if other == node and number > incarnation
        ]
        end = min(later, default=until)
        if later or end - newest.until > grace_s:
            gaps.append(
                ChainGap(
                    node, incarnation, newest.until, end, 'ended unmarked'
                )
            )
    return gaps


def _gaps_inside(node, incarnation, chain) -> list:
    gaps = []
    expected = 1
    previous = FIRST_DIGEST
    ended = None
    for number in sorted(chain):
        batch, digest = chain[number]
        start = batch.since if ended is None else ended
        if number != expected:
            gaps.append(
                ChainGap(
                    node, incarnation, start, batch.since, 'batch missing'
                )
            )
        elif batch.previous != previous:
            gaps.append(
                ChainGap(
                    node, incarnation, start, batch.until, 'digest differs'
                )
            )
        expected = number + 1
        previous = digest
        ended = batch.until
    return gaps
