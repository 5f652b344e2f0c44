"""Tests of upstreams that name how many requests a second they take."""

import asyncio
import itertools

import aiohttp
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
def nodes(three_nodes):
    """Three nodes, the first of which leads."""
    return three_nodes


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
        except (aiohttp.ClientError, OSError):
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


async def _replace(nodes, load, store, index):
    """Closes a node without draining and starts another in its place."""
    await nodes[index].close()
    load.nodes.remove(nodes[index])
    again = edge.EdgeNode(conftest.settings(f'n{index + 1}', store.address))
    await again.start()
    await conftest.until(again.is_ready, 'ready')
    load.nodes.append(again)
    nodes[index] = again


async def _kill_leader(nodes, load, store):
    await _replace(nodes, load, store, 0)


async def _restart_all(nodes, load, store):
    for index in range(len(nodes)):
        await _replace(nodes, load, store, index)
        await asyncio.sleep(1.0)


async def _lose_store(nodes, load, store):
    store.faults.down = True


async def _lose_store_and_leader(nodes, load, store):
    store.faults.down = True
    await nodes[0].close()
    load.nodes.remove(nodes[0])


@pytest.mark.parametrize(
    'happen', [_kill_leader, _restart_all, _lose_store, _lose_store_and_leader]
)
async def test_limits_hold_while_nodes_and_store_come_and_go(
    nodes, store, runners, client, happen
):
    """The sum holds, and some requests are served all the while."""
    load = Load(client, runners, nodes)
    name_limits(runners)
    await load.run(KNOWN_S)
    began_at = asyncio.get_running_loop().time()
    task = asyncio.ensure_future(load.run(WINDOW_S + 3.0))
    await asyncio.sleep(1.0)
    try:
        await happen(nodes, load, store)
        await task
        ended_at = asyncio.get_running_loop().time()
        for runner in conftest.open_heads(runners):
            assert most_arrivals(runner, began_at) <= ARRIVALS_MAX
        assert any(
            seen.at > ended_at - WINDOW_S
            for runner in runners.values()
            for seen in runner.seen
        )
    finally:
        for one in nodes:
            await one.close()


@pytest.mark.parametrize(
    'path, limited', [('/stream/x', 1), ('/safe/x', 1), ('/unsafe/x', 1)]
)
async def test_upstream_without_a_limit_serves_what_others_can_not(
    nodes, runners, client, path, limited
):
    """Nothing is refused while another upstream has room."""
    heads = [one.name for one in conftest.open_heads(runners)]
    name_limits(runners, prefix=heads[0] if 'stream' in path else 'p-1')
    load = Load(client, runners, nodes, path)
    await load.run(3.0)
    assert set(load.statuses()) == {200}


async def test_requests_beyond_all_limits_are_refused_at_once(
    nodes, runners, client
):
    """Whoever is refused is told so while there is time to come back."""
    name_limits(runners)
    load = Load(client, runners, nodes)
    await load.run(KNOWN_S)
    load.done.clear()
    await load.run(3.0)
    refused = [
        (got, seconds) for got, seconds in load.done if got.status == 503
    ]
    assert len(refused) > len(load.done) / 2
    for got, seconds in refused:
        assert 0 < float(got.headers['Retry-After']) <= 4.0 / 3
        assert seconds < 0.5


@pytest.mark.parametrize('path', ['/stream/x', '/unsafe/x'])
@pytest.mark.parametrize('is_called', [True, False])
async def test_limit_ends_when_answers_name_none(
    nodes, runners, client, path, is_called
):
    """Upstreams that no one calls are asked."""
    name_limits(runners)
    load = Load(client, runners, nodes, path)
    await load.run(KNOWN_S)
    assert all(one.dump()['upstream_limits'] for one in nodes)
    name_limits(runners, 0)
    if is_called:
        await load.run(STABLE_S)
    else:
        await asyncio.sleep(STABLE_S + 1.0)
    assert [one.dump()['upstream_limits'] for one in nodes] == [{}, {}, {}]
    load.done.clear()
    await load.run(1.0)
    assert set(load.statuses()) == {200}


@pytest.mark.parametrize('stream_end', ['reset', 'torn'])
async def test_resumed_streams_count_against_the_limit(
    nodes, runners, client, stream_end
):
    """Each run of a stream that breaks off reaches an upstream."""
    for runner in runners.values():
        runner.faults.events = 2
        runner.faults.stream_end = stream_end
    await offer_while_limited(Load(client, runners, nodes), runners)


@pytest.mark.parametrize('answer', ['reset', 'error', 'not_run'])
@pytest.mark.parametrize('path', ['/stream/x', '/safe/x'])
async def test_failed_and_refused_requests_count_against_the_limit(
    nodes, runners, client, path, answer
):
    """An upstream in need gets each of them, whatever it makes of it."""
    load = Load(client, runners, nodes, path)
    name_limits(runners)
    await load.run(KNOWN_S)
    began_at = asyncio.get_running_loop().time()
    for runner in runners.values():
        runner.faults.answer = answer
    await load.run(WINDOW_S)
    for runner in runners.values():
        assert most_arrivals(runner, began_at) <= ARRIVALS_MAX


@pytest.mark.parametrize(
    'text, expected',
    [
        ('2', 2.0),
        ('0.25', 0.25),
        ('0', 0.0),
        ('', None),
        ('-1', None),
        ('1e3', None),
        ('nan', None),
        ('2,0', None),
    ],
)
async def test_limit_is_a_decimal_number(
    node, runners, client, text, expected
):
    """Other values are logged and change nothing."""
    for runner in runners.values():
        runner.faults.rate_limit = text
    got = await conftest.send_request(client, node, '/safe/x')
    assert got.status == 200
    found = [
        value
        for name, value in node.dump()['upstream_limits'].items()
        if name.startswith('p-')
    ]
    assert found == ([] if expected is None else [expected])


async def test_another_runner_at_the_address_names_no_limit(
    node, runners, client
):
    """Its answer says nothing of the runner that was called."""
    for name in ('p-1', 'p-2'):
        runners[name].faults.rate_limit = '2'
        runners[name].name = 'other'
    await conftest.send_request(client, node, '/safe/x')
    assert node.dump()['upstream_limits'] == {}
