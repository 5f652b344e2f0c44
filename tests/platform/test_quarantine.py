"""Tests of requests that crash each engine that begins to answer them."""

import asyncio
import itertools

import pytest

from plantainway import edge
from plantainway.platform import _ingress
from plantainway import traffic
from tests.platform import conftest
from tests.platform import runner_standin

CRASH_PART = 'p1'
CRASH_BODY = b'deadly'
FIRST = 'f0'  # all requests of the tests begin with this part
# Of the platform's rules: all nodes know after this time what one has learnt,
# and three requests may reach engines after that.
STABLE_S = 3.0
CRASHES_KNOWN = 5
REQUESTS_MAX = 3


@pytest.fixture
def nodes(three_nodes, runners):
    """Three nodes, the first of which leads; engines that can crash."""
    for runner in runners.values():
        runner.faults.crash_part = CRASH_PART
    return three_nodes


class Callers:
    """Sends requests with and without the part, no two alike."""

    def __init__(self, client, runners):
        self._client = client
        self._runners = runners
        self._count = 0

    async def send(self, node, *parts):
        """Sends a request with these parts between its first and its last."""
        self._count += 1
        prefix = [FIRST, *parts, f'last{self._count}']
        return await conftest.send_request(
            self._client,
            node,
            '/stream/x',
            method='POST',
            body=f'prompt {self._count}'.encode(),
            request_id=f'r-{self._count}',
            Model='m0',
            Token_Count='10,10',
            Prefix_Hash=','.join(f'{part}:40' for part in prefix),
        )

    def arrivals(self):
        """Returns how many requests with the part reached engines."""
        return sum(
            CRASH_PART in seen.headers.get('prefix-hash', '')
            for runner in self._runners.values()
            for seen in runner.seen
        )

    def crashes(self):
        """Returns how often engines have crashed."""
        return sum(runner.crashes for runner in self._runners.values())

    async def crash_engines(self, nodes, count=CRASHES_KNOWN):
        """Sends such requests among sound ones until engines have crashed.

        Returns after the time by which all nodes have to know. Ends sooner if
        no such request reaches an engine any more.

        Args:
            nodes: The nodes, which get the requests in turn.
            count: Number of crashes.
        """
        async with asyncio.timeout(conftest.WAIT_S):
            for node in itertools.cycle(nodes):
                before = self.arrivals()
                await asyncio.gather(
                    self.send(node, CRASH_PART),
                    self.send(node),
                    self.send(node),
                )
                if self.crashes() >= count or self.arrivals() == before:
                    break
                await self.wait_for_repair()
        await asyncio.sleep(STABLE_S)

    async def wait_for_repair(self):
        """Waits until crashed engines are back and in open groups."""
        await asyncio.sleep(runner_standin.RESTART_S)
        await conftest.until(
            lambda: len(conftest.open_heads(self._runners)) >= 2, 'groups'
        )
        await asyncio.sleep(0.3)  # until all nodes have seen it

    async def assert_refused(self, nodes, before):
        """Checks that nodes refuse the part and serve all other requests.

        Args:
            nodes: The nodes.
            before: Requests with the part that have reached engines so far.
        """
        await self.wait_for_repair()
        for node in nodes * 2:
            seen, crashes = self.arrivals(), self.crashes()
            got = await self.send(node, CRASH_PART)
            if self.arrivals() == seen:
                assert got.status == 503
                assert 'Server-Stamp' not in got.headers
            if self.crashes() > crashes:
                await self.wait_for_repair()
        assert self.arrivals() - before <= REQUESTS_MAX
        for node in nodes * 3:
            got = await self.send(node)
            assert (got.status, got.is_whole) == (200, True)


@pytest.fixture
def callers(client, runners):
    """Clients whose prompts have parts in common."""
    return Callers(client, runners)


async def test_part_that_crashes_engines_is_refused_by_all_nodes(
    nodes, callers
):
    """Whatever else the requests hold; sound ones go on."""
    await callers.crash_engines(nodes)
    await callers.assert_refused(nodes, callers.arrivals())


async def test_restarted_node_learns_which_part_crashes_engines(
    nodes, callers, store
):
    """A follower that knew it is replaced by a process that does not."""
    await callers.crash_engines(nodes)
    await nodes[2].close()
    async with conftest.running(
        conftest.settings('n3', store.address)
    ) as again:
        members = [*nodes[:2], again]
        await conftest.until_linked(members)
        await asyncio.sleep(STABLE_S)
        await callers.assert_refused(members, callers.arrivals())


