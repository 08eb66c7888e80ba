"""Service discovery of the soak: numbered server-sent events, with a separate address for each dispatcher."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import time
from dataclasses import dataclass, field
from typing import Any

from ashcross.simulation.soak.ledger import DrainNotice, Ledger

COMMENT_INTERVAL_S = 1.0
RETIRED_CLOSE_S = 1.5  # from a move until the previous address closes its connections
TRICKLE_INTERVAL_S = 0.02  # between two bytes of an event that is written slowly


@dataclass(eq=False)
class Watch:
    """One open watch of a dispatcher."""

    writer: asyncio.StreamWriter
    address: Address
    sent: int  # number of the last event written
    pending: bytes = b""  # bytes that are still to be written, one at a time


@dataclass(eq=False)
class Address:
    """An address that one dispatcher watches; a move replaces it by another."""

    dispatcher: int
    server: asyncio.Server | None = None
    port: int = 0
    retired: bool = False
    silent: bool = False  # accepts connections and writes nothing
    trickles: bool = False  # writes events byte by byte
    watches: set[Watch] = field(default_factory=set)


class Discovery:
    """The endpoint list, its events, and the watches to which they are written."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.events: list[dict[str, Any]] = []
        self.drain_notices: dict[int, list[DrainNotice]] = {}  # by the number of their event
        self.entries: dict[str, dict[str, Any]] = {}
        self.addresses: list[Address] = []
        self.bytes_written = 0
        self._ticker: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that writes comments and slow events."""
        self._ticker = asyncio.create_task(self._tick())

    async def open(self, dispatcher: int) -> Address:
        """Open a new address for a dispatcher; its previous address writes nothing more."""
        for address in self.addresses:
            if address.dispatcher == dispatcher and not address.retired:
                self._retire(address)
        opened = Address(dispatcher)
        opened.server = await asyncio.start_server(
            lambda reader, writer: self._serve(opened, reader, writer), "127.0.0.1", 0
        )
        opened.port = opened.server.sockets[0].getsockname()[1]
        self.addresses.append(opened)
        return opened

    def _retire(self, address: Address) -> None:
        address.retired = True
        if address.server is not None:
            address.server.close()
        asyncio.get_running_loop().call_later(RETIRED_CLOSE_S, self.abort_watches, address)

    def current_address(self, dispatcher: int) -> Address:
        """Return the address that a dispatcher's configuration names now."""
        return next(
            address for address in self.addresses if address.dispatcher == dispatcher and not address.retired
        )

    def abort_watches(self, address: Address) -> None:
        """Reset all watches of an address."""
        for watch in list(address.watches):
            watch.writer.transport.abort()
        address.watches.clear()

    def known(self) -> dict[str, Any]:
        """Return the value of a configuration's key `known` as of now."""
        return {"no": len(self.events), "items": list(self.events)}

    def publish(self, *names: str, is_snapshot: bool = False, **change: Any) -> None:
        """Change the entries of these engines, record drain notices, and write one event with the entries."""
        now_s, number = time.monotonic(), len(self.events) + 1
        for name in names:
            self.entries[name] |= change
            if change.get("status") == "Ready":
                for notice in self.ledger.drain_notices:
                    if notice.engine == name and notice.ready_again_s is None:
                        notice.ready_again_s = now_s
            elif change.get("status") in ("Terminating", "Gone"):
                notice = DrainNotice(name, now_s)
                self.ledger.drain_notices.append(notice)
                self.drain_notices.setdefault(number, []).append(notice)
        endpoints = [dict(self.entries[name]) for name in names]
        roster = {"index": number, "snapshot": is_snapshot, "endpoints": endpoints}
        self.events.append({"no": number, "roster": roster})
        self._write_all()

    async def _serve(
        self, address: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            match = re.search(rb"(?i)last-event-id:\s*(\d+)", head)
            watch = Watch(writer, address, int(match.group(1)) if match else 0)
            address.watches.add(watch)
            if not address.silent:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            else:
                watch.pending = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
            self._write(watch)
            await reader.read()
            address.watches.discard(watch)
        writer.close()

    def _write_all(self) -> None:
        for address in self.addresses:
            for watch in list(address.watches):
                self._write(watch)

    def _write(self, watch: Watch) -> None:
        """Write the new events, or queue them byte by byte; a silent or retired address writes nothing."""
        address = watch.address
        if address.retired or address.silent or watch.writer.is_closing():
            return
        if watch.pending and not address.trickles:
            watch.writer.write(watch.pending)
            watch.pending = b""
        for event in self.events[watch.sent :]:
            data = f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode()
            if address.trickles:
                watch.pending += data
                continue
            watch.writer.write(data)
            self.bytes_written += len(data)
            for notice in self.drain_notices.get(event["no"], ()):
                notice.delivered_s.setdefault(address.dispatcher, time.monotonic())
        watch.sent = len(self.events)

    async def _tick(self) -> None:
        last_comment_s = time.monotonic()
        while True:
            await asyncio.sleep(TRICKLE_INTERVAL_S)
            comment_due = time.monotonic() - last_comment_s >= COMMENT_INTERVAL_S
            last_comment_s = time.monotonic() if comment_due else last_comment_s
            for address in self.addresses:
                for watch in list(address.watches):
                    self._trickle(watch)
                    skips_comment = (
                        address.silent or address.retired or watch.pending or watch.writer.is_closing()
                    )
                    if comment_due and not skips_comment:
                        watch.writer.write(b": here\n\n")

    def _trickle(self, watch: Watch) -> None:
        address = watch.address
        if watch.pending and not (address.silent or address.retired or watch.writer.is_closing()):
            if address.trickles:
                watch.writer.write(watch.pending[:1])
                watch.pending = watch.pending[1:]
            else:
                self._write(watch)

    def close(self) -> None:
        """Stop the task, and close all watches and addresses."""
        if self._ticker is not None:
            self._ticker.cancel()
        for address in self.addresses:
            self.abort_watches(address)
            if address.server is not None:
                address.server.close()
