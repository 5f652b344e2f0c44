"""The group controllers of all services, on the node that leads."""

from plantainway import deployment
from plantainway import supply


class Fleet:
    """One controller for each service with engines.

    Args:
        view: The platform's tables, decoded.
        client: Client of the engines.
        leadership: The lease.
        clock: Source of monotonic time.
        spawn: Function that runs a coroutine as a task.

    Attributes:
        on_given_up: Called after a group was given up.
    """

    def __init__(self, view, client, leadership, clock, spawn):
        self._view = view
        self._client = client
        self._leadership = leadership
        self._clock = clock
        self._spawn = spawn
        self._controllers: dict[str, supply.GroupController] = {}
        self.on_heads_changed = []
        view.on_configuration.append(self._configure)
        view.on_gone.append(self._note_gone)

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
        )
        controller.head_overrides.on_change.append(self._tell_heads_changed)
        self._controllers[service] = controller
        self._spawn(controller.run())
        return controller

    def _tell_heads_changed(self) -> None:
        for listener in self.on_heads_changed:
            listener()

    def _note_gone(self, upstream) -> None:
        for controller in self._controllers.values():
            controller.handle_upstream_removed(upstream)

    def note_work(self, work: dict[str, float]) -> None:
        """Takes in the work that clients have asked for so far.

        Args:
            work: Seconds of a group by ``service/model``.
        """
        for name, controller in self._controllers.items():
            controller.update_demand(
                {
                    key.rpartition('/')[2]: total
                    for key, total in work.items()
                    if key.rpartition('/')[0] == name
                }
            )

    def suspect(self, heads) -> None:
        """Probes the groups of heads whose streams stall.

        Args:
            heads: Names of the heads.
        """
        for controller in self._controllers.values():
            for name in heads:
                controller.probe_group(name)

    def given_up(self) -> dict[str, int]:
        """Returns the epochs of groups given up of late, by head."""
        closed: dict[str, int] = {}
        for controller in self._controllers.values():
            closed |= controller.head_overrides.disbanded_epochs()
        return closed

    def unseen_heads(self) -> dict[str, deployment.Membership]:
        """Returns heads that serve though no entry shows it yet."""
        found: dict[str, deployment.Membership] = {}
        for controller in self._controllers.values():
            found |= controller.head_overrides.newly_opened()
        return found

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {name: item.dump() for name, item in self._controllers.items()}
