"""Number of runs that a stream is allowed."""

import asyncio
import dataclasses
import types

import pytest

from plantainway import clock as clocks
from plantainway import deployment
from plantainway import traffic
from plantainway.traffic import _attempts
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
    relay = types.SimpleNamespace(is_needed=lambda req: False)
    runner = _stream.StreamRunner(
        types.SimpleNamespace(upstreams=book, relay=relay)
    )
    attempts = _attempts.AnswerAttempts(is_idempotent=True, run_limit=2)
    for _run in range(2):
        number = attempts.open()
        attempts.record_sent(number)
        attempts.record_failure(number)
    state = types.SimpleNamespace(req=None, run_heads={1: HEAD})
    assert attempts.may_run(runner._uncounted_runs(state)) is allowed


class RecordingSink(traffic.BaseSink):
    """Records whether it was started and aborted."""

    is_aborted = False

    async def start(self, status, headers):
        """Sends nothing."""
        self.is_started = True

    async def write(self, data):
        """Sends nothing."""

    async def finish(self):
        """Sends nothing."""

    def _abort(self):
        """Records the call."""
        self.is_aborted = True


class SilentRelay:
    """Relay to a node that begins a stream at most and then falls silent.

    Args:
        begins: Whether it sends status and headers.
        events: Bytes of the body that it sends.
    """

    def __init__(self, begins, events):
        self._begins = begins
        self._events = events

    def is_needed(self, _req, _unreached=0):
        """Returns whether a request should be relayed: always."""
        return True

    async def serve(self, _req, _deadline, _runs, sink, resumed=None):
        """Does not return."""
        if self._begins:
            await sink.start(200, ())
        if self._events:
            await sink.write(self._events)
        await asyncio.Event().wait()


async def serve_relayed(
    begins,
    is_idempotent=True,
    events=b'',
    relay=None,
    max_attempts=2,
    sink=None,
):
    """Serves a stream through a relay, by default a silent one."""
    clock = clocks.MonotonicClock()
    deps = types.SimpleNamespace(
        clock=clock,
        relay=relay or SilentRelay(begins, events),
        upstreams=deployment.UpstreamRegistry(),
        outcomes=traffic.OutcomeRecorder(clock),
        budget=types.SimpleNamespace(
            try_take=lambda service: True, has_left=lambda service: True
        ),
    )
    route = types.SimpleNamespace(
        latency_target_ms=10,
        max_event_gap_ms=10,
        timeout_ms=50,
        is_idempotent=is_idempotent,
        max_attempts=max_attempts,
    )
    now = clock.now()
    req = traffic.Request('r', 'GET', '/x', 'h', [], b'', now, now + 5.0)
    sink = sink or RecordingSink()
    got = await _stream.StreamRunner(deps).serve(
        req, route, 's', '', 1, sink, None
    )
    return got, sink


async def test_stream_that_a_relay_began_is_aborted_at_the_timeout():
    """Guards against a 503 after the head of the relayed stream (MIXED)."""
    got, sink = await serve_relayed(begins=True, events=b'id: 1\n\n')
    assert got is None and sink.is_aborted


@pytest.mark.parametrize('events', [b'', b'id: 1\nda'])
async def test_relayed_stream_begins_with_its_first_event(events):
    """Until then another attempt may deliver it, or an error response."""
    got, sink = await serve_relayed(begins=True, events=events)
    assert (got.status, sink.is_started) == (504, False)


@pytest.mark.parametrize('is_idempotent', [False, True])
async def test_stream_that_was_relayed_is_not_refused_at_the_timeout(
    is_idempotent,
):
    """Guards against a 503 for a request that may have run (REFUSED)."""
    got, _sink = await serve_relayed(False, is_idempotent)
    assert got.status == 504


class BreakingRelay:
    """Relay to nodes that begin a stream and break off."""

    def __init__(self):
        self.max_runs = []

    def is_needed(self, _req, _unreached=0):
        """Returns whether a request should be relayed: always."""
        return True

    async def serve(self, _req, _deadline, max_runs, sink, resumed=None):
        """Sends one event."""
        self.max_runs.append(max_runs)
        await sink.start(200, ())
        await sink.write(b'id: %d\n\n' % ((resumed or 0) + 1))
        sink.abort('broke off')


@pytest.mark.parametrize('limit', [1, 2, 3])
async def test_relays_that_break_off_stay_within_the_limit_of_runs(limit):
    """Guards against a request that is relayed until its deadline."""
    relay = BreakingRelay()
    got, sink = await serve_relayed(True, relay=relay, max_attempts=limit)
    assert got is None and sink.is_aborted
    assert sum(relay.max_runs) <= limit


class EndingRelay(BreakingRelay):
    """Relay that delivers a whole stream."""

    async def serve(self, _req, _deadline, _runs, sink, resumed=None):
        """Ends the answer."""
        await sink.start(200, ())
        await sink.write(b'id: 1\n\n')
        await sink.finish()


class SlowSink(RecordingSink):
    """Sink whose last bytes wait for the client."""

    async def finish(self):
        """Does not return."""
        await asyncio.Event().wait()


async def test_whole_answer_is_not_aborted_while_its_end_is_sent():
    """Its last bytes are on their way to the client at the deadline."""
    got, sink = await serve_relayed(True, relay=EndingRelay(), sink=SlowSink())
    assert got is None and not sink.is_aborted
