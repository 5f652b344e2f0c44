"""Collection of the evidence of a period from the stores."""

import dataclasses

from plantainway.evidence import _chain
from plantainway.evidence import _promises
from plantainway import stores

AUDIT_PREFIX = 'audit/'
CHAIN_MAX_LAG_S = 10.0


async def collect(
    store: stores.BaseObjectStore,
    table: stores.BaseTable,
    since: float,
    until: float,
) -> _promises.CollectedEvidence:
    """Reads the evidence of a period from the stores.

    Audit rows are read for all time, in the order of their commits.

    Args:
        store: Object store with the batches.
        table: Table service with the audit rows.
        since: Start of the period, seconds since 1970.
        until: End of the period, seconds since 1970.

    Returns:
        The records, audit rows and gaps.

    Raises:
        StoreUnavailableError: If a store does not answer.
    """
    batches = []
    for name in await store.list_names(_chain.OBJECT_PREFIX):
        batches.append(_chain.decode_batch(await store.get(name)))
    records = [
        record | {'node': batch.node, 'incarnation': batch.incarnation}
        for batch, _digest in batches
        if batch.until >= since and batch.since <= until
        for record in batch.records
    ]
    gaps = [
        dataclasses.asdict(gap)
        for gap in _chain.find_chain_gaps(batches, until, CHAIN_MAX_LAG_S)
        if gap.until >= since and gap.since <= until
    ]
    gaps += [record for record in records if record['kind'] == 'dropped']
    audits = []
    audit_gaps = []
    next_numbers = {}
    for row in await table.scan(AUDIT_PREFIX):
        _prefix, shard, number = row.key.split('/')
        number = int(number)
        if number != next_numbers.get(shard, 1):
            audit_gaps.append({'shard': shard, 'before': number})
        next_numbers[shard] = number + 1
        audits.append((row.version, row.value | {'shard': shard}))
    audits.sort(key=lambda pair: pair[0])
    return _promises.CollectedEvidence(
        records, [audit for _version, audit in audits], gaps, audit_gaps
    )
