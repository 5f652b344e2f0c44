"""Ramps of many nodes that share first events through a leader."""

import heapq
import itertools
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from plantainway import clock as clocks
from plantainway.cluster import _ramps
from plantainway import traffic
from plantainway.traffic import _warmup
from tests.traffic import test_warmup

FULL, FAST_S, SLOW_S = test_warmup.FULL, test_warmup.FAST_S, test_warmup.SLOW_S
PER_S = 17.0  # first events of the head, of all nodes
STEP_S = 0.02
SEND_INTERVAL_S = 0.4
DELAYS_S = (0.02, 0.3)  # of a message
NEVER = float('inf')


class Site:
    """Nodes that ramp up one head; the first of them leads.

    Messages arrive in due order; those between ``lost_at`` and ``found_at``
    are lost, and the leader after that has no sums.
    """

    def __init__(self, count, seed, lost_at=NEVER, found_at=NEVER):
        self.clock = clocks.ManualClock(0.0)
        self.rng = random.Random(seed)
        self.sums = _ramps.RampSums()
        self.lost_at, self.found_at = lost_at, found_at
        self.slow_from = NEVER
        self.is_sharing = True
        self._numbers = itertools.count()
        self._due = []
        self.nodes = [traffic.WarmupPacer(self.clock) for _ in range(count)]
        self.head = test_warmup._head()
        for number, node in enumerate(self.nodes):
            test_warmup._configure(node)
            node.record_first_event(test_warmup._head('other'), FAST_S)
            node.handle_opened(self.head)
            for send in (self._send_beat, self._send_update):
                if number:
                    wait_s = self.rng.uniform(0, SEND_INTERVAL_S)
                    self._at(wait_s, send, number)
        self._at(0.1, self._answer)

    def _at(self, delay_s, act, *args):
        due_at = self.clock.now() + delay_s
        heapq.heappush(self._due, (due_at, next(self._numbers), act, args))

    def _send(self, receive, *args):
        if self.is_sharing and not (
            self.lost_at <= self.clock.now() < self.found_at
        ):
            self._at(self.rng.uniform(*DELAYS_S), receive, *args)

    def _send_beat(self, number):
        results = self.nodes[number].results()
        self._send(self._receive_beat, number, results)
        self._at(SEND_INTERVAL_S, self._send_beat, number)

    def _receive_beat(self, number, results):
        self.sums.add(number, results)
        self._lead()

    def _lead(self):
        self.sums.add(0, self.nodes[0].results())
        found = self.sums.retain([test_warmup.KEY])
        self.nodes[0].merge(found)
        return found

    def _send_update(self, number):
        self._send(self.nodes[number].merge, self._lead())
        self._at(SEND_INTERVAL_S, self._send_update, number)

    def _answer(self):
        latency_s = FAST_S if self.clock.now() < self.slow_from else SLOW_S
        self.rng.choice(self.nodes).record_first_event(self.head, latency_s)
        self._at(self.rng.expovariate(PER_S), self._answer)

    def step(self) -> list[int]:
        """Advances the time and returns the limit of each node."""
        self.clock.advance(STEP_S)
        if self.lost_at <= self.clock.now() < self.found_at:
            self.sums = _ramps.RampSums()
        while self._due[0][0] <= self.clock.now():
            _due_at, _number, act, args = heapq.heappop(self._due)
            act(*args)
        return [node.max_load(self.head, FULL) for node in self.nodes]

    def time_to(self, part: float) -> float:
        """Returns when the mean limit reaches a part of the full load."""
        while sum(self.step()) < part * FULL * len(self.nodes):
            pass
        return self.clock.now()


@pytest.mark.parametrize('seed', range(1, 6))
@pytest.mark.parametrize('count', [1, 12, 300])
def test_fast_head_gets_the_full_load_at_any_number_of_nodes(count, seed):
    """Guards against heads left idle as each node sees few answers."""
    assert Site(count, seed).time_to(1.0) < 2.5


@pytest.mark.parametrize('seed', range(1, 6))
@pytest.mark.parametrize('count', [1, 12, 300])
def test_slow_head_holds_back_all_nodes(count, seed):
    """Guards against nodes that go on as they saw no slow answer."""
    site = Site(count, seed)
    site.slow_from = site.time_to(0.5)
    limits = [site.step() for _ in range(int(3.0 / STEP_S))]
    assert any(sum(row) <= FULL / 4 * count for row in limits)
    assert max(limits[-1]) < FULL / 2


@pytest.mark.parametrize(
    'found_at, full_min, full_max',
    [(2.7, 2.7, 4.0), (NEVER, 5.0, 6.1)],
)
@pytest.mark.parametrize('seed', range(1, 6))
def test_leader_lost_halfway(found_at, full_min, full_max, seed):
    """Time goes on alone; a new leader's sums add only what is new."""
    site = Site(300, seed, lost_at=0.7, found_at=found_at)
    assert full_min < site.time_to(1.0) < full_max


