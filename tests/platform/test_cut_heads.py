"""Tests of answers that end inside their head."""

import asyncio

import pytest

from tests.platform import conftest
from tests.platform import runner_standin

HEADS = {
    'length': 'Content-Length: 20',
    'chunks': 'Transfer-Encoding: chunked',
    'none': 'Content-Type: text/plain',
    'stream': 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked',
}
STATUSES = {200: 'OK', 503: 'Unavailable\r\nNot-Executed: 1'}


def cuts(head):
    """Returns the heads that end early: inside and after each line."""
    lines = head.split('\r\n')
    for count in range(len(lines)):
        whole = '\r\n'.join(lines[:count])
        for end in ('', '\r', '\r\n', lines[count][:3]):
            yield (
                whole + end
                if end.startswith('\r')
                else '\r\n'.join([*lines[:count], end])
            )
    yield head
    yield head + '\r'
    yield head + '\r\n'
    yield head + '\r\n\r'


@pytest.mark.parametrize('status', sorted(STATUSES))
@pytest.mark.parametrize('framing', sorted(HEADS))
@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x'])
@pytest.mark.parametrize('reset', [False, True])
async def test_answer_that_ends_inside_its_head_is_no_answer(
    node, runners, client, monkeypatch, status, framing, path, reset
):
    """Neither a success with an empty body nor a promise of not having run."""
    ran = []
    head = ''

    async def answer(self, reader, writer, seen):
        ran.append(seen.headers['request-id'])
        text = head.format(id=seen.headers['request-id'])
        writer.write(text.encode())
        await writer.drain()
        await asyncio.sleep(0.005)
        if reset:
            runner_standin._reset(writer)
        else:
            writer.close()
        raise runner_standin._Closed

    monkeypatch.setattr(runner_standin.RunnerStandIn, '_answer', answer)
    full = (
        f'HTTP/1.1 {status} {STATUSES[status]}\r\n'
        'Request-Id: {id}\r\nServer-Stamp: s\r\n' + HEADS[framing]
    )
    for number, head in enumerate(cuts(full)):
        node._dependencies.health.reset()
        got = await conftest.send_request(
            client,
            node,
            path,
            'POST',
            request_id=f'q-{number}',
            Model='m0',
            Token_Count='10,10',
        )
        assert not (got.status == 200 and got.is_whole), head
        if path == '/unsafe/x':
            assert got.status in (502, 504), head
            assert ran.count(f'q-{number}') == 1, head
