"""How the nodes of the users' platform find and inform one another."""

from plantainway.cluster._directory import choose_addresses
from plantainway.cluster._follower import Follower
from plantainway.cluster._hub import Hub
from plantainway.cluster._hub import HubClient
from plantainway.cluster._leadership import Leadership
from plantainway.cluster._leadership import RENEW_EVERY_S
from plantainway.cluster._messages import Beat
from plantainway.cluster._messages import Digest
from plantainway.cluster._messages import NodeInfo
from plantainway.cluster._messages import OpenHead
