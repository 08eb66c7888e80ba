"""A dispatcher process with the toy fleet on loopback, and clients for it."""

from __future__ import annotations

import contextlib
import json
import re
import socket
import subprocess
import sys
import threading
from pathlib import Path
from typing import IO, Any

from ashcross.protocols.clients import json_rpc, query_client
from ashcross.registry.buffers import BufferPool
from ashcross.simulation.processes import wait_for

ROOT = Path(__file__).parents[2]
MAXIMUM_WAIT_S = 20.0  # bound of every wait; only a broken dispatcher or a stopped machine reaches it


class LoggedProcess:
    """A process whose output is collected line by line."""

    def __init__(self, arguments: list[str], stream: str) -> None:
        pipes: dict[str, Any] = {"stdin": subprocess.PIPE, stream: subprocess.PIPE}
        self.process = subprocess.Popen([sys.executable, "-B", *arguments], cwd=ROOT, text=True, **pipes)
        self.lines: list[str] = []
        self._source: IO[str] = getattr(self.process, stream)
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        for line in self._source:
            self.lines.append(line)

    def find_line(self, pattern: str) -> re.Match[str] | None:
        return next((match for line in list(self.lines) if (match := re.search(pattern, line))), None)

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(MAXIMUM_WAIT_S)
        self._reader.join(MAXIMUM_WAIT_S)
        for stream in (self.process.stdin, self._source):
            if stream is not None:
                stream.close()


class ToyFleetBed:
    """The toy fleet and one dispatcher."""

    def __init__(self, folder: Path, sockets: int = 1024, memory_mb: int = 192, **transport: Any) -> None:
        path = folder / "config.json"
        self.fleet = LoggedProcess(
            ["examples/toy_fleet.py", "--free-ports", "--write-config", str(path)], "stdout"
        )
        wait_for("the fleet", lambda: self.fleet.find_line("service discovery at"))
        self.config = json.loads(path.read_text(encoding="utf-8"))
        self.config["limits"] |= {"sockets": sockets, "memory_mb": memory_mb}
        self.config["transport"] = {"log_level": "DEBUG"} | transport
        path.write_text(json.dumps(self.config), encoding="utf-8")
        self.config_path = path
        self.dispatcher = LoggedProcess(["-m", "ashcross", "serve", "--config", str(path)], "stderr")
        match = wait_for(
            "the dispatcher", lambda: self.dispatcher.find_line(r"listening: address=127\.0\.0\.1:(\d+)")
        )
        self.address = ("127.0.0.1", int(match.group(1)))
        wait_for("the backlog of service discovery", lambda: self.dispatcher.find_line("starting -> serving"))
        self.query_count = 0

    def command(self, line: str) -> str:
        before = len(self.fleet.lines)
        assert self.fleet.process.stdin is not None
        self.fleet.process.stdin.write(line + "\n")
        self.fleet.process.stdin.flush()
        wait_for(line, lambda: len(self.fleet.lines) > before)
        return self.fleet.lines[before].strip()

    def state(self) -> dict[str, Any]:
        return dict(json.loads(self.command("state")))

    def query(
        self, options: str = "", class_name: str = "lookup", limit_ms: float = 5000.0, call_id: int = 1
    ) -> bytes:
        self.query_count += 1
        statement = f"select * from sales_17.orders /* toy: {options} */".encode()
        match = re.search(r"ms=(\d+)", options)
        work_ms = float(match.group(1)) if match else 50.0  # the exact time that the engine takes
        params = {
            "txn": f"{self.query_count:016x}",
            "limit": limit_ms,
            "cpu": work_ms,
            "memory": 8,
            "team": "acme",
        }
        if class_name == "load":
            params["unique"] = f"{self.query_count:032x}"
        return json_rpc.query(class_name, call_id, statement, params)

    def ask(self, options: str = "", class_name: str = "lookup", limit_ms: float = 5000.0) -> json_rpc.Answer:
        return query_client.ask(self.address, self.query(options, class_name, limit_ms), MAXIMUM_WAIT_S)

    def ask_if_possible(self, options: str) -> json_rpc.Answer | None:
        with contextlib.suppress(query_client.NoAnswerError):
            return self.ask(options)
        return None

    def is_served_without(self, engine: str) -> bool:
        """Return whether several queries are served and none of them goes to this engine."""
        before = self.state()[engine]["PULL"]
        served = all(self.ask("rows=3").result for _ in range(6))
        return served and self.state()[engine]["PULL"] == before

    def answer_to_ping(self) -> Any:
        return (
            query_client.ask(self.address, json_rpc.call("ping", 1, {}), MAXIMUM_WAIT_S).result or {}
        ).get("well")

    def descriptors(self) -> int:
        return len(list(Path(f"/proc/{self.dispatcher.process.pid}/fd").iterdir()))

    def close(self) -> None:
        self.dispatcher.close()
        self.fleet.close()


class PipelinedClient:
    """A client that sends many calls on one connection; answers are in the order of arrival."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, timeout=MAXIMUM_WAIT_S)
        self.reader = json_rpc.BodyReader(BufferPool(4096, 4), 1 << 20)
        self.answers: list[json_rpc.Answer] = []

    def send(self, *frames: bytes) -> None:
        self.socket.sendall(b"".join(frames))

    def read(self, count: int) -> list[json_rpc.Answer]:
        while len(self.answers) < count:
            data = self.socket.recv(65_536)
            if not data:
                raise AssertionError(f"connection closed after {len(self.answers)} of {count} answers")
            self.answers += [json_rpc.parse_answer(body) for body in self.reader.feed(data)]
        return self.answers

    def close(self) -> None:
        self.socket.close()


def row_numbers(answer: json_rpc.Answer) -> list[int]:
    return [int(row.split(b"\t")[0]) for row in query_client.rows(answer).splitlines()]
