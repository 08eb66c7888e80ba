"""The lifecycle of a request, from its acceptance to its one final answer.

If there is an admission gate, an accepted request first waits for admission. It is over once it has its final
answer or its client has disconnected.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields
from enum import Enum

from ashcross.audit import AuditEvent, audit
from ashcross.decisions import send_rules
from ashcross.decisions.actions import FailRequest, RejectRequest
from ashcross.decisions.events import ClientDisconnected, RequestReceived
from ashcross.dispatcher.interfaces import DispatcherContext
from ashcross.logs import rate_limited_log
from ashcross.protocols.clients import json_rpc
from ashcross.protocols.host_interfaces import ClassifiedQuery
from ashcross.registry.request_registry import ReplyChannel, RequestRecord

# Reasons for failing a request: see `RequestLifecycle.serve` and `RequestLifecycle._expire`.
CLIENT_NOT_READING = "client not reading"
NO_ANSWER_AT_DEADLINE = "no answer at deadline"
# Violations of rule 1 (one final answer per request) and rule 2 (no effect happens twice).
SECOND_ANSWER = "second final answer"
UNSAFE_REJECTION = "rejection of a request that may have executed"


class FinalAnswer(Enum):
    """The kind of a request's final answer."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class RequestCounts:
    """Counts of requests since the start of the process."""

    accepted: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    disconnected: int = 0  # without an answer, as the client disconnected or cancelled
    overdue: int = 0  # those among the failed for which the scheduler gave no answer before the deadline

    def add_answer(self, answer: FinalAnswer) -> None:
        """Count a final answer."""
        if answer is FinalAnswer.SERVED:
            self.served += 1
        elif answer is FinalAnswer.REJECTED:
            self.rejected += 1
        else:
            self.failed += 1

    def items(self) -> Iterator[tuple[str, int]]:
        """Yield the name and value of each counter, in the order of the log line."""
        for counter in fields(self):
            yield counter.name, getattr(self, counter.name)


