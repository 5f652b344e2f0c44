"""Routing state: copies and service instances that may get requests."""

from plantainway import bus
from plantainway import groups
from plantainway import peers
from plantainway.requests import _affinity
from plantainway.requests import _load
from plantainway.requests import _routing

VERDICT_CACHE_S = 0.25
HOME_CACHED_FRACTION = 0.5  # guess for the copy that ranks first for a prefix
CANDIDATES_MAX = 8  # per request


class RouteView:
    """This node's view of the copies and instances that may get requests.

    It is built from the revision in force, the VM list, and reports and
    loads from the bus. The functions in ``on_revision`` are called with the
    declared objects of each new revision, those in ``on_change`` after each
    message, without arguments.

    Args:
        cfg: Settings of the node.
        parts: Shared parts of the node.
        rng: Source of randomness.
    """

    def __init__(self, cfg, parts, rng):
        self._cfg = cfg
        self._parts = parts
        self._rng = rng
        self._inbox = parts.bus.subscribe(
            bus.RevisionInForce,
            bus.VmListRead,
            bus.NodeReportUpdated,
            bus.LocalLoadsMeasured,
            bus.RemoteLoadsReceived,
        )
        self._objects = None
        self._vm_list = {}
        self._recorded_vms: dict[str, tuple] = {}
        self._recorded_copies: dict[str, tuple] = {}
        self._leaving: set[str] = set()
        self.load_estimator = _load.LoadEstimator()
        self.instance_health = _routing.InstanceHealth()
        self.inter_token_latency = _routing.InterTokenLatencyTracker()
        self.chooser = _routing.CacheAwareChooser(rng)
        self.prefix_index = _affinity.PrefixCacheIndex(parts.clock)
        self._verdicts: dict[str, tuple] = {}
        self.on_revision = []
        self.on_change = []

    async def run(self) -> None:
        """Applies messages from the bus until cancelled."""
        while True:
            self._handle_message(await self._inbox.get())
            for hook in self.on_change:
                hook()

    @property
    def objects(self):
        """The declared objects in force, ``None`` before the first."""
        return self._objects

    def _handle_message(self, message) -> None:
        if isinstance(message, bus.RevisionInForce):
            self._objects = message.revision.objects
            for hook in self.on_revision:
                hook(self._objects)
        elif isinstance(message, bus.VmListRead):
            self._vm_list = message.entries
            self._verdicts.clear()
        elif isinstance(
            message, (bus.LocalLoadsMeasured, bus.RemoteLoadsReceived)
        ):
            self.load_estimator.record_report(message.loads)
            return
        else:
            self._parts.vm_observations.index_report(message.report)
            self._parts.copies.add_report(message.report)
            for vm in message.report.seen:
                self._record_vm_view(
                    vm, self._parts.vm_observations.current(vm)
                )
        self._record_leaving()

    def _record_leaving(self) -> None:
        if self._objects is None:
            return
        declared = self._objects.of_kind('upstream')
        leaving = {
            name for name, item in self._vm_list.items() if item.leaving
        }
        leaving |= {
            vm for vm, recorded in self._recorded_vms.items() if recorded[5]
        }
        leaving |= self._known_upstreams() - set(declared)
        for name in leaving - self._leaving:
            self._parts.evidence.record('leaving', upstream=name)
        for name in self._leaving - leaving:
            self._parts.evidence.record('staying', upstream=name)
        self._leaving = leaving

    def _known_upstreams(self) -> set[str]:
        return set(self._recorded_vms)

    def _record_vm_view(self, vm: str, observation) -> None:
        if observation is None:
            recorded = (False, '', '', 0, '', False)
        else:
            seen = observation.seen
            recorded = (
                seen.ok,
                seen.boot,
                seen.copy_id,
                seen.token,
                seen.role,
                seen.leaving,
            )
        if self._recorded_vms.get(vm) == recorded:
            return
        self._recorded_vms[vm] = recorded
        self._parts.evidence.record(
            'vm_view',
            vm=vm,
            ok=recorded[0],
            boot=recorded[1],
            copy=recorded[2],
            token=recorded[3],
            role=recorded[4],
        )

    def _record_copy_view(self, copy) -> None:
        recorded = (copy.token, copy.state, copy.row_version)
        if self._recorded_copies.get(copy.copy_id) == recorded:
            return
        self._recorded_copies[copy.copy_id] = recorded
        self._parts.evidence.record(
            'copy_view',
            copy=copy.copy_id,
            token=copy.token,
            state=copy.state,
            members=copy.members,
        )

    def verdict_for(self, copy) -> groups.Verdict:
        """Decides whether a copy may get new requests.

        A copy is also refused if the VM list marks one of its members as
        leaving.

        A verdict is cached for up to ``VERDICT_CACHE_S``. It is dropped
        earlier if the VM list is read again, if the copy's row, its token or
        the observation of any VM changes, or, if it allows requests, when the
        oldest observation expires. The observations behind a new verdict are
        recorded in the evidence.

        Args:
            copy: The copy.

        Returns:
            The verdict.
        """

        now = self._parts.clock.now()
        cache_key = (
            copy.row_version,
            copy.token,
            self._parts.vm_observations.generation(),
        )
        cached = self._verdicts.get(copy.copy_id)
        if cached is not None and cached[0] == cache_key and now < cached[1]:
            return cached[2]
        verdict = self._evaluate(copy)
        until = now + VERDICT_CACHE_S
        if verdict.allowed:
            until = min(
                until, verdict.oldest_seen_at + groups.OBSERVATION_MAX_AGE_S
            )
        self._verdicts[copy.copy_id] = (cache_key, until, verdict)
        return verdict

    def _evaluate(self, copy) -> groups.Verdict:
        def observation_of(vm):
            observation = self._parts.vm_observations.current(vm)
            self._record_vm_view(vm, observation)
            return observation

        self._record_copy_view(copy)
        verdict = groups.may_send(copy, observation_of)
        if verdict.allowed:
            for vm, _boot in copy.members:
                if self._is_leaving(vm):
                    return groups.Verdict(False, f'leaving {vm}')
        return verdict

    def has_model(self, name) -> bool:
        """Returns whether a name can be requested as a model.

        Args:
            name: Name of a model, a model version or an adapter; any
                value from a request body.
        """
        return isinstance(name, str) and any(
            self._objects.get(kind, name) is not None
            for kind in ('model', 'model_version', 'adapter')
        )

    def model_of(self, name: str) -> str:
        """Returns the model that a name belongs to.

        Args:
            name: Name of a model version or an adapter; any other name is
                returned unchanged.
        """
        adapter = self._objects.get('adapter', name)
        version = self._objects.get(
            'model_version', adapter.model_version if adapter else name
        )
        return version.model if version else name

    def _copies_by_preference(self, name: str) -> list[list]:
        """Returns lists of the copies for a name, by falling preference.

        For a model, the copies of its default version are first and those
        of its other versions second.
        """
        objects = self._objects
        model = objects.get('model', name)
        adapter = objects.get('adapter', name)
        exact = []
        others = []
        for _shard, copy in self._parts.copies.iter_with_shard():
            group = objects.get('replica_group', copy.group)
            version = objects.get('model_version', copy.version)
            if group is None or version is None:
                continue
            if model is not None:
                if copy.version == model.default_version:
                    exact.append(copy)
                elif version.model == name:
                    others.append(copy)
            elif adapter is not None:
                if (
                    name in group.adapters
                    and copy.version == adapter.model_version
                ):
                    exact.append(copy)
            elif copy.version == name:
                exact.append(copy)
        return [exact, others]

    def own_slot_share(self, name: str) -> float:
        """Returns this node's part of the slots for a model name.

        The slots of all copies that may get requests are divided equally
        between the live nodes.

        Args:
            name: Name of a model, a model version or an adapter.
        """
        total = 0
        for copies in self._copies_by_preference(name):
            for copy in copies:
                if self.verdict_for(copy).allowed:
                    total += self._slot_count(copy)
        return total / max(len(self._parts.book.live_reports()), 1)

    def find_candidates(
        self, name, excluded, digests=(), ceiling=1.0
    ) -> tuple:
        """Returns copies that may get a request now.

        Copies of a model's other versions are used only while no copy of
        its default version serves that is not excluded.

        Args:
            name: Name of a model, a model version or an adapter.
            excluded: Names of copies that already failed the request.
            digests: Digests of the prompt's prefixes.
            ceiling: Load per slot from which a copy gets no more requests.

        Returns:
            Up to ``CANDIDATES_MAX`` candidates below the ceiling, and
            whether any copy serves that is not excluded. The candidates with
            the largest cached part of the prompt come first, otherwise the
            order is random.
        """
        for copies in self._copies_by_preference(name):
            found, is_serving = self._find_among(
                copies, excluded, digests, ceiling
            )
            if is_serving:
                return found, True
        return [], False

    def _find_among(self, copies, excluded, digests, ceiling):
        """Examines copies by cached part of the prompt, then at random."""
        order = self._rng.sample(copies, len(copies))
        if digests:
            fractions = {
                copy.copy_id: self.prefix_index.cached_fraction(
                    copy.copy_id, digests
                )
                for copy in order
            }
            order.sort(key=lambda copy: -fractions[copy.copy_id])
        found = []
        is_serving = False
        live = self._parts.book.live_reports()
        for copy in order:
            if copy.copy_id in excluded or not self.verdict_for(copy).allowed:
                continue
            is_serving = True
            head = copy.members[0][0]
            load_limit = ceiling * self._slot_count(copy)
            if self.load_estimator.has_room_for_own(
                head, load_limit, len(live)
            ):
                found.append(
                    _routing.Candidate(
                        copy.copy_id,
                        self.load_per_slot(copy),
                        self.distance_to(head),
                        fractions[copy.copy_id] if digests else 0.0,
                        self.inter_token_latency.slowdown(copy.copy_id),
                        self.load_estimator.last_reported(head),
                        self._slot_count(copy),
                    )
                )
                if len(found) >= CANDIDATES_MAX:
                    break
        return found, is_serving

    def _cached_fractions(self, copies, digests) -> dict[str, float]:
        """Returns by copy the estimated cached fraction of a prompt.

        A prefix that this node has not sent yet is probably cached, or
        soon will be, at the copy that all nodes rank first for it.
        """
        fractions = {
            copy.copy_id: self.prefix_index.cached_fraction(
                copy.copy_id, digests
            )
            for copy in copies
        }
        if not any(fractions.values()):
            home = peers.top_nodes(fractions, digests[0], 1)
            fractions[home[0]] = HOME_CACHED_FRACTION
        return fractions

    def load_per_slot(self, copy) -> float:
        """Returns the estimated requests per slot of a copy's head VM.

        Args:
            copy: The copy.
        """
        head = copy.members[0][0]
        return self.load_estimator.estimated_requests(head) / max(
            self._slot_count(copy), 1
        )

    def _slot_count(self, copy) -> int:
        observation = self._parts.vm_observations.current(copy.members[0][0])
        return observation.seen.slots if observation else 0

    def distance_to(self, upstream: str) -> int:
        """Returns 0 in the own place, 1 in the own region, 2 elsewhere.

        Args:
            upstream: Name of the upstream.
        """
        item = self._objects.get('upstream', upstream)
        if item is None:
            return 2
        if item.place == self._cfg.place:
            return 0
        place = self._objects.get('place', item.place)
        return 1 if place and place.region == self._cfg.region else 2

    def available_instances(self, service: str) -> list:
        """Returns the instances of a service that are not leaving.

        Ejected instances are included.

        Args:
            service: Name of the service.
        """
        return [
            item
            for name, item in self._objects.of_kind('upstream').items()
            if item.service == service and not self._is_leaving(name)
        ]

    def has_service(self, service: str) -> bool:
        """Returns whether any instance of a service is declared.

        Args:
            service: Name of the service.
        """
        return any(
            item.service == service
            for item in self._objects.of_kind('upstream').values()
        )

    def _is_leaving(self, name: str) -> bool:
        entry = self._vm_list.get(name)
        return entry is not None and entry.leaving

    def get_copy(self, copy_id: str):
        """Returns a copy, ``None`` if it no longer exists.

        Args:
            copy_id: Name of the copy.
        """
        return self._parts.copies.get(copy_id)

    def choose(self, candidates):
        """Chooses one of several candidates by the policy in ``chooser``.

        Args:
            candidates: Copies that may get the request.
        """
        return self.chooser.choose(candidates)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            copy.copy_id: {
                'state': copy.state,
                'token': copy.token,
                'verdict': self.verdict_for(copy).reason,
                'load': self.load_per_slot(copy),
            }
            for _shard, copy in self._parts.copies.iter_with_shard()
        }
