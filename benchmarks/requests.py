"""Load and faults over loopback: real nodes and stand-ins.

Usage: ``python -m benchmarks.requests --seed=N --load=X
--faults={none,all} [--routing={turns,robin,reported}] [--seconds=10]
[--flood]``; prints one JSON object. ``load`` is the offered load as a
multiple of what the engines can do. All counts of breaches come from the
logs of the stand-ins.
"""

import asyncio
import collections
import dataclasses
import json
import random
import time

import fire
from hdrh import histogram
import uvloop

from benchmarks import _faults
from plantainway import client
from plantainway import demo
from plantainway import errors
from plantainway import keys
from plantainway import logs
from plantainway import requests
from plantainway import sessions
from plantainway import standins

NODES = ('praha-a-1', 'praha-a-2', 'praha-b-1', 'praha-b-2')
DOMAINS = {'fab-a': 'praha-a', 'fab-b': 'praha-b'}
VMS_PER_DOMAIN = 5
COPIES = 4
VMS_PER_COPY = 2
SLOTS = 4
TOKENS = 16
TOKEN_S = 0.015
PREFILL_BLOCK_S = 0.012
CACHE_BLOCKS = 48
PREFIXES = 32
PREFIX_CHARS = 2000
PREFIX_SKEW = 2.0  # the first tenth of the prefixes has a third of use
LOAD_LAG_S = 2.0
JOIN_S = 10.0  # until every node has its own right to the limits
CACHE_GAP = 0.1
ORDERS_A_SECOND = 5.0
DEADLINE_MS = 20000
US = 1_000_000
ACCOUNTS = {'counter': 0, 'north': 1, 'south': 1, 'flood': 1}
SHARES = {'counter': 0.2, 'north': 0.4, 'south': 0.4}
FLOOD_LOAD = 2.0
# Prefill of an uncached prompt, then the tokens.
SERVICE_S = 8 * PREFILL_BLOCK_S + TOKENS * TOKEN_S
CAPACITY = COPIES * SLOTS / SERVICE_S


@dataclasses.dataclass
class Outcome:
    """How one chat request ended for its caller."""

    account: str
    end: str
    req_id: str
    first_s: float = 0.0
    gaps_s: tuple = ()
    resumes: int = 0


def chooser(name: str):
    """Returns a new chooser for one node.

    Args:
        name: ``turns``, ``robin`` or ``reported``.
    """
    if name == 'robin':
        return requests.RoundRobinChooser()
    if name == 'reported':
        return requests.LeastReportedLoadChooser()
    return None


