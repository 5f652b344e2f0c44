"""Task that puts new revisions of the declared objects in force."""

import asyncio
import random

from plantainway import bus
from plantainway import errors
from plantainway import logs
from plantainway.objects import _revisions

HEAD_POLL_INTERVAL_S = 2.0
NOTIFIED_POLL_DELAY_S = 0.5  # delay after a peer announced a newer revision
CATCH_UP_MAX_REVISIONS = 32  # if further behind, read all objects


class ObjectsTask:
    """Puts new revisions in force at this node.

    Changes that a peer sends are applied at once; the table service is
    polled for revisions that no peer has sent.

    Args:
        store: Revision store to poll.
        parts: Shared parts of the node.
        rng: Random generator that spreads the poll times.
    """

    def __init__(self, store, parts, rng: random.Random):
        self._store = store
        self._parts = parts
        self._rng = rng
        self._inbox = parts.bus.subscribe(
            bus.DeltaReceived, bus.RevisionAnnounced
        )
        self._pending_changes: dict[int, list] = {}
        self.current = _revisions.EMPTY_REVISION
        self.head_read_at = None

    async def start(self) -> None:
        """Reads the newest revision and puts it in force.

        Raises:
            StoreUnavailableError: If the table service did not answer.
        """
        self._put_in_force(await self._store.load())
        self.head_read_at = self._parts.clock.now()

    async def run(self) -> None:
        """Puts new revisions in force until the task is cancelled."""
        poll_at = self._parts.clock.now() + HEAD_POLL_INTERVAL_S
        while True:
            remaining_s = max(poll_at - self._parts.clock.now(), 0)
            try:
                async with asyncio.timeout(remaining_s):
                    message = await self._inbox.get()
            except TimeoutError:
                await self._poll()
                poll_at = self._parts.clock.now() + HEAD_POLL_INTERVAL_S * (
                    0.5 + self._rng.random()
                )
                continue
            if isinstance(message, bus.DeltaReceived):
                delta = message.delta
                self.accept(delta.revision, delta.changes)
            elif message.number > self.current.number:
                # The peer sends the changes that it has; an early poll reads
                # the remaining ones from the table.
                early_poll_at = self._parts.clock.now() + NOTIFIED_POLL_DELAY_S
                poll_at = min(poll_at, early_poll_at)

    def accept(self, number: int, changes: list) -> None:
        """Applies the changes of a committed revision in order of number.

        Changes whose predecessors are missing are kept until those arrive;
        revisions that are already in force are ignored.

        Args:
            number: Number of the revision.
            changes: ``[kind, name, body]`` triples; a body of ``None``
                deletes the object.
        """
        if number <= self.current.number:
            return
        self._pending_changes[number] = changes
        while self.current.number + 1 in self._pending_changes:
            number = self.current.number + 1
            changes = self._pending_changes.pop(number)
            self._parts.peers.broadcast_delta(number, changes)
            self._put_in_force(
                _revisions.apply_delta(self.current, number, changes)
            )

    async def _poll(self) -> None:
        sent_at = self._parts.clock.now()
        try:
            head = await self._store.read_head()
            self.head_read_at = sent_at
            if head - self.current.number > CATCH_UP_MAX_REVISIONS:
                self._put_in_force(await self._store.load())
            for number in range(self.current.number + 1, head + 1):
                changes = await self._store.read_changes(number)
                if changes is not None:
                    self.accept(number, changes)
        except errors.StoreUnavailableError as exc:
            logs.event('head_poll_failed', 'WARNING', reason=exc.message)

    def _put_in_force(self, revision: _revisions.Revision) -> None:
        if revision.number < self.current.number:
            return
        self.current = revision
        self._pending_changes = {
            number: changes
            for number, changes in self._pending_changes.items()
            if number > revision.number
        }
        self._parts.evidence.record('in_force', revision=revision.number)
        logs.event('revision_in_force', revision=revision.number)
        self._parts.bus.publish(bus.RevisionInForce(revision))

    def dump(self) -> dict:
        """Returns the revision in force and the age of the last head in s."""
        now = self._parts.clock.now()
        age = None if self.head_read_at is None else now - self.head_read_at
        return {'revision': self.current.number, 'head_age_s': age}
