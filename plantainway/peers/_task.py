"""Links between nodes: beats, reports and configuration."""

import asyncio
import contextlib
import dataclasses

from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server
from websockets import exceptions as ws_exceptions

from plantainway import bus
from plantainway import errors
from plantainway import logs
from plantainway.peers import _links
from plantainway import wire

BEAT_PERIOD_S = 0.5
DIAL_PAUSE_S = 1.0
HELLO_TIMEOUT_S = 2.0
SEND_QUEUE_MAX = 1000
REGISTRY_POLL_S = 5.0
DELTAS_KEPT = 64
_MS = 1000


class _Link:
    """One connection to another node, and its queue of messages."""

    def __init__(self, conn, hello: wire.Hello):
        self.conn = conn
        self.node = hello.node
        self.incarnation = hello.incarnation
        self.domain = hello.failure_domain
        self.queue = asyncio.Queue(SEND_QUEUE_MAX)
        self.bytes_out = 0
        self.bytes_in = 0

    def send(self, message) -> None:
        """Queues a message; a peer that is too slow loses the link."""
        try:
            self.queue.put_nowait(message)
        except asyncio.QueueFull:
            asyncio.ensure_future(self.conn.close())

    async def pump(self) -> None:
        """Writes queued messages until the connection ends."""
        while True:
            data = wire.encode(await self.queue.get())
            self.bytes_out += len(data)
            await self.conn.send(data)


