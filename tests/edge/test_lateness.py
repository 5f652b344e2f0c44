"""Tests of the monitor of the event loop."""

import pytest

from plantainway import clock as clocks
from plantainway.edge import _lateness


@pytest.mark.parametrize(
    'late_s, lines', [(0.0, 0), (0.1, 0), (_lateness.LATE_MIN_S, 1), (3.0, 1)]
)
async def test_late_loop_is_logged(late_s, lines, monkeypatch):
    """Each probe is counted; a late one is logged with the role."""
    events = []
    monkeypatch.setattr(
        _lateness.logs, 'event', lambda *args, **pairs: events.append(pairs)
    )
    clock = clocks.ManualClock()
    monitor = _lateness.LoopMonitor(lambda: True, clock)
    sleeps = []

    async def sleep(seconds):
        if sleeps:
            raise KeyboardInterrupt
        sleeps.append(seconds)
        clock.advance(seconds + late_s)

    monkeypatch.setattr(_lateness.asyncio, 'sleep', sleep)
    with pytest.raises(KeyboardInterrupt):
        await monitor.run()
    assert len(events) == lines
    assert all(
        pairs
        == {'late_ms': pytest.approx(late_s * 1000, abs=1), 'leads': True}
        for pairs in events
    )
    (count,) = [
        sample.value
        for sample in monitor.lateness.to_metric('x', '').samples
        if sample.name == 'x_count'
    ]
    assert count == 1
