"""Tests of connections whose peer sends more than one answer to a request."""

import asyncio

import aiohttp
import pytest

from plantainway.platform import _connections
from plantainway import sessions

INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
MAX = sessions.INTERIM_RESPONSES_MAX


def _answer(request_id: str, status: int = 200, extra: bytes = b'') -> bytes:
    return (
        b'HTTP/1.1 %d X\r\nRequest-Id: %s\r\nContent-Length: 2\r\n%s\r\nok'
        % (status, request_id.encode(), extra)
    )


def _refusal(request_id: str) -> bytes:
    return _answer(request_id, 503, b'Not-Executed: 1\r\n')


class _Transport(asyncio.Transport):
    """Transport that records whether it was aborted."""

    is_aborted = False

    def abort(self):
        """Records the call."""
        self.is_aborted = True

    def is_closing(self):
        """Returns whether the connection is still open."""
        return self.is_aborted

    def pause_reading(self):
        """Does nothing."""

    def resume_reading(self):
        """Does nothing."""


async def _read(protocol):
    """Returns status and body of the next answer, or the error's type."""
    try:
        async with asyncio.timeout(1.0):
            while True:
                head, body = await protocol.read()
                if head.code >= 200:
                    return head.code, await body.read()
    except aiohttp.ClientError as exc:
        return type(exc)


@pytest.mark.parametrize(
    'exchanges, last, is_aborted',
    [
        # each exchange: what arrives in one segment after a request was sent
        ([_answer('1')], (200, b'ok'), False),
        ([INTERIM * MAX + _answer('1')], (200, b'ok'), False),
        ([INTERIM * (MAX + 1)], sessions.InvalidResponseError, True),
        ([INTERIM * MAX + _answer('1')] * 2, (200, b'ok'), False),
        ([_answer('1') + INTERIM], (200, b'ok'), True),
        ([_answer('1') * 2], (200, b'ok'), True),
        ([_answer('1') + _answer('2')], (200, b'ok'), True),
        ([_answer('1') + _refusal('1')], (200, b'ok'), True),
        ([_answer('1'), _answer('1')], (200, b'ok'), False),
        ([_refusal('1'), _answer('1')], (200, b'ok'), False),
        ([_refusal('1'), _refusal('2')], (503, b'ok'), False),
        ([_refusal('1'), _refusal('1')], aiohttp.ClientPayloadError, True),
        (
            [_refusal('1'), _answer('2'), _refusal('1') + _answer('1')],
            aiohttp.ClientPayloadError,
            True,
        ),
    ],
)
async def test_only_one_answer_to_each_request_is_passed_on(
    exchanges, last, is_aborted
):
    """Whatever belongs to no request ends the connection."""
    protocol = _connections.StrictResponseHandler(asyncio.get_running_loop())
    transport = _Transport()
    protocol.connection_made(transport)
    for segment in exchanges:
        protocol.set_response_params(read_until_eof=True)
        protocol.data_received(segment)
        got = await _read(protocol)
    assert got == last
    assert transport.is_aborted == is_aborted


@pytest.mark.parametrize('late', [INTERIM, _answer('1'), _refusal('1')])
async def test_late_answer_ends_an_idle_connection(late):
    """However many follow, none is kept."""
    protocol = _connections.StrictResponseHandler(asyncio.get_running_loop())
    transport = _Transport()
    protocol.connection_made(transport)
    protocol.set_response_params(read_until_eof=True)
    protocol.data_received(_answer('1'))
    assert await _read(protocol) == (200, b'ok')
    for _copy in range(1000):
        protocol.data_received(late)
    assert transport.is_aborted
    assert protocol.should_close
    assert not protocol._buffer
