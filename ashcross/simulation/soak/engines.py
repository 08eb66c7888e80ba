"""Engines of the soak, each behind a fault proxy through which all dispatchers reach it."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

from ashcross.protocols.engines import resp
from ashcross.protocols.framing import FramingError
from ashcross.registry.buffers import BufferPool
from ashcross.simulation.soak.ledger import Attempt, AttemptEnd, Ledger

MAX_WORD_BYTES = 1 << 20
OVERLOAD_FRACTION, CRASH_FRACTION, PAGED_FRACTION = 0.04, 0.02, 0.15  # of all runs, also without a fault
MIN_RUN_S, MAX_RUN_S = 0.002, 0.08
PAGE_ROWS = 40


def new_reader() -> resp.WordsReader:
    """Return a parser for one direction of a connection."""
    return resp.WordsReader(BufferPool(4096, 4), MAX_WORD_BYTES)


@dataclass(slots=True)
class EngineFaults:
    """The faults that are active on one engine."""

    hung: bool = False  # the engine accepts everything and answers nothing
    slowdown: float = 1.0  # factor on the run time
    corrupt_chance: float = 0.0  # of an answer that is unreadable or incomplete
    duplicate_chance: float = 0.0  # of a second copy of an answer
    reset_chance: float = 0.0  # of a connection reset instead of an answer
    network_held: bool = False  # the proxy forwards nothing


@dataclass(eq=False)
class Engine:
    """One engine: its process, its faults, and the proxy's port, which is its published address."""

    name: str
    ledger: Ledger
    random_source: random.Random
    faults: EngineFaults = field(default_factory=EngineFaults)
    running: bool = True
    port: int = 0
    connections: set[ProxiedConnection] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Start the engine at a new port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ProxiedConnection(self), "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.running = True

    def crash(self) -> None:
        """End the process: its connections are reset, and new ones are refused."""
        self.running = False
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.reset()

    def hold_network(self, held: bool) -> None:
        """Stop forwarding, or forward what was held and go on."""
        self.faults.network_held = held
        if not held:
            for connection in list(self.connections):
                connection.forward_held()

    def close_idle(self) -> None:
        """Close the connections that have no open attempt."""
        for connection in list(self.connections):
            if not connection.open_attempts:
                connection.transport.close()


