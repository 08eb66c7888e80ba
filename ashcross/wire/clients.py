"""Connections from clients: JSON-RPC, up to a number of open requests on each, answers in any order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from ashcross.logs import seldom
from ashcross.memory.book import RequestRecord
from ashcross.memory.buffers import BufferPool
from ashcross.wire import jsonrpc
from ashcross.wire.framing import FramingError
from ashcross.wire.hosting import Asked, ClientHost, Health
from ashcross.wire.statement import group_of_tables, table_of

FRESH_LOOKS = 2  # sweeps that a connection has seen once it could have been read for sure


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds of the clients' side."""

    connections: int
    open_per_connection: int
    body_bytes: int
    unsent_bytes: int  # of all clients together
    link_buffer_bytes: int  # read at once from one connection, and written ahead of its reader
    waiting_buffers: int  # pooled buffers that hold what has not come whole, of everybody together
    strikes: int  # calls that cannot be used, or are over a bound, until the connection is ended
    silent_looks: int  # sweeps after which a connection that has not sent one whole call is ended
    idle_us: int  # after which a connection on which nothing is open is ended
    accepts: int  # connections taken at once before other sockets have their turn
    linger_s: float  # how long an ended connection may take to read what was written


class ClientLink(Protocol):
    """One client's connection."""

    transport: Any

    def __init__(self, clients: Clients) -> None:
        self._clients, self._loop = clients, clients.loop
        self.reader = jsonrpc.BodyReader(clients.pool, clients.limits.body_bytes)
        self.open: dict[int, RequestRecord] = {}
        self.unsent, self._paused, self._ended = 0, False, False
        # since when bytes may lie in the kernel that were not read
        self._unread_us = clients.loop.opened_us if clients.loop.fresh else None
        self._looks_due = 0  # looks at the sockets until none of those lies there any more
        self.parting = False  # reads nothing more, and is closed once nothing is open on it
        self.calls = self.strikes = 0
        self._calls_seen = self.looks = 0
        self.used_us = clients.loop.clock()

    def connectionMade(self) -> None:
        """A client has come."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = self._clients.limits.link_buffer_bytes
        # told when the buffer of what is not sent fills, to stop reading from a client that does not read
        self.transport.registerProducer(self, True)
        self._clients.came(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The client has gone, and with it what it had asked for."""
        self._ended = True
        self.reader.close()
        self._clients.went(self)
        for request in list(self.open.values()):
            self._loop.leave(request)
        self.open.clear()

    def close(self) -> None:
        """End the connection at once; what was written and not sent yet is lost."""
        self._ended = True
        self.reader.close()
        self._clients.went(self)  # the reactor tells later; until then it would be chosen again to make room
        self.transport.abortConnection()

    def finish(self) -> None:
        """End the connection once what was written is sent, or the time for that is up."""
        if self._ended:
            return
        self._ended = True
        self.reader.close()
        self._clients.went(self)
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._clients.later(self._clients.limits.linger_s, self._abort_transport)

    def _abort_transport(self) -> None:
        if self.transport.connected:
            self.transport.abortConnection()

    def part(self) -> None:
        """Read nothing more from here; what is open gets its answers, and then the connection ends."""
        self.parting = True
        self.reader.close()
        if self.open:
            self.transport.pauseProducing()
        else:
            self.finish()

    def give_way(self) -> None:
        """Make room for another: what is open here is failed, as nothing may end without an answer."""
        for request in list(self.open.values()):
            self._loop.turn_out(request)
        self.finish()

    # ------------------------------------------------------- slow readers

    def pauseProducing(self) -> None:
        """What was written is not read: read no more from there."""
        self._paused = True
        if self._unread_us is None:
            self._unread_us = self._loop.clock()
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """All that was written has been sent."""
        self._paused = False
        self._clients.unsent -= self.unsent
        self.unsent = 0
        if not self._ended and not self.parting:
            self.transport.resumeProducing()
            self._expect_unread()

    def _expect_unread(self) -> None:
        """What lay unread is read by the next look at the sockets; what comes after that has just come."""
        self._looks_due += 1
        self._clients.later(0, self._clients.later, 0, self._read_out)

    def _read_out(self) -> None:
        self._looks_due -= 1
        if not self._looks_due and not self._paused:
            self._unread_us = None

    def stopProducing(self) -> None:
        """The connection ends."""

    def reply(self, ident: int, frame: bytes) -> None:
        """The answer to an open request."""
        self.open.pop(ident, None)
        self._write(frame)
        if self.parting and not self.open:
            self.finish()

    def _write(self, frame: bytes) -> None:
        if self._ended:
            return
        self._clients.used(self)
        self.transport.write(frame)
        if self._paused:
            self.unsent += len(frame)
            self._clients.unsent += len(frame)
            self._clients.check_unsent()

    # -------------------------------------------------------------- calls

    def dataReceived(self, data: bytes) -> None:
        """Take in calls; bytes that cannot be parsed end this connection alone."""
        if self._ended or self.parting:
            return
        arrived_us = self._loop.arrived_us()
        if self._unread_us is not None:  # it came at any time since we stopped reading here
            arrived_us = min(arrived_us, self._unread_us)
            if not self._paused:
                self._expect_unread()  # perhaps that was not all of it
        try:
            for body in self.reader.feed(data):
                self._clients.used(self)
                self._take(body, arrived_us)
                if self._ended or self.parting:
                    return
        except FramingError as error:  # where the next call begins cannot be known any more
            self._unusable(
                jsonrpc.CallError(jsonrpc.INVALID_REQUEST, None, error.place, error.wanted, error.found)
            )
            self.part()
            return
        self._clients.check_waiting()

    def _take(self, body: bytes, arrived_us: int) -> None:
        try:
            self._called(body, arrived_us)
            self.calls += 1
            self._clients.silent.pop(self, None)
        except jsonrpc.CallError as error:
            self._unusable(error)
            if error.ident is None or self.strikes >= self._clients.limits.strikes:
                self.part()
        except Exception as error:  # one call's fault costs this client alone
            seldom.warn("client", "a call cannot be handled; its connection is ended", error)
            self.part()

    def _unusable(self, error: jsonrpc.CallError) -> None:
        """The error goes out at once; under no id where the call cannot be named without doubt."""
        seldom.warn("client", f"a call cannot be used: {error}")
        self._strike()
        # an error under an id that is open would be the answer of the request that has it
        ident = None if error.ident in self.open else error.ident
        self._write(jsonrpc.error(ident, error.code, error.told()))

    def _strike(self) -> None:
        self.strikes += 1
        if self in self._clients.links:
            self._clients.rude[self] = None

    def _called(self, body: bytes, arrived_us: int) -> None:
        call = jsonrpc.parse_call(body)
        if call.method == "abort":
            self._abort(call)
        elif call.ident is None:
            raise jsonrpc.CallError(jsonrpc.INVALID_REQUEST, None, "id", "one, for a query or ping", "none")
        elif call.ident in self.open:
            raise jsonrpc.CallError(
                jsonrpc.INVALID_REQUEST, None, "id", "one that is not open", "one that is"
            )
        elif call.method == "ping":
            self._write(jsonrpc.health(call.ident, self._clients.phases.well))
        else:
            self._query(call, call.ident, arrived_us)

    def _abort(self, call: jsonrpc.Call) -> None:
        """The request is named by its id, in the params or as the call's own, or by its transaction."""
        named = call.params.get("id", call.ident)
        request = self.open.get(named) if type(named) is int else None
        if request is None:
            txn = call.params.get("txn")
            request = next((one for one in self.open.values() if one.txn == txn), None)
        if request is not None:  # else its answer crossed
            del self.open[request.ident]
            self._loop.leave(request)

    def _query(self, call: jsonrpc.Call, ident: int, arrived_us: int) -> None:
        query, book = jsonrpc.parse_query(call, self._clients.known), self._loop.book
        if query.txn in book.requests:
            raise jsonrpc.CallError(
                jsonrpc.INVALID_PARAMS, ident, "params.txn", "one that is not open", "one that is"
            )
        crowded = len(self.open) >= self._clients.limits.open_per_connection
        if crowded or book.full(len(query.statement)):
            self._write(jsonrpc.refusal(ident, 0))  # before the module: it never ran
            if crowded:  # no usual client asks for so many at once
                self._strike()
            if self.strikes >= self._clients.limits.strikes:
                self.part()
            return
        known, text = self._clients.known, query.statement.decode()
        key = table_of(text) if call.method in known.in_turn else None
        asked = Asked(known.classes[call.method], call.method, group_of_tables(text), key)
        request = self.open[ident] = self._loop.accept(self, ident, asked, query, arrived_us)
        if self._loop.gate is not None:
            self._loop.gate.offer(request, query.team)

    @property
    def unread(self) -> bool:
        """May a request lie in the kernel that was taken and not read yet?"""
        return self._unread_us is not None

    def look(self, now: int) -> None:
        """Called by each sweep: a connection that says nothing, stops half-way or rests for long is ended."""
        if self.open or self._ended or self.parting:
            self.looks = 0
            return
        self.looks = self.looks + 1 if self.calls == self._calls_seen else 0
        self._calls_seen = self.calls
        limits = self._clients.limits
        # looks are counted, not time: if this process stood still, a whole call may lie there unread
        mute = self.looks >= limits.silent_looks and (not self.calls or self.reader.waiting)
        if mute or now - self.used_us >= limits.idle_us:
            self.finish()


