"""Tests that relayed requests count once in the retry budget."""

import asyncio

import pytest

from tests.platform import conftest
from tests.platform import test_silent_peers

relay_to = test_silent_peers.relay_to
PATHS = [('/safe/x', 'plain'), ('/unsafe/x', 'plain'), ('/stream/x', 'llm')]
STREAM = {'Model': 'm0', 'Token_Count': '10,10', 'method': 'POST'}


@pytest.mark.parametrize('allowed', [0, 1])
@pytest.mark.parametrize('path, _service', PATHS)
async def test_relay_of_a_request_that_arrived_before_is_a_retry(
    node, runners, client, relay_to, monkeypatch, path, _service, allowed
):
    """Guards against retries beyond the budget of all nodes (BUDGET)."""
    for runner in runners.values():
        runner.faults.answer = 'not_run'
    peer = await relay_to(begins=False)
    deps = node._gateway._deps
    monkeypatch.setattr(
        deps.relay,
        'is_needed',
        lambda req, unreached=0: any(one.seen for one in runners.values()),
    )
    budget = deps.budget
    budget._ratio, budget._slack = 0.0, 0.0
    left = [None] * allowed
    monkeypatch.setattr(
        budget, 'try_take', lambda _service: bool(left) and not left.pop()
    )
    async with asyncio.timeout(conftest.WAIT_S):
        await conftest.send_request(client, node, path, **STREAM)
    assert peer.requests == allowed


@pytest.mark.parametrize('path, service', PATHS)
async def test_relayed_request_does_not_add_to_the_budget_again(
    node, client, path, service
):
    """The first node has counted it."""
    budget = node._gateway._deps.budget
    requests = budget._counter(budget._requests, service)
    for address, count in ((node.addresses['relay'], 0), (node, 1)):
        got = await conftest.send_request(client, address, path, **STREAM)
        assert got.status == 200
        assert requests._total == count
