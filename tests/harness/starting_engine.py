"""A model of several scheduler instances that send to one starting engine, with the sum of what they send."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from ashcross.decisions.actions import (
    StartAttempt,
)
from ashcross.decisions.events import (
    AttemptCompleted,
    AttemptOutcome,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from ashcross.decisions.scheduler import Scheduler
from tests.harness.decision_model import LOOKUP, SETTINGS, endpoint

HEAVY = replace(LOOKUP, priority_weight=5.0, latency_objective_us=2_000_000, slots=2)
BOOT_US = 1_000_000_000
CORES = 8.0
WINDOW_US = 2_000_000
CONNECT_US = 250_000  # the longest time to connect
MEANS_US = (250_000, 1_200_000)  # mean work of a request of each class
SPREADS = (0.8, 1.0)  # standard deviation of the logarithm of the work, for each class
MEAN_US = 0.8 * MEANS_US[0] + 0.2 * MEANS_US[1]  # one request in five is of the second class
ALLOWED_US = 4.0 * 0.35 * CORES * WINDOW_US  # work that the settings allow in a window
ALLOWED_CALLS = ALLOWED_US / MEAN_US  # the same in requests of mean work


@dataclass
class StartingEngine:
    """Instances of the scheduler that get more requests than they may send to one starting engine."""

    count: int  # number of instances
    generator: random.Random
    restarts_s: float = 0.0  # mean time between the restarts of one instance; 0 for none
    arrivals: list[tuple[int, float]] = field(default_factory=list)  # time and work of each attempt, in us
    sends: int = 0

    def __post_init__(self) -> None:
        self.now = BOOT_US
        self._request_count = 0
        self._outcomes: list[tuple[int, AttemptCompleted]] = []
        self._last_attempts: dict[str, int] = {}
        self._works_us: dict[str, float] = {}
        self._listed_us = [
            BOOT_US + self.generator.choice((0, 0, 300_000, 1_100_000)) for _ in range(self.count)
        ]
        self._schedulers: list[Scheduler] = [self._start(index) for index in range(self.count)]
        self._has_list = [False] * self.count

    def _start(self, index: int) -> Scheduler:
        settings = replace(
            SETTINGS,
            classes=(LOOKUP, HEAVY),
            instance_count=self.count,
            instance_index=index,
            slow_start_initial_share=0.35,
            overload_threshold=4.0,
            overload_window_us=WINDOW_US,
            connect_timeout_us=CONNECT_US,
            slow_start_us=15_000_000,
            load_report_fields=("cpu", "x0"),
            load_reports_in_answers=True,
        )
        return Scheduler(settings, self.generator.getrandbits(32))

    def _handle(self, index: int, event: Event) -> None:
        for action in self._schedulers[index].handle(self.now, event):
            if isinstance(action, StartAttempt):
                self._start_attempt(index, action)

    def _start_attempt(self, index: int, start: StartAttempt) -> None:
        self.sends += 1
        dial_us = int(self.generator.choice((0.0, 0.0, 1.0)) * self.generator.random() * CONNECT_US)
        self.arrivals.append((self.now + dial_us, self._works_us[start.request_id]))
        failed = self.generator.random() < 0.1  # one attempt in ten fails and may be retried
        outcome = AttemptOutcome.ERROR if failed else AttemptOutcome.SUCCEEDED
        attempt = self._last_attempts[start.request_id] = self._last_attempts.get(start.request_id, -1) + 1
        idle_report = {"cpu": 0.05, "x0": 0.0}
        completed = AttemptCompleted(
            start.request_id, attempt, "e0", outcome, 20_000, not failed, 0, 0.0, idle_report
        )
        self._outcomes.append((index, completed))

    def run(self, for_us: int, step_us: int) -> None:
        """Advance the time in steps; at each step every instance gets four requests and a timer event."""
        starting_engine = endpoint("e0", boot_us=BOOT_US)
        end_us = self.now + for_us
        while self.now < end_us:
            for index in range(self.count):
                if self.restarts_s and self.generator.random() < step_us / 1e6 / self.restarts_s:
                    self._schedulers[index], self._has_list[index] = self._start(index), False
                    self._outcomes = [outcome for outcome in self._outcomes if outcome[0] != index]
                if not self._has_list[index] and self.now >= self._listed_us[index]:
                    self._has_list[index] = True
                    self._handle(index, EndpointListUpdate(EndpointListKind.FULL, 1, (starting_engine,)))
                for _ in range(4):
                    self._request_count += 1
                    request_id, class_index = f"r{self._request_count}", int(self.generator.random() < 0.2)
                    spread = SPREADS[class_index]
                    relative_work = self.generator.lognormvariate(-spread * spread / 2, spread)
                    work_us = MEANS_US[class_index] * relative_work
                    self._works_us[request_id] = work_us
                    self._handle(
                        index,
                        RequestReceived(
                            request_id, class_index, 1, None, 1.0, int(work_us) + 1, 3_000_000, None, False
                        ),
                    )
            while self._outcomes:
                self._handle(*self._outcomes.pop(0))
            for index in range(self.count):
                self._handle(index, TimerFired(0))
            self.now += step_us

    def largest_window(self) -> float:
        """Return the largest sum of work that arrived within one window, in requests of mean work."""
        ordered = sorted(self.arrivals)
        largest_us = total_us = 0.0
        first = 0
        for at_us, work_us in ordered:
            total_us += work_us
            while ordered[first][0] <= at_us - WINDOW_US:
                total_us -= ordered[first][1]
                first += 1
            largest_us = max(largest_us, total_us)
        return largest_us / MEAN_US

    def utilisation(self, for_us: int) -> float:
        """Return the mean fraction of the allowed work that was sent."""
        return sum(work_us for _, work_us in self.arrivals) / (ALLOWED_US * for_us / WINDOW_US)
