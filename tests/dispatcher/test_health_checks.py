"""Health checks: each has one outcome."""

from __future__ import annotations

from ashcross.decisions.actions import StartHealthCheck
from ashcross.decisions.events import AttemptOutcome, HealthCheckCompleted, TimerFired
from ashcross.protocols.clients import json_rpc
from tests.harness.dispatcher_bed import DispatcherBed


def test_each_health_check_has_one_outcome() -> None:
    bed = DispatcherBed()
    bed.dispatcher.enqueue_event(TimerFired(0))
    bed.scheduler.script = lambda now, event: (
        [StartHealthCheck("e1"), StartHealthCheck("e2"), StartHealthCheck("none")]
        if event == TimerFired(0)
        else []
    )
    bed.run()
    answered, unanswered = bed.engines.health_checks
    assert len({answered.tag, unanswered.tag}) == 2
    assert not set(answered.tag) <= json_rpc.HEX_DIGITS
    bed.now_us += 700
    bed.dispatcher.health_check_completed(answered, AttemptOutcome.SUCCEEDED, {"cpu": 0.5})
    bed.run(250_000)
    bed.dispatcher.health_check_completed(unanswered, AttemptOutcome.SUCCEEDED, {})
    bed.run()
    assert [
        (event.engine_name, event.outcome, event.load_report)
        for event in bed.scheduler.of(HealthCheckCompleted)
    ] == [
        ("none", AttemptOutcome.CONNECT_FAILED, {}),
        ("e1", AttemptOutcome.SUCCEEDED, {"cpu": 0.5}),
        ("e2", AttemptOutcome.TIMEOUT, {}),
    ]
    assert bed.scheduler.of(HealthCheckCompleted)[1].latency_us == 700
