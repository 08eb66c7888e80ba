"""Conversion of a time span between the clocks of two processes.

All times in this package are microseconds of a process's own clock, which never goes back and runs on while
the process is stopped. Times of two processes are never compared. A process that relies on a span promised
by another one counts the span from before it asked for the promise, and shortens it by `DRIFT_MARGIN`.
"""

from __future__ import annotations

# largest difference between the rates of two clocks, in parts per million (docs/cluster.md, "Clocks")
MAX_DRIFT_PPM = 500
DRIFT_MARGIN = 2 * MAX_DRIFT_PPM / 1e6  # the share by which a span promised on another clock is shortened


def guaranteed_us(span_us: float) -> int:
    """Return `span_us` shortened for this clock.

    Counted on this clock, the result ends before `span_us` counted on another clock, if both begin at the
    same instant. This holds for clocks whose rates differ by at most `MAX_DRIFT_PPM`.
    """
    return int(span_us * (1.0 - DRIFT_MARGIN))
