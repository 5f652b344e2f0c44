"""HTTP APIs for callers and operators."""

from plantainway.api._caller import CallerApi
from plantainway.api._directory import CACHED_LIST_TTL_S
from plantainway.api._directory import choose_entries
from plantainway.api._directory import Entry
from plantainway.api._operator import OperatorApi
