"""Tests that bytes without end from outside are not kept.

A machine that keeps them runs out of memory, and the requests of all its
clients end with it.
"""

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import platform
from plantainway.platform import _store
from plantainway import stores
from plantainway import supply
from plantainway import traffic
from tests import endless

CLOCK = clocks.MonotonicClock()
# The longest answer of a runner that is read, twice while it is joined, and
# what the connection holds.
KEPT_BYTES_MAX = 10 << 20
STORE_BYTES_MAX = 4 << 20


@pytest.fixture
async def server(request):
    """A running server that answers as the parameter says."""
    found = endless.EndlessServer(request.param)
    await found.start()
    yield found
    await found.stop()


async def _send(client, upstream):
    req = traffic.Request(
        'r',
        'GET',
        '/x',
        'h',
        [],
        b'',
        CLOCK.now(),
        CLOCK.now() + endless.CALL_S,
    )
    attempt = traffic.Attempt(
        req, upstream, '', CLOCK.now() + endless.CALL_S, 1
    )
    await (await client.send(attempt)).read()


RUNNER_CALLS = {
    'request': _send,
    'report': lambda client, upstream: client.report(upstream),
    'health': lambda client, upstream: client.check_health(upstream, '/h'),
    'probe': lambda client, upstream: client.is_reached(upstream, '/h'),
    'order': lambda client, upstream: client.order(
        upstream, supply.Order(supply.OrderKind.LEAVE, upstream.name, 'g', 1)
    ),
}


@pytest.mark.parametrize('server', endless.ENDLESS, indirect=True)
@pytest.mark.parametrize('call', RUNNER_CALLS)
async def test_answer_of_a_runner_without_end_is_not_kept(
    server, sessions, call
):
    """Guards against a process that runs out of memory (LOST)."""
    client = platform.RunnerClient(*sessions, CLOCK)
    upstream = deployment.Upstream(
        name='i-1',
        address=server.address,
        service='s',
        zone='a',
        slots=4,
        draining=False,
    )
    kept = await endless.peak_bytes(
        lambda: RUNNER_CALLS[call](client, upstream)
    )
    assert kept <= KEPT_BYTES_MAX


STORE_CALLS = {
    'read': lambda store: store.snapshot('servers'),
    'feed': lambda store: store.changes('servers', 1, 0.1),
    'commit': lambda store: store.commit(
        stores.Transaction('t', (), (stores.Write('k', 1),))
    ),
}


@pytest.mark.parametrize('server', endless.ENDLESS, indirect=True)
@pytest.mark.parametrize('call', STORE_CALLS)
async def test_answer_of_the_store_without_end_is_not_kept(
    server, sessions, monkeypatch, call
):
    """Guards against a process that runs out of memory (LOST)."""
    monkeypatch.setattr(
        _store, 'ANSWER_BYTES_MAX', STORE_BYTES_MAX, raising=False
    )
    store = platform.PlatformStore(server.address, sessions[0])
    kept = await endless.peak_bytes(lambda: STORE_CALLS[call](store))
    assert kept <= KEPT_BYTES_MAX
