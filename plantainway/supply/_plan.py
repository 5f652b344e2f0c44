"""Planning of new groups and of the models that spares load."""

import collections
import dataclasses
import math

from plantainway.supply import _state

SPARES_PER_DOMAIN = 2  # idle engines kept for repairs, while demand is met
TIE_BREAK_ENGINES = 0.1  # gives a spare to the smaller model in a tie
# Relative to the number of groups that would run half of their slots.
DEMAND_HEADROOM_RATIO = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class GroupTarget:
    """Target number of groups of a model.

    ``base`` groups are kept at all times; ``demanded`` follows the demand.
    """

    base: int
    demanded: int

    @property
    def required(self) -> int:
        """Returns the number of groups needed now."""
        return max(self.base, self.demanded)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupCounts:
    """Number of groups by model, with the targets.

    ``current`` includes groups that are being formed, but not groups that
    are closing. ``evacuated`` counts those of them that are in evacuated
    domains and therefore provide no capacity.
    """

    current: dict[str, int]
    targets: dict[str, GroupTarget]
    evacuated: dict[str, int] = dataclasses.field(default_factory=dict)

    def fulfilled_ratio(self, model: str) -> float:
        """Returns the capacity of a model relative to its target.

        Args:
            model: Name of the model.
        """
        serving = self.current.get(model, 0) - self.evacuated.get(model, 0)
        return serving / max(self.targets[model].required, 1)

    def missing_base_groups(self, model: str) -> int:
        """Returns how many groups are missing from the base target.

        The number is negative if there are more groups than that.

        Args:
            model: Name of the model.
        """
        return self.targets[model].base - self.current.get(model, 0)

    def is_below_base(self, model: str) -> bool:
        """Returns whether a model has fewer groups than its base target.

        Args:
            model: Name of the model.
        """
        return self.missing_base_groups(model) > 0


def group_targets(
    profile, engine_count: int, domain_count: int, demand: dict[str, float]
) -> dict[str, GroupTarget]:
    """Returns the target number of groups of each model.

    The engines that are not kept as spares are divided among the models by
    their share of the work. A model with a higher demand may use spares that
    already have its weights.

    Args:
        profile: The engine profile.
        engine_count: Number of engines of the service.
        domain_count: Number of fabric domains, each with its own spares.
        demand: Busy groups by model, empty if unknown.

    Returns:
        Targets by model.
    """
    serving = max(engine_count - SPARES_PER_DOMAIN * domain_count, 0)
    total = sum(model.share for model in profile.models) or 1.0
    return {
        model.name: GroupTarget(
            max(round(serving * model.share / total / model.members), 1),
            math.ceil(demand.get(model.name, 0.0) * DEMAND_HEADROOM_RATIO),
        )
        for model in profile.models
    }


