"""Calls scheduled for a time, in a heap."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any, TypeVar

from ashcross.logs import rate_limited_log

MINIMUM_COMPACTED_SIZE = 1024  # a heap with fewer entries is not searched for obsolete ones

Argument = TypeVar("Argument")


class Deadlines:
    """Calls ordered by the time at which they are due, in microseconds, then by the order of adding.

    Entries cannot be cancelled. When the heap has doubled, entries whose argument `is_obsolete` are dropped.
    A call must tolerate an argument that has become obsolete since then.
    """

    def __init__(self, is_obsolete: Callable[[object], bool]) -> None:
        self._is_obsolete = is_obsolete
        # time, serial number, call and its argument; each entry may have another type of argument
        self._heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._serial = 0
        self._compact_at = MINIMUM_COMPACTED_SIZE

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._heap)

    def add(self, at_us: int, call: Callable[[Argument], None], argument: Argument) -> None:
        """Schedule `call(argument)` for `at_us`."""
        self._serial += 1
        heappush(self._heap, (at_us, self._serial, call, argument))
        if len(self._heap) >= self._compact_at:
            self._compact()

    def _compact(self) -> None:
        """Drop obsolete entries: those of a flood of short requests would stay until they are due."""
        self._heap = [entry for entry in self._heap if not self._is_obsolete(entry[3])]
        heapify(self._heap)
        self._compact_at = max(MINIMUM_COMPACTED_SIZE, 2 * len(self._heap))

    def next_us(self) -> int | None:
        """Return the time at which the next call is due; None if there is none."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: int) -> None:
        """Make the calls that are due at `now`, including those that they add themselves."""
        while self._heap and self._heap[0][0] <= now:
            _, _, call, argument = heappop(self._heap)
            try:
                call(argument)
            except Exception as error:  # the calls after this one must still be made
                name = getattr(call, "__qualname__", type(call).__name__)
                rate_limited_log.warn("due", f"internal error in a scheduled call: call={name}", error)
