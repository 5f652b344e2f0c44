"""One attempt of a streamed answer, at an engine or through another node."""

import asyncio

from plantainway import errors
from plantainway import loops
from plantainway import quarantine
from plantainway.traffic import _events
from plantainway.traffic import _types

PRIORITY_RESUMED_STREAM = 0  # its client already sees a pause
# Lowest number of a new stream; engines accept 0 to 9, 0 goes first.
PRIORITY_NEW_STREAM = 3
ERROR_BODY_TIMEOUT_S = 1.0  # for the body of a failure, some hundred bytes
EVENT_BYTES_MAX = 1 << 20  # an event holds a few tokens
RECHECK_S = 0.1  # of the prompts ahead at a head
QUEUED_TIMEOUTS_MAX = 2.0  # for the first event, however many prompts ahead


class StreamAttempt:
    """Sends a stream's request once and forwards the events that come.

    Several attempts of one answer may be open. The first that delivers an
    event closes the others, and goes on alone.

    Args:
        deps: Components that the request runners share.
        state: State of the answer.
        number: Number of the attempt.
        durations: Durations of complete streams.
    """

    def __init__(self, deps, state, number: int, durations):
        self._deps = deps
        self._state = state
        self._number = number
        self._durations = durations
        self._splitter = _events.EventSplitter()
        self._head = None
        self._evidence = None
        self._response = None
        self._sent_at = 0.0
        self._progress_at = 0.0
        self._silence_s = 0.0
        self._ahead = 0  # most other requests at the head since the sending
        self._is_begun = False
        self._timer = loops.ListeningTimer(self._handle_silence)

    # At an engine.

    async def run(self, reservation) -> None:
        """Runs the attempt at an engine until its answer ends.

        Args:
            reservation: Reservation at the head; it is released.
        """
        deps, state, head = self._deps, self._state, reservation.head
        self._head = head
        self._evidence = quarantine.RunEvidence(
            deps.evidence, state.req.crash_keys
        )
        is_served = False
        try:
            is_served = await self._send(reservation)
        except errors.UpstreamError as exc:
            self._handle_break(exc)
        except asyncio.CancelledError:
            if self._number in state.silent:
                self._evidence.record_cut_off(head)
            raise
        finally:
            self._timer.disarm()
            deps.heads.release(reservation, served=is_served)
            if self._response is not None:
                self._response.close()

    async def _send(self, reservation) -> bool:
        """Sends the request; returns whether its answer was complete."""
        deps, state, head = self._deps, self._state, self._head
        self._sent_at = self._progress_at = deps.clock.now()
        state.first_sent_at = state.first_sent_at or self._sent_at
        priority = (
            PRIORITY_RESUMED_STREAM
            if state.is_started
            else min(PRIORITY_NEW_STREAM + state.priority, 9)
        )
        attempt = _types.Attempt(
            state.req,
            head,
            state.account,
            state.deadline,
            priority=priority,
            last_event_id=state.last_event_id,
            use_new_connection=head.name in state.sent_heads,
            is_repeated=state.attempts.sends > 0,
        )
        state.sent_heads.add(head.name)
        state.run_heads[self._number] = head
        state.attempts.record_sent(self._number)
        self._ahead = deps.loads.total(head.name) - 1
        self._timer.arm(self._first_timeout_s())
        self._response = await deps.send(attempt)
        if self._response.status != 200:
            self._timer.disarm()
            await self._handle_error_response(reservation)
            return False
        await self._forward_stream()
        return True

    def _first_timeout_s(self) -> float:
        """Returns for how long the first event may take."""
        stalls, state = self._deps.stalls, self._state
        name, longest_pass_s = self._head.name, state.longest_pass_s
        if state.is_started:
            return 2 * stalls.gap_timeout_s(name, longest_pass_s)
        return stalls.first_event_timeout_s(name, longest_pass_s)

    def _queue_wait_s(self) -> float:
        """Returns for how much longer prompts ahead may delay the first event.

        The load of the head includes what other nodes have sent it since.
        A head with a silent stream, here or at another node, reads no prompts.
        """
        state, deps, name = self._state, self._deps, self._head.name
        if self._is_begun or deps.stalls.is_suspect(name):
            return 0.0
        self._ahead = max(self._ahead, deps.loads.total(name) - 1)
        timeout_s = self._first_timeout_s()
        expected_s = timeout_s + self._ahead * state.prefill_s
        expected_s = min(expected_s, QUEUED_TIMEOUTS_MAX * timeout_s)
        return expected_s - (deps.clock.now() - self._sent_at)

    def _handle_silence(self) -> None:
        state = self._state
        queue_wait_s = self._queue_wait_s()
        if queue_wait_s > 0:
            self._timer.arm(min(queue_wait_s, RECHECK_S))
            return
        self._silence_s = self._deps.clock.now() - self._progress_at
        state.attempts.record_silence(self._number)
        self._deps.outcomes.log_decision(
            state.req,
            'attempt_silent',
            upstream=self._head.name,
            group=self._head.membership.group,
            attempt=self._number,
            silence_ms=int(self._silence_s * 1000),
            late_ms=int(self._timer.late_s * 1000),
            after_event=state.last_event_id,
        )
        state.changed.set()

    def blame_silence(self) -> None:
        """Counts the silence of this attempt against its head, once."""
        state, deps = self._state, self._deps
        if self._head is None or self._number in state.silent:
            return
        state.silent.add(self._number)
        deps.stalls.record_stall(self._head.name, self._silence_s)
        deps.record_failure(self._head, 'stalled')

    def _handle_break(self, exc) -> None:
        """Records that no answer came, or that it broke off."""
        deps, state, head = self._deps, self._state, self._head
        state.reason = exc.message
        state.excluded_heads.add(head.name)
        if exc.sent:
            self._evidence.record_cut_off(head)
            state.attempts.record_failure(self._number)
        else:
            state.unreached += 1
            del state.run_heads[self._number]
            state.attempts.record_refusal(self._number, deps.clock.now())
        deps.record_failure(head, exc.message, eject_now=not exc.sent)
        self._log_failure('broken' if exc.sent else 'not_run')

    def _log_failure(self, end: str) -> None:
        state = self._state
        self._deps.outcomes.log_decision(
            state.req,
            'attempt_failed',
            upstream=self._head.name,
            group=self._head.membership.group,
            attempt=self._number,
            end=end,
            reason=state.reason,
            runs=state.attempts.runs,
            after_event=state.last_event_id,
            parts=','.join(state.req.crash_keys),
        )

    async def _handle_error_response(self, reservation) -> None:
        """Handles a status other than 200; updates the state of the head."""
        deps, state, head = self._deps, self._state, self._head
        response = self._response
        reason = f'status {response.status}'
        if response.not_run:
            await response.discard()
            if response.misdirected:
                deps.heads.mark_closed(head)
            elif response.failed_upstream:
                deps.record_failure(
                    head,
                    f'reported failure of {response.failed_upstream}',
                    eject_now=True,
                )
            else:
                deps.heads.mark_full(reservation, response.retry_after_s)
            del state.run_heads[self._number]
            state.attempts.record_refusal(self._number, deps.clock.now())
        else:
            try:
                async with loops.timeout(ERROR_BODY_TIMEOUT_S):
                    body = await response.read()
            except TimeoutError:
                raise errors.UpstreamError(
                    f'body of {reason} did not end', 'body', head.name
                )
            state.error_response = _types.Response(
                response.status, response.headers, body
            )
            deps.record_failure(head, reason)
            del state.run_heads[self._number]  # this run always counts
            state.attempts.record_failure(self._number)
        state.reason = reason
        state.excluded_heads.add(head.name)
        self._log_failure('not_run' if response.not_run else 'failed')

    async def _forward_stream(self) -> None:
        """Forwards events to the client until the stream ends.

        Raises:
            UpstreamError: If the stream was broken off. Regular framing does
                not rule that out: a stream may end with its connection.
        """
        deps, state, head = self._deps, self._state, self._head
        splitter, response = self._splitter, self._response
        while chunk := await response.next_chunk():
            events = splitter.feed(chunk)
            if len(splitter.remainder) > EVENT_BYTES_MAX:
                raise errors.UpstreamError(
                    f'event exceeds {EVENT_BYTES_MAX} bytes', 'body', head.name
                )
            if not events:
                continue
            self._evidence.record_events(len(events))
            deps.links.record_contact()
            now = deps.clock.now()
            if not self._is_begun:
                latency_s = now - self._sent_at
                deps.stalls.record_first_event(head.name, latency_s)
                deps.heads.warmup.record_first_event(head, latency_s)
                self._is_begun = True
            else:
                deps.stalls.record_gap(head.name, now - self._progress_at)
            self._progress_at = now
            # A client that reads slowly must not count as a silent upstream.
            self._timer.disarm()
            await self._forward_events(response, events)
            self._timer.arm(
                deps.stalls.gap_timeout_s(head.name, state.longest_pass_s)
            )
        self._timer.disarm()
        self._ensure_whole()
        self._claim()
        await self._finish(response)
        self._evidence.record_end()
        if state.req.last_event_id is None:
            self._durations.record(
                state.service,
                state.answer_tokens,
                deps.clock.now() - state.first_sent_at,
            )
        deps.health.record_success(head.name)

    def _ensure_whole(self) -> None:
        """Checks that a stream that has ended was not broken off.

        Raises:
            UpstreamError: If it was.
        """
        response, remainder = self._response, self._splitter.remainder
        if response.ends_with_connection or remainder:
            self._deps.outcomes.log_decision(
                self._state.req,
                'stream_end_unframed',
                upstream=self._head.name,
                with_connection=response.ends_with_connection,
                left_bytes=len(remainder),
                after_event=self._state.last_event_id,
            )
        if remainder.strip():
            raise errors.UpstreamError(
                'stream ended inside an event', 'body', self._head.name
            )
        if response.ends_with_connection and not self._is_begun:
            raise errors.UpstreamError(
                'connection closed before the first event',
                'body',
                self._head.name,
            )

    # To the client.

    def _claim(self) -> None:
        """Takes the answer over: closes all other attempts."""
        state = self._state
        closed = state.attempts.record_event(self._number)
        state.silent.discard(self._number)
        if not closed:
            return
        for number in closed:
            state.tasks[number].cancel()
        self._deps.outcomes.log_decision(
            state.req,
            'attempt_won',
            upstream=self._head.name if self._head is not None else '',
            attempt=self._number,
            closed=','.join(str(number) for number in closed),
            after_event=state.last_event_id,
        )

    async def _forward_events(self, response, events) -> None:
        """Sends the client those events that it does not have yet."""
        state = self._state
        pending = []
        for event in events:
            if event.event_id is not None:
                if (
                    state.last_event_id is not None
                    and event.event_id <= state.last_event_id
                ):
                    continue  # the client already has it
                state.last_event_id = event.event_id
            pending.append(event.data)
        if not pending and state.has_other_open(self._number):
            return
        self._claim()
        if not state.is_started:
            if self._head is not None:  # the relay records its own
                self._deps.outcomes.record_first_event(state.req)
                self._record_if_late()
            await state.sink.start(response.status, response.headers)
        state.last_event_at = self._deps.clock.now()
        if pending:
            await state.sink.write(b''.join(pending))

    def _record_if_late(self) -> None:
        """Has less urgent requests yield if the first event is late."""
        state = self._state
        target_s = state.route.latency_target_ms / 1000
        if self._deps.clock.now() > state.req.arrived_at + target_s:
            self._deps.heads.record_late(
                state.service, state.req.model, state.priority
            )

    async def _finish(self, response) -> None:
        """Ends the client's answer as complete."""
        sink = self._state.sink
        if not sink.is_started:
            await sink.start(response.status, response.headers)
        if self._splitter.remainder:
            await sink.write(self._splitter.remainder)  # blank lines
        sink.is_finished = True
        await sink.finish()
        self._state.attempts.record_end(self._number)

    # Through another node.

    async def relay(self, max_runs: int) -> None:
        """Runs the attempt through another node until its answer ends.

        Args:
            max_runs: How often the request may run there.
        """
        deps, state = self._deps, self._state
        state.attempts.record_sent(self._number, max_runs)
        sink = _RelayedSink(self)
        response = await deps.relay.serve(
            state.req,
            state.deadline,
            max_runs,
            sink,
            resumed=(state.last_event_id or 0) if state.is_started else None,
        )
        if response is None:
            if sink.abort_reason:
                state.reason = sink.abort_reason
                state.attempts.record_failure(self._number)
            return
        state.reason = response.reason
        if response.status == 503 and response.reason:
            state.refusal = response
            state.attempts.record_refusal(
                self._number, deps.clock.now(), is_final=True
            )
        else:
            state.error_response = response
            state.attempts.record_failure(self._number, is_final=True)

    async def forward_relayed(self, response, data: bytes) -> None:
        """Forwards events from another node.

        Args:
            response: Status and headers.
            data: Bytes of the body.

        Raises:
            UpstreamError: If an event is too long.
        """
        events = self._splitter.feed(data)
        if len(self._splitter.remainder) > EVENT_BYTES_MAX:
            raise errors.UpstreamError(
                f'event exceeds {EVENT_BYTES_MAX} bytes', 'body', 'relay'
            )
        if events:
            await self._forward_events(response, events)

    async def finish_relayed(self, response) -> None:
        """Ends an answer from another node.

        Args:
            response: Status and headers.

        Raises:
            UpstreamError: If it ended inside an event.
        """
        if self._splitter.remainder.strip():
            raise errors.UpstreamError(
                'stream ended inside an event', 'body', 'relay'
            )
        self._claim()
        await self._finish(response)


class _RelayedSink(_types.BaseSink):
    """Passes what another node answers to an attempt.

    Args:
        attempt: The attempt.
    """

    def __init__(self, attempt: StreamAttempt):
        self._attempt = attempt
        self._head = _types.Response(200)

    async def start(self, status: int, headers) -> None:
        """Keeps status and headers; see the base class."""
        self.is_started = True
        self._head = _types.Response(status, headers)

    async def write(self, data: bytes) -> None:
        """Forwards the events; see the base class."""
        await self._attempt.forward_relayed(self._head, data)

    async def finish(self) -> None:
        """Ends the answer; see the base class."""
        await self._attempt.finish_relayed(self._head)

    def _abort(self) -> None:
        """Leaves the answer to other attempts."""
