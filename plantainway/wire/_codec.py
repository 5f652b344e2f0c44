"""CBOR form of the messages."""

import dataclasses

import cbor2
import pydantic

from plantainway import errors
from plantainway.wire import _messages

MAX_MESSAGE_BYTES = 1 << 20
_TYPES = {
    'hello': _messages.Hello,
    'beats': _messages.Heartbeats,
    'report': _messages.NodeReport,
    'pull': _messages.ReportRequest,
    'delta': _messages.RevisionDelta,
    'want': _messages.RevisionRequest,
    'sheet': _messages.LimitLoans,
}
_TAGS = {cls: tag for tag, cls in _TYPES.items()}
_ADAPTERS = {tag: pydantic.TypeAdapter(cls) for tag, cls in _TYPES.items()}


def encode(message) -> bytes:
    """Encodes a message.

    Args:
        message: One of the message classes.

    Returns:
        A CBOR array of the type tag and the fields.
    """
    return cbor2.dumps([_TAGS[type(message)], dataclasses.asdict(message)])


def decode(data: bytes, peer: str = ''):
    """Decodes a message; unknown fields are ignored.

    Args:
        data: Bytes received.
        peer: Name of the sender for messages.

    Returns:
        One of the message classes.

    Raises:
        WireError: If the bytes are too many or no valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.WireError('message too long', 'decode', peer)
    try:
        tag, fields = cbor2.loads(data)
        return _ADAPTERS[tag].validate_python(fields)
    except (cbor2.CBORDecodeError, pydantic.ValidationError) as exc:
        raise errors.WireError(f'{type(exc).__name__}', 'decode', peer)
    except (TypeError, ValueError, KeyError, RecursionError) as exc:
        raise errors.WireError(repr(exc)[:200], 'decode', peer)
