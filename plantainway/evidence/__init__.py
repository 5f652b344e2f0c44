"""Records of what the nodes did, and the verdicts on the promises."""

from plantainway.evidence._chain import Batch
from plantainway.evidence._chain import ChainGap
from plantainway.evidence._chain import decode_batch
from plantainway.evidence._chain import encode_batch
from plantainway.evidence._chain import find_chain_gaps
from plantainway.evidence._promises import CollectedEvidence
from plantainway.evidence._promises import evaluate_promise
from plantainway.evidence._promises import PROMISES
from plantainway.evidence._promises import PromiseVerdict
from plantainway.evidence._records import Recorder
from plantainway.evidence._records import RecorderTask
from plantainway.evidence._report import collect
