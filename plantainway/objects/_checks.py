"""Consistency checks across a set of declared objects."""

import collections

from plantainway.objects._faults import Fault

# Referring kind, its field, and the kind that the field refers to.
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
# Kinds whose objects have no effect unless another object refers to them.
_KINDS_NEEDING_A_REFERENCE = (
    'adapter',
    'fabric_domain',
    'model',
    'place',
    'priority',
)


def _object_id(item) -> str:
    return f'{item.kind}/{item.name}'


def _referenced_names(item, field: str) -> list[str]:
    value = getattr(item, field)
    if value is None:
        return []
    return list(value) if isinstance(value, list) else [value]


def check_set(objects) -> list[Fault]:
    """Checks that the objects of a set are consistent with each other.

    Args:
        objects: Set whose objects are each valid on their own.

    Returns:
        All faults, sorted; empty if the set may be published.
    """
    faults = []
    referenced = collections.defaultdict(set)
    faults += _check_references(objects, referenced)
    faults += _check_unused(objects, referenced)
    faults += _check_versions(objects)
    faults += _check_groups(objects)
    faults += _check_upstreams(objects)
    faults += _check_accounts(objects)
    return sorted(faults)


def _check_references(objects, referenced) -> list[Fault]:
    faults = []
    for kind, field, target in _REFERENCES:
        for item in objects.of_kind(kind).values():
            names = _referenced_names(item, field)
            if len(set(names)) != len(names):
                faults.append(
                    Fault(
                        'duplicate',
                        _object_id(item),
                        field,
                        'the same name is listed more than once',
                    )
                )
            for name in names:
                referenced[target].add(name)
                if objects.get(target, name) is None:
                    faults.append(
                        Fault(
                            'unknown_reference',
                            _object_id(item),
                            field,
                            f'{target}/{name} is not declared',
                        )
                    )
    return faults


def _check_unused(objects, referenced) -> list[Fault]:
    return [
        Fault(
            'unused', f'{kind}/{name}', 'name', 'no other object refers to it'
        )
        for kind in _KINDS_NEEDING_A_REFERENCE
        for name in objects.of_kind(kind)
        if name not in referenced[kind]
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
                    _object_id(model),
                    'default_version',
                    f'model_version/{version.name} belongs to '
                    f'model/{version.model}',
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
                    _object_id(version),
                    'replaces',
                    'the chain of replaced versions leads back to this one',
                )
            )
    return faults


def _check_groups(objects) -> list[Fault]:
    faults = []
    vms_by_domain = collections.Counter(
        item.fabric_domain
        for item in objects.of_kind('upstream').values()
        if item.type == 'runner'
    )
    vms_needed = collections.Counter()
    for group in objects.of_kind('replica_group').values():
        largest = max(vms_by_domain[name] for name in group.fabric_domains)
        if group.copies and largest < group.vms_per_copy:
            faults.append(
                Fault(
                    'spans_fabric_domains',
                    _object_id(group),
                    'vms_per_copy',
                    f'a copy needs {group.vms_per_copy} VMs in one fabric '
                    f'domain, but the largest one declares {largest}',
                )
            )
            continue
        copies_that_fit = sum(
            vms_by_domain[name] // group.vms_per_copy
            for name in set(group.fabric_domains)
        )
        if copies_that_fit < group.copies:
            faults.append(
                Fault(
                    'over_capacity',
                    _object_id(group),
                    'copies',
                    f'{group.copies} copies declared, but only '
                    f'{copies_that_fit} fit into the fabric domains',
                )
            )
        vms_needed[frozenset(group.fabric_domains)] += (
            group.copies * group.vms_per_copy
        )
        for name in group.adapters:
            adapter = objects.get('adapter', name)
            if adapter and adapter.model_version != group.model_version:
                faults.append(
                    Fault(
                        'wrong_version',
                        _object_id(group),
                        'adapters',
                        f'adapter/{name} is for '
                        f'model_version/{adapter.model_version}',
                    )
                )
    for domains, vms in vms_needed.items():
        if vms > sum(vms_by_domain[name] for name in domains):
            faults.append(
                Fault(
                    'over_capacity',
                    'fabric_domain/' + '+'.join(sorted(domains)),
                    'copies',
                    f'all groups together need {vms} VMs, but only '
                    f'{sum(vms_by_domain[name] for name in domains)} '
                    'are declared',
                )
            )
    return faults


def _check_upstreams(objects) -> list[Fault]:
    faults = []
    upstreams_by_address = collections.defaultdict(list)
    repeatable = collections.defaultdict(set)
    for item in objects.of_kind('upstream').values():
        upstreams_by_address[item.address].append(item)
        if item.type == 'service':
            repeatable[item.service].add(item.repeatable)
        domain = objects.get('fabric_domain', item.fabric_domain or '')
        if domain is not None and domain.place != item.place:
            faults.append(
                Fault(
                    'wrong_place',
                    _object_id(item),
                    'place',
                    f'fabric_domain/{domain.name} is in place/{domain.place}',
                )
            )
    for items in upstreams_by_address.values():
        for item in items[1:]:
            faults.append(
                Fault(
                    'duplicate',
                    _object_id(item),
                    'address',
                    f'{item.address} is already the address of '
                    f'upstream/{items[0].name}',
                )
            )
    for service, values in repeatable.items():
        if len(values) > 1:
            faults.append(
                Fault(
                    'contradiction',
                    f'service/{service}',
                    'repeatable',
                    'instances of the service declare different values',
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
            _object_id(account),
            'services',
            f'no upstream declares an instance of service {name}',
        )
        for account in objects.of_kind('client_account').values()
        for name in account.services
        if name not in services
    ]
