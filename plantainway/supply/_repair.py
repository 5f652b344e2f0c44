"""What to do with groups that lost a member or wait to open."""

from plantainway import deployment
from plantainway.supply import _plan
from plantainway.supply import _state

JOIN_SLACK_S = 1.5  # beyond the expected time of a join
OPEN_AGAIN_S = 0.8  # an open order without an effect is sent again
CLOSE_MAX_S = 3.0  # a head that ends its work for longer is cut

_GroupState = deployment.GroupState


def repair(view: _state.DomainView, now: float, expected_s) -> list:
    """Decides on the standing groups of a domain.

    Answers the load of members that die one after the other: nothing moves
    in a group that has lost a member, so its survivors leave at once and
    are free for a new group. An engine that has left a group can't serve in
    it again, whatever its old head believes. A group with a slow member is
    as slow as that one; it is given up where spares can take its place.

    Args:
        view: The domain.
        now: Monotonic seconds.
        expected_s: Function from a group record to the seconds that its
            members need to join.

    Returns:
        Actions in order.
    """
    actions = []
    for record in view.groups.values():
        if record.opened:
            action = _watch_open(view, record, now)
        else:
            action = _watch_joining(view, record, now, expected_s)
        if action is not None:
            actions.append(action)
    return actions


def _lost_members(view, record) -> list[str]:
    return [
        name
        for name in record.members
        if not _is_member(view.engines.get(name), record)
    ]


def _watch_open(view, record, now: float):
    """Decides on a group that serves or closes."""
    lost = _lost_members(view, record)
    if lost:
        return _state.Disband(record.name, f'lost {lost[0] or "a member"}')
    state = view.engines[record.members[0]].membership.state
    if state is _GroupState.BROKEN:
        return _state.Disband(record.name, 'broken')
    if record.closing_since is not None:
        if state is _GroupState.READY:
            return _state.Disband(record.name, 'closed')
        if now - record.closing_since > CLOSE_MAX_S:
            return _state.Disband(record.name, 'did not close in time')
        return None
    leaving = [
        name for name in record.members if view.engines[name].upstream.draining
    ]
    if leaving:
        return _state.Close(record.name, True, f'{leaving[0]} is leaving')
    slow = [name for name in record.members if view.engines[name].is_slow]
    if slow and len(_fast_spares(view, record)) >= len(slow):
        return _state.Disband(record.name, f'{slow[0]} is slow')
    if state is _GroupState.READY and (
        now - record.open_sent_at > OPEN_AGAIN_S
    ):
        return _state.Open(record.name)
    return None


def _fast_spares(view, record) -> list:
    """Returns idle engines that could replace slow members at once."""
    return [
        engine
        for engine in _plan.idle_engines(view)
        if record.model in engine.upstream.staged
    ]


def _watch_joining(view, record, now: float, expected_s):
    """Opens a group whose members are all ready, or gives it up."""
    engines = [view.engines.get(name) for name in record.members]
    if any(
        engine is None
        or not engine.is_usable
        or engine.upstream.started_ms != record.lives.get(engine.name)
        for engine in engines
    ):
        return _state.Disband(record.name, 'lost a joining member')
    if not _lost_members(view, record) and all(
        engine.membership.state is _GroupState.READY for engine in engines
    ):
        if not record.is_ours:
            # Its order to open the group may still be on its way.
            return _state.Disband(record.name, 'of an earlier leader')
        return _state.Open(record.name)
    if now - record.formed_at > expected_s(record) + JOIN_SLACK_S:
        return _state.Disband(record.name, 'members did not join in time')
    return None


def _is_member(engine, record) -> bool:
    """Tells whether an engine stands in a group in the life it joined in."""
    if engine is None or engine.contact is not _state.Contact.ANSWERS:
        return False
    member = engine.membership
    return (
        member is not None
        and member.group == record.name
        and member.epoch == record.epoch
        and engine.upstream.started_ms == record.lives.get(engine.name)
    )