class Run:
    """One run.

    Args:
        seed: Seed of arrivals, prompts and faults.
        load: Offered load against the engines' capacity.
        faults: Whether faults are injected.
        routing: Name of the chooser.
        seconds: Length of the run.
        flood: Whether one more account floods the nodes.
    """

    def __init__(self, seed, load, faults, routing, seconds, flood):
        self.seed = seed
        self.rng = random.Random(seed)
        self.load = load
        self.faults = faults
        self.routing = routing
        self.seconds = seconds
        self.flood = flood
        self.world = demo.DemoCluster(NODES, TOKEN_S)
        self.keys = {name: keys.create(name) for name in ACCOUNTS}
        self.outcomes: list[Outcome] = []
        self.orders: list[dict] = []
        self.broken = 0
        self.leaving_at: dict[str, float] = {}
        texts = random.Random(7)
        self.prefixes = [
            ''.join(texts.choice('abcdefgh ') for _ in range(PREFIX_CHARS))
            for _number in range(PREFIXES)
        ]

    def objects(self) -> list[dict]:
        """Returns the declared objects."""
        found = [
            item
            for item in self.world.declared_objects(COPIES)
            if item['kind'] not in ('client_account', 'priority')
        ]
        for item in found:
            if item['kind'] == 'replica_group':
                item['vms_per_copy'] = VMS_PER_COPY
        for name, rank in ACCOUNTS.items():
            found.append(
                {'kind': 'priority', 'name': f'p-{name}', 'rank': rank}
            )
            found.append(
                {
                    'kind': 'client_account',
                    'name': name,
                    'keys': [self.keys[name][1]],
                    'priority': f'p-{name}',
                    'limits': {
                        'concurrent': 4000,
                        'requests_per_second': 4000.0,
                        'tokens_per_second': 1e6,
                    },
                }
            )
        return found

    async def start(self) -> None:
        """Starts everything and waits until it serves."""
        await self.world.start(DOMAINS, VMS_PER_DOMAIN)
        for engine in self.world.fleet.engines.values():
            engine.slots = SLOTS
            engine.prefill_block_s = PREFILL_BLOCK_S
            engine.cache_blocks = CACHE_BLOCKS
            engine.faults.lag_s = LOAD_LAG_S
            engine.cache_gap = CACHE_GAP
        for number, node in enumerate(self.world.nodes.values()):
            self.tune(node, number)
        await self.world.operator_client().call(
            'POST', 'apply', {'objects': self.objects()}
        )
        await self.world.wait_serving(COPIES)
        await asyncio.sleep(JOIN_S)

    def tune(self, node, number: int) -> None:
        """Sets the chooser of a node."""
        found = chooser(self.routing)
        if found is not None:
            node.set_chooser(found)

    def body(self, rng) -> dict:
        """Returns a prompt that shares its beginning with others."""
        index = int(PREFIXES * rng.random() ** PREFIX_SKEW)
        return {
            'model': 'assistant',
            'messages': [
                {'role': 'system', 'content': self.prefixes[index]},
                {'role': 'user', 'content': f'{rng.random()}'},
            ],
            'max_tokens': TOKENS,
        }

    async def run(self) -> dict:
        """Runs the load and returns the measures."""
        await self.start()
        tasks = [asyncio.ensure_future(self._orders())]
        for account, share in SHARES.items():
            rate = CAPACITY * self.load * share
            tasks.append(asyncio.ensure_future(self._chats(account, rate)))
        if self.flood:
            rate = CAPACITY * FLOOD_LOAD
            tasks.append(asyncio.ensure_future(self._chats('flood', rate)))
        if self.faults:
            tasks.append(asyncio.ensure_future(_faults.Injector(self).run()))
        started_at = time.monotonic()
        await asyncio.gather(*tasks)
        elapsed_s = time.monotonic() - started_at
        return self._measures(elapsed_s)

    async def _chats(self, account: str, rate: float) -> None:
        """Sends requests at random times, whether or not others ended."""
        open_requests = set()
        # Drawn apart from all else, so that every policy gets the same.
        rng = random.Random(f'{self.seed}/{account}')
        started_at = time.monotonic()
        at = 0.0
        while (at := at + rng.expovariate(rate)) < self.seconds:
            body = self.body(rng)
            await asyncio.sleep(max(started_at + at - time.monotonic(), 0))
            task = asyncio.ensure_future(self._chat(account, body))
            open_requests.add(task)
            task.add_done_callback(open_requests.discard)
        if open_requests:
            await asyncio.wait(open_requests)

    def _address(self) -> str:
        return self.rng.choice(list(self.world.nodes.values())).caller_address

    async def _chat(self, account: str, body: dict) -> None:
        address = self._address()
        sent_at = time.monotonic()
        marks = []
        caller = client.CallerClient(
            [node.caller_address for node in self.world.nodes.values()],
            self.keys[account][0],
            self.world.session,
            retry_refused=False,
        )
        caller.pin(address)
        body['user'] = account
        try:
            answer = await caller.ask(
                body, lambda _text: marks.append(time.monotonic())
            )
        except client.RemoteError as exc:
            self.outcomes.append(Outcome(account, exc.code, exc.req_id))
            return
        except errors.PlantainwayError as exc:
            self.outcomes.append(Outcome(account, exc.code, ''))
            return
        words = standins.answer_words(body['messages'], TOKENS)
        if answer.text != ''.join(words):
            self.broken += 1
        self.outcomes.append(
            Outcome(
                account,
                'whole',
                '',
                marks[0] - sent_at,
                tuple(
                    after - before
                    for before, after in zip(marks, marks[1:], strict=False)
                ),
                answer.resumes + answer.restarts,
            )
        )

    async def _orders(self) -> None:
        """Sends orders, some of them twice through other nodes."""
        open_orders = set()
        deadline = time.monotonic() + self.seconds
        number = 0
        while time.monotonic() < deadline:
            await asyncio.sleep(self.rng.expovariate(ORDERS_A_SECOND))
            number += 1
            task = asyncio.ensure_future(self._order(f'order-{number}'))
            open_orders.add(task)
            task.add_done_callback(open_orders.discard)
        if open_orders:
            await asyncio.wait(open_orders)

    async def _order(self, key: str) -> None:
        """Sends an order until its caller knows how it ended."""
        twice = self.rng.random() < 0.3
        if twice:
            await asyncio.gather(self._send(key), self._send(key))
        for _attempt in range(20):
            status, code = await self._send(key)
            if code in ('', 'outcome_unknown'):
                break
            await asyncio.sleep(0.5)
        self.orders.append({'key': key, 'status': status, 'code': code})

    async def _send(self, key: str) -> tuple[int, str]:
        try:
            async with self.world.session.post(
                f'http://{self._address()}/services/ledger/orders',
                data=key,
                headers={
                    'Authorization': f'Bearer {self.keys["counter"][0]}',
                    'Idempotency-Key': key,
                    'X-Deadline-Ms': str(DEADLINE_MS),
                },
            ) as resp:
                body = await resp.json()
                if resp.status < 300:
                    return resp.status, ''
                code = body['error']['code']
                if code == 'not_run':
                    self.refused_orders.add(resp.headers['X-Request-Id'])
                return resp.status, code
        except Exception as exc:
            return 0, type(exc).__name__

    refused_orders: set = set()

    def _measures(self, elapsed_s: float) -> dict:
        chats = [
            chat
            for engine in self.world.fleet.engines.values()
            for chat in engine.chats
        ]
        seen = {chat['req'] for chat in chats}
        runs = self.world.ledger_runs()
        refused = {
            item.req_id
            for item in self.outcomes
            if item.end == 'not_run' and item.req_id
        }
        order_lies = self.refused_orders & {run['req'] for run in runs}
        per_key = collections.Counter(run['key'] for run in runs)
        whole = [item for item in self.outcomes if item.end == 'whole']
        ends = collections.Counter(item.end for item in self.outcomes)
        goodput = len(whole) / elapsed_s
        by_account = {
            name: [item for item in whole if item.account == name]
            for name in ACCOUNTS
        }
        equal = [len(by_account[name]) for name in ('north', 'south')]
        return {
            'load': self.load,
            'routing': self.routing,
            'requests': len(self.outcomes),
            'ends': dict(ends),
            'goodput_per_second': round(goodput, 2),
            'attained_share': round(
                goodput / (CAPACITY * min(self.load, 1.0)), 3
            ),
            'first_token_ms': {
                name: _percentiles([item.first_s for item in items])
                for name, items in by_account.items()
                if items
            },
            'between_tokens_ms': _percentiles(
                [gap for item in whole for gap in item.gaps_s]
            ),
            'fairness': round(
                sum(equal) ** 2 / (2 * sum(x * x for x in equal) or 1), 4
            ),
            'prefix_hits': round(
                sum(chat['cached'] for chat in chats)
                / max(sum(chat['blocks'] for chat in chats), 1),
                3,
            ),
            'attempts_per_request': round(
                len(chats) / max(len(self.outcomes) - ends['not_run'], 1), 3
            ),
            'resumes': sum(item.resumes for item in whole),
            'orders': len(self.orders),
            'order_ends': dict(
                collections.Counter(
                    order['code'] or 'answered' for order in self.orders
                )
            ),
            'not_run_lies': len(refused & seen) + len(order_lies),
            'double_runs': sum(n > 1 for n in per_key.values()),
            'lost_orders': sum(
                order['code'] == '' and not per_key[order['key']]
                for order in self.orders
            ),
            'broken_answers': self.broken,
            'crossed_answers': self._crossed(chats),
            'late_work_after_leaving_s': round(self._late(chats), 3),
        }

    def _crossed(self, chats) -> int:
        """Counts attempts that an engine ran for several callers."""
        callers = collections.defaultdict(set)
        for chat in chats:
            callers[chat['attempt']].add(chat['caller'])
        return sum(len(names) > 1 for names in callers.values())

    def _late(self, chats) -> float:
        """Returns the latest new work after an upstream was leaving."""
        latest = 0.0
        for copy_id, (at, token) in self.leaving_at.items():
            for chat in chats:
                if (chat['copy_id'], chat['token']) == (copy_id, token):
                    latest = max(latest, chat['at'] - at)
        return latest


