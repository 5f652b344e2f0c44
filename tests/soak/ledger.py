"""Checks observations of callers and runners against the promises."""

import collections
import dataclasses


# Of the platform's rule on limits: it holds so long after a runner has named
# one, for windows of so many seconds.
LIMIT_STABLE_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
# The rule excuses a node that has just started or woken up.
REQUESTS_PER_START = 3
START_EXCUSED_S = 3.0


@dataclasses.dataclass(frozen=True)
class Breach:
    """A broken promise and the observation that proves it."""

    promise: str
    detail: str


class PromiseChecker:
    """Collects observations of callers and runners and finds breaches.

    Most promises are checked at once; those that need both sides are
    checked by ``finish``.
    """

    def __init__(self):
        self.breaches: list[Breach] = []
        self.outcomes: collections.Counter = collections.Counter()
        self._runs: collections.Counter = collections.Counter()
        self._refused: set[str] = set()
        self._at_most_once: set[str] = set()
        self._versions: dict[str, int] = {}
        self._ready: set[tuple[str, str, int]] = set()
        self._arrivals: dict[str, list[float]] = {}
        self._node_starts: list[float] = []

    def record_at_most_once(self, token: str) -> None:
        """Records a request that may run at most once.

        Args:
            token: Unique id of the request.
        """
        self._at_most_once.add(token)

    def record_run(self, token: str) -> None:
        """Records that a runner has begun to execute a request.

        Args:
            token: Unique id of the request.
        """
        self._runs[token] += 1

    def check_answer(self, token: str, answer, expected: bytes) -> None:
        """Compares an answer with the expected one and records its outcome.

        Args:
            token: Unique id of the request.
            answer: Status, headers, body and whether the client saw its end.
            expected: Body of a complete answer.
        """
        kind = (
            f'{answer.status}' if answer.is_whole else f'{answer.status} cut'
        )
        self.outcomes[kind] += 1
        if answer.status == 200:
            if answer.is_whole and answer.body != expected:
                self._add_breach('whole', f'{token}: {answer.body[:80]!r}')
            elif not expected.startswith(answer.body):
                self._add_breach(
                    'own answer', f'{token}: {answer.body[:80]!r}'
                )
        elif 'Not-Executed' in answer.headers:
            self._refused.add(token)

    def newest_version(self, node: str) -> int:
        """Returns the newest configuration version that a node has used.

        Args:
            node: Address of the node process; new after a restart.
        """
        return self._versions.get(node, 0)

    def check_version(self, node: str, version: int, before: int) -> None:
        """Checks that a node does not return to an older configuration.

        Args:
            node: Address of the node process; new after a restart.
            version: Configuration version that served the request.
            before: Result of ``newest_version`` when the request was sent.
        """
        if version < before:
            self._add_breach(
                'newest configuration', f'{node}: {before}, {version}'
            )
        self._versions[node] = max(self.newest_version(node), version)

    def record_ready(self, runner: str, group: str, epoch: int) -> None:
        """Records that a runner has become ready in a group.

        Args:
            runner: Name of the runner.
            group: Name of the group.
            epoch: Epoch of the group.
        """
        self._ready.add((runner, group, epoch))

    def check_group_run(self, members, group, epoch: int, size: int) -> None:
        """Checks that the group executing a request is complete and ready.

        Args:
            members: Names of the members of the group.
            group: Name of the group.
            epoch: Epoch of the group.
            size: Number of members that the model needs.
        """
        late = [
            name for name in members if (name, group, epoch) not in self._ready
        ]
        if len(members) != size or late:
            self._add_breach(
                'whole group', f'{group}: {members}, not ready {late}'
            )

    def check_join(self, runner: str, head_serves: bool) -> None:
        """Checks that a join order does not break up a serving group.

        Args:
            runner: Name of the runner that joins another group.
            head_serves: Whether the head of its old group is open.
        """
        if head_serves:
            self._add_breach('one group', runner)

    def record_arrival(self, runner: str, at: float) -> None:
        """Records a request that a runner has not refused as misdirected.

        Args:
            runner: Name of the runner.
            at: Seconds of the event loop.
        """
        self._arrivals.setdefault(runner, []).append(at)

    def record_node_start(self, at: float) -> None:
        """Records that a node process has started or goes on.

        Args:
            at: Seconds of the event loop.
        """
        self._node_starts.append(at)

    def check_rate(
        self, runner: str, limit: float, began_at: float, ended_at: float
    ) -> None:
        """Checks that a runner got no more requests than it takes.

        Args:
            runner: Name of the runner.
            limit: Requests a second that it has named.
            began_at: Seconds of the event loop from which it named them.
            ended_at: Seconds until which it did.
        """
        times = [
            at
            for at in self._arrivals.get(runner, ())
            if began_at + LIMIT_STABLE_S <= at < ended_at
        ]
        for first in times:
            until = first + LIMIT_WINDOW_S
            count = sum(first <= at < until for at in times)
            starts = sum(
                first - START_EXCUSED_S <= at < until
                for at in self._node_starts
            )
            allowed = (
                LIMIT_RATIO * limit * LIMIT_WINDOW_S
                + LIMIT_SLACK
                + REQUESTS_PER_START * starts
            )
            if count > allowed:
                self._add_breach(
                    'limits of upstreams',
                    f'{runner}: {count} requests, {starts} starts of nodes',
                )
                return

    def check_stop(self, node: str, took_s: float, bound_s: float) -> None:
        """Checks how long a node took to stop.

        Args:
            node: Name of the node.
            took_s: Seconds from SIGTERM to the exit of the process.
            bound_s: Upper bound in seconds.
        """
        if took_s > bound_s:
            self._add_breach('leaves in time', f'{node}: {took_s:.2f} s')

    def check_recovery(self, kind: str, served: bool) -> None:
        """Checks that a kind of request is served after the last fault.

        Args:
            kind: Kind of request.
            served: Whether it was served within the recovery time.
        """
        if not served:
            self._add_breach('serves again', kind)

    def finish(self) -> list[Breach]:
        """Compares callers and runners when no request is in progress.

        Returns:
            All breaches of the run.
        """
        for token in self._at_most_once:
            if self._runs[token] > 1:
                self._add_breach(
                    'at most once', f'{token}: {self._runs[token]}'
                )
        for token in self._refused:
            if self._runs[token]:
                self._add_breach(
                    'true refusal', f'{token}: {self._runs[token]}'
                )
        return self.breaches

    def _add_breach(self, promise: str, detail: str) -> None:
        self.breaches.append(Breach(promise, detail))
