"""Routes client requests to upstreams and returns the responses."""

from plantainway.traffic._budget import RetryBudget
from plantainway.traffic._gateway import Dependencies
from plantainway.traffic._gateway import Gateway
from plantainway.traffic._heads import HeadPool
from plantainway.traffic._heads import MAX_QUEUED_PER_GROUP
from plantainway.traffic._health import HealthTracker
from plantainway.traffic._links import choose_checked
from plantainway.traffic._links import LinkMonitor
from plantainway.traffic._loads import LoadTracker
from plantainway.traffic._outcomes import OutcomeRecorder
from plantainway.traffic._pauses import PauseBook
from plantainway.traffic._rates import RateGate
from plantainway.traffic._relay import BaseRelayClient
from plantainway.traffic._relay import Relay
from plantainway.traffic._relay import RelayedAttempt
from plantainway.traffic._stalls import StallDetector
from plantainway.traffic._types import Attempt
from plantainway.traffic._types import BasePermitSource
from plantainway.traffic._types import BaseSink
from plantainway.traffic._types import BaseUpstreamClient
from plantainway.traffic._types import BaseUpstreamResponse
from plantainway.traffic._types import REASON_LIMITED
from plantainway.traffic._types import Request
from plantainway.traffic._types import Response
from plantainway.traffic._warmup import WarmupPacer
