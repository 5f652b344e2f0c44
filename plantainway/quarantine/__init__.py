"""Keeps requests whose prompts crash engines away from the engines."""

from plantainway.quarantine._evidence import CrashReport
from plantainway.quarantine._evidence import EvidenceRecorder
from plantainway.quarantine._evidence import FINGERPRINT_PREFIX
from plantainway.quarantine._evidence import RunEvidence
from plantainway.quarantine._parts import Quarantine
from plantainway.quarantine._tally import CrashTally
