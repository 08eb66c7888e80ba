"""Client connections over in-memory transports, to a dispatcher core with a scripted scheduler."""

from __future__ import annotations

from typing import Any

from twisted.internet.testing import MemoryReactorClock

from ashcross.protocols.clients import json_rpc
from ashcross.protocols.clients.connection import ClientConnection
from ashcross.protocols.clients.connection_manager import ClientConnectionManager
from ashcross.protocols.clients.limits import ClientConnectionLimits
from ashcross.registry.buffers import BufferPool
from ashcross.service.phases import Phase, Phases
from tests.harness.dispatcher_bed import REQUEST_ID, DispatcherBed
from tests.harness.memory_transport import MemoryTransport

KNOWN = json_rpc.KnownNames({"lookup": 0, "load": 1}, frozenset(("load",)), frozenset(("acme", "other")))


class ClientBed(DispatcherBed):
    """A dispatcher whose clients connect over in-memory transports."""

    def __init__(self, **limits: Any) -> None:
        super().__init__()
        all_limits = {
            "max_connections": 3,
            "max_open_requests": 4,
            "max_body_bytes": 2000,
            "max_unsent_bytes": 500,
            "buffer_bytes": 4096,
            "max_pooled_buffers": 40,
            "max_protocol_violations": 4,
            "max_idle_sweeps": 3,
            "idle_timeout_us": 5_000_000,
            "accepts_per_round": 8,
            "linger_timeout_s": 0.5,
            "max_discarded_bytes": 5_000,
            "max_lingering": 3,
        } | limits
        self.reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self.dispatcher.before_first_sweep = False  # clients that connect now have not waited since the start
        self.phases = Phases()
        self.phases.enter(Phase.SERVING)
        self.clients = ClientConnectionManager(
            self.reactor,
            self.dispatcher,
            self.phases,
            KNOWN,
            BufferPool(64, 8),
            ClientConnectionLimits(**all_limits),
        )

    def connect(self) -> tuple[ClientConnection, MemoryTransport]:
        """Connect a client; return its connection and transport."""
        connection, transport = self.clients.buildProtocol(None), MemoryTransport()
        assert connection is not None
        transport.protocol = connection
        connection.makeConnection(transport)  # type: ignore[no-untyped-call]
        return connection, transport


def query_call(
    call_id: int = 7, request_id: str = REQUEST_ID, method: str = "lookup", **params: Any
) -> bytes:
    """Encode a query as a client sends it."""
    return json_rpc.query(
        method, call_id, b"select * from sales_17.orders", {"txn": request_id, "limit": 1000} | params
    )


def read_answers(transport: MemoryTransport) -> list[json_rpc.Answer]:
    """Return the answers written since the previous call."""
    return [
        json_rpc.parse_answer(body)
        for body in json_rpc.BodyReader(BufferPool(64, 8), 99_999).feed(transport.take_written())
    ]
