"""Consistency checks over a whole set of declared objects."""

import collections

from plantainway.objects._faults import Fault

# Kind, field and kind that the field refers to.
_REFERENCES = (
    ('model', 'default_version', 'model_version'),
    ('model_version', 'model', 'model'),
    ('model_version', 'replaces', 'model_version'),
    ('adapter', 'model_version', 'model_version'),
    ('replica_group', 'model_version', 'model_version'),
    ('replica_group', 'adapters', 'adapter'),
    ('replica_group', 'fabric_domains', 'fabric_domain'),
    ('client_account', 'priority', 'priority'),
    ('client_account', 'models', 'model'),
    ('fabric_domain', 'place', 'place'),
    ('upstream', 'place', 'place'),
    ('upstream', 'fabric_domain', 'fabric_domain'),
)
# Kinds that make no sense unless something refers to them.
_MUST_BE_USED = ('adapter', 'fabric_domain', 'model', 'place', 'priority')


def _label(item) -> str:
    return f'{item.kind}/{item.name}'


def _named(item, field: str) -> list[str]:
    value = getattr(item, field)
    if value is None:
        return []
    return list(value) if isinstance(value, list) else [value]


def check_set(objects) -> list[Fault]:
    """Checks a whole set of objects.

    Args:
        objects: Set of objects that are valid one by one.

    Returns:
        Every fault, in a fixed order; empty if the set may be published.
    """
    faults = []
    used = collections.defaultdict(set)
    faults += _check_references(objects, used)
    faults += _check_unused(objects, used)
    faults += _check_versions(objects)
    faults += _check_groups(objects)
    faults += _check_upstreams(objects)
    faults += _check_accounts(objects)
    return sorted(faults)


def _check_references(objects, used) -> list[Fault]:
    faults = []
    for kind, field, target in _REFERENCES:
        for item in objects.of_kind(kind).values():
            names = _named(item, field)
            if len(set(names)) != len(names):
                faults.append(
                    Fault('duplicate', _label(item), field, 'named twice')
                )
            for name in names:
                used[target].add(name)
                if objects.get(target, name) is None:
                    faults.append(
                        Fault(
                            'unknown_reference',
                            _label(item),
                            field,
                            f'{target}/{name} is not declared',
                        )
                    )
    return faults


def _check_unused(objects, used) -> list[Fault]:
    return [
        Fault('unused', f'{kind}/{name}', 'name', 'nothing refers to it')
        for kind in _MUST_BE_USED
        for name in objects.of_kind(kind)
        if name not in used[kind]
    ]


def _check_versions(objects) -> list[Fault]:
    faults = []
    versions = objects.of_kind('model_version')
    for model in objects.of_kind('model').values():
        version = versions.get(model.default_version)
        if version is not None and version.model != model.name:
            faults.append(
                Fault(
                    'wrong_model',
                    _label(model),
                    'default_version',
                    f'{version.name} belongs to model/{version.model}',
                )
            )
    for version in versions.values():
        seen = set()
        current = version
        while current is not None and current.name not in seen:
            seen.add(current.name)
            current = versions.get(current.replaces)
        if current is not None and current.name == version.name:
            faults.append(
                Fault(
                    'circular_reference',
                    _label(version),
                    'replaces',
                    'the version replaces itself in the end',
                )
            )
    return faults


def _check_groups(objects) -> list[Fault]:
    faults = []
    sizes = collections.Counter(
        item.fabric_domain
        for item in objects.of_kind('upstream').values()
        if item.type == 'runner'
    )
    demand = collections.Counter()
    for group in objects.of_kind('replica_group').values():
        largest = max(sizes[name] for name in group.fabric_domains)
        if group.copies and largest < group.vms_per_copy:
            faults.append(
                Fault(
                    'spans_fabric_domains',
                    _label(group),
                    'vms_per_copy',
                    f'a copy of {group.vms_per_copy} VMs does not fit into '
                    f'any of its fabric domains, the largest has {largest}',
                )
            )
            continue
        room = sum(
            sizes[name] // group.vms_per_copy
            for name in set(group.fabric_domains)
        )
        if room < group.copies:
            faults.append(
                Fault(
                    'over_capacity',
                    _label(group),
                    'copies',
                    f'{group.copies} copies declared, room for {room}',
                )
            )
        demand[frozenset(group.fabric_domains)] += (
            group.copies * group.vms_per_copy
        )
        for name in group.adapters:
            adapter = objects.get('adapter', name)
            if adapter and adapter.model_version != group.model_version:
                faults.append(
                    Fault(
                        'wrong_version',
                        _label(group),
                        'adapters',
                        f'adapter/{name} is for {adapter.model_version}',
                    )
                )
    for domains, vms in demand.items():
        if vms > sum(sizes[name] for name in domains):
            faults.append(
                Fault(
                    'over_capacity',
                    'fabric_domain/' + '+'.join(sorted(domains)),
                    'copies',
                    f'{vms} VMs needed by all groups, '
                    f'{sum(sizes[name] for name in domains)} declared',
                )
            )
    return faults


def _check_upstreams(objects) -> list[Fault]:
    faults = []
    owners = collections.defaultdict(list)
    repeatable = collections.defaultdict(set)
    for item in objects.of_kind('upstream').values():
        owners[item.address].append(item)
        if item.type == 'service':
            repeatable[item.service].add(item.repeatable)
        domain = objects.get('fabric_domain', item.fabric_domain or '')
        if domain is not None and domain.place != item.place:
            faults.append(
                Fault(
                    'wrong_place',
                    _label(item),
                    'place',
                    f'fabric_domain/{domain.name} is in {domain.place}',
                )
            )
    for items in owners.values():
        for item in items[1:]:
            faults.append(
                Fault(
                    'duplicate',
                    _label(item),
                    'address',
                    f'{item.address} is also upstream/{items[0].name}',
                )
            )
    for service, values in repeatable.items():
        if len(values) > 1:
            faults.append(
                Fault(
                    'contradiction',
                    f'service/{service}',
                    'repeatable',
                    'instances of one service differ',
                )
            )
    return faults


def _check_accounts(objects) -> list[Fault]:
    services = {
        item.service
        for item in objects.of_kind('upstream').values()
        if item.type == 'service'
    }
    return [
        Fault(
            'unknown_reference',
            _label(account),
            'services',
            f'no upstream offers service {name}',
        )
        for account in objects.of_kind('client_account').values()
        for name in account.services
        if name not in services
    ]
