"""Attempts: memory grants and priorities, and the last check before an attempt starts."""

from __future__ import annotations

from dataclasses import replace

from ashcross.decisions.actions import SetAttemptTerms
from ashcross.decisions.settings import RetrySafety
from tests.harness.decision_model import LOOKUP, REPORT, SchedulerTestBed, make_settings, started


def test_memory_grants_and_priorities_follow_the_settings() -> None:
    bed = SchedulerTestBed(
        make_settings(LOOKUP, REPORT, memory_grants_apply=True, priorities_apply=True), engines=1
    )
    (terms,) = [action for action in bed.receive(memory_mb=100.0) if isinstance(action, SetAttemptTerms)]
    assert terms.memory_grant_mb == 125.0
    assert terms.priority == 3
    (terms,) = [
        action
        for action in bed.receive(1, memory_mb=9_000.0, work_estimate_us=4_000_000)
        if isinstance(action, SetAttemptTerms)
    ]
    assert terms.memory_grant_mb == 0.4 * 16_000
    assert terms.priority == 1
    actions = SchedulerTestBed(engines=1).receive()
    assert not [action for action in actions if isinstance(action, SetAttemptTerms)]


def test_start_does_nothing_for_unsafe_retry_and_for_hedging_not_allowed() -> None:
    for retry_safety, in_flight in ((RetrySafety.NOT_IDEMPOTENT, False), (RetrySafety.IDEMPOTENT, True)):
        bed = SchedulerTestBed(make_settings(replace(LOOKUP, retry_safety=retry_safety)), engines=2)
        (first,) = started(bed.receive())
        request = bed.scheduler.table.requests[first.request_id]
        # the first attempt has ended and may have executed a request that is not idempotent, or is in flight
        request.attempts[0].in_flight = in_flight
        engine = bed.scheduler.engines.by_name["e1"]
        bed.scheduler._actions.clear()
        bed.scheduler.attempts.start(request, engine, bed.now)
        assert not started(bed.scheduler._actions)
