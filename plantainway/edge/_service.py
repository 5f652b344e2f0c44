"""Process lifecycle of a node: start, signals and shutdown."""

import asyncio
import functools
import signal

import aiomisc

from plantainway.edge import _node
from plantainway import logs


STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class EdgeService(aiomisc.Service):
    """Runs a node under an aiomisc entrypoint.

    Args:
        cfg: Settings.
    """

    def __init__(self, cfg, **kwargs):
        super().__init__(**kwargs)
        self._cfg = cfg
        self.node: _node.EdgeNode | None = None
        self._running_loop: asyncio.AbstractEventLoop | None = None
        self._is_stopping = False

    async def start(self) -> None:
        """Starts the node, and from then on logs each SIGHUP."""
        self.node = _node.EdgeNode(self._cfg)
        await self.node.start()
        loop = asyncio.get_running_loop()
        # SIGHUP is only logged: changed settings need a restart.
        loop.add_signal_handler(
            signal.SIGHUP, logs.event, 'settings_changed', 'INFO'
        )
        self._running_loop = loop

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains and stops the node."""
        await self.node.stop()

    def handle_signal(self, number: int, _frame) -> None:
        """Begins the shutdown at the first signal, logs further ones.

        A node that stops still serves requests and ends by itself in time.
        Before it runs, a signal ends the process.

        Args:
            number: Signal.
        """
        loop = self._running_loop
        if loop is None:
            signal.signal(number, signal.SIG_DFL)
            signal.raise_signal(number)
        elif not self._is_stopping:
            self._is_stopping = True
            loop.call_soon_threadsafe(loop.stop)
        elif not loop.is_closed():
            # The signal may have come while a line is being logged.
            loop.call_soon_threadsafe(
                functools.partial(logs.event, 'stop_repeated', signal=number)
            )


def run(cfg) -> None:
    """Runs a node until SIGTERM or SIGINT, then drains and stops it.

    Args:
        cfg: Settings.
    """
    service = EdgeService(cfg)
    for number in STOP_SIGNALS:
        signal.signal(number, service.handle_signal)
    # The library's own handlers give way to the default action, which ends
    # the process, as soon as the shutdown begins.
    with aiomisc.entrypoint(
        service, log_config=False, catch_signals=()
    ) as loop:
        loop.run_forever()
    logs.event('process_ending', node=cfg.node)
