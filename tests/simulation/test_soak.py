"""Tests of the soak's oracle on ledgers written by hand, and one short soak.

The oracle must find each kind of violation, and must have no findings in a valid ledger: an oracle that
misses a violation would let a faulty dispatcher pass the soak.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from ashcross.decisions.settings import RetrySafety
from ashcross.simulation.soak.ledger import (
    Answer,
    AnswerKind,
    Attempt,
    AttemptEnd,
    ColdStart,
    DrainNotice,
    Incarnation,
    Ledger,
    Request,
)
from ashcross.simulation.soak.oracle import ClassSettings, OracleSettings, check_ledger
from ashcross.simulation.soak.rig import Plan, play

SETTINGS = OracleSettings(
    classes={
        "safe": ClassSettings(RetrySafety.IDEMPOTENT, 0.0),
        "keyed": ClassSettings(RetrySafety.IDEMPOTENT_WITH_KEY, 0.5),
        "unsafe": ClassSettings(RetrySafety.NOT_IDEMPOTENT, 0.0),
    },
    maximum_attempts=3,
    cold_work_s=10.0,
    mean_work_s=1.0,
    fall_s=2.0,
)
ROWS = b"a\tb\tc\n"


def valid_ledger(class_name: str = "safe") -> tuple[Ledger, Request, Attempt]:
    """Return a ledger of one request: sent at 10 s with a limit of 1 s, served by e1 at 10.2 s."""
    request = Request("t", 0, class_name, 1.0, 0.1, 10.0)
    request.answers.append(Answer(10.2, AnswerKind.SERVED, ROWS))
    attempt = Attempt("t", "e1", 1, 10.01, 10.01, 0.98, 10.19, AttemptEnd.SERVED)
    incarnation = Incarnation(0, 0.0, ready_s=1.0)
    ledger = Ledger(
        requests={"t": request},
        attempts=[attempt],
        incarnations=[incarnation],
        produced_rows={("t", "e1"): ROWS},
    )
    ledger.end_s = 60.0
    return ledger, request, attempt


def add_attempt(ledger: Ledger, at_s: float, engine: str = "e2", connection: int = 2) -> Attempt:
    """Add a further attempt to the ledger; its engine serves it after 10 ms."""
    remaining_s = 11.0 - at_s
    attempt = Attempt("t", engine, connection, at_s, at_s, remaining_s, at_s + 0.01, AttemptEnd.SERVED)
    ledger.attempts.append(attempt)
    ledger.produced_rows["t", engine] = ROWS
    return attempt


Change = Callable[[Ledger, Request, Attempt], None]


def no_answer(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    request.answers.clear()


def closed_connection(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    request.answers.clear()
    request.connection_closed_s = 10.2


def second_answer(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    request.answers.append(Answer(10.3, AnswerKind.FAILED))


def late_answer(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    request.answers[0].at_s = 11.51


def other_rows(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    request.answers[0].body = b"x\ty\tz\n"


def overlapping_attempts(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    attempt.end_s = 10.3
    add_attempt(ledger, 10.2)


def retry_on_the_same_connection(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    attempt.end = AttemptEnd.CRASHED
    add_attempt(ledger, 10.25, "e1", 1)


def too_many_attempts(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    for number in range(3):
        add_attempt(ledger, 10.3 + number / 10, connection=number + 2)


def attempt_after_delivered_drain(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    ledger.drain_notices.append(DrainNotice("e1", 9.0, delivered_s={0: 9.7}))


def attempt_after_undelivered_drain(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    ledger.drain_notices.append(DrainNotice("e1", 2.7))


def attempt_after_client_left(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    request.client_left_s = 9.8


def excessive_patience(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    attempt.patience_s = 1.15


def crash(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    ledger.incarnations[0].exit_s, ledger.incarnations[0].exit_code = 20.0, 1


def never_ready(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    ledger.incarnations.append(Incarnation(1, 30.0))


def slow_exit(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    ledger.incarnations.append(Incarnation(1, 0.0, ready_s=1.0, sigterm_s=20.0, exit_s=23.8, exit_code=0))


def error_in_the_log(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    ledger.log_errors.append("d0: violation: two copies")


def overloaded_cold_engine(ledger: Ledger, request: Request, attempt: Attempt) -> None:
    ledger.cold_starts.append(ColdStart("e9", 5.0, 15.0))
    for number in range(23):  # one more than 10 + 3 * sqrt(10) + 3 = 22.5 allows
        request_id = f"c{number}"
        ledger.requests[request_id] = Request(request_id, 0, "safe", 1.0, 1.0, 10.0, client_left_s=10.2)
        ledger.attempts.append(
            Attempt(request_id, "e9", number + 9, 10.01, 10.01, 0.9, 10.1, AttemptEnd.KILLED)
        )


@pytest.mark.parametrize(
    ("change", "rule"),
    [
        (no_answer, "answered"),
        (closed_connection, "answered"),
        (second_answer, "answered"),
        (late_answer, "answered"),
        (other_rows, "answered"),
        (overlapping_attempts, "copies"),
        (retry_on_the_same_connection, "copies"),
        (too_many_attempts, "ration"),
        (attempt_after_delivered_drain, "drain"),
        (attempt_after_undelivered_drain, "drain"),
        (attempt_after_client_left, "gone"),
        (excessive_patience, "patience"),
        (crash, "crash"),
        (never_ready, "ready"),
        (slow_exit, "exit"),
        (error_in_the_log, "log"),
        (overloaded_cold_engine, "cold"),
    ],
)
def test_each_rule_violation_is_found(change: Change, rule: str) -> None:
    ledger, request, attempt = valid_ledger()
    assert check_ledger(ledger, SETTINGS) == []
    change(ledger, request, attempt)
    assert rule in {finding.rule for finding in check_ledger(ledger, SETTINGS)}


@pytest.mark.parametrize(
    ("class_name", "at_s", "is_violation"), [("keyed", 10.6, True), ("keyed", 10.4, False)]
)
def test_keyed_retry_past_its_window_is_found(class_name: str, at_s: float, is_violation: bool) -> None:
    ledger, _, attempt = valid_ledger(class_name)
    attempt.end = AttemptEnd.CRASHED
    add_attempt(ledger, at_s)
    assert {finding.rule for finding in check_ledger(ledger, SETTINGS)} == (
        {"effect"} if is_violation else set()
    )


@pytest.mark.parametrize("end", list(AttemptEnd))
def test_unsafe_retry_or_refusal_is_found_unless_the_attempt_never_ran(end: AttemptEnd) -> None:
    ledger, request, attempt = valid_ledger("unsafe")
    attempt.end = end
    add_attempt(ledger, 10.3)
    expected_rules = set() if end is AttemptEnd.OVERLOAD else {"effect"}
    assert {finding.rule for finding in check_ledger(ledger, SETTINGS)} == expected_rules
    ledger, request, attempt = valid_ledger("unsafe")
    attempt.end = end
    request.answers = [Answer(10.3, AnswerKind.REFUSED)]
    assert {finding.rule for finding in check_ledger(ledger, SETTINGS)} == expected_rules


def dispatcher_killed(ledger: Ledger, request: Request) -> None:
    ledger.incarnations[0].sigkill_s = ledger.incarnations[0].exit_s = 10.1


def dispatcher_paused(ledger: Ledger, request: Request) -> None:
    ledger.incarnations[0].pauses.append((10.1, 11.0))
    request.answers = [Answer(12.0, AnswerKind.FAILED)]


def request_crossed_a_close(ledger: Ledger, request: Request) -> None:
    request.connection_closed_s = 10.04


def client_left(ledger: Ledger, request: Request) -> None:
    request.client_left_s = 10.3


@pytest.mark.parametrize(
    "excuse", [dispatcher_killed, dispatcher_paused, request_crossed_a_close, client_left]
)
def test_excused_missing_or_late_answer_is_no_finding(excuse: Callable[[Ledger, Request], None]) -> None:
    ledger, request, _ = valid_ledger()
    request.answers.clear()
    assert check_ledger(ledger, SETTINGS)
    excuse(ledger, request)
    assert check_ledger(ledger, SETTINGS) == []


def test_short_soak_of_real_processes_has_no_findings(tmp_path: Path) -> None:
    """Overlapping faults for a few seconds; `ashcross lab soak` runs more seeds for longer."""
    outcome = play(Plan(seed=1, dispatchers=3, engines=6, seconds=4.0, clients_each=4), tmp_path)
    assert outcome.findings == []
    assert outcome.served > 100
    assert len(outcome.faults) > 3
