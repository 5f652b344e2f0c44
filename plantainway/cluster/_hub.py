"""WebSocket links between the leader and the other nodes, both ends."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools

import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from plantainway.cluster import _messages
from plantainway.cluster import _ramps
from plantainway import errors
from plantainway import logs
from plantainway import loops
from plantainway import ratelimits
from plantainway import stores

# Both directions: older load figures mislead the choice of a group's head.
SEND_INTERVAL_S = 0.4
# Nodes that already hold the same data share one encoded update for this long.
ENCODED_REUSE_S = 0.1
NODE_TIMEOUT_S = 1.2  # a node is live until its next heartbeat is this late
LINK_TIMEOUT_S = 1.0  # two updates missed
PERMIT_TIMEOUT_S = 0.3  # a request waits for an answer at most this long
UPDATE_LATE_S = 0.5  # time on the way that is logged
SUSPECT_VOTES_MIN = 2
# A node that sent a heartbeat this recently does not seek another leader.
FOLLOWER_TIMEOUT_S = 0.8
# Of the number of nodes linked when the lease was last acquired or renewed.
FOLLOWERS_MIN_FRACTION = 0.67
# If a node's tables are newer than the leader's by this much, the store still
# answers that node.
AGE_GAP_MIN_S = 0.8
CLOSE_NOT_LEADER = 1013  # WebSocket close code "try again later"
CLOSE_TIMEOUT_S = 0.25  # for a node's answer when a link is closed


class _NodeLink:
    """Leader's end of the link to one node, and what was sent over it.

    ``sent_revisions`` holds the table revisions sent last, by table,
    ``versions`` the table versions that the node holds or was sent,
    ``beat_number`` and ``beat_at`` number and time of the last heartbeat,
    ``sent_limits`` the revision of the limits. ``messages_sent_at`` is keyed
    by number; its first entry is the time at which the link was made.
    """

    def __init__(self, conn, now: float):
        self.conn = conn
        self.sent_limits = -1
        self.message_number = 0
        self.messages_sent_at = {0: now}
        self.sent_revisions: dict[str, int] = {}
        self.versions: dict[str, int] = {}
        self.sent_nodes: list[_messages.NodeInfo] | None = None
        self.wake = asyncio.Event()
        self.beat_number = 0
        self.beat_at = 0.0

    def next_ack(self, now: float) -> _messages.Ack:
        """Returns the acknowledgement to send with the next message.

        Args:
            now: Monotonic seconds.
        """
        held_ms = int((now - self.beat_at) * 1000)
        self.message_number += 1
        self.messages_sent_at[self.message_number] = now
        return _messages.Ack(self.beat_number, held_ms, self.message_number)

    def delay_s(self, beat, now: float) -> float:
        """Returns the longest time that a heartbeat may have been on its way.

        The node sent it ``message_age_ms`` after it had received a message
        whose sending time is known here.

        Args:
            beat: The heartbeat.
            now: Monotonic seconds.

        Raises:
            WireError: If no such message was sent over this link.
        """
        sent_at = self.messages_sent_at.get(beat.message_number)
        if sent_at is None:
            raise errors.WireError(
                f'unknown message {beat.message_number}',
                'heartbeat',
                beat.info.node,
            )
        for number in list(self.messages_sent_at):
            if number >= beat.message_number:
                break
            del self.messages_sent_at[number]
        return max(now - sent_at - beat.message_age_ms / 1000, 0.0)


class _EncodedUpdates:
    """Encoded updates that several links share for a short time.

    ``valid_until`` is monotonic seconds. ``encoded`` is keyed by what the
    receiver already has: two nodes with the same data get the same bytes.
    """

    def __init__(self, valid_until: float, nodes):
        self.valid_until = valid_until
        self.nodes = nodes
        self.encoded: dict[tuple, bytes] = {}


class Hub:
    """Server for the other nodes while this node is the leader.

    Receives their heartbeats, sums them up, and sends each node updates
    with the totals and the changed rows of the tables.

    Args:
        node: Name of this node.
        leadership: Leader lease.
        tables: Table caches whose rows are relayed to the nodes.
        own_heartbeat: Function that returns this node's own heartbeat.
        clock: Source of monotonic time.

    Attributes:
        on_heartbeat: Called with each heartbeat received and the longest
            time that it may have been on its way.
        disbanded_epochs: Function that returns the epochs of the disbanded
            groups by head; set by the node.
        opened_heads: Function that returns the heads that serve although
            their table entry does not show it yet; set by the node.
        watched_parts: Function that returns the parts of prompts whose
            survivals the nodes are to report; set by the node.
        quarantined_ms: Function that returns the quarantined parts; set by
            the node.
        limits: Limits of upstreams, which are sent to the nodes; set by the
            node.
        absent_nodes: Function that returns the nodes that are not in touch
            but may be using shares of limits; set by the node.
        unreached: Function that returns the engines that the nodes are asked
            about; set by the node.
        issue_permit: Function that answers a node's request for a permit;
            set by the node.
        on_link_ended: Called with the name of a node whose link has ended.
        sent_bytes: Bytes of all updates sent so far.
    """

    def __init__(self, node, leadership, tables, own_heartbeat, clock):
        self._node = node
        self._leadership = leadership
        self._tables = tables
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._server = None
        self._listened_at: float | None = None
        self._listening_timer: loops.ListeningTimer | None = None
        self._links: dict[str, _NodeLink] = {}
        self._encoded_updates: _EncodedUpdates | None = None
        self._heartbeats: dict[str, tuple[float, _messages.Heartbeat]] = {}
        self._adopted_nodes: dict[str, tuple[float, _messages.NodeInfo]] = {}
        self._total_work: dict[str, float] = {}
        self._last_work_by_node: dict[str, dict[str, float]] = {}
        self._ramps = _ramps.RampSums()
        self.on_heartbeat = []
        self.disbanded_epochs = dict
        self.opened_heads = list
        self.watched_parts = list
        self.quarantined_ms = dict
        self.limits = ratelimits.LimitBook(clock)
        self.absent_nodes = list
        self.unreached = dict
        self.issue_permit = None
        self.on_link_ended = []
        self._links_at_renewal = 0
        self.sent_bytes = 0
        for table in tables:
            table.on_change.append(self._wake_links)

    async def listen(self, address: str) -> str:
        """Starts to accept links from nodes.

        Args:
            address: ``IP:PORT`` to bind; port 0 selects a free port.

        Returns:
            The bound address as ``IP:PORT``.
        """
        host, _, port = address.rpartition(':')
        self._server = await ws_server.serve(
            self._serve_node,
            host,
            int(port),
            compression=None,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=_messages.MESSAGE_BYTES_MAX,
        )
        self._listening_timer = loops.ListeningTimer(self._record_listening)
        self._record_listening()
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def close(self) -> None:
        """Stops listening and closes all links.

        Links to nodes that do not answer are aborted after
        ``CLOSE_TIMEOUT_S``.
        """
        if self._server is not None:
            self._listening_timer.disarm()
            self._server.close()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2 * CLOSE_TIMEOUT_S):
                    await self._server.wait_closed()

    def _record_listening(self) -> None:
        """Records that all heartbeats that have arrived were read."""
        self._listened_at = self._clock.now()
        self._listening_timer.arm(loops.SLICE_S)

    def _oldest_live(self) -> float:
        """Returns the time since which a live node was heard from.

        It counts back from when this node listened last, as heartbeats lie
        unread after a pause.
        """
        now = self._listened_at
        if now is None:
            now = self._clock.now()
        return now - NODE_TIMEOUT_S - SEND_INTERVAL_S

    def _wake_links(self, _changed, _removed) -> None:
        self._encoded_updates = None
        for link in self._links.values():
            link.wake.set()

    def send_soon(self) -> None:
        """Sends all nodes an update now instead of at the next interval."""
        self._wake_links((), ())

    def adopt_nodes(self, nodes) -> None:
        """Treats the nodes of the previous leader's last update as live.

        They stay live as long as after a heartbeat. Called on taking the
        lease, when the nodes have not linked yet.

        Args:
            nodes: Nodes named in the previous leader's last update.
        """
        now = self._clock.now()
        self._adopted_nodes = {info.node: (now, info) for info in nodes}

    def live_nodes(self) -> list[_messages.NodeInfo]:
        """Returns this node and the nodes heard from or adopted recently."""
        oldest = self._oldest_live()
        own = self._own_heartbeat().info
        found = {own.node: own}
        for name, (at, beat) in self._heartbeats.items():
            if at >= oldest:
                found.setdefault(name, beat.info)
        for name, (at, info) in self._adopted_nodes.items():
            if at >= oldest:
                found.setdefault(name, info)
        return list(found.values())

    def live_heartbeats(self) -> list[_messages.Heartbeat]:
        """Returns the latest heartbeat of each live node and of this node."""
        oldest = self._oldest_live()
        beats = [
            beat for at, beat in self._heartbeats.values() if at >= oldest
        ]
        return [*beats, self._own_heartbeat()]

    def total_loads(self) -> dict[str, int]:
        """Returns the requests in progress on all nodes, by upstream."""
        total: dict[str, int] = {}
        for beat in self.live_heartbeats():
            for name, count in beat.loads.items():
                total[name] = total.get(name, 0) + count
        return total

    def pressure_ms(self) -> dict[str, dict[int, int]]:
        """Returns the longest pressure of all nodes, less its age here.

        Returns:
            Milliseconds by service and model and by priority.
        """
        now = self._clock.now()
        found = [(now, self._own_heartbeat()), *self._heartbeats.values()]
        longest: dict[str, dict[int, int]] = {}
        for at, beat in found:
            for key, by_priority in beat.pressure_ms.items():
                for priority, left_ms in by_priority.items():
                    left_ms -= int((now - at) * 1000)
                    known = longest.get(key, {}).get(priority, 0)
                    if left_ms > known:
                        longest.setdefault(key, {})[priority] = left_ms
        return longest

    def total_ramps(self) -> dict[str, tuple[int, int]]:
        """Returns the first events at heads with a ramp, of all nodes.

        Returns:
            Numbers of fast and slow ones by head and epoch.
        """
        self._ramps.add(self._node, self._own_heartbeat().ramps)
        beats = self.live_heartbeats()
        return self._ramps.retain(
            {key for beat in beats for key in beat.ramps}
        )

    def total_work(self) -> dict[str, float]:
        """Returns the increase in requested work that heartbeats have shown.

        Nodes report running totals, which restart at zero with the process;
        the hub adds up their increases. The first total of each node is only
        a baseline. This node's own work is added with each heartbeat that
        arrives from another node.

        Returns:
            Seconds of a group's time by ``service/model``, a running total.
        """
        return dict(self._total_work)

    def _add_work(self, beat) -> None:
        known = self._last_work_by_node.setdefault(beat.info.node, {})
        for key, total in beat.work.items():
            previous_total = known.get(key)
            known[key] = total
            if previous_total is None:
                continue  # a node's first total is only a baseline
            increase = (
                total - previous_total if total >= previous_total else total
            )
            self._total_work[key] = self._total_work.get(key, 0.0) + increase

    def record_link_count(self) -> None:
        """Stores how many nodes are linked, for ``has_enough_followers``.

        Called after the lease was acquired or renewed.
        """
        self._links_at_renewal = len(self._links)

    def has_enough_followers(self) -> bool:
        """Returns whether this node may keep leading without the store.

        That takes recent heartbeats from at least one linked node, and from
        at least ``FOLLOWERS_MIN_FRACTION`` of the number of nodes that were
        linked at the last renewal. It is false if the tables of any of them
        are newer than those of this node by more than ``AGE_GAP_MIN_S``,
        since the store then answers that node, which could become the
        leader.
        """
        now = self._clock.now()
        own_age_s = max(item.age_s() for item in self._tables)
        count = 0
        for name, (at, beat) in self._heartbeats.items():
            if name not in self._links or now - at > FOLLOWER_TIMEOUT_S:
                continue
            if beat.store_age_ms / 1000 + now - at < own_age_s - AGE_GAP_MIN_S:
                return False
            count += 1
        return (
            count > 0
            and count >= FOLLOWERS_MIN_FRACTION * self._links_at_renewal
        )

    def suspected_heads(self) -> list[str]:
        """Returns the heads that at least ``SUSPECT_VOTES_MIN`` nodes suspect.

        A single node's suspicion may stem from one slow request, and those
        of nodes that have lost their links say nothing about heads.
        """
        votes = collections.Counter(
            name
            for beat in self.live_heartbeats()
            if not beat.info.links_lost
            for name in beat.suspects
        )
        return [
            name for name, count in votes.items() if count >= SUSPECT_VOTES_MIN
        ]

    async def _serve_node(self, conn) -> None:
        if not self._leadership.is_leader():
            await conn.close(CLOSE_NOT_LEADER)
            return
        link = _NodeLink(conn, self._clock.now())
        name = ''
        sender = None
        try:
            async for data in conn:
                beat = _messages.decode(data, str(conn.remote_address))
                if isinstance(beat, _messages.PermitRequest):
                    await self._reply_to(beat, name, link)
                    continue
                name = beat.info.node
                now = self._clock.now()
                delay_s = link.delay_s(beat, now)
                self._links[name] = link
                link.beat_number, link.beat_at = beat.number, now
                if sender is None:
                    link.versions = dict(beat.versions)
                    sender = asyncio.ensure_future(self._send_updates(link))
                self._heartbeats[name] = (now, beat)
                self._add_work(beat)
                self._add_work(self._own_heartbeat())
                self._ramps.add(name, beat.ramps)
                for listener in self.on_heartbeat:
                    listener(beat, delay_s)
        except (websockets.ConnectionClosed, errors.WireError) as exc:
            logs.event('link_ended', 'INFO', peer=name, reason=repr(exc)[:100])
        finally:
            if sender is not None:
                sender.cancel()
            if self._links.get(name) is link:
                del self._links[name]
                # Not live without a link, until it reconnects. The others
                # learn of it in their next update: links often end many at
                # a time, and each change of the list goes to all nodes.
                self._heartbeats.pop(name, None)
                for listener in self.on_link_ended:
                    listener(name)

    async def _reply_to(self, req, node: str, link: _NodeLink) -> None:
        if not node or not self._leadership.is_leader():
            return  # the node asks again after its timeout
        permit = self.issue_permit(node, req.upstreams, req.wait_ms / 1000)
        reply = _messages.PermitReply(
            req.number, permit.upstream, int(permit.wait_s * 1000)
        )
        ack = link.next_ack(self._clock.now())
        await link.conn.send(
            _messages.add_ack(ack, _messages.encode_for_node(reply))
        )

    async def _send_updates(self, link: _NodeLink) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            while self._leadership.is_leader():
                data = self._encode_update(link)
                self.sent_bytes += len(data)
                await link.conn.send(data)
                link.wake.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(SEND_INTERVAL_S):
                        await link.wake.wait()
            await link.conn.close(CLOSE_NOT_LEADER)

    def _encode_update(self, link: _NodeLink) -> bytes:
        """Returns the next update for a link and marks its content as sent.

        Links that are owed the same content share one encoding.
        """
        now = self._clock.now()
        if (
            self._encoded_updates is None
            or now >= self._encoded_updates.valid_until
        ):
            self._encoded_updates = _EncodedUpdates(
                now + ENCODED_REUSE_S, self.live_nodes()
            )
        shared = self._encoded_updates
        includes_nodes = shared.nodes != link.sent_nodes
        known = tuple(
            (
                link.sent_revisions.get(item.name, -1),
                link.versions.get(item.name, -1),
                item.revision,
            )
            for item in self._tables
        )
        includes_limits = self.limits.revision != link.sent_limits
        key = (
            includes_nodes,
            includes_limits,
            known,
            self._leadership.version,
        )
        if key not in shared.encoded:
            update = _messages.LeaderUpdate(
                leader=self._node,
                lease_version=self._leadership.version,
                nodes=shared.nodes if includes_nodes else None,
                loads=self.total_loads(),
                suspects=self.suspected_heads(),
                closed=self.disbanded_epochs(),
                opened=self.opened_heads(),
                tables=[
                    self._table_update(item, link) for item in self._tables
                ],
                watched_parts=self.watched_parts(),
                quarantined_ms=self.quarantined_ms(),
                limits=self.limits.observations() if includes_limits else None,
                absent=self.absent_nodes(),
                unreached=self.unreached(),
                cold=(
                    self.limits.cold.observations() if includes_limits else []
                ),
                pressure_ms=self.pressure_ms(),
                ramps=self.total_ramps(),
            )
            shared.encoded[key] = _messages.encode_for_node(update)
        link.sent_nodes = shared.nodes
        link.sent_limits = self.limits.revision
        for item in self._tables:
            link.sent_revisions[item.name] = item.revision
            link.versions[item.name] = item.version
        return _messages.add_ack(link.next_ack(now), shared.encoded[key])

    def _table_update(self, table, link: _NodeLink) -> _messages.TableUpdate:
        known = link.sent_revisions.get(table.name, -1)
        changes = table.changes_since(known) if known >= 0 else None
        keys = None
        if changes is None:
            rows = table.rows_after(link.versions.get(table.name, -1))
            removed_keys, keys = (), list(table.rows)
        else:
            rows, removed_keys = changes
        return _messages.TableUpdate(
            table=table.name,
            rows=[
                _messages.RelayedRow(row.key, row.value, row.version)
                for row in rows
            ]
            + [
                _messages.RelayedRow(key, None, table.version)
                for key in removed_keys
            ],
            version=table.version,
            age_ms=int(min(table.age_s() + ENCODED_REUSE_S, 3600.0) * 1000),
            keys=keys,
        )

    def dump(self) -> dict:
        """Returns the linked nodes for the state dump."""
        return {'links': sorted(self._links)}


class HubClient:
    """A node's link to the leader.

    Sends heartbeats, and applies the rows in the leader's updates to the
    table caches.

    Args:
        tables: Table caches to keep current.
        own_heartbeat: Function that returns this node's heartbeat.
        clock: Source of monotonic time.

    Attributes:
        last_update_at: Monotonic seconds at which the last update arrived.
        last_update: The last update from a leader.
        nodes: Live nodes as the leader last named them.
        absent_nodes: Nodes that may be using shares of limits without being
            in touch, as the leader last named them.
        sent_loads: Requests in progress by upstream in the last heartbeat.
        is_receiving: Whether a link stands and has brought an update.
        update_delay_s: Longest time that the last update may have spent on
            the way, together with the heartbeat that it acknowledges.
        on_update: Called with each update after its rows are applied.
        limits: Limits of upstreams that this node knows; set by the node.
    """

    def __init__(self, tables, own_heartbeat, clock):
        self._tables = {item.name: item for item in tables}
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._wake = asyncio.Event()
        self.last_update_at = float('-inf')
        self.last_update: _messages.LeaderUpdate | None = None
        self.nodes: list[_messages.NodeInfo] = []
        self.absent_nodes: list[str] = []
        self.sent_loads: dict[str, int] = {}
        self._beats_sent_at: dict[int, float] = {}
        self.is_receiving = False
        self.update_delay_s = 0.0
        self.on_update = []
        self.limits = ratelimits.LimitBook(clock)
        self._conn = None
        self._message_number = 0
        self._message_at = 0.0
        self._permit_numbers = itertools.count(1)
        self._permit_replies: dict[int, asyncio.Future] = {}

    def send_soon(self) -> None:
        """Sends a heartbeat now instead of at the next interval."""
        self._wake.set()

    async def run_link(self, address: str) -> None:
        """Connects to a leader and exchanges messages until the link fails.

        Returns after a failed connection, an error, or no update within
        ``LINK_TIMEOUT_S``.

        Args:
            address: ``IP:PORT`` of the leader's hub.
        """
        try:
            async with loops.timeout(LINK_TIMEOUT_S):
                conn = await ws_client.connect(
                    f'ws://{address}',
                    compression=None,
                    ping_interval=None,
                    open_timeout=None,
                    max_size=_messages.MESSAGE_BYTES_MAX,
                    proxy=None,
                )
        except (OSError, TimeoutError, websockets.WebSocketException) as exc:
            logs.event(
                'leader_unreachable', peer=address, reason=repr(exc)[:100]
            )
            return
        logs.event('leader_linked', peer=address)
        self._beats_sent_at = {}
        self._message_number, self._message_at = 0, self._clock.now()
        self._conn = conn
        sender = asyncio.ensure_future(self._send_heartbeats(conn))
        try:
            while True:
                async with loops.timeout(LINK_TIMEOUT_S):
                    data = await conn.recv()
                ack, message = _messages.decode_from_leader(data, address)
                self._message_number = max(
                    ack.message_number, self._message_number
                )
                self._message_at = self._clock.now()
                if isinstance(message, _messages.PermitReply):
                    self._handle_reply(message)
                    continue
                self._apply_update(ack, message)
                self.is_receiving = True
        except (
            TimeoutError,
            OSError,
            websockets.ConnectionClosed,
            errors.WireError,
        ) as exc:
            logs.event('leader_lost', peer=address, reason=repr(exc)[:100])
        finally:
            self.is_receiving = False
            self._conn = None
            sender.cancel()
            conn.transport.abort()
            for fut in self._permit_replies.values():
                fut.cancel()

    async def request_permit(
        self, upstreams, wait_s: float
    ) -> ratelimits.Permit:
        """Asks the leader where a request may be sent.

        Args:
            upstreams: Names of limited upstreams, the best first.
            wait_s: Longest time for which the request can wait.

        Raises:
            LeaderUnavailableError: If there is no reply in time.
        """
        conn = self._conn
        if conn is None:
            raise errors.LeaderUnavailableError('no link', 'permit')
        number = next(self._permit_numbers)
        fut = asyncio.get_running_loop().create_future()
        self._permit_replies[number] = fut
        try:
            async with loops.timeout(PERMIT_TIMEOUT_S):
                await conn.send(
                    _messages.encode(
                        _messages.PermitRequest(
                            number, list(upstreams), int(wait_s * 1000)
                        )
                    )
                )
                await asyncio.wait((fut,))
        except (TimeoutError, websockets.ConnectionClosed) as exc:
            raise errors.LeaderUnavailableError(repr(exc), 'permit')
        finally:
            del self._permit_replies[number]
        if fut.cancelled():
            raise errors.LeaderUnavailableError('link ended', 'permit')
        return fut.result()

    def _handle_reply(self, reply) -> None:
        fut = self._permit_replies.get(reply.number)
        if fut is not None and not fut.done():
            fut.set_result(
                ratelimits.Permit(reply.upstream, reply.wait_ms / 1000)
            )

    async def _send_heartbeats(self, conn) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            for number in itertools.count(1):
                new_limits = self.limits.take_unreported()
                new_cold = self.limits.cold.take_unreported()
                if number == 1:
                    new_limits = self.limits.observations()
                    new_cold = self.limits.cold.answered()
                beat = dataclasses.replace(
                    self._own_heartbeat(),
                    limits=new_limits,
                    cold=new_cold,
                    number=number,
                    versions={
                        name: table.version
                        for name, table in self._tables.items()
                    },
                    message_number=self._message_number,
                    message_age_ms=int(
                        (self._clock.now() - self._message_at) * 1000
                    ),
                )
                self._beats_sent_at[number] = self._clock.now()
                self.sent_loads = beat.loads
                await conn.send(_messages.encode(beat))
                self._wake.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(SEND_INTERVAL_S):
                        await self._wake.wait()

    def _earliest_sending(self, ack, leader: str) -> float:
        """Returns the earliest time at which an update can have been sent.

        The leader sent it ``ack.held_ms`` after it had received a heartbeat,
        whose sending time is known on this node's own clock.

        Args:
            ack: Acknowledgement in the update.
            leader: Name of the leader.

        Returns:
            Monotonic seconds.

        Raises:
            WireError: If no such heartbeat was sent over this link.
        """
        beat_at = self._beats_sent_at.get(ack.number)
        if beat_at is None:
            raise errors.WireError(
                f'unknown heartbeat {ack.number}', 'update', leader
            )
        for number in [n for n in self._beats_sent_at if n < ack.number]:
            del self._beats_sent_at[number]
        return beat_at + ack.held_ms / 1000

    def _record_delay(self, delay_s: float, leader: str) -> None:
        was_late = self.update_delay_s >= UPDATE_LATE_S
        self.update_delay_s = delay_s
        if was_late != (delay_s >= UPDATE_LATE_S):
            logs.event(
                'updates_in_time' if was_late else 'updates_late',
                leader=leader,
                delay_ms=int(delay_s * 1000),
            )

    def _apply_update(self, ack, update) -> None:
        now = self._clock.now()
        sent_at = self._earliest_sending(ack, update.leader)
        self._record_delay(now - sent_at, update.leader)
        self.last_update_at = now
        self.last_update = update
        if update.nodes is not None:
            self.nodes = update.nodes
        self.absent_nodes = update.absent
        for table_update in update.tables:
            table = self._tables.get(table_update.table)
            if table is None:
                continue
            as_of = sent_at - table_update.age_ms / 1000
            reading = stores.RowBatch(
                tuple(
                    stores.RawRow(row.key, row.value, row.version)
                    for row in table_update.rows
                ),
                table_update.version,
            )
            if table_update.keys is not None:
                table.apply_snapshot(reading, as_of, table_update.keys)
            else:
                table.apply_changes(reading, as_of)
        for listener in self.on_update:
            listener(update)
