"""Decides which attempts of one answer are open, and when it ends.

Load that it answers: heads that fall silent and go on, heads that break, and
heads that are full while an answer that has begun needs another one. A silent
attempt stays open until another one has delivered an event, since a silence is
no failure. Pure: events and times are passed in.
"""

import dataclasses
import enum
import math

MAX_OPEN = 4  # attempts at once; the route's limit of runs is usually lower
MAX_REFUSALS = 4  # of requests sent beside a silent attempt or none
# Pauses between refusals of an answer that goes on; doubled each time.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
RECHECK_S = 0.1  # while silent attempts are all that may be open


class Phase(enum.Enum):
    """Phase of an open attempt."""

    OPENING = 'opening'  # nothing was sent
    RUNNING = 'running'  # it may run at an upstream
    SILENT = 'silent'  # the same, and nothing has come for too long


class Action(enum.Enum):
    """What to do next for an answer."""

    OPEN = 'open'
    WAIT = 'wait'
    END = 'end'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The next action; ``at`` is when to decide again at the latest."""

    action: Action
    at: float = math.inf


class AnswerAttempts:
    """The attempts of one answer.

    Attempts have numbers in the order in which they were opened.

    Args:
        is_idempotent: Whether the request may run more than once.
        run_limit: How often it may run.
        has_begun: Whether the client has a part of the answer.

    Attributes:
        runs: Attempts that may have run, open ones included.
        sends: Attempts that were sent.
        refusals: Attempts that were refused since the last event or failure.
        is_complete: Whether an attempt has delivered the whole answer.
    """

    def __init__(self, is_idempotent: bool, run_limit: int, has_begun=False):
        self._is_idempotent = is_idempotent
        self._run_limit = run_limit
        self._has_begun = has_begun
        self._phases: dict[int, Phase] = {}
        self._runs_of: dict[int, int] = {}
        self._opened = 0
        self._retry_at = 0.0
        self._backoff_s = MIN_BACKOFF_S
        self._is_final = False
        self._is_ended = False
        self.runs = 0
        self.sends = 0
        self.refusals = 0
        self.is_complete = False

    @property
    def open_numbers(self) -> tuple[int, ...]:
        """Returns the numbers of the open attempts."""
        return tuple(self._phases)

    @property
    def is_only_silent(self) -> bool:
        """Returns whether attempts are open and all of them are silent."""
        return bool(self._phases) and all(
            phase is Phase.SILENT for phase in self._phases.values()
        )

    def open(self) -> int:
        """Records that an attempt is opened; returns its number."""
        self._opened += 1
        self._phases[self._opened] = Phase.OPENING
        return self._opened

    def record_sent(self, number: int, max_runs: int = 1) -> None:
        """Records that an attempt is about to be sent: it may run.

        Args:
            number: Number of the attempt.
            max_runs: How often it may run, through another node.
        """
        self._phases[number] = Phase.RUNNING
        self._runs_of[number] = max_runs
        self.sends += 1
        self.runs += max_runs

    def record_silence(self, number: int) -> None:
        """Records that an attempt has sent nothing for too long.

        Args:
            number: Number of the attempt.
        """
        if self._phases.get(number) is Phase.RUNNING:
            self._phases[number] = Phase.SILENT

    def record_event(self, number: int) -> tuple[int, ...]:
        """Records that an attempt delivers an event: it goes on alone.

        Args:
            number: Number of the attempt.

        Returns:
            The other open attempts, which are to be closed.
        """
        others = tuple(item for item in self._phases if item != number)
        for item in others:
            del self._phases[item]
        self._phases[number] = Phase.RUNNING
        self._has_begun = True
        self._forget_refusals()
        return others

    def _forget_refusals(self) -> None:
        self.refusals = 0
        self._backoff_s = MIN_BACKOFF_S

    def record_refusal(
        self,
        number: int,
        now: float,
        is_final: bool = False,
        is_lasting: bool = False,
    ) -> None:
        """Records that an attempt was refused, so that it did not run.

        Args:
            number: Number of the attempt.
            now: Monotonic seconds.
            is_final: As for ``record_failure``.
            is_lasting: Whether further attempts would be refused as well.
        """
        is_sent = self._phases.pop(number) is not Phase.OPENING
        self.runs -= self._runs_of.pop(number, 0)
        self.refusals += is_sent
        self._is_final = is_final
        self._is_ended = is_lasting
        self._retry_at = now + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)

    def record_failure(self, number: int, is_final: bool = False) -> None:
        """Records that an attempt has ended early; it may have run.

        Args:
            number: Number of the attempt.
            is_final: Whether an answer that has not begun and that nothing
                runs for ends with this.
        """
        del self._phases[number]
        self._is_final = is_final
        self._forget_refusals()

    def record_end(self, number: int) -> None:
        """Records that an attempt has delivered the whole answer.

        Args:
            number: Number of the attempt.
        """
        del self._phases[number]
        self.is_complete = True

    def may_run(self, uncounted_runs: int = 0) -> bool:
        """Returns whether one more attempt may run.

        Args:
            uncounted_runs: Runs that do not count, as their upstreams ended.
        """
        if not self._is_idempotent:
            return self.runs == 0
        return self.runs - uncounted_runs < self._run_limit

    def decide(self, now: float, uncounted_runs: int = 0) -> Decision:
        """Returns what to do next.

        Args:
            now: Monotonic seconds.
            uncounted_runs: See ``may_run``.
        """
        if self.is_complete:
            return Decision(Action.END)
        if self._phases and not self.is_only_silent:
            return Decision(Action.WAIT)
        may_open = self._may_open(uncounted_runs)
        if not self._phases and not self._has_begun:
            return self._decide_without_begin(may_open)
        if may_open and now >= self._retry_at:
            return Decision(Action.OPEN)
        if may_open:
            return Decision(Action.WAIT, self._retry_at)
        if self._phases:
            return Decision(Action.WAIT, now + RECHECK_S)
        return Decision(Action.END)

    def _may_open(self, uncounted_runs: int) -> bool:
        """Returns whether one more attempt may be opened, now or later.

        A silent attempt is left alone once requests that were sent beside it
        have been refused several times: each is one more arrival at a head.
        """
        if self._is_ended or len(self._phases) >= MAX_OPEN:
            return False
        if self._phases and self.refusals >= MAX_REFUSALS:
            return False
        return self.may_run(uncounted_runs)

    def _decide_without_begin(self, may_open: bool) -> Decision:
        """Decides for an answer that has not begun and that nothing runs for.

        Its client is better off with a refusal at once than with a wait.
        """
        is_refused = self._is_final or self.refusals >= MAX_REFUSALS
        if may_open and not is_refused:
            return Decision(Action.OPEN)
        return Decision(Action.END)
