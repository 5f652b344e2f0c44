"""Registration rows of the nodes in the table service."""

import dataclasses

from plantainway import errors
from plantainway import stores

PREFIX = 'nodes/'
SETTLE_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """Row of one node; a restart raises ``incarnation``."""

    node: str
    incarnation: int
    region: str
    place: str
    failure_domain: str
    caller: str
    operator: str
    peer: str
    left: bool


class Registry:
    """Reads and writes registrations.

    Args:
        table: Table service.
        clock: Source of monotonic time.
    """

    def __init__(self, table: stores.BaseTable, clock):
        self._table = table
        self._clock = clock

    async def nodes(self) -> dict[str, Registration]:
        """Returns all registrations by name of the node.

        Raises:
            StoreUnavailableError: If the table gave no answer.
        """
        rows = await self._table.scan(PREFIX)
        found = [Registration(**row.value) for row in rows]
        return {item.node: item for item in found}

    async def register(self, wanted: Registration) -> tuple:
        """Registers a node as a new incarnation.

        Args:
            wanted: Registration whose incarnation is still 0.

        Returns:
            The registration with its incarnation, and whether the other
            nodes count this one already: it restarts, or it is the first.

        Raises:
            StoreUnavailableError: If the table gave no answer.
            OutcomeInDoubtError: If the outcome can't be told.
        """
        others = await self.nodes()
        before = others.pop(wanted.node, None)
        counted = before is not None and not before.left
        first = all(item.left for item in others.values())
        return await self._write(wanted, 1), counted or first

    async def mark_left(self, held: Registration) -> None:
        """Marks a node as having left by itself.

        Args:
            held: Its registration.

        Raises:
            StoreUnavailableError: If the table gave no answer.
            OutcomeInDoubtError: If the outcome can't be told.
        """
        await self._write(dataclasses.replace(held, left=True), 0)

    async def _write(self, wanted, step: int) -> Registration:
        key = PREFIX + wanted.node
        while True:
            row = await self._table.read(key)
            number = row.value['incarnation'] if row else 0
            if step == 0 and number != wanted.incarnation:
                return wanted  # a newer incarnation owns the row
            new = dataclasses.replace(wanted, incarnation=number + step)
            txn = stores.Transaction(
                stores.new_txn_id(),
                (stores.Check(key, row.version if row else stores.ABSENT),),
                (stores.Write(key, dataclasses.asdict(new)),),
            )
            result = await stores.commit_and_resolve(
                self._table,
                txn,
                key,
                self._clock,
                self._clock.now() + SETTLE_S,
            )
            if result.outcome is stores.Outcome.COMMITTED:
                return new
            if result.outcome is stores.Outcome.UNKNOWN:
                raise errors.OutcomeInDoubtError(result.reason, 'register')
            if result.reason != 'conflict':
                raise errors.StoreUnavailableError(result.reason, 'register')
