"""Seeded lists of what happens to VMs over days, and the fleets."""

import dataclasses
import random

DAY_S = 86400.0
START_S = 300.0  # the fleet forms before anything happens
FAILURES_A_DAY = 14 / 1200  # for each VM
RESTARTS_A_DAY = 510 / 1200  # for each VM
PLANNED_SHARE = 0.7  # of the restarts
PAUSES_A_DAY = 1.0  # for each VM


@dataclasses.dataclass(frozen=True)
class GroupSize:
    """A replica group of the fleet."""

    name: str
    vms_per_copy: int
    per_domain: tuple[int, ...]
    extra: int
    value: float


@dataclasses.dataclass(frozen=True)
class Scale:
    """A fleet: VMs of each fabric domain, groups, and the weight store.

    ``extra`` of a group is how many more copies a domain may have.
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
    """Something that happens to a VM, a domain or the table.

    Kinds: ``away`` with ``back_at`` and ``same_boot``, ``notice`` that a VM
    is leaving, ``unlisted``, ``outage`` of the table until ``back_at``.
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
        number: Number within it.
    """
    return f'd{domain:02d}-{number:02d}'


def make_events(scale: Scale, seed: int) -> list[Event]:
    """Draws the events of a run.

    Args:
        scale: The fleet.
        seed: Seed of the draw.

    Returns:
        Events in order of time; absences of one VM never overlap.
    """
    rng = random.Random(f'{scale.name}/{seed}')
    horizon = START_S + scale.days * DAY_S
    events = []
    for domain, count in enumerate(scale.domains):
        for number in range(count):
            events += _vm_events(rng, vm_name(domain, number), horizon)
    events += _dark_domain(rng, scale, horizon)
    at = rng.uniform(0.1, 0.9) * horizon
    events.append(Event(at, 'outage', back_at=at + rng.uniform(600.0, 1800.0)))
    return sorted(_without_overlap(events))


def _vm_events(rng, vm: str, horizon: float) -> list[Event]:
    total = FAILURES_A_DAY + RESTARTS_A_DAY + PAUSES_A_DAY
    events = []
    at = START_S + rng.expovariate(total / DAY_S)
    while at < horizon:
        kind = rng.random() * total
        if kind < FAILURES_A_DAY:
            back = at + rng.uniform(3600.0, 4 * 3600.0)
            events.append(Event(at, 'away', vm, back, False))
            events.append(Event(at + rng.uniform(20.0, 120.0), 'unlisted', vm))
        elif kind < FAILURES_A_DAY + RESTARTS_A_DAY:
            if rng.random() < PLANNED_SHARE:
                events.append(Event(at, 'notice', vm))
                at += rng.uniform(120.0, 300.0)
            back = at + rng.uniform(60.0, 240.0)
            events.append(Event(at, 'away', vm, back, False))
        else:
            back = at + min(rng.lognormvariate(2.0, 0.8), 120.0)
            events.append(Event(at, 'away', vm, back, True))
        at = back + 30.0 + rng.expovariate(total / DAY_S)
    return events


def _dark_domain(rng, scale: Scale, horizon: float) -> list[Event]:
    domain = rng.randrange(len(scale.domains))
    at = rng.uniform(0.2, 0.8) * horizon
    back = at + rng.uniform(1200.0, 5400.0)
    return [
        Event(at, 'away', vm_name(domain, number), back, False)
        for number in range(scale.domains[domain])
    ]


def _without_overlap(events: list[Event]) -> list[Event]:
    """Drops absences that start while their VM is away already."""
    kept = []
    back_at = {}
    for event in sorted(events):
        if event.kind in ('away', 'notice', 'unlisted'):
            busy = event.at < back_at.get(event.vm, 0.0)
            if busy and event.kind != 'unlisted':
                continue
            if event.kind == 'away':
                back_at[event.vm] = event.back_at
        kept.append(event)
    return kept
