"""The leader's links to all other nodes, and a node's link to the leader."""

import asyncio
import collections
import contextlib

import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from plantainway.cluster import _messages
from plantainway import errors
from plantainway import logs
from plantainway import stores

INTERVAL_S = 0.4  # loads older than that mislead the choice of heads
SHARED_S = 0.1  # links that know the same get the same bytes for so long
NODE_LOST_S = 1.2  # a node that is silent for longer is not named to clients
LINK_TIMEOUT_S = 1.0  # two digests missed
VOTES_MIN = 2
FOLLOWER_S = (
    0.8  # a node that was heard so lately does not seek another leader
)
FOLLOWERS_PART = 0.67  # of the nodes linked when the lease was last renewed
REACH_S = 0.8  # a table so much newer elsewhere shows the store answers there
NOT_LEADING = 1013  # websocket close code: try again later


class _Link:
    """One node at the leader."""

    def __init__(self, conn):
        self.conn = conn
        self.sent: dict[str, int] = {}
        self.sent_nodes: list[_messages.NodeInfo] | None = None
        self.wake = asyncio.Event()


class _Shared:
    """Digests made for several links within a short time.

    ``until`` is monotonic seconds; ``encoded`` holds the bytes by what the
    receiver knows already.
    """

    def __init__(self, until: float, nodes):
        self.until = until
        self.nodes = nodes
        self.encoded: dict[tuple, bytes] = {}


