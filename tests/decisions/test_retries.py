"""Retries: retry or final answer after a failed attempt, and cancelling of overdue attempts."""

from __future__ import annotations

from dataclasses import replace

from ashcross.decisions.actions import CancelAttempt, FailRequest, RejectRequest
from ashcross.decisions.events import AttemptOutcome, AttemptProgress, ProgressKind
from ashcross.decisions.settings import RetrySafety
from tests.harness.decision_model import (
    LOOKUP,
    SchedulerTestBed,
    endpoint,
    final_answers,
    make_settings,
    started,
)


def test_attempt_on_removed_engine_is_cancelled_and_retried_on_another() -> None:
    bed = SchedulerTestBed(engines=1)
    (attempt,) = started(bed.receive())
    bed.update_list([endpoint("e9")])
    assert CancelAttempt(attempt.request_id, 0) in bed.advance(100_000)
    actions = bed.complete(attempt.request_id, attempt.engine_name, AttemptOutcome.CANCELLED)
    assert [retry.engine_name for retry in started(actions)] == ["e9"]


def test_overdue_attempt_is_cancelled_once_and_late_request_is_rejected() -> None:
    bed = SchedulerTestBed(engines=2)
    (attempt,) = started(bed.receive())
    while not (cancels := [action for action in bed.advance(50_000) if isinstance(action, CancelAttempt)]):
        pass
    assert cancels == [CancelAttempt(attempt.request_id, 0)]
    bed.advance(2_000_000)  # past the latency objective, after which an answer of this class has no value
    answers = final_answers(bed.complete(attempt.request_id, attempt.engine_name, AttemptOutcome.CANCELLED))
    assert [type(answer) for answer in answers] == [RejectRequest]


def test_progress_cancels_bad_plan_early_and_keeps_attempt_near_its_end() -> None:
    bed = SchedulerTestBed(engines=2)
    (slow,) = started(bed.receive(work_estimate_us=1_000_000))
    (nearly_done,) = started(bed.receive(work_estimate_us=1_000_000))
    bed.advance(1_000_000)
    bed.handle(AttemptProgress(slow.request_id, 0, slow.engine_name, ProgressKind.PROGRESS, 0.1))
    bed.handle(
        AttemptProgress(nearly_done.request_id, 0, nearly_done.engine_name, ProgressKind.PROGRESS, 0.9)
    )
    cancels = [action for action in bed.advance(200_000) if isinstance(action, CancelAttempt)]
    assert cancels == [CancelAttempt(slow.request_id, 0)]


def test_not_idempotent_request_is_retried_only_if_it_did_not_execute() -> None:
    bed = SchedulerTestBed(make_settings(replace(LOOKUP, retry_safety=RetrySafety.NOT_IDEMPOTENT)), engines=2)
    (attempt,) = started(bed.receive())
    assert final_answers(bed.complete(attempt.request_id, attempt.engine_name, AttemptOutcome.RESET)) == [
        FailRequest(attempt.request_id)
    ]
    (attempt,) = started(bed.receive())
    retries = started(bed.complete(attempt.request_id, attempt.engine_name, AttemptOutcome.CONNECT_FAILED))
    assert len(retries) == 1
    assert retries[0].engine_name != attempt.engine_name
