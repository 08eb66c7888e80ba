"""Start times of engine processes on the dispatcher's own clock, even if wall clocks are wrong or stepped.

The endpoint list gives a start as Unix time. It is translated once, when the list first names it, and bounded
by what was observed: a process that the list did not name some time ago cannot have started long before then,
and no list names a start long before it happens.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from ashcross.decisions.events import Endpoint
from ashcross.registry.recent import RecentDict

LIST_DELAY_US = 7_000_000  # the longest delay between a change and its announcement in the list (PROTOCOL)
MAXIMUM_AHEAD_US = 10_000_000  # a start announced further ahead than this comes from a wrong clock
CLOCK_TOLERANCE_US = 1_000_000  # the clocks of two machines may differ by this much without being wrong
# Known starts are kept even while the list does not name them, so that a list that drops and names an engine
# again does not cause a new estimate.
MAXIMUM_KNOWN_STARTS = 4_096


@dataclass(frozen=True, slots=True)
class _Process:
    """One process of an engine, as the endpoint list identifies it."""

    engine_name: str
    boot_us: int


@dataclass(frozen=True, slots=True)
class _StartTime:
    """A start on the dispatcher's clock; not certain if the announced start contradicts what was observed."""

    started_us: int
    is_certain: bool


class StartTimes:
    """Translates announced start times to the clock of the scheduler's events.

    `clock` is that clock and `wall_clock` the system's Unix clock, both in microseconds.
    """

    def __init__(self, clock: Callable[[], int], wall_clock: Callable[[], int]) -> None:
        self._clock = clock
        self._wall_clock = wall_clock
        self._starts: RecentDict[_Process, _StartTime] = RecentDict(MAXIMUM_KNOWN_STARTS)

    def with_start_time(self, endpoint: Endpoint, unseen_us: int | None) -> Endpoint:
        """Return the endpoint with its start time; `unseen_us` ago the list lacked it (None: unknown)."""
        if endpoint.boot_us <= 0:
            return endpoint  # the list gives no start time for a process that has been running for long
        process = _Process(endpoint.name, endpoint.boot_us)
        start = self._starts.get(process) or self._estimate(endpoint.boot_us, unseen_us)
        self._starts.put(process, start)
        return replace(endpoint, started_us=start.started_us, start_is_certain=start.is_certain)

    def _estimate(self, boot_us: int, unseen_us: int | None) -> _StartTime:
        now = self._clock()
        announced_us = boot_us - (self._wall_clock() - now)
        started_us = announced_us if announced_us <= now + MAXIMUM_AHEAD_US else now
        if unseen_us is not None:
            started_us = max(started_us, now - unseen_us - LIST_DELAY_US)
        return _StartTime(started_us, abs(started_us - announced_us) <= CLOCK_TOLERANCE_US)
