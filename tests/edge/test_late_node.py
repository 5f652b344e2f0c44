"""Tests of a leader whose event loop runs late."""

import asyncio
import time
import types

import pytest

from plantainway.cluster import _hub
from plantainway import deployment
from plantainway.edge import _witness
from tests.cluster import late_peers
from tests.platform import conftest

LATE_S = 1.3  # longer than any limit on an answer


@pytest.fixture
def peers():
    """A thread for the peers of a late node."""
    found = late_peers.PeerThread()
    found.start()
    yield found
    found.stop()


class LateLeader:
    """A leader that may run late, and a node that it asks about engines.

    Args:
        peers: Thread of the node.
        is_reached: Whether the node reaches the engines, ``None`` for one
            that does not answer.
    """

    def __init__(self, peers, is_reached):
        self.hub = late_peers.new_hub()
        self._peers = peers
        self._is_reached = is_reached
        self._answers = {}
        self._link = late_peers.new_link(
            lambda: late_peers.new_beat('n1', reached=self._answers)
        )
        self._link.on_update.append(self._answer)
        self.failures = []
        self.witness = _witness.LossWitness(
            lambda: self.hub.live_nodes()[1:],
            types.SimpleNamespace(check=self._check),
            types.SimpleNamespace(record_failure=self.failures.append),
        )
        self.hub.unreached = self.witness.questions
        self.witness.on_asked.append(self.hub.send_soon)
        self.hub.on_heartbeat.append(
            lambda beat, _delay_s: self.witness.handle_answers(
                beat.info.node, beat.reached
            )
        )

    async def start(self):
        """Starts the hub and waits for the node."""
        address = await self.hub.listen('127.0.0.1:0')
        self._peers.spawn(self._link.run_link(address))
        await conftest.until(lambda: self.hub._links, 'link')

    async def _check(self):
        return True

    def _answer(self, update):
        if self._is_reached is not None:
            answers = dict.fromkeys(update.unreached, self._is_reached)
            if answers.keys() - self._answers.keys():
                self._answers = answers
                self._link.send_soon()


@pytest.mark.parametrize('rounds', [1, 3, 6])
@pytest.mark.parametrize(
    'is_reached, is_lost', [(True, False), (False, True), (None, True)]
)
async def test_late_leader_hears_what_witnesses_have_answered(
    peers, monkeypatch, rounds, is_reached, is_lost
):
    """Guards against a group that is disbanded for the leader's own pause."""
    monkeypatch.setattr(_hub, 'LINK_TIMEOUT_S', 9.0)
    late = LateLeader(peers, is_reached)
    await late.start()
    engine = deployment.Upstream('e1', 's', 'h:1', 'a', 4, False)
    task = asyncio.ensure_future(late.witness.is_lost(engine))
    for _round in range(rounds):
        await asyncio.sleep(0)
    time.sleep(LATE_S)
    assert await task == is_lost
    assert late.failures == ([] if is_lost else ['e1'])
    await late.hub.close()
