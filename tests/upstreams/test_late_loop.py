"""Tests of calls to upstreams by a node whose event loop runs late."""

import asyncio
import dataclasses
import http.server
import json
import threading
import time

import pytest

from plantainway import upstreams

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
        if self.path == '/v1/chat/completions':
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
