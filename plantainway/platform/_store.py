"""Client of the platform's metadata store: tables, feeds, transactions."""

import asyncio
import base64
import binascii
import json
import urllib.parse

import aiohttp

from plantainway import errors
from plantainway import logs
from plantainway import loops
from plantainway.platform import _messages
from plantainway.platform import _names
from plantainway import stores

PROJECT_TABLE = 'plantainway'
ROW_KEY_CHARS_LOGGED = 40
CALL_TIMEOUT_S = 1.5  # answers of a slow store take about 0.4 s
# Of the body of an answer that keeps arriving: a configuration of some
# thousand routes over the slowest link, in use by others.
BODY_TIMEOUT_S = 6.0
# Of an answer: the feed returns all changes of the history, which is 20 s of
# the entries of some hundred runners.
ANSWER_BYTES_MAX = 32 << 20
MAX_PAGE_ROWS = 500  # the store returns no more at once
STATUS_HISTORY_LOST = 410
STATUS_PRECONDITION_FAILED = 412
# Versions of the project hold the store's era above this bit, so that they
# grow even when the store gives out a version again.
ERA_SHIFT = 44
ERA_UNKNOWN = -1


class PlatformStore(stores.BaseTable, stores.BaseFeed):
    """Client of the platform's metadata store.

    ``read``, ``scan`` and ``commit`` use a table of the project's own;
    ``snapshot`` and ``changes`` read any table.

    Args:
        address: ``IP:PORT`` of the store.
        session: HTTP session.

    Attributes:
        call_count: Number of HTTP calls made so far.
        era: Era of the store, which rises whenever it comes back from a copy,
            as its last answer says; ``ERA_UNKNOWN`` before the first.
    """

    def __init__(self, address: str, session: aiohttp.ClientSession):
        self._url = f'http://{address}'
        self._address = address
        self._session = session
        self.call_count = 0
        self.era = self._first_era = ERA_UNKNOWN

    @property
    def restore_count(self) -> int:
        """Returns how often the store was restored; see the base class."""
        return self.era - self._first_era

    async def _call(
        self, method: str, path: str, body=None, wait_s: float = 0.0
    ) -> tuple[int, dict]:
        """Makes one HTTP call.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Contents of the request's JSON body, ``None`` for no body.
            wait_s: Time in seconds for which the store may hold the call; it
                extends the timeout.

        Returns:
            The HTTP status and the decoded JSON body.

        Raises:
            StoreUnavailableError: If no valid response arrives in time, or
                its status is none that the protocol defines.
        """
        self.call_count += 1
        step = path.partition('?')[0]
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(None) as scope:
                timer = loops.ListeningTimer(
                    lambda: scope.reschedule(loop.time())
                )
                timer.arm(CALL_TIMEOUT_S + wait_s)
                try:
                    async with self._session.request(
                        method,
                        self._url + path,
                        data=None if body is None else _messages.encode(body),
                        headers={'Content-Type': 'application/json'},
                    ) as resp:
                        data = await self._read_body(resp, timer)
                finally:
                    timer.disarm()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise errors.StoreUnavailableError(
                repr(exc)[:120], step, self._address
            )
        self._record_era(resp, step)
        if resp.status not in (
            200,
            STATUS_PRECONDITION_FAILED,
            STATUS_HISTORY_LOST,
        ):
            raise errors.StoreUnavailableError(
                f'status {resp.status}', step, self._address
            )
        try:
            return resp.status, json.loads(data) if data else {}
        except ValueError:
            raise errors.StoreUnavailableError(
                'response body is not JSON', step, self._address
            )

    def _record_era(self, resp, step: str) -> None:
        """Records the era of an answer, 0 where the store names none.

        Raises:
            StoreUnavailableError: If the answer is from an earlier era.
        """
        text = resp.headers.get(_names.STORE_ERA, '')
        if not text and resp.status != 200:
            return  # refused by something in between, perhaps
        era = int(text) if text.isdecimal() else 0
        if self.era == ERA_UNKNOWN:
            self._first_era = era
        if era < self.era:
            raise errors.StoreUnavailableError(
                f'answer of era {era} after one of era {self.era}',
                step,
                self._address,
            )
        if self.era not in (ERA_UNKNOWN, era):
            logs.event('store_restored', era=era, before=self.era, step=step)
        self.era = era

    def _version(self, version) -> int:
        """Returns a version of the store's current era as one of its own."""
        return (self.era << ERA_SHIFT) + int(version)

    def _ensure_same_era(
        self, version: int, step: str, took_effect: bool = False
    ) -> None:
        """Raises an error if a version is from an earlier era.

        Raises:
            StoreRestoredError: With ``took_effect`` as given.
        """
        is_known = self.era != ERA_UNKNOWN and version != stores.ABSENT
        if is_known and version >> ERA_SHIFT != self.era:
            raise errors.StoreRestoredError(
                f'version of era {version >> ERA_SHIFT} in era {self.era}',
                step,
                self._address,
                took_effect,
            )

    async def _read_body(self, resp, timer) -> bytes:
        """Reads a body, and extends the timeout as long as it arrives.

        Args:
            resp: HTTP response whose headers have arrived.
            timer: Timer of the call.

        Raises:
            aiohttp.ClientPayloadError: If the body is too long or truncated.
            TimeoutError: If it takes longer than ``BODY_TIMEOUT_S``.
        """
        parts = []
        size = 0
        async with loops.timeout(BODY_TIMEOUT_S):
            while data := await resp.content.readany():
                size += len(data)
                if size > ANSWER_BYTES_MAX:
                    raise aiohttp.ClientPayloadError(
                        f'body exceeds {ANSWER_BYTES_MAX} bytes'
                    )
                parts.append(data)
                timer.arm(CALL_TIMEOUT_S)
        return b''.join(parts)

    async def snapshot(self, table: str) -> stores.RowBatch:
        """Returns all rows of a table; see the base class."""
        return await self._read(table)

    async def _read(
        self, table: str, first: str = '', end: str = ''
    ) -> stores.RowBatch:
        rows = []
        version = None
        step = _names.GET_PATH
        while True:
            query = {'table': table, 'part': '', 'limit': MAX_PAGE_ROWS}
            if first:
                query['from'] = first
            if end:
                query['to'] = end
            status, body = await self._call(
                'GET', f'{_names.GET_PATH}?{urllib.parse.urlencode(query)}'
            )
            if status != 200:
                raise errors.StoreUnavailableError(
                    f'status {status}', step, self._address
                )
            if version is not None and version >> ERA_SHIFT != self.era:
                raise errors.StoreUnavailableError(
                    'restored between two pages', step, self._address
                )
            page = [
                self._decode_raw_row(item) for item in body.get('rows', ())
            ]
            rows += page
            if version is None:
                # The pages are read at different versions. The version of
                # the first one is returned, so that the feed repeats each
                # change made since then.
                version = self._version(body.get('ver', 0))
            if not body.get('morePages') or not page:
                return stores.RowBatch(tuple(rows), version)
            first = page[-1].key + '\0'

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> stores.RowBatch:
        """Returns the changes made after a version; see the base class."""
        query = urllib.parse.urlencode(
            {
                'table': table,
                'after': after & ((1 << ERA_SHIFT) - 1),
                'waitMs': int(wait_s * 1000),
            }
        )
        status, body = await self._call(
            'GET', f'{_names.FEED_PATH}?{query}', wait_s=wait_s
        )
        self._ensure_same_era(after, _names.FEED_PATH)
        if status == STATUS_HISTORY_LOST:
            raise errors.HistoryLostError(
                f'changes after version {after} are no longer stored',
                'feed',
                self._address,
            )
        rows = tuple(
            self._decode_raw_row(item) for item in body.get('rows', ())
        )
        version = self._version(body.get('ver', 0))
        return stores.RowBatch(rows, max(version, after))

    def _decode_raw_row(self, item: dict) -> stores.RawRow:
        value = None
        if not item.get('tombstone'):
            try:
                value = base64.b64decode(item.get('value') or '')
            except (binascii.Error, ValueError, TypeError):
                value = b''
        return stores.RawRow(
            str(item.get('key', '')), value, self._version(item.get('ver', 0))
        )

    async def read(self, key: str) -> stores.Row | None:
        """Returns a row of the project's table; see the base class."""
        reading = await self._read(PROJECT_TABLE, key, key + '\0')
        return _decode_row(reading.rows[0]) if reading.rows else None

    async def scan(self, prefix: str, limit: int = 0) -> list[stores.Row]:
        """Returns rows of the project's table; see the base class."""
        reading = await self._read(
            PROJECT_TABLE, prefix, prefix + '\U0010ffff'
        )
        rows = [_decode_row(row) for row in reading.rows]
        return rows[:limit] if limit else rows

    async def commit(self, txn: stores.Transaction) -> stores.CommitResult:
        """Commits a transaction to the project's table; see the base class."""
        for check in txn.checks:
            self._ensure_same_era(check.version, _names.TRANSACTION_PATH)
        body = {
            'expectedRev': [
                {
                    **_row_address(check.key),
                    'ver': check.version & ((1 << ERA_SHIFT) - 1),
                }
                for check in txn.checks
            ],
            'puts': [
                {
                    **_row_address(write.key),
                    'value': base64.b64encode(
                        _messages.encode(
                            {'txn': txn.txn_id, 'value': write.value}
                        )
                    ).decode(),
                }
                for write in txn.writes
                if write.value is not None
            ],
            'remove': [
                _row_address(write.key)
                for write in txn.writes
                if write.value is None
            ],
        }
        try:
            status, answer = await self._call(
                'POST', _names.TRANSACTION_PATH, body
            )
        except errors.StoreUnavailableError as exc:
            # Even if the store refused this call, an earlier attempt to
            # commit the same transaction may still take effect.
            return stores.CommitResult(stores.Outcome.UNKNOWN, exc.message)
        for check in txn.checks:
            # A version that was given out again may have met the condition.
            self._ensure_same_era(
                check.version, _names.TRANSACTION_PATH, status == 200
            )
        if status == STATUS_PRECONDITION_FAILED:
            return stores.CommitResult(
                stores.Outcome.NOT_COMMITTED,
                'conflict',
                tuple(
                    str(row.get('key', '')) for row in answer.get('rows', ())
                ),
            )
        return stores.CommitResult(
            stores.Outcome.COMMITTED,
            version=self._version(answer.get('ver', 0)),
        )


def is_lost_evacuation(key: str, known_version: int, version: int) -> bool:
    """Returns whether an evacuation was lost when the store was restored.

    The operator, who was told that the row is stored, has not removed it. A
    row of the store's current era that is missing was removed.

    Args:
        key: Key of a row in the configuration table.
        known_version: Version of the row as this node knows it.
        version: Version of a snapshot that lacks the row.
    """
    return (
        _messages.evacuated_zone(key) is not None
        and known_version >> ERA_SHIFT < version >> ERA_SHIFT
    )


def _row_address(key: str) -> dict:
    return {'table': PROJECT_TABLE, 'part': '', 'key': key}


def _decode_row(row: stores.RawRow) -> stores.Row:
    """Returns a row of the project's table; without a value if unreadable.

    Other writers of the table are not ruled out.
    """
    try:
        body = json.loads(row.value)
        return stores.Row(
            row.key, body['value'], row.version, str(body['txn'])
        )
    except (ValueError, TypeError, KeyError) as exc:
        logs.event(
            'row_unreadable',
            'WARNING',
            key=row.key[:ROW_KEY_CHARS_LOGGED],
            row_version=row.version,
            reason=repr(exc)[:100],
        )
        return stores.Row(row.key, None, row.version, '')
