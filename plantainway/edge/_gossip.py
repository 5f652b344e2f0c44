"""State that a node exchanges with the leader."""

from plantainway import cluster
from plantainway import deployment

SUSPICION_TTL_S = 1.0  # a suspected head is reported to the leader this long
TABLE_AGE_MAX_S = 3600.0  # also reported for a table that was never read


class LeaderSync:
    """Builds this node's heartbeats and applies the leader's updates.

    Args:
        view: Decoded tables of the platform.
        dependencies: Objects that the request handlers share.
        node_info: Function that returns this node's entry for the directory.
        shares: Function that returns what this node may send to limited
            upstreams without a leader.
        answers: Function that returns this node's answers to the leader.
        clock: Source of monotonic time.
        window_s: Window of the retry budget in seconds.
    """

    def __init__(
        self,
        view,
        dependencies,
        node_info,
        shares,
        answers,
        clock,
        window_s: float,
    ):
        self._view = view
        self._dependencies = dependencies
        self._node_info = node_info
        self._shares = shares
        self._answers = answers
        self._clock = clock
        self._window_s = window_s
        self._suspected_until: dict[str, float] = {}
        self._total_work: dict[str, float] = {}
        self._watched_parts: list[str] = []
        self._node_count_may_fall_at = 0.0

    def heartbeat(self) -> cluster.Heartbeat:
        """Returns this node's next heartbeat."""
        now = self._clock.now()
        self._suspected_until = {
            name: until
            for name, until in self._suspected_until.items()
            if until > now
        }
        return cluster.Heartbeat(
            self._node_info(),
            dict(self._dependencies.loads.local_counts),
            list(self._suspected_until),
            dict(self._total_work),
            int(min(self._view.oldest_table_age_s(), TABLE_AGE_MAX_S) * 1000),
            crash_reports=self._dependencies.evidence.reports(),
            survival_ages_ms=self._dependencies.evidence.survival_ages_ms(
                self._watched_parts
            ),
            quarantined_ms=self._dependencies.quarantine.remaining_ms(),
            shares=self._shares(),
            reached=self._answers(),
            pressure_ms=self._dependencies.heads.pressure.remaining_ms(),
            ramps=self._dependencies.heads.warmup.results(),
        )

    def report_suspect(self, head: str) -> None:
        """Adds a head to the heartbeats of the next ``SUSPICION_TTL_S``.

        Called when a request to the head fails or its stream stalls on this
        node.

        Args:
            head: Name of the head.
        """
        self._suspected_until[head] = self._clock.now() + SUSPICION_TTL_S

    def record_requested_work(self, service: str, request, profile) -> None:
        """Adds the estimated work of a request to its model's total.

        Args:
            service: Name of the service.
            request: Request for a streamed answer.
            profile: Profile of the service's engines.
        """
        answer = request.length_hint or profile.typical_answer_tokens
        work_s = profile.estimate_busy_s(
            request.model, request.prompt_tokens, answer
        )
        key = f'{service}/{request.model}'
        self._total_work[key] = self._total_work.get(key, 0.0) + work_s

    def apply_update(
        self, update, node_count: int, sent_loads: dict[str, int]
    ) -> bool:
        """Applies an update from the leader, except for its table rows.

        Args:
            update: Update from the leader.
            node_count: Number of nodes that the leader names.
            sent_loads: Requests in progress in this node's last heartbeat,
                by upstream.

        Returns:
            Whether the leader asks for more than the last heartbeat held.
        """
        self.set_node_count(node_count)
        self._dependencies.heads.pressure.merge(update.pressure_ms)
        self._dependencies.heads.warmup.merge(update.ramps)
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
            self._dependencies.stalls.mark_suspect(name)
        self._dependencies.quarantine.merge(update.quarantined_ms)
        is_asked = bool(set(update.watched_parts) - set(self._watched_parts))
        self._watched_parts = update.watched_parts
        return is_asked

    def mark_heads_closed(self, closed: dict[str, int]) -> None:
        """Stops new requests to the heads of disbanded groups.

        A head is used again once its entry shows another membership. Has no
        effect on heads whose entry shows another epoch already.

        Args:
            closed: Epochs of the disbanded groups by head.
        """
        for name, epoch in closed.items():
            head = self._view.book.by_name.get(name)
            if head is not None and (
                head.membership is not None and head.membership.epoch == epoch
            ):
                self._dependencies.heads.mark_closed(head)

    def mark_heads_open(
        self, opened: dict[str, deployment.Membership]
    ) -> None:
        """Allows requests to heads whose table entry is not open yet.

        Args:
            opened: Memberships of the open heads by name.
        """
        for name, member in opened.items():
            self._view.mark_head_open(name, member)

    def set_node_count(self, count: int) -> None:
        """Sets the number of nodes among which the retry budget is divided.

        A number that is not lower takes effect at once. A lower one takes
        effect only if all calls within the last window had a lower number
        than the one in effect: nodes that have just gone may have spent
        their share of the window.

        Args:
            count: Number of live nodes; 0 counts as 1.
        """
        budget = self._dependencies.budget
        now = self._clock.now()
        if count >= budget.node_count or now >= self._node_count_may_fall_at:
            budget.node_count = max(count, 1)
            self._node_count_may_fall_at = now + self._window_s

    def update_other_loads(self, totals: dict[str, int], own) -> None:
        """Updates the load of other nodes and dispatches queued requests.

        Args:
            totals: Requests in progress on all nodes by upstream.
            own: This node's requests among them, by upstream.
        """
        self._dependencies.loads.set_remote_counts(
            {
                name: max(count - own.get(name, 0), 0)
                for name, count in totals.items()
            }
        )
        self._dependencies.heads.dispatch_waiting()
