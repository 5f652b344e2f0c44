"""HTTP client sessions that send each request once."""

import aiohttp

KEEPALIVE_S = 30


def new_session() -> aiohttp.ClientSession:
    """Returns a client session without hidden retries.

    By default the library sends PUT and DELETE again when a connection
    breaks, which would run a non-idempotent call twice. It offers no public
    switch for that; ``tests/upstreams/test_service.py`` fails if this one
    loses its effect.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
    )
    session._retry_connection = False
    return session
