"""Runs a soak: ``python -m tests.soak --seed=1 --seconds=30 --nodes=3``."""

import asyncio
import pathlib
import sys
import tempfile

import fire

from tests.soak import world


def soak(
    seed: int = 1,
    seconds: float = 30.0,
    nodes: int = 3,
    callers: int = 8,
    runs: int = 1,
    logs: str = '',
    silence: bool = True,
    places: int = 6,
    pauses: bool = True,
    faults: bool = True,
    arrivals: float = 0.0,
    pause_s: float = 0.0,
    evacuations: bool = True,
    cold: bool = True,
) -> None:
    """Runs soak tests and prints the promises that were broken.

    Exits with 1 if any run has a breach.

    Args:
        seed: Seed of the first run.
        seconds: How long each run injects faults.
        nodes: Number of node processes.
        callers: Number of concurrent callers.
        runs: Number of runs, each with the next seed.
        logs: Directory for the node logs, a temporary one if empty.
        silence: Whether one stream of five falls silent and goes on.
        places: Streams that an engine holds at once, 0 for no limit.
        pauses: Whether node processes are paused shortly and often.
        faults: Whether all other faults are drawn.
        arrivals: Streams a second that are sent beside the callers' requests.
        pause_s: How long each node process is paused every 1.2 seconds,
            instead of at drawn times.
        evacuations: Whether failure domains are evacuated, if faults are
            drawn; without it all runners are in one.
        cold: Whether runners are cold after a restart and turn cold, if
            faults are drawn.
    """
    broken = 0
    load = world.Load(
        silence,
        places,
        pauses,
        faults,
        arrivals,
        pause_s,
        has_evacuations=evacuations,
        has_cold=cold,
    )
    for number in range(seed, seed + runs):
        directory = pathlib.Path(logs or tempfile.mkdtemp(prefix='soak-'))
        directory = directory / f'seed-{number}'
        directory.mkdir(parents=True, exist_ok=True)
        soak_world = world.World(number, nodes, directory, load=load)
        breaches = asyncio.run(soak_world.run(seconds, callers))
        broken += bool(breaches)
        outcomes = dict(sorted(soak_world.checker.outcomes.items()))
        cuts = len(soak_world.checker.cut_answers.cuts)
        print(
            f'seed {number}: {len(breaches)} breaches, {cuts} answers cut, '
            f'{outcomes}'
        )
        for breach in breaches:
            print(f'  {breach.promise}: {breach.detail}')
        if breaches:
            print(f'  logs: {directory}')
        sys.stdout.flush()
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(soak)
