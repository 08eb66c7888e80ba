"""A cluster of real `serve` processes on loopback, with toy engines, a relay for datagrams, and clients.

A run is checked from the ledgers of the clients and of the engines alone; both use the machine's monotonic
clock.
"""

from __future__ import annotations

import json
import secrets
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ashcross.protocols.clients import json_rpc, query_client
from ashcross.simulation.relay import Relay

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 30.0
FIRST_PORT, PORT_TRIES = 10_000, 10_000
KEY = "5f" * 16


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, with its times in monotonic nanoseconds and its outcome."""

    request_id: str
    dispatcher: int
    team: str
    sent_ns: int
    answered_ns: int = 0
    outcome: str = ""
    retry_after_ms: int = 0


def free_ports(count: int) -> list[int]:
    """Return ports that are free for both TCP and UDP; raises AssertionError if too few are found.

    The ports are below the range of outgoing connections. Such a connection could otherwise take the port
    of a dispatcher that is being restarted, which could then not listen.
    """
    outgoing_ports = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii")
    first_outgoing_port = int(outgoing_ports.split()[0])
    random_source, ports = secrets.SystemRandom(), list[int]()
    for _ in range(PORT_TRIES):
        port = random_source.randrange(FIRST_PORT, first_outgoing_port)
        if port not in ports and _is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise AssertionError(f"wanted {count} free ports, found {len(ports)}")


def _is_free(port: int) -> bool:
    """Return whether a TCP and a UDP socket can be bound to a port."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def wait_for(what: str, ready: Callable[[], Any], timeout_s: float = START_TIMEOUT_S) -> Any:
    """Call `ready` until its result is true, and return that; raises AssertionError after the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        result = ready()
        if result:
            return result
        time.sleep(0.02)
    raise AssertionError(f"timed out after {timeout_s:g} s waiting for {what}")


class ProcessCluster:
    """`count` dispatchers d0, d1, ... that share an operator's file, whose value for `quotas` is given."""

    def __init__(
        self, folder: Path, count: int, quotas: str, lease_ms: int = 1_000, period_ms: int = 50, seed: int = 1
    ) -> None:
        self.folder, self.count = folder, count
        self.requests: list[ClientRequest] = []
        self._lock = threading.Lock()
        self.engine_ledger = folder / "engines.txt"
        config_path = folder / "config.json"
        fleet_arguments = ["examples/toy_fleet.py", "--free-ports", "--write-config", str(config_path)]
        self.toy_fleet = subprocess.Popen(
            [sys.executable, "-B", *fleet_arguments, "--ledger", str(self.engine_ledger)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.toy_fleet.stdout is not None
        self.toy_fleet.stdout.readline()
        self._config = json.loads(config_path.read_text(encoding="utf-8"))
        ports = free_ports(2 * count)
        self.client_addresses, udp_ports = [("127.0.0.1", port) for port in ports[:count]], ports[count:]
        self.relay = Relay([("127.0.0.1", port) for port in udp_ports], seed)
        members = ",\n".join(
            f'        {{name: "d{number}", address: "127.0.0.1:{udp_ports[number]}"}}'
            for number in range(count)
        )
        via = ", ".join(f'd{number}: "127.0.0.1:{self.relay.ports[number]}"' for number in range(count))
        self.operator_file = folder / "operator.cue"
        self.operator_file.write_text(
            f'tier: {{\n    key: "{KEY}"\n    lease_ms: {lease_ms}\n    period_ms: {period_ms}\n'
            f"    members: [\n{members},\n    ]\n    via: {{{via}}}\n}}\n"
            f'quotas: """\n{quotas}\n"""\n',
            encoding="utf-8",
        )
        self.dispatchers: list[subprocess.Popen[bytes] | None] = [None] * count
        for number in range(count):
            self.start(number)

    def start(self, number: int) -> None:
        """Start a dispatcher without waiting until it is ready."""
        config = self._config | {
            "name": f"d{number}",
            "listen": f"127.0.0.1:{self.client_addresses[number][1]}",
            "seed": secrets.token_hex(8),
        }
        path = self.folder / f"d{number}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        log = (self.folder / f"d{number}.log").open("ab")
        arguments = ["-m", "ashcross", "serve", "--config", str(path), "--operator", str(self.operator_file)]
        self.dispatchers[number] = subprocess.Popen(
            [sys.executable, "-B", *arguments], cwd=ROOT, stderr=log, stdout=log
        )
        log.close()

    def signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send SIGKILL, SIGSTOP, SIGCONT or SIGTERM to a dispatcher; wait for its exit where one follows."""
        dispatcher = self.dispatchers[number]
        if dispatcher is not None:
            dispatcher.send_signal(signal_number)
            if signal_number in (signal.SIGKILL, signal.SIGTERM):
                dispatcher.wait(START_TIMEOUT_S)

    def log(self, number: int) -> str:
        """Return all that a dispatcher has logged."""
        return (self.folder / f"d{number}.log").read_text(encoding="utf-8", errors="replace")

    def is_healthy(self, number: int) -> bool:
        """Return whether a dispatcher answers a ping as healthy."""
        try:
            answer = query_client.ask(self.client_addresses[number], json_rpc.call("ping", 1, {}), 1.0)
        except query_client.NoAnswerError:
            return False
        return (answer.result or {}).get("well") is True

    def ask(
        self, number: int, team: str = "acme", limit_ms: float = 3_000.0, work_ms: int = 5
    ) -> ClientRequest:
        """Send one request, and return its record once it is answered."""
        request_id = secrets.token_hex(8)
        statement = f"select * from sales_17.orders /* toy: rows=1 ms={work_ms} */".encode()
        params = {"txn": request_id, "limit": limit_ms, "cpu": float(work_ms), "memory": 8.0, "team": team}
        request = ClientRequest(request_id, number, team, time.monotonic_ns())
        with self._lock:
            self.requests.append(request)
        try:
            answer = query_client.ask(
                self.client_addresses[number],
                json_rpc.query("lookup", 1, statement, params),
                limit_ms / 1000 + 1.0,
            )
            refused = answer.code == json_rpc.REJECTED
            request.outcome = "served" if answer.result is not None else "refused" if refused else "failed"
            request.retry_after_ms = answer.retry_after_ms
        except query_client.NoAnswerError:
            request.outcome = "no answer"
        request.answered_ns = time.monotonic_ns()
        return request

    def arrivals_ns(self) -> dict[str, int]:
        """Return by request id when an engine first received it, in monotonic nanoseconds."""
        arrivals_ns: dict[str, int] = {}
        for line in self.engine_ledger.read_text(encoding="utf-8").splitlines():
            at_ns, _, request_id = line.partition(" ")
            arrivals_ns.setdefault(request_id, int(at_ns))
        return arrivals_ns

    def admission_intervals(self, team: str | None = None) -> list[tuple[int, int]]:
        """Return for each request that ran when it was sent and when an engine first received it.

        Both are in monotonic nanoseconds; the request was admitted in between.
        """
        arrivals_ns = self.arrivals_ns()
        return [
            (request.sent_ns, arrivals_ns[request.request_id])
            for request in self.requests
            if request.request_id in arrivals_ns and (team is None or request.team == team)
        ]

    def close(self) -> None:
        """Kill all processes, and close the relay."""
        for dispatcher in self.dispatchers:
            if dispatcher is not None and dispatcher.poll() is None:
                dispatcher.kill()
                dispatcher.wait(START_TIMEOUT_S)
        self.toy_fleet.kill()
        self.toy_fleet.wait(START_TIMEOUT_S)
        for stream in (self.toy_fleet.stdin, self.toy_fleet.stdout):
            if stream is not None:
                stream.close()
        self.relay.close()


class LoadClient(threading.Thread):
    """A client thread that sends requests to one dispatcher until it is stopped."""

    def __init__(self, cluster: ProcessCluster, number: int, pause_s: float, team: str = "acme") -> None:
        super().__init__(daemon=True)
        self._cluster, self._number, self._pause_s, self._team = cluster, number, pause_s, team
        self._stopped = threading.Event()
        self.start()

    def run(self) -> None:
        """Send requests, with a pause before each."""
        while not self._stopped.wait(self._pause_s):
            self._cluster.ask(self._number, self._team)

    def stop(self) -> None:
        """Stop sending, and wait up to 10 s for the last request."""
        self._stopped.set()
        self.join(10.0)


def limit_excess(admissions: list[tuple[int, int]], rate: float, burst: float) -> float:
    """Return by how many requests a limit was certainly exceeded; 0 or less if that cannot be shown.

    A request was admitted at an unknown time between its sending and its arrival at an engine. An interval
    thus certainly holds only the admissions whose sending and arrival both lie in it. The limit was certainly
    exceeded if these are more than `burst` plus `rate` times the length of the interval in seconds.
    """
    import numpy

    if not admissions:
        return -burst
    times_ns = numpy.array(sorted(admissions, key=lambda admission: admission[1]), dtype=numpy.int64)
    sent_ns, arrived_ns = times_ns[:, 0], times_ns[:, 1]
    worst = -burst
    for begin_ns in numpy.unique(sent_ns):
        counted = numpy.cumsum(sent_ns >= begin_ns)
        excess = counted - burst - rate * (arrived_ns - begin_ns) / 1e9
        worst = max(worst, float(excess[(sent_ns >= begin_ns)].max()))
    return worst
