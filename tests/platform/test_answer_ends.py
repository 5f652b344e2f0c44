"""Tests that an answer that a runner broke off never looks complete."""

import itertools

import pytest

from tests.platform import conftest
from tests.platform import runner_standin

EVENTS = 5
COMPLETE = b''.join(
    runner_standin.event(number) for number in range(1, EVENTS + 1)
)
STREAM = {'Model': 'm0', 'Token_Count': '10,10', 'method': 'POST'}

# Framing, where the body ends, how the connection ends. Without framing, a
# close between two events cannot be told from the end of the stream.
BROKEN_STREAMS = [
    *itertools.product(
        ('length', 'chunks'),
        ('before', 'between', 'inside'),
        ('close', 'reset'),
    ),
    *itertools.product(
        ('none',),
        ('before', 'between', 'inside'),
        ('reset', 'reset_at_once'),
    ),
    ('none', 'before', 'close'),
    ('none', 'inside', 'close'),
    ('chunks', 'inside', 'finish'),
    ('short_length', 'inside', 'close'),
]
BROKEN_BODIES = [
    *itertools.product(('length', 'chunks'), ('inside',), ('close', 'reset')),
    *itertools.product(
        ('none',), ('before', 'end'), ('reset', 'reset_at_once')
    ),
    ('none', 'inside', 'reset'),
]


def _break_answers(runners, framing, cut, close, **more):
    broken = runner_standin.BrokenAnswer(framing, cut, close, **more)
    for runner in runners.values():
        runner.faults.broken = broken


@pytest.mark.parametrize('framing, cut, close', BROKEN_STREAMS)
async def test_broken_stream_is_resumed_and_complete(
    node, runners, client, framing, cut, close
):
    """The next run goes on after the last complete event."""
    _break_answers(runners, framing, cut, close)
    got = await conftest.send_request(client, node, '/stream/x', **STREAM)
    assert (got.status, got.is_whole, got.body) == (200, True, COMPLETE)


@pytest.mark.parametrize('path, sent', [('/stream/x', 2), ('/once/x', 1)])
@pytest.mark.parametrize('framing, cut, close', BROKEN_STREAMS)
async def test_stream_broken_in_its_last_run_is_not_framed_as_complete(
    node, runners, client, path, sent, framing, cut, close
):
    """The client gets complete events only, and no end of the answer."""
    _break_answers(runners, framing, cut, close, remaining=sent)
    got = await conftest.send_request(client, node, path, **STREAM)
    if cut == 'before':
        assert (got.status, 'Server-Stamp' in got.headers) == (502, False)
        return
    assert (got.status, got.is_whole) == (200, False)
    assert got.body in [
        COMPLETE[: len(runner_standin.event(1)) * count]
        for count in range(sent + 1)
    ]


@pytest.mark.parametrize(
    'answer_mode',
    [
        'error',
        'error_truncated',
        'endless_error',
        'endless_head',
        'other_id',
        'not_run',
        'unnamed_refusal',
        'reset',
        'hang',
    ],
)
@pytest.mark.parametrize('framing', ['length', 'chunks'])
async def test_failure_after_a_broken_stream_is_not_passed_on_in_it(
    node, runners, client, framing, answer_mode
):
    """The client gets the events before it, and no end of the answer."""
    _break_answers(runners, framing, 'inside', 'reset', remaining=1)
    for runner in runners.values():
        runner.faults.answer = answer_mode
    got = await conftest.send_request(client, node, '/stream/x', **STREAM)
    assert (got.status, got.is_whole) == (200, False)
    assert got.body == runner_standin.event(1)


@pytest.mark.parametrize('framing, cut, close', BROKEN_BODIES)
@pytest.mark.parametrize(
    'status, path, runs',
    [
        (200, '/safe/x', 2),
        (200, '/unsafe/x', 1),
        (500, '/safe/x', 2),
        (500, '/unsafe/x', 1),
    ],
)
async def test_broken_plain_answer_is_not_passed_on(
    node, runners, client, status, path, runs, framing, cut, close
):
    """Neither a success nor a failure is passed on without its whole body."""
    _break_answers(runners, framing, cut, close, status=status, remaining=runs)
    got = await conftest.send_request(client, node, path, method='POST')
    assert (got.status, 'Server-Stamp' in got.headers) == (502, False)
    assert sum(len(runner.seen) for runner in runners.values()) == runs


@pytest.mark.parametrize('framing, cut, close', BROKEN_BODIES)
@pytest.mark.parametrize('path, runs', [('/stream/x', 2), ('/once/x', 1)])
async def test_broken_failure_of_a_stream_is_not_passed_on(
    node, runners, client, path, runs, framing, cut, close
):
    """A failure is passed on only with its whole body."""
    _break_answers(runners, framing, cut, close, status=500, remaining=runs)
    got = await conftest.send_request(client, node, path, **STREAM)
    assert (got.status, 'Server-Stamp' in got.headers) == (502, False)


@pytest.mark.parametrize('status', [200, 500])
@pytest.mark.parametrize('framing', ['length', 'chunks', 'none'])
async def test_whole_answer_is_passed_on_under_each_framing(
    node, runners, client, status, framing
):
    """The same answers, when they are complete."""
    _break_answers(
        runners, framing, 'end', 'finish', status=status, remaining=9
    )
    got = await conftest.send_request(client, node, '/unsafe/x', method='POST')
    assert (got.status, got.is_whole) == (status, True)
    assert got.body in [runner.body for runner in runners.values()]
    got = await conftest.send_request(client, node, '/stream/x', **STREAM)
    assert (got.status, got.is_whole) == (status, True)
    if status == 200:
        assert got.body == COMPLETE