class Clients(Factory):
    """All connections from clients."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        loop: ClientHost,
        phases: Health,
        known: jsonrpc.Known,
        pool: BufferPool,
        limits: ClientLimits,
    ) -> None:
        self.later = reactor.callLater
        self.loop, self.phases, self.known, self.pool, self.limits = loop, phases, known, pool, limits
        self.links: dict[ClientLink, None] = {}  # that used longest ago first
        self.silent: dict[ClientLink, None] = {}  # those without a whole call, that came first first
        self.rude: dict[ClientLink, None] = {}  # those with strikes
        self.unsent = 0
        self._port: Any = None
        self._accepting = False

    def buildProtocol(self, addr: Any) -> ClientLink | None:
        """A link, unless all connections are in use by requests of clients that keep to the form."""
        if not self._accepting:
            self._accepting = True
            self.later(0, self._accepted)
        if len(self.links) >= self.limits.connections:
            leaves = self._dispensable()
            if leaves is None:
                seldom.warn("client", "too many connections; a new one is turned away")
                return None
            leaves.give_way()
        return ClientLink(self)

    def listens(self, port: Any) -> None:
        """Connections come from this port, a few at once.

        Twisted begins with 100 and takes ever more in a flood, faster than those that make room can be
        closed: descriptors would run out.
        """
        self._port = port
        port.numberAccepts = self.limits.accepts

    def _accepted(self) -> None:
        """A round of accepts is over, and Twisted has set another number for the next."""
        self._accepting = False
        if self._port is not None:
            self._port.numberAccepts = self.limits.accepts

    def _dispensable(self) -> ClientLink | None:
        """Who makes room: rude clients first, then the silent, then who has rested for longest.

        Of a fresh connection nothing is known: its call may not have been read yet. It goes last. One that
        is not read because its client takes its answers slowly makes no room: a request that was taken may
        lie there unread, and would be lost with it. So it may on each of them right after a standstill.
        """
        if self.rude:
            return next(iter(self.rude))
        oldest = next(iter(self.silent), None)
        if oldest is not None and oldest.looks >= FRESH_LOOKS:
            return oldest
        self.loop.arrived_us()
        if self.loop.stood_still:
            return oldest
        rested = (link for link in self.links if link.calls and not link.open and not link.unread)
        return next(rested, oldest)

    def came(self, link: ClientLink) -> None:
        """Count a connection in."""
        self.links[link] = self.silent[link] = None

    def used(self, link: ClientLink) -> None:
        """Something went over it now."""
        link.used_us = self.loop.clock()
        if link in self.links:
            del self.links[link]
            self.links[link] = None

    def went(self, link: ClientLink) -> None:
        """And out."""
        for group in (self.links, self.silent, self.rude):
            group.pop(link, None)
        self.unsent -= link.unsent
        link.unsent = 0

    def check_unsent(self) -> None:
        """What clients do not read is bounded: beyond that the slowest loses its connection."""
        if self.unsent > self.limits.unsent_bytes:
            slowest = max(self.links, key=lambda link: link.unsent)
            seldom.warn("client", "answers that are not read fill their bound; a connection is closed")
            slowest.close()

    def check_waiting(self) -> None:
        """So is what has not come whole: beyond that who holds most of it loses its connection."""
        while self.pool.lent > self.limits.waiting_buffers:
            largest = max(self.links, key=lambda link: link.reader.waiting, default=None)
            if largest is None or not largest.reader.waiting:
                return  # it is the engines' answers
            seldom.warn("client", "calls that are not whole fill their bound; a connection is ended")
            largest.part()

    def sweep(self) -> None:
        """Look at each connection."""
        now = self.loop.clock()
        for link in list(self.links):
            link.look(now)

    def written_out(self) -> bool:
        """Has every client that still reads been sent its answers?"""
        return not self.unsent
