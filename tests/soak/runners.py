"""Runners whose answers tell which request they belong to."""

import asyncio

from tests.platform import runner_standin
from tests.soak import proxy

EVENTS = 6
JOIN_S = 0.15
OPEN_S = 0.05
MODEL_SIZE = 2


def plain_body(token: str) -> bytes:
    """Returns the whole answer to a request of a plain service.

    Args:
        token: What names the request.
    """
    return f'answer to {token}.'.encode()


def stream_event(token: str, number: int) -> bytes:
    """Returns an event of the answer to a stream.

    Args:
        token: What names the request.
        number: Id of the event.
    """
    return f'id: {number}\ndata: {token} {number}\n\n'.encode()


def stream_body(token: str) -> bytes:
    """Returns all events of the answer to a stream.

    Args:
        token: What names the request.
    """
    return b''.join(stream_event(token, n) for n in range(1, EVENTS + 1))


class Runner(runner_standin.RunnerStandIn):
    """A runner behind a link, whose requests and groups are noted.

    Args:
        ledger: Where they are noted.
        fleet: All runners by name.
    """

    def __init__(self, name, service, store, ledger, fleet):
        super().__init__(name, service, store)
        self.ledger = ledger
        self.fleet = fleet
        self.link: proxy.Proxy | None = None
        self.members: list[str] = []
        self.is_down = False
        self._later: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listens, and registers the address of the link."""
        entry_store, self.store = self.store, None
        await super().start()
        self.store = entry_store
        self.link = proxy.Proxy(self.address)
        self.address = await self.link.start()
        self.write_entry()

    async def stop(self) -> None:
        """Ends the runner and its link."""
        for task in self._later:
            task.cancel()
        await super().stop()
        await self.link.stop()

    def reset(self) -> None:
        """Forgets everything, as a new life does."""
        self.started_ms += 1
        self.staged = []
        self.group = None
        self.members = []
        self.model = ''
        self.seq = self.newest_epoch = 0

    def _serves(self) -> bool:
        return self.group is not None and self.group['state'] == 'open'

    def _order(self, order: dict) -> int:
        if order['op'] == 'join' and order['epoch'] >= self.newest_epoch:
            same = (self.group or {}).get('epoch') == order['epoch']
            if self.group is not None and not same:
                head = self.fleet[self.members[0]]
                self.ledger.note_join(
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
            self._after(JOIN_S, order['epoch'], 'joining', 'ready')
        elif status == 202 and order['op'] == 'open':
            self.group['state'] = 'ready'
            self._after(OPEN_S, order['epoch'], 'ready', 'open')
        return status

    def _after(self, delay_s, epoch, before, state) -> None:
        task = asyncio.ensure_future(
            self._change(delay_s, epoch, before, state)
        )
        self._later.add(task)
        task.add_done_callback(self._later.discard)

    async def _change(self, delay_s, epoch, before, state) -> None:
        await asyncio.sleep(delay_s)
        group = self.group or {}
        if (group.get('epoch'), group.get('state')) != (epoch, before):
            return
        group['state'] = state
        if state == 'ready':
            self.ledger.note_ready(self.name, group['name'], epoch)
        self.write_entry()

    async def _answer(self, reader, writer, seen) -> None:
        token = seen.target.rpartition('/')[2]
        request_id = seen.headers.get('request-id', '')
        headers = [
            ('Request-Id', request_id),
            ('Server-Stamp', f'stamp-{self.name}'),
        ]
        if self.service == 'plain':
            self.ledger.note_run(token)
            await asyncio.sleep(runner_standin.EVENT_S)
            runner_standin._send(writer, 200, headers, plain_body(token))
            return
        if not self._serves():
            runner_standin._send(
                writer, 421, [('Instance-Id', self.name)], b''
            )
            return
        self.ledger.note_run(token)
        self.ledger.note_group_run(
            self.members, self.group['name'], self.group['epoch'], MODEL_SIZE
        )
        await self._stream_token(writer, seen, headers, token)

    async def _stream_token(self, writer, seen, headers, token) -> None:
        headers.append(('Content-Type', 'text/event-stream'))
        headers.append(('Transfer-Encoding', 'chunked'))
        runner_standin._send(writer, 200, headers, b'', framed=False)
        first = int(seen.headers.get('last-event-id', 0)) + 1
        for number in range(first, EVENTS + 1):
            runner_standin._chunk(writer, stream_event(token, number))
            await writer.drain()
            await asyncio.sleep(runner_standin.EVENT_S)
        writer.write(b'0\r\n\r\n')
