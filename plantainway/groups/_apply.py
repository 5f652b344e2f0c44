"""Pure functions that compute the row changes of each planned action."""

import dataclasses

from plantainway import errors
from plantainway.groups import _state

CopyState = _state.CopyState


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """New values of copies and holds; a copy without members is deleted."""

    copies: tuple[_state.Copy, ...] = ()
    holds: tuple[_state.Hold, ...] = ()


def apply_action(
    shard: str, copies: dict, holds: dict, action, number: int
) -> Changes:
    """Returns the changes of an action without modifying the state.

    Args:
        shard: Name of the shard.
        copies: Copies by copy id.
        holds: Holds by VM.
        action: Planned action.
        number: Next unused number of the shard for copy ids and tokens.

    Returns:
        The changes. If a copy has ``token == number``, the number is used
        and the caller must advance it.

    Raises:
        ConflictError: If a VM to claim is not free.
    """
    return _APPLY[type(action)](shard, copies, holds, action, number)


def _form(shard, copies, holds, action, number) -> Changes:
    copy = _state.Copy(
        f'{shard}-c{number}',
        action.spec.name,
        shard,
        action.spec.version,
        number,
        CopyState.LOADING,
        tuple(_state.Member(vm) for vm in action.vms),
    )
    claimed = [_claim(holds[vm], copy) for vm in action.vms]
    return Changes((copy,), tuple(claimed))


def _reform(shard, copies, holds, action, number) -> Changes:
    old = copies[action.copy.copy_id]
    copy = dataclasses.replace(
        old,
        version=action.spec.version,
        token=number,
        state=CopyState.LOADING,
        members=tuple(_state.Member(vm) for vm in action.vms),
    )
    changed = [_claim(holds[vm], copy) for vm in action.vms]
    changed += [_release(holds[vm]) for vm in old.vms if vm not in action.vms]
    return Changes((copy,), tuple(changed))


def _mark_serving(shard, copies, holds, action, number) -> Changes:
    old = copies[action.copy.copy_id]
    members = tuple(
        _state.Member(member.vm, boot)
        for member, boot in zip(old.members, action.boots, strict=True)
    )
    copy = dataclasses.replace(old, state=CopyState.SERVING, members=members)
    changed = [
        dataclasses.replace(holds[member.vm], boot=member.boot)
        for member in members
    ]
    return Changes((copy,), tuple(changed))


def _drain(shard, copies, holds, action, number) -> Changes:
    old = copies[action.copy.copy_id]
    return Changes((dataclasses.replace(old, state=CopyState.DRAINING),))


def _dissolve(shard, copies, holds, action, number) -> Changes:
    old = copies[action.copy.copy_id]
    removed = dataclasses.replace(old, members=())
    return Changes((removed,), tuple(_release(holds[vm]) for vm in old.vms))


def _free(shard, copies, holds, action, number) -> Changes:
    hold = dataclasses.replace(
        holds[action.vm], copy_id='', releasing=False, boot=action.boot
    )
    return Changes((), (hold,))


def _claim(hold, copy) -> _state.Hold:
    if not hold.is_free and hold.copy_id != copy.copy_id:
        raise errors.ConflictError([f'vm/{hold.vm}'], 'claim')
    return dataclasses.replace(
        hold, copy_id=copy.copy_id, token=copy.token, releasing=False
    )


def _release(hold) -> _state.Hold:
    return dataclasses.replace(hold, copy_id='', releasing=True)


_APPLY = {
    _state.Form: _form,
    _state.Reform: _reform,
    _state.MarkServing: _mark_serving,
    _state.Drain: _drain,
    _state.Dissolve: _dissolve,
    _state.Free: _free,
}
