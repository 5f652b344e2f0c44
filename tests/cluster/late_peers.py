"""Peers that run in a thread of their own, beside a late event loop."""

import asyncio
import threading

from plantainway import clock as clocks
from plantainway import cluster
from tests.cluster import test_hub


def new_beat(name: str, **more) -> cluster.Heartbeat:
    """Returns a heartbeat of a node."""
    info = cluster.NodeInfo(name, f'{name}:1', 'a', 1.0, True)
    return cluster.Heartbeat(info, {}, [], {}, **more)


def new_hub() -> cluster.Hub:
    """Returns the hub of a leader, ``n0``."""
    clock = clocks.MonotonicClock()
    rows = cluster.TableCache('t', clock)
    lease = test_hub.Lease(True)
    return cluster.Hub('n0', lease, [rows], lambda: new_beat('n0'), clock)


def new_link(own_heartbeat) -> cluster.HubClient:
    """Returns the link of a node."""
    clock = clocks.MonotonicClock()
    rows = cluster.TableCache('t', clock)
    return cluster.HubClient([rows], own_heartbeat, clock)


class PeerThread:
    """Runs coroutines on an event loop in another thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._tasks = []

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def run(self, coro):
        """Returns the result of a coroutine, and blocks until then."""
        return asyncio.run_coroutine_threadsafe(coro, self.loop).result(9.0)

    def spawn(self, coro) -> None:
        """Starts a coroutine, which ends with the thread at the latest."""
        self._tasks.append(asyncio.run_coroutine_threadsafe(coro, self.loop))

    def stop(self) -> None:
        """Ends all coroutines and the thread."""
        for task in self._tasks:
            task.cancel()
        self.run(asyncio.sleep(0.05))
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()
