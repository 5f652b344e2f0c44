"""Tests of the decisions on the attempts of one answer."""

import hypothesis
from hypothesis import strategies
import pytest

from plantainway.traffic import _attempts
from plantainway.traffic._attempts import Action

NOW = 100.0
LATER = NOW + 2 * _attempts.MAX_BACKOFF_S


def after(*events, is_idempotent=True, run_limit=2):
    """Returns the attempts of an answer after some events.

    An event is a name and the number of an attempt, which is opened when it
    is named first.
    """
    found = _attempts.AnswerAttempts(is_idempotent, run_limit)
    opened = 0
    for name, number in events:
        while opened < number:
            opened = found.open()
        if name in ('refused', 'denied'):
            found.record_refusal(number, NOW, is_final=name == 'denied')
        elif name != 'opened':
            getattr(found, f'record_{name}')(number)
    return found


@pytest.mark.parametrize(
    'events, action',
    [
        ([], Action.OPEN),
        ([('opened', 1)], Action.WAIT),
        ([('sent', 1)], Action.WAIT),
        ([('sent', 1), ('silence', 1)], Action.OPEN),
        ([('sent', 1), ('silence', 1), ('opened', 2)], Action.WAIT),
        ([('sent', 1), ('silence', 1), ('sent', 2)], Action.WAIT),
        (
            [('sent', 1), ('silence', 1), ('sent', 2), ('silence', 2)],
            Action.WAIT,  # both runs are used
        ),
        ([('sent', 1), ('silence', 1), ('denied', 2)], Action.WAIT),
        ([('sent', 1), ('silence', 1), ('event', 1)], Action.WAIT),
        ([('sent', 1), ('failure', 1)], Action.OPEN),
        (
            [('sent', 1), ('failure', 1), ('sent', 2), ('failure', 2)],
            Action.END,
        ),
        ([('sent', 1), ('refused', 1)], Action.OPEN),
        ([('denied', 1)], Action.END),
        ([('sent', 1), ('event', 1), ('failure', 1)], Action.OPEN),
        (
            [('sent', 1), ('event', 1), ('failure', 1), ('denied', 2)],
            Action.WAIT,  # until it is refused no more
        ),
        ([('sent', 1), ('event', 1), ('end', 1)], Action.END),
    ],
)
def test_next_action(events, action):
    """Guards against begun answers that end for a silence (LOST)."""
    assert after(*events).decide(NOW).action is action


@pytest.mark.parametrize(
    'events',
    [
        [('sent', 1), ('silence', 1), ('denied', 2)],
        [('sent', 1), ('silence', 1), ('sent', 2), ('refused', 2)],
        [('sent', 1), ('event', 1), ('failure', 1), ('denied', 2)],
    ],
)
def test_refused_attempt_is_made_again_after_a_pause(events):
    """The pause grows, up to its limit."""
    found = after(*events)
    decision = found.decide(NOW)
    assert decision.at == NOW + _attempts.MIN_BACKOFF_S
    assert found.decide(decision.at).action is Action.OPEN
    for number in range(3, 9):
        found.open()
        found.record_refusal(number, NOW)
    assert found.decide(NOW).at == NOW + _attempts.MAX_BACKOFF_S


@pytest.mark.parametrize(
    'events',
    [
        [('sent', 1), ('silence', 1)],
        [('sent', 1), ('event', 1), ('silence', 1)],
        [('sent', 1), ('event', 1), ('failure', 1)],
    ],
)
def test_request_that_may_run_once_gets_no_second_attempt(events):
    """Neither for a silence nor for a break."""
    found = after(*events, is_idempotent=False)
    is_open = bool(found.open_numbers)
    wanted = Action.WAIT if is_open else Action.END
    assert found.decide(LATER).action is wanted


@pytest.mark.parametrize('limit', [1, 2, 3])
def test_runs_at_ended_heads_do_not_count(limit):
    """Open attempts count; a restart of their head makes room for others."""
    found = _attempts.AnswerAttempts(True, limit)
    for _run in range(limit):
        number = found.open()
        found.record_sent(number)
        found.record_silence(number)
    decision = found.decide(LATER)
    assert decision == _attempts.Decision(
        Action.WAIT, LATER + _attempts.RECHECK_S
    )
    wanted = Action.OPEN if limit < _attempts.MAX_OPEN else Action.WAIT
    assert found.decide(LATER, uncounted_runs=1).action is wanted


def test_first_event_closes_the_other_attempts():
    """The attempt that delivers it goes on alone."""
    found = after(('sent', 1), ('silence', 1), ('sent', 2), ('silence', 2))
    assert found.record_event(2) == (1,)
    assert found.open_numbers == (2,) and not found.is_only_silent
    assert found.record_event(2) == ()


