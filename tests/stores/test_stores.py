"""Contracts of the object store, the VM list and the weight store."""

import pytest

from plantainway import errors
from plantainway import stores

PUT = stores.PutOutcome
VM = stores.VmEntry('vm-1', '127.0.0.1:1', 'praha-a', 'fab-a', False)


@pytest.fixture(params=['memory', 'http'])
def opened(request, platform_server, session):
    """Object store, VM list and weight store of each implementation."""
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
    'switches, first, again, stored',
    [
        ({}, PUT.STORED, PUT.EXISTS, b'one'),
        ({'outage': True}, PUT.NOT_STORED, PUT.NOT_STORED, None),
        ({'lost_replies': 1}, PUT.UNKNOWN, PUT.EXISTS, b'one'),
        ({'lost_requests': 1}, PUT.UNKNOWN, PUT.STORED, b'two'),
    ],
)
async def test_put_is_create_only(
    opened, platform_server, switches, first, again, stored
):
    """A name keeps its first content; unknown is said so."""
    store = opened[0]
    faults = platform_server.object_store.faults
    for name, value in switches.items():
        setattr(faults, name, value)
    assert await store.put('p/x/1', b'one') is first
    assert await store.put('p/x/1', b'two') is again
    faults.outage = False
    if stored is None:
        with pytest.raises(errors.NotFoundError):
            await store.get('p/x/1')
        assert await store.list_names('p/') == []
    else:
        assert await store.get('p/x/1') == stored
        assert await store.list_names('p/') == ['p/x/1']


async def test_names_are_ordered_and_by_prefix(opened):
    """Names come in order."""
    for name in ('b/2', 'a/1', 'b/1'):
        await opened[0].put(name, b'')
    assert await opened[0].list_names('b/') == ['b/1', 'b/2']


@pytest.mark.parametrize(
    'switches, names',
    [({}, ['vm-1']), ({'lag_s': 1000.0}, [])],
)
async def test_vm_list(opened, platform_server, switches, names):
    """The list may be old."""
    platform_server.vm_list.set_entries([VM])
    for name, value in switches.items():
        setattr(platform_server.vm_list.faults, name, value)
    assert [entry.name for entry in await opened[1].read()] == names


async def test_weights(opened, platform_server):
    """Size and rate are known by name."""
    platform_server.weights.sizes['w1'] = 10
    info = await opened[2].describe('w1')
    assert (info.size_bytes, info.rate_bytes_per_second) == (10, 10**9)
    with pytest.raises(errors.NotFoundError):
        await opened[2].describe('w2')


@pytest.mark.parametrize(
    'part, call',
    [
        ('object_store', lambda s: s[0].get('x')),
        ('object_store', lambda s: s[0].list_names('x')),
        ('vm_list', lambda s: s[1].read()),
        ('weights', lambda s: s[2].describe('x')),
    ],
)
async def test_outage_is_a_coded_error(opened, platform_server, part, call):
    """An outage is never taken for an empty answer."""
    getattr(platform_server, part).faults.outage = True
    with pytest.raises(errors.StoreUnavailableError):
        await call(opened)
