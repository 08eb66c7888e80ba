"""Steps of the wall clock do not change any wait of a real `serve` process.

The process runs with the fault shim, which offsets the wall clock and nothing else. Each test names the waits
that it measures by the machine's monotonic clock.
"""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from ashcross.protocols.clients import json_rpc
from ashcross.simulation.faults.shim import Shim
from ashcross.simulation.processes import wait_for
from tests.harness.peers import EXAMPLE, LONG_S, FakeClient, FakeEngine, TestBed, fill_accept_queue

STEPS_S = (-3600.0, -5.0, -0.2, 5.0, 3600.0)
GRACE_S = 0.5  # how late a final answer may come
BUSY_S = 1.0  # how much a busy machine may add to any wait in this file


class ShimmedProcess:
    """Test beds whose `serve` processes share one shim, and so one offset of the wall clock."""

    def __init__(self, folder: Path, library: Path) -> None:
        folder.mkdir()
        self.folder = folder
        self.shim = Shim(folder, "d", library)
        self.test_beds: list[TestBed] = []

    def start(self, **options: Any) -> TestBed:
        self.test_beds.append(TestBed(self.folder, environment=self.shim.environment, **options))
        return self.test_beds[-1]

    def close(self) -> None:
        for test_bed in self.test_beds:
            test_bed.close()


@pytest.fixture
def process(tmp_path: Path, shim_library: Path) -> Iterator[ShimmedProcess]:
    shimmed = ShimmedProcess(tmp_path / "bed", shim_library)
    yield shimmed
    shimmed.close()


Check = Callable[[ShimmedProcess, float], None]


@pytest.fixture
def each_step(tmp_path: Path, shim_library: Path) -> Iterator[Callable[[Check], None]]:
    """A function that runs a check for all steps of the clock in parallel, each with its own process."""
    processes = {step_s: ShimmedProcess(tmp_path / f"step{step_s}", shim_library) for step_s in STEPS_S}

    def run(check: Check) -> None:
        with ThreadPoolExecutor(len(processes)) as pool:
            runs = {step_s: pool.submit(check, process, step_s) for step_s, process in processes.items()}
        failures = {step_s: repr(run.exception()) for step_s, run in runs.items() if run.exception()}
        assert failures == {}

    yield run
    for process in processes.values():
        process.close()


def seconds_until(call: Callable[[], Any]) -> float:
    """Return how long a call takes, by the monotonic clock."""
    began_s = time.monotonic()
    call()
    return time.monotonic() - began_s


def test_shim_moves_only_the_wall_clock(process: ShimmedProcess) -> None:
    process.shim.step_wall_clock(-3600.0)
    test_bed = process.start()
    test_bed.start_serving()
    stamp = test_bed.log_text().split("T", 1)[1][:8]
    logged_s = sum(
        int(number) * unit_s for number, unit_s in zip(stamp.split(":"), (3600, 60, 1), strict=True)
    )
    now = time.localtime()
    now_s = now.tm_hour * 3600 + now.tm_min * 60 + now.tm_sec
    assert abs((now_s - logged_s) % 86400 - 3600) < 60
    engine = test_bed.serve_one()
    assert engine is not None


def test_deadlines_sweeps_and_stalled_answers_ignore_clock_steps(each_step: Callable[[Check], None]) -> None:
    """Deadlines of open requests, silent clients, stalled answers, then a request without other traffic."""
    each_step(check_deadlines_sweeps_and_stalled_answers)


def check_deadlines_sweeps_and_stalled_answers(process: ShimmedProcess, step_s: float) -> None:
    test_bed = process.start(silent_ms=1_000)
    test_bed.start_serving()
    engine = test_bed.serve_one()
    client, silent_client = test_bed.connect_client(), test_bed.connect_client()
    stalled, overdue = test_bed.new_request_id(), test_bed.new_request_id()
    client.send(test_bed.query(1, stalled, "report", 9_000.0), test_bed.query(2, overdue, "report", 1_500.0))
    sent_s = time.monotonic()
    assert {engine.next_request_id(), engine.next_request_id()} == {stalled, overdue}
    process.shim.step_wall_clock(step_s)
    answer = client.next_answer()  # at the deadline of the overdue request
    assert answer is not None
    assert answer.call_id == 2
    assert time.monotonic() - sent_s < 1.5 + GRACE_S
    silent_client.socket.settimeout(1.0 + BUSY_S)
    assert silent_client.next_answer() is None  # the sweep has closed the connection
    engine.socket.sendall(b"*4\r\n$16\r\n" + stalled.encode()[:8])  # half an answer; the rest never follows
    assert seconds_until(lambda: read_until_closed(engine.socket)) < 0.75 + 0.5 + BUSY_S
    new_client, request_id = test_bed.connect_client(), test_bed.new_request_id()
    new_client.send(test_bed.query(1, request_id, "report", 1_500.0))
    assert seconds_until(new_client.next_answer) < 1.5 + GRACE_S


