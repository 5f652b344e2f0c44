"""Entry point of ``python -m plantainway``."""

import sys

from plantainway import cli

if __name__ == '__main__':
    sys.exit(cli.main())