class RequestLifecycle:
    """Accepts requests and gives each exactly one final answer."""

    def __init__(self, context: DispatcherContext) -> None:
        self._context = context
        self._awaiting_admission: dict[str, RequestReceived] = {}
        self.counts = RequestCounts()

    def accept(
        self,
        client: ReplyChannel,
        call_id: int,
        classified: ClassifiedQuery,
        query: json_rpc.Query,
        arrived_us: int,
    ) -> RequestRecord:
        """Accept a query whose last byte arrived at `arrived_us` at the earliest."""
        limits = self._context.limits
        # without this bound, a huge `limit_ms` would keep its entries for longer than any client waits
        time_limit_us = min(int(query.limit_ms * 1000), limits.max_request_us)
        request = RequestRecord(
            request_id=query.request_id,
            client=client,
            call_id=call_id,
            class_name=classified.class_name,
            statement=query.statement,
            idempotency_key=query.idempotency_key,
            deadline_us=arrived_us + time_limit_us,
            arrived_us=arrived_us,
        )
        if classified.class_index < len(limits.classes):
            request.class_settings = limits.classes[classified.class_index]
        registry = self._context.requests
        registry.add(request)
        registry.deadlines.add(request.deadline_us + limits.answer_slack_us, self._expire, request)
        self.counts.accepted += 1
        event = _received_event(classified, query)
        if self._context.gate is None:
            self._context.enqueue_event(event)
        else:
            self._awaiting_admission[query.request_id] = event
        return request

    def admit(self, request_id: str) -> None:
        """Notify the scheduler of a request that the admission gate has admitted."""
        event = self._awaiting_admission.pop(request_id, None)
        if event is not None:
            self._context.enqueue_event(event)

    def reject(self, request_id: str, retry_after_us: int) -> None:
        """Reject a request for the admission gate: it has had no attempt, so that a retry is harmless."""
        if self._awaiting_admission.pop(request_id, None) is not None:
            self._reject(self._context.requests.by_id[request_id], retry_after_us)
            self._context.schedule_batch()  # the rejected request is removed from the registry in a batch

    def serve(self, request: RequestRecord, pages: list[bytes]) -> None:
        """Send the result to the client; one that does not read its answers gets a short failure instead."""
        frame = json_rpc.result(request.call_id, pages)
        if request.client.can_accept(len(frame)):
            self._answer(request, frame, FinalAnswer.SERVED)
        else:
            audit.note(AuditEvent.FAIL, CLIENT_NOT_READING, request=request.request_id)
            self._fail(request)

    def execute_rejection(self, now: int, request: RequestRecord, action: RejectRequest) -> None:
        """Reject a request on the scheduler's action, or fail it if a retry could have an effect twice."""
        # the scheduler's reason is counted even if the request is already over
        audit.note(AuditEvent.REJECT, action.reason, request=request.request_id)
        if request.is_over:
            return
        settings = request.class_settings
        retry_us = now + action.retry_after_us
        if settings is None or send_rules.rejection_is_safe(settings, request.first_executed_us(), retry_us):
            self._reject(request, action.retry_after_us)
        else:
            audit.violation(UNSAFE_REJECTION, request=request.request_id)
            self._fail(request)

    def execute_failure(self, request: RequestRecord, action: FailRequest) -> None:
        """Fail a request on the scheduler's action."""
        # the scheduler's reason is counted even if the request is already over
        audit.note(AuditEvent.FAIL, action.reason, request=request.request_id)
        if not request.is_over:
            self._fail(request)

    def client_disconnected(self, request: RequestRecord) -> None:
        """Finish a request without an answer: its client has disconnected or cancelled it."""
        if not request.is_over:
            self._finish(request)
            self.counts.disconnected += 1
            self._context.enqueue_event(ClientDisconnected(request.request_id))

    def evict(self, request: RequestRecord) -> None:
        """Fail a request whose connection is closed to free resources; the scheduler gets a disconnect."""
        if not request.is_over:
            self._fail(request)
            self._context.enqueue_event(ClientDisconnected(request.request_id))

    def fail_remaining(self) -> None:
        """Fail every request that the scheduler has left without an answer when the process ends."""
        for request in list(self._context.requests.by_id.values()):
            if not request.is_over:
                self._fail(request)

    def _expire(self, request: RequestRecord) -> None:
        """Fail a request without an answer at its deadline plus slack (rule 1: one final answer)."""
        if request.is_over:
            return
        rate_limited_log.warn(
            "overdue",
            "request failed by the dispatcher core, the scheduler gave no answer: "
            f"reason={NO_ANSWER_AT_DEADLINE} request={request.request_id}",
        )
        audit.note(AuditEvent.FAIL, NO_ANSWER_AT_DEADLINE, request=request.request_id)
        self.counts.overdue += 1
        self._fail(request)
        self._context.enqueue_event(ClientDisconnected(request.request_id))

    def _reject(self, request: RequestRecord, retry_after_us: int) -> None:
        retry_after_ms = -(-retry_after_us // 1000)  # rounded up
        self._answer(request, json_rpc.rejection(request.call_id, retry_after_ms), FinalAnswer.REJECTED)

    def _fail(self, request: RequestRecord) -> None:
        self._answer(request, json_rpc.failure(request.call_id), FinalAnswer.FAILED)

    def _answer(self, request: RequestRecord, frame: bytes, answer: FinalAnswer) -> None:
        if request.is_over:
            audit.violation(SECOND_ANSWER, request=request.request_id, answer=answer.value)
            return
        self.counts.add_answer(answer)
        self._finish(request)
        request.client.reply(request.call_id, frame)

    def _finish(self, request: RequestRecord) -> None:
        self._context.requests.finish(request)
        if self._context.gate is not None:
            self._awaiting_admission.pop(request.request_id, None)
            self._context.gate.request_finished(request)


def _received_event(classified: ClassifiedQuery, query: json_rpc.Query) -> RequestReceived:
    return RequestReceived(
        request_id=query.request_id,
        class_index=classified.class_index,
        table_group=classified.table_group,
        ordering_key=classified.ordering_key,
        memory_mb=query.memory_mb,
        work_estimate_us=int(query.cpu_ms * 1000),
        time_left_us=0,  # `DispatcherCore` sets it in the batch that passes the event to the scheduler
        tenant=query.tenant,
        is_retry=query.is_retry,
    )
