"""Tests of the leader's decisions on parts of prompts, and of their row."""

import pytest

from plantainway import clock as clocks
from plantainway import cluster
from plantainway.edge import _quarantine
from plantainway import platform
from plantainway import quarantine
from tests.platform import store_standin


class _Lease:
    """Fake lease whose term and state a test sets."""

    def __init__(self):
        self.term = 1
        self.is_held = True

    def is_leader(self):
        """Returns whether the node leads."""
        return self.is_held


class Leader:
    """The task of a leader with a table, and its collaborators."""

    def __init__(self, table):
        self.clock = clocks.ManualClock()
        self.lease = _Lease()
        self.parts = quarantine.Quarantine(self.clock)
        self.changes = 0
        self.task = _quarantine.QuarantineTask(
            self.parts,
            quarantine.EvidenceRecorder(self.clock),
            self.lease,
            table,
            lambda name, started_ms: True,
            self.clock,
        )
        self.task.on_change.append(self._count_change)

    def _count_change(self):
        self.changes += 1

    def receive(self, **evidence):
        """Handles a heartbeat of another node."""
        info = cluster.NodeInfo('n2', 'n2:1', 'a', 1.0, True)
        self.clock.advance(_quarantine.DECISION_INTERVAL_S)
        self.task.handle_heartbeat(
            cluster.Heartbeat(info, {}, [], {}, **evidence)
        )


@pytest.fixture
async def store():
    """A running store stand-in."""
    found = store_standin.StoreStandIn()
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def table(store):
    """Client of the store."""
    session = platform.new_session()
    yield platform.PlatformStore(store.address, session)
    await session.close()


def _reports(count):
    return [
        quarantine.CrashReport(f'e{number}', 1, ['a', 'p'], 100)
        for number in range(count)
    ]


@pytest.mark.parametrize('leads', [True, False])
async def test_only_the_leader_decides(table, leads):
    """Its update goes out at once, for the question and for the answer."""
    leader = Leader(table)
    leader.lease.is_held = leads
    leader.receive(crash_reports=_reports(3))
    assert leader.changes == leads
    assert leader.task.watched_parts() == (['a', 'p'] if leads else [])
    leader.clock.advance(0.5)
    leader.receive(crash_reports=_reports(3), survival_ages_ms={'a': 100})
    assert leader.parts.find(['p']) == ('p' if leads else None)
    assert leader.changes == 2 * leads


async def test_heartbeat_brings_what_an_earlier_leader_decided(table):
    """A leader that has just started learns it from any node."""
    leader = Leader(table)
    leader.receive(quarantined_ms={'p': 5000})
    assert leader.parts.find(['p']) == 'p'


async def test_row_brings_the_quarantine_to_the_next_term(table, store):
    """It is read once a term, and written only when it has changed."""
    leader = Leader(table)
    await leader.task.store()
    assert store.calls == ['get']
    leader.parts.add('p')
    for _ in range(3):
        await leader.task.store()
    assert store.calls == ['get', 'tx']
    later = Leader(table)
    await later.task.store()
    assert later.parts.find(['p']) == 'p'
    assert later.changes == 1


async def test_row_is_refreshed_so_that_it_expires(table):
    """A reader gets a remaining time that is not much too long."""
    leader = Leader(table)
    leader.parts.add('p')
    for _ in range(4):
        await leader.task.store()
        leader.clock.advance(_quarantine.ROW_REFRESH_S)
    await leader.task.store()
    later = Leader(table)
    await later.task.store()
    lag_ms = later.parts.remaining_ms()['p'] - leader.parts.remaining_ms()['p']
    assert 0 <= lag_ms <= _quarantine.ROW_REFRESH_S * 1000


@pytest.mark.parametrize('fault', ['down', 'lost_answers', 'other_writer'])
async def test_row_is_written_after_a_failure(table, store, fault):
    """The next call makes good what the store did not take or answer."""
    leader = Leader(table)
    await leader.task.store()
    leader.parts.add('p')
    if fault == 'down':
        store.faults.down = True
    elif fault == 'lost_answers':
        store.faults.lost_answers = 1
    else:
        other = Leader(table)
        other.parts.add('q')
        await other.task.store()
    await leader.task.store()
    store.faults.down = False
    await leader.task.store()
    await leader.task.store()
    later = Leader(table)
    await later.task.store()
    expected = {'p', 'q'} if fault == 'other_writer' else {'p'}
    assert set(later.parts.remaining_ms()) == expected
