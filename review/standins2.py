"""Stand-ins for the cases 6 to 10: compute nodes, the bulletin, clients, and the start of a dispatcher.

Standard library only. Every address is on loopback, every port is a free one. The stand-ins follow the
protocol page and behave like sound peers, except where a case asks them for a disruption.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import secrets
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
READY_S = 30.0  # the pages let a dispatcher take 30 s to be ready
REFUSED_CODE = -32050
PAGE = b"1\tone\tfirst\n2\ttwo\tsecond\n"


class CannotRunError(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """The record of a run: a line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.time()

    def note(self, text: str) -> None:
        """Write a line with the time since the start, in seconds."""
        self._file.write(f"{time.time() - self._start:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Run:
    """One query that came whole to a compute node."""

    engine: str
    request: str
    kind: str
    key: str
    first_byte_at: float
    repeat: bool = False
    ended_at: float = 0.0
    outcome: str = "open"


class KeyMemory:
    """The idempotency keys that compute nodes remember together, each for `window_s` from its first query."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._first: dict[str, float] = {}
        self._done: set[str] = set()
        self.effects: dict[str, list[float]] = {}  # when each key took effect

    def has_run(self, key: str) -> bool:
        """Return whether the key has taken effect and is remembered still."""
        return key in self._done and time.time() - self._first[key] <= self.window_s

    def begin(self, key: str) -> None:
        """Remember a key from its first query on; a forgotten key begins anew."""
        if key not in self._first or time.time() - self._first[key] > self.window_s:
            self._first[key] = time.time()
            self._done.discard(key)

    def take_effect(self, key: str) -> bool:
        """Apply the effect of a key unless it is remembered as applied; return whether it was applied."""
        if self.has_run(key):
            return False
        self._done.add(key)
        self.effects.setdefault(key, []).append(time.time())
        return True


class Engine:
    """A compute node. A query takes the time that `/* ms=N */` in its statement names."""

    def __init__(self, name: str, record: Record, keys: KeyMemory | None = None) -> None:
        self.name = name
        self.record = record
        self.keys = keys
        self.runs: list[Run] = []
        self.port = 0
        # called when a query has ended, before it is answered; True: the connection is reset instead
        self.reset_at_end: Callable[[Run], bool] = lambda _run: False
        self._server: Any = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, status: str = "Ready", kind: str = "box-a") -> dict[str, Any]:
        """Return the entry of the compute node in the list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": "here",
            "type": kind,
            "group": 0,
            "status": status,
            "weight": 1,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                mark = await reader.readexactly(1)
                first_byte_at = time.time()
                words = await _read_words(mark, reader)
                self._command(words, first_byte_at, writer, tasks)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            writer.close()

    def _command(
        self,
        words: list[str],
        first_byte_at: float,
        writer: asyncio.StreamWriter,
        tasks: dict[str, asyncio.Task[None]],
    ) -> None:
        command, tag = words[0], words[1]
        if command == "PULL":
            fields = dict(item.split("=", 1) for item in words[2].split(",") if "=" in item)
            run = Run(self.name, tag, fields.get("sort", ""), fields.get("op", ""), first_byte_at)
            self.runs.append(run)
            self.record.note(f"{self.name} gets PULL {tag} {words[2]}")
            tasks[tag] = asyncio.create_task(self._run(run, words[3], writer))
        elif command in ("KILL", "DISCARD"):
            self.record.note(f"{self.name} gets {command} {tag}")
            task = tasks.pop(tag, None)
            if task is not None:
                task.cancel()
        elif command in ("METER", "ECHO"):
            busy = sum(not task.done() for task in tasks.values())
            _answer(writer, tag, "green", f"l=active:{busy};cpu:{min(1.0, busy / 8):.2f};x0:0.1;x1:0.1", "")

    async def _run(self, run: Run, statement: str, writer: asyncio.StreamWriter) -> None:
        if self.keys is not None and run.key:
            run.repeat = self.keys.has_run(run.key)
            self.keys.begin(run.key)
        if not run.repeat:
            marked = statement.partition("ms=")[2].split(" ", 1)[0]
            try:
                await asyncio.sleep(int(marked or 50) / 1000)
            except asyncio.CancelledError:
                run.ended_at, run.outcome = time.time(), "given up"
                raise
        run.ended_at, run.outcome = time.time(), "repeat dropped" if run.repeat else "ran"
        if self.keys is not None and run.key and self.keys.take_effect(run.key):
            run.outcome = "ran and took effect"
        self.record.note(f"{self.name} ends {run.request} key={run.key or '-'}: {run.outcome}")
        if self.reset_at_end(run):
            self.record.note(f"{self.name} resets the connection, the answer to {run.request} is lost")
            writer.transport.abort()
            return
        _answer(writer, run.request, "served", "total=1", PAGE.decode())


async def _read_words(mark: bytes, reader: asyncio.StreamReader) -> list[str]:
    line = mark + await reader.readline()
    words = []
    for _ in range(int(line[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2].decode())
    return words


def _answer(writer: asyncio.StreamWriter, *words: str) -> None:
    parts = [f"*{len(words)}\r\n"] + [f"${len(word.encode())}\r\n{word}\r\n" for word in words]
    with contextlib.suppress(ConnectionError, RuntimeError):
        writer.write("".join(parts).encode())


class Bulletin:
    """The bulletin: numbered events; a comment each second on every connection that is served.

    While `is_crowded` is set, it accepts connections and begins its responses, but sends nothing more: what
    it has to send goes out when that ends.
    """

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.told_at: dict[int, float] = {}
        self.address = ""
        self.is_crowded = False
        self._changed = asyncio.Condition()
        self._server: Any = None
        self._add(entries, is_whole=True)

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def known(self) -> dict[str, Any]:
        """Return the events so far, in the form of the configuration."""
        return {"no": len(self.events), "items": list(self.events)}

    def _add(self, entries: list[dict[str, Any]], is_whole: bool) -> int:
        number = len(self.events) + 1
        roster = {"index": number, "snapshot": is_whole, "endpoints": entries}
        self.events.append({"no": number, "roster": roster})
        self.told_at[number] = time.time()
        return number

    async def publish(self, entries: list[dict[str, Any]]) -> float:
        """Add an event and return when it was in the bulletin."""
        number = self._add(entries, is_whole=False)
        states = " ".join(f"{entry['name']}={entry['status']}" for entry in entries)
        self.record.note(f"bulletin event {number}: {states}")
        async with self._changed:
            self._changed.notify_all()
        return self.told_at[number]

    async def set_crowded(self, is_crowded: bool) -> None:
        """Begin or end the time in which nothing but the start of a response is sent."""
        self.is_crowded = is_crowded
        self.record.note(f"bulletin crowded: {is_crowded}")
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = [line.partition(":") for line in head.decode().split("\r\n")]
            last = next((int(value) for name, _, value in lines if name.lower() == "last-event-id"), 0)
            self.record.note(f"bulletin gets a request, last event {last}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            await self._stream(last, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _stream(self, last: int, writer: asyncio.StreamWriter) -> None:
        comment_due = time.time() + 1.0
        while not writer.is_closing():
            if not self.is_crowded:
                for event in self.events[last:]:
                    writer.write(f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode())
                last = len(self.events)
                if time.time() >= comment_due:
                    writer.write(b": here\n\n")
                    comment_due = time.time() + 1.0
                await writer.drain()
            async with self._changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), 0.1)


@dataclass
class Call:
    """One request of a client and its answer."""

    number: int
    request: str
    kind: str
    sent_at: float = 0.0  # when its last byte was written
    limit_ms: int = 0
    answers: list[dict[str, Any]] = field(default_factory=list)
    answered_at: float = 0.0
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def verdict(self) -> str:
        """Return served, refused, failed or none."""
        if not self.answers:
            return "none"
        if "result" in self.answers[0]:
            return "served"
        return "refused" if self.answers[0]["error"]["code"] == REFUSED_CODE else "failed"

    @property
    def later_ms(self) -> int:
        """Return the wait that a refusal names, 0 without one."""
        error = self.answers[0].get("error", {}) if self.answers else {}
        return int((error.get("data") or {}).get("later", 0))


class Client:
    """A client connection."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.calls: dict[int, Call] = {}
        self.closed_at = 0.0  # when the dispatcher ended the connection
        self._next_number = 1
        self._reader: Any = None
        self._writer: Any = None
        self._task: Any = None

    async def connect(self, port: int) -> None:
        """Connect to the dispatcher."""
        self._reader, self._writer = await asyncio.open_connection(HOST, port)
        self._task = asyncio.create_task(self._read())

    def prepare(self, kind: str, statement: str, limit_ms: int, **params: Any) -> tuple[Call, bytes]:
        """Return a request and its bytes; nothing is sent."""
        call = Call(self._next_number, secrets.token_hex(8), kind, limit_ms=limit_ms)
        self._next_number += 1
        self.calls[call.number] = call
        body = base64.b64encode(statement.encode()).decode()
        fields = {"txn": call.request, "limit": limit_ms, "body": body, **params}
        return call, _frame({"jsonrpc": "2.0", "id": call.number, "method": kind, "params": fields})

    async def write(self, data: bytes) -> None:
        """Write bytes."""
        self._writer.write(data)
        await self._writer.drain()

    async def send(self, kind: str, statement: str, limit_ms: int, **params: Any) -> Call:
        """Send a request at once."""
        call, data = self.prepare(kind, statement, limit_ms, **params)
        await self.write(data)
        self.sent(call)
        return call

    def sent(self, call: Call) -> None:
        """Note that the last byte of a request was written."""
        call.sent_at = time.time()
        self.record.note(f"{self.name} sent {call.kind} {call.request} limit={call.limit_ms}")

    async def abort(self, call: Call) -> None:
        """Stop waiting for a request."""
        await self.write(_frame({"jsonrpc": "2.0", "method": "abort", "params": {"id": call.number}}))
        self.record.note(f"{self.name} aborts {call.request}")

    async def _read(self) -> None:
        try:
            while True:
                head = await self._reader.readuntil(b"\r\n\r\n")
                size = int(head.decode().lower().partition("content-length:")[2].split("\r\n")[0])
                self._take(json.loads(await self._reader.readexactly(size)))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_at = time.time()
            self.record.note(f"{self.name}: the dispatcher ended the connection")

    def _take(self, answer: dict[str, Any]) -> None:
        call = self.calls.get(answer.get("id") or 0)
        if call is None:
            self.record.note(f"{self.name} got an answer without a request: {answer}")
            return
        call.answers.append(answer)
        call.answered_at = call.answered_at or time.time()
        call.done.set()
        later = f" later={call.later_ms}" if call.later_ms else ""
        self.record.note(f"{self.name} got {call.verdict} for {call.request}{later}")

    async def finished(self, call: Call, seconds: float) -> None:
        """Wait for the answer to a request, no longer than `seconds`."""
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(call.done.wait(), seconds)

    def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()
        if self._writer is not None:
            self._writer.close()


def _frame(message: dict[str, Any]) -> bytes:
    body = json.dumps(message).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class Dispatcher:
    """A dispatcher, started by the command `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any]) -> None:
        self.record = record
        self.folder = folder
        self.config = config
        self.port = _free_port()
        self.process: Any = None

    async def start(self) -> None:
        """Start the program and wait until it answers a ping as well."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        private = self.folder / "tmp"
        private.mkdir(exist_ok=True)
        environment = os.environ | {
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": "d1",
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "TMPDIR": str(private),
        }
        log = (self.folder / "dispatcher.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        give_up_at = time.time() + READY_S
        while time.time() < give_up_at:
            if self.process.returncode is not None:
                raise CannotRunError(f"the dispatcher ended at its start: {self.log_end()}")
            client = Client(self.record, "front")
            call, _ = client.prepare("ping", "", 0)
            with contextlib.suppress(OSError):
                await client.connect(self.port)
                await client.write(_frame({"jsonrpc": "2.0", "id": call.number, "method": "ping"}))
                await client.finished(call, 1.0)
            client.close()
            if call.verdict == "served" and call.answers[0]["result"].get("well"):
                self.record.note("the dispatcher is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the dispatcher was not ready in time")

    def log_end(self) -> str:
        """Return the last lines of the log."""
        return (self.folder / "dispatcher.log").read_text(encoding="utf-8", errors="replace")[-800:]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        self.record.note(f"{number.name} to the dispatcher")
        self.process.send_signal(number)

    async def end(self) -> None:
        """End the program."""
        if self.process is None or self.process.returncode is not None:
            return
        for number in (signal.SIGCONT, signal.SIGKILL):
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
        await self.process.wait()


def _free_port() -> int:
    import socket

    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return int(listener.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; `changes` replace whole sections."""
    base = {
        "Classes": [
            {
                "Name": "lookup",
                "Idempotency": "retryable",
                "Group": "all",
                "Window": 5000000,
                "Aim": 1500000,
                "AimStretch": 2.0,
                "GiveUp": 7500000,
                "Points": 1.0,
                "LateShare": 0.0,
            }
        ],
        "FailureDomains": ["here"],
        "FamilyInfo": {
            "ClassLoad": [False],
            "ClassThreads": [1],
            "ClassWaits": [False],
            "CpuOfKind": [8],
            "GrantsCount": False,
            "LargestShare": 0.4,
            "MemoryShort": "queue",
            "Priorities": True,
            "ProgressPace": 0,
            "SizeMb": [16384.0],
        },
        "Guarantees": {
            "AnswerSlack": 20000,
            "AskWithin": 10000000,
            "ColdFrom": 0.3,
            "DrainGrace": 250000,
            "Fall": 2000000,
            "FallMultiple": 4.0,
            "RampTime": 15000000,
        },
        "Instances": 1,
        "Limits": {
            "ConnIdle": 15000000,
            "DialTimeout": 250000,
            "MaxAttempts": 6,
            "MaxOpen": 40000,
            "MaxRetryAfter": 1000000,
            "MayCancel": True,
            "Multiplex": 100,
            "PeerMessages": False,
            "Probes": True,
            "RetryAfter": False,
            "SecondCopies": False,
        },
        "MachineTypes": ["box-a"],
        "Me": 0,
        "MembershipMode": "automatic",
        "MyZone": "here",
        "OverShareWorth": 0.1,
        "Report": {"Fields": ["active", "cpu", "x0", "x1"], "How": "on_probe"},
        "Step": 5000,
        "Tenants": [],
    }
    return base | changes


@dataclass
class Scene:
    """What a case works with."""

    record: Record
    folder: Path
    trouble: bool
    dispatchers: list[Dispatcher] = field(default_factory=list)
    helpers: list[Any] = field(default_factory=list)

    async def helper(self, script: str, *arguments: str) -> None:
        """Start a script of the case as a process of its own, for instance with bad clients."""
        process = await asyncio.create_subprocess_exec(sys.executable, "-B", script, *arguments)
        self.helpers.append(process)

    async def end(self) -> None:
        """End all processes that were started."""
        for process in self.helpers:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        for dispatcher in self.dispatchers:
            await dispatcher.end()

    async def dispatcher(
        self, bulletin: Bulletin, case_settings: dict[str, Any], memory_mb: int = 192
    ) -> Dispatcher:
        """Start a dispatcher with the events of the bulletin so far."""
        config = {
            "name": "d1",
            "listen": f"{HOST}:0",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "bulletin": bulletin.address,
            "known": bulletin.known(),
            "settings": case_settings,
        }
        dispatcher = Dispatcher(self.record, self.folder, config)
        self.dispatchers.append(dispatcher)
        await dispatcher.start()
        return dispatcher


def main(folder: str, case: Callable[[Scene], Awaitable[int]]) -> None:
    """Run a case, end everything that it started, and exit with its code."""
    code = NOT_RUN
    record = Record(Path(folder).resolve().parent / "record.txt")
    scratch = Path(tempfile.mkdtemp(prefix="ashcross-case-"))
    scene = Scene(record, scratch, os.environ.get("TROUBLE", "1") != "0")
    record.note(f"disruption: {'yes' if scene.trouble else 'no'}")

    async def whole() -> int:
        task: Any = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await asyncio.wait_for(case(scene), 110)
        finally:
            await scene.end()

    try:
        code = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as error:  # this must not pass for a broken rule
        record.note(f"could not run: {type(error).__name__} {error}")
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    record.note({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "no verdict"}[code])
    sys.exit(code)
