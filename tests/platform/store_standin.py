"""Stand-in for the platform's metadata store, with fault injection."""

import asyncio
import base64
import dataclasses
import json

from aiohttp import web

from plantainway.standins import _server

HISTORY_MAX = 10000


@dataclasses.dataclass
class StoreFaults:
    """Injected faults.

    While ``down`` is set, each call ends with an aborted connection. The
    counts apply to that many of the next calls: ``lost_answers`` are applied
    but not answered, ``late_writes`` are not answered and are applied
    ``late_s`` later, or on ``apply_held_writes`` if that is ``None``, and
    ``refused`` get status 503. With ``drip_s``, answers
    to reads arrive in ten parts, each after that pause.
    """

    down: bool = False
    lost_answers: int = 0
    late_writes: int = 0
    late_s: float | None = 0.05
    refused: int = 0
    drip_s: float = 0.0


class StoreStandIn:
    """A store of versioned rows with transactions and a feed of changes.

    Args:
        page_rows: Maximum number of rows in one answer.
    """

    def __init__(self, page_rows: int = 500):
        self.faults = StoreFaults()
        self.page_rows = page_rows
        self.version = 0
        self.era = 0
        self._copy = None
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.calls: list[str] = []
        self._history: list[tuple[str, str, str, bytes | None, int]] = []
        self._forgotten = 0
        self._held_writes: list[dict] = []
        self._changed = asyncio.Event()
        self._server = _server.Server(self._app)

    @property
    def address(self) -> str:
        """Returns ``IP:PORT``."""
        return self._server.address

    async def start(self) -> None:
        """Starts to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Closes the socket and all connections."""
        await self._server.stop()

    def put(self, table: str, key: str, value) -> None:
        """Writes a row as the operator or a runner does.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: JSON value, or bytes that are stored unchanged; ``None``
                deletes the row.
        """
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.version += 1
        self._write(table, '', key, value)
        self._notify_waiting_feeds()

    def value(self, table: str, key: str):
        """Returns the JSON value of a row, ``None`` without one.

        Args:
            table: Name of the table.
            key: Key of the row.
        """
        row = self.rows.get((table, '', key))
        return json.loads(row[0]) if row else None

    def apply_held_writes(self) -> None:
        """Applies the late writes that were held."""
        for body in self._held_writes:
            self._apply(body)
        self._held_writes.clear()

    def copy(self) -> None:
        """Makes the copy to which ``restore`` goes back."""
        self._copy = (self.version, dict(self.rows), list(self._history))

    def restore(self) -> None:
        """Comes back from the copy: later writes and versions are lost."""
        self.version, rows, history = self._copy
        self.rows, self._history = dict(rows), list(history)
        self.era += 1
        self._notify_waiting_feeds()

    def forget_history(self) -> None:
        """Deletes the history of changes; older versions get status 410."""
        self._history.clear()
        self._forgotten = self.version

    def _write(self, table, part, key, value) -> None:
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self._history.append((table, part, key, value, self.version))

    def _notify_waiting_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _app(self) -> web.Application:
        app = _server.new_app()
        app.on_response_prepare.append(self._add_era)
        app.router.add_get('/plantainway/rows-get', self._get)
        app.router.add_get('/plantainway/rows-feed', self._feed)
        app.router.add_post('/plantainway/rows-tx', self._transact)
        return app

    async def _add_era(self, _request, response) -> None:
        response.headers['Store-Era'] = str(self.era)

    def _check(self, request, name: str) -> None:
        self.calls.append(name)
        if self.faults.down:
            _server.abort(request)
        if self.faults.refused > 0:
            self.faults.refused -= 1
            raise web.HTTPServiceUnavailable

    def _answer(self, rows, **more) -> web.Response:
        body = {'rows': rows, 'ver': self.version, 'nowMs': 1} | more
        return web.json_response(body)

    async def _answer_read(self, request, rows, **more):
        """Answers a read, in parts if ``drip_s`` is set."""
        answer = self._answer(rows, **more)
        if not self.faults.drip_s:
            return answer
        resp = web.StreamResponse(headers={'Content-Type': 'application/json'})
        resp.content_length = len(answer.body)
        await resp.prepare(request)
        size = len(answer.body) // 9
        for start in range(0, len(answer.body), size):
            await asyncio.sleep(self.faults.drip_s)
            await resp.write(answer.body[start : start + size])
        return resp

    async def _get(self, request) -> web.Response:
        self._check(request, 'get')
        query = request.query
        found = sorted(
            (key, value, version)
            for (table, part, key), (value, version) in self.rows.items()
            if table == query['table']
            and part == query['part']
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
        )
        page = found[: self.page_rows]
        rows = [
            _row(query['table'], '', key, value, version)
            for key, value, version in page
        ]
        return await self._answer_read(
            request, rows, morePages=len(found) > len(page)
        )

    async def _feed(self, request) -> web.Response:
        self._check(request, 'feed')
        table, after = request.query['table'], int(request.query['after'])
        if after < self._forgotten or after > self.version:
            return web.Response(status=410)
        wait_s = int(request.query['waitMs']) / 1000
        deadline = asyncio.get_running_loop().time() + wait_s
        era = self.era
        while True:
            if era != self.era:
                _server.abort(request)  # it was away for a moment
            rows = [
                _row(name, part, key, value, version)
                for name, part, key, value, version in self._history
                if name == table and version > after
            ]
            left = deadline - asyncio.get_running_loop().time()
            if rows or left <= 0:
                return await self._answer_read(request, rows)
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                return self._answer([])

    async def _transact(self, request) -> web.Response:
        body = await request.json()
        self._check(request, 'tx')
        if self.faults.late_writes > 0:
            self.faults.late_writes -= 1
            if self.faults.late_s is None:
                self._held_writes.append(body)
            else:
                asyncio.get_running_loop().call_later(
                    self.faults.late_s, self._apply, body
                )
            _server.abort(request)
        if not self._apply(body):
            return web.json_response(
                {'rows': [], 'ver': self.version}, status=412
            )
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            _server.abort(request)
        return self._answer([])

    def _apply(self, body) -> bool:
        for check in body['expectedRev']:
            row_address = (check['table'], check['part'], check['key'])
            if self.rows.get(row_address, (b'', 0))[1] != check['ver']:
                return False
        self.version += 1
        for put in body['puts']:
            value = base64.b64decode(put['value'])
            self._write(put['table'], put['part'], put['key'], value)
        for drop in body['remove']:
            self._write(drop['table'], drop['part'], drop['key'], None)
        self._notify_waiting_feeds()
        return True


def _row(table, part, key, value, version) -> dict:
    row = {'table': table, 'part': part, 'key': key, 'ver': version}
    if value is None:
        return row | {'tombstone': True}
    return row | {'value': base64.b64encode(value).decode()}
