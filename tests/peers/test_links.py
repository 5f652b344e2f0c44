"""Tests of the links between nodes: silent peers and late event loops."""

import asyncio
import contextlib
import re
import threading
import time
import types

import pytest
from websockets.asyncio import client as ws_client
from websockets import exceptions as ws_exceptions
from websockets.sync import client as sync_client
from websockets.sync import server as sync_server
from websockets import utils as ws_utils

from plantainway import bus
from plantainway import clock as clocks
from plantainway import peers
from plantainway.peers import _book
from plantainway.peers import _registry
from plantainway.peers import _task
from plantainway import wire
from tests import responses

HELLO_S = 0.05
TIMEOUT_S = 0.3
LATE_S = 0.6


def make_task(node, seed_peers=()):
    """Returns the peers task of a node, and the tasks that it spawned."""
    clock = clocks.MonotonicClock()
    spawned = []

    async def read_registrations():
        return {}

    parts = types.SimpleNamespace(
        book=peers.MembershipView(node, clock),
        bus=bus.Bus(),
        clock=clock,
        registry=types.SimpleNamespace(read_registrations=read_registrations),
        vm_observations=types.SimpleNamespace(oldest_own_at=lambda: None),
        spawn=lambda coro: spawned.append(asyncio.ensure_future(coro)),
    )
    cfg = types.SimpleNamespace(
        listen=types.SimpleNamespace(peer='127.0.0.1:0'),
        seed_peers=seed_peers,
    )
    registration = _registry.Registration(
        node, 1, 'r', 'p', 'f', '', '', '', False
    )
    return _task.PeersTask(cfg, registration, parts), spawned


@pytest.fixture
async def start():
    """Starts the peers task of a node."""
    running = []

    async def start_task(*args):
        task, spawned = make_task(*args)
        await task.listen()
        task.advertise('', f'127.0.0.1:{task.port}')
        running.append((asyncio.ensure_future(task.run()), spawned))
        return task

    yield start_task
    for task, spawned in running:
        for one in (*spawned, task):
            one.cancel()
        await asyncio.gather(task, *spawned, return_exceptions=True)


def hello(node, incarnation=1):
    """Returns the first message of a node, encoded."""
    return wire.encode(
        wire.Hello(wire.PROTOCOL_VERSION, node, incarnation, 'f')
    )


async def connect(port, incarnation):
    """Connects as the node n5; returns the connection after its hello."""
    conn = await ws_client.connect(
        f'ws://127.0.0.1:{port}', compression=None, proxy=None
    )
    await conn.send(hello('n5', incarnation))
    return conn


async def read_until(conn, kind):
    """Reads messages until one of a kind has come."""
    while not isinstance(wire.decode(await conn.recv(), 'x'), kind):
        pass


@pytest.mark.parametrize(
    'node, incarnation',
    [
        ('n1', 2),  # the peer has restarted
        ('n9', 1),  # both nodes dialed
    ],
)
async def test_link_replaces_one_whose_peer_is_silent(
    start, node, incarnation
):
    """Guards against a peer unheard until its old link has been closed."""
    task = await start(node)
    old = await connect(task.port, 1)
    await read_until(old, wire.Heartbeats)
    old.transport.pause_reading()  # nor answers to the end of the link
    new = await connect(task.port, incarnation)
    async with asyncio.timeout(5.0):
        await read_until(new, wire.NodeReport)
        await read_until(new, wire.Heartbeats)
    assert task.dump()['links'] == ['n5']
    old.transport.abort()
    await new.close()


@pytest.fixture
def short_timeout(monkeypatch):
    """Shortens the limit on a hello."""
    monkeypatch.setattr(_task, 'HELLO_TIMEOUT_S', TIMEOUT_S)


@pytest.mark.parametrize('pause_after_s', [0.0, 0.02])
async def test_hello_of_a_dialed_peer_to_a_late_node(
    start, short_timeout, pause_after_s
):
    """Guards against a late node that drops a peer that has answered."""
    accepted = []

    def answer(conn):
        accepted.append(conn)
        time.sleep(HELLO_S)
        conn.send(hello('n5'))
        for _message in conn:
            pass

    with sync_server.serve(answer, '127.0.0.1', 0, compression=None) as peer:
        thread = threading.Thread(target=peer.serve_forever)
        thread.start()
        port = peer.socket.getsockname()[1]
        task = await start('n1')
        dial = asyncio.ensure_future(task._dial('n5', f'127.0.0.1:{port}'))
        await asyncio.sleep(pause_after_s)
        time.sleep(LATE_S)
        await asyncio.sleep(TIMEOUT_S)
        assert task.dump()['links'] == ['n5']
        assert len(accepted) == 1
        dial.cancel()
        await asyncio.gather(dial, return_exceptions=True)
        peer.shutdown()
        thread.join()


