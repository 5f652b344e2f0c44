"""Node membership, liveness and the links between nodes."""

from plantainway.peers._book import LIVENESS_TIMEOUT_S
from plantainway.peers._book import MembershipView
from plantainway.peers._links import peers_to_dial
from plantainway.peers._links import relay_peers
from plantainway.peers._ranking import rank_nodes
from plantainway.peers._ranking import top_nodes
from plantainway.peers._registry import Registration
from plantainway.peers._registry import Registry
from plantainway.peers._task import PeersTask
