"""Clients of the soak: regular ones, whose requests are recorded, and some that break the protocol."""

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

IDLE_S = 4.0  # a regular client closes a connection that it has not used for this long
CONNECT_S = 2.0
MAX_OPEN_REQUESTS = 32
FLOOD_STATEMENT = b"select * from sales_1.orders"
MAX_BURST = 300  # a burst has fewer requests than this
LEAVE_CHANCE, ABORT_CHANCE, REST_CHANCE = 0.04, 0.04, 0.1  # after each request
BURST_CHANCE = 0.05  # that a client sends many requests at once


@dataclass(frozen=True, slots=True)
class RequestTemplate:
    """The requests that clients send in one class."""

    class_name: str
    keyed: bool
    cpu_s: float
    limits_s: tuple[float, float]


class ClientConnection(asyncio.Protocol):
    """One connection of a client to a dispatcher."""

    transport: asyncio.Transport

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.reader = json_rpc.BodyReader(BufferPool(4096, 4), 1 << 20)
        self.open_requests: dict[int, Request] = {}
        self.ended: set[int] = set()  # ids of calls that were answered or aborted
        self.aborted: set[int] = set()  # ids of calls whose answer may cross their abort
        self.call_id = 0
        self.closed = False
        self.last_used_s = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Record the answers received, also those to calls that are not open."""
        now_s = time.monotonic()
        for body in self.reader.feed(data):
            answer = json_rpc.parse_answer(body)
            request = self.open_requests.pop(answer.call_id or 0, None)
            if request is None:
                if answer.call_id not in self.ended:
                    self.ledger.unexpected_answers.append(f"{answer.call_id}")
                elif answer.call_id is not None and answer.call_id not in self.aborted:
                    self.ledger.unexpected_answers.append(f"{answer.call_id} again")
                continue
            self.ended.add(answer.call_id or 0)
            request.answers.append(Answer(now_s, kind_of(answer), body_of(answer)))

    def eof_received(self) -> bool:
        """Record that the dispatcher has shut down its side and answers nothing more."""
        self.record_close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed."""
        self.record_close()

    def record_close(self) -> None:
        """Record the time at which the open requests lost their connection."""
        self.closed = True
        for request in self.open_requests.values():
            if request.connection_closed_s is None:
                request.connection_closed_s = time.monotonic()

    def send(self, request: Request, params: dict[str, object]) -> None:
        """Write one request."""
        self.call_id += 1
        self.last_used_s = request.sent_s = time.monotonic()
        self.open_requests[self.call_id] = request
        statement = f"select * from sales_{self.call_id % 40}.orders".encode()
        self.transport.write(json_rpc.query(request.class_name, self.call_id, statement, params))

    def abort(self, call_id: int) -> None:
        """Abort a call if it is open."""
        request = self.open_requests.pop(call_id, None)
        if request is not None:
            self.ended.add(call_id)
            self.aborted.add(call_id)
            self.transport.write(json_rpc.call("abort", None, {"id": call_id}))
            request.client_left_s = time.monotonic()

    def leave(self) -> None:
        """Reset the connection, whatever is open on it."""
        now_s = time.monotonic()
        for request in self.open_requests.values():
            request.client_left_s = now_s
        self.transport.abort()


def kind_of(answer: json_rpc.Answer) -> AnswerKind:
    """Return the outcome that an answer reports."""
    if answer.result is not None:
        return AnswerKind.SERVED
    return AnswerKind.REFUSED if answer.code == json_rpc.REJECTED else AnswerKind.FAILED


def body_of(answer: json_rpc.Answer) -> bytes:
    """Return the rows of a result; empty for an error."""
    return b64decode(str(answer.result.get("body", ""))) if answer.result is not None else b""


