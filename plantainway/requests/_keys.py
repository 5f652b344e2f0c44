"""Idempotency keys: a non-idempotent call runs at most once.

The state of a row ``key/EPOCH/ACCOUNT/DIGEST`` is first ``started``, then
``answered``, or ``void`` if the attempt was certainly never sent. A call is
sent only after its ``started`` row was committed, and no other attempt may
overwrite a ``started`` row.

Epochs bound how long keys are kept. The number of the current epoch is
stored in a row of its own. It is incremented when some node has seen it
unchanged for the length of an epoch by its monotonic clock. A key is looked
up in the current and the previous epoch; rows of older epochs are removed.
"""

import asyncio
import base64
import dataclasses
import hashlib

from plantainway import errors
from plantainway.requests import _group_commit
from plantainway import stores
from plantainway import upstreams

ROW_PREFIX = 'key/'
EPOCH_ROW_KEY = 'keyepoch'
EPOCH_CACHE_S = 60.0  # a node reads the epoch row again after this time
WRITE_TIMEOUT_S = 60.0  # to record an answer, or that none will come
RETRY_DELAY_S = 0.25
ANSWER_WAIT_S = 3.0  # longest wait for the answer of an earlier attempt
STARTED = 'started'
ANSWERED = 'answered'
VOID = 'void'


