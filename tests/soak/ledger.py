"""Checks observations of callers and runners against the promises."""

import collections
import dataclasses
import math
import re


# Of the platform's rule on limits: it holds so long after a runner has named
# one, for windows of so many seconds.
LIMIT_STABLE_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
# The rule excuses a node that has just started or woken up.
REQUESTS_PER_START = 3
START_EXCUSED_S = 3.0
CUT_END_LABELS = ('aborted', 'cancelled')
# evacuateMs of the platform.
EVACUATION_BOUND_S = 5.0
# Of the platform's rule on cold runners, and what the runners tolerate.
COLD_PER_S = 2.0
COLD_WINDOW_S = 1.0
COLD_RATIO = 1.5
COLD_SLACK = 5
# No node can know before that a running runner has turned cold.
COLD_UNKNOWN_S = 1.0
# Until requests that a blocked link held back have arrived.
HELD_S = 0.5


@dataclasses.dataclass(frozen=True)
class Breach:
    """A broken promise and the observation that proves it."""

    promise: str
    detail: str


@dataclasses.dataclass
class Run:
    """A run of a request at a runner, in seconds of the event loop.

    It ends when the runner has sent all of the answer (``is_complete``) or
    can't send any more.
    """

    runner: str
    began_at: float
    ended_at: float = math.inf
    is_complete: bool = False


@dataclasses.dataclass(frozen=True)
class CutAnswer:
    """An answer with status 200 whose end its client did not see.

    ``node`` is the address of the node process. Times are seconds of the event
    loop; ``deadline`` is the earliest one that the node may have for it.
    """

    token: str
    node: str
    sent_at: float
    deadline: float
    cut_at: float


@dataclasses.dataclass
class NodeLog:
    """What the log of a node says about the ends of requests.

    ``ends`` holds the labels of ended requests, by request, ``relayed`` the
    requests that were served through another node.
    """

    ends: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    relayed: set[str] = dataclasses.field(default_factory=set)


def read_log(lines) -> NodeLog:
    """Returns what a log says about the ends of requests.

    Args:
        lines: Its lines.
    """
    found = NodeLog()
    for line in lines:
        request = re.search(r' request=(\S+)', line)
        if request is None:
            continue
        if 'event=request_relayed ' in line:
            found.relayed.add(request[1])
        elif 'event=request_ended ' in line:
            end = re.search(r' end=(\S+)', line)
            found.ends.setdefault(request[1], []).append(end[1] if end else '')
    return found


@dataclasses.dataclass(frozen=True)
class Window:
    """Time in which something can't be relied upon."""

    name: str
    began_at: float
    ended_at: float

    def overlaps(self, since: float, until: float) -> bool:
        return self.began_at <= until and since <= self.ended_at


