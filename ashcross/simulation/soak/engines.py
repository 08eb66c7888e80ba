"""Engines of the soak, and the fault proxy through which every dispatcher reaches them."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

from ashcross.protocols.engines import resp
from ashcross.protocols.framing import FramingError
from ashcross.registry.buffers import BufferPool
from ashcross.simulation.soak.ledger import Attempt, AttemptEnd, Ledger

WORD_BYTES = 1 << 20
OVERLOAD_SHARE, CRASH_SHARE, PAGES_SHARE = 0.04, 0.02, 0.15
FASTEST_S, SLOWEST_S = 0.002, 0.08
PAGE_ROWS = 40


def new_reader() -> resp.WordsReader:
    """A parser of one direction of a connection."""
    return resp.WordsReader(BufferPool(4096, 4), WORD_BYTES)


@dataclass(slots=True)
class Faults:
    """What is wrong with one engine now."""

    hung: bool = False  # takes everything, answers nothing
    slow: float = 1.0  # times the usual run time
    spoil: float = 0.0  # chance of an answer that cannot be read, or breaks off
    second: float = 0.0  # chance of a second copy of an answer
    reset: float = 0.0  # chance that a connection is reset under a request
    held: bool = False  # the proxy carries nothing


@dataclass(eq=False)
class Engine:
    """One engine: its process, its faults, and the proxy's port that discovery tells."""

    name: str
    ledger: Ledger
    draw: random.Random
    faults: Faults = field(default_factory=Faults)
    up: bool = True
    port: int = 0
    connections: set[ProxiedConnection] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Come up, at a new port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ProxiedConnection(self), "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = True

    def crash(self) -> None:
        """The process dies: its connections are reset, new ones refused."""
        self.up = False
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.reset()

    def hold(self, on: bool) -> None:
        """The network towards it carries nothing, or goes on with what it held."""
        self.faults.held = on
        if not on:
            for connection in list(self.connections):
                connection.go_on()

    def close_idle(self) -> None:
        """Close connections on which nothing is open."""
        for connection in list(self.connections):
            if not connection.open:
                connection.transport.close()


