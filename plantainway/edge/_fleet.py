"""Group controllers of all services, active on the leader."""

from plantainway import deployment
from plantainway import supply


class ControllerSet:
    """Creates a group controller for each service with engines.

    Passes the profiles, removed engines and demand to the controllers. They
    run on every node but act only on the leader, and are kept if their
    service is removed from the configuration.

    Args:
        view: Decoded tables of the platform.
        client: Client for the engines.
        leadership: Leader lease.
        clock: Source of monotonic time.
        spawn: Function that runs a coroutine as a task.
        witness: Confirms that an engine is lost.

    Attributes:
        on_heads_changed: Called after a group was disbanded or its head
            opened.
    """

    def __init__(self, view, client, leadership, clock, spawn, witness):
        self._view = view
        self._client = client
        self._leadership = leadership
        self._clock = clock
        self._spawn = spawn
        self._witness = witness
        self._controllers: dict[str, supply.GroupController] = {}
        self.on_heads_changed = []
        view.on_configuration.append(self._configure)
        view.on_removed.append(self._handle_removed)

    def _configure(self, cfg) -> None:
        for name, profile in cfg.engines.items():
            controller = self._controllers.get(name)
            if controller is None:
                controller = self._new_controller(name)
            controller.configure(profile)

    def _new_controller(self, service: str) -> supply.GroupController:
        controller = supply.GroupController(
            service,
            self._view.book,
            self._client,
            self._leadership,
            self._clock,
            self._spawn,
            self._view.upstreams_as_of,
            self._view.upstreams_settle_at,
            self._witness,
        )
        controller.head_overrides.on_change.append(self._notify_heads_changed)
        self._controllers[service] = controller
        self._spawn(controller.run())
        return controller

    def _notify_heads_changed(self) -> None:
        for listener in self.on_heads_changed:
            listener()

    def _handle_removed(self, upstream) -> None:
        for controller in self._controllers.values():
            controller.handle_upstream_removed(upstream)

    def record_work(self, work: dict[str, float]) -> None:
        """Passes the requested work to the controllers as their demand.

        Args:
            work: Running totals in seconds of a group's time, by
                ``service/model``.
        """
        for name, controller in self._controllers.items():
            controller.update_demand(
                {
                    key.rpartition('/')[2]: total
                    for key, total in work.items()
                    if key.rpartition('/')[0] == name
                }
            )

    def probe_suspects(self, heads) -> None:
        """Probes all members of the open groups of suspected heads.

        Args:
            heads: Names of the heads.
        """
        for controller in self._controllers.values():
            for name in heads:
                controller.probe_group(name)

    def is_gone(self, name: str, started_ms: int) -> bool:
        """Returns whether an incarnation of an engine is known to be gone.

        Args:
            name: Name of the engine.
            started_ms: Start of the incarnation.
        """
        current = self._view.book.by_name.get(name)
        if current is None or current.started_ms != started_ms:
            return True
        return any(
            controller.is_gone(name, started_ms)
            for controller in self._controllers.values()
        )

    def disbanded_epochs(self) -> dict[str, int]:
        """Returns the epochs of recently disbanded groups, by head."""
        closed: dict[str, int] = {}
        for controller in self._controllers.values():
            closed |= controller.head_overrides.disbanded_epochs()
        return closed

    def opened_heads(self) -> dict[str, deployment.Membership]:
        """Returns heads that serve although no table entry shows it yet."""
        found: dict[str, deployment.Membership] = {}
        for controller in self._controllers.values():
            found |= controller.head_overrides.newly_opened()
        return found

    def dump(self) -> dict:
        """Returns the state of the controllers for the state dump."""
        return {name: item.dump() for name, item in self._controllers.items()}
