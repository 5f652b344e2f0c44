"""Tests of upstreams that name how many requests a second they take."""

import asyncio
import contextlib
import itertools

import pytest

from plantainway import edge
from tests.platform import conftest

LIMIT = 2.0  # requests a second
# Of the platform's rules: in any window after the settling time an upstream
# gets at most this many requests.
STABLE_S = 3.0
WINDOW_S = 4.0
ARRIVALS_MAX = 1.5 * LIMIT * WINDOW_S + 5
# All nodes know a limit this long after an answer named it.
KNOWN_S = 1.0
OFFERED_PER_S = 30.0


@pytest.fixture
async def nodes(store, runners, node):
    """Three nodes, the first of which leads."""
    async with contextlib.AsyncExitStack() as stack:
        others = [
            await stack.enter_async_context(
                conftest.running(conftest.settings(name, store.address))
            )
            for name in ('n2', 'n3')
        ]
        found = [node, *others]
        await until_linked(found)
        yield found


async def until_linked(nodes):
    """Waits until nodes are ready and know of one another."""
    for one in nodes:
        await conftest.until(one.is_ready, 'ready')
        await conftest.until(
            lambda one=one: len(one.dump()['nodes']) == len(nodes), 'linked'
        )


class Load:
    """Requests at a steady rate to nodes in turn, each with its outcome.

    ``done`` holds response and seconds of each request that has ended; the
    list of nodes may change meanwhile.
    """

    def __init__(self, client, runners, nodes, path='/stream/x'):
        self._client = client
        self._runners = runners
        self._path = path
        self.nodes = list(nodes)
        self.done = []

    async def _send(self, node, number):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            got = await conftest.send_request(
                self._client,
                node,
                self._path,
                method='POST',
                request_id=f'r-{number}',
                Model='m0',
                Token_Count='10,10',
                Prefix_Hash=f'last{number}:40',
            )
        except OSError:
            return  # the node has been closed
        self.done.append((got, loop.time() - began_at))

    async def run(self, seconds, per_s=OFFERED_PER_S):
        """Sends requests for some seconds and waits for their ends."""
        tasks = []
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        for number in itertools.count():
            if loop.time() >= ends_at:
                break
            node = self.nodes[number % len(self.nodes)]
            tasks.append(asyncio.ensure_future(self._send(node, number)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    def statuses(self):
        """Returns the statuses of the requests that have ended."""
        return [got.status for got, _seconds in self.done]


def name_limits(runners, per_second=LIMIT, prefix=''):
    """Makes runners whose names begin so name a limit, or none for 0."""
    for name, runner in runners.items():
        if name.startswith(prefix):
            runner.faults.rate_limit = str(per_second) if per_second else ''


def most_arrivals(runner, since):
    """Returns the most requests that a runner got in a window after a time."""
    times = [seen.at for seen in runner.seen if seen.at >= since]
    return max(
        (sum(at <= other < at + WINDOW_S for other in times) for at in times),
        default=0,
    )


async def offer_while_limited(load, runners, seconds=KNOWN_S + WINDOW_S):
    """Offers more than all limits allow, and checks what upstreams get."""
    await load.run(1.0)
    began_at = asyncio.get_running_loop().time()
    name_limits(runners)
    await load.run(seconds)
    for runner in runners.values():
        found = most_arrivals(runner, began_at + KNOWN_S)
        assert found <= ARRIVALS_MAX, runner.name


@pytest.mark.parametrize('path', ['/stream/x', '/safe/x', '/unsafe/x'])
async def test_nodes_together_send_no_more_than_upstreams_take(
    nodes, runners, client, path
):
    """Each node alone stays far below the limit."""
    load = Load(client, runners, nodes, path)
    await offer_while_limited(load, runners)
    assert set(load.statuses()) == {200, 503}
