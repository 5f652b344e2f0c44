"""Limits that hold over all nodes together."""

import random

import pytest

from plantainway import clock
from plantainway import objects
from plantainway import requests
from plantainway.requests import _limits
from plantainway.requests import _sharing

LIMIT = 400
STEP_S = 0.01
SHEET_EVERY = 25  # steps


def account(concurrent=LIMIT, per_second=float(LIMIT)):
    """Returns the declared accounts."""
    return {
        'shops': objects.ClientAccount.model_validate(
            {
                'kind': 'client_account',
                'name': 'shops',
                'keys': [{'salt': '0' * 32, 'digest': '0' * 64}],
                'priority': 'p',
                'limits': {
                    'concurrent': concurrent,
                    'requests_per_second': per_second,
                    'tokens_per_second': 0.0,
                },
            }
        )
    }


class Fleet:
    """Nodes that share limits and exchange sheets with some delay."""

    def __init__(self, count=4, seed=1, kind=_limits.REQUESTS):
        self.clock = clock.ManualClock()
        self.rng = random.Random(seed)
        self.kind = kind
        self.names = [f'n{number}' for number in range(count)]
        self.books = {}
        for name in self.names:
            book = _sharing.AccountLimits(name, self.clock, True)
            book.set_accounts(account())
            book.set_nodes(self.names)
            self.books[name] = book
        self.mail = []
        self.cut = set()
        self.admitted = []
        self.running = []
        self.counts = dict.fromkeys(self.names, 0)

    def step(self, offered, hold_s=0.0):
        """Moves on by a step in which nodes are offered requests."""
        self.clock.advance(STEP_S)
        now = self.clock.now()
        self.number = getattr(self, 'number', 0) + 1
        for at, to, sheet in [m for m in self.mail if m[0] <= now]:
            self.mail.remove((at, to, sheet))
            self.books[to].take_sheet(sheet)
        for ends_at, name in [r for r in self.running if r[0] <= now]:
            self.running.remove((ends_at, name))
            self.books[name].share('shops', self.kind).leave()
        for offset, name in enumerate(self.names):
            if (self.number + offset * 7) % SHEET_EVERY == 0:
                self._exchange(name)
        for name, per_second in offered.items():
            share = self.books[name].share('shops', self.kind)
            for _request in range(self._arrivals(per_second)):
                if share.enter():
                    self.admitted.append((now, name))
                    self.counts[name] += 1
                    if hold_s:
                        self.running.append((now + hold_s, name))

    def _arrivals(self, per_second):
        expected = per_second * STEP_S
        return int(expected) + (self.rng.random() < expected % 1)

    def _exchange(self, name):
        sheet = self.books[name].make_sheet(1)
        if sheet is None or name in self.cut:
            return
        for other in self.names:
            if other != name and other not in self.cut:
                delay_s = self.rng.uniform(0.0, 0.05)
                self.mail.append((self.clock.now() + delay_s, other, sheet))

    def most_in_a_second(self):
        """Returns the most admissions in any second."""
        times = [at for at, _name in self.admitted]
        most = start = 0
        for end, at in enumerate(times):
            while times[start] <= at - 1.0:
                start += 1
            most = max(most, end - start + 1)
        return most

    def run(self, offered, seconds, hold_s=0.0):
        """Runs for some time and returns the admissions by node."""
        before = dict(self.counts)
        for _step in range(int(seconds / STEP_S)):
            self.step(offered, hold_s)
        return {name: self.counts[name] - before[name] for name in before}


def all_alike(fleet):
    """Every node is offered twice its right."""
    fleet.run(dict.fromkeys(fleet.names, 2 * LIMIT / 4), 10.0)


def moves(fleet):
    """The whole demand jumps from node to node."""
    for name in fleet.names + fleet.names:
        fleet.run({name: 1.5 * LIMIT}, 4.0)


def bursts(fleet):
    """Demand comes in random bursts."""
    for _burst in range(30):
        name = fleet.rng.choice(fleet.names)
        fleet.run({name: fleet.rng.uniform(0, 3 * LIMIT)}, 0.5)


