"""Tests of the rule for the choice of a head under many nodes."""

from benchmarks import placement


def test_draws_do_not_herd():
    """Guards against the peaks that turns among the least loaded have.

    Loads are 0.3 s old and a head opens; see docs/design/placement.md.
    """
    load = placement.Load()
    turns = placement.summarize(placement.take_turns, load, seeds=2)
    drawn = placement.summarize(placement.draw_as_nodes, load, seeds=2)
    assert turns.peak > 4.0
    assert drawn.peak < 3.0
    assert drawn.rejected < 0.1 * turns.rejected
    assert drawn.beyond_slots < turns.beyond_slots
