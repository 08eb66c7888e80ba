"""The review: a periodic update of what depends on all ready engines together.

It covers the slowness, ejection and load of each engine, our share of the fleet, and the order in which
engines are compared.
"""

from __future__ import annotations

from math import exp

from ashcross.decisions.capacity import Capacity
from ashcross.decisions.context import Context
from ashcross.decisions.engine_load import EngineLoads
from ashcross.decisions.engine_table import LARGE_FLEET, EngineTable
from ashcross.decisions.outlier_detection import OutlierDetection
from ashcross.decisions.timing import LONG_AGO_US

# Periods of the periodic update between two reviews; a large fleet is reviewed less often, as it costs more.
REVIEW_PERIODS = 4


class EngineReview:
    """Runs the steps of the review in their order: the later steps use the results of the earlier ones."""

    def __init__(
        self,
        context: Context,
        engines: EngineTable,
        outliers: OutlierDetection,
        loads: EngineLoads,
        capacity: Capacity,
    ) -> None:
        self._period_us = context.timing.period_us
        self._decay_us = context.timing.decay_us
        self._engines = engines
        self._outliers = outliers
        self._loads = loads
        self._capacity = capacity
        self._reviewed_us = LONG_AGO_US

    def is_due(self, now: int) -> bool:
        """Return whether it is time for a review."""
        periods = REVIEW_PERIODS * max(1, len(self._engines.by_name) // LARGE_FLEET)
        return now - self._reviewed_us >= periods * self._period_us

    def run(self, now: int) -> None:
        """Review all ready engines."""
        elapsed_us = now - self._reviewed_us
        decay = exp(-elapsed_us / self._decay_us)
        self._reviewed_us = now
        ready = self._engines.refresh_ready()
        self._loads.decay_reports(ready, decay)
        self._outliers.decay_samples(ready, decay)
        self._outliers.count_overdue(now)
        if not ready:
            return
        self._outliers.update_slowness(ready)
        self._loads.update_fleet(ready)
        self._capacity.review(ready, elapsed_us, now)
        self._loads.update_estimates(ready, now)
        self._outliers.eject_and_reinstate(ready, now)
