"""How often a stream may run."""

import dataclasses
import types

import pytest

from plantainway import deployment
from plantainway.traffic import _stream
from tests.traffic import test_heads

HEAD = test_heads._head('h0')


@pytest.mark.parametrize(
    'seen, allowed',
    [
        (HEAD, False),
        (dataclasses.replace(HEAD, membership=None), False),
        (dataclasses.replace(HEAD, started_ms=9), True),
        (None, True),
    ],
)
def test_only_runs_at_heads_that_ended_do_not_count(seen, allowed):
    """A head that has left its group still ran the request."""
    book = deployment.UpstreamRegistry()
    book.replace([seen] if seen else [], 1)
    runner = _stream.StreamRunner(types.SimpleNamespace(upstreams=book))
    route = types.SimpleNamespace(is_idempotent=True, max_attempts=2)
    state = types.SimpleNamespace(route=route, runs=2, lost_heads=[HEAD])
    assert runner._may_run_again(state) is allowed
