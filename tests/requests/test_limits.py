"""Tests of limits that are shared by all nodes."""

import random

import pytest

from plantainway import clock
from plantainway import objects
from plantainway import ratelimits
from plantainway import requests
from plantainway.requests import _limits
from plantainway.requests import _sharing

LIMIT = 400
STEP_S = 0.01
SHEET_PERIOD_STEPS = 25


def declared_accounts(concurrent=LIMIT, per_second=float(LIMIT)):
    """Returns one declared client account, by name."""
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
    """Simulated nodes that exchange limit sheets with a network delay.

    Nodes in ``partitioned`` neither send nor receive sheets.
    """

    def __init__(self, count=4, seed=1, kind=_limits.REQUESTS):
        self.clock = clock.ManualClock()
        self.rng = random.Random(seed)
        self.kind = kind
        self.names = [f'n{number}' for number in range(count)]
        self.limits = {}
        for name in self.names:
            limits = _sharing.AccountLimits(name, self.clock, True)
            limits.set_accounts(declared_accounts())
            limits.set_nodes(self.names)
            self.limits[name] = limits
        self.in_flight = []
        self.partitioned = set()
        self.admitted = []
        self.running = []
        self.admitted_by_node = dict.fromkeys(self.names, 0)

    def step(self, offered, hold_s=0.0):
        """Advances the clock by one step, delivers sheets, offers requests.

        Args:
            offered: Requests a second by node.
            hold_s: How long an admitted request runs; 0 if it is not
                tracked.
        """
        self.clock.advance(STEP_S)
        now = self.clock.now()
        self.number = getattr(self, 'number', 0) + 1
        for at, to, sheet in [m for m in self.in_flight if m[0] <= now]:
            self.in_flight.remove((at, to, sheet))
            self.limits[to].apply_sheet(sheet)
        for ends_at, name in [r for r in self.running if r[0] <= now]:
            self.running.remove((ends_at, name))
            self.limits[name].get_share('shops', self.kind).release()
        for offset, name in enumerate(self.names):
            if (self.number + offset * 7) % SHEET_PERIOD_STEPS == 0:
                self._exchange(name)
        for name, per_second in offered.items():
            share = self.limits[name].get_share('shops', self.kind)
            for _request in range(self._arrivals(per_second)):
                if share.try_acquire():
                    self.admitted.append((now, name))
                    self.admitted_by_node[name] += 1
                    if hold_s:
                        self.running.append((now + hold_s, name))

    def _arrivals(self, per_second):
        expected = per_second * STEP_S
        return int(expected) + (self.rng.random() < expected % 1)

    def _exchange(self, name):
        sheet = self.limits[name].make_sheet(1)
        if sheet is None or name in self.partitioned:
            return
        for other in self.names:
            if other != name and other not in self.partitioned:
                delay_s = self.rng.uniform(0.0, 0.05)
                self.in_flight.append(
                    (self.clock.now() + delay_s, other, sheet)
                )

    def max_admitted_per_second(self):
        """Returns the largest number of admissions in any second."""
        times = [at for at, _name in self.admitted]
        peak = start = 0
        for end, at in enumerate(times):
            while times[start] <= at - 1.0:
                start += 1
            peak = max(peak, end - start + 1)
        return peak

    def run(self, offered, seconds, hold_s=0.0):
        """Simulates some seconds and returns the admissions by node."""
        before = dict(self.admitted_by_node)
        for _step in range(int(seconds / STEP_S)):
            self.step(offered, hold_s)
        return {
            name: self.admitted_by_node[name] - before[name] for name in before
        }


def even_demand(fleet):
    """Every node is offered twice its quota."""
    fleet.run(dict.fromkeys(fleet.names, 2 * LIMIT / 4), 10.0)


def moving_demand(fleet):
    """All demand arrives at one node, then at the next."""
    for name in fleet.names + fleet.names:
        fleet.run({name: 1.5 * LIMIT}, 4.0)


def bursts(fleet):
    """Bursts of random size arrive at random nodes."""
    for _burst in range(30):
        name = fleet.rng.choice(fleet.names)
        fleet.run({name: fleet.rng.uniform(0, 3 * LIMIT)}, 0.5)


