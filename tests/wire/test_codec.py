"""Encoding and validation of the messages between nodes."""

import dataclasses

import cbor2
import pytest

from plantainway import errors
from plantainway import wire

SEEN = wire.VmState(True, 'b', 'f-c1', 3, 'ready', False, 8)
COPY = wire.CopyView('f-c1', 'g', 'v', 3, 'serving', [['vm', 'b']], 9)
REPORT = wire.NodeReport(
    'n', 1, 2, 'r', 'p', 'd', 'a:1', 'a:2', False, {'vm': SEEN}, {}, {'f': 1}
)
MESSAGES = [
    wire.Hello(1, 'n', 1, 'd'),
    wire.Heartbeats([wire.Heartbeat('n', 1, 5, 2)], {'vm': [1, 2]}, 7),
    REPORT,
    dataclasses.replace(REPORT, copies={'f-c1': COPY}),
    wire.ReportRequest(['n']),
    wire.RevisionDelta(
        3, [['model', 'm', {'kind': 'model'}], ['place', 'p', None]]
    ),
    wire.RevisionRequest(3),
]


@pytest.mark.parametrize('message', MESSAGES)
def test_decode_inverts_encode(message):
    """Decoding an encoded message gives an equal message."""
    assert wire.decode(wire.encode(message)) == message


def test_unknown_fields_are_ignored():
    """Fields that a newer peer adds do not make a message invalid."""
    data = cbor2.dumps(['want', {'after': 3, 'colour': 'blue'}])
    assert wire.decode(data) == wire.RevisionRequest(3)


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff',
        b'\x9f' * 2000,
        cbor2.dumps(7),
        cbor2.dumps(['want']),
        cbor2.dumps(['nothing', {}]),
        cbor2.dumps([['want'], {}]),
        cbor2.dumps(['want', {}]),
        cbor2.dumps(['want', {'after': 'x'}]),
        cbor2.dumps(['pull', {'nodes': 'n'}]),
        cbor2.dumps(['beats', {'beats': [{}], 'loads': {}, 'revision': 1}]),
        cbor2.dumps(['want', {'after': 3}])[:-1],
        b'\x00' * (wire.MAX_MESSAGE_BYTES + 1),
    ],
)
def test_malformed_messages_raise_wire_error(data):
    """Malformed data raises ``WireError`` with its code and the peer."""
    with pytest.raises(errors.WireError) as found:
        wire.decode(data, 'n2')
    assert (found.value.code, found.value.peer) == ('wire_invalid', 'n2')
