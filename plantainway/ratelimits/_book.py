"""The limits that upstreams name in their answers, as one node knows them."""

import dataclasses
import math

from plantainway import logs
from plantainway.ratelimits import _cold

# An observation is of no use for longer than an answer may be delayed.
OBSERVATION_TTL_S = 30.0
# An ended limit is remembered, so that older observations can't revive it.
ENDED_TTL_S = 60.0
# The leader asks upstreams with a limit every few seconds; one that was not
# heard of for this long no longer exists.
LIMIT_TTL_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitObservation:
    """What an answer of one incarnation of an upstream said of its limit.

    ``per_second`` is in requests a second, ``None`` for an answer without a
    limit. ``age_ms`` counts from the answer to the sending of the
    observation.
    """

    upstream: str
    started_ms: int
    per_second: float | None
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """Newest known answer; ``observed_at`` is the earliest possible time."""

    started_ms: int
    per_second: float | None
    observed_at: float


def _lower(first: float | None, second: float | None) -> float | None:
    """Returns the lower one of two limits; ``None`` stands for none."""
    if first is None or second is None:
        return first if second is None else second
    return min(first, second)


class LimitBook:
    """The newest limit that each upstream has named.

    Of two observations the one of the later answer holds, whichever arrives
    first. Times of other nodes' answers are bounds from below, so that an
    observation that was delayed on its way never counts as newer than it is.

    Args:
        clock: Source of monotonic time that goes on while the VM is
            suspended.

    Attributes:
        cold: Upstreams that are cold, which limits them too.
        on_named: Called after an answer to this node has changed a limit.
    """

    def __init__(self, clock):
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._unreported: set[str] = set()
        self._revision = 0
        self.cold = _cold.ColdStates(clock)
        self.on_named = []

    @property
    def revision(self) -> int:
        """Returns the number of changes of the limits."""
        return self._revision + self.cold.revision

    def observe(self, upstream, per_second: float | None) -> None:
        """Records an answer of an upstream to this node.

        Args:
            upstream: The upstream, as it was known when it was called.
            per_second: Requests a second that it takes from all nodes
                together, ``None`` if it named no limit. NaN, which stands for
                an unreadable value, is ignored.
        """
        if per_second is None and upstream.name not in self._entries:
            return
        if per_second is not None and math.isnan(per_second):
            return
        self._unreported.add(upstream.name)
        revision = self.revision
        self._set(
            upstream.name,
            _Entry(upstream.started_ms, per_second, self._clock.now()),
        )
        if self.revision != revision:
            for listener in self.on_named:
                listener()

    def merge(self, observations, delay_s: float) -> None:
        """Records what another node has observed, unless it is older.

        Args:
            observations: The observations.
            delay_s: Longest possible time since they were sent.
        """
        now = self._clock.now()
        for item in observations:
            observed_at = now - delay_s - item.age_ms / 1000
            entry = _Entry(item.started_ms, item.per_second, observed_at)
            known = self._entries.get(item.upstream)
            if known is None and (
                item.per_second is None
                or now - entry.observed_at > OBSERVATION_TTL_S
            ):
                continue
            if known is None or entry.observed_at > known.observed_at:
                self._set(item.upstream, entry)

    def _set(self, name: str, entry: _Entry) -> None:
        known = self._entries.get(name)
        self._entries[name] = entry
        was = known.per_second if known else None
        is_restart = known is not None and known.started_ms != entry.started_ms
        if entry.per_second == was and not is_restart:
            return
        self._revision += 1
        logs.event(
            'upstream_limit',
            upstream=name,
            per_second=entry.per_second,
            was=was,
        )

    def find(self, upstream) -> float | None:
        """Returns the limit of an incarnation of an upstream, if it has one.

        Args:
            upstream: The upstream.
        """
        cold = self.cold.find(upstream)
        entry = self._entries.get(upstream.name)
        if entry is None or entry.started_ms != upstream.started_ms:
            return cold
        return _lower(entry.per_second, cold)

    def find_by_name(self, name: str) -> float | None:
        """Returns the limit by which permits for an upstream are issued.

        That is the newest limit of any incarnation, and the rate of a cold
        upstream. If neither is known here, the node that asks for a permit
        knows that the upstream is cold.

        Args:
            name: Name of the upstream.
        """
        found = _lower(self.find_named(name), self.cold.find_by_name(name))
        return self.cold.rate_of(name) if found is None else found

    def is_cold(self, name: str) -> bool:
        """Returns whether permits for an upstream are those of a cold one.

        Args:
            name: Name of the upstream.
        """
        if self.find_named(name) is None:
            return self.cold.rate_of(name) is not None
        return self.cold.find_by_name(name) is not None

    def find_named(self, name: str) -> float | None:
        """Returns the newest limit that any incarnation has named.

        Args:
            name: Name of the upstream.
        """
        entry = self._entries.get(name)
        return entry.per_second if entry else None

    def forget(self, name: str) -> None:
        """Drops the limit of an upstream that no longer exists.

        Args:
            name: Name of the upstream.
        """
        self._unreported.discard(name)
        if self._entries.pop(name, None) is not None:
            self._revision += 1
        self.cold.forget(name)

    def take_unreported(self) -> list[LimitObservation]:
        """Returns the observations of this node since the last call."""
        names, self._unreported = self._unreported, set()
        return self._observations(names)

    def observations(self) -> list[LimitObservation]:
        """Returns all that is known, and drops what is too old."""
        now = self._clock.now()
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if now - entry.observed_at
            < (ENDED_TTL_S if entry.per_second is None else LIMIT_TTL_S)
        }
        return self._observations(self._entries)

    def _observations(self, names) -> list[LimitObservation]:
        now = self._clock.now()
        return [
            LimitObservation(
                name,
                entry.started_ms,
                entry.per_second,
                int((now - entry.observed_at) * 1000) + 1,
            )
            for name in sorted(names)
            if (entry := self._entries.get(name)) is not None
        ]

    def in_force(self) -> dict[str, float]:
        """Returns the limits by upstream, in requests a second."""
        return {
            name: entry.per_second
            for name, entry in self._entries.items()
            if entry.per_second is not None
        }

    def cold_in_force(self) -> dict[str, float]:
        """Returns the limits of the cold upstreams by name."""
        return {
            name: _lower(self.find_named(name), per_second)
            for name, per_second in self.cold.in_force().items()
        }

    def find_cold_by_name(self, name: str) -> float | None:
        """Returns the limit of an upstream while it is cold.

        Args:
            name: Name of the upstream.
        """
        per_second = self.cold.find_by_name(name)
        if per_second is None:
            return None
        return _lower(self.find_named(name), per_second)

    def unconfirmed(self, age_s: float) -> list[str]:
        """Returns the upstreams whose limit no answer has confirmed lately.

        Args:
            age_s: Seconds since the newest answer.
        """
        oldest = self._clock.now() - age_s
        return [
            name
            for name, entry in self._entries.items()
            if entry.per_second is not None and entry.observed_at < oldest
        ]
