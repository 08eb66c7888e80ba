"""Attempts: the only module that starts attempts and that records their end."""

from __future__ import annotations

from math import inf
from typing import Protocol

from ashcross.decisions.actions import SetAttemptTerms, StartAttempt
from ashcross.decisions.context import Context
from ashcross.decisions.engines import Engine
from ashcross.decisions.events import AttemptCompleted
from ashcross.decisions.requests import Attempt, Request, RequestTable
from ashcross.decisions.retries import MAXIMUM_OVERDUE_CANCELS
from ashcross.decisions.send_checks import SendChecks
from ashcross.decisions.send_rules import NOT_EXECUTED

# ratio of a memory grant to the request's memory estimate; engines use the same ratio for grants of their own
MEMORY_GRANT_FACTOR = 1.25

PRIORITY_HIGH = 3
PRIORITY_NORMAL = 1
PRIORITY_LOW = 0
# ratio of a class's priority weight to the estimated work in seconds from which the priority is high
HIGH_PRIORITY_WEIGHT_PER_S = 2.0


class AttemptObserver(Protocol):
    """Interface of the modules that count started attempts."""

    def attempt_started(self, request: Request, attempt: Attempt, now: int) -> None:
        """Count an attempt that has just started; it is the last in `request.attempts`."""


class Attempts:
    """Start and end of attempts; all observers are notified of each start."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        checks: SendChecks,
        observers: tuple[AttemptObserver, ...],
    ) -> None:
        self._settings = context.settings
        self._actions = context.actions
        self._table = table
        self._checks = checks
        self._observers = observers

    def start(self, request: Request, engine: Engine, now: int) -> None:
        """Start an attempt of the request on the engine if the rules allow it now; else do nothing."""
        if not self._checks.may_start(request, now) or not self._checks.may_send_to(request, engine, now):
            return
        request_id = request.event.request_id
        if self._settings.memory_grants_apply or self._settings.priorities_apply:
            self._set_terms(request, engine)
        self._actions.append(StartAttempt(request_id, engine.endpoint.name, timeout_us=0))
        attempt = Attempt(engine, now, request.expected_run_us(), request.memory_mb)
        self._table.attempts_in_flight[request_id, len(request.attempts)] = attempt
        request.attempts.append(attempt)
        for observer in self._observers:
            observer.attempt_started(request, attempt, now)

    def _set_terms(self, request: Request, engine: Engine) -> None:
        """Request a memory grant and a priority for the attempt that starts next."""
        settings = self._settings
        grant_mb = 0.0
        if settings.memory_grants_apply:
            largest_mb = settings.max_grant_share * engine.memory_mb or inf
            grant_mb = min(MEMORY_GRANT_FACTOR * request.memory_mb, largest_mb)
        self._actions.append(SetAttemptTerms(request.event.request_id, grant_mb, _priority(request)))

    def complete(self, event: AttemptCompleted) -> tuple[Request, Attempt] | None:
        """Record the end of an attempt; return it with its request, or None if it is not in flight."""
        attempt = self._table.attempts_in_flight.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return None
        attempt.in_flight = False
        attempt.may_have_executed = event.outcome not in NOT_EXECUTED
        return self._table.requests[event.request_id], attempt


def _priority(request: Request) -> int:
    """Return the priority of the request's attempts.

    The priority is low if the request exceeds its tenant's quota or its attempts were overdue too often. Else
    it is high if the class's priority weight is large for the estimated work.
    """
    if not request.within_tenant_quota or request.overdue_cancels >= MAXIMUM_OVERDUE_CANCELS:
        return PRIORITY_LOW
    if request.class_settings.priority_weight >= HIGH_PRIORITY_WEIGHT_PER_S * request.work_us / 1e6:
        return PRIORITY_HIGH
    return PRIORITY_NORMAL
