"""Measures how long a copy takes to recover from the crash of a member.

Usage: ``python -m benchmarks.repair [--rounds=5]``; prints one JSON object
with the median seconds of each phase, over real sockets: detect (until every
node has stopped sending), decide and claim (until the new token is in the
table), load (until every member is ready), confirm (until every node sends
again).
"""

import asyncio
import json
import statistics
import time

import fire
import uvloop

from plantainway import demo
from plantainway import logs
from plantainway import sessions

POLL_INTERVAL_S = 0.01
PROBE_TIMEOUT_S = 40.0


async def _wait_until(probe) -> float:
    """Polls until a probe returns true; returns the monotonic time."""
    deadline = time.monotonic() + PROBE_TIMEOUT_S
    while not probe():
        if time.monotonic() > deadline:
            raise TimeoutError(probe.__name__)
        await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic()


class Repair:
    """One crash of a member and the repair of its copy.

    Args:
        world: Running nodes and stand-ins.
        copy_id: Copy that loses a member.
    """

    def __init__(self, world, copy_id: str):
        self._world = world
        self._copy_id = copy_id

    def _routes_by_node(self) -> list:
        return [node.dump()['routes'] for node in self._world.nodes.values()]

    def _tokens(self) -> list[int]:
        return [
            row.value['token']
            for key, row in self._world.platform.table.rows().items()
            if key.endswith('/' + self._copy_id)
        ]

    def _members(self) -> list:
        [row] = [
            row
            for key, row in self._world.platform.table.rows().items()
            if key.endswith('/' + self._copy_id)
        ]
        return [
            self._world.fleet.engines[vm] for vm, _b in row.value['members']
        ]

    async def run(self) -> dict:
        """Crashes a member and returns the length of each phase in seconds."""
        victim = self._members()[1]
        [token] = self._tokens()
        died_at = time.monotonic()
        await victim.die()
        self._world.platform.vm_list.remove(victim.vm)

        def stopped():
            return all(
                view[self._copy_id]['verdict'] != 'serving'
                for view in self._routes_by_node()
            )

        def claimed():
            return self._tokens() > [token]

        def loaded():
            return all(
                engine.is_up
                and engine.role == 'ready'
                and engine.token > token
                for engine in self._members()
            )

        def serving():
            return all(
                view[self._copy_id]['verdict'] == 'serving'
                for view in self._routes_by_node()
            )

        phase_ends = [died_at]
        for probe in (stopped, claimed, loaded, serving):
            phase_ends.append(await _wait_until(probe))
        late_s = [
            chat['at'] - died_at
            for engine in self._world.fleet.engines.values()
            for chat in engine.chats
            if chat['copy_id'] == self._copy_id
            and chat['token'] == token
            and chat['at'] > died_at
        ]
        await victim.reboot()
        self._world.list_vm(victim.vm, victim.vm.rpartition('-')[0])
        names = ('detect_s', 'decide_claim_s', 'load_s', 'confirm_s')
        parts = {
            name: after - before
            for name, before, after in zip(
                names, phase_ends, phase_ends[1:], strict=False
            )
        }
        return parts | {
            'total_s': phase_ends[-1] - died_at,
            'last_request_after_death_s': max(late_s, default=0.0),
        }


async def _send_requests(world, stop: asyncio.Event) -> int:
    """Sends short requests one after another; returns their number."""
    count = 0
    caller = world.caller_client()
    body = {
        'model': 'assistant',
        'messages': [{'role': 'user', 'content': 'x'}],
        'max_tokens': 2,
    }
    while not stop.is_set():
        await caller.ask(body)
        count += 1
    return count


async def measure(rounds: int) -> dict:
    """Measures several repairs under load and returns the medians.

    Args:
        rounds: Number of crashes.
    """
    world = demo.DemoCluster()
    async with sessions.new_session() as session:
        world.session = session
        try:
            await world.start()
            await world.operator_client().call(
                'POST', 'apply', {'objects': world.declared_objects()}
            )
            copies = await world.wait_serving(2)
            stop = asyncio.Event()
            load = asyncio.ensure_future(_send_requests(world, stop))
            found = []
            for _number in range(rounds):
                found.append(await Repair(world, min(copies)).run())
                await asyncio.sleep(2.0)
            stop.set()
            request_count = await load
        finally:
            await world.stop()
    result = {
        name: round(statistics.median(item[name] for item in found), 3)
        for name in found[0]
    }
    result['last_request_after_death_s'] = round(
        max(item['last_request_after_death_s'] for item in found), 3
    )
    return result | {'rounds': rounds, 'requests': request_count}


def main(rounds: int = 5) -> None:
    """Measures and prints one JSON object.

    Args:
        rounds: Number of crashes.
    """
    logs.configure('ERROR')
    uvloop.install()
    print(json.dumps(asyncio.run(measure(rounds)), indent=1))


if __name__ == '__main__':
    fire.Fire(main)
