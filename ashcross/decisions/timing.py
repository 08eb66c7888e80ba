"""Intervals that several modules share, in microseconds, derived from the settings."""

from __future__ import annotations

from dataclasses import dataclass

from ashcross.decisions.settings import SchedulerSettings

LONG_AGO_US = -(1 << 62)  # a time before any event

# intervals relative to the shortest latency objective of all classes
PERIODS_PER_OBJECTIVE = 20  # periodic updates in the time of one objective
REPORT_MAX_AGE_OBJECTIVES = 1.0  # age up to which a load report is used, in objectives
DECAY_TIME_OBJECTIVES = 3.0  # time in which outcome samples and reports decay by a factor of e, in objectives


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals derived from the shortest latency objective of all classes."""

    period_us: int  # time between two periodic updates
    report_max_age_us: float
    decay_us: float
    deadline_margin_us: int  # a request with no more than this time until its deadline must be answered now

    @classmethod
    def from_settings(cls, settings: SchedulerSettings) -> Timing:
        """Return the intervals for `settings`, which must have at least one class."""
        objective_us = min(class_settings.latency_objective_us for class_settings in settings.classes)
        period_us = max(settings.time_step_us, objective_us // PERIODS_PER_OBJECTIVE)
        return cls(
            period_us=period_us,
            report_max_age_us=REPORT_MAX_AGE_OBJECTIVES * objective_us,
            decay_us=DECAY_TIME_OBJECTIVES * objective_us,
            # the longest time between two updates, twice: one update may be late
            deadline_margin_us=2 * (period_us + settings.time_step_us),
        )
