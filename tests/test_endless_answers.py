"""Tests that endless answers to calls of the own interface are not kept."""

import time

import pytest

from plantainway import sessions
from plantainway import stores
from plantainway import upstreams
from tests import endless

# What a node reads of an engine or service, and what the connection holds.
KEPT_BYTES_MAX = 24 << 20
STORE_BYTES_MAX = 4 << 20
BODIES = ['length', 'connection', 'chunks', 'error', 'conflict', 'gzip']
LOAD = upstreams.LoadOrder(
    'c1', 1, 0, (('vm-1', '127.0.0.1:1'),), 'v1', 'w1', ()
)


async def _chat(address, session):
    call = upstreams.ChatCall(
        body={},
        copy_id='c1',
        token=1,
        attempt='a1',
        caller='c',
        deadline=time.monotonic() + endless.CALL_S,
        priority=1,
        req_id='r1',
    )
    engine = upstreams.HttpEngine('vm-1', address, session)
    async for _event in engine.chat(call):
        pass


CALLS = {
    'state': lambda address, session: upstreams.HttpEngine(
        'vm-1', address, session
    ).get_state(),
    'order': lambda address, session: upstreams.HttpEngine(
        'vm-1', address, session
    ).load(LOAD),
    'chat': _chat,
    'row': lambda address, session: stores.HttpTable(
        f'http://{address}', session
    ).read('k'),
    'commit': lambda address, session: stores.HttpTable(
        f'http://{address}', session
    ).commit(stores.Transaction('t', (), (stores.Write('k', 1),))),
    'object': lambda address, session: stores.HttpObjectStore(
        f'http://{address}', session
    ).get('n'),
    'list': lambda address, session: stores.HttpVmList(
        f'http://{address}', session
    ).read(),
}


@pytest.mark.parametrize('how', BODIES)
@pytest.mark.parametrize('call', CALLS)
async def test_endless_answer_is_not_kept(how, call, monkeypatch):
    """Guards against a process that runs out of memory (LOST)."""
    monkeypatch.setattr(
        stores._http, 'ANSWER_BYTES_MAX', STORE_BYTES_MAX, raising=False
    )
    server = endless.EndlessServer(how)
    await server.start()
    try:
        async with sessions.new_session() as session:
            kept = await endless.peak_bytes(
                lambda: CALLS[call](server.address, session)
            )
    finally:
        await server.stop()
    assert kept <= KEPT_BYTES_MAX
