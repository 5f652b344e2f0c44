"""CBOR encoding of the messages between nodes."""

import dataclasses

import cbor2
import pydantic

from plantainway import errors
from plantainway.wire import _messages

MAX_MESSAGE_BYTES = 1 << 20
_CLASS_BY_TAG = {
    'hello': _messages.Hello,
    'beats': _messages.Heartbeats,
    'report': _messages.NodeReport,
    'pull': _messages.ReportRequest,
    'delta': _messages.RevisionDelta,
    'want': _messages.RevisionRequest,
    'sheet': _messages.LimitLoans,
}
_TAG_BY_CLASS = {cls: tag for tag, cls in _CLASS_BY_TAG.items()}
_ADAPTER_BY_TAG = {
    tag: pydantic.TypeAdapter(cls) for tag, cls in _CLASS_BY_TAG.items()
}


def encode(message) -> bytes:
    """Encodes a message.

    Args:
        message: Instance of a message class.

    Returns:
        A CBOR array of the type tag and a map of the fields.
    """
    return cbor2.dumps(
        [_TAG_BY_CLASS[type(message)], dataclasses.asdict(message)]
    )


def decode(data: bytes, peer: str = ''):
    """Decodes and validates a message.

    Unknown fields are ignored, so that newer peers may add some.

    Args:
        data: Bytes received.
        peer: Name of the sender, for error messages.

    Returns:
        Instance of a message class.

    Raises:
        WireError: If the data exceeds ``MAX_MESSAGE_BYTES`` or is no valid
            message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.WireError('message exceeds 1 MiB', 'decode', peer)
    try:
        tag, fields = cbor2.loads(data)
        return _ADAPTER_BY_TAG[tag].validate_python(fields)
    except (cbor2.CBORDecodeError, pydantic.ValidationError) as exc:
        raise errors.WireError(f'{type(exc).__name__}', 'decode', peer)
    except (TypeError, ValueError, KeyError, RecursionError) as exc:
        raise errors.WireError(repr(exc)[:200], 'decode', peer)
