"""Stand-in of a plain service that accepts orders."""

import asyncio
import json
import uuid

from aiohttp import web

from plantainway.standins import _faults
from plantainway.standins import _server


class ServiceStandIn:
    """Service that records in ``runs`` every order it executed.

    Args:
        host: Address to listen on.
        port: Port, 0 for a free one.
    """

    def __init__(self, host: str = '127.0.0.1', port: int = 0):
        self.faults = _faults.InjectedFaults()
        self.runs: list[dict] = []
        self.server = _server.Server(self._app, host, port)

    async def start(self) -> None:
        """Starts to listen."""
        await self.server.start()

    async def stop(self) -> None:
        """Stops the server."""
        await self.server.stop()

    def _app(self) -> web.Application:
        app = _server.new_app()
        app.router.add_get('/orders', self._handle_list)
        for method in ('POST', 'PUT', 'PATCH', 'DELETE'):
            app.router.add_route(method, '/orders', self._handle_order)
        return app

    async def _handle_list(self, request):
        return web.json_response({'orders': len(self.runs)})

    async def _handle_order(self, request):
        if self.faults.outage:
            raise web.HTTPServiceUnavailable
        raw = await request.read()
        if self.faults.consume_lost_request():
            _server.abort(request)
        order = {
            'id': uuid.uuid4().hex,
            'key': request.headers.get('Idempotency-Key', ''),
            'req': request.headers.get('X-Request-Id', ''),
            'body': raw.decode(errors='replace'),
        }
        self.runs.append(order)
        await asyncio.shield(self.faults.delay())
        if self.faults.consume_lost_reply():
            _server.abort(request)
        return web.Response(
            text=json.dumps({'order': order['id']}),
            content_type='application/json',
            status=201,
        )