async def test_hello_of_a_peer_that_dialed_a_late_node(start, short_timeout):
    """Guards against a late node that drops a peer that has greeted it."""
    task = await start('n1')
    received = []

    def greet():
        with sync_client.connect(
            f'ws://127.0.0.1:{task.port}', compression=None, proxy=None
        ) as conn:
            received.append(conn.recv())  # the own hello has been sent
            time.sleep(HELLO_S)
            conn.send(hello('n5'))
            received.append(conn.recv())

    thread = threading.Thread(target=greet)
    thread.start()
    while not received:
        await asyncio.sleep(0)
    time.sleep(LATE_S)
    async with asyncio.timeout(5.0):
        while thread.is_alive():
            await asyncio.sleep(0.01)
    thread.join()
    assert len(received) == 2


async def test_peer_without_a_hello_is_dropped(start, short_timeout):
    """The limit on a hello still holds."""
    task = await start('n1')
    conn = await ws_client.connect(
        f'ws://127.0.0.1:{task.port}', compression=None, proxy=None
    )
    async with asyncio.timeout(5.0):
        await conn.wait_closed()
    assert task.dump()['links'] == []


@pytest.mark.parametrize('rounds', [0, 2])
async def test_late_node_does_not_dial_a_peer_that_it_is_linked_to(
    start, monkeypatch, rounds
):
    """Guards against a late node that takes all peers for gone."""
    monkeypatch.setattr(_book, 'LIVENESS_TIMEOUT_S', 0.4)
    monkeypatch.setattr(_task, 'HEARTBEAT_PERIOD_S', 0.1)
    accepted = []

    def answer(conn):
        accepted.append(conn)
        conn.send(hello('n5'))
        address = '127.0.0.1:%d' % peer.socket.getsockname()[1]
        report = wire.NodeReport(
            'n5', 1, 1, 'r', 'p', 'f', '', address, False, {}, {}, {}
        )
        conn.send(wire.encode(report))
        with contextlib.suppress(ws_exceptions.ConnectionClosed):
            while True:
                beat = wire.Heartbeat('n5', 1, 0, 1)
                conn.send(wire.encode(wire.Heartbeats([beat], {}, 0)))
                with contextlib.suppress(TimeoutError):
                    conn.recv(timeout=0.05)

    with sync_server.serve(answer, '127.0.0.1', 0, compression=None) as peer:
        thread = threading.Thread(target=peer.serve_forever)
        thread.start()
        port = peer.socket.getsockname()[1]
        task = await start('n1', (f'127.0.0.1:{port}',))
        async with asyncio.timeout(5.0):
            while len(task.dump()['live']) < 2:
                await asyncio.sleep(0.01)
        for _pause in range(3):
            await asyncio.sleep(0.1)
            for _round in range(rounds):
                await asyncio.sleep(0)
            time.sleep(LATE_S)
        await asyncio.sleep(0.3)
        assert task.dump()['links'] == ['n5']
        assert len(accepted) == 1
        await asyncio.to_thread(peer.shutdown)  # the node takes part
        thread.join()


@pytest.mark.parametrize(
    'first, fields, is_linked',
    [
        ('HTTP/1.1 101 X', [], True),
        ('HTTP/1.1 000 X', [], False),
        ('HTTP/1.1 101 X', ['X-Other : 2'], False),
        ('HTTP/1.1 101 X', ['X-Other x: 2'], False),
        ('HTTP/1.1 101 X', ['X-Other\x01: 2'], False),
        ('HTTP/1.1 101 X', ['X-Other: a\x01b'], False),
        ('HTTP/1.1 101 X', ['Connection : upgrade'], False),
        ('HTTP/1.1 101 X', ['Upgrade\x01: websocket'], False),
    ],
)
async def test_node_with_a_broken_handshake_is_not_linked(
    first, fields, is_linked
):
    """The library validates the response to its handshake."""
    async with responses.RawServer(b'') as server:
        server.answer = lambda head: responses.response(
            first,
            'Connection: upgrade',
            'Upgrade: websocket',
            f'Sec-WebSocket-Accept: {_accept_key(head)}',
            *fields,
            body='',
        ).replace(b'{fields}\r\n', b'')
        connecting = ws_client.connect(f'ws://{server.address}', proxy=None)
        if is_linked:
            (await connecting).transport.abort()
            return
        with pytest.raises(ws_exceptions.WebSocketException):
            await connecting


def _accept_key(head: bytes) -> str:
    found = re.search(rb'(?i)sec-websocket-key: *(\S+)', head)
    return ws_utils.accept_key(found.group(1).decode())
