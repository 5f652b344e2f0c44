"""Tests of the decision which part of prompts crashes engines."""

import pytest

from plantainway import clock as clocks
from plantainway import quarantine
from plantainway.quarantine import _tally

FOUND_MAX = 9  # more than any row expects


class Setup:
    """A tally whose clock, engines and reports a test sets."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.gone = set()
        self.tally = quarantine.CrashTally(
            self.clock, lambda *key: key in self.gone
        )
        self.parts = quarantine.Quarantine(self.clock)
        self._count = 0

    def crash(self, *prompts, is_gone=True, after_s=0.0):
        """Reports that an engine crashed under some prompts.

        Args:
            prompts: Shared parts of each request that was cut off, as words.
            is_gone: Whether the engine is gone.
            after_s: Seconds since the crash before.
        """
        self.clock.advance(after_s)
        self._count += 1
        key = (f'e{self._count}', 1)
        if is_gone:
            self.gone.add(key)
        self.tally.record_reports(
            [
                quarantine.CrashReport(*key, prompt.split(), 0)
                for prompt in prompts
            ]
        )

    def found_parts(self):
        """Returns all parts that the tally finds, in order."""
        self.clock.advance(_tally.SURVIVAL_ANSWER_S)
        found = []
        for _ in range(FOUND_MAX):
            part = self.tally.find_part(self.parts)
            if part is None:
                break
            self.parts.add(part)
            found.append(part)
        return found


@pytest.fixture
def setup():
    """A tally without evidence."""
    return Setup()


@pytest.mark.parametrize(
    'crashes, expected',
    [
        ([['a p'], ['a p']], []),
        ([['a p'], ['a p'], ['a p']], ['p']),
        ([['a p', 'b'], ['a p', 'c'], ['a p', 'b x']], ['p']),
        # Two parts, each with crashes of its own.
        ([['a p'], ['a q'], ['a p'], ['a q'], ['a p'], ['a q']], ['p', 'q']),
        # What a found part explains says nothing against others.
        ([['a p q'], ['a p q'], ['a p'], ['a p q']], ['p']),
        # Without a part in common there is nothing to refuse.
        ([['a x'], ['b y'], ['c z'], ['d u']], []),
    ],
)
def test_part_in_common_is_found(setup, crashes, expected):
    """It takes three crashes; sound parts beside it are left alone."""
    for prompts in crashes:
        setup.crash(*prompts, after_s=0.3)
    setup.tally.record_survivals({'a': 2000, 'b': 100, 'c': 100})
    assert setup.found_parts() == expected


@pytest.mark.parametrize(
    'crashes, gap_s, survived_ms, expected',
    [
        (3, 0.0, None, ['p']),
        (3, 0.0, 9000, []),
        (3, 0.0, 11000, ['p']),
        (3, 0.3, 100, []),
        # Engines that are lost together cut off many prompts at once.
        (9, 0.0, 1000, []),
        (9, 0.1, 9000, []),
        # A part that used to be sound.
        (5, 0.3, 3000, ['p']),
        (4, 0.4, 3000, []),
    ],
)
def test_part_that_survived_takes_more_crashes(
    setup, crashes, gap_s, survived_ms, expected
):
    """Popular parts stand in requests on each engine that is lost."""
    for _ in range(crashes):
        setup.crash('p', after_s=gap_s)
    if survived_ms is not None:
        setup.tally.record_survivals({'p': survived_ms})
    assert setup.found_parts() == expected


@pytest.mark.parametrize('later, expected', [(4, []), (5, ['p'])])
def test_crashes_before_a_survival_do_not_count(setup, later, expected):
    """Only those in a row show that a part crashes engines."""
    for _ in range(4):
        setup.crash('p', after_s=0.4)
    setup.clock.advance(0.1)
    setup.tally.record_survivals({'p': 0})
    for _ in range(later):
        setup.crash('p', after_s=0.4)
    assert setup.found_parts() == expected


@pytest.mark.parametrize(
    'crashes, expected',
    [
        # Sent again, it is refused, but not what other requests share.
        ([['a p request:1']] * 3, ['request:1']),
        ([['request:1']] * 3, ['request:1']),
        ([['request:1']] * 2, []),
        # Others that are cut off beside it are not the same each time.
        (
            [[f'request:{n}', 'request:9'] for n in range(3)],
            ['request:9'],
        ),
        # What it has explained does not speak against its neighbours.
        ([['request:1', 'request:2']] * 3, 1),
        # Different requests have a part in common.
        ([[f'a p request:{n}'] for n in range(3)], ['p']),
        ([['a p request:1'], ['a p request:1'], ['a p request:2']], ['p']),
        # The part is known by one more crash after its request is refused.
        ([['p request:1']] * 3 + [['p request:2']], ['p']),
    ],
)
def test_request_that_crashes_upstreams_is_told_from_its_parts(
    setup, crashes, expected
):
    """Only different requests speak against a part that they share."""
    for prompts in crashes:
        setup.crash(*prompts, after_s=0.3)
    setup.tally.record_survivals({'a': 100})
    found = setup.found_parts()
    assert expected in (found, len(found))


def test_part_is_found_after_a_request_with_it_is_refused(setup):
    """A quarantined request explains nothing for the parts it shares."""
    for _ in range(3):
        setup.crash('p request:1', after_s=0.3)
    assert setup.found_parts() == ['request:1']
    setup.crash('p request:2', after_s=0.3)
    assert setup.found_parts() == ['p']


def test_answer_that_breaks_off_is_no_crash(setup):
    """An engine that is still there has only broken off its answer."""
    for _ in range(9):
        setup.crash('a p', is_gone=False, after_s=0.2)
    assert setup.found_parts() == []
    setup.clock.advance(_tally.CONFIRM_S)
    setup.gone.update((f'e{number}', 1) for number in range(1, 10))
    assert setup.found_parts() == []
    assert setup.tally.watched_parts() == []


def test_nodes_are_asked_before_a_part_is_found(setup):
    """Its survivals on other nodes arrive with their next heartbeats."""
    for _ in range(3):
        setup.crash('a p')
    assert setup.tally.find_part(setup.parts) is None
    assert setup.tally.watched_parts() == ['a', 'p']
    setup.tally.record_survivals({'a': 100, 'p': 100})
    assert setup.found_parts() == []


def test_one_crash_suffices_on_probation(setup):
    """A part that was quarantined before is not given three crashes."""
    setup.parts.merge({'p': -1000})
    setup.crash('a p')
    assert setup.found_parts() == ['p']


def test_evidence_is_bounded(setup):
    """The oldest crashes go first, and all go after ``CRASH_TTL_S``."""
    for number in range(_tally.CRASHES_MAX + 5):
        setup.crash(f'p{number}', after_s=0.01)
    assert len(setup.tally._crashes) == _tally.CRASHES_MAX
    assert 'p0' not in setup.tally._suspects
    assert len(setup.tally.watched_parts()) <= _tally.PARTS_MAX
    setup.clock.advance(_tally.CRASH_TTL_S)
    assert setup.found_parts() == []
    assert not setup.tally._crashes and not setup.tally._suspects
