"""Demo: three nodes and stand-ins run as tasks of one process."""

import asyncio
import contextlib
import sys
import time

from plantainway import client
from plantainway import errors
from plantainway import keys
from plantainway import node as nodes
from plantainway import sessions
from plantainway import settings
from plantainway import standins
from plantainway import stores

STEP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.1
NODES = ('praha-a-1', 'praha-b-1', 'kladno-c-1')
DOMAINS = {'fab-a': 'praha-a', 'fab-b': 'praha-b'}
VMS_PER_DOMAIN = 5
VMS_PER_COPY = 4
WEIGHT_BYTES = 50_000_000
WEIGHT_BYTES_PER_S = 100_000_000
LONG_ANSWER_TOKENS = 150
STEP_TIMEOUT_S = 60.0  # each step takes a few seconds
BREACHES = ('double-run', 'half-group')


class StepError(errors.PlantainwayError):
    """A step of the demo did not give the expected result."""

    code = 'demo_failed'


class DemoCluster:
    """Stand-ins and nodes that listen on free loopback ports.

    Args:
        node_names: Names of the nodes to start.
        token_s: Seconds from one token to the next.
    """

    def __init__(self, node_names=NODES, token_s: float = 0.02):
        self.node_names = list(node_names)
        self.token_s = token_s
        self.platform = standins.PlatformStandIn()
        self.fleet = standins.Fleet(self.platform.weights)
        self.ledgers: dict[str, standins.ServiceStandIn] = {}
        self.nodes: dict[str, nodes.Node] = {}
        self.operator_key, self._operator = keys.create('ops')
        self.caller_key, self.caller_digest = keys.create('shops')
        self.session = None

    async def start(self, domains=None, vms_per_domain=VMS_PER_DOMAIN):
        """Starts the stand-ins and the nodes.

        Args:
            domains: Place by fabric domain, ``DOMAINS`` by default.
            vms_per_domain: Number of engines in each fabric domain.
        """
        self.domains = domains or DOMAINS
        self.platform.weights.rate = WEIGHT_BYTES_PER_S
        self.platform.weights.sizes['w1'] = WEIGHT_BYTES
        await self.platform.start()
        for domain in self.domains:
            for number in range(1, vms_per_domain + 1):
                await self.add_engine(domain, number)
        for number in (1, 2):
            name = f'ledger-{number}'
            self.ledgers[name] = standins.ServiceStandIn()
            await self.ledgers[name].start()
        for name in self.node_names:
            await self.start_node(name)

    async def add_engine(self, domain: str, number: int) -> None:
        """Starts one engine and adds its VM to the platform's list.

        Args:
            domain: Fabric domain.
            number: Number of the engine within the domain.
        """
        engine = standins.EngineStandIn(
            f'{domain}-{number}', self.fleet, token_s=self.token_s
        )
        await engine.start()
        self.list_vm(engine.vm, domain)

    def list_vm(self, vm: str, domain: str, leaving: bool = False) -> None:
        """Adds a VM to the platform's list or updates its entry.

        Args:
            vm: Name of the VM.
            domain: Its fabric domain.
            leaving: Whether the platform is withdrawing the VM.
        """
        self.platform.vm_list.update(
            stores.VmEntry(
                vm,
                self.fleet.engines[vm].server.address,
                self.domains[domain],
                domain,
                leaving,
            )
        )

    def node_settings(self, name: str) -> settings.Settings:
        """Returns settings for a node that listens on free ports.

        Args:
            name: Name of the node.
        """
        place = name.rpartition('-')[0]
        seeds = [other.peer_address for other in self.nodes.values()]
        return settings.Settings.model_validate(
            {
                'node': name,
                'region': 'cz-central',
                'failure_domain': place,
                'place': place,
                'listen': {
                    'caller': '127.0.0.1:0',
                    'operator': '127.0.0.1:0',
                    'peer': '127.0.0.1:0',
                },
                'platform': self.platform.platform_settings(),
                'seed_peers': seeds,
                'operator_keys': [{'name': 'ops', **self._operator}],
            }
        )

    async def start_node(self, name: str) -> nodes.Node:
        """Starts a node and adds it to the cluster.

        Args:
            name: Name of the node.
        """
        node = nodes.Node(self.node_settings(name))
        await node.start()
        self.nodes[name] = node
        return node

    def declared_objects(self, copies: int = 2) -> list[dict]:
        """Returns the objects to declare for this cluster.

        Args:
            copies: Number of copies of the only replica group.
        """
        places = sorted(set(self.domains.values()))
        declared = [
            {'kind': 'place', 'name': place, 'region': 'cz-central'}
            for place in places
        ]
        declared += [
            {'kind': 'fabric_domain', 'name': domain, 'place': place}
            for domain, place in self.domains.items()
        ]
        declared += [
            {'kind': 'model', 'name': 'assistant', 'default_version': 'v1'},
            {
                'kind': 'model_version',
                'name': 'v1',
                'model': 'assistant',
                'weights': 'w1',
            },
            {
                'kind': 'replica_group',
                'name': 'orders',
                'model_version': 'v1',
                'copies': copies,
                'vms_per_copy': VMS_PER_COPY,
                'fabric_domains': list(self.domains),
                'downtime_weight': 3.0,
            },
            {'kind': 'priority', 'name': 'counter', 'rank': 0},
            {
                'kind': 'client_account',
                'name': 'shops',
                'keys': [self.caller_digest],
                'priority': 'counter',
                'limits': {
                    'concurrent': 60,
                    'requests_per_second': 50.0,
                    'tokens_per_second': 5000.0,
                },
            },
        ]
        for vm, engine in self.fleet.engines.items():
            domain = vm.rpartition('-')[0]
            declared.append(
                {
                    'kind': 'upstream',
                    'name': vm,
                    'type': 'runner',
                    'address': engine.server.address,
                    'place': self.domains[domain],
                    'fabric_domain': domain,
                    'accelerators': 1,
                    'checks_fencing': engine.checks_fencing,
                }
            )
        for name, ledger in self.ledgers.items():
            declared.append(
                {
                    'kind': 'upstream',
                    'name': name,
                    'type': 'service',
                    'service': 'ledger',
                    'address': ledger.server.address,
                    'place': places[0],
                }
            )
        return declared

    def operator_client(
        self, name: str | None = None
    ) -> client.OperatorClient:
        """Returns a client of a node's operator API.

        Args:
            name: Node to talk to, the first one by default.
        """
        node = self.nodes[name or next(iter(self.nodes))]
        return client.OperatorClient(
            node.operator_address, self.operator_key, self.session
        )

    def caller_client(self) -> client.CallerClient:
        """Returns a caller API client with the addresses of all nodes."""
        return client.CallerClient(
            [node.caller_address for node in self.nodes.values()],
            self.caller_key,
            self.session,
        )

    async def fetch_copies(self, name: str | None = None) -> dict:
        """Returns a node's routing view of the copies.

        Args:
            name: Node to ask, the first one by default.
        """
        return (await self.operator_client(name).call('GET', 'state'))[
            'routes'
        ]

    async def wait_serving(self, count: int) -> dict:
        """Waits until every node reports a number of serving copies.

        Args:
            count: Number of copies.
        """

        async def ready():
            for name in self.nodes:
                copies = await self.fetch_copies(name)
                serving = [
                    copy
                    for copy in copies.values()
                    if copy['verdict'] == 'serving'
                ]
                if len(serving) != count:
                    return None
            return copies

        return await wait_for(ready, f'{count} copies serving')

    async def submit_order(self, key: str, body: str) -> tuple[int, str]:
        """Sends an order to the ledger service.

        Args:
            key: Idempotency key.
            body: Order.

        Returns:
            HTTP status and body of the response.
        """
        node = next(iter(self.nodes.values()))
        async with self.session.post(
            f'http://{node.caller_address}/services/ledger/orders',
            data=body,
            headers={
                'Authorization': f'Bearer {self.caller_key}',
                'Idempotency-Key': key,
            },
        ) as resp:
            return resp.status, await resp.text()

    def ledger_runs(self) -> list[dict]:
        """Returns the orders run by all instances of the ledger."""
        return [run for item in self.ledgers.values() for run in item.runs]

    async def stop(self) -> None:
        """Stops nodes and stand-ins immediately, without draining."""
        for node in self.nodes.values():
            await node.kill()
        for engine in self.fleet.engines.values():
            await engine.stop()
        for ledger in self.ledgers.values():
            await ledger.stop()
        await self.platform.stop()


