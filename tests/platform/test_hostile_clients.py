"""Tests that a node process survives clients that misuse their connections.

Guard against a process that runs out of memory or of file descriptors, or
that hangs, because of what clients outside our control send or leave unread
(LOST). Only figures that do not depend on the speed of the machine are
checked.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import socket

import aiohttp
import pytest

from tests.platform import conftest
from tests.platform import processes

# The VM of the node: the least memory that the platform gives, and fewer
# descriptors, so that a small crowd exceeds them.
MEMORY_MB = 152
MAX_FDS = 256
BODY_BYTES = 4 << 20  # the default of maxBodyBytes
PIECE = b'x' * 65536
ANSWER_BYTES = 3 << 20
READY_PATH = '/plantainway/readyz'
CROWD_S = 10.0  # clients that are not read go on for this long
ANSWER_S = 60.0  # a node that does not answer by then hangs
PACE_S = 0.1  # between bytes of slow clients
PATHS = {
    'route': ('caller', '/safe/x'),
    'no-route': ('caller', '/none/x'),
    'ready': ('readiness', READY_PATH),
}


@dataclasses.dataclass
class _Client:
    """One connection of a crowd."""

    sock: socket.socket
    index: int
    path: str

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read_slowly(self) -> None:
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(self.sock, 1):
            await asyncio.sleep(PACE_S)

    async def send_slowly(self, data: bytes) -> None:
        for place in range(len(data)):
            await self.send(data[place : place + 1])
            await asyncio.sleep(PACE_S)

    def head(self, fields: bytes = b'', method: bytes = b'POST') -> bytes:
        return b'%b %b HTTP/1.1\r\nHost: %b\r\nCredential: k1\r\n%b' % (
            method,
            self.path.encode(),
            conftest.HOST.encode(),
            fields,
        )

    def is_short(self) -> bool:
        """Most clients stop just short of the end of their bodies."""
        return self.index % 4 != 0


_LENGTH = b'Content-Length: %d\r\n\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


async def _send_one_piece(client):
    size = BODY_BYTES - client.is_short()
    await client.send(client.head(_LENGTH % BODY_BYTES))
    await client.send(b'x' * size)


async def _send_small_pieces(client):
    await client.send(client.head(_LENGTH % BODY_BYTES))
    for _ in range(BODY_BYTES // 1024 - 1):
        await client.send(PIECE[:1024])
    await client.send(PIECE[: 1024 - client.is_short()])


async def _send_chunks(client):
    await client.send(client.head(_CHUNKED))
    for _ in range(32):
        await client.send(b'1\r\nx\r\n' * 1024)
    if not client.is_short():
        await client.send(b'0\r\n\r\n')


async def _send_large_chunks(client):
    await client.send(client.head(_CHUNKED))
    for _ in range(BODY_BYTES // len(PIECE)):
        await client.send(b'10000\r\n%b\r\n' % PIECE)
    if not client.is_short():
        await client.send(b'0\r\n\r\n')


async def _send_too_much(client):
    if client.index % 2:
        await client.send(client.head(_LENGTH % (16 * BODY_BYTES)))
        for _ in range(4 * BODY_BYTES // len(PIECE)):
            await client.send(PIECE)
    else:
        await client.send(client.head(_CHUNKED))
        for _ in range(4 * BODY_BYTES // len(PIECE)):
            await client.send(b'10000\r\n%b\r\n' % PIECE)


async def _send_many_fields(client):
    fields = b''.join(b'f%d:\r\n' % (n % 100) for n in range(2700))
    await client.send(client.head(fields))
    if not client.is_short():
        await client.send(b'\r\n')


async def _send_long_head(client):
    await client.send(client.head())
    for number in range(120):
        await client.send(b'f%d: %b\r\n' % (number, PIECE[:60000]))
    if not client.is_short():
        await client.send(b'\r\n')


async def _send_ahead(client):
    fields = b''.join(b'f%d:\r\n' % n for n in range(120))
    request = client.head(fields, b'GET') + b'\r\n'
    for _ in range(100):
        await client.send(request * 10)


async def _send_slowly(client):
    if client.index % 2:
        await client.send_slowly(client.head(b'f: ' + PIECE))
    else:
        await client.send(client.head(_LENGTH % BODY_BYTES))
        await client.send_slowly(PIECE)


async def _read_slowly(client):
    request = client.head(method=b'GET') + b'\r\n'
    sending = asyncio.ensure_future(client.send(request * 1000))
    try:
        await client.read_slowly()
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)


async def _stop_halfway(client):
    if client.index % 2:
        await client.send(client.head(b'f'))
    else:
        await client.send(client.head(_LENGTH % BODY_BYTES))
        await client.send(b'x' * (BODY_BYTES // 2))


@dataclasses.dataclass(frozen=True)
class _Workload:
    """What each client of a crowd does, and how many there are."""

    clients: int
    run: collections.abc.Callable[
        [_Client], collections.abc.Coroutine[None, None, None]
    ]


WORKLOADS = {
    'one-piece': _Workload(64, _send_one_piece),
    'small-pieces': _Workload(64, _send_small_pieces),
    'byte-chunks': _Workload(160, _send_chunks),
    'large-chunks': _Workload(64, _send_large_chunks),
    'far-over': _Workload(64, _send_too_much),
    'many-fields': _Workload(160, _send_many_fields),
    'long-head': _Workload(32, _send_long_head),
    'sent-ahead': _Workload(64, _send_ahead),
    'slow-senders': _Workload(320, _send_slowly),
    'slow-readers': _Workload(64, _read_slowly),
    'halfway': _Workload(320, _stop_halfway),
}


class _Watch:
    """Reads the memory and the open descriptors of a process."""

    def __init__(self, pid: int):
        self._dir = pathlib.Path(f'/proc/{pid}')
        self.fds_max = 0

    def peak_mb(self) -> float:
        for line in (self._dir / 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) / 1024
        raise AssertionError('no VmHWM')

    async def run(self) -> None:
        while True:
            self.fds_max = max(self.fds_max, len(os.listdir(self._dir / 'fd')))
            await asyncio.sleep(0.02)


async def _run_client(workload, address, index, path, stack) -> None:
    host, _, port = address.rpartition(':')
    sock = stack.enter_context(socket.socket())
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with contextlib.suppress(OSError):  # the node may close a connection
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        await workload.run(_Client(sock, index, path))


async def _until_answered(client, address, path) -> None:
    """Sends ordinary requests until one is answered with 200."""
    async with asyncio.timeout(ANSWER_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                got = await conftest.send_request(client, address, path)
                if got.status == 200:
                    return
            await asyncio.sleep(0.1)


@pytest.fixture
async def process(store, runners, tmp_path):
    """A running node process on a VM with little memory."""
    store.put('op', 'config', conftest.configuration(version=4, limits={}))
    for runner in runners.values():
        runner.body = b'x' * ANSWER_BYTES
    found = processes.Process(
        conftest.settings(
            'n1', store.address, memory_mb=MEMORY_MB, max_fds=MAX_FDS
        ),
        tmp_path / 'n1.json',
    )
    await found.start()
    yield found
    await found.stop()


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('kind', WORKLOADS)
async def test_process_survives(process, kind, path):
    """Guards against a process that such clients end, fill or stall."""
    workload = WORKLOADS[kind]
    listener, target = PATHS[path]
    address = process.addresses[listener]
    caller, ready = process.addresses['caller'], process.addresses['readiness']
    async with aiohttp.ClientSession() as client:
        await _until_answered(client, ready, READY_PATH)
        await _until_answered(client, caller, '/safe/x')
    watch = _Watch(process.proc.pid)
    watching = asyncio.ensure_future(watch.run())
    with contextlib.ExitStack() as stack:
        crowd = [
            asyncio.ensure_future(
                _run_client(workload, address, number, target, stack)
            )
            for number in range(workload.clients)
        ]
        await asyncio.wait(crowd, timeout=CROWD_S)
        # The crowd remains connected.
        async with aiohttp.ClientSession() as client:
            await _until_answered(client, ready, READY_PATH)
            await _until_answered(client, caller, '/safe/x')
        peak_mb = watch.peak_mb()
        for one in (watching, *crowd):
            one.cancel()
        await asyncio.gather(watching, *crowd, return_exceptions=True)
    print(f'peak {peak_mb:.0f} MB, {watch.fds_max} descriptors')
    assert process.proc.returncode is None
    assert peak_mb <= MEMORY_MB
    assert watch.fds_max <= MAX_FDS
