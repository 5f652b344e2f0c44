"""State of one streamed answer, shared by its attempts."""

import asyncio
import dataclasses

from plantainway.traffic import _attempts
from plantainway.traffic import _types


@dataclasses.dataclass(slots=True, eq=False)
class StreamState:
    """State of one streamed answer over all its attempts.

    ``open_attempts`` holds the attempts by number, ``tasks`` what runs them;
    ``changed`` is set after each event of one. ``run_heads`` are those that
    attempts were sent to and that did not refuse them, ``silent`` the attempts
    whose silence was counted against their heads. ``unreached`` counts the
    attempts for which no connection could be opened. ``error_response`` is
    that of an attempt that ran, ``refusal`` the answer if none did.
    ``prefill_s`` is how long an engine reads a typical prompt. Times are
    monotonic seconds.
    """

    req: _types.Request
    sink: _types.BaseSink
    route: object
    service: str
    account: str
    priority: int
    deadline: float
    client_gone_at: float
    last_event_id: int | None
    attempts: _attempts.AnswerAttempts
    longest_pass_s: float = 0.0
    prefill_s: float = 0.0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    tasks: dict[int, asyncio.Task] = dataclasses.field(default_factory=dict)
    open_attempts: dict = dataclasses.field(default_factory=dict)
    run_heads: dict = dataclasses.field(default_factory=dict)
    silent: set[int] = dataclasses.field(default_factory=set)
    excluded_heads: set = dataclasses.field(default_factory=set)
    sent_heads: set = dataclasses.field(default_factory=set)
    unreached: int = 0
    first_sent_at: float = 0.0
    last_event_at: float = 0.0
    error_response: _types.Response | None = None
    refusal: _types.Response | None = None
    reason: str = ''

    @property
    def answer_tokens(self) -> int:
        """Number of tokens of the answer, 0 if unknown."""
        return self.req.answer_tokens or self.req.length_hint

    @property
    def is_started(self) -> bool:
        """Whether the client's answer has begun, here or by a relay."""
        return self.sink.is_started

    @property
    def open_heads(self) -> set[str]:
        """Names of the heads at which attempts are open."""
        numbers = self.attempts.open_numbers
        return {
            head.name
            for number, head in self.run_heads.items()
            if number in numbers
        }

    def has_other_open(self, number: int) -> bool:
        """Returns whether another attempt than this one is open.

        Args:
            number: Number of the attempt.
        """
        return any(item != number for item in self.attempts.open_numbers)
