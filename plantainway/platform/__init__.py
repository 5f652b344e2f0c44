"""What the platform gives: table, object store, VM list, weight store."""

from plantainway.platform._http import HttpObjectStore
from plantainway.platform._http import HttpTable
from plantainway.platform._http import HttpVmList
from plantainway.platform._http import HttpWeightStore
from plantainway.platform._stores import BaseObjectStore
from plantainway.platform._stores import BaseVmList
from plantainway.platform._stores import BaseWeightStore
from plantainway.platform._stores import PutOutcome
from plantainway.platform._stores import VmEntry
from plantainway.platform._stores import WeightInfo
from plantainway.platform._table import ABSENT
from plantainway.platform._table import BaseTable
from plantainway.platform._table import Check
from plantainway.platform._table import commit_settled
from plantainway.platform._table import CommitResult
from plantainway.platform._table import new_txn_id
from plantainway.platform._table import Outcome
from plantainway.platform._table import Row
from plantainway.platform._table import Transaction
from plantainway.platform._table import Write
