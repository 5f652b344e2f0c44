"""A TCP proxy that delays, resets or blocks traffic."""

import asyncio
import contextlib
import enum
import os
import pathlib
import re

CHUNK_BYTES = 65536
FORWARDING_DELAY_S = 0.15


class Mode(enum.Enum):
    """Treatment of connections and data by a proxy.

    SILENT blocks both directions with connections left open; CUT_TO
    blocks only data to the target, CUT_FROM only data from it.
    """

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    CUT_TO = 'cut_to'
    CUT_FROM = 'cut_from'


def local_ports(pid: int) -> set[int]:
    """Returns the local TCP ports of a process.

    Args:
        pid: Its id.
    """
    return _find_ports(_socket_inodes(pid), rb'[0-9A-F]{4}')


def has_port(pids, port: int) -> bool:
    """Returns whether a local TCP port belongs to one of some processes.

    Args:
        pids: Ids of the processes.
        port: The port.
    """
    inodes = set().union(*map(_socket_inodes, pids))
    return bool(_find_ports(inodes, b'%04X' % port))


def _find_ports(inodes: set[int], pattern: bytes) -> set[int]:
    """Returns those ports of sockets that match a pattern of hex digits."""
    rows = re.findall(
        rb':(%s) [0-9A-F]{8}:[0-9A-F]{4} (?:\S+ +){6}(\d+) ' % pattern,
        pathlib.Path('/proc/net/tcp').read_bytes(),
    )
    return {int(port, 16) for port, inode in rows if int(inode) in inodes}


def _socket_inodes(pid: int) -> set[int]:
    found = set()
    with contextlib.suppress(OSError):
        for fd in os.scandir(f'/proc/{pid}/fd'):
            with contextlib.suppress(OSError):
                name = os.readlink(fd.path)
                if name.startswith('socket:['):
                    found.add(int(name[len('socket:[') : -1]))
    return found


class Proxy:
    """A TCP proxy for one address.

    Args:
        target: ``HOST:PORT`` to forward connections to.
        cut_pids: Ids of processes whose connections are reset; the owner
            changes the set and calls ``reset_ports``.
    """

    def __init__(self, target: str, cut_pids=frozenset()):
        self._target = target
        self._cut_pids = cut_pids
        self.mode = Mode.PASS
        self._passing = asyncio.Event()
        self._passing.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Starts to listen on a free port.

        Returns:
            ``HOST:PORT`` of the proxy, to use in place of the target.
        """
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def stop(self) -> None:
        """Closes the listening socket and aborts all connections."""
        self._server.close()
        self._abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_mode(self, mode: Mode) -> None:
        """Sets the treatment of open and new connections.

        Args:
            mode: New mode; RESET also aborts open connections.
        """
        self.mode = mode
        if mode is Mode.RESET:
            self._abort()
        if mode in (Mode.SILENT, Mode.CUT_TO, Mode.CUT_FROM):
            self._passing.clear()
        else:
            self._passing.set()

    async def _is_cut(self, writer) -> bool:
        # A thread, since the table of sockets may take long to read.
        pids = tuple(self._cut_pids)
        return bool(pids) and await asyncio.to_thread(
            has_port, pids, _peer_port(writer)
        )

    def reset_ports(self, ports: set[int]) -> None:
        """Resets the open connections of a process that is cut off.

        Args:
            ports: Local ports of the process.
        """
        for writer in list(self._writers):
            if _peer_port(writer) in ports:
                writer.transport.abort()

    def _abort(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if self.mode is Mode.RESET or await self._is_cut(writer):
                writer.transport.abort()
                return
            host, _, port = self._target.rpartition(':')
            other_reader, other = await asyncio.open_connection(host, port)
            self._writers.add(other)
            await asyncio.gather(
                self._pump(reader, other, Mode.CUT_TO),
                self._pump(other_reader, writer, Mode.CUT_FROM),
            )
            other.close()
        except (ConnectionError, OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _pump(self, reader, writer, cut: Mode) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(FORWARDING_DELAY_S)
                while self.mode in (Mode.SILENT, cut):
                    await self._passing.wait()
                writer.write(data)
                await writer.drain()
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
        except ConnectionError:
            # Forward the reset to the other side, as without the proxy.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)


def _peer_port(writer) -> int:
    return (writer.get_extra_info('peername') or ('', 0))[1]