class CutAnswerChecker:
    """Finds answers that were cut although nothing had ended them.

    An answer may be cut at its deadline, by a kill or the end of its node, and
    while its node is cut off from the runners; one that was served through
    another node also by these of any node. Otherwise it is a breach if a run
    that no fault disturbed was complete, or was the last of its runs to end.
    """

    def __init__(self):
        self._runs: dict[str, list[Run]] = {}
        self.cuts: list[CutAnswer] = []
        self._disturbances: list[Window] = []
        self._node_ends: list[Window] = []
        self._killed: set[str] = set()

    def record_run(self, token: str, run: Run) -> None:
        """Records that a run has begun; its owner records its end in it.

        Args:
            token: Unique id of the request.
            run: The run.
        """
        self._runs.setdefault(token, []).append(run)

    def record_cut(self, cut: CutAnswer) -> None:
        """Records that a client saw an answer cut.

        Args:
            cut: The answer.
        """
        self.cuts.append(cut)

    def record_disturbance(
        self, runner: str, began_at: float, ended_at: float
    ) -> None:
        """Records that a runner was down or not reached for some time.

        Args:
            runner: Name of the runner.
            began_at: Seconds of the event loop.
            ended_at: Seconds of the event loop.
        """
        self._disturbances.append(Window(runner, began_at, ended_at))

    def record_node_kill(self, node: str, at: float) -> None:
        """Records that a node process is killed.

        Args:
            node: Address of the node process.
            at: Seconds of the event loop.
        """
        self._killed.add(node)
        self.record_node_end(node, at)

    def record_node_end(
        self, node: str, at: float, until: float = math.inf
    ) -> None:
        """Records from when on a node may cut its answers.

        Args:
            node: Address of the node process.
            at: Seconds of the event loop.
            until: Seconds until which it may, without end by default.
        """
        self._node_ends.append(Window(node, at, until))

    def find_breaches(self, logs) -> list[Breach]:
        """Compares the answers that were cut with runs and logs.

        Args:
            logs: ``NodeLog`` of each node process, by its address; ``None``
                if none was kept.

        Returns:
            The breaches.
        """
        found = []
        for cut in self.cuts:
            log = (logs or {}).get(cut.node, NodeLog())
            run = self._find_reliable_run(cut)
            if run is not None and not self._is_excused(cut, log):
                found.append(
                    Breach(
                        'goes on',
                        f'{cut.token}: cut by {cut.node} after '
                        f'{cut.cut_at - cut.sent_at:.2f} s, {run}',
                    )
                )
            if logs is None or cut.node in self._killed:
                continue
            ends = log.ends.get(cut.token, [])
            if len(ends) != 1 or ends[0] not in CUT_END_LABELS:
                found.append(
                    Breach(
                        'logged end', f'{cut.token}: cut by {cut.node}, {ends}'
                    )
                )
        return found

    def _is_excused(self, cut, log) -> bool:
        return cut.cut_at >= cut.deadline or any(
            window.overlaps(cut.sent_at, cut.cut_at)
            for window in self._node_ends
            if window.name == cut.node or cut.token in log.relayed
        )

    def _find_reliable_run(self, cut) -> Run | None:
        """Returns a run that could have served the whole answer."""
        runs = self._runs.get(cut.token, ())
        reliable = [run for run in runs if not self._is_disturbed(run, cut)]
        for run in reliable:
            if run.is_complete:
                return run
        last = max(runs, key=lambda run: run.ended_at, default=None)
        return last if last in reliable else None

    def _is_disturbed(self, run, cut) -> bool:
        until = min(run.ended_at, cut.cut_at)
        return any(
            window.name == run.runner and window.overlaps(run.began_at, until)
            for window in self._disturbances
        )


