"""Idempotency keys: non-idempotent work runs at most once.

A row ``key/ACCOUNT/DIGEST`` goes through ``started`` and ``answered``, or
back to ``void`` if the attempt was certainly never sent. A call is sent
only after its ``started`` row was committed, and a row that is ``started``
is never taken by another attempt.
"""

import asyncio
import base64
import dataclasses
import hashlib

from plantainway import errors
from plantainway import platform
from plantainway import upstreams

PREFIX = 'key/'
BEGIN_S = 3.0
FINISH_S = 60.0
RETRY_PAUSE_S = 0.25
KEY_MAX_CHARS = 255


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """The attempt may be sent."""

    row_key: str
    attempt: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The answer that an earlier attempt got."""

    answer: upstreams.ServiceAnswer


def _digest(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=16).hexdigest()


class KeyStore:
    """Rows of idempotency keys.

    Args:
        table: Table service.
        clock: Source of monotonic time.
        node: Name of the own node.
    """

    def __init__(self, table: platform.BaseTable, clock, node: str):
        self._table = table
        self._clock = clock
        self._node = node

    def row_key(self, account: str, key: str) -> str:
        """Returns the key of the row of an idempotency key.

        Args:
            account: Account of the caller.
            key: Idempotency key.
        """
        return f'{PREFIX}{account}/{_digest(key.encode())}'

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
        row_key = self.row_key(account, key)
        try:
            row = await self._table.read(row_key)
        except errors.StoreUnavailableError as exc:
            raise errors.NotRunError(exc.message, 'record', reason='store')
        body = _digest(request)
        if row is not None and row.value['state'] != 'void':
            return self._judge_held(row, body, key)
        version = row.version if row else platform.ABSENT
        value = {
            'state': 'started',
            'attempt': attempt,
            'node': self._node,
            'body': body,
        }
        result = await self._put(row_key, version, value, BEGIN_S)
        if result.outcome is platform.Outcome.COMMITTED:
            return Begun(row_key, attempt, result.version)
        if result.outcome is platform.Outcome.UNKNOWN:
            asyncio.ensure_future(self.void(row_key, attempt))
        elif result.reason == 'conflict':
            raise errors.OutcomeUnknownError(
                'another attempt with this key is in progress',
                'record',
                key=key,
            )
        raise errors.NotRunError(
            f'the key could not be recorded: {result.reason}',
            'record',
            reason='store',
        )

    def _judge_held(self, row, body: str, key: str) -> Replay:
        if row.value['body'] != body:
            raise errors.KeyReusedError(
                'the key was used with another request', 'record'
            )
        if row.value['state'] == 'answered':
            answer = row.value['answer']
            return Replay(
                upstreams.ServiceAnswer(
                    answer['status'],
                    answer['content_type'],
                    base64.b64decode(answer['body']),
                )
            )
        raise errors.OutcomeUnknownError(
            'an earlier attempt has no recorded answer', 'record', key=key
        )

    async def finish(
        self, begun: Begun, account: str, request: bytes, answer
    ) -> bool:
        """Keeps the answer of an attempt.

        Args:
            begun: The attempt.
            account: Account of the caller.
            request: Bytes that identify the request.
            answer: Answer of the service.

        Returns:
            Whether the answer was kept before the deadline.
        """
        value = {
            'state': 'answered',
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
        while self._clock.now() < deadline:
            result = await self._put(
                begun.row_key, begun.version, value, FINISH_S
            )
            if result.outcome is platform.Outcome.COMMITTED:
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
            if row is not None and row.value.get('attempt') != attempt:
                return True
            if row is not None and row.value['state'] != 'started':
                return True
            result = await self._put(
                row_key,
                row.version if row else platform.ABSENT,
                {'state': 'void', 'attempt': attempt, 'node': self._node},
                BEGIN_S,
            )
            if result.outcome is platform.Outcome.COMMITTED:
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def _put(self, row_key, version, value, settle_s):
        return await platform.commit_settled(
            self._table,
            platform.Transaction(
                platform.new_txn_id(),
                (platform.Check(row_key, version),),
                (platform.Write(row_key, value),),
            ),
            row_key,
            self._clock,
            self._clock.now() + settle_s,
        )
