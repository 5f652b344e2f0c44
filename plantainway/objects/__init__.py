"""Schemas, validation and revisions of the declared objects."""

from plantainway.objects._checks import check_set
from plantainway.objects._checks import Fault
from plantainway.objects._models import Adapter
from plantainway.objects._models import ClientAccount
from plantainway.objects._models import FabricDomain
from plantainway.objects._models import KINDS
from plantainway.objects._models import Limits
from plantainway.objects._models import Model
from plantainway.objects._models import ModelVersion
from plantainway.objects._models import ObjectSet
from plantainway.objects._models import parse_documents
from plantainway.objects._models import parse_objects
from plantainway.objects._models import Place
from plantainway.objects._models import Priority
from plantainway.objects._models import ReplicaGroup
from plantainway.objects._models import Upstream
from plantainway.objects._revisions import apply_delta
from plantainway.objects._revisions import Change
from plantainway.objects._revisions import diff_sets
from plantainway.objects._revisions import Revision
from plantainway.objects._revisions import RevisionStore
from plantainway.objects._task import ObjectsTask
