"""HTTP clients of the platform's services."""

import contextlib
import json
import urllib.parse

import aiohttp

from plantainway import errors
from plantainway import loops
from plantainway import sessions
from plantainway.stores import _stores
from plantainway.stores import _table

CALL_TIMEOUT_S = 2.0
ANSWER_BYTES_MAX = 32 << 20
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)  # calls have one of their own
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409
_HTTP_UNAVAILABLE = 503
# Errors after which the server may have received the request.
_CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


async def _read_json(resp: aiohttp.ClientResponse):
    return json.loads(await sessions.read_body(resp, ANSWER_BYTES_MAX))


class _HttpBase:
    def __init__(self, base_url: str, session: aiohttp.ClientSession):
        self._base = base_url
        self._session = session

    @contextlib.asynccontextmanager
    async def _request(self, method: str, path: str, **options):
        """Sends a request; its answer must be read within the time-out."""
        async with (
            loops.timeout(CALL_TIMEOUT_S),
            self._session.request(
                method, self._base + path, timeout=_NO_TIMEOUT, **options
            ) as resp,
        ):
            yield resp

    async def _get_json(self, path: str, step: str, **params):
        try:
            async with self._request('GET', path, params=params) as resp:
                if resp.status == _HTTP_OK:
                    return await _read_json(resp)
                if resp.status == _HTTP_NOT_FOUND:
                    raise errors.NotFoundError(path, step, self._base)
                raise errors.StoreUnavailableError(
                    f'status {resp.status}', step, self._base
                )
        except _CALL_ERRORS as exc:
            raise errors.StoreUnavailableError(repr(exc), step, self._base)


class HttpTable(_HttpBase, _table.BaseTable):
    """Client of the table service, as docs/design/interfaces.md assumes it.

    Args:
        base_url: Base URL of the service.
        session: HTTP client session.
    """

    async def read(self, key: str) -> _table.Row | None:
        """Reads a row; see the base class."""
        try:
            reply = await self._get_json('/rows', 'table_read', key=key)
        except errors.NotFoundError:
            return None
        return _parse_row(reply)

    async def scan(self, prefix: str, limit: int = 0) -> list[_table.Row]:
        """Lists rows; see the base class."""
        reply = await self._get_json(
            '/scan', 'table_scan', prefix=prefix, limit=str(limit)
        )
        return [_parse_row(item) for item in reply['rows']]

    async def commit(self, txn: _table.Transaction) -> _table.CommitResult:
        """Applies a transaction; see the base class."""
        body = {
            'txn': txn.txn_id,
            'checks': [[c.key, c.version] for c in txn.checks],
            'writes': [[w.key, w.value] for w in txn.writes],
        }
        outcome = _table.Outcome
        try:
            async with self._request('POST', '/commit', json=body) as resp:
                if resp.status == _HTTP_OK:
                    reply = await _read_json(resp)
                    return _table.CommitResult(
                        outcome.COMMITTED, version=reply['version']
                    )
                if resp.status == _HTTP_CONFLICT:
                    reply = await _read_json(resp)
                    return _table.CommitResult(
                        outcome.NOT_COMMITTED,
                        'conflict',
                        tuple(reply['conflicts']),
                    )
                if resp.status == _HTTP_UNAVAILABLE:
                    return _table.CommitResult(
                        outcome.NOT_COMMITTED, 'unavailable'
                    )
                return _table.CommitResult(
                    outcome.UNKNOWN, f'status {resp.status}'
                )
        except aiohttp.ClientConnectorError as exc:
            return _table.CommitResult(outcome.NOT_COMMITTED, repr(exc))
        except _CALL_ERRORS as exc:
            return _table.CommitResult(outcome.UNKNOWN, repr(exc))


def _parse_row(item: dict) -> _table.Row:
    return _table.Row(item['key'], item['value'], item['version'], item['txn'])


class HttpObjectStore(_HttpBase, _stores.BaseObjectStore):
    """Client of the object store over HTTP.

    Args:
        base_url: Base URL of the service.
        session: HTTP client session.
    """

    async def put(self, name: str, body: bytes) -> _stores.PutOutcome:
        """Stores a blob; see the base class."""
        outcome = _stores.PutOutcome
        try:
            async with self._request(
                'PUT',
                f'/objects/{urllib.parse.quote(name)}',
                data=body,
                headers={'If-None-Match': '*'},
            ) as resp:
                if resp.status == _HTTP_OK:
                    return outcome.STORED
                if resp.status == _HTTP_CONFLICT:
                    return outcome.EXISTS
                if resp.status == _HTTP_UNAVAILABLE:
                    return outcome.NOT_STORED
                return outcome.UNKNOWN
        except aiohttp.ClientConnectorError:
            return outcome.NOT_STORED
        except _CALL_ERRORS:
            return outcome.UNKNOWN

    async def get(self, name: str) -> bytes:
        """Reads a blob; see the base class."""
        step = 'object_get'
        try:
            async with self._request(
                'GET', f'/objects/{urllib.parse.quote(name)}'
            ) as resp:
                if resp.status == _HTTP_OK:
                    return await sessions.read_body(resp, ANSWER_BYTES_MAX)
                if resp.status == _HTTP_NOT_FOUND:
                    raise errors.NotFoundError(name, step, self._base)
                raise errors.StoreUnavailableError(
                    f'status {resp.status}', step, self._base
                )
        except _CALL_ERRORS as exc:
            raise errors.StoreUnavailableError(repr(exc), step, self._base)

    async def list_names(self, prefix: str) -> list[str]:
        """Lists blob names; see the base class."""
        reply = await self._get_json('/names', 'object_names', prefix=prefix)
        return reply['names']


class HttpVmList(_HttpBase, _stores.BaseVmList):
    """Client of the VM list over HTTP.

    Args:
        base_url: Base URL of the service.
        session: HTTP client session.
    """

    async def read(self) -> list[_stores.VmEntry]:
        """Reads the VM list; see the base class."""
        reply = await self._get_json('/vms', 'vm_list')
        return [
            _stores.VmEntry(
                item['name'],
                item['address'],
                item['place'],
                item['fabric_domain'],
                item['leaving'],
            )
            for item in reply['vms']
        ]


class HttpWeightStore(_HttpBase, _stores.BaseWeightStore):
    """Client of the weight store over HTTP.

    Args:
        base_url: Base URL of the service.
        session: HTTP client session.
    """

    async def describe(self, weights: str) -> _stores.WeightInfo:
        """Reads size and rates of weights; see the base class."""
        reply = await self._get_json(
            f'/weights/{urllib.parse.quote(weights)}', 'weights_describe'
        )
        return _stores.WeightInfo(
            weights,
            reply['size_bytes'],
            reply['rate_bytes_per_second'],
            reply['reader_bytes_per_second'],
        )
