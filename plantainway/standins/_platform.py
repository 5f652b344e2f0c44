"""Object store, VM list and weight store in memory, and the HTTP side."""

import asyncio
import bisect
import time

from aiohttp import web

from plantainway import errors
from plantainway.standins import _faults
from plantainway.standins import _server
from plantainway.standins import _table
from plantainway import stores


class MemoryObjectStore(stores.BaseObjectStore):
    """Blobs in memory, with faults.

    Args:
        faults: Switches; none are on by default.
    """

    def __init__(self, faults: _faults.Faults | None = None):
        self.faults = faults or _faults.Faults()
        self.blobs: dict[str, bytes] = {}
        self._names: list[str] = []

    async def put(self, name: str, body: bytes) -> stores.PutOutcome:
        """Stores a blob; see the base class."""
        outcome = stores.PutOutcome
        await self.faults.delay()
        if self.faults.outage:
            return outcome.NOT_STORED
        if self.faults.take_lost_request():
            return outcome.UNKNOWN
        if name in self.blobs:
            return outcome.EXISTS
        self.blobs[name] = body
        bisect.insort(self._names, name)
        return (
            outcome.UNKNOWN
            if self.faults.take_lost_reply()
            else outcome.STORED
        )

    async def get(self, name: str) -> bytes:
        """Returns a blob; see the base class."""
        await self._enter('object_get')
        if name not in self.blobs:
            raise errors.NotFoundError(name, 'object_get')
        return self.blobs[name]

    async def list_names(self, prefix: str) -> list[str]:
        """Lists names; see the base class."""
        await self._enter('object_names')
        start = bisect.bisect_left(self._names, prefix)
        found = []
        for name in self._names[start:]:
            if not name.startswith(prefix):
                break
            found.append(name)
        return found

    def remove(self, name: str) -> None:
        """Loses a blob, as a store that keeps its word never would.

        Args:
            name: Name of the blob.
        """
        del self.blobs[name]
        self._names.remove(name)

    async def _enter(self, step: str) -> None:
        await self.faults.delay()
        if self.faults.outage:
            raise errors.StoreUnavailableError('outage', step)


class MemoryVmList(stores.BaseVmList):
    """A list of VMs that may lag.

    Args:
        faults: Switches; ``lag_s`` makes the list old.
        now: Function that returns monotonic seconds.
    """

    def __init__(
        self, faults: _faults.Faults | None = None, now=time.monotonic
    ):
        self.faults = faults or _faults.Faults()
        self._now = now
        self._history: list[tuple[float, dict]] = [(now(), {})]

    def set_entries(self, entries) -> None:
        """Replaces the list.

        Args:
            entries: New entries.
        """
        self._history.append(
            (self._now(), {entry.name: entry for entry in entries})
        )

    def update(self, entry: stores.VmEntry) -> None:
        """Adds or changes one entry.

        Args:
            entry: New entry.
        """
        newest = dict(self._history[-1][1])
        newest[entry.name] = entry
        self._history.append((self._now(), newest))

    def remove(self, name: str) -> None:
        """Takes an entry off the list.

        Args:
            name: Name of the VM.
        """
        newest = dict(self._history[-1][1])
        newest.pop(name, None)
        self._history.append((self._now(), newest))

    async def read(self) -> list[stores.VmEntry]:
        """Returns the list; see the base class."""
        await self.faults.delay()
        if self.faults.outage:
            raise errors.StoreUnavailableError('outage', 'vm_list')
        limit = self._now() - self.faults.lag_s
        shown = self._history[0][1]
        for at, entries in self._history:
            if at <= limit:
                shown = entries
        return list(shown.values())


