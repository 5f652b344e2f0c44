"""Tests of nodes over real sockets: APIs, draining and state dumps."""

import asyncio
import json

import pytest
from websockets.asyncio import client as ws_client
from websockets import exceptions as ws_exceptions

from plantainway import client
from plantainway import demo
from plantainway import sessions
from plantainway import wire

CHAT = {
    'model': 'assistant',
    'messages': [{'role': 'user', 'content': 'x'}],
    'max_tokens': 4,
}


@pytest.fixture
async def cluster():
    """A cluster of two nodes that serve two copies."""
    found = demo.DemoCluster(('praha-a-1', 'praha-b-1'), 0.005)
    async with sessions.new_session() as session:
        found.session = session
        try:
            await found.start()
            await found.operator_client().call(
                'POST', 'apply', {'objects': found.declared_objects()}
            )
            await found.wait_serving(2)
            yield found
        finally:
            await found.stop()


async def send_request(
    cluster, path, key='', body=None, method='POST', **headers
):
    """Sends a request to the first node; returns status and error code."""
    node = next(iter(cluster.nodes.values()))
    operator = path.startswith('/operator')
    address = node.operator_address if operator else node.caller_address
    if key:
        headers['Authorization'] = f'Bearer {key}'
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    async with cluster.session.request(
        method, f'http://{address}{path}', data=data, headers=headers
    ) as resp:
        if resp.status == 200:
            return 200, ''
        return resp.status, (await resp.json())['error']['code']


CHAT_PATH = '/v1/chat/completions'
LEDGER_PATH = '/services/ledger/orders'


async def test_invalid_requests_return_error_codes(cluster):
    """Every invalid request gets an error response with a code."""
    caller, operator = cluster.caller_key, cluster.operator_key
    deadline = {'X-Deadline-Ms': 'soon'}
    event_id = {'Last-Event-ID': 'x'}
    gone = {'Last-Event-ID': 'fab-a-c1.999.abc.3'}
    table = [
        ((CHAT_PATH, '', CHAT), (401, 'unauthorized')),
        ((CHAT_PATH, 'shops.wrong', CHAT), (401, 'unauthorized')),
        ((CHAT_PATH, caller, b'{'), (400, 'bad_request')),
        ((CHAT_PATH, caller, b'[' * 100000), (400, 'bad_request')),
        ((CHAT_PATH, caller, [1]), (400, 'bad_request')),
        ((CHAT_PATH, caller, CHAT | {'model': 'x'}), (404, 'not_found')),
        ((CHAT_PATH, caller, CHAT | {'model': [1]}), (404, 'not_found')),
        ((CHAT_PATH, caller, CHAT | {'messages': 1}), (400, 'bad_request')),
        (
            (CHAT_PATH, caller, CHAT | {'continue_from': {'position': -1}}),
            (400, 'bad_request'),
        ),
        ((CHAT_PATH, caller, CHAT), (200, '')),
        ((LEDGER_PATH, caller, {}), (503, 'not_run')),
        (('/services/none/x', caller, {}), (404, 'not_found')),
        (('/nowhere', caller, {}), (404, 'bad_request')),
        (('/operator/apply', caller, {}), (401, 'unauthorized')),
        (('/operator/apply', operator, {}), (400, 'bad_request')),
        (
            ('/operator/apply', operator, {'objects': [{'kind': 'x'}]}),
            (422, 'objects_invalid'),
        ),
        (('/operator/diff', operator, {'objects': []}), (200, '')),
    ]
    for arguments, expected in table:
        assert (arguments, await send_request(cluster, *arguments)) == (
            arguments,
            expected,
        )
    for headers, expected in (
        (deadline, (400, 'bad_request')),
        (event_id, (400, 'bad_request')),
        (gone, (410, 'resume_lost')),
    ):
        assert (
            await send_request(cluster, CHAT_PATH, caller, CHAT, **headers)
            == expected
        )
    for path in ('objects/x', 'objects/model/x', 'evidence?promise=x'):
        found = await send_request(
            cluster, f'/operator/{path}', operator, method='GET'
        )
        assert found == (404, 'not_found')


