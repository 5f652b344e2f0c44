"""Types of the operator's configuration and of the registered upstreams."""

from plantainway.deployment._configuration import Account
from plantainway.deployment._configuration import Configuration
from plantainway.deployment._configuration import EngineProfile
from plantainway.deployment._configuration import Limits
from plantainway.deployment._configuration import ModelProfile
from plantainway.deployment._configuration import Route
from plantainway.deployment._configuration import RouteKind
from plantainway.deployment._configuration import RouteTable
from plantainway.deployment._configuration import Service
from plantainway.deployment._upstreams import EngineReport
from plantainway.deployment._upstreams import GroupState
from plantainway.deployment._upstreams import Membership
from plantainway.deployment._upstreams import Upstream
from plantainway.deployment._upstreams import UpstreamRegistry
