"""Decides which clients are read, refused or closed when resources run short.

One ``ConnectionBook`` serves all HTTP listeners of a node. It addresses
clients outside our control: uploads that stop short, slow senders and
readers, and too many connections. It has no access to sockets.
"""

import abc
import asyncio
import collections
import contextvars
import dataclasses
import enum
import gc
import math
import time

from plantainway import logs

# Parts of the VM's memory. The rest is for the process itself, which takes
# 70 MB after its start, and for copies of the bytes that are counted here.
HELD_MEMORY_PART = 0.15
UPLOAD_PART = 0.5  # of the held bytes, so that answers always find room
TIGHT_MEMORY_PART = 0.85  # of the VM, in use by the process
TIGHT_FACTOR = 0.5
# Ended connections leave reference cycles, with their buffers, to the
# garbage collector, which counts objects and not bytes.
COLLECT_MEMORY_PART = 0.05  # of the VM, held by ended connections
COLLECT_ABOVE_PART = 0.6  # of the VM, in use by the process
SMALL_UPLOAD_BYTES = 16384  # read in any case, as ordinary requests are small
FD_RESERVE_PART = 0.25  # for the store, peers, upstreams and listeners
FD_RESERVE_MIN = 64
FD_RESERVE_MAX = 1024
STALL_S = 1.0  # without progress, before a client is closed for others
PROGRESS_BYTES = 4096  # that count as progress while resources are short
ANSWER_STALL_S = 60.0  # without progress, in which a client may pause
MIN_BODY_BYTES_PER_S = 1024.0  # averaged over the body, after the first wait
HEAD_MARGIN_S = 1.0  # for requests that are sent in time and arrive late
SWEEP_INTERVAL_S = 0.25
LATE_SWEEP_S = 0.1  # later sweeps leave one round to read what has arrived
LOG_INTERVAL_S = 1.0
REFUSED_RETRY_AFTER_S = 1.0

# Connection of the request that the current task serves.
CONNECTION = contextvars.ContextVar('connection', default=None)


class Phase(enum.Enum):
    """What a connection does."""

    IDLE = 'idle'  # between requests
    HEAD = 'head'
    BODY = 'body'
    RUNNING = 'running'  # the request is complete and not answered yet
    WRITING = 'writing'


class Listener(enum.Enum):
    """Whose requests a listener takes, with its part of the descriptors."""

    CALLER = ('caller', 2 / 3)
    RELAY = ('relay', 1 / 8)
    DIRECTORY = ('directory', 1 / 8)
    STATUS = ('status', 1 / 16)

    def __init__(self, label: str, part: float):
        self.label = label
        self.part = part


@dataclasses.dataclass(frozen=True)
class IntakeBounds:
    """Bounds on what all connections of a node hold together."""

    memory_bytes: float = math.inf
    held_bytes: float = math.inf
    upload_bytes: float = math.inf
    descriptors: float = math.inf

    @classmethod
    def derive(cls, memory_mb: float, max_fds: int) -> 'IntakeBounds':
        """Returns the bounds for a VM.

        Args:
            memory_mb: Its memory in MB, 0 for no bound.
            max_fds: File descriptors of a process, 0 for no bound.
        """
        memory = memory_mb * 2**20 or math.inf
        reserve = min(
            max(max_fds * FD_RESERVE_PART, FD_RESERVE_MIN), FD_RESERVE_MAX
        )
        return cls(
            memory_bytes=memory,
            held_bytes=memory * HELD_MEMORY_PART,
            upload_bytes=memory * HELD_MEMORY_PART * UPLOAD_PART,
            descriptors=max(max_fds - reserve, 1) if max_fds else math.inf,
        )