async def test_concurrent_changes_conflict(cluster):
    """Changes based on an old version are refused, naming the object."""
    operator = cluster.operator_client()
    found = await operator.call('GET', 'objects/priority/counter')
    body = {
        'objects': [found['object'] | {'rank': 1}],
        'bases': {'priority/counter': found['version']},
    }
    dry = await operator.call('POST', 'apply', body | {'dry_run': True})
    assert dry['dry_run'] and dry['changed']
    await operator.call('POST', 'apply', body)
    body['objects'][0]['rank'] = 2
    with pytest.raises(client.RemoteError) as conflict:
        await cluster.operator_client('praha-b-1').call('POST', 'apply', body)
    assert conflict.value.code == 'conflict'
    assert conflict.value.body['objects'] == ['priority/counter']
    again = await operator.call('GET', 'objects/priority/counter')
    assert again['object']['rank'] == 1


async def test_keys_are_not_exposed(cluster):
    """State dump, metrics and evidence contain no secret of a key."""
    await cluster.caller_client().ask(CHAT)
    node = cluster.nodes['praha-a-1']
    url = f'http://{node.operator_address}/operator/metrics'
    headers = {'Authorization': f'Bearer {cluster.operator_key}'}
    async with cluster.session.get(url, headers=headers) as resp:
        text = await resp.text()
    assert 'plantainway_copies{verdict="serving"} 2.0' in text
    assert 'plantainway_first_piece_seconds_count 1.0' in text
    for each in cluster.nodes.values():
        await each.flush_evidence()
        text += json.dumps(each.dump())
    text += str(cluster.platform.object_store.blobs)
    for key in (cluster.operator_key, cluster.caller_key):
        assert key.partition('.')[2] not in text


async def test_stream_resumes_on_another_node(cluster):
    """If its node is killed, a caller completes the answer elsewhere."""
    pieces = []
    caller = cluster.caller_client()
    caller.pin(cluster.nodes['praha-a-1'].caller_address)
    body = CHAT | {'max_tokens': 200}
    task = asyncio.ensure_future(caller.ask(body, pieces.append))
    while len(pieces) < 20:
        await asyncio.sleep(0.01)
    await cluster.nodes.pop('praha-a-1').kill()
    answer = await task
    assert answer.is_complete and answer.pieces == 200
    assert answer.resumes + answer.restarts >= 1
    heads = [
        engine.chats
        for engine in cluster.fleet.engines.values()
        if engine.chats
    ]
    assert len(heads) == 1 and len(heads[0]) == 1


async def test_answer_cut_during_drain_is_a_breach(cluster):
    """An answer cut while its copy drains breaks graceful-stops."""
    pieces = []
    caller = client.CallerClient(
        [cluster.nodes['praha-a-1'].caller_address],
        cluster.caller_key,
        cluster.session,
    )
    task = asyncio.ensure_future(
        caller.ask(CHAT | {'max_tokens': 4000}, pieces.append)
    )
    while len(pieces) < 5:
        await asyncio.sleep(0.01)
    await cluster.operator_client().call(
        'POST', 'apply', {'objects': cluster.declared_objects(copies=0)}
    )

    async def draining():
        copies = await cluster.fetch_copies()
        return all(copy['state'] == 'draining' for copy in copies.values())

    await demo.wait_for(draining, 'both copies are draining')
    for engine in cluster.fleet.engines.values():
        if engine.chats:
            await engine.die()
    await asyncio.sleep(0.3)
    task.cancel()
    await cluster.nodes['praha-a-1'].flush_evidence()
    found = await cluster.operator_client().call(
        'GET', 'evidence', promise='graceful-stops'
    )
    assert found['answers'][0]['state'] == 'broken'


@pytest.mark.parametrize(
    'first',
    [
        wire.encode(wire.Hello(99, 'n9', 1, 'x')),
        wire.encode(wire.RevisionRequest(1)),
        b'garbage',
    ],
)
async def test_invalid_peer_handshake_is_refused(cluster, first):
    """A wrong version or missing hello closes the link with a reason."""
    node = cluster.nodes['praha-a-1']
    async with ws_client.connect(
        f'ws://{node.peer_address}', proxy=None
    ) as conn:
        await conn.send(first)
        with pytest.raises(ws_exceptions.ConnectionClosed) as closed:
            while True:
                await conn.recv()
    assert closed.value.rcvd.code == 1002
    assert closed.value.rcvd.reason


async def test_expired_deadline_returns_deadline_exceeded(cluster):
    """A request fails with deadline_exceeded once its deadline passes."""
    found = await send_request(
        cluster,
        CHAT_PATH,
        cluster.caller_key,
        CHAT | {'max_tokens': 100000},
        **{'X-Deadline-Ms': '300'},
    )
    assert found == (504, 'deadline_exceeded')
