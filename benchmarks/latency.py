"""Measures the latency that a node adds and its throughput per core.

Usage: ``python -m benchmarks.latency [--seconds=3]``; prints one JSON
object.
"""

import asyncio
import json
import time

import fire
from hdrh import histogram
import uvloop

from benchmarks import _cluster

HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_DIGITS = 3
US_PER_S = 1_000_000
MIB = 1 << 20
SHORT_TOKENS = 16
STREAM_TOKENS = 128
LOAD_CONNECTIONS = 64
PERCENTILES = (50, 99)


def chat_body(tokens: int, stream: bool) -> dict:
    return {
        'model': 'm',
        'messages': [{'role': 'user', 'content': 'restock sleeves'}],
        'max_tokens': tokens,
        'stream': stream,
    }


class LoadGenerator:
    """Sends requests to the node or directly to an engine.

    Args:
        cluster: Running cluster.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._node = f'http://{cluster.caller_address}/v1/chat/completions'
        self._engine = (
            f'http://127.0.0.1:{cluster.engine_ports[0]}/v1/chat/completions'
        )
        self._headers = {'Authorization': f'Bearer {cluster.caller_key}'}

    async def request(self, direct: bool, body: dict) -> float:
        """Sends one request and reads the answer.

        Args:
            direct: Whether to send to an engine instead of the node.
            body: Request body.

        Returns:
            Seconds from the request to the end of the answer.

        Raises:
            RuntimeError: The status is not 200, or a stream has no end.
        """
        started_at = time.perf_counter()
        async with self._cluster.session.post(
            self._engine if direct else self._node,
            json=body,
            headers={} if direct else self._headers,
        ) as resp:
            data = await resp.read()
            if resp.status != 200 or (
                body['stream'] and b'[DONE]' not in data
            ):
                raise RuntimeError(f'status {resp.status}: {data[:200]}')
        return time.perf_counter() - started_at

    async def measure_latency(self, body: dict, seconds: float) -> dict:
        """Alternates direct requests and requests through the node.

        Only one request is open at a time.

        Args:
            body: Request body.
            seconds: How long to measure.

        Returns:
            Latency percentiles of both in microseconds, and their ratio.
        """
        found = {
            direct: histogram.HdrHistogram(
                1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS
            )
            for direct in (True, False)
        }
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for direct, hist in found.items():
                took_s = await self.request(direct, body)
                hist.record_value(int(took_s * US_PER_S))
        result = {}
        for percentile in PERCENTILES:
            direct_us = found[True].get_value_at_percentile(percentile)
            node_us = found[False].get_value_at_percentile(percentile)
            result[f'p{percentile}'] = {
                'direct_us': direct_us,
                'node_us': node_us,
                'ratio': round(node_us / direct_us, 2),
            }
        result['samples'] = found[True].get_total_count()
        return result

    async def measure_saturated(self, body: dict, seconds: float) -> dict:
        """Sends from many connections at once to saturate the node.

        Args:
            body: Request body.
            seconds: How long to measure.

        Returns:
            Throughput per second, CPU microseconds of the node per request,
            and throughput per CPU second.
        """
        pid = self._cluster.node_pid
        count = 0
        deadline = time.monotonic() + seconds

        async def worker():
            nonlocal count
            while time.monotonic() < deadline:
                await self.request(False, body)
                count += 1

        before_s = _cluster.cpu_s(pid)
        started_at = time.monotonic()
        await asyncio.gather(*(worker() for _ in range(LOAD_CONNECTIONS)))
        elapsed_s = time.monotonic() - started_at
        used_s = _cluster.cpu_s(pid) - before_s
        tokens = count * body['max_tokens']
        return {
            'requests_per_second': round(count / elapsed_s, 1),
            'tokens_per_second': round(tokens / elapsed_s),
            'node_core_share': round(used_s / elapsed_s, 3),
            'node_us_per_request': round(used_s / count * US_PER_S, 1),
            'requests_per_core_second': round(count / used_s, 1),
            'tokens_per_core_second': round(tokens / used_s),
        }

    async def measure_memory_mib(self, streams: int) -> float:
        """Returns the node's resident memory in MiB with streams open.

        Args:
            streams: Number of open streams.
        """
        tasks = [
            asyncio.ensure_future(self.request(False, chat_body(100000, True)))
            for _ in range(streams)
        ]
        await asyncio.sleep(2.0 + streams / 250)
        rss = _cluster.rss_bytes(self._cluster.node_pid) / MIB
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return round(rss, 1)


async def _measure(seconds: float) -> dict:
    result = {}
    async with _cluster.running_cluster() as cluster:
        load = LoadGenerator(cluster)
        await cluster.set_engine_switches(slots=100000, token_s=0.0)
        await load.measure_latency(chat_body(SHORT_TOKENS, False), 0.5)
        result['short_answer'] = await load.measure_latency(
            chat_body(SHORT_TOKENS, False), seconds
        )
        result['streamed_answer'] = await load.measure_latency(
            chat_body(STREAM_TOKENS, True), seconds
        )
        result['short_load'] = await load.measure_saturated(
            chat_body(SHORT_TOKENS, False), seconds
        )
        result['stream_load'] = await load.measure_saturated(
            chat_body(STREAM_TOKENS, True), seconds
        )
    async with _cluster.running_cluster() as cluster:
        load = LoadGenerator(cluster)
        await cluster.set_engine_switches(slots=100000, token_s=0.5)
        result['resident_mib'] = {
            str(streams): await load.measure_memory_mib(streams)
            for streams in (0, 100, 1000)
        }
    return result


def main(seconds: float = 3.0) -> None:
    """Measures and prints one JSON object.

    Args:
        seconds: Length of each measurement.
    """
    uvloop.install()
    print(json.dumps(asyncio.run(_measure(seconds)), indent=2))


if __name__ == '__main__':
    fire.Fire(main)
