"""Groups that stand when a node begins to lead."""

from plantainway import deployment
from plantainway.supply import _state
from plantainway.supply import _warming


def adopt_groups(facts, profile, now: float) -> dict:
    """Returns records of the groups that engines show.

    Answers the load of leaders that are killed, and of all nodes killed at
    once: what serves goes on serving, and loads that are under way are not
    begun anew.

    Args:
        facts: Engines by name.
        profile: The engine profile.
        now: Monotonic seconds.

    Returns:
        Records by group name, of open groups and of whole ones that join.
    """
    by_group: dict[tuple[str, int], list] = {}
    for fact in facts.values():
        member = fact.membership
        if member is not None and not _warming.is_warmup(member.group):
            key = (member.group, member.epoch)
            by_group.setdefault(key, []).append(fact)
    records = {}
    for (name, epoch), members in by_group.items():
        record = _adopt_group(name, epoch, members, profile, now)
        if record is not None:
            records[name] = record
    return records


def _adopt_group(name, epoch, members, profile, now: float):
    ranks = {fact.membership.rank: fact.name for fact in members}
    head = next((f for f in members if f.membership.rank == 0), None)
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
        {fact.name: fact.upstream.started_ms for fact in members},
        is_ours=False,
        opened=opened,
        closing_since=now if closing else None,
    )


def _model_by_size(profile, members: int):
    """Returns the only model whose groups have so many members.

    An engine that joins does not name the model that it loads.
    """
    found = [model for model in profile.models if model.members == members]
    return found[0] if len(found) == 1 else None
