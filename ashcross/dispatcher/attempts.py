"""The lifecycle of an attempt, from the scheduler's action to its one outcome.

`STAGE_TRANSITIONS` of the request registry lists the stages of an attempt and the legal transitions between
them. An attempt can be completed in any stage, and only once.
"""

from __future__ import annotations

from dataclasses import dataclass

from ashcross.audit import AuditEvent, audit
from ashcross.decisions import send_rules
from ashcross.decisions.actions import StartAttempt
from ashcross.decisions.events import AttemptCompleted, AttemptOutcome, AttemptProgress, ProgressKind
from ashcross.dispatcher.endpoint_list import EndpointListFeed
from ashcross.dispatcher.interfaces import DispatcherContext
from ashcross.dispatcher.requests import RequestLifecycle
from ashcross.logs import rate_limited_log
from ashcross.registry.endpoint_registry import EngineRecord
from ashcross.registry.request_registry import AttemptRecord, AttemptStage, RequestRecord

# Before a request older than this (us) is sent, its client's pending input is read: it may hold a cancel.
CLIENT_CHECK_AGE_US = 20_000
# The reason for skipping an attempt whose client's pending input could not be read to its end.
CLIENT_FLOODING = "client floods its connection"
# The reason counted for an attempt that begins while the previous one of its request is in flight.
HEDGED = "hedged"
# After these outcomes the engine may go on executing the attempt until it is told that the attempt has ended.
ENGINE_MAY_EXECUTE = (AttemptOutcome.CANCELLED, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET)


def outcome_when_stopped(attempt: AttemptRecord, outcome: AttemptOutcome) -> AttemptOutcome:
    """Return the outcome of an attempt that is stopped: NOT_SENT if its query was never written."""
    return AttemptOutcome.NOT_SENT if attempt.stage is AttemptStage.CONNECTING else outcome


@dataclass(slots=True)
class _Completion:
    """A completed attempt, with what the scheduler is told about its end."""

    attempt: AttemptRecord
    outcome: AttemptOutcome
    latency_us: int
    blames_engine: bool