def idle_engines(view: _state.DomainView) -> list:
    """Returns the engines of a domain that may join a group.

    These are usable, not slow and not being probed, belong to no group, and
    neither load a model nor leave a group. They are sorted by name.

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
        and not engine.is_probe_pending
        and engine.is_confirmed
        and name not in taken
        and name not in view.busy
        and (
            engine.membership is None
            or engine.member_key in view.ended_memberships
        )
    ]


def _is_staged(engine, model: str) -> bool:
    return model in engine.upstream.staged


def _was_in_group_of(engine, model: str) -> bool:
    member = engine.membership
    return member is not None and member.model == model


def join_cost_key(engine, model: str) -> tuple:
    """Returns a sort key that puts the engines that join fastest first.

    Args:
        engine: The engine.
        model: Name of the model.
    """
    return (
        not _was_in_group_of(engine, model),
        not _is_staged(engine, model),
        engine.name,
    )


def form_groups(
    views, profile, counts: GroupCounts, load_budget: int, is_starting: bool
) -> list:
    """Chooses the groups to form, the model furthest from its target first.

    Engines that have the weights are preferred to those that must load
    them, so that groups are replaced quickly even if members die every few
    seconds. Engines load weights only for groups of the base target, and
    only while no engine of any domain is leaving a group. All members of a
    group are in the same fabric domain.

    Groups in evacuated domains provide no capacity, so others are formed in
    the other domains. That alone causes no loads, since the base target is
    then met by the groups of all domains. Evacuated domains only replace the
    groups that they have lost, except at the start.

    Args:
        views: The fabric domains.
        profile: The engine profile.
        counts: Current and target groups; chosen groups are added.
        load_budget: Number of loads that may start now.
        is_starting: Whether no traffic has been seen yet. The base groups
            of each model are then spread over the domains, and a domain
            without a group of a larger model is reserved for that model.

    Returns:
        The groups to form.
    """
    actions = []
    domains = [_DomainCapacity.from_view(view, is_starting) for view in views]
    serving = [domain for domain in domains if not domain.is_evacuated]
    while True:
        models = sorted(
            profile.models,
            key=lambda model: (
                counts.fulfilled_ratio(model.name),
                -model.members,
            ),
        )
        found = None
        for model in models:
            if counts.fulfilled_ratio(model.name) < 1.0:
                # Engines load weights only for groups of the base target,
                # not for demand beyond it.
                is_short = counts.is_below_base(model.name)
                found = _cheapest_placement(
                    serving,
                    domains,
                    model,
                    profile,
                    counts.targets[model.name].base,
                    load_budget if is_short else 0,
                    is_starting,
                )
            if found is not None:
                break
        if found is None:
            break
        domain, chosen, loads = found
        load_budget -= loads
        actions.append(_form(domain, chosen, model, counts))
    for domain in domains:
        if domain.is_evacuated:
            actions += _replace_groups(
                domain, domains, profile, counts, load_budget
            )
    return actions


def _form(domain, chosen, model, counts) -> _state.Form:
    """Forms a group of idle engines and counts it."""
    names = tuple(engine.name for engine in chosen)
    counts.current[model.name] = counts.current.get(model.name, 0) + 1
    domain.models.append(model.name)
    domain.idle = [e for e in domain.idle if e.name not in names]
    return _state.Form(model.name, names, 'idle engines')


def _replace_groups(
    domain, domains, profile, counts, load_budget: int
) -> list:
    """Returns the groups to form in place of those an evacuated one lost."""
    actions = []
    for model in sorted(profile.models, key=lambda model: -model.members):
        while domain.missing[model.name] > 0:
            found = _cheapest_placement(
                [domain],
                domains,
                model,
                profile,
                counts.targets[model.name].base,
                load_budget if counts.is_below_base(model.name) else 0,
                False,
            )
            if found is None:
                break
            _domain, chosen, loads = found
            load_budget -= loads
            domain.missing[model.name] -= 1
            actions.append(_form(domain, chosen, model, counts))
            counts.evacuated[model.name] = (
                counts.evacuated.get(model.name, 0) + 1
            )
    return actions


@dataclasses.dataclass(slots=True)
class _DomainCapacity:
    """Capacity left in a domain while groups are chosen.

    ``models`` holds the model of each group in the domain, ``missing`` how
    many groups an evacuated domain has lost, by model.
    """

    name: str
    idle: list
    models: list
    has_leaving: bool
    is_evacuated: bool
    missing: collections.Counter

    @classmethod
    def from_view(cls, view, is_starting: bool) -> '_DomainCapacity':
        """Returns the capacity of a domain before any group is chosen."""
        models = [record.model for record in view.groups.values()]
        missing = collections.Counter(view.kept_groups)
        missing.subtract(view.count_groups())
        return cls(
            view.domain,
            idle_engines(view),
            models,
            bool(_leaving_engines(view)),
            view.is_evacuated and not is_starting,
            missing,
        )


def _cheapest_placement(
    choices,
    domains,
    model,
    profile,
    base_groups,
    load_budget: int,
    is_starting: bool,
):
    """Returns the best of some domains for a group, its engines and loads.

    Prefers few loads, then few groups of the same model in the domain, then
    many idle engines. Returns ``None`` if no domain can form the group.
    """
    best = None
    # Engines that are leaving a group may soon form one without a load.
    has_leaving = any(domain.has_leaving for domain in domains)
    max_per_domain = math.ceil(base_groups / max(len(domains), 1))
    for domain in choices:
        if len(domain.idle) < model.members:
            continue
        if is_starting and (
            _is_reserved(domain, model, profile)
            or domain.models.count(model.name) >= max_per_domain
        ):
            continue
        ranked = sorted(
            domain.idle, key=lambda e: join_cost_key(e, model.name)
        )
        chosen = ranked[: model.members]
        loads = sum(not _is_staged(engine, model.name) for engine in chosen)
        if loads > load_budget or (loads and has_leaving):
            continue
        key = (
            loads,
            domain.models.count(model.name),
            model.members - len(domain.idle),
            domain.name,
        )
        if best is None or key < best[0]:
            best = (key, (domain, chosen, loads))
    return best[1] if best is not None else None


def _is_reserved(domain, model, profile) -> bool:
    """Returns whether a domain is reserved for a larger model at the start.

    Engines register one by one. A small group formed of the first ones would
    leave too few for a large group in the same domain.
    """
    return any(
        other.members > model.members and other.name not in domain.models
        for other in profile.models
    )


def warm_spares(
    views, profile, counts: GroupCounts, load_budget: int, is_starting: bool
) -> list:
    """Chooses the models that idle engines load before a group needs them.

    The spares of a domain are divided among the models in proportion to the
    engines in their base groups. Once traffic has been seen, a spare that
    has the weights of any model keeps them. Domains with engines that are
    leaving a group, and evacuated ones, are left out.

    Args:
        views: The fabric domains.
        profile: The engine profile.
        counts: Current and target groups.
        load_budget: Number of loads that may start now.
        is_starting: Whether no traffic has been seen yet. Domains whose
            idle engines are enough for a missing base group are then left
            out.

    Returns:
        The loads to start.
    """
    actions = []
    names = sorted(model.name for model in profile.models)
    group_engines = {
        model.name: counts.targets[model.name].base * model.members
        for model in profile.models
    }
    for view in views:
        if view.is_evacuated:
            continue
        if _leaving_engines(view):
            continue  # leaving and idle engines may form a group
        idle = idle_engines(view)
        if is_starting and any(
            counts.is_below_base(model.name) and len(idle) >= model.members
            for model in profile.models
        ):
            continue  # the idle engines are needed for a group
        missing = _spare_mix(group_engines, len(idle) + len(view.loading))
        missing.subtract(view.loading.values())
        reloadable = []
        for engine in idle:
            matched = next(
                (m for m in engine.upstream.staged if missing.get(m, 0) > 0),
                None,
            )
            if matched is not None:
                missing[matched] -= 1
            elif is_starting or not any(
                _is_staged(engine, name) for name in names
            ):
                # With traffic loads are slow, so an engine that has the
                # weights of any model keeps them.
                reloadable.append(engine)
        for engine in reloadable:
            model_name = max(names, key=lambda name: missing[name])
            if load_budget <= 0 or missing[model_name] <= 0:
                break
            missing[model_name] -= 1
            load_budget -= 1
            actions.append(_state.Warm(engine.name, model_name))
    return actions


def _leaving_engines(view) -> list:
    """Returns the engines of a domain that are leaving a group."""
    return [
        engine
        for name, engine in view.engines.items()
        if name in view.busy
        and name not in view.loading
        and engine.membership is not None
    ]


def _spare_mix(group_engines, spares: int) -> collections.Counter:
    """Returns how many spares of a domain should hold each model.

    Spares are divided in proportion to the engines in groups of each model,
    whose failure they would repair.
    """
    mix = collections.Counter()
    for _spare in range(spares):
        best = max(
            sorted(group_engines),
            key=lambda name: (
                (group_engines[name] + TIE_BREAK_ENGINES) / (mix[name] + 1)
            ),
        )
        mix[best] += 1
    return mix
