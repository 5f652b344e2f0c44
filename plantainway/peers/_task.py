"""Links between nodes: heartbeats, reports, configuration, limit loans."""

import asyncio
import contextlib
import dataclasses

from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server
from websockets import exceptions as ws_exceptions

from plantainway import bus
from plantainway import errors
from plantainway import logs
from plantainway import loops
from plantainway.peers import _links
from plantainway import wire

HEARTBEAT_PERIOD_S = 0.5
DIAL_RETRY_DELAY_S = 1.0
HELLO_TIMEOUT_S = 2.0
SEND_QUEUE_MAX_MESSAGES = 1000
REGISTRY_POLL_PERIOD_S = 5.0
MAX_RETAINED_DELTAS = 64
_MS_PER_S = 1000


class _Link:
    """Connection to another node with its queue of outgoing messages."""

    def __init__(self, conn, hello: wire.Hello):
        self.conn = conn
        self.node = hello.node
        self.incarnation = hello.incarnation
        self.domain = hello.failure_domain
        self.queue = asyncio.Queue(SEND_QUEUE_MAX_MESSAGES)
        self.bytes_sent = 0
        self.bytes_received = 0

    def send(self, message) -> None:
        """Queues a message; closes the link if the queue is full.

        A full queue means that the peer reads too slowly.
        """
        try:
            self.queue.put_nowait(message)
        except asyncio.QueueFull:
            asyncio.ensure_future(self.conn.close())

    async def write_messages(self) -> None:
        """Sends the queued messages until the connection ends."""
        while True:
            data = wire.encode(await self.queue.get())
            self.bytes_sent += len(data)
            await self.conn.send(data)


