"""Tests of the decisions which clients are read, refused or closed."""

import asyncio
import math

import pytest

from plantainway import clock as clocks
from plantainway.platform import _intake

MB = 1 << 20
CALLER = _intake.Listener.CALLER
BODY = _intake.Phase.BODY
HEAD = _intake.Phase.HEAD
IDLE = _intake.Phase.IDLE
RUNNING = _intake.Phase.RUNNING
WRITING = _intake.Phase.WRITING


class FakeConnection(_intake.BaseConnection):
    """A connection that records what the book does with it."""

    def __init__(self, clock, phase=IDLE):
        super().__init__(CALLER, clock.now())
        self.phase = phase
        self.ended = []
        self.released = 0
        self.unread = 0

    def unread_bytes(self):
        """Returns a figure that the test sets."""
        return self.unread

    def refresh(self, now):
        """Leaves the phase to the test."""

    def release(self):
        """Counts the call."""
        self.released += 1

    def end(self, reason):
        """Records the reason."""
        self.ended.append(reason)


class Fixture:
    """A book with bounds of 10 MB (5 for uploads) and some connections."""

    def __init__(self, descriptors=math.inf, used_bytes=0):
        self.clock = clocks.ManualClock()
        self.book = _intake.ConnectionBook(
            self.clock,
            _intake.IntakeBounds(100 * MB, 10 * MB, 5 * MB, descriptors),
            lambda: used_bytes,
        )

    def add(self, phase=IDLE):
        conn = FakeConnection(self.clock, phase)
        assert self.book.add(conn)
        return conn

    def upload(self, size, age_s=0.0):
        conn = self.add(BODY)
        conn.began_at -= age_s
        conn.received = size
        self.book.set_upload(conn, size)
        return conn

    def pass_time(self, seconds):
        for _ in range(round(seconds / _intake.SWEEP_INTERVAL_S)):
            self.clock.advance(_intake.SWEEP_INTERVAL_S)
            self.book.sweep()


@pytest.mark.parametrize(
    'memory_mb, max_fds, held_mb, descriptors',
    [
        (0, 0, math.inf, math.inf),
        (152, 1535, 22.8, 1151.25),
        (552, 8192, 82.8, 7168),
        (152, 256, 22.8, 192),
    ],
)
def test_bounds_follow_the_machine(memory_mb, max_fds, held_mb, descriptors):
    """Guards against bounds that do not fit the VM."""
    bounds = _intake.IntakeBounds.derive(memory_mb, max_fds)
    assert bounds.held_bytes / MB == pytest.approx(held_mb)
    assert bounds.descriptors == descriptors


@pytest.mark.parametrize('phase', [IDLE, RUNNING, WRITING, BODY])
def test_clients_within_the_limits_are_not_ended(phase):
    """An idle client, or a slow one, stays as long as there is room."""
    fix = Fixture()
    conn = fix.add(phase)
    fix.book.set_upload(conn, 4 * MB)
    fix.pass_time(12.0)
    assert not conn.ended
    assert fix.book.may_read(conn)


def test_reader_that_pauses_is_ended_late():
    """Guards against answers that are never read, and against haste."""
    fix = Fixture()
    paused, slow = fix.add(WRITING), fix.add(WRITING)
    for conn in (paused, slow):
        conn.unread = MB
        conn.set_phase(WRITING, fix.clock.now())
        conn.due_at = fix.clock.now() + _intake.ANSWER_STALL_S
    for _ in range(15):
        fix.pass_time(4.0)
        slow.unread -= 4096
    assert not paused.ended
    fix.pass_time(1.0)
    assert paused.ended == ['writing_timeout']
    assert not slow.ended


@pytest.mark.parametrize('phase', [HEAD, BODY, WRITING])
def test_late_connection_is_ended(phase):
    """Guards against connections that are held without end."""
    fix = Fixture()
    conn = fix.add(phase)
    conn.due_at = fix.clock.now() + 3.0
    fix.pass_time(3.0)
    assert not conn.ended
    fix.pass_time(0.5)
    assert conn.ended == [f'{phase.value}_timeout']


def test_stalled_upload_gives_way_to_one_that_goes_on():
    """Guards against a crowd that stops short and keeps others out."""
    fix = Fixture()
    stalled = [fix.upload(2 * MB, age_s=5.0 - n) for n in range(3)]
    new = fix.upload(MB)
    assert not fix.book.may_read(new)
    for _ in range(8):
        new.received += 65536
        fix.pass_time(_intake.SWEEP_INTERVAL_S)
    assert [conn.ended for conn in stalled].count(['upload']) >= 1
    assert not new.ended
    assert new.released
    assert fix.book.upload_bytes < 5 * MB


