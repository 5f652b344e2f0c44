"""Tests of requests relayed to a node that falls silent, as in a freeze."""

import asyncio
import types

import pytest

from tests.platform import conftest
from tests.platform import runner_standin

ROUTE_TIMEOUT_MS = 400
READ_S = 3.0
CHUNK = b'%x\r\n%s\r\n'
EVENT = runner_standin.event(1)


class PeerStandIn:
    """Another node, which begins an answer at most and then falls silent.

    Args:
        begins: Whether it sends the head of an answer and one event.
    """

    def __init__(self, begins: bool):
        self._begins = begins
        self.requests = 0

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        if self._begins:
            lines = head.lower().split(b'\r\n')
            named = next(x for x in lines if x.startswith(b'request-id:'))
            writer.write(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
                b'Server-Stamp: s\r\n' + named + b'\r\n\r\n'
            )
            writer.write(CHUNK % (len(EVENT), EVENT))
        await reader.read()
        writer.close()


@pytest.fixture
async def relay_to(node, store, monkeypatch):
    """Makes the node relay all requests to a peer."""
    cfg = conftest.configuration(version=4)
    for route in cfg['routes']:
        route['timeoutMs'] = ROUTE_TIMEOUT_MS
    store.put('op', 'config', cfg)
    await conftest.until(
        lambda: node.dump()['configuration'] == 4, 'configuration'
    )

    peers = []

    async def relay_to(begins):
        peer = PeerStandIn(begins)
        await peer.start()
        peers.append(peer)
        info = types.SimpleNamespace(node='n2', relay=peer.address, weight=1.0)
        relay = node._gateway._deps.relay
        monkeypatch.setattr(relay, '_nodes', lambda: [info])
        monkeypatch.setattr(relay, 'is_needed', lambda req, unreached=0: True)
        return peer

    yield relay_to
    for peer in peers:
        await peer.stop()


async def send(node, path) -> bytes:
    """Sends a request and returns all bytes until the connection ends."""
    host, _, port = node.addresses['caller'].rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'POST {path} HTTP/1.1\r\nHost: {conftest.HOST}\r\nRequest-Id: r-1\r\n'
        'Credential: k1\r\nDeadline-Ms: 2000\r\nModel: m0\r\n'
        'Token-Count: 10,10\r\nContent-Length: 0\r\n'
        'Connection: close\r\n\r\n'.encode()
    )
    data = b''
    try:
        async with asyncio.timeout(READ_S):
            while part := await reader.read(65536):
                data += part
    except ConnectionError:
        pass
    finally:
        writer.close()
    return data


@pytest.mark.parametrize('path', ['/stream/x', '/once/x'])
async def test_relayed_stream_holds_no_second_head_after_the_timeout(
    node, relay_to, path
):
    """Guards against a 503 written into the body of a stream (MIXED)."""
    await relay_to(begins=True)
    data = await send(node, path)
    _head, _, body = data.partition(b'\r\n\r\n')
    assert body == CHUNK % (len(EVENT), EVENT)


@pytest.mark.parametrize(
    'path', ['/stream/x', '/once/x', '/safe/x', '/unsafe/x']
)
async def test_request_that_reached_a_silent_node_is_not_refused(
    node, relay_to, path
):
    """Guards against a 503 for a request that may have run (REFUSED)."""
    peer = await relay_to(begins=False)
    data = await send(node, path)
    assert (peer.requests, data[9:12]) == (1, b'504')
