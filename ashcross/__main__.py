"""Entry point: `python -m ashcross`."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # a SIGHUP while the program is still being loaded needs nothing: the configuration is read after that
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ashcross.cli import main

if __name__ == "__main__":
    sys.exit(main())
