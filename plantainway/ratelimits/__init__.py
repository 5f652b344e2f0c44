"""Rates of requests that upstreams take from all nodes together."""

from plantainway.ratelimits._book import LimitBook
from plantainway.ratelimits._book import LimitObservation
from plantainway.ratelimits._cold import ColdObservation
from plantainway.ratelimits._cold import ColdStates
from plantainway.ratelimits._issuer import Permit
from plantainway.ratelimits._issuer import PermitIssuer
from plantainway.ratelimits._shares import KeptShares
from plantainway.ratelimits._shares import SHARE_WINDOW_S
from plantainway.ratelimits._window import equal_quota
from plantainway.ratelimits._window import SlidingWindow
