"""Records that could have shown a breach of a promise, and the answers."""

from plantainway.evidence._chain import Batch
from plantainway.evidence._chain import ChainGap
from plantainway.evidence._chain import decode_batch
from plantainway.evidence._chain import encode_batch
from plantainway.evidence._chain import verify_chains
from plantainway.evidence._promises import CollectedEvidence
from plantainway.evidence._promises import evaluate_promise
from plantainway.evidence._promises import PROMISES
from plantainway.evidence._promises import PromiseVerdict
from plantainway.evidence._records import Recorder
from plantainway.evidence._records import RecorderTask
from plantainway.evidence._report import collect
