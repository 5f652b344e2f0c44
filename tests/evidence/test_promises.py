"""Answers for each promise: held, broken, not known."""

import dataclasses

import pytest

from plantainway import clock
from plantainway import evidence
from plantainway.evidence import _chain
from plantainway import standins

VM_OK = {
    'kind': 'vm_view',
    'vm': 'vm-1',
    'ok': True,
    'boot': 'b',
    'copy': 'f-c1',
    'token': 1,
    'role': 'ready',
}
COPY = {
    'kind': 'copy_view',
    'copy': 'f-c1',
    'token': 1,
    'state': 'serving',
    'members': [['vm-1', 'b']],
}
SEND = {
    'kind': 'send',
    'req': 'r1',
    'account': 'shops',
    'copy': 'f-c1',
    'token': 1,
    'upstreams': ['vm-1'],
    'oldest_ms': 100,
    'at': 1.0,
}
ANSWER = {
    'kind': 'answer',
    'req': 'r1',
    'account': 'shops',
    'sent_for': 'shops',
    'outcome': 'whole',
    'pieces': 4,
    'end': 4,
}
GOOD = [VM_OK, COPY, SEND, ANSWER]
KEYED = {'kind': 'send', 'req': 'r2', 'key': 'k', 'upstreams': ['l'], 'at': 2}
CLAIM = {
    'copies': [{'copy_id': 'f-c1', 'members': [['vm-1', '']]}],
    'holds': [{'vm': 'vm-1', 'copy_id': 'f-c1'}],
}
OTHER_CLAIM = {
    'copies': [{'copy_id': 'f-c2', 'members': [['vm-1', '']]}],
    'holds': [{'vm': 'vm-1', 'copy_id': 'f-c2'}],
}
FREED = {'copies': [], 'holds': [{'vm': 'vm-1', 'copy_id': ''}]}


def records(*items):
    """Returns records of one node incarnation."""
    return [
        {'node': 'n1', 'incarnation': 1, 'wall': 0.0} | item for item in items
    ]


def data(items=(), audits=(), gaps=(), audit_gaps=()):
    """Returns the evidence of a period."""
    return evidence.CollectedEvidence(
        records(*items), list(audits), list(gaps), list(audit_gaps)
    )


BREACHES = {
    'whole-groups': [
        [VM_OK | {'ok': False}, COPY, SEND],
        [VM_OK | {'boot': 'b2'}, COPY, SEND],
        [VM_OK | {'token': 2}, COPY, SEND],
        [VM_OK, COPY | {'state': 'draining'}, SEND],
        [VM_OK, COPY, SEND | {'oldest_ms': 3001}],
        [VM_OK, COPY, SEND | {'token': 0}],
        [VM_OK, SEND],
    ],
    'whole-answers': [
        [ANSWER | {'pieces': 3}],
        [ANSWER | {'end': None}],
        [ANSWER | {'sent_for': 'others'}],
    ],
    'true-refusals': [
        [SEND, {'kind': 'refuse', 'req': 'r1', 'reason': 'limit'}],
    ],
    'at-most-once': [[KEYED, KEYED | {'req': 'r3'}]],
    'leaving-upstreams': [
        [
            {'kind': 'leaving', 'upstream': 'vm-1', 'at': 1.0},
            SEND | {'at': 4.5},
        ],
    ],
    'graceful-stops': [[{'kind': 'cut', 'planned': True}]],
    'lasting-revisions': [
        [{'kind': 'in_force', 'revision': n} for n in (2, 1)],
        [
            {'kind': 'committed', 'revision': 2, 'wall': 0.0},
            {'kind': 'in_force', 'revision': 1, 'wall': 0.0},
            {'kind': 'in_force', 'revision': 2, 'wall': 12.0},
        ],
    ],
}
HELD = [
    *GOOD,
    KEYED,
    {'kind': 'unsent', 'req': 'r2', 'key': 'k'},
    KEYED,
    {'kind': 'refuse', 'req': 'r4', 'reason': 'limit'},
    {'kind': 'leaving', 'upstream': 'vm-1', 'at': 2.0},
    SEND | {'req': 'r5', 'at': 4.5},
    {'kind': 'staying', 'upstream': 'vm-1'},
    SEND | {'req': 'r6', 'at': 9.0},
    {'kind': 'drain_begin'},
    {'kind': 'committed', 'revision': 2, 'wall': 0.0},
    {'kind': 'in_force', 'revision': 1, 'wall': 0.0},
    {'kind': 'in_force', 'revision': 2, 'wall': 3.0},
]


