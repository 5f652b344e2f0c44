"""Object store, VM list and weight store in memory, and their server."""

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
    """Object store in memory, with fault injection.

    Args:
        faults: Faults to inject; none by default.
    """

    def __init__(self, faults: _faults.InjectedFaults | None = None):
        self.faults = faults or _faults.InjectedFaults()
        self.blobs: dict[str, bytes] = {}
        self._names: list[str] = []

    async def put(self, name: str, body: bytes) -> stores.PutOutcome:
        """Stores a blob; see the base class."""
        outcome = stores.PutOutcome
        await self.faults.delay()
        if self.faults.outage:
            return outcome.NOT_STORED
        if self.faults.consume_lost_request():
            return outcome.UNKNOWN
        if name in self.blobs:
            return outcome.EXISTS
        self.blobs[name] = body
        bisect.insort(self._names, name)
        return (
            outcome.UNKNOWN
            if self.faults.consume_lost_reply()
            else outcome.STORED
        )

    async def get(self, name: str) -> bytes:
        """Reads a blob; see the base class."""
        await self._inject_faults('object_get')
        if name not in self.blobs:
            raise errors.NotFoundError(name, 'object_get')
        return self.blobs[name]

    async def list_names(self, prefix: str) -> list[str]:
        """Lists blob names; see the base class."""
        await self._inject_faults('object_names')
        start = bisect.bisect_left(self._names, prefix)
        found = []
        for name in self._names[start:]:
            if not name.startswith(prefix):
                break
            found.append(name)
        return found

    def remove(self, name: str) -> None:
        """Deletes a blob, to simulate data loss in the store.

        Args:
            name: Name of the blob.
        """
        del self.blobs[name]
        self._names.remove(name)

    async def _inject_faults(self, step: str) -> None:
        await self.faults.delay()
        if self.faults.outage:
            raise errors.StoreUnavailableError('injected outage', step)


class MemoryVmList(stores.BaseVmList):
    """VM list in memory that can return outdated entries.

    Args:
        faults: Faults to inject; ``lag_s`` is the age of the list in
            seconds.
        now: Function that returns the monotonic time in seconds.
    """

    def __init__(
        self, faults: _faults.InjectedFaults | None = None, now=time.monotonic
    ):
        self.faults = faults or _faults.InjectedFaults()
        self._now = now
        self._history: list[tuple[float, dict]] = [(now(), {})]

    def set_entries(self, entries) -> None:
        """Replaces all entries.

        Args:
            entries: New entries.
        """
        self._history.append(
            (self._now(), {entry.name: entry for entry in entries})
        )

    def update(self, entry: stores.VmEntry) -> None:
        """Adds or replaces one entry.

        Args:
            entry: New entry.
        """
        newest = dict(self._history[-1][1])
        newest[entry.name] = entry
        self._history.append((self._now(), newest))

    def remove(self, name: str) -> None:
        """Removes an entry, if it exists.

        Args:
            name: Name of the VM.
        """
        newest = dict(self._history[-1][1])
        newest.pop(name, None)
        self._history.append((self._now(), newest))

    async def read(self) -> list[stores.VmEntry]:
        """Reads the list; see the base class."""
        await self.faults.delay()
        if self.faults.outage:
            raise errors.StoreUnavailableError('injected outage', 'vm_list')
        as_of = self._now() - self.faults.lag_s
        visible = self._history[0][1]
        for at, entries in self._history:
            if at <= as_of:
                visible = entries
        return list(visible.values())


class MemoryWeightStore(stores.BaseWeightStore):
    """Weight store whose readers share one rate.

    Args:
        rate_bytes_per_second: Rate for all readers together.
        faults: Faults to inject; none by default.
    """

    def __init__(
        self,
        rate_bytes_per_second: int = 10**9,
        faults: _faults.InjectedFaults | None = None,
    ):
        self.faults = faults or _faults.InjectedFaults()
        self.rate = rate_bytes_per_second
        self.sizes: dict[str, int] = {}
        self._queue_free_at = 0.0

    async def describe(self, weights: str) -> stores.WeightInfo:
        """Reads size and rates of weights; see the base class."""
        await self.faults.delay()
        if self.faults.outage:
            raise errors.StoreUnavailableError(
                'injected outage', 'weights_describe'
            )
        if weights not in self.sizes:
            raise errors.NotFoundError(weights, 'weights_describe')
        return stores.WeightInfo(
            weights, self.sizes[weights], self.rate, self.rate
        )

    async def transfer(self, size_bytes: int) -> None:
        """Waits until a transfer is done; transfers run one after another.

        Args:
            size_bytes: Size of the transfer in bytes.
        """
        now = time.monotonic()
        start = max(now, self._queue_free_at)
        self._queue_free_at = start + size_bytes / self.rate
        await asyncio.sleep(self._queue_free_at - now)


class PlatformStandIn:
    """HTTP server with all services of the platform.

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
        """Returns the base URL of the services."""
        return f'http://{self.server.address}'

    def platform_settings(self) -> dict[str, str]:
        """Returns the ``platform`` section of a node's settings."""
        return {
            name: self.url
            for name in ('table', 'object_store', 'vm_list', 'weight_store')
        }

    async def start(self) -> None:
        """Starts to listen."""
        await self.server.start()

    async def stop(self) -> None:
        """Stops the server; stored data is kept."""
        await self.server.stop()

    def _app(self) -> web.Application:
        app = _server.new_app()
        _table.add_routes(app, self.table)
        app.router.add_put('/objects/{name:.+}', self._handle_put)
        app.router.add_get('/objects/{name:.+}', self._handle_get)
        app.router.add_get('/names', self._handle_names)
        app.router.add_get('/vms', self._handle_vms)
        app.router.add_put('/vms', self._handle_set_vms)
        app.router.add_get('/weights/{name}', self._handle_weights)
        app.router.add_put('/weights/{name}', self._handle_set_weights)
        app.router.add_post('/faults/{name}', self._handle_faults)
        return app

    async def _handle_put(self, request):
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

    async def _handle_get(self, request):
        try:
            body = await self.object_store.get(request.match_info['name'])
        except errors.NotFoundError:
            raise web.HTTPNotFound
        return web.Response(body=body)

    async def _handle_names(self, request):
        names = await self.object_store.list_names(request.query['prefix'])
        return web.json_response({'names': names})

    async def _handle_vms(self, request):
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

    async def _handle_set_vms(self, request):
        body = await request.json()
        self.vm_list.set_entries(
            stores.VmEntry(**item) for item in body['vms']
        )
        return web.Response()

    async def _handle_weights(self, request):
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

    async def _handle_set_weights(self, request):
        body = await request.json()
        name = request.match_info['name']
        self.weights.sizes[name] = int(body['size_bytes'])
        return web.Response()

    async def _handle_faults(self, request):
        part = {
            'table': self.table,
            'object_store': self.object_store,
            'vm_list': self.vm_list,
            'weight_store': self.weights,
        }[request.match_info['name']]
        _faults.set_faults(part.faults, await request.json())
        return web.Response()