def test_unanswered_request_is_refused_after_some_refusals():
    """Its client is told at once when nothing runs for it."""
    found = _attempts.AnswerAttempts(True, 2)
    for _refusal in range(_attempts.MAX_REFUSALS):
        assert found.decide(NOW).action is Action.OPEN
        number = found.open()
        found.record_sent(number)
        found.record_refusal(number, NOW)
    assert found.decide(NOW).action is Action.END and found.runs == 0


EVENTS = ('sent', 'silence', 'event', 'refusal', 'failure', 'end', 'time')


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(
    is_idempotent=strategies.booleans(),
    run_limit=strategies.integers(1, 3),
    drawn=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(EVENTS), strategies.integers(0, 3)
        ),
        max_size=40,
    ),
)
def test_series_of_events(is_idempotent, run_limit, drawn):
    """A begun answer ends only if nothing is open and no run is left."""
    found = _attempts.AnswerAttempts(is_idempotent, run_limit)
    has_begun, now, phases = False, NOW, {}
    for event, choice in drawn:
        decision = found.decide(now)
        if decision.action is Action.END:
            break
        if decision.action is Action.OPEN:
            number = found.open()
            phases[number] = 'opening'
            assert len(phases) <= _attempts.MAX_OPEN
        if decision.action is Action.WAIT and not phases:
            assert decision.at > now  # it decides again
            now = max(now, decision.at)
            continue
        if event == 'time':
            now += choice * _attempts.MIN_BACKOFF_S
            continue
        if not phases:
            continue
        number = sorted(phases)[choice % len(phases)]
        is_sent = phases[number] == 'sent'
        if event == 'sent' and not is_sent:
            found.record_sent(number)
            phases[number] = 'sent'
        elif event == 'silence' and is_sent:
            found.record_silence(number)
        elif event == 'event' and is_sent:
            assert set(found.record_event(number)) == set(phases) - {number}
            phases = {number: 'sent'}
            has_begun = True
        elif event == 'refusal':
            found.record_refusal(number, now, is_final=not is_sent)
            del phases[number]
        elif event in ('failure', 'end') and is_sent:
            if event == 'end':
                assert set(found.record_event(number)) == set(phases) - {
                    number
                }
                phases = {number: 'sent'}
            getattr(found, f'record_{event}')(number)
            del phases[number]
        assert set(found.open_numbers) == set(phases)
        assert found.runs <= (run_limit if is_idempotent else 1)
    if found.decide(now).action is Action.END:
        assert not phases
        if not found.is_complete and has_begun:
            assert not found.may_run()


@pytest.mark.parametrize(
    'max_runs, end, may_run',
    [
        (1, 'refusal', True),
        (2, 'refusal', True),
        (1, 'failure', True),
        (2, 'failure', False),
    ],
)
def test_relayed_attempt_counts_with_the_runs_that_it_may_have(
    max_runs, end, may_run
):
    """Guards against runs beyond the limit when a relay breaks off."""
    found = _attempts.AnswerAttempts(True, 2)
    number = found.open()
    found.record_sent(number, max_runs)
    args = (NOW,) if end == 'refusal' else ()
    getattr(found, f'record_{end}')(number, *args)
    assert found.may_run() is may_run


def test_refused_sends_beside_a_silent_attempt_are_limited():
    """Guards against a silent stream that spends the retry budget."""
    found = after(('sent', 1), ('event', 1), ('silence', 1))
    for _refusal in range(_attempts.MAX_REFUSALS):
        assert found.decide(LATER).action is Action.OPEN
        number = found.open()
        found.record_sent(number)
        found.record_refusal(number, NOW)
    decision = found.decide(LATER)
    assert decision.action is Action.WAIT
    found.record_failure(1)  # now the answer needs another attempt
    assert found.decide(LATER).action is Action.OPEN


@pytest.mark.parametrize('has_begun', [False, True])
def test_refusals_during_a_silence_do_not_end_the_answer(has_begun):
    """It goes on elsewhere once the silent attempt breaks."""
    begun = [('event', 1)] if has_begun else []
    found = after(('sent', 1), *begun, ('silence', 1))
    for _refusal in range(_attempts.MAX_REFUSALS):
        number = found.open()
        found.record_sent(number)
        found.record_refusal(number, NOW)
    found.record_failure(1)
    assert found.decide(LATER).action is Action.OPEN


@pytest.mark.parametrize('is_open', [False, True])
def test_answer_that_can_not_go_on_ends_at_once(is_open):
    """A lasting refusal ends it, unless an attempt is open."""
    found = after(('sent', 1), ('event', 1), ('silence', 1))
    if not is_open:
        found.record_failure(1)
    found.record_refusal(found.open(), NOW, is_lasting=True)
    wanted = Action.WAIT if is_open else Action.END
    assert found.decide(LATER).action is wanted
