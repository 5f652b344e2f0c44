"""Fixtures: a node, a store stand-in and runner stand-ins on loopback."""

import asyncio
import contextlib

import aiohttp
import pytest

from plantainway import edge
from plantainway import platform
from tests.platform import runner_standin
from tests.platform import store_standin

HOST = 'h.example'
WAIT_S = 20.0  # timeout for states that take less than a second


def route(name, prefix, service, kind, **more):
    """Returns a route of the operator's configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'routeType': kind,
        'timeoutMs': 5000,
        'sloMs': 400,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'anonymous': False,
    } | more


def configuration(version=3, **more):
    """Returns an operator's configuration with each kind of route."""
    return {
        'version': version,
        'routes': [
            route('safe', '/safe/', 'plain', 'safe'),
            route('unsafe', '/unsafe/', 'plain', 'unsafe'),
            route(
                'stream',
                '/stream/',
                'llm',
                'stream',
                resumable=True,
                gapTargetMs=300,
            ),
            route('once', '/once/', 'llm', 'stream', resumable=False),
            route('open', '/open/', 'plain', 'safe', anonymous=True),
        ],
        'services': [
            {'name': 'plain'},
            {
                'name': 'llm',
                'engine': {
                    'slots': 4,
                    'models': [{'name': 'm0', 'size': 2}],
                    'step_ms': 2.0,
                    'read_per_s': 100000.0,
                    'chunk': 100,
                    'loadsPerS': 10.0,
                    'loads_at_once': 4,
                },
            },
        ],
        'limits': {'maxBodyBytes': 1000},
        'tenants': [{'name': 't1', 'apiKeys': ['k1'], 'priority': 1}],
    } | more


def settings(name, store_address, **bounds):
    """Returns the settings of a node on loopback."""
    return edge.EdgeSettings.model_validate(
        {
            'node': name,
            'zone': 'a',
            'store': store_address,
            'listen': {
                'caller': '127.0.0.1:0',
                'directory': '127.0.0.1:0',
                'readiness': '127.0.0.1:0',
                'peer': '127.0.0.1:0',
            },
            'bounds': {
                'directory_ttl_s': 0.1,
                'retry_slack': 1000.0,
                'retry_window_s': 0.01,
            }
            | bounds,
        }
    )


async def until(check, what: str) -> None:
    """Waits until a condition holds.

    Args:
        check: Function that returns whether the condition holds.
        what: Name of the condition.
    """
    async with asyncio.timeout(WAIT_S):
        while not check():
            await asyncio.sleep(0.01)


@pytest.fixture
async def store():
    """A running store stand-in that holds a configuration."""
    found = store_standin.StoreStandIn()
    await found.start()
    found.put('op', 'config', configuration())
    yield found
    await found.stop()


@pytest.fixture
async def runners(store):
    """Two plain runners and eight engines in two failure domains, by name."""
    found = [
        runner_standin.RunnerStandIn(f'p-{n}', 'plain', store) for n in (1, 2)
    ]
    for number in range(8):
        engine = runner_standin.RunnerStandIn(f'e-{number}', 'llm', store)
        engine.domain = f'd{number // 4}'
        found.append(engine)
    for runner in found:
        await runner.start()
    yield {runner.name: runner for runner in found}
    for runner in found:
        await runner.stop()


def open_heads(runners):
    """Returns the engines that are heads of open groups."""
    return [
        runner
        for runner in runners.values()
        if runner.group and runner.group['state'] == 'open'
    ]


@pytest.fixture
async def node(store, runners):
    """A ready node that knows the heads of both open groups."""
    found = edge.EdgeNode(settings('n1', store.address))
    await found.start()
    await until(lambda: len(open_heads(runners)) == 2, 'groups')
    await until(found.is_ready, 'ready')
    await until(lambda: found.open_head_count('llm', 'm0') == 2, 'heads seen')
    yield found
    await found.close()


async def until_linked(nodes) -> None:
    """Waits until nodes are ready and know of one another.

    Args:
        nodes: All running nodes.
    """
    for one in nodes:
        await until(one.is_ready, 'ready')
        await until(
            lambda one=one: len(one.dump()['nodes']) == len(nodes), 'linked'
        )


@pytest.fixture
async def three_nodes(store, runners, node):
    """Three nodes that know of one another, the first of which leads."""
    async with contextlib.AsyncExitStack() as stack:
        others = [
            await stack.enter_async_context(
                running(settings(name, store.address))
            )
            for name in ('n2', 'n3')
        ]
        found = [node, *others]
        await until_linked(found)
        yield found


@pytest.fixture
async def client():
    """An HTTP session that does not decompress bodies."""
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        yield session


@pytest.fixture
async def sessions():
    """A session that reuses connections and one that does not."""
    async with platform.new_session() as pooled:
        async with platform.new_session(
            connection_per_request=True
        ) as unpooled:
            yield pooled, unpooled


class ClientResponse:
    """Response that a client received; ``is_whole`` is false if truncated."""

    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


async def send_request(
    session, node, path, method='GET', key='k1', **more
) -> ClientResponse:
    """Sends one request to a node.

    Args:
        session: Client session.
        node: The node, or its address.
        path: Path and query.
        method: Method.
        key: API key, empty for none.
        more: Further headers, with underscores for dashes, ``body`` and
            ``request_id``.

    Returns:
        The response; a truncated body does not raise.
    """
    address = node if isinstance(node, str) else node.addresses['caller']
    body = more.pop('body', None)
    headers = {
        'Host': HOST,
        'Request-Id': more.pop('request_id', 'r-1'),
        'Deadline-Ms': '4000',
    }
    if key:
        headers['Credential'] = key
    headers |= {k.replace('_', '-'): v for k, v in more.items()}
    async with session.request(
        method, f'http://{address}{path}', headers=headers, data=body
    ) as resp:
        parts = []
        is_whole = True
        try:
            async for data in resp.content.iter_any():
                parts.append(data)
        except aiohttp.ClientError:
            is_whole = False
        return ClientResponse(
            resp.status, resp.headers, b''.join(parts), is_whole
        )


@contextlib.asynccontextmanager
async def running(cfg):
    """Runs a node without waiting until it is ready."""
    found = edge.EdgeNode(cfg)
    await found.start()
    try:
        yield found
    finally:
        await found.close()
