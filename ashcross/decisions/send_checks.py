"""Checks before each attempt: whether a request may have an attempt now, and on which engine.

Each rule is decided in its own module; this module combines them.
"""

from __future__ import annotations

from ashcross.decisions import placement
from ashcross.decisions.engines import Engine
from ashcross.decisions.ordering import Ordering
from ashcross.decisions.requests import Request
from ashcross.decisions.retries import Retries
from ashcross.decisions.settings import SchedulerSettings
from ashcross.decisions.slow_start import SlowStart


class SendChecks:
    """Checks of all rules, made when an engine is chosen and again when the attempt starts."""

    def __init__(
        self, settings: SchedulerSettings, ordering: Ordering, retries: Retries, slow_start: SlowStart
    ) -> None:
        self._connect_timeout_us = settings.connect_timeout_us
        self._ordering = ordering
        self._retries = retries
        self._slow_start = slow_start

    def may_start(self, request: Request, now: int) -> bool:
        """Return whether the request may have an attempt now, whatever the engine.

        Checks rules 1 (one final answer), 2 (no effect happens twice), 5 (ordering) and 7 (retry budget).
        """
        if request.completed or not self._ordering.is_next(request, now):
            return False
        return self._retries.may_start_attempt(request, now)

    def may_send_to(self, request: Request, engine: Engine, now: int) -> bool:
        """Return whether the request may be sent to this engine now.

        Checks rules 2 (no effect happens twice), 3 (drains kept), 4 (slow-start budget) and 6 (placement).
        """
        endpoint = engine.endpoint
        if not engine.ready or not placement.is_allowed(request.class_settings, endpoint):
            return False
        if request.attempts and not placement.keeps_deduplication_scope(
            request, endpoint, self._connect_timeout_us
        ):
            return False
        return self._slow_start.has_budget_for(request, engine, now)
