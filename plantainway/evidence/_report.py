"""Collects the records of a period and answers for each promise."""

import dataclasses

from plantainway.evidence import _chain
from plantainway.evidence import _promises
from plantainway import stores

AUDIT_PREFIX = 'audit/'
LAG_MAX_S = 10.0


async def collect(
    store: stores.BaseObjectStore,
    table: stores.BaseTable,
    since: float,
    until: float,
) -> _promises.Data:
    """Reads the evidence of a period.

    Args:
        store: Object store with the batches.
        table: Table service with the audit rows.
        since: Start, seconds since 1970.
        until: End, seconds since 1970.

    Returns:
        The records, audit rows and gaps.

    Raises:
        StoreUnavailableError: If the stores gave no answer.
    """
    batches = []
    for name in await store.list_names(_chain.PREFIX):
        batches.append(_chain.decode_batch(await store.get(name)))
    records = [
        record | {'node': batch.node, 'incarnation': batch.incarnation}
        for batch, _digest in batches
        if batch.until >= since and batch.since <= until
        for record in batch.records
    ]
    gaps = [
        dataclasses.asdict(gap)
        for gap in _chain.verify_chains(batches, until, LAG_MAX_S)
        if gap.until >= since and gap.since <= until
    ]
    gaps += [record for record in records if record['kind'] == 'dropped']
    audits = []
    audit_gaps = []
    expected = {}
    for row in await table.scan(AUDIT_PREFIX):
        _prefix, shard, number = row.key.split('/')
        number = int(number)
        if number != expected.get(shard, 1):
            audit_gaps.append({'shard': shard, 'before': number})
        expected[shard] = number + 1
        audits.append((row.version, row.value | {'shard': shard}))
    audits.sort(key=lambda pair: pair[0])
    return _promises.Data(
        records, [audit for _version, audit in audits], gaps, audit_gaps
    )
