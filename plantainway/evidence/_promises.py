"""Evaluation of the promises from records alone.

Each check replays what a node recorded before it acted, and shares no code
with the runtime guards that it verifies. It returns the number of cases
checked and the records that show a breach.
"""

import collections
import dataclasses

OBSERVATION_MAX_AGE_MS = 3000
LEAVING_GRACE_S = 3.0
REVISION_MAX_DELAY_S = 11.0
HELD = 'held'
BROKEN = 'broken'
NOT_KNOWN = 'not_known'


@dataclasses.dataclass(frozen=True)
class PromiseVerdict:
    """Verdict on one promise.

    ``state`` is ``held``, ``broken`` or ``not_known``. ``checked`` is the
    number of cases checked, ``records`` holds the records that show a breach,
    and ``gaps`` lists missing evidence, without which ``held`` can't be known.
    """

    promise: str
    text: str
    state: str
    checked: int
    records: list
    gaps: list

    def to_dict(self) -> dict:
        """Returns the fields of the verdict, as sent to operators."""
        return dataclasses.asdict(self)


def _records_by_incarnation(records):
    """Groups records by node incarnation, each group in recorded order."""
    streams = collections.defaultdict(list)
    for record in records:
        streams[(record['node'], record['incarnation'])].append(record)
    return streams


def _check_whole_groups(evidence):
    """Finds requests sent to a copy that was not whole.

    The node's own view counts, as recorded before the request was sent.
    """
    checked = 0
    breaches = []
    for stream in _records_by_incarnation(evidence.records).values():
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
                if not _is_whole(record, copy, vms):
                    breaches.append(record)
    return checked, breaches


def _is_whole(send, copy, vms) -> bool:
    """Returns whether a copy had all members when a request was sent to it.

    Every member must be reachable, with the same boot, and claimed by the same
    copy and fencing token, all by observations not older than
    ``OBSERVATION_MAX_AGE_MS``.
    """
    if copy is None or copy['token'] != send['token']:
        return False
    if (
        copy['state'] != 'serving'
        or send['oldest_ms'] > OBSERVATION_MAX_AGE_MS
    ):
        return False
    for vm, boot in copy['members']:
        view = vms.get(vm)
        if view is None or not view['ok'] or view['boot'] != boot:
            return False
        if (view['copy'], view['token']) != (copy['copy'], copy['token']):
            return False
    return True


def _check_exclusive_vms(evidence):
    """Finds audit rows in which a copy claims a VM that another still holds.

    A VM changes its owner only after an audit row shows it as free.
    """
    breaches = []
    owners = {}
    for audit in evidence.audits:
        claims = {
            vm: copy['copy_id']
            for copy in audit['copies']
            for vm, _boot in copy['members']
        }
        freed = {hold['vm'] for hold in audit['holds'] if not hold['copy_id']}
        for vm, copy in claims.items():
            owner = owners.get(vm, '')
            if owner and owner != copy:
                breaches.append(audit)
            owners[vm] = copy
        for vm in freed - set(claims):
            owners[vm] = ''
    return len(evidence.audits), breaches


def _check_whole_answers(evidence):
    """Finds answers recorded as whole that lack pieces or were misdirected.

    The pieces delivered must match the end of the answer, and the client
    account must be the one for which the request was sent.
    """
    checked = 0
    breaches = []
    for record in evidence.records:
        if record['kind'] == 'answer' and record['outcome'] == 'whole':
            checked += 1
            if (
                record['pieces'] != record['end']
                or record['account'] != record['sent_for']
            ):
                breaches.append(record)
    return checked, breaches


def _check_true_refusals(evidence):
    """Finds requests refused as not run although they had been sent.

    An ``unsent`` record cancels one send that did not reach the upstream.
    """
    sent = collections.Counter()
    for record in evidence.records:
        if record['kind'] == 'send':
            sent[record['req']] += 1
        elif record['kind'] == 'unsent':
            sent[record['req']] -= 1
    refused = [r for r in evidence.records if r['kind'] == 'refuse']
    return len(refused), [r for r in refused if sent[r['req']] > 0]