def cut_off(fleet):
    """A node that has borrowed is cut off, while all are flooded."""
    fleet.run({'n0': 2 * LIMIT}, 4.0)
    fleet.cut.add('n0')
    fleet.run(dict.fromkeys(fleet.names, 2 * LIMIT), 6.0)
    fleet.cut.clear()
    fleet.run(dict.fromkeys(fleet.names, 2 * LIMIT), 4.0)


def lender_cut_off(fleet):
    """A node that lends is cut off and flooded itself."""
    fleet.run({'n0': 2 * LIMIT}, 4.0)
    fleet.cut.add('n1')
    fleet.run({'n0': 2 * LIMIT, 'n1': 2 * LIMIT}, 6.0)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'course', [all_alike, moves, bursts, cut_off, lender_cut_off]
)
def test_rate_is_never_passed(course, seed):
    """In no second do all nodes together pass the limit by 2 in 100."""
    fleet = Fleet(seed=seed)
    course(fleet)
    assert fleet.most_in_a_second() <= 1.02 * LIMIT


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('course', [moves, bursts, cut_off])
def test_concurrency_is_never_passed(course, seed):
    """At no time do all nodes together run more than the limit."""
    fleet = Fleet(seed=seed, kind=_limits.CONCURRENT)
    most = 0
    step = fleet.step

    def watched_step(offered, hold_s=0.0):
        nonlocal most
        step(offered, hold_s=fleet.rng.uniform(0.2, 4.0))
        most = max(most, len(fleet.running))

    fleet.step = watched_step
    course(fleet)
    assert 0.5 * LIMIT < most <= LIMIT


def test_units_in_use_stay_lent():
    """Long requests keep their borrowed units after the loans ran out."""
    fleet = Fleet(kind=_limits.CONCURRENT)
    fleet.run({'n0': LIMIT}, 5.0, hold_s=30.0)
    assert len(fleet.running) > 0.9 * LIMIT
    for _second in range(8):
        fleet.run({'n1': LIMIT}, 1.0, hold_s=5.0)
        assert len(fleet.running) <= LIMIT


def test_moved_demand_is_met():
    """Demand that moves to another node gets 0.95 of it within 5 s."""
    fleet = Fleet()
    demand = 0.9 * LIMIT
    fleet.run({'n0': demand}, 10.0)
    fleet.run({'n2': demand}, 5.0)
    found = fleet.run({'n2': demand}, 5.0)
    assert found['n2'] >= 0.95 * 5.0 * demand


def test_cut_off_node_keeps_its_right():
    """A node that hears nobody has its own part."""
    fleet = Fleet()
    fleet.cut.add('n3')
    fleet.run({'n3': LIMIT}, 5.0)
    found = fleet.run({'n3': LIMIT}, 5.0)
    assert found['n3'] >= 0.95 * 5.0 * LIMIT / 4


@pytest.mark.parametrize(
    'per_second, nodes, units, window_s',
    [
        (400.0, 4, 400, 1.0),
        (2.0, 4, 16, 8.0),
        (0.5, 20, 80, 160.0),
        (0.0, 4, 0, 1.0),
    ],
)
def test_small_rates_use_longer_windows(per_second, nodes, units, window_s):
    """Every node gets a few whole units."""
    found = requests.rate_limit(per_second, nodes)
    assert (found.units, found.window_s) == (units, window_s)


@pytest.mark.parametrize('units', [0, 1, 7, 400])
@pytest.mark.parametrize('count', [1, 3, 20])
def test_rights_sum_to_the_limit(units, count):
    """No unit is lost or given twice."""
    names = [f'n{number}' for number in range(count)]
    rights = [_limits.right_of(units, name, names) for name in names]
    assert sum(rights) == units
    assert _limits.right_of(units, 'stranger', names) == 0


def test_joining_node_borrows_until_it_is_counted():
    """A new node has no right until the others divide by it too."""
    manual = clock.ManualClock()
    book = _sharing.AccountLimits('new', manual)
    book.set_accounts(account())
    book.set_nodes(['new', 'old'])
    share = book.share('shops', _limits.REQUESTS)
    assert book.joining and share.capacity() == 0
    manual.advance(_sharing.JOIN_WAIT_S)
    book.make_sheet(1)
    assert not book.joining and share.capacity() == LIMIT / 2
