"""Estimates which copies have the prefix of a prompt in their cache."""

import collections
import hashlib
import json

BLOCK_CHARS = 256
BLOCKS_MAX = 16
ENTRIES_MAX = 50000
HALF_LIFE_S = 120.0  # age at which an entry has half its weight


def prefix_digests(messages) -> list[str]:
    """Returns digests of the prefixes of a prompt.

    Args:
        messages: Messages of a chat request.

    Returns:
        One digest for each prefix of whole blocks, shortest first, up to
        ``BLOCKS_MAX``. Equal prefixes have equal digests.
    """
    text = json.dumps(messages, ensure_ascii=False)
    state = hashlib.blake2b(digest_size=8)
    digests = []
    for start in range(0, BLOCKS_MAX * BLOCK_CHARS, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS]
        if len(block) < BLOCK_CHARS:
            break
        state.update(block.encode())
        digests.append(state.hexdigest())
    return digests


class PrefixCacheIndex:
    """Index of the prompt prefixes that copies probably have cached.

    Entries come from the requests of this node. The weight of an entry
    decays with its age, since evictions are reported late or never. The
    least recently recorded entries are evicted.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._recorded_at: collections.OrderedDict = collections.OrderedDict()

    def record(self, copy_id: str, digests) -> None:
        """Records that a copy has, or will soon have, prefixes cached.

        Args:
            copy_id: Name of the copy.
            digests: Digests of the prefixes.
        """
        now = self._clock.now()
        for digest in digests:
            self._recorded_at[(copy_id, digest)] = now
            self._recorded_at.move_to_end((copy_id, digest))
        while len(self._recorded_at) > ENTRIES_MAX:
            self._recorded_at.popitem(last=False)

    def remove(self, copy_id: str, digest: str) -> None:
        """Removes a prefix that a copy has evicted.

        Args:
            copy_id: Name of the copy.
            digest: Digest of the prefix.
        """
        self._recorded_at.pop((copy_id, digest), None)

    def cached_fraction(self, copy_id: str, digests) -> float:
        """Returns the estimated fraction of a prompt that a copy has cached.

        Only the blocks in ``digests`` count, which for a long prompt are not
        all of it.

        Args:
            copy_id: Name of the copy.
            digests: Digests of the prompt's prefixes, shortest first.

        Returns:
            Blocks of the longest known prefix by the blocks in ``digests``,
            from 0 to 1, weighted down by the age of the entry.
        """
        if not digests:
            return 0.0
        now = self._clock.now()
        for count in range(len(digests), 0, -1):
            recorded_at = self._recorded_at.get((copy_id, digests[count - 1]))
            if recorded_at is not None:
                decay = 0.5 ** ((now - recorded_at) / HALF_LIFE_S)
                return decay * count / len(digests)
        return 0.0

    def __len__(self) -> int:
        return len(self._recorded_at)
