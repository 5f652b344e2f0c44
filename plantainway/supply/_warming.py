"""Warm-up of idle engines: they load a model before a group needs it."""

import dataclasses

from plantainway import deployment
from plantainway import logs
from plantainway.supply import _orders

WARMUP_GROUP_PREFIX = 'w'  # marks groups of one, which never open

_JOINING = deployment.GroupState.JOINING
_READY = deployment.GroupState.READY


@dataclasses.dataclass(frozen=True, slots=True)
class _Warmup:
    """A group of one that an engine joins in order to load a model.

    ``started_ms`` is that of the engine at the start, ``deadline`` is
    monotonic seconds. ``model`` may be empty if an earlier leader chose it.
    """

    group: str
    epoch: int
    model: str
    started_ms: int
    deadline: float


class WarmupTracker:
    """Tracks the engines that load a model in a group of one.

    An engine that was last in a group of a model joins another group of
    that model in a fraction of the time that reading the weights from its
    host takes. So spares join a group of one and leave it as soon as they
    are ready.
    """

    def __init__(self):
        self._warmups: dict[str, _Warmup] = {}

    def adopt(self, engines, deadline: float) -> None:
        """Replaces all warm-ups by those in progress from an earlier leader.

        Args:
            engines: Engines by name.
            deadline: Monotonic seconds by which they should be ready.
        """
        self._warmups.clear()
        for name, engine in engines.items():
            member = engine.membership
            if (
                member is not None
                and is_warmup(member.group)
                and member.state is _JOINING
            ):
                self._warmups[name] = _Warmup(
                    member.group,
                    member.epoch,
                    member.model,
                    engine.upstream.started_ms,
                    deadline,
                )

    @property
    def models(self) -> dict[str, str]:
        """Returns the models that engines are loading, by engine."""
        return {name: warmup.model for name, warmup in self._warmups.items()}

    @property
    def member_keys(self) -> set:
        """Returns engine, group and epoch of the warm-ups in progress."""
        return {
            (name, warmup.group, warmup.epoch)
            for name, warmup in self._warmups.items()
        }

    def begin(self, engine, model: str, epoch: int, deadline: float):
        """Starts a warm-up.

        Args:
            engine: The engine.
            model: Name of the model.
            epoch: Epoch of the group of one.
            deadline: Monotonic seconds by which it should be ready.

        Returns:
            The order to join, which the caller has to send.
        """
        group = f'{WARMUP_GROUP_PREFIX}{epoch}'
        self._warmups[engine.name] = _Warmup(
            group, epoch, model, engine.upstream.started_ms, deadline
        )
        return _orders.Order(
            _orders.OrderKind.JOIN,
            engine.name,
            group,
            epoch,
            model,
            (engine.name,),
        )

    def remove_ended(self, engines, now: float) -> list:
        """Removes the warm-ups that have ended and logs the failed ones.

        Args:
            engines: Engines by name.
            now: Monotonic seconds.

        Returns:
            The engines that are ready and must now leave their group.
        """
        ready = []
        for name, warmup in list(self._warmups.items()):
            engine = engines.get(name)
            outcome = _outcome(warmup, engine, now)
            if outcome is None:
                continue
            del self._warmups[name]
            if outcome == 'ready':
                ready.append(engine)
            else:
                logs.event(
                    'warmup_ended',
                    upstream=name,
                    model=warmup.model,
                    reason=outcome,
                )
        return ready


def is_warmup(group: str) -> bool:
    """Returns whether a group exists only to load a model.

    Args:
        group: Name of the group.
    """
    return group.startswith(WARMUP_GROUP_PREFIX)


def _outcome(warmup, engine, now: float) -> str | None:
    """Returns how a warm-up has ended, ``None`` while in progress."""
    if engine is None or not engine.is_usable:
        return 'lost'
    if engine.upstream.started_ms != warmup.started_ms:
        return 'restarted'
    key = (engine.name, warmup.group, warmup.epoch)
    if engine.member_key == key and engine.membership.state is _READY:
        return 'ready'
    return 'late' if now > warmup.deadline else None
