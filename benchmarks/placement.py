"""Compares ways to choose a head while the loads of other nodes are old.

Usage: ``python -m benchmarks.placement [--quick]``; prints one line for each
load and rule. The computation has no network and depends only on its seeds.
"""

import collections
import dataclasses
import heapq
import random

import fire

from plantainway.traffic import _placement

SLOTS = 24
MAX_LOAD = SLOTS + 3
ARRIVALS_PER_S = 13.0  # at each head on average
UPDATE_INTERVAL_S = 0.1  # between two reports of the loads
OPENS_AT_S, ENDS_AT_S = 3.0, 8.0  # the last head opens halfway
SEEDS = 8
TURN_TOLERANCE = 2  # requests; loads that differ by no more got turns


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Heads, nodes, mean duration of a request and age of the loads."""

    heads: int = 12
    nodes: int = 113
    duration_s: float = 1.4
    age_s: float = 0.3


@dataclasses.dataclass(slots=True)
class Result:
    """What one run counted.

    ``peak`` is the largest number of arrivals at a head in any second,
    divided by the mean; ``at_new`` the arrivals at the head that opens in its
    first second. ``beyond_slots`` waited at a head, ``rejected`` arrived at
    one that was full, ``unplaced`` found none with capacity.
    """

    arrivals: int = 0
    peak: float = 0.0
    at_new: int = 0
    beyond_slots: int = 0
    rejected: int = 0
    unplaced: int = 0


def take_turns(loads, rng, turn):
    """Chooses in turn among the heads that are nearly the least loaded."""
    del rng
    lowest = min(loads.values())
    names = [n for n in loads if loads[n] <= lowest + TURN_TOLERANCE]
    return names[turn % len(names)]


def draw_free(power=1.0):
    """Returns a rule that draws by free capacity.

    Args:
        power: Exponent of the free capacity.
    """

    def choose(loads, rng, turn):
        del turn
        weights = [(MAX_LOAD - load) ** power for load in loads.values()]
        return rng.choices(list(loads), weights)[0]

    return choose


def draw_as_nodes(loads, rng, turn):
    """Chooses as the nodes do."""
    del turn
    rooms = [MAX_LOAD - load for load in loads.values()]
    return _placement.draw(list(loads), rooms, rng)


def draw_two(loads, rng, turn):
    """Chooses the less loaded of two different heads drawn at random."""
    del turn
    names = rng.sample(list(loads), min(2, len(loads)))
    return min(names, key=loads.get)


def draw_two_free(loads, rng, turn):
    """Chooses the less loaded of two draws by free capacity."""
    del turn
    weights = [MAX_LOAD - load for load in loads.values()]
    return min(rng.choices(list(loads), weights, k=2), key=loads.get)


RULES = {
    'turns': take_turns,
    'two': draw_two,
    'two by free': draw_two_free,
    'free^2': draw_free(2.0),
    'free': draw_free(),
    'free, limited': draw_as_nodes,
}


class Engines:
    """Requests at the heads, and what the nodes know of them.

    Args:
        load: Heads and nodes.
    """

    def __init__(self, load):
        self.totals = [0] * load.heads
        self.own = [[0] * load.heads for _node in range(load.nodes)]
        self._ends = []
        self._waiting = [collections.deque() for _head in range(load.heads)]
        self._reports = collections.deque()
        self._age_s = load.age_s

    def advance(self, now: float) -> None:
        """Ends requests and takes reports until a time."""
        while self._ends and self._ends[0][0] <= now:
            at, head, node = heapq.heappop(self._ends)
            self.totals[head] -= 1
            self.own[node][head] -= 1
            if self._waiting[head]:
                duration_s, other = self._waiting[head].popleft()
                heapq.heappush(self._ends, (at + duration_s, head, other))
        due = self._reports[-1][0] + UPDATE_INTERVAL_S if self._reports else 0
        if now >= due:
            own = [list(row) for row in self.own]
            self._reports.append((now, list(self.totals), own))
        while len(self._reports) > 1 and (
            self._reports[1][0] <= now - self._age_s
        ):
            self._reports.popleft()

    def known_loads(self, node: int, heads: int) -> dict[int, int]:
        """Returns the loads with capacity as a node sees them."""
        _at, totals, own = self._reports[0]
        loads = {
            head: totals[head] - own[node][head] + self.own[node][head]
            for head in range(heads)
        }
        return {head: n for head, n in loads.items() if n < MAX_LOAD}

    def start(self, now, head, node, duration_s) -> bool:
        """Starts a request; returns whether it got a slot at once."""
        self.totals[head] += 1
        self.own[node][head] += 1
        if self.totals[head] > SLOTS:
            self._waiting[head].append((duration_s, node))
            return False
        heapq.heappush(self._ends, (now + duration_s, head, node))
        return True


def run(choose, load: Load, seed: int) -> Result:
    """Runs one load under one rule.

    Args:
        choose: Takes the known loads, a source of randomness and the turn.
        load: The load.
        seed: Seed of arrivals, durations and choices.
    """
    rng = random.Random(seed)
    engines, result, now = Engines(load), Result(), 0.0
    turns = [rng.randrange(1 << 16) for _node in range(load.nodes)]
    arrived = [[] for _head in range(load.heads)]
    while now < ENDS_AT_S:
        now += rng.expovariate(ARRIVALS_PER_S * load.heads)
        engines.advance(now)
        node = rng.randrange(load.nodes)
        duration_s = rng.uniform(0.5, 1.5) * load.duration_s
        turns[node] += 1
        result.arrivals += 1
        loads = engines.known_loads(node, load.heads - (now < OPENS_AT_S))
        if not loads:
            result.unplaced += 1
            continue
        head = choose(loads, rng, turns[node])
        arrived[head].append(now)
        if engines.totals[head] >= MAX_LOAD:
            result.rejected += 1
        elif not engines.start(now, head, node, duration_s):
            result.beyond_slots += 1
    result.peak = max(map(_peak, arrived)) / ARRIVALS_PER_S
    result.at_new = sum(at < OPENS_AT_S + 1 for at in arrived[-1])
    return result


def _peak(times) -> int:
    """Returns the largest number of times within one second."""
    recent, largest = collections.deque(), 0
    for at in times:
        recent.append(at)
        while recent[0] <= at - 1:
            recent.popleft()
        largest = max(largest, len(recent))
    return largest


def summarize(choose, load: Load, seeds: int = SEEDS) -> Result:
    """Returns the highest peak and the means of the counts over some seeds.

    Args:
        choose: As for ``run``.
        load: The load.
        seeds: Number of runs.
    """
    results = [run(choose, load, seed) for seed in range(seeds)]
    means = {
        field.name: sum(getattr(r, field.name) for r in results) / seeds
        for field in dataclasses.fields(Result)
    }
    return Result(**means | {'peak': max(r.peak for r in results)})


LOADS = (
    Load(duration_s=1.2),
    Load(),
    Load(duration_s=1.7),
    Load(duration_s=1.9),
    Load(age_s=0.5),
    Load(heads=6),
    Load(heads=3),
    Load(heads=3, nodes=3),
)


def main(quick: bool = False) -> None:
    """Prints the comparison.

    Args:
        quick: Whether to run only one load.
    """
    for load in LOADS[1:2] if quick else LOADS:
        print(load)
        for name, choose in RULES.items():
            print(f'  {name:14}', summarize(choose, load))


if __name__ == '__main__':
    fire.Fire(main)
