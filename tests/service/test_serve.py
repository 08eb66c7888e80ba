"""Tests of a dispatcher process that serves clients on loopback from the toy fleet."""

from __future__ import annotations

import contextlib
import time
from pathlib import Path

from ashcross.protocols.clients import json_rpc
from ashcross.simulation.processes import wait_for
from tests.harness.peers import FakeClient
from tests.harness.toy_fleet import (
    MAXIMUM_WAIT_S,
    PipelinedClient,
    ToyFleetBed,
    row_numbers,
)


def test_results_of_one_page_and_many_pages_are_served(shared_bed: ToyFleetBed) -> None:
    assert shared_bed.answer_to_ping() is True
    assert row_numbers(shared_bed.ask()) == list(range(20))
    assert row_numbers(shared_bed.ask("rows=1000", "report")) == list(range(1000))
    assert row_numbers(shared_bed.ask("rows=300", "load")) == list(range(300))


def test_answers_arrive_in_any_order_on_one_connection(shared_bed: ToyFleetBed) -> None:
    client = PipelinedClient(shared_bed.address)
    waits_ms = [400, 10, 200, 10, 300, 10, 10, 100]
    client.send(*(shared_bed.query(f"ms={ms} rows={10 + n}", call_id=n + 1) for n, ms in enumerate(waits_ms)))
    answers = client.read(len(waits_ms))
    assert sorted(answer.call_id or 0 for answer in answers) == list(range(1, len(waits_ms) + 1))
    assert all(row_numbers(answer) == list(range(9 + (answer.call_id or 0))) for answer in answers)
    assert answers[-1].call_id == 1
    client.close()


def test_query_rejected_by_all_engines_gets_retry_after(shared_bed: ToyFleetBed) -> None:
    answer = shared_bed.ask("answer=overload", limit_ms=1500.0)
    assert answer.code == json_rpc.REJECTED
    assert answer.retry_after_ms > 0


def test_silent_engine_does_not_delay_client_past_deadline(shared_bed: ToyFleetBed) -> None:
    began_s = time.monotonic()
    answer = shared_bed.ask("answer=silence", limit_ms=800.0)
    assert answer.result is None
    assert time.monotonic() - began_s < MAXIMUM_WAIT_S / 2
    wait_for(
        "a KILL to an engine", lambda: sum(shared_bed.state()[e]["KILL"] for e in ("e1", "e2", "e3")) > 0
    )


def test_invalid_call_closes_only_its_own_connection(shared_bed: ToyFleetBed) -> None:
    valid_client, invalid_client = PipelinedClient(shared_bed.address), PipelinedClient(shared_bed.address)
    valid_client.send(shared_bed.query("ms=300", call_id=1))
    invalid_client.send(b"nonsense\r\n\r\n")
    error = invalid_client.read(1)[0]
    assert error.call_id is None
    assert error.code == json_rpc.INVALID_REQUEST
    with contextlib.suppress(ConnectionResetError):  # the dispatcher may close or reset the connection
        assert invalid_client.socket.recv(100) == b""
    valid_client.send(json_rpc.call("dance", 2, {}))
    first, second = valid_client.read(2)
    assert (first.call_id, first.code) == (2, json_rpc.UNKNOWN_METHOD)
    assert second.result is not None
    valid_client.close()
    invalid_client.close()


def test_descriptors_are_released_after_clients_disconnect(shared_bed: ToyFleetBed) -> None:
    shared_bed.ask()
    before = wait_for("the number of descriptors", shared_bed.descriptors)
    for _ in range(3):
        clients = [PipelinedClient(shared_bed.address) for _ in range(10)]
        for client in clients:
            client.send(*(shared_bed.query("ms=2000", call_id=n + 1) for n in range(3)))
        for client in clients:
            client.close()  # all its requests are still open
    wait_for("the connections to be closed", lambda: shared_bed.descriptors() <= before + 4)
    assert row_numbers(shared_bed.ask()) == list(range(20))


def test_engine_crash_fails_attempt_but_not_request(bed: ToyFleetBed) -> None:
    client = PipelinedClient(bed.address)
    client.send(*(bed.query("ms=500", call_id=n + 1) for n in range(6)))
    wait_for("the PULLs", lambda: sum(bed.state()[e]["PULL"] for e in ("e1", "e2", "e3")) >= 6)
    busiest = max(("e1", "e2", "e3"), key=lambda name: bed.state()[name]["PULL"])
    assert bed.command(f"kill {busiest}") == "ok"
    answers = client.read(6)
    assert sum(answer.result is not None for answer in answers) == 6
    client.close()


