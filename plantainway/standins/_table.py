"""Table service in memory, and its HTTP routes."""

import bisect

from aiohttp import web

from plantainway import errors
from plantainway.standins import _faults
from plantainway.standins import _server
from plantainway import stores


class MemoryTable(stores.BaseTable):
    """Table service in memory, with fault injection.

    Args:
        faults: Faults to inject; none by default.
    """

    def __init__(self, faults: _faults.InjectedFaults | None = None):
        self.faults = faults or _faults.InjectedFaults()
        self.reads = 0
        self.commits = 0
        self.writes = 0
        self._rows: dict[str, stores.Row] = {}
        self._keys: list[str] = []
        self._version = 0

    def rows(self) -> dict[str, stores.Row]:
        """Returns all rows by key; no faults are injected."""
        return dict(self._rows)

    async def read(self, key: str) -> stores.Row | None:
        """Reads a row; see the base class."""
        await self._inject_read_faults('table_read')
        return self._rows.get(key)

    async def scan(self, prefix: str, limit: int = 0) -> list[stores.Row]:
        """Lists rows; see the base class."""
        await self._inject_read_faults('table_scan')
        start = bisect.bisect_left(self._keys, prefix)
        found = []
        for key in self._keys[start:]:
            if not key.startswith(prefix) or (limit and len(found) == limit):
                break
            found.append(self._rows[key])
        return found

    async def commit(self, txn: stores.Transaction) -> stores.CommitResult:
        """Applies a transaction; see the base class."""
        outcome = stores.Outcome
        await self.faults.delay()
        if self.faults.outage:
            return stores.CommitResult(outcome.NOT_COMMITTED, 'unavailable')
        if self.faults.consume_lost_request():
            return stores.CommitResult(
                outcome.UNKNOWN, 'injected lost request'
            )
        result = self.apply(txn)
        if self.faults.consume_lost_reply():
            return stores.CommitResult(outcome.UNKNOWN, 'injected lost reply')
        return result

    def apply(self, txn: stores.Transaction) -> stores.CommitResult:
        """Applies a transaction; no faults are injected.

        Args:
            txn: Transaction to apply.
        """
        self.commits += 1
        conflicts = tuple(
            check.key
            for check in txn.checks
            if self._version_of(check.key) != check.version
        )
        if conflicts:
            return stores.CommitResult(
                stores.Outcome.NOT_COMMITTED, 'conflict', conflicts
            )
        self._version += 1
        for write in txn.writes:
            self.writes += 1
            self._put(write, txn.txn_id)
        return stores.CommitResult(
            stores.Outcome.COMMITTED, version=self._version
        )

    def _version_of(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else stores.ABSENT

    def _put(self, write: stores.Write, txn_id: str) -> None:
        if write.value is None:
            if self._rows.pop(write.key, None) is not None:
                self._keys.remove(write.key)
            return
        if write.key not in self._rows:
            bisect.insort(self._keys, write.key)
        self._rows[write.key] = stores.Row(
            write.key, write.value, self._version, txn_id
        )

    async def _inject_read_faults(self, step: str) -> None:
        self.reads += 1
        await self.faults.delay()
        if self.faults.outage:
            raise errors.StoreUnavailableError('injected outage', step)


def add_routes(app: web.Application, table: MemoryTable) -> None:
    """Adds the HTTP routes of a table to an application.

    Args:
        app: Application to add the routes to.
        table: Table to serve.
    """

    async def read(request):
        row = await table.read(request.query['key'])
        if row is None:
            raise web.HTTPNotFound
        return web.json_response(_row_json(row))

    async def scan(request):
        rows = await table.scan(
            request.query['prefix'], int(request.query.get('limit', '0'))
        )
        return web.json_response({'rows': [_row_json(r) for r in rows]})

    async def commit(request):
        body = await request.json()
        result = await table.commit(
            stores.Transaction(
                body['txn'],
                tuple(stores.Check(k, v) for k, v in body['checks']),
                tuple(stores.Write(k, v) for k, v in body['writes']),
            )
        )
        if result.outcome is stores.Outcome.UNKNOWN:
            _server.abort(request)
        if result.outcome is stores.Outcome.COMMITTED:
            return web.json_response({'version': result.version})
        if result.reason == 'conflict':
            return web.json_response(
                {'conflicts': list(result.conflicts)}, status=409
            )
        raise web.HTTPServiceUnavailable

    app.router.add_get('/rows', read)
    app.router.add_get('/scan', scan)
    app.router.add_post('/commit', commit)


def _row_json(row: stores.Row) -> dict:
    return {
        'key': row.key,
        'value': row.value,
        'version': row.version,
        'txn': row.txn_id,
    }