def _percentiles(values) -> dict:
    hist = histogram.HdrHistogram(1, 600 * US, 3)
    for value in values:
        hist.record_value(max(int(value * US), 1))
    return {
        f'p{p}': round(hist.get_value_at_percentile(p) / 1000, 1)
        for p in (50, 95, 99)
    }


async def measure(
    seed=1, load=0.8, faults='none', routing='turns', seconds=10.0, flood=False
) -> dict:
    """Runs once.

    Args:
        seed: Seed of arrivals, prompts and faults.
        load: Offered load against the engines' capacity.
        faults: ``none`` or ``all``.
        routing: ``turns``, ``robin`` or ``reported``.
        seconds: Length of the run.
        flood: Whether one more account floods the nodes.
    """
    run = Run(seed, load, faults == 'all', routing, seconds, flood)
    run.refused_orders = set()
    async with sessions.new_session() as session:
        run.world.session = session
        try:
            return await run.run()
        finally:
            await run.world.stop()


def main(
    seed: int = 1,
    load: float = 0.8,
    faults: str = 'none',
    routing: str = 'turns',
    seconds: float = 10.0,
    flood: bool = False,
) -> None:
    """Runs once and prints one JSON object.

    Args:
        seed: Seed of arrivals, prompts and faults.
        load: Offered load against the engines' capacity.
        faults: ``none`` or ``all``.
        routing: ``turns``, ``robin`` or ``reported``.
        seconds: Length of the run.
        flood: Whether one more account floods the nodes.
    """
    logs.configure('CRITICAL')
    uvloop.install()
    found = asyncio.run(measure(seed, load, faults, routing, seconds, flood))
    print(json.dumps(found))


if __name__ == '__main__':
    fire.Fire(main)
