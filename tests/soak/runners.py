"""Runner stand-ins whose answers contain the id of their request."""

import asyncio
import contextlib
import zlib

from tests.platform import runner_standin
from tests.soak import ledger
from tests.soak import proxy

EVENTS_PER_STREAM = 30
EVENT_INTERVAL_S = 0.04
SILENCE_S = 1.5
SILENT_EVERY = 5  # one run of so many falls silent
SILENT_AFTER = EVENTS_PER_STREAM // 2
POLL_S = 0.02
JOIN_DELAY_S = 0.15
OPEN_DELAY_S = 0.05
MODEL_SIZE = 2
COLD_S = 4.0


def plain_body(token: str) -> bytes:
    """Returns the complete answer to a request of a plain service.

    Args:
        token: Unique id of the request.
    """
    return f'answer to {token}.'.encode()


def stream_event(token: str, number: int) -> bytes:
    """Returns one event of the answer to a streaming request.

    Args:
        token: Unique id of the request.
        number: Number of the event, from 1.
    """
    return f'id: {number}\ndata: {token} {number}\n\n'.encode()


def stream_body(token: str) -> bytes:
    """Returns all events of the answer to a streaming request.

    Args:
        token: Unique id of the request.
    """
    return b''.join(
        stream_event(token, n) for n in range(1, EVENTS_PER_STREAM + 1)
    )


def falls_silent(token: str, runner: str) -> bool:
    """Returns whether a stream falls silent in its middle at a runner.

    Args:
        token: Unique id of the request.
        runner: Name of the runner.
    """
    return zlib.crc32(f'{token} {runner}'.encode()) % SILENT_EVERY == 0


