"""Finds what the requests that crashed upstreams have in common."""

import dataclasses

from plantainway.quarantine import _evidence

CRASHES_MIN = 3
# A part that has survived this recently takes more crashes in a row, since
# engines that are lost together cut off requests with popular parts, too.
RECENT_SURVIVAL_S = 10.0
CRASHES_AFTER_SURVIVAL_MIN = 5
CRASH_SPAN_MIN_S = 1.0
# An engine that is not found gone within this time has not crashed.
CONFIRM_S = 5.0
CRASH_TTL_S = 60.0
CRASHES_MAX = 64
PARTS_MAX = 64
# Nodes answer within this time when a part last survived.
SURVIVAL_ANSWER_S = 0.5


@dataclasses.dataclass(slots=True)
class _Crash:
    """Crash of one incarnation of an engine, at monotonic seconds.

    ``parts`` are those of the prompts of the requests that it cut off.
    ``is_confirmed`` is set once the engine is gone.
    """

    at: float
    parts: set[str]
    is_confirmed: bool = False


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A part of cut-off requests; times are monotonic seconds.

    ``depths`` holds its position in the prompts by crash, ``requests`` the
    fingerprints of the requests with it, empty ones included.
    """

    watched_since: float
    survived_at: float = float('-inf')
    depths: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    requests: dict[tuple[str, int], set[str]] = dataclasses.field(
        default_factory=dict
    )


class CrashTally:
    """Sums up the evidence of all nodes; used by the leader.

    Each crash is put down to one part, or to a whole request by its
    fingerprint. Among those with enough crashes it is the one that has not
    survived for longest, then the one with most crashes, then the one that
    stands later in the prompt: sound requests share the parts before it. The
    fingerprint stands last. A part takes crashes by two different requests: a
    single one that is sent again says nothing against what others share.

    Args:
        clock: Source of monotonic time.
        is_gone: Function that returns whether an incarnation of an engine,
            given by name and start, is gone.
    """

    def __init__(self, clock, is_gone):
        self._clock = clock
        self._is_gone = is_gone
        self._crashes: dict[tuple[str, int], _Crash] = {}
        self._suspects: dict[str, _Suspect] = {}

    def record_reports(self, reports) -> None:
        """Adds reports of a node, which may repeat known ones.

        Args:
            reports: The reports.
        """
        now = self._clock.now()
        for report in reports:
            key = (report.engine, report.started_ms)
            age_s = report.age_ms / 1000
            crash = self._crashes.get(key)
            if crash is None:
                is_confirmed = self._is_gone(*key)
                if age_s > CONFIRM_S and not is_confirmed:
                    continue
                crash = _Crash(now - age_s, set(), is_confirmed)
                self._crashes[key] = crash
            request = next(filter(_is_fingerprint, report.parts), '')
            for depth, part in enumerate(report.parts):
                crash.parts.add(part)
                suspect = self._suspects.setdefault(part, _Suspect(now))
                suspect.depths[key] = depth
                suspect.requests.setdefault(key, set()).add(request)
        while len(self._crashes) > CRASHES_MAX:
            self._drop(min(self._crashes, key=lambda k: self._crashes[k].at))

    def _drop(self, key) -> None:
        for part in self._crashes.pop(key).parts:
            del self._suspects[part].depths[key]
            del self._suspects[part].requests[key]
            if not self._suspects[part].depths:
                del self._suspects[part]

    def record_survivals(self, ages_ms: dict[str, int]) -> None:
        """Adds a node's answer when the watched parts last survived there.

        Args:
            ages_ms: Milliseconds since then, by part.
        """
        now = self._clock.now()
        for part, age_ms in ages_ms.items():
            suspect = self._suspects.get(part)
            if suspect is not None:
                suspect.survived_at = max(
                    suspect.survived_at, now - age_ms / 1000
                )

    def watched_parts(self) -> list[str]:
        """Returns the parts whose survivals the nodes are to report.

        These are at most ``PARTS_MAX``, those of the most crashes first.
        """
        return sorted(
            self._suspects,
            key=lambda part: (-len(self._suspects[part].depths), part),
        )[:PARTS_MAX]

    def find_part(self, quarantine) -> str | None:
        """Returns a part to quarantine, if the evidence suffices for one.

        Args:
            quarantine: The quarantined parts. Crashes that these explain do
                not count. A quarantined request explains them for other
                requests only: it may have one of its parts to blame.
        """
        if not self._crashes:
            return None
        now = self._clock.now()
        self._update_crashes(now)
        confirmed = {
            key: crash.parts
            for key, crash in self._crashes.items()
            if crash.is_confirmed
        }
        unexplained_by_parts = {
            key
            for key, parts in confirmed.items()
            if quarantine.find(_without_fingerprints(parts)) is None
        }
        unexplained = {
            key
            for key in unexplained_by_parts
            if quarantine.find(confirmed[key]) is None
        }
        best, best_rank = None, ()
        for part, suspect in self._suspects.items():
            if now - suspect.watched_since < SURVIVAL_ANSWER_S:
                continue
            is_request = _is_fingerprint(part)
            keys = [
                key
                for key in suspect.depths
                if key in (unexplained if is_request else unexplained_by_parts)
                and self._crashes[key].at > suspect.survived_at
            ]
            if not is_request and _is_one_request(suspect, keys):
                continue
            times = [self._crashes[key].at for key in keys]
            is_known = quarantine.is_on_probation(part)
            if not _suffices(times, suspect, is_known, now):
                continue
            depth = max(suspect.depths[key] for key in keys)
            rank = (-suspect.survived_at, len(keys), depth)
            if best is None or rank > best_rank:
                best, best_rank = part, rank
        return best

    def _update_crashes(self, now: float) -> None:
        """Confirms crashes, and drops old ones and those that were none."""
        for key, crash in list(self._crashes.items()):
            age_s = now - crash.at
            if not crash.is_confirmed and age_s <= CONFIRM_S:
                crash.is_confirmed = self._is_gone(*key)
            if age_s > (CRASH_TTL_S if crash.is_confirmed else CONFIRM_S):
                self._drop(key)


def _is_fingerprint(part: str) -> bool:
    return part.startswith(_evidence.FINGERPRINT_PREFIX)


def _without_fingerprints(parts) -> list[str]:
    return [part for part in parts if not _is_fingerprint(part)]


def _is_one_request(suspect, keys) -> bool:
    """Returns whether one request alone is behind some crashes of a part.

    Requests without a fingerprint count as different ones.

    Args:
        suspect: The part.
        keys: The crashes.
    """
    requests = set().union(*(suspect.requests[key] for key in keys))
    return len(requests) == 1 and '' not in requests


def _suffices(times, suspect, is_on_probation: bool, now: float) -> bool:
    """Returns whether the crashes since a part last survived suffice.

    Args:
        times: Monotonic seconds of the crashes.
        suspect: The part.
        is_on_probation: Whether it was quarantined before.
        now: Monotonic seconds.
    """
    if not times or is_on_probation:
        return bool(times)
    if now - suspect.survived_at > RECENT_SURVIVAL_S:
        return len(times) >= CRASHES_MIN
    return (
        len(times) >= CRASHES_AFTER_SURVIVAL_MIN
        and max(times) - min(times) >= CRASH_SPAN_MIN_S
    )
