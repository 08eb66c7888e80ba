"""Final answers: which requests are rejected and which fail at a shutdown."""

from __future__ import annotations

from dataclasses import replace

from ashcross.decisions.actions import FailRequest, RejectRequest
from ashcross.decisions.events import ShutdownStarted
from ashcross.decisions.settings import RetrySafety
from tests.harness.decision_model import LOAD, LOOKUP, SchedulerTestBed, make_settings, started


def test_shutdown_rejects_requests_that_are_safe_to_retry_and_fails_others() -> None:
    not_idempotent = replace(LOOKUP, retry_safety=RetrySafety.NOT_IDEMPOTENT)
    bed = SchedulerTestBed(make_settings(LOOKUP, LOAD, not_idempotent))
    for class_index in (0, 1, 2):
        assert started(bed.receive(class_index))
    bed.update_list([])
    bed.receive(2)  # no engine is listed, so it does not run and is safe to retry
    answer_types = [
        type(action)
        for action in bed.handle(ShutdownStarted())
        if isinstance(action, RejectRequest | FailRequest)
    ]
    assert answer_types == [RejectRequest, RejectRequest, FailRequest, RejectRequest]
