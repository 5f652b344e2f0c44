"""Tests of shard leases and of commits under them."""

import pytest

from plantainway import clock
from plantainway import errors
from plantainway import groups
from plantainway.groups import _lease
from plantainway import leases
from plantainway import standins
from plantainway import stores

SPEC = groups.GroupSpec('g', 'v', 'w', (), 1, 2, 1.0, 1.0, 1.0, 10.0)


class Shard:
    """A shard in a table, and the stores of two nodes."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.table = standins.MemoryTable()
        self.one = self.store('n1')
        self.two = self.store('n2')

    def store(self, node):
        """Returns the shard store of a node."""
        return groups.ShardStore('f', node, 1, self.table, self.clock)

    async def acquire(self, store):
        """Acquires the lease for a store once it has lapsed."""
        await store.observe()
        while not store.observer.is_expired(self.clock.now()):
            self.clock.advance(1.0)
            await store.observe()
        assert await store.acquire()

    async def with_vms(self):
        """Returns the first store, with the lease and two free VMs."""
        await self.acquire(self.one)
        for vm in ('vm-1', 'vm-2'):
            assert await self.one.add_vm(vm)
        return self.one


FORM = groups.Form(SPEC, ('vm-1', 'vm-2'))


async def test_observer_waits_a_whole_term():
    """A renewal restarts the term; a released lease lapses at once."""
    shard = Shard()
    await shard.acquire(shard.one)
    await shard.two.observe()
    shard.clock.advance(groups.LEASE_TERM_S - 0.1)
    assert not shard.two.observer.is_expired(shard.clock.now())
    assert not shard.one.is_held
    await shard.two.observe()
    shard.clock.advance(0.2)
    assert shard.two.observer.is_expired(shard.clock.now())
    assert not shard.two.observer.is_expired(shard.clock.now(), 1.0)
    shard.one.lease = None
    await shard.acquire(shard.two)
    await shard.two.release_lease()
    await shard.one.observe()
    assert shard.one.observer.is_expired(shard.clock.now())


async def paused_past_deadline(shard):
    """The holder is paused past its deadline; no other takes over."""
    shard.clock.advance(groups.LEASE_TERM_S)


async def paused_and_replaced(shard):
    """Another node acquires the lease while the holder is paused."""
    await shard.acquire(shard.two)


async def replaced_and_clock_frozen(shard):
    """Another node acquires the lease; the holder's clock is frozen."""
    await shard.acquire(shard.two)
    shard.one.deadline = shard.clock.now() + 100.0


async def request_lost(shard):
    """The commit request is lost once."""
    shard.table.faults.lost_requests = 1


async def reply_lost(shard):
    """The commit takes effect and its reply is lost."""
    shard.table.faults.lost_replies = 1


async def table_down(shard):
    """The table is down."""
    shard.table.faults.outage = True


async def no_fault(shard):
    """No fault."""


@pytest.mark.parametrize(
    'fault, error, formed',
    [
        (no_fault, None, True),
        (paused_past_deadline, errors.LeaseLostError, False),
        (paused_and_replaced, errors.LeaseLostError, False),
        (replaced_and_clock_frozen, errors.LeaseLostError, False),
        (request_lost, None, True),
        (reply_lost, None, True),
        (table_down, errors.StoreUnavailableError, False),
    ],
)
async def test_claim_under_faults(fault, error, formed):
    """A claim is committed completely and once, or not at all."""
    shard = Shard()
    store = await shard.with_vms()
    await fault(shard)
    if error is None:
        await store.apply(FORM)
    else:
        with pytest.raises(error):
            await store.apply(FORM)
    shard.table.faults.outage = False
    rows = await shard.table.scan('')
    copies = [row for row in rows if row.key.startswith('copy/')]
    owners = {
        row.value['copy_id'] for row in rows if row.key.startswith('vm/')
    }
    assert len(copies) == int(formed)
    assert owners == ({'f-c1'} if formed else {''})
    assert store.lease is None or store.copies.keys() == (
        {'f-c1'} if formed else set()
    )


