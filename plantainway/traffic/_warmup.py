"""Ramp-up of heads that have just opened or recovered.

Load addressed: all nodes see an idle head at once and fill it, or keep off it
for longer than it needs. Applies to services with a rate of cold upstreams.
"""

import contextlib
import dataclasses

START_PART = 0.25  # of the full load that a head gets at first
DEFAULT_RAMP_S = 4.0  # to the full load, for services that name no time
# A first event that takes this many times the average is slow.
SLOW_FACTOR = 2.0
AVERAGE_WEIGHT = 0.1  # of a new value in a moving average
BACKOFF = 0.5  # part of the load that is left after a slow first event
# Requests that were sent before a reduction are slow too.
BACKOFF_INTERVAL_S = 0.5
# Full engines ask for shorter pauses all the time.
PAUSE_MIN_S = 0.5


@dataclasses.dataclass(slots=True)
class _Ramp:
    """Load that a head may have at ``as_of``, in monotonic seconds.

    The ramp begins with the first choice of the head, before which ``load``
    is 0.
    """

    load: float = 0.0
    as_of: float = 0.0
    reduce_from: float = 0.0


class WarmupPacer:
    """Limits the load of heads that have just opened or recovered.

    The limit grows with time, by one request with each first event that is
    as fast as those of other heads, and falls to a half with a slow one.

    Args:
        clock: Source of monotonic time.

    Attributes:
        on_raised: Called after an answer has raised a limit.
    """

    def __init__(self, clock):
        self._clock = clock
        self._ramp_s: dict[str, float] = {}
        self._urgent_priorities: dict[str, int] = {}
        self._ramps: dict[str, _Ramp] = {}
        self._opened_epochs: dict[str, int] = {}
        self._average_s: dict[tuple[str, str], float] = {}
        self._is_bypassed = False
        self.on_raised = []

    def configure(self, cfg) -> None:
        """Sets which services have ramps, and their urgent requests.

        Args:
            cfg: Configuration in force.
        """
        self._ramp_s = {
            name: service.cold_s or DEFAULT_RAMP_S
            for name, service in cfg.services.items()
            if service.cold_per_s > 0
        }
        self._urgent_priorities = {}
        for service in self._ramp_s:
            priorities = cfg.routes.priorities(service)
            if len(priorities) > 1:
                self._urgent_priorities[service] = min(priorities)

    def handle_opened(self, head) -> None:
        """Begins the ramp of a head whose group has opened, once an epoch.

        Args:
            head: The head.
        """
        epoch = head.membership.epoch
        if self._opened_epochs.get(head.name) != epoch:
            self._opened_epochs[head.name] = epoch
            self._begin(head)

    def handle_ejected(self, head) -> None:
        """Begins the ramp of a head that is left out after failures.

        Args:
            head: The head.
        """
        self._begin(head)

    def handle_paused(self, head, pause_s: float) -> None:
        """Begins the ramp of a head that asks for no requests for a time.

        Args:
            head: The head.
            pause_s: Seconds for which it asks for none.
        """
        if pause_s >= PAUSE_MIN_S:
            self._begin(head)

    def _begin(self, head) -> None:
        if head.service in self._ramp_s and head.membership is not None:
            self._ramps[head.name] = _Ramp()

    def max_load(self, head, full_load: int) -> int:
        """Returns how many requests a head may have at once.

        Args:
            head: The head.
            full_load: How many it may have without a ramp.
        """
        ramp = self._ramps.get(head.name)
        ramp_s = self._ramp_s.get(head.service)
        if ramp is None or ramp_s is None or self._is_bypassed:
            return full_load
        now = self._clock.now()
        if ramp.load:
            ramp.load += full_load * (now - ramp.as_of) / ramp_s
        else:
            ramp.load = max(full_load * START_PART, 1.0)
        ramp.as_of = now
        if ramp.load >= full_load:
            del self._ramps[head.name]
            return full_load
        return int(ramp.load)

    def record_first_event(self, head, latency_s: float) -> None:
        """Raises or lowers the limit of a head by how fast it has answered.

        Args:
            head: The head.
            latency_s: Seconds from sending the request to the first event.
        """
        if head.service not in self._ramp_s or head.membership is None:
            return
        key = (head.service, head.membership.model)
        average_s = self._average_s.get(key)
        ramp = self._ramps.get(head.name)
        if ramp is None:
            known_s = latency_s if average_s is None else average_s
            self._average_s[key] = known_s + AVERAGE_WEIGHT * (
                latency_s - known_s
            )
        elif average_s is not None and latency_s > SLOW_FACTOR * average_s:
            self._reduce(ramp)
        elif ramp.load:
            ramp.load += 1.0
            for listener in self.on_raised:
                listener()

    def _reduce(self, ramp) -> None:
        now = self._clock.now()
        if ramp.load and now >= ramp.reduce_from:
            ramp.load = max(ramp.load * BACKOFF, 1.0)
            ramp.reduce_from = now + BACKOFF_INTERVAL_S

    def is_urgent(self, service: str, priority: int) -> bool:
        """Returns whether a request is not held up by ramps.

        That is a resumed one, or the most urgent of routes that differ.

        Args:
            service: Name of the service.
            priority: Priority of the request; a lower one is more urgent.
        """
        if not self._ramps or service not in self._ramp_s:
            return False
        urgent = self._urgent_priorities.get(service, -1)
        return priority < 0 or priority <= urgent

    @contextlib.contextmanager
    def bypassed(self, service: str, priority: int):
        """Lifts all ramps for an urgent request; must not be awaited in.

        Args:
            service: Name of the service.
            priority: Priority of the request.
        """
        self._is_bypassed = self.is_urgent(service, priority)
        try:
            yield
        finally:
            self._is_bypassed = False

    def forget(self, name: str) -> None:
        """Drops the ramp of an engine that no longer exists.

        Args:
            name: Name of the engine.
        """
        self._ramps.pop(name, None)
        self._opened_epochs.pop(name, None)