def _check_at_most_once(evidence):
    """Finds non-idempotent requests, identified by key, sent more than once.

    An ``unsent`` record cancels one send that did not reach the upstream.
    """
    sends = collections.defaultdict(list)
    unsent = collections.Counter()
    for record in evidence.records:
        if record['kind'] == 'send' and record.get('key'):
            sends[record['key']].append(record)
        elif record['kind'] == 'unsent' and record.get('key'):
            unsent[record['key']] += 1
    breaches = []
    for key, records in sends.items():
        if len(records) - unsent[key] > 1:
            breaches += records
    return len(sends), breaches


def _check_leaving_upstreams(evidence):
    """Finds work sent to an upstream after its leaving grace period.

    The period of ``LEAVING_GRACE_S`` starts when the node records that the
    upstream is leaving.
    """
    checked = 0
    breaches = []
    for stream in _records_by_incarnation(evidence.records).values():
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
                    and record['at'] - since[name] > LEAVING_GRACE_S
                ]
                if late:
                    breaches.append(record)
    return checked, breaches


def _check_graceful_stops(evidence):
    """Finds answers cut off by a planned stop.

    The number of cases is the number of planned stops.
    """
    stops = 0
    breaches = []
    for record in evidence.records:
        if record['kind'] in ('drain_begin', 'copy_drained'):
            stops += 1
        elif record['kind'] == 'cut' and record['planned']:
            breaches.append(record)
    return stops, breaches


def _check_lasting_revisions(evidence):
    """Finds nodes that returned to an older revision or applied one late.

    Late is more than ``REVISION_MAX_DELAY_S`` after the commit. The first
    revision of a node incarnation is never late.
    """
    checked = 0
    breaches = []
    committed = {
        record['revision']: record['wall']
        for record in evidence.records
        if record['kind'] == 'committed'
    }
    for stream in _records_by_incarnation(evidence.records).values():
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
                and (record['wall'] - at > REVISION_MAX_DELAY_S)
            )
            if number < current or late:
                breaches.append(record)
            current = max(current, number)
    return checked, breaches


PROMISES = {
    'whole-groups': (
        'No replica group serves while a member is missing',
        _check_whole_groups,
    ),
    'exclusive-vms': ('No VM belongs to two groups', _check_exclusive_vms),
    'whole-answers': (
        'Every caller receives the whole answer to its own request',
        _check_whole_answers,
    ),
    'true-refusals': (
        'A request refused as not run did not run',
        _check_true_refusals,
    ),
    'at-most-once': (
        'Non-idempotent work runs at most once',
        _check_at_most_once,
    ),
    'leaving-upstreams': (
        'A leaving upstream receives no new work after a few seconds',
        _check_leaving_upstreams,
    ),
    'graceful-stops': (
        'A planned stop cuts off no request in progress',
        _check_graceful_stops,
    ),
    'lasting-revisions': (
        'An accepted configuration is in force everywhere and stays',
        _check_lasting_revisions,
    ),
}


@dataclasses.dataclass(frozen=True)
class CollectedEvidence:
    """Records of all nodes and audit rows of all shards for a period.

    ``gaps`` lists the gaps in the records, ``audit_gaps`` those in the audit
    rows.
    """

    records: list
    audits: list
    gaps: list
    audit_gaps: list


def evaluate_promise(
    evidence: CollectedEvidence, promise: str
) -> PromiseVerdict:
    """Evaluates one promise against the evidence of a period.

    Args:
        evidence: Evidence of the period.
        promise: Key of ``PROMISES``.

    Returns:
        The verdict. Its state is ``broken`` if a record shows a breach,
        otherwise ``not_known`` if evidence is missing, otherwise ``held``.
    """
    text, check = PROMISES[promise]
    checked, breaches = check(evidence)
    gaps = evidence.audit_gaps if promise == 'exclusive-vms' else evidence.gaps
    state = BROKEN if breaches else NOT_KNOWN if gaps else HELD
    return PromiseVerdict(promise, text, state, checked, breaches, list(gaps))
