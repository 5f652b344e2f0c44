"""Simulated fleets and seeded lists of VM and table failures over days."""

import dataclasses
import random

DAY_S = 86400.0
FORMATION_S = 300.0  # the copies form before the first failure
FAILURES_PER_VM_DAY = 14 / 1200
RESTARTS_PER_VM_DAY = 510 / 1200
PLANNED_RESTART_SHARE = 0.7  # restarts that are announced beforehand
PAUSES_PER_VM_DAY = 1.0


@dataclasses.dataclass(frozen=True)
class GroupSize:
    """A replica group: VMs per copy, copies per domain and its value.

    ``extra`` is how many more copies a domain may have.
    """

    name: str
    vms_per_copy: int
    per_domain: tuple[int, ...]
    extra: int
    value: float


@dataclasses.dataclass(frozen=True)
class Scale:
    """A fleet: VMs per fabric domain, groups, days and the weight store.

    ``store_vms`` is how many transfers the store serves at full speed.
    """

    name: str
    domains: tuple[int, ...]
    groups: tuple[GroupSize, ...]
    days: float
    store_vms: int


SCALES = {
    'today': Scale(
        'today',
        (8, 8, 8, 8, 9, 9),
        (
            GroupSize('orders', 4, (1, 1, 1, 1, 2, 1), 0, 1.0),
            GroupSize('catalogues', 2, (1, 1, 1, 1, 0, 2), 1, 1.0),
        ),
        7.0,
        8,
    ),
    'letter': Scale(
        'letter',
        (80,) * 15,
        (
            GroupSize('assistant', 16, (4,) * 15, 0, 1.0),
            GroupSize('drafts', 4, (3,) * 15, 1, 1.0),
        ),
        1.0,
        40,
    ),
}


@dataclasses.dataclass(frozen=True, order=True)
class Event:
    """A state change of a VM or the table at ``at`` seconds.

    Kinds: ``away``: the VM is unreachable until ``back_at`` and returns
    with the same boot or a new one; ``notice``: the VM is announced as
    leaving; ``unlisted``: the VM list drops it; ``outage``: the table is
    unavailable until ``back_at``.
    """

    at: float
    kind: str
    vm: str = ''
    back_at: float = 0.0
    same_boot: bool = False


def vm_name(domain: int, number: int) -> str:
    """Returns the name of a VM.

    Args:
        domain: Number of its fabric domain.
        number: Number of the VM within the domain.
    """
    return f'd{domain:02d}-{number:02d}'


def make_events(scale: Scale, seed: int) -> list[Event]:
    """Draws the events of a replay.

    Args:
        scale: The fleet.
        seed: Seed of the random generator.

    Returns:
        Events in order of time; absences of one VM do not overlap.
    """
    rng = random.Random(f'{scale.name}/{seed}')
    horizon = FORMATION_S + scale.days * DAY_S
    events = []
    for domain, count in enumerate(scale.domains):
        for number in range(count):
            events += _vm_events(rng, vm_name(domain, number), horizon)
    events += _domain_failure(rng, scale, horizon)
    at = rng.uniform(0.1, 0.9) * horizon
    events.append(Event(at, 'outage', back_at=at + rng.uniform(600.0, 1800.0)))
    return sorted(_drop_overlapping(events))


def _vm_events(rng, vm: str, horizon: float) -> list[Event]:
    total = FAILURES_PER_VM_DAY + RESTARTS_PER_VM_DAY + PAUSES_PER_VM_DAY
    events = []
    at = FORMATION_S + rng.expovariate(total / DAY_S)
    while at < horizon:
        kind = rng.random() * total
        if kind < FAILURES_PER_VM_DAY:
            back = at + rng.uniform(3600.0, 4 * 3600.0)
            events.append(Event(at, 'away', vm, back, False))
            events.append(Event(at + rng.uniform(20.0, 120.0), 'unlisted', vm))
        elif kind < FAILURES_PER_VM_DAY + RESTARTS_PER_VM_DAY:
            if rng.random() < PLANNED_RESTART_SHARE:
                events.append(Event(at, 'notice', vm))
                at += rng.uniform(120.0, 300.0)
            back = at + rng.uniform(60.0, 240.0)
            events.append(Event(at, 'away', vm, back, False))
        else:
            back = at + min(rng.lognormvariate(2.0, 0.8), 120.0)
            events.append(Event(at, 'away', vm, back, True))
        at = back + 30.0 + rng.expovariate(total / DAY_S)
    return events


def _domain_failure(rng, scale: Scale, horizon: float) -> list[Event]:
    domain = rng.randrange(len(scale.domains))
    at = rng.uniform(0.2, 0.8) * horizon
    back = at + rng.uniform(1200.0, 5400.0)
    return [
        Event(at, 'away', vm_name(domain, number), back, False)
        for number in range(scale.domains[domain])
    ]


def _drop_overlapping(events: list[Event]) -> list[Event]:
    """Drops absences and notices of VMs that are away at that time."""
    kept = []
    back_at = {}
    for event in sorted(events):
        if event.kind in ('away', 'notice', 'unlisted'):
            is_away = event.at < back_at.get(event.vm, 0.0)
            if is_away and event.kind != 'unlisted':
                continue
            if event.kind == 'away':
                back_at[event.vm] = event.back_at
        kept.append(event)
    return kept