class PeersTask:
    """Maintains the links to other nodes and exchanges messages on them.

    Reports and limit loans that arrive from the own failure domain are
    forwarded to other domains, and the reverse.

    Args:
        cfg: Settings of the node.
        registration: Registration of this node, with its incarnation.
        parts: Components that the tasks of the node share.
    """

    def __init__(self, cfg, registration, parts):
        self._cfg = cfg
        self._registration = registration
        self._parts = parts
        self._membership = parts.book
        self._links: dict[str, _Link] = {}
        self._dialing: set[str] = set()
        self._registered_addresses: dict[str, str] = {}
        self._inbox = parts.bus.subscribe(
            bus.VmObservationsChanged,
            bus.CopiesChanged,
            bus.LocalLoadsMeasured,
            bus.RevisionInForce,
            bus.LocalSheetUpdated,
        )
        self._loads: dict[str, list[int]] = {}
        self._newest_loans_id: dict[str, tuple[int, int]] = {}
        self._sent_loads: dict[str, list[int]] = {}
        self._deltas: dict[int, list] = {}
        self._revision = 0
        self._server = None
        self._registry_poll_at = 0.0
        self.port = 0
        self.closed_link_bytes = [0, 0]
        self._report = wire.NodeReport(
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
        """Opens the server socket for peers and sets ``port``.

        Call once before ``run``.
        """
        host, _, port = self._cfg.listen.peer.rpartition(':')
        self._server = await ws_server.serve(
            self._accept,
            host.strip('[]'),
            int(port),
            compression=None,
            max_size=wire.MAX_MESSAGE_BYTES,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def advertise(self, caller: str, peer: str) -> None:
        """Sets the addresses in the report of this node and publishes it.

        Call once, after ``listen`` and before ``run``: the report keeps its
        number, so nodes that hold it would not replace it.

        Args:
            caller: Address for callers.
            peer: Address for other nodes.
        """
        self._report = dataclasses.replace(
            self._report, caller=caller, peer=peer
        )
        self._publish_report()

    async def run(self) -> None:
        """Sends heartbeats, dials peers and polls the registry.

        Runs until cancelled and handles messages from the bus as they arrive.
        Closes the server and all links at the end.
        """
        try:
            while True:
                next_heartbeat_at = (
                    self._parts.clock.now() + HEARTBEAT_PERIOD_S
                )
                while True:
                    left_s = next_heartbeat_at - self._parts.clock.now()
                    if left_s <= 0:
                        break
                    try:
                        async with asyncio.timeout(left_s):
                            message = await self._inbox.get()
                    except TimeoutError:
                        break
                    self._handle_local_message(message)
                self._send_heartbeats()
                self._dial_missing_peers()
                await self._poll_registry()
        finally:
            self._server.close()
            for link in list(self._links.values()):
                await link.conn.close()

    def announce_leaving(self) -> None:
        """Publishes a report that marks this node as leaving."""
        self._update_report(leaving=True)

    def dump(self) -> dict:
        """Returns links, live nodes, bytes and report number."""
        return {
            'links': sorted(self._links),
            'live': sorted(self._membership.live_reports()),
            'bytes': self.total_bytes(),
            'report': self._report.number,
        }

    def total_bytes(self) -> list[int]:
        """Returns payload bytes ``[sent, received]`` since the start."""
        links = list(self._links.values())
        return [
            self.closed_link_bytes[0] + sum(link.bytes_sent for link in links),
            self.closed_link_bytes[1]
            + sum(link.bytes_received for link in links),
        ]

    def _handle_local_message(self, message) -> None:
        if isinstance(message, bus.LocalLoadsMeasured):
            self._loads = message.loads
        elif isinstance(message, bus.VmObservationsChanged):
            self._update_report(seen=message.seen)
        elif isinstance(message, bus.LocalSheetUpdated):
            for link in self._links.values():
                link.send(message.sheet)
        elif isinstance(message, bus.CopiesChanged):
            self._update_report(copies=message.copies, shards=message.shards)
        else:
            self._revision = message.revision.number

    def broadcast_delta(self, number: int, changes: list) -> None:
        """Stores the changes of a revision and sends them to all peers.

        Peers that are behind can request the last ``MAX_RETAINED_DELTAS``
        revisions. A revision that is already stored is not sent again.

        Args:
            number: Number of the revision.
            changes: ``[kind, name, body or None]`` triples.
        """
        if number in self._deltas:
            return
        self._deltas[number] = changes
        self._deltas.pop(number - MAX_RETAINED_DELTAS, None)
        for link in self._links.values():
            link.send(wire.RevisionDelta(number, changes))

    def _update_report(self, **changes) -> None:
        self._report = dataclasses.replace(
            self._report, number=self._report.number + 1, **changes
        )
        self._publish_report()

    def _publish_report(self) -> None:
        self._membership.add_report(self._report)
        self._parts.bus.publish(bus.NodeReportUpdated(self._report))
        for link in self._links.values():
            link.send(self._report)

    def _own_heartbeat(self) -> wire.Heartbeat:
        # A heartbeat is as old as the oldest own probe, because receivers
        # date all observations in the report by it.
        oldest = self._parts.vm_observations.oldest_own_at()
        now = self._parts.clock.now()
        age_ms = int((now - oldest) * _MS_PER_S) if oldest is not None else 0
        return wire.Heartbeat(
            self._registration.node,
            self._registration.incarnation,
            max(age_ms, 0),
            self._report.number,
        )

    def _send_heartbeats(self) -> None:
        """Sends heartbeats on all links and removes expired nodes.

        Links within the own failure domain carry the heartbeats of other
        domains, and links to other domains those of the own domain.
        """
        own_beat = self._own_heartbeat()
        domain_by_node = {
            name: report.failure_domain
            for name, report in self._membership.live_reports().items()
        }
        beats_for_own_domain = [own_beat]
        beats_for_other_domains = [own_beat]
        for node, domain in domain_by_node.items():
            beat = self._membership.heartbeat_of(node)
            if beat is None or node == self._registration.node:
                continue
            if domain == self._registration.failure_domain:
                beats_for_other_domains.append(beat)
            else:
                beats_for_own_domain.append(beat)
        # The load of an idle VM is left out once its change has been sent.
        loads = {
            vm: load
            for vm, load in self._loads.items()
            if any(load) or self._sent_loads.get(vm) != load
        }
        self._sent_loads = self._loads
        for link in self._links.values():
            is_own_domain = link.domain == self._registration.failure_domain
            beats = (
                beats_for_own_domain
                if is_own_domain
                else beats_for_other_domains
            )
            link.send(wire.Heartbeats(beats, loads, self._revision))
        self._membership.remove_expired()

    def _dial_missing_peers(self) -> None:
        domain_by_node = {
            name: report.failure_domain
            for name, report in self._membership.live_reports().items()
        }
        domain_by_node[self._registration.node] = (
            self._registration.failure_domain
        )
        for node in _links.peers_to_dial(
            self._registration.node, domain_by_node
        ):
            if node not in self._links and node not in self._dialing:
                address = self._membership.reports[node].peer
                self._parts.spawn(self._dial(node, address))
        # Without any live peer, try the seed peers and registered addresses.
        if len(self._membership.live_reports()) == 1:
            known_addresses = set(self._cfg.seed_peers) | set(
                self._registered_addresses.values()
            )
            for address in (
                known_addresses - self._dialing - {self._report.peer}
            ):
                self._parts.spawn(self._dial(address, address))

    async def _poll_registry(self) -> None:
        now = self._parts.clock.now()
        if now < self._registry_poll_at:
            return
        self._registry_poll_at = now + REGISTRY_POLL_PERIOD_S
        self._parts.spawn(self._read_registry())

    async def _read_registry(self) -> None:
        try:
            nodes = await self._parts.registry.read_registrations()
        except errors.StoreUnavailableError:
            return
        self._parts.bus.publish(
            bus.RegisteredNodesRead(
                frozenset(
                    name
                    for name, registration in nodes.items()
                    if not registration.left
                )
            )
        )
        self._registered_addresses = {
            name: registration.peer
            for name, registration in nodes.items()
            if not registration.left and name != self._registration.node
        }
        live = self._membership.live_reports()
        for name, address in self._registered_addresses.items():
            if name not in live and name not in self._dialing:
                self._parts.spawn(self._dial(name, address))

    async def _dial(self, name: str, address: str) -> None:
        self._dialing.add(name)
        try:
            async with loops.timeout(HELLO_TIMEOUT_S):
                conn = await ws_client.connect(
                    f'ws://{address}',
                    open_timeout=None,
                    compression=None,
                    max_size=wire.MAX_MESSAGE_BYTES,
                    proxy=None,
                )
            try:
                await self._run_connection(conn, dialed=True)
            finally:
                await conn.close()
        except (OSError, TimeoutError, ws_exceptions.WebSocketException):
            await asyncio.sleep(DIAL_RETRY_DELAY_S)
        finally:
            self._dialing.discard(name)

    async def _accept(self, conn) -> None:
        with contextlib.suppress(
            OSError, TimeoutError, ws_exceptions.WebSocketException
        ):
            await self._run_connection(conn, dialed=False)

    async def _run_connection(self, conn, dialed: bool) -> None:
        own_registration = self._registration
        hello = wire.Hello(
            wire.PROTOCOL_VERSION,
            own_registration.node,
            own_registration.incarnation,
            own_registration.failure_domain,
        )
        await conn.send(wire.encode(hello))
        peer = str(conn.remote_address)
        try:
            async with loops.timeout(HELLO_TIMEOUT_S):
                peer_hello = wire.decode(await conn.recv(), peer)
            if not isinstance(peer_hello, wire.Hello):
                raise errors.WireError(
                    'first message is not a hello', 'hello', peer
                )
            if peer_hello.version != wire.PROTOCOL_VERSION:
                raise errors.WireError(
                    f'protocol version {peer_hello.version}, '
                    f'expected {wire.PROTOCOL_VERSION}',
                    'hello',
                    peer,
                )
            if peer_hello.node == own_registration.node:
                return
            await self._run_link(conn, peer_hello, dialed)
        except errors.WireError as exc:
            logs.event(
                'peer_refused',
                'WARNING',
                peer=exc.peer,
                code=exc.code,
                reason=exc.message,
            )
            await conn.close(1002, exc.message[:100])

    async def _run_link(self, conn, hello: wire.Hello, dialed: bool) -> None:
        existing = self._links.get(hello.node)
        if existing is not None:
            # Both nodes dialed: keep the connection opened by the node whose
            # name sorts first, unless the peer has restarted since.
            has_restarted = hello.incarnation > existing.incarnation
            is_kept = not has_restarted and dialed != (
                self._registration.node < hello.node
            )
            if is_kept:
                return
        link = _Link(conn, hello)
        self._links[hello.node] = link
        if existing is not None:
            # Not awaited: a silent peer does not answer the close.
            self._parts.spawn(existing.conn.close())
        writer_task = asyncio.create_task(link.write_messages())
        link.send(self._report)
        if dialed:
            for report in list(self._membership.live_reports().values()):
                link.send(report)
        try:
            async for data in conn:
                link.bytes_received += len(data)
                self._handle_peer_message(link, wire.decode(data, link.node))
        finally:
            writer_task.cancel()
            self.closed_link_bytes[0] += link.bytes_sent
            self.closed_link_bytes[1] += link.bytes_received
            if self._links.get(hello.node) is link:
                del self._links[hello.node]

    def _handle_peer_message(self, link: _Link, message) -> None:
        if isinstance(message, wire.Heartbeats):
            self._handle_heartbeats(link, message)
        elif isinstance(message, wire.NodeReport):
            self._handle_report(link, message)
        elif isinstance(message, wire.LimitLoans):
            self._handle_limit_loans(link, message)
        elif isinstance(message, wire.ReportRequest):
            for node in message.nodes:
                if node in self._membership.reports:
                    link.send(self._membership.reports[node])
        elif isinstance(message, wire.RevisionDelta):
            self._parts.bus.publish(bus.DeltaReceived(message))
        elif isinstance(message, wire.RevisionRequest):
            for number in sorted(self._deltas):
                if number > message.after:
                    link.send(wire.RevisionDelta(number, self._deltas[number]))

    def _handle_heartbeats(
        self, link: _Link, message: wire.Heartbeats
    ) -> None:
        outdated = [
            beat.node
            for beat in message.beats
            if beat.node != self._registration.node
            and self._membership.add_heartbeat(beat)
        ]
        if outdated:
            link.send(wire.ReportRequest(outdated))
        if message.loads:
            self._parts.bus.publish(bus.RemoteLoadsReceived(message.loads))
        if message.revision > self._revision:
            link.send(wire.RevisionRequest(self._revision))
            self._parts.bus.publish(bus.RevisionAnnounced(message.revision))

    def _handle_report(self, link: _Link, report: wire.NodeReport) -> None:
        if report.node == self._registration.node:
            return
        if not self._membership.add_report(report):
            return
        self._membership.add_heartbeat(
            wire.Heartbeat(report.node, report.incarnation, 0, report.number)
            if report.node == link.node
            else wire.Heartbeat(
                report.node,
                report.incarnation,
                self._heartbeat_age_ms(report.node),
                report.number,
            )
        )
        self._parts.bus.publish(bus.NodeReportUpdated(report))
        self._forward(link, report)

    def _handle_limit_loans(
        self, link: _Link, limit_loans: wire.LimitLoans
    ) -> None:
        loans_id = (limit_loans.incarnation, limit_loans.number)
        if limit_loans.node == self._registration.node or (
            self._newest_loans_id.get(limit_loans.node, (0, 0)) >= loans_id
        ):
            return
        self._newest_loans_id[limit_loans.node] = loans_id
        self._parts.bus.publish(bus.RemoteSheetReceived(limit_loans))
        self._forward(link, limit_loans)

    def _forward(self, link: _Link, message) -> None:
        """Forwards a message between the own failure domain and others.

        A message from the own domain goes to links to other domains, one
        from another domain to links within the own; never back to its link.
        """
        from_own_domain = link.domain == self._registration.failure_domain
        for other in self._links.values():
            to_own_domain = other.domain == self._registration.failure_domain
            if other is not link and from_own_domain != to_own_domain:
                other.send(message)

    def _heartbeat_age_ms(self, node: str) -> int:
        beat = self._membership.heartbeat_of(node)
        return beat.age_ms if beat else int(HEARTBEAT_PERIOD_S * _MS_PER_S)
