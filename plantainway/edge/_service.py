"""Process lifecycle of a node: start, signals and shutdown."""

import asyncio
import signal

import aiomisc

from plantainway.edge import _node
from plantainway import logs


class EdgeService(aiomisc.Service):
    """Runs a node under an aiomisc entrypoint.

    Args:
        cfg: Settings.
    """

    def __init__(self, cfg, **kwargs):
        super().__init__(**kwargs)
        self._cfg = cfg
        self.node: _node.EdgeNode | None = None

    async def start(self) -> None:
        """Starts the node, and from then on logs each SIGHUP."""
        self.node = _node.EdgeNode(self._cfg)
        await self.node.start()
        loop = asyncio.get_running_loop()
        # SIGHUP is only logged: changed settings need a restart.
        loop.add_signal_handler(
            signal.SIGHUP, logs.event, 'settings_changed', 'INFO'
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains and stops the node."""
        await self.node.stop()


def run(cfg) -> None:
    """Runs a node until SIGTERM or SIGINT, then drains and stops it.

    Args:
        cfg: Settings.
    """
    with aiomisc.entrypoint(
        EdgeService(cfg),
        log_config=False,
        shutdown_timeout=cfg.bounds.stop_s,
    ) as loop:
        loop.run_forever()
    logs.event('process_ending', node=cfg.node)
