"""Entry point: `python -m ashcross`."""

import sys

from ashcross.cli import main

if __name__ == "__main__":
    sys.exit(main())