class BaseConnection(abc.ABC):
    """One connection of a client, as the book knows it.

    Args:
        listener: Listener that accepted it.
        now: Current monotonic time.

    Attributes:
        phase: What it does.
        began_at: When the current phase, or the request in it, began.
        due_at: Until when the head, the body or the reading of the answer
            has to be complete.
        received: Bytes of the current request so far.
        upload_bytes, answer_bytes: Bytes held for it; set by the book.
        is_held: Whether it is not read until the book releases it.
    """

    def __init__(self, listener: Listener, now: float):
        self.listener = listener
        self.phase = Phase.IDLE
        self.began_at = now
        self.due_at = math.inf
        self.received = 0
        self.upload_bytes = 0
        self.answer_bytes = 0
        self.is_held = False
        self._progress_at = now
        self._progress_bytes = 0

    @abc.abstractmethod
    def unread_bytes(self) -> int:
        """Returns how many written bytes wait for the client."""

    @abc.abstractmethod
    def refresh(self, now: float) -> None:
        """Leaves the phase of writing once the client has the answer.

        Args:
            now: Current monotonic time.
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Lets the connection be read again."""

    @abc.abstractmethod
    def end(self, reason: str) -> None:
        """Refuses the request if it has not run, and ends the connection.

        Args:
            reason: Reason for the log.
        """

    def set_phase(self, phase: Phase, now: float) -> None:
        """Begins a phase, without a deadline."""
        self.phase = phase
        self.began_at = now
        self.due_at = math.inf
        self._progress_at = now
        self._progress_bytes = self._moved_bytes()

    def _moved_bytes(self) -> int:
        if self.phase is Phase.WRITING:
            return -self.unread_bytes()
        return self.received

    def idle_s(self, now: float) -> float:
        """Returns for how long the client has made no progress.

        Time in which the node does not read does not count.
        """
        moved = self._moved_bytes()
        if self.is_held or moved - self._progress_bytes >= PROGRESS_BYTES:
            self._progress_at = now
            self._progress_bytes = moved
        return now - self._progress_at

    def slowness(self, now: float) -> float:
        """Returns seconds of the phase for each byte received in it."""
        return (now - self.began_at) / (self.received + 1024)


