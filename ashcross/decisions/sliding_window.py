"""A sum over a sliding window of time."""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """Sum of the amounts of the last `span_us` microseconds."""

    __slots__ = ("_amounts", "_span_us", "_sum")

    def __init__(self, span_us: int) -> None:
        self._span_us = span_us
        self._sum = 0.0
        self._amounts: deque[tuple[int, float]] = deque()  # time in us, amount

    def add(self, now: int, amount: float) -> None:
        """Add an amount at the time `now` (us)."""
        self._amounts.append((now, amount))
        self._sum += amount
        self.total(now)

    def total(self, now: int) -> float:
        """Remove amounts that are `span_us` old or older, and return the sum of the rest."""
        while self._amounts and self._amounts[0][0] <= now - self._span_us:
            self._sum -= self._amounts.popleft()[1]
        if not self._amounts:
            self._sum = 0.0
        return self._sum
