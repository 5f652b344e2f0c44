"""What routing knows: revision, copies, sightings, load."""

from plantainway import bus
from plantainway import groups
from plantainway import peers
from plantainway.requests import _affinity
from plantainway.requests import _load
from plantainway.requests import _routing

VERDICT_LIFE_S = 0.25  # a positive verdict is used again for so long
HOME_SHARE = 0.5  # guess for the copy that ranks first for a prefix
CANDIDATES_MAX = 8  # copies looked at for one request


class RouteView:
    """Targets that may get new work now.

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
        self._noted_vms: dict[str, tuple] = {}
        self._noted_copies: dict[str, tuple] = {}
        self._leaving: set[str] = set()
        self.loads = _load.LoadBook()
        self.health = _routing.InstanceHealth()
        self.pace = _routing.PaceBook()
        self.chooser = _routing.TurnChooser(rng)
        self.prefixes = _affinity.PrefixMap(parts.clock)
        self._verdicts: dict[str, tuple] = {}
        self.on_revision = []
        self.on_change = []

    async def run(self) -> None:
        """Takes in messages until cancelled."""
        while True:
            self._take_in(await self._inbox.get())
            for hook in self.on_change:
                hook()

    @property
    def objects(self):
        """Returns the declared objects in force, ``None`` before any."""
        return self._objects

    def _take_in(self, message) -> None:
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
            self.loads.report(message.loads)
            return
        else:
            self._parts.vm_observations.index_report(message.report)
            self._parts.copies.add_report(message.report)
            for vm in message.report.seen:
                self._note_vm(vm, self._parts.vm_observations.current(vm))
        self._note_leaving()

    def _note_leaving(self) -> None:
        if self._objects is None:
            return
        declared = self._objects.of('upstream')
        leaving = {
            name for name, item in self._vm_list.items() if item.leaving
        }
        leaving |= {vm for vm, noted in self._noted_vms.items() if noted[5]}
        leaving |= self._known_upstreams() - set(declared)
        for name in leaving - self._leaving:
            self._parts.evidence.record('leaving', upstream=name)
        for name in self._leaving - leaving:
            self._parts.evidence.record('staying', upstream=name)
        self._leaving = leaving

    def _known_upstreams(self) -> set[str]:
        return set(self._noted_vms)

    def _note_vm(self, vm: str, sighting) -> None:
        if sighting is None:
            noted = (False, '', '', 0, '', False)
        else:
            seen = sighting.seen
            noted = (
                seen.ok,
                seen.boot,
                seen.copy_id,
                seen.token,
                seen.role,
                seen.leaving,
            )
        if self._noted_vms.get(vm) == noted:
            return
        self._noted_vms[vm] = noted
        self._parts.evidence.record(
            'vm_view',
            vm=vm,
            ok=noted[0],
            boot=noted[1],
            copy=noted[2],
            token=noted[3],
            role=noted[4],
        )

    def _note_copy(self, copy) -> None:
        noted = (copy.token, copy.state, copy.row_version)
        if self._noted_copies.get(copy.copy_id) == noted:
            return
        self._noted_copies[copy.copy_id] = noted
        self._parts.evidence.record(
            'copy_view',
            copy=copy.copy_id,
            token=copy.token,
            state=copy.state,
            members=copy.members,
        )

    def verdict(self, copy) -> groups.Verdict:
        """Decides whether a copy may get new work, noting what was seen.

        Args:
            copy: The copy.

        Returns:
            The verdict.
        """

        now = self._parts.clock.now()
        ident = (
            copy.row_version,
            copy.token,
            self._parts.vm_observations.generation(),
        )
        held = self._verdicts.get(copy.copy_id)
        if held is not None and held[0] == ident and now < held[1]:
            return held[2]
        verdict = self._judge(copy)
        until = now + VERDICT_LIFE_S
        if verdict.allowed:
            until = min(
                until, verdict.oldest_seen_at + groups.OBSERVATION_MAX_AGE_S
            )
        self._verdicts[copy.copy_id] = (ident, until, verdict)
        return verdict

    def _judge(self, copy) -> groups.Verdict:
        def sighting_of(vm):
            sighting = self._parts.vm_observations.current(vm)
            self._note_vm(vm, sighting)
            return sighting

        self._note_copy(copy)
        verdict = groups.may_send(copy, sighting_of)
        if verdict.allowed:
            for vm, _boot in copy.members:
                if self._is_leaving(vm):
                    return groups.Verdict(False, f'leaving {vm}')
        return verdict

    def has_model(self, name) -> bool:
        """Tells whether callers may name something as their model.

        Args:
            name: Name of a model, a model version or an adapter.
        """
        return isinstance(name, str) and any(
            self._objects.get(kind, name) is not None
            for kind in ('model', 'model_version', 'adapter')
        )

    def model_of(self, name: str) -> str:
        """Returns the model that a name belongs to.

        Args:
            name: Name of a model, a model version or an adapter.
        """
        adapter = self._objects.get('adapter', name)
        version = self._objects.get(
            'model_version', adapter.model_version if adapter else name
        )
        return version.model if version else name

    def _tiers(self, name: str) -> list[list]:
        """Returns the copies that can answer for a name, best ones first."""
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

    def slots(self, name: str) -> float:
        """Returns this node's part of the slots that can answer for a name.

        Args:
            name: Name of a model, a model version or an adapter.
        """
        total = 0
        for copies in self._tiers(name):
            for copy in copies:
                if self.verdict(copy).allowed:
                    total += self._slots(copy)
        return total / max(len(self._parts.book.live()), 1)

    def candidates(self, name, excluded, digests=(), ceiling=1.0) -> tuple:
        """Returns copies that may get a request now.

        Copies of other versions than a model's default one are used only
        while none of that version serves.

        Args:
            name: Name of a model, a model version or an adapter.
            excluded: Copies that already failed the request.
            digests: Digests of the prompt's beginnings.
            ceiling: Load per slot from which a copy takes no more.

        Returns:
            Some candidates below the ceiling, and whether any copy serves.
        """
        for copies in self._tiers(name):
            found, serving = self._candidates_among(
                copies, excluded, digests, ceiling
            )
            if serving:
                return found, True
        return [], False

    def _candidates_among(self, copies, excluded, digests, ceiling):
        """Looks at the best cached copies first, then at random ones."""
        order = self._rng.sample(copies, len(copies))
        if digests:
            shares = {
                copy.copy_id: self.prefixes.cached_share(copy.copy_id, digests)
                for copy in order
            }
            order.sort(key=lambda copy: -shares[copy.copy_id])
        found = []
        serving = False
        live = self._parts.book.live()
        for copy in order:
            if copy.copy_id in excluded or not self.verdict(copy).allowed:
                continue
            serving = True
            head = copy.members[0][0]
            most = ceiling * self._slots(copy)
            if self.loads.may_take(head, most, len(live)):
                found.append(
                    _routing.Candidate(
                        copy.copy_id,
                        self.load(copy),
                        self.distance(head),
                        shares[copy.copy_id] if digests else 0.0,
                        self.pace.slow(copy.copy_id),
                        self.loads.reported(head),
                        self._slots(copy),
                    )
                )
                if len(found) >= CANDIDATES_MAX:
                    break
        return found, serving

    def _cached_shares(self, copies, digests) -> dict[str, float]:
        """Returns by copy the part of a prompt it is thought to have.

        A beginning that this node has not sent yet is probably cached, or
        will be, at the copy that all nodes rank first for it.
        """
        shares = {
            copy.copy_id: self.prefixes.cached_share(copy.copy_id, digests)
            for copy in copies
        }
        if not any(shares.values()):
            home = peers.top(shares, digests[0], 1)
            shares[home[0]] = HOME_SHARE
        return shares

    def load(self, copy) -> float:
        """Returns requests per slot of the copy's head.

        Args:
            copy: The copy.
        """
        head = copy.members[0][0]
        return self.loads.estimate(head) / max(self._slots(copy), 1)

    def _slots(self, copy) -> int:
        sighting = self._parts.vm_observations.current(copy.members[0][0])
        return sighting.seen.slots if sighting else 0

    def distance(self, upstream: str) -> int:
        """Returns 0 in the own place, 1 in the own region, 2 beyond.

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

    def instances(self, service: str) -> list:
        """Returns the instances of a service that may get new work.

        Args:
            service: Name of the service.
        """
        return [
            item
            for name, item in self._objects.of('upstream').items()
            if item.service == service and not self._is_leaving(name)
        ]

    def has_service(self, service: str) -> bool:
        """Tells whether a service is declared.

        Args:
            service: Name of the service.
        """
        return any(
            item.service == service
            for item in self._objects.of('upstream').values()
        )

    def _is_leaving(self, name: str) -> bool:
        entry = self._vm_list.get(name)
        return entry is not None and entry.leaving

    def copy(self, copy_id: str):
        """Returns one copy, ``None`` if it stands no more.

        Args:
            copy_id: Name of the copy.
        """
        return self._parts.copies.get(copy_id)

    def choose(self, candidates):
        """Chooses one of several candidates.

        Args:
            candidates: Targets that may get the request.
        """
        return self.chooser.choose(candidates)

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            copy.copy_id: {
                'state': copy.state,
                'token': copy.token,
                'verdict': self.verdict(copy).reason,
                'load': self.load(copy),
            }
            for _shard, copy in self._parts.copies.iter_with_shard()
        }
