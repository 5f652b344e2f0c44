"""Planning of replica groups and the orders to their engines."""

from plantainway.supply._control import GroupController
from plantainway.supply._control import term_of_epoch
from plantainway.supply._orders import BaseEngineClient
from plantainway.supply._orders import Order
from plantainway.supply._orders import OrderKind
from plantainway.supply._orders import OrderOutcome
from plantainway.supply._orders import OrderStatus
from plantainway.supply._witness import BaseLossWitness
