"""Stand-ins of the engines, services and platform, for demo and tests."""

from plantainway.standins._engine import EngineStandIn
from plantainway.standins._engine import Fleet
from plantainway.standins._engine import make_answer_words
from plantainway.standins._faults import InjectedFaults
from plantainway.standins._platform import MemoryObjectStore
from plantainway.standins._platform import MemoryVmList
from plantainway.standins._platform import MemoryWeightStore
from plantainway.standins._platform import PlatformStandIn
from plantainway.standins._service import ServiceStandIn
from plantainway.standins._table import MemoryTable
