"""Tests of timers that wait for a late loop to listen."""

import asyncio
import time

import pytest

from plantainway import loops

TIMEOUT_S = 0.05


@pytest.mark.parametrize('late_s', [0.0, 0.1, 0.4])
async def test_timer_of_a_late_loop_lets_its_readers_run_first(late_s):
    """Guards against a late loop that is taken for a silent peer."""
    read_end, own_end, write_end = await _connect()
    expired = []
    timer = loops.ListeningTimer(lambda: expired.append(timer.late_s))

    async def read():
        await read_end.readexactly(1)
        timer.disarm()

    reader = asyncio.ensure_future(read())
    await asyncio.sleep(0.01)
    timer.arm(TIMEOUT_S)
    write_end.write(b'x')
    time.sleep(late_s)  # the byte waits in the socket
    await reader
    await asyncio.sleep(TIMEOUT_S + 3 * loops.LISTEN_S)
    assert expired == []
    for end in (own_end, write_end):
        end.close()


@pytest.mark.parametrize('times', [1, 3])
async def test_timer_waits_while_the_loop_goes_on_running_late(times):
    """Pauses may follow one another; the last one counts as well."""
    read_end, own_end, write_end = await _connect()
    expired = []
    timer = loops.ListeningTimer(lambda: expired.append(timer.late_s))
    loop = asyncio.get_running_loop()

    def pause(remaining):
        if remaining == 1:
            write_end.write(b'x')
        time.sleep(4 * loops.LATE_MAX_S)
        if remaining > 1:
            loop.call_later(loops.LISTEN_S / 2, pause, remaining - 1)

    async def read():
        await read_end.readexactly(1)
        timer.disarm()

    reader = asyncio.ensure_future(read())
    await asyncio.sleep(0.01)
    timer.arm(TIMEOUT_S)
    loop.call_later(TIMEOUT_S + loops.LISTEN_S / 2, pause, times)
    await reader
    assert expired == []
    for end in (own_end, write_end):
        end.close()


@pytest.mark.parametrize('late_s', [0.0, 0.2])
async def test_timer_expires_once_the_loop_has_listened(late_s):
    """A silent peer is noticed soon after the loop is on time again."""
    expired = asyncio.Event()
    timer = loops.ListeningTimer(expired.set)
    began_at = time.monotonic()
    timer.arm(TIMEOUT_S)
    time.sleep(late_s)
    await asyncio.wait_for(expired.wait(), 5.0)
    took_s = time.monotonic() - began_at
    assert took_s >= max(TIMEOUT_S, late_s) + loops.LISTEN_S
    assert timer.late_s == pytest.approx(took_s - TIMEOUT_S, abs=0.02)


async def test_disarmed_timer_does_not_expire():
    """Neither before its time nor while the loop listens."""
    expired = []
    timer = loops.ListeningTimer(lambda: expired.append(1))
    for pause_s in (0.0, TIMEOUT_S + loops.LISTEN_S / 2):
        timer.arm(TIMEOUT_S)
        await asyncio.sleep(pause_s)
        timer.disarm()
    await asyncio.sleep(TIMEOUT_S + 3 * loops.LISTEN_S)
    assert expired == []


@pytest.mark.parametrize('is_silent', [False, True])
async def test_timeout_of_a_late_loop(is_silent):
    """It is no time-out if the answer has arrived meanwhile."""
    read_end, own_end, write_end = await _connect()

    async def ask():
        async with loops.timeout(TIMEOUT_S):
            return await read_end.readexactly(1)

    task = asyncio.ensure_future(ask())
    await asyncio.sleep(0.01)
    if not is_silent:
        write_end.write(b'x')
    time.sleep(4 * TIMEOUT_S)
    if is_silent:
        with pytest.raises(TimeoutError):
            await task
    else:
        assert await task == b'x'
    for end in (own_end, write_end):
        end.close()


async def test_timeout_passes_other_errors_on():
    """A time-out inside is not its own, and it leaves no timer."""
    with pytest.raises(TimeoutError):
        async with loops.timeout(TIMEOUT_S) as scope:
            raise TimeoutError
    assert not scope.expired()
    await asyncio.sleep(TIMEOUT_S + 3 * loops.LISTEN_S)


async def _connect():
    """Returns reader and writer of one end, and the writer of the other."""
    accepted = asyncio.get_running_loop().create_future()

    def accept(_reader, writer):
        accepted.set_result(writer)

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    reader, writer = await asyncio.open_connection(
        *server.sockets[0].getsockname()
    )
    server.close()
    return reader, writer, await accepted