class ProxiedConnection(asyncio.Protocol):
    """One connection of a dispatcher: the proxy's side records attempts, the engine behind it answers.

    A command is recorded when it leaves the dispatcher. While the network is held, the engine gets no command
    and no answer goes back; both follow once the network is released.
    """

    transport: asyncio.Transport
    connections_made = 0

    def __init__(self, engine: Engine) -> None:
        ProxiedConnection.connections_made += 1
        self.number = ProxiedConnection.connections_made
        self.engine, self.ledger = engine, engine.ledger
        self.reader = new_reader()
        self.open_attempts: dict[str, Attempt] = {}
        self.pages: dict[str, list[bytes]] = {}
        self.first_byte_s: float | None = None  # when the first byte of an incomplete command arrived
        self.held_commands: list[list[bytes]] = []
        self.timers: set[asyncio.TimerHandle] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a connection that a dispatcher has opened."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.engine.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End all attempts of a connection that either side has closed."""
        self.engine.connections.discard(self)
        self.end_attempts()

    def end_attempts(self) -> None:
        """End all open attempts as closed, and cancel all timers."""
        for timer in self.timers:
            timer.cancel()
        for attempt in list(self.open_attempts.values()):
            self.end_attempt(attempt, AttemptEnd.CLOSED)

    def reset(self) -> None:
        """Reset the connection."""
        self.end_attempts()
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Record the commands received; the engine gets them unless the network is held."""
        now_s = time.monotonic()
        first_byte_s = self.first_byte_s if self.first_byte_s is not None else now_s
        try:
            commands = list(self.reader.feed(data))
        except FramingError as error:
            self.ledger.log_errors.append(f"{self.engine.name} received unreadable data: {error}")
            self.reset()
            return
        for words in commands:
            self.record_command(words, first_byte_s, now_s)
            first_byte_s = now_s
        self.first_byte_s = (first_byte_s if not commands else now_s) if self.reader.waiting else None
        for words in commands:
            if self.engine.faults.network_held:
                self.held_commands.append(words)
            else:
                self.handle_command(words)

    def forward_held(self) -> None:
        """Give the engine all commands that were held."""
        held_commands, self.held_commands = self.held_commands, []
        for words in held_commands:
            self.handle_command(words)

    def record_command(self, words: list[bytes], first_byte_s: float, last_byte_s: float) -> None:
        """Record in the ledger the attempt that a command begins or kills."""
        request_id = words[1].decode()
        if words[0] == b"PULL":
            fields = resp.fields(words[2])
            patience_s = int(fields["patience"]) / 1000
            attempt = Attempt(
                request_id, self.engine.name, self.number, first_byte_s, last_byte_s, patience_s
            )
            self.ledger.attempts.append(attempt)
            self.open_attempts[request_id] = attempt
        elif words[0] == b"KILL" and request_id in self.open_attempts:
            self.end_attempt(self.open_attempts[request_id], AttemptEnd.KILLED)

    def end_attempt(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Record the end of an attempt, unless one is recorded, and forget the attempt."""
        if attempt.end_s is None:
            attempt.end_s, attempt.end = time.monotonic(), end
        self.open_attempts.pop(attempt.request_id, None)

    def call_later(self, delay_s: float, call: object, *arguments: object) -> None:
        """Schedule a call; it is put off while the engine hangs or the network is held."""

        def run() -> None:
            self.timers.discard(timer)
            if self.engine.faults.network_held or self.engine.faults.hung:
                self.call_later(0.05, call, *arguments)
            elif not self.transport.is_closing():
                call(*arguments)  # type: ignore[operator]

        timer = asyncio.get_running_loop().call_later(delay_s, run)
        self.timers.add(timer)

    def handle_command(self, words: list[bytes]) -> None:
        """Schedule the engine's reaction to a command."""
        command, request_id = words[0], words[1].decode()
        if command == b"PULL":
            run_s = self.engine.random_source.uniform(MIN_RUN_S, MAX_RUN_S) * self.engine.faults.slowdown
            self.call_later(run_s, self.complete_run, request_id)
        elif command == b"SCROLL":
            self.call_later(0.0, self.write_page, request_id, int(words[2]))
        elif command in (b"METER", b"ECHO"):
            report = f"l=active:{len(self.open_attempts)};cpu:0.2;x0:0.1;x1:0.1".encode()
            self.call_later(0.0, self.write_answer, words[1], b"green", report, b"")

    def write_answer(self, *words: bytes) -> None:
        """Write an answer to the dispatcher."""
        self.transport.write(resp.encode(*words))

    def complete_run(self, request_id: str) -> None:
        """Answer a request whose run time is over: with rows, a failure, or an active fault."""
        attempt = self.open_attempts.get(request_id)
        random_source, faults = self.engine.random_source, self.engine.faults
        if attempt is None:
            return
        if random_source.random() < faults.reset_chance:
            self.reset()
            return
        if random_source.random() < faults.corrupt_chance:
            self.write_corrupt_answer(attempt)
            return
        chance = random_source.random()
        if chance < OVERLOAD_FRACTION + CRASH_FRACTION:
            end = AttemptEnd.OVERLOAD if chance < OVERLOAD_FRACTION else AttemptEnd.CRASHED
            self.end_attempt(attempt, end)
            self.write_answer(request_id.encode(), end.value.encode(), b"-", b"")
            return
        self.write_rows(attempt)

    def write_rows(self, attempt: Attempt) -> None:
        """Answer with rows, in one page or in three."""
        random_source, request_id = self.engine.random_source, attempt.request_id
        count = 3 if random_source.random() < PAGED_FRACTION else 1
        rows = [
            b"%b\t%b\t%d\n" % (request_id.encode(), self.engine.name.encode(), number)
            for number in range(PAGE_ROWS * count)
        ]
        pages = [b"".join(rows[at : at + PAGE_ROWS]) for at in range(0, len(rows), PAGE_ROWS)]
        self.ledger.produced_rows[request_id, self.engine.name] = b"".join(pages)
        self.end_attempt(attempt, AttemptEnd.SERVED)
        if count > 1:
            self.pages[request_id] = pages
        self.write_answer(request_id.encode(), b"served", b"total=%d" % count, pages[0])
        if random_source.random() < self.engine.faults.duplicate_chance:
            self.call_later(
                0.003, self.write_answer, request_id.encode(), b"served", b"total=%d" % count, pages[0]
            )

    def write_page(self, request_id: str, number: int) -> None:
        """Answer a request for a further page."""
        pages = self.pages.get(request_id)
        if pages is None or number >= len(pages):
            self.write_answer(request_id.encode(), b"crashed", b"-", b"")
            return
        self.write_answer(request_id.encode(), b"rows", b"index=%d" % number, pages[number])
        if number == len(pages) - 1:
            del self.pages[request_id]

    def write_corrupt_answer(self, attempt: Attempt) -> None:
        """Write noise, half an answer, half an answer and a close, or an answer with a wrong array length."""
        self.end_attempt(attempt, AttemptEnd.CRASHED)
        answer = resp.encode(attempt.request_id.encode(), b"served", b"total=1", b"a\tb\tc\n")
        corruption = self.engine.random_source.randrange(4)
        if corruption == 0:
            self.transport.write(b"\x00\xff noise\r\n")
        elif corruption == 1:
            self.transport.write(answer[: len(answer) // 2])
        elif corruption == 2:
            self.transport.write(answer.replace(b"*4", b"*3", 1))
        else:
            self.transport.write(answer[: len(answer) // 2])
            self.transport.close()