class ArrivalChecker:
    """Finds requests that evacuated or cold runners should not have got.

    A node is out of touch while it is paused or can't reach the store. It
    knows of an evacuation once it was in touch for the bound, or of a cold
    time, and keeps to it from then on. After a pause it may send what it had
    decided before. Requests that a link held back were sent earlier and don't
    count.

    Attributes:
        senders: Address of the node to which a request was sent, by token.
        outages: When nodes were out of touch, by address, or without a name
            all of them; when links held back requests, by runner.
        evacuations: When the row was stored that evacuates a runner.
        pauses: Those of them when a node was paused.
        colds: When runners are cold, and how long a node has to be in touch
            to know that.
    """

    def __init__(self):
        self._arrivals: dict[str, list[tuple[float, str]]] = {}
        self.senders: dict[str, str] = {}
        self.outages: list[Window] = []
        self.evacuations: list[Window] = []
        self.pauses: list[Window] = []
        self.colds: list[tuple[Window, float]] = []

    def record_arrival(self, runner: str, at: float, token: str) -> None:
        """Records a request that a runner has not refused as misdirected.

        Args:
            runner: Name of the runner.
            at: Seconds of the event loop.
            token: Unique id of the request.
        """
        self._arrivals.setdefault(runner, []).append((at, token))

    def times(self, runner: str) -> list[float]:
        """Returns when requests reached a runner.

        Args:
            runner: Name of the runner.
        """
        return [at for at, _token in self._arrivals.get(runner, ())]

    def find_breaches(self, logs) -> list[Breach]:
        """Compares the arrivals with evacuations and cold times.

        Args:
            logs: ``NodeLog`` of each node process, by its address; ``None``
                if none was kept.

        Returns:
            At most one breach for each window.
        """
        found = []
        for window in self.evacuations:
            late = [
                f'{token} after {at - window.began_at:.2f} s'
                for at, token in self._find_sent(window)
                if all(
                    self._in_touch_s(node, window.began_at, at)
                    > EVACUATION_BOUND_S
                    for node in self._find_nodes(token, logs or {})
                )
            ]
            if late:
                detail = f'{window}: {len(late)} requests, {late[:5]}'
                found.append(Breach('evacuation', detail))
        for window, unknown_s in self.colds:
            times = [
                at
                for at, token in self._find_sent(window)
                if all(
                    self._in_touch_s(node, window.began_at, at) >= unknown_s
                    and not self._was_paused(node, at)
                    for node in self._find_nodes(token, logs or {})
                )
            ]
            counts = [
                sum(first <= at < first + COLD_WINDOW_S for at in times)
                for first in times
            ]
            if max(counts, default=0) > COLD_RATIO * COLD_PER_S + COLD_SLACK:
                first = times[counts.index(max(counts))]
                detail = f'{window}: {max(counts)} requests from {first:.2f}'
                found.append(Breach('cold runners', detail))
        return found

    def _find_sent(self, window) -> list[tuple[float, str]]:
        """Returns requests to a runner that were sent within a window."""
        return [
            (at, token)
            for at, token in self._arrivals.get(window.name, ())
            if window.began_at <= at < window.ended_at
            and not any(
                hold.name == window.name and hold.overlaps(at - HELD_S, at)
                for hold in self.outages
            )
        ]

    def _find_nodes(self, token, logs) -> list[str]:
        """Returns the nodes of which one has sent a request to its runner."""
        node = self.senders.get(token, '')
        is_relayed = node in logs and token in logs[node].relayed
        return list(logs) if is_relayed else [node]

    def _find_outages(self, node) -> list[Window]:
        return [one for one in self.outages if one.name in ('', node)]

    def _was_paused(self, node, at: float) -> bool:
        return any(
            pause.name == node and pause.overlaps(at - COLD_WINDOW_S, at)
            for pause in self.pauses
        )

    def _in_touch_s(self, node, since: float, until: float) -> float:
        """Returns for how long a node was in touch within some time."""
        total_s = 0.0
        outages = self._find_outages(node)
        for outage in sorted(outages, key=lambda one: one.began_at):
            total_s += max(min(outage.began_at, until) - since, 0.0)
            since = max(since, outage.ended_at)
        return total_s + max(until - since, 0.0)


class PromiseChecker:
    """Collects observations of callers and runners and finds breaches.

    Most promises are checked at once; those that need both sides are
    checked by ``finish``. ``cut_answers`` checks answers that were cut,
    ``arrivals`` requests to evacuated and cold runners.
    """

    def __init__(self):
        self.cut_answers = CutAnswerChecker()
        self.arrivals = ArrivalChecker()
        self.breaches: list[Breach] = []
        self.outcomes: collections.Counter = collections.Counter()
        self._runs: collections.Counter = collections.Counter()
        self._refused: set[str] = set()
        self._at_most_once: set[str] = set()
        self._versions: dict[str, int] = {}
        self._ready: set[tuple[str, str, int]] = set()
        self._node_starts: list[float] = []

    def record_at_most_once(self, token: str) -> None:
        """Records a request that may run at most once.

        Args:
            token: Unique id of the request.
        """
        self._at_most_once.add(token)

    def record_run(self, token: str, runner: str = '', at: float = 0.0) -> Run:
        """Records that a runner has begun to execute a request.

        Args:
            token: Unique id of the request.
            runner: Name of the runner.
            at: Seconds of the event loop.

        Returns:
            The run, whose end the runner records in it.
        """
        self._runs[token] += 1
        run = Run(runner, at)
        self.cut_answers.record_run(token, run)
        return run

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
            for at in self.arrivals.times(runner)
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

    def finish(self, logs=None) -> list[Breach]:
        """Compares callers and runners when no request is in progress.

        Args:
            logs: ``NodeLog`` of each node process, by its address; ``None``
                if none was kept.

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
        self.breaches += self.cut_answers.find_breaches(logs)
        self.breaches += self.arrivals.find_breaches(logs)
        return self.breaches

    def _add_breach(self, promise: str, detail: str) -> None:
        self.breaches.append(Breach(promise, detail))
