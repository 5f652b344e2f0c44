"""Checks whether this node reaches the upstreams."""

import asyncio

from plantainway import logs
from plantainway import traffic

CHECK_INTERVAL_S = 0.4  # while the links are lost or suspicious
SECOND_CHECK_PAUSE_S = 0.02  # after the first check without an answer


class LinkTask:
    """Checks a few upstreams over new connections when many have failed.

    Args:
        monitor: Monitor of the links.
        view: Decoded tables of the platform.
        client: Client of the upstreams.
        rng: Source of randomness.
    """

    def __init__(self, monitor, view, client, rng):
        self._monitor = monitor
        self._view = view
        self._client = client
        self._rng = rng
        self._wake = asyncio.Event()
        self._check: asyncio.Future | None = None
        monitor.on_suspicious.append(self._wake.set)
        monitor.on_change.append(self._log_change)

    def _log_change(self) -> None:
        logs.event(
            'links_lost' if self._monitor.is_lost else 'links_regained',
            'WARNING',
        )

    async def run(self) -> None:
        """Checks the links whenever they are suspicious, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._monitor.is_suspicious:
                had_answer = await self.check()
                if had_answer and not self._monitor.is_lost:
                    break
                await asyncio.sleep(
                    CHECK_INTERVAL_S
                    if self._monitor.is_lost
                    else SECOND_CHECK_PAUSE_S
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> bool:
        """Asks a few upstreams, and returns whether any of them answered.

        Callers at the same time share one check.
        """
        if self._check is None or self._check.done():
            self._check = asyncio.ensure_future(self._check_links())
        return await asyncio.shield(self._check)

    async def _check_links(self) -> bool:
        cfg = self._view.configuration
        upstreams = self._view.book.by_name.values()
        engines = [item for item in upstreams if self._is_engine(item, cfg)]
        chosen = traffic.choose_checked(engines or upstreams, self._rng)
        answers = await asyncio.gather(
            *(self.reaches(item) for item in chosen)
        )
        self._monitor.record_check(sum(answers), len(answers))
        return any(answers)

    async def reaches(self, upstream) -> bool:
        """Returns whether an upstream answers on a new connection.

        Args:
            upstream: The upstream.
        """
        cfg = self._view.configuration
        path = None
        if not self._is_engine(upstream, cfg) and cfg is not None:
            service = cfg.services.get(upstream.service)
            path = service.health_path if service else None
        return await self._client.is_reached(upstream, path)

    def _is_engine(self, upstream, cfg) -> bool:
        return cfg is not None and upstream.service in cfg.engines
