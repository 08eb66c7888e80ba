"""Dispatch queue: order, longest wait, and removal of requests."""

from __future__ import annotations

from dataclasses import replace

from ashcross.decisions.actions import RejectRequest
from tests.harness.decision_model import (
    LOOKUP,
    SchedulerTestBed,
    endpoint,
    fill_engines,
    final_answers,
    make_settings,
    started,
)


def test_earliest_due_time_is_dispatched_first() -> None:
    bed = SchedulerTestBed(make_settings(replace(LOOKUP, late_value_share=0.5)), engines=1)
    running_attempts = fill_engines(bed)
    bed.receive(work_estimate_us=900_000)  # due after 1 s + 2 x 0.9 s
    bed.receive(work_estimate_us=50_000)  # due after 1 s + 2 x 0.05 s: dispatched first
    bed.receive(work_estimate_us=400_000)
    dispatched = []
    for running in running_attempts[:3]:
        actions = bed.complete(running.request_id, running.engine_name, latency_us=5_000_000)
        dispatched += [attempt.request_id for attempt in started(actions)]
    count = bed.count
    assert dispatched == [f"r{count - 2}", f"r{count - 1}", f"r{count - 3}"]


def test_reserve_queue_comes_after_regular_queue_in_random_order() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP), engines=1)
    fill_engines(bed)
    bed.scheduler.mpl.classes[0].quota = bed.scheduler.mpl.classes[0].in_quota + 1
    bed.receive(work_estimate_us=900_000)
    for _ in range(6):
        bed.receive(work_estimate_us=50_000)
    entries = sorted(bed.scheduler.queue.entries)
    assert [entry[0] for entry in entries] == [False, False, True, True, True, True, True, True]
    orders = [entry[1] for entry in entries[-6:]]
    assert all(0 <= order < 1 for order in orders)
    assert len(set(orders)) == 6


def test_request_is_rejected_after_waiting_for_a_share_of_its_slack() -> None:
    bed = SchedulerTestBed(make_settings(replace(LOOKUP, late_value_share=0.5)), engines=1)
    fill_engines(bed)
    queued_since_us = bed.now
    bed.receive()
    request_id = f"r{bed.count - 1}"
    while not [answer for answer in final_answers(bed.actions) if answer.request_id == request_id]:
        bed.advance(50_000)
        assert bed.now - queued_since_us < 1_000_000
    (answer,) = [answer for answer in final_answers(bed.actions) if answer.request_id == request_id]
    assert isinstance(answer, RejectRequest)
    assert answer.retry_after_us == 500_000


def test_request_without_engines_is_rejected_and_next_runs_once_one_is_listed() -> None:
    bed = SchedulerTestBed(engines=0)
    bed.receive()
    assert isinstance(final_answers(bed.advance(2_000_000))[0], RejectRequest)
    bed.receive()
    assert len(started(bed.update_list([endpoint("e0")]))) == 1


def test_completed_requests_leave_the_queue_under_lasting_overload() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP), engines=1)
    for _ in range(400):
        bed.receive(work_estimate_us=9_000_000)
        bed.advance(20_000)
    assert len(bed.scheduler.queue.entries) < 60


def test_completed_requests_leave_the_reserve_queue() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP), engines=1)
    while started(bed.receive(work_estimate_us=5_000_000)):
        pass  # until the engine is full
    for _ in range(200):
        bed.scheduler.mpl.classes[0].quota = 0.0  # all requests go to the reserve queue
        bed.receive()
        bed.advance(20_000)
        queued = sum(request.queued for request in bed.scheduler.table.requests.values())
        assert len(bed.scheduler.queue.entries) <= queued + 5
