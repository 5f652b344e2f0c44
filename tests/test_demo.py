"""Tests of the demo."""

import pytest

from plantainway import demo


@pytest.mark.parametrize(
    'breach, held', [('', True), ('double-run', False), ('half-group', False)]
)
async def test_demo(breach, held, capsys):
    """All promises are held unless a breach is injected."""
    assert await demo.run(breach) is held
    assert 'whole-groups' in capsys.readouterr().out
