"""Tests of who believes whom about an engine that the leader can't reach."""

import asyncio
import random
import types

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway import deployment
from plantainway.edge import _witness
from plantainway import traffic

NODES = 15
ENGINES = 30


class Cluster:
    """A leader, other nodes and the links between nodes and engines.

    Args:
        cut: Pairs of node and engine whose link is cut.
        lost: Engines that no node reaches.
    """

    def __init__(self, cut, lost=(), nodes=NODES):
        self.cut = cut
        self.lost = lost
        self.clock = clocks.ManualClock()
        self.names = [f'n{number}' for number in range(nodes)]
        self.engines = {
            f'e{n}': deployment.Upstream(f'e{n}', 's', 'h:1', 'a', 4, False)
            for n in range(ENGINES)
        }
        self.monitor = traffic.LinkMonitor(self.clock)
        self.infos = [
            cluster.NodeInfo(name, '', 'a', 1.0, True, 'h:2')
            for name in self.names
        ]
        self.leader = _witness.LossWitness(
            lambda: self.infos[1:], self._link_task('n0'), self.monitor
        )
        self.leader.on_asked.append(self.ask_all)
        book = types.SimpleNamespace(by_name=self.engines)
        self.tasks = {
            name: _witness.WitnessTask(
                name,
                types.SimpleNamespace(book=book),
                self._link_task(name),
                self.clock,
                asyncio.ensure_future,
                lambda name=name: self.leader.handle_answers(
                    name, self.tasks[name].answers()
                ),
            )
            for name in self.names[1:]
        }

    def reaches(self, node, engine):
        """Returns whether a node reaches an engine."""
        return engine not in self.lost and (node, engine) not in self.cut

    def _link_task(self, node):
        async def reaches(upstream):
            return self.reaches(node, upstream.name)

        async def check():
            return any(self.reaches(node, name) for name in self.engines)

        return types.SimpleNamespace(reaches=reaches, check=check)

    def ask_all(self):
        """Sends the leader's questions to all nodes."""
        for task in self.tasks.values():
            task.handle_questions('n0', self.leader.questions(), self.infos)

    async def lost_engines(self):
        """Returns the engines that the leader takes for lost."""
        doubted = [
            item
            for item in self.engines.values()
            if not self.reaches('n0', item.name)
        ]
        answers = await asyncio.gather(
            *(self.leader.is_lost(item) for item in doubted)
        )
        return {
            item.name
            for item, is_lost in zip(doubted, answers, strict=True)
            if is_lost
        }


@pytest.mark.parametrize('lost', [(), ('e0', 'e7', 'e8')])
@pytest.mark.parametrize('cut_nodes', [0, 1, 4, 7])
async def test_cut_of_whole_nodes_makes_no_engine_lost(cut_nodes, lost):
    """The leader among them; witnesses that are cut off say nothing."""
    cut = {
        (f'n{n}', f'e{e}') for n in range(cut_nodes) for e in range(ENGINES)
    }
    found = await Cluster(cut, lost).lost_engines()
    assert found == set(lost)


async def test_leader_among_many_nodes_that_are_cut_off_takes_none_for_lost():
    """All witnesses of some engines are cut off, too."""
    cut = {
        (f'n{n}', f'e{e}') for n in range(NODES - 1) for e in range(ENGINES)
    }
    assert await Cluster(cut).lost_engines() == set()


@pytest.mark.parametrize('seed', range(20))
async def test_cut_of_some_links_makes_no_engine_lost(seed):
    """Each engine loses its links to three nodes in ten."""
    rng = random.Random(seed)
    cut = {
        (node, f'e{e}')
        for e in range(ENGINES)
        for node in rng.sample([f'n{n}' for n in range(NODES)], 4)
    }
    found = await Cluster(cut, ('e3',)).lost_engines()
    assert found == {'e3'}


@pytest.mark.parametrize(
    'nodes, cut_nodes, expected',
    [
        (1, (), {'e1'}),
        # Nobody can say better.
        (1, ('n0',), {f'e{n}' for n in range(ENGINES)}),
        (2, (), {'e1'}),
        (2, ('n0',), {'e1'}),
        # The other node sees nothing, the leader reaches others.
        (2, ('n1',), {'e1'}),
        (3, ('n0', 'n1'), {'e1'}),
    ],
)
async def test_small_clusters_decide(nodes, cut_nodes, expected):
    """With the evidence that there is."""
    cut = {(name, f'e{e}') for name in cut_nodes for e in range(ENGINES)}
    found = await Cluster(cut, ('e1',), nodes).lost_engines()
    assert found == expected


async def test_engine_that_others_reach_speaks_against_the_own_links():
    """The leader checks its links, and may hand the lease over."""
    made = Cluster({('n0', f'e{e}') for e in range(ENGINES)})
    await made.lost_engines()
    assert made.monitor.is_suspicious


def test_all_nodes_choose_the_same_witnesses():
    """Different engines are asked for at different nodes."""
    names = [f'n{n}' for n in range(NODES)]
    chosen = {
        engine: _witness.choose_witnesses(names, engine)
        for engine in ('e1', 'e2', 'e3')
    }
    for engine, found in chosen.items():
        assert len(found) == _witness.WITNESSES_MAX
        assert found == _witness.choose_witnesses(names[::-1], engine)
    assert len({tuple(sorted(found)) for found in chosen.values()}) > 1
