"""Stand-ins for the parties around a dispatcher: engines, service discovery, clients and the platform.

They speak the operators' protocol on loopback and write what they see to one record. Standard library only.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
REJECTED = -32050
COMMENT_INTERVAL_S = 1.0
READY_TIMEOUT_S = 30.0
MOST_S = 110.0  # a case that lasts longer is ended
PING_TIMEOUT_S = 2.0

# the figures of perth-address for the classes of the example, in microseconds
PERTH_CLASSES = {
    "lookup": {"Aim": 1_500_000, "AimStretch": 2.0, "GiveUp": 7_500_000},
    "report": {"Aim": 2_000_000, "AimStretch": 2.5, "GiveUp": 15_000_000},
    "load": {"Aim": 3_000_000, "AimStretch": 3.0, "GiveUp": 20_000_000, "Window": 12_000_000},
}

# what ends the reading of a connection, or of all of them when a case is over
CONNECTION_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_CANNOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be played; this says nothing on the rule."""


class Record:
    """The record of a run: one line for each thing sent, answered or run, with seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_s

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():9.3f} {what} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Discovery:
    """Service discovery: numbered events over server-sent events, with a comment each second."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self._server: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()
        self._comment_task: asyncio.Task[None] | None = None

    def add_event(self, endpoints: list[dict[str, Any]], is_snapshot: bool = False) -> dict[str, Any]:
        """Put an event into the list and write it to all open watches."""
        number = len(self.events) + 1
        roster = {"index": number, "snapshot": is_snapshot, "endpoints": endpoints}
        event = {"no": number, "roster": roster}
        self.events.append(event)
        self._record.write("discovery: event", no=number, endpoints=json.dumps(endpoints))
        for writer in self._watches:
            writer.write(_event_text(event))
        return event

    async def open(self) -> None:
        """Listen, at the same port after an outage, and write comments."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._comment_task = asyncio.create_task(self._write_comments())
        self._record.write("discovery: open", port=self.port)

    def write_comment(self) -> None:
        """Write a comment to all open watches."""
        for writer in self._watches:
            writer.write(b": still here\n\n")

    async def close(self) -> None:
        """Refuse new watches and end the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._comment_task is not None:
            self._comment_task.cancel()
        for writer in self._watches:
            writer.transport.abort()
        self._watches.clear()
        self._record.write("discovery: closed")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*CONNECTION_ENDS):
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if ": " in line)
            after = int(fields.get("Last-Event-ID", "0"))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            for event in self.events:
                if event["no"] > after:
                    writer.write(_event_text(event))
            writer.write(b": backlog sent\n\n")
            self._watches.add(writer)
            self._record.write("discovery: watched", after=after)
            await reader.read()
        self._watches.discard(writer)
        writer.transport.abort()

    async def _write_comments(self) -> None:
        while True:
            await asyncio.sleep(COMMENT_INTERVAL_S)
            self.write_comment()


def _event_text(event: dict[str, Any]) -> bytes:
    return f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode()


@dataclass(eq=False)
class Pull:
    """A query that has reached an engine."""

    engine: Engine
    request_id: str
    fields: dict[str, str]
    statement: bytes
    arrived_s: float
    writer: asyncio.StreamWriter
    task: asyncio.Task[None] | None = None

    @property
    def key(self) -> str | None:
        """The idempotency key."""
        return self.fields.get("op")

    def answer(self, word: str, fields: str = "-", body: bytes | None = None) -> None:
        """Write an answer to the dispatcher."""
        words = [self.request_id.encode(), word.encode(), fields.encode()]
        self.write(resp(words if body is None else [*words, body]))

    def write(self, data: bytes) -> None:
        """Write bytes to the dispatcher, unless the engine's machine has vanished."""
        if not self.engine.is_silent:
            self.writer.write(data)

    def reset_connection(self) -> None:
        """Reset the connection on which the query came."""
        self.writer.transport.abort()


def resp(words: list[bytes]) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


Behaviour = Callable[[Pull], Awaitable[None]]