_STEPS = st.one_of(
    st.tuples(st.just('event'), st.integers(0, 2)),
    st.tuples(st.just('beat'), st.integers(0, 2)),
    st.tuples(st.just('late beat'), st.integers(0, 2)),
    st.tuples(st.just('update'), st.integers(0, 2)),
    st.tuples(st.just('late update'), st.integers(0, 2)),
    st.tuples(st.just('new leader'), st.just(0)),
)


@hypothesis.given(st.lists(_STEPS, max_size=60))
def test_no_first_event_counts_twice(steps):
    """Whatever is late or lost, and whoever leads.

    Without a change of the leader all count once, when all is delivered.
    """
    counts = [_warmup._Count() for _ in range(3)]
    credited = [0, 0, 0]
    sums, previous, is_led_on = _ramps.RampSums(), {}, True
    beats = [[0], [0], [0]]
    every = [('beat', at) for at in range(3)]
    every += [('update', at) for at in range(3)]
    for kind, at in steps + every:
        if kind == 'event':
            counts[at].add_own()
        elif kind == 'beat':
            previous = sums.retain([test_warmup.KEY])
            sums.add(str(at), {test_warmup.KEY: (counts[at].own, 0)})
            beats[at].append(counts[at].own)
        elif kind == 'late beat':
            sums.add(str(at), {test_warmup.KEY: (beats[at][-2:][0], 0)})
        elif kind == 'new leader':
            sums, is_led_on = _ramps.RampSums(), False
        else:
            late = kind == 'late update'
            got = previous if late else sums.retain([test_warmup.KEY])
            credited[at] += counts[at].add_sum(
                got.get(test_warmup.KEY, (0, 0))[0]
            )
    total = sum(count.own for count in counts)
    for count, others in zip(counts, credited):
        assert others <= total - count.own
        assert not is_led_on or others == total - count.own


@pytest.mark.parametrize(
    'reports, expected',
    [
        ([('a', (2, 1)), ('b', (3, 0))], (5, 1)),
        ([('a', (2, 1)), ('a', (2, 1))], (2, 1)),
        ([('a', (2, 1)), ('a', None)], (2, 1)),  # its ramp has ended
        ([('a', (2, 1)), ('a', None), ('a', (3, 0))], (5, 1)),
        ([('a', (2, 1)), ('a', (1, 0))], (2, 1)),  # overtaken
        ([('a', (2, 1)), ('a', (1, 0)), ('a', (2, 1))], (2, 1)),
    ],
)
def test_sums_of_the_leader(reports, expected):
    """A sum that fell would hide results of nodes whose ramps go on."""
    sums = _ramps.RampSums()
    for node, counts in reports:
        sums.add(node, {} if counts is None else {'h/1': counts})
    assert sums.retain({'h/1'}) == {'h/1': expected}
    assert sums.retain(set()) == {}
    sums.add('a', {'h/1': (1, 0)})
    assert sums.retain({'h/1'}) == {'h/1': (1, 0)}


@pytest.mark.parametrize(
    'begin, expected',
    [
        (lambda pacer, _head: None, 4 + 6),
        (lambda pacer, head: pacer.handle_ejected(head), 4 + 1),
        (lambda pacer, head: pacer.handle_paused(head, 1.0), 4 + 1),
    ],
)
def test_ramp_leaves_out_what_was_before_it(begin, expected):
    """Results from before a failure say nothing about the time after it."""
    pacer = traffic.WarmupPacer(clocks.ManualClock())
    test_warmup._configure(pacer)
    pacer.record_first_event(test_warmup._head('other'), FAST_S)
    head = test_warmup._head()
    pacer.handle_opened(head)
    assert pacer.results() == {}
    pacer.max_load(head, FULL)
    for _ in range(2):
        pacer.record_first_event(head, FAST_S)
    pacer.merge({test_warmup.KEY: (5, 0), 'unknown/1': (9, 9)})
    begin(pacer, head)
    pacer.max_load(head, FULL)
    pacer.merge({test_warmup.KEY: (6, 0)})
    limit = pacer.max_load(head, FULL)
    assert limit == expected
    pacer.merge({})  # a leader of an earlier build
    assert pacer.max_load(head, FULL) == limit


def test_uncompared_answers_are_not_shared():
    """A node that knows no other head can't tell fast from slow."""
    pacer = traffic.WarmupPacer(clocks.ManualClock())
    test_warmup._configure(pacer)
    pacer.handle_opened(test_warmup._head())
    pacer.max_load(test_warmup._head(), FULL)
    pacer.record_first_event(test_warmup._head(), SLOW_S)
    assert pacer.results() == {test_warmup.KEY: (0, 0)}
