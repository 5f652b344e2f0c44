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
        self.book = deployment.UpstreamRegistry()
        self.configuration: deployment.Configuration | None = None
        self.config_rows = cluster.Follower(platform.CONFIG_TABLE, clock)
        self.upstream_rows = cluster.Follower(
            platform.UPSTREAM_TABLE, clock, keeps_lapsed=True
        )
        self.config_rows.on_change.append(self._take_configuration)
        self.upstream_rows.on_change.append(self._take_upstreams)
        self.on_configuration = []
        self.on_gone = []
        self.on_regrouped = []
        self.on_upstreams = []

    @property
    def followers(self) -> list[cluster.Follower]:
        """Returns the followers of both tables."""
        return [self.config_rows, self.upstream_rows]

    @property
    def is_complete(self) -> bool:
        """Tells whether requests can be served from it."""
        return self.configuration is not None and self.upstream_rows.is_loaded

    def upstreams_as_of(self) -> float:
        """Returns when the upstreams were last known to be current."""
        return self.upstream_rows.current_as_of

    def age_s(self) -> float:
        """Returns how long ago the older table was known to be current."""
        return max(item.age_s() for item in self.followers)

    def note_opened(self, name: str, member) -> None:
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
        for listener in self.on_regrouped:
            listener(name)
        changed = dataclasses.replace(known, membership=member)
        self.book.apply([changed], [], self.upstream_rows.version)
        for listener in self.on_upstreams:
            listener()

    def _take_configuration(self, _changed, _removed) -> None:
        row = self.config_rows.rows.get(platform.CONFIG_KEY)
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

    def _take_upstreams(self, changed, removed) -> None:
        for key in removed:
            self._note_gone(key)
        decoded = []
        unreadable = []
        for row in changed:
            upstream = platform.decode_upstream(row.key, row.value)
            if upstream is None:
                unreadable.append(row.key)
                continue
            decoded.append(upstream)
            self._note_changed(upstream, row.version)
        self.book.apply(
            decoded, [*removed, *unreadable], self.upstream_rows.version
        )
        for listener in self.on_upstreams:
            listener()

    def _note_gone(self, name: str) -> None:
        upstream = self.book.by_name.get(name)
        if upstream is None:
            return
        logs.event('upstream_gone', upstream=name, service=upstream.service)
        for listener in self.on_gone:
            listener(upstream)

    def _note_changed(self, upstream, version: int) -> None:
        known = self.book.by_name.get(upstream.name)
        if known == upstream:
            return
        if known is None or known.membership != upstream.membership:
            for listener in self.on_regrouped:
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
