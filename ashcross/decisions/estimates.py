"""Estimates learned for each class: work, and latency and memory in relation to what was expected."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log

from ashcross.decisions.events import RequestReceived
from ashcross.decisions.settings import SchedulerSettings

LEARNING_RATE = 0.05  # weight of one outcome in a running mean
MAXIMUM_RATIO = 4.0  # bound of observed over estimated latency for one outcome: bad plans are outliers
# At each answer of a class, `baseline_ratio_log` rises by this share of its distance to `latency_ratio_log`.
# The share is low, so that a lasting overload does not become the baseline.
BASELINE_RISE_RATE = LEARNING_RATE * LEARNING_RATE
BASELINE_ANSWERS = 10  # for the first answers of a class, its baseline follows the ratio at once


@dataclass(eq=False, slots=True)
class ClassEstimates:
    """Running means of one class. A ratio log is the logarithm of an observed over an estimated value."""

    mean_deviation: float  # mean absolute ratio log of latency
    mean_work_us: float = 0.0
    work_samples: int = 0  # number of work estimates in `mean_work_us`
    latency_ratio_log: float = 0.0  # of run times; corrects the expected run time
    baseline_ratio_log: float = 0.0  # lowest `latency_ratio_log`, but rises slowly; latency without overload
    answers: int = 0  # successful attempts
    memory_ratio_log: float = 0.0


class Estimates:
    """Holds the estimates of all classes, and the mean slowdown of all answers against their baselines."""

    def __init__(self, settings: SchedulerSettings, initial_deviation: float) -> None:
        self.slowdown_log = 0.0  # logarithm of the mean slowdown
        self.classes = [ClassEstimates(initial_deviation) for _ in settings.classes]

    def work_us(self, event: RequestReceived, fallback_us: int) -> float:
        """Return the work of a request (us): its own estimate, else its class's mean, else the fallback.

        An estimate of its own is also added to the class's mean.
        """
        estimates = self.classes[event.class_index]
        if event.work_estimate_us:
            estimates.work_samples += 1
            weight = max(LEARNING_RATE, 1.0 / estimates.work_samples)
            estimates.mean_work_us += (event.work_estimate_us - estimates.mean_work_us) * weight
        return float(event.work_estimate_us or estimates.mean_work_us or fallback_us)

    def memory_mb(self, event: RequestReceived) -> float:
        """Return the memory of a request (MB): its own estimate times the ratio observed for its class."""
        return event.memory_mb * exp(self.classes[event.class_index].memory_ratio_log)

    def record_answer(self, estimates: ClassEstimates, latency_us: int, expected_us: float) -> None:
        """Update the estimates of a class and the slowdown by the latency of a successful attempt.

        `expected_us` already contains `latency_ratio_log`, so the ratio of this attempt is the error that
        remains and is added to it.
        """
        ratio = latency_us / max(1.0, expected_us)
        ratio_log = log(max(1 / MAXIMUM_RATIO, min(MAXIMUM_RATIO, ratio)))
        above_baseline = ratio_log + estimates.latency_ratio_log - estimates.baseline_ratio_log
        self.slowdown_log += LEARNING_RATE * (above_baseline - self.slowdown_log)
        estimates.answers += 1
        estimates.latency_ratio_log += max(LEARNING_RATE, 1.0 / estimates.answers) * ratio_log
        rise_rate = BASELINE_RISE_RATE if estimates.answers > BASELINE_ANSWERS else 1.0
        raised_baseline_log = estimates.baseline_ratio_log + rise_rate * (
            estimates.latency_ratio_log - estimates.baseline_ratio_log
        )
        estimates.baseline_ratio_log = min(estimates.latency_ratio_log, raised_baseline_log)
        estimates.mean_deviation += LEARNING_RATE * (abs(ratio_log) - estimates.mean_deviation)

    @staticmethod
    def record_memory(estimates: ClassEstimates, used_mb: float, estimated_mb: float) -> None:
        """Update the memory ratio of a class by the memory of a successful attempt; 0 stands for unknown."""
        if used_mb and estimated_mb:
            ratio_log = log(used_mb / estimated_mb)
            estimates.memory_ratio_log += LEARNING_RATE * (ratio_log - estimates.memory_ratio_log)
