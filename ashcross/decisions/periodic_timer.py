"""Timer of the periodic update: at most one is set, and none while there is nothing to do."""

from __future__ import annotations

from ashcross.decisions.actions import StartTimer
from ashcross.decisions.context import Context

TIMER_TOKEN = 0


class PeriodicTimer:
    """Timer for the next periodic update."""

    def __init__(self, context: Context) -> None:
        self._period_us = context.timing.period_us
        self._actions = context.actions
        self._running = False

    def start(self, now: int) -> None:
        """Set the timer to fire after one period, unless it is set."""
        if not self._running:
            self._running = True
            self._actions.append(StartTimer(now + self._period_us, TIMER_TOKEN))

    def fired(self) -> None:
        """Note that the timer has fired and may be set again."""
        self._running = False
