"""Which groups to form of idle engines, and what spares load."""

import collections
import dataclasses
import math

from plantainway.supply import _state

SPARES_PER_DOMAIN = 2  # idle engines kept for repairs, while demand is met
EXPOSED_MIN = 0.1  # lets the smaller model have the spare in a draw
RESERVE = 1.1  # groups over those that would run half of their slots


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """Groups of a model: those that always stand, those asked for now."""

    base: int
    asked: int

    @property
    def most(self) -> int:
        """Returns the larger figure."""
        return max(self.base, self.asked)


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Groups of each model that stand or form, and how many are wanted."""

    have: dict[str, int]
    want: dict[str, Wanted]

    def met(self, model: str) -> float:
        """Returns the part of the wanted groups that a model has.

        Args:
            model: Name of the model.
        """
        return self.have.get(model, 0) / max(self.want[model].most, 1)

    def missing(self, model: str) -> int:
        """Returns how many of the groups that always stand are missing.

        Args:
            model: Name of the model.
        """
        return self.want[model].base - self.have.get(model, 0)

    def is_short(self, model: str) -> bool:
        """Tells whether fewer groups stand than always should.

        Args:
            model: Name of the model.
        """
        return self.missing(model) > 0


def wanted_groups(
    profile, engines: int, domains: int, demand: dict[str, float]
) -> dict[str, Wanted]:
    """Returns how many groups of each model should stand.

    The engines that are not kept as spares are dealt out by the models'
    shares of the work. A model that is asked for more may get spares that
    have its weights.

    Args:
        profile: The engine profile.
        engines: Engines that have been seen.
        domains: Fabric domains, each of which keeps spares.
        demand: Groups kept busy by model, empty if not known.

    Returns:
        Wanted groups by model.
    """
    serving = max(engines - SPARES_PER_DOMAIN * domains, 0)
    total = sum(model.share for model in profile.models) or 1.0
    return {
        model.name: Wanted(
            max(round(serving * model.share / total / model.members), 1),
            math.ceil(demand.get(model.name, 0.0) * RESERVE),
        )
        for model in profile.models
    }


def idle_engines(view: _state.DomainView) -> list:
    """Returns the engines of a domain that may join a group.

    Args:
        view: The domain.
    """
    taken = {
        name for record in view.groups.values() for name in record.members
    }
    return [
        engine
        for name, engine in sorted(view.engines.items())
        if engine.is_usable
        and not engine.is_slow
        and not engine.is_probed
        and name not in taken
        and name not in view.busy
        and (engine.membership is None or engine.member_key in view.left)
    ]


def _is_staged(engine, model: str) -> bool:
    return model in engine.upstream.staged


def _was_member(engine, model: str) -> bool:
    member = engine.membership
    return member is not None and member.model == model


def _rank(engine, model: str) -> tuple:
    """Sorts engines by how soon they can join a group of a model."""
    return (
        not _was_member(engine, model),
        not _is_staged(engine, model),
        engine.name,
    )


def form_groups(
    views, profile, counts: Counts, loads_free: int, starting: bool
) -> list:
    """Chooses groups to form, the neediest model first.

    Answers the load of a day on which members die every few seconds: a
    group is formed of engines that have the weights before any that must
    load them, and never over two domains.

    Args:
        views: The fabric domains.
        profile: The engine profile.
        counts: Groups that stand and that are wanted; brought up to date.
        loads_free: Loads that may begin now.
        starting: Whether no traffic flows yet.

    Returns:
        The groups to form.
    """
    actions = []
    rooms = [_Room.of(view) for view in views]
    while True:
        models = sorted(
            profile.models,
            key=lambda model: (counts.met(model.name), -model.members),
        )
        found = None
        for model in models:
            if counts.met(model.name) < 1.0:
                # Spares are loaded with other weights only where a group
                # that always stands is missing.
                short = counts.is_short(model.name)
                found = _best(
                    rooms,
                    model,
                    profile,
                    counts.want[model.name].base,
                    loads_free if short else 0,
                    starting,
                )
            if found is not None:
                break
        if found is None:
            return actions
        room, chosen, loads = found
        loads_free -= loads
        names = tuple(engine.name for engine in chosen)
        actions.append(_state.Form(model.name, names, 'idle engines'))
        counts.have[model.name] = counts.have.get(model.name, 0) + 1
        room.models.append(model.name)
        room.idle = [e for e in room.idle if e.name not in names]


@dataclasses.dataclass(slots=True)
class _Room:
    """A domain while groups are formed: idle engines, models that stand."""

    domain: str
    idle: list
    models: list
    leaving: bool

    @classmethod
    def of(cls, view) -> '_Room':
        """Returns the room that a domain has."""
        models = [record.model for record in view.groups.values()]
        return cls(
            view.domain, idle_engines(view), models, bool(_leaving(view))
        )


def _best(rooms, model, profile, wanted, loads_free: int, starting: bool):
    """Returns the domain and engines that a new group costs least."""
    best = None
    # Engines that are about to be free may make a group without a load.
    leaving = any(room.leaving for room in rooms)
    per_room = math.ceil(wanted / max(len(rooms), 1))
    for room in rooms:
        if len(room.idle) < model.members:
            continue
        if starting and (
            _is_kept_free(room, model, profile)
            or room.models.count(model.name) >= per_room
        ):
            continue
        ranked = sorted(room.idle, key=lambda e: _rank(e, model.name))
        chosen = ranked[: model.members]
        loads = sum(not _is_staged(engine, model.name) for engine in chosen)
        if loads > loads_free or (loads and leaving):
            continue
        key = (
            loads,
            room.models.count(model.name),
            model.members - len(room.idle),
            room.domain,
        )
        if best is None or key < best[0]:
            best = (key, (room, chosen, loads))
    return best[1] if best is not None else None


def _is_kept_free(room, model, profile) -> bool:
    """Tells whether a domain's engines wait for a larger model at the start.

    Engines register one by one: a small group formed of the first of them
    would leave too few for a large one in the same domain.
    """
    return any(
        other.members > model.members and other.name not in room.models
        for other in profile.models
    )


def warm_spares(
    views, profile, counts: Counts, loads_free: int, starting: bool
) -> list:
    """Chooses what idle engines load before a group needs them.

    Every domain should have spares with the weights of each model that has
    groups there, those of larger groups first.

    Args:
        views: The fabric domains.
        profile: The engine profile.
        counts: Groups that stand and that are wanted.
        loads_free: Loads that may begin now.
        starting: Whether no traffic flows yet.

    Returns:
        The loads to begin.
    """
    actions = []
    names = sorted(model.name for model in profile.models)
    weights = {
        model.name: counts.want[model.name].base * model.members
        for model in profile.models
    }
    for view in views:
        if _leaving(view):
            continue  # they may make a group with the idle ones
        idle = idle_engines(view)
        if starting and any(
            counts.is_short(model.name) and len(idle) >= model.members
            for model in profile.models
        ):
            continue  # groups go before spares
        missing = _spare_mix(weights, len(idle) + len(view.loading))
        missing.subtract(view.loading.values())
        misfits = []
        for engine in idle:
            kept = next(
                (m for m in engine.upstream.staged if missing.get(m, 0) > 0),
                None,
            )
            if kept is not None:
                missing[kept] -= 1
            elif starting or not any(
                _is_staged(engine, name) for name in names
            ):
                # Later a load takes so long that any weights are better.
                misfits.append(engine)
        for engine in misfits:
            wanted = max(names, key=lambda name: missing[name])
            if loads_free <= 0 or missing[wanted] <= 0:
                break
            missing[wanted] -= 1
            loads_free -= 1
            actions.append(_state.Warm(engine.name, wanted))
    return actions


def _leaving(view) -> list:
    """Returns the engines of a domain that are leaving a group."""
    return [
        engine
        for name, engine in view.engines.items()
        if name in view.busy
        and name not in view.loading
        and engine.membership is not None
    ]


def _spare_mix(weights, spares: int) -> collections.Counter:
    """Returns how many spares of a domain should hold each model.

    Spares go by the engines whose loss they would make good.
    """
    mix = collections.Counter()
    for _spare in range(spares):
        best = max(
            sorted(weights),
            key=lambda name: (weights[name] + EXPOSED_MIN) / (mix[name] + 1),
        )
        mix[best] += 1
    return mix
