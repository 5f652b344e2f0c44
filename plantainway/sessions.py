"""HTTP client sessions that never repeat a request."""

import aiohttp

KEEPALIVE_S = 30


def new_session() -> aiohttp.ClientSession:
    """Returns a new client session without automatic retries.

    By default aiohttp repeats PUT and DELETE when a connection breaks, which
    could run a non-idempotent call twice. It has no public option to disable
    this; ``tests/upstreams/test_service.py`` fails if the private attribute
    set here loses its effect.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
    )
    session._retry_connection = False
    return session
