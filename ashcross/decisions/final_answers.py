"""Final answers: the only module that rejects, fails or completes requests.

Enforces rule 1 (one final answer) and rule 2 (no effect happens twice).
"""

from __future__ import annotations

from ashcross.decisions.actions import CancelAttempt, FailRequest, RejectRequest
from ashcross.decisions.capacity import Capacity
from ashcross.decisions.context import Context
from ashcross.decisions.mpl_controller import MplController
from ashcross.decisions.requests import Request, RequestTable
from ashcross.decisions.retries import REPEAT_WINDOW_SHARE
from ashcross.decisions.send_rules import rejection_is_safe

# reasons of a rejection or failure, each from the method named beside it
DEADLINE_NEAR = "deadline near"  # end_near_deadline
SHUTTING_DOWN = "shutting down"  # end_all


class FinalAnswers:
    """Rejection, failure and completion of requests, exactly one of them for each request."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        mpl: MplController,
        capacity: Capacity,
    ) -> None:
        self._settings = context.settings
        self._deadline_margin_us = context.timing.deadline_margin_us
        self._period_us = context.timing.period_us
        self._actions = context.actions
        self._table = table
        self._mpl = mpl
        self._capacity = capacity

    def end_near_deadline(self, now: int) -> None:
        """End requests whose deadline may pass before the next periodic update (rule 1, one final answer)."""
        for request in self._table.requests.values():
            if request.deadline_us <= now + self._deadline_margin_us:
                self.reject_or_fail(request, now, DEADLINE_NEAR)

    def end_all(self, now: int) -> None:
        """End all open requests while answers can still be sent, as the dispatcher is shutting down."""
        for request in self._table.requests.values():
            self.reject_or_fail(request, now, SHUTTING_DOWN)

    def reject_or_fail(self, request: Request, now: int, reason: str) -> None:
        """Reject a request if a retry by its client does no harm, else fail it; skip a completed one."""
        if request.completed:
            return
        request_id = request.event.request_id
        class_settings = request.class_settings
        retry_after_us = self._retry_after_us(request)
        # the latest time at which a dispatcher sends a retry whose client does as it is told
        retry_us = now + retry_after_us + request.longest_wait_us() + self._period_us
        if rejection_is_safe(class_settings, request.first_executed_us(), retry_us, REPEAT_WINDOW_SHARE):
            self._actions.append(RejectRequest(request_id, retry_after_us, reason))
        else:
            self._actions.append(FailRequest(request_id, reason))
        self.complete(request, now, met_objective=False)

    def _retry_after_us(self, request: Request) -> int:
        """Return the wait (us) that a rejection tells the client; 0 if the settings allow none."""
        if not self._settings.retry_after_allowed:
            return 0
        return min(self._settings.max_retry_after_us, request.class_settings.latency_objective_us)

    def complete(self, request: Request, now: int, *, met_objective: bool) -> None:
        """Mark a request as over, count it, and cancel its attempts to free their capacity for others."""
        request.completed = True
        request.queued = False
        self._mpl.request_completed(request, met_objective)
        for attempt_number, attempt in enumerate(request.attempts):
            if attempt.in_flight and self._settings.cancel_allowed and not attempt.cancelled:
                attempt.cancelled = True
                self._actions.append(CancelAttempt(request.event.request_id, attempt_number))
        self.end_window_if_due(now)

    def end_window_if_due(self, now: int) -> None:
        """Update the multiprogramming level if its observation window is full or old."""
        self._mpl.end_window_if_due(now, self._capacity.slot_step())
