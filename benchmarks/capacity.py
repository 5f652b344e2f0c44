"""Measures how costs grow with the size, for docs/CAPACITY.md.

Usage: ``python -m benchmarks.capacity [--quick]``; prints one JSON object:
for each cost at least four measured points, the slope and intercept of a
linear fit, and its value at the size of docs/CAPACITY.md.
"""

import asyncio
import dataclasses
import gc
import json
import pathlib
import random
import time
import tracemalloc

import fire
import uvloop

from benchmarks import _cluster
from benchmarks import latency
from plantainway import api
from plantainway import clock
from plantainway import evidence
from plantainway import groups
from plantainway import objects
from plantainway import peers
from plantainway import wire

NODES = 360
DOMAINS = 15
VMS = 1200
COPIES = 75
MEMBERS_PER_COPY = 16
ACCOUNTS = 40
OBJECTS = VMS + 2 * COPIES + ACCOUNTS + 100
US_PER_S = 1_000_000
TIMING_REPEATS = 5


def fit_line(points: list) -> tuple[float, float]:
    """Returns slope and intercept of a least-squares line.

    Args:
        points: ``(x, y)`` pairs.
    """
    count = len(points)
    mean_x = sum(x for x, _y in points) / count
    mean_y = sum(y for _x, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _y in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def extrapolate(points: list, at: float, unit: str) -> dict:
    """Returns points, their linear fit and its value at a size.

    Args:
        points: ``(x, y)`` pairs.
        at: Value of x at which to evaluate the fit.
        unit: Units of x and y.
    """
    slope, intercept = fit_line(points)
    return {
        'unit': unit,
        'points': [[x, round(y, 2)] for x, y in points],
        'slope': round(slope, 4),
        'intercept': round(intercept, 2),
        'at': at,
        'value': round(slope * at + intercept, 2),
    }


def median_cpu_us(call) -> float:
    """Returns the median CPU time of a call in microseconds.

    Args:
        call: Function without arguments.
    """
    call()
    times = []
    for _ in range(TIMING_REPEATS):
        runs = 0
        started = time.process_time()
        while time.process_time() - started < 0.02:
            call()
            runs += 1
        times.append((time.process_time() - started) / runs * US_PER_S)
    return sorted(times)[TIMING_REPEATS // 2]


def allocated_bytes(make) -> float:
    """Returns the bytes of Python heap that an object occupies.

    Args:
        make: Function that returns the object.
    """
    gc.collect()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def make_report(index: int, seen: int = 0, copies: int = 0) -> wire.NodeReport:
    """Returns a report as a running node sends it.

    Args:
        index: Number of the node.
        seen: Number of VMs that it watches.
        copies: Number of copies that it controls.
    """
    return wire.NodeReport(
        f'node-{index:03d}',
        1,
        1,
        f'region-{index % 4}',
        f'place-{index % DOMAINS}',
        f'place-{index % DOMAINS}',
        '10.0.0.1:8080',
        '10.0.0.1:8081',
        False,
        {
            f'vm-{number:04d}': wire.VmState(
                True, 'b' * 12, 'fab-00-c1', 3, 'ready', False, 8
            )
            for number in range(seen)
        },
        {
            f'fab-00-c{number}': wire.CopyView(
                f'fab-00-c{number}',
                'group',
                'version',
                3,
                'serving',
                [[f'vm-{m:04d}', 'b' * 12] for m in range(MEMBERS_PER_COPY)],
                9,
            )
            for number in range(copies)
        },
        {},
    )


def make_beats(count: int) -> wire.Heartbeats:
    """Returns a message with the heartbeats of several nodes.

    Args:
        count: Number of nodes in the message.
    """
    return wire.Heartbeats(
        [wire.Heartbeat(f'node-{n:03d}', 3, 400, 17) for n in range(count)],
        {},
        9,
    )


def make_objects(vms: int) -> list[dict]:
    """Returns a consistent set of declared objects.

    Args:
        vms: Number of engine VMs, in fabric domains of 80.
    """
    domains = max(vms // 80, 1)
    found = [
        {'kind': 'place', 'name': 'p', 'region': 'r'},
        {'kind': 'model', 'name': 'm', 'default_version': 'v'},
        {'kind': 'model_version', 'name': 'v', 'model': 'm', 'weights': 'w'},
        {'kind': 'priority', 'name': 'one', 'rank': 0},
    ]
    for number in range(domains):
        found.append(
            {'kind': 'fabric_domain', 'name': f'f{number}', 'place': 'p'}
        )
        found.append(
            {
                'kind': 'replica_group',
                'name': f'g{number}',
                'model_version': 'v',
                'copies': vms // domains // MEMBERS_PER_COPY,
                'vms_per_copy': MEMBERS_PER_COPY,
                'fabric_domains': [f'f{number}'],
            }
        )
    for number in range(vms):
        found.append(
            {
                'kind': 'upstream',
                'name': f'vm-{number:04d}',
                'type': 'runner',
                'address': f'10.0.{number // 250}.{number % 250}:80',
                'place': 'p',
                'fabric_domain': f'f{number % domains}',
                'checks_fencing': True,
            }
        )
    return found


def shard_view(vms: int) -> groups.ShardView:
    """Returns the planner's view of a domain in which every copy serves.

    Args:
        vms: Number of VMs in the domain.
    """
    copies = {}
    holds = {}
    facts = {}
    for number in range(vms // MEMBERS_PER_COPY):
        copy_id = f'f-c{number}'
        names = [f'vm-{number}-{m}' for m in range(MEMBERS_PER_COPY)]
        copies[copy_id] = groups.Copy(
            copy_id,
            'g',
            'f',
            'v',
            1,
            groups.CopyState.SERVING,
            tuple(groups.Member(vm, 'b') for vm in names),
        )
        for vm in names:
            holds[vm] = groups.Hold(vm, 'f', copy_id, 1)
            seen = wire.VmState(True, 'b', copy_id, 1, 'ready', False, 8)
            observation = groups.Observation(seen, 0.0, 'n')
            facts[vm] = groups.VmFacts(
                vm, '', True, False, True, observation, None, 0.0
            )
    spec = groups.GroupSpec(
        'g',
        'v',
        'w',
        (),
        vms // MEMBERS_PER_COPY,
        MEMBERS_PER_COPY,
        1.0,
        1.0,
        1.0,
        60.0,
    )
    return groups.ShardView('f', copies, holds, {'g': spec}, facts, 0.0)


def measure_in_process() -> dict:
    """Measures the costs that need no sockets, by name of the cost."""
    found = {}
    found['directory_answer_us'] = extrapolate(
        [(n, median_cpu_us(_directory_call(n))) for n in (24, 90, 180, 360)],
        NODES,
        'nodes -> us per answer',
    )
    found['beats_bytes'] = extrapolate(
        [
            (n, float(len(wire.encode(make_beats(n)))))
            for n in (6, 24, 90, 360)
        ],
        NODES,
        'nodes in a message -> bytes per message',
    )
    found['beats_us'] = extrapolate(
        [
            (n, median_cpu_us(_codec_call(make_beats(n))))
            for n in (6, 24, 90, 360)
        ],
        NODES,
        'nodes in a message -> us to encode and decode',
    )
    found['report_bytes'] = extrapolate(
        [
            (n, float(len(wire.encode(make_report(1, n)))))
            for n in (0, 4, 8, 16, 32)
        ],
        2 * VMS / NODES,
        'VMs watched -> bytes per report',
    )
    found['book_bytes'] = extrapolate(
        [
            (n, allocated_bytes(lambda n=n: _member_book(n)))
            for n in (24, 90, 180, 360)
        ],
        NODES,
        'nodes -> bytes of member book',
    )
    found['objects_bytes'] = extrapolate(
        [
            (
                n,
                allocated_bytes(
                    lambda n=n: objects.parse_objects(make_objects(n))
                ),
            )
            for n in (80, 240, 480, 960)
        ],
        OBJECTS,
        'objects -> bytes',
    )
    found['check_ms'] = extrapolate(
        [
            (n, median_cpu_us(_check_call(n)) / 1000)
            for n in (80, 240, 480, 960)
        ],
        OBJECTS,
        'objects -> ms to check the set',
    )
    found['plan_us'] = extrapolate(
        [(n, median_cpu_us(_plan_call(n))) for n in (80, 160, 320, 640, 1200)],
        VMS,
        'VMs -> us per planning pass without changes',
    )
    found['send_check_us'] = extrapolate(
        [(n, median_cpu_us(_verdict_call(n))) for n in (2, 4, 8, 16)],
        MEMBERS_PER_COPY,
        'members -> us to decide whether a copy may get work',
    )
    found['evidence_us'] = extrapolate(
        [(n, median_cpu_us(_evidence_call(n))) for n in (50, 100, 200, 400)],
        400,
        'records -> us to record and seal',
    )
    found['evidence_bytes'] = extrapolate(
        [(n, float(_evidence_bytes(n))) for n in (50, 100, 200, 400)],
        400,
        'records -> bytes stored',
    )
    return found


def _directory_call(count):
    live = {item.node: item for item in map(make_report, range(count))}
    return lambda: api.choose_entries(live, 'place-1', 'region-1', 'x')


def _codec_call(message):
    return lambda: wire.decode(wire.encode(message))


def _member_book(count):
    book = peers.MembershipView('me', clock.ManualClock())
    for index in range(count):
        data = wire.encode(make_report(index, 7))
        book.add_report(wire.decode(data))
        book.add_heartbeat(wire.Heartbeat(f'node-{index:03d}', 1, 0, 1))
    return book


def _check_call(vms):
    parsed, _faults = objects.parse_objects(make_objects(vms))
    return lambda: objects.check_set(parsed)


def _plan_call(vms):
    view = shard_view(vms)
    policy = groups.PlannerPolicy(groups.AbsenceModel())
    return lambda: groups.plan(view, policy)


def _verdict_call(members):
    manual = clock.ManualClock()
    book = peers.MembershipView('me', manual)
    vm_observations = groups.VmObservations('me', book, manual)
    names = [f'vm-{m}' for m in range(members)]
    seen = wire.VmState(True, 'b', 'f-c1', 3, 'ready', False, 8)
    for index in range(2):
        item = dataclasses.replace(
            make_report(index), seen={vm: seen for vm in names}
        )
        book.add_report(item)
        book.add_heartbeat(wire.Heartbeat(item.node, 1, 0, 1))
        vm_observations.index_report(item)
    copy = wire.CopyView(
        'f-c1', 'g', 'v', 3, 'serving', [[vm, 'b'] for vm in names], 9
    )
    if not groups.may_send(copy, vm_observations.current).allowed:
        raise RuntimeError('benchmark set-up: may_send refuses the copy')
    return lambda: groups.may_send(copy, vm_observations.current)


def _recorder(count):
    recorder = evidence.Recorder('n', 1, clock.ManualClock())
    for index in range(count):
        recorder.record(
            'send',
            req=f'{index:032x}',
            account='shops',
            attempt=f'{index:032x}',
            copy='fab-00-c1',
            token=3,
            upstreams=[f'vm-{m:04d}' for m in range(MEMBERS_PER_COPY)],
            oldest_ms=400,
        )
    recorder.seal()
    return recorder


def _evidence_call(count):
    return lambda: _recorder(count)


def _evidence_bytes(count):
    return len(_recorder(count)._sealed[0][1])


def _loopback_received_bytes() -> int:
    """Returns the bytes received on the loopback interface since boot."""
    for text in pathlib.Path('/proc/net/dev').read_text().splitlines():
        name, _, counters = text.partition(':')
        if name.strip() == 'lo':
            return int(counters.split()[0])
    raise RuntimeError('no loopback interface in /proc/net/dev')


async def _measure_idle(
    vms: int, seconds: float
) -> tuple[float, float, float]:
    """Measures a node without requests, which only probes its VMs.

    Returns:
        Percent of a core, resident MiB, and bytes per second on the wire
        with TCP and IP headers.
    """
    async with _cluster.running_cluster(vms) as cluster:
        await asyncio.sleep(2.0)
        before_s = _cluster.cpu_s(cluster.node_pid)
        before_bytes = _loopback_received_bytes()
        started_at = time.monotonic()
        await asyncio.sleep(seconds)
        elapsed_s = time.monotonic() - started_at
        used_s = _cluster.cpu_s(cluster.node_pid) - before_s
        moved = _loopback_received_bytes() - before_bytes
        rss = _cluster.rss_bytes(cluster.node_pid) / latency.MIB
        return used_s / elapsed_s * 100, rss, moved / elapsed_s


async def _measure_entry(seconds: float) -> dict:
    points = []
    async with _cluster.running_cluster() as cluster:
        load = latency.LoadGenerator(cluster)
        await cluster.set_engine_switches(slots=100000, token_s=0.0)
        for tokens in (16, 64, 128, 256):
            body = latency.chat_body(tokens, True)
            await load.measure_saturated(body, 0.5)
            result = await load.measure_saturated(body, seconds)
            points.append((tokens, result['node_us_per_request']))
    streams = []
    async with _cluster.running_cluster() as cluster:
        load = latency.LoadGenerator(cluster)
        await cluster.set_engine_switches(slots=100000, token_s=0.5)
        for count in (0, 250, 500, 1000):
            streams.append((count, await load.measure_memory_mib(count)))
    return {
        'request_us': extrapolate(
            points, 400, 'tokens per answer -> us per streamed request'
        ),
        'streams_mib': extrapolate(
            streams, 1000, 'open streams -> MiB resident'
        ),
    }


async def _measure_over_sockets(quick: bool) -> dict:
    seconds = 2.0 if quick else 6.0
    counts = (8, 16, 32, 64)
    idle = [(vms, await _measure_idle(vms, seconds)) for vms in counts]
    found = {
        'watch_core_percent': extrapolate(
            [(vms, share) for vms, (share, _rss, _bytes) in idle],
            2 * VMS / NODES,
            'VMs probed twice a second -> percent of a core',
        ),
        'watch_rss_mib': extrapolate(
            [(vms, rss) for vms, (_share, rss, _bytes) in idle],
            VMS,
            'VMs declared and probed -> MiB resident',
        ),
        'watch_wire_bytes': extrapolate(
            [(vms, moved) for vms, (_share, _rss, moved) in idle],
            2 * VMS / NODES,
            'VMs probed twice a second -> bytes per second on the wire',
        ),
    }
    return found | await _measure_entry(seconds / 2)


def main(quick: bool = False) -> None:
    """Measures and prints one JSON object.

    Args:
        quick: Measure for a shorter time, with less exact results.
    """
    uvloop.install()
    random.seed(1)
    found = measure_in_process()
    found |= asyncio.run(_measure_over_sockets(quick))
    print(json.dumps(found, indent=1))


if __name__ == '__main__':
    fire.Fire(main)
