"""Contract tests of the plain service client."""

import time

import pytest

from plantainway import errors
from plantainway import standins
from plantainway import upstreams


@pytest.fixture
async def ledger():
    """Returns a running service stand-in."""
    service = standins.ServiceStandIn()
    await service.start()
    yield service
    await service.stop()


def make_call(method='POST', remaining_s=5.0):
    """Returns a call that places an order."""
    return upstreams.ServiceCall(
        method,
        '/orders',
        {'Idempotency-Key': 'k', 'X-Request-Id': 'r'},
        b'{}',
        time.monotonic() + remaining_s,
    )


@pytest.mark.parametrize('method', ['POST', 'PUT', 'PATCH', 'DELETE'])
@pytest.mark.parametrize(
    'injected, remaining_s, expected_runs',
    [
        ({}, 5.0, 1),
        ({'lost_replies': 1}, 5.0, 1),
        ({'lost_requests': 1}, 5.0, 0),
        ({'slow_s': 0.3}, 0.1, 1),
    ],
)
async def test_a_call_is_sent_once(
    ledger, session, method, injected, remaining_s, expected_runs
):
    """The client never repeats a call after a failure.

    The HTTP library retries a request by itself if a reused connection
    breaks, which would run an order twice.
    """
    service = upstreams.HttpService('l', ledger.server.address, session)
    await service.call(make_call())  # later calls reuse this connection
    ledger.runs.clear()
    for name, value in injected.items():
        setattr(ledger.faults, name, value)
    if injected:
        with pytest.raises(errors.UpstreamError) as found:
            await service.call(make_call(method, remaining_s))
        assert found.value.sent
    else:
        assert (
            await service.call(make_call(method, remaining_s))
        ).status == 201
    assert len(ledger.runs) == expected_runs


async def test_unreachable_service_was_not_sent_to(ledger, session):
    """A refused connection is reported as not sent."""
    address = ledger.server.address
    await ledger.stop()
    with pytest.raises(errors.UpstreamError) as found:
        await upstreams.HttpService('l', address, session).call(make_call())
    assert not found.value.sent