def read_until_closed(sock: socket.socket) -> None:
    """Read until the peer has closed the connection."""
    try:
        while sock.recv(65_536):
            pass
    except ConnectionResetError:
        pass


def test_dials_and_lingering_closes_ignore_clock_steps(each_step: Callable[[Check], None]) -> None:
    """The timeout of a dial, after which its request is retried; the end of a lingering connection."""
    each_step(check_dials_and_lingering_closes)


def check_dials_and_lingering_closes(process: ShimmedProcess, step_s: float) -> None:
    limits = EXAMPLE["settings"]["Limits"] | {"DialTimeout": 700_000, "Probes": False}
    test_bed = process.start(settings={"Limits": limits}, backlog=0, linger_ms=1_000)
    test_bed.start_serving()
    listening_socket = test_bed.engines["e1"]
    filling_sockets = fill_accept_queue(listening_socket.port)
    filling_ports = {sock.getsockname()[1] for sock in filling_sockets}
    client, violating_client = test_bed.connect_client(), test_bed.connect_client()
    client.send(test_bed.query(1, test_bed.new_request_id(), "report", 60_000.0))
    began_s = time.monotonic()
    violating_client.send(b"nonsense\r\n\r\n")
    assert violating_client.next_answer() is not None
    assert violating_client.next_answer() is None  # half-closed; the connection lingers
    (connecting_port,) = wait_for("the dial", lambda: test_bed.connecting_ports("e1") - filling_ports)
    process.shim.step_wall_clock(step_s)
    wait_for("the dial's end", lambda: connecting_port not in test_bed.connecting_ports("e1"), 0.7 + BUSY_S)
    assert time.monotonic() - began_s > 0.5  # the dial did not end early either
    wait_for("the lingering close", lambda: not open_at(test_bed, violating_client), 1.0 + BUSY_S)
    for sock in filling_sockets:
        sock.close()


def open_at(test_bed: TestBed, client: FakeClient) -> bool:
    """Return whether the dispatcher still holds its side of a client's connection.

    It does in the TCP states 1, 4, 5 and 8: established, FIN-WAIT-1, FIN-WAIT-2 and CLOSE-WAIT.
    """
    port = client.socket.getsockname()[1]
    return any(
        (local, remote) == (test_bed.address[1], port) and state in (1, 4, 5, 8)
        for local, remote, state, _ in tcp_sockets_with_owner()
    )


def tcp_sockets_with_owner() -> Iterator[tuple[int, int, int, int]]:
    """Yield local port, remote port, state and inode of each TCP socket that a process still holds."""
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        columns = line.split()
        if columns[9] != "0":
            yield int(columns[1][9:], 16), int(columns[2][9:], 16), int(columns[3], 16), int(columns[9])


def test_drain_ignores_clock_steps(each_step: Callable[[Check], None]) -> None:
    """The periodic checks of the drain, its quiet time, its last answers, and the end of the process."""
    each_step(check_drain)


def check_drain(process: ShimmedProcess, step_s: float) -> None:
    test_bed = process.start()
    test_bed.start_serving()
    engine, client, request_id = test_bed.serve_one(), test_bed.connect_client(), test_bed.new_request_id()
    client.send(test_bed.query(1, request_id, "report", 20_000.0))
    assert engine.next_request_id() == request_id
    test_bed.process.send_signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    wait_for("the drain", lambda: "serving -> draining" in test_bed.log_text())
    process.shim.step_wall_clock(step_s)
    answer = client.next_answer()
    assert answer is not None
    assert answer.call_id == 1
    assert test_bed.process.wait(LONG_S) == 0
    assert time.monotonic() - stopped_s < 3.7  # SIGKILL follows SIGTERM no sooner than this


def test_startup_ignores_clock_steps(each_step: Callable[[Check], None]) -> None:
    """The wait at the start for a discovery service that sends nothing, and the answers during that wait."""
    each_step(check_startup)


def check_startup(process: ShimmedProcess, step_s: float) -> None:
    test_bed = process.start(start_wait_ms=1_500)
    test_bed.discovery.accept_request()  # accepted but never answered
    process.shim.step_wall_clock(step_s)
    client = test_bed.connect_client()
    client.send(test_bed.query(1, test_bed.new_request_id(), limit_ms=1_000.0))
    assert seconds_until(client.next_answer) < 1.0 + GRACE_S
    wait_for("ready", test_bed.is_ready, 1.5 + BUSY_S)


