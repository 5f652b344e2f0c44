"""Configuration and upstreams decoded from the platform's tables."""

import dataclasses

from plantainway import cluster
from plantainway import deployment
from plantainway import errors
from plantainway import logs
from plantainway import platform
from plantainway import supply


class PlatformView:
    """Decoded tables of the platform's store.

    Args:
        clock: Source of monotonic time.

    Attributes:
        book: Upstreams by name, service and model.
        configuration: Configuration in force, ``None`` before the first.
        config_table: Cache of the configuration table.
        upstream_table: Cache of the upstream table.
        on_configuration: Called with each configuration put in force.
        on_entry: Called with each upstream as its entry shows it and the
            version of the row, before the upstream book is updated.
        on_opened: Called with each known upstream that becomes the open head
            of a group.
        on_removed: Called with each upstream whose entry was removed.
        on_group_changed: Called with the name of each upstream that is new
            or whose group membership changes, before the upstream book is
            updated.
        on_upstreams_changed: Called after each update of the upstream book,
            and when the evacuated failure domains change.
    """

    def __init__(self, clock):
        self.book = deployment.UpstreamRegistry()
        self.configuration: deployment.Configuration | None = None
        self.config_table = cluster.TableCache(
            platform.CONFIG_TABLE,
            clock,
            ranks={platform.CONFIG_KEY: platform.configuration_version},
            keeps_missing=platform.is_lost_evacuation,
        )
        self.upstream_table = cluster.TableCache(
            platform.UPSTREAM_TABLE, clock, defers_removals=True
        )
        self.config_table.on_change.append(self._apply_evacuations)
        self.config_table.on_change.append(self._apply_configuration)
        self.upstream_table.on_change.append(self._apply_upstreams)
        self._leaving: dict[str, int] = {}  # start times by name
        self.on_configuration = []
        self.on_entry = []
        self.on_opened = []
        self.on_removed = []
        self.on_group_changed = []
        self.on_upstreams_changed = []

    @property
    def tables(self) -> list[cluster.TableCache]:
        """Returns the caches of both tables."""
        return [self.config_table, self.upstream_table]

    @property
    def is_complete(self) -> bool:
        """Returns whether a configuration and the upstreams are loaded."""
        return self.configuration is not None and self.upstream_table.is_loaded

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Returns the failure domains to which nothing is sent."""
        return self.book.evacuated_zones

    def upstreams_as_of(self) -> float:
        """Returns the monotonic time at which the upstreams were current."""
        return self.upstream_table.current_as_of

    def upstreams_settle_at(self) -> float:
        """Returns the monotonic time from which entries show no old state."""
        return self.upstream_table.settles_at

    def oldest_table_age_s(self) -> float:
        """Returns the age in seconds of the table that is less current."""
        return max(item.age_s() for item in self.tables)

    def newest_used_term(self) -> int:
        """Returns the newest term of a leader that formed a known group."""
        return max(
            (
                supply.term_of_epoch(item.membership.epoch)
                for item in self.book.by_name.values()
                if item.membership is not None
            ),
            default=0,
        )

    def mark_head_open(self, name: str, member) -> None:
        """Marks a head as open because the leader reports it as serving.

        Has no effect if the head is unknown, or if its entry shows it open
        with the same epoch or a newer one. The next change of the entry in
        the table overrides this. Calls the functions in
        ``on_group_changed`` and ``on_upstreams_changed``.

        Args:
            name: Name of the head.
            member: Membership that the leader reports.
        """
        known = self.book.by_name.get(name)
        if known is None or (
            known.membership is not None
            and known.membership.epoch >= member.epoch
            and known.is_open_head
        ):
            return
        logs.event(
            'head_opened',
            upstream=name,
            group=member.group,
            epoch=member.epoch,
        )
        for listener in self.on_group_changed:
            listener(name)
        changed = dataclasses.replace(known, membership=member)
        for listener in self.on_opened:
            listener(changed)
        self.book.apply([changed], [], self.upstream_table.version)
        for listener in self.on_upstreams_changed:
            listener()

    def mark_leaving(self, upstream: deployment.Upstream) -> None:
        """Marks an upstream as draining because it says so in an answer.

        Its entry may not show it yet, in particular while the store is
        unavailable. Holds for this incarnation, whatever its entry shows.
        Calls the functions in ``on_group_changed`` and
        ``on_upstreams_changed``.

        Args:
            upstream: The upstream as it was when the request was sent.
        """
        if self._leaving.get(upstream.name) == upstream.started_ms:
            return
        known = self.book.by_name.get(upstream.name)
        if known is None or known.started_ms != upstream.started_ms:
            return
        self._leaving[upstream.name] = upstream.started_ms
        if known.draining:
            return
        logs.event(
            'upstream_leaving', upstream=known.name, service=known.service
        )
        for listener in self.on_group_changed:
            listener(known.name)
        changed = dataclasses.replace(known, draining=True)
        self.book.apply([changed], [], self.upstream_table.version)
        for listener in self.on_upstreams_changed:
            listener()

    def _apply_evacuations(self, _changed, _removed) -> None:
        zones = {
            platform.evacuated_zone(key) for key in self.config_table.rows
        } - {None}
        known = self.evacuated_zones
        if zones == known:
            return
        self.book.set_evacuated(zones)
        for zone in sorted(zones - known):
            logs.event('evacuation_begun', zone=zone)
        for zone in sorted(known - zones):
            logs.event('evacuation_ended', zone=zone)
        for listener in self.on_upstreams_changed:
            listener()

    def _apply_configuration(self, _changed, _removed) -> None:
        row = self.config_table.rows.get(platform.CONFIG_KEY)
        if row is None:
            return
        try:
            cfg = platform.decode_configuration(row.value)
        except errors.WireError as exc:
            logs.event(
                'configuration_invalid',
                'ERROR',
                row_version=row.version,
                reason=exc.message,
            )
            return
        known = self.configuration
        if known is not None and cfg.version <= known.version:
            return
        self.configuration = cfg
        for listener in self.on_configuration:
            listener(cfg)
        logs.event(
            'configuration_in_force',
            version=cfg.version,
            row_version=row.version,
            age_ms=int(self.config_table.age_s() * 1000),
            bytes=len(row.value),
            services=len(cfg.services),
        )
        if cfg.odd_cold_services:
            logs.event(
                'cold_field_odd',
                'WARNING',
                version=cfg.version,
                services=','.join(cfg.odd_cold_services),
            )

    def _apply_upstreams(self, changed, removed) -> None:
        for key in removed:
            self._handle_removed(key)
        decoded = []
        unreadable = []
        for row in changed:
            upstream = platform.decode_upstream(row.key, row.value)
            if upstream is None:
                unreadable.append(row.key)
                continue
            if self._leaving.get(upstream.name) == upstream.started_ms:
                upstream = dataclasses.replace(upstream, draining=True)
            decoded.append(upstream)
            for listener in self.on_entry:
                listener(upstream, row.version)
            self._handle_changed(upstream, row.version)
        self.book.apply(
            decoded, [*removed, *unreadable], self.upstream_table.version
        )
        for listener in self.on_upstreams_changed:
            listener()

    def _handle_removed(self, name: str) -> None:
        upstream = self.book.by_name.get(name)
        if upstream is None:
            return
        self._leaving.pop(name, None)
        logs.event('upstream_gone', upstream=name, service=upstream.service)
        for listener in self.on_removed:
            listener(upstream)

    def _handle_changed(self, upstream, version: int) -> None:
        known = self.book.by_name.get(upstream.name)
        if known == upstream:
            return
        if known is None or known.membership != upstream.membership:
            for listener in self.on_group_changed:
                listener(upstream.name)
        if known is not None and upstream.is_open_head:
            if known.membership != upstream.membership:
                for listener in self.on_opened:
                    listener(upstream)
        member = upstream.membership
        logs.event(
            'upstream_seen',
            'DEBUG' if known is not None else 'INFO',
            upstream=upstream.name,
            version=version,
            draining=upstream.draining,
            domain=upstream.domain,
            staged=','.join(upstream.staged),
            group=member.group if member else '',
            rank=member.rank if member else '',
            state=member.state.value if member else '',
        )
