"""Sends requests to upstreams; connecting has a limit of its own."""

import asyncio
import contextlib

import aiohttp

from plantainway import loops

CONNECT_TIMEOUT_S = 1.0
# Errors after which the upstream has certainly not received the request.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@contextlib.asynccontextmanager
async def send_request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    deadline: float,
    **options,
):
    """Sends a request and yields its response, which has no time-out.

    If the loop ran late while connecting, connects once more: the time-out
    tells nothing about the upstream then.

    Args:
        session: HTTP client session.
        method: HTTP method.
        url: Where to send the request.
        deadline: Monotonic seconds after which nothing is sent.
        **options: Passed to the session.

    Raises:
        ConnectionTimeoutError: If the upstream did not accept in time.
    """
    loop = asyncio.get_running_loop()
    is_repeated = False
    while True:
        began_at = loop.time()
        timeout_s = max(min(CONNECT_TIMEOUT_S, deadline - began_at), 0.001)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=timeout_s)
        try:
            resp = await session.request(
                method, url, timeout=timeout, **options
            )
            break
        except aiohttp.ConnectionTimeoutError:
            now = loop.time()
            is_late = now - began_at - timeout_s > loops.LATE_MAX_S
            if is_repeated or not is_late or now >= deadline:
                raise
            is_repeated = True
    async with resp:
        yield resp
