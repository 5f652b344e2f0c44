"""Tests of the quarantined parts of prompts."""

import pytest

from plantainway import clock as clocks
from plantainway import errors
from plantainway import quarantine
from plantainway.quarantine import _parts

QUARANTINE_MS = int(_parts.QUARANTINE_S * 1000)


@pytest.fixture
def clock():
    """A clock that the test moves."""
    return clocks.ManualClock()


@pytest.mark.parametrize(
    'elapsed_s, is_refused, is_on_probation, is_kept',
    [
        (0.0, True, False, True),
        (_parts.QUARANTINE_S - 0.1, True, False, True),
        (_parts.QUARANTINE_S, False, True, True),
        (_parts.QUARANTINE_S + _parts.PROBATION_S - 0.1, False, True, True),
        (_parts.QUARANTINE_S + _parts.PROBATION_S, False, False, False),
    ],
)
def test_quarantine_expires(
    clock, elapsed_s, is_refused, is_on_probation, is_kept
):
    """First a part is refused, then on probation, then forgotten."""
    parts = quarantine.Quarantine(clock)
    parts.add('p')
    clock.advance(elapsed_s)
    assert parts.find(['a', 'p']) == ('p' if is_refused else None)
    assert parts.is_on_probation('p') is is_on_probation
    assert list(parts.remaining_ms()) == (['p'] if is_kept else [])


def test_refusal_names_the_end_of_the_quarantine(clock):
    """Clients are told to come back when the part is allowed again."""
    parts = quarantine.Quarantine(clock)
    parts.add('p')
    clock.advance(100.0)
    parts.ensure_allowed(['a', 'b'])
    with pytest.raises(errors.NotRunError) as info:
        parts.ensure_allowed(['a', 'p'])
    assert info.value.reason == 'quarantined'
    assert info.value.retry_after_s == pytest.approx(
        _parts.QUARANTINE_S - 100.0
    )


@pytest.mark.parametrize(
    'known_ms, received_ms, expected_ms',
    [
        (None, 5000, 5000),
        (5000, 9000, 9000),
        (9000, 5000, 9000),
        (5000, 5500, 5000),
        (None, -1000, -1000),
        (None, 10 * QUARANTINE_MS, QUARANTINE_MS),
        (None, -QUARANTINE_MS - 1000, None),
    ],
)
def test_merged_times_neither_creep_nor_exceed_the_quarantine(
    clock, known_ms, received_ms, expected_ms
):
    """The later end holds, unless only the way between nodes made it later."""
    parts = quarantine.Quarantine(clock)
    if known_ms is not None:
        parts.merge({'p': known_ms})
    parts.merge({'p': received_ms})
    assert parts.remaining_ms().get('p') == expected_ms


def test_number_of_parts_is_bounded(clock):
    """Those whose quarantine ends last are kept."""
    parts = quarantine.Quarantine(clock)
    for number in range(_parts.PARTS_MAX + 10):
        parts.merge({f'p{number}': 10000 + 3000 * number})
    kept = parts.remaining_ms()
    assert len(kept) == _parts.PARTS_MAX
    assert 'p0' not in kept
    assert f'p{_parts.PARTS_MAX + 9}' in kept
