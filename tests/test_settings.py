"""Tests of settings validation: errors name the path of the key."""

import json
import pathlib

import pytest

from plantainway import errors
from plantainway import settings

EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'node.json'


def test_example_is_valid():
    """The example is valid; its dump contains no key digest."""
    cfg = settings.load(str(EXAMPLE))
    assert cfg.operator_keys[0].digest not in json.dumps(settings.dump(cfg))


@pytest.mark.parametrize(
    'path, value, text',
    [
        ('nodde', 'x', 'nodde: Extra inputs'),
        ('node', 7, 'node: Input should be a valid string'),
        ('node', 'Praha A', 'node: String should match'),
        ('listen.caller', 'localhost:80', 'listen.caller: Value error'),
        ('listen.caller', '127.0.0.1:70000', 'listen.caller: Value error'),
        ('listen.caller', '127.0.0.1:9502', 'two addresses are the same'),
        ('platform.table', 'ftp://127.0.0.1:1', 'platform.table: Value'),
        ('seed_peers', ['127.0.0.1:9503'], 'names the node itself'),
        ('operator_keys', [], 'operator_keys: List should have'),
        ('log_level', 'LOUD', 'log_level: Input should be'),
    ],
)
def test_invalid_settings_name_the_key(path, value, text):
    """Each validation error names the path of the invalid key."""
    raw = json.loads(EXAMPLE.read_text())
    target = raw
    *parents, last = path.split('.')
    for name in parents:
        target = target[name]
    target[last] = value
    with pytest.raises(errors.SettingsError) as found:
        settings.parse(json.dumps(raw))
    assert text in found.value.message
    assert found.value.code == 'settings_invalid'


@pytest.mark.parametrize('text', ['', '[]', '{', '{"node": 1e999}', 'null'])
def test_malformed_documents_are_refused(text):
    """A document that is not a valid settings object is refused."""
    with pytest.raises(errors.SettingsError):
        settings.parse(text)
