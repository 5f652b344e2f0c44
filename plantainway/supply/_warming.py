"""Idle engines that load a model before a group needs them."""

import dataclasses

from plantainway import deployment
from plantainway import logs
from plantainway.supply import _orders

GROUP_PREFIX = 'w'  # tells groups of one, which never open, from others

_JOINING = deployment.GroupState.JOINING
_READY = deployment.GroupState.READY


@dataclasses.dataclass(frozen=True, slots=True)
class _Warmup:
    """A group of one that an engine joins in order to load a model.

    ``life`` is the ``started_ms`` of the engine; ``deadline`` is monotonic
    seconds. ``model`` is empty where another leader chose it.
    """

    group: str
    epoch: int
    model: str
    life: int
    deadline: float


class WarmupBook:
    """Engines that load a model into a group of their own.

    An engine whose last group had a model joins another group of it in a
    fraction of the time that it needs to read the weights from its host. So
    spares join a group of one and leave it as soon as they are ready.
    """

    def __init__(self):
        self._warmups: dict[str, _Warmup] = {}

    def adopt(self, facts, deadline: float) -> None:
        """Takes over the warmups that an earlier leader has begun.

        Args:
            facts: Engines by name.
            deadline: Monotonic seconds by which they should be ready.
        """
        self._warmups.clear()
        for name, fact in facts.items():
            member = fact.membership
            if (
                member is not None
                and is_warmup(member.group)
                and member.state is _JOINING
            ):
                self._warmups[name] = _Warmup(
                    member.group,
                    member.epoch,
                    member.model,
                    fact.upstream.started_ms,
                    deadline,
                )

    @property
    def models(self) -> dict[str, str]:
        """Returns the models that engines are loading, by engine."""
        return {name: warmup.model for name, warmup in self._warmups.items()}

    @property
    def member_keys(self) -> set:
        """Returns the memberships that warmups explain."""
        return {
            (name, warmup.group, warmup.epoch)
            for name, warmup in self._warmups.items()
        }

    def begin(self, fact, model: str, epoch: int, deadline: float):
        """Lets an engine load a model.

        Args:
            fact: The engine.
            model: Name of the model.
            epoch: Epoch of the group of one.
            deadline: Monotonic seconds by which it should be ready.

        Returns:
            The order to join.
        """
        group = f'{GROUP_PREFIX}{epoch}'
        self._warmups[fact.name] = _Warmup(
            group, epoch, model, fact.upstream.started_ms, deadline
        )
        return _orders.Order(
            _orders.OrderKind.JOIN,
            fact.name,
            group,
            epoch,
            model,
            (fact.name,),
        )

    def finish(self, facts, now: float) -> list:
        """Drops the warmups that have ended.

        Args:
            facts: Engines by name.
            now: Monotonic seconds.

        Returns:
            The engines that are ready and have to leave their group.
        """
        ready = []
        for name, warmup in list(self._warmups.items()):
            fact = facts.get(name)
            outcome = _outcome(warmup, fact, now)
            if outcome is None:
                continue
            del self._warmups[name]
            if outcome == 'ready':
                ready.append(fact)
            else:
                logs.event(
                    'warmup_ended',
                    upstream=name,
                    model=warmup.model,
                    reason=outcome,
                )
        return ready


def is_warmup(group: str) -> bool:
    """Tells whether a group only serves to load a model.

    Args:
        group: Name of the group.
    """
    return group.startswith(GROUP_PREFIX)


def _outcome(warmup, fact, now: float) -> str | None:
    """Returns how a warmup has ended, ``None`` while it goes on."""
    if fact is None or not fact.is_usable:
        return 'lost'
    if fact.upstream.started_ms != warmup.life:
        return 'restarted'
    key = (fact.name, warmup.group, warmup.epoch)
    if fact.member_key == key and fact.membership.state is _READY:
        return 'ready'
    return 'late' if now > warmup.deadline else None
