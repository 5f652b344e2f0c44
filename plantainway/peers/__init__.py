"""Membership of nodes and what they tell each other."""

from plantainway.peers._book import MemberBook
from plantainway.peers._book import NODE_TERM_S
from plantainway.peers._links import links_to_dial
from plantainway.peers._links import relay_domains
from plantainway.peers._ranking import ranked
from plantainway.peers._ranking import top
from plantainway.peers._registry import Registration
from plantainway.peers._registry import Registry
from plantainway.peers._task import PeersTask
