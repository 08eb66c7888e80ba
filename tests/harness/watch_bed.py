"""The watch of the endpoint list over in-memory transports."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from ashcross.protocols.discovery.watch import EndpointListWatch, WatchLimits
from ashcross.registry.buffers import BufferPool
from ashcross.registry.endpoint_registry import EndpointListEvent
from tests.harness.memory_transport import CONNECTION_REFUSED, MemoryTransport


class WatchBed:
    """A watch on a manual clock that requests the events after `last_event_number`."""

    def __init__(self, last_event_number: int = 3, **limits: float) -> None:
        self.events: list[EndpointListEvent] = []
        self.freshness_changes: list[bool] = []
        self.reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        watch_limits = WatchLimits(4000, 3.5, 0.25, 0.1, 2.0, 1.0, **limits)
        address, pool = ("127.0.0.1", 8500), BufferPool(64, 8)
        self.watch = EndpointListWatch(
            self.reactor,
            address,
            last_event_number,
            self.events.append,
            pool,
            watch_limits,
            self.freshness_changes.append,
        )
        self.watch.start()
        self.dial_count = 0

    def connect(self, answer: bytes = b"HTTP/1.1 200 OK\r\n\r\n: hi\n\n") -> tuple[Any, MemoryTransport, int]:
        """Complete the next dial; return the connection, its transport and the last event number it sends."""
        factory = self.reactor.tcpClients[self.dial_count][2]
        self.dial_count += 1
        connection, transport = factory.buildProtocol(None), MemoryTransport()
        connection.makeConnection(transport)
        request = transport.take_written()
        last_event = int(request.partition(b"Last-Event-ID: ")[2].split(b"\r\n")[0])
        if answer:
            connection.dataReceived(answer)
        return connection._wrappedProtocol, transport, last_event

    def refuse_connection(self) -> None:
        """Refuse the next dial."""
        factory = self.reactor.tcpClients[self.dial_count][2]
        self.dial_count += 1
        factory.clientConnectionFailed(None, CONNECTION_REFUSED)

    def event_numbers(self) -> list[int]:
        """Return the numbers of the delivered events."""
        return [event.event_number for event in self.events]


def event_bytes(number: int, is_snapshot: bool = False, name: str = "e1", status: str = "Ready") -> bytes:
    """Encode an event with one engine as the discovery service sends it."""
    endpoint = {"name": name, "address": "127.0.0.1:1", "status": status}
    data = {"no": number, "roster": {"index": number, "snapshot": is_snapshot, "endpoints": [endpoint]}}
    return f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()