class Runner(runner_standin.RunnerStandIn):
    """A runner behind a proxy that reports its requests to the checker.

    Args:
        checker: Receives executed requests and changes of groups.
        fleet: All runners by name.
        cut_pids: Ids of node processes that are cut off from all runners.
        places: Streams that run at once; further ones are refused. 0 for no
            limit.
        has_silence: Whether some streams fall silent and go on.
        has_cold: Whether it is cold after a restart.
    """

    def __init__(
        self,
        name,
        service,
        store,
        checker,
        fleet,
        cut_pids,
        places: int = 0,
        has_silence: bool = False,
        has_cold: bool = False,
    ):
        super().__init__(name, service, store)
        self._places = places
        self._has_silence = has_silence
        self._has_cold = has_cold
        self._cold_until = 0.0
        self._running = 0
        self._cut_pids = cut_pids
        self.checker = checker
        self.fleet = fleet
        self.link: proxy.Proxy | None = None
        self.members: list[str] = []
        self.is_down = False
        self._transitions: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts the runner and its proxy; registers the proxy's address."""
        entry_store, self.store = self.store, None
        await super().start()
        self.store = entry_store
        self.link = proxy.Proxy(self.address, self._cut_pids)
        self.address = await self.link.start()
        self.write_entry()

    async def stop(self) -> None:
        """Stops the runner and its proxy and cancels pending transitions."""
        for task in self._transitions:
            task.cancel()
        await super().stop()
        await self.link.stop()

    def reset(self) -> None:
        """Clears all state, as a restart of the process does."""
        self.started_ms += 1
        self.staged = []
        self.group = None
        self.members = []
        self.model = ''
        self.seq = self.newest_epoch = 0
        if self._has_cold:
            self._begin_cold(0.0)

    def turn_cold(self) -> None:
        """Becomes cold while it runs and shows it in its entry."""
        self._begin_cold(ledger.COLD_UNKNOWN_S)
        self.write_entry()

    def _begin_cold(self, unknown_s: float) -> None:
        now = asyncio.get_running_loop().time()
        self._cold_until = now + COLD_S
        self.checker.arrivals.colds.append(
            (ledger.Window(self.name, now, self._cold_until), unknown_s)
        )

    def _find_cold_left_ms(self) -> int:
        left_s = self._cold_until - asyncio.get_running_loop().time()
        return max(int(left_s * 1000), 0)

    def write_entry(self, state: str = 'ready') -> None:
        """Writes its entry with the time for which it stays cold.

        Args:
            state: ``ready`` or ``draining``.
        """
        self.cold_left_ms = self._find_cold_left_ms()
        super().write_entry(state)

    def _named(self, headers) -> list:
        # Of all answers only those to health checks tell that it is cold.
        is_health = headers == [('Instance-Id', self.name)]
        left_ms = self._find_cold_left_ms() if is_health else 0
        self.faults.cold_ms = str(left_ms or '')
        return super()._named(headers)

    def _serves(self) -> bool:
        return self.group is not None and self.group['state'] == 'open'

    def _order(self, order: dict) -> int:
        if order['op'] == 'join' and order['epoch'] >= self.newest_epoch:
            same = (self.group or {}).get('epoch') == order['epoch']
            if self.group is not None and not same:
                head = self.fleet[self.members[0]]
                self.checker.check_join(
                    self.name,
                    head.group is not None
                    and head.group['epoch'] == self.group['epoch']
                    and head._serves(),
                )
        status = super()._order(order)
        if status == 202 and order['op'] == 'join':
            self.members = order['members']
            self.group['state'] = 'joining'
            self.write_entry()
            self._schedule_transition(
                JOIN_DELAY_S, order['epoch'], 'joining', 'ready'
            )
        elif status == 202 and order['op'] == 'open':
            self.group['state'] = 'ready'
            self._schedule_transition(
                OPEN_DELAY_S, order['epoch'], 'ready', 'open'
            )
        return status

    def _schedule_transition(
        self, delay_s, epoch, from_state, to_state
    ) -> None:
        task = asyncio.ensure_future(
            self._transition(delay_s, epoch, from_state, to_state)
        )
        self._transitions.add(task)
        task.add_done_callback(self._transitions.discard)

    async def _transition(self, delay_s, epoch, from_state, to_state) -> None:
        await asyncio.sleep(delay_s)
        group = self.group or {}
        if (group.get('epoch'), group.get('state')) != (epoch, from_state):
            return
        group['state'] = to_state
        if to_state == 'ready':
            self.checker.record_ready(self.name, group['name'], epoch)
        self.write_entry()

    async def _answer(self, reader, writer, seen) -> None:
        token = seen.target.rpartition('/')[2]
        request_id = seen.headers.get('request-id', '')
        headers = [
            ('Request-Id', request_id),
            ('Server-Stamp', f'stamp-{self.name}'),
        ]
        headers = self._named(headers)
        if self.service == 'plain':
            self.checker.arrivals.record_arrival(self.name, seen.at, token)
            with self._recorded(token) as run:
                await asyncio.sleep(runner_standin.EVENT_S)
                runner_standin._send(writer, 200, headers, plain_body(token))
                run.is_complete = True
            return
        if not self._serves():
            runner_standin._send(
                writer, 421, [('Instance-Id', self.name)], b''
            )
            return
        self.checker.arrivals.record_arrival(self.name, seen.at, token)
        if self._places and self._running >= self._places:
            self._refuse(writer, request_id)
            return
        self.checker.check_group_run(
            self.members, self.group['name'], self.group['epoch'], MODEL_SIZE
        )
        self._running += 1
        try:
            with self._recorded(token) as run:
                await self._stream_token(reader, writer, seen, headers, token)
                run.is_complete = True
        finally:
            self._running -= 1

    @contextlib.contextmanager
    def _recorded(self, token):
        """Records a run of a request from its beginning to its end."""
        now = asyncio.get_running_loop().time
        run = self.checker.record_run(token, self.name, now())
        try:
            yield run
        finally:
            run.ended_at = now()

    async def _stream_token(
        self, reader, writer, seen, headers, token
    ) -> None:
        headers.append(('Content-Type', 'text/event-stream'))
        headers.append(('Transfer-Encoding', 'chunked'))
        runner_standin._send(writer, 200, headers, b'', framed=False)
        first = int(seen.headers.get('last-event-id', 0)) + 1
        is_silent = self._has_silence and falls_silent(token, self.name)
        for number in range(first, EVENTS_PER_STREAM + 1):
            runner_standin._chunk(writer, stream_event(token, number))
            await writer.drain()
            await self._sleep(reader, writer, EVENT_INTERVAL_S)
            if is_silent and number == SILENT_AFTER:
                await self._sleep(reader, writer, SILENCE_S)
        writer.write(b'0\r\n\r\n')

    async def _sleep(self, reader, writer, duration_s: float) -> None:
        """Waits while the client keeps the connection open.

        Raises:
            ConnectionError: If it closes the connection.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        while (left_s := until - loop.time()) > 0.0:
            if reader.at_eof() or writer.is_closing():
                raise ConnectionError('closed by the client')
            await asyncio.sleep(min(left_s, POLL_S))
