"""Several real processes with network faults between them, checked from the clients' and engines' ledgers."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from ashcross.simulation import processes
from ashcross.simulation.processes import ClientRequest, LoadClient, ProcessCluster, limit_excess, wait_for

QUOTA = "quota each { per team limit 600 in 60s burst 20 apart 30% }"


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ProcessCluster]:
    started = ProcessCluster(tmp_path, 3, QUOTA)
    yield started
    started.close()


def served_since(cluster: ProcessCluster, number: int, since_ns: int) -> list[ClientRequest]:
    return [
        request
        for request in list(cluster.requests)
        if request.dispatcher == number and request.outcome == "served" and request.sent_ns >= since_ns
    ]


def has_served_more_than(cluster: ProcessCluster, number: int, since_ns: int, count: int) -> bool:
    return len(served_since(cluster, number, since_ns)) > count


def test_three_processes_keep_a_quota_through_a_network_partition(cluster: ProcessCluster) -> None:
    for number in range(3):
        wait_for(f"d{number}", partial(cluster.is_healthy, number))
    loads = [LoadClient(cluster, number, 0.02) for number in range(3)]
    try:
        for number in range(3):
            wait_for(f"requests served by d{number}", partial(has_served_more_than, cluster, number, 0, 2))
        cluster.relay.cut([0, 1], [2])
        partition_ns = time.monotonic_ns()
        # both sides go on: the larger one with its quorum, the smaller one on its offline allowance
        for number in range(3):
            wait_for(
                f"requests served by d{number} in the partition",
                partial(has_served_more_than, cluster, number, partition_ns, 5),
            )
        partition_s = (time.monotonic_ns() - partition_ns) / 1e9
        served_by_isolated = len(served_since(cluster, 2, partition_ns))
        cluster.relay.heal()
        healed_ns = time.monotonic_ns()
        wait_for(
            "requests served by d2 after the partition",
            partial(has_served_more_than, cluster, 2, healed_ns, 10),
        )
    finally:
        for load in loads:
            load.stop()
    assert limit_excess(cluster.admission_intervals("acme"), 10.0, 20.0) <= 0
    # a third of the offline allowance of 30%, and the tokens that d2 held when the partition began
    assert served_by_isolated <= 1 + 20 + partition_s * 600 / 60 * 0.3 / 3 + 2
    assert {request.outcome for request in cluster.requests} == {"served", "refused"}
    assert all(request.retry_after_ms > 0 for request in cluster.requests if request.outcome == "refused")


def test_limit_excess_finds_one_request_too_many() -> None:
    second_ns = 10**9
    steady = [(tick * second_ns // 10, tick * second_ns // 10 + 5) for tick in range(20, 60)]
    burst = [(0, 1)] * 20
    assert limit_excess(burst + steady, 10.0, 20.0) <= 0
    assert limit_excess([*burst, (0, 1), *steady], 10.0, 20.0) > 0
    admitted_late = (0, 2 * second_ns)  # sent with the burst, possibly admitted two seconds later
    assert limit_excess([*burst, admitted_late], 10.0, 20.0) <= 0


def test_free_ports_are_free_for_tcp_and_udp_and_below_outgoing_ports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a port that is free for UDP only, at which a dispatcher fails to listen for TCP.

    Ports were once tried for UDP alone, and an engine could already listen at one of them.
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
