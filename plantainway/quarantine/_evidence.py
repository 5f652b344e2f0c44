"""What one node sees of parts of prompts and of engines that crash."""

import collections
import dataclasses

REPORT_TTL_S = 30.0
REPORTS_MAX = 64
# Parts whose last survival is kept; the one that survived longest ago goes.
SURVIVALS_MAX = 4096
# Ids of whole requests; the colon keeps them apart from parts of prompts.
FINGERPRINT_PREFIX = 'request:'


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A run that ended before its engine had written an event of it.

    ``engine`` and ``started_ms`` name the incarnation of the engine. ``parts``
    are the shared parts of the request's prompt, in their order, and the
    fingerprint of the request. ``age_ms`` counts from the end of the run to
    the sending of the report.
    """

    engine: str
    started_ms: int
    parts: list[str]
    age_ms: int


class EvidenceRecorder:
    """Records runs that were cut off at their beginning, and others.

    A part *survives* when an engine goes on writing after the first event of
    a request with it.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._reports: collections.deque = collections.deque(
            maxlen=REPORTS_MAX
        )
        self._survived_at: collections.OrderedDict = collections.OrderedDict()

    def record_survival(self, parts) -> None:
        """Records that an engine went on writing an answer.

        Args:
            parts: Shared parts of the prompt and the fingerprint.
        """
        for part in parts:
            self._survived_at[part] = self._clock.now()
            self._survived_at.move_to_end(part)
        while len(self._survived_at) > SURVIVALS_MAX:
            self._survived_at.popitem(last=False)

    def record_cut_off(self, engine, parts) -> None:
        """Records a run that ended before a second event.

        Args:
            engine: The upstream, as it was known when the run began.
            parts: Shared parts of the prompt and the fingerprint; nothing is
                recorded without any.
        """
        if parts:
            report = CrashReport(
                engine.name, engine.started_ms, list(parts), 0
            )
            self._reports.append((self._clock.now(), report))

    def reports(self) -> list[CrashReport]:
        """Returns the reports of the last ``REPORT_TTL_S``."""
        now = self._clock.now()
        while self._reports and now - self._reports[0][0] > REPORT_TTL_S:
            self._reports.popleft()
        return [
            dataclasses.replace(report, age_ms=int((now - at) * 1000))
            for at, report in self._reports
        ]

    def survival_ages_ms(self, parts) -> dict[str, int]:
        """Returns how long ago parts survived here, as far as they have.

        Args:
            parts: Ids of the parts asked for.

        Returns:
            Milliseconds by part.
        """
        now = self._clock.now()
        return {
            part: int((now - self._survived_at[part]) * 1000)
            for part in parts
            if part in self._survived_at
        }


class RunEvidence:
    """Records what one run of a request shows about its prompt.

    Engines crash when they begin to write an answer. A run whose engine has
    gone on after the first event speaks for all parts of the prompt.

    Args:
        recorder: Evidence of this node.
        parts: Shared parts of the prompt and the fingerprint.
    """

    def __init__(self, recorder, parts):
        self._recorder = recorder
        self._parts = parts
        self._events = 0

    def record_events(self, count: int) -> None:
        """Counts events that have arrived."""
        before = self._events
        self._events += count
        if before <= 1 < self._events:
            self._recorder.record_survival(self._parts)

    def record_end(self) -> None:
        """Records that the engine has ended the answer."""
        if self._events <= 1:
            self._recorder.record_survival(self._parts)

    def record_cut_off(self, engine) -> None:
        """Records that the run ended without an end of its answer."""
        if self._events <= 1:
            self._recorder.record_cut_off(engine, self._parts)