class ProxiedConnection(asyncio.Protocol):
    """One connection of a dispatcher: the proxy's end writes the ledger, the engine behind it answers.

    What a dispatcher sends is noted when it comes out of the dispatcher; while the network is held it reaches
    the engine, and answers go back, only once that is over.
    """

    transport: asyncio.Transport
    serial = 0

    def __init__(self, engine: Engine) -> None:
        ProxiedConnection.serial += 1
        self.number = ProxiedConnection.serial
        self.engine, self.ledger = engine, engine.ledger
        self.reader = new_reader()
        self.open: dict[str, Attempt] = {}
        self.pages: dict[str, list[bytes]] = {}
        self.begun_s: float | None = None  # when the first byte of what is not whole yet came
        self.held: list[list[bytes]] = []
        self.calls: set[asyncio.TimerHandle] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A dispatcher has come."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.engine.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It is closed, by either side: everything on it is over."""
        self.engine.connections.discard(self)
        self.end_all()

    def end_all(self) -> None:
        """What is out here ends with the connection."""
        for call in self.calls:
            call.cancel()
        for attempt in list(self.open.values()):
            self.finish(attempt, AttemptEnd.CLOSED)

    def reset(self) -> None:
        """Break it."""
        self.end_all()
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Note what came; the engine gets it unless the network is held."""
        now_s = time.monotonic()
        first_s = self.begun_s if self.begun_s is not None else now_s
        try:
            commands = list(self.reader.feed(data))
        except FramingError as error:
            self.ledger.log_errors.append(f"{self.engine.name} was sent what cannot be read: {error}")
            self.reset()
            return
        for words in commands:
            self.note(words, first_s, now_s)
            first_s = now_s
        self.begun_s = (first_s if not commands else now_s) if self.reader.waiting else None
        for words in commands:
            if self.engine.faults.held:
                self.held.append(words)
            else:
                self.command(words)

    def go_on(self) -> None:
        """The network carries again."""
        held, self.held = self.held, []
        for words in held:
            self.command(words)

    def note(self, words: list[bytes], first_s: float, last_byte_s: float) -> None:
        """Write the ledger for one command."""
        ident = words[1].decode()
        if words[0] == b"PULL":
            fields = resp.fields(words[2])
            patience_s = int(fields["patience"]) / 1000
            attempt = Attempt(ident, self.engine.name, self.number, first_s, last_byte_s, patience_s)
            self.ledger.attempts.append(attempt)
            self.open[ident] = attempt
        elif words[0] == b"KILL" and ident in self.open:
            self.finish(self.open[ident], AttemptEnd.KILLED)

    def finish(self, attempt: Attempt, end: AttemptEnd) -> None:
        """An attempt is over."""
        if attempt.end_s is None:
            attempt.end_s, attempt.end = time.monotonic(), end
        self.open.pop(attempt.request_id, None)

    def later(self, after_s: float, call: object, *arguments: object) -> None:
        """Have a call made, unless the connection ends before."""

        def run() -> None:
            self.calls.discard(handle)
            if self.engine.faults.held or self.engine.faults.hung:
                self.later(0.05, call, *arguments)
            elif not self.transport.is_closing():
                call(*arguments)  # type: ignore[operator]

        handle = asyncio.get_running_loop().call_later(after_s, run)
        self.calls.add(handle)

    def command(self, words: list[bytes]) -> None:
        """The engine takes a command."""
        word, ident = words[0], words[1].decode()
        if word == b"PULL":
            run_s = self.engine.draw.uniform(FASTEST_S, SLOWEST_S) * self.engine.faults.slow
            self.later(run_s, self.answer, ident)
        elif word == b"SCROLL":
            self.later(0.0, self.page, ident, int(words[2]))
        elif word in (b"METER", b"ECHO"):
            report = f"l=active:{len(self.open)};cpu:0.2;x0:0.1;x1:0.1".encode()
            self.later(0.0, self.say, words[1], b"green", report, b"")

    def say(self, *words: bytes) -> None:
        """Write an answer."""
        self.transport.write(resp.encode(*words))

    def answer(self, ident: str) -> None:
        """A request has run, or is turned away."""
        attempt, draw, faults = self.open.get(ident), self.engine.draw, self.engine.faults
        if attempt is None:
            return
        if draw.random() < faults.reset:
            self.reset()
            return
        if draw.random() < faults.spoil:
            self.spoil(attempt)
            return
        chance = draw.random()
        if chance < OVERLOAD_SHARE + CRASH_SHARE:
            end = AttemptEnd.OVERLOAD if chance < OVERLOAD_SHARE else AttemptEnd.CRASHED
            self.finish(attempt, end)
            self.say(ident.encode(), end.value.encode(), b"-", b"")
            return
        self.serve(attempt)

    def serve(self, attempt: Attempt) -> None:
        """Answer with rows, in one page or in three."""
        draw, ident = self.engine.draw, attempt.request_id
        count = 3 if draw.random() < PAGES_SHARE else 1
        rows = [
            b"%b\t%b\t%d\n" % (ident.encode(), self.engine.name.encode(), number)
            for number in range(PAGE_ROWS * count)
        ]
        pages = [b"".join(rows[at : at + PAGE_ROWS]) for at in range(0, len(rows), PAGE_ROWS)]
        self.ledger.produced_rows[ident, self.engine.name] = b"".join(pages)
        self.finish(attempt, AttemptEnd.SERVED)
        if count > 1:
            self.pages[ident] = pages
        self.say(ident.encode(), b"served", b"total=%d" % count, pages[0])
        if draw.random() < self.engine.faults.second:
            self.later(0.003, self.say, ident.encode(), b"served", b"total=%d" % count, pages[0])

    def page(self, ident: str, number: int) -> None:
        """A further page."""
        pages = self.pages.get(ident)
        if pages is None or number >= len(pages):
            self.say(ident.encode(), b"crashed", b"-", b"")
            return
        self.say(ident.encode(), b"rows", b"index=%d" % number, pages[number])
        if number == len(pages) - 1:
            del self.pages[ident]

    def spoil(self, attempt: Attempt) -> None:
        """An answer that no engine means: noise, half of one, one without an end."""
        self.finish(attempt, AttemptEnd.CRASHED)
        whole = resp.encode(attempt.request_id.encode(), b"served", b"total=1", b"a\tb\tc\n")
        kind = self.engine.draw.randrange(3)
        if kind == 0:
            self.transport.write(b"\x00\xff noise\r\n")
        elif kind == 1:
            self.transport.write(whole[: len(whole) // 2])
        else:
            self.transport.write(whole[: len(whole) // 2])
            self.transport.close()
