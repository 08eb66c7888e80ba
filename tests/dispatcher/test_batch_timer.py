"""The batch timer: timers fire once and never early."""

from __future__ import annotations

from typing import Any

from ashcross.decisions.actions import Action, StartTimer
from ashcross.decisions.events import RequestReceived, TimerFired
from tests.harness.dispatcher_bed import START_US, DispatcherBed


def test_timers_fire_once_and_never_early() -> None:
    bed = DispatcherBed()

    def script(now: int, event: Any) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [StartTimer(now - 5, 1), StartTimer(now + 75_000, 2)]
        return []

    bed.scheduler.script = script
    bed.accept()
    bed.run()
    assert [event.token for event in bed.scheduler.of(TimerFired)] == [1]
    bed.run(74_999)
    assert len(bed.scheduler.of(TimerFired)) == 1
    bed.run(1)
    assert [event.token for event in bed.scheduler.of(TimerFired)] == [1, 2]
    assert [now for now, event in bed.scheduler.received if event == TimerFired(2)] == [START_US + 75_000]


def test_earlier_timer_moves_the_alarm() -> None:
    bed = DispatcherBed()
    bed.accept()  # its deadline with slack is in 1.02 s
    bed.run()
    bed.dispatcher.enqueue_event(TimerFired(0))
    bed.scheduler.script = lambda now, event: [StartTimer(now + 10, 9)] if event == TimerFired(0) else []
    bed.run(10)
    assert TimerFired(9) in bed.scheduler.of(TimerFired)
