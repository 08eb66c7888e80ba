"""The clock of a dispatcher: Unix time at its start plus the monotonic time since then, in microseconds."""

from __future__ import annotations

import time
from collections.abc import Callable


def unix_us() -> int:
    """Return the system's wall clock, which may be stepped, in microseconds of Unix time."""
    return time.time_ns() // 1000


class Clock:
    """A clock that never goes back, even if the system's time is stepped after the start.

    `unix_ns` is called once, `monotonic_ns` at each reading. Both return nanoseconds.
    """

    __slots__ = ("_monotonic_ns", "_offset_us")

    def __init__(
        self,
        unix_ns: Callable[[], int] = time.time_ns,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self._monotonic_ns = monotonic_ns
        self._offset_us = (unix_ns() - monotonic_ns()) // 1000

    def __call__(self) -> int:
        """Return the current time in microseconds of Unix time."""
        return self._offset_us + self._monotonic_ns() // 1000
