"""Recording at a node."""

import asyncio
import time

from plantainway.evidence import _chain
from plantainway import logs
from plantainway import stores

FLUSH_EVERY_S = 2.0
RECORDS_MAX = 5000  # a fuller batch is written at once
BUFFER_MAX = 200000  # records kept while the object store is out of reach


class Recorder:
    """Collects the records of one node incarnation.

    Args:
        node: Name of the node.
        incarnation: Its incarnation.
        clock: Source of monotonic time.
        wall: Function that returns seconds since 1970.
    """

    def __init__(self, node, incarnation, clock, wall=time.time):
        self._node = node
        self._incarnation = incarnation
        self._clock = clock
        self._wall = wall
        self._since = wall()
        self._number = 1
        self._previous = _chain.FIRST_DIGEST
        self._records: list[dict] = []
        self._sealed: list[tuple[str, bytes]] = []
        self._buffered = 0
        self.dropped = 0

    def record(self, kind: str, **fields) -> None:
        """Adds one record.

        Args:
            kind: Kind of the record.
            fields: Its fields, ready for JSON.
        """
        if self._buffered >= BUFFER_MAX:
            self.dropped += 1
            return
        self._buffered += 1
        fields['kind'] = kind
        fields['at'] = round(self._clock.now(), 4)
        fields['wall'] = round(self._wall(), 3)
        self._records.append(fields)

    @property
    def full(self) -> bool:
        """Tells whether a batch should be written now."""
        return len(self._records) >= RECORDS_MAX

    def seal(self, last: bool = False) -> None:
        """Closes the current batch, even if it has no records.

        Args:
            last: Whether the node is about to stop as planned.
        """
        if self.dropped:
            self._records.append(
                {
                    'kind': 'dropped',
                    'count': self.dropped,
                    'wall': self._wall(),
                }
            )
            self.dropped = 0
        until = self._wall()
        body, digest = _chain.encode_batch(
            _chain.Batch(
                self._node,
                self._incarnation,
                self._number,
                self._previous,
                self._since,
                until,
                last,
                self._records,
            )
        )
        name = _chain.object_name(self._node, self._incarnation, self._number)
        self._sealed.append((name, body, len(self._records)))
        self._number += 1
        self._previous = digest
        self._since = until
        self._records = []

    async def write(self, store: stores.BaseObjectStore) -> bool:
        """Writes the sealed batches in order.

        Args:
            store: Object store.

        Returns:
            Whether all of them are stored.
        """
        while self._sealed:
            name, body, count = self._sealed[0]
            outcome = await store.put(name, body)
            if outcome not in (
                stores.PutOutcome.STORED,
                stores.PutOutcome.EXISTS,
            ):
                return False
            self._sealed.pop(0)
            self._buffered -= count
        return True


class RecorderTask:
    """Writes batches to the object store.

    Args:
        recorder: Recorder of the node.
        store: Object store.
    """

    def __init__(self, recorder: Recorder, store: stores.BaseObjectStore):
        self._recorder = recorder
        self._store = store
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Writes until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_EVERY_S)
            await self.flush()

    async def flush(self, last: bool = False) -> bool:
        """Seals and writes what there is.

        Args:
            last: Whether the node is about to stop as planned.

        Returns:
            Whether everything is stored.
        """
        async with self._lock:
            self._recorder.seal(last)
            stored = await self._recorder.write(self._store)
        if not stored:
            logs.event('evidence_unwritten', 'WARNING')
        return stored