class Population:
    """The clients of one dispatcher; they send nothing while `accepts_requests` returns false."""

    def __init__(
        self,
        number: int,
        address: tuple[str, int],
        ledger: Ledger,
        templates: tuple[RequestTemplate, ...],
        random_source: random.Random,
        accepts_requests: Callable[[], bool],
    ) -> None:
        self.number, self.address, self.ledger = number, address, ledger
        self.templates, self.random_source = templates, random_source
        self.accepts_requests = accepts_requests
        self.mean_pause_s, self.burst_chance = 0.05, BURST_CHANCE
        self.ended = False

    async def connect(self) -> ClientConnection | None:
        """Open a connection; return None if that fails or takes longer than `CONNECT_S`."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_S):
                return (await loop.create_connection(lambda: ClientConnection(self.ledger), *self.address))[1]
        return None

    def new_request(self) -> tuple[Request, dict[str, object]]:
        """Draw a request, record it in the ledger, and return it with its call parameters."""
        template = self.random_source.choice(self.templates)
        limit_s = self.random_source.uniform(*template.limits_s)
        request_id = f"{self.random_source.getrandbits(64):016x}"
        request = Request(request_id, self.number, template.class_name, limit_s, template.cpu_s, 0.0)
        params: dict[str, object] = {
            "txn": request_id,
            "limit": limit_s * 1000,
            "cpu": template.cpu_s * 1000,
            "memory": 8.0,
        }
        if template.keyed:
            params["unique"] = f"{self.random_source.getrandbits(128):032x}"
        self.ledger.requests[request_id] = request
        return request, params

    async def run_regular_client(self) -> None:
        """Send requests until the run ends; at times rest, abort, leave and connect again."""
        connection: ClientConnection | None = None
        while not self.ended:
            await asyncio.sleep(self.random_source.expovariate(1 / self.mean_pause_s))
            if not self.accepts_requests():
                continue
            if connection is None or connection.closed or connection.transport.is_closing():
                connection = await self.connect()
                if connection is None:
                    continue
            if time.monotonic() - connection.last_used_s > IDLE_S:
                connection.leave()
                continue
            self.send_requests(connection)
            chance = self.random_source.random()
            if chance < LEAVE_CHANCE:
                await asyncio.sleep(self.random_source.uniform(0.0, 0.2))
                connection.leave()
            elif chance < LEAVE_CHANCE + ABORT_CHANCE and connection.open_requests:
                await asyncio.sleep(self.random_source.uniform(0.0, 0.1))
                if connection.open_requests and not connection.closed:
                    connection.abort(self.random_source.choice(list(connection.open_requests)))
            elif chance < LEAVE_CHANCE + ABORT_CHANCE + REST_CHANCE:
                await asyncio.sleep(self.random_source.uniform(0.5, 6.0))

    def send_requests(self, connection: ClientConnection) -> None:
        """Send one request, or a burst of them."""
        count = (
            self.random_source.randrange(2, MAX_BURST)
            if self.random_source.random() < self.burst_chance
            else 1
        )
        if count == 1 and len(connection.open_requests) >= MAX_OPEN_REQUESTS:
            return
        for _ in range(count):
            connection.send(*self.new_request())

    async def run_malformed_client(self, payload: bytes, times: int) -> None:
        """Write a payload that no client may send, stay connected for a while, and reset the connection."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(6.0):
                _, writer = await asyncio.open_connection(*self.address)
                for _ in range(times):
                    writer.write(payload)
                    await asyncio.sleep(0.01)
                await asyncio.sleep(self.random_source.uniform(0.1, 3.0))
                writer.transport.abort()

    async def run_idle_client(self, span_s: float) -> None:
        """Hold a connection open for `span_s` without sending anything."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_S + span_s):
                _, writer = await asyncio.open_connection(*self.address)
                try:
                    await asyncio.sleep(span_s)
                finally:
                    writer.transport.abort()

    async def run_flooding_client(self, span_s: float) -> None:
        """Write calls for `span_s` as fast as the dispatcher takes them, and read no answer."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(span_s):
                reader, writer = await asyncio.open_connection(*self.address, limit=1)
                del reader  # answers stay in the kernel once the reader's small buffer is full
                try:
                    await self._write_calls(writer)
                finally:
                    writer.transport.abort()

    async def _write_calls(self, writer: asyncio.StreamWriter) -> None:
        call_id = 0
        while True:
            call_id += 1
            request, params = self.new_request()
            request.sent_s, request.well_behaved = time.monotonic(), False
            writer.write(json_rpc.query(request.class_name, call_id, FLOOD_STATEMENT, params))
            if call_id % 20 == 0:  # about 2,000 calls a second, since the rig runs in this process too
                await writer.drain()
                await asyncio.sleep(0.01)
