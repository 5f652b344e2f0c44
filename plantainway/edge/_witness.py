"""Asks other nodes whether they reach an engine, and answers them.

One node's failure to reach an engine may be that of its own link.
"""

import asyncio
import hashlib
import itertools

from plantainway import logs
from plantainway import loops
from plantainway import supply

WITNESSES_MAX = 5  # nodes that are asked about one engine
ANSWER_TIMEOUT_S = 0.5  # a new connection that hangs counts after 0.25 s
USUAL_ANSWER_S = 0.05  # a report takes about 10 ms
ANSWER_TTL_S = 1.0  # an answer is repeated in heartbeats for this long
HANDLED_MAX = 1024


class LossWitness(supply.BaseLossWitness):
    """Asks other nodes about engines, for the leader.

    Args:
        others: Function that returns the live nodes besides this one that
            have not lost their links.
        link_task: Checks the links of this node.
        monitor: Monitor of the links of this node.

    Attributes:
        on_asked: Called when the other nodes should get an update soon.
    """

    def __init__(self, others, link_task, monitor):
        self._others = others
        self._link_task = link_task
        self._monitor = monitor
        self._numbers = itertools.count(1)
        self._asked: dict[int, _Question] = {}
        self.on_asked = []

    def questions(self) -> dict[int, str]:
        """Returns the engines that the other nodes are asked about."""
        return {
            number: question.engine for number, question in self._asked.items()
        }

    def handle_answers(self, node: str, answers: dict[int, bool]) -> None:
        """Adds what a node says.

        Args:
            node: Name of the node.
            answers: Whether it reaches the engine, by number of the question.
        """
        for number, is_reached in answers.items():
            question = self._asked.get(number)
            if question is not None:
                question.add(node, is_reached)

    async def is_lost(self, upstream) -> bool:
        """Asks the other nodes; see the base class.

        Without an answer in time, the engine counts as lost if this node
        reaches others.
        """
        count = min(len(self._others()), WITNESSES_MAX)
        if not count:
            return True
        number = next(self._numbers)
        question = self._asked[number] = _Question(upstream.name, count)
        for listener in self.on_asked:
            listener()
        try:
            async with loops.timeout(ANSWER_TIMEOUT_S):
                await question.is_answered.wait()
        except TimeoutError:
            if not question.answers:
                return await self._link_task.check()
        finally:
            del self._asked[number]
        is_lost = not any(question.answers.values())
        if not is_lost:
            self._monitor.record_failure(upstream.name)
        logs.event(
            'loss_confirmed' if is_lost else 'loss_denied',
            upstream=upstream.name,
            reached=sum(question.answers.values()),
            asked=count,
        )
        return is_lost


class _Question:
    """A question about an engine, and its answers by node.

    ``is_answered`` is set by the first node that reaches the engine, or once
    ``expected`` nodes have answered.
    """

    def __init__(self, engine: str, expected: int):
        self.engine = engine
        self.answers: dict[str, bool] = {}
        self.is_answered = asyncio.Event()
        self._expected = expected

    def add(self, node: str, is_reached: bool) -> None:
        """Adds the answer of a node."""
        self.answers[node] = is_reached
        if is_reached or len(self.answers) >= self._expected:
            self.is_answered.set()


class WitnessTask:
    """Answers the questions of the leader.

    Args:
        node: Name of this node.
        view: Decoded tables of the platform.
        link_task: Checks the links of this node.
        clock: Source of monotonic time.
        spawn: Function that runs a coroutine as a task.
        send_soon: Function that sends the leader a heartbeat soon.
    """

    def __init__(self, node, view, link_task, clock, spawn, send_soon):
        self._node = node
        self._view = view
        self._link_task = link_task
        self._clock = clock
        self._spawn = spawn
        self._send_soon = send_soon
        self._handled: dict[tuple[str, int, str], None] = {}
        self._answers: dict[int, tuple[float, bool]] = {}

    def answers(self) -> dict[int, bool]:
        """Returns the recent answers, by number of the question."""
        oldest = self._clock.now() - ANSWER_TTL_S
        self._answers = {
            number: (at, is_reached)
            for number, (at, is_reached) in self._answers.items()
            if at >= oldest
        }
        return {number: item[1] for number, item in self._answers.items()}

    def handle_questions(self, leader, questions, nodes) -> None:
        """Tries to reach the engines for which this node is a witness.

        Args:
            leader: Name of the leader.
            questions: Names of the engines, by number of the question.
            nodes: All live nodes.
        """
        candidates = [
            item.node
            for item in nodes
            if item.node != leader and item.ready and not item.links_lost
        ]
        for number, engine in questions.items():
            key = (leader, number, engine)
            if key in self._handled:
                continue
            self._handled[key] = None
            if len(self._handled) > HANDLED_MAX:
                del self._handled[next(iter(self._handled))]
            if self._node in choose_witnesses(candidates, engine):
                self._spawn(self._answer(number, engine))

    async def _answer(self, number: int, engine: str) -> None:
        upstream = self._view.book.by_name.get(engine)
        if upstream is None:
            return
        is_reached = await self._is_reached(upstream)
        if is_reached is None:
            return
        self._answers[number] = (self._clock.now(), is_reached)
        self._send_soon()

    async def _is_reached(self, upstream) -> bool | None:
        """Returns ``None`` if this node's own links are no better.

        These are checked while the upstream is silent, so that its loss is
        not known later for it.
        """
        probe = asyncio.ensure_future(self._link_task.reaches(upstream))
        await asyncio.wait((probe,), timeout=USUAL_ANSWER_S)
        if probe.done() and probe.result():
            return True
        is_linked = await self._link_task.check()
        return await probe or (False if is_linked else None)


def choose_witnesses(nodes, engine: str) -> list[str]:
    """Returns the nodes that are asked about an engine.

    All nodes that know the same others come to the same choice.

    Args:
        nodes: Names of the nodes that may be asked.
        engine: Name of the engine.
    """

    def rank(node: str) -> bytes:
        return hashlib.blake2b(
            f'{engine}/{node}'.encode(), digest_size=8
        ).digest()

    return sorted(nodes, key=rank)[:WITNESSES_MAX]
