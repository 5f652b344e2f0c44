"""Which upstreams are cold, as one node knows it, and until when."""

import dataclasses
import enum

from plantainway import logs

COLD_MAX_S = 600.0  # entries may hold any number
# A later end by less than this is the delay of a message, not a new start.
EXTENSION_MIN_S = 0.2
# The rule for cold upstreams holds for any window of this length.
COLD_WINDOW_S = 1.0
# Longest time between a permit and the arrival of its request: it is used at
# most 0.1 s late (PERMIT_LATE_MAX_S), and connecting takes at most 0.4 s.
PERMIT_DELAY_MAX_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ColdObservation:
    """How much longer one incarnation of an upstream stays cold."""

    upstream: str
    started_ms: int
    left_ms: int


class _Source(enum.Enum):
    """Where an end time comes from; every node has the entries itself."""

    ENTRY = enum.auto()
    ANSWER = enum.auto()
    NODE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _State:
    """An incarnation that is cold until ``ends_at``."""

    started_ms: int
    ends_at: float
    source: _Source


class ColdStates:
    """Upstreams that take fewer requests until some time.

    Times that are left are counted from their receipt, so that an upstream is
    not taken for warm too early.

    Args:
        clock: Source of monotonic time that goes on while the VM is
            suspended.

    Attributes:
        upstreams: Registry of all upstreams, ``None`` if there is none; set
            by the node.
        overshoot: Factor by which the requests in a second may exceed the
            rate of a cold upstream; set by the node.
        tolerance: Requests that they may exceed it by besides; set by the
            node.
        revision: Number of changes that other nodes do not know.
        on_answered: Called after an answer to this node has changed a state.
        on_warm: Called after the end of a state.
    """

    def __init__(self, clock):
        self._clock = clock
        self._rates: dict[str, float] = {}
        self._states: dict[str, _State] = {}
        self._row_versions: dict[str, int] = {}
        self._unreported: set[str] = set()
        self.upstreams = None
        self.overshoot = 1.0
        self.tolerance = 0.0
        self.revision = 0
        self.on_answered = []
        self.on_warm = []

    def configure(self, cfg) -> None:
        """Sets the rates of cold upstreams.

        Args:
            cfg: Configuration in force.
        """
        self._rates = {
            name: service.cold_per_s
            for name, service in cfg.services.items()
            if service.cold_per_s > 0
        }

    def burst(self, per_second: float) -> float:
        """Returns how many unused permits of a cold upstream may be kept.

        In a window arrive the permits of ``PERMIT_DELAY_MAX_S`` besides its
        own, the burst and one more.

        Args:
            per_second: Rate of the upstream.
        """
        allowed = per_second * self.overshoot * COLD_WINDOW_S + self.tolerance
        evenly = per_second * (COLD_WINDOW_S + PERMIT_DELAY_MAX_S)
        return max(allowed - evenly - 1, 0.0)

    def observe_entry(self, upstream, row_version: int) -> None:
        """Records an entry, unless this version of it has been recorded.

        Args:
            upstream: The upstream as its entry shows it.
            row_version: Version of the row.
        """
        if not upstream.cold_left_ms:
            return
        if self._row_versions.get(upstream.name) == row_version:
            return
        self._row_versions[upstream.name] = row_version
        left_s = upstream.cold_left_ms / 1000
        rate = self._rates.get(upstream.service)
        self._extend(
            upstream.name, upstream.started_ms, left_s, _Source.ENTRY, rate
        )

    def observe_answer(self, upstream, left_s: float) -> None:
        """Records an answer of an upstream to this node.

        Args:
            upstream: The upstream, as it was known when it was called.
            left_s: How much longer it stays cold.
        """
        rate = self._rates.get(upstream.service)
        if rate is None:
            return
        is_changed = self._extend(
            upstream.name, upstream.started_ms, left_s, _Source.ANSWER, rate
        )
        if is_changed:
            self._unreported.add(upstream.name)
            for listener in self.on_answered:
                listener()

    def merge(self, observations) -> None:
        """Records what other nodes have learned from answers.

        Args:
            observations: The observations.
        """
        for item in observations:
            self._extend(
                item.upstream,
                item.started_ms,
                item.left_ms / 1000,
                _Source.NODE,
                self.rate_of(item.upstream),
            )

    def _extend(self, name, started_ms, left_s, source, rate) -> bool:
        """Records an end time if it is later; returns whether it is."""
        now = self._clock.now()
        ends_at = now + min(left_s, COLD_MAX_S)
        known = self._states.get(name)
        if known is not None and started_ms < known.started_ms:
            return False
        is_known = known is not None and known.started_ms == started_ms
        earliest = now
        if is_known and known.ends_at > now:
            earliest = known.ends_at + EXTENSION_MIN_S
        if ends_at <= earliest:
            return False
        self._states[name] = _State(started_ms, ends_at, source)
        if source is not _Source.ENTRY:
            self.revision += 1
        is_new = not is_known or known.ends_at <= now
        if is_new and rate is not None:
            logs.event(
                'upstream_cold',
                upstream=name,
                per_second=rate,
                left_ms=int((ends_at - now) * 1000),
                source=source.name.lower(),
            )
        return True

    def _find_state(self, name: str) -> _State | None:
        state = self._states.get(name)
        if state is None or state.ends_at <= self._clock.now():
            return None
        return state

    def find(self, upstream) -> float | None:
        """Returns the rate of an incarnation while it is cold.

        Args:
            upstream: The upstream.
        """
        state = self._find_state(upstream.name)
        if state is None or state.started_ms < upstream.started_ms:
            return None  # of an incarnation that has ended
        return self._rates.get(upstream.service)

    def find_by_name(self, name: str) -> float | None:
        """Returns the rate of an upstream while it is cold.

        Args:
            name: Name of the upstream.
        """
        return self.rate_of(name) if self._find_state(name) else None

    def rate_of(self, name: str) -> float | None:
        """Returns the rate that an upstream has whenever it is cold.

        Args:
            name: Name of the upstream.
        """
        if not self._rates or self.upstreams is None:
            return None
        upstream = self.upstreams.by_name.get(name)
        return self._rates.get(upstream.service) if upstream else None

    def in_force(self) -> dict[str, float]:
        """Returns the rates of the cold upstreams by name."""
        rates = {name: self.find_by_name(name) for name in self._states}
        return {name: rate for name, rate in rates.items() if rate is not None}

    def expire(self) -> None:
        """Drops the states that have ended."""
        now = self._clock.now()
        ended = [
            name for name, one in self._states.items() if one.ends_at <= now
        ]
        for name in ended:
            del self._states[name]
            if self.rate_of(name) is not None:
                logs.event('upstream_warm', upstream=name)
        if ended:
            for listener in self.on_warm:
                listener()

    def forget(self, name: str) -> None:
        """Drops the state of an upstream that no longer exists.

        Args:
            name: Name of the upstream.
        """
        self._states.pop(name, None)
        self._row_versions.pop(name, None)
        self._unreported.discard(name)

    def take_unreported(self) -> list[ColdObservation]:
        """Returns what answers to this node showed since the last call."""
        names, self._unreported = self._unreported, set()
        return self._observations(
            name for name in names if name in self._states
        )

    def answered(self) -> list[ColdObservation]:
        """Returns what answers to this node have shown."""
        return self._observations(
            name
            for name, state in self._states.items()
            if state.source is _Source.ANSWER
        )

    def observations(self) -> list[ColdObservation]:
        """Returns what answers to any node have shown."""
        return self._observations(
            name
            for name, state in self._states.items()
            if state.source is not _Source.ENTRY
        )

    def _observations(self, names) -> list[ColdObservation]:
        now = self._clock.now()
        return [
            ColdObservation(
                name,
                state.started_ms,
                int((state.ends_at - now) * 1000) + 1,
            )
            for name in sorted(names)
            if (state := self._states[name]).ends_at > now
        ]