class Hub:
    """Serves beats and digests while this node leads.

    Args:
        node: Name of the own node.
        leadership: The lease.
        followers: Followers of the tables that are passed on.
        own_beat: Function that returns this node's own beat.
        clock: Source of monotonic time.
    """

    def __init__(self, node, leadership, followers, own_beat, clock):
        self._node = node
        self._leadership = leadership
        self._followers = followers
        self._own_beat = own_beat
        self._clock = clock
        self._server = None
        self._links: dict[str, _Link] = {}
        self._shared: _Shared | None = None
        self._beats: dict[str, tuple[float, _messages.Beat]] = {}
        self._inherited: dict[str, tuple[float, _messages.NodeInfo]] = {}
        self._work: dict[str, float] = {}
        self._work_by_node: dict[str, dict[str, float]] = {}
        self.on_beat = []
        self.closed = dict  # set by the node: epochs of groups given up
        self.opened = list  # set by the node: heads that entries don't show
        self._followers_before = 0
        for follower in followers:
            follower.on_change.append(self._poke)

    async def listen(self, address: str) -> str:
        """Opens the listener.

        Args:
            address: ``IP:PORT``, port 0 for any.

        Returns:
            The address bound.
        """
        host, _, port = address.rpartition(':')
        self._server = await ws_server.serve(
            self._serve,
            host,
            int(port),
            compression=None,
            ping_interval=None,
            max_size=_messages.MESSAGE_BYTES_MAX,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def close(self) -> None:
        """Closes all links."""
        if self._server is not None:
            self._server.close()

    def _poke(self, _changed, _removed) -> None:
        self._shared = None
        for link in self._links.values():
            link.wake.set()

    def poke(self) -> None:
        """Sends digests soon."""
        self._poke((), ())

    def inherit(self, nodes) -> None:
        """Takes over the nodes that the last leader named.

        Args:
            nodes: Nodes as last told.
        """
        now = self._clock.now()
        self._inherited = {info.node: (now, info) for info in nodes}

    def nodes(self) -> list[_messages.NodeInfo]:
        """Returns the live nodes, this one included."""
        now = self._clock.now()
        own = self._own_beat().info
        found = {own.node: own}
        for name, (at, beat) in self._beats.items():
            if now - at <= NODE_LOST_S + INTERVAL_S:
                found.setdefault(name, beat.info)
        for name, (at, info) in self._inherited.items():
            if now - at <= NODE_LOST_S + INTERVAL_S:
                found.setdefault(name, info)
        return list(found.values())

    def live_beats(self) -> list[_messages.Beat]:
        """Returns the newest beats of the live nodes, this one included."""
        oldest = self._clock.now() - NODE_LOST_S - INTERVAL_S
        beats = [beat for at, beat in self._beats.values() if at >= oldest]
        return [*beats, self._own_beat()]

    def loads(self) -> dict[str, int]:
        """Returns the requests in progress of all nodes by upstream."""
        total: dict[str, int] = {}
        for beat in self.live_beats():
            for name, count in beat.loads.items():
                total[name] = total.get(name, 0) + count
        return total

    def work(self) -> dict[str, float]:
        """Returns the work asked of each model, over all beats ever seen.

        A node that starts anew counts from zero: only increases count.
        """
        return dict(self._work)

    def _add_work(self, beat) -> None:
        known = self._work_by_node.setdefault(beat.info.node, {})
        for key, total in beat.work.items():
            before = known.get(key)
            known[key] = total
            if before is None:
                continue  # what was asked before this link is not news
            more = total - before if total >= before else total
            self._work[key] = self._work.get(key, 0.0) + more

    def note_renewed(self) -> None:
        """Notes that the lease has been renewed."""
        self._followers_before = len(self._links)

    def is_followed(self) -> bool:
        """Tells whether the nodes have no better leader than this one.

        That is so while most of them are linked to it and none of them
        reaches the store when this one does not.
        """
        now = self._clock.now()
        own_age_s = max(item.age_s() for item in self._followers)
        count = 0
        for name, (at, beat) in self._beats.items():
            if name not in self._links or now - at > FOLLOWER_S:
                continue
            if beat.store_age_ms / 1000 + now - at < own_age_s - REACH_S:
                return False
            count += 1
        return count > 0 and count >= FOLLOWERS_PART * self._followers_before

    def suspects(self) -> list[str]:
        """Returns the heads that several nodes suspect.

        One node's suspicion may be a single slow request.
        """
        votes = collections.Counter(
            name for beat in self.live_beats() for name in beat.suspects
        )
        return [name for name, count in votes.items() if count >= VOTES_MIN]

    async def _serve(self, conn) -> None:
        if not self._leadership.is_leader():
            await conn.close(NOT_LEADING)
            return
        link = _Link(conn)
        name = ''
        sender = asyncio.ensure_future(self._send_digests(link))
        try:
            async for data in conn:
                beat = _messages.decode(data, str(conn.remote_address))
                name = beat.info.node
                self._links[name] = link
                self._beats[name] = (self._clock.now(), beat)
                self._add_work(beat)
                self._add_work(self._own_beat())
                for listener in self.on_beat:
                    listener(beat)
        except (websockets.ConnectionClosed, errors.WireError) as exc:
            logs.event('link_ended', 'INFO', peer=name, reason=repr(exc)[:100])
        finally:
            sender.cancel()
            if self._links.get(name) is link:
                del self._links[name]
                # Gone at once, unless it comes back.
                self._beats.pop(name, None)
                self.poke()

    async def _send_digests(self, link: _Link) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            while self._leadership.is_leader():
                await link.conn.send(self._digest(link))
                link.wake.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(INTERVAL_S):
                        await link.wake.wait()
            await link.conn.close(NOT_LEADING)

    def _digest(self, link: _Link) -> bytes:
        """Returns the next digest of a link, encoded once for all alike."""
        now = self._clock.now()
        if self._shared is None or now >= self._shared.until:
            self._shared = _Shared(now + SHARED_S, self.nodes())
        shared = self._shared
        tells_nodes = shared.nodes != link.sent_nodes
        known = tuple(
            (link.sent.get(item.table, -1), item.revision)
            for item in self._followers
        )
        key = (tells_nodes, known, self._leadership.version)
        if key not in shared.encoded:
            digest = _messages.Digest(
                leader=self._node,
                lease_version=self._leadership.version,
                nodes=shared.nodes if tells_nodes else None,
                loads=self.loads(),
                suspects=self.suspects(),
                closed=self.closed(),
                opened=self.opened(),
                tables=[self._news(item, link) for item in self._followers],
            )
            shared.encoded[key] = _messages.encode(digest)
        link.sent_nodes = shared.nodes
        for item in self._followers:
            link.sent[item.table] = item.revision
        return shared.encoded[key]

    def _news(self, follower, link: _Link) -> _messages.TableNews:
        known = link.sent.get(follower.table, -1)
        changes = follower.changes_since(known) if known >= 0 else None
        whole = changes is None
        rows, gone = (follower.rows.values(), ()) if whole else changes
        return _messages.TableNews(
            table=follower.table,
            rows=[
                _messages.RelayedRow(row.key, row.value, row.version)
                for row in rows
            ]
            + [
                _messages.RelayedRow(key, None, follower.version)
                for key in gone
            ],
            version=follower.version,
            whole=whole,
            age_ms=int(min(follower.age_s() + SHARED_S, 3600.0) * 1000),
        )

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {'links': sorted(self._links)}


class HubClient:
    """A node's link to the leader.

    Args:
        followers: Followers by table.
        own_beat: Function that returns this node's beat.
        clock: Source of monotonic time.
    """

    def __init__(self, followers, own_beat, clock):
        self._followers = {item.table: item for item in followers}
        self._own_beat = own_beat
        self._clock = clock
        self._wake = asyncio.Event()
        self.heard_at = float('-inf')
        self.digest: _messages.Digest | None = None
        self.nodes: list[_messages.NodeInfo] = []
        self.sent_loads: dict[str, int] = {}
        self.on_digest = []

    def poke(self) -> None:
        """Sends a beat soon."""
        self._wake.set()

    async def run_link(self, address: str) -> None:
        """Keeps a link to a leader until it breaks or falls silent.

        Args:
            address: Address of the leader's hub.
        """
        try:
            async with asyncio.timeout(LINK_TIMEOUT_S):
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
        sender = asyncio.ensure_future(self._send_beats(conn))
        try:
            while True:
                async with asyncio.timeout(LINK_TIMEOUT_S):
                    data = await conn.recv()
                self._take(_messages.decode(data, address))
        except (
            TimeoutError,
            OSError,
            websockets.ConnectionClosed,
            errors.WireError,
        ) as exc:
            logs.event('leader_lost', peer=address, reason=repr(exc)[:100])
        finally:
            sender.cancel()
            conn.transport.abort()

    async def _send_beats(self, conn) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            while True:
                beat = self._own_beat()
                self.sent_loads = beat.loads
                await conn.send(_messages.encode(beat))
                self._wake.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(INTERVAL_S):
                        await self._wake.wait()

    def _take(self, digest) -> None:
        now = self._clock.now()
        self.heard_at = now
        self.digest = digest
        if digest.nodes is not None:
            self.nodes = digest.nodes
        for news in digest.tables:
            follower = self._followers.get(news.table)
            if follower is None:
                continue
            as_of = now - news.age_ms / 1000
            reading = stores.RowBatch(
                tuple(
                    stores.RawRow(row.key, row.value, row.version)
                    for row in news.rows
                ),
                news.version,
            )
            if news.whole:
                follower.load(reading, as_of)
            else:
                follower.apply(reading, as_of)
        for listener in self.on_digest:
            listener(digest)
