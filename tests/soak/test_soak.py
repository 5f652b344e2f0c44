"""Short soaks with fixed seeds; ``python -m tests.soak`` runs longer."""

import random

import pytest

from tests.soak import faults
from tests.soak import world

SECONDS = 5.0


@pytest.mark.parametrize('seed', [1, 7])
async def test_promises_hold_under_faults(seed, tmp_path):
    """Node processes keep all promises under overlapping faults."""
    soak_world = world.World(seed, 2, tmp_path, is_timed=False)
    assert await soak_world.run(SECONDS, 4) == []
    assert soak_world.checker.outcomes['200'] > 0


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_faults_depend_only_on_seed(seed):
    """A seed always gives the same faults, and another seed others."""
    first, again, other = (
        faults.draw_faults(random.Random(s), 30.0)
        + faults.draw_limits(random.Random(s), 30.0)
        for s in (seed, seed, seed + 1)
    )
    assert first == again != other
    assert all(0.0 <= fault.at_s < 30.0 for fault in first)
