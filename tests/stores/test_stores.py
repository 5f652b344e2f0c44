"""Contract tests of the object store, VM list and weight store."""

import pytest

from plantainway import errors
from plantainway import stores

PutOutcome = stores.PutOutcome
VM = stores.VmEntry('vm-1', '127.0.0.1:1', 'praha-a', 'fab-a', False)


@pytest.fixture(params=['memory', 'http'])
def clients(request, platform_server, session):
    """Returns object store, VM list and weight store per implementation."""
    if request.param == 'memory':
        return (
            platform_server.object_store,
            platform_server.vm_list,
            platform_server.weights,
        )
    url = platform_server.url
    return (
        stores.HttpObjectStore(url, session),
        stores.HttpVmList(url, session),
        stores.HttpWeightStore(url, session),
    )


@pytest.mark.parametrize(
    'injected, first, second, stored',
    [
        ({}, PutOutcome.STORED, PutOutcome.EXISTS, b'one'),
        ({'outage': True}, PutOutcome.NOT_STORED, PutOutcome.NOT_STORED, None),
        ({'lost_replies': 1}, PutOutcome.UNKNOWN, PutOutcome.EXISTS, b'one'),
        ({'lost_requests': 1}, PutOutcome.UNKNOWN, PutOutcome.STORED, b'two'),
    ],
)
async def test_put_is_create_only(
    clients, platform_server, injected, first, second, stored
):
    """A blob is never overwritten; a lost reply gives UNKNOWN."""
    store = clients[0]
    faults = platform_server.object_store.faults
    for name, value in injected.items():
        setattr(faults, name, value)
    assert await store.put('p/x/1', b'one') is first
    assert await store.put('p/x/1', b'two') is second
    faults.outage = False
    if stored is None:
        with pytest.raises(errors.NotFoundError):
            await store.get('p/x/1')
        assert await store.list_names('p/') == []
    else:
        assert await store.get('p/x/1') == stored
        assert await store.list_names('p/') == ['p/x/1']


async def test_list_names_filters_and_sorts(clients):
    """Names are filtered by prefix and sorted."""
    for name in ('b/2', 'a/1', 'b/1'):
        await clients[0].put(name, b'')
    assert await clients[0].list_names('b/') == ['b/1', 'b/2']


@pytest.mark.parametrize(
    'injected, names',
    [({}, ['vm-1']), ({'lag_s': 1000.0}, [])],
)
async def test_vm_list_may_be_outdated(
    clients, platform_server, injected, names
):
    """With a lag the list has the entries of an earlier time."""
    platform_server.vm_list.set_entries([VM])
    for name, value in injected.items():
        setattr(platform_server.vm_list.faults, name, value)
    assert [entry.name for entry in await clients[1].read()] == names


async def test_describe_weights(clients, platform_server):
    """Size and rate are found by name; unknown names raise an error."""
    platform_server.weights.sizes['w1'] = 10
    info = await clients[2].describe('w1')
    assert (info.size_bytes, info.rate_bytes_per_second) == (10, 10**9)
    with pytest.raises(errors.NotFoundError):
        await clients[2].describe('w2')


@pytest.mark.parametrize(
    'service, call',
    [
        ('object_store', lambda s: s[0].get('x')),
        ('object_store', lambda s: s[0].list_names('x')),
        ('vm_list', lambda s: s[1].read()),
        ('weights', lambda s: s[2].describe('x')),
    ],
)
async def test_outage_raises_store_unavailable(
    clients, platform_server, service, call
):
    """A read during an outage raises an error, not an empty result."""
    getattr(platform_server, service).faults.outage = True
    with pytest.raises(errors.StoreUnavailableError):
        await call(clients)
