"""Clients of the platform: table, object store, VM list, weight store."""

from plantainway.stores._feed import BaseFeed
from plantainway.stores._feed import RawRow
from plantainway.stores._feed import RowBatch
from plantainway.stores._http import HttpObjectStore
from plantainway.stores._http import HttpTable
from plantainway.stores._http import HttpVmList
from plantainway.stores._http import HttpWeightStore
from plantainway.stores._stores import BaseObjectStore
from plantainway.stores._stores import BaseVmList
from plantainway.stores._stores import BaseWeightStore
from plantainway.stores._stores import PutOutcome
from plantainway.stores._stores import VmEntry
from plantainway.stores._stores import WeightInfo
from plantainway.stores._table import ABSENT
from plantainway.stores._table import BaseTable
from plantainway.stores._table import Check
from plantainway.stores._table import commit_and_resolve
from plantainway.stores._table import CommitResult
from plantainway.stores._table import new_txn_id
from plantainway.stores._table import Outcome
from plantainway.stores._table import Row
from plantainway.stores._table import Transaction
from plantainway.stores._table import Write
