"""Where the beginnings of prompts are cached, as far as known."""

import collections
import hashlib
import json

BLOCK_CHARS = 256
BLOCKS_MAX = 16
ENTRIES_MAX = 50000
HALF_LIFE_S = 120.0


def prefix_digests(messages) -> list[str]:
    """Returns a digest for each whole block at the start of a prompt.

    Args:
        messages: Messages of a chat request.

    Returns:
        Digests; equal beginnings have equal digests.
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


class PrefixMap:
    """Remembers which copies saw which prompt beginnings.

    Entries come from own requests and from cache events; an entry fades
    with its age, since evictions are told late or never. The least
    recently used entries are dropped.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._seen: collections.OrderedDict = collections.OrderedDict()

    def note(self, copy_id: str, digests) -> None:
        """Notes that a copy has, or will soon have, some beginnings.

        Args:
            copy_id: Name of the copy.
            digests: Digests of the beginnings.
        """
        now = self._clock.now()
        for digest in digests:
            self._seen[(copy_id, digest)] = now
            self._seen.move_to_end((copy_id, digest))
        while len(self._seen) > ENTRIES_MAX:
            self._seen.popitem(last=False)

    def drop(self, copy_id: str, digest: str) -> None:
        """Notes that a copy has evicted a beginning.

        Args:
            copy_id: Name of the copy.
            digest: Digest of the beginning.
        """
        self._seen.pop((copy_id, digest), None)

    def cached_share(self, copy_id: str, digests) -> float:
        """Returns the part of a prompt's blocks a copy is thought to have.

        Args:
            copy_id: Name of the copy.
            digests: Digests of the prompt's beginnings, shortest first.

        Returns:
            A number from 0 to 1, faded by age.
        """
        if not digests:
            return 0.0
        now = self._clock.now()
        for count in range(len(digests), 0, -1):
            at = self._seen.get((copy_id, digests[count - 1]))
            if at is not None:
                fade = 0.5 ** ((now - at) / HALF_LIFE_S)
                return fade * count / len(digests)
        return 0.0

    def __len__(self) -> int:
        return len(self._seen)
