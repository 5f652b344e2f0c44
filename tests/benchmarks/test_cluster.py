"""Tests of the processes that the benchmarks start."""

import socket

import pytest

from benchmarks import _cluster


@pytest.mark.parametrize('taken', ['platform_port', 'ledger_port'])
async def test_process_that_ends_while_starting_is_reported(taken, tmp_path):
    """A port that another process has taken is not a time-out."""
    cluster = _cluster.Cluster(1)
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', getattr(cluster, taken)))
        sock.listen()
        try:
            with pytest.raises(_cluster.ClusterStartError) as caught:
                await cluster.start(str(tmp_path))
        finally:
            await cluster.stop()
    assert 'standins ended with status' in caught.value.message


async def test_start_without_progress_is_given_up(tmp_path, monkeypatch):
    """The time-out counts from the last copy that came to serve."""
    monkeypatch.setattr(_cluster, 'START_TIMEOUT_S', 1.5)
    cluster = _cluster.Cluster(1)
    cluster.vms = 2  # the second copy never comes
    try:
        with pytest.raises(_cluster.ClusterStartError) as caught:
            await cluster.start(str(tmp_path))
    finally:
        await cluster.stop()
    assert 'not all of 2 copies' in caught.value.message
