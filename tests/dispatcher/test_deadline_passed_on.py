"""The time limit that a real process sends to engines: at most 0.15 s more than the client still waits."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from ashcross.protocols.engines import resp
from ashcross.simulation.processes import wait_for
from tests.conftest import MakeTestBed
from tests.harness.peers import EXAMPLE, FakeEngine, TestBed, fill_accept_queue

SLACK_S = 0.15
LIMIT_S = 3.0
STANDSTILLS_S = (0.12, 0.16, 0.2, 0.23, 0.4)
REPETITIONS = 14  # each at another point within the period of a sweep


@pytest.fixture
def test_bed(tmp_path: Path) -> Iterator[TestBed]:
    serving = TestBed(tmp_path)
    serving.start_serving()
    yield serving
    serving.close()


def excess_s(engine: FakeEngine, sent_s: float) -> float:
    """Return by how much the limit sent to the engine exceeds the time that the client still waits (s)."""
    while (words := engine.next_command())[0] != b"PULL":
        pass
    remaining_s = LIMIT_S - (time.monotonic() - sent_s)
    engine.serve(words[1].decode())
    return int(resp.fields(words[2])["patience"]) / 1000 - remaining_s


def test_dial_time_is_subtracted_from_the_time_limit(make_test_bed: MakeTestBed) -> None:
    """The engine's accept queue is full, so that the kernel repeats the connection request a second later."""
    limits = EXAMPLE["settings"]["Limits"] | {"DialTimeout": 2_500_000, "Probes": False}
    test_bed = make_test_bed(settings={"Limits": limits}, backlog=0)
    test_bed.start_serving()
    time.sleep(0.3)  # until the first sweep, the time of a request counts from the start of the process
    queue, client = test_bed.engines["e1"], test_bed.connect_client()
    filling = fill_accept_queue(queue.port)
    filling_ports = {sock.getsockname()[1] for sock in filling}
    client.send(test_bed.query(1, test_bed.new_request_id(), "report", LIMIT_S * 1000))
    sent_s = time.monotonic()
    wait_for("the dial", lambda: test_bed.is_connecting("e1", filling_ports))
    time.sleep(0.5)  # longer than the slack, while the dial is still pending
    for filler in filling:
        filler.close()
    sock = queue.accept()
    while sock.getpeername()[1] in filling_ports:
        sock = queue.accept()
    beyond_s = excess_s(FakeEngine(sock), sent_s)
    waited_s = time.monotonic() - sent_s
    print(f"dial of {waited_s:.2f} s: limit {beyond_s:.3f} s beyond what the client still waits")
    assert waited_s > 0.5
    assert beyond_s <= SLACK_S
    assert client.next_answer() is not None


@pytest.mark.parametrize("stopped_s", STANDSTILLS_S)
def test_standstill_is_subtracted_from_the_time_limit(test_bed: TestBed, stopped_s: float) -> None:
    engine, client = test_bed.serve_one(), test_bed.connect_client()
    worst_s = -LIMIT_S
    for call_id in range(1, REPETITIONS + 1):
        time.sleep(0.2 + 0.018 * call_id)  # idle, so that only the sweep becomes due
        test_bed.suspend()
        client.send(test_bed.query(call_id, test_bed.new_request_id(), "report", LIMIT_S * 1000))
        sent_s = time.monotonic()
        test_bed.resume(stopped_s)
        worst_s = max(worst_s, excess_s(engine, sent_s))
        assert client.next_answer() is not None
    print(f"standstill {stopped_s} s: limit {worst_s:.3f} s beyond what the client still waits")
    assert worst_s <= SLACK_S
