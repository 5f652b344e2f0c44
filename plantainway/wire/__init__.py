"""The protocol between nodes: CBOR messages over websockets."""

from plantainway.wire._codec import decode
from plantainway.wire._codec import encode
from plantainway.wire._codec import MAX_MESSAGE_BYTES
from plantainway.wire._messages import Beat
from plantainway.wire._messages import Beats
from plantainway.wire._messages import CopyView
from plantainway.wire._messages import Delta
from plantainway.wire._messages import Hello
from plantainway.wire._messages import PROTOCOL_VERSION
from plantainway.wire._messages import Pull
from plantainway.wire._messages import Report
from plantainway.wire._messages import SeenVm
from plantainway.wire._messages import Sheet
from plantainway.wire._messages import Want
