"""Requests: admission, routing, retries, whole answers, at most once."""

from plantainway.requests._admission import AccountBook
from plantainway.requests._admission import Admission
from plantainway.requests._chat import ChatRequest
from plantainway.requests._chat import ChatRunner
from plantainway.requests._chat import EventId
from plantainway.requests._chat import parse_event_id
from plantainway.requests._chat import Piece
from plantainway.requests._chat import text_of
from plantainway.requests._keys import Begun
from plantainway.requests._keys import KeyStore
from plantainway.requests._keys import Replay
from plantainway.requests._retries import RetryBudget
from plantainway.requests._routing import Candidate
from plantainway.requests._routing import choose
from plantainway.requests._routing import InstanceHealth
from plantainway.requests._services import ServiceRequest
from plantainway.requests._services import ServiceRunner
from plantainway.requests._streams import AnswerCheck
from plantainway.requests._view import RouteView
