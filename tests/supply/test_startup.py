"""Tests of the groups and spares at the start, before the first request."""

import pytest

from tests.supply import test_control

DOMAINS = {f'd{number}': ('',) * 8 for number in range(6)}
# Of the 12 s between the start of the VMs and the first request, engines
# register and a leader is elected in the first two.
STARTUP_S = 10.0
REPAIR_S = 3.0
GROUPS_PER_DOMAIN = 3  # each replaced by spares, or by one load


def _lose_domain(harness, domain):
    """Ends seven engines of a domain, as a power loss does."""
    engines = [
        engine
        for engine in harness.engines.by_name.values()
        if engine.domain == domain
    ]
    for engine in engines[:7]:
        engine.is_dead = True


@pytest.mark.parametrize('late_s', [0.0, 1.5])
@pytest.mark.parametrize('slowdown', [1.0, 1.25, 1.5, 2.0])
async def test_spares_have_weights_before_the_first_request(slowdown, late_s):
    """Loads that begin later take ten times as long.

    Neither a slow node nor a late leader makes all of them late.
    """
    harness = test_control.Harness(DOMAINS, test_control.STEP_S * slowdown)
    await harness.run(STARTUP_S - late_s)
    harness.start_traffic()
    assert all(engine.staged for engine in harness.engines.by_name.values())
    loads = harness.engines.load_count
    await harness.run(11.0)
    assert harness.engines.load_count == loads
    before = harness.open_groups('big') + harness.open_groups('small')
    _lose_domain(harness, 'd2')
    await harness.run(REPAIR_S)
    lost = before - harness.open_groups('big') - harness.open_groups('small')
    assert lost <= GROUPS_PER_DOMAIN
    assert harness.engines.load_count <= loads + GROUPS_PER_DOMAIN
