"""What to do with groups that lost a member or wait to open."""

from plantainway import deployment
from plantainway.supply import _state

JOIN_SLACK_S = 1.5  # beyond the expected time of a join
OPEN_AGAIN_S = 0.8  # an open order without an effect is sent again
CLOSE_MAX_S = 1.5  # a head that doesn't close meanwhile is taken for lost
BREAK_SLACK_S = 0.5  # on top of the time after which a lost head breaks

_GroupState = deployment.GroupState


def repair(view: _state.DomainView, stall_s: float, now: float, expected_s):
    """Decides on the standing groups of a domain.

    Answers the load of members that die one after the other: a head whose
    group has lost a member is closed at once, since nothing moves in it, and
    the survivors are free for a new group as soon as it has closed. Where
    the head itself is lost, the survivors leave and wait until it must have
    broken.

    Args:
        view: The domain.
        stall_s: Seconds after which a head without a member breaks.
        now: Monotonic seconds.
        expected_s: Function from a group record to the seconds that its
            members need to join.

    Returns:
        Actions in order.
    """
    actions = []
    for record in view.groups.values():
        action = _repair_one(view, record, stall_s, now, expected_s)
        if action is not None:
            actions.append(action)
    return actions


def _repair_one(view, record, stall_s, now, expected_s):
    head = view.engines.get(record.members[0])
    head_there = _is_member(head, record, view)
    lost = [
        name
        for name in record.members
        if not _is_member(view.engines.get(name), record, view)
    ]
    if not record.opened:
        return _watch_joining(view, record, lost, now, expected_s)
    if not head_there:
        if _is_dead_for_sure(head, record):
            return _state.Disband(record.name, now, 'head is gone')
        since = now
        if head is not None and head.silent_since is not None:
            since = head.silent_since
        return _state.Disband(
            record.name, since + stall_s + BREAK_SLACK_S, 'head is silent'
        )
    state = head.membership.state
    if record.closing_since is not None:
        if state in (_GroupState.READY, _GroupState.BROKEN):
            return _state.Disband(
                record.name, now, 'closed', head_leaves=record.open_in_doubt
            )
        if lost and now - record.closing_since > CLOSE_MAX_S:
            return _state.Close(record.name, False, 'still not closed')
        return None
    if state is _GroupState.BROKEN:
        return _state.Disband(record.name, now, 'broken')
    if lost:
        return _state.Close(record.name, False, f'lost {lost[0]}')
    leaving = [
        name for name in record.members if view.engines[name].upstream.draining
    ]
    if leaving:
        return _state.Close(record.name, True, f'{leaving[0]} is leaving')
    if state is _GroupState.READY and (
        now - record.open_sent_at > OPEN_AGAIN_S
    ):
        return _state.Open(record.name)
    return None


def _watch_joining(view, record, lost, now, expected_s):
    """Opens a group whose members are all ready, or gives it up."""
    engines = [view.engines.get(name) for name in record.members]
    if any(
        engine is None or not engine.is_usable for engine in engines
    ) or any(
        engine.upstream.born != record.lives.get(engine.name)
        for engine in engines
    ):
        return _state.Disband(record.name, now, 'lost a joining member')
    if not lost and all(
        engine.membership.state is _GroupState.READY for engine in engines
    ):
        if not record.is_ours:
            # Its order to open the group may still be on its way.
            return _state.Disband(
                record.name, now, 'of an earlier leader', head_leaves=True
            )
        return _state.Open(record.name)
    if now - record.formed_at > expected_s(record) + JOIN_SLACK_S:
        return _state.Disband(record.name, now, 'members did not join in time')
    return None


def _is_member(engine, record, view) -> bool:
    """Tells whether an engine stands in a group in the life it joined in."""
    if engine is None or engine.contact is not _state.Contact.ANSWERS:
        return False
    member = engine.membership
    return (
        member is not None
        and member.group == record.name
        and member.epoch == record.epoch
        and engine.upstream.born == record.lives.get(engine.name)
    )


def _is_dead_for_sure(engine, record) -> bool:
    """Tells whether the life in which an engine headed a group is over."""
    if engine is None:
        return False
    if engine.contact is _state.Contact.GONE:
        return True
    if engine.contact is _state.Contact.SILENT:
        return False
    # It answers and shows another life or another membership.
    return True
