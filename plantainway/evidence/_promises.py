"""Judging the promises from records alone.

Each check replays what a node noted before it acted; it shares no code
with the guards that it checks.
"""

import collections
import dataclasses

SIGHTING_MAX_MS = 3000
LEAVING_MAX_S = 3.0
IN_FORCE_MAX_S = 11.0
HELD = 'held'
BROKEN = 'broken'
NOT_KNOWN = 'not_known'


@dataclasses.dataclass(frozen=True)
class PromiseVerdict:
    """Answer for one promise.

    ``records`` holds the records that show a breach, ``gaps`` the reasons
    why the answer can't be known.
    """

    promise: str
    text: str
    state: str
    checked: int
    records: list
    gaps: list

    def to_dict(self) -> dict:
        """Returns the answer as it is sent to operators."""
        return dataclasses.asdict(self)


def _streams(records):
    """Groups records by the node incarnation that wrote them, in order."""
    streams = collections.defaultdict(list)
    for record in records:
        streams[(record['node'], record['incarnation'])].append(record)
    return streams


def _check_serving(data):
    """Finds sends to a copy with a member missing."""
    checked = 0
    found = []
    for stream in _streams(data.records).values():
        vms = {}
        copies = {}
        for record in stream:
            if record['kind'] == 'vm_view':
                vms[record['vm']] = record
            elif record['kind'] == 'copy_view':
                copies[record['copy']] = record
            elif record['kind'] == 'send' and record.get('copy'):
                checked += 1
                copy = copies.get(record['copy'])
                if not _whole(record, copy, vms):
                    found.append(record)
    return checked, found


def _whole(send, copy, vms) -> bool:
    if copy is None or copy['token'] != send['token']:
        return False
    if copy['state'] != 'serving' or send['oldest_ms'] > SIGHTING_MAX_MS:
        return False
    for vm, boot in copy['members']:
        view = vms.get(vm)
        if view is None or not view['ok'] or view['boot'] != boot:
            return False
        if (view['copy'], view['token']) != (copy['copy'], copy['token']):
            return False
    return True


def _check_exclusive(data):
    """Finds VMs that two copies held at once."""
    found = []
    owners = {}
    for audit in data.audits:
        claims = {
            vm: copy['copy_id']
            for copy in audit['copies']
            for vm, _boot in copy['members']
        }
        frees = {hold['vm'] for hold in audit['holds'] if not hold['copy_id']}
        for vm, copy in claims.items():
            owner = owners.get(vm, '')
            if owner and owner != copy:
                found.append(audit)
            owners[vm] = copy
        for vm in frees - set(claims):
            owners[vm] = ''
    return len(data.audits), found


def _check_whole_answers(data):
    """Finds answers that were called whole and were not."""
    checked = 0
    found = []
    for record in data.records:
        if record['kind'] == 'answer' and record['outcome'] == 'whole':
            checked += 1
            if (
                record['pieces'] != record['end']
                or record['account'] != record['sent_for']
            ):
                found.append(record)
    return checked, found


def _check_not_run(data):
    """Finds requests refused as not run that had been sent."""
    sent = collections.Counter()
    for record in data.records:
        if record['kind'] == 'send':
            sent[record['req']] += 1
        elif record['kind'] == 'unsent':
            sent[record['req']] -= 1
    refused = [r for r in data.records if r['kind'] == 'refuse']
    return len(refused), [r for r in refused if sent[r['req']] > 0]


def _check_once(data):
    """Finds non-idempotent requests that were sent twice."""
    sends = collections.defaultdict(list)
    unsent = collections.Counter()
    for record in data.records:
        if record['kind'] == 'send' and record.get('key'):
            sends[record['key']].append(record)
        elif record['kind'] == 'unsent' and record.get('key'):
            unsent[record['key']] += 1
    found = []
    for key, records in sends.items():
        if len(records) - unsent[key] > 1:
            found += records
    return len(sends), found


def _check_leaving(data):
    """Finds new work sent to an upstream long after it was leaving."""
    checked = 0
    found = []
    for stream in _streams(data.records).values():
        since = {}
        for record in stream:
            if record['kind'] == 'leaving':
                since.setdefault(record['upstream'], record['at'])
            elif record['kind'] == 'staying':
                since.pop(record['upstream'], None)
            elif record['kind'] == 'send':
                checked += 1
                late = [
                    name
                    for name in record['upstreams']
                    if name in since
                    and record['at'] - since[name] > LEAVING_MAX_S
                ]
                if late:
                    found.append(record)
    return checked, found


def _check_graceful(data):
    """Finds answers that a planned stop cut off."""
    stops = 0
    found = []
    for record in data.records:
        if record['kind'] in ('drain_begin', 'copy_drained'):
            stops += 1
        elif record['kind'] == 'cut' and record['planned']:
            found.append(record)
    return stops, found


def _check_revisions(data):
    """Finds nodes that went back, or were late to a revision."""
    checked = 0
    found = []
    committed = {
        record['revision']: record['wall']
        for record in data.records
        if record['kind'] == 'committed'
    }
    for stream in _streams(data.records).values():
        current = 0
        for record in stream:
            if record['kind'] != 'in_force':
                continue
            checked += 1
            number = record['revision']
            at = committed.get(number)
            late = (
                at is not None
                and current > 0
                and (record['wall'] - at > IN_FORCE_MAX_S)
            )
            if number < current or late:
                found.append(record)
            current = max(current, number)
    return checked, found


PROMISES = {
    'whole-groups': (
        'No replica group serves while a member is missing',
        _check_serving,
    ),
    'exclusive-vms': ('No VM belongs to two groups', _check_exclusive),
    'whole-answers': (
        'Every caller receives the whole answer to its own request',
        _check_whole_answers,
    ),
    'true-refusals': (
        'A request refused as not run did not run',
        _check_not_run,
    ),
    'at-most-once': ('Non-idempotent work runs at most once', _check_once),
    'leaving-upstreams': (
        'A leaving upstream receives no new work after a few seconds',
        _check_leaving,
    ),
    'graceful-stops': (
        'A planned stop cuts off no request in progress',
        _check_graceful,
    ),
    'lasting-revisions': (
        'An accepted configuration is in force everywhere and stays',
        _check_revisions,
    ),
}


@dataclasses.dataclass(frozen=True)
class CollectedEvidence:
    """Records of all nodes, audit rows of all shards, and the gaps."""

    records: list
    audits: list
    gaps: list
    audit_gaps: list


def evaluate_promise(data: CollectedEvidence, promise: str) -> PromiseVerdict:
    """Answers for one promise.

    Args:
        data: Records of the period.
        promise: Name of the promise.

    Returns:
        ``broken`` if a record shows a breach, otherwise ``not_known`` if
        records are missing, otherwise ``held``.
    """
    text, check = PROMISES[promise]
    checked, found = check(data)
    gaps = data.audit_gaps if promise == 'exclusive-vms' else data.gaps
    state = BROKEN if found else NOT_KNOWN if gaps else HELD
    return PromiseVerdict(promise, text, state, checked, found, list(gaps))
