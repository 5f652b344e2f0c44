"""Execution of chat requests: attempts, retries and complete answers."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import uuid

from plantainway import errors
from plantainway import logs
from plantainway import metrics
from plantainway.requests import _affinity
from plantainway.requests import _streams
from plantainway import upstreams

ATTEMPTS_MAX = 4
ANSWER_MAX_BYTES = 4 << 20
SILENCE_LOG_S = 5.0  # a stream without a piece for longer is logged once
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """An admitted chat request; ``deadline`` is monotonic seconds.

    ``position`` and ``prefix`` are the number of pieces and the text of the
    answer that the caller already has. ``resume_after`` is the id of the
    last event that the caller received, if it resumes a stream.
    """

    req_id: str
    account: str
    rank: int
    model: str
    body: dict
    deadline: float
    position: int = 0
    prefix: str = ''
    resume_after: 'EventId | None' = None


@dataclasses.dataclass(frozen=True, slots=True)
class EventId:
    """Id of a streamed event, with all that is needed to resume after it.

    ``token`` is the fencing token of the copy, ``position`` the number of
    pieces of the answer up to and including the event.
    """

    copy_id: str
    token: int
    attempt: str
    position: int

    def __str__(self) -> str:
        return f'{self.copy_id}.{self.token}.{self.attempt}.{self.position}'


def parse_event_id(text: str) -> EventId:
    """Parses the value of a ``Last-Event-ID`` header.

    Args:
        text: Header value.

    Returns:
        The event id.

    Raises:
        BadRequestError: If it is not a valid event id.
    """
    try:
        copy_id, token, attempt, position = text.split('.')
        return EventId(copy_id, int(token), attempt, int(position))
    except ValueError:
        raise errors.BadRequestError(
            'malformed Last-Event-ID header', 'resume'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """One streamed event for the caller; ``data`` is a JSON chat chunk.

    ``end`` marks the event that ends the answer.
    """

    event_id: EventId
    data: bytes
    end: bool


def chunk_text(data: bytes) -> str:
    """Returns the text that a chat chunk appends to the answer.

    Args:
        data: JSON of the chunk.
    """
    choices = json.loads(data).get('choices') or [{}]
    return choices[0].get('delta', {}).get('content') or ''


class ChatRunner:
    """Runs chat requests on copies and retries failed attempts.

    ``outcomes`` counts the ended requests: ``whole`` for a complete
    answer, otherwise the code of the error. A request whose caller leaves is
    not counted. ``first_piece_latency`` measures from the start of ``run`` to
    the first piece.

    Args:
        view: Route view.
        parts: Shared parts of the node.
        budget: Retry budget of the node.
        dispatcher: Assigns slots of copies to requests.
    """

    def __init__(self, view, parts, budget, dispatcher):
        self._view = view
        self._parts = parts
        self._retry_budget = budget
        self._dispatcher = dispatcher
        self.outcomes: collections.Counter = collections.Counter()
        self.first_piece_latency = metrics.LatencyHistogram()

    async def run(self, req: ChatRequest):
        """Yields the pieces of an answer, the end event included.

        Each call adds to the retry budget. A first attempt that resumes a
        stream takes no slot.

        Args:
            req: The request.

        Raises:
            NotRunError: If the request was refused and has not run.
            OutcomeUnknownError: If the answer broke off and can't be
                completed; the caller may resume after its last piece.
            ResumeLostError: If the attempt to resume no longer exists.
            DeadlineError: If the deadline passed during an attempt.
        """
        self._retry_budget.deposit()
        run = _ChatExecution(
            req, self._view, self._parts, self._retry_budget, self._dispatcher
        )
        started_at = self._parts.clock.now()
        first = True
        try:
            async for piece in run.stream_pieces():
                if first:
                    first = False
                    waited_s = self._parts.clock.now() - started_at
                    self.first_piece_latency.record(waited_s)
                yield piece
            self.outcomes['whole'] += 1
        except errors.PlantainwayError as exc:
            self.outcomes[exc.code] += 1
            raise
        finally:
            run.record_outcome()


async def _cancel_attempt(engine, attempt: str) -> None:
    """Cancels an attempt at its engine.

    Errors are ignored: the engine also ends the attempt at its deadline.
    """
    with contextlib.suppress(errors.UpstreamError):
        await engine.cancel(attempt)


class _InterTokenGap:
    """Measures the mean time between the pieces of one attempt."""

    def __init__(self, clock):
        self._clock = clock
        self._first_at = 0.0
        self._last_at = 0.0
        self._count = 0

    def record_piece(self) -> None:
        """Records that a piece has arrived now."""
        self._last_at = self._clock.now()
        if not self._count:
            self._first_at = self._last_at
        self._count += 1

    def mean_s(self) -> float:
        """Returns the mean in seconds, 0 for fewer than three pieces."""
        if self._count < 3:
            return 0.0
        return (self._last_at - self._first_at) / (self._count - 1)


class _SilenceLog:
    """Logs that an attempt has had no piece for ``SILENCE_LOG_S``.

    Args:
        inputs: Log keys that describe the attempt.
    """

    def __init__(self, **inputs):
        self._inputs = inputs
        self._loop = asyncio.get_running_loop()
        self._timer = None
        self.restart(0)

    def restart(self, position: int) -> None:
        """Waits anew, after a piece has arrived.

        Args:
            position: Position of the piece in the answer.
        """
        self.stop()
        self._timer = self._loop.call_later(SILENCE_LOG_S, self._log, position)

    def stop(self) -> None:
        """Ends the waiting."""
        if self._timer is not None:
            self._timer.cancel()

    def _log(self, position: int) -> None:
        logs.event(
            'stream_silent', 'WARNING', position=position, **self._inputs
        )


class _ChatExecution:
    """State of one chat request over all its attempts."""

    def __init__(self, req, view, parts, budget, dispatcher):
        self._req = req
        self._dispatcher = dispatcher
        self._digests = _affinity.prefix_digests(req.body.get('messages'))
        self._view = view
        self._parts = parts
        self._retry_budget = budget
        self._excluded = set()
        self._position = req.position
        self._received: list[bytes] = []
        self._received_bytes = 0
        self._attempts_sent = 0
        self._sent_for = req.account
        self._end_position = None
        self._outcome = 'caller_gone'
        self._copy = None
        self._engine_priority = 0
        self._was_draining = False
        self._failure = None

    async def stream_pieces(self):
        """Yields the pieces of the answer; retries failed attempts."""
        for number in range(ATTEMPTS_MAX):
            self._failure = None
            async with contextlib.aclosing(
                self._run_attempt(number)
            ) as stream:
                async for piece in stream:
                    yield piece
                    if piece.end:
                        self._outcome = 'whole'
                        return
            self._require_retry_allowed()
        if self._attempts_sent == 0:
            self._refuse(
                'all attempts failed before the request was sent',
                'unavailable',
                2,
            )
        self._raise_broken_off()

    def record_outcome(self) -> None:
        """Writes the outcome to the evidence if an attempt was sent."""
        if self._attempts_sent:
            self._parts.evidence.record(
                'answer',
                req=self._req.req_id,
                account=self._req.account,
                sent_for=self._sent_for,
                outcome=self._outcome,
                pieces=self._position,
                end=self._end_position,
            )

    async def _run_attempt(self, number: int):
        if number == 0 and self._req.resume_after is not None:
            copy = self._copy_to_resume(self._req.resume_after)
            self._position = self._req.resume_after.position
            async for piece in self._stream_attempt(
                copy, self._req.resume_after
            ):
                yield piece
            return
        slot = await self._acquire_slot()
        try:
            self._view.prefix_index.record(slot.copy.copy_id, self._digests)
            self._engine_priority = slot.engine_priority
            async for piece in self._stream_attempt(slot.copy, None):
                yield piece
        finally:
            self._dispatcher.release(slot)

    async def _acquire_slot(self):
        if self._parts.clock.now() >= self._req.deadline:
            self._refuse(
                'deadline passed before the request was sent', 'deadline', 1
            )
        try:
            return await self._dispatcher.acquire(
                self._req, self._excluded, self._digests
            )
        except errors.NotRunError as exc:
            self._refuse(exc.message, exc.reason, exc.retry_after_s, exc.step)

    async def _stream_attempt(self, copy, resume):
        """Sends or resumes an attempt and yields its validated pieces.

        A failure of the upstream ends the iterator and is kept for
        ``_require_retry_allowed``.
        """
        attempt = resume.attempt if resume else uuid.uuid4().hex
        self._copy = copy
        head = copy.members[0][0]
        validator = _streams.AnswerValidator(attempt, self._position, head)
        self._record_send(copy, attempt, resume)
        events = self._open_stream(copy, attempt, head, resume)
        gap = _InterTokenGap(self._parts.clock)
        silence = _SilenceLog(
            req=self._req.req_id,
            attempt=attempt,
            copy=copy.copy_id,
            token=copy.token,
            upstream=head,
            resumed=resume is not None,
        )
        try:
            async with (
                upstreams.answer_within(
                    self._req.deadline - self._parts.clock.now()
                ),
                contextlib.aclosing(events) as stream,
            ):
                async for event in stream:
                    if not validator.accept(event):
                        continue
                    self._position = validator.position
                    self._buffer(event)
                    gap.record_piece()
                    silence.restart(self._position)
                    yield Piece(
                        EventId(
                            copy.copy_id,
                            copy.token,
                            attempt,
                            validator.position,
                        ),
                        event.data,
                        event.end,
                    )
            if validator.has_ended and gap.mean_s():
                self._view.inter_token_latency.record(
                    copy.copy_id, gap.mean_s()
                )
        except errors.ResumeLostError:
            self._outcome = 'resume_lost'
            raise
        except errors.UpstreamError as exc:
            # An engine ends the attempt at the deadline by itself.
            if exc.sent and self._parts.clock.now() >= self._req.deadline:
                self._cancel_expired(copy, attempt, head)
            self._record_failure(exc, copy, attempt, head)
        except TimeoutError:
            self._cancel_expired(copy, attempt, head)
        finally:
            silence.stop()

    def _cancel_expired(self, copy, attempt: str, head: str):
        """Cancels an attempt whose deadline has passed, and raises."""
        address = self._view.objects.get('upstream', head).address
        engine = self._parts.engines(head, address)
        self._parts.spawn(_cancel_attempt(engine, attempt))
        self._outcome = 'deadline'
        raise errors.DeadlineError(
            'deadline passed during an attempt', 'chat', head
        )

    def _open_stream(self, copy, attempt, head, resume):
        address = self._view.objects.get('upstream', head).address
        engine = self._parts.engines(head, address)
        if resume is not None:
            return engine.resume(attempt, self._req.account, resume.position)
        prefix = self._req.prefix + ''.join(map(chunk_text, self._received))
        return engine.chat(
            upstreams.ChatCall(
                attempt,
                self._req.account,
                copy.copy_id,
                copy.token,
                self._req.body,
                self._req.deadline,
                self._engine_priority,
                prefix,
                self._position,
                self._req.req_id,
            )
        )

    def _copy_to_resume(self, resume: EventId):
        copy = self._parts.copies.get(resume.copy_id)
        if copy is None or copy.token != resume.token or not copy.members:
            raise errors.ResumeLostError(
                'the copy that ran the attempt is gone', 'resume'
            )
        return copy

    def _refuse(self, text, reason: str, retry_after_s: int, step='route'):
        """Raises NotRunError, or another error if an attempt was sent."""
        if self._attempts_sent:
            self._raise_broken_off()
        self._parts.evidence.record(
            'refuse', req=self._req.req_id, reason=reason
        )
        raise errors.NotRunError(
            text, step, reason=reason, retry_after_s=retry_after_s
        )

    def _raise_broken_off(self):
        exc = self._failure
        self._outcome = 'failed'
        self._parts.evidence.record(
            'cut', req=self._req.req_id, planned=self._was_draining
        )
        raise errors.OutcomeUnknownError(
            'the answer broke off' + (f': {exc.message}' if exc else ''),
            exc.step if exc else 'chat',
            exc.peer if exc else '',
        )

    def _record_send(self, copy, attempt, resume) -> None:
        verdict = self._view.verdict_for(copy)
        oldest_ms = (
            self._parts.clock.now() - verdict.oldest_seen_at
        ) * _MS_PER_S
        self._parts.evidence.record(
            'send' if resume is None else 'resume',
            req=self._req.req_id,
            account=self._req.account,
            attempt=attempt,
            copy=copy.copy_id,
            token=copy.token,
            upstreams=[vm for vm, _boot in copy.members],
            oldest_ms=round(oldest_ms),
        )
        self._attempts_sent += 1

    def _buffer(self, event) -> None:
        if event.end:
            self._end_position = event.position
            return
        self._received.append(event.data)
        self._received_bytes += len(event.data)
        if self._received_bytes > ANSWER_MAX_BYTES:
            self._outcome = 'failed'
            raise errors.OutcomeUnknownError(
                f'the answer exceeds {ANSWER_MAX_BYTES} bytes', 'stream'
            )

    def _record_failure(self, exc, copy, attempt, head) -> None:
        self._failure = exc
        self._excluded.add(copy.copy_id)
        current = self._parts.copies.get(copy.copy_id)
        self._was_draining = (
            current is not None and current.state == 'draining'
        )
        logs.event(
            'attempt_failed',
            'WARNING',
            req=self._req.req_id,
            attempt=attempt,
            copy=copy.copy_id,
            token=copy.token,
            position=self._position,
            code=exc.code,
            reason=exc.message,
        )
        if not exc.sent:
            self._attempts_sent -= 1
            self._parts.evidence.record(
                'unsent', req=self._req.req_id, attempt=attempt
            )
        else:
            self._parts.evidence.record(
                'broken', req=self._req.req_id, planned=self._was_draining
            )
        if not isinstance(exc, errors.OrderRefusedError):
            self._parts.vm_observations.mark_suspected(head)

    def _require_retry_allowed(self) -> None:
        exc = self._failure
        if exc is None:
            exc = self._failure = errors.UpstreamError(
                'the stream ended without an end event', 'stream'
            )
        if exc.sent and not self._retry_budget.withdraw():
            self._raise_broken_off()