def borrower_isolated(fleet):
    """A node with loans is partitioned while all are overloaded."""
    fleet.run({'n0': 2 * LIMIT}, 4.0)
    fleet.partitioned.add('n0')
    fleet.run(dict.fromkeys(fleet.names, 2 * LIMIT), 6.0)
    fleet.partitioned.clear()
    fleet.run(dict.fromkeys(fleet.names, 2 * LIMIT), 4.0)


def lender_isolated(fleet):
    """A node that lent units is partitioned and then overloaded."""
    fleet.run({'n0': 2 * LIMIT}, 4.0)
    fleet.partitioned.add('n1')
    fleet.run({'n0': 2 * LIMIT, 'n1': 2 * LIMIT}, 6.0)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'scenario',
    [even_demand, moving_demand, bursts, borrower_isolated, lender_isolated],
)
def test_rate_limit_is_not_exceeded(scenario, seed):
    """In any second, all nodes together admit at most 1.02 of the limit."""
    fleet = Fleet(seed=seed)
    scenario(fleet)
    assert fleet.max_admitted_per_second() <= 1.02 * LIMIT


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'scenario', [moving_demand, bursts, borrower_isolated]
)
def test_concurrency_limit_is_not_exceeded(scenario, seed):
    """All nodes together never run more requests than the limit."""
    fleet = Fleet(seed=seed, kind=_limits.CONCURRENT)
    peak = 0
    step = fleet.step

    def watched_step(offered, hold_s=0.0):
        nonlocal peak
        step(offered, hold_s=fleet.rng.uniform(0.2, 4.0))
        peak = max(peak, len(fleet.running))

    fleet.step = watched_step
    scenario(fleet)
    assert 0.5 * LIMIT < peak <= LIMIT


def test_units_in_use_stay_lent_after_the_loan_expires():
    """Units of requests that outlast their loan are not used twice.

    The lender must not use them again before the borrower has reported
    them as free.
    """
    fleet = Fleet(kind=_limits.CONCURRENT)
    fleet.run({'n0': LIMIT}, 5.0, hold_s=30.0)
    assert len(fleet.running) > 0.9 * LIMIT
    for _second in range(8):
        fleet.run({'n1': LIMIT}, 1.0, hold_s=5.0)
        assert len(fleet.running) <= LIMIT


def test_units_follow_the_demand():
    """5 s after demand moved to another node, 0.95 of it is admitted."""
    fleet = Fleet()
    demand = 0.9 * LIMIT
    fleet.run({'n0': demand}, 10.0)
    fleet.run({'n2': demand}, 5.0)
    found = fleet.run({'n2': demand}, 5.0)
    assert found['n2'] >= 0.95 * 5.0 * demand


def test_isolated_node_keeps_its_quota():
    """A node that receives no sheets still admits up to its own quota."""
    fleet = Fleet()
    fleet.partitioned.add('n3')
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
    """The window grows until every node has a few whole units."""
    found = requests.rate_limit(per_second, nodes)
    assert (found.units, found.window_s) == (units, window_s)


@pytest.mark.parametrize('units', [0, 1, 7, 400])
@pytest.mark.parametrize('count', [1, 3, 20])
def test_quotas_sum_to_the_limit(units, count):
    """Every unit belongs to exactly one node."""
    names = [f'n{number}' for number in range(count)]
    quotas = [ratelimits.equal_quota(units, name, names) for name in names]
    assert sum(quotas) == units
    assert ratelimits.equal_quota(units, 'stranger', names) == 0


def test_joining_node_borrows_until_it_is_counted():
    """A new node has no quota until the others have read its registration.

    Until then, the others still divide the whole limit among themselves.
    """
    manual = clock.ManualClock()
    limits = _sharing.AccountLimits('new', manual)
    limits.set_accounts(declared_accounts())
    limits.set_nodes(['new', 'old'])
    share = limits.get_share('shops', _limits.REQUESTS)
    assert limits.is_joining and share.capacity() == 0
    manual.advance(_sharing.JOIN_WAIT_S)
    limits.make_sheet(1)
    assert not limits.is_joining and share.capacity() == LIMIT / 2
