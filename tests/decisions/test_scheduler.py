"""The scheduler: late events, the timer while idle, and the size of the modules in `ashcross.decisions`."""

from __future__ import annotations

from pathlib import Path

from ashcross.decisions import scheduler
from ashcross.decisions.events import (
    AnswerStarted,
    AttemptProgress,
    ClientDisconnected,
    PeerMessageReceived,
    ProgressKind,
)
from tests.harness.decision_model import SchedulerTestBed, final_answers, started

DECISIONS_FOLDER = Path(scheduler.__file__).parent


def test_no_module_has_more_than_350_lines() -> None:
    line_counts = {path.name: len(path.read_text().splitlines()) for path in DECISIONS_FOLDER.glob("*.py")}
    assert max(line_counts.values()) <= 350


def test_late_duplicate_and_unknown_events_are_ignored() -> None:
    bed = SchedulerTestBed()
    (attempt,) = started(bed.receive())
    bed.complete(attempt.request_id, attempt.engine_name)
    assert not started(bed.complete(attempt.request_id, attempt.engine_name))
    assert not final_answers(bed.actions)
    assert not final_answers(bed.handle(ClientDisconnected(attempt.request_id)))
    bed.handle(AttemptProgress("unknown", 3, "e0", ProgressKind.QUEUED, 1.0))
    bed.handle(AnswerStarted("unknown", 0, "e0", 1))
    bed.handle(PeerMessageReceived(1, b"x"))


def test_idle_scheduler_sets_no_timer() -> None:
    bed = SchedulerTestBed()
    (attempt,) = started(bed.receive())
    bed.complete(attempt.request_id, attempt.engine_name)
    bed.advance(10_000_000)
    assert bed.timer is None
