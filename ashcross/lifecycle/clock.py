"""The one clock of a dispatcher: Unix time at its start plus what has passed since, in microseconds."""

from __future__ import annotations

import time


class Clock:
    """Never goes back, whatever is done to the system's time after the start."""

    __slots__ = ("_offset_us",)

    def __init__(self) -> None:
        self._offset_us = (time.time_ns() - time.monotonic_ns()) // 1000

    def __call__(self) -> int:
        """Now, in microseconds of Unix time."""
        return self._offset_us + time.monotonic_ns() // 1000
