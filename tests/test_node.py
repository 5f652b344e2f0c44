"""A node over real sockets: its interfaces, drains and dumps."""

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
async def world():
    """Two nodes that serve two copies."""
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


async def ask(world, path, key='', body=None, method='POST', **headers):
    """Returns status and error code of a request to the first node."""
    node = next(iter(world.nodes.values()))
    operator = path.startswith('/operator')
    address = node.operator_address if operator else node.caller_address
    if key:
        headers['Authorization'] = f'Bearer {key}'
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    async with world.session.request(
        method, f'http://{address}{path}', data=data, headers=headers
    ) as resp:
        if resp.status == 200:
            return 200, ''
        return resp.status, (await resp.json())['error']['code']


CHATS = '/v1/chat/completions'
LEDGER = '/services/ledger/orders'


async def test_bad_input_is_a_coded_error(world):
    """Whatever is wrong with a request, its answer has a code."""
    caller, operator = world.caller_key, world.operator_key
    deadline = {'X-Deadline-Ms': 'soon'}
    event_id = {'Last-Event-ID': 'x'}
    gone = {'Last-Event-ID': 'fab-a-c1.999.abc.3'}
    table = [
        ((CHATS, '', CHAT), (401, 'unauthorized')),
        ((CHATS, 'shops.wrong', CHAT), (401, 'unauthorized')),
        ((CHATS, caller, b'{'), (400, 'bad_request')),
        ((CHATS, caller, b'[' * 100000), (400, 'bad_request')),
        ((CHATS, caller, [1]), (400, 'bad_request')),
        ((CHATS, caller, CHAT | {'model': 'x'}), (404, 'not_found')),
        ((CHATS, caller, CHAT | {'model': [1]}), (404, 'not_found')),
        ((CHATS, caller, CHAT | {'messages': 1}), (400, 'bad_request')),
        (
            (CHATS, caller, CHAT | {'continue_from': {'position': -1}}),
            (400, 'bad_request'),
        ),
        ((CHATS, caller, CHAT), (200, '')),
        ((LEDGER, caller, {}), (503, 'not_run')),
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
        assert (arguments, await ask(world, *arguments)) == (
            arguments,
            expected,
        )
    for headers, expected in (
        (deadline, (400, 'bad_request')),
        (event_id, (400, 'bad_request')),
        (gone, (410, 'resume_lost')),
    ):
        assert await ask(world, CHATS, caller, CHAT, **headers) == expected
    for path in ('objects/x', 'objects/model/x', 'evidence?promise=x'):
        found = await ask(world, f'/operator/{path}', operator, method='GET')
        assert found == (404, 'not_found')


async def test_racing_operators_get_a_conflict(world):
    """A change based on an old version names the object; others pass."""
    operator = world.operator_client()
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
        await world.operator_client('praha-b-1').call('POST', 'apply', body)
    assert conflict.value.code == 'conflict'
    assert conflict.value.body['objects'] == ['priority/counter']
    again = await operator.call('GET', 'objects/priority/counter')
    assert again['object']['rank'] == 1


async def test_keys_are_not_shown(world):
    """Neither dump nor metrics nor evidence shows a key."""
    await world.caller_client().ask(CHAT)
    node = world.nodes['praha-a-1']
    url = f'http://{node.operator_address}/operator/metrics'
    headers = {'Authorization': f'Bearer {world.operator_key}'}
    async with world.session.get(url, headers=headers) as resp:
        text = await resp.text()
    assert 'plantainway_copies{verdict="serving"} 2.0' in text
    assert 'plantainway_first_piece_seconds_count 1.0' in text
    for each in world.nodes.values():
        await each.flush_evidence()
        text += json.dumps(each.dump())
    text += str(world.platform.object_store.blobs)
    for key in (world.operator_key, world.caller_key):
        assert key.partition('.')[2] not in text


async def test_stream_resumes_on_another_node(world):
    """A killed node cuts no answer beyond what a resume repairs."""
    pieces = []
    caller = world.caller_client()
    caller.pin(world.nodes['praha-a-1'].caller_address)
    body = CHAT | {'max_tokens': 200}
    task = asyncio.ensure_future(caller.ask(body, pieces.append))
    while len(pieces) < 20:
        await asyncio.sleep(0.01)
    await world.nodes.pop('praha-a-1').kill()
    answer = await task
    assert answer.is_complete and answer.pieces == 200
    assert answer.resumes + answer.restarts >= 1
    heads = [
        engine.chats for engine in world.fleet.engines.values() if engine.chats
    ]
    assert len(heads) == 1 and len(heads[0]) == 1


async def test_cut_by_a_planned_stop_is_evidence(world):
    """An answer that breaks off while its copy drains is a breach."""
    pieces = []
    caller = client.CallerClient(
        [world.nodes['praha-a-1'].caller_address],
        world.caller_key,
        world.session,
    )
    task = asyncio.ensure_future(
        caller.ask(CHAT | {'max_tokens': 4000}, pieces.append)
    )
    while len(pieces) < 5:
        await asyncio.sleep(0.01)
    await world.operator_client().call(
        'POST', 'apply', {'objects': world.declared_objects(copies=0)}
    )

    async def draining():
        copies = await world.fetch_copies()
        return all(copy['state'] == 'draining' for copy in copies.values())

    await demo.wait_for(draining, 'both copies drain')
    for engine in world.fleet.engines.values():
        if engine.chats:
            await engine.die()
    await asyncio.sleep(0.3)
    task.cancel()
    await world.nodes['praha-a-1'].flush_evidence()
    found = await world.operator_client().call(
        'GET', 'evidence', promise='graceful-stops'
    )
    assert found['answers'][0]['state'] == 'broken'


@pytest.mark.parametrize(
    'first',
    [
        wire.encode(wire.Hello(99, 'n9', 1, 'x')),
        wire.encode(wire.Want(1)),
        b'garbage',
    ],
)
async def test_wrong_peers_are_refused(world, first):
    """Another protocol version, or no hello, ends the link with a reason."""
    node = world.nodes['praha-a-1']
    async with ws_client.connect(
        f'ws://{node.peer_address}', proxy=None
    ) as conn:
        await conn.send(first)
        with pytest.raises(ws_exceptions.ConnectionClosed) as closed:
            while True:
                await conn.recv()
    assert closed.value.rcvd.code == 1002
    assert closed.value.rcvd.reason


async def test_deadline_cancels_the_attempt(world):
    """A passed deadline ends the request with a code, and the engine's."""
    found = await ask(
        world,
        CHATS,
        world.caller_key,
        CHAT | {'max_tokens': 100000},
        **{'X-Deadline-Ms': '300'},
    )
    assert found == (504, 'deadline_exceeded')
