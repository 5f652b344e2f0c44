"""Node processes that tests start, signal and stop."""

import asyncio
import os
import re
import signal
import sys

from tests.platform import conftest


class Process:
    """A node process and its log.

    Args:
        cfg: Settings of the node.
        path: File to which the settings are written.

    Attributes:
        lines: Lines of the log so far.
        addresses: Addresses of its listeners, by the listener's name.
    """

    def __init__(self, cfg, path):
        path.write_text(cfg.model_dump_json())
        self._path = path
        self.lines: list[str] = []
        self.addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Starts the process and waits until it listens."""
        self.proc = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'plantainway.start_edge',
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {'PLANTAINWAY_SETTINGS': str(self._path)},
        )
        self._reader = asyncio.ensure_future(self._read())
        before = len(self.lines)
        await conftest.until(
            lambda: (
                self.has_logged('node_started', before)
                or self.proc.returncode is not None
            ),
            'start',
        )
        status = self.proc.returncode
        assert status is None, f'exited with status {status} while starting'
        (line,) = [
            one for one in self.lines[before:] if 'event=node_started' in one
        ]
        self.addresses = dict(
            re.findall(r'(peer|caller|directory|readiness)=(\S+)', line)
        )

    async def _read(self) -> None:
        async for line in self.proc.stdout:
            self.lines.append(line.decode())

    def has_logged(self, event: str, since: int = 0) -> bool:
        """Returns whether an event was logged.

        Args:
            event: Name of the event.
            since: Number of lines to skip.
        """
        return any(f'event={event} ' in line for line in self.lines[since:])

    async def stop(self, number=signal.SIGKILL) -> int:
        """Sends a signal to the process, if it runs, and waits for its exit.

        Args:
            number: Signal to send.

        Returns:
            The exit status.
        """
        if self.proc.returncode is None:
            self.proc.send_signal(number)
        status = await self.proc.wait()
        await self._reader
        return status
