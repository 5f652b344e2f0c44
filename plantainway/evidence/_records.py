"""Recording of evidence at a node."""

import asyncio
import time

from plantainway.evidence import _chain
from plantainway import logs
from plantainway import stores

FLUSH_PERIOD_S = 2.0
BATCH_MAX_RECORDS = 5000  # a batch of so many should be written at once
BUFFER_MAX_RECORDS = 200000  # kept while the object store does not answer


class Recorder:
    """Collects the records of one node incarnation in chained batches.

    Once ``BUFFER_MAX_RECORDS`` are unwritten, further records are dropped; the
    next batch states how many.

    Args:
        node: Name of the node.
        incarnation: Its incarnation.
        clock: Source of monotonic time.
        wall_clock: Function that returns seconds since 1970.
    """

    def __init__(self, node, incarnation, clock, wall_clock=time.time):
        self._node = node
        self._incarnation = incarnation
        self._clock = clock
        self._wall_clock = wall_clock
        self._batch_since = wall_clock()
        self._batch_number = 1
        self._previous_digest = _chain.INITIAL_DIGEST
        self._records: list[dict] = []
        self._sealed: list[tuple[str, bytes]] = []
        self._buffered_count = 0
        self.dropped_count = 0

    def record(self, kind: str, **fields) -> None:
        """Adds one record to the current batch, or drops it.

        The record is dropped and counted while the buffer is full.

        Args:
            kind: Kind of the record.
            fields: Fields of the record, serializable as JSON.
        """
        if self._buffered_count >= BUFFER_MAX_RECORDS:
            self.dropped_count += 1
            return
        self._buffered_count += 1
        fields['kind'] = kind
        fields['at'] = round(self._clock.now(), 4)
        fields['wall'] = round(self._wall_clock(), 3)
        self._records.append(fields)

    @property
    def is_full(self) -> bool:
        """Whether the current batch has ``BATCH_MAX_RECORDS`` or more."""
        return len(self._records) >= BATCH_MAX_RECORDS

    def seal(self, last: bool = False) -> None:
        """Closes the current batch, even an empty one, and queues it.

        ``write`` stores the queued batches.

        Args:
            last: Whether this is the final batch of a planned stop.
        """
        if self.dropped_count:
            self._records.append(
                {
                    'kind': 'dropped',
                    'count': self.dropped_count,
                    'wall': self._wall_clock(),
                }
            )
            self.dropped_count = 0
        until = self._wall_clock()
        body, digest = _chain.encode_batch(
            _chain.Batch(
                self._node,
                self._incarnation,
                self._batch_number,
                self._previous_digest,
                self._batch_since,
                until,
                last,
                self._records,
            )
        )
        name = _chain.object_name(
            self._node, self._incarnation, self._batch_number
        )
        self._sealed.append((name, body, len(self._records)))
        self._batch_number += 1
        self._previous_digest = digest
        self._batch_since = until
        self._records = []

    async def write(self, store: stores.BaseObjectStore) -> bool:
        """Writes the sealed batches in order.

        Stops at the first batch that the store does not confirm; it stays
        queued for the next call.

        Args:
            store: Object store.

        Returns:
            Whether all sealed batches are stored.
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
            self._buffered_count -= count
        return True


class RecorderTask:
    """Writes the batches of a recorder periodically.

    Args:
        recorder: Recorder of the node.
        store: Object store.
    """

    def __init__(self, recorder: Recorder, store: stores.BaseObjectStore):
        self._recorder = recorder
        self._store = store
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Flushes every ``FLUSH_PERIOD_S`` until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            await self.flush()

    async def flush(self, last: bool = False) -> bool:
        """Seals the current batch and writes all sealed batches.

        Args:
            last: Whether this is the final batch of a planned stop.

        Returns:
            Whether all batches are stored.
        """
        async with self._lock:
            self._recorder.seal(last)
            stored = await self._recorder.write(self._store)
        if not stored:
            logs.event('evidence_unwritten', 'WARNING')
        return stored