class AttemptLifecycle:
    """Starts attempts and gives each exactly one outcome."""

    def __init__(
        self, context: DispatcherContext, requests: RequestLifecycle, endpoint_list: EndpointListFeed
    ) -> None:
        self._context = context
        self._requests = requests
        self._endpoint_list = endpoint_list

    def start(self, now: int, action: StartAttempt) -> None:
        """Start an attempt for the scheduler; `now` is the time of the batch (us)."""
        request = self._context.requests.by_id.get(action.request_id)
        if request is None:
            rate_limited_log.warn(
                "send",
                "attempt not started, its request is unknown: "
                f"request={action.request_id} engine={action.engine_name}",
            )
            return
        expires_us = request.deadline_us
        if action.timeout_us:
            expires_us = min(now + action.timeout_us, expires_us)
        number = len(request.attempts)
        is_allowed = self._is_allowed(request, number) and now < expires_us
        attempt = AttemptRecord(request, number, action.engine_name, now, expires_us)
        request.attempts.append(attempt)
        engine = self._context.endpoints.engines.get(action.engine_name)
        engines = self._context.engines
        # the endpoint list may have changed within this batch, after the scheduler chose the engine
        if not is_allowed or engine is None or not engine.ready or engines is None:
            self.complete(attempt, AttemptOutcome.NOT_SENT)
            return
        self._context.requests.deadlines.add(expires_us, self._expire, attempt)
        engines.start_attempt(attempt, engine)

    def _is_allowed(self, request: RequestRecord, number: int) -> bool:
        """Return whether the request is still open and may have one more attempt now."""
        limits = self._context.limits
        if request.is_over or number >= limits.max_attempts:
            return False
        return limits.hedging_allowed or not request.attempts_in_flight

    def may_begin(self, attempt: AttemptRecord, engine: EngineRecord) -> bool:
        """Return whether the first byte of an attempt may be written now; if so, it counts as written.

        No other place checks what can have changed since the scheduler decided: the request may be over, its
        client may have disconnected or cancelled it in bytes that are not read yet, the attempt may have
        expired, the engine may be draining, removed or another process, the endpoint list may be stale.
        """
        request = attempt.request
        now = self._context.clock()
        if now - request.arrived_us > CLIENT_CHECK_AGE_US and not request.client.drain_input():
            audit.note(AuditEvent.SKIP, CLIENT_FLOODING, request=request.request_id)
            return False
        denial = send_rules.denial(self._facts(attempt, engine), now)
        if denial is not None:
            _record_denial(attempt, denial)
            return False
        attempt.first_byte_us = now
        if attempt.number:
            _record_retry(attempt)
        if self._context.gate is not None:
            self._context.gate.attempt_started(request)
        return True

    def _facts(self, attempt: AttemptRecord, engine: EngineRecord) -> send_rules.AttemptFacts:
        request = attempt.request
        begun_attempts = [
            other for other in request.attempts if other is not attempt and other.first_byte_us is not None
        ]
        known_engine = self._context.endpoints.engines.get(engine.name)
        return send_rules.AttemptFacts(
            request_is_over=request.is_over,
            attempt_is_completed=attempt.completed,
            expires_us=attempt.expires_us,
            deadline_us=request.deadline_us,
            engine_is_ready=engine.ready and known_engine is engine,
            list_is_fresh=self._endpoint_list.is_fresh,
            attempt_number=attempt.number,
            maximum_attempts=self._context.limits.max_attempts,
            other_attempts_in_flight=sum(not other.completed for other in begun_attempts),
            hedging_allowed=self._context.limits.hedging_allowed,
            shares_connection=any(other.connection is attempt.connection for other in begun_attempts),
            class_settings=request.class_settings,
            first_executed_us=request.first_executed_us(),
        )

    def set_priority(self, request: RequestRecord, priority: int) -> None:
        """Set the priority of a request's attempts, those in flight included."""
        if request.priority == priority:
            return
        request.priority = priority
        for attempt in request.attempts:
            if not attempt.completed and attempt.connection is not None:
                attempt.connection.set_priority(attempt, priority)

    def progressed(self, attempt: AttemptRecord, kind: ProgressKind, value: float) -> None:
        """Pass an engine's progress notice for an attempt in flight to the scheduler."""
        request_id = attempt.request.request_id
        event = AttemptProgress(request_id, attempt.number, attempt.engine_name, kind, value)
        self._context.enqueue_event(event)

    def complete(self, attempt: AttemptRecord, outcome: AttemptOutcome, blames_engine: bool = True) -> None:
        """Record the outcome of an attempt; outcomes after the first are ignored.

        `blames_engine` is False if the attempt ended with its connection and another attempt on that
        connection already counts against the engine.
        """
        if attempt.completed:
            return
        attempt.completed = True
        attempt.outcome = outcome
        request = attempt.request
        if outcome is AttemptOutcome.RESET:
            request.connections_lost += 1
        if attempt.connection is not None:
            attempt.connection.release_attempt(attempt)
        if outcome is AttemptOutcome.SUCCEEDED and not request.is_over:
            self._requests.serve(request, [page or b"" for page in attempt.pages])
        attempt.pages = []
        now = self._context.clock()
        completion = _Completion(attempt, outcome, max(0, now - attempt.started_us), blames_engine)
        if outcome in ENGINE_MAY_EXECUTE and not request.is_over and now < request.deadline_us:
            # The scheduler may retry as soon as it gets this outcome. The delay lets the cancel, or the close
            # of the connection, reach the engine first, so that the two attempts do not execute at once.
            self._context.call_at(now + self._context.limits.cancel_grace_us, self._report, completion)
        else:
            self._report(completion)

    def cancel(self, request: RequestRecord, number: int) -> None:
        """Cancel an attempt on the scheduler's action; a number that no attempt has is ignored."""
        if number < len(request.attempts):
            attempt = request.attempts[number]
            self.complete(attempt, outcome_when_stopped(attempt, AttemptOutcome.CANCELLED))

    def _expire(self, attempt: AttemptRecord) -> None:
        if not attempt.completed:
            self.complete(attempt, outcome_when_stopped(attempt, AttemptOutcome.TIMEOUT))

    def _report(self, completion: _Completion) -> None:
        attempt = completion.attempt
        self._context.enqueue_event(
            AttemptCompleted(
                request_id=attempt.request.request_id,
                attempt_number=attempt.number,
                engine_name=attempt.engine_name,
                outcome=completion.outcome,
                latency_us=completion.latency_us,
                request_is_over=attempt.request.is_over,
                work_us=0,
                memory_used_mb=0.0,
                load_report=attempt.load_report,
                blames_engine=completion.blames_engine,
            )
        )


def _record_denial(attempt: AttemptRecord, denial: send_rules.Denial) -> None:
    """Count a denied attempt: as skipped if something has changed since the decision, else as a violation."""
    request_id = attempt.request.request_id
    if denial.expected:
        audit.note(
            AuditEvent.SKIP,
            denial.reason,
            request=request_id,
            attempt=attempt.number,
            engine=attempt.engine_name,
        )
    else:
        audit.violation(denial.reason, request=request_id, attempt=attempt.number, engine=attempt.engine_name)


def _record_retry(attempt: AttemptRecord) -> None:
    """Count a retry by the outcome of the previous attempt."""
    previous_outcome = attempt.request.attempts[attempt.number - 1].outcome
    audit.note(
        AuditEvent.RETRY,
        HEDGED if previous_outcome is None else previous_outcome.value,
        request=attempt.request.request_id,
        attempt=attempt.number,
        engine=attempt.engine_name,
    )
