"""Tests that the checker of the soak reports each broken promise."""

import dataclasses

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
        checker.record_arrival('e1', 14.0 + number / 10)
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
        checker.record_arrival('e1', 12.7 + number / 10)
    checker.check_rate('e1', 3.0, 10.0, 20.0)
    for number in range(24):  # beside the start of a node
        checker.record_arrival('e2', 14.0 + number / 10)
    checker.record_node_start(12.0)
    checker.check_rate('e2', 3.0, 10.0, 20.0)
    checker.check_join('e1', False)
    checker.check_stop('n1', 4.9, 5.0)
    checker.check_recovery('safe', True)
    assert checker.finish() == []
