"""Expected time to the first event of a request at a head."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway.traffic import _admission

MODELS = (
    deployment.ModelProfile('m0', 4, 0.5, 1.0, 16.0, 1.6),
    deployment.ModelProfile('m1', 4, 0.5, 0.5, 16.0, 1.6),
)
# A step takes 10 ms and 1 ms a sequence, and reads 1,000 tokens in 20 ms.
PROFILE = deployment.EngineProfile(
    slots=4,
    models=MODELS,
    step_ms=10.0,
    step_ms_per_sequence=1.0,
    step_ms_per_1k_context=0.0,
    prefill_tokens_per_s=50000.0,
    prefill_chunk_tokens=1000,
    steps_per_pass=2,
    typical_prompt_tokens=1000.0,
    typical_answer_tokens=100.0,
    kv_cache_tokens=700000,
    group_formation_ms=300.0,
    loads_per_s=4.0,
    max_concurrent_loads=8,
)


@pytest.mark.parametrize(
    'model, held, prompt, changes, expected_ms',
    [
        # Half a pass, one pass and the own prompt.
        ('m0', 0, 1000, {}, 1.5 * 2 * 11 + 20),
        ('m0', 0, 0, {}, 1.5 * 2 * 11 + 20),
        ('m1', 0, 1000, {}, (1.5 * 2 * 11 + 20) / 2),
        ('unknown', 0, 1000, {}, 1.5 * 2 * 11 + 20),
        # Two more passes for a prompt of six chunks.
        ('m0', 0, 6000, {}, 3.5 * 2 * 11 + 120),
        ('m0', 0, 1000, {'steps_per_pass': 5}, 1.5 * 5 * 11 + 20),
        # Context of a running sequence: 1,050 tokens.
        ('m0', 0, 1000, {'step_ms_per_1k_context': 2}, 1.5 * 2 * 13.1 + 20),
        # At the last slot, 3 of 4 x 34 / 1434 prompts are ahead.
        ('m0', 3, 1000, {}, 1.5 * 2 * 14 + 20 * (1 + 3 * 34 / 1434)),
        # Beyond the slots, one slot becomes free every 1434 / 4 ms.
        (
            'm0',
            5,
            1000,
            {},
            1.5 * 2 * 14 + 20 * (1 + 3 * 34 / 1434) + 2 * 1434 / 4,
        ),
    ],
)
def test_expected_time(model, held, prompt, changes, expected_ms):
    """Guards against a part of the time that is left out."""
    profile = dataclasses.replace(PROFILE, **changes)
    got = _admission.expected_first_event_s(profile, model, held, prompt)
    assert got * 1000 == pytest.approx(expected_ms)


@hypothesis.given(
    strategies.integers(0, 60),
    strategies.integers(0, 60),
    strategies.integers(1, 30000),
)
def test_expected_time_grows_with_the_load(held, more, prompt):
    """Guards against a fuller head that looks better."""
    times = [
        _admission.expected_first_event_s(PROFILE, 'm0', count, prompt)
        for count in (held, held + more)
    ]
    assert 0 < times[0] <= times[1]


def test_profile_without_figures_gives_a_time():
    """Guards against a division by zero for services that publish none."""
    zeros = {
        field.name: 0
        for field in dataclasses.fields(PROFILE)
        if field.name != 'models'
    }
    profile = dataclasses.replace(PROFILE, **zeros)
    assert _admission.expected_first_event_s(profile, 'm0', 3) >= 0


@pytest.mark.parametrize(
    'max_load, slots, yields, expected',
    [
        (27, 24, False, 27),
        (27, 24, True, 18),
        (9, 24, True, 9),  # a head that is ramped up
        (4, 1, True, 1),
        (3, 0, True, 1),
    ],
)
def test_ceiling(max_load, slots, yields, expected):
    """Guards against a head that takes no less urgent request at all."""
    assert _admission.ceiling(max_load, slots, yields) == expected


@hypothesis.given(
    strategies.dictionaries(
        strategies.integers(0, 9), strategies.floats(0.0, 2.0)
    ),
    strategies.integers(-1, 9),
)
def test_pressure_is_that_of_more_urgent_requests_of_the_last_second(
    ages_s, priority
):
    """Guards against pressure that stays, or that equals exert."""
    clock = clocks.ManualClock()
    books = [_admission.PressureBook(clock) for _node in range(2)]
    end = clock.now() + 2.0
    for other, age_s in sorted(ages_s.items(), key=lambda item: -item[1]):
        clock.advance(max(end - age_s - clock.now(), 0.0))
        books[0].record('s/m', other)
    clock.advance(max(end - clock.now(), 0.0))
    books[1].merge(books[0].remaining_ms())
    recent = [n for n, age_s in ages_s.items() if age_s < 1.0 - 1e-3]
    expected = any(0 <= n < priority for n in recent)
    if not any(abs(age_s - 1.0) <= 1e-3 for age_s in ages_s.values()):
        for book in books:
            assert book.is_above('s/m', priority) == expected
    clock.advance(1.1)
    assert not any(book.is_above('s/m', 10) for book in books)
    assert not books[0].remaining_ms()


def test_saturation_lasts_while_heads_are_full():
    """Guards against a burst that counts as lasting overload."""
    clock = clocks.ManualClock()
    tracker = _admission.SaturationTracker(clock)
    durations = []
    for held in (23, 24, 24, 20, 24, 30):
        tracker.observe('s/m', held, 24)
        durations.append(tracker.duration_s('s/m'))
        clock.advance(1.0)
    assert durations == [0.0, 1.0, 2.0, 0.0, 0.0, 1.0]
    assert tracker.duration_s('s/other') == 0.0
