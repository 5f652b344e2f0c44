"""The whole path."""

import pytest

from plantainway import demo


@pytest.mark.parametrize(
    'breach, held', [('', True), ('double-run', False), ('half-group', False)]
)
async def test_demo(breach, held, capsys):
    """Every promise is held unless a breach is planted."""
    assert await demo.run(breach) is held
    assert 'whole-groups' in capsys.readouterr().out
