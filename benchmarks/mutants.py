"""Mutation tests: disables one guard at a time and expects a failure.

Usage: ``python -m benchmarks.mutants [PART-OF-PATH]``; works on a copy of
the tree and exits with 1 if the tests pass without some guard.
"""

import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parents[1]
TESTS_PASSED, TESTS_FAILED = 0, 1  # exit statuses of pytest


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A guard in the source, its replacement and the tests that cover it.

    ``guard`` is matched literally in the file ``path``; ``tests`` holds
    paths separated by spaces.
    """

    name: str
    path: str
    guard: str
    instead: str
    tests: str


MUTANTS = (
    Mutant(
        'lease row checked in every commit',
        'plantainway/groups/_shard.py',
        '(stores.Check(key, before), *checks),',
        '(stores.Check(key, self._table._version_of(key)), *checks),',
        'tests/groups/test_lease.py',
    ),
    Mutant(
        'holder deadline checked before a commit',
        'plantainway/groups/_shard.py',
        '        self.ensure_held()\n'
        '        key = LEASE_PREFIX + self.shard\n',
        '        key = LEASE_PREFIX + self.shard\n',
        'tests/groups/test_lease.py',
    ),
    Mutant(
        'holder stops before observers act',
        'plantainway/leases.py',
        'return sent_at + term_s - margin_s',
        'return sent_at + term_s + margin_s',
        'tests/groups/test_lease.py',
    ),
    Mutant(
        'VM rows checked when claimed',
        'plantainway/groups/_shard.py',
        'stores.Check(VM_PREFIX + hold.vm, hold.row_version)\n'
        '            for hold in holds\n',
        'stores.Check(VM_PREFIX + hold.vm, hold.row_version)\n'
        '            for hold in ()\n',
        'tests/groups/test_lease.py',
    ),
    Mutant(
        'only free VMs are claimed',
        'plantainway/groups/_apply.py',
        'if not hold.is_free and hold.copy_id != copy.copy_id:',
        'if False:',
        'tests/groups/test_lease.py',
    ),
    Mutant(
        'lost reply settled by reading back',
        'plantainway/stores/_table.py',
        'if row is not None and row.txn_id == txn.txn_id:',
        'if False:',
        'tests/stores/test_table.py tests/groups/test_lease.py',
    ),
    Mutant(
        'boot compared before sending',
        'plantainway/groups/_serving.py',
        'if seen.boot != boot:',
        'if False:',
        'tests/groups/test_serving.py',
    ),
    Mutant(
        'token compared before sending',
        'plantainway/groups/_serving.py',
        'if (seen.copy_id, seen.token) != (copy.copy_id, copy.token):',
        'if False:',
        'tests/groups/test_serving.py',
    ),
    Mutant(
        'expired observations are ignored',
        'plantainway/groups/_sightings.py',
        '            if at < oldest:\n                continue\n',
        '',
        'tests/groups/test_serving.py',
    ),
    Mutant(
        'heartbeats confirm only the newest report',
        'plantainway/peers/_book.py',
        'return report if report.number >= known.report_number else None',
        'return report',
        'tests/groups/test_serving.py',
    ),
    Mutant(
        'an observation of a lost VM overrides a good one',
        'plantainway/groups/_sightings.py',
        'return not one.seen.ok',
        'return one.seen.ok',
        'tests/groups/test_serving.py',
    ),
    Mutant(
        'a VM is freed only once it is seen idle',
        'plantainway/groups/_release.py',
        "if observation.seen.role != 'idle' or observation.seen.copy_id:",
        'if False:',
        'tests/groups/test_planner.py',
    ),
    Mutant(
        'old orders expire before release without fencing checks',
        'plantainway/groups/_release.py',
        'if not facts.checks_fencing and (',
        'if False and (',
        'tests/groups/test_planner.py',
    ),
    Mutant(
        'boots compared when looking for lost members',
        'plantainway/groups/_planner.py',
        'if member.boot and seen.boot != member.boot:',
        'if False:',
        'tests/groups/test_planner.py',
    ),
    Mutant(
        'members report the token before a copy serves',
        'plantainway/groups/_planner.py',
        "if seen.role != 'ready' or (seen.copy_id, seen.token) != (",
        "if seen.role != 'ready' or ('', seen.copy_id) == (",
        'tests/groups/test_planner.py',
    ),
    Mutant(
        'a lease counts from before the sending',
        'plantainway/groups/_shard.py',
        '            self.deadline = _lease.holder_deadline(sent_at)\n'
        '            self._row',
        '            sent_at = self._clock.now()\n'
        '            self.deadline = _lease.holder_deadline(sent_at)\n'
        '            self._row',
        'tests/groups/test_lease.py',
    ),
    Mutant(
        'a late loop does not take a member for lost',
        'plantainway/upstreams/_http_engine.py',
        'loops.timeout(STATE_TIMEOUT_S)',
        'loops.asyncio.timeout(STATE_TIMEOUT_S)',
        'tests/upstreams/test_late_loop.py',
    ),
    Mutant(
        'a late loop does not take its store for unavailable',
        'plantainway/stores/_http.py',
        'loops.timeout(CALL_TIMEOUT_S)',
        'loops.asyncio.timeout(CALL_TIMEOUT_S)',
        'tests/stores/test_late_loop.py',
    ),
    Mutant(
        'a late loop does not refuse for its own pause',
        'plantainway/requests/_dispatch.py',
        'loops.timeout(left_s)',
        'asyncio.timeout(left_s)',
        'tests/requests/test_dispatch.py',
    ),
    Mutant(
        'a slot that comes as the caller leaves is given back',
        'plantainway/requests/_dispatch.py',
        'self.release(waiter.slot.result())',
        'pass',
        'tests/requests/test_dispatch.py',
    ),
    Mutant(
        'a slot that comes after the deadline is given back',
        'plantainway/requests/_dispatch.py',
        'if self._clock.now() >= waiter.deadline:',
        'if False:',
        'tests/requests/test_dispatch.py',
    ),
    Mutant(
        'a new link does not wait for the end of the old one',
        'plantainway/peers/_task.py',
        'self._parts.spawn(existing.conn.close())',
        'await existing.conn.close()',
        'tests/peers/test_links.py',
    ),
    Mutant(
        'a late loop waits for the hello of a peer',
        'plantainway/peers/_task.py',
        'async with loops.timeout(HELLO_TIMEOUT_S):\n'
        '                peer_hello',
        'async with asyncio.timeout(HELLO_TIMEOUT_S):\n'
        '                peer_hello',
        'tests/peers/test_links.py',
    ),
    Mutant(
        'a late loop waits for a peer that it dials',
        'plantainway/peers/_task.py',
        'async with loops.timeout(HELLO_TIMEOUT_S):\n                conn',
        'async with asyncio.timeout(HELLO_TIMEOUT_S):\n                conn',
        'tests/peers/test_links.py',
    ),
    Mutant(
        'a late loop connects again',
        'plantainway/upstreams/_connecting.py',
        'if is_repeated or not is_late or now >= deadline:',
        'if True:',
        'tests/upstreams/test_late_loop.py',
    ),
    Mutant(
        'what could not connect was not sent',
        'plantainway/upstreams/_connecting.py',
        '(aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)',
        '(aiohttp.ClientConnectorError,)',
        'tests/upstreams/test_late_loop.py',
    ),
    Mutant(
        'what has arrived is read before a deadline counts',
        'plantainway/upstreams/_deadlines.py',
        'asyncio.timeout(None)',
        'asyncio.timeout(left_s)',
        'tests/requests/test_chat.py tests/upstreams/test_late_loop.py',
    ),
    Mutant(
        'an attempt that fails after the deadline exceeded it',
        'plantainway/requests/_chat.py',
        'if exc.sent and self._parts.clock.now() >= self._req.deadline:',
        'if False:',
        'tests/requests/test_chat.py',
    ),
    Mutant(
        'no answer only if none is there after the wait',
        'plantainway/requests/_keys.py',
        'if row is None or read_at >= deadline:',
        'if row is None or self._clock.now() >= deadline:',
        'tests/requests/test_keys.py',
    ),
    Mutant(
        'a started idempotency key is not claimed again',
        'plantainway/requests/_keys.py',
        "if row is not None and row.value['state'] != VOID:",
        "if row is not None and row.value['state'] == ANSWERED:",
        'tests/requests/test_keys.py',
    ),
    Mutant(
        'both epochs checked when a key is created',
        'plantainway/requests/_keys.py',
        'for epoch in (self._epoch, self._epoch - 1)',
        'for epoch in (self._epoch, self._epoch)',
        'tests/requests/test_keys.py',
    ),
    Mutant(
        'a key with another body is refused',
        'plantainway/requests/_keys.py',
        "if row is not None and row.value['body'] != request_digest:",
        'if False:',
        'tests/requests/test_keys.py',
    ),
    Mutant(
        'an unknown creation is voided',
        'plantainway/requests/_keys.py',
        'self._in_background(self.mark_void(key_rows.keys[0], attempt))',
        'pass',
        'tests/requests/test_keys.py',
    ),
    Mutant(
        'lent units are not used by the lender',
        'plantainway/requests/_limits.py',
        'return max(self._quota - self.lent_units(), 0) '
        '+ self.borrowed_units()',
        'return self._quota + self.borrowed_units()',
        'tests/requests/test_limits.py',
    ),
    Mutant(
        'expired loans do not count for the borrower',
        'plantainway/requests/_limits.py',
        'for loan in self._borrowed.values()\n'
        '            if loan.deadline > now',
        'for loan in self._borrowed.values()',
        'tests/requests/test_limits.py',
    ),
    Mutant(
        'units in use stay lent',
        'plantainway/requests/_limits.py',
        'return max(units, self._in_use_by.get(node, 0))',
        'return units',
        'tests/requests/test_limits.py',
    ),
    Mutant(
        'gaps in stream positions are rejected',
        'plantainway/requests/_streams.py',
        'if event.position != self.position + 1:',
        'if False:',
        'tests/requests/test_queue.py',
    ),
    Mutant(
        'the end mark repeats the last position',
        'plantainway/requests/_streams.py',
        'if event.position != self.position:',
        'if False:',
        'tests/requests/test_queue.py',
    ),
    Mutant(
        'events of other attempts are dropped',
        'plantainway/requests/_streams.py',
        'if event.attempt != self.attempt:',
        'if False:',
        'tests/requests/test_queue.py',
    ),
    Mutant(
        'no hidden retries of the HTTP library',
        'plantainway/sessions.py',
        '    session._retry_connection = False\n',
        '',
        'tests/upstreams/test_service.py',
    ),
    Mutant(
        'an engine joins only after it has left its group',
        'plantainway/supply/_plan.py',
        '            engine.membership is None\n',
        '            True\n',
        'tests/supply',
    ),
    Mutant(
        'a group opens only when all members are ready in it',
        'plantainway/supply/_repair.py',
        'if not _lost_members(view, record) and all(',
        'if any(',
        'tests/supply',
    ),
    Mutant(
        'groups of an earlier leader are not opened',
        'plantainway/supply/_repair.py',
        'if not record.is_from_this_term:',
        'if False:',
        'tests/supply',
    ),
    Mutant(
        'unsafe requests run once',
        'plantainway/traffic/_plain.py',
        'route.is_idempotent, req.run_limit(route)',
        'True, req.run_limit(route)',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'only requests that were not executed are refused',
        'plantainway/traffic/_plain.py',
        'if state.attempts.runs == 0:',
        'if True:',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'answers to other requests are errors',
        'plantainway/platform/_upstreams.py',
        'if echoed is not None and echoed != req.request_id:',
        'if False:',
        'tests/platform/test_runners.py',
    ),
    Mutant(
        'a reset body without a length is not complete',
        'plantainway/platform/_upstreams.py',
        'if not data and self._was_reset():',
        'if False:',
        'tests/platform/test_runners.py',
    ),
    Mutant(
        'events that the client has are not sent again',
        'plantainway/traffic/_stream_attempt.py',
        'state.last_event_id = event.event_id',
        'pass',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a stream that ends early is broken off',
        'plantainway/platform/_ingress.py',
        '            transport.abort()\n',
        '            pass\n',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'older rows do not replace newer ones',
        'plantainway/cluster/_follower.py',
        '        if rank_of is None:\n'
        '            return row.version > known.version',
        '        if rank_of is None:\n            return True',
        'tests/cluster/test_follower.py',
    ),
    Mutant(
        'older configurations do not replace newer ones',
        'plantainway/edge/_view.py',
        'if known is not None and cfg.version <= known.version:',
        'if False:',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'writes of a former leader are rejected',
        'plantainway/cluster/_leadership.py',
        '(stores.Check(LEASE_KEY, self.version),),',
        '(),',
        'tests/cluster/test_leadership.py',
    ),
    Mutant(
        'the retry budget is divided among the nodes',
        'plantainway/traffic/_budget.py',
        '+ self._slack * age_ratio / max(self.node_count, 1)',
        '+ self._slack * age_ratio',
        'tests/traffic/test_books.py',
    ),
    Mutant(
        'no load while a domain registers',
        'plantainway/supply/_control.py',
        'if self._pacer.traffic_seen and not self._is_registration_done(now):',
        'if False:',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'new leader waits for a table of its own term',
        'plantainway/supply/_control.py',
        'if self._current_as_of() < self._pending_term_since + ENTRY_LAG_S:',
        'if False:',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'spares are probed before they are used',
        'plantainway/supply/_plan.py',
        '        and not engine.is_probe_pending\n',
        '',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'a leaving leader stays while no node can take over',
        'plantainway/edge/_election.py',
        'if self._is_extended and self._leadership.is_leader():',
        'if False:',
        'tests/edge/test_election.py',
    ),
    Mutant(
        'an order needs the lease when it is sent',
        'plantainway/supply/_control.py',
        'if upstream is None or not self._leadership.is_leader():',
        'if upstream is None:',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'epochs grow with the term',
        'plantainway/supply/_control.py',
        'return self._term * EPOCHS_PER_TERM + self._epochs_used',
        'return self._epochs_used',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'extension needs followers',
        'plantainway/edge/_election.py',
        '        if not self._hub.has_enough_followers():\n'
        '            return\n',
        '',
        'tests/edge/test_election.py',
    ),
    Mutant(
        'newer reports replace outdated entries',
        'plantainway/supply/_contacts.py',
        'if self._report_requested_at - REPORT_LAG_S > as_of:',
        'if False:',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'an entry that a report outdated stays so until it changes',
        'plantainway/supply/_contacts.py',
        '            self._superseded_entry != upstream\n',
        '            True\n',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'a leader with older store data than others is not followed',
        'plantainway/cluster/_hub.py',
        'beat.store_age_ms / 1000 + now - at < own_age_s - AGE_GAP_MIN_S',
        'False',
        'tests/cluster/test_hub.py',
    ),
    Mutant(
        'leader with few followers is not followed',
        'plantainway/cluster/_hub.py',
        'count >= FOLLOWERS_MIN_FRACTION * self._links_at_renewal',
        'True',
        'tests/cluster/test_hub.py',
    ),
    Mutant(
        'links to nodes that do not answer are aborted on a stop',
        'plantainway/cluster/_hub.py',
        'close_timeout=CLOSE_TIMEOUT_S,',
        'close_timeout=10.0,',
        'tests/platform/test_node_processes.py',
    ),
    Mutant(
        'rows that were delayed on the way are not taken for current',
        'plantainway/cluster/_hub.py',
        'as_of = sent_at - table_update',
        'as_of = now - table_update',
        'tests/cluster/test_hub.py',
    ),
    Mutant(
        'a read of the store goes on while its answer arrives',
        'plantainway/platform/_store.py',
        'timer.arm(CALL_TIMEOUT_S)\n',
        'pass\n',
        'tests/platform/test_store.py',
    ),
    Mutant(
        'a new leader sends no rows that a node holds already',
        'plantainway/cluster/_follower.py',
        'if row.version > version\n'
        '            or row.key in self._kept_keys\n'
        '            or self._is_kept_if_missing(row, self.version)\n',
        'if True\n',
        'tests/cluster/test_hub.py tests/cluster/test_follower.py',
    ),
    Mutant(
        'long updates are compressed',
        'plantainway/cluster/_messages.py',
        'if len(data) < COMPRESSED_BYTES_MIN:',
        'if True:',
        'tests/cluster/test_hub.py',
    ),
    Mutant(
        'a compressed update is limited in size',
        'plantainway/cluster/_messages.py',
        'decompressor.decompress(data, MESSAGE_BYTES_MAX)',
        'decompressor.decompress(data) + decompressor.flush()',
        'tests/cluster/test_hub.py',
    ),
    Mutant(
        'the lease is watched while the leader is dialled',
        'plantainway/edge/_election.py',
        '            and self._leader_link.is_receiving\n',
        '',
        'tests/edge/test_election.py',
    ),
    Mutant(
        'small nodes leave the lease to larger ones',
        'plantainway/edge/_election.py',
        '2 * HALF_CAPACITY_DELAY_S * missing',
        '0.0',
        'tests/edge/test_election.py',
    ),
    Mutant(
        'a body without end is cut off',
        'plantainway/platform/_upstreams.py',
        'if size > RESPONSE_BYTES_MAX:',
        'if False:',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'an event without end is cut off',
        'plantainway/traffic/_stream_attempt.py',
        '            if len(splitter.remainder) > EVENT_BYTES_MAX:',
        '            if False:',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a stream that ends inside an event is broken off',
        'plantainway/traffic/_stream_attempt.py',
        '        if remainder.strip():',
        '        if False:',
        'tests/platform/test_answer_ends.py',
    ),
    Mutant(
        'a stream that ends with its connection has an event',
        'plantainway/traffic/_stream_attempt.py',
        'if response.ends_with_connection and not self._is_begun:',
        'if False:',
        'tests/platform/test_answer_ends.py',
    ),
    Mutant(
        'crashes are confirmed before they count',
        'plantainway/quarantine/_tally.py',
        '            if crash.is_confirmed\n',
        '',
        'tests/quarantine',
    ),
    Mutant(
        'crashes that a quarantined part explains do not count',
        'plantainway/quarantine/_tally.py',
        'if quarantine.find(_without_fingerprints(parts)) is None',
        'if True',
        'tests/quarantine',
    ),
    Mutant(
        'crashes that a quarantined request explains do not count',
        'plantainway/quarantine/_tally.py',
        'if quarantine.find(confirmed[key]) is None',
        'if True',
        'tests/quarantine',
    ),
    Mutant(
        'a quarantined request explains nothing for its parts',
        'plantainway/quarantine/_tally.py',
        'quarantine.find(_without_fingerprints(parts))',
        'quarantine.find(parts)',
        'tests/quarantine',
    ),
    Mutant(
        'one request sent again quarantines none of its parts',
        'plantainway/quarantine/_tally.py',
        'if not is_request and _is_one_request(suspect, keys):',
        'if False:',
        'tests/quarantine',
    ),
    Mutant(
        'requests are answered before a node ends',
        'plantainway/traffic/_gateway.py',
        'scope.reschedule(self._loop_time_of(ends_at))',
        'pass',
        'tests/platform/test_late_requests.py',
    ),
    Mutant(
        'late requests that may not end in time are refused',
        'plantainway/traffic/_gateway.py',
        'return lasts_until > self._ends_at',
        'return False',
        'tests/platform/test_late_requests.py',
    ),
    Mutant(
        'addresses of entries are checked',
        'plantainway/platform/_messages.py',
        'if not 0 < int(port) <= PORT_MAX:',
        'if False:',
        'tests/platform/test_odd_entries.py',
    ),
    Mutant(
        'links are lost only after two checks',
        'plantainway/traffic/_links.py',
        'if self._failed_checks >= FAILED_CHECKS_MIN:',
        'if True:',
        'tests/traffic/test_links.py',
    ),
    Mutant(
        'a sign of life speaks for the links',
        'plantainway/traffic/_links.py',
        '        self._failed_at.clear()\n        self._contact_at',
        '        self._contact_at',
        'tests/traffic/test_links.py',
    ),
    Mutant(
        'other nodes are asked about an engine that is not reached',
        'plantainway/edge/_witness.py',
        '        if not count:\n            return True\n',
        '        return True\n',
        'tests/edge/test_witness.py',
    ),
    Mutant(
        'a witness without links says nothing',
        'plantainway/edge/_witness.py',
        'return await probe or (False if is_linked else None)',
        'return await probe',
        'tests/edge/test_witness.py',
    ),
    Mutant(
        'a leader that only it believes to be alone checks its links',
        'plantainway/edge/_witness.py',
        'return await self._link_task.check()',
        'return True',
        'tests/edge/test_witness.py',
    ),
    Mutant(
        'a leader without links hands the lease over',
        'plantainway/edge/_election.py',
        'if self._may_hand_over():',
        'if False:',
        'tests/platform/test_cut_links.py',
    ),
    Mutant(
        'requests of a node without links are relayed',
        'plantainway/traffic/_plain.py',
        'if deps.relay.is_needed(state.req, state.unreached):',
        'if False:',
        'tests/platform/test_cut_links.py',
    ),
    Mutant(
        'requests of other accounts differ',
        'plantainway/traffic/_types.py',
        '(self.method, self.host, self.target, account)',
        '(self.method, self.host, self.target)',
        'tests/platform/test_quarantine.py',
    ),
    Mutant(
        'survivals speak for a part',
        'plantainway/quarantine/_tally.py',
        ' > suspect.survived_at\n',
        ' > 0.0\n',
        'tests/quarantine',
    ),
    Mutant(
        'nodes are asked before a part is quarantined',
        'plantainway/quarantine/_tally.py',
        'if now - suspect.watched_since < SURVIVAL_ANSWER_S:',
        'if False:',
        'tests/quarantine',
    ),
    Mutant(
        'engines lost together quarantine no popular part',
        'plantainway/quarantine/_tally.py',
        '        and max(times) - min(times) >= CRASH_SPAN_MIN_S\n',
        '',
        'tests/quarantine',
    ),
    Mutant(
        'quarantine expires',
        'plantainway/quarantine/_parts.py',
        'if self._ends_at.get(part, now) > now:',
        'if part in self._ends_at:',
        'tests/quarantine',
    ),
    Mutant(
        'merged times do not creep',
        'plantainway/quarantine/_parts.py',
        'known + MERGE_TOLERANCE_S',
        'known',
        'tests/quarantine',
    ),
    Mutant(
        'quarantine checked after a wait',
        'plantainway/traffic/_stream.py',
        '        try:\n            ensure_allowed(',
        '        try:\n            tuple(',
        'tests/platform/test_quarantine.py',
    ),
    Mutant(
        'heartbeats carry the quarantine',
        'plantainway/edge/_quarantine.py',
        '        self._parts.merge(beat.quarantined_ms)\n',
        '',
        'tests/edge/test_quarantine.py',
    ),
    Mutant(
        'versions grow over a restore of the store',
        'plantainway/platform/_store.py',
        '(self.era << ERA_SHIFT) + int(version)',
        'int(version)',
        'tests/platform/test_store.py',
    ),
    Mutant(
        'a condition from before a restore does not count',
        'plantainway/platform/_store.py',
        'check.version, _names.TRANSACTION_PATH, status == 200',
        'stores.ABSENT, _names.TRANSACTION_PATH',
        'tests/platform/test_store.py',
    ),
    Mutant(
        'a term of waiting after a restore',
        'plantainway/cluster/_leadership.py',
        '            self._may_acquire_from = now + LEASE_TERM_S\n',
        '            pass\n',
        'tests/cluster/test_leadership.py',
    ),
    Mutant(
        'terms do not go back with the store',
        'plantainway/cluster/_leadership.py',
        'max(self._newest_term, self.newest_used_term()) + 1',
        'self.term + 1',
        'tests/cluster/test_leadership.py',
    ),
    Mutant(
        'entries of a copy wait for their writers',
        'plantainway/edge/_feeds.py',
        '        await asyncio.sleep(wait_s)\n',
        '',
        'tests/platform/test_store_restored.py',
    ),
    Mutant(
        'an unreadable lease is waited for',
        'plantainway/cluster/_leadership.py',
        "UNREADABLE_HOLDER = Holder('?', '', 0, 0)",
        "UNREADABLE_HOLDER = Holder('', '', 0, 0)",
        'tests/cluster/test_leadership.py',
    ),
    Mutant(
        'a lease runs out while the VM is suspended',
        'plantainway/edge/_node.py',
        '            self._store,\n            clocks.SuspendAwareClock(),\n',
        '            self._store,\n            clock,\n',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a task runs again after an unexpected error',
        'plantainway/edge/_node.py',
        '            except Exception as exc:\n'
        '                logs.event(\n'
        "                    'task_failed',\n",
        '            except ValueError as exc:\n'
        '                logs.event(\n'
        "                    'task_failed',\n",
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'interim answers are bounded',
        'plantainway/platform/_connections.py',
        'self._interim_answers > INTERIM_ANSWERS_MAX',
        'False',
        'tests/platform/test_connections.py',
    ),
    Mutant(
        'a connection on which an answer follows another is aborted',
        'plantainway/platform/_connections.py',
        'if self._has_answer:',
        'if False:',
        'tests/platform/test_connections.py',
    ),
    Mutant(
        'a connection that is ended is aborted',
        'plantainway/platform/_connections.py',
        'self.transport.abort()',
        'pass',
        'tests/platform/test_connections.py',
    ),
    Mutant(
        'a second refusal with the same id is not trusted',
        'plantainway/platform/_connections.py',
        'if request_id in self._refused_ids:',
        'if False:',
        'tests/platform/test_connections.py',
    ),
    Mutant(
        'a refusal without an id is not trusted',
        'plantainway/platform/_upstreams.py',
        'found.not_run and req.request_id and echoed is None',
        'False',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a plain request is sent to an upstream again on a new connection',
        'plantainway/traffic/_plain.py',
        'or name in state.sent_names',
        'or False',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'bytes without an event are no progress',
        'plantainway/traffic/_stream_attempt.py',
        '            if not events:\n                continue\n',
        '            self._timer.arm(5.0)\n'
        '            if not events:\n'
        '                continue\n',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a failure after a broken stream is not passed on',
        'plantainway/traffic/_stream.py',
        '        if state.is_started:\n'
        '            state.sink.abort(state.reason)\n',
        '        if False:\n            state.sink.abort(state.reason)\n',
        'tests/platform/test_end_labels.py',
    ),
    Mutant(
        'a stream that a relay began counts as begun',
        'plantainway/traffic/_stream_state.py',
        'return self.sink.is_started',
        'return bool(self.run_heads) and self.sink.is_started',
        'tests/traffic/test_stream.py',
    ),
    Mutant(
        'a relayed stream may have run',
        'plantainway/traffic/_stream_attempt.py',
        'state.attempts.record_sent(self._number, max_runs)',
        'state.attempts.record_sent(self._number, 0)',
        'tests/traffic/test_stream.py',
    ),
    Mutant(
        'bodies of answers to a node itself are bounded',
        'plantainway/sessions.py',
        'if size > max_bytes:',
        'if False:',
        'tests/platform/test_endless_answers.py',
    ),
    Mutant(
        'answers of the store are bounded',
        'plantainway/platform/_store.py',
        'if size > ANSWER_BYTES_MAX:',
        'if False:',
        'tests/platform/test_endless_answers.py',
    ),
    Mutant(
        'queued streams do not outlast a node that stops',
        'plantainway/traffic/_stream.py',
        '            scope.reschedule(self._loop_time_of('
        'self._latest_start(state)))\n',
        '            pass\n',
        'tests/platform/test_late_requests.py',
    ),
    Mutant(
        'late streams do not outlast a node that stops',
        'plantainway/traffic/_stream.py',
        'may_refuse = state.attempts.runs == 0 and not state.is_started',
        'may_refuse = False',
        'tests/platform/test_late_requests.py',
    ),
    Mutant(
        'a further signal does not end a node that stops',
        'plantainway/edge/_service.py',
        'service, log_config=False, catch_signals=()',
        'service, log_config=False',
        'tests/platform/test_node_processes.py',
    ),
    Mutant(
        'a plain runner that pauses gets no requests',
        'plantainway/traffic/_plain.py',
        '            and not self._deps.pauses.remaining_s(item.name)\n',
        '',
        'tests/platform/test_pauses.py',
    ),
    Mutant(
        'a head that pauses gets no requests',
        'plantainway/traffic/_heads.py',
        'pause_s = max(pause_s, FULL_BACKOFF_S)',
        'pause_s = FULL_BACKOFF_S',
        'tests/platform/test_pauses.py',
    ),
    Mutant(
        'a relayed stream that has arrived before is a retry',
        'plantainway/traffic/_stream.py',
        'if state.attempts.sends > state.unreached:',
        'if False:',
        'tests/platform/test_relayed_retries.py',
    ),
    Mutant(
        'relayed requests do not add to the budget',
        'plantainway/traffic/_gateway.py',
        'if not req.is_relayed:',
        'if True:',
        'tests/platform/test_relayed_retries.py',
    ),
    Mutant(
        'an entry does not bring a leaving runner back',
        'plantainway/edge/_view.py',
        'if self._leaving.get(upstream.name) == upstream.started_ms:\n'
        '                upstream =',
        'if False:\n                upstream =',
        'tests/platform/test_leaving.py',
    ),
    Mutant(
        'no head follows that of a begun answer',
        'plantainway/platform/_ingress.py',
        '        if sink.is_started:\n',
        '        if False:\n',
        'tests/platform/test_ingress.py',
    ),
    Mutant(
        'a failed handler sends no second response',
        'plantainway/api/_http.py',
        'if request.writer.output_size and not resp.prepared:',
        'if False:',
        'tests/api/test_http.py',
    ),
    Mutant(
        'a stream is requested from a head again on a new connection',
        'plantainway/traffic/_stream_attempt.py',
        'use_new_connection=head.name in state.sent_heads,',
        'use_new_connection=False,',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a new leader waits for entries after an outage',
        'plantainway/supply/_control.py',
        'if now < self._settles_at():',
        'if False:',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'a reserve of loads before the first request',
        'plantainway/supply/_pacing.py',
        'STARTUP_LOADS_RATIO = 2.5',
        'STARTUP_LOADS_RATIO = 4 / 3',
        'tests/supply/test_startup.py',
    ),
    Mutant(
        'a refusal whose body does not end stays a refusal',
        'plantainway/traffic/_plain.py',
        'if response.not_run:\n                self',
        'if False:\n                self',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a stream counts as a run from when it is sent',
        'plantainway/traffic/_attempts.py',
        '        self.runs += max_runs\n',
        '',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a stopping node closes its idle connections',
        'plantainway/platform/_ingress.py',
        '                handler.force_close()\n',
        '                pass\n',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a stopping node completes running answers',
        'plantainway/platform/_ingress.py',
        'if handler not in self._busy_handlers and not is_sending:',
        'if True:',
        'tests/platform/test_node_requests.py',
    ),
    Mutant(
        'a leader that paused past its lease does not extend it',
        'plantainway/cluster/_leadership.py',
        'if not self.is_leader() or now',
        'if now',
        'tests/cluster/test_leadership.py',
    ),
    Mutant(
        'the extension of leadership is limited in time',
        'plantainway/cluster/_leadership.py',
        'now - self._renewed_at > EXTENSIONS_MAX_S',
        'False',
        'tests/cluster/test_leadership.py',
    ),
    Mutant(
        'renewal in doubt is settled before the next',
        'plantainway/cluster/_leadership.py',
        '        if self._is_outcome_unknown:\n',
        '        if False:\n',
        'tests/cluster/test_leadership.py',
    ),
    Mutant(
        'an entry of the same or a later epoch overrides the leader',
        'plantainway/edge/_view.py',
        'known.membership.epoch >= member.epoch',
        'False',
        'tests/edge/test_view.py',
    ),
    Mutant(
        'warm spare leaves its group of one',
        'plantainway/supply/_warming.py',
        "if outcome == 'ready':",
        'if False:',
        'tests/supply/test_warming.py',
    ),
    Mutant(
        'a load that another leader began goes on',
        'plantainway/supply/_adoption.py',
        'if member is not None and not _warming.is_warmup(member.group):',
        'if member is not None:',
        'tests/supply/test_warming.py',
    ),
    Mutant(
        'values of a lower rank do not replace known ones',
        'plantainway/cluster/_follower.py',
        '        if rank >= known_rank:\n            return rank',
        '        if True:\n            return rank',
        'tests/cluster/test_follower.py',
    ),
    Mutant(
        'values that the store lacks are relayed',
        'plantainway/cluster/_follower.py',
        '            or row.key in self._kept_keys\n',
        '',
        'tests/cluster/test_follower.py',
    ),
    Mutant(
        'handlers of requests that were read begin before a stop',
        'plantainway/platform/_ingress.py',
        '        await asyncio.sleep(READ_REQUESTS_BEGIN_S)\n',
        '',
        'tests/platform/test_ingress_stop.py',
    ),
    Mutant(
        'later answer holds, not the one that arrives later',
        'plantainway/ratelimits/_book.py',
        'if known is None or entry.observed_at > known.observed_at:',
        'if True:',
        'tests/ratelimits',
    ),
    Mutant(
        'observations count as sent as early as they can have been',
        'plantainway/ratelimits/_book.py',
        'observed_at = now - delay_s - item.age_ms / 1000',
        'observed_at = now - item.age_ms / 1000',
        'tests/ratelimits',
    ),
    Mutant(
        'old observations are not taken',
        'plantainway/ratelimits/_book.py',
        'or now - entry.observed_at > OBSERVATION_TTL_S',
        'or False',
        'tests/ratelimits',
    ),
    Mutant(
        'limits belong to an incarnation',
        'plantainway/ratelimits/_book.py',
        'if entry is None or entry.started_ms != upstream.started_ms:',
        'if entry is None:',
        'tests/ratelimits',
    ),
    Mutant(
        'shares of silent nodes are held back',
        'plantainway/ratelimits/_issuer.py',
        'count += min(shares[upstream], largest)',
        'count += 0',
        'tests/ratelimits',
    ),
    Mutant(
        'shares unknown to a new leader are held back',
        'plantainway/ratelimits/_issuer.py',
        'len(self._unaccounted) * largest,',
        '0,',
        'tests/ratelimits',
    ),
    Mutant(
        'equal parts of later limits are held back',
        'plantainway/ratelimits/_issuer.py',
        'count += sum(quotas[node] for node in later)',
        'count += 0',
        'tests/ratelimits',
    ),
    Mutant(
        'a new leader holds nothing back for itself',
        'plantainway/edge/_permits.py',
        'others - {self._node}, ',
        'others, ',
        'tests/edge/test_permits.py',
    ),
    Mutant(
        'shares end in time',
        'plantainway/ratelimits/_shares.py',
        'not self._is_in_touch and self._clock.now() < self._valid_until',
        'not self._is_in_touch',
        'tests/ratelimits',
    ),
    Mutant(
        'requests sent before count against a share',
        'plantainway/ratelimits/_shares.py',
        'return self._sent_count(upstream) < self._share(upstream)',
        'return bool(self._share(upstream))',
        'tests/ratelimits',
    ),
    Mutant(
        'limited heads need a permit',
        'plantainway/traffic/_heads.py',
        'return self._rates.split(heads)',
        'return heads, []',
        'tests/traffic/test_heads.py',
    ),
    Mutant(
        'answers of another runner at the address name no limit',
        'plantainway/platform/_upstreams.py',
        '        if resp.status == STATUS_MISDIRECTED:\n            return\n'
        '        self._handle_leaving',
        '        self._handle_leaving',
        'tests/platform/test_rate_limits.py',
    ),
    Mutant(
        'a late loop listens before a timer expires',
        'plantainway/loops.py',
        'if is_late and self._rounds < LISTEN_ROUNDS_MAX:',
        'if False:',
        'tests/test_loops.py',
    ),
    Mutant(
        'a due timer lets readers run',
        'plantainway/loops.py',
        'self._handle = self._loop.call_at(due_at, self._expire, due_at)',
        'self._expire(self._loop.time())',
        'tests/test_loops.py',
    ),
    Mutant(
        'a late leader hears its witnesses',
        'plantainway/edge/_witness.py',
        'async with loops.timeout(ANSWER_TIMEOUT_S):',
        'async with asyncio.timeout(ANSWER_TIMEOUT_S):',
        'tests/edge/test_late_node.py',
    ),
    Mutant(
        'a late node links to a leader that accepts',
        'plantainway/cluster/_hub.py',
        'async with loops.timeout(LINK_TIMEOUT_S):\n                conn =',
        'async with asyncio.timeout(LINK_TIMEOUT_S):\n                conn =',
        'tests/cluster/test_late_links.py',
    ),
    Mutant(
        'a late node reads updates before it leaves its leader',
        'plantainway/cluster/_hub.py',
        'async with loops.timeout(LINK_TIMEOUT_S):\n'
        '                    data =',
        'async with asyncio.timeout(LINK_TIMEOUT_S):\n'
        '                    data =',
        'tests/cluster/test_late_links.py',
    ),
    Mutant(
        'a late node reads the permit it was given',
        'plantainway/cluster/_hub.py',
        'async with loops.timeout(PERMIT_TIMEOUT_S):',
        'async with asyncio.timeout(PERMIT_TIMEOUT_S):',
        'tests/cluster/test_late_links.py',
    ),
    Mutant(
        'a late node reads what the store has answered',
        'plantainway/platform/_store.py',
        'timer.arm(CALL_TIMEOUT_S + wait_s)',
        'scope.reschedule(loop.time() + CALL_TIMEOUT_S + wait_s)',
        'tests/platform/test_late_store_calls.py',
    ),
    Mutant(
        'a late node reads the rest of a body',
        'plantainway/platform/_store.py',
        'async with loops.timeout(BODY_TIMEOUT_S):',
        'async with asyncio.timeout(BODY_TIMEOUT_S):',
        'tests/platform/test_late_store_calls.py',
    ),
    Mutant(
        'a renewal that was not sent is not late',
        'plantainway/edge/_election.py',
        'if self._first_tried_at is None:\n            return False\n',
        'if self._first_tried_at is None:\n            return True\n',
        'tests/edge/test_election.py',
    ),
    Mutant(
        'a renewal that was just sent is not late',
        'plantainway/edge/_election.py',
        'self._first_tried_at + RENEWAL_ANSWER_S,',
        'self._first_tried_at,',
        'tests/edge/test_election.py',
    ),
    Mutant(
        'a late leader reads heartbeats before nodes are gone',
        'plantainway/cluster/_hub.py',
        '        now = self._listened_at\n',
        '        now = None\n',
        'tests/cluster/test_late_links.py',
    ),
    Mutant(
        'a silent stream waits while no other attempt may be opened',
        'plantainway/traffic/_attempts.py',
        '        if self._phases:\n'
        '            return Decision(Action.WAIT, now + RECHECK_S)\n',
        '',
        'tests/traffic/test_attempts.py tests/platform/test_silent_streams.py',
    ),
    Mutant(
        'an attempt that delivers an event closes the others',
        'plantainway/traffic/_stream_attempt.py',
        '            state.tasks[number].cancel()\n',
        '            pass\n',
        'tests/platform/test_silent_streams.py',
    ),
    Mutant(
        'a silent plain request is tried at another runner',
        'plantainway/traffic/_plain.py',
        '            self._timer.arm(',
        '            tuple, (',
        'tests/platform/test_silent_plain.py',
    ),
    Mutant(
        'plain requests do not expire while their node does not run',
        'plantainway/traffic/_plain.py',
        'async with loops.timeout(',
        'async with asyncio.timeout(',
        'tests/platform/test_silent_plain.py',
    ),
    Mutant(
        'a plain attempt that is not sent takes no retry',
        'plantainway/traffic/_plain.py',
        'if self._upstream and self._may_send(state.attempts.sends > 0):',
        'if self._may_send(state.attempts.sends > 0) and self._upstream:',
        'tests/platform/test_silent_plain.py',
    ),
    Mutant(
        'no plain attempt outlasts its request',
        'plantainway/traffic/_plain.py',
        '            await _cancel_all(state.tasks.values())\n',
        '            pass\n',
        'tests/platform/test_silent_plain.py',
    ),
    Mutant(
        'a runner that was full is asked again beside a silent one',
        'plantainway/traffic/_plain.py',
        '        state.tried_names = set(state.run_names)\n',
        '',
        'tests/platform/test_silent_plain.py',
    ),
    Mutant(
        'a refused attempt is made again after a pause',
        'plantainway/traffic/_attempts.py',
        '        if may_open and now >= self._retry_at:',
        '        if may_open:',
        'tests/traffic/test_attempts.py',
    ),
    Mutant(
        'another attempt does not go to a head with an open one',
        'plantainway/traffic/_stream.py',
        'state.excluded_heads | state.open_heads',
        'state.excluded_heads',
        'tests/platform/test_silent_streams.py',
    ),
    Mutant(
        'refused sends beside a silent attempt are limited',
        'plantainway/traffic/_attempts.py',
        'if self._phases and self.refusals >= MAX_REFUSALS:',
        'if False:',
        'tests/traffic/test_attempts.py',
    ),
    Mutant(
        'prompts ahead are no silence of a head',
        'plantainway/traffic/_stream_attempt.py',
        '        if queue_wait_s > 0:',
        '        if False:',
        'tests/platform/test_silent_streams.py',
    ),
    Mutant(
        'lost links excuse only runs at heads of this node',
        'plantainway/traffic/_stream.py',
        'return len(state.run_heads)',
        'return 1000',
        'tests/traffic/test_stream.py',
    ),
    Mutant(
        'an answer whose end is being sent is not aborted',
        'plantainway/traffic/_stream.py',
        '        if state.sink.is_finished:',
        '        if False:',
        'tests/traffic/test_stream.py',
    ),
    Mutant(
        'a head that opens gets at most twice its part',
        'plantainway/traffic/_placement.py',
        '[min(max(room, 0.0), most) for room in rooms]',
        '[max(room, 0.0) for room in rooms]',
        'tests/traffic/test_placement.py',
    ),
    Mutant(
        'heads are drawn by their room',
        'plantainway/traffic/_placement.py',
        'return rng.choices(heads, weights)[0]',
        'return heads[weights.index(max(weights))]',
        'tests/traffic/test_heads.py',
    ),
    Mutant(
        'the burst of a cold upstream is derived from the margin',
        'plantainway/ratelimits/_cold.py',
        'return max(allowed - evenly - 1, 0.0)',
        'return 100.0',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'a row version counts once',
        'plantainway/ratelimits/_cold.py',
        'if self._row_versions.get(upstream.name) == row_version:',
        'if False:',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'an earlier end does not shorten a cold state',
        'plantainway/ratelimits/_cold.py',
        'earliest = known.ends_at + EXTENSION_MIN_S',
        'earliest = now',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'older incarnations do not make an upstream cold',
        'plantainway/ratelimits/_cold.py',
        'if known is not None and started_ms < known.started_ms:',
        'if False:',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'what the leader has sent is not sent back',
        'plantainway/ratelimits/_cold.py',
        'if state.source is _Source.ANSWER',
        'if True',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'a leader that does not know of a cold upstream limits it',
        'plantainway/ratelimits/_book.py',
        'return self.cold.rate_of(name) if found is None else found',
        'return found',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'parts of a cold rate of absent nodes are held back',
        'plantainway/ratelimits/_issuer.py',
        'return sum(quotas[node] for node in absent)',
        'return 0',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'shares of a cold upstream hold in any second',
        'plantainway/ratelimits/_shares.py',
        'self._equal_part(units(cold_per_s, _cold.COLD_WINDOW_S))',
        'self._equal_part(units(cold_per_s))',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'shares of a cold upstream begin when the leader holds them back',
        'plantainway/ratelimits/_shares.py',
        'if self._clock.now() < self._cold_from:',
        'if False:',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'parts are held back for a window after a node is back',
        'plantainway/ratelimits/_issuer.py',
        'self._returned[node] = now + _cold.COLD_WINDOW_S',
        'self._returned.pop(node, None)',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'odd fields on cold upstreams count as 0',
        'plantainway/platform/_messages.py',
        '        return _COLD_FIELD.validate_python(value) or 0.0\n'
        '    except pydantic.ValidationError:\n',
        '        return _COLD_FIELD.validate_python(value) or 0.0\n'
        '    except ZeroDivisionError:\n',
        'tests/platform/test_messages.py',
    ),
    Mutant(
        'an unreadable cold time is logged once',
        'plantainway/platform/_upstreams.py',
        '        if name in self._unreadable_cold:\n            return\n',
        '',
        'tests/platform/test_cold_engines.py',
    ),
    Mutant(
        'what is held back of cold rates is kept for a tick',
        'plantainway/ratelimits/_issuer.py',
        '        if per_second not in self._cold_held_back:\n',
        '        if True:\n',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'a lost node changes what is held back at once',
        'plantainway/ratelimits/_issuer.py',
        'heard_at + RESERVATION_TTL_S, shares)\n'
        '        self._cold_held_back.clear()\n',
        'heard_at + RESERVATION_TTL_S, shares)\n',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'a request looks at the shares of its candidates only',
        'plantainway/ratelimits/_shares.py',
        'return self._sent_count(upstream) < self._share(upstream)',
        'return self._sent_count(upstream) < self.shares().get(upstream, 0)',
        'tests/ratelimits/test_cold.py',
    ),
    Mutant(
        'equal parts of cold rates beside a leader of an earlier build',
        'plantainway/edge/_permits.py',
        '        if update.cold is None:\n',
        '        if False:\n',
        'tests/edge/test_permits.py',
    ),
    Mutant(
        'a late permit for a cold upstream is dropped',
        'plantainway/edge/_permits.py',
        'if late_s <= PERMIT_LATE_MAX_S or not is_cold:',
        'if True:',
        'tests/edge/test_permits.py',
    ),
    Mutant(
        'the cold time alone changes no upstream',
        'plantainway/deployment/_upstreams.py',
        'cold_left_ms: int = dataclasses.field(default=0, compare=False)',
        'cold_left_ms: int = 0',
        'tests/platform/test_messages.py tests/edge/test_view.py',
    ),
    Mutant(
        'zone checked after the wait for a permit, streams',
        'plantainway/traffic/_stream.py',
        '        while self._deps.upstreams.is_evacuated(reservation.head):',
        '        while False:',
        'tests/platform/test_evacuation.py',
    ),
    Mutant(
        'zone checked after the wait for a permit, plain services',
        'plantainway/traffic/_plain.py',
        '            if not deps.upstreams.is_evacuated(chosen):',
        '            if True:',
        'tests/platform/test_evacuation.py',
    ),
    Mutant(
        'upstreams of evacuated zones are left out',
        'plantainway/deployment/_upstreams.py',
        'return not upstream.draining and not self.is_evacuated(upstream)',
        'return not upstream.draining',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'only open heads are checked for evacuation',
        'plantainway/deployment/_upstreams.py',
        '            for item in self._find_heads(service, model)\n'
        '            if self._is_available(item)\n',
        '            for item in self.find_available(service)\n'
        '            if item.is_open_head\n'
        '            and item.membership.model == model\n',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'waiting requests are dispatched again after an evacuation',
        'plantainway/edge/_view.py',
        "            logs.event('evacuation_ended', zone=zone)\n"
        '        for listener in self.on_upstreams_changed:\n',
        "            logs.event('evacuation_ended', zone=zone)\n"
        '        for listener in ():\n',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'an evacuation is logged once',
        'plantainway/edge/_view.py',
        '        if zones == known:\n            return\n',
        '',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'a row lost in a restore stays in force',
        'plantainway/cluster/_follower.py',
        'if not self._is_kept_if_missing(self.rows[key], version)\n',
        'if True\n',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'a row of the current era that is missing was removed',
        'plantainway/platform/_store.py',
        'and known_version >> ERA_SHIFT < version >> ERA_SHIFT',
        'and True',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'a lost row reaches nodes whose table is newer',
        'plantainway/cluster/_follower.py',
        '            self._add_missing(reading.rows)\n',
        '',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'a row is not added again after its removal',
        'plantainway/cluster/_follower.py',
        'return row.version > self._removed_versions.get(row.key, -1)',
        'return True',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'remembered removals are bounded',
        'plantainway/cluster/_follower.py',
        'if len(self._removed_versions) > REMOVALS_KEPT_MAX:',
        'if False:',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'a row that a restored store does not confirm ends',
        'plantainway/cluster/_follower.py',
        '        self._update_confirmations(now)\n',
        '',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'a row that has ended unconfirmed is not added again',
        'plantainway/cluster/_follower.py',
        '                self._record_removal(key, self.version)\n',
        '',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'repeated snapshots do not prolong an unconfirmed row',
        'plantainway/cluster/_follower.py',
        'key: known.get(key, now + CONFIRMATION_TIMEOUT_S)',
        'key: now + CONFIRMATION_TIMEOUT_S',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'a lost row is logged once',
        'plantainway/cluster/_follower.py',
        'for key in self._confirm_by.keys() - known.keys():',
        'for key in self._confirm_by:',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'a lost row is relayed',
        'plantainway/cluster/_follower.py',
        '            or self._is_kept_if_missing(row, self.version)\n',
        '',
        'tests/edge/test_evacuation.py',
    ),
    Mutant(
        'groups in evacuated domains are no capacity',
        'plantainway/supply/_plan.py',
        'self.current.get(model, 0) - self.evacuated.get(model, 0)',
        'self.current.get(model, 0)',
        'tests/supply/test_plan.py tests/supply/test_control.py',
    ),
    Mutant(
        'evacuated domains get no groups in place of others',
        'plantainway/supply/_plan.py',
        'serving = [domain for domain in domains if not domain.is_evacuated]',
        'serving = domains',
        'tests/supply/test_plan.py',
    ),
    Mutant(
        'lost groups of evacuated domains are replaced',
        'plantainway/supply/_plan.py',
        '        while domain.missing[model.name] > 0:',
        '        while False:',
        'tests/supply/test_plan.py tests/supply/test_control.py',
    ),
    Mutant(
        'spares of evacuated domains load nothing',
        'plantainway/supply/_plan.py',
        '        if view.is_evacuated:\n            continue\n',
        '',
        'tests/supply/test_plan.py',
    ),
    Mutant(
        'groups of an evacuated domain are recorded when that begins',
        'plantainway/supply/_control.py',
        'if is_planned or view.domain not in self._kept_groups:',
        'if True:',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'evacuated groups are counted',
        'plantainway/supply/_control.py',
        '                    evacuated += view.count_groups()',
        '                    pass',
        'tests/supply/test_control.py',
    ),
    Mutant(
        'a donor keeps what its peak needs',
        'plantainway/supply/_balance.py',
        '    if left < 1 or demand.peak.get(name, '
        '0.0) * DONOR_HEADROOM > left:\n',
        '    if left < 1:\n',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'moves end at equal utilisation',
        'plantainway/supply/_balance.py',
        '    return demand.mean.get(name, 0.0) / left <= demand.mean[\n'
        '        pair.receiver.name\n'
        '    ] / (pair.groups + move.gained)\n',
        '    return True\n',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'models within a factor see no move',
        'plantainway/supply/_balance.py',
        'used >= MIN_IMBALANCE_RATIO * donor_used',
        'used > donor_used',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'little used models gain nothing',
        'plantainway/supply/_balance.py',
        '        if used < MIN_UTILIZATION:\n',
        '        if used <= 0.0:\n',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'a model that has gained groups gives none away',
        'plantainway/supply/_balance.py',
        '            if self._held_until.get(pair.donor.name, now) <= now\n',
        'if True\n',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'one move at a time in a domain',
        'plantainway/supply/_balance.py',
        'free = [view for view in views if view.domain not in self._moves]',
        'free = views',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'loads of all moves fit the weight store',
        'plantainway/supply/_balance.py',
        'if not pending_loads or pending_loads + loads <= max_loads:',
        'if True:',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'no move in a domain where a group is formed',
        'plantainway/supply/_balance.py',
        '            record.opened and record.closing_since is None\n'
        '            for',
        '            True\n            for',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'other spares do not form the groups of a move',
        'plantainway/supply/_balance.py',
        '                    - missing.get(name, 0),\n',
        '                    - 0,\n',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'a new leader keeps what has been moved',
        'plantainway/supply/_balance.py',
        'self._corrections = '
        '_standing_corrections(profile, targets, standing)',
        'self._corrections = {}',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'groups of a move are formed by the new leader, too',
        'plantainway/supply/_balance.py',
        '                if formable > 0 and '
        'view.domain not in self._moves:\n',
        '                if False:\n',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'a failed move gives the donor its groups back',
        'plantainway/supply/_balance.py',
        '        if not pairs and not self._moves:\n',
        '        if False:\n',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'a move without enough engines ends',
        'plantainway/supply/_balance.py',
        '        or len(_ungrouped_engines(view)) >= receiver.members\n',
        '        or True\n',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'a failed move keeps the target of the receiver',
        'plantainway/supply/_balance.py',
        '-= min(missing, added)',
        '-= missing',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'spares do not load in place of engines that leave',
        'plantainway/supply/_balance.py',
        '            if _has_leaving(view) or any(\n'
        '                name in view.groups for name '
        'in progress.move.closing\n'
        '            ):\n',
        '            if False:\n',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'no move begins on old entries',
        'plantainway/supply/_control.py',
        'if now - as_of <= STALE_ENTRIES_S and '
        'self._is_registration_done(now):',
        'if self._is_registration_done(now):',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'demand of an earlier term is dropped',
        'plantainway/supply/_control.py',
        '        self._demand.clear()\n',
        '',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'no move between models begins while a domain is evacuated',
        'plantainway/supply/_balance.py',
        'if demand is None or any(view.is_evacuated for view in views):',
        'if demand is None:',
        'tests/supply/test_balance.py',
    ),
    Mutant(
        'heads where a request is late weigh less',
        'plantainway/traffic/_heads.py',
        'self._rng, late_heads)',
        'self._rng)',
        'tests/traffic/test_heads.py',
    ),
    Mutant(
        'the wait for a slot counts in the expected time',
        'plantainway/traffic/_admission.py',
        'max(held - slots + 1, 0)',
        '0',
        'tests/traffic/test_admission.py',
    ),
    Mutant(
        'old averages of first events do not count',
        'plantainway/traffic/_stalls.py',
        '> OBSERVED_FOR_S',
        '> 1e9',
        'tests/traffic/test_heads.py',
    ),
    Mutant(
        'the expected start orders waiting requests',
        'plantainway/traffic/_heads.py',
        'self._update_start_latency(queue, unlimited)',
        'pass',
        'tests/traffic/test_heads.py',
    ),
)


def _run(mutant: Mutant) -> bool:
    """Returns whether a test fails in a copy of the tree without the guard."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in ('plantainway', 'tests', 'benchmarks', 'examples'):
            shutil.copytree(ROOT / name, copy / name)
        for name in ('pyproject.toml', 'KNOWN-RED.txt'):
            shutil.copy(ROOT / name, copy)
        path = copy / mutant.path
        text = path.read_text()
        if mutant.guard not in text:
            raise ValueError(
                f'{mutant.name}: guard not found in {mutant.path}'
            )
        path.write_text(text.replace(mutant.guard, mutant.instead, 1))
        found = subprocess.run(
            [sys.executable, '-m', 'pytest', '-x', *mutant.tests.split()],
            cwd=copy,
            env={'PYTHONPATH': folder, 'PATH': '/usr/bin:/bin'},
            capture_output=True,
            text=True,
        )
        if found.returncode not in (TESTS_PASSED, TESTS_FAILED):
            raise RuntimeError(
                f'{mutant.name}: the tests did not run: {found.stdout[-500:]}'
            )
        red = [
            line.split(' - ')[0].removeprefix('FAILED ')
            for line in found.stdout.splitlines()
            if line.startswith('FAILED ')
        ]
        print(f'{mutant.name} | {red[0] if red else "NO TEST TURNS RED"}')
        return bool(red)


def main(part: str = '') -> int:
    """Runs the tests of each mutant and prints the first failed test.

    Args:
        part: Substring of the paths to mutate; all paths by default.

    Returns:
        0 if every mutant fails a test, otherwise 1.
    """
    tried = [mutant for mutant in MUTANTS if part in mutant.path]
    return 0 if all([_run(mutant) for mutant in tried]) else 1


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
