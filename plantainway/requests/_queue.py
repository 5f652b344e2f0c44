"""Queue of requests for slots, by rank and fair between accounts."""

import collections
import dataclasses

PREDICTED_WAIT_MAX_S = 1.0  # requests with a longer one are refused
SERVICE_TIME_INITIAL_S = 0.5
SERVICE_TIME_EWMA_WEIGHT = 0.1
# Requests per slot of a copy. Above 1, requests queue at the engine: it serves
# the best rank first, and a short queue keeps its slots busy.
LOAD_CEILING_BEST_RANK = 2.0
LOAD_CEILING_OTHER_RANKS = 1.75
LOAD_CEILING_OVER_SHARE = 0.75  # for accounts over their fair share
OVER_SHARE_RATIO = 1.5
OVER_SHARE_REQUESTS_MIN = 2  # up to this many are never over the share
ACCOUNT_ACTIVE_S = 5.0  # an account is active so long after a request
PRIORITIES_PER_RANK = 2  # within the fair share, and over it
RESERVED_FRACTION_MAX = 0.4  # of the slots, kept free for better ranks
RANK_SHARE_EWMA_WEIGHT = 0.05


@dataclasses.dataclass(eq=False, slots=True)
class QueuedRequest:
    """A request that waits for a slot; times are monotonic seconds.

    ``acquire_args`` are the dispatcher's arguments to acquire a slot,
    ``slot`` is the future that receives it.
    """

    account: str
    rank: int
    deadline: float
    queued_at: float
    acquire_args: tuple = ()
    slot: object = None


