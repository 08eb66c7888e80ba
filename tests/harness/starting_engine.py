"""A starting engine, the scheduler instances that send to it, and the work that arrives there in a window."""

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
CONNECT_US = 250_000  # the longest time that a connect takes
MEANS_US = (250_000, 1_200_000)  # mean work of a request of each class
SPREADS = (0.8, 1.0)  # standard deviations of the logarithm of the work, for each class
MEAN_US = 0.8 * MEANS_US[0] + 0.2 * MEANS_US[1]  # mean work of a request: one in five is of the second class
ALLOWED_US = 4.0 * 0.35 * CORES * WINDOW_US  # work that the settings allow in a window
ALLOWED_CALLS = ALLOWED_US / MEAN_US


@dataclass
class StartingEngine:
    """Scheduler instances in front of one starting engine; each gets more requests than it may send there."""

    count: int
    draw: random.Random
    restarts_s: float = 0.0  # mean time between the restarts of one instance
    arrivals: list[tuple[int, float]] = field(default_factory=list)  # at the engine: time and work in us
    sends: int = 0

    def __post_init__(self) -> None:
        self.now = BOOT_US
        self._serial = 0
        self._outcomes: list[tuple[int, AttemptCompleted]] = []
        self._attempt_numbers: dict[str, int] = {}  # request id -> number of its last attempt
        self._works_us: dict[str, float] = {}
        self._listed_us = [BOOT_US + self.draw.choice((0, 0, 300_000, 1_100_000)) for _ in range(self.count)]
        self._schedulers: list[Scheduler] = [self._start(index) for index in range(self.count)]
        self._knows_engine = [False] * self.count

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
        return Scheduler(settings, self.draw.getrandbits(32))

    def _handle(self, index: int, event: Event) -> None:
        for action in self._schedulers[index].handle(self.now, event):
            if isinstance(action, StartAttempt):
                self._start_attempt(index, action)

    def _start_attempt(self, index: int, action: StartAttempt) -> None:
        self.sends += 1
        request_id = action.request_id
        connect_us = int(self.draw.choice((0.0, 0.0, 1.0)) * self.draw.random() * CONNECT_US)
        self.arrivals.append((self.now + connect_us, self._works_us[request_id]))
        failed = self.draw.random() < 0.1  # a failed attempt is retried
        outcome = AttemptOutcome.ERROR if failed else AttemptOutcome.SUCCEEDED
        number = self._attempt_numbers[request_id] = self._attempt_numbers.get(request_id, -1) + 1
        idle_report = {"cpu": 0.05, "x0": 0.0}
        completed = AttemptCompleted(
            request_id, number, "e0", outcome, 20_000, not failed, 0, 0.0, idle_report
        )
        self._outcomes.append((index, completed))

    def run(self, for_us: int, step_us: int) -> None:
        """Let `for_us` pass; at each step every instance gets four requests and a timer event."""
        starting_engine = endpoint("e0", boot_us=BOOT_US)
        until_us = self.now + for_us
        while self.now < until_us:
            for index in range(self.count):
                if self.restarts_s and self.draw.random() < step_us / 1e6 / self.restarts_s:
                    self._schedulers[index], self._knows_engine[index] = self._start(index), False
                    self._outcomes = [outcome for outcome in self._outcomes if outcome[0] != index]
                if not self._knows_engine[index] and self.now >= self._listed_us[index]:
                    self._knows_engine[index] = True
                    self._handle(index, EndpointListUpdate(EndpointListKind.FULL, 1, (starting_engine,)))
                for _ in range(4):
                    self._serial += 1
                    request_id, class_index = f"r{self._serial}", int(self.draw.random() < 0.2)
                    spread = SPREADS[class_index]
                    work_us = MEANS_US[class_index] * self.draw.lognormvariate(-spread * spread / 2, spread)
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
        largest_us = window_us = 0.0
        first = 0
        for at_us, work_us in ordered:
            window_us += work_us
            while ordered[first][0] <= at_us - WINDOW_US:
                window_us -= ordered[first][1]
                first += 1
            largest_us = max(largest_us, window_us)
        return largest_us / MEAN_US

    def utilisation(self, for_us: int) -> float:
        """Return the work that arrived as a share of the work that the settings allow in `for_us`."""
        return sum(work_us for _, work_us in self.arrivals) / (ALLOWED_US * for_us / WINDOW_US)
