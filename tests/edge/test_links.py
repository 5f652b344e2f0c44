"""Tests of the task that checks this node's links."""

import asyncio
import random
import types

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway.edge import _links
from plantainway import traffic


class _Setup:
    """A link task, upstreams and whether they answer."""

    def __init__(self, upstreams):
        self.answers = True
        self.asked = []
        self.checks = 0
        items = [
            deployment.Upstream(f'e{n}', 's', 'h:1', 'a', 4, False)
            for n in range(upstreams)
        ]
        book = types.SimpleNamespace(
            by_name={item.name: item for item in items}
        )
        self.monitor = traffic.LinkMonitor(clocks.MonotonicClock())
        record_check = self.monitor.record_check

        def count(*counts):
            self.checks += 1
            record_check(*counts)

        self.monitor.record_check = count
        self.task = _links.LinkTask(
            self.monitor,
            types.SimpleNamespace(book=book, configuration=None),
            self,
            random.Random(1),
        )

    async def is_reached(self, upstream, _health_path):
        """Answers for an upstream."""
        self.asked.append(upstream.name)
        return self.answers

    def fail(self):
        """Records that two upstreams have failed."""
        self.monitor.record_failure('a')
        self.monitor.record_failure('b')


@pytest.mark.parametrize('upstreams', [0, 1, 9])
@pytest.mark.parametrize('answers', [False, True])
async def test_links_are_checked_now_and_then_while_they_are_suspicious(
    upstreams, answers
):
    """Also without any upstream that could be asked."""
    setup = _Setup(upstreams)
    setup.answers = answers
    running = asyncio.ensure_future(setup.task.run())
    await asyncio.sleep(0.05)
    assert not setup.asked
    setup.fail()
    await asyncio.sleep(0.3)
    assert 1 <= setup.checks <= 20
    assert setup.monitor.is_lost is (bool(upstreams) and not answers)
    setup.answers = True
    await asyncio.sleep(2 * _links.CHECK_INTERVAL_S)
    assert not setup.monitor.is_lost
    running.cancel()


async def test_callers_at_the_same_time_share_a_check():
    """Several engines are doubted at once when a domain is lost."""
    setup = _Setup(9)
    await asyncio.gather(*(setup.task.check() for _ in range(5)))
    assert setup.checks == 1
