"""Tests of decoding the platform's messages, valid and invalid ones."""

import json

import pytest

from plantainway import deployment
from plantainway import errors
from plantainway import platform
from plantainway.platform import _messages

ENTRY = {
    'service': 's1',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 13,
    'state': 'ready',
    'coldLeftMs': 0,
    'seq': 4,
    'born': 1700000000000,
    'domain': 'a-d0',
    'staged': ['m0'],
    'models': [{'name': 'm0', 'version': 1, 'adapters': []}],
    'group': {'name': 'g7', 'epoch': 12, 'rank': 0, 'state': 'open'},
}
ROUTE = {
    'name': 'r1',
    'host': 'h.example',
    'prefix': '/a/',
    'routeType': 'stream',
    'timeoutMs': 8000,
    'sloMs': 500,
    'priority': 1,
    'split': [
        {'service': 's1', 'weight': 90},
        {'service': 's2', 'weight': 10},
    ],
    'maxAttempts': 2,
    'anonymous': False,
    'sticky': True,
    'resumable': True,
    'gapTargetMs': 300,
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 's1',
            'healthPath': '/healthz',
            'maxConns': 651,
            'engine': {
                'slots': 13,
                'models': [
                    {'name': 'm0', 'size': 4, 'share': 0.67, 'pace': 1.0}
                ],
                'step_ms': 6.0,
                'per_seq_ms': 0.5,
                'read_per_s': 46000.0,
                'chunk': 2048,
                'stride': 5,
                'unheard_of': 1,
            },
        }
    ],
    'limits': {'maxBodyBytes': 100},
    'tenants': [{'name': 't1', 'apiKeys': ['k1', 'k2'], 'priority': 2}],
}


def test_entry_is_decoded_completely():
    """Each field of an entry is decoded into its attribute."""
    found = platform.decode_upstream('i-1', json.dumps(ENTRY).encode())
    assert found == deployment.Upstream(
        name='i-1',
        service='s1',
        address='10.0.0.1:80',
        zone='a',
        slots=13,
        draining=False,
        started_ms=1700000000000,
        domain='a-d0',
        staged=('m0',),
        membership=deployment.Membership(
            'g7', 12, 0, deployment.GroupState.OPEN, 'm0'
        ),
    )
    assert found.is_open_head


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'null',
        b'{"service": "s1"}',
        json.dumps(ENTRY | {'address': 5}).encode(),
        json.dumps(ENTRY | {'state': 'lost'}).encode(),
        json.dumps(ENTRY | {'slots': '13'}).encode(),
        json.dumps(ENTRY | {'group': {'name': 'g7'}}).encode(),
        json.dumps(ENTRY | {'group': ENTRY['group'] | {'rank': 'x'}}).encode(),
    ],
)
def test_invalid_entry_is_skipped(body):
    """An invalid entry is skipped and raises no error."""
    assert platform.decode_upstream('i-1', body) is None


@pytest.mark.parametrize(
    'value, expected',
    [(8200, 8200), (8200.5, 8200), (None, 0), ('x', 0), (-1, 0), ([], 0)],
)
def test_entry_with_an_odd_cold_time_names_an_upstream(value, expected):
    """It is taken as warm, and differs from others in nothing else."""
    body = json.dumps(ENTRY | {'coldLeftMs': value}).encode()
    found = platform.decode_upstream('i-1', body)
    assert found.cold_left_ms == expected
    warm = platform.decode_upstream('i-1', json.dumps(ENTRY).encode())
    assert found == warm


def test_configuration_is_decoded_completely():
    """Routes, services, accounts and limits are decoded."""
    cfg = platform.decode_configuration(json.dumps(CONFIG).encode())
    route = cfg.routes.find('h.example', '/a/2f')
    assert route.kind is deployment.RouteKind.STREAM
    assert route.split == (('s1', 90.0), ('s2', 10.0))
    assert (
        route.timeout_ms,
        route.latency_target_ms,
        route.max_event_gap_ms,
    ) == (
        8000,
        500,
        300,
    )
    assert cfg.find_account('k2') == deployment.Account('t1', 2)
    assert cfg.find_account('k3') is None
    assert cfg.limits.body_bytes == 100
    assert cfg.requires_api_key
    engine = cfg.engines['s1']
    assert engine.find_model('m0').members == 4
    assert engine.max_pass_duration_s('m0') == pytest.approx(
        5 * (0.0125 + 2048 / 46000)
    )


@pytest.mark.parametrize('field', ['coldS', 'coldPerS'])
@pytest.mark.parametrize(
    'text, expected, is_odd',
    [
        ('17', 17.0, False),
        ('1.5', 1.5, False),
        ('0', 0.0, False),
        ('null', 0.0, False),
        ('"x"', 0.0, True),
        ('[]', 0.0, True),
        ('{}', 0.0, True),
        ('"17"', 17.0, False),
        ('-1', 0.0, True),
        ('Infinity', 0.0, True),
        ('NaN', 0.0, True),
        ('1e300', 0.0, True),
        ('1' + '0' * 400, 0.0, True),
    ],
)
def test_odd_cold_field_does_not_reject_the_configuration(
    field, text, expected, is_odd
):
    """Guards against nodes that keep to an old configuration."""
    services = [{'name': name, field: '?'} for name in ('s1', 's2')]
    body = json.dumps(CONFIG | {'services': services})
    cfg = platform.decode_configuration(
        body.replace('"?"', text, 1).replace('"?"', '3').encode()
    )
    found = cfg.services['s1']
    value = found.cold_s if field == 'coldS' else found.cold_per_s
    assert value == expected
    assert cfg.odd_cold_services == (('s1',) if is_odd else ())


@pytest.mark.parametrize(
    'body', [b'', b'{}', b'{"version": "x", "routes": []}', b'[1]', b'\xff']
)
def test_invalid_configuration_raises_wire_error(body):
    """An invalid configuration is rejected with ``WireError``."""
    with pytest.raises(errors.WireError):
        platform.decode_configuration(body)


@pytest.mark.parametrize(
    'body', [b'', b'{"active": "x"}', b'{"staged": 3}', b'[]']
)
def test_invalid_report_raises_wire_error(body):
    """An invalid report is rejected with ``WireError``."""
    with pytest.raises(errors.WireError):
        _messages.decode_report(body)
