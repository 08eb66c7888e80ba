"""Slow start: the budget of work that all dispatcher instances together may send to a starting engine.

An engine that has just started fails if it gets more than a multiple of its present capacity within an
overload window. Rule 4 (slow-start budget) bounds that work without any communication between the instances:
each has a fixed part of the budget. docs/design.md proves the bound.
"""

from __future__ import annotations

from math import inf
from zlib import crc32

from ashcross.decisions.engines import Engine
from ashcross.decisions.requests import Attempt, Request
from ashcross.decisions.settings import SchedulerSettings
from ashcross.decisions.sliding_window import SlidingWindow
from ashcross.decisions.utilisation import TARGET_HIGH

# Maximum number of parts of a budget. With more instances, a part would be too small for a single query, so
# the instances take turns at having one.
BUDGET_PARTS = 4
# A further factor, beside TARGET_HIGH, by which the budget stays below the allowed work: nominal cores are
# slightly inaccurate.
BUDGET_SHARE = 0.95


class SlowStart:
    """Tracks and bounds the work that this instance sends to each starting engine process."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        # A slow connect can delay an early attempt by up to the connect timeout, so attempts that were sent
        # within this longer span may all arrive within one overload window. The budget therefore holds for
        # any span of this length.
        self._span_us = settings.overload_window_us + settings.connect_timeout_us
        self._sent: dict[tuple[str, int], SlidingWindow] = {}  # work in us, by engine process
        self._first_event_us = inf  # when this instance handled its first event

    def note_event(self, now: int) -> None:
        """Record when this instance handled its first event; later events change nothing."""
        self._first_event_us = min(self._first_event_us, now)

    def is_warmed_up(self, engine: Engine, now: int) -> bool:
        """Return whether the slow start of the engine is over."""
        return engine.slow_start_progress(now, self._settings.slow_start_us) >= 1

    def has_budget_for(self, request: Request, engine: Engine, now: int) -> bool:
        """Return whether the engine's budget has room for the request now: rule 4 (slow-start budget)."""
        if self.is_warmed_up(engine, now):
            return True
        window = self._sent.setdefault(engine.process_key(), SlidingWindow(self._span_us))
        return window.total(now) + request.slow_start_cost_us <= self.budget_us(engine, now)

    def budget_us(self, engine: Engine, now: int) -> float:
        """Return the work (us) that this instance may send a starting engine in the span that ends now.

        It is 0 outside of this instance's turns, and in the first span of this instance's life for an engine
        that started earlier.
        """
        settings = self._settings
        if self._may_have_sent_before_restart(engine, now) or not self._is_our_turn(engine, now):
            return 0.0
        budget_us = (
            BUDGET_SHARE
            * TARGET_HIGH
            * settings.overload_threshold
            * settings.slow_start_initial_share
            * engine.cores
            * settings.overload_window_us
        )
        return budget_us / min(settings.instance_count, BUDGET_PARTS)

    def _may_have_sent_before_restart(self, engine: Engine, now: int) -> bool:
        """Return whether this instance may have sent work to the engine in this span, before a restart.

        The budget then counts as spent, since an instance does not know what it sent before it restarted.
        """
        started_before_first_event = engine.endpoint.start_us < self._first_event_us
        return started_before_first_event and now < self._first_event_us + self._span_us

    def _is_our_turn(self, engine: Engine, now: int) -> bool:
        """Return whether this instance may use its part of the engine's budget at this time.

        With at most BUDGET_PARTS instances each always may. With more, time since the engine's start is
        divided into turns of one instance each. A turn lasts a span / (BUDGET_PARTS - 1), so that a span
        overlaps at most BUDGET_PARTS turns.
        """
        settings = self._settings
        if settings.instance_count <= BUDGET_PARTS:
            return True
        if not engine.endpoint.start_is_certain:
            return False  # other instances may count the turns from a different start time
        turn = (now - engine.endpoint.start_us) * (BUDGET_PARTS - 1) // self._span_us
        first_instance_offset = crc32(repr(engine.process_key()).encode())
        return (turn + first_instance_offset) % settings.instance_count == settings.instance_index

    def attempt_started(self, request: Request, attempt: Attempt, now: int) -> None:
        """Count the work of an attempt on a starting engine.

        The work is kept by engine process, so that an engine that leaves the endpoint list and comes back
        does not get a new budget.
        """
        if not self.is_warmed_up(attempt.engine, now):
            self._sent[attempt.engine.process_key()].add(now, request.slow_start_cost_us)

    def remove_idle(self, now: int) -> None:
        """Remove the engine processes that were sent nothing within the last span."""
        self._sent = {process: window for process, window in self._sent.items() if window.total(now)}
