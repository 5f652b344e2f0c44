"""Clients of model engines and plain services."""

from plantainway.upstreams._deadlines import answer_within
from plantainway.upstreams._engine import BaseEngine
from plantainway.upstreams._engine import ChatCall
from plantainway.upstreams._engine import ChatEvent
from plantainway.upstreams._engine import EngineState
from plantainway.upstreams._engine import LoadOrder
from plantainway.upstreams._engine import PrefetchOrder
from plantainway.upstreams._engine import Role
from plantainway.upstreams._http_engine import HttpEngine
from plantainway.upstreams._service import BaseService
from plantainway.upstreams._service import HttpService
from plantainway.upstreams._service import ServiceCall
from plantainway.upstreams._service import ServiceResponse