class ConnectionBook:
    """Account of what the connections of a node hold.

    Args:
        clock: Source of monotonic time.
        bounds: Bounds; none by default.
        used_memory: Function that returns the resident bytes of the process.

    Attributes:
        counts: Clients refused or closed so far, by reason.
    """

    def __init__(
        self, clock, bounds: IntakeBounds | None = None, used_memory=None
    ):
        self._clock = clock
        self._bounds = bounds or IntakeBounds()
        self._used_memory = used_memory or _resident_bytes
        self._connections: dict[BaseConnection, None] = {}
        self._open_counts: collections.Counter = collections.Counter()
        # Connections that are not read, oldest first.
        self._held: dict[BaseConnection, None] = {}
        self._answer_waiters: dict[asyncio.Future, int] = {}
        self._factor = 1.0
        self._upload_bytes = 0
        self._answer_bytes = 0
        self._shortage_since: float | None = None
        self._ended_bytes = 0
        self.counts: collections.Counter = collections.Counter()
        self._logged: collections.Counter = collections.Counter()
        self._log_at = 0.0

    @property
    def upload_bytes(self) -> int:
        """Returns the bytes held for requests."""
        return self._upload_bytes

    @property
    def answer_bytes(self) -> int:
        """Returns the bytes held for answers."""
        return self._answer_bytes

    def dump(self) -> dict:
        """Returns the state for /dump and the metrics."""
        return {
            'upload_bytes': self._upload_bytes,
            'answer_bytes': self._answer_bytes,
            'connections': {
                item.label: self._open_counts[item] for item in Listener
            },
            'held': len(self._held),
            'ended': dict(self.counts),
        }

    def count(self, reason: str) -> None:
        """Counts a client that was refused or closed."""
        self.counts[reason] += 1

    def add(self, conn: BaseConnection) -> bool:
        """Records an accepted connection; may end another one for it.

        Returns:
            Whether the connection may stay.
        """
        bound = self._bounds.descriptors * conn.listener.part
        if self._open_counts[conn.listener] + 1 > bound:
            if not self._end_slowest(conn.listener):
                self.count('connections')
                return False
        self._connections[conn] = None
        self._open_counts[conn.listener] += 1
        return True

    def remove(self, conn: BaseConnection, is_cut: bool = False) -> None:
        """Records the end of a connection.

        Args:
            conn: The connection.
            is_cut: Whether a request was in progress; what was held for it
                counts until the next sweep, as it may not be free yet.
        """
        if conn not in self._connections:
            return
        del self._connections[conn]
        self._open_counts[conn.listener] -= 1
        self._held.pop(conn, None)
        if is_cut:
            self._ended_bytes += conn.upload_bytes + conn.answer_bytes
        self.set_upload(conn, 0)
        self.set_answer(conn, 0)

    def _end_slowest(self, listener: Listener | None) -> bool:
        """Ends the slowest connection that has no running request.

        Args:
            listener: Listener whose connections are considered, ``None``
                for all.
        """
        now = self._clock.now()
        incomplete, reading, idle = [], [], []
        for conn in self._connections:
            age_s = now - conn.began_at
            if listener not in (None, conn.listener) or age_s < STALL_S:
                continue
            if conn.phase in (Phase.HEAD, Phase.BODY):
                incomplete.append((conn.slowness(now), conn))
            elif conn.phase is Phase.WRITING:
                if conn.idle_s(now) >= STALL_S:
                    reading.append((conn.idle_s(now), conn))
            elif conn.phase is Phase.IDLE:
                idle.append((age_s, conn))
        found = incomplete or reading or idle
        if not found:
            return False
        _, conn = max(found, key=lambda item: item[0])
        self._end(conn, 'connections')
        return True

    def _end(self, conn: BaseConnection, reason: str) -> None:
        self.count(reason)
        self.remove(conn, is_cut=True)
        conn.end(reason)

    def may_begin(self, conn: BaseConnection) -> bool:
        """Returns whether a complete request may run.

        Each may need a descriptor for its upstream and memory for its answer.
        """
        if self._answer_bytes > self._limit(self._bounds.held_bytes):
            self.count('answers')
            return False
        if self._bounds.descriptors == math.inf:
            return True
        running = sum(
            other.phase is Phase.RUNNING for other in self._connections
        )
        total = len(self._connections) + running
        if total > self._bounds.descriptors and not self._end_slowest(None):
            self.count('descriptors')
            return False
        return True

    def _limit(self, bound: float) -> float:
        return bound * self._factor

    def set_upload(self, conn: BaseConnection, size: int) -> None:
        """Sets the bytes held for a request; may hold the connection."""
        self._upload_bytes += size - conn.upload_bytes
        conn.upload_bytes = size
        if self._held and not self._is_upload_full():
            self._release_oldest()

    def _is_upload_full(self) -> bool:
        return self._upload_bytes >= self._limit(self._bounds.upload_bytes)

    def may_read(self, conn: BaseConnection) -> bool:
        """Returns whether to read a connection, or holds it if not.

        The oldest upload is always read, so that one gets to its end.
        """
        if (
            not self._is_upload_full()
            or conn.upload_bytes <= SMALL_UPLOAD_BYTES
            or conn not in self._connections
            or conn.phase is not Phase.BODY
        ):
            return True
        if self._oldest_upload() is conn:
            return True
        conn.is_held = True
        self._held[conn] = None
        return False

    def _oldest_upload(self) -> BaseConnection | None:
        return min(
            (
                conn
                for conn in self._connections
                if conn.phase is Phase.BODY
                and conn.upload_bytes > SMALL_UPLOAD_BYTES
            ),
            key=lambda conn: conn.began_at,
            default=None,
        )

    def release(self, conn: BaseConnection) -> None:
        """Lets a connection be read again, if it is held."""
        if conn.is_held:
            self._held.pop(conn, None)
            conn.is_held = False
            conn.release()

    def _release_oldest(self) -> None:
        self.release(min(self._held, key=lambda conn: conn.began_at))

    def set_answer(self, conn: BaseConnection, size: int) -> None:
        """Sets the bytes held for the answer of a connection."""
        self._answer_bytes += size - conn.answer_bytes
        conn.answer_bytes = size
        self._wake_answers()

    def add_answer(self, conn: BaseConnection, size: int) -> None:
        """Adds to the bytes held for the answer of a connection."""
        if conn in self._connections:
            self.set_answer(conn, max(conn.answer_bytes + size, 0))

    def _has_answer_room(self, size: int) -> bool:
        bound = self._limit(self._bounds.held_bytes) - self._upload_bytes
        bound -= self._ended_bytes
        return self._answer_bytes == 0 or self._answer_bytes + size <= bound

    async def reserve_answer(self, conn: BaseConnection, size: int) -> None:
        """Waits until there is room for a part of an answer, and takes it."""
        if self._answer_waiters or not self._has_answer_room(size):
            fut = asyncio.get_running_loop().create_future()
            self._answer_waiters[fut] = size
            try:
                await fut
            finally:
                self._answer_waiters.pop(fut, None)
        self.add_answer(conn, size)

    def _wake_answers(self) -> None:
        for fut, size in self._answer_waiters.items():
            if not fut.done():
                # One at a time: it takes the room only once it runs.
                if self._has_answer_room(size):
                    fut.set_result(None)
                return

    async def run(self) -> None:
        """Applies time-outs and frees resources until cancelled."""
        while True:
            due_at = self._clock.now() + SWEEP_INTERVAL_S
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self._clock.now() - due_at < LATE_SWEEP_S:
                self.sweep()
            self._log()

    def sweep(self) -> None:
        """Ends connections that are late, or in the way of others."""
        now = self._clock.now()
        if self._bounds.memory_bytes < math.inf:
            self._check_memory(self._bounds.memory_bytes)
        for conn in list(self._connections):
            conn.refresh(now)
            if conn.idle_s(now) == 0.0 and conn.phase is Phase.WRITING:
                conn.due_at = now + ANSWER_STALL_S
            if conn.due_at < now and not conn.is_held:
                self._end(conn, f'{conn.phase.value}_timeout')
        self._free_uploads(now)
        self._free_answers(now)
        self._wake_answers()

    def _check_memory(self, memory: float) -> None:
        """Lowers the bounds, and frees memory, while the process is large."""
        used = self._used_memory()
        if (
            used > memory * COLLECT_ABOVE_PART
            and self._ended_bytes > memory * COLLECT_MEMORY_PART
        ):
            gc.collect()
        self._ended_bytes = 0
        is_tight = used > memory * TIGHT_MEMORY_PART
        self._factor = TIGHT_FACTOR if is_tight else 1.0

    def _free_uploads(self, now: float) -> None:
        if not self._held and not self._is_upload_full():
            self._shortage_since = None
            return
        if self._shortage_since is None:
            self._shortage_since = now
        stalled = [
            conn
            for conn in self._connections
            if conn.phase is Phase.BODY and conn.idle_s(now) >= STALL_S
        ]
        stalled.sort(
            key=lambda conn: conn.upload_bytes * conn.idle_s(now), reverse=True
        )
        for conn in stalled:
            if not self._is_upload_full():
                break
            self._end(conn, 'upload')
        if (
            not stalled
            and now - self._shortage_since >= STALL_S
            and self._is_upload_full()
            and self._held
        ):
            youngest = sorted(self._held, key=lambda conn: -conn.began_at)
            for conn in youngest[: len(youngest) // 4 + 1]:
                self._end(conn, 'upload')
        oldest = self._oldest_upload()
        if oldest in self._held:
            self.release(oldest)
        # Each takes some room once it is read.
        room = self._limit(self._bounds.upload_bytes) - self._upload_bytes
        while self._held and room > 0:
            self._release_oldest()
            room -= SMALL_UPLOAD_BYTES

    def _free_answers(self, now: float) -> None:
        bound = self._limit(self._bounds.held_bytes) - self._upload_bytes
        if not self._answer_waiters and self._answer_bytes <= bound:
            return
        stalled = [
            conn
            for conn in self._connections
            if conn.phase is Phase.WRITING
            and conn.answer_bytes
            and conn.idle_s(now) >= STALL_S
        ]
        if not stalled:
            return
        stalled.sort(
            key=lambda conn: conn.answer_bytes * conn.idle_s(now), reverse=True
        )
        for conn in stalled:
            if self._answer_bytes <= bound / 2:
                break
            self._end(conn, 'answer')

    def _log(self) -> None:
        """Logs what was decided since the last line, at most once a second."""
        now = self._clock.now()
        if now < self._log_at or self.counts == self._logged:
            return
        self._log_at = now + LOG_INTERVAL_S
        logs.event(
            'clients_limited',
            'WARNING',
            upload_bytes=self._upload_bytes,
            answer_bytes=self._answer_bytes,
            connections=len(self._connections),
            **(self.counts - self._logged),
        )
        self._logged = collections.Counter(self.counts)


class AnswerHold:
    """Memory for the answer to the request that the current task serves."""

    def __init__(self):
        self._owner = CONNECTION.get()
        self._size = 0

    async def extend_to(self, size: int) -> None:
        """Waits for room for the first ``size`` bytes of the answer."""
        if self._owner is None or size <= self._size:
            return
        book, conn = self._owner
        more, self._size = size - self._size, size
        try:
            await book.reserve_answer(conn, more)
        except BaseException:
            self._size -= more
            raise

    def release(self) -> None:
        """Gives the memory back, if the answer is not used."""
        if self._owner is not None:
            book, conn = self._owner
            book.add_answer(conn, -self._size)
        self._size = 0


def _resident_bytes() -> int:
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * 4096


class DenseReader:
    """Limits the time that the loop spends on densely chunked bodies.

    Parsing a chunk takes longer than parsing a byte. Connections with such
    bodies are read one after the other, with a pause as long as the reading.
    """

    def __init__(self):
        self._waiting: collections.deque = collections.deque()
        self._handle: asyncio.TimerHandle | None = None

    def add(self, resume) -> None:
        """Calls a function when a connection may be read once.

        Args:
            resume: Function without parameters.
        """
        self._waiting.append(resume)
        if self._handle is None:
            self._schedule(0.0)

    def _schedule(self, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(pause_s, self._resume_next)

    def _resume_next(self) -> None:
        self._handle = None
        if self._waiting:
            self._waiting.popleft()()
            self._schedule(0.001)

    def record(self, seconds: float) -> None:
        """Records how long the parsing of such a body took."""
        if self._handle is not None:
            self._handle.cancel()
            self._schedule(max(seconds, 0.001))


def parse_time() -> float:
    """Returns a time for ``DenseReader.record``."""
    return time.perf_counter()
