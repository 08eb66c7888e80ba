"""Tests of the bench adapter with small hand-written batches."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from ashcross.bench_adapter import codec
from ashcross.bench_adapter.host import Host
from ashcross.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    PollEndpointList,
    RejectRequest,
    SendToPeer,
    SetAttemptTerms,
    StartAttempt,
    StartHealthCheck,
    StartTimer,
    WatchEndpointList,
)
from ashcross.decisions.events import (
    AnswerStarted,
    AttemptCompleted,
    AttemptOutcome,
    AttemptProgress,
    ClientDisconnected,
    Event,
    HealthCheckCompleted,
    PeerMessageReceived,
    ProgressKind,
    RequestReceived,
    TimerFired,
)
from ashcross.decisions.scheduler import Scheduler
from ashcross.decisions.settings import DeduplicationScope, MemoryShortagePolicy

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = {
    "Classes": [
        {"Name": "quick", "Aim": 1_000_000, "GiveUp": 5_000_000, "Idempotency": "retryable", "Points": 1.0},
        {
            "Name": "write",
            "Aim": 2_000_000,
            "GiveUp": 9_000_000,
            "Idempotency": "dedup",
            "Group": "zone",
            "Window": 3_000_000,
            "InTurn": True,
            "RunsOn": ["metal"],
            "Points": 3.0,
        },
    ],
    "FamilyInfo": {
        "ClassThreads": [1, 2],
        "ClassLoad": [False, True],
        "CpuOfKind": [4, 4],
        "SizeMb": [8192, 8192],
        "GrantsCount": True,
        "Priorities": True,
        "LargestShare": 0.5,
        "MemoryShort": "swap",
        "Unheard": 1,
    },
    "Limits": {"MayCancel": True, "MaxAttempts": 3, "RetryAfter": True, "MaxRetryAfter": 700_000},
    "Guarantees": {"KeyQuiet": 300_000},
    "Report": {"Fields": ["cpu", "later"], "How": "inline"},
    "MachineTypes": ["metal", "glass"],
    "FailureDomains": ["north", "south"],
    "MyZone": "north",
    "Instances": 2,
    "Step": 5000,
    "Unheard": {"of": 1},
}
OPEN = "OPEN_INSTANCE\t{}\t99\t" + json.dumps(SETTINGS).replace("{", "{{").replace("}", "}}")
ENDPOINT_LIST = ["DEFINE_LIST\t0\t1", "ROW\tn1\tnorth\tmetal\t0\t1\t1.0\t-"]
LIST_UPDATE = "BACKENDS_CHANGED\t{}\t2\t1\t0"


def accept(instance: int, request: str, class_name: str = "quick", key: str = "-") -> str:
    return f"ACCEPT\t{instance}\t{request}\t100\t3\t{class_name}\t{key}\t1\t50000\t5000000\t-"


def batch(now: int, *lines: str) -> list[str]:
    return [f"FRAME\t{now}\n", *(f"{line}\n" for line in lines), "EOB\n"]


def replies_to(*batches: list[str]) -> list[list[str]]:
    """Return the lines of each reply."""
    lines = [line for batch_lines in batches for line in batch_lines]
    return [reply.splitlines() for reply in Host().replies(lines)]


def run_adapter(text: str, **env: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-B", "-m", "ashcross.bench_adapter"]
    return subprocess.run(
        command, input=text, capture_output=True, text=True, cwd=ROOT, env={**os.environ, **env}, check=False
    )


def test_empty_batch() -> None:
    assert replies_to(batch(5)) == [["END"]]


def test_request_is_submitted_with_its_limits() -> None:
    first, second = replies_to(
        batch(1_000, OPEN.format(3), *ENDPOINT_LIST, LIST_UPDATE.format(3), accept(3, "00ff")),
        batch(90_000, "SETTLED\t3\t00ff\t0\tn1\tGOOD\t89000\t1\t69728\t0.5,-"),
    )
    assert first[0].split("\t")[:3] == ["LIMITS_FOR", "3", "00ff"]
    assert "SUBMIT_TO\t3\t00ff\tn1\t0" in first
    assert first[-1] == "END"
    assert any(line.startswith("SLEEP\t3\t") for line in first)
    assert second == ["END"]


def test_reopened_instance_forgets_its_requests() -> None:
    replies = replies_to(
        batch(1_000, OPEN.format(1), *ENDPOINT_LIST, LIST_UPDATE.format(1), accept(1, "aa")),
        batch(2_000, "DESTROY\t1", OPEN.format(1), *ENDPOINT_LIST, LIST_UPDATE.format(1), accept(1, "bb")),
    )
    assert any("\tbb\t" in line for line in replies[1])
    assert not any("\taa" in line for line in replies[1])


def test_reused_list_number_refers_to_latest_list() -> None:
    other = ["DEFINE_LIST\t0\t1", "ROW\tn2\tnorth\tmetal\t0\t1\t1.0\t-"]
    (reply,) = replies_to(
        batch(
            1_000,
            OPEN.format(1),
            OPEN.format(2),
            *ENDPOINT_LIST,
            LIST_UPDATE.format(1),
            *other,
            LIST_UPDATE.format(2),
            accept(1, "aa"),
            accept(2, "bb"),
        )
    )
    assert "SUBMIT_TO\t1\taa\tn1\t0" in reply
    assert "SUBMIT_TO\t2\tbb\tn2\t0" in reply


def test_instances_act_alike_together_and_alone() -> None:
    events = [OPEN, *ENDPOINT_LIST, LIST_UPDATE]
    together = replies_to(
        batch(
            1,
            *(event.format(instance) for instance in (1, 2) for event in events),
            accept(1, "aa"),
            accept(2, "bb"),
        )
    )
    alone = [
        replies_to(batch(1, *(event.format(instance) for event in events), accept(instance, request)))
        for instance, request in ((1, "aa"), (2, "bb"))
    ]
    assert together[0][:-1] == alone[0][0][:-1] + alone[1][0][:-1]


def test_large_batch() -> None:
    (reply,) = replies_to(
        batch(
            1_000,
            OPEN.format(1),
            *ENDPOINT_LIST,
            LIST_UPDATE.format(1),
            *(accept(1, f"{n:016x}") for n in range(4000)),
        )
    )
    assert reply[-1] == "END"
    assert sum(line.startswith("SUBMIT_TO") for line in reply) > 0


@pytest.mark.parametrize(
    "text",
    [
        "FRAME\t1\nACCEPT\t1\nEOB\n",
        "FRAME\t1\nNONSENSE\t1\nEOB\n",
        "FRAME\tx\nEOB\n",
        "HELLO\n",
        "FRAME\t1\nDEFINE_LIST\t0\t2\nROW\tn\tz\tk\t0\t1\t1\t-\nEOB\n",
        "FRAME\t1\n" + OPEN.format(1) + "\nACCEPT\t1\ta\t1\t1\tnoclass\t-\t0\t-\t5\t-\nEOB\n",
        "FRAME\t1\n" + OPEN.format(1) + "\nBACKENDS_CHANGED\t1\t1\t1\t9\nEOB\n",
        "FRAME\t1\nOPEN_INSTANCE\t1\t2\t{broken\nEOB\n",
        "FRAME\t1\n",
    ],
)
def test_malformed_input_ends_with_one_error_line(text: str) -> None:
    result = run_adapter("FRAME\t0\nEOB\n" + text)
    assert result.returncode != 0
    assert result.stdout == "END\n"  # the reply to the valid first batch, and no part of another
    assert result.stderr.startswith("ashcross.bench_adapter: ")
    assert result.stderr.count("\n") == 1


def test_scheduler_error_is_reported_for_its_instance() -> None:
    class FailingScheduler(Scheduler):
        def handle(self, now: int, event: Event) -> list[Action]:
            raise RuntimeError("two\nlines")

    lines = batch(1, OPEN.format(4), *ENDPOINT_LIST, LIST_UPDATE.format(4))
    (reply,) = Host(FailingScheduler).replies(lines)
    assert reply.startswith("INTERNAL_ERROR\t4\t")
    assert "two" in reply
    assert reply.count("\n") == 2


def mixed_workload() -> list[str]:
    """Return batches with requests of both classes for four engines, and timer events."""
    placements = [(zone, kind) for kind in ("metal", "glass") for zone in ("north", "south")]
    rows = [f"ROW\tn{i}\t{zone}\t{kind}\t0\t1\t1.0\t-" for i, (zone, kind) in enumerate(placements)]
    lines = batch(1_000, OPEN.format(1), "DEFINE_LIST\t0\t4", *rows, LIST_UPDATE.format(1))
    for n in range(60):
        class_name = "quick" if n % 3 else "write"
        lines += batch(2_000 + n * 20_000, accept(1, f"{n:016x}", class_name, "k1"), "TICK_DUE\t1\t0")
    return lines


def test_hash_seed_does_not_change_actions() -> None:
    outputs = {
        run_adapter("".join(mixed_workload()), PYTHONHASHSEED=seed).stdout for seed in ("0", "1", "77")
    }
    assert len(outputs) == 1
    assert "SUBMIT_TO" in outputs.pop()


RENAMINGS = (  # old and new names of classes, zones and kinds of engines
    ("quick", "zz-9"),
    ("write", "aa-1"),
    ("north", "yonder"),
    ("south", "a"),
    ("metal", "b"),
    ("glass", "x"),
)


def test_names_do_not_change_decisions() -> None:
    text = "".join(mixed_workload())
    renamed = text
    for old, new in RENAMINGS:
        renamed = renamed.replace(old, new)
    assert renamed != text
    assert run_adapter(text).stdout == run_adapter(renamed).stdout


def test_every_action_is_encoded() -> None:
    lines: dict[Action, str] = {
        StartAttempt("r", "n", 5): "SUBMIT_TO\t1\tr\tn\t5",
        SetAttemptTerms("r", 12.5, 2): "LIMITS_FOR\t1\tr\t12.5\t2",
        CancelAttempt("r", 0): "CANCEL\t1\tr\t0",
        RejectRequest("r", 7): "DENY\t1\tr\t7",
        FailRequest("r"): "ABORT\t1\tr",
        StartTimer(9, 2): "SLEEP\t1\t9\t2",
        StartHealthCheck("n"): "PROBE\t1\tn",
        WatchEndpointList(True): "TRACK\t1\t1",
        PollEndpointList(): "QUERY_ALL\t1",
        CloseIdleConnections("n"): "CLOSE\t1\tn",
        SendToPeer(-1, b"hi 7"): "POST\t1\t-1\taGkgNw==",
        LogMessage("a\tb\nc"): "PRINT\t1\ta b c",
    }
    for action, line in lines.items():
        assert codec.encode(1, action) == line


def test_every_event_is_decoded() -> None:
    settings, classes = codec.decode_settings(json.dumps(SETTINGS))
    assert settings.classes[1].ordered
    assert settings.classes[1].deduplication_scope is DeduplicationScope.ZONE
    assert settings.memory_shortage_policy is MemoryShortagePolicy.PAGE
    assert settings.ordering_quiet_us == 300_000
    decoder = codec.Decoder(settings, classes)
    expected_events = {
        "SETTLED\t1\tr\t0\tn\tGOOD\t5\t1\t69728\t0.5,-": AttemptCompleted(
            "r", 0, "n", AttemptOutcome.SUCCEEDED, 5, True, 17_000, 384.0, {"cpu": 0.5}
        ),
        "UNDER_WAY\t1\tr\t0\tn\t5": AnswerStarted("r", 0, "n", 5),
        "PROGRESS\t1\tr\t0\tn\t3\t1": AttemptProgress("r", 0, "n", ProgressKind.QUEUED, 1.0),
        "PROGRESS\t1\tr\t0\tn\t9\t1": None,
        "TIMED_OUT_CLIENT\t1\tr": ClientDisconnected("r"),
        "TICK_DUE\t1\t7": TimerFired(7),
        "PONG\t1\t5\tNOCONN\tn\t-": HealthCheckCompleted("n", AttemptOutcome.CONNECT_FAILED, 5, {}),
        "INBOX\t1\t2\taGkgNw==": PeerMessageReceived(2, b"hi 7"),
        "ACCEPT\t1\tr\t384\t11\twrite\tk\t3\t12000\t240000\tten": RequestReceived(
            "r", 1, 11, "k", 384.0, 12_000, 240_000, "ten", True
        ),
    }
    for line, event in expected_events.items():
        fields = line.split("\t")
        assert codec.EVENTS[fields[0]](decoder, fields) == event