class _PausedTable(standins.MemoryTable):
    """Table whose answers a node reads ``pause_s`` after it asked."""

    def __init__(self, shard):
        super().__init__()
        self._clock = shard.clock
        self.pause_s = 0.0

    async def commit(self, txn):
        """Commits, before the node is paused."""
        result = await super().commit(txn)
        self._clock.advance(self.pause_s)
        return result


@pytest.mark.parametrize('call', ['renew', 'acquire', 'apply'])
@pytest.mark.parametrize(
    'pause_s, is_held', [(0.0, True), (2.0, True), (6.0, False), (60.0, False)]
)
async def test_pause_during_a_commit_shortens_the_lease(
    call, pause_s, is_held
):
    """Guards against a late holder whose lease counts from the answer."""
    shard = Shard()
    shard.table = _PausedTable(shard)
    shard.one, shard.two = shard.store('n1'), shard.store('n2')
    store = await shard.with_vms()
    if call == 'acquire':
        await store.release_lease()
        await store.observe()
    sent_at = shard.clock.now()
    shard.table.pause_s = pause_s
    await (store.apply(FORM) if call == 'apply' else getattr(store, call)())
    assert store.deadline <= _lease.holder_deadline(sent_at)
    assert store.is_held == is_held
    if not is_held:
        with pytest.raises(errors.LeaseLostError):
            await store.renew()


async def test_observer_paused_during_a_read_does_not_take_the_lease():
    """Guards against a late observer that trusts a row read long ago."""
    shard = Shard()
    store = await shard.with_vms()
    await shard.two.observe()
    await shard.two.observe()  # this answer lies in the socket
    for _renewal in range(4):
        shard.clock.advance(2.0)
        await store.renew()
    assert shard.two.observer.is_expired(shard.clock.now())
    with pytest.raises(errors.LeaseLostError):
        await shard.two.acquire()
    assert shard.two.lease is None
    assert store.is_held


async def test_former_holder_without_deadline_check():
    """A former holder can't commit even without its deadline check."""
    shard = Shard()
    store = await shard.with_vms()
    await shard.acquire(shard.two)
    store.ensure_held = lambda: None
    with pytest.raises(errors.LeaseLostError):
        await store.apply(FORM)
    assert await shard.table.scan('copy/') == []


async def test_new_holder_reads_what_was_committed():
    """A new holder reads the committed rows and has a higher token."""
    shard = Shard()
    store = await shard.with_vms()
    await store.apply(FORM)
    await shard.acquire(shard.two)
    assert shard.two.copies == store.copies
    assert shard.two.holds == store.holds
    assert shard.two.token == store.token + 1
    assert shard.two.lease.next_copy == 2


async def test_vm_claimed_by_another_shard():
    """A VM row belongs to one shard; another can't create or claim it."""
    shard = Shard()
    await shard.with_vms()
    other = groups.ShardStore('f2', 'n2', 1, shard.table, shard.clock)
    await shard.acquire(other)
    assert not await other.add_vm('vm-1')
    # If one row was changed by another writer, no part is committed.
    row = await shard.table.read('vm/vm-2')
    shard.table.apply(
        stores.Transaction('x', (), (stores.Write(row.key, row.value),))
    )
    with pytest.raises(errors.ConflictError):
        await shard.one.apply(FORM)
    assert await shard.table.scan('copy/') == []


async def test_claim_needs_free_vms():
    """A VM that is in a copy or releasing can't be claimed."""
    shard = Shard()
    store = await shard.with_vms()
    await store.apply(FORM)
    with pytest.raises(errors.ConflictError):
        await store.apply(FORM)
    copy = store.copies['f-c1']
    await store.apply(groups.Dissolve(copy, 'test'))
    with pytest.raises(errors.ConflictError):
        await store.apply(FORM)
    for vm in ('vm-1', 'vm-2'):
        await store.apply(groups.Free(vm, 'b', 'idle'))
    await store.apply(FORM)
    assert set(store.copies) == {'f-c2'}


def test_holder_stops_before_observers_act():
    """The deadline of the holder is before the lease lapses."""
    sent_at = 100.0
    observer = leases.LeaseObserver(_lease.LEASE_TERM_S)
    observer.observe(1, 'n1', sent_at)
    assert not observer.is_expired(_lease.holder_deadline(sent_at))
