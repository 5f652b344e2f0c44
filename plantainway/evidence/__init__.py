"""Records that could have shown a breach of a promise, and the answers."""

from plantainway.evidence._chain import Batch
from plantainway.evidence._chain import ChainGap
from plantainway.evidence._chain import decode_batch
from plantainway.evidence._chain import encode_batch
from plantainway.evidence._chain import verify_chains
from plantainway.evidence._promises import Answer
from plantainway.evidence._promises import Data
from plantainway.evidence._promises import judge
from plantainway.evidence._promises import PROMISES
from plantainway.evidence._records import Recorder
from plantainway.evidence._records import RecorderTask
from plantainway.evidence._report import collect
