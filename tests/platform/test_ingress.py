"""Tests of the answers that the server for client requests writes."""

import asyncio
import types

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import platform
from plantainway import traffic

REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n'
READ_S = 2.0


@pytest.mark.parametrize(
    'begins, returned, body',
    [
        (False, traffic.Response(503, body=b'late'), b'late'),
        (True, traffic.Response(503, body=b'late'), b'4\r\nbody\r\n'),
    ],
)
async def test_response_after_a_begun_answer_is_not_written(
    begins, returned, body
):
    """Guards against a second head in a chunked body (MIXED)."""

    async def handle(_req, sink):
        if begins:
            await sink.start(200, ())
            await sink.write(b'body')
            await asyncio.sleep(0.05)
        return returned

    gateway = types.SimpleNamespace(handle=handle, limits=deployment.Limits)
    ingress = platform.Ingress(gateway, clocks.MonotonicClock())
    host, _, port = (await ingress.listen('127.0.0.1:0')).rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(REQUEST)
    data = b''
    try:
        async with asyncio.timeout(READ_S):
            while not data.endswith(b'late'):
                part = await reader.read(65536)
                if not part:
                    break
                data += part
    except ConnectionError:
        pass
    finally:
        writer.close()
        await ingress.close()
    assert data.partition(b'\r\n\r\n')[2] == body
