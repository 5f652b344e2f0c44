"""Times from a member's death to serving again, over real sockets.

Usage: ``python -m benchmarks.repair [--rounds=5]``; prints one JSON object
with the medians of the parts: detect (until every node has stopped sending),
decide and claim (until the new token is in the table), load (until every
member is ready), confirm (until every node sends again).
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

POLL_S = 0.01
GIVE_UP_S = 40.0


async def _until(probe) -> float:
    """Returns the time at which a probe first returns true."""
    deadline = time.monotonic() + GIVE_UP_S
    while not probe():
        if time.monotonic() > deadline:
            raise TimeoutError(probe.__name__)
        await asyncio.sleep(POLL_S)
    return time.monotonic()


class Round:
    """One death and its repair.

    Args:
        world: Running world.
        copy_id: Copy that loses a member.
    """

    def __init__(self, world, copy_id: str):
        self._world = world
        self._copy_id = copy_id

    def _views(self) -> list:
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
        """Kills a member and returns the parts in seconds."""
        victim = self._members()[1]
        [token] = self._tokens()
        died_at = time.monotonic()
        await victim.die()
        self._world.platform.vm_list.remove(victim.vm)

        def stopped():
            return all(
                view[self._copy_id]['verdict'] != 'serving'
                for view in self._views()
            )

        def claimed():
            return self._tokens() > [token]

        def loaded():
            return all(
                engine.up and engine.role == 'ready' and engine.token > token
                for engine in self._members()
            )

        def serving():
            return all(
                view[self._copy_id]['verdict'] == 'serving'
                for view in self._views()
            )

        marks = [died_at]
        for probe in (stopped, claimed, loaded, serving):
            marks.append(await _until(probe))
        late = [
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
                names, marks, marks[1:], strict=False
            )
        }
        return parts | {
            'total_s': marks[-1] - died_at,
            'last_request_after_death_s': max(late, default=0.0),
        }


async def _requests(world, stop: asyncio.Event) -> int:
    """Sends short requests all the time, as callers would."""
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
    """Measures several repairs under load.

    Args:
        rounds: Number of deaths.
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
            load = asyncio.ensure_future(_requests(world, stop))
            found = []
            for _number in range(rounds):
                found.append(await Round(world, min(copies)).run())
                await asyncio.sleep(2.0)
            stop.set()
            asked = await load
        finally:
            await world.stop()
    result = {
        name: round(statistics.median(item[name] for item in found), 3)
        for name in found[0]
    }
    result['last_request_after_death_s'] = round(
        max(item['last_request_after_death_s'] for item in found), 3
    )
    return result | {'rounds': rounds, 'requests': asked}


def main(rounds: int = 5) -> None:
    """Measures and prints one JSON object.

    Args:
        rounds: Number of deaths.
    """
    logs.configure('ERROR')
    uvloop.install()
    print(json.dumps(asyncio.run(measure(rounds)), indent=1))


if __name__ == '__main__':
    fire.Fire(main)
