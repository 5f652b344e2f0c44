"""A short soak with a fixed seed; longer ones are run by hand."""

import random

import pytest

from tests.soak import faults
from tests.soak import world

SECONDS = 5.0


@pytest.mark.parametrize('seed', [1, 7])
async def test_promises_hold_under_faults(seed, tmp_path):
    """Real processes, overlapping faults, nothing broken."""
    played = world.World(seed, 2, tmp_path, is_timed=False)
    assert await played.run(SECONDS, 4) == []
    assert played.ledger.outcomes['200'] > 0


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_plan_follows_from_its_seed(seed):
    """The same seed draws the same faults, and another seed others."""
    first, again, other = (
        faults.plan(random.Random(s), 30.0) for s in (seed, seed, seed + 1)
    )
    assert first == again != other
    assert all(0.0 <= fault.at_s < 30.0 for fault in first)
