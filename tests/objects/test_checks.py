"""Tests of the validation of declared objects, on the example sets."""

import json
import pathlib

import pytest

from plantainway import objects

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples' / 'objects'
REFERENCES = {
    'model_version': {'model': 'model', 'replaces': 'model_version'},
    'model': {'default_version': 'model_version'},
    'adapter': {'model_version': 'model_version'},
    'replica_group': {
        'model_version': 'model_version',
        'adapters': 'adapter',
        'fabric_domains': 'fabric_domain',
    },
    'client_account': {'priority': 'priority', 'models': 'model'},
    'fabric_domain': {'place': 'place'},
    'upstream': {'place': 'place', 'fabric_domain': 'fabric_domain'},
}


def load_example(name):
    """Returns the raw objects of an example file."""
    return json.loads((EXAMPLES / f'{name}.json').read_text())


def faults_of(raw_objects):
    """Returns all faults of a list of raw objects as text."""
    parsed, faults = objects.parse_objects(raw_objects)
    return [str(fault) for fault in faults + objects.check_set(parsed)]


def referenced_objects(raw_objects):
    """Returns kind and name of all objects that other objects refer to."""
    references = set()
    for raw in raw_objects:
        for field, kind in REFERENCES.get(raw['kind'], {}).items():
            value = raw.get(field) or []
            for name in value if isinstance(value, list) else [value]:
                references.add((kind, name))
    return sorted(references)


REFERENCE_CASES = [
    (example, kind, name, edit)
    for example in ('obalnik', 'lodz')
    for kind, name in referenced_objects(load_example(example))
    for edit in ('removed', 'misspelt')
]


@pytest.mark.parametrize('example', ['obalnik', 'lodz'])
def test_example_sets_are_valid(example):
    """The example sets have no faults and the expected sizes."""
    raw_objects = load_example(example)
    assert faults_of(raw_objects) == []
    runners = [raw for raw in raw_objects if raw.get('type') == 'runner']
    services = [raw for raw in raw_objects if raw.get('type') == 'service']
    accounts = [raw for raw in raw_objects if raw['kind'] == 'client_account']
    assert (len(runners), len(services), len(accounts)) == (50, 3, 10)


@pytest.mark.parametrize('example, kind, name, edit', REFERENCE_CASES)
def test_missing_referenced_object_is_reported(example, kind, name, edit):
    """A fault names a referenced object that is removed or misspelt."""
    raw_objects = []
    for raw in load_example(example):
        if (raw['kind'], raw['name']) == (kind, name):
            if edit == 'removed':
                continue
            raw = raw | {'name': name + '-x'}
        raw_objects.append(raw)
    faults = faults_of(raw_objects)
    assert any(
        'unknown_reference' in text and f'{kind}/{name} ' in text
        for text in faults
    )


def edit_object(kind, name, **fields):
    """Returns a function that updates one object in a list."""

    def apply(raw_objects):
        for raw in raw_objects:
            if (raw['kind'], raw['name']) == (kind, name):
                raw.update(fields)
        return raw_objects

    return apply


LIMITS = {
    'concurrent': -1,
    'requests_per_second': 1.0,
    'tokens_per_second': 1.0,
}


@pytest.mark.parametrize(
    'edit, code, subject, field',
    [
        (
            lambda raw_objects: raw_objects + [raw_objects[0]],
            'duplicate',
            'place/praha-a',
            'name',
        ),
        (
            edit_object('client_account', 'shops-brno', limits=LIMITS),
            'invalid_field',
            'client_account/shops-brno',
            'limits.concurrent',
        ),
        (
            edit_object('replica_group', 'orders', vms_per_copy=10),
            'spans_fabric_domains',
            'replica_group/orders',
            'vms_per_copy',
        ),
        (
            edit_object('replica_group', 'orders', copies=13),
            'over_capacity',
            'replica_group/orders',
            'copies',
        ),
        (
            edit_object('replica_group', 'orders', copies=10),
            'over_capacity',
            'fabric_domain/',
            'copies',
        ),
        (
            edit_object('model_version', 'order-6', replaces='order-7'),
            'circular_reference',
            'model_version/order-7',
            'replaces',
        ),
        (
            lambda raw_objects: (
                raw_objects
                + [{'kind': 'priority', 'name': 'spare', 'rank': 1}]
            ),
            'unused',
            'priority/spare',
            'name',
        ),
        (
            edit_object('upstream', 'ledger-1', repeatable=True),
            'contradiction',
            'service/ledger',
            'repeatable',
        ),
        (
            edit_object('upstream', 'praha-a-f1-vm1', place='praha-b'),
            'wrong_place',
            'upstream/praha-a-f1-vm1',
            'place',
        ),
        (
            edit_object('client_account', 'reports', services=['ledgr']),
            'unknown_reference',
            'client_account/reports',
            'services',
        ),
        (
            edit_object(
                'model', 'order-assistant', default_version='catalogue-2'
            ),
            'wrong_model',
            'model/order-assistant',
            'default_version',
        ),
        (
            edit_object('place', 'praha-a', colour='blue'),
            'invalid_field',
            'place/praha-a',
            'colour',
        ),
        (
            edit_object('upstream', 'ledger-1', address='ledger:80'),
            'invalid_field',
            'upstream/ledger-1',
            'address',
        ),
        (
            lambda raw_objects: raw_objects + [{'kind': 'x'}],
            'unknown_kind',
            'x/?',
            'kind',
        ),
        (
            lambda raw_objects: raw_objects + [7],
            'not_an_object',
            'objects[84]',
            '',
        ),
    ],
)
def test_fault_names_code_object_and_field(edit, code, subject, field):
    """A fault names its code, the object and the field."""
    faults = faults_of(edit(load_example('obalnik')))
    assert any(
        text.startswith(f'{code} {subject}') and f' {field}: ' in text
        for text in faults
    ), faults


def test_all_faults_are_reported_together():
    """A single check reports the faults of all objects."""
    raw_objects = edit_object('replica_group', 'orders', model_version='a')(
        edit_object('client_account', 'reports', priority='b')(
            load_example('obalnik')
        )
    )
    text = '\n'.join(faults_of(raw_objects))
    assert 'model_version/a is not' in text and 'priority/b is not' in text
