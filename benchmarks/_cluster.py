"""Starts a node and the stand-ins as separate processes to measure."""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

from plantainway import client
from plantainway import errors
from plantainway import keys
from plantainway import sessions

START_TIMEOUT_S = 30.0  # for the first copy, and for each further one
POLL_INTERVAL_S = 0.1
PROBE_WAIT_S = 1.5  # the node probes every engine again within this time
NO_LIMITS = {
    'concurrent': 1000000,
    'requests_per_second': 1e6,
    'tokens_per_second': 1e9,
}


def free_ports(count: int) -> list[int]:
    """Returns TCP ports of the loopback address that are free now.

    Args:
        count: Number of ports.
    """
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def cpu_s(pid: int) -> float:
    """Returns the CPU seconds that a process has used, user and system.

    Args:
        pid: Process id.
    """
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def rss_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes.

    Args:
        pid: Process id.
    """
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


class ClusterStartError(errors.PlantainwayError):
    """The processes of a benchmark did not come to serve."""

    code = 'cluster_start_failed'


class Cluster:
    """Stand-ins, one node and a client session.

    Args:
        vms: Number of engine VMs; each forms a copy by itself.
    """

    def __init__(self, vms: int = 4):
        self.vms = vms
        ports = free_ports(vms + 5)
        self.engine_ports = ports[:vms]
        self.ledger_port, self.platform_port = ports[vms : vms + 2]
        self.node_ports = ports[vms + 2 :]
        self.operator_key, self._operator = keys.create('ops')
        self.caller_key, self._caller = keys.create('load')
        self._processes = []
        self.session = None
        self.node_pid = 0

    @property
    def caller_address(self) -> str:
        """Returns the ``HOST:PORT`` at which the node serves callers."""
        return f'127.0.0.1:{self.node_ports[0]}'

    def _objects(self) -> list[dict]:
        found = [
            {'kind': 'place', 'name': 'p', 'region': 'r'},
            {'kind': 'fabric_domain', 'name': 'f', 'place': 'p'},
            {'kind': 'model', 'name': 'm', 'default_version': 'v'},
            {
                'kind': 'model_version',
                'name': 'v',
                'model': 'm',
                'weights': 'w',
            },
            {
                'kind': 'replica_group',
                'name': 'g',
                'model_version': 'v',
                'copies': self.vms,
                'vms_per_copy': 1,
                'fabric_domains': ['f'],
            },
            {'kind': 'priority', 'name': 'one', 'rank': 0},
            {
                'kind': 'client_account',
                'name': 'load',
                'keys': [self._caller],
                'priority': 'one',
                'limits': NO_LIMITS,
            },
            {
                'kind': 'upstream',
                'name': 'ledger-1',
                'type': 'service',
                'service': 'ledger',
                'address': f'127.0.0.1:{self.ledger_port}',
                'place': 'p',
            },
        ]
        for index, port in enumerate(self.engine_ports):
            found.append(
                {
                    'kind': 'upstream',
                    'name': f'vm-{index}',
                    'type': 'runner',
                    'address': f'127.0.0.1:{port}',
                    'place': 'p',
                    'fabric_domain': 'f',
                    'accelerators': 1,
                    'checks_fencing': True,
                }
            )
        return found

    def _settings(self) -> dict:
        platform = f'http://127.0.0.1:{self.platform_port}'
        names = ('caller', 'operator', 'peer')
        return {
            'node': 'n1',
            'region': 'r',
            'failure_domain': 'p',
            'place': 'p',
            'listen': {
                name: f'127.0.0.1:{port}'
                for name, port in zip(names, self.node_ports, strict=True)
            },
            'platform': {
                name: platform for name in ('table', 'object_store', 'vm_list')
            }
            | {'weight_store': platform},
            'operator_keys': [{'name': 'ops', **self._operator}],
            'log_level': 'ERROR',
        }

    def _spawn(self, *arguments) -> int:
        process = subprocess.Popen(
            [sys.executable, '-m', 'plantainway', *arguments],
            stdout=subprocess.DEVNULL,
        )
        self._processes.append(process)
        return process.pid

    async def start(self, folder: str) -> None:
        """Starts all processes and waits until every copy serves.

        Args:
            folder: Directory for the settings and objects files.

        Raises:
            ClusterStartError: If a process ended, or not all copies served
                come to serve within START_TIMEOUT_S of one another.
        """
        objects = pathlib.Path(folder) / 'objects.json'
        objects.write_text(json.dumps(self._objects()))
        settings = pathlib.Path(folder) / 'node.json'
        settings.write_text(json.dumps(self._settings()))
        self._spawn(
            'standins',
            str(objects),
            f'--platform=127.0.0.1:{self.platform_port}',
        )
        self.node_pid = self._spawn('node', '--settings', str(settings))
        self.session = sessions.new_session()
        operator = client.OperatorClient(
            f'127.0.0.1:{self.node_ports[1]}', self.operator_key, self.session
        )
        deadline = time.monotonic() + START_TIMEOUT_S
        is_applied = False
        last_error = None
        verdicts = collections.Counter()
        serving = 0
        while time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._check_processes()
            try:
                if not is_applied:
                    await operator.call(
                        'POST', 'apply', {'objects': self._objects()}
                    )
                    is_applied = True
                state = await operator.call('GET', 'state')
            except errors.PlantainwayError as exc:
                last_error = exc
                continue
            verdicts = collections.Counter(
                copy['verdict'] for copy in state['routes'].values()
            )
            if verdicts['serving'] == self.vms:
                return
            if verdicts['serving'] > serving:
                serving = verdicts['serving']
                deadline = time.monotonic() + START_TIMEOUT_S
        raise ClusterStartError(
            f'not all of {self.vms} copies serve, and no further one within '
            f'{START_TIMEOUT_S} s: '
            f'applied={is_applied} verdicts={dict(verdicts)} '
            f'last_error={last_error!r}'
        )

    def _check_processes(self) -> None:
        for process in self._processes:
            if process.poll() is not None:
                raise ClusterStartError(
                    f'{process.args[3]} ended with status '
                    f'{process.returncode} while starting'
                )

    async def set_engine_switches(self, **values) -> None:
        """Sets behaviour switches of all engines and waits for a probe.

        Args:
            values: Switches of the engine stand-in and their values.
        """
        for port in self.engine_ports:
            async with self.session.post(
                f'http://127.0.0.1:{port}/faults', json=values
            ) as resp:
                await resp.read()
        await asyncio.sleep(PROBE_WAIT_S)

    async def stop(self) -> None:
        """Closes the client session and kills all processes."""
        if self.session is not None:
            await self.session.close()
        for process in self._processes:
            process.kill()
            process.wait()


@contextlib.asynccontextmanager
async def running_cluster(vms: int = 4):
    """Yields a running cluster and stops it afterwards.

    Args:
        vms: Number of engine VMs; each forms a copy by itself.
    """
    cluster = Cluster(vms)
    with tempfile.TemporaryDirectory() as folder:
        try:
            await cluster.start(folder)
            yield cluster
        finally:
            await cluster.stop()
