"""Which groups to form of idle engines, and what to stage on spares."""

import dataclasses

from plantainway.supply import _state

SPARES_PER_DOMAIN = 2  # idle engines kept for repairs, while demand is met


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Groups of each model that stand or form, and how many are wanted."""

    have: dict[str, int]
    want: dict[str, float]

    def need(self, model: str) -> float:
        """Returns the part of the wanted groups that a model has.

        Args:
            model: Name of the model.
        """
        return self.have.get(model, 0) / max(self.want.get(model, 0), 0.01)


def wanted_groups(profile, engines: int, domains: int) -> dict[str, float]:
    """Returns how many groups of each model the engines suffice for.

    Args:
        profile: The engine profile with the models' shares of the work.
        engines: Engines that have been seen.
        domains: Fabric domains, each of which keeps spares.

    Returns:
        Wanted groups by model, as fractions.
    """
    total = sum(model.share for model in profile.models) or 1.0
    serving = max(engines - SPARES_PER_DOMAIN * domains, 0)
    return {
        model.name: serving * model.share / total / model.members
        for model in profile.models
    }


def idle_engines(view: _state.DomainView, now: float) -> list:
    """Returns the engines of a domain that may join a group.

    Args:
        view: The domain.
        now: Monotonic seconds.
    """
    taken = {
        name for record in view.groups.values() for name in record.members
    }
    return [
        engine
        for name, engine in sorted(view.engines.items())
        if engine.is_usable
        and name not in taken
        and name not in view.busy
        and view.held.get(name, 0.0) <= now
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
    views, profile, counts: Counts, loads_free: int, now: float, starting: bool
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
        now: Monotonic seconds.
        starting: Whether no traffic flows yet.

    Returns:
        The groups to form.
    """
    actions = []
    idle = {view.domain: idle_engines(view, now) for view in views}
    while True:
        found = _next_group(idle, profile, counts, loads_free, starting)
        if found is None:
            return actions
        domain, model, chosen, loads = found
        loads_free -= loads
        names = tuple(engine.name for engine in chosen)
        actions.append(_state.Form(model.name, names, 'idle engines'))
        counts.have[model.name] = counts.have.get(model.name, 0) + 1
        idle[domain] = [e for e in idle[domain] if e.name not in names]


def _next_group(idle, profile, counts, loads_free, starting):
    models = sorted(
        profile.models, key=lambda model: (counts.need(model.name), model.name)
    )
    for model in models:
        if counts.need(model.name) >= 1.0:
            continue
        best = None
        for domain, engines in idle.items():
            if len(engines) < model.members:
                continue
            ranked = sorted(engines, key=lambda e: _rank(e, model.name))
            chosen = ranked[: model.members]
            loads = sum(
                not _is_staged(engine, model.name) for engine in chosen
            )
            spare = len(engines) - model.members
            if loads > loads_free:
                continue
            if starting and spare < SPARES_PER_DOMAIN:
                continue
            key = (loads, -spare, domain)
            if best is None or key < best[0]:
                best = (key, (domain, model, chosen, loads))
        if best is not None:
            return best[1]
    return None


def stage_spares(
    views, profile, counts: Counts, loads_free: int, now: float
) -> list:
    """Chooses what idle engines load onto their hosts.

    Every domain should have spares with the weights of each model that has
    groups there, those of larger groups first.

    Args:
        views: The fabric domains.
        profile: The engine profile.
        counts: Groups that stand and that are wanted.
        loads_free: Loads that may begin now.
        now: Monotonic seconds.

    Returns:
        The loads to begin.
    """
    actions = []
    names = {model.name for model in profile.models}
    for view in views:
        if loads_free <= 0:
            break
        idle = idle_engines(view, now)
        staged = [
            next((m for m in e.upstream.staged if m in names), None)
            for e in idle
        ]
        have = {name: staged.count(name) for name in names}
        exposed = {name: 0 for name in names}
        for record in view.groups.values():
            if record.model in exposed:
                exposed[record.model] += len(record.members)
        for engine, model in zip(idle, staged, strict=True):
            if model is not None or loads_free <= 0:
                continue
            wanted = max(
                sorted(names),
                key=lambda name: (exposed[name] + 0.1) / (have[name] + 1),
            )
            have[wanted] += 1
            loads_free -= 1
            actions.append(_state.Stage(engine.name, wanted))
    return actions
