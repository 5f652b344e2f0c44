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
# A ramp ends this long after its limit was full. A first event at another node
# may take 0.5 s, and is known two intervals of messages (0.4 s) and their ways
# (0.3 s) later.
CONFIRM_S = 2.0
# Full engines ask for shorter pauses all the time.
PAUSE_MIN_S = 0.5


@dataclasses.dataclass(slots=True)
class _Count:
    """First events of one kind, fast or slow, since a ramp has begun.

    ``own`` are those of this node, ``unsummed`` those of them that no sum of
    the leader is known to include. ``highest_sum`` is the highest sum of all
    nodes that was received.
    """

    own: int = 0
    unsummed: int = 0
    highest_sum: int = 0

    def add_own(self) -> None:
        """Adds a first event at this node."""
        self.own += 1
        self.unsummed += 1

    def add_sum(self, total: int) -> int:
        """Takes over a sum of all nodes.

        A lower one, as that of a new leader, changes nothing until it
        exceeds the highest: it repeats what was counted before.

        Args:
            total: The sum.

        Returns:
            The first events at other nodes that it adds.
        """
        increase = max(total - self.highest_sum, 0)
        self.highest_sum += increase
        summed = min(increase, self.unsummed)
        self.unsummed -= summed
        return increase - summed


@dataclasses.dataclass(slots=True)
class _Ramp:
    """Load that a head may have at ``as_of``, in monotonic seconds.

    The ramp begins with the first choice of the head, before which ``load``
    is 0. ``key`` names the head and the epoch of its group. The ramp ends at
    ``ends_at`` unless a slow first event lowers ``load`` until then.
    """

    key: str
    load: float = 0.0
    full_load: int = 0
    as_of: float = 0.0
    ends_at: float = float('inf')
    reduce_from: float = 0.0
    fast: _Count = dataclasses.field(default_factory=_Count)
    slow: _Count = dataclasses.field(default_factory=_Count)


class WarmupPacer:
    """Limits the load of heads that have just opened or recovered.

    The limit grows with time, by one request with each first event that is
    as fast as those of other heads, and falls to a half with a slow one, of
    this node or, as the leader's sums show, of another.

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
        self._sums: dict[str, tuple[int, int]] = {}
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
            self._begin(head, {})

    def handle_ejected(self, head) -> None:
        """Begins the ramp of a head that is left out after failures.

        Args:
            head: The head.
        """
        self._begin(head, self._sums)

    def handle_paused(self, head, pause_s: float) -> None:
        """Begins the ramp of a head that asks for no requests for a time.

        Args:
            head: The head.
            pause_s: Seconds for which it asks for none.
        """
        if pause_s >= PAUSE_MIN_S:
            self._begin(head, self._sums)

    def _begin(self, head, sums) -> None:
        """Begins a ramp, which leaves out the first events in ``sums``."""
        if head.service in self._ramp_s and head.membership is not None:
            key = f'{head.name}/{head.membership.epoch}'
            fast, slow = sums.get(key, (0, 0))
            ramp = _Ramp(
                key,
                fast=_Count(highest_sum=fast),
                slow=_Count(highest_sum=slow),
            )
            previous = self._ramps.get(head.name)
            if previous is not None and previous.key == key:
                ramp.fast.unsummed = previous.fast.unsummed
                ramp.slow.unsummed = previous.slow.unsummed
            self._ramps[head.name] = ramp

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
        ramp.full_load = full_load
        if ramp.load:
            self._raise(ramp, full_load * (now - ramp.as_of) / ramp_s)
        else:
            ramp.load = max(full_load * START_PART, 1.0)
        ramp.as_of = now
        if now >= ramp.ends_at:
            del self._ramps[head.name]
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
        elif not ramp.load:
            return  # the request was sent before the ramp
        elif average_s is not None and latency_s > SLOW_FACTOR * average_s:
            ramp.slow.add_own()
            self._reduce(ramp)
        else:
            if average_s is not None:  # others trust only what was compared
                ramp.fast.add_own()
            self._raise(ramp, 1.0)
            for listener in self.on_raised:
                listener()

    def results(self) -> dict[str, tuple[int, int]]:
        """Returns the fast and slow first events of this node.

        Returns:
            Both numbers since the ramp has begun, by head and epoch.
        """
        return {
            ramp.key: (ramp.fast.own, ramp.slow.own)
            for ramp in self._ramps.values()
            if ramp.load
        }

    def merge(self, sums: dict[str, tuple[int, int]]) -> None:
        """Lets ramps follow the first events at other nodes.

        The caller then dispatches waiting requests.

        Args:
            sums: Fast and slow first events of all nodes, by head and epoch.
        """
        self._sums = sums
        for ramp in self._ramps.values():
            if ramp.load and ramp.key in sums:
                fast, slow = sums[ramp.key]
                self._raise(ramp, ramp.fast.add_sum(fast))
                if ramp.slow.add_sum(slow):
                    self._reduce(ramp)

    def _raise(self, ramp, count: float) -> None:
        ramp.load = min(ramp.load + count, ramp.full_load)
        if ramp.load == ramp.full_load:
            ramp.ends_at = min(ramp.ends_at, self._clock.now() + CONFIRM_S)

    def _reduce(self, ramp) -> None:
        now = self._clock.now()
        if now >= ramp.reduce_from:
            ramp.load = max(ramp.load * BACKOFF, 1.0)
            ramp.ends_at = float('inf')
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
