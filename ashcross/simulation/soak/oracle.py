"""The oracle of the soak: checks the dispatchers' rules against the ledger of a run, and nothing else.

Each rule is a function from the ledger and the settings to findings. The rules grant 50 ms on each time limit
that is observed at a socket, and the longest delay of the rig itself.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import pairwise
from math import sqrt

from ashcross.decisions.settings import RetrySafety
from ashcross.simulation.soak.ledger import AnswerKind, Attempt, AttemptEnd, Incarnation, Ledger, Request

ANSWER_GRACE_S = 0.5  # from a request's time limit to its final answer
DRAIN_S = 0.25  # from a delivered drain notice to the last new attempt
MAX_DELIVERY_S = 7.0  # a dispatcher must know a drain notice this long after it was published
CLIENT_LEFT_S = 0.1  # an attempt may still begin this long after its client left
PATIENCE_SLACK_S = 0.15
SOCKET_SLACK_S = 0.05
CROSSING_S = 0.05  # a request that crosses the close of an idle connection is sent again by its client
READY_WITHIN_S = 10.0
EXIT_WITHIN_S = 3.7
ARRIVALS_AFTER_SIGTERM_S = 0.7  # requests that arrive later than this need no answer
OVERLAP_SLACK_S = 0.005  # the rig may read two bytes that one process wrote in either order


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """The settings of one class that the rules depend on."""

    effect: RetrySafety
    window_s: float


@dataclass(frozen=True, slots=True)
class OracleSettings:
    """The dispatchers' settings that the rules depend on."""

    classes: dict[str, ClassSettings]
    maximum_attempts: int
    cold_work_s: float  # CPU seconds that a cold engine may receive in one `fall_s`
    mean_work_s: float
    fall_s: float


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation of a rule."""

    rule: str
    text: str


Rule = Callable[[Ledger, OracleSettings], Iterator[Finding]]


def check_ledger(ledger: Ledger, settings: OracleSettings) -> list[Finding]:
    """Return all violations of all rules."""
    return [finding for rule in RULES for finding in rule(ledger, settings)]


def one_answer_in_time(ledger: Ledger, settings: OracleSettings) -> Iterator[Finding]:
    """Check that each accepted request gets exactly one final answer within its time limit."""
    for request_id in ledger.unexpected_answers:
        yield Finding("answered", f"{request_id}: answer to a request that is not open")
    for request in ledger.requests.values():
        if len(request.answers) > 1:
            yield Finding("answered", f"{request.request_id}: {len(request.answers)} answers")
        elif not request.answers:
            yield from _missing_answer(ledger, request)
        else:
            yield from _late_answer(ledger, request)


def _missing_answer(ledger: Ledger, request: Request) -> Iterator[Finding]:
    due_s = _answer_due_s(ledger, request)
    incarnation = ledger.incarnation_at(request.dispatcher, request.sent_s)
    if request.client_left_s is not None and request.client_left_s <= due_s or not request.well_behaved:
        return
    if incarnation is None or _was_killed_by(incarnation, due_s) or ledger.end_s < due_s:
        return
    if (
        incarnation.sigterm_s is not None
        and request.sent_s > incarnation.sigterm_s + ARRIVALS_AFTER_SIGTERM_S
    ):
        return
    if request.connection_closed_s is not None and request.connection_closed_s - request.sent_s <= CROSSING_S:
        return  # the request crossed the close of an idle connection; its client sends it again
    closed = (
        ""
        if request.connection_closed_s is None
        else f", connection closed after {request.connection_closed_s - request.sent_s:.3f} s"
    )
    yield Finding("answered", f"{request.request_id} ({request.class_name}) has no answer{closed}")


def _late_answer(ledger: Ledger, request: Request) -> Iterator[Finding]:
    excess_s = request.answers[0].at_s - _answer_due_s(ledger, request)
    if excess_s > 0 and request.client_left_s is None and request.well_behaved:
        yield Finding(
            "answered", f"{request.request_id} ({request.class_name}) answered {excess_s:.3f} s too late"
        )


def _answer_due_s(ledger: Ledger, request: Request) -> float:
    """Return the latest time of a request's final answer; time that its dispatcher was paused is added."""
    due_s = request.sent_s + request.limit_s + ANSWER_GRACE_S + ledger.worst_lag_s
    paused_s = sum(
        incarnation.paused_s(request.sent_s, due_s + 5.0)
        for incarnation in ledger.incarnations_of(request.dispatcher)
    )
    return due_s + paused_s


