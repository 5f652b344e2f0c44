"""Heads whose entries don't show what the leader knows of them."""

import dataclasses

from plantainway import deployment

TOLD_S = 8.0  # entries of dead heads have lapsed by then


class HeadOverrides:
    """Heads given up and heads that opened, until their entries show it.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._given_up: dict[str, tuple[int, float]] = {}
        self._opened: dict[str, deployment.Membership] = {}
        self.on_change = []

    def clear(self) -> None:
        """Forgets the heads that opened, as a new leader does."""
        self._opened.clear()

    def give_up(self, head: str, epoch: int) -> None:
        """Notes that a group is given up.

        Args:
            head: Name of its head.
            epoch: Its epoch.
        """
        self._given_up[head] = (epoch, self._clock.now() + TOLD_S)
        self._tell()

    def disbanded_epochs(self) -> dict[str, int]:
        """Returns the epochs of groups given up of late, by head.

        The entry of a head that is dead shows it open until it lapses.
        """
        now = self._clock.now()
        self._given_up = {
            head: (epoch, until)
            for head, (epoch, until) in self._given_up.items()
            if until > now
        }
        return {head: epoch for head, (epoch, _at) in self._given_up.items()}

    def keep(self) -> None:
        """Tells of heads given up for as long as entries can't lapse."""
        until = self._clock.now() + TOLD_S
        self._given_up = {
            head: (epoch, until)
            for head, (epoch, _until) in self._given_up.items()
        }

    def newly_opened(self) -> dict[str, deployment.Membership]:
        """Returns heads that serve though their entry can't show it yet."""
        return dict(self._opened)

    def note_open(self, groups, facts, as_of: float) -> None:
        """Finds the heads that have opened since entries were current.

        Args:
            groups: Records of the groups.
            facts: Engines by name.
            as_of: Monotonic seconds at which entries were current.
        """
        opened = {}
        for record in groups:
            head = facts.get(record.members[0])
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
        has_new = bool(opened.keys() - self._opened.keys())
        self._opened = opened
        if has_new:
            self._tell()

    def _tell(self) -> None:
        for listener in self.on_change:
            listener()
