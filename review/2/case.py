"""Streams that are sent on through a node that freezes.

Two of twelve engines crash, both heads. Requests that node 1 has just sent
there are served through node 2, which freezes in the middle of the streams.
"""

import asyncio
import os
import random
import signal

import world as worlds

TIMEOUT_MS = 3000
EVENT_S = 0.15
EVENTS = 16  # 2.4 s, shorter than the route's timeoutMs
ENGINES_PER_DOMAIN = 6
CRASHED = 2  # 0.167 of all engines
CRASH_S = 4.5
FREEZE_AFTER_S = 1.0
FREEZE_S = 4.0
CLIENTS = 16
ARRIVAL_SPAN_S = 0.02
ROUNDS = 5
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
        breaches += await play_round(world, number, rng)
        await asyncio.sleep(PAUSE_S)
    if not any(runner.runs for runner in world.all_runners()):
        raise RuntimeError('no stream began')
    return breaches


async def play_round(world, number, rng) -> list[str]:
    second = world.nodes[1]
    if world.trouble:
        for head in world.heads()[:CRASHED]:
            asyncio.ensure_future(head.crash(CRASH_S))
    ids = [f'r{number}-{n}' for n in range(CLIENTS)]
    asks = [
        asyncio.ensure_future(
            ask(world, one, rng.uniform(0.0, ARRIVAL_SPAN_S))
        )
        for one in ids
    ]
    await asyncio.sleep(FREEZE_AFTER_S)
    if world.trouble:
        world.record(f'{second.name} freezes')
        second.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        world.record(f'{second.name} goes on')
        second.signal(signal.SIGCONT)
    answers = await asyncio.gather(*asks)
    return [
        f'MIXED: {one}, runs {[run[2] for run in world.runs_of(one)]}: '
        f'{resp.fault}'
        for one, resp in zip(ids, answers)
        if resp is not None
        and resp.fault
        # A runner that broke off excuses it.
        and all(run[2] == 'complete' for run in world.runs_of(one))
    ]


async def ask(world, request_id, pause_s):
    await asyncio.sleep(pause_s)
    return await world.ask(
        world.nodes[0],
        'POST',
        '/draft/x',
        request_id,
        body=b'draft for ' + request_id.encode(),
        Model='m0',
        Token_Count='1400,80',
        Prefix_Hash='aa11:40,' + request_id.encode().hex() + ':1360',
    )


worlds.run(case, os.path.dirname(os.path.abspath(__file__)), nodes=2)
