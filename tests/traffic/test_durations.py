"""Tests of the durations of runs."""

import pytest

from plantainway.traffic import _durations


@pytest.mark.parametrize(
    'runs, tokens, expected_s',
    [
        ([], 10, 0.0),
        ([(10, 1.0)], 10, 1.0),
        ([(10, 1.0)], 30, 3.0),
        ([(0, 2.0)], 0, 2.0),
        ([(10, 1.0)] * 19 + [(10, 9.0)], 10, 1.0),
        ([(10, 9.0)] * 64 + [(10, 1.0)] * 64, 10, 1.0),
        ([(10, 1.0)] * 3 + [(10, 2.0)] * 7, 10, 2.0),
    ],
)
def test_expected_duration_follows_the_last_runs(runs, tokens, expected_s):
    """Few slow runs do not count, nor do those of long ago."""
    durations = _durations.RunDurations()
    for run in runs:
        durations.record('s', *run)
    assert durations.expected_s('s', tokens) == pytest.approx(expected_s)
    assert durations.expected_s('other', tokens) == 0.0
