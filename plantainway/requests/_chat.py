"""Chat requests: attempts, retries and whole answers."""

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
_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """An admitted chat request; ``deadline`` is monotonic seconds.

    ``position`` and ``prefix`` are the part of the answer that the caller
    already has, ``resume`` the event id to go on after.
    """

    req_id: str
    account: str
    rank: int
    model: str
    body: dict
    deadline: float
    position: int = 0
    prefix: str = ''
    resume: 'EventId | None' = None


@dataclasses.dataclass(frozen=True, slots=True)
class EventId:
    """Id of a streamed event; names all that is needed to resume."""

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
        BadRequestError: If it has another form.
    """
    try:
        copy_id, token, attempt, position = text.split('.')
        return EventId(copy_id, int(token), attempt, int(position))
    except ValueError:
        raise errors.BadRequestError('malformed Last-Event-ID', 'resume')


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """One event for the caller."""

    event_id: EventId
    data: bytes
    end: bool


def chunk_text(data: bytes) -> str:
    """Returns the text that a chat chunk adds to the answer.

    Args:
        data: JSON of the chunk.
    """
    choices = json.loads(data).get('choices') or [{}]
    return choices[0].get('delta', {}).get('content') or ''


class ChatRunner:
    """Runs chat requests on copies.

    Args:
        view: Route view.
        parts: Shared parts of the node.
        budget: Retry budget of the node.
        dispatcher: Gives requests slots at copies.
    """

    def __init__(self, view, parts, budget, dispatcher):
        self._view = view
        self._parts = parts
        self._budget = budget
        self._dispatcher = dispatcher
        self.outcomes: collections.Counter = collections.Counter()
        self.first_piece_latency = metrics.LatencyHistogram()

    async def run(self, req: ChatRequest):
        """Yields the pieces of an answer until its end mark.

        Args:
            req: The request.

        Raises:
            NotRunError: If it was refused and has not run.
            OutcomeUnknownError: If the answer broke off and can't be
                completed; the caller may resume after its last piece.
            ResumeLostError: If the attempt to resume is gone.
        """
        self._budget.deposit()
        run = _Run(
            req, self._view, self._parts, self._budget, self._dispatcher
        )
        started_at = self._parts.clock.now()
        first = True
        try:
            async for piece in run.pieces():
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
            run.close()


async def _cancel(engine, attempt: str) -> None:
    """Tells an engine to end an attempt; its own deadline ends it too."""
    with contextlib.suppress(errors.UpstreamError):
        await engine.cancel(attempt)


class _Pace:
    """Mean gap between the pieces of one attempt."""

    def __init__(self, clock):
        self._clock = clock
        self._first_at = 0.0
        self._last_at = 0.0
        self._count = 0

    def note(self) -> None:
        """Notes that a piece has arrived."""
        self._last_at = self._clock.now()
        if not self._count:
            self._first_at = self._last_at
        self._count += 1

    def gap_s(self) -> float:
        """Returns the mean gap in seconds, 0 if there were too few."""
        if self._count < 3:
            return 0.0
        return (self._last_at - self._first_at) / (self._count - 1)


class _Run:
    """One request over all its attempts."""

    def __init__(self, req, view, parts, budget, dispatcher):
        self._req = req
        self._dispatcher = dispatcher
        self._digests = _affinity.prefix_digests(req.body.get('messages'))
        self._view = view
        self._parts = parts
        self._budget = budget
        self._excluded = set()
        self._position = req.position
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._attempts_sent = 0
        self._sent_for = req.account
        self._end = None
        self._outcome = 'caller_gone'
        self._copy = None
        self._priority = 0
        self._planned = False
        self._failure = None

    async def pieces(self):
        """Yields pieces over as many attempts as are allowed."""
        for number in range(ATTEMPTS_MAX):
            self._failure = None
            async with contextlib.aclosing(self._attempt(number)) as stream:
                async for piece in stream:
                    yield piece
                    if piece.end:
                        self._outcome = 'whole'
                        return
            self._check_retry()
        if self._attempts_sent == 0:
            self._refuse('no copy took the request', 'unavailable', 2)
        self._fail()

    def close(self) -> None:
        """Records how the request ended."""
        if self._attempts_sent:
            self._parts.evidence.record(
                'answer',
                req=self._req.req_id,
                account=self._req.account,
                sent_for=self._sent_for,
                outcome=self._outcome,
                pieces=self._position,
                end=self._end,
            )

    async def _attempt(self, number: int):
        if number == 0 and self._req.resume is not None:
            copy = self._resumable(self._req.resume)
            self._position = self._req.resume.position
            async for piece in self._read(copy, self._req.resume):
                yield piece
            return
        slot = await self._slot()
        try:
            self._view.prefixes.note(slot.copy.copy_id, self._digests)
            self._priority = slot.priority
            async for piece in self._read(slot.copy, None):
                yield piece
        finally:
            self._dispatcher.release(slot)

    async def _slot(self):
        if self._parts.clock.now() >= self._req.deadline:
            self._refuse('deadline passed', 'deadline', 1)
        try:
            return await self._dispatcher.slot(
                self._req, self._excluded, self._digests
            )
        except errors.NotRunError as exc:
            self._refuse(exc.message, exc.reason, exc.retry_after_s, exc.step)

    async def _read(self, copy, resume):
        """Yields the pieces of one attempt."""
        attempt = resume.attempt if resume else uuid.uuid4().hex
        self._copy = copy
        head = copy.members[0][0]
        check = _streams.AnswerCheck(attempt, self._position, head)
        self._record_send(copy, attempt, resume)
        events = self._events(copy, attempt, head, resume)
        pace = _Pace(self._parts.clock)
        try:
            async with (
                asyncio.timeout_at(self._loop_deadline()),
                contextlib.aclosing(events) as stream,
            ):
                async for event in stream:
                    if not check.take(event):
                        continue
                    self._position = check.position
                    self._keep(event)
                    pace.note()
                    yield Piece(
                        EventId(
                            copy.copy_id,
                            copy.token,
                            attempt,
                            check.position,
                        ),
                        event.data,
                        event.end,
                    )
            if check.ended and pace.gap_s():
                self._view.pace.note(copy.copy_id, pace.gap_s())
        except errors.ResumeLostError:
            self._outcome = 'resume_lost'
            raise
        except errors.UpstreamError as exc:
            self._note_failure(exc, copy, attempt, head)
        except TimeoutError:
            self._give_up(copy, attempt, head)

    def _loop_deadline(self) -> float:
        left_s = self._req.deadline - self._parts.clock.now()
        return asyncio.get_running_loop().time() + left_s

    def _give_up(self, copy, attempt: str, head: str):
        """Cancels an attempt whose deadline has passed."""
        address = self._view.objects.get('upstream', head).address
        engine = self._parts.engines(head, address)
        self._parts.spawn(_cancel(engine, attempt))
        self._outcome = 'deadline'
        raise errors.DeadlineError('deadline passed', 'chat', head)

    def _events(self, copy, attempt, head, resume):
        address = self._view.objects.get('upstream', head).address
        engine = self._parts.engines(head, address)
        if resume is not None:
            return engine.resume(attempt, self._req.account, resume.position)
        prefix = self._req.prefix + ''.join(map(chunk_text, self._kept))
        return engine.chat(
            upstreams.ChatCall(
                attempt,
                self._req.account,
                copy.copy_id,
                copy.token,
                self._req.body,
                self._req.deadline,
                self._priority,
                prefix,
                self._position,
                self._req.req_id,
            )
        )

    def _resumable(self, resume: EventId):
        copy = self._parts.copies.get(resume.copy_id)
        if copy is None or copy.token != resume.token or not copy.members:
            raise errors.ResumeLostError('the copy is gone', 'resume')
        return copy

    def _refuse(self, text, reason: str, retry_after_s: int, step='route'):
        if self._attempts_sent:
            self._fail()
        self._parts.evidence.record(
            'refuse', req=self._req.req_id, reason=reason
        )
        raise errors.NotRunError(
            text, step, reason=reason, retry_after_s=retry_after_s
        )

    def _fail(self):
        exc = self._failure
        self._outcome = 'failed'
        self._parts.evidence.record(
            'cut', req=self._req.req_id, planned=self._planned
        )
        raise errors.OutcomeUnknownError(
            'the answer broke off' + (f': {exc.message}' if exc else ''),
            exc.step if exc else 'chat',
            exc.peer if exc else '',
        )

    def _record_send(self, copy, attempt, resume) -> None:
        verdict = self._view.verdict(copy)
        oldest_ms = (self._parts.clock.now() - verdict.oldest_seen_at) * _MS
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

    def _keep(self, event) -> None:
        if event.end:
            self._end = event.position
            return
        self._kept.append(event.data)
        self._kept_bytes += len(event.data)
        if self._kept_bytes > ANSWER_MAX_BYTES:
            self._outcome = 'failed'
            raise errors.OutcomeUnknownError(
                f'the answer is over {ANSWER_MAX_BYTES} bytes', 'stream'
            )

    def _note_failure(self, exc, copy, attempt, head) -> None:
        self._failure = exc
        self._excluded.add(copy.copy_id)
        now = self._parts.copies.get(copy.copy_id)
        self._planned = now is not None and now.state == 'draining'
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
                'broken', req=self._req.req_id, planned=self._planned
            )
        if not isinstance(exc, errors.OrderRefusedError):
            self._parts.vm_observations.mark_suspected(head)

    def _check_retry(self) -> None:
        exc = self._failure
        if exc is None:
            exc = self._failure = errors.UpstreamError(
                'the stream ended without its end mark', 'stream'
            )
        if exc.sent and not self._budget.withdraw():
            self._fail()