@dataclasses.dataclass(frozen=True, slots=True)
class StartedAttempt:
    """An attempt whose ``started`` row is committed; it may be sent.

    ``version`` is that of the row.
    """

    row_key: str
    attempt: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The recorded answer of an earlier attempt with the same key."""

    answer: upstreams.ServiceResponse


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyRows:
    """Rows of a key in the current and the previous epoch, in this order."""

    keys: tuple[str, str]
    rows: tuple

    def active_row(self):
        """Returns the first row that is not void, or ``None``."""
        for row in self.rows:
            if row is not None and row.value['state'] != VOID:
                return row
        return None

    def unchanged_checks(self) -> tuple:
        """Returns checks that both rows still have the versions read."""
        return tuple(
            stores.Check(key, row.version if row else stores.ABSENT)
            for key, row in zip(self.keys, self.rows, strict=True)
        )


def _digest(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def epoch_prefix(epoch: int) -> str:
    """Returns the prefix of the row keys of an epoch.

    Args:
        epoch: Number of the epoch.
    """
    return f'{ROW_PREFIX}{epoch:08d}/'


class IdempotencyKeyStore:
    """Records attempts and answers by idempotency key in the table.

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
        self._epoch_expires_at = 0.0
        self.committer = _group_commit.GroupCommitter(table, clock)
        self.background: set[asyncio.Task] = set()

    def _in_background(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _read_rows(self, account: str, key: str) -> _KeyRows:
        if self._clock.now() >= self._epoch_expires_at:
            read_at = self._clock.now()
            row = await self._table.read(EPOCH_ROW_KEY)
            self._epoch = row.value['epoch'] if row else 0
            self._epoch_expires_at = read_at + EPOCH_CACHE_S
        name = f'{account}/{_digest(key.encode())}'
        keys = tuple(
            epoch_prefix(epoch) + name
            for epoch in (self._epoch, self._epoch - 1)
        )
        rows = await asyncio.gather(*map(self._table.read, keys))
        return _KeyRows(keys, tuple(rows))

    async def start_attempt(
        self, account: str, key: str, request_identity: bytes, attempt: str
    ) -> StartedAttempt | Replay:
        """Records that an attempt is about to be sent.

        If the key has an earlier attempt in progress, waits a short time
        for its answer. If it is unknown whether the attempt was recorded,
        marks its row as void in the background.

        Args:
            account: Account of the caller.
            key: Idempotency key.
            request_identity: Bytes that identify the request, body included.
            attempt: Id of the attempt.

        Returns:
            The started attempt, which may be sent, or the answer of an
            earlier attempt, which replaces it.

        Raises:
            KeyReusedError: If the key was used with another request.
            OutcomeUnknownError: If an earlier attempt may have run and has
                no recorded answer.
            NotRunError: If the attempt could not be recorded, or the table
                gave no answer. An earlier attempt with the key may still have
                run.
        """
        request_digest = _digest(request_identity)
        try:
            key_rows = await self._read_rows(account, key)
            if key_rows.active_row() is not None:
                return await self._wait_for_answer(
                    account, key, request_digest, key_rows
                )
            result = await self.committer.put(
                key_rows.keys[0],
                key_rows.unchanged_checks(),
                {
                    'state': STARTED,
                    'attempt': attempt,
                    'node': self._node,
                    'body': request_digest,
                },
            )
            if result.outcome is stores.Outcome.COMMITTED:
                return StartedAttempt(
                    key_rows.keys[0], attempt, result.version
                )
            if result.outcome is stores.Outcome.UNKNOWN:
                self._in_background(self.mark_void(key_rows.keys[0], attempt))
            elif result.reason == 'conflict':
                key_rows = await self._read_rows(account, key)
                if key_rows.active_row() is not None:
                    return await self._wait_for_answer(
                        account, key, request_digest, key_rows
                    )
        except errors.StoreUnavailableError as exc:
            raise errors.NotRunError(exc.message, 'record', reason='store')
        raise errors.NotRunError(
            f'the idempotency key could not be recorded: {result.reason}',
            'record',
            reason='store',
        )

    async def _wait_for_answer(
        self, account, key, request_digest, key_rows
    ) -> Replay:
        """Returns the answer of an earlier attempt, waiting if necessary."""
        read_at = self._clock.now()
        deadline = read_at + ANSWER_WAIT_S
        while True:
            row = key_rows.active_row()
            if row is not None and row.value['body'] != request_digest:
                raise errors.KeyReusedError(
                    'the idempotency key was used with another request',
                    'record',
                )
            if row is not None and row.value['state'] == ANSWERED:
                return _replay(row.value['answer'])
            if row is None or read_at >= deadline:
                raise errors.OutcomeUnknownError(
                    'an earlier attempt with this key has no recorded answer',
                    'record',
                    key=key,
                )
            await asyncio.sleep(RETRY_DELAY_S)
            read_at = self._clock.now()
            key_rows = await self._read_rows(account, key)

    async def record_answer(
        self, started: StartedAttempt, request_identity: bytes, answer
    ) -> bool:
        """Records the answer of an attempt, retrying for a while.

        Args:
            started: The attempt.
            request_identity: Bytes that identify the request.
            answer: Answer of the service.

        Returns:
            Whether the answer was recorded; False if the row was changed
            or the table did not accept it within ``WRITE_TIMEOUT_S``.
        """
        value = {
            'state': ANSWERED,
            'attempt': started.attempt,
            'node': self._node,
            'body': _digest(request_identity),
            'answer': {
                'status': answer.status,
                'content_type': answer.content_type,
                'body': base64.b64encode(answer.body).decode(),
            },
        }
        deadline = self._clock.now() + WRITE_TIMEOUT_S
        check = stores.Check(started.row_key, started.version)
        while self._clock.now() < deadline:
            result = await self.committer.put(started.row_key, (check,), value)
            if result.outcome is stores.Outcome.COMMITTED:
                return True
            if result.reason == 'conflict':
                return False
            await asyncio.sleep(RETRY_DELAY_S)
        return False

    async def mark_void(self, row_key: str, attempt: str) -> bool:
        """Marks the row of an attempt that was certainly never sent as void.

        The row is written even if it is absent, so that a delayed write of
        its ``started`` state fails its check and has no effect.

        Args:
            row_key: Key of the row.
            attempt: Id of the attempt.

        Returns:
            Whether the row stopped being ``started`` by this attempt
            within ``WRITE_TIMEOUT_S``.
        """
        deadline = self._clock.now() + WRITE_TIMEOUT_S
        while self._clock.now() < deadline:
            try:
                row = await self._table.read(row_key)
            except errors.StoreUnavailableError:
                await asyncio.sleep(RETRY_DELAY_S)
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
            await asyncio.sleep(RETRY_DELAY_S)
        return False


def _replay(answer: dict) -> Replay:
    return Replay(
        upstreams.ServiceResponse(
            answer['status'],
            answer['content_type'],
            base64.b64decode(answer['body']),
        )
    )
