"""Tests of calls to upstreams by a node whose event loop runs late."""

import asyncio
import dataclasses
import http.server
import json
import socket
import threading
import time

import pytest

from plantainway import errors
from plantainway import upstreams
from plantainway.upstreams import _http_engine

ANSWER_S = 0.05
LATE_S = 1.3  # longer than the limits on a state and on connecting
STATE = upstreams.EngineState(
    'vm-1', 'b', '', 0, upstreams.Role.IDLE, '', 0, 0, 4, False
)


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers each request after ``ANSWER_S``, and counts them."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        """Sends a state, which is a service's answer too."""
        self.server.received.append(self.path)
        length = int(self.headers.get('Content-Length', 0))
        self.rfile.read(length)
        time.sleep(ANSWER_S)
        body = json.dumps(dataclasses.asdict(STATE)).encode()
        if self.path in ('/v1/chat/completions', '/orders/resume'):
            body = b'id: a1/1\ndata: {}\n\nid: a1/1\ndata: [DONE]\n\n'
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_POST = do_GET

    def log_message(self, *_args):
        """Logs nothing."""


@pytest.fixture
def server():
    """An upstream that runs in a thread, beside a late loop."""
    found = http.server.ThreadingHTTPServer(('127.0.0.1', 0), _Handler)
    found.received = []
    found.address = '127.0.0.1:%d' % found.server_port
    thread = threading.Thread(target=found.serve_forever)
    thread.start()
    yield found
    found.shutdown()
    thread.join()
    found.server_close()


@pytest.mark.parametrize('rounds', [1, 3, 6])
async def test_state_that_came_while_the_loop_was_late_counts(
    server, session, rounds
):
    """Guards against a late node that takes a member for lost."""
    engine = upstreams.HttpEngine('vm-1', server.address, session)
    task = asyncio.ensure_future(engine.get_state())
    for _round in range(rounds):
        await asyncio.sleep(0)
    time.sleep(LATE_S)
    assert await task == STATE


async def chat(address, session, left_s=9.0):
    """Sends a chat request; returns whether the answer is whole."""
    engine = upstreams.HttpEngine('vm-1', address, session)
    call = upstreams.ChatCall(
        'a1', 'shops', 'c', 1, {}, time.monotonic() + left_s
    )
    return [event.end async for event in engine.chat(call)] == [False, True]


async def resume(address, session, _left_s=9.0):
    """Resumes an attempt; returns whether the answer is whole."""
    engine = upstreams.HttpEngine('vm-1', address, session)
    events = engine.resume('a1', 'shops', 0)
    return [event.end async for event in events] == [False, True]


async def call_service(address, session, left_s=9.0):
    """Sends a call that must not run twice."""
    service = upstreams.HttpService('l', address, session)
    found = await service.call(
        upstreams.ServiceCall(
            'POST', '/orders', {}, b'{}', time.monotonic() + left_s
        )
    )
    return found.status == 200


REQUESTS = [chat, resume, call_service]


@pytest.mark.parametrize('request_of', REQUESTS)
@pytest.mark.parametrize('rounds', [1, 2, 3, 4, 6])
async def test_request_of_a_late_loop_runs_once(
    server, session, request_of, rounds
):
    """Guards against a late node that takes an upstream for gone."""
    task = asyncio.ensure_future(request_of(server.address, session))
    for _round in range(rounds):
        await asyncio.sleep(0)
    time.sleep(LATE_S)
    assert await task
    assert len(server.received) == 1


@pytest.mark.parametrize('request_of', REQUESTS)
async def test_request_to_an_upstream_that_does_not_accept_is_unsent(
    session, request_of
):
    """Guards against an unknown outcome of what was never sent."""
    with socket.socket() as full:
        full.bind(('127.0.0.1', 0))
        full.listen(0)
        waiting = [socket.create_connection(full.getsockname())]
        for _connection in range(2):
            more = socket.socket()
            more.setblocking(False)
            more.connect_ex(full.getsockname())
            waiting.append(more)
        with pytest.raises(errors.UpstreamError) as caught:
            await request_of('%s:%d' % full.getsockname(), session)
        assert not caught.value.sent
        for one in waiting:
            one.close()


@pytest.mark.parametrize('left_s', [0.2, 0.5])
async def test_answer_of_a_service_that_came_before_the_deadline_counts(
    server, session, left_s
):
    """Guards against an unknown outcome of a call that was answered."""
    await call_service(server.address, session)
    task = asyncio.ensure_future(call_service(server.address, session, left_s))
    await asyncio.sleep(0.02)  # the call has been sent
    time.sleep(2 * left_s)
    assert await task


@pytest.mark.parametrize('pause_s', [0.0, 0.4])
async def test_order_of_a_late_loop_is_not_sent_after_its_time(
    server, session, monkeypatch, pause_s
):
    """Guards against an order sent by a former holder of the lease."""
    monkeypatch.setattr(_http_engine, 'ORDER_TIMEOUT_S', 0.2)
    engine = upstreams.HttpEngine('vm-1', server.address, session)
    task = asyncio.ensure_future(engine.unload('c', 1))
    await asyncio.sleep(0)
    time.sleep(pause_s)
    found = (await asyncio.gather(task, return_exceptions=True))[0]
    await asyncio.sleep(ANSWER_S)
    assert isinstance(found, errors.UpstreamError) == bool(pause_s)
    assert len(server.received) == (0 if pause_s else 1)
