"""Tests of calls to the stores by a node whose event loop runs late."""

import asyncio
import http.server
import json
import socket
import threading
import time

import pytest

from plantainway import errors
from plantainway import stores
from plantainway.stores import _http

ANSWER_S = 0.05
TIMEOUT_S = 0.3
LATE_S = 0.6
ROW = {'key': 'k', 'value': {}, 'version': 7, 'txn': 't'}
TXN = stores.Transaction('t', (), (stores.Write('k', {}),))


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers each request after ``ANSWER_S``."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        """Sends the row, which is the answer to a commit too."""
        self.rfile.read(int(self.headers.get('Content-Length', 0)))
        time.sleep(ANSWER_S)
        body = json.dumps(ROW).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_POST = do_PUT = do_GET

    def log_message(self, *_args):
        """Logs nothing."""


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    """Shortens the limit on a call."""
    monkeypatch.setattr(_http, 'CALL_TIMEOUT_S', TIMEOUT_S)


@pytest.fixture
def url():
    """URL of a store that runs in a thread, beside a late loop."""
    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), _Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f'http://127.0.0.1:{server.server_port}'
    server.shutdown()
    thread.join()
    server.server_close()


async def read(url, session):
    """Reads a row."""
    return (await stores.HttpTable(url, session).read('k')).version


async def commit(url, session):
    """Commits a transaction."""
    return (await stores.HttpTable(url, session).commit(TXN)).outcome


async def put(url, session):
    """Stores a blob."""
    return await stores.HttpObjectStore(url, session).put('b', b'x')


async def get(url, session):
    """Reads a blob."""
    return await stores.HttpObjectStore(url, session).get('b')


CALLS = [
    (read, 7, errors.StoreUnavailableError),
    (commit, stores.Outcome.COMMITTED, stores.Outcome.UNKNOWN),
    (put, stores.PutOutcome.STORED, stores.PutOutcome.UNKNOWN),
    (get, json.dumps(ROW).encode(), errors.StoreUnavailableError),
]


@pytest.mark.parametrize('call, answer, _silent', CALLS)
@pytest.mark.parametrize('rounds', [1, 3, 6])
async def test_answer_that_came_while_the_loop_was_late_counts(
    url, session, call, answer, _silent, rounds
):
    """Guards against a late node that takes its store for unavailable."""
    task = asyncio.ensure_future(call(url, session))
    for _round in range(rounds):
        await asyncio.sleep(0)
    time.sleep(LATE_S)
    assert await task == answer


@pytest.mark.parametrize('call, _answer, silent', CALLS)
async def test_silent_store_gives_no_answer(session, call, _answer, silent):
    """The limit on a call still holds; a write may have taken effect."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        silent_url = 'http://%s:%d' % server.getsockname()
        async with asyncio.timeout(20 * TIMEOUT_S):
            if isinstance(silent, type):
                with pytest.raises(silent):
                    await call(silent_url, session)
            else:
                assert await call(silent_url, session) is silent
