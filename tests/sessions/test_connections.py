"""Tests that clients get valid responses only, with each parser."""

import asyncio
from unittest import mock

import aiohttp
from aiohttp import client_proto
from aiohttp import http
import hypothesis
from hypothesis import strategies
import pytest

from plantainway import sessions
from tests import responses

parser = responses.parser
TIMEOUT = aiohttp.ClientTimeout(total=5.0)
BYTES = b'\x00\x01\t\n\v\r !,-:;029Aagx\x7f\xe9'
CHUNKS = 'Transfer-Encoding: chunked'


async def _get(data: bytes, method='GET'):
    """Returns the response that a client gets, and its body."""
    async with (
        responses.RawServer(responses.fill(data)) as server,
        sessions.new_session() as session,
        session.request(
            method, f'http://{server.address}', timeout=TIMEOUT
        ) as resp,
    ):
        return resp, await resp.read()


@pytest.mark.parametrize('name', responses.BROKEN)
async def test_broken_response_is_not_passed_on(parser, name):
    """The caller gets an error, and the connection ends."""
    data = responses.fill(responses.BROKEN[name])
    async with (
        responses.RawServer(data) as server,
        sessions.new_session() as session,
    ):
        with pytest.raises(sessions.InvalidResponseError):
            async with session.get(
                f'http://{server.address}', timeout=TIMEOUT
            ) as resp:
                await resp.read()
        await server.until_closed()


@pytest.mark.parametrize('name', responses.VALID)
async def test_valid_response_is_read_alike(parser, name):
    """Status and body do not depend on the parser."""
    data, status, body = responses.VALID[name]
    resp, read = await _get(data)
    assert (resp.status, read) == (status, body)


@pytest.mark.parametrize('after', [b'\x00', b'HTTP/1.1 000 X\r\n\r\n'])
@pytest.mark.parametrize('name', ['length', 'chunks', '204'])
async def test_bytes_after_a_response_belong_to_none(parser, name, after):
    """The response is passed on, and its connection is not used again."""
    data, status, body = responses.VALID[name]
    async with (
        responses.RawServer(responses.fill(data) + after) as server,
        sessions.new_session() as session,
    ):
        for expected in (1, 2):
            async with session.get(f'http://{server.address}') as resp:
                assert (resp.status, await resp.read()) == (status, body)
            assert server.connections == expected


@pytest.mark.parametrize('size', [2, 1 << 20])
async def test_response_before_other_bytes_is_read_to_its_end(parser, size):
    """Although its parser has paused before them."""
    loop = asyncio.get_running_loop()
    protocol = sessions.ResponseHandler(loop)
    transport = mock.Mock(asyncio.Transport)
    transport.abort.side_effect = lambda: loop.call_soon(
        protocol.connection_lost, None
    )
    protocol.connection_made(transport)
    protocol.set_response_params(read_until_eof=True, read_bufsize=64)
    head = responses.response(responses.OK, CHUNKS, body='')
    chunks = b'%x\r\n%b\r\n0\r\n\r\n' % (size, bytes(size))
    protocol.data_received(responses.fill(head) + chunks + b'x')
    _head, body = await protocol.read()
    assert protocol.should_close
    await asyncio.sleep(0)
    assert await body.read() == bytes(size)
    assert transport.abort.called


@pytest.mark.parametrize('fields', [[responses.LENGTH], [CHUNKS]])
async def test_response_to_a_head_request_has_no_body(parser, fields):
    """Its framing is that of a response to GET."""
    data = responses.response(responses.OK, *fields, body='')
    resp, read = await _get(data, 'HEAD')
    assert (resp.status, read) == (200, b'')


async def test_connection_is_used_again_after_a_valid_response(parser):
    """Each response on it is validated on its own."""
    data = responses.fill(responses.VALID['chunks'][0])
    async with (
        responses.RawServer(data) as server,
        sessions.new_session() as session,
    ):
        for expected in (1, 2):
            async with session.get(f'http://{server.address}') as resp:
                assert await resp.read() == b'ok'
            assert len(server.requests) == expected
        server.data = responses.fill(
            responses.response('HTTP/1.1 000 X', responses.LENGTH)
        )
        with pytest.raises(sessions.InvalidResponseError):
            await session.get(f'http://{server.address}')
        await server.until_closed()
        assert server.connections == 1


async def test_broken_response_leaves_the_one_before_it_whole(parser):
    """Its connection was used again before its body was read."""
    data = responses.fill(responses.VALID['chunks'][0])
    async with (
        responses.RawServer(data) as server,
        sessions.new_session() as session,
    ):
        resp = await session.get(f'http://{server.address}')
        server.data = b'HTTP/1.1 000 X\r\n\r\n'
        with pytest.raises(sessions.InvalidResponseError):
            await session.get(f'http://{server.address}')
        assert server.connections == 1
        assert await resp.read() == b'ok'


async def _parse(name: str, data: bytes):
    """Returns how a parser reads a response, ``None`` if it is not passed on.

    Args:
        name: Key of ``responses.PARSERS``.
        data: What arrives on the connection before it ends.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            client_proto, 'HttpResponseParser', responses.PARSERS[name]
        )
        protocol = sessions.ResponseHandler(asyncio.get_running_loop())
        protocol.connection_made(mock.Mock(asyncio.Transport))
        protocol.set_response_params(read_until_eof=True)
    protocol.data_received(data)
    protocol.connection_lost(None)
    try:
        head, body = await protocol.read()
        while 100 <= head.code < 200:
            head, body = await protocol.read()
        return head.code, head.raw_headers, await body.read()
    except (aiohttp.ClientError, http.HttpProcessingError):
        return None


_EDITS = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 1),
        strategies.integers(0, 1),
        strategies.sampled_from([b'', *(bytes([n]) for n in BYTES)]),
    ),
    min_size=1,
    max_size=3,
)


@hypothesis.settings(derandomize=True, max_examples=1000, deadline=None)
@hypothesis.given(strategies.sampled_from(sorted(responses.VALID)), _EDITS)
def test_response_that_is_passed_on_has_one_reading(name, edits):
    """Whatever is changed in it, the parsers agree, or one rejects it."""
    data = responses.fill(responses.VALID[name][0], ('Request-Id', 'r'))
    for place, replaced, byte in edits:
        at = int(place * len(data))
        data = data[:at] + byte + data[at + replaced :]

    async def parse():
        return [await _parse(name, data) for name in responses.PARSERS]

    read = [found for found in asyncio.run(parse()) if found is not None]
    assert all(found == read[0] for found in read)
