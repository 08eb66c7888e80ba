"""The load of each engine, estimated from its last load report and from the load of the fleet.

A load is the share in use of an engine's scarcest resource, 0 to about 1. The older an engine's last report,
the more the load of the fleet counts instead.
"""

from __future__ import annotations

from math import exp

from ashcross.decisions.engines import Engine
from ashcross.decisions.estimates import Estimates
from ashcross.decisions.settings import SchedulerSettings
from ashcross.decisions.utilisation import TARGET_HIGH

# slowdown of run times against the baseline that is taken as a load of TARGET_HIGH, without load reports
SLOWDOWN_AT_TARGET = 1.5

# Names of the fields of a load report: queries being processed, and shares in use of the cores, the memory
# that is granted to queries, and the disks.
ACTIVE_QUERIES = "active"
BUSY_CORES = "cpu"
MEMORY_GRANTED = "x0"
BUSY_DISKS = "x1"
SHARES_IN_USE = (BUSY_CORES, MEMORY_GRANTED, BUSY_DISKS)
# Recorded for an engine that rejected an attempt as overloaded: it counts as full, whatever it last reported.
OVERLOADED_REPORT = {BUSY_CORES: 1.0}


class EngineLoads:
    """Records load reports and estimates the load of the fleet and of each engine."""

    def __init__(self, settings: SchedulerSettings, estimates: Estimates) -> None:
        self._estimates = estimates
        self._slow_start_us = settings.slow_start_us
        self.reports_weight = 0.0  # sum of the weights of all reports, at most 1; 0 without any report
        self.fleet_load = 0.0  # 0 to about 1
        self._total_weight = 0.0

    @staticmethod
    def record_report(engine: Engine, report: dict[str, float]) -> None:
        """Record a load report; the load is the largest share in use, or the queries per core if more.

        Shares in use never exceed 1, and disks can be saturated while the cores are idle, so the queries per
        core count too. An empty report has no weight.
        """
        queries_per_core = report.get(ACTIVE_QUERIES, 0.0) / engine.cores
        load = engine.load
        load.report_weight = float(bool(report))
        load.reported_cpu = report.get(BUSY_CORES, 0.0)
        load.reported_load = max(queries_per_core, *(report.get(name, 0.0) for name in SHARES_IN_USE))
        load.estimate = load.reported_load

    @staticmethod
    def decay_reports(ready: list[Engine], decay: float) -> None:
        """Reduce the weight of all reports by the factor `decay`."""
        for engine in ready:
            engine.load.report_weight *= decay

    def update_fleet(self, ready: list[Engine]) -> None:
        """Estimate the load of the fleet from all reports and from the slowdown of run times.

        The slowdown weighs as much as all reports and one more, since reports do not cover every bottleneck.
        """
        weight = sum(engine.load.report_weight for engine in ready)
        reported = sum(engine.load.report_weight * engine.load.reported_load for engine in ready)
        slowdown_load = TARGET_HIGH * exp(self._estimates.slowdown_log) / SLOWDOWN_AT_TARGET
        self._total_weight = weight
        self.reports_weight = min(1.0, weight)
        self.fleet_load = (slowdown_load * (1.0 + weight) + reported) / (1.0 + 2 * weight)

    def reported_utilisation(self, ready: list[Engine]) -> float | None:
        """Return the mean share of busy cores, 0 to 1; None if all reports weigh less than one new report."""
        if self._total_weight < 1.0:
            return None
        busy = sum(engine.load.report_weight * engine.load.reported_cpu for engine in ready)
        return busy / self._total_weight

    def update_estimates(self, ready: list[Engine], now: int) -> None:
        """Estimate each engine's load from its report and from the load of the fleet.

        Without a report, an engine in slow start counts as idle, since it has just started.
        """
        for engine in ready:
            load = engine.load
            load_without_report = 0.0
            if engine.slow_start_progress(now, self._slow_start_us) >= 1:
                load_without_report = self.fleet_load * engine.outlier.relative_slowness
            load.estimate = (
                load.report_weight * load.reported_load + (1.0 - load.report_weight) * load_without_report
            )
