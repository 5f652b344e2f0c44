"""Repair of existing groups: lost members, opening and closing."""

from plantainway import deployment
from plantainway.supply import _plan
from plantainway.supply import _state

JOIN_MARGIN_S = 1.5  # allowed beyond the join time
OPEN_RETRY_S = 0.8  # an open order without effect is then sent again
CLOSE_TIMEOUT_S = 3.0  # requests that still run then are cut off

_GroupState = deployment.GroupState


def plan_repairs(view: _state.DomainView, now: float, join_time_s) -> list:
    """Returns the actions that the groups of a domain need.

    A group that has lost a member makes no progress, so it is disbanded at
    once: its other members are then free for a new group, even if members
    die one after the other. An engine that has left a group can't serve in
    it again, even if the head still lists it as a member. A group with a
    slow member is as slow as that member, so it is disbanded if spares can
    replace the slow members at once.

    Args:
        view: The domain.
        now: Monotonic seconds.
        join_time_s: Function that returns how long the members of a group
            record may take to be ready, in seconds.

    Returns:
        At most one action for each group.
    """
    actions = []
    for record in view.groups.values():
        if record.opened:
            action = _check_open_group(view, record, now)
        else:
            action = _check_joining_group(view, record, now, join_time_s)
        if action is not None:
            actions.append(action)
    return actions


def _lost_members(view, record) -> list[str]:
    return [
        name
        for name in record.members
        if not _is_member(view.engines.get(name), record)
    ]


def _check_open_group(view, record, now: float):
    """Returns the action for an opened or closing group, if any."""
    lost = _lost_members(view, record)
    if lost:
        return _state.Disband(record.name, f'lost {lost[0] or "a member"}')
    state = view.engines[record.members[0]].membership.state
    if state is _GroupState.BROKEN:
        return _state.Disband(record.name, 'broken')
    if record.closing_since is not None:
        if state is _GroupState.READY:
            return _state.Disband(record.name, 'closed')
        if now - record.closing_since > CLOSE_TIMEOUT_S:
            return _state.Disband(record.name, 'did not close in time')
        return None
    leaving = [
        name for name in record.members if view.engines[name].upstream.draining
    ]
    if leaving:
        return _state.Close(record.name, True, f'{leaving[0]} is leaving')
    slow = [name for name in record.members if view.engines[name].is_slow]
    if slow and len(_replacement_spares(view, record)) >= len(slow):
        return _state.Disband(record.name, f'{slow[0]} is slow')
    if state is _GroupState.READY and (
        now - record.open_sent_at > OPEN_RETRY_S
    ):
        return _state.Open(record.name)
    return None


def _replacement_spares(view, record) -> list:
    """Returns idle engines that have the weights of the group's model."""
    return [
        engine
        for engine in _plan.idle_engines(view)
        if record.model in engine.upstream.staged
    ]


def _check_joining_group(view, record, now: float, join_time_s):
    """Returns the action for a group that has not been opened, if any."""
    engines = [view.engines.get(name) for name in record.members]
    if any(
        engine is None
        or not engine.is_usable
        or engine.upstream.started_ms != record.born_by_member.get(engine.name)
        for engine in engines
    ):
        return _state.Disband(record.name, 'lost a joining member')
    if not _lost_members(view, record) and all(
        engine.membership.state is _GroupState.READY for engine in engines
    ):
        if not record.is_from_this_term:
            # An open order of that leader may still be in transit.
            return _state.Disband(record.name, 'of an earlier leader')
        return _state.Open(record.name)
    if now - record.formed_at > join_time_s(record) + JOIN_MARGIN_S:
        return _state.Disband(record.name, 'members did not join in time')
    return None


def _is_member(engine, record) -> bool:
    """Returns whether an engine is in a group, not restarted since."""
    if (
        engine is None
        or engine.reachability is not _state.Reachability.ANSWERS
    ):
        return False
    member = engine.membership
    return (
        member is not None
        and member.group == record.name
        and member.epoch == record.epoch
        and engine.upstream.started_ms
        == record.born_by_member.get(engine.name)
    )
