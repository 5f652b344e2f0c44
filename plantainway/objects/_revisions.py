"""Revisions of the declared objects, kept in the table service.

Rows: ``config/head`` names the newest revision, ``config/rev/N`` holds the
changes that made revision N and is never overwritten, and
``config/obj/KIND/NAME`` holds the newest form of each object.
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
SETTLE_S = 8.0
READ_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True)
class Change:
    """New form of one object, ``None`` to delete it.

    ``base`` is the version that the change was made from, 0 if the object
    is new, and ``None`` if the operator does not care.
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

    ``versions`` gives, by ``(kind, name)``, the revision in which an
    object last changed.
    """

    number: int
    objects: _models.ObjectSet
    versions: dict[tuple[str, str], int]


EMPTY = Revision(0, _models.ObjectSet({}), {})


def revision_key(number: int) -> str:
    """Returns the key of the row of a revision.

    Args:
        number: Number of the revision.
    """
    return f'{REVISION_PREFIX}{number:012d}'


def apply_delta(current: Revision, number: int, changes: list) -> Revision:
    """Makes the next revision from the current one.

    Args:
        current: Revision ``number - 1``.
        number: Number of the new revision.
        changes: ``[kind, name, body or None]`` triples.

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
    """Lists the changes that turn one set into another.

    Args:
        current: Set that is in force.
        wanted: Set that is wanted.

    Returns:
        ``(action, kind, name)`` triples; actions are ``create``,
        ``update`` and ``delete``.
    """
    rows = []
    for ident in sorted(set(current.by_id) | set(wanted.by_id)):
        before = current.by_id.get(ident)
        after = wanted.by_id.get(ident)
        if before is None:
            rows.append(('create', *ident))
        elif after is None:
            rows.append(('delete', *ident))
        elif before != after:
            rows.append(('update', *ident))
    return rows


class RevisionStore:
    """Reads and publishes revisions.

    Args:
        table: Table service.
        clock: Source of monotonic time.
    """

    def __init__(self, table: stores.BaseTable, clock):
        self._table = table
        self._clock = clock

    async def head(self) -> int:
        """Returns the number of the newest revision, 0 if none.

        Raises:
            StoreUnavailableError: If the table gave no answer.
        """
        row = await self._table.read(HEAD_KEY)
        return row.value['revision'] if row else 0

    async def changes_of(self, number: int) -> list | None:
        """Returns the changes that made a revision, ``None`` if unknown.

        Args:
            number: Number of the revision.

        Raises:
            StoreUnavailableError: If the table gave no answer.
        """
        row = await self._table.read(revision_key(number))
        return row.value['changes'] if row else None

    async def load(self) -> Revision:
        """Reads the newest revision whole.

        Raises:
            StoreUnavailableError: If the table gave no answer.
        """
        for _attempt in range(READ_ATTEMPTS):
            before = await self.head()
            rows = await self._table.scan(OBJECT_PREFIX)
            if await self.head() != before:
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
            return Revision(before, _models.ObjectSet(by_id), versions)
        raise errors.StoreUnavailableError(
            'the objects kept changing', 'config_load'
        )

    async def publish(
        self, changes: list[Change], author: str, dry_run: bool = False
    ) -> tuple[Revision, list]:
        """Checks a change against the newest revision and publishes it.

        Args:
            changes: Changes that take effect together.
            author: Name of the operator.
            dry_run: Whether to stop before publishing.

        Returns:
            The new revision and its changes as triples. If nothing
            differs, the current revision and no changes.

        Raises:
            ConflictError: If a base version is not current.
            ObjectsInvalidError: If the resulting set has faults.
            StoreUnavailableError: If the change was not accepted because
                the table is out of reach.
            OutcomeInDoubtError: If it can't be told whether it was.
        """
        for _attempt in range(READ_ATTEMPTS):
            current = await self.load()
            _check_bases(current, changes)
            triples = _effective(current, changes)
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
        proof = revision_key(new.number)
        writes = [
            stores.Write(HEAD_KEY, {'revision': new.number}),
            stores.Write(proof, {'changes': triples, 'author': author}),
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
                stores.Check(proof, stores.ABSENT),
            ),
            tuple(writes),
        )
        result = await stores.commit_and_resolve(
            self._table, txn, proof, self._clock, self._clock.now() + SETTLE_S
        )
        if result.outcome is stores.Outcome.COMMITTED:
            return True
        if result.outcome is stores.Outcome.UNKNOWN:
            raise errors.OutcomeInDoubtError(result.reason, 'publish')
        if result.reason == 'conflict':
            return False
        raise errors.StoreUnavailableError(result.reason, 'publish')


def _check_bases(current: Revision, changes: list[Change]) -> None:
    stale = [
        change.label
        for change in changes
        if change.base is not None
        and current.versions.get((change.kind, change.name), 0) != change.base
    ]
    if stale:
        raise errors.ConflictError(stale, 'publish')


def _effective(current: Revision, changes: list[Change]) -> list:
    triples = []
    faults = []
    for change in changes:
        existing = current.objects.get(change.kind, change.name)
        if change.body is None:
            if existing is None:
                raise errors.NotFoundError(change.label, 'publish')
            triples.append([change.kind, change.name, None])
            continue
        item, found = _models.parse_object(change.body, change.label)
        faults += found
        if item is not None and item != existing:
            body = json.loads(item.model_dump_json())
            triples.append([item.kind, item.name, body])
    if faults:
        raise errors.ObjectsInvalidError(faults)
    return triples
