"""Number of runs that a stream is allowed."""

import dataclasses
import types

import pytest

from plantainway import deployment
from plantainway.traffic import _stream
from tests.traffic import test_heads

HEAD = test_heads._head('h0')


@pytest.mark.parametrize(
    'current, allowed',
    [
        (HEAD, False),
        (dataclasses.replace(HEAD, membership=None), False),
        (dataclasses.replace(HEAD, started_ms=9), True),
        (None, True),
    ],
)
def test_runs_at_lost_incarnations_do_not_count(current, allowed):
    """Only a head that is gone or has restarted ended its run.

    One that merely left its group may still run the request.
    """
    book = deployment.UpstreamRegistry()
    book.replace([current] if current else [], 1)
    runner = _stream.StreamRunner(types.SimpleNamespace(upstreams=book))
    route = types.SimpleNamespace(is_idempotent=True, max_attempts=2)
    state = types.SimpleNamespace(route=route, runs=2, lost_heads=[HEAD])
    assert runner._may_run_again(state) is allowed
