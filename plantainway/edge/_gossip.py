"""What a node tells the leader, and what it takes from its digests."""

from plantainway import cluster
from plantainway import deployment

SUSPECT_S = 1.0  # how long a suspicion is told to the leader
AGE_MAX_S = 3600.0  # stands for a table that was never read


class Gossip:
    """Beats of this node, and the news of the others.

    Args:
        view: The platform's tables, decoded.
        parts: What the runners of requests share.
        info: Function that returns this node as the directory names it.
        clock: Source of monotonic time.
        window_s: Window of the retry budget in seconds.
    """

    def __init__(self, view, parts, info, clock, window_s: float):
        self._view = view
        self._parts = parts
        self._info = info
        self._clock = clock
        self._window_s = window_s
        self._suspects: dict[str, float] = {}
        self._work: dict[str, float] = {}
        self._fewer_nodes_at = 0.0

    def beat(self) -> cluster.Beat:
        """Returns what this node has to tell."""
        now = self._clock.now()
        self._suspects = {
            name: until
            for name, until in self._suspects.items()
            if until > now
        }
        return cluster.Beat(
            self._info(),
            dict(self._parts.loads.local_counts),
            list(self._suspects),
            dict(self._work),
            int(min(self._view.age_s(), AGE_MAX_S) * 1000),
        )

    def suspect(self, head: str) -> None:
        """Notes that streams of a head stall here.

        Args:
            head: Name of the head.
        """
        self._suspects[head] = self._clock.now() + SUSPECT_S

    def note_asked(self, service: str, req, engine) -> None:
        """Adds a stream to the work that was asked of a model so far.

        Args:
            service: Name of the service.
            req: The request.
            engine: Profile of the service's engines.
        """
        answer = req.length_hint or engine.typical_answer_tokens
        work_s = engine.estimate_busy_s(req.model, req.prompt_tokens, answer)
        key = f'{service}/{req.model}'
        self._work[key] = self._work.get(key, 0.0) + work_s

    def take_digest(
        self, digest, nodes: int, sent_loads: dict[str, int]
    ) -> None:
        """Takes in the leader's news.

        Args:
            digest: The digest.
            nodes: How many nodes the leader names.
            sent_loads: This node's requests in progress as last told.
        """
        self.set_nodes(nodes)
        self.take_loads(digest.loads, sent_loads)
        self.close_heads(digest.closed)
        self.open_heads(
            {
                item.head: deployment.Membership(
                    item.group,
                    item.epoch,
                    0,
                    deployment.GroupState.OPEN,
                    item.model,
                )
                for item in digest.opened
            }
        )
        for name in digest.suspects:
            self._parts.stalls.mark_suspect(name)

    def close_heads(self, closed: dict[str, int]) -> None:
        """Sends no new work to heads of groups that are given up.

        Args:
            closed: Epochs of the groups by head.
        """
        for name, epoch in closed.items():
            head = self._view.book.by_name.get(name)
            if head is not None and (
                head.membership is not None and head.membership.epoch == epoch
            ):
                self._parts.heads.mark_closed(head)

    def open_heads(self, opened: dict[str, deployment.Membership]) -> None:
        """Sends work to heads that serve though no entry shows it.

        Args:
            opened: Memberships by head.
        """
        for name, member in opened.items():
            self._view.note_opened(name, member)

    def set_nodes(self, count: int) -> None:
        """Deals the retry budget out among the nodes.

        Nodes that are missed now have spent their part of the window, so
        the number falls only slowly.

        Args:
            count: Nodes that are live.
        """
        budget = self._parts.budget
        now = self._clock.now()
        if count >= budget.node_count or now >= self._fewer_nodes_at:
            budget.node_count = max(count, 1)
            self._fewer_nodes_at = now + self._window_s

    def take_loads(self, totals: dict[str, int], own) -> None:
        """Takes in what other nodes have in progress.

        Args:
            totals: Requests of all nodes by upstream.
            own: This node's part of them.
        """
        self._parts.loads.set_remote_counts(
            {
                name: max(count - own.get(name, 0), 0)
                for name, count in totals.items()
            }
        )
        self._parts.heads.dispatch_waiting()
