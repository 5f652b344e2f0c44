"""Batches of records, chained by digests so that gaps can be detected."""

import dataclasses
import hashlib
import json

from plantainway import errors

OBJECT_PREFIX = 'evidence/'
INITIAL_DIGEST = '0' * 64  # ``previous`` of the first batch


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records of one node incarnation between two wall-clock times.

    ``number`` counts the batches of the incarnation from 1. ``previous`` is
    the digest of the preceding batch. ``last`` marks the final batch of a
    planned stop. ``since`` and ``until`` are seconds since 1970. The field
    names are the keys of the stored batch.
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
    """Period for which the records of a node are missing or altered.

    ``since`` and ``until`` are seconds since 1970.
    """

    node: str
    incarnation: int
    since: float
    until: float
    reason: str


def object_name(node: str, incarnation: int, number: int) -> str:
    """Returns the name of a batch in the object store.

    Args:
        node: Name of the node.
        incarnation: Incarnation of the node.
        number: Number of the batch, from 1.
    """
    return f'{OBJECT_PREFIX}{node}/{incarnation:08d}/{number:08d}'


def encode_batch(batch: Batch) -> tuple[bytes, str]:
    """Encodes a batch as canonical JSON.

    Args:
        batch: Batch to encode.

    Returns:
        The bytes to store and their SHA-256 digest.
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
        The batch and the SHA-256 digest of the bytes.

    Raises:
        BadRequestError: If the bytes are no valid batch.
    """
    try:
        batch = Batch(**json.loads(body))
    except (ValueError, TypeError) as exc:
        raise errors.BadRequestError(repr(exc), 'evidence_decode')
    return batch, hashlib.sha256(body).hexdigest()


def find_chain_gaps(batches: list, until: float, max_lag_s: float) -> list:
    """Returns the gaps in the chains of all node incarnations.

    Args:
        batches: ``(batch, digest)`` pairs in any order.
        until: End of the period, seconds since 1970.
        max_lag_s: Seconds by which the newest batch of a live node may lag
            behind ``until``.

    Returns:
        List of ``ChainGap``: missing batches, digests that do not match, and
        chains that end without a batch marked ``last``. The gap of the latter
        lasts to the first batch of the node's next incarnation, or to
        ``until``.
    """
    chains = {}
    for batch, digest in batches:
        chains.setdefault((batch.node, batch.incarnation), {})[
            batch.number
        ] = (batch, digest)
    gaps = []
    for (node, incarnation), chain in sorted(chains.items()):
        gaps += _find_gaps_in_chain(node, incarnation, chain)
        newest = chain[max(chain)][0]
        if newest.last:
            continue
        later_starts = [
            later_chain[min(later_chain)][0].since
            for (other_node, other_incarnation), later_chain in chains.items()
            if other_node == node and other_incarnation > incarnation
        ]
        gap_end = min(later_starts, default=until)
        if later_starts or gap_end - newest.until > max_lag_s:
            gaps.append(
                ChainGap(
                    node, incarnation, newest.until, gap_end, 'ended unmarked'
                )
            )
    return gaps


def _find_gaps_in_chain(node, incarnation, chain) -> list:
    gaps = []
    expected_number = 1
    expected_digest = INITIAL_DIGEST
    known_until = None
    for number in sorted(chain):
        batch, digest = chain[number]
        start = batch.since if known_until is None else known_until
        if number != expected_number:
            gaps.append(
                ChainGap(
                    node, incarnation, start, batch.since, 'batch missing'
                )
            )
        elif batch.previous != expected_digest:
            gaps.append(
                ChainGap(
                    node, incarnation, start, batch.until, 'digest differs'
                )
            )
        expected_number = number + 1
        expected_digest = digest
        known_until = batch.until
    return gaps
