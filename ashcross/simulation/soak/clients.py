"""Clients of the soak: usual ones, who write the ledger, and some that do not keep to the form."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from base64 import b64decode
from collections.abc import Callable
from dataclasses import dataclass

from ashcross.protocols.clients import json_rpc
from ashcross.registry.buffers import BufferPool
from ashcross.simulation.soak.ledger import Answer, AnswerKind, Ledger, Request

IDLE_S = 4.0  # after which usual clients close a connection
CONNECT_S = 2.0
OPEN_AT_ONCE = 32
FLOOD_STATEMENT = b"select * from sales_1.orders"
MOST_AT_ONCE = 300
LEAVES, ABORTS, SLEEPS, BURSTS = 0.04, 0.04, 0.1, 0.05  # chances of each request, or pause


@dataclass(frozen=True, slots=True)
class Wish:
    """What clients ask for of one class."""

    class_name: str
    keyed: bool
    cpu_s: float
    limits_s: tuple[float, float]


class ClientConnection(asyncio.Protocol):
    """One connection to a dispatcher."""

    transport: asyncio.Transport

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.reader = json_rpc.BodyReader(BufferPool(4096, 4), 1 << 20)
        self.open: dict[int, Request] = {}
        self.over: set[int] = set()  # ids that were answered, or taken back
        self.taken_back: set[int] = set()  # whose answers may cross their abort
        self.ident = 0
        self.closed = False
        self.used_s = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Note answers."""
        now_s = time.monotonic()
        for body in self.reader.feed(data):
            answer = json_rpc.parse_answer(body)
            request = self.open.pop(answer.call_id or 0, None)
            if request is None:
                if answer.call_id not in self.over:
                    self.ledger.unexpected_answers.append(f"{answer.call_id}")
                elif answer.call_id is not None and answer.call_id not in self.taken_back:
                    self.ledger.unexpected_answers.append(f"{answer.call_id} again")
                continue
            self.over.add(answer.call_id or 0)
            request.answers.append(Answer(now_s, kind_of(answer), body_of(answer)))

    def eof_received(self) -> bool:
        """The dispatcher has shut its side: it answers nothing more."""
        self.note_end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over."""
        self.note_end()

    def note_end(self) -> None:
        """What is open here gets no answer any more."""
        self.closed = True
        for request in self.open.values():
            if request.connection_closed_s is None:
                request.connection_closed_s = time.monotonic()

    def ask(self, request: Request, params: dict[str, object]) -> None:
        """Write one request."""
        self.ident += 1
        self.used_s = request.sent_s = time.monotonic()
        self.open[self.ident] = request
        statement = f"select * from sales_{self.ident % 40}.orders".encode()
        self.transport.write(json_rpc.query(request.class_name, self.ident, statement, params))

    def abort(self, ident: int) -> None:
        """Take one back."""
        request = self.open.pop(ident, None)
        if request is not None:
            self.over.add(ident)
            self.taken_back.add(ident)
            self.transport.write(json_rpc.call("abort", None, {"id": ident}))
            request.client_left_s = time.monotonic()

    def leave(self) -> None:
        """Close, over whatever is open."""
        now_s = time.monotonic()
        for request in self.open.values():
            request.client_left_s = now_s
        self.transport.abort()


def kind_of(answer: json_rpc.Answer) -> AnswerKind:
    """What it says."""
    if answer.result is not None:
        return AnswerKind.SERVED
    return AnswerKind.REFUSED if answer.code == json_rpc.REJECTED else AnswerKind.FAILED


def body_of(answer: json_rpc.Answer) -> bytes:
    """The rows of a result."""
    return b64decode(str(answer.result.get("body", ""))) if answer.result is not None else b""


class Population:
    """The clients of one dispatcher; `takes` says whether the front sends it anything now."""

    def __init__(
        self,
        number: int,
        address: tuple[str, int],
        ledger: Ledger,
        wishes: tuple[Wish, ...],
        draw: random.Random,
        takes: Callable[[], bool],
    ) -> None:
        self.number, self.address, self.ledger = number, address, ledger
        self.wishes, self.draw, self.takes = wishes, draw, takes
        self.pause_s, self.burst_share = 0.05, BURSTS
        self.ended = False

    async def connect(self) -> ClientConnection | None:
        """A new connection, if the dispatcher's machine takes it."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_S):
                return (await loop.create_connection(lambda: ClientConnection(self.ledger), *self.address))[1]
        return None

    def new_request(self) -> tuple[Request, dict[str, object]]:
        """Draw one."""
        wish = self.draw.choice(self.wishes)
        limit_s = self.draw.uniform(*wish.limits_s)
        request_id = f"{self.draw.getrandbits(64):016x}"
        request = Request(request_id, self.number, wish.class_name, limit_s, wish.cpu_s, 0.0)
        params: dict[str, object] = {
            "txn": request_id,
            "limit": limit_s * 1000,
            "cpu": wish.cpu_s * 1000,
            "memory": 8.0,
        }
        if wish.keyed:
            params["unique"] = f"{self.draw.getrandbits(128):032x}"
        self.ledger.requests[request_id] = request
        return request, params

    async def usual(self) -> None:
        """A client that asks again and again, rests, leaves at times, and comes again."""
        connection: ClientConnection | None = None
        while not self.ended:
            await asyncio.sleep(self.draw.expovariate(1 / self.pause_s))
            if not self.takes():
                continue
            if connection is None or connection.closed or connection.transport.is_closing():
                connection = await self.connect()
                if connection is None:
                    continue
            if time.monotonic() - connection.used_s > IDLE_S:
                connection.leave()
                continue
            self.ask_some(connection)
            chance = self.draw.random()
            if chance < LEAVES:
                await asyncio.sleep(self.draw.uniform(0.0, 0.2))
                connection.leave()
            elif chance < LEAVES + ABORTS and connection.open:
                await asyncio.sleep(self.draw.uniform(0.0, 0.1))
                if connection.open and not connection.closed:
                    connection.abort(self.draw.choice(list(connection.open)))
            elif chance < LEAVES + ABORTS + SLEEPS:
                await asyncio.sleep(self.draw.uniform(0.5, 6.0))

    def ask_some(self, connection: ClientConnection) -> None:
        """One request, or many at once."""
        count = self.draw.randrange(2, MOST_AT_ONCE) if self.draw.random() < self.burst_share else 1
        if count == 1 and len(connection.open) >= OPEN_AT_ONCE:
            return
        for _ in range(count):
            connection.ask(*self.new_request())

    async def rude(self, payload: bytes, times: int) -> None:
        """One that writes what cannot be read, or says nothing, and stays for a while."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(6.0):
                _, writer = await asyncio.open_connection(*self.address)
                for _ in range(times):
                    writer.write(payload)
                    await asyncio.sleep(0.01)
                await asyncio.sleep(self.draw.uniform(0.1, 3.0))
                writer.transport.abort()

    async def idle(self, span_s: float) -> None:
        """One that connects and says nothing."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_S + span_s):
                _, writer = await asyncio.open_connection(*self.address)
                try:
                    await asyncio.sleep(span_s)
                finally:
                    writer.transport.abort()

    async def flood(self, span_s: float) -> None:
        """One that writes calls as fast as they are taken, and reads nothing."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(span_s):
                reader, writer = await asyncio.open_connection(*self.address, limit=1)
                del reader  # what comes is left in the kernel once its buffer is full
                try:
                    await self._write_without_end(writer)
                finally:
                    writer.transport.abort()

    async def _write_without_end(self, writer: asyncio.StreamWriter) -> None:
        ident = 0
        while True:
            ident += 1
            request, params = self.new_request()
            request.sent_s, request.well_behaved = time.monotonic(), False
            writer.write(json_rpc.query(request.class_name, ident, FLOOD_STATEMENT, params))
            if ident % 20 == 0:  # some 2,000 a second: this process has others to serve
                await writer.drain()
                await asyncio.sleep(0.01)