def _was_killed_by(incarnation: Incarnation, due_s: float) -> bool:
    return incarnation.sigkill_s is not None and incarnation.sigkill_s <= due_s


def served_rows_match_engine(ledger: Ledger, settings: OracleSettings) -> Iterator[Finding]:
    """Check that a served answer holds exactly the rows that an engine produced for that request."""
    for request in ledger.requests.values():
        for answer in request.answers:
            if answer.kind is not AnswerKind.SERVED:
                continue
            produced = [
                ledger.produced_rows.get((request.request_id, attempt.engine))
                for attempt in ledger.attempts_of(request.request_id)
            ]
            if answer.body not in produced:
                yield Finding(
                    "answered", f"{request.request_id} served with rows that no engine produced for it"
                )


def retry_safety(ledger: Ledger, settings: OracleSettings) -> Iterator[Finding]:
    """Check that a request that may have run is retried or refused only where its class allows that."""
    for request_id, attempts in _attempts_by_request(ledger).items():
        request = ledger.requests[request_id]
        class_settings = settings.classes[request.class_name]
        if len(attempts) > settings.maximum_attempts:
            yield Finding("ration", f"{request_id} has {len(attempts)} attempts")
        if class_settings.effect is RetrySafety.NOT_IDEMPOTENT:
            yield from _unsafe_retries(request, attempts)
        if class_settings.effect is RetrySafety.IDEMPOTENT_WITH_KEY:
            yield from _late_keyed_retries(request, attempts, class_settings.window_s)


def _unsafe_retries(request: Request, attempts: list[Attempt]) -> Iterator[Finding]:
    for earlier, later in pairwise(attempts):
        if earlier.end is not AttemptEnd.OVERLOAD or (earlier.end_s or 0.0) > later.last_byte_s:
            yield Finding(
                "effect", f"{request.request_id} (not idempotent) sent again although it may have run"
            )
    if attempts[-1].end is not AttemptEnd.OVERLOAD and any(
        answer.kind is AnswerKind.REFUSED for answer in request.answers
    ):
        yield Finding("effect", f"{request.request_id} (not idempotent) refused although it may have run")


def _late_keyed_retries(request: Request, attempts: list[Attempt], window_s: float) -> Iterator[Finding]:
    for later in attempts[1:]:
        excess_s = later.first_byte_s - attempts[0].last_byte_s - window_s
        if excess_s > SOCKET_SLACK_S:
            yield Finding(
                "effect", f"{request.request_id} (keyed) sent again {excess_s:.3f} s past its window"
            )


def one_attempt_at_a_time(ledger: Ledger, settings: OracleSettings) -> Iterator[Finding]:
    """Check that attempts of one request never overlap and never share a connection."""
    for request_id, attempts in _attempts_by_request(ledger).items():
        for earlier, later in pairwise(attempts):
            slack_s = OVERLAP_SLACK_S + ledger.worst_lag_between(
                later.last_byte_s, earlier.end_s or later.last_byte_s
            )
            if earlier.end_s is None or earlier.end_s > later.last_byte_s + slack_s:
                yield Finding(
                    "copies", f"{request_id} has open attempts at {earlier.engine} and {later.engine}"
                )
            if earlier.connection == later.connection:
                yield Finding("copies", f"{request_id} sent twice over one connection to {later.engine}")


def drained_engines(ledger: Ledger, settings: OracleSettings) -> Iterator[Finding]:
    """Check that no attempt goes to an engine whose drain notice the dispatcher must know."""
    for attempt in ledger.attempts:
        request = ledger.requests[attempt.request_id]
        for notice in ledger.drain_notices:
            if notice.engine != attempt.engine or attempt.first_byte_s <= notice.published_s:
                continue
            if notice.ready_again_s is not None and notice.ready_again_s <= attempt.first_byte_s:
                continue
            known_s = min(
                notice.published_s + MAX_DELIVERY_S,
                notice.delivered_s.get(request.dispatcher, float("inf")),
            )
            incarnation = ledger.incarnation_at(request.dispatcher, attempt.first_byte_s)
            paused_s = incarnation.paused_s(known_s, attempt.first_byte_s) if incarnation else 0.0
            late_s = attempt.first_byte_s - known_s - paused_s
            if late_s > DRAIN_S + SOCKET_SLACK_S + ledger.worst_lag_s:
                yield Finding(
                    "drain",
                    f"{attempt.request_id} sent to {attempt.engine} {late_s:.3f} s after the drain notice",
                )


