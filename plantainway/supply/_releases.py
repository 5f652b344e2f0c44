"""Engines that must leave a group before they can join another."""

import dataclasses

from plantainway import logs
from plantainway.supply import _orders
from plantainway.supply import _state

LEAVE_RETRY_S = 1.0


@dataclasses.dataclass(slots=True)
class _Release:
    """A group that an engine has been ordered to leave.

    ``resend_at`` is when the order is sent next, in monotonic seconds.
    """

    group: str
    epoch: int
    resend_at: float = 0.0


class ReleaseTracker:
    """Tracks orders to leave a group until they have taken effect."""

    def __init__(self):
        self._pending: dict[str, _Release] = {}
        self._ended: set[tuple[str, str, int]] = set()

    def clear(self) -> None:
        """Drops all releases, at the start of a term."""
        self._pending.clear()
        self._ended.clear()

    @property
    def pending(self) -> frozenset:
        """Returns the names of the engines that have yet to leave."""
        return frozenset(self._pending)

    @property
    def ended_memberships(self) -> frozenset:
        """Returns ended memberships that entries may still show."""
        return frozenset(self._ended)

    def begin(self, engine: _state.EngineStatus) -> None:
        """Schedules an order to leave for the group that an engine is in.

        Args:
            engine: The engine, which must have a membership.
        """
        member = engine.membership
        self._pending[engine.name] = _Release(member.group, member.epoch)

    def record_left(self, order: _orders.Order) -> None:
        """Records that an order to leave has taken effect.

        Args:
            order: The order.
        """
        self._ended.add((order.upstream, order.group, order.epoch))
        release = self._pending.get(order.upstream)
        if release is not None and release.epoch == order.epoch:
            del self._pending[order.upstream]

    def collect_due_orders(
        self, engines, managed, now: float
    ) -> list[_orders.Order]:
        """Returns the orders to leave that are due and schedules their retry.

        First drops the releases of engines that are lost or no longer in
        the group. Also starts a release for usable engines whose group is
        not managed: an order to join that was carried out late may have put
        them there.

        Args:
            engines: Engines by name.
            managed: Memberships that belong to a group or warm-up of the
                controller, as engine, group and epoch.
            now: Monotonic seconds.
        """
        self._drop_settled(engines)
        for name, engine in engines.items():
            key = engine.member_key
            if (
                key is not None
                and key not in managed
                and key not in self._ended
                and name not in self._pending
                and engine.is_usable
            ):
                logs.event('stray_member', upstream=name, group=key[1])
                self.begin(engine)
        orders = []
        for name, release in self._pending.items():
            if now >= release.resend_at:
                release.resend_at = now + LEAVE_RETRY_S
                orders.append(
                    _orders.Order(
                        _orders.OrderKind.LEAVE,
                        name,
                        release.group,
                        release.epoch,
                    )
                )
        return orders

    def _drop_settled(self, engines) -> None:
        """Drops releases of engines that are lost or have left the group."""
        for name, release in list(self._pending.items()):
            engine = engines.get(name)
            if (
                engine is None
                or engine.reachability is not _state.Reachability.ANSWERS
                or engine.member_key != (name, release.group, release.epoch)
            ):
                del self._pending[name]
