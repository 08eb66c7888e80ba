"""Feedback control of the multiprogramming level (MPL) and of the class quotas, after PAQRS.

The level is a number of slots for each core of this instance's share of an engine: at level 1.0 this instance
may use as many slots on an engine as it has cores there. At the end of each observation window, a quadratic
is fitted to the weighted miss ratio as a function of the level and a line to the utilisation, and the next
level is computed from both fits (sections III and IV of the PAQRS paper, docs/design.md).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ashcross.decisions.regression import LinearFit, QuadraticFit, RunningMoments
from ashcross.decisions.requests import Attempt, Request
from ashcross.decisions.settings import SchedulerSettings
from ashcross.decisions.timing import LONG_AGO_US
from ashcross.decisions.utilisation import MAXIMUM_LEVEL, TARGET_HIGH, TARGET_LOW

# An observation window ends once it has this many completed requests in total and in each class, or after
# WINDOW_US if at least one request has completed.
WINDOW_COMPLETIONS = 30
WINDOW_COMPLETIONS_PER_CLASS = 10
WINDOW_US = 5_000_000

MINIMUM_LEVEL = 0.75  # slots per core; when everything is slow, the feedback must not leave the engines idle
# Lower bound, as a share of capacity, of the utilisation by which the utilisation rule divides. Without it
# the level would jump while the engines are idle.
MINIMUM_UTILISATION = 0.05
SHIFT_STANDARD_ERRORS = 2.576  # two-sided 99% point of the normal distribution


@dataclass(eq=False, slots=True)
class WorkloadMoments:
    """Moments of the resources and the latency objectives that the requests of a class ask for."""

    memory_mb: RunningMoments = field(default_factory=RunningMoments)
    work_us: RunningMoments = field(default_factory=RunningMoments)
    objective_per_work: RunningMoments = field(default_factory=RunningMoments)

    def differs_from(self, earlier: WorkloadMoments) -> bool:
        """Return whether a mean differs from its `earlier` value with 99% confidence.

        A mean without earlier values does not differ.
        """
        pairs = (
            (self.memory_mb, earlier.memory_mb),
            (self.work_us, earlier.work_us),
            (self.objective_per_work, earlier.objective_per_work),
        )
        return any(
            previous.count > 0 and current.standard_errors_from(previous) > SHIFT_STANDARD_ERRORS
            for current, previous in pairs
        )


@dataclass(eq=False, slots=True)
class ClassObservations:
    """Counts of one class in the current observation window, and its quota."""

    weight: float  # share of the sum of all priority weights; a heavier class has a lower target miss ratio
    quota: float = inf  # maximum number of open requests outside of the reserve queue
    in_quota: int = 0  # open requests that count against the quota
    running: int = 0  # attempts in flight
    peak_running: int = 0  # most attempts in flight at once in this window
    completed: int = 0  # requests within their tenants' quotas
    missed: int = 0  # of the completed requests, those that missed their latency objective
    workload: WorkloadMoments = field(default_factory=WorkloadMoments)
    last_workload: WorkloadMoments = field(default_factory=WorkloadMoments)

    def miss_ratio(self) -> float:
        """Return the share of completed requests that missed their objective, 0 to 1; 0 if none completed."""
        return self.missed / self.completed if self.completed else 0.0


class MplController:
    """Owns the multiprogramming level, the fits, the observation window and the class quotas."""

    def __init__(self, settings: SchedulerSettings) -> None:
        total_weight = sum(class_settings.priority_weight for class_settings in settings.classes) or 1.0
        self.classes = [
            ClassObservations(class_settings.priority_weight / total_weight)
            for class_settings in settings.classes
        ]
        self.level = 1.0
        # lowest and highest level of the windows in the fits
        self.lowest_tried = 1.0
        self.highest_tried = 1.0
        self.miss_fit = QuadraticFit()  # weighted miss ratio against level
        self.utilisation_fit = LinearFit()
        self._utilisation = RunningMoments()
        self._window_started_us = LONG_AGO_US

    def start_first_window(self, now: int) -> None:
        """Start the first observation window, once the first event has been handled."""
        if self._window_started_us == LONG_AGO_US:
            self._window_started_us = now

    def has_class_quota(self, class_index: int) -> bool:
        """Return whether one more request of the class may be open outside of the reserve queue."""
        observations = self.classes[class_index]
        return observations.in_quota < observations.quota

    def request_received(self, request: Request, now: int) -> None:
        """Count a new request in the quota and the workload of its class."""
        observations = self.classes[request.event.class_index]
        if request.in_class_quota:
            observations.in_quota += 1
        workload = observations.workload
        workload.memory_mb.add(request.event.memory_mb)
        workload.work_us.add(request.work_us)
        workload.objective_per_work.add((request.due_us - now) / max(1.0, request.work_us))

    def attempt_started(self, request: Request, attempt: Attempt, now: int) -> None:  # noqa: ARG002 (observer)
        """Count an attempt as running."""
        observations = self.classes[request.event.class_index]
        observations.running += 1
        observations.peak_running = max(observations.peak_running, observations.running)

    def attempt_completed(self, request: Request) -> None:
        """Stop counting an attempt as running."""
        self.classes[request.event.class_index].running -= 1

    def request_completed(self, request: Request, met_objective: bool) -> None:
        """Count a request that has its final answer.

        Requests over their tenant's quota do not influence the level.
        """
        observations = self.classes[request.event.class_index]
        if request.in_class_quota:
            observations.in_quota -= 1
        if request.within_tenant_quota:
            observations.completed += 1
            if not met_objective:
                observations.missed += 1

    def record_utilisation(self, utilisation: float) -> None:
        """Record the utilisation of the engines, 0 to 1, as found by one review."""
        self._utilisation.add(utilisation)

    def end_window_if_due(self, now: int, slot_step: float) -> None:
        """End the observation window if it is full or has expired: update fits, level and class quotas.

        `slot_step` is the change of level that equals one slot on each engine.
        """
        completed = [observations.completed for observations in self.classes]
        expired = now - self._window_started_us >= WINDOW_US
        full = sum(completed) >= WINDOW_COMPLETIONS and min(completed) >= WINDOW_COMPLETIONS_PER_CLASS
        if not sum(completed) or not (expired or full):
            return
        if self._workload_shifted():
            # the pairs of the old workload would distort the fits
            self.miss_fit = QuadraticFit()
            self.utilisation_fit = LinearFit()
            self.lowest_tried = self.level
            self.highest_tried = self.level
        miss_ratio = sum(observations.weight * observations.miss_ratio() for observations in self.classes)
        utilisation = self._utilisation.mean() if self._utilisation.count else 1.0
        self.miss_fit.add(self.level, miss_ratio)
        self.utilisation_fit.add(self.level, utilisation)
        self.lowest_tried = min(self.lowest_tried, self.level)
        self.highest_tried = max(self.highest_tried, self.level)
        next_level = self.next_level(utilisation, slot_step)
        self.level = max(MINIMUM_LEVEL, min(MAXIMUM_LEVEL, next_level))
        self._set_quotas(miss_ratio)
        self._window_started_us = now
        self._utilisation = RunningMoments()

    def _set_quotas(self, miss_ratio: float) -> None:
        """Set the class quotas and reset the counts of the window.

        A quota is the class's peak of running attempts, scaled by the class's part of the weighted miss
        ratio; the scale is 1 for a class whose part equals the mean of all parts, and for all without any
        miss.
        """
        for observations in self.classes:
            scale = 1.0
            if miss_ratio:
                scale = observations.weight * observations.miss_ratio() * len(self.classes) / miss_ratio
            observations.quota = max(1.0, observations.peak_running * scale)
            observations.completed = 0
            observations.missed = 0
            observations.peak_running = observations.running

    def next_level(self, utilisation: float, slot_step: float) -> float:
        """Return the level that follows from the fits, before it is clamped to its bounds.

        The utilisation rule scales the level so that the utilisation meets the middle of the target band.
        The shape of the miss ratio's curve between the lowest and highest level tried decides:
        - minimum inside: the level at the minimum;
        - maximum inside: the utilisation rule;
        - falling: `slot_step` above the highest level tried, or the utilisation rule's level if higher;
        - rising: `slot_step` below the lowest level tried, or the utilisation rule's level if lower;
        - flat: the current level;
        - no curve yet: the utilisation rule.
        """
        utilisation_line = self.utilisation_fit.fit()
        fitted_utilisation = (
            utilisation_line[0] + utilisation_line[1] * self.level if utilisation_line else utilisation
        )
        by_utilisation = (
            self.level * (TARGET_LOW + TARGET_HIGH) / (2 * max(MINIMUM_UTILISATION, fitted_utilisation))
        )
        miss_curve = self.miss_fit.fit()
        if miss_curve is None:
            return by_utilisation
        _, slope, curvature = miss_curve
        lowest = self.lowest_tried
        highest = self.highest_tried
        extremum = -slope / (2 * curvature) if curvature else inf
        if lowest < extremum < highest:
            return extremum if curvature > 0 else by_utilisation
        miss_ratio_change = (slope + curvature * (lowest + highest)) * (highest - lowest)
        if miss_ratio_change < 0:
            return max(highest + slot_step, by_utilisation)
        if miss_ratio_change > 0:
            return min(lowest - slot_step, by_utilisation)
        return self.level

    def _workload_shifted(self) -> bool:
        """Return whether the mean memory, work or objective per work of a class has shifted (99% confidence).

        Classes with enough requests to compare also start new moments for the next comparison.
        """
        shifted = False
        for observations in self.classes:
            if observations.workload.work_us.count < WINDOW_COMPLETIONS_PER_CLASS:
                continue
            shifted = shifted or observations.workload.differs_from(observations.last_workload)
            observations.last_workload = observations.workload
            observations.workload = WorkloadMoments()
        return shifted
