"""Revisions of the declared objects, kept in the table service.

Rows: ``config/head`` holds the number of the newest revision,
``config/rev/N`` the changes from revision N - 1 to N (never overwritten),
and ``config/obj/KIND/NAME`` the newest body of each object.
"""

import dataclasses
import json

from plantainway import errors
from plantainway.objects import _checks
from plantainway.objects import _models
from plantainway import stores

HEAD_KEY = 'config/head'
OBJECT_PREFIX = 'config/obj/'
REVISION_PREFIX = 'config/rev/'
RESOLVE_TIMEOUT_S = 8.0
MAX_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True)
class Change:
    """Change of one object; a ``body`` of ``None`` deletes the object.

    ``base`` is the version of the object that the change is based on, 0
    for a new object; with ``None`` the base version is not checked.
    """

    kind: str
    name: str
    body: dict | None
    base: int | None = None

    @property
    def label(self) -> str:
        """Returns ``kind/name``."""
        return f'{self.kind}/{self.name}'


@dataclasses.dataclass(frozen=True)
class Revision:
    """All declared objects as of one revision.

    ``versions`` maps ``(kind, name)`` to the number of the revision in
    which the object last changed.
    """

    number: int
    objects: _models.ObjectSet
    versions: dict[tuple[str, str], int]


EMPTY_REVISION = Revision(0, _models.ObjectSet({}), {})


def revision_key(number: int) -> str:
    """Returns the table key of the row with the changes of a revision.

    Args:
        number: Number of the revision.
    """
    return f'{REVISION_PREFIX}{number:012d}'


def apply_delta(current: Revision, number: int, changes: list) -> Revision:
    """Returns the revision that results from changes to the current one.

    Args:
        current: Revision ``number - 1``.
        number: Number of the new revision.
        changes: ``[kind, name, body]`` triples; a body of ``None``
            deletes the object.

    Returns:
        The new revision.
    """
    by_id = dict(current.objects.by_id)
    versions = dict(current.versions)
    for kind, name, body in changes:
        if body is None:
            by_id.pop((kind, name), None)
            versions.pop((kind, name), None)
        else:
            item, _faults = _models.parse_object(body, 'revision')
            by_id[(kind, name)] = item
            versions[(kind, name)] = number
    return Revision(number, _models.ObjectSet(by_id), versions)


def diff_sets(current: _models.ObjectSet, wanted: _models.ObjectSet) -> list:
    """Returns the differences between two sets of objects.

    Args:
        current: Set before the changes.
        wanted: Set after the changes.

    Returns:
        ``(action, kind, name)`` triples; actions are ``create``,
        ``update`` and ``delete``.
    """
    rows = []
    for object_id in sorted(set(current.by_id) | set(wanted.by_id)):
        before = current.by_id.get(object_id)
        after = wanted.by_id.get(object_id)
        if before is None:
            rows.append(('create', *object_id))
        elif after is None:
            rows.append(('delete', *object_id))
        elif before != after:
            rows.append(('update', *object_id))
    return rows


