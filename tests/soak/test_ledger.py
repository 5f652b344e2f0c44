"""Tests that the checker of the soak reports each broken promise."""

import dataclasses
import math

import pytest

from tests.soak import ledger


@dataclasses.dataclass
class _Answer:
    status: int
    body: bytes = b''
    headers: dict = dataclasses.field(default_factory=dict)
    is_whole: bool = True


def _two_runs(checker):
    checker.record_at_most_once('t1')
    checker.record_run('t1')
    checker.record_run('t1')


def _false_refusal(checker):
    checker.record_run('t1')
    checker.check_answer(
        't1', _Answer(503, headers={'Not-Executed': '1'}), b''
    )


def _older_version(checker):
    checker.check_version('n1', 5, 0)
    checker.check_version('n1', 4, 5)


def _over_limit(checker):
    for number in range(24):
        checker.arrivals.record_arrival('e1', 14.0 + number / 10, 't')
    checker.check_rate('e1', 3.0, 10.0, 20.0)


def _short_group(checker):
    checker.record_ready('e1', 'g1', 1)
    checker.check_group_run(['e1'], 'g1', 1, 2)


def _member_never_ready(checker):
    checker.record_ready('e1', 'g1', 1)
    checker.record_ready('e2', 'g1', 2)
    checker.check_group_run(['e1', 'e2'], 'g1', 1, 2)


@pytest.mark.parametrize(
    'promise, breach',
    [
        ('whole', lambda b: b.check_answer('t', _Answer(200, b'a'), b'ab')),
        (
            'own answer',
            lambda b: b.check_answer(
                't', _Answer(200, b'x', is_whole=False), b'ab'
            ),
        ),
        ('at most once', _two_runs),
        ('true refusal', _false_refusal),
        ('newest configuration', _older_version),
        ('limits of upstreams', _over_limit),
        ('whole group', _short_group),
        ('whole group', _member_never_ready),
        ('one group', lambda b: b.check_join('e1', True)),
        ('leaves in time', lambda b: b.check_stop('n1', 5.1, 5.0)),
        ('serves again', lambda b: b.check_recovery('safe', False)),
    ],
)
def test_each_breach_is_reported(promise, breach):
    """Each planted breach is reported once, under its own promise."""
    checker = ledger.PromiseChecker()
    breach(checker)
    assert [found.promise for found in checker.finish()] == [promise]


def test_allowed_outcomes_are_not_breaches():
    """Cut answers, refusals and repeats of safe requests are allowed.

    So is an older configuration for a request that was sent earlier.
    """
    checker = ledger.PromiseChecker()
    checker.check_answer('t1', _Answer(200, b'ab'), b'ab')
    checker.check_answer('t2', _Answer(200, b'a', is_whole=False), b'ab')
    checker.check_answer(
        't3', _Answer(503, headers={'Not-Executed': '1'}), b''
    )
    checker.record_run('t4')
    checker.record_run('t4')
    checker.check_version('n1', 5, 0)
    checker.check_version('n1', 4, 0)  # sent before version 5 was seen
    for name in ('e1', 'e2'):
        checker.record_ready(name, 'g1', 1)
    checker.check_group_run(['e1', 'e2'], 'g1', 1, 2)
    for number in range(26):  # the first three before the limit settles
        checker.arrivals.record_arrival('e1', 12.7 + number / 10, 't')
    checker.check_rate('e1', 3.0, 10.0, 20.0)
    for number in range(24):  # beside the start of a node
        checker.arrivals.record_arrival('e2', 14.0 + number / 10, 't')
    checker.record_node_start(12.0)
    checker.check_rate('e2', 3.0, 10.0, 20.0)
    checker.check_join('e1', False)
    checker.check_stop('n1', 4.9, 5.0)
    checker.check_recovery('safe', True)
    assert checker.finish() == []


def _cut(answers, token='t1', cut_at=3.0):
    answers.record_cut(ledger.CutAnswer(token, 'n1', 1.0, 5.0, cut_at))


def _run(answers, runner, ended_at, is_complete=False, began_at=1.1):
    answers.record_run(
        't1', ledger.Run(runner, began_at, ended_at, is_complete)
    )


def _node_closed_it(answers):
    _run(answers, 'e1', 2.9)


def _runner_had_sent_all(answers):
    _run(answers, 'e1', 2.5, is_complete=True)


def _runner_went_on(answers):
    _run(answers, 'e1', math.inf)


def _other_attempt_broke(answers):
    _run(answers, 'e2', 2.6, began_at=2.0)
    answers.record_disturbance('e2', 2.5, 3.5)
    _run(answers, 'e1', 2.9)


def _fault_came_earlier(answers):
    answers.record_disturbance('e1', 0.2, 1.0)
    _run(answers, 'e1', 2.9)


