"""The configuration and the upstreams, taken from the followed tables."""

import dataclasses

from plantainway import cluster
from plantainway import deployment
from plantainway import errors
from plantainway import logs
from plantainway import platform


class PlatformView:
    """What the rows of the platform's store say, decoded.

    Args:
        clock: Source of monotonic time.

    Attributes:
        on_configuration: Called with each configuration put in force.
        on_gone: Called with each upstream whose entry is gone.
        on_regrouped: Called with the name of each upstream whose group has
            changed.
        on_upstreams: Called after the upstream book has changed.
    """

    def __init__(self, clock):
        self.book = deployment.UpstreamBook()
        self.configuration: deployment.Configuration | None = None
        self.config_table = cluster.TableCache(platform.CONFIG_TABLE, clock)
        self.upstream_table = cluster.TableCache(
            platform.UPSTREAM_TABLE, clock, defers_removals=True
        )
        self.config_table.on_change.append(self._apply_configuration)
        self.upstream_table.on_change.append(self._apply_upstreams)
        self.on_configuration = []
        self.on_removed = []
        self.on_group_changed = []
        self.on_upstreams_changed = []

    @property
    def tables(self) -> list[cluster.TableCache]:
        """Returns the followers of both tables."""
        return [self.config_table, self.upstream_table]

    @property
    def is_complete(self) -> bool:
        """Tells whether requests can be served from it."""
        return self.configuration is not None and self.upstream_table.is_loaded

    def upstreams_as_of(self) -> float:
        """Returns when the upstreams were last known to be current."""
        return self.upstream_table.current_as_of

    def oldest_table_age_s(self) -> float:
        """Returns how long ago the older table was known to be current."""
        return max(item.age_s() for item in self.tables)

    def mark_head_open(self, name: str, member) -> None:
        """Takes the leader's word that a head serves.

        The next change of its entry goes before this.

        Args:
            name: Name of the head.
            member: Its membership.
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
        self.book.apply([changed], [], self.upstream_table.version)
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
            services=len(cfg.services),
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
            decoded.append(upstream)
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
