"""Contract of a plain service."""

import time

import pytest

from plantainway import errors
from plantainway import standins
from plantainway import upstreams


@pytest.fixture
async def ledger():
    """A running service."""
    service = standins.ServiceStandIn()
    await service.start()
    yield service
    await service.stop()


def call(method='POST', left_s=5.0):
    """Returns an order."""
    return upstreams.ServiceCall(
        method,
        '/orders',
        {'Idempotency-Key': 'k', 'X-Request-Id': 'r'},
        b'{}',
        time.monotonic() + left_s,
    )


@pytest.mark.parametrize('method', ['POST', 'PUT', 'PATCH', 'DELETE'])
@pytest.mark.parametrize(
    'switches, left_s, runs',
    [
        ({}, 5.0, 1),
        ({'lost_replies': 1}, 5.0, 1),
        ({'lost_requests': 1}, 5.0, 0),
        ({'slow_s': 0.3}, 0.1, 1),
    ],
)
async def test_a_call_is_sent_once(
    ledger, session, method, switches, left_s, runs
):
    """No failure makes the client send a call again."""
    service = upstreams.HttpService('l', ledger.server.address, session)
    await service.call(call())  # the connection is reused from here on
    ledger.runs.clear()
    for name, value in switches.items():
        setattr(ledger.faults, name, value)
    if switches:
        with pytest.raises(errors.UpstreamError) as found:
            await service.call(call(method, left_s))
        assert found.value.sent
    else:
        assert (await service.call(call(method, left_s))).status == 201
    assert len(ledger.runs) == runs


async def test_unreachable_service_was_not_sent_to(ledger, session):
    """Only a refused connection counts as not sent."""
    address = ledger.server.address
    await ledger.stop()
    with pytest.raises(errors.UpstreamError) as found:
        await upstreams.HttpService('l', address, session).call(call())
    assert not found.value.sent
