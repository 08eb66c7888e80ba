"""Decisions that violate the rules: the dispatcher counts them and does not execute them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest

from ashcross.audit import audit
from ashcross.decisions import send_rules
from ashcross.decisions.actions import RejectRequest
from ashcross.decisions.events import AttemptOutcome
from ashcross.decisions.settings import RetrySafety
from ashcross.dispatcher.requests import SECOND_ANSWER, UNSAFE_REJECTION
from tests.harness.decision_model import LOOKUP
from tests.harness.dispatcher_bed import REQUEST_ID, DispatcherBed

NOT_IDEMPOTENT = replace(LOOKUP, retry_safety=RetrySafety.NOT_IDEMPOTENT)


@pytest.fixture
def violations() -> Iterator[list[str]]:
    rules: list[str] = []
    audit.follow(lambda rule, text: rules.append(rule))
    yield rules
    audit.follow(None)


def test_rule_violations_are_counted_and_not_executed(violations: list[str]) -> None:
    """A retry and a rejection of a request that may have executed, and a second final answer."""
    bed = DispatcherBed()
    engine = bed.endpoints.engines["e1"]
    bed.sends("e1", "e2")
    request = bed.accept()
    request.class_settings = NOT_IDEMPOTENT
    bed.run()
    (first,) = request.attempts
    assert bed.dispatcher.may_begin_attempt(first, engine)
    first.connection = None
    bed.dispatcher.complete_attempt(first, AttemptOutcome.RESET)
    bed.run(20_000)
    second = request.attempts[1]
    assert not bed.dispatcher.may_begin_attempt(second, bed.endpoints.engines["e2"])
    assert violations == [send_rules.UNSAFE_RETRY.reason]
    bed.scheduler.script = lambda now, event: [RejectRequest(REQUEST_ID, 0)]
    bed.dispatcher.complete_attempt(second, AttemptOutcome.NOT_SENT)
    bed.run(20_000)
    assert violations[1:] == [UNSAFE_REJECTION]
    assert [answer["error"]["code"] for answer in bed.client.answers()] == [-32000]
    bed.dispatcher.request_lifecycle.serve(request, [])
    assert violations[2:] == [SECOND_ANSWER]
    assert len(bed.client.frames) == 1
