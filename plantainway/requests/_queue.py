"""Requests that wait for a slot, by priority and fair by account."""

import collections
import dataclasses

WAIT_MAX_S = 1.0  # longest predicted wait that is accepted
SERVICE_START_S = 0.5
SERVICE_WEIGHT = 0.1
CEILING_FIRST = 2.0  # load per slot; the engine lets the best rank go first
CEILING_OTHERS = 1.75  # the engine's short queue keeps its slots busy
CEILING_OVER = 0.75  # for accounts that use more than their fair share
OVER_RATIO = 1.5
OVER_MIN = 2  # requests that are never too many
ACTIVE_S = 5.0  # an account counts as active for so long after a request
PRIORITY_STEP = 2  # engine priorities of one rank: fair share, and over it
RESERVE_MAX = 0.4  # part of the slots kept free for better ranks
SHARE_WEIGHT = 0.05


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A waiting request; ``deadline`` is monotonic seconds.

    ``request`` is what the dispatcher needs to serve it, ``slot`` the
    future that gets the slot.
    """

    account: str
    rank: int
    deadline: float
    queued_at: float
    request: tuple = ()
    slot: object = None


class WaitingRoom:
    """Waiting requests of one model name.

    A lower rank goes first. Within a rank the account goes first that has
    the fewest requests in progress, so that a flooding account waits for
    itself.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._ranks: dict[int, dict[str, collections.deque]] = {}
        self._running: collections.Counter = collections.Counter()
        self._service_s = SERVICE_START_S
        self._shares: dict[int, float] = {}
        self._asked_at: dict[int, dict[str, float]] = {}
        self.waiting = 0

    def is_over(self, rank: int, account: str) -> bool:
        """Tells whether an account uses more than its rank's fair share.

        Args:
            rank: Rank of the account's requests.
            account: Name of the account.
        """
        asked_at = self._asked_at.setdefault(rank, {})
        oldest = self._clock.now() - ACTIVE_S
        active = [name for name, at in asked_at.items() if at > oldest]
        if len(active) < len(asked_at):
            self._asked_at[rank] = {name: asked_at[name] for name in active}
        if len(active) < 2:
            return False
        fair = sum(self._running[name] for name in active) / len(active)
        return self._running[account] > max(OVER_RATIO * fair, OVER_MIN)

    def priority(self, rank: int, account: str) -> int:
        """Returns the priority that an engine is told, lower goes first.

        Args:
            rank: Rank of the request.
            account: Its account.
        """
        return rank * PRIORITY_STEP + int(self.is_over(rank, account))

    def ceiling(self, rank: int, account: str) -> float:
        """Returns the load per slot from which a copy takes no more.

        Slots are kept free for better ranks, as many as they use of late,
        and for accounts that use less than others, so that their requests
        seldom wait for another to end.

        Args:
            rank: Rank of the request.
            account: Its account.
        """
        asked_at = self._asked_at.setdefault(rank, {})
        asked_at[account] = self._clock.now()
        if self.is_over(rank, account):
            return CEILING_OVER
        if rank <= min(self._shares, default=rank):
            return CEILING_FIRST
        better = sum(
            share for other, share in self._shares.items() if other < rank
        )
        return CEILING_OTHERS - min(better, RESERVE_MAX)

    def waits(self, rank: int) -> bool:
        """Tells whether a request of a rank, or of a better one, waits.

        Args:
            rank: Rank of the request.
        """
        return any(
            any(queues.values())
            for other, queues in self._ranks.items()
            if other <= rank
        )

    def predicted_wait_s(self, ticket: Ticket, slots: float) -> float:
        """Returns how long a request would wait.

        Args:
            ticket: The request.
            slots: Slots that this node's requests have now.
        """
        ahead = 0
        mine = 0
        accounts = 1
        for rank, queues in self._ranks.items():
            if rank < ticket.rank:
                ahead += sum(map(len, queues.values()))
            elif rank == ticket.rank:
                mine = len(queues.get(ticket.account, ()))
                accounts = len(
                    {name for name, queue in queues.items() if queue}
                    | {ticket.account}
                )
        turns = ahead + (mine + 1) * accounts
        return turns * self._service_s / max(slots, 1.0)

    def may_wait(self, ticket: Ticket, slots: float) -> bool:
        """Tells whether a request may queue up.

        Args:
            ticket: The request.
            slots: Slots that this node's requests have now.
        """
        wait_s = self.predicted_wait_s(ticket, slots)
        start_at = self._clock.now() + wait_s
        return wait_s <= WAIT_MAX_S and start_at < ticket.deadline

    def push(self, ticket: Ticket) -> None:
        """Queues a request up.

        Args:
            ticket: The request.
        """
        queues = self._ranks.setdefault(ticket.rank, {})
        queues.setdefault(ticket.account, collections.deque()).append(ticket)
        self.waiting += 1

    def push_front(self, ticket: Ticket) -> None:
        """Queues a request up again whose turn came too early.

        Args:
            ticket: The request.
        """
        self._ranks[ticket.rank][ticket.account].appendleft(ticket)
        self.waiting += 1

    def remove(self, ticket: Ticket) -> None:
        """Takes a request out that waits no more.

        Args:
            ticket: The request.
        """
        queue = self._ranks.get(ticket.rank, {}).get(ticket.account)
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self.waiting -= 1

    def pop(self) -> Ticket | None:
        """Takes out the request whose turn it is, ``None`` if none waits."""
        for rank in sorted(self._ranks):
            queues = self._ranks[rank]
            names = [name for name, queue in queues.items() if queue]
            if not names:
                continue
            name = min(
                names,
                key=lambda name: (
                    self._running[name],
                    queues[name][0].queued_at,
                ),
            )
            self.waiting -= 1
            return queues[name].popleft()
        return None

    def started(self, account: str, rank: int = 0) -> None:
        """Notes that a request of an account got a slot.

        Args:
            account: Its account.
            rank: Its rank.
        """
        self._running[account] += 1
        self._shares.setdefault(rank, 0.0)
        for other in self._shares:
            target = 1.0 if other == rank else 0.0
            self._shares[other] += SHARE_WEIGHT * (
                target - self._shares[other]
            )

    def ended(self, account: str, rank: int, took_s: float) -> None:
        """Notes that a request of an account has ended.

        Args:
            account: Its account.
            rank: Its rank.
            took_s: Seconds that it had its slot.
        """
        self._running[account] -= 1
        if not self._running[account]:
            del self._running[account]
        self._service_s += SERVICE_WEIGHT * (took_s - self._service_s)

    def running(self) -> int:
        """Returns the requests that have slots."""
        return sum(self._running.values())
