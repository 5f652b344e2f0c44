"""The platform's metadata store as a table and a feed."""

import asyncio
import base64
import binascii
import json
import urllib.parse

import aiohttp

from plantainway import errors
from plantainway.platform import _messages
from plantainway.platform import _names
from plantainway import stores

OWN_TABLE = 'plantainway'
CALL_TIMEOUT_S = 1.5  # platform_slow answers come within some 0.4 s
PAGE_ROWS = 500  # most rows the store returns at once
HISTORY_GONE = 410
CONDITION_FAILED = 412


class PlatformStore(stores.BaseTable, stores.BaseFeed):
    """Client of the platform's metadata store.

    Keys of the table interface live in a table of the project's own.

    Args:
        address: ``IP:PORT`` of the store.
        session: Client session.
    """

    def __init__(self, address: str, session: aiohttp.ClientSession):
        self._url = f'http://{address}'
        self._address = address
        self._session = session
        self.call_count = 0

    async def _call(
        self, method: str, path: str, body=None, wait_s: float = 0.0
    ) -> tuple[int, dict]:
        """Makes one call; every failure is a coded error."""
        self.call_count += 1
        step = path.partition('?')[0]
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + wait_s):
                async with self._session.request(
                    method,
                    self._url + path,
                    data=None if body is None else _messages.encode(body),
                    headers={'Content-Type': 'application/json'},
                ) as resp:
                    data = await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise errors.StoreUnavailableError(
                repr(exc)[:120], step, self._address
            )
        if resp.status not in (200, CONDITION_FAILED, HISTORY_GONE):
            raise errors.StoreUnavailableError(
                f'status {resp.status}', step, self._address
            )
        try:
            return resp.status, json.loads(data) if data else {}
        except ValueError:
            raise errors.StoreUnavailableError(
                'answer is no JSON', step, self._address
            )

    async def snapshot(self, table: str) -> stores.Reading:
        """Reads a table whole; see the base class."""
        return await self._read(table)

    async def _read(
        self, table: str, first: str = '', end: str = ''
    ) -> stores.Reading:
        rows = []
        version = None
        while True:
            query = {'table': table, 'part': '', 'limit': PAGE_ROWS}
            if first:
                query['from'] = first
            if end:
                query['to'] = end
            status, body = await self._call(
                'GET', f'{_names.GET_PATH}?{urllib.parse.urlencode(query)}'
            )
            if status != 200:
                raise errors.StoreUnavailableError(
                    f'status {status}', _names.GET_PATH, self._address
                )
            page = [self._row(item) for item in body.get('rows', ())]
            rows += page
            if version is None:
                # Pages are read one after the other: changes after the
                # first one are fetched again by the feed.
                version = int(body.get('ver', 0))
            if not body.get('morePages') or not page:
                return stores.Reading(tuple(rows), version)
            first = page[-1].key + '\0'

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> stores.Reading:
        """Returns the changes after a version; see the base class."""
        query = urllib.parse.urlencode(
            {'table': table, 'after': after, 'waitMs': int(wait_s * 1000)}
        )
        status, body = await self._call(
            'GET', f'{_names.FEED_PATH}?{query}', wait_s=wait_s
        )
        if status == HISTORY_GONE:
            raise errors.HistoryLostError(
                f'changes after {after} are gone', 'feed', self._address
            )
        rows = tuple(self._row(item) for item in body.get('rows', ()))
        return stores.Reading(rows, max(int(body.get('ver', after)), after))

    def _row(self, item: dict) -> stores.RawRow:
        value = None
        if not item.get('tombstone'):
            try:
                value = base64.b64decode(item.get('value') or '')
            except (binascii.Error, ValueError, TypeError):
                value = b''
        return stores.RawRow(
            str(item.get('key', '')), value, int(item.get('ver', 0))
        )

    async def read(self, key: str) -> stores.Row | None:
        """Reads a row of the own table; see the base class."""
        found = await self._read(OWN_TABLE, key, key + '\0')
        return _own_row(found.rows[0]) if found.rows else None

    async def scan(self, prefix: str, limit: int = 0) -> list[stores.Row]:
        """Lists rows of the own table; see the base class."""
        found = await self._read(OWN_TABLE, prefix, prefix + '\U0010ffff')
        rows = [_own_row(row) for row in found.rows]
        return rows[:limit] if limit else rows

    async def commit(self, txn: stores.Transaction) -> stores.CommitResult:
        """Applies a transaction to the own table; see the base class."""
        body = {
            'expectedRev': [
                {**_place(check.key), 'ver': check.version}
                for check in txn.checks
            ],
            'puts': [
                {
                    **_place(write.key),
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
                _place(write.key)
                for write in txn.writes
                if write.value is None
            ],
        }
        try:
            status, answer = await self._call('POST', _names.TX_PATH, body)
        except errors.StoreUnavailableError as exc:
            # A refusal says that nothing was done, but an earlier sending
            # of the same transaction may still take effect.
            return stores.CommitResult(stores.Outcome.UNKNOWN, exc.message)
        if status == CONDITION_FAILED:
            return stores.CommitResult(
                stores.Outcome.NOT_COMMITTED,
                'conflict',
                tuple(
                    str(row.get('key', '')) for row in answer.get('rows', ())
                ),
            )
        return stores.CommitResult(
            stores.Outcome.COMMITTED, version=int(answer.get('ver', 0))
        )


def _place(key: str) -> dict:
    return {'table': OWN_TABLE, 'part': '', 'key': key}


def _own_row(row: stores.RawRow) -> stores.Row:
    body = json.loads(row.value)
    return stores.Row(row.key, body['value'], row.version, body['txn'])
