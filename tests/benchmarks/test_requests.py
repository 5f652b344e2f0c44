"""The counters of the load run see planted breaches."""

import types

import pytest

from benchmarks import requests


def chat(**fields):
    """Returns an entry of an engine's log."""
    return {
        'attempt': 'a1',
        'req': 'r1',
        'caller': 'north',
        'copy_id': 'f-c1',
        'token': 1,
        'at': 10.0,
        'cached': 0,
        'blocks': 1,
    } | fields


def order(**fields):
    """Returns an entry of a service's log."""
    return {'key': 'k1', 'req': 'r9', 'id': '1', 'body': ''} | fields


def outcome(end, req_id):
    """Returns how a request ended for its caller."""
    return requests.Outcome('north', end, req_id)


def lie(run):
    """A request was refused as not run and an engine saw it."""
    run.outcomes.append(outcome('not_run', 'r1'))


def order_lie(run):
    """An order was refused as not run and a service ran it."""
    run.refused_orders = {'r9'}


def double(run):
    """A key ran twice."""
    run.world.ledgers['l2'] = types.SimpleNamespace(runs=[order(req='r8')])


def lost(run):
    """An order was answered and never ran."""
    run.orders.append({'key': 'k7', 'status': 201, 'code': ''})


def broken(run):
    """An answer had other words than the prompt's."""
    run.broken += 1


def crossed(run):
    """One attempt was run for two callers."""
    run.world.fleet.engines['e'].chats.append(chat(caller='south'))


def late(run):
    """Work went to a copy 5 s after a member was leaving."""
    run.leaving_at['f-c1'] = (5.0, 1)


@pytest.mark.parametrize(
    'plant, counter',
    [
        (lambda run: None, None),
        (lie, 'not_run_lies'),
        (order_lie, 'not_run_lies'),
        (double, 'double_runs'),
        (lost, 'lost_orders'),
        (broken, 'broken_answers'),
        (crossed, 'crossed_answers'),
        (late, 'late_work_after_leaving_s'),
    ],
)
def test_counters(plant, counter):
    """Each breach shows in its counter and in no other."""
    run = requests.Run(1, 0.5, False, 'turns', 1.0, False)
    run.refused_orders = set()
    run.world.fleet.engines['e'] = types.SimpleNamespace(chats=[chat()])
    run.world.ledgers['l1'] = types.SimpleNamespace(runs=[order()])
    run.orders.append({'key': 'k1', 'status': 201, 'code': ''})
    run.outcomes.append(requests.Outcome('north', 'whole', '', 0.1, (), 0))
    plant(run)
    found = run._measures(1.0)
    names = (
        'not_run_lies',
        'double_runs',
        'lost_orders',
        'broken_answers',
        'crossed_answers',
        'late_work_after_leaving_s',
    )
    assert [name for name in names if found[name]] == (
        [counter] if counter else []
    )
