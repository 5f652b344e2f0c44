"""Protocol between nodes: CBOR messages over WebSocket connections."""

from plantainway.wire._codec import decode
from plantainway.wire._codec import encode
from plantainway.wire._codec import MAX_MESSAGE_BYTES
from plantainway.wire._messages import CopyView
from plantainway.wire._messages import Heartbeat
from plantainway.wire._messages import Heartbeats
from plantainway.wire._messages import Hello
from plantainway.wire._messages import LimitLoans
from plantainway.wire._messages import NodeReport
from plantainway.wire._messages import PROTOCOL_VERSION
from plantainway.wire._messages import ReportRequest
from plantainway.wire._messages import RevisionDelta
from plantainway.wire._messages import RevisionRequest
from plantainway.wire._messages import VmState
