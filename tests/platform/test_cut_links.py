"""Tests of nodes that have lost their links to the runners."""

import asyncio
import collections

import pytest

from tests.platform import conftest
from tests.platform import cut_links

# Of the platform's rules: cut nodes serve like others after this time.
STABLE_S = 3.0
CUTS = ['reset', 'live', 'silent']
PATHS = ['/safe/x', '/unsafe/x', '/stream/x']


@pytest.fixture
def links(three_nodes, runners):
    """The links of three nodes, the first of which leads."""
    return [
        cut_links.NodeLinks(node, runners.values(), number)
        for number, node in enumerate(three_nodes, start=1)
    ]


class Callers:
    """Sends requests and checks that none runs twice."""

    def __init__(self, client, runners):
        self._client = client
        self._runners = runners
        self._count = 0

    async def send(self, node, path):
        """Sends one request."""
        self._count += 1
        return await conftest.send_request(
            self._client,
            node,
            path,
            method='POST',
            request_id=f'r-{self._count}',
            body=b'body %d' % self._count,
            Model='m0',
            Token_Count='10,10',
        )

    async def send_until(self, nodes, until):
        """Sends requests to nodes in turn until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            for path in PATHS:
                await asyncio.gather(*(self.send(n, path) for n in nodes))

    def most_runs(self, path):
        """Returns how often the request that ran most often has run."""
        runs = collections.Counter(
            seen.headers['request-id']
            for runner in self._runners.values()
            for seen in runner.seen
            if seen.target == path
        )
        return max(runs.values())


@pytest.fixture
def callers(client, runners):
    """Clients of all nodes."""
    return Callers(client, runners)


def memberships(runners):
    """Returns group and epoch of each engine."""
    return {
        name: (runner.group['name'], runner.group['epoch'])
        for name, runner in runners.items()
        if runner.group
    }


@pytest.mark.parametrize('how', CUTS)
@pytest.mark.parametrize('cut_nodes', [(2,), (0,), (0, 1)])
async def test_nodes_without_links_serve_through_others_and_keep_all_groups(
    three_nodes, links, callers, runners, how, cut_nodes
):
    """Whether a follower is cut off, the leader, or all but one node."""
    loop = asyncio.get_running_loop()
    before = memberships(runners)
    cut_off = [three_nodes[index] for index in cut_nodes]
    with cut_links.cut([links[index] for index in cut_nodes], how):
        await callers.send_until(three_nodes, loop.time() + STABLE_S)
        for node in [*cut_off, three_nodes[1], three_nodes[2]]:
            for path in PATHS:
                for _ in range(3):
                    got = await callers.send(node, path)
                    assert (got.status, got.is_whole) == (200, True)
                    assert 'Server-Stamp' in got.headers
        leaders = [node for node in three_nodes if node.dump()['leads']]
        assert len(leaders) == 1 and leaders[0] not in cut_off
        assert memberships(runners).items() >= before.items()
        assert not any(
            node.dump()['quarantined_parts'] for node in three_nodes
        )
    assert callers.most_runs('/unsafe/x') == 1
    await asyncio.sleep(STABLE_S)
    assert memberships(runners).items() >= before.items()
    for node in three_nodes:
        for path in PATHS:
            assert (await callers.send(node, path)).status == 200


@pytest.mark.parametrize('how', CUTS)
async def test_engines_that_only_the_leader_does_not_reach_stay_in_groups(
    three_nodes, links, callers, runners, how
):
    """Other nodes reach them; the leader reaches all the others."""
    loop = asyncio.get_running_loop()
    before = memberships(runners)
    head = conftest.open_heads(runners)[0]
    links[0].cut(how, [head])
    await callers.send_until(three_nodes, loop.time() + STABLE_S)
    assert memberships(runners).items() >= before.items()
    for node in three_nodes * 2:
        for path in PATHS:
            assert (await callers.send(node, path)).status == 200
    assert not any(node.dump()['quarantined_parts'] for node in three_nodes)


@pytest.mark.parametrize('count', [1, 3])
async def test_engine_that_is_lost_is_still_known_at_once(
    three_nodes, runners, count
):
    """By a leader alone, and by one that asks the other nodes."""
    for node in three_nodes[count:]:
        await node.close()
    before = memberships(runners)
    lost = conftest.open_heads(runners)[0]
    await lost.stop()
    await conftest.until(
        lambda: any(
            memberships(runners).get(name) != group
            for name, group in before.items()
            if group[0] == before[lost.name][0] and name != lost.name
        ),
        'group dissolved',
    )
