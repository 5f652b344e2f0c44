"""Load test with fault injection: nodes and stand-ins over loopback.

Usage: ``python -m benchmarks.requests --seed=N --load=X
--faults={none,all} [--routing={turns,robin,reported}] [--seconds=10]
[--flood]``; prints one JSON object. ``load`` is the offered load as a
multiple of the engines' capacity. Violations are counted from the logs of
the stand-ins, which record what was executed.
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
TOKENS_PER_ANSWER = 16
TOKEN_S = 0.015
PREFILL_BLOCK_S = 0.012
CACHE_BLOCKS = 48
PREFIXES = 32
PREFIX_CHARS = 2000
PREFIX_SKEW = 2.0  # a tenth of the prefixes gets a third of requests
LOAD_REPORT_LAG_S = 2.0
LIMITS_SETTLE_S = 10.0  # until every node has its share of the account limits
LOST_CACHE_EVENT_SHARE = 0.1
ORDERS_PER_SECOND = 5.0
DEADLINE_MS = 20000
US_PER_S = 1_000_000
ACCOUNT_RANKS = {'counter': 0, 'north': 1, 'south': 1, 'flood': 1}
LOAD_SHARES = {'counter': 0.2, 'north': 0.4, 'south': 0.4}
FLOOD_LOAD = 2.0
# Prefill of an uncached prompt, then decoding of the tokens.
CHAT_SERVICE_S = 8 * PREFILL_BLOCK_S + TOKENS_PER_ANSWER * TOKEN_S
CAPACITY_PER_S = COPIES * SLOTS / CHAT_SERVICE_S


@dataclasses.dataclass
class Outcome:
    """Result of a chat request as its caller saw it.

    ``end`` is ``whole`` or the code of the error.
    """

    account: str
    end: str
    req_id: str
    first_s: float = 0.0
    gaps_s: tuple = ()
    resumes: int = 0


def make_chooser(name: str):
    """Returns a new chooser for one node, None for the node's default.

    Args:
        name: ``turns``, ``robin`` or ``reported``.
    """
    if name == 'robin':
        return requests.RoundRobinChooser()
    if name == 'reported':
        return requests.LeastReportedLoadChooser()
    return None


class LoadRun:
    """One load run over in-process nodes and stand-ins.

    Args:
        seed: Seed of arrivals, prompts and faults.
        load: Offered load as a multiple of the engines' capacity.
        faults: Whether faults are injected.
        routing: Name of the chooser.
        seconds: Length of the run.
        flood: Whether one more account sends twice the capacity.
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
        self.keys = {name: keys.create(name) for name in ACCOUNT_RANKS}
        self.outcomes: list[Outcome] = []
        self.orders: list[dict] = []
        self.broken_answers = 0
        self.leaving_at: dict[str, float] = {}
        texts = random.Random(7)
        self.prefixes = [
            ''.join(texts.choice('abcdefgh ') for _ in range(PREFIX_CHARS))
            for _number in range(PREFIXES)
        ]

    def objects(self) -> list[dict]:
        """Returns the objects to declare, with accounts of their own ranks."""
        found = [
            item
            for item in self.world.declared_objects(COPIES)
            if item['kind'] not in ('client_account', 'priority')
        ]
        for item in found:
            if item['kind'] == 'replica_group':
                item['vms_per_copy'] = VMS_PER_COPY
        for name, rank in ACCOUNT_RANKS.items():
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
        """Starts nodes and stand-ins and waits until all copies serve."""
        await self.world.start(DOMAINS, VMS_PER_DOMAIN)
        for engine in self.world.fleet.engines.values():
            engine.slots = SLOTS
            engine.prefill_s_per_block = PREFILL_BLOCK_S
            engine.cache_blocks = CACHE_BLOCKS
            engine.faults.lag_s = LOAD_REPORT_LAG_S
            engine.lost_cache_event_fraction = LOST_CACHE_EVENT_SHARE
        for number, node in enumerate(self.world.nodes.values()):
            self.set_node_chooser(node, number)
        await self.world.operator_client().call(
            'POST', 'apply', {'objects': self.objects()}
        )
        await self.world.wait_serving(COPIES)
        await asyncio.sleep(LIMITS_SETTLE_S)

    def set_node_chooser(self, node, number: int) -> None:
        """Sets the chooser under test on a node, unless it is the default."""
        found = make_chooser(self.routing)
        if found is not None:
            node.set_chooser(found)

    def body(self, rng) -> dict:
        """Returns a request whose prompt shares its prefix with others."""
        index = int(PREFIXES * rng.random() ** PREFIX_SKEW)
        return {
            'model': 'assistant',
            'messages': [
                {'role': 'system', 'content': self.prefixes[index]},
                {'role': 'user', 'content': f'{rng.random()}'},
            ],
            'max_tokens': TOKENS_PER_ANSWER,
        }

    async def run(self) -> dict:
        """Runs the load and returns measurements and violation counts."""
        await self.start()
        tasks = [asyncio.ensure_future(self._send_orders())]
        for account, share in LOAD_SHARES.items():
            rate = CAPACITY_PER_S * self.load * share
            tasks.append(
                asyncio.ensure_future(self._send_chats(account, rate))
            )
        if self.flood:
            rate = CAPACITY_PER_S * FLOOD_LOAD
            tasks.append(
                asyncio.ensure_future(self._send_chats('flood', rate))
            )
        if self.faults:
            tasks.append(
                asyncio.ensure_future(_faults.FaultInjector(self).run())
            )
        started_at = time.monotonic()
        await asyncio.gather(*tasks)
        elapsed_s = time.monotonic() - started_at
        return self._compute_results(elapsed_s)

    async def _send_chats(self, account: str, rate: float) -> None:
        """Sends requests at random times without waiting for answers.

        Arrivals are a Poisson process of ``rate`` requests per second.
        """
        open_requests = set()
        # A generator of its own gives every chooser the same requests.
        rng = random.Random(f'{self.seed}/{account}')
        started_at = time.monotonic()
        due_s = 0.0
        while (due_s := due_s + rng.expovariate(rate)) < self.seconds:
            body = self.body(rng)
            await asyncio.sleep(max(started_at + due_s - time.monotonic(), 0))
            task = asyncio.ensure_future(self._send_chat(account, body))
            open_requests.add(task)
            task.add_done_callback(open_requests.discard)
        if open_requests:
            await asyncio.wait(open_requests)

    def _address(self) -> str:
        return self.rng.choice(list(self.world.nodes.values())).caller_address

    async def _send_chat(self, account: str, body: dict) -> None:
        address = self._address()
        sent_at = time.monotonic()
        event_times = []
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
                body, lambda _text: event_times.append(time.monotonic())
            )
        except client.RemoteError as exc:
            self.outcomes.append(Outcome(account, exc.code, exc.req_id))
            return
        except errors.PlantainwayError as exc:
            self.outcomes.append(Outcome(account, exc.code, ''))
            return
        words = standins.make_answer_words(body['messages'], TOKENS_PER_ANSWER)
        if answer.text != ''.join(words):
            self.broken_answers += 1
        self.outcomes.append(
            Outcome(
                account,
                'whole',
                '',
                event_times[0] - sent_at,
                tuple(
                    after - before
                    for before, after in zip(
                        event_times, event_times[1:], strict=False
                    )
                ),
                answer.resumes + answer.restarts,
            )
        )

    async def _send_orders(self) -> None:
        """Sends orders at random times until the run ends.

        Some are sent twice at once, each time through a random node.
        """
        open_orders = set()
        deadline = time.monotonic() + self.seconds
        number = 0
        while time.monotonic() < deadline:
            await asyncio.sleep(self.rng.expovariate(ORDERS_PER_SECOND))
            number += 1
            task = asyncio.ensure_future(self._settle_order(f'order-{number}'))
            open_orders.add(task)
            task.add_done_callback(open_orders.discard)
        if open_orders:
            await asyncio.wait(open_orders)

    async def _settle_order(self, key: str) -> None:
        """Repeats an order until it is answered or its outcome is unknown."""
        twice = self.rng.random() < 0.3
        if twice:
            await asyncio.gather(self._send_order(key), self._send_order(key))
        for _attempt in range(20):
            status, code = await self._send_order(key)
            if code in ('', 'outcome_unknown'):
                break
            await asyncio.sleep(0.5)
        self.orders.append({'key': key, 'status': status, 'code': code})

    async def _send_order(self, key: str) -> tuple[int, str]:
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

    def _compute_results(self, elapsed_s: float) -> dict:
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
        falsely_refused = self.refused_orders & {run['req'] for run in runs}
        per_key = collections.Counter(run['key'] for run in runs)
        whole = [item for item in self.outcomes if item.end == 'whole']
        ends = collections.Counter(item.end for item in self.outcomes)
        goodput = len(whole) / elapsed_s
        by_account = {
            name: [item for item in whole if item.account == name]
            for name in ACCOUNT_RANKS
        }
        equal_counts = [len(by_account[name]) for name in ('north', 'south')]
        return {
            'load': self.load,
            'routing': self.routing,
            'requests': len(self.outcomes),
            'ends': dict(ends),
            'goodput_per_second': round(goodput, 2),
            'attained_share': round(
                goodput / (CAPACITY_PER_S * min(self.load, 1.0)), 3
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
                sum(equal_counts) ** 2
                / (2 * sum(x * x for x in equal_counts) or 1),
                4,
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
            'not_run_lies': len(refused & seen) + len(falsely_refused),
            'double_runs': sum(n > 1 for n in per_key.values()),
            'lost_orders': sum(
                order['code'] == '' and not per_key[order['key']]
                for order in self.orders
            ),
            'broken_answers': self.broken_answers,
            'crossed_answers': self._count_crossed_attempts(chats),
            'late_work_after_leaving_s': round(
                self._latest_work_after_leaving_s(chats), 3
            ),
        }

    def _count_crossed_attempts(self, chats) -> int:
        """Returns how many attempts engines ran for more than one caller."""
        callers = collections.defaultdict(set)
        for chat in chats:
            callers[chat['attempt']].add(chat['caller'])
        return sum(len(names) > 1 for names in callers.values())

    def _latest_work_after_leaving_s(self, chats) -> float:
        """Returns how late a leaving copy still got a new request.

        Returns:
            Seconds from the notice of leaving to the last new request.
        """
        latest = 0.0
        for copy_id, (since, token) in self.leaving_at.items():
            for chat in chats:
                if (chat['copy_id'], chat['token']) == (copy_id, token):
                    latest = max(latest, chat['at'] - since)
        return latest


def _percentiles(values) -> dict:
    hist = histogram.HdrHistogram(1, 600 * US_PER_S, 3)
    for value in values:
        hist.record_value(max(int(value * US_PER_S), 1))
    return {
        f'p{p}': round(hist.get_value_at_percentile(p) / 1000, 1)
        for p in (50, 95, 99)
    }


async def measure(
    seed=1, load=0.8, faults='none', routing='turns', seconds=10.0, flood=False
) -> dict:
    """Runs the load once and returns measurements and violation counts.

    Args:
        seed: Seed of arrivals, prompts and faults.
        load: Offered load as a multiple of the engines' capacity.
        faults: ``none`` or ``all``.
        routing: ``turns``, ``robin`` or ``reported``.
        seconds: Length of the run.
        flood: Whether one more account sends twice the capacity.
    """
    run = LoadRun(seed, load, faults == 'all', routing, seconds, flood)
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
        load: Offered load as a multiple of the engines' capacity.
        faults: ``none`` or ``all``.
        routing: ``turns``, ``robin`` or ``reported``.
        seconds: Length of the run.
        flood: Whether one more account sends twice the capacity.
    """
    logs.configure('CRITICAL')
    uvloop.install()
    found = asyncio.run(measure(seed, load, faults, routing, seconds, flood))
    print(json.dumps(found))


if __name__ == '__main__':
    fire.Fire(main)