@pytest.mark.parametrize('promise', sorted(evidence.PROMISES))
def test_held(promise):
    """Records without a breach and without a gap."""
    found = evidence.evaluate_promise(
        data(HELD, [CLAIM, FREED, OTHER_CLAIM]), promise
    )
    assert (found.state, found.records) == ('held', [])
    assert found.checked > 0


@pytest.mark.parametrize('promise', sorted(evidence.PROMISES))
def test_not_known(promise):
    """A gap is never called held."""
    gap = {'node': 'n2', 'reason': 'ended unmarked'}
    found = evidence.evaluate_promise(
        data(HELD, [CLAIM], [gap], [{'shard': 'f'}]), promise
    )
    assert (found.state, len(found.gaps)) == ('not_known', 1)


@pytest.mark.parametrize(
    'promise, items',
    [(name, items) for name, cases in BREACHES.items() for items in cases],
)
def test_broken(promise, items):
    """Each planted breach is found, also next to a gap."""
    for gaps in ([], [{'node': 'n2'}]):
        found = evidence.evaluate_promise(data(items, gaps=gaps), promise)
        assert found.state == 'broken' and found.records


def test_vm_in_two_copies_is_broken():
    """A claim of a VM that was not freed is a breach."""
    found = evidence.evaluate_promise(
        data(audits=[CLAIM, OTHER_CLAIM]), 'exclusive-vms'
    )
    assert found.state == 'broken'


async def chain(batches=3, last=True):
    """Returns a store with the batches of one node."""
    store = standins.MemoryObjectStore()
    wall = [1000.0]
    recorder = evidence.Recorder('n1', 1, clock.ManualClock(), lambda: wall[0])
    for number in range(batches):
        recorder.record('note', number=number)
        wall[0] += 5.0
        recorder.seal(last and number == batches - 1)
        assert await recorder.write(store)
    return store


def remove_middle(store):
    """A batch is missing."""
    store.remove(_chain.object_name('n1', 1, 2))


def remove_first(store):
    """The first batch is missing."""
    store.remove(_chain.object_name('n1', 1, 1))


def remove_last(store):
    """The batch that marks the end is missing."""
    store.remove(_chain.object_name('n1', 1, 3))


def tamper(store):
    """A batch was altered."""
    name = _chain.object_name('n1', 1, 2)
    batch, _digest = evidence.decode_batch(store.blobs[name])
    changed = dataclasses.replace(batch, records=[])
    store.blobs[name] = evidence.encode_batch(changed)[0]


@pytest.mark.parametrize(
    'harm, reason',
    [
        (None, None),
        (remove_first, 'batch missing'),
        (remove_middle, 'batch missing'),
        (remove_last, 'ended unmarked'),
        (tamper, 'digest differs'),
    ],
)
async def test_chains_show_gaps(harm, reason):
    """Whatever is missing or altered shows as a gap."""
    store = await chain()
    if harm is not None:
        harm(store)
    table = standins.MemoryTable()
    found = await evidence.collect(store, table, 0.0, 2000.0)
    assert [gap['reason'] for gap in found.gaps] == (
        [reason] if reason else []
    )


async def test_batches_survive_an_outage():
    """Records wait for the object store, and keep their order."""
    store = standins.MemoryObjectStore()
    recorder = evidence.Recorder('n1', 1, clock.ManualClock())
    store.faults.outage = True
    recorder.seal()
    assert not await recorder.write(store)
    store.faults.outage = False
    store.faults.lost_replies = 1
    recorder.seal(True)
    assert not await recorder.write(store)
    assert await recorder.write(store)
    found = await evidence.collect(store, standins.MemoryTable(), 0.0, 2e10)
    assert found.gaps == []
