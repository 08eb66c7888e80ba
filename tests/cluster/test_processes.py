"""Clusters of real processes with faults between them, judged by the ledgers of clients and engines alone."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from ashcross.simulation import processes
from ashcross.simulation.processes import Entry, Load, Processes, passed, wait_for

QUOTA = "quota each { per team limit 600 in 60s burst 20 apart 30% }"


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Processes]:
    processes_of_cluster = Processes(tmp_path, 3, QUOTA)
    yield processes_of_cluster
    processes_of_cluster.close()


def served_entries(fleet: Processes, number: int, since_ns: int) -> list[Entry]:
    return [
        entry
        for entry in list(fleet.entries)
        if entry.dispatcher == number and entry.how == "served" and entry.sent_ns >= since_ns
    ]


def has_served_more_than(fleet: Processes, number: int, since_ns: int, count: int) -> bool:
    return len(served_entries(fleet, number, since_ns)) > count


def test_quota_holds_through_a_partition_of_three_processes(fleet: Processes) -> None:
    for number in range(3):
        wait_for(f"d{number}", partial(fleet.well, number))
    loads = [Load(fleet, number, 0.02) for number in range(3)]
    try:
        for number in range(3):
            wait_for("tokens", partial(has_served_more_than, fleet, number, 0, 2))
        fleet.relay.cut([0, 1], [2])
        cut_ns = time.monotonic_ns()
        # Both sides go on to serve: the larger one with its majority, the other on its offline allowance.
        for number in range(3):
            wait_for(f"d{number} in the cut", partial(has_served_more_than, fleet, number, cut_ns, 5))
        cut_s = (time.monotonic_ns() - cut_ns) / 1e9
        isolated_count = len(served_entries(fleet, 2, cut_ns))
        fleet.relay.heal()
        healed_ns = time.monotonic_ns()
        wait_for("healing", partial(has_served_more_than, fleet, 2, healed_ns, 10))
    finally:
        for load in loads:
            load.end()
    assert passed(fleet.admitted("acme"), 10.0, 20.0) <= 0
    # its third of the offline allowance of 30%, and the tokens that it held when the cut began
    assert isolated_count <= 1 + 20 + cut_s * 600 / 60 * 0.3 / 3 + 2
    assert {entry.how for entry in fleet.entries} == {"served", "refused"}
    assert all(entry.later_ms > 0 for entry in fleet.entries if entry.how == "refused")


def test_quota_checker_finds_one_request_too_many() -> None:
    second_ns = 10**9
    at_rate = [(i * second_ns // 10, i * second_ns // 10 + 5) for i in range(20, 60)]
    burst = [(0, 1)] * 20
    assert passed(burst + at_rate, 10.0, 20.0) <= 0
    assert passed([*burst, (0, 1), *at_rate], 10.0, 20.0) > 0
    # the last request may have been admitted up to two seconds later
    assert passed([*burst, (0, 2 * second_ns)], 10.0, 20.0) <= 0


def test_free_ports_are_free_for_tcp_and_udp_and_not_ephemeral(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ports that a dispatcher cannot listen on.

    Ports were tried for UDP alone, so an engine could already listen on one with TCP. Ports of the ephemeral
    range could be taken by an outgoing connection.
    """
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = int(listener.getsockname()[1])
        assert not processes._is_free(port)
    ports = processes.free_ports(3)
    assert len(set(ports)) == 3
    assert max(ports) < 32_768
    monkeypatch.setattr(processes, "_is_free", lambda port: False)
    with pytest.raises(AssertionError, match="found 0"):
        processes.free_ports(1)
