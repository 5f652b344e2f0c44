"""What a node tells the leader, and what it takes from its digests."""

from plantainway import cluster
from plantainway import deployment

SUSPICION_TTL_S = 1.0  # how long a suspicion is told to the leader
TABLE_AGE_MAX_S = 3600.0  # stands for a table that was never read


class LeaderSync:
    """Beats of this node, and the news of the others.

    Args:
        view: The platform's tables, decoded.
        parts: What the runners of requests share.
        info: Function that returns this node as the directory names it.
        clock: Source of monotonic time.
        window_s: Window of the retry budget in seconds.
    """

    def __init__(self, view, parts, node_info, clock, window_s: float):
        self._view = view
        self._parts = parts
        self._node_info = node_info
        self._clock = clock
        self._window_s = window_s
        self._suspects: dict[str, float] = {}
        self._total_work: dict[str, float] = {}
        self._node_count_may_fall_at = 0.0

    def heartbeat(self) -> cluster.Heartbeat:
        """Returns what this node has to tell."""
        now = self._clock.now()
        self._suspects = {
            name: until
            for name, until in self._suspects.items()
            if until > now
        }
        return cluster.Heartbeat(
            self._node_info(),
            dict(self._parts.loads.own),
            list(self._suspects),
            dict(self._total_work),
            int(min(self._view.oldest_table_age_s(), TABLE_AGE_MAX_S) * 1000),
        )

    def report_suspect(self, head: str) -> None:
        """Notes that streams of a head stall here.

        Args:
            head: Name of the head.
        """
        self._suspects[head] = self._clock.now() + SUSPICION_TTL_S

    def record_requested_work(self, service: str, req, engine) -> None:
        """Adds a stream to the work that was asked of a model so far.

        Args:
            service: Name of the service.
            req: The request.
            engine: Profile of the service's engines.
        """
        answer = req.length_hint or engine.usual_answer
        work_s = engine.work_s(req.model, req.prompt_tokens, answer)
        key = f'{service}/{req.model}'
        self._total_work[key] = self._total_work.get(key, 0.0) + work_s

    def apply_update(
        self, update, nodes: int, sent_loads: dict[str, int]
    ) -> None:
        """Takes in the leader's news.

        Args:
            digest: The digest.
            nodes: How many nodes the leader names.
            sent_loads: This node's requests in progress as last told.
        """
        self.set_node_count(nodes)
        self.update_other_loads(update.loads, sent_loads)
        self.mark_heads_closed(update.closed)
        self.mark_heads_open(
            {
                item.head: deployment.Membership(
                    item.group,
                    item.epoch,
                    0,
                    deployment.GroupState.OPEN,
                    item.model,
                )
                for item in update.opened
            }
        )
        for name in update.suspects:
            self._parts.stalls.suspect(name)

    def mark_heads_closed(self, closed: dict[str, int]) -> None:
        """Sends no new work to heads of groups that are given up.

        Args:
            closed: Epochs of the groups by head.
        """
        for name, epoch in closed.items():
            head = self._view.book.by_name.get(name)
            if head is not None and (
                head.membership is not None and head.membership.epoch == epoch
            ):
                self._parts.heads.note_closed(head)

    def mark_heads_open(
        self, opened: dict[str, deployment.Membership]
    ) -> None:
        """Sends work to heads that serve though no entry shows it.

        Args:
            opened: Memberships by head.
        """
        for name, member in opened.items():
            self._view.mark_head_open(name, member)

    def set_node_count(self, count: int) -> None:
        """Deals the retry budget out among the nodes.

        Nodes that are missed now have spent their part of the window, so
        the number falls only slowly.

        Args:
            count: Nodes that are live.
        """
        budget = self._parts.budget
        now = self._clock.now()
        if count >= budget.nodes or now >= self._node_count_may_fall_at:
            budget.nodes = max(count, 1)
            self._node_count_may_fall_at = now + self._window_s

    def update_other_loads(self, totals: dict[str, int], own) -> None:
        """Takes in what other nodes have in progress.

        Args:
            totals: Requests of all nodes by upstream.
            own: This node's part of them.
        """
        self._parts.loads.set_others(
            {
                name: max(count - own.get(name, 0), 0)
                for name, count in totals.items()
            }
        )
        self._parts.heads.pump()
