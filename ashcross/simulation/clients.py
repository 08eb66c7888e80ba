"""Emulated clients: some keep to the protocol, retry, leave and stall, others send malformed calls."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ashcross.simulation.clock import Timeline
from ashcross.simulation.emulated_engines import result_rows
from ashcross.simulation.invariant_checker import REFUSED, ClientRequest, Incarnation, InvariantChecker
from ashcross.simulation.network import Address, End, Network
from ashcross.simulation.scenario import Request, Settings
from ashcross.simulation.wire_codec import (
    BufferedWriter,
    JsonRpcReader,
    Unreadable,
    encode_call,
    encode_frame,
    encode_statement,
)

IDLE_CLOSE_US = 4_000_000  # clients close connections that have been idle for longer
MAX_OPEN_REQUESTS = 32  # on one connection of a client
MALFORMED_CALL_WAIT_US = 3_000_000  # within which a dispatcher has to answer a malformed call or close
# What clients send that do not keep to the protocol: bytes, headers, parameters or classes that are invalid.
MALFORMED_CALLS: tuple[bytes, ...] = (
    b"\x00\xfe what is this\r\n\r\n",
    b"Content-Length: 99999999999\r\n\r\n{}",
    b"Content-Length: -5\r\n\r\n{}",
    b"Content-Length: 40\r\n\r\n{",
    encode_call(
        "lookup", None, {"txn": "00000000000000aa", "limit": 500, "body": encode_statement("select 1")}
    ),
    encode_call(
        "no-such-class", 3, {"txn": "00000000000000ab", "limit": 500, "body": encode_statement("select 1")}
    ),
    encode_call(
        "lookup",
        4,
        {"txn": "00000000000000ac", "limit": float("1e300"), "body": encode_statement("select 1")},
    ),
    encode_call("lookup", 5, {"txn": "00000000000000ad", "limit": 500, "body": "%%%"}),
    encode_frame({"jsonrpc": "2.0", "id": 6, "method": "lookup", "params": [1, 2]}),
)


class LoadBalancer(Protocol):
    """Distributes clients over dispatchers."""

    def choose(self, preferred: int) -> Incarnation | None:
        """Return the preferred dispatcher's incarnation, or another's while the preferred one is left out."""


@dataclass(eq=False, slots=True)
class ClientConnection:
    """One connection of a client."""

    end: End
    writer: BufferedWriter
    incarnation: Incarnation
    answer_reader: JsonRpcReader = field(default_factory=JsonRpcReader)
    open_requests: dict[int, ClientRequest] = field(default_factory=dict)
    waiting: list[Callable[[], None]] = field(default_factory=list)  # calls to make once it is open
    call_id: int = 0
    last_used_us: int = 0
    stalled: bool = False  # the client reads nothing
    stalled_until_us: int = 0
    mid_call: bool = False  # half a call has been written, and nothing may come before its rest


@dataclass(eq=False, slots=True)
class Query:
    """One query of a client, across its retries."""

    request: Request
    statement: str
    idempotency_key: str
    started_us: int
    sends: int = 0


class ClientPopulation:
    """All clients of a world."""

    def __init__(
        self,
        network: Network,
        timeline: Timeline,
        checker: InvariantChecker,
        settings: Settings,
        load_balancer: LoadBalancer,
        seed: int,
    ) -> None:
        self._network, self._timeline, self._checker = network, timeline, checker
        self._settings, self._load_balancer = settings, load_balancer
        self._random = random.Random(seed)
        self.connections: dict[tuple[int, Address], list[ClientConnection]] = {}
        self._queries: dict[str, Query] = {}
        self._serial = 0
        self.sent = 0  # number of requests
        self.no_retries_after_us = 1 << 62

    def stalled(self, end: End, since_us: int) -> bool:
        """Return whether the client at this end has not read its answers at some time since `since_us`."""
        return any(
            connection.stalled or connection.stalled_until_us >= since_us
            for connections in self.connections.values()
            for connection in connections
            if connection.end is end
        )

    def start_query(self, request: Request) -> None:
        """Send a client's query, and later its retries."""
        self._serial += 1
        class_spec = self._settings.classes[request.klass]
        statement = (
            f"select * from s{self._serial}_{request.tables}.t where k = {self._serial} "
            f"/* lab work={request.work_ms} rows={request.rows} */"
        )
        if request.pad:
            statement += f" /* {'x' * request.pad} */"
        if class_spec.in_turn:  # such queries are ordered by their table, so they all have the same schema
            statement = statement.replace(f"s{self._serial}_", "s_", 1)
        idempotency_key = f"{self._serial:032x}" if class_spec.effect == "dedup" else ""
        self._send_query(Query(request, statement, idempotency_key, self._timeline.now_us))

    def _send_query(self, query: Query) -> None:
        incarnation = self._load_balancer.choose(query.request.dispatcher + query.sends)
        if incarnation is None:
            return
        query.sends += 1
        client_and_address = (query.request.client, incarnation.address)
        connections = self.connections.setdefault(client_and_address, [])
        connection = (
            next((connection for connection in connections if self._usable(connection)), None)
            if query.request.way != "fresh"
            else None
        )
        if connection is None:
            connection = self._connect(query.request.client, incarnation)
        if connection.end.connected:
            self._send_on(connection, query)
        else:
            connection.waiting.append(lambda: self._send_on(connection, query))

    def _usable(self, connection: ClientConnection) -> bool:
        end = connection.end
        return (
            not (end.closed or end.error or end.eof or connection.mid_call)
            and len(connection.open_requests) < MAX_OPEN_REQUESTS
        )

    def _connect(self, client: int, incarnation: Incarnation) -> ClientConnection:
        end = self._network.connect(
            f"10.3.0.{client % 250}", incarnation.address, lambda end: self._receive(connection)
        )
        connection = ClientConnection(
            end, BufferedWriter(end), incarnation, last_used_us=self._timeline.now_us
        )
        self.connections.setdefault((client, incarnation.address), []).append(connection)
        return connection

    def _send_on(self, connection: ClientConnection, query: Query) -> None:
        request, class_spec = query.request, self._settings.classes[query.request.klass]
        if not self._usable(connection):
            self._retry_unsent(query)
            return
        connection.call_id += 1
        self.sent += 1
        request_id = f"{self._random.getrandbits(64):016x}"
        params: dict[str, Any] = {
            "txn": request_id,
            "limit": request.limit_ms,
            "cpu": request.work_ms * request.estimate,
            "memory": request.memory_mb,
            "body": encode_statement(query.statement),
        }
        if request.team:
            params["team"] = request.team
        if query.idempotency_key:
            params["unique"] = query.idempotency_key
        if query.sends > 1:
            params["second"] = "1"
        statement = query.statement.encode()
        ordering_key = f"s_{request.tables}.t" if class_spec.in_turn else ""
        # After a kill the next incarnation may have accepted a connection that was requested before the kill.
        connection.incarnation = self._checker.incarnations.get(
            connection.incarnation.address, connection.incarnation
        )
        client_request = ClientRequest(
            request_id,
            connection.call_id,
            class_spec,
            self,
            connection.end,
            connection.incarnation,
            statement,
            query.idempotency_key,
            ordering_key,
            request.limit_ms * 1000,
            result_rows(query.statement),
        )
        connection.open_requests[connection.call_id] = client_request
        connection.last_used_us = self._timeline.now_us
        self._checker.request_written(client_request)
        self._queries[request_id] = query
        data, delay_us = encode_call(class_spec.name, connection.call_id, params), request.way_ms * 1000
        self._checker.note(
            f"client {request.client} -> {connection.incarnation.name}: "
            f"{class_spec.name} {request_id} ({request.way})"
        )

        def on_arrival() -> None:
            self._checker.request_arrived(client_request)

        if request.way == "half":
            connection.writer.write(data[: len(data) // 2])
            connection.mid_call = True
            self._timeline.after(delay_us, self._write_rest, connection, data[len(data) // 2 :], on_arrival)
        else:
            connection.writer.write(data, on_arrival)
        if request.way == "abort":
            self._timeline.after(delay_us, self._abort, connection, client_request)
        elif request.way == "leave":
            self._timeline.after(delay_us, self._leave, connection)
        elif request.way == "stall":
            connection.stalled = True
            self._timeline.after(delay_us, self._read_again, connection)
        self._timeline.after(request.limit_ms * 1000 + 1_000_000, self._give_up, connection, client_request)

    def _write_rest(self, connection: ClientConnection, rest: bytes, on_arrival: Callable[[], None]) -> None:
        connection.mid_call = False
        connection.writer.write(rest, on_arrival)

    def _abort(self, connection: ClientConnection, client_request: ClientRequest) -> None:
        if connection.mid_call:
            self._timeline.after(50_000, self._abort, connection, client_request)
        elif client_request.call_id in connection.open_requests and not connection.end.closed:
            connection.writer.write(
                encode_call("abort", None, {"id": client_request.call_id}),
                lambda: self._checker.client_departure_arrived(client_request),
            )
            del connection.open_requests[client_request.call_id]
            self._checker.client_left(client_request)

    def _leave(self, connection: ClientConnection) -> None:
        for client_request in connection.open_requests.values():
            self._checker.client_left(client_request)
        connection.open_requests.clear()
        connection.end.close(reset=self._random.random() < 0.3)

    def _read_again(self, connection: ClientConnection) -> None:
        connection.stalled, connection.stalled_until_us = False, self._timeline.now_us
        if not connection.end.closed:
            self._receive(connection)

    def _give_up(self, connection: ClientConnection, client_request: ClientRequest) -> None:
        if connection.open_requests.pop(client_request.call_id, None) is not None:
            self._checker.client_left(client_request)

    def _receive(self, connection: ClientConnection) -> None:
        end = connection.end
        if connection.waiting and (end.connected or end.error):
            waiting, connection.waiting = connection.waiting, []
            for callback in waiting:
                callback()
        if connection.stalled or end.closed:
            return
        try:
            for content in connection.answer_reader.feed(end.read()):
                self._answer_received(connection, content)
        except Unreadable as error:
            self._checker.report_violation("answered", f"a client received malformed bytes: {error}")
        if end.error or end.eof:
            unanswered = list(connection.open_requests.values())
            connection.open_requests.clear()
            end.close()
            for client_request in unanswered:
                self._answer_lost(client_request)
            return
        connection.writer.flush()

    def _answer_received(self, connection: ClientConnection, content: dict[str, Any]) -> None:
        client_request = connection.open_requests.pop(content.get("id") or 0, None)
        connection.last_used_us = self._timeline.now_us
        if client_request is None:
            return
        error = content.get("error")
        if error is not None:
            refused = error.get("code") == REFUSED
            later_ms = (error.get("data") or {}).get("later", 0)
            self._retry(client_request, refused, later_ms * 1000 + self._random.randrange(20_000, 300_000))

    def _answer_lost(self, client_request: ClientRequest) -> None:
        """Take in that the connection has ended without an answer to this request."""
        self._checker.client_left(client_request)
        self._retry(client_request, False, self._random.randrange(20_000, 300_000))

    def _retry(self, client_request: ClientRequest, refused: bool, wait_us: int) -> None:
        """Send the query again if that is harmless, as the protocol tells clients to do."""
        query = self._queries.pop(client_request.request_id, None)
        if (
            query is None
            or query.sends > query.request.retries
            or self._timeline.now_us > self.no_retries_after_us
        ):
            return
        class_spec, now_us = client_request.class_spec, self._timeline.now_us
        harmless = refused or class_spec.effect == "retryable"
        if class_spec.effect == "dedup":
            # The whole repeat must end within the window. Without a rejection an engine may have run the
            # query, and the repeat is dropped wherever it goes only if all engines share one group.
            ends_us = now_us + wait_us + query.request.limit_ms * 1000
            within_window = ends_us - query.started_us < class_spec.window_ms * 1000
            harmless = within_window and (refused or class_spec.group == "all")
        if harmless:
            self._timeline.after(wait_us, self._send_query, query)

    def _retry_unsent(self, query: Query) -> None:
        if query.sends <= 3:
            self._timeline.after(200_000, self._send_query, query)

    def sweep(self) -> None:
        """Close connections that have been idle for longer than `IDLE_CLOSE_US`."""
        now_us = self._timeline.now_us
        for connections in self.connections.values():
            for connection in list(connections):
                if connection.end.closed:
                    connections.remove(connection)
                elif (
                    not connection.open_requests
                    and not connection.waiting
                    and now_us - connection.last_used_us > IDLE_CLOSE_US
                ):
                    connection.end.close()

    def send_malformed_call(
        self, incarnation: Incarnation, call_index: int, random_source: random.Random
    ) -> None:
        """Send a malformed call from a new client.

        The dispatcher must answer it or close the connection within `MALFORMED_CALL_WAIT_US`, and must not
        serve it.
        """
        payload = MALFORMED_CALLS[call_index % len(MALFORMED_CALLS)]

        def send_when_connected(end: End) -> None:
            if end.connected and not sent:
                sent.append(True)
                writer.write(payload)
                self._timeline.after(MALFORMED_CALL_WAIT_US, check_reaction)

        def check_reaction() -> None:
            silent = not (end.received or end.eof or end.error)
            running = (
                not incarnation.ended_by
                and not incarnation.paused
                and self._timeline.now_us - incarnation.resumed_us > MALFORMED_CALL_WAIT_US
            )
            if silent and running:
                self._checker.report_violation(
                    "answered",
                    f"{incarnation.name} neither answered malformed call {call_index} nor closed within 3 s",
                )
            if b'"result"' in end.received:
                self._checker.report_violation(
                    "answered", f"{incarnation.name} served malformed call {call_index}"
                )
            end.close()

        sent: list[bool] = []
        end = self._network.connect("10.3.9.9", incarnation.address, send_when_connected)
        writer = BufferedWriter(end)

    def open_idle_connections(self, incarnation: Incarnation, count: int, for_us: int) -> None:
        """Open connections that send nothing, and close them after `for_us`."""
        ends = [
            self._network.connect("10.3.8.8", incarnation.address, lambda end: None) for _ in range(count)
        ]

        def close_all() -> None:
            for end in ends:
                end.close()

        self._timeline.after(for_us, close_all)

    def open_half_calls(self, incarnation: Incarnation, count: int, for_us: int) -> None:
        """Open connections that send half a call each, and close them after `for_us`."""
        call = encode_call(self._settings.classes[0].name, 1, {"txn": "0" * 16, "body": "x" * 1_000})

        def send_half(end: End) -> None:
            if end.connected and end not in started:
                started[end] = BufferedWriter(end)
                started[end].write(call[: len(call) // 2])

        def close_all() -> None:
            for end in ends:
                end.close()

        started: dict[End, BufferedWriter] = {}
        ends = [self._network.connect("10.3.7.7", incarnation.address, send_half) for _ in range(count)]
        self._timeline.after(for_us, close_all)
