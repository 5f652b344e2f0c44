"""Cuts the links between one node and the runner stand-ins."""

import contextlib
import socket

from plantainway.platform import _upstreams


class NodeLinks:
    """The links of one node to all runners.

    The node binds an address of its own, by which the runners know it.

    Args:
        node: A started node.
        runners: The runners.
        number: Number of the node among those of a test, from 1.
    """

    def __init__(self, node, runners, number: int):
        self.source = f'127.0.1.{number}'
        self._runners = list(runners)
        self._refuses = set()
        for session in (node._pooled_session, node._unpooled_session):
            session.connector._socket_factory = self._open_socket
            # The first connections were opened from another address.
            for conns in session.connector._conns.values():
                for protocol, _released_at in conns:
                    protocol.close()

    def _open_socket(self, addr_info) -> socket.socket:
        port = addr_info[4][1]
        if f'127.0.0.1:{port}' in self._refuses:
            raise ConnectionRefusedError(111, 'cut off')
        sock = _upstreams._open_socket(addr_info)
        sock.bind((self.source, 0))
        return sock

    def cut(self, how: str, runners=None) -> None:
        """Cuts links.

        Args:
            how: ``reset`` resets open connections, ``live`` leaves them as
                they are; new ones are refused. ``silent`` lets all of them
                hang.
            runners: The runners, by default all.
        """
        runners = self._runners if runners is None else runners
        for runner in runners:
            if how == 'silent':
                runner.silent_for.add(self.source)
                continue
            self._refuses.add(runner.address)
            if how == 'reset':
                runner.reset_connections(self.source)

    def heal(self) -> None:
        """Ends all cuts."""
        self._refuses.clear()
        for runner in self._runners:
            runner.silent_for.discard(self.source)
            runner.reset_connections(self.source, if_silent=True)


@contextlib.contextmanager
def cut(links, how: str):
    """Cuts the links of some nodes for the time of a block.

    Args:
        links: Links of each of the nodes.
        how: As in ``NodeLinks.cut``.
    """
    for one in links:
        one.cut(how)
    try:
        yield
    finally:
        for one in links:
            one.heal()
