"""Entry point: `python -m ashcross`."""

import sys

from ashcross.service.signals import Signals

if __name__ == "__main__":
    signals = Signals()
    listener = None
    if sys.argv[1:2] == ["serve"]:
        signals.install()  # installed before the slow imports: the default actions would end the process
        from ashcross.service.listener import open_early_listener

        listener = open_early_listener(sys.argv)
    from ashcross.cli import main

    sys.exit(main(signals=signals, listener=listener))
