"""What callers and runners saw, and which promises that breaks."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class Breach:
    """A broken promise and the case that shows it."""

    promise: str
    detail: str


class Ledger:
    """Notes of both sides, compared as they come and at the end."""

    def __init__(self):
        self.breaches: list[Breach] = []
        self.outcomes: collections.Counter = collections.Counter()
        self._runs: collections.Counter = collections.Counter()
        self._refused: set[str] = set()
        self._single: set[str] = set()
        self._versions: dict[str, int] = {}
        self._ready: set[tuple[str, str, int]] = set()

    def note_single(self, token: str) -> None:
        """Notes a request that may run at most once.

        Args:
            token: What names the request.
        """
        self._single.add(token)

    def note_run(self, token: str) -> None:
        """Notes that a runner has begun to run a request.

        Args:
            token: What names the request.
        """
        self._runs[token] += 1

    def note_answer(self, token: str, got, expected: bytes) -> None:
        """Compares what a caller got with what its request should get.

        Args:
            token: What names the request.
            got: Status, headers, body and whether it looked complete.
            expected: Body of a whole answer.
        """
        kind = f'{got.status}' if got.is_whole else f'{got.status} cut'
        self.outcomes[kind] += 1
        if got.status == 200:
            if got.is_whole and got.body != expected:
                self._add('whole', f'{token}: {got.body[:80]!r}')
            elif not expected.startswith(got.body):
                self._add('own answer', f'{token}: {got.body[:80]!r}')
        elif 'Not-Executed' in got.headers:
            self._refused.add(token)

    def seen_version(self, node: str) -> int:
        """Returns the newest configuration that a node has served by.

        Args:
            node: Address of one life of a node.
        """
        return self._versions.get(node, 0)

    def note_version(self, node: str, version: int, before: int) -> None:
        """Notes that a node served by a configuration.

        Args:
            node: Address of one life of a node.
            version: The configuration.
            before: What ``seen_version`` said when the request was sent.
        """
        if version < before:
            self._add('newest configuration', f'{node}: {before}, {version}')
        self._versions[node] = max(self.seen_version(node), version)

    def note_ready(self, runner: str, group: str, epoch: int) -> None:
        """Notes that a runner has become ready in a group.

        Args:
            runner: Its name.
            group: The group.
            epoch: Its epoch.
        """
        self._ready.add((runner, group, epoch))

    def note_group_run(self, members, group, epoch: int, size: int) -> None:
        """Checks the group that a request begins to run in.

        Args:
            members: Names of its members.
            group: The group.
            epoch: Its epoch.
            size: Members that the model needs.
        """
        late = [
            name for name in members if (name, group, epoch) not in self._ready
        ]
        if len(members) != size or late:
            self._add('whole group', f'{group}: {members}, not ready {late}')

    def note_join(self, runner: str, head_serves: bool) -> None:
        """Checks that a runner is taken out of no group that serves.

        Args:
            runner: Its name.
            head_serves: Whether the head of its group is open.
        """
        if head_serves:
            self._add('one group', runner)

    def note_stop(self, node: str, took_s: float, bound_s: float) -> None:
        """Checks how long a node took to leave.

        Args:
            node: Its name.
            took_s: Seconds from SIGTERM to its end.
            bound_s: Seconds that it may take.
        """
        if took_s > bound_s:
            self._add('leaves in time', f'{node}: {took_s:.2f} s')

    def note_recovery(self, kind: str, served: bool) -> None:
        """Checks that a kind of request is served after all faults.

        Args:
            kind: The kind of request.
            served: Whether it was.
        """
        if not served:
            self._add('serves again', kind)

    def finish(self) -> list[Breach]:
        """Compares both sides once nothing is in progress any more.

        Returns:
            All breaches.
        """
        for token in self._single:
            if self._runs[token] > 1:
                self._add('at most once', f'{token}: {self._runs[token]}')
        for token in self._refused:
            if self._runs[token]:
                self._add('true refusal', f'{token}: {self._runs[token]}')
        return self.breaches

    def _add(self, promise: str, detail: str) -> None:
        self.breaches.append(Breach(promise, detail))
