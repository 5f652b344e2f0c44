"""Tests of the demo."""

import asyncio

import pytest

from plantainway import demo
from plantainway import node

RUN_TIMEOUT_S = 150.0  # a run takes some 10 s


@pytest.mark.parametrize(
    'breach, held', [('', True), ('double-run', False), ('half-group', False)]
)
async def test_demo(breach, held, capsys):
    """All promises are held unless a breach is injected."""
    async with asyncio.timeout(RUN_TIMEOUT_S):
        assert await demo.run(breach) is held
    assert 'whole-groups' in capsys.readouterr().out


async def test_stream_that_hangs_ends_the_demo_with_what_engines_do(
    capsys, monkeypatch
):
    """It used to stand still until the deadline of the request."""
    monkeypatch.setattr(demo, 'STEP_TIMEOUT_S', 2.0)
    stop = node.Node.drain

    async def pause_engines(self):
        for engine in clusters[0].fleet.engines.values():
            engine.pause()
        await stop(self)

    clusters = []
    start = demo.DemoCluster.start

    async def remember(self, *args):
        clusters.append(self)
        await start(self, *args)

    monkeypatch.setattr(demo.DemoCluster, 'start', remember)
    monkeypatch.setattr(node.Node, 'drain', pause_engines)
    async with asyncio.timeout(RUN_TIMEOUT_S):
        assert not await demo.run()
    printed = capsys.readouterr().out
    assert 'did not stop' in printed
    assert 'paused=True' in printed and '/150' in printed
