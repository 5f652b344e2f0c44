"""Tests of the command line and of a node run as a process."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from plantainway import cli

ROOT = pathlib.Path(__file__).parents[1]
EXAMPLE = str(ROOT / 'examples' / 'objects' / 'obalnik.json')
PROCESS_TIMEOUT_S = 20.0


@pytest.mark.parametrize(
    'argv, status, out, err',
    [
        (['check', EXAMPLE], 0, 'ok: 84 objects', ''),
        (['check'], 2, '', 'usage: check FILE...'),
        (['check', '/nowhere.json'], 1, '', 'unreadable /nowhere.json'),
        (['node'], 2, '', 'usage: node --settings FILE'),
        (['node', '--settings', '/nowhere'], 2, '', 'settings_invalid'),
        (['get', 'model'], 2, '', 'usage: give --operator or set'),
        (['entries', '--entry=127.0.0.1:1'], 1, '', 'upstream_failed'),
        (
            ['get', 'model', '--operator=127.0.0.1:1', '--key=a.b'],
            1,
            '',
            'upstream_failed',
        ),
        (['demo', '--breach=nothing'], 2, '', 'usage: --breach must be'),
        (['key', 'ops'], 0, '"declare"', ''),
    ],
)
def test_exit_status_and_error_output(argv, status, out, err, capsys):
    """Exit status 0 is success, 1 failure, 2 invalid usage."""
    assert cli.main(argv) == status
    found = capsys.readouterr()
    assert out in found.out
    assert err in found.err


def test_check_lists_every_fault(tmp_path, capsys):
    """Each fault is written to standard error on its own line."""
    raws = json.loads(pathlib.Path(EXAMPLE).read_text())
    raws = [raw for raw in raws if raw['kind'] != 'priority']
    path = tmp_path / 'objects.json'
    path.write_text(json.dumps(raws))
    assert cli.main(['check', str(path)]) == 1
    lines = capsys.readouterr().err.splitlines()
    assert len([x for x in lines if x.startswith('unknown_reference')]) == 10
    assert lines[-1].startswith('objects_invalid: 10 faults')


async def test_node_runs_in_a_single_process(platform_server, tmp_path):
    """A node starts no child, dumps state on SIGUSR1, drains on SIGTERM."""
    raw = json.loads((ROOT / 'examples' / 'node.json').read_text())
    raw['platform'] = platform_server.platform_settings()
    raw['listen'] = dict.fromkeys(raw['listen'], '127.0.0.1:0')
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(raw))
    process = subprocess.Popen(
        [sys.executable, '-m', 'plantainway', 'node', '--settings', path],
        stderr=subprocess.PIPE,
        cwd=ROOT,
    )
    try:
        os.set_blocking(process.stderr.fileno(), False)
        seen = await _read_until(process, b'event=node_started')
        tasks = pathlib.Path(f'/proc/{process.pid}/task')
        children = [p.read_text() for p in tasks.glob('*/children')]
        assert set(children) == {''}
        process.send_signal(signal.SIGUSR1)
        seen += await _read_until(process, b'event=state')
        process.send_signal(signal.SIGTERM)
        await _read_until(process, b'event=drain_done')
        assert process.wait(PROCESS_TIMEOUT_S) == 0
        assert raw['operator_keys'][0]['digest'].encode() not in seen
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


async def _read_until(process, text: bytes) -> bytes:
    """Reads a process's log until it contains a text."""
    deadline = time.monotonic() + PROCESS_TIMEOUT_S
    seen = b''
    while text not in seen:
        assert time.monotonic() < deadline, seen[-2000:]
        seen += process.stderr.read() or b''
        await asyncio.sleep(0.05)
    return seen
