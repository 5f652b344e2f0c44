"""Entry point of a node process on the platform.

SIGHUP is ignored before the other modules are imported: until the node
handles it, its default action would end the process.
"""

import importlib
import signal
import sys

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(importlib.import_module('plantainway.edge.__main__').main())
