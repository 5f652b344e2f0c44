"""Keeps the newest revision in force at a node."""

import asyncio
import random

from plantainway import bus
from plantainway import errors
from plantainway import logs
from plantainway.objects import _revisions

HEAD_POLL_S = 2.0
NOTICED_POLL_S = 0.5  # after a peer told of a newer revision
CATCH_UP_MAX = 32  # beyond this many revisions the whole set is read


class ObjectsTask:
    """Applies revisions from peers at once and from the table by polls.

    Args:
        store: Revision store.
        parts: Shared parts of the node.
        rng: Source of randomness for the poll times.
    """

    def __init__(self, store, parts, rng: random.Random):
        self._store = store
        self._parts = parts
        self._rng = rng
        self._inbox = parts.bus.subscribe(
            bus.DeltaReceived, bus.RevisionAnnounced
        )
        self._early: dict[int, list] = {}
        self.current = _revisions.EMPTY
        self.head_read_at = None

    async def start(self) -> None:
        """Reads the newest revision.

        Raises:
            StoreUnavailableError: If the table gave no answer.
        """
        self._set(await self._store.load())
        self.head_read_at = self._parts.clock.now()

    async def run(self) -> None:
        """Follows the revisions until cancelled."""
        poll_at = self._parts.clock.now() + HEAD_POLL_S
        while True:
            left_s = max(poll_at - self._parts.clock.now(), 0)
            try:
                async with asyncio.timeout(left_s):
                    message = await self._inbox.get()
            except TimeoutError:
                await self._poll()
                poll_at = self._parts.clock.now() + HEAD_POLL_S * (
                    0.5 + self._rng.random()
                )
                continue
            if isinstance(message, bus.DeltaReceived):
                delta = message.delta
                self.accept(delta.revision, delta.changes)
            elif message.number > self.current.number:
                # The peer sends what it has; the table has the rest.
                soon = self._parts.clock.now() + NOTICED_POLL_S
                poll_at = min(poll_at, soon)

    def accept(self, number: int, changes: list) -> None:
        """Takes in the changes of a revision that was committed.

        Args:
            number: Number of the revision.
            changes: ``[kind, name, body or None]`` triples.
        """
        if number <= self.current.number:
            return
        self._early[number] = changes
        while self.current.number + 1 in self._early:
            number = self.current.number + 1
            changes = self._early.pop(number)
            self._parts.peers.add_delta(number, changes)
            self._set(_revisions.apply_delta(self.current, number, changes))

    async def _poll(self) -> None:
        sent_at = self._parts.clock.now()
        try:
            head = await self._store.head()
            self.head_read_at = sent_at
            if head - self.current.number > CATCH_UP_MAX:
                self._set(await self._store.load())
            for number in range(self.current.number + 1, head + 1):
                changes = await self._store.changes_of(number)
                if changes is not None:
                    self.accept(number, changes)
        except errors.StoreUnavailableError as exc:
            logs.event('head_poll_failed', 'WARNING', reason=exc.message)

    def _set(self, revision: _revisions.Revision) -> None:
        if revision.number < self.current.number:
            return
        self.current = revision
        self._early = {
            number: changes
            for number, changes in self._early.items()
            if number > revision.number
        }
        self._parts.evidence.record('in_force', revision=revision.number)
        logs.event('revision_in_force', revision=revision.number)
        self._parts.bus.publish(bus.RevisionInForce(revision))

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        now = self._parts.clock.now()
        age = None if self.head_read_at is None else now - self.head_read_at
        return {'revision': self.current.number, 'head_age_s': age}