class RevisionStore:
    """Reads and publishes revisions in the table service.

    Args:
        table: Table service that holds the revisions.
        clock: Source of monotonic time.
    """

    def __init__(self, table: stores.BaseTable, clock):
        self._table = table
        self._clock = clock

    async def read_head(self) -> int:
        """Reads the number of the newest revision, 0 if there is none.

        Raises:
            StoreUnavailableError: If the table service did not answer.
        """
        row = await self._table.read(HEAD_KEY)
        return row.value['revision'] if row else 0

    async def read_changes(self, number: int) -> list | None:
        """Reads the changes of a revision; ``None`` if it has no row.

        Args:
            number: Number of the revision.

        Raises:
            StoreUnavailableError: If the table service did not answer.
        """
        row = await self._table.read(revision_key(number))
        return row.value['changes'] if row else None

    async def load(self) -> Revision:
        """Reads all objects of the newest revision.

        Reads the head before and after the scan and repeats the scan if
        another revision was published in between.

        Raises:
            StoreUnavailableError: If the table service did not answer, or
                if a revision was published during each of
                ``MAX_ATTEMPTS`` scans.
        """
        for _attempt in range(MAX_ATTEMPTS):
            head = await self.read_head()
            rows = await self._table.scan(OBJECT_PREFIX)
            if await self.read_head() != head:
                continue
            by_id = {}
            versions = {}
            for row in rows:
                item, _faults = _models.parse_object(
                    row.value['body'], row.key
                )
                if item is not None:
                    by_id[(item.kind, item.name)] = item
                    versions[(item.kind, item.name)] = row.value['version']
            return Revision(head, _models.ObjectSet(by_id), versions)
        raise errors.StoreUnavailableError(
            f'a new revision was published during each of {MAX_ATTEMPTS} '
            'scans of the objects',
            'config_load',
        )

    async def publish(
        self, changes: list[Change], author: str, dry_run: bool = False
    ) -> tuple[Revision, list]:
        """Applies changes to the newest revision and publishes the result.

        The resulting set is checked first. If another revision is
        published meanwhile, starts over from that one.

        Args:
            changes: Changes that take effect together or not at all.
            author: Name of the operator.
            dry_run: Whether to check the changes without publishing them.

        Returns:
            The new revision and its changes as triples; the current
            revision and an empty list if the changes have no effect.

        Raises:
            ConflictError: If a base version is outdated, or if another
                revision was published in each of ``MAX_ATTEMPTS`` attempts.
            NotFoundError: If an object to delete does not exist.
            ObjectsInvalidError: If the resulting set has faults.
            StoreUnavailableError: If nothing was published because the
                table service is unreachable.
            OutcomeInDoubtError: If the outcome of the commit was still
                unknown after ``RESOLVE_TIMEOUT_S``.
        """
        for _attempt in range(MAX_ATTEMPTS):
            current = await self.load()
            _check_base_versions(current, changes)
            triples = _effective_changes(current, changes)
            if not triples:
                return current, []
            new = apply_delta(current, current.number + 1, triples)
            faults = _checks.check_set(new.objects)
            if faults:
                raise errors.ObjectsInvalidError(faults)
            if dry_run:
                return new, triples
            if await self._commit(current, new, triples, author):
                return new, triples
        raise errors.ConflictError(
            [change.label for change in changes], 'publish'
        )

    async def _commit(self, current, new, triples, author) -> bool:
        head = await self._table.read(HEAD_KEY)
        if (head.value['revision'] if head else 0) != current.number:
            return False
        revision_row_key = revision_key(new.number)
        writes = [
            stores.Write(HEAD_KEY, {'revision': new.number}),
            stores.Write(
                revision_row_key, {'changes': triples, 'author': author}
            ),
        ]
        for kind, name, body in triples:
            value = (
                None if body is None else {'body': body, 'version': new.number}
            )
            writes.append(stores.Write(f'{OBJECT_PREFIX}{kind}/{name}', value))
        txn = stores.Transaction(
            stores.new_txn_id(),
            (
                stores.Check(
                    HEAD_KEY, head.version if head else stores.ABSENT
                ),
                stores.Check(revision_row_key, stores.ABSENT),
            ),
            tuple(writes),
        )
        result = await stores.commit_and_resolve(
            self._table,
            txn,
            revision_row_key,
            self._clock,
            self._clock.now() + RESOLVE_TIMEOUT_S,
        )
        if result.outcome is stores.Outcome.COMMITTED:
            return True
        if result.outcome is stores.Outcome.UNKNOWN:
            raise errors.OutcomeInDoubtError(result.reason, 'publish')
        if result.reason == 'conflict':
            return False
        raise errors.StoreUnavailableError(result.reason, 'publish')


def _check_base_versions(current: Revision, changes: list[Change]) -> None:
    stale = [
        change.label
        for change in changes
        if change.base is not None
        and current.versions.get((change.kind, change.name), 0) != change.base
    ]
    if stale:
        raise errors.ConflictError(stale, 'publish')


def _effective_changes(current: Revision, changes: list[Change]) -> list:
    triples = []
    faults = []
    for change in changes:
        existing = current.objects.get(change.kind, change.name)
        if change.body is None:
            if existing is None:
                raise errors.NotFoundError(change.label, 'publish')
            triples.append([change.kind, change.name, None])
            continue
        item, item_faults = _models.parse_object(change.body, change.label)
        faults += item_faults
        if item is not None and item != existing:
            body = json.loads(item.model_dump_json())
            triples.append([item.kind, item.name, body])
    if faults:
        raise errors.ObjectsInvalidError(faults)
    return triples
