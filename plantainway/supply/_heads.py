"""Head states that the leader knows before the store entries show them."""

import dataclasses

from plantainway import deployment

OVERRIDE_TTL_S = 8.0  # the entry of a dead head has expired by then


class HeadOverrides:
    """Heads of disbanded and newly opened groups with outdated entries.

    The head of a disbanded group is kept for ``OVERRIDE_TTL_S``, a newly
    opened head until the store entries are recent enough to show it open.

    Args:
        clock: Source of monotonic time.

    Attributes:
        on_change: Functions called after a head was added, not after one
            was dropped.
    """

    def __init__(self, clock):
        self._clock = clock
        self._disbanded: dict[str, tuple[int, float]] = {}
        self._newly_opened: dict[str, deployment.Membership] = {}
        self.on_change = []

    def clear_opened(self) -> None:
        """Drops the newly opened heads, without calling the listeners.

        Called at the start of a term.
        """
        self._newly_opened.clear()

    def add_disbanded(self, head: str, epoch: int) -> None:
        """Adds the head of a disbanded group and calls the listeners.

        Args:
            head: Name of the head.
            epoch: Epoch of the group.
        """
        self._disbanded[head] = (epoch, self._clock.now() + OVERRIDE_TTL_S)
        self._notify_listeners()

    def disbanded_epochs(self) -> dict[str, int]:
        """Returns the epochs of recently disbanded groups, by head.

        The entry of a dead head shows it as open until the entry expires.
        """
        now = self._clock.now()
        self._disbanded = {
            head: (epoch, until)
            for head, (epoch, until) in self._disbanded.items()
            if until > now
        }
        return {head: epoch for head, (epoch, _at) in self._disbanded.items()}

    def extend_disbanded(self) -> None:
        """Restarts the time to live of all disbanded heads.

        Called while the store is unavailable: entries don't expire then.
        """
        until = self._clock.now() + OVERRIDE_TTL_S
        self._disbanded = {
            head: (epoch, until)
            for head, (epoch, _until) in self._disbanded.items()
        }

    def newly_opened(self) -> dict[str, deployment.Membership]:
        """Returns memberships of open heads whose entry is older, by head."""
        return dict(self._newly_opened)

    def update_opened(self, groups, engines, as_of: float) -> None:
        """Recomputes the newly opened heads.

        Calls the listeners if heads were added, not if some were only
        dropped. Sets ``seen_open_at`` of groups whose head is first seen
        open.

        Args:
            groups: Records of the groups.
            engines: Engines by name.
            as_of: Monotonic seconds at which the entries were current.
        """
        opened = {}
        for record in groups:
            head = engines.get(record.members[0])
            if head is None or not record.opened:
                continue
            if record.seen_open_at is None and head.upstream.is_open_head:
                record.seen_open_at = self._clock.now()
            if (
                record.seen_open_at is not None
                and record.seen_open_at > as_of
                and head.member_key == (head.name, record.name, record.epoch)
            ):
                opened[head.name] = dataclasses.replace(
                    head.membership, model=record.model
                )
        has_new = bool(opened.keys() - self._newly_opened.keys())
        self._newly_opened = opened
        if has_new:
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.on_change:
            listener()
