"""Registrations of the nodes, one row each in the table service."""

import dataclasses

from plantainway import errors
from plantainway import stores

KEY_PREFIX = 'nodes/'
COMMIT_TIMEOUT_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """Registration row of one node.

    Each start of the node increments ``incarnation``. ``left`` marks a
    planned stop. The field names are the keys of the row.
    """

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
    """Reads and writes the registrations of the nodes.

    Args:
        table: Table service.
        clock: Source of monotonic time.
    """

    def __init__(self, table: stores.BaseTable, clock):
        self._table = table
        self._clock = clock

    async def read_registrations(self) -> dict[str, Registration]:
        """Returns all registrations by node name, left nodes included.

        Raises:
            StoreUnavailableError: If the table does not answer.
        """
        rows = await self._table.scan(KEY_PREFIX)
        registrations = [Registration(**row.value) for row in rows]
        return {item.node: item for item in registrations}

    async def register(self, registration: Registration) -> tuple:
        """Registers a node as a new incarnation.

        Args:
            registration: Registration to write; its incarnation is replaced
                by the next one.

        Returns:
            The written registration, and whether the other nodes already
            count this one when they divide limits: it restarts, or every
            other node has left.

        Raises:
            StoreUnavailableError: If the table does not answer.
            OutcomeInDoubtError: If it is unknown whether the row was
                written.
        """
        others = await self.read_registrations()
        previous = others.pop(registration.node, None)
        is_counted = previous is not None and not previous.left
        is_first = all(item.left for item in others.values())
        return await self._write(registration, 1), is_counted or is_first

    async def mark_left(self, registration: Registration) -> None:
        """Marks a node as left after a planned stop.

        Does nothing if a newer incarnation has registered.

        Args:
            registration: Registration of the incarnation that stops.

        Raises:
            StoreUnavailableError: If the table does not answer.
            OutcomeInDoubtError: If it is unknown whether the row was
                written.
        """
        await self._write(dataclasses.replace(registration, left=True), 0)

    async def _write(self, registration, increment: int) -> Registration:
        key = KEY_PREFIX + registration.node
        while True:
            row = await self._table.read(key)
            current = row.value['incarnation'] if row else 0
            if increment == 0 and current != registration.incarnation:
                return registration  # a newer incarnation owns the row
            updated = dataclasses.replace(
                registration, incarnation=current + increment
            )
            txn = stores.Transaction(
                stores.new_txn_id(),
                (stores.Check(key, row.version if row else stores.ABSENT),),
                (stores.Write(key, dataclasses.asdict(updated)),),
            )
            result = await stores.commit_and_resolve(
                self._table,
                txn,
                key,
                self._clock,
                self._clock.now() + COMMIT_TIMEOUT_S,
            )
            if result.outcome is stores.Outcome.COMMITTED:
                return updated
            if result.outcome is stores.Outcome.UNKNOWN:
                raise errors.OutcomeInDoubtError(result.reason, 'register')
            if result.reason != 'conflict':
                raise errors.StoreUnavailableError(result.reason, 'register')
