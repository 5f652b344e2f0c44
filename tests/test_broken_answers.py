"""Tests that answers to calls of the own interface are valid."""

import time

import pytest

from plantainway import errors
from plantainway import sessions
from plantainway import stores
from plantainway import upstreams
from tests import responses
from tests import test_endless_answers

parser = responses.parser
UNKNOWN = stores.Outcome.UNKNOWN


async def _call_service(address, session):
    call = upstreams.ServiceCall(
        'POST', '/orders', {}, b'', time.monotonic() + 5.0
    )
    await upstreams.HttpService('s', address, session).call(call)


async def _put(address, session):
    store = stores.HttpObjectStore(f'http://{address}', session)
    return await store.put('n', b'')


CALLS = test_endless_answers.CALLS | {'service': _call_service, 'put': _put}


@pytest.fixture(
    params=[
        'HTTP/1.1 000 X',
        "'X-Other : 2'",
        "'X-Other\\x01: 2'",
        "'Connection : 2'",
        "'Content-Length\\x01: 2'",
    ]
)
async def server(request):
    """A server whose answers are broken."""
    data = responses.fill(responses.BROKEN[request.param])
    async with responses.RawServer(data) as found:
        yield found


@pytest.mark.parametrize('call', CALLS)
async def test_broken_answer_is_an_error(parser, server, call):
    """Whether the call took effect is not known."""
    async with sessions.new_session() as session:
        try:
            outcome = await CALLS[call](server.address, session)
        except errors.UpstreamError as exc:
            assert exc.sent and call in ('state', 'order', 'chat', 'service')
        except errors.StoreUnavailableError:
            assert call in ('row', 'object', 'list')
        else:
            assert getattr(outcome, 'outcome', outcome) in (
                UNKNOWN,
                stores.PutOutcome.UNKNOWN,
            )
            assert call in ('commit', 'put')
