"""Tests of what is valid in a response."""

import pytest

from plantainway import sessions
from tests import responses


def _receive(data: bytes, size: int) -> sessions.ResponseNormalizer:
    """Passes a response to a new normalizer, some bytes at a time."""
    normalizer = sessions.ResponseNormalizer()
    for place in range(0, len(data), size):
        normalizer.receive(data[place : place + size])
    return normalizer


@pytest.mark.parametrize('size', [1, 2, 3, 1 << 20])
@pytest.mark.parametrize('name', responses.BROKEN)
def test_broken_response_is_not_valid(name, size):
    """However its bytes arrive."""
    data = responses.fill(responses.BROKEN[name])
    with pytest.raises(sessions.InvalidResponseError):
        _receive(data, size)


@pytest.mark.parametrize('after', [b'', b'\x00', b'HTTP/1.1 000 X\r\n\r\n'])
@pytest.mark.parametrize('size', [1, 2, 3, 1 << 20])
@pytest.mark.parametrize('name', responses.VALID)
def test_valid_response_is_complete(name, size, after):
    """What follows it belongs to no response."""
    data = responses.fill(responses.VALID[name][0])
    assert _receive(data + after, size).is_complete
    assert not _receive(data[:-1], size).is_complete


@pytest.mark.parametrize('version', ['1.0', '1.1'])
def test_response_without_length_ends_with_its_connection(version):
    """Any bytes may follow its head."""
    data = responses.response(f'HTTP/{version} 200 OK', body='\x00\r\n\r\n')
    assert not _receive(responses.fill(data), 1).is_complete


@pytest.mark.parametrize(
    'first, fields',
    [
        ('HTTP/1.1 200 OK', ['Content-Length: 2']),
        ('HTTP/1.1 200 OK', ['Transfer-Encoding: chunked']),
        ('HTTP/1.1 404 X', []),
    ],
)
def test_response_to_a_head_request_ends_with_its_head(first, fields):
    """Its framing is that of a response to GET."""
    normalizer = sessions.ResponseNormalizer(has_body=False)
    data = responses.response(first, *fields, body='')
    normalizer.receive(responses.fill(data))
    assert normalizer.is_complete


@pytest.mark.parametrize(
    'data',
    [
        responses.OK.encode() + b'\r\nX: ' + b'y' * (1 << 21),
        responses.OK.encode() + b'\r\n' + b'X: y\r\n' * (1 << 18),
        b'HTTP/1.1 100 X\r\n\r\n' * (sessions.INTERIM_RESPONSES_MAX + 1),
    ],
)
def test_head_without_end_is_not_valid(data):
    """Its bytes would be kept."""
    with pytest.raises(sessions.InvalidResponseError):
        _receive(data, 1 << 16)