def _fault_came_later(answers):
    answers.record_disturbance('e1', 3.1, 4.0)
    _run(answers, 'e1', math.inf)


def _fault_of_another_runner(answers):
    answers.record_disturbance('e2', 1.0, 4.0)
    _run(answers, 'e1', 2.9)


def _sigterm_before_the_end(answers):
    answers.record_node_end('n1', 3.5)
    _run(answers, 'e1', 2.9)


def _another_node_was_killed(answers):
    answers.record_node_kill('n2', 2.0)
    _run(answers, 'e1', 2.9)


def _cut_off_before(answers):
    answers.record_node_end('n1', 0.1, 0.9)
    _run(answers, 'e1', 2.9)


@pytest.mark.parametrize(
    'observe',
    [
        _node_closed_it,
        _runner_had_sent_all,
        _runner_went_on,
        _other_attempt_broke,
        _fault_came_earlier,
        _fault_came_later,
        _fault_of_another_runner,
        _sigterm_before_the_end,
        _another_node_was_killed,
        _cut_off_before,
    ],
)
def test_answer_cut_while_its_runner_goes_on_is_a_breach(observe):
    """Guards against a soak that takes cut answers for allowed (LOST)."""
    checker = ledger.PromiseChecker()
    observe(checker.cut_answers)
    _cut(checker.cut_answers)
    assert [found.promise for found in checker.finish()] == ['goes on']


def _deadline(answers):
    _run(answers, 'e1', 5.0)
    return 5.0


def _node_killed(answers):
    answers.record_node_kill('n1', 2.8)
    _run(answers, 'e1', 2.9)


def _node_ended(answers):
    answers.record_node_end('n1', 2.8)
    _run(answers, 'e1', 2.9)


def _node_cut_off(answers):
    answers.record_node_end('n1', 0.5, 2.0)
    _run(answers, 'e1', 2.9)


def _relaying_node_killed(answers):
    answers.record_node_kill('n2', 2.8)
    _run(answers, 'e1', 2.9)


def _runner_broke(answers):
    answers.record_disturbance('e1', 2.8, 4.0)
    _run(answers, 'e1', 2.9)


def _runner_of_a_takeover_broke(answers):
    _run(answers, 'e1', 2.0)
    answers.record_disturbance('e2', 2.8, 4.0)
    _run(answers, 'e2', 2.9, began_at=1.5)


@pytest.mark.parametrize(
    'observe, relayed',
    [
        (lambda answers: None, ()),
        (_deadline, ()),
        (_node_killed, ()),
        (_node_ended, ()),
        (_node_cut_off, ()),
        (_relaying_node_killed, ('t1',)),
        (_runner_broke, ()),
        (_runner_of_a_takeover_broke, ()),
    ],
)
def test_answer_whose_run_was_ended_may_be_cut(observe, relayed):
    """A cut that a fault, the deadline or the node's end explains."""
    checker = ledger.PromiseChecker()
    _cut(checker.cut_answers, cut_at=observe(checker.cut_answers) or 3.0)
    log = ledger.NodeLog({'t1': ['aborted']}, set(relayed))
    assert checker.finish({'n1': log}) == []


@pytest.mark.parametrize(
    'lines, killed, promises',
    [
        (['aborted'], '', []),
        (['cancelled'], '', []),
        (['served'], '', ['logged end']),
        ([], '', ['logged end']),
        (['aborted', 'aborted'], '', ['logged end']),
        (['aborted', 'served'], '', ['logged end']),
        ([], 'n1', []),
        (['served'], 'n1', []),
        (['served'], 'n2', ['logged end']),
    ],
)
def test_cut_answer_has_one_line_that_says_so(lines, killed, promises):
    """Guards against logs that hide answers that were cut off."""
    checker = ledger.PromiseChecker()
    _cut(checker.cut_answers)
    if killed:
        checker.cut_answers.record_node_kill(killed, 4.0)
    log = ledger.read_log(
        [
            f'x event=request_ended request=t1 end={end} at_ms=1'
            for end in lines
        ]
        + ['x event=request_ended request=t2 end=served at_ms=1']
    )
    found = checker.finish({'n1': log})
    assert [breach.promise for breach in found] == promises


def test_log_names_relayed_requests_and_ends():
    """Lines on other events and lines without a request are passed over."""
    log = ledger.read_log(
        [
            'x event=request_relayed request=t1 node=n2 max_runs=1',
            'x event=request_ended request=t1 route=r end=aborted at_ms=1',
            'x event=attempt_failed request=t1 end=broken',
            'x event=request_ended',
        ]
    )
    assert log == ledger.NodeLog({'t1': ['aborted']}, {'t1'})