async def wait_for(probe, what: str, within_s: float = STEP_TIMEOUT_S):
    """Polls a probe until it returns a true value.

    Args:
        probe: Coroutine function to call.
        what: Awaited condition, for the error message.
        within_s: Seconds to wait at most.

    Returns:
        What the probe returned.

    Raises:
        StepError: If it did not do so in time.
    """
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        found = await probe()
        if found:
            return found
        await asyncio.sleep(POLL_INTERVAL_S)
    raise StepError(f'condition not met within {within_s:g} s: {what}', 'demo')


def _print(text: str) -> None:
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


def _require(condition, what: str) -> None:
    if not condition:
        raise StepError(what, 'demo')


class Demo:
    """Runs the steps of the demo.

    Args:
        cluster: Running cluster.
        breach: Name of the breach to inject, empty for none.
    """

    def __init__(self, cluster: DemoCluster, breach: str = ''):
        self._cluster = cluster
        self._breach = breach
        self._started_at = time.monotonic()

    def _print_step(self, text: str) -> None:
        at = time.monotonic() - self._started_at
        _print(f'[{at:6.2f} s] {text}')

    async def run(self) -> bool:
        """Runs all steps.

        Returns:
            Whether every promise was held.
        """
        cluster = self._cluster
        found = await cluster.operator_client().call(
            'POST', 'apply', {'objects': cluster.declared_objects()}
        )
        self._print_step(
            f'{len(found["changed"])} objects checked and published as '
            f'revision {found["revision"]}'
        )
        copies = await cluster.wait_serving(2)
        self._print_step(f'groups formed and serving: {", ".join(copies)}')
        await self._ask()
        await self._order()
        await self._lose_member()
        await self._drain()
        if self._breach == 'half-group':
            await self._inject_half_group()
        return await self._check_evidence()

    async def _ask(self) -> None:
        body = {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': 'restock sleeves'}],
            'max_tokens': 12,
        }
        answer = await self._cluster.caller_client().ask(body)
        _require(
            answer.is_complete and answer.pieces == 12,
            'the answer is incomplete',
        )
        self._print_step(
            f'complete answer of {answer.pieces} pieces: {answer.text}'
        )

    async def _order(self) -> None:
        first = await self._cluster.submit_order('order-1', '{"sleeves": 10}')
        second = await self._cluster.submit_order('order-1', '{"sleeves": 10}')
        if self._breach == 'double-run':
            self._inject_double_run()
        runs = self._cluster.ledger_runs()
        self._print_step(
            f'order sent twice with one key: answers {first[0]} and '
            f'{second[0]}, equal: {first == second}, runs: {len(runs)}'
        )
        _require(
            first == second, 'answers with the same idempotency key differ'
        )
        _require(self._breach or len(runs) == 1, 'the order ran twice')

    def _inject_double_run(self) -> None:
        node = next(iter(self._cluster.nodes.values()))
        for number in range(2):
            node.recorder.record(
                'send',
                req=f'planted-{number}',
                account='shops',
                upstreams=['ledger-1'],
                key='planted',
            )

    async def _inject_half_group(self) -> None:
        node = next(iter(self._cluster.nodes.values()))
        copies = await self._cluster.fetch_copies()
        name, copy = next(iter(copies.items()))
        node.recorder.record(
            'send',
            req='planted',
            account='shops',
            attempt='planted',
            copy=name,
            token=copy['token'] - 1,
            upstreams=[],
            oldest_ms=0,
        )

    async def _lose_member(self) -> None:
        cluster = self._cluster
        copies = await cluster.fetch_copies()
        victim = sorted(copies)[0]
        domain = victim.rpartition('-c')[0]
        members = await self._members(victim)
        engine = cluster.fleet.engines[members[1]]
        died_at = time.monotonic()
        await engine.die()
        cluster.platform.vm_list.remove(engine.vm)
        self._print_step(f'{engine.vm}, a member of {victim}, died')

        async def stopped():
            for name in cluster.nodes:
                copies = await cluster.fetch_copies(name)
                if copies[victim]['verdict'] == 'serving':
                    return False
            return True

        await wait_for(stopped, 'the group stops serving')
        self._print_step(
            f'{victim} stopped after {time.monotonic() - died_at:.2f} s'
        )
        await self._ask()
        await cluster.wait_serving(2)
        self._print_step(
            f"{victim} repaired with {domain}'s spare, serving again "
            f'{time.monotonic() - died_at:.2f} s after the death'
        )

    async def _members(self, copy_id: str) -> list[str]:
        for name in self._cluster.nodes:
            state = await self._cluster.operator_client(name).call(
                'GET', 'state'
            )
            for shard in state['control'].values():
                if copy_id in shard['copies']:
                    return shard['copies'][copy_id]['members']
        raise StepError(f'no node controls {copy_id}', 'demo')

    async def _drain(self) -> None:
        cluster = self._cluster
        name = list(cluster.nodes)[-1]
        node = cluster.nodes[name]
        body = {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': 'castle'}],
            'max_tokens': LONG_ANSWER_TOKENS,
        }
        caller = client.CallerClient(
            [node.caller_address], cluster.caller_key, cluster.session
        )
        caller.pin(node.caller_address)
        pieces = []
        task = asyncio.ensure_future(caller.ask(body, pieces.append))

        async def streaming():
            return len(pieces) > 5

        await wait_for(streaming, 'a stream in progress')
        self._print_step(f'{name} told to stop with a stream in progress')
        stopping = asyncio.ensure_future(node.stop())
        try:
            async with asyncio.timeout(STEP_TIMEOUT_S):
                answer = await task
                await stopping
        except TimeoutError:
            raise StepError(
                f'{name} did not stop; {len(pieces)} pieces of its stream '
                'had arrived',
                'demo',
            )
        del cluster.nodes[name]
        _require(
            answer.is_complete and not answer.resumes,
            'stopping the node interrupted the stream',
        )
        self._print_step(
            f'{name} stopped; its stream was completed with '
            f'{answer.pieces} pieces, resumed {answer.resumes} times'
        )
        entries = await cluster.caller_client().fetch_entries()
        _require(
            name not in [e['node'] for e in entries['entries']],
            'the stopped node is still listed',
        )

    async def _check_evidence(self) -> bool:
        for node in self._cluster.nodes.values():
            await node.flush_evidence()
        found = await self._cluster.operator_client().call('GET', 'evidence')
        _print('')
        _print(evidence_table(found['answers']))
        return all(item['state'] == 'held' for item in found['answers'])


def evidence_table(answers: list[dict]) -> str:
    """Formats evidence answers as a table.

    Args:
        answers: Answers of the operator API.
    """
    rows = ['promise             answer      checked  breaches  gaps']
    for item in answers:
        rows.append(
            f'{item["promise"]:<19} {item["state"]:<11} '
            f'{item["checked"]:>7}  {len(item["records"]):>8}  '
            f'{len(item["gaps"]):>4}'
        )
    return '\n'.join(rows)


async def run(breach: str = '') -> bool:
    """Runs the demo.

    Args:
        breach: Name of the breach to inject, empty for none.

    Returns:
        Whether every step succeeded and every promise was held.
    """
    cluster = DemoCluster()
    async with sessions.new_session() as session:
        cluster.session = session
        try:
            await cluster.start()
            _print(f'{len(cluster.nodes)} nodes and the stand-ins are up')
            return await Demo(cluster, breach).run()
        except errors.PlantainwayError as exc:
            _print(f'failed: {exc}')
            for engine in cluster.fleet.engines.values():
                _print(f'  {engine.describe()}')
            return False
        finally:
            with contextlib.suppress(errors.PlantainwayError):
                await cluster.stop()
