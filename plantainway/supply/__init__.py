"""Replica groups on the platform's engines: planning and orders."""

from plantainway.supply._control import GroupController
from plantainway.supply._orders import BaseEngineClient
from plantainway.supply._orders import Order
from plantainway.supply._orders import OrderKind
from plantainway.supply._orders import OrderOutcome
from plantainway.supply._orders import OrderStatus
