"""Orders that bring engines to the state in the table."""

from plantainway.groups import _state

CopyState = _state.CopyState


def orders_due(view: _state.ShardView) -> list[_state.Order]:
    """Lists the orders that are missing for the state in the table.

    Args:
        view: State of the fabric domain after its actions.

    Returns:
        Orders; repeating one that has been carried out is harmless.
    """
    due = []
    for copy in view.copies.values():
        due += _copy_orders(view, copy)
    for vm, hold in view.holds.items():
        facts = view.vms.get(vm)
        if not hold.releasing or facts is None or facts.observation is None:
            continue
        seen = facts.observation.seen
        if seen.ok and (seen.role != 'idle' or seen.copy_id):
            due.append(_state.Order('unload', vm, seen.copy_id, hold.token))
    return due


def _copy_orders(view, copy) -> list[_state.Order]:
    if copy.state is CopyState.SERVING:
        return []
    due = []
    for index, member in enumerate(copy.members):
        facts = view.vms.get(member.vm)
        if facts is None or facts.observation is None:
            continue
        seen = facts.observation.seen
        if not seen.ok:
            continue
        is_ours = (seen.copy_id, seen.token) == (copy.copy_id, copy.token)
        if copy.state is CopyState.LOADING:
            if not is_ours:
                due.append(
                    _state.Order(
                        'load', member.vm, copy.copy_id, copy.token, copy
                    )
                )
        elif is_ours and index == 0 and seen.role == 'ready':
            due.append(
                _state.Order('drain', member.vm, copy.copy_id, copy.token)
            )
    return due
