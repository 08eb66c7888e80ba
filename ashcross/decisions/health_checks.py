"""Health checks: which engines are asked for their load, and how often.

Each health check has a price (see the settings), so their number is limited in proportion to the requests
received.
"""

from __future__ import annotations

from ashcross.decisions.actions import StartHealthCheck
from ashcross.decisions.context import Context
from ashcross.decisions.engines import Engine

MAXIMUM_PER_REQUEST = 0.3  # maximum number of health checks per request received
# maximum price of all health checks together, as a share of the priority weight of all requests
MAXIMUM_COST_SHARE = 0.01


class HealthChecks:
    """Earns a fraction of a health check by each request, and spends them on the ready engines."""

    def __init__(self, context: Context) -> None:
        settings = context.settings
        price = settings.health_check_price or MAXIMUM_COST_SHARE
        self._earned_per_request = min(MAXIMUM_PER_REQUEST, MAXIMUM_COST_SHARE / price)
        self._interval_us = context.timing.report_max_age_us
        self._enabled = (
            settings.health_checks_allowed
            and bool(settings.load_report_fields)
            and not settings.load_reports_in_answers
        )
        self._actions = context.actions
        self._credit = 0.0

    def request_received(self, ready_count: int) -> None:
        """Earn a fraction of a health check, up to a credit of one for each ready engine."""
        self._credit = min(ready_count, self._credit + self._earned_per_request)

    def start_due(self, ready: list[Engine], now: int) -> None:
        """Start health checks of engines whose last one is older than a load report may be.

        Does nothing if health checks are not allowed, bring no load report, or if answers bring the reports.
        """
        if not self._enabled:
            return
        for engine in ready:
            if self._credit >= 1.0 and now - engine.health_checked_us >= self._interval_us:
                engine.health_checked_us = now
                self._credit -= 1.0
                self._actions.append(StartHealthCheck(engine.endpoint.name))