def test_discovery_reconnects_after_cut_and_silence(bed: ToyFleetBed) -> None:
    wait_for("a connection to discovery", lambda: bed.state()["readers"] == 1)
    assert bed.command("cut") == "ok"
    wait_for("a new connection to discovery", lambda: bed.state()["readers"] == 1)
    for name in ("e1", "e2"):
        bed.command(f"gone {name}")
    # Only e3 is left, so it must get every query.
    wait_for("the removal", lambda: bed.ask("rows=3").result and bed.state()["e3"]["PULL"] >= 2)
    before = bed.state()
    for _ in range(5):
        assert row_numbers(bed.ask("rows=3")) == [0, 1, 2]
    after = bed.state()
    assert [after[e]["PULL"] - before[e]["PULL"] for e in ("e1", "e2", "e3")] == [0, 0, 5]
    assert bed.command("start e1") == "ok"  # e1 comes back at another address
    bed.command("gone e3")
    bed.command("mute")
    wait_for(
        "queries at the new address of e1",
        lambda: bed.ask("rows=3").result and bed.state()["e1"]["PULL"] > after["e1"]["PULL"],
    )
    wait_for(
        "the silence timeout",
        lambda: bed.dispatcher.find_line("discovery connection timed out: reason=silence"),
    )


def test_more_connections_than_descriptors_allow(tmp_path: Path) -> None:
    bed = ToyFleetBed(tmp_path, sockets=64)
    try:
        idle_clients = [PipelinedClient(bed.address) for _ in range(100)]  # the longest idle are closed
        # During the burst itself the system may refuse a descriptor, which costs a connection.
        assert row_numbers(wait_for("an answer", lambda: bed.ask_if_possible("rows=3"))) == [0, 1, 2]
        for client in idle_clients:
            client.close()
        busy_clients = [PipelinedClient(bed.address) for _ in range(60)]
        served_count = 0
        for client in busy_clients:
            with contextlib.suppress(OSError):
                client.send(bed.query("ms=1200"))
        wait_for("excess connections to be closed", lambda: bed.descriptors() <= 48)
        for client in busy_clients:
            with contextlib.suppress(OSError, AssertionError):
                served_count += client.read(1)[0].result is not None
            client.close()
        assert 5 <= served_count <= 16
        assert wait_for("an answer", lambda: bed.ask_if_possible("rows=1"))
        assert bed.dispatcher.process.poll() is None
    finally:
        bed.close()


def test_slow_reader_gets_all_answers_and_blocks_no_other_client(tmp_path: Path) -> None:
    """Unread answers are bounded: beyond the bound a query fails, but its client still gets an answer."""
    bed = ToyFleetBed(tmp_path, memory_mb=30, unsent_share=0.05)
    try:
        slow_client = FakeClient(bed.address, receive=4096)
        call_ids = range(1, 201)
        for first in range(1, 201, 20):
            slow_client.send(
                *(bed.query("rows=900 ms=5", call_id=call_id) for call_id in range(first, first + 20))
            )
            time.sleep(0.05)  # lets more queries run; the assertions do not depend on it
        wait_for("the bound on unread answers", lambda: bed.dispatcher.find_line("client not reading"))
        assert row_numbers(bed.ask("rows=900")) == list(range(900))
        answers: list[json_rpc.Answer] = []
        while len(answers) < len(call_ids) and (answer := slow_client.next_answer()) is not None:
            answers.append(answer)
        assert sorted(answer.call_id or 0 for answer in answers) == list(call_ids)
        codes = {answer.code for answer in answers}
        assert codes <= {0, json_rpc.FAILED, json_rpc.REJECTED}
        assert {0, json_rpc.FAILED} <= codes
        slow_client.send(bed.query("rows=3", call_id=201))  # the connection can still be used
        last_answer = slow_client.next_answer()
        assert last_answer is not None
        assert last_answer.call_id == 201
        assert last_answer.result is not None
        slow_client.close()
    finally:
        bed.close()
