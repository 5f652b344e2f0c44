"""Tests of runners that refuse requests and ask for none for some time."""

import asyncio

import pytest

from tests.platform import conftest

PAUSE_S = 1.5
GRACE_S = 0.5  # for requests that are under way
REQUESTS_MAX = 2  # that may reach a runner in the rest of its pause
STREAM = {'Model': 'm0', 'Token_Count': '10,10', 'method': 'POST'}
PATHS = [('/safe/x', 'p-'), ('/unsafe/x', 'p-'), ('/stream/x', 'e-')]


def refuse(runners, retry_after):
    """Lets runners refuse all requests."""
    for runner in runners:
        runner.faults.answer = 'not_run'
        runner.faults.retry_after = retry_after


async def send_until(node, client, path, until):
    """Sends requests one after the other; returns the responses."""
    got = []
    while asyncio.get_running_loop().time() < until:
        got.append(
            await conftest.send_request(
                client, node, path, request_id=f'r-{len(got)}', **STREAM
            )
        )
        await asyncio.sleep(0.01)
    return got


@pytest.mark.parametrize('path, prefix', PATHS)
async def test_runner_gets_no_requests_in_its_pause(
    node, runners, client, path, prefix
):
    """Guards against requests that pile up at a runner (BUDGET)."""
    loop = asyncio.get_running_loop()
    asked = [item for item in runners.values() if item.name[:2] == prefix]
    refuse(asked, str(PAUSE_S))
    began = loop.time()
    answers = await send_until(node, client, path, began + PAUSE_S)
    for runner in asked:
        if not runner.seen:
            continue  # not the head of a group
        first = runner.seen[0].at
        late = [
            seen
            for seen in runner.seen
            if first + GRACE_S < seen.at < first + PAUSE_S
        ]
        assert len(late) <= REQUESTS_MAX
    for got in answers:
        assert got.status == 503
    assert float(answers[-1].headers['Retry-After']) > 0.0
    for runner in asked:
        runner.faults.answer = 'whole'
    await asyncio.sleep(0.2)
    got = await send_until(node, client, path, loop.time() + 0.1)
    assert [one.status for one in got] == [200] * len(got)


@pytest.mark.parametrize('path, prefix', PATHS)
async def test_other_runners_serve_while_one_pauses(
    node, runners, client, path, prefix
):
    """A pause is no reason to refuse what others can take."""
    loop = asyncio.get_running_loop()
    first = next(
        item
        for item in [*conftest.open_heads(runners), runners['p-1']]
        if item.name[:2] == prefix
    )
    refuse([first], str(PAUSE_S))
    answers = await send_until(node, client, path, loop.time() + 1.0)
    assert {got.status for got in answers} == {200}
    assert len(first.seen) <= 1 + REQUESTS_MAX


@pytest.mark.parametrize('path, prefix', PATHS)
@pytest.mark.parametrize(
    'retry_after', ['soon', '-1', 'nan', '1e9', '', '0', '9' * 40]
)
async def test_pause_that_cannot_be_read_is_none(
    node, runners, client, path, prefix, retry_after
):
    """The runner is used again after the usual pause."""
    asked = [item for item in runners.values() if item.name[:2] == prefix]
    refuse(asked, retry_after)
    got = await conftest.send_request(client, node, path, **STREAM)
    assert got.status == 503
    for runner in asked:
        runner.faults.answer = 'whole'
    await asyncio.sleep(0.3)
    got = await conftest.send_request(client, node, path, **STREAM)
    assert got.status == 200
