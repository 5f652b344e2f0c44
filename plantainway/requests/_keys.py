"""Idempotency keys: non-idempotent work runs at most once.

A row ``key/EPOCH/ACCOUNT/DIGEST`` goes through ``started`` and
``answered``, or back to ``void`` if the attempt was certainly never sent.
A call is sent only after its ``started`` row was committed, and a row that
is ``started`` is never taken by another attempt.

Epochs bound how long keys are kept. The number of the epoch is a row of its
own that grows by one when it has stood unchanged for an epoch on some
node's monotonic clock; a key is looked up in the present epoch and the one
before, and rows of older ones are removed.
"""

import asyncio
import base64
import dataclasses
import hashlib

from plantainway import errors
from plantainway.requests import _group_commit
from plantainway import stores
from plantainway import upstreams

PREFIX = 'key/'
EPOCH_KEY = 'keyepoch'
EPOCH_READ_S = 60.0  # a node reads the epoch again after so long
FINISH_S = 60.0
RETRY_PAUSE_S = 0.25
ANSWER_WAIT_S = 3.0  # for the answer of an attempt in progress
STARTED = 'started'
ANSWERED = 'answered'
VOID = 'void'


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """The attempt may be sent."""

    row_key: str
    attempt: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The answer that an earlier attempt got."""

    answer: upstreams.ServiceResponse


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """Rows of a key in the present epoch and the one before."""

    keys: tuple[str, str]
    rows: tuple

    def newest(self):
        """Returns the row that counts, ``None`` if the key is unused."""
        for row in self.rows:
            if row is not None and row.value['state'] != VOID:
                return row
        return None

    def checks(self) -> tuple:
        """Returns checks that both rows are still as they were read."""
        return tuple(
            stores.Check(key, row.version if row else stores.ABSENT)
            for key, row in zip(self.keys, self.rows, strict=True)
        )


def _digest(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def epoch_prefix(epoch: int) -> str:
    """Returns the start of the keys of an epoch's rows.

    Args:
        epoch: Number of the epoch.
    """
    return f'{PREFIX}{epoch:08d}/'


class IdempotencyKeyStore:
    """Rows of idempotency keys.

    Args:
        table: Table service.
        clock: Source of monotonic time.
        node: Name of the own node.
    """

    def __init__(self, table: stores.BaseTable, clock, node: str):
        self._table = table
        self._clock = clock
        self._node = node
        self._epoch = 0
        self._epoch_until = 0.0
        self.committer = _group_commit.GroupCommitter(table, clock)
        self.background: set[asyncio.Task] = set()

    def _in_background(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _read(self, account: str, key: str) -> _Held:
        if self._clock.now() >= self._epoch_until:
            read_at = self._clock.now()
            row = await self._table.read(EPOCH_KEY)
            self._epoch = row.value['epoch'] if row else 0
            self._epoch_until = read_at + EPOCH_READ_S
        name = f'{account}/{_digest(key.encode())}'
        keys = tuple(
            epoch_prefix(epoch) + name
            for epoch in (self._epoch, self._epoch - 1)
        )
        rows = await asyncio.gather(*map(self._table.read, keys))
        return _Held(keys, tuple(rows))

    async def begin(
        self, account: str, key: str, request: bytes, attempt: str
    ) -> Begun | Replay:
        """Records that an attempt is about to be sent.

        Args:
            account: Account of the caller.
            key: Idempotency key.
            request: Bytes that identify the request, body included.
            attempt: Id of the attempt.

        Returns:
            Leave to send, or the answer of an earlier attempt.

        Raises:
            KeyReusedError: If the key belongs to another request.
            OutcomeUnknownError: If an earlier attempt is in doubt.
            NotRunError: If the attempt could not be recorded.
        """
        body = _digest(request)
        try:
            held = await self._read(account, key)
            if held.newest() is not None:
                return await self._earlier(account, key, body, held)
            result = await self.committer.put(
                held.keys[0],
                held.checks(),
                {
                    'state': STARTED,
                    'attempt': attempt,
                    'node': self._node,
                    'body': body,
                },
            )
            if result.outcome is stores.Outcome.COMMITTED:
                return Begun(held.keys[0], attempt, result.version)
            if result.outcome is stores.Outcome.UNKNOWN:
                self._in_background(self.void(held.keys[0], attempt))
            elif result.reason == 'conflict':
                held = await self._read(account, key)
                if held.newest() is not None:
                    return await self._earlier(account, key, body, held)
        except errors.StoreUnavailableError as exc:
            raise errors.NotRunError(exc.message, 'record', reason='store')
        raise errors.NotRunError(
            f'the key could not be recorded: {result.reason}',
            'record',
            reason='store',
        )

    async def _earlier(self, account, key, body, held) -> Replay:
        """Returns the answer of an earlier attempt, waiting if need be."""
        deadline = self._clock.now() + ANSWER_WAIT_S
        while True:
            row = held.newest()
            if row is not None and row.value['body'] != body:
                raise errors.KeyReusedError(
                    'the key was used with another request', 'record'
                )
            if row is not None and row.value['state'] == ANSWERED:
                return _replay(row.value['answer'])
            if row is None or self._clock.now() >= deadline:
                raise errors.OutcomeUnknownError(
                    'an earlier attempt has no recorded answer',
                    'record',
                    key=key,
                )
            await asyncio.sleep(RETRY_PAUSE_S)
            held = await self._read(account, key)

    async def finish(self, begun: Begun, request: bytes, answer) -> bool:
        """Keeps the answer of an attempt.

        Args:
            begun: The attempt.
            request: Bytes that identify the request.
            answer: Answer of the service.

        Returns:
            Whether the answer was kept before the deadline.
        """
        value = {
            'state': ANSWERED,
            'attempt': begun.attempt,
            'node': self._node,
            'body': _digest(request),
            'answer': {
                'status': answer.status,
                'content_type': answer.content_type,
                'body': base64.b64encode(answer.body).decode(),
            },
        }
        deadline = self._clock.now() + FINISH_S
        check = stores.Check(begun.row_key, begun.version)
        while self._clock.now() < deadline:
            result = await self.committer.put(begun.row_key, (check,), value)
            if result.outcome is stores.Outcome.COMMITTED:
                return True
            if result.reason == 'conflict':
                return False
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def void(self, row_key: str, attempt: str) -> bool:
        """Marks an attempt that was certainly never sent.

        Writes the row even if it is absent, so that a creation still on
        its way can't take effect any more.

        Args:
            row_key: Key of the row.
            attempt: Id of the attempt.

        Returns:
            Whether it was marked before the deadline.
        """
        deadline = self._clock.now() + FINISH_S
        while self._clock.now() < deadline:
            try:
                row = await self._table.read(row_key)
            except errors.StoreUnavailableError:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if row is not None and (
                row.value['attempt'] != attempt
                or row.value['state'] != STARTED
            ):
                return True
            version = row.version if row else stores.ABSENT
            result = await self.committer.put(
                row_key,
                (stores.Check(row_key, version),),
                {'state': VOID, 'attempt': attempt, 'node': self._node},
            )
            if result.outcome is stores.Outcome.COMMITTED:
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False


def _replay(answer: dict) -> Replay:
    return Replay(
        upstreams.ServiceResponse(
            answer['status'],
            answer['content_type'],
            base64.b64decode(answer['body']),
        )
    )
