"""Adoption of existing groups by a new leader."""

from plantainway import deployment
from plantainway.supply import _state
from plantainway.supply import _warming


def adopt_groups(engines, profile, now: float) -> dict:
    """Builds records of the existing groups from the engines' memberships.

    With these records a new leader keeps the groups that serve, and does not
    restart model loads that are in progress, even if all nodes were killed.
    The time that members may take to join restarts at ``now``.

    Args:
        engines: Engines by name.
        profile: The engine profile.
        now: Monotonic seconds.

    Returns:
        Records by group name. Warm-up groups, groups without a head, and
        groups that are not open yet and miss a member are left out. In an
        open or closing group the name of a missing member is empty. The
        model is empty if it is unknown.
    """
    records = {}
    for (name, epoch), members in _members_by_group(engines).items():
        record = _adopt_group(name, epoch, members, profile, now)
        if record is not None:
            records[name] = record
    return records


def has_incomplete_groups(engines, profile) -> bool:
    """Returns whether a group has no head, or is open and lacks a member.

    The entry of the missing engine may have expired in an outage. Groups of
    which no member answers are left out: their entries may be all that is
    left of them.

    Args:
        engines: Engines by name.
        profile: The engine profile.
    """
    for (name, epoch), members in _members_by_group(engines).items():
        if not any(
            engine.is_confirmed
            and engine.reachability is _state.Reachability.ANSWERS
            for engine in members
        ):
            continue
        if all(engine.membership.rank for engine in members):
            return True
        record = _adopt_group(name, epoch, members, profile, 0.0)
        if record is not None and not all(record.members):
            return True
    return False


def _members_by_group(engines) -> dict[tuple[str, int], list]:
    """Returns the members of each group but warm-ups, by name and epoch."""
    by_group: dict[tuple[str, int], list] = {}
    for engine in engines.values():
        member = engine.membership
        if member is not None and not _warming.is_warmup(member.group):
            key = (member.group, member.epoch)
            by_group.setdefault(key, []).append(engine)
    return by_group


def _adopt_group(name, epoch, members, profile, now: float):
    """Returns the record of a group, ``None`` if it is not adopted."""
    ranks = {engine.membership.rank: engine.name for engine in members}
    head = next(
        (engine for engine in members if engine.membership.rank == 0), None
    )
    if head is None:
        return None
    state = head.membership.state
    opened = state in (
        deployment.GroupState.OPEN,
        deployment.GroupState.CLOSING,
    )
    model = profile.find_model(head.membership.model) or _model_by_size(
        profile, len(ranks)
    )
    size = model.members if model is not None else len(members)
    if not opened and not all(rank in ranks for rank in range(size)):
        return None
    closing = state is deployment.GroupState.CLOSING
    return _state.GroupRecord(
        name,
        epoch,
        model.name if model is not None else '',
        tuple(ranks.get(rank, '') for rank in range(size)),
        now,
        {engine.name: engine.upstream.started_ms for engine in members},
        is_from_this_term=False,
        opened=opened,
        closing_since=now if closing else None,
    )


def _model_by_size(profile, members: int):
    """Returns the model with this group size, ``None`` if it is ambiguous.

    A joining engine does not report which model it loads.
    """
    found = [model for model in profile.models if model.members == members]
    return found[0] if len(found) == 1 else None