async def test_node_that_starts_reads_the_quarantine_with_the_lease(
    node, store, callers
):
    """It need not wait for its link to the leader."""
    node._dependencies.quarantine.add(CRASH_PART)
    await conftest.until(
        lambda: store.value('plantainway', 'quarantine'), 'stored'
    )
    await node.close()
    calls = len(store.calls)
    async with conftest.running(
        conftest.settings('n2', store.address)
    ) as later:
        await conftest.until(later.is_ready, 'ready')
        await conftest.until(
            lambda: later.dump()['quarantined_parts'], 'quarantine read'
        )
        assert not later.dump()['leads'] and not later.dump()['term'] > 1
        assert store.calls[calls:].count('get') == 3  # two tables, the lease


async def test_new_leader_knows_which_part_crashes_engines(
    nodes, callers, store
):
    """The leader is replaced; a later node learns it from the new one."""
    await callers.crash_engines(nodes)
    await nodes[0].close()
    async with conftest.running(
        conftest.settings('n4', store.address)
    ) as later:
        members = [*nodes[1:], later]
        await conftest.until(
            lambda: any(one.dump()['leads'] for one in members), 'leader'
        )
        await conftest.until_linked(members)
        await asyncio.sleep(STABLE_S)
        await callers.assert_refused(members, callers.arrivals())


async def test_part_that_crashes_engines_is_known_after_a_common_restart(
    nodes, callers, store
):
    """All nodes restart at once; the store keeps what they learnt."""
    await callers.crash_engines(nodes)
    for one in nodes:
        await one.close()
    again = [
        edge.EdgeNode(conftest.settings(name, store.address))
        for name in ('n1', 'n2')
    ]
    try:
        for one in again:
            await one.start()
        await conftest.until_linked(again)
        await asyncio.sleep(STABLE_S)
        await callers.assert_refused(again, callers.arrivals())
    finally:
        for one in again:
            await one.close()


async def test_part_that_crashes_engines_is_refused_without_the_store(
    nodes, callers, store
):
    """What one node learns reaches the others while the store is away."""
    await callers.send(nodes[1], CRASH_PART)
    await callers.wait_for_repair()
    store.faults.down = True
    before = callers.crashes()
    for one in nodes:
        await callers.send(one, CRASH_PART)
    assert callers.crashes() > before
    await asyncio.sleep(STABLE_S)
    for one in nodes:
        assert list(one.dump()['quarantined_parts']) == [CRASH_PART]


class RepeatingCaller:
    """Sends one request again and again; its body crashes runners."""

    def __init__(self, client, runners, path):
        self._client = client
        self._runners = runners
        self._path = path
        self._count = 0

    async def send(self, node, body=CRASH_BODY, path='', key='k1'):
        """Sends the request, or one that differs from it."""
        self._count += 1
        return await conftest.send_request(
            self._client,
            node,
            path or self._path,
            method='POST',
            key=key,
            body=body,
            request_id=f'r-{self._count}',
            Model='m0',
            Token_Count='10,10',
            Prefix_Hash=f'{FIRST}:40,last:40',
        )

    def arrivals(self):
        """Returns how often the request reached a runner."""
        return sum(
            (seen.target, seen.body) == (self._path, CRASH_BODY)
            and seen.headers['tenant'] == 't1'
            for runner in self._runners.values()
            for seen in runner.seen
        )

    async def wait_for_restart(self):
        """Waits until all runners are registered, and groups are open."""
        await asyncio.sleep(runner_standin.RESTART_S)
        await conftest.until(
            lambda: len(conftest.open_heads(self._runners)) >= 2, 'groups'
        )
        await asyncio.sleep(0.3)  # until all nodes have seen it

    async def crash_runners(self, nodes):
        """Sends the request until three runners have crashed."""
        async with asyncio.timeout(conftest.WAIT_S):
            for node in itertools.cycle(nodes):
                await self.send(node)
                if self.arrivals() >= REQUESTS_MAX:
                    break
                await self.wait_for_restart()
        await asyncio.sleep(STABLE_S)


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x?q=1'])
async def test_repeated_request_that_crashes_runners_is_refused_by_all_nodes(
    three_nodes, runners, client, store, path
):
    """Requests that differ in path, account or body go on."""
    tenants = [
        {'name': name, 'apiKeys': [key], 'priority': 1}
        for name, key in (('t1', 'k1'), ('t2', 'k2'))
    ]
    store.put('op', 'config', conftest.configuration(4, tenants=tenants))
    for runner in runners.values():
        runner.faults.crash_body = CRASH_BODY
    caller = RepeatingCaller(client, runners, path)
    await caller.send(three_nodes[0], b'sound')
    await caller.crash_runners(three_nodes)
    before = caller.arrivals()
    for node in three_nodes * 2:
        await caller.wait_for_restart()
        got = await caller.send(node)
    assert caller.arrivals() - before <= REQUESTS_MAX
    assert (got.status, 'Server-Stamp' in got.headers) == (503, False)
    for runner in runners.values():
        runner.faults.crash_body = b''
    for node in three_nodes:
        for other in (
            {'body': b'sound'},
            {'path': path + 'y'},
            {'key': 'k2'},
        ):
            got = await caller.send(node, **other)
            assert (got.status, got.is_whole) == (200, True), other


