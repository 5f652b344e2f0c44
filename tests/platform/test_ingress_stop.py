"""Requests that arrive while a node stops to accept them."""

import asyncio
import types

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import platform
from plantainway import traffic

REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n'


@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('rounds', range(8))
async def test_request_is_answered_or_not_passed_on_when_a_node_stops(
    rounds, is_kept
):
    """It is read so many rounds of the event loop before the stop."""
    passed_on = []

    async def handle(_req, _sink):
        passed_on.append(1)
        await asyncio.sleep(0.05)
        return traffic.Response(200, body=b'answer')

    gateway = types.SimpleNamespace(handle=handle, limits=deployment.Limits)
    ingress = platform.Ingress(gateway, clocks.MonotonicClock())
    host, _, port = (await ingress.listen('127.0.0.1:0')).rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    if is_kept:
        writer.write(REQUEST)
        await reader.readuntil(b'answer')
        passed_on.clear()
    await asyncio.sleep(0.05)
    writer.write(REQUEST)
    for _round in range(rounds):
        await asyncio.sleep(0)
    await ingress.stop_accepting()
    try:
        got = await asyncio.wait_for(reader.read(), 2.0)
    except ConnectionError:
        got = b''
    assert passed_on == ([1] if got.endswith(b'answer') else [])
    writer.close()
    await ingress.close()
