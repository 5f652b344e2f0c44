"""Tests of error responses."""

import asyncio

from aiohttp import web
import pytest

from plantainway.api import _http
from plantainway import errors

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
CHUNK = b'4\r\nbody\r\n'


@pytest.mark.parametrize('begins', [False, True])
@pytest.mark.parametrize(
    'exc, status',
    [
        (errors.NotFoundError('no such model', 'chat'), 404),
        (ValueError('unexpected'), 500),
        (web.HTTPRequestEntityTooLarge(1, 2), 413),
    ],
)
async def test_failed_handler_sends_one_head(exc, status, begins):
    """Guards against an error response within a begun stream (MIXED)."""

    async def handler(request):
        if begins:
            resp = web.StreamResponse()
            await resp.prepare(request)
            await resp.write(b'body')
        raise exc

    app = web.Application(middlewares=[_http.error_middleware])
    app.router.add_get('/', handler)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
    writer.write(REQUEST)
    try:
        data = await asyncio.wait_for(reader.read(), 5.0)
    finally:
        writer.close()
        await runner.cleanup()
    head, _, body = data.partition(b'\r\n\r\n')
    if begins:
        assert (head[9:12], body) == (b'200', CHUNK)
    else:
        assert int(head[9:12]) == status and b'HTTP/1.1' not in body
