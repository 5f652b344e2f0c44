"""Tests of what one node records of crashes and survivals."""

import pytest

from plantainway import clock as clocks
from plantainway import quarantine
from plantainway.quarantine import _evidence
from tests.traffic import test_heads

HEAD = test_heads._head('h0')


@pytest.fixture
def clock():
    """A clock that the test moves."""
    return clocks.ManualClock()


def test_reports_name_the_incarnation_and_expire(clock):
    """A report holds until ``REPORT_TTL_S``; none is made without parts."""
    recorder = quarantine.EvidenceRecorder(clock)
    recorder.record_cut_off(HEAD, ('a', 'p'))
    recorder.record_cut_off(HEAD, ())
    clock.advance(_evidence.REPORT_TTL_S)
    (report,) = recorder.reports()
    assert (report.engine, report.started_ms) == (HEAD.name, HEAD.started_ms)
    assert (report.parts, report.age_ms) == (['a', 'p'], 30000)
    clock.advance(0.1)
    assert recorder.reports() == []


def test_survivals_answer_only_for_parts_asked_for(clock):
    """The last survival counts."""
    recorder = quarantine.EvidenceRecorder(clock)
    recorder.record_survival(('a', 'b'))
    clock.advance(2.0)
    recorder.record_survival(('b',))
    clock.advance(1.0)
    assert recorder.survival_ages_ms(['a', 'b', 'c']) == {'a': 3000, 'b': 1000}


def test_records_are_bounded(clock):
    """The oldest reports and survivals go first."""
    recorder = quarantine.EvidenceRecorder(clock)
    for number in range(_evidence.SURVIVALS_MAX + 1):
        recorder.record_survival((f'p{number}',))
        recorder.record_cut_off(HEAD, (f'p{number}',))
    assert recorder.survival_ages_ms(['p0', 'p1']) == {'p1': 0}
    reports = recorder.reports()
    assert len(reports) == _evidence.REPORTS_MAX
    assert reports[-1].parts == [f'p{_evidence.SURVIVALS_MAX}']
