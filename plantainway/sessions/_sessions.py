"""HTTP client sessions that never repeat a request, and bounded reads."""

import aiohttp

from plantainway.sessions import _connections

KEEPALIVE_S = 30


def new_session() -> aiohttp.ClientSession:
    """Returns a new client session without automatic retries.

    By default aiohttp repeats PUT and DELETE when a connection breaks, which
    could run a non-idempotent call twice. It has no public option to disable
    this; ``tests/upstreams/test_service.py`` fails if the private attribute
    set here loses its effect.
    """
    session = aiohttp.ClientSession(
        connector=_connections.Connector(
            limit=0, keepalive_timeout=KEEPALIVE_S
        )
    )
    session._retry_connection = False
    return session


async def read_body(resp: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the whole body of a response.

    Args:
        resp: Response whose headers have arrived.
        max_bytes: Longest body that is kept.

    Raises:
        aiohttp.ClientPayloadError: If the body is longer, or truncated.
    """
    parts = []
    size = 0
    while data := await resp.content.readany():
        size += len(data)
        if size > max_bytes:
            raise aiohttp.ClientPayloadError(f'body exceeds {max_bytes} bytes')
        parts.append(data)
    return b''.join(parts)