@dataclass(eq=False)
class Engine:
    """An engine: `behaviour` runs each query; a KILL or the end of the connection cancels it."""

    name: str
    record: Record
    behaviour: Behaviour
    kind: str = "big"
    cell: int = 0
    port: int = 0
    is_silent: bool = False  # its machine has vanished: open connections stay open, and nothing is answered
    pulls: list[Pull] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def endpoint(self, status: str = "Ready", since_ms: int = 0) -> dict[str, Any]:
        """Return the engine's entry in the endpoint list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": "here",
            "type": self.kind,
            "group": self.cell,
            "status": status,
            "weight": 1,
            "since_ms": since_ms,
        }

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def vanish(self) -> None:
        """Let the engine's machine vanish: nothing listens at its address, open connections fall silent."""
        self.is_silent = True
        if self._server is not None:
            self._server.close()
        self.record.write("engine: vanished", engine=self.name, port=self.port)

    async def close(self) -> None:
        """End the engine's process: refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_pulls: dict[str, Pull] = {}
        self._writers.add(writer)
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                self._handle(await _read_words(reader), writer, open_pulls)
        self._writers.discard(writer)
        for pull in open_pulls.values():
            _cancel(pull)
        writer.transport.abort()

    def _handle(self, words: list[bytes], writer: asyncio.StreamWriter, open_pulls: dict[str, Pull]) -> None:
        command, tag = words[0].decode(), words[1].decode()
        if self.is_silent:
            return
        if command in ("ECHO", "METER"):
            load = b"l=active:0;cpu:0.1;x0:0.1;x1:0.1" if command == "METER" else b"-"
            writer.write(resp([words[1], b"green", load]))
        elif command == "PULL":
            fields = dict(item.split("=", 1) for item in words[2].decode().split(","))
            pull = Pull(self, tag, fields, words[3], self.record.now_s(), writer)
            self.pulls.append(pull)
            open_pulls[tag] = pull
            self.record.write("engine: query", engine=self.name, txn=tag, **fields)
            pull.task = asyncio.create_task(self._run(pull))
        elif command in ("KILL", "DISCARD") and tag in open_pulls:
            self.record.write("engine: " + command.lower(), engine=self.name, txn=tag)
            _cancel(open_pulls.pop(tag))

    async def _run(self, pull: Pull) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await self.behaviour(pull)


def _cancel(pull: Pull) -> None:
    if pull.task is not None and pull.task is not asyncio.current_task():
        pull.task.cancel()


async def _read_words(reader: asyncio.StreamReader) -> list[bytes]:
    words = []
    for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


@dataclass(slots=True)
class Answer:
    """What a client got for a request.

    `kind` is served, refused or failed; closed, if the connection ended instead; none, if nothing came; or
    not taken, if the connection ended before the request's last byte was written.
    """

    kind: str
    after_s: float  # from when the request's last byte was written
    rows: bytes = b""  # the result, if it was served


class Client:
    """A client connection that carries many requests."""

    def __init__(self, record: Record, name: str) -> None:
        self._record = record
        self._name = name
        self._last_id = 0
        self.is_closed = False  # the dispatcher has ended the connection
        self._open: dict[int, asyncio.Future[dict[str, Any] | None]] = {}
        self._reader_task: asyncio.Task[None] | None = None

    async def connect(self, port: int) -> None:
        """Connect to a dispatcher."""
        self._reader, self._writer = await asyncio.open_connection(HOST, port)
        self._reader_task = asyncio.create_task(self._read_answers())

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()

    async def ping(self) -> bool:
        """Return whether the dispatcher says that it is well."""
        call_id, data = self._new_call("ping", {})
        self._writer.write(data)
        content = await asyncio.wait_for(self._open[call_id], PING_TIMEOUT_S)
        return bool(content and content.get("result", {}).get("well"))

    async def ask(self, class_name: str, statement: bytes, wait_s: float, **params: object) -> Answer:
        """Send a request and wait for its answer for `wait_s`."""
        self._record.write("client: sent", client=self._name, method=class_name, **params)
        call_id, data = self._new_call(class_name, {**params, "body": base64.b64encode(statement).decode()})
        self._writer.write(data)
        return await self._answer(call_id, params["txn"], wait_s)

    async def ask_in_pieces(
        self, class_name: str, statement: bytes, wait_s: float, pause_s: float, **params: object
    ) -> Answer:
        """Send a request in two pieces, with a pause between them, and wait for its answer for `wait_s`."""
        call_id, data = self._new_call(class_name, {**params, "body": base64.b64encode(statement).decode()})
        middle = len(data) // 2
        self._writer.write(data[:middle])
        self._record.write("client: sent first half", client=self._name, txn=params["txn"], bytes=middle)
        await asyncio.sleep(pause_s)
        if self.is_closed:
            return Answer("not taken", 0.0)
        self._writer.write(data[middle:])
        self._record.write("client: sent second half", client=self._name, txn=params["txn"])
        return await self._answer(call_id, params["txn"], wait_s)

    def _new_call(self, method: str, params: dict[str, object]) -> tuple[int, bytes]:
        self._last_id += 1
        self._open[self._last_id] = asyncio.get_running_loop().create_future()
        content = {"jsonrpc": "2.0", "id": self._last_id, "method": method, "params": params}
        return self._last_id, frame(content)

    async def _answer(self, call_id: int, txn: object, wait_s: float) -> Answer:
        began_s = time.monotonic()
        try:
            content = await asyncio.wait_for(self._open[call_id], wait_s)
        except TimeoutError:
            answer = Answer("none", time.monotonic() - began_s)
        else:
            answer = _classify(content, time.monotonic() - began_s)
        del self._open[call_id]
        self._record.write(
            "client: got", client=self._name, txn=txn, kind=answer.kind, s=f"{answer.after_s:.3f}"
        )
        return answer

    async def _read_answers(self) -> None:
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                head = await self._reader.readuntil(b"\r\n\r\n")
                content = json.loads(await self._reader.readexactly(int(head.split(b":")[1])))
                future = self._open.get(content.get("id") or 0)
                if future is not None and not future.done():
                    future.set_result(content)
        self.is_closed = True
        for future in self._open.values():
            if not future.done():
                future.set_result(None)


def frame(content: dict[str, Any]) -> bytes:
    """Return a JSON-RPC message with its head."""
    body = json.dumps(content).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def _classify(content: dict[str, Any] | None, after_s: float) -> Answer:
    if content is None:
        return Answer("closed", after_s)
    if "result" in content:
        return Answer("served", after_s, base64.b64decode(content["result"]["body"]))
    return Answer("refused" if content["error"]["code"] == REJECTED else "failed", after_s)


class Dispatcher:
    """One dispatcher, started by the command `run` of the deploy file, as the platform does."""

    def __init__(self, record: Record, folder: Path, name: str = "n1") -> None:
        self._record = record
        self._folder = folder
        self._name = name
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, config: dict[str, Any]) -> None:
        """Start the process with a configuration."""
        path = self._folder / f"{self._name}.json"
        path.write_text(json.dumps({**config, "name": self._name, "listen": f"{HOST}:{self.port}"}))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = self._folder / f"{self._name}.tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": self._name,
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "TMPDIR": str(temporary),
        }
        environment.pop("PYTHONPATH", None)
        with (self._folder / f"{self._name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write("platform: started", name=self._name, pid=self.process.pid)

    async def wait_until_ready(self) -> None:
        """Wait until a ping is answered as well; raises `CannotRunError` after 30 s."""
        give_up_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_s:
            client = Client(self._record, "front")
            with contextlib.suppress(OSError, TimeoutError):
                await client.connect(self.port)
                is_well = await client.ping()
                client.close()
                if is_well:
                    self._record.write("platform: ready", name=self._name)
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self._name} is not ready in {READY_TIMEOUT_S} s")

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def private_memory_mb(self) -> float:
        """Return the resident memory of the process in MB, without files; 0 once it has ended."""
        with contextlib.suppress(OSError, StopIteration):
            assert self.process is not None
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            return int(next(line for line in lines if line.startswith("RssAnon:")).split()[1]) / 1024
        return 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if not self.has_ended():
            assert self.process is not None
            self._record.write("platform: signal", name=self._name, signal=number.name)
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process outright, if it still runs."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def new_id() -> str:
    """Return a new request id."""
    return os.urandom(8).hex()


def perth_settings() -> dict[str, Any]:
    """Return the settings of the project's example with the figures of the site perth-address.

    The classes `lookup`, `report` and `load` of the example stand for the site's three classes.
    """
    content: dict[str, Any] = json.loads((ROOT / "examples/config.json").read_text())
    settings: dict[str, Any] = content["settings"]
    for item in settings["Classes"]:
        item.update(PERTH_CLASSES[item["Name"]])
    settings["Limits"].update(MaxAttempts=6, RetryAfter=False)
    return settings


def has_trouble() -> bool:
    """Return whether the disruption is to be played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder: Path, case: Callable[[Record, Path], Coroutine[Any, Any, bool]]) -> int:
    """Play a case and return the exit code: 1 if it returns True, the rule was broken; else 0; 2 on errors.

    `folder` gets the record; the case also gets a temporary folder, which is removed afterwards.
    """
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(asyncio.wait_for(case(record, Path(temporary)), MOST_S))
        except Exception as error:  # an exit code of 1 must not come from a fault of the case itself
            record.write("verdict: cannot run", reason=repr(error))
            print(f"cannot run: {error!r}", file=sys.stderr)
            return EXIT_CANNOT_RUN
        finally:
            for log in Path(temporary).glob("*.log"):
                for line in log.read_text(errors="replace").splitlines()[-20:]:
                    record.write("dispatcher's log:", line=line)
            record.close()
    print("rule broken" if is_broken else "rule held")
    return EXIT_BROKEN if is_broken else EXIT_HELD
