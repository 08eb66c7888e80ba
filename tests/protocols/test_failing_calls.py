"""Tests of system calls that fail for a short time, in `serve` processes under the fault shim."""

from __future__ import annotations

import errno
import json
import signal
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from ashcross.simulation.faults.shim import Call, Shim
from ashcross.simulation.processes import wait_for
from tests.harness.peers import LONG_S, FakeDiscovery, TestBed

MakeTestBed = Callable[..., TestBed]


@pytest.fixture
def shim(tmp_path: Path, shim_library: Path) -> Shim:
    return Shim(tmp_path, "d", shim_library, seed=1, files=str(tmp_path / "config.json"))


@pytest.fixture
def bed_environment(shim: Shim) -> dict[str, str]:
    return shim.environment


def is_served(test_bed: TestBed, name: str = "e1") -> bool:
    """Send a request; return whether this engine serves it."""
    client, request_id = test_bed.connect_client(), test_bed.new_request_id()
    client.send(test_bed.query(1, request_id, "report", 10_000.0))
    engine = test_bed.accept_engine(name)
    served_id = engine.next_request_id()
    engine.serve(served_id)
    answer = client.next_answer()
    client.close()
    return served_id == request_id and answer is not None and answer.result is not None


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE, errno.EIO])
def test_reload_is_retried_while_its_file_cannot_be_opened(
    make_test_bed: MakeTestBed, shim: Shim, error: int
) -> None:
    """The old discovery address sends no more events, so after a dropped reload the list stays stale."""
    test_bed, new_discovery = make_test_bed(engines=2), FakeDiscovery()
    test_bed.start_serving()
    shim.fail(Call.OPEN, error, 1.0)
    test_bed.config_path.write_text(
        json.dumps(test_bed.config | {"bulletin": new_discovery.address}), encoding="utf-8"
    )
    test_bed.process.send_signal(signal.SIGHUP)
    wait_for("the failure", lambda: shim.injected(Call.OPEN))
    shim.heal()
    call = new_discovery.accept_request(3.0)
    new_discovery.start_stream(call, test_bed.event(2, "e1", status="Terminating"))
    wait_for("the reload", lambda: "configuration reloaded" in test_bed.log_text())
    assert is_served(test_bed, "e2")
    new_discovery.close()
    new_discovery.listening_socket.socket.close()


def test_reload_of_an_incomplete_file_is_retried_until_it_is_complete(
    make_test_bed: MakeTestBed,
) -> None:
    test_bed, new_discovery = make_test_bed(), FakeDiscovery()
    test_bed.start_serving()
    text = json.dumps(test_bed.config | {"bulletin": new_discovery.address})
    test_bed.config_path.write_text(text[: len(text) // 2], encoding="utf-8")
    test_bed.process.send_signal(signal.SIGHUP)
    wait_for(
        "the failed reload",
        lambda: "cannot be used" in test_bed.log_text() or "configuration rejected" in test_bed.log_text(),
    )
    test_bed.config_path.write_text(text, encoding="utf-8")
    new_discovery.start_stream(new_discovery.accept_request(3.0))
    new_discovery.close()
    new_discovery.listening_socket.socket.close()


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (Call.OPEN, errno.ENFILE),
        (Call.BIND, errno.EADDRINUSE),
        (Call.LISTEN, errno.EADDRINUSE),
        (Call.SOCKET, errno.ENFILE),
    ],
)
def test_start_retries_calls_that_fail_for_a_short_time(
    make_test_bed: MakeTestBed, shim: Shim, call: Call, error: int
) -> None:
    """A restart on a busy machine must wait for the resource; exit status 1 or 2 would count as a crash."""
    shim.fail(call, error, 1.0)
    test_bed = make_test_bed(until_listening=False)
    wait_for("failures", lambda: shim.injected(call) >= 2)
    time.sleep(0.3)  # less than the start may take; the process must start after that
    shim.heal()
    test_bed.wait_until_listening()
    test_bed.start_serving()
    assert is_served(test_bed)
    test_bed.process.send_signal(signal.SIGTERM)
    assert test_bed.process.wait(LONG_S) == 0
