"""Entry point: `python -m ashcross.bench_adapter` serves the protocol on standard input and output."""

from __future__ import annotations

import gc
import sys

from ashcross.bench_adapter.codec import WireError
from ashcross.bench_adapter.host import Host

EXIT_DONE = 0
EXIT_BAD_INPUT = 2


def main() -> int:
    """Answer batches until the input ends, and return the exit code."""
    gc.freeze()  # modules live as long as the process: the garbage collector need not scan them again
    try:
        for reply in Host().replies(sys.stdin):
            sys.stdout.write(reply)
            sys.stdout.flush()
    except WireError as error:
        print(f"ashcross.bench_adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return EXIT_DONE


if __name__ == "__main__":
    # At the start of a program both are text streams; their declared types allow other kinds of streams.
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.exit(main())
