"""Tests of runners that say in their answers that they leave."""

import asyncio

import pytest

from tests.platform import conftest

STREAM = {'Model': 'm0', 'Token_Count': '10,10', 'method': 'POST'}
PATHS = [('/safe/x', 'p-'), ('/unsafe/x', 'p-'), ('/stream/x', 'e-')]
ANSWERS = ['whole', 'error', 'not_run']
SEND_S = 0.6


@pytest.fixture
def leaving(runners, path_prefix):
    """A runner of the path's service; a head if it is an engine."""
    _path, prefix = path_prefix
    return next(
        item
        for item in [*conftest.open_heads(runners), runners['p-1']]
        if item.name[:2] == prefix
    )


async def send_for(node, client, path, for_s):
    """Sends requests one after the other; returns their statuses."""
    until = asyncio.get_running_loop().time() + for_s
    got = []
    while asyncio.get_running_loop().time() < until:
        answer = await conftest.send_request(
            client, node, path, request_id=f'r-{len(got)}', **STREAM
        )
        got.append(answer.status)
    return got


@pytest.mark.parametrize('path_prefix', PATHS)
@pytest.mark.parametrize('answer', ANSWERS)
async def test_leaving_runner_gets_no_more_requests(
    node, runners, client, leaving, path_prefix, answer
):
    """Guards against requests to a runner that leaves (DRAIN)."""
    path, _prefix = path_prefix
    leaving.faults.leaving, leaving.faults.answer = '1', answer
    # An engine may also say so in a report, before it gets any request.
    await send_for(node, client, path, 0.3)
    leaving.faults.answer = 'whole'
    count = len(leaving.seen)
    leaving.write_entry()  # its entry still says that it is ready
    got = await send_for(node, client, path, SEND_S)
    assert len(leaving.seen) == count
    assert set(got) == {200}


@pytest.mark.parametrize('path_prefix', PATHS[:1])
async def test_new_incarnation_is_used_again(
    node, client, leaving, path_prefix
):
    """Only the incarnation that has said so leaves."""
    path, _prefix = path_prefix
    leaving.faults.leaving = '1'
    await send_for(node, client, path, 0.2)
    leaving.faults.leaving = ''
    leaving.started_ms += 1000
    leaving.write_entry()
    count = len(leaving.seen)
    await send_for(node, client, path, SEND_S)
    assert len(leaving.seen) > count


@pytest.mark.parametrize('value', ['0', 'yes', '11'])
@pytest.mark.parametrize('path_prefix', PATHS[:1])
async def test_other_values_do_not_count(
    node, client, leaving, path_prefix, value
):
    """The runner is used as before."""
    path, _prefix = path_prefix
    leaving.faults.leaving = value
    await send_for(node, client, path, 0.2)
    count = len(leaving.seen)
    await send_for(node, client, path, 0.3)
    assert len(leaving.seen) > count


async def test_group_of_a_leaving_member_is_replaced(node, runners, client):
    """The leader hears it from the member's report."""
    head = conftest.open_heads(runners)[0]
    group = head.group['name']
    member = next(
        one
        for one in runners.values()
        if one.group and one.group['name'] == group and one is not head
    )
    member.faults.leaving = '1'
    await conftest.until(
        lambda: member.group is None or member.group['name'] != group, 'left'
    )
    await conftest.until(
        lambda: len(conftest.open_heads(runners)) == 2, 'groups'
    )
    assert set(await send_for(node, client, '/stream/x', 0.3)) == {200}
