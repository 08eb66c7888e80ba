"""Connections from clients: JSON-RPC, up to a number of open requests on each, answers in any order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from ashcross.lifecycle.logs import seldom
from ashcross.lifecycle.phases import Phases
from ashcross.loop import Loop
from ashcross.memory.book import RequestRecord
from ashcross.memory.buffers import BufferPool
from ashcross.wire import jsonrpc
from ashcross.wire.framing import FramingError
from ashcross.wire.statement import group_of_tables


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds of the clients' side."""

    connections: int
    open_per_connection: int
    body_bytes: int
    unsent_bytes: int  # of all clients together


class ClientLink(Protocol):
    """One client's connection."""

    transport: Any

    def __init__(self, clients: Clients) -> None:
        self._clients, self._loop = clients, clients.loop
        self._reader = jsonrpc.BodyReader(clients.pool, clients.limits.body_bytes)
        self.open: dict[int, RequestRecord] = {}
        self.unsent, self._paused, self._ended = 0, False, False
        self.used_us = clients.loop.clock()

    def connectionMade(self) -> None:
        """A client has come."""
        self.transport.setTcpNoDelay(True)
        # told when the buffer of what is not sent fills, to stop reading from a client that does not read
        self.transport.registerProducer(self, True)
        self._clients.came(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The client has gone, and with it what it had asked for."""
        self._ended = True
        self._reader.close()
        self._clients.went(self)
        for request in list(self.open.values()):
            self._loop.leave(request)
        self.open.clear()

    def close(self) -> None:
        """End the connection at once; what else came on it is not looked at."""
        self._ended = True
        self._clients.went(self)  # the reactor tells later; until then it would be chosen again to make room
        self.transport.abortConnection()

    def finish(self) -> None:
        """End the connection once what was written is sent."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    # ------------------------------------------------------- slow readers

    def pauseProducing(self) -> None:
        """What was written is not read: read no more from there."""
        self._paused = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """All that was written has been sent."""
        self._paused = False
        self._clients.unsent -= self.unsent
        self.unsent = 0
        if not self._ended:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """The connection ends."""

    def reply(self, ident: int, frame: bytes) -> None:
        """The answer to an open request."""
        self.open.pop(ident, None)
        self._write(frame)

    def _write(self, frame: bytes) -> None:
        if self._ended:
            return
        self.used_us = self._loop.clock()
        self.transport.write(frame)
        if self._paused:
            self.unsent += len(frame)
            self._clients.unsent += len(frame)
            self._clients.check_unsent()

    # -------------------------------------------------------------- calls

    def dataReceived(self, data: bytes) -> None:
        """Take in calls; bytes that cannot be parsed end this connection alone."""
        arrived_us = self._loop.arrived_us()
        self.used_us = arrived_us
        try:
            bodies = self._reader.feed(data)
        except FramingError as error:
            seldom.warn("client", f"{error}; its connection is closed")
            self.close()
            return
        for body in bodies:
            if self._ended:
                return
            try:
                self._called(body, arrived_us)
            except jsonrpc.CallError as error:
                self._refuse_call(error)
            except Exception as error:  # one call's fault costs this client alone
                seldom.warn("client", "a call cannot be handled; its connection is closed", error)
                self.close()
                return

    def _refuse_call(self, error: jsonrpc.CallError) -> None:
        if error.ident is None or error.ident in self.open:  # it cannot be named without doubt
            seldom.warn("client", f"a call cannot be used ({error}); its connection is closed")
            self.close()
        else:
            self._write(jsonrpc.error(error.ident, error.code, str(error)))

    def _called(self, body: bytes, arrived_us: int) -> None:
        call = jsonrpc.parse_call(body)
        if call.method == "abort":
            self._abort(call)
        elif call.ident is None:
            raise jsonrpc.CallError(jsonrpc.INVALID_REQUEST, "a query or ping without an id", None)
        elif call.ident in self.open:
            raise jsonrpc.CallError(jsonrpc.INVALID_REQUEST, "the id is open already", call.ident)
        elif call.method == "ping":
            self._write(jsonrpc.health(call.ident, self._clients.phases.well))
        else:
            self._query(call, call.ident, arrived_us)

    def _abort(self, call: jsonrpc.Call) -> None:
        """The request is named by its id, in the params or as the call's own, or by its transaction."""
        named = call.params.get("id", call.ident)
        request = self.open.get(named) if isinstance(named, int) else None
        if request is None:
            txn = call.params.get("txn")
            request = next((one for one in self.open.values() if one.txn == txn), None)
        if request is not None:  # else its answer crossed
            del self.open[request.ident]
            self._loop.leave(request)

    def _query(self, call: jsonrpc.Call, ident: int, arrived_us: int) -> None:
        index = self._clients.classes.get(call.method)
        if index is None:
            raise jsonrpc.CallError(jsonrpc.UNKNOWN_METHOD, "no such method", ident)
        query, book = jsonrpc.parse_query(call), self._loop.book
        if query.txn in book.requests:
            raise jsonrpc.CallError(jsonrpc.INVALID_PARAMS, "params.txn: open already", ident)
        if len(self.open) >= self._clients.limits.open_per_connection or book.full(len(query.statement)):
            self._write(jsonrpc.refusal(ident, 0))  # before the module: it never ran
            return
        tables = group_of_tables(query.statement.decode("utf-8", "replace"))
        self.open[ident] = self._loop.accept(self, ident, index, call.method, tables, query, arrived_us)


class Clients(Factory):
    """All connections from clients."""

    noisy = False

    def __init__(
        self, loop: Loop, phases: Phases, classes: dict[str, int], pool: BufferPool, limits: ClientLimits
    ) -> None:
        self.loop, self.phases, self.classes, self.pool, self.limits = loop, phases, classes, pool, limits
        self.links: dict[ClientLink, None] = {}
        self.unsent = 0

    def buildProtocol(self, addr: Any) -> ClientLink | None:
        """A link, unless all connections are in use by requests."""
        if len(self.links) >= self.limits.connections:
            idle = [link for link in self.links if not link.open]
            if not idle:
                seldom.warn("client", "too many connections; a new one is turned away")
                return None
            min(idle, key=lambda link: link.used_us).close()
        return ClientLink(self)

    def came(self, link: ClientLink) -> None:
        """Count a connection in."""
        self.links[link] = None

    def went(self, link: ClientLink) -> None:
        """And out."""
        self.links.pop(link, None)
        self.unsent -= link.unsent
        link.unsent = 0

    def check_unsent(self) -> None:
        """What clients do not read is bounded: beyond that the slowest loses its connection."""
        if self.unsent > self.limits.unsent_bytes:
            slowest = max(self.links, key=lambda link: link.unsent)
            seldom.warn("client", "answers that are not read fill their bound; a connection is closed")
            slowest.close()

    def written_out(self) -> bool:
        """Has every client that still reads been sent its answers?"""
        return not self.unsent
