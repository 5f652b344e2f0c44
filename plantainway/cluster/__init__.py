"""Leader election and state exchange between nodes on the platform."""

from plantainway.cluster._directory import choose_addresses
from plantainway.cluster._follower import TableCache
from plantainway.cluster._hub import Hub
from plantainway.cluster._hub import HubClient
from plantainway.cluster._leadership import Holder
from plantainway.cluster._leadership import Leadership
from plantainway.cluster._leadership import RENEW_EVERY_S
from plantainway.cluster._messages import Heartbeat
from plantainway.cluster._messages import LeaderUpdate
from plantainway.cluster._messages import NodeInfo
from plantainway.cluster._messages import OpenHead
