"""Entry point of a node on the platform."""

import os
import sys

from plantainway import clock
from plantainway import edge
from plantainway import errors
from plantainway import logs
from plantainway import platform

EXIT_USAGE = 2
STDOUT = 1


def main() -> int:
    """Runs a node with the settings file that the environment names.

    Returns:
        Exit status of the process.
    """
    path = os.environ.get(platform.SETTINGS_VARIABLE, '')
    try:
        if not path:
            raise errors.SettingsError(
                f'{platform.SETTINGS_VARIABLE} is not set'
            )
        cfg = edge.load(path)
    except errors.SettingsError as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_USAGE
    sink = logs.BoundedSink(STDOUT, clock.MonotonicClock())
    logs.configure(cfg.log_level, sink.write)
    edge.run(cfg)
    return 0


if __name__ == '__main__':
    sys.exit(main())
