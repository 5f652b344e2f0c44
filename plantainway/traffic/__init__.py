"""The way of a request from a client to an upstream and back."""

from plantainway.traffic._budget import RetryBudget
from plantainway.traffic._gateway import Gateway
from plantainway.traffic._gateway import Parts
from plantainway.traffic._heads import HeadPool
from plantainway.traffic._health import HealthBook
from plantainway.traffic._loads import LoadBook
from plantainway.traffic._outcomes import OutcomeBook
from plantainway.traffic._stalls import StallBook
from plantainway.traffic._types import Answer
from plantainway.traffic._types import BaseReply
from plantainway.traffic._types import BaseSink
from plantainway.traffic._types import BaseUpstreamClient
from plantainway.traffic._types import Request
from plantainway.traffic._types import Sending
