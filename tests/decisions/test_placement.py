"""Tests of placement: to which engines a retry may be sent.

An engine outside of the deduplication scope does not know the idempotency key and would execute the request
again.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from ashcross.decisions.events import AttemptOutcome, EndpointListKind, EndpointState
from ashcross.decisions.settings import DeduplicationScope
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


# how long before the start of the process that replaces its engine an attempt is decided
MAY_REACH_THE_NEXT_US = (-400_000, 0, 1_200_000)
TOO_EARLY_US = 1_300_000


@pytest.mark.parametrize(
    ("decided_before_us", "retried_on"),
    [*((before_us, []) for before_us in MAY_REACH_THE_NEXT_US), (TOO_EARLY_US, ["e2"])],
)
@pytest.mark.parametrize("removed_first", [False, True])
def test_attempt_that_the_next_process_may_have_got_stays_in_the_scope_of_both(
    decided_before_us: int, retried_on: list[str], removed_first: bool
) -> None:
    """Guards against a request that runs twice: its first attempt had reached another cell at its address."""
    class_settings = replace(LOAD, ordered=False, deduplication_scope=DeduplicationScope.CELL)
    bed = SchedulerTestBed(make_settings(class_settings, connect_timeout_us=250_000), engines=0)
    bed.update_list([endpoint("e0", address="h:1", cell=1)])
    (attempt,) = started(bed.receive())
    start_us = bed.now + decided_before_us
    bed.now += 600_000
    bed.update_list([endpoint("e2", address="h:2", cell=1)], EndpointListKind.DELTA)
    old_state = EndpointState.REMOVED if removed_first else EndpointState.DRAINING
    old = endpoint("e0", address="h:1", cell=1, state=old_state)
    new = endpoint("e1", address="h:1", cell=2, boot_us=start_us)
    if removed_first:
        bed.update_list([old], EndpointListKind.DELTA)
        bed.update_list([new], EndpointListKind.DELTA)
    else:
        bed.update_list([new, old], EndpointListKind.DELTA)
    retries = started(bed.complete(attempt.request_id, attempt.engine_name, AttemptOutcome.RESET))
    assert [retry.engine_name for retry in retries] == retried_on


def test_uncertain_start_time_counts_as_early_enough_for_any_attempt() -> None:
    class_settings = replace(LOAD, ordered=False, deduplication_scope=DeduplicationScope.CELL)
    bed = SchedulerTestBed(make_settings(class_settings), engines=0)
    bed.update_list([endpoint("e0", address="h:1", cell=1), endpoint("e2", address="h:2", cell=1)])
    (attempt,) = started(bed.receive())
    new = endpoint(
        "e1",
        address=f"h:{1 + int(attempt.engine_name[1:]) // 2}",
        cell=2,
        boot_us=bed.now + 60_000_000,
        start_is_certain=False,
    )
    bed.update_list([new], EndpointListKind.DELTA)
    assert not started(bed.complete(attempt.request_id, attempt.engine_name, AttemptOutcome.RESET))
