"""Tests of placement: to which engines a retry may be sent.

An engine outside of the deduplication scope does not know the idempotency key and would execute the request
again.
"""

from __future__ import annotations

from dataclasses import replace

from ashcross.decisions.events import (
    AttemptOutcome,
)
from ashcross.decisions.settings import (
    DeduplicationScope,
)
from tests.harness.decision_model import LOAD, SchedulerTestBed, endpoint, make_settings, started


def test_retry_with_key_stays_in_deduplication_scope() -> None:
    for scope in (DeduplicationScope.ZONE, DeduplicationScope.CELL):
        class_settings = replace(LOAD, ordered=False, deduplication_scope=scope)
        bed = SchedulerTestBed(make_settings(class_settings), engines=0)
        bed.update_list([endpoint("e0", zone="z1", cell=1), endpoint("e1", zone="z2", cell=2)])
        (attempt,) = started(bed.receive())
        retries = started(bed.complete(attempt.request_id, attempt.engine_name, AttemptOutcome.RESET))
        assert [retry.engine_name for retry in retries] == [attempt.engine_name]  # although it failed there
        first_name = bed.scheduler.table.requests[attempt.request_id].attempts[0].engine.endpoint.name
        assert first_name == attempt.engine_name