class PeersTask:
    """Keeps links to other nodes and exchanges what each must know.

    Args:
        cfg: Settings of the node.
        registration: Registration of this node.
        parts: Shared parts of the node.
    """

    def __init__(self, cfg, registration, parts):
        self._cfg = cfg
        self._me = registration
        self._parts = parts
        self._book = parts.book
        self._links: dict[str, _Link] = {}
        self._dialing: set[str] = set()
        self._addresses: dict[str, str] = {}
        self._inbox = parts.bus.subscribe(
            bus.VmObservationsChanged,
            bus.CopiesChanged,
            bus.LocalLoadsMeasured,
            bus.RevisionInForce,
            bus.LocalSheetUpdated,
        )
        self._loads: dict[str, list[int]] = {}
        self._sheets: dict[str, tuple[int, int]] = {}
        self._loads_sent: dict[str, list[int]] = {}
        self._deltas: dict[int, list] = {}
        self._revision = 0
        self._server = None
        self._registry_at = 0.0
        self.port = 0
        self.bytes_closed = [0, 0]
        self._report = wire.Report(
            registration.node,
            registration.incarnation,
            1,
            registration.region,
            registration.place,
            registration.failure_domain,
            registration.caller,
            registration.peer,
            False,
            {},
            {},
            {},
        )

    async def listen(self) -> None:
        """Opens the server socket."""
        host, _, port = self._cfg.listen.peer.rpartition(':')
        self._server = await ws_server.serve(
            self._serve,
            host.strip('[]'),
            int(port),
            compression=None,
            max_size=wire.MAX_MESSAGE_BYTES,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def advertise(self, caller: str, peer: str) -> None:
        """Sets the addresses that the report names.

        Args:
            caller: Address for callers.
            peer: Address for other nodes.
        """
        self._report = dataclasses.replace(
            self._report, caller=caller, peer=peer
        )
        self._publish_report()

    async def run(self) -> None:
        """Beats, dials and passes messages until cancelled."""
        try:
            while True:
                beat_at = self._parts.clock.now() + BEAT_PERIOD_S
                while True:
                    left_s = beat_at - self._parts.clock.now()
                    if left_s <= 0:
                        break
                    try:
                        async with asyncio.timeout(left_s):
                            message = await self._inbox.get()
                    except TimeoutError:
                        break
                    self._take_in(message)
                self._beat()
                self._dial_missing()
                await self._poll_registry()
        finally:
            self._server.close()
            for link in list(self._links.values()):
                await link.conn.close()

    def leave(self) -> None:
        """Tells the other nodes that this one is leaving."""
        self._change_report(leaving=True)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            'links': sorted(self._links),
            'live': sorted(self._book.live()),
            'bytes': self.bytes_total(),
            'report': self._report.number,
        }

    def bytes_total(self) -> list[int]:
        """Returns payload bytes sent and received since the start."""
        links = list(self._links.values())
        return [
            self.bytes_closed[0] + sum(link.bytes_out for link in links),
            self.bytes_closed[1] + sum(link.bytes_in for link in links),
        ]

    def _take_in(self, message) -> None:
        if isinstance(message, bus.LocalLoadsMeasured):
            self._loads = message.loads
        elif isinstance(message, bus.VmObservationsChanged):
            self._change_report(seen=message.seen)
        elif isinstance(message, bus.LocalSheetUpdated):
            for link in self._links.values():
                link.send(message.sheet)
        elif isinstance(message, bus.CopiesChanged):
            self._change_report(copies=message.copies, shards=message.shards)
        else:
            self._revision = message.revision.number

    def add_delta(self, number: int, changes: list) -> None:
        """Keeps the changes of a revision and tells the other nodes.

        Args:
            number: Number of the revision.
            changes: ``[kind, name, body or None]`` triples.
        """
        if number in self._deltas:
            return
        self._deltas[number] = changes
        self._deltas.pop(number - DELTAS_KEPT, None)
        for link in self._links.values():
            link.send(wire.Delta(number, changes))

    def _change_report(self, **changes) -> None:
        self._report = dataclasses.replace(
            self._report, number=self._report.number + 1, **changes
        )
        self._publish_report()

    def _publish_report(self) -> None:
        self._book.add_report(self._report)
        self._parts.bus.publish(bus.NodeReportUpdated(self._report))
        for link in self._links.values():
            link.send(self._report)

    def _own_beat(self) -> wire.Beat:
        oldest = self._parts.vm_observations.oldest_own_at()
        now = self._parts.clock.now()
        age_ms = int((now - oldest) * _MS) if oldest is not None else 0
        return wire.Beat(
            self._me.node,
            self._me.incarnation,
            max(age_ms, 0),
            self._report.number,
        )

    def _beat(self) -> None:
        mine = self._own_beat()
        domains = {
            name: report.failure_domain
            for name, report in self._book.live().items()
        }
        near = [mine]
        far = [mine]
        for node, domain in domains.items():
            beat = self._book.beat_of(node)
            if beat is None or node == self._me.node:
                continue
            if domain == self._me.failure_domain:
                far.append(beat)
            else:
                near.append(beat)
        loads = {
            vm: load
            for vm, load in self._loads.items()
            if any(load) or self._loads_sent.get(vm) != load
        }
        self._loads_sent = self._loads
        for link in self._links.values():
            same = link.domain == self._me.failure_domain
            beats = near if same else far
            link.send(wire.Beats(beats, loads, self._revision))
        self._book.expire()

    def _dial_missing(self) -> None:
        places = {
            name: report.failure_domain
            for name, report in self._book.live().items()
        }
        places[self._me.node] = self._me.failure_domain
        for node in _links.links_to_dial(self._me.node, places):
            if node not in self._links and node not in self._dialing:
                address = self._book.reports[node].peer
                self._parts.spawn(self._dial(node, address))
        if len(self._book.live()) == 1:
            known = set(self._cfg.seed_peers) | set(self._addresses.values())
            for address in known - self._dialing - {self._report.peer}:
                self._parts.spawn(self._dial(address, address))

    async def _poll_registry(self) -> None:
        now = self._parts.clock.now()
        if now < self._registry_at:
            return
        self._registry_at = now + REGISTRY_POLL_S
        self._parts.spawn(self._read_registry())

    async def _read_registry(self) -> None:
        try:
            nodes = await self._parts.registry.nodes()
        except errors.StoreUnavailableError:
            return
        self._parts.bus.publish(
            bus.RegisteredNodesRead(
                frozenset(n for n, item in nodes.items() if not item.left)
            )
        )
        self._addresses = {
            name: item.peer
            for name, item in nodes.items()
            if not item.left and name != self._me.node
        }
        live = self._book.live()
        for name, address in self._addresses.items():
            if name not in live and name not in self._dialing:
                self._parts.spawn(self._dial(name, address))

    async def _dial(self, name: str, address: str) -> None:
        self._dialing.add(name)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                conn = await ws_client.connect(
                    f'ws://{address}',
                    compression=None,
                    max_size=wire.MAX_MESSAGE_BYTES,
                    proxy=None,
                )
            try:
                await self._converse(conn, dialed=True)
            finally:
                await conn.close()
        except (OSError, TimeoutError, ws_exceptions.WebSocketException):
            await asyncio.sleep(DIAL_PAUSE_S)
        finally:
            self._dialing.discard(name)

    async def _serve(self, conn) -> None:
        with contextlib.suppress(
            OSError, TimeoutError, ws_exceptions.WebSocketException
        ):
            await self._converse(conn, dialed=False)

    async def _converse(self, conn, dialed: bool) -> None:
        me = self._me
        hello = wire.Hello(
            wire.PROTOCOL_VERSION,
            me.node,
            me.incarnation,
            me.failure_domain,
        )
        await conn.send(wire.encode(hello))
        peer = str(conn.remote_address)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                theirs = wire.decode(await conn.recv(), peer)
            if not isinstance(theirs, wire.Hello):
                raise errors.WireError('no hello', 'hello', peer)
            if theirs.version != wire.PROTOCOL_VERSION:
                raise errors.WireError(
                    f'protocol version {theirs.version}, '
                    f'not {wire.PROTOCOL_VERSION}',
                    'hello',
                    peer,
                )
            if theirs.node == me.node:
                return
            await self._use(conn, theirs, dialed)
        except errors.WireError as exc:
            logs.event(
                'peer_refused',
                'WARNING',
                peer=exc.peer,
                code=exc.code,
                reason=exc.message,
            )
            await conn.close(1002, exc.message[:100])

    async def _use(self, conn, hello: wire.Hello, dialed: bool) -> None:
        held = self._links.get(hello.node)
        if held is not None:
            # Both sides dialed: keep the one that the smaller name opened,
            # unless the peer has restarted since.
            newer = hello.incarnation > held.incarnation
            if newer or dialed == (self._me.node < hello.node):
                await held.conn.close()
            else:
                return
        link = _Link(conn, hello)
        self._links[hello.node] = link
        pump = asyncio.create_task(link.pump())
        link.send(self._report)
        if dialed:
            for report in list(self._book.live().values()):
                link.send(report)
        try:
            async for data in conn:
                link.bytes_in += len(data)
                self._handle(link, wire.decode(data, link.node))
        finally:
            pump.cancel()
            self.bytes_closed[0] += link.bytes_out
            self.bytes_closed[1] += link.bytes_in
            if self._links.get(hello.node) is link:
                del self._links[hello.node]

    def _handle(self, link: _Link, message) -> None:
        if isinstance(message, wire.Beats):
            self._handle_beats(link, message)
        elif isinstance(message, wire.Report):
            self._handle_report(link, message)
        elif isinstance(message, wire.Sheet):
            self._handle_sheet(link, message)
        elif isinstance(message, wire.Pull):
            for node in message.nodes:
                if node in self._book.reports:
                    link.send(self._book.reports[node])
        elif isinstance(message, wire.Delta):
            self._parts.bus.publish(bus.DeltaReceived(message))
        elif isinstance(message, wire.Want):
            for number in sorted(self._deltas):
                if number > message.after:
                    link.send(wire.Delta(number, self._deltas[number]))

    def _handle_beats(self, link: _Link, message: wire.Beats) -> None:
        behind = [
            beat.node
            for beat in message.beats
            if beat.node != self._me.node and self._book.add_beat(beat)
        ]
        if behind:
            link.send(wire.Pull(behind))
        if message.loads:
            self._parts.bus.publish(bus.RemoteLoadsReceived(message.loads))
        if message.revision > self._revision:
            link.send(wire.Want(self._revision))
            self._parts.bus.publish(bus.RevisionAnnounced(message.revision))

    def _handle_report(self, link: _Link, report: wire.Report) -> None:
        if report.node == self._me.node:
            return
        if not self._book.add_report(report):
            return
        self._book.add_beat(
            wire.Beat(report.node, report.incarnation, 0, report.number)
            if report.node == link.node
            else wire.Beat(
                report.node,
                report.incarnation,
                self._age_ms(report.node),
                report.number,
            )
        )
        self._parts.bus.publish(bus.NodeReportUpdated(report))
        self._forward(link, report)

    def _handle_sheet(self, link: _Link, sheet: wire.Sheet) -> None:
        ident = (sheet.incarnation, sheet.number)
        if sheet.node == self._me.node or (
            self._sheets.get(sheet.node, (0, 0)) >= ident
        ):
            return
        self._sheets[sheet.node] = ident
        self._parts.bus.publish(bus.RemoteSheetReceived(sheet))
        self._forward(link, sheet)

    def _forward(self, link: _Link, message) -> None:
        """Passes a message on between the own failure domain and others."""
        near = link.domain == self._me.failure_domain
        for other in self._links.values():
            same = other.domain == self._me.failure_domain
            if other is not link and near != same:
                other.send(message)

    def _age_ms(self, node: str) -> int:
        beat = self._book.beat_of(node)
        return beat.age_ms if beat else int(BEAT_PERIOD_S * _MS)
