"""Requests and their attempts: the records that all decision modules share, and the table of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from ashcross.decisions.engines import Engine
from ashcross.decisions.estimates import ClassEstimates
from ashcross.decisions.events import RequestReceived
from ashcross.decisions.settings import ClassSettings

WAIT_SLACK_SHARE = 0.5  # longest wait of a queued request, as a share of its slack


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request, on one engine."""

    engine: Engine
    started_us: int
    expected_us: float  # expected run time
    memory_mb: float  # estimate, counted as in use while the attempt is in flight
    projected_us: float = 0.0  # total run time, projected from progress reports; 0 without a report
    in_flight: bool = True
    may_have_executed: bool = True
    cancelled: bool = False


@dataclass(eq=False, slots=True)
class Request:
    """A request that has no final answer yet, or has one with attempts still in flight."""

    event: RequestReceived
    class_settings: ClassSettings
    estimates: ClassEstimates
    deadline_us: int  # the client waits no longer than this
    work_us: float  # estimated time on one slot
    slow_start_cost_us: float  # work that it counts against the budget of an engine in slow start
    memory_mb: float  # estimated memory on the engine
    due_us: int  # time at which its latency objective ends, at most the deadline
    within_tenant_quota: bool
    # False: it exceeds the quota of its class or of its tenant, and goes to the reserve queue
    in_class_quota: bool
    dispatch_by_us: int = 0  # rejected or failed if it is still queued at this time
    attempts: list[Attempt] = field(default_factory=list)
    failed_on: Engine | None = None  # engine of its last failed attempt
    overdue_cancels: int = 0  # number of its attempts that were cancelled as overdue
    completed: bool = False  # it has its final answer or needs none
    queued: bool = False

    def attempts_in_flight(self) -> int:
        """Return the number of attempts that have no outcome yet."""
        return sum(attempt.in_flight for attempt in self.attempts)

    def first_executed_us(self) -> int | None:
        """Return the start (us) of the first attempt that may have executed; None if there is none."""
        for attempt in self.attempts:
            if attempt.may_have_executed:
                return attempt.started_us
        return None

    def longest_wait_us(self) -> int:
        """Return how long (us) a request like this one, arriving new, may wait in a dispatch queue."""
        received_us = self.deadline_us - self.event.time_left_us
        return int(WAIT_SLACK_SHARE * (self.due_us - received_us))

    def expected_run_us(self) -> float:
        """Return the expected run time (us): estimated work over slots, times the class's latency ratio."""
        work_us = max(1.0, self.work_us / self.class_settings.slots)
        return work_us * exp(self.estimates.latency_ratio_log)


class RequestTable:
    """All requests by id, and all attempts in flight by request id and attempt number."""

    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        self.attempts_in_flight: dict[tuple[str, int], Attempt] = {}

    def remove_finished(self) -> None:
        """Remove requests that are completed and have no attempt in flight."""
        self.requests = {
            request_id: request
            for request_id, request in self.requests.items()
            if not request.completed or request.attempts_in_flight()
        }
