"""Tests of entries of other writers among those of the runners."""

import asyncio
import json

import pytest

from plantainway import platform
from tests.platform import conftest

TOO_LARGE = 10**30
PATHS = ['/safe/x', '/unsafe/x', '/stream/x']
GROUP = {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'open'}


def entry(service='plain', **more):
    """Returns a sound entry of a runner at which nothing listens."""
    return {
        'service': service,
        'address': '127.0.0.1:9',
        'zone': 'a',
        'slots': 4,
        'state': 'ready',
        'born': 1700000000000,
        'domain': 'd0',
        'seq': 1,
    } | more


def engine(**more):
    """Returns an entry of the head of an open group."""
    group = GROUP | more
    return entry('llm', group=group, models=[{'name': 'm0', 'version': 1}])


def nested(depth):
    """Returns an entry with a deeply nested field as bytes."""
    text = json.dumps(entry())
    return (text[:-1] + ',"x":' + '[' * depth + ']' * depth + '}').encode()


ODD = {
    'nested_100000': nested(100000),
    'unclosed': b'[' * 100000,
    'nested_field': json.dumps(entry(staged=[[[[['m0']]]]])).encode(),
    'not_text': b'\xff\xfe\x00',
    'list': b'[]',
    'nan': b'{"service":"plain","slots":NaN}',
    'digits': json.dumps(entry()).replace('1700000000000', '9' * 5000),
    'slots': entry(slots=TOO_LARGE),
    'no_slots': entry(slots=0),
    'negative_slots': entry(slots=-4),
    'born': entry(born=TOO_LARGE),
    'negative_born': entry(born=-TOO_LARGE),
    'fraction': json.dumps(entry()).replace('1700000000000', '1e400'),
    'epoch': engine(epoch=TOO_LARGE),
    'epoch_64': engine(epoch=2**63),
    'negative_epoch': engine(epoch=-1),
    'rank': engine(rank=TOO_LARGE),
    'port': entry(address='127.0.0.1:99999'),
    'port_0': entry(address='127.0.0.1:0'),
    'port_65536': entry(address='127.0.0.1:65536'),
    'port_negative': entry(address='127.0.0.1:-1'),
    'port_text': entry(address='127.0.0.1:http'),
    'no_port': entry(address='127.0.0.1'),
    'empty_address': entry(address=''),
    'host': entry(address='no such host:80'),
    'path': entry(address='127.0.0.1:80/x?y'),
    'user': entry(address='a@127.0.0.1:80'),
    'engine_port': entry(
        'llm',
        address='127.0.0.1:99999',
        group=GROUP,
        models=[{'name': 'm0'}],
    ),
    'control_characters': entry(address='127.0.0.1:80\r\nX: y'),
}


def as_bytes(value):
    """Returns a value as it is stored."""
    if isinstance(value, bytes):
        return value
    return (value if isinstance(value, str) else json.dumps(value)).encode()


@pytest.mark.parametrize('name', sorted(ODD))
def test_odd_entry_names_no_runner(name):
    """It is skipped with a log line."""
    assert platform.decode_upstream('odd', as_bytes(ODD[name])) is None


@pytest.mark.parametrize('name', ['none'])
def test_sound_entry_names_a_runner(name):
    """The rows above differ from it in one point each."""
    for value in (entry(), engine(), entry(address='[::1]:80')):
        assert platform.decode_upstream('ok', as_bytes(value)) is not None


async def test_nodes_follow_the_list_beside_odd_entries(
    three_nodes, runners, client, store
):
    """They serve, follow later changes, and form groups under a new leader."""
    for name, value in ODD.items():
        store.put('servers', f'odd-{name}', as_bytes(value))
    await asyncio.sleep(0.5)
    for node in three_nodes:
        for path in PATHS * 3:
            got = await conftest.send_request(
                client, node, path, 'POST', Model='m0', Token_Count='10,10'
            )
            assert (got.status, got.is_whole) == (200, True)
    await three_nodes[0].close()
    rest = three_nodes[1:]
    await conftest.until(
        lambda: any(node.dump()['leads'] for node in rest), 'leader'
    )
    assert max(node.dump()['term'] for node in rest) < 10
    heads = conftest.open_heads(runners)
    lost = next(
        runner
        for runner in runners.values()
        if runner.group and runner.group['name'] == heads[0].group['name']
    )
    await lost.stop()
    store.put('servers', lost.name, None)
    await conftest.until(
        lambda: (
            sum(
                head is not lost and head.newest_epoch < 1 << 40
                for head in conftest.open_heads(runners)
            )
            >= 2
        ),
        'a group of the spares',
    )
