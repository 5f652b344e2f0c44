"""Tests that the load run counts each kind of violation."""

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
    """Returns the outcome of a request for its caller."""
    return requests.Outcome('north', end, req_id)


def refuse_executed_chat(run):
    """A request is refused as not run although an engine received it."""
    run.outcomes.append(outcome('not_run', 'r1'))


def refuse_executed_order(run):
    """An order is refused as not run although a service executed it."""
    run.refused_orders = {'r9'}


def run_key_twice(run):
    """Services execute an idempotency key twice."""
    run.world.ledgers['l2'] = types.SimpleNamespace(runs=[order(req='r8')])


def lose_order(run):
    """An order is answered although no service executed it."""
    run.orders.append({'key': 'k7', 'status': 201, 'code': ''})


def break_answer(run):
    """An answer differs from the one that the prompt gives."""
    run.broken_answers += 1


def cross_answers(run):
    """Engines run one attempt for two callers."""
    run.world.fleet.engines['e'].chats.append(chat(caller='south'))


def send_after_leaving(run):
    """A copy gets a request 5 s after a member was announced as leaving."""
    run.leaving_at['f-c1'] = (5.0, 1)


@pytest.mark.parametrize(
    'plant, counter',
    [
        (lambda run: None, None),
        (refuse_executed_chat, 'not_run_lies'),
        (refuse_executed_order, 'not_run_lies'),
        (run_key_twice, 'double_runs'),
        (lose_order, 'lost_orders'),
        (break_answer, 'broken_answers'),
        (cross_answers, 'crossed_answers'),
        (send_after_leaving, 'late_work_after_leaving_s'),
    ],
)
def test_each_violation_raises_its_counter(plant, counter):
    """Each violation raises its own counter and no other."""
    run = requests.LoadRun(1, 0.5, False, 'turns', 1.0, False)
    run.refused_orders = set()
    run.world.fleet.engines['e'] = types.SimpleNamespace(chats=[chat()])
    run.world.ledgers['l1'] = types.SimpleNamespace(runs=[order()])
    run.orders.append({'key': 'k1', 'status': 201, 'code': ''})
    run.outcomes.append(requests.Outcome('north', 'whole', '', 0.1, (), 0))
    plant(run)
    found = run._compute_results(1.0)
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