@pytest.mark.parametrize(
    'has_run, status, runs', [(False, 503, 0), (True, 502, 1)]
)
async def test_request_in_progress_is_not_sent_again(
    node, runners, callers, has_run, status, runs
):
    """It is refused as not run only if it has not been sent."""
    for runner in runners.values():
        runner.faults.answer = 'hang' if has_run else 'not_run'
    task = asyncio.ensure_future(callers.send(node, CRASH_PART))
    await conftest.until(lambda: callers.arrivals(), 'sent')
    sent = callers.arrivals()
    node._dependencies.quarantine.add(CRASH_PART)
    for runner in runners.values():
        if has_run and runner.seen:
            await runner.stop()
    got = await task
    assert got.status == status
    assert callers.arrivals() <= sent + (1 - runs)


@pytest.mark.parametrize(
    'text, expected',
    [
        ('', ()),
        ('a:40', ()),
        ('a:40,b:7', ('a',)),
        (' a:40 , b:7 ,c:1', ('a', 'b')),
        ('a,,b:1,c:2', ('a', 'b')),
        ('x' * 65 + ':1,a:1,b:1', ('a',)),
        (','.join(f'p{n}:1' for n in range(99)), 64),
    ],
)
def test_shared_parts_are_all_but_the_last(text, expected):
    """Ids that are too long, and too many, are left out."""
    found = _ingress._parse_shared_parts(text)
    assert expected in (found, len(found))


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x'])
async def test_quarantine_holds_on_all_routes(node, runners, client, path):
    """A prompt may go to any kind of route."""
    node._dependencies.quarantine.add('a')
    for prefix, status in (('b:1,a:1,c:1', 503), ('b:1,c:1,a:1', 200)):
        got = await conftest.send_request(
            client,
            node,
            path,
            method='POST',
            Model='m0',
            Token_Count='10,10',
            Prefix_Hash=prefix,
        )
        assert got.status == status
        assert ('Retry-After' in got.headers) == (status == 503)
    assert sum(len(runner.seen) for runner in runners.values()) == 1


async def test_waiting_request_is_refused_once_its_part_is_known(
    node, runners, callers
):
    """It is not sent although its turn has come."""
    for runner in runners.values():
        runner.faults.answer = 'hang'
    capacity = 2 * (4 + traffic.MAX_QUEUED_PER_GROUP)
    running = [
        asyncio.ensure_future(callers.send(node)) for _ in range(capacity)
    ]
    await conftest.until(
        lambda: sum(len(one.seen) for one in runners.values()) == capacity,
        'all full',
    )
    waiting = asyncio.ensure_future(callers.send(node, CRASH_PART))
    await conftest.until(
        lambda: sum(node.dump()['queues'].values()) == 1, 'waiting'
    )
    node._dependencies.quarantine.add(CRASH_PART)
    for task in running:
        task.cancel()
    got = await waiting
    assert (got.status, callers.arrivals()) == (503, 0)
    await conftest.until(
        lambda: sum(node.dump()['loads'].values()) == 0, 'all have ended'
    )