def test_oldest_upload_is_read_in_any_case():
    """Guards against uploads that all wait for one another."""
    fix = Fixture()
    old = fix.upload(4 * MB, age_s=1.0)
    young = fix.upload(4 * MB)
    assert fix.book.may_read(old)
    assert not fix.book.may_read(young)


def test_youngest_waiting_uploads_go_first():
    """Without a stalled one, the youngest are refused."""
    fix = Fixture()
    conns = [fix.upload(MB, age_s=8.0 - n) for n in range(8)]
    for _ in range(8):
        for conn in conns:
            conn.received += 65536
            fix.book.may_read(conn)
        fix.pass_time(_intake.SWEEP_INTERVAL_S)
    assert not any(conn.ended for conn in conns[:4])
    assert conns[-1].ended == ['upload']


def test_small_request_is_read_while_uploads_wait():
    """Guards against large uploads that keep ordinary requests out."""
    fix = Fixture()
    fix.upload(6 * MB)
    assert fix.book.may_read(fix.upload(1000))


@pytest.mark.parametrize(
    'phases, ended',
    [
        ([HEAD, IDLE, RUNNING], [0]),
        ([IDLE, RUNNING, BODY], [2]),
        ([IDLE, RUNNING, RUNNING], [0]),
        ([IDLE, RUNNING, WRITING], [2]),
        ([WRITING, RUNNING, HEAD], [2]),
    ],
)
def test_slowest_connection_makes_room(phases, ended):
    """Incomplete requests go first, then readers; running ones never do."""
    fix = Fixture(descriptors=4.5)  # 3 for callers
    conns = [fix.add(phase) for phase in phases]
    fix.clock.advance(2.0)
    fix.add()
    assert [n for n, conn in enumerate(conns) if conn.ended] == ended


def test_new_connection_is_refused_if_none_may_go():
    """Guards against running requests that are cut off for a new one."""
    fix = Fixture(descriptors=4.5)
    conns = [fix.add(RUNNING) for _ in range(3)]
    fix.clock.advance(2.0)
    assert not fix.book.add(FakeConnection(fix.clock))
    assert not any(conn.ended for conn in conns)
    assert fix.book.counts['connections'] == 1


def test_request_is_refused_before_it_runs_without_descriptors():
    """Guards against requests that find no descriptor for an upstream."""
    fix = Fixture(descriptors=4.5)
    conns = [fix.add(RUNNING) for _ in range(3)]
    fix.clock.advance(2.0)
    assert not fix.book.may_begin(conns[0])


def test_request_is_refused_while_answers_fill_the_memory():
    """Guards against answers that nobody reads."""
    fix = Fixture()
    reader, new = fix.add(WRITING), fix.add(RUNNING)
    fix.book.set_answer(reader, 11 * MB)
    assert not fix.book.may_begin(new)


async def test_answer_waits_for_room_and_stalled_reader_is_ended():
    """Guards against slow readers that keep answers from others."""
    fix = Fixture()
    stalled, reading, new = fix.add(WRITING), fix.add(WRITING), fix.add()
    fix.book.set_answer(stalled, 5 * MB)
    fix.book.set_answer(reading, 4 * MB)
    stalled.unread = reading.unread = 4 * MB
    waiting = asyncio.ensure_future(fix.book.reserve_answer(new, 3 * MB))
    await asyncio.sleep(0)
    assert not waiting.done()
    for _ in range(6):
        reading.unread -= 8192
        fix.pass_time(_intake.SWEEP_INTERVAL_S)
    await asyncio.wait_for(waiting, 1.0)
    assert stalled.ended == ['answer']
    assert not reading.ended
    assert fix.book.answer_bytes == 7 * MB


def test_bounds_are_halved_while_the_process_is_large():
    """Guards against memory that other parts of the node use."""
    fix = Fixture(used_bytes=90 * MB)
    fix.pass_time(0.25)
    old, new = fix.upload(2 * MB, age_s=1.0), fix.upload(MB)
    assert fix.book.may_read(old)
    assert not fix.book.may_read(new)


def test_nothing_is_left_of_an_ended_connection():
    """Guards against an account that grows with each connection."""
    fix = Fixture()
    conn = fix.upload(4 * MB)
    fix.book.set_answer(conn, MB)
    fix.book.remove(conn)
    assert (fix.book.upload_bytes, fix.book.answer_bytes) == (0, 0)
    assert fix.book.dump()['connections']['caller'] == 0
