"""Verdicts on the promises, and gaps in the chains of batches."""

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
WHOLE_ANSWER_RECORDS = [VM_OK, COPY, SEND, ANSWER]
KEYED_SEND = {
    'kind': 'send',
    'req': 'r2',
    'key': 'k',
    'upstreams': ['l'],
    'at': 2,
}
CLAIM = {
    'copies': [{'copy_id': 'f-c1', 'members': [['vm-1', '']]}],
    'holds': [{'vm': 'vm-1', 'copy_id': 'f-c1'}],
}
OTHER_CLAIM = {
    'copies': [{'copy_id': 'f-c2', 'members': [['vm-1', '']]}],
    'holds': [{'vm': 'vm-1', 'copy_id': 'f-c2'}],
}
FREED = {'copies': [], 'holds': [{'vm': 'vm-1', 'copy_id': ''}]}


def to_records(*items):
    """Returns the items as records of one node incarnation."""
    return [
        {'node': 'n1', 'incarnation': 1, 'wall': 0.0} | item for item in items
    ]


def collected_evidence(items=(), audits=(), gaps=(), audit_gaps=()):
    """Returns collected evidence with the given records and gaps."""
    return evidence.CollectedEvidence(
        to_records(*items), list(audits), list(gaps), list(audit_gaps)
    )


RECORDS_WITH_BREACH = {
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
    'at-most-once': [[KEYED_SEND, KEYED_SEND | {'req': 'r3'}]],
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
RECORDS_WITHOUT_BREACH = [
    *WHOLE_ANSWER_RECORDS,
    KEYED_SEND,
    {'kind': 'unsent', 'req': 'r2', 'key': 'k'},
    KEYED_SEND,
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
def test_complete_evidence_is_held(promise):
    """Complete evidence without a breach gives ``held``."""
    found = evidence.evaluate_promise(
        collected_evidence(
            RECORDS_WITHOUT_BREACH, [CLAIM, FREED, OTHER_CLAIM]
        ),
        promise,
    )
    assert (found.state, found.records) == ('held', [])
    assert found.checked > 0


@pytest.mark.parametrize('promise', sorted(evidence.PROMISES))
def test_gap_is_not_known(promise):
    """Evidence with a gap and no breach never gives ``held``."""
    gap = {'node': 'n2', 'reason': 'ended unmarked'}
    found = evidence.evaluate_promise(
        collected_evidence(
            RECORDS_WITHOUT_BREACH, [CLAIM], [gap], [{'shard': 'f'}]
        ),
        promise,
    )
    assert (found.state, len(found.gaps)) == ('not_known', 1)


@pytest.mark.parametrize(
    'promise, items',
    [
        (name, items)
        for name, cases in RECORDS_WITH_BREACH.items()
        for items in cases
    ],
)
def test_breach_is_broken(promise, items):
    """Records of a breach give ``broken``, with and without a gap."""
    for gaps in ([], [{'node': 'n2'}]):
        found = evidence.evaluate_promise(
            collected_evidence(items, gaps=gaps), promise
        )
        assert found.state == 'broken' and found.records


def test_vm_in_two_copies_is_broken():
    """A second claim of a VM that was not freed breaks the promise."""
    found = evidence.evaluate_promise(
        collected_evidence(audits=[CLAIM, OTHER_CLAIM]), 'exclusive-vms'
    )
    assert found.state == 'broken'


async def store_with_chain(batches=3, last=True):
    """Returns an object store with the chained batches of one node."""
    store = standins.MemoryObjectStore()
    wall = [1000.0]
    recorder = evidence.Recorder('n1', 1, clock.ManualClock(), lambda: wall[0])
    for number in range(batches):
        recorder.record('note', number=number)
        wall[0] += 5.0
        recorder.seal(last and number == batches - 1)
        assert await recorder.write(store)
    return store


def remove_middle_batch(store):
    """Removes a batch from the middle of the chain."""
    store.remove(_chain.object_name('n1', 1, 2))


def remove_first_batch(store):
    """Removes the first batch."""
    store.remove(_chain.object_name('n1', 1, 1))


def remove_last_batch(store):
    """Removes the batch that is marked as last."""
    store.remove(_chain.object_name('n1', 1, 3))


def alter_batch(store):
    """Replaces a batch by one without its records."""
    name = _chain.object_name('n1', 1, 2)
    batch, _digest = evidence.decode_batch(store.blobs[name])
    changed = dataclasses.replace(batch, records=[])
    store.blobs[name] = evidence.encode_batch(changed)[0]


@pytest.mark.parametrize(
    'damage, reason',
    [
        (None, None),
        (remove_first_batch, 'batch missing'),
        (remove_middle_batch, 'batch missing'),
        (remove_last_batch, 'ended unmarked'),
        (alter_batch, 'digest differs'),
    ],
)
async def test_damaged_chain_has_a_gap(damage, reason):
    """A missing or altered batch is reported as a gap with its reason."""
    store = await store_with_chain()
    if damage is not None:
        damage(store)
    table = standins.MemoryTable()
    found = await evidence.collect(store, table, 0.0, 2000.0)
    assert [gap['reason'] for gap in found.gaps] == (
        [reason] if reason else []
    )


async def test_outage_leaves_no_gap():
    """Batches of an outage are written later, in order, without a gap.

    A lost reply after the outage must not lose or duplicate a batch either.
    """
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
