"""HTTP server of the stand-ins."""

import asyncio

from aiohttp import web

from plantainway import errors


def abort(request) -> None:
    """Closes the connection of a request without a response.

    Args:
        request: Request to abort.

    Raises:
        CancelledError: Always, to end the handler.
    """
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


@web.middleware
async def _outage_middleware(request, handler):
    try:
        return await handler(request)
    except errors.StoreUnavailableError:
        raise web.HTTPServiceUnavailable
    except (KeyError, ValueError, TypeError) as exc:
        raise web.HTTPBadRequest(text=repr(exc)[:200])


def new_app(max_bytes: int = 64 << 20) -> web.Application:
    """Returns a new application that maps errors to HTTP statuses.

    Args:
        max_bytes: Largest request body in bytes.
    """
    return web.Application(
        middlewares=[_outage_middleware], client_max_size=max_bytes
    )


class Server:
    """HTTP server that can be stopped abruptly and started again.

    Args:
        app_factory: Function that returns a new application.
        host: Address to listen on.
        port: Port, 0 to choose a free one at the first start.
    """

    def __init__(self, app_factory, host: str = '127.0.0.1', port: int = 0):
        self._app_factory = app_factory
        self._host = host
        self._runner: web.AppRunner | None = None
        self.port = port

    @property
    def address(self) -> str:
        """Returns ``IP:PORT``."""
        return f'{self._host}:{self.port}'

    async def start(self) -> None:
        """Starts to listen."""
        self._runner = web.AppRunner(
            self._app_factory(),
            access_log=None,
            shutdown_timeout=0.0,
            handler_cancellation=True,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, self._host, self.port, reuse_address=True
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Closes the socket and all connections, without a grace period."""
        if self._runner is not None:
            runner, self._runner = self._runner, None
            await runner.cleanup()