def test_silent_watch_detection_ignores_clock_steps(each_step: Callable[[Check], None]) -> None:
    """Silence on the watch, the retry after a break, and the age from which its list is stale."""
    each_step(check_silent_watch_detection)


def check_silent_watch_detection(process: ShimmedProcess, step_s: float) -> None:
    test_bed = process.start(trust_ms=3_000, bulletin_silence_ms=1_000)
    call = test_bed.start_serving()
    test_bed.discovery.stop_comments()
    process.shim.step_wall_clock(step_s)
    second_call = test_bed.discovery.accept_request(1.0 + BUSY_S)  # the watch was silent: a new request
    second_call.close()
    test_bed.discovery.accept_request(0.5 + BUSY_S)  # the retry after the break
    wait_for("the stale list", lambda: "endpoint list is stale" in test_bed.log_text(), 3.0 + BUSY_S)
    call.close()


def test_process_with_a_wrong_wall_clock_serves_and_drains(each_step: Callable[[Check], None]) -> None:
    """Deadlines and drain of a process that starts with a wrong wall clock."""
    each_step(check_process_with_a_wrong_wall_clock)


def check_process_with_a_wrong_wall_clock(process: ShimmedProcess, step_s: float) -> None:
    process.shim.step_wall_clock(step_s)
    test_bed = process.start()
    test_bed.start_serving()
    engine, client, request_id = test_bed.serve_one(), test_bed.connect_client(), test_bed.new_request_id()
    client.send(test_bed.query(1, request_id, "report", 1_500.0))
    sent_s = time.monotonic()
    assert engine.next_request_id() == request_id
    process.shim.step_wall_clock(0.0)  # the clock is corrected while a request is open
    assert client.next_answer() is not None
    assert time.monotonic() - sent_s < 1.5 + GRACE_S
    stopped_s = time.monotonic()
    test_bed.process.send_signal(signal.SIGTERM)
    assert test_bed.process.wait(LONG_S) == 0
    assert time.monotonic() - stopped_s < 3.7


def test_ping_is_answered_after_a_clock_step(process: ShimmedProcess) -> None:
    """A control: a ping waits for nothing, so that no clock can delay its answer."""
    test_bed = process.start()
    test_bed.start_serving()
    process.shim.step_wall_clock(-3600.0)
    client = test_bed.connect_client()
    client.send(json_rpc.call("ping", 1, {}))
    assert client.next_answer() is not None


SLOW_START_WORK_S = 2.0  # work of each query; the settings allow an engine in slow start 19 s of work in 2 s


@pytest.mark.parametrize("offset_s", [0.0, 3600.0])
def test_slow_start_does_not_depend_on_the_wall_clock(process: ShimmedProcess, offset_s: float) -> None:
    """Guards against overload at the start: to a clock an hour ahead, a new engine seemed to be warm."""
    process.shim.step_wall_clock(offset_s)
    test_bed = process.start(engines=2)
    call = test_bed.start_serving()
    test_bed.discovery.send_events(call, test_bed.event(2, "e1", status="Terminating"))
    join_event = test_bed.event(3, "e2", since_ms=int(time.time() * 1000))
    test_bed.discovery.send_events(call, join_event)
    arrived_s = arrival_times(test_bed, 4.5)
    max_arrivals = max(
        (sum(0 <= other_s - first_s < 2.0 for other_s in arrived_s) for first_s in arrived_s), default=0
    )
    assert 1 <= max_arrivals <= 9


def arrival_times(test_bed: TestBed, for_s: float) -> list[float]:
    """Return when requests arrived at e2, while three queries are sent each 0.1 s and served at once."""
    client, arrived_s, call_id = test_bed.connect_client(), list[float](), 0
    listening_socket = test_bed.engines["e2"].socket
    listening_socket.settimeout(0.1)
    engines: list[FakeEngine] = []
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        for _ in range(3):
            call_id += 1
            client.send(
                test_bed.query(
                    call_id, test_bed.new_request_id(), limit_ms=6_000.0, cpu=SLOW_START_WORK_S * 1000
                )
            )
        try:
            engines.append(test_bed.accept_engine("e2"))
            engines[-1].socket.settimeout(0.05)
        except TimeoutError:
            pass
        for engine in engines:
            arrived_s += serve_at_once(engine)
    return arrived_s


def serve_at_once(engine: FakeEngine) -> list[float]:
    """Serve all requests that wait on a connection; return when each arrived."""
    arrived_s = []
    try:
        while words := engine.next_command():
            if words[0] == b"PULL":
                arrived_s.append(time.monotonic())
                engine.serve(words[1].decode())
    except TimeoutError:
        pass
    return arrived_s
