"""Expected time to the first event, and headroom for urgent requests.

The estimate addresses heads that take requests beyond what they can start in
time. It serves the choice of a head, the order of waiting requests and their
refusal. docs/design/placement.md explains it.
"""

import math

PASS_WAIT_PASSES = 0.5  # a request arrives in the middle of a pass on average
PRESSURE_S = 1.0  # for which a refused, queued or late request counts
# Part of the slots that less urgent requests may fill. The rest takes what
# arrives at a head of 24 slots until the nodes know its load (0.3 to 0.5 s).
YIELDING_SLOTS = 0.75
EXEMPT_SHARE = 0.25  # of the less urgent requests, so that none starve
SATURATED_SLOTS = 0.95  # of all slots of a model; loads are known late


def expected_first_event_s(
    profile, model: str, held: int, prompt_tokens: float = 0
) -> float:
    """Returns how long the first event of a new request takes.

    The parts are the wait for a slot, the rest of the pass in progress, the
    reading of the prompts ahead and of the own one, and the steps of all
    running requests, in whole passes. How many prompts are ahead follows
    from the part of its time for which a typical request is read.

    Args:
        profile: Profile of the service's engines.
        model: Name of the model.
        held: Number of requests that the head holds.
        prompt_tokens: Prompt tokens of the request, 0 if unknown.

    Returns:
        Time in seconds.
    """
    slots = max(profile.slots, 1)
    running = min(held, slots - 1)
    step_s = _step_s(profile, running + 1)
    read_s, duration_s = _typical_times_s(profile, step_s)
    typical_tokens = profile.typical_prompt_tokens
    tokens_ahead = running * typical_tokens * read_s / duration_s
    tokens = tokens_ahead + (prompt_tokens or typical_tokens)
    steps_per_pass = max(profile.steps_per_pass, 1)
    passes = math.ceil(
        max(tokens, 1.0)
        / max(profile.prefill_chunk_tokens, 1)
        / steps_per_pass
    )
    passes_s = (passes + PASS_WAIT_PASSES) * steps_per_pass * step_s
    slot_wait_s = max(held - slots + 1, 0) * duration_s / slots
    model_profile = profile.find_model(model)
    factor = model_profile.step_time_factor if model_profile else 1.0
    return factor * (
        slot_wait_s
        + passes_s
        + tokens / max(profile.prefill_tokens_per_s, 1.0)
    )


def _step_s(profile, running: int) -> float:
    context_tokens = running * (
        profile.typical_prompt_tokens + profile.typical_answer_tokens / 2
    )
    return (
        profile.step_ms
        + running * profile.step_ms_per_sequence
        + context_tokens / 1000 * profile.step_ms_per_1k_context
    ) / 1000


def _typical_times_s(profile, step_s: float) -> tuple[float, float]:
    """Returns how long a typical request is read, and how long it runs."""
    tokens = profile.typical_prompt_tokens
    chunks = math.ceil(tokens / max(profile.prefill_chunk_tokens, 1))
    read_s = chunks * step_s + tokens / max(profile.prefill_tokens_per_s, 1.0)
    answer_s = profile.typical_answer_tokens * step_s
    # Profiles may lack figures; the requests then count as short ones.
    return read_s, max(read_s + answer_s, 0.001)


def ceiling(max_load: int, slots: int, yields: bool) -> int:
    """Returns how many requests a head may hold after one more.

    Args:
        max_load: The limit without a reservation.
        slots: Slots of the head.
        yields: Whether the request leaves headroom to more urgent ones.
    """
    if not yields:
        return max_load
    return min(max_load, max(int(slots * YIELDING_SLOTS), 1))


class SaturationTracker:
    """Tells how long the heads of a model have been full.

    It addresses overload that outlasts a burst. Loads include those of other
    nodes, so that all nodes come to the same result without a message.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._since: dict[str, float] = {}

    def observe(self, key: str, held: int, slots: int) -> None:
        """Records how full the heads of a model are.

        Args:
            key: Service and model as ``service/model``.
            held: Requests that they hold.
            slots: Their slots.
        """
        if held < slots * SATURATED_SLOTS:
            self._since.pop(key, None)
        else:
            self._since.setdefault(key, self._clock.now())

    def duration_s(self, key: str) -> float:
        """Returns for how many seconds the heads have been full, or 0.

        Args:
            key: Service and model.
        """
        now = self._clock.now()
        return now - self._since.get(key, now)


class PressureBook:
    """Knows of which models urgent requests were refused, queued or late.

    It addresses nodes that fill heads with less urgent requests while other
    nodes refuse more urgent ones of the same model. A record lasts
    ``PRESSURE_S``. Each node reports only its own.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._own: dict[str, dict[int, float]] = {}
        self._others: dict[str, dict[int, float]] = {}

    def record(self, key: str, priority: int) -> None:
        """Records that a request was refused, queued or late.

        Args:
            key: Service and model as ``service/model``.
            priority: Its priority; negative ones, of resumed streams, are
                ignored.
        """
        if priority >= 0:
            until = self._clock.now() + PRESSURE_S
            self._own.setdefault(key, {})[priority] = until

    def is_above(self, key: str, priority: int) -> bool:
        """Returns whether more urgent requests of a model are affected.

        Args:
            key: Service and model.
            priority: A priority; lower numbers are more urgent.
        """
        now = self._clock.now()
        return priority >= 0 and any(
            other < priority and until > now
            for book in (self._own, self._others)
            for other, until in book.get(key, {}).items()
        )

    def remaining_ms(self) -> dict[str, dict[int, int]]:
        """Returns how much longer the records of this node last.

        Returns:
            Milliseconds by service and model and by priority.
        """
        now = self._clock.now()
        self._own = _unexpired(self._own, now)
        return {
            key: {
                priority: math.ceil((until - now) * 1000)
                for priority, until in found.items()
            }
            for key, found in self._own.items()
        }

    def merge(self, remaining_ms: dict[str, dict[int, int]]) -> None:
        """Adds the records of other nodes.

        Args:
            remaining_ms: As in ``remaining_ms``.
        """
        now = self._clock.now()
        self._others = _unexpired(self._others, now)
        for key, found in remaining_ms.items():
            known = self._others.setdefault(key, {})
            for priority, left_ms in found.items():
                until = now + min(left_ms / 1000, PRESSURE_S)
                known[priority] = max(until, known.get(priority, until))


def _unexpired(book, now: float) -> dict[str, dict[int, float]]:
    lasting = {
        key: {prio: until for prio, until in found.items() if until > now}
        for key, found in book.items()
    }
    return {key: found for key, found in lasting.items() if found}
