"""Engines that are cold for a time, with real nodes on loopback."""

import asyncio
import contextlib
import types

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway.platform import _names
from plantainway.platform import _upstreams
from tests.platform import conftest
from tests.platform import test_rate_limits

PER_S = 2.0
ARRIVALS_MAX = 1.5 * PER_S + 5  # in any second
MARGIN = {'cold_overshoot': 1.5, 'cold_tolerance': 5.0}
LEFT_MS = 4000


@pytest.fixture
async def nodes(store, runners, node):
    """Three nodes that know the margin; the one without it has left."""
    await node.close()
    async with contextlib.AsyncExitStack() as stack:
        found = [
            await stack.enter_async_context(
                conftest.running(
                    conftest.settings(name, store.address, **MARGIN)
                )
            )
            for name in ('n2', 'n3', 'n4')
        ]
        await conftest.until_linked(found)
        cfg = conftest.configuration(version=4)
        for service in cfg['services']:
            service |= {'coldS': 4, 'coldPerS': PER_S}
        store.put('op', 'config', cfg)
        for one in found:
            await conftest.until(
                lambda one=one: one.dump()['configuration'] == 4, 'cfg'
            )
        yield found


@pytest.mark.parametrize('source', ['entry', 'answer'])
@pytest.mark.parametrize('path', ['/stream/x', '/unsafe/x'])
async def test_cold_upstreams_get_few_requests(
    nodes, runners, client, path, source
):
    """All nodes together keep to the rate, until the time is over."""
    for runner in runners.values():
        if source == 'entry':
            runner.cold_left_ms = LEFT_MS
            runner.write_entry()
        else:
            runner.faults.cold_ms = str(LEFT_MS)
    load = test_rate_limits.Load(client, runners, nodes, path)
    if source == 'answer':
        await load.run(0.5)
        for runner in runners.values():
            runner.faults.cold_ms = ''
    await asyncio.sleep(0.7)
    assert all(one.dump()['cold_upstreams'] for one in nodes)
    began_at = asyncio.get_running_loop().time()
    load.done.clear()
    await load.run(1.8)
    for runner in runners.values():
        times = [seen.at for seen in runner.seen if seen.at >= began_at]
        for at in times:
            most = sum(at <= other < at + 1.0 for other in times)
            assert most <= ARRIVALS_MAX
    assert set(load.statuses()) == {200, 503}
    await conftest.until(
        lambda: not any(one.dump()['cold_upstreams'] for one in nodes), 'warm'
    )
    load.done.clear()
    await load.run(0.5)
    assert set(load.statuses()) == {200}


async def test_head_that_was_ejected_ramps_up_by_its_answers(
    nodes, runners, client
):
    """Failures begin a ramp, answers raise it, all nodes learn of them."""
    warmup = nodes[0]._dependencies.heads.warmup
    load = test_rate_limits.Load(client, runners, nodes[:1])
    await load.run(0.5)  # what is usual without a ramp
    for runner in runners.values():
        runner.faults.answer = 'error'
    await load.run(1.0)
    assert warmup._ramps
    for runner in runners.values():
        runner.faults.answer = 'whole'
    raised = []
    warmup.on_raised.append(lambda: raised.append(1))
    await load.run(1.0)
    assert raised
    for one in nodes:
        pacer = one._dependencies.heads.warmup
        await conftest.until(
            lambda pacer=pacer: any(map(any, pacer._sums.values())), 'sums'
        )


@pytest.mark.parametrize('text', ['', '0', 'x', '-5', 'nan'])
async def test_other_answers_make_no_upstream_cold(
    nodes, runners, client, text
):
    """An unreadable value is logged and changes nothing."""
    for runner in runners.values():
        runner.faults.cold_ms = text
    got = await conftest.send_request(client, nodes[0], '/safe/x')
    assert got.status == 200
    assert nodes[0].dump()['cold_upstreams'] == []


def test_unreadable_cold_time_is_logged_once_for_each_upstream(monkeypatch):
    """Guards against a line for each answer."""
    logged = []
    monkeypatch.setattr(
        'plantainway.logs.event',
        lambda name, *_level, **fields: logged.append(
            (name, fields.get('upstream'))
        ),
    )
    client = _upstreams.RunnerClient(None, None, clocks.ManualClock())
    seen = []
    client.on_cold.append(lambda upstream, left_s: seen.append(left_s))
    for text in ('x', 'x', '-5', '2000', 'y'):
        for name in ('u1', 'u2'):
            upstream = deployment.Upstream(name, 's', '', 'a', 2, False)
            resp = types.SimpleNamespace(
                status=200, headers={_names.COLD_MS: text}
            )
            client._handle_answer(upstream, resp)
    assert logged == [('cold_unreadable', 'u1'), ('cold_unreadable', 'u2')]
    assert seen == [2.0, 2.0]
    for number in range(2 * _upstreams.UNREADABLE_NAMES_MAX):
        client._record_unreadable_cold(str(number), 'x')
    assert len(client._unreadable_cold) <= _upstreams.UNREADABLE_NAMES_MAX
