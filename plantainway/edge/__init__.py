"""A node on the users' platform."""

from plantainway.edge._node import EdgeNode
from plantainway.edge._service import run
from plantainway.edge._settings import EdgeSettings
from plantainway.edge._settings import load