def _sent_to(checker, count, at, runner='e1'):
    for number in range(count):
        checker.arrivals.senders[f't{number}'] = 'n1'
        checker.arrivals.record_arrival(runner, at, f't{number}')


def _find(checker, is_relayed):
    relayed = {'t0'} if is_relayed else set()
    logs = {'n1': ledger.NodeLog({}, relayed), 'n2': ledger.NodeLog()}
    return [found.promise for found in checker.finish(logs)]


@pytest.mark.parametrize(
    'at, outages, is_relayed, is_breach',
    [
        (9.9, (), False, False),  # before it
        (14.9, (), False, False),
        (15.1, (), False, True),
        (15.1, (), True, True),
        (19.9, (), False, True),
        (20.0, (), False, False),  # removed
        (15.5, (('n1', 9.0, 11.0),), False, False),
        (15.5, (('n1', 9.0, 10.4),), False, True),
        (15.5, (('', 11.0, 12.0),), False, False),
        (15.5, (('n1', 11.0, 11.3), ('', 11.1, 11.4)), False, True),
        (15.5, (('n1', 11.0, 11.3), ('', 11.3, 11.6)), False, False),
        (15.5, (('n1', 15.2, 17.0),), False, True),  # it knew before
        (15.5, (('n2', 9.0, 12.0),), False, True),
        (15.5, (('n2', 9.0, 12.0),), True, False),
        (15.5, (('e1', 14.0, 15.4),), False, False),  # held by the link
        (15.5, (('e1', 12.0, 14.0),), False, True),
        (15.5, (('e2', 14.0, 15.4),), False, True),
    ],
)
def test_late_request_to_an_evacuated_runner_is_a_breach(
    at, outages, is_relayed, is_breach
):
    """Guards against requests from nodes that had to know the row."""
    checker = ledger.PromiseChecker()
    checker.arrivals.evacuations.append(ledger.Window('e1', 10.0, 20.0))
    checker.arrivals.outages += [ledger.Window(*one) for one in outages]
    _sent_to(checker, 1, at)
    _sent_to(checker, 1, 15.1, 'e2')
    assert _find(checker, is_relayed) == ['evacuation'] * is_breach


@pytest.mark.parametrize(
    'counts, outages, pauses, is_relayed, unknown_s, is_breach',
    [
        ({10.1: 4, 11.0: 4}, (), (), False, 0.0, False),
        ({10.1: 4, 11.0: 5}, (), (), False, 0.0, True),
        ({10.1: 4, 11.2: 5}, (), (), False, 0.0, False),  # two windows
        ({9.9: 4, 10.1: 5}, (), (), False, 0.0, False),  # not cold before
        ({12.9: 4, 13.0: 5}, (), (), False, 0.0, False),  # warm
        ({10.9: 9}, (), (), False, 1.0, False),  # not known yet
        ({11.1: 9}, (), (), False, 1.0, True),
        ({11.1: 9}, (('n1', 10.5, 10.8),), (), False, 1.0, False),
        ({11.1: 9}, (('', 10.5, 10.8),), (), False, 1.0, False),
        ({11.1: 9}, (('n2', 10.5, 10.8),), (), False, 1.0, True),
        ({11.1: 9}, (('n2', 10.5, 10.8),), (), True, 1.0, False),
        ({12.1: 9}, (('n1', 11.5, 12.5),), (), False, 1.0, True),
        ({10.5: 9}, (), (('n1', 9.0, 9.4),), False, 0.0, True),
        ({10.5: 9}, (), (('n1', 9.0, 9.6),), False, 0.0, False),
        ({10.5: 9}, (), (('n2', 9.0, 9.6),), False, 0.0, True),
        ({10.5: 9}, (), (('n2', 9.0, 9.6),), True, 0.0, False),
        ({10.5: 9}, (('e1', 9.0, 10.4),), (), False, 0.0, False),
        ({10.5: 9}, (('e2', 9.0, 10.4),), (), False, 0.0, True),
    ],
)
def test_too_many_requests_to_a_cold_runner_are_a_breach(
    counts, outages, pauses, is_relayed, unknown_s, is_breach
):
    """Guards against a sum over nodes above that of the platform's rule."""
    checker = ledger.PromiseChecker()
    checker.arrivals.colds.append((ledger.Window('e1', 10.0, 13.0), unknown_s))
    checker.arrivals.outages += [ledger.Window(*one) for one in outages]
    checker.arrivals.pauses += [ledger.Window(*one) for one in pauses]
    for at, count in counts.items():
        _sent_to(checker, count, at)
        _sent_to(checker, 9, at, 'e2')
    found = _find(checker, is_relayed)
    assert found == ['cold runners'] * is_breach
