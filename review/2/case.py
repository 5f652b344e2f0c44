"""Streams longer than their route allows, sent on through another node.

Two of twelve engines crash, both heads. Requests that node 1 has just sent
there are served through node 2.
"""

import asyncio
import os
import random

import world as worlds

TIMEOUT_MS = 3000
EVENT_S = 0.15
EVENTS = 27  # 4 s, longer than the route's timeoutMs
ENGINES_PER_DOMAIN = 6
CRASHED = 2  # 0.167 of all engines
CRASH_S = 4.5
CLIENTS = 12
ARRIVAL_SPAN_S = 0.02
ROUNDS = 8
PAUSE_S = 4.0


async def case(world) -> list[str]:
    """Returns the answers with bytes that are no answer."""
    world.route(
        '/draft/',
        'models',
        'stream',
        TIMEOUT_MS,
        500,
        resumable=True,
        gapTargetMs=300,
    )
    await world.start(engines_per_domain=ENGINES_PER_DOMAIN)
    for runner in world.runners.values():
        runner.event_s, runner.events = EVENT_S, EVENTS
    rng = random.Random(1)
    breaches = []
    for number in range(ROUNDS):
        if world.trouble:
            for head in world.heads()[:CRASHED]:
                asyncio.ensure_future(head.crash(CRASH_S))
        ids = [f'r{number}-{n}' for n in range(CLIENTS)]
        answers = await asyncio.gather(
            *(ask(world, one, rng.uniform(0.0, ARRIVAL_SPAN_S)) for one in ids)
        )
        if not any(resp is not None and resp.body for resp in answers):
            raise RuntimeError('no stream began')
        breaches += [
            f'MIXED: {one}: {resp.fault}'
            for one, resp in zip(ids, answers)
            if resp is not None and resp.fault
        ]
        await asyncio.sleep(PAUSE_S)
    return breaches


async def ask(world, request_id, pause_s):
    await asyncio.sleep(pause_s)
    return await world.ask(
        world.nodes[0],
        'POST',
        '/draft/x',
        request_id,
        body=b'draft for ' + request_id.encode(),
        Model='m0',
        Token_Count='1400,135',
        Prefix_Hash='aa11:40,' + request_id.encode().hex() + ':1360',
    )


worlds.run(case, os.path.dirname(os.path.abspath(__file__)), nodes=2)