def clients_that_left(ledger: Ledger, settings: OracleSettings) -> Iterator[Finding]:
    """Check that no attempt begins for a client that has left."""
    for attempt in ledger.attempts:
        client_left_s = ledger.requests[attempt.request_id].client_left_s
        if client_left_s is not None:
            late_s = attempt.first_byte_s - client_left_s
            if late_s > CLIENT_LEFT_S + SOCKET_SLACK_S + ledger.worst_lag_s:
                yield Finding("gone", f"{attempt.request_id} sent {late_s:.3f} s after its client left")


def remaining_time_passed_on(ledger: Ledger, settings: OracleSettings) -> Iterator[Finding]:
    """Check that the patience sent to an engine is at most the client's remaining time."""
    for attempt in ledger.attempts:
        request = ledger.requests[attempt.request_id]
        if not request.well_behaved:
            continue  # the time at which the last byte of this request was written is unknown
        excess_s = patience_excess_s(request, attempt)
        if excess_s > PATIENCE_SLACK_S + ledger.worst_lag_s:
            yield Finding(
                "patience",
                f"{attempt.request_id}: patience sent to the engine exceeds the client's remaining time"
                f" by {excess_s:.3f} s",
            )


def patience_excess_s(request: Request, attempt: Attempt) -> float:
    """Return by how many seconds an attempt's patience exceeds the client's remaining time."""
    return attempt.patience_s - (request.limit_s - (attempt.first_byte_s - request.sent_s))


def cold_engines(ledger: Ledger, settings: OracleSettings) -> Iterator[Finding]:
    """Check that all dispatchers together send a cold engine no more work than it may receive."""
    calls = settings.cold_work_s / settings.mean_work_s
    max_calls = calls + (2 * sqrt(calls) + 2 if calls >= 30 else 3 * sqrt(calls) + 3)
    for start in ledger.cold_starts:
        arrivals = [
            (attempt.last_byte_s, ledger.requests[attempt.request_id].cpu_s)
            for attempt in ledger.attempts
            if attempt.engine == start.engine and start.start_s <= attempt.last_byte_s < start.warm_s
        ]
        for begin_s, _ in arrivals:
            work_s = sum(cpu_s for at_s, cpu_s in arrivals if 0 <= at_s - begin_s < settings.fall_s)
            if work_s > max_calls * settings.mean_work_s:
                yield Finding("cold", f"{start.engine} received {work_s:.1f} s of work while cold")
                break


def processes(ledger: Ledger, settings: OracleSettings) -> Iterator[Finding]:
    """Check that no process crashes, is ready late, exits late after SIGTERM or logs an error."""
    for incarnation in ledger.incarnations:
        name = f"d{incarnation.dispatcher}"
        if incarnation.exit_code not in (None, 0) and incarnation.sigkill_s is None:
            yield Finding("crash", f"{name} exited with code {incarnation.exit_code}")
        if incarnation.exit_s is not None and incarnation.sigterm_s is None and incarnation.sigkill_s is None:
            yield Finding("crash", f"{name} exited without a signal")
        running_s = (
            (incarnation.exit_s or ledger.end_s)
            - incarnation.start_s
            - incarnation.paused_s(incarnation.start_s, ledger.end_s)
        )
        signals_s = [at_s for at_s in (incarnation.sigterm_s, incarnation.sigkill_s) if at_s is not None]
        if incarnation.ready_s is None and running_s > READY_WITHIN_S and not signals_s:
            yield Finding("ready", f"{name} was not ready within {READY_WITHIN_S:.0f} s")
        if (
            incarnation.sigterm_s is not None
            and incarnation.exit_s is not None
            and incarnation.sigkill_s is None
        ):
            shutdown_s = (
                incarnation.exit_s
                - incarnation.sigterm_s
                - incarnation.paused_s(incarnation.sigterm_s, incarnation.exit_s)
            )
            if shutdown_s > EXIT_WITHIN_S + ledger.worst_lag_s:
                yield Finding("exit", f"{name} exited {shutdown_s:.2f} s after SIGTERM")
    for line in ledger.log_errors:
        yield Finding("log", line)


def _attempts_by_request(ledger: Ledger) -> dict[str, list[Attempt]]:
    by_request: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(ledger.attempts, key=lambda attempt: attempt.last_byte_s):
        by_request[attempt.request_id].append(attempt)
    return by_request


RULES: tuple[Rule, ...] = (
    one_answer_in_time,
    served_rows_match_engine,
    retry_safety,
    one_attempt_at_a_time,
    drained_engines,
    clients_that_left,
    remaining_time_passed_on,
    cold_engines,
    processes,
)