class MemoryWeightStore(stores.BaseWeightStore):
    """Weights with one rate for all readers together.

    Args:
        rate_bytes_per_second: Rate of the store.
        faults: Switches; none are on by default.
    """

    def __init__(
        self,
        rate_bytes_per_second: int = 10**9,
        faults: _faults.Faults | None = None,
    ):
        self.faults = faults or _faults.Faults()
        self.rate = rate_bytes_per_second
        self.sizes: dict[str, int] = {}
        self._free_at = 0.0

    async def describe(self, weights: str) -> stores.WeightInfo:
        """Returns size and rate; see the base class."""
        await self.faults.delay()
        if self.faults.outage:
            raise errors.StoreUnavailableError('outage', 'weights_describe')
        if weights not in self.sizes:
            raise errors.NotFoundError(weights, 'weights_describe')
        return stores.WeightInfo(
            weights, self.sizes[weights], self.rate, self.rate
        )

    async def transfer(self, size_bytes: int) -> None:
        """Waits as long as a transfer takes behind all earlier ones.

        Args:
            size_bytes: Bytes to move.
        """
        now = time.monotonic()
        start = max(now, self._free_at)
        self._free_at = start + size_bytes / self.rate
        await asyncio.sleep(self._free_at - now)


class PlatformStandIn:
    """All services of the platform behind one HTTP server.

    Args:
        host: Address to listen on.
        port: Port, 0 for a free one.
    """

    def __init__(self, host: str = '127.0.0.1', port: int = 0):
        self.table = _table.MemoryTable()
        self.object_store = MemoryObjectStore()
        self.vm_list = MemoryVmList()
        self.weights = MemoryWeightStore()
        self.server = _server.Server(self._app, host, port)

    @property
    def url(self) -> str:
        """Returns the base address."""
        return f'http://{self.server.address}'

    def platform_settings(self) -> dict[str, str]:
        """Returns the ``platform`` part of a node's settings."""
        return {
            name: self.url
            for name in ('table', 'object_store', 'vm_list', 'weight_store')
        }

    async def start(self) -> None:
        """Listens."""
        await self.server.start()

    async def stop(self) -> None:
        """Closes the socket; what is stored stays."""
        await self.server.stop()

    def _app(self) -> web.Application:
        app = _server.new_app()
        _table.add_routes(app, self.table)
        app.router.add_put('/objects/{name:.+}', self._put)
        app.router.add_get('/objects/{name:.+}', self._get)
        app.router.add_get('/names', self._names)
        app.router.add_get('/vms', self._vms)
        app.router.add_put('/vms', self._set_vms)
        app.router.add_get('/weights/{name}', self._weights)
        app.router.add_put('/weights/{name}', self._set_weights)
        app.router.add_post('/faults/{name}', self._set_faults)
        return app

    async def _put(self, request):
        outcome = await self.object_store.put(
            request.match_info['name'], await request.read()
        )
        if outcome is stores.PutOutcome.UNKNOWN:
            _server.abort(request)
        status = {
            stores.PutOutcome.STORED: 200,
            stores.PutOutcome.EXISTS: 409,
            stores.PutOutcome.NOT_STORED: 503,
        }[outcome]
        return web.Response(status=status)

    async def _get(self, request):
        try:
            body = await self.object_store.get(request.match_info['name'])
        except errors.NotFoundError:
            raise web.HTTPNotFound
        return web.Response(body=body)

    async def _names(self, request):
        names = await self.object_store.list_names(request.query['prefix'])
        return web.json_response({'names': names})

    async def _vms(self, request):
        entries = await self.vm_list.read()
        return web.json_response(
            {
                'vms': [
                    {
                        'name': entry.name,
                        'address': entry.address,
                        'place': entry.place,
                        'fabric_domain': entry.fabric_domain,
                        'leaving': entry.leaving,
                    }
                    for entry in entries
                ]
            }
        )

    async def _set_vms(self, request):
        body = await request.json()
        self.vm_list.set_entries(
            stores.VmEntry(**item) for item in body['vms']
        )
        return web.Response()

    async def _weights(self, request):
        try:
            info = await self.weights.describe(request.match_info['name'])
        except errors.NotFoundError:
            raise web.HTTPNotFound
        return web.json_response(
            {
                'size_bytes': info.size_bytes,
                'rate_bytes_per_second': info.rate_bytes_per_second,
                'reader_bytes_per_second': info.reader_bytes_per_second,
            }
        )

    async def _set_weights(self, request):
        body = await request.json()
        name = request.match_info['name']
        self.weights.sizes[name] = int(body['size_bytes'])
        return web.Response()

    async def _set_faults(self, request):
        part = {
            'table': self.table,
            'object_store': self.object_store,
            'vm_list': self.vm_list,
            'weight_store': self.weights,
        }[request.match_info['name']]
        _faults.set_faults(part.faults, await request.json())
        return web.Response()