class RequestQueue:
    """Queue of the requests for one model name.

    Requests with a lower rank number are served first. Within a rank, the
    account with the fewest requests in progress is served first, so that an
    account that sends many requests delays only its own.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._waiting_by_rank: dict[int, dict[str, collections.deque]] = {}
        self._running_by_account: collections.Counter = collections.Counter()
        self._mean_service_s = SERVICE_TIME_INITIAL_S
        self._rank_shares: dict[int, float] = {}
        self._last_request_at: dict[int, dict[str, float]] = {}
        self.waiting_count = 0

    def is_over_fair_share(self, rank: int, account: str) -> bool:
        """Returns whether an account uses more than its fair share.

        The fair share is the mean number of requests in progress of the
        accounts that recently sent requests of the same rank.

        Args:
            rank: Rank of the account's requests.
            account: Name of the account.
        """
        last_request_at = self._last_request_at.setdefault(rank, {})
        oldest = self._clock.now() - ACCOUNT_ACTIVE_S
        active = [name for name, at in last_request_at.items() if at > oldest]
        if len(active) < len(last_request_at):
            self._last_request_at[rank] = {
                name: last_request_at[name] for name in active
            }
        if len(active) < 2:
            return False
        fair = sum(self._running_by_account[name] for name in active) / len(
            active
        )
        return self._running_by_account[account] > max(
            OVER_SHARE_RATIO * fair, OVER_SHARE_REQUESTS_MIN
        )

    def engine_priority(self, rank: int, account: str) -> int:
        """Returns the priority for the engine; a lower one is served first.

        Args:
            rank: Rank of the request.
            account: Its account.
        """
        return rank * PRIORITIES_PER_RANK + int(
            self.is_over_fair_share(rank, account)
        )

    def load_ceiling(self, rank: int, account: str) -> float:
        """Returns the load per slot from which a copy gets no request.

        Also marks the account as active. Slots are kept free for better
        ranks, in proportion to their recent use, and for accounts that use
        less than others, so that their requests seldom have to wait for
        another one to end.

        Args:
            rank: Rank of the request.
            account: Its account.
        """
        last_request_at = self._last_request_at.setdefault(rank, {})
        last_request_at[account] = self._clock.now()
        if self.is_over_fair_share(rank, account):
            return LOAD_CEILING_OVER_SHARE
        if rank <= min(self._rank_shares, default=rank):
            return LOAD_CEILING_BEST_RANK
        better = sum(
            share for other, share in self._rank_shares.items() if other < rank
        )
        return LOAD_CEILING_OTHER_RANKS - min(better, RESERVED_FRACTION_MAX)

    def has_waiting(self, rank: int) -> bool:
        """Returns whether a request of this or a better rank is queued.

        Args:
            rank: Rank of the request.
        """
        return any(
            any(queues.values())
            for other, queues in self._waiting_by_rank.items()
            if other <= rank
        )

    def predicted_wait_s(self, waiter: QueuedRequest, slots: float) -> float:
        """Returns the predicted waiting time of a request, in seconds.

        Args:
            waiter: The request.
            slots: Slots that this node can expect to use: those that its
                requests hold, or its share of all slots if that is more.
        """
        ahead = 0
        own_ahead = 0
        accounts = 1
        for rank, queues in self._waiting_by_rank.items():
            if rank < waiter.rank:
                ahead += sum(map(len, queues.values()))
            elif rank == waiter.rank:
                own_ahead = len(queues.get(waiter.account, ()))
                accounts = len(
                    {name for name, queue in queues.items() if queue}
                    | {waiter.account}
                )
        turns = ahead + (own_ahead + 1) * accounts
        return turns * self._mean_service_s / max(slots, 1.0)

    def can_wait(self, waiter: QueuedRequest, slots: float) -> bool:
        """Returns whether the predicted wait of a request is acceptable.

        It must not exceed ``PREDICTED_WAIT_MAX_S`` or the deadline.

        Args:
            waiter: The request.
            slots: Slots that this node can expect to use: those that its
                requests hold, or its share of all slots if that is more.
        """
        wait_s = self.predicted_wait_s(waiter, slots)
        start_at = self._clock.now() + wait_s
        return wait_s <= PREDICTED_WAIT_MAX_S and start_at < waiter.deadline

    def push(self, waiter: QueuedRequest) -> None:
        """Appends a request to the queue of its account.

        Args:
            waiter: The request.
        """
        queues = self._waiting_by_rank.setdefault(waiter.rank, {})
        queues.setdefault(waiter.account, collections.deque()).append(waiter)
        self.waiting_count += 1

    def push_front(self, waiter: QueuedRequest) -> None:
        """Puts a popped request back in front, as no slot was free.

        Args:
            waiter: The request.
        """
        self._waiting_by_rank[waiter.rank][waiter.account].appendleft(waiter)
        self.waiting_count += 1

    def remove(self, waiter: QueuedRequest) -> None:
        """Removes a request, if it is still queued.

        Args:
            waiter: The request.
        """
        queue = self._waiting_by_rank.get(waiter.rank, {}).get(waiter.account)
        if queue is not None and waiter in queue:
            queue.remove(waiter)
            self.waiting_count -= 1

    def pop(self) -> QueuedRequest | None:
        """Removes and returns the next request, ``None`` if none is queued."""
        for rank in sorted(self._waiting_by_rank):
            queues = self._waiting_by_rank[rank]
            names = [name for name, queue in queues.items() if queue]
            if not names:
                continue
            name = min(
                names,
                key=lambda name: (
                    self._running_by_account[name],
                    queues[name][0].queued_at,
                ),
            )
            self.waiting_count -= 1
            return queues[name].popleft()
        return None

    def record_start(self, account: str, rank: int = 0) -> None:
        """Records that a request got a slot.

        Args:
            account: Account of the request.
            rank: Rank of the request.
        """
        self._running_by_account[account] += 1
        self._rank_shares.setdefault(rank, 0.0)
        for other in self._rank_shares:
            target = 1.0 if other == rank else 0.0
            self._rank_shares[other] += RANK_SHARE_EWMA_WEIGHT * (
                target - self._rank_shares[other]
            )

    def record_end(self, account: str, rank: int, took_s: float) -> None:
        """Records that a request has given its slot back.

        Args:
            account: Account of the request.
            rank: Rank of the request.
            took_s: Seconds that it held the slot.
        """
        self._running_by_account[account] -= 1
        if not self._running_by_account[account]:
            del self._running_by_account[account]
        self._mean_service_s += SERVICE_TIME_EWMA_WEIGHT * (
            took_s - self._mean_service_s
        )

    def running_count(self) -> int:
        """Returns the number of requests that hold slots."""
        return sum(self._running_by_account.values())
