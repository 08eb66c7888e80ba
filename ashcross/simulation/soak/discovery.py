"""Discovery of the soak: numbered events over server-sent events, with an address for each dispatcher."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import time
from dataclasses import dataclass, field
from typing import Any

from ashcross.simulation.soak.ledger import DrainNotice, Ledger

COMMENT_S = 1.0
OLD_CLOSES_S = 1.5  # after a move, until the old address closes its connections
TRICKLE_S = 0.02  # between two bytes of a slow event


@dataclass(eq=False)
class Watch:
    """One dispatcher's open call."""

    writer: asyncio.StreamWriter
    address: Address
    sent: int  # events written so far
    slow: bytes = b""  # what trickles


@dataclass(eq=False)
class Address:
    """Where one dispatcher calls; a move gives it another."""

    dispatcher: int
    server: asyncio.Server | None = None
    port: int = 0
    retired: bool = False
    mute: bool = False  # takes calls, says nothing
    trickles: bool = False  # writes its events byte by byte
    watches: set[Watch] = field(default_factory=set)


class Discovery:
    """The list of engines, and who hears of it."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.events: list[dict[str, Any]] = []
        self.news: dict[
            int, list[DrainNotice]
        ] = {}  # by number of the event, what it says of engines that drain
        self.entries: dict[str, dict[str, Any]] = {}
        self.addresses: list[Address] = []
        self.bytes_written = 0
        self._ticker: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to write comments and what is due."""
        self._ticker = asyncio.create_task(self._tick())

    async def open(self, dispatcher: int) -> Address:
        """A new address for a dispatcher; the one before tells nothing more."""
        for address in self.addresses:
            if address.dispatcher == dispatcher and not address.retired:
                self._retire(address)
        made = Address(dispatcher)
        made.server = await asyncio.start_server(
            lambda reader, writer: self._serve(made, reader, writer), "127.0.0.1", 0
        )
        made.port = made.server.sockets[0].getsockname()[1]
        self.addresses.append(made)
        return made

    def _retire(self, address: Address) -> None:
        address.retired = True
        if address.server is not None:
            address.server.close()
        asyncio.get_running_loop().call_later(OLD_CLOSES_S, self.cut, address)

    def current(self, dispatcher: int) -> Address:
        """The address that holds now."""
        return next(one for one in self.addresses if one.dispatcher == dispatcher and not one.retired)

    def cut(self, address: Address) -> None:
        """Break all calls there."""
        for watch in list(address.watches):
            watch.writer.transport.abort()
        address.watches.clear()

    def known(self) -> dict[str, Any]:
        """What a configuration of now holds."""
        return {"no": len(self.events), "items": list(self.events)}

    def tell(self, *names: str, whole: bool = False, **change: Any) -> None:
        """One more event on these engines."""
        now_s, number = time.monotonic(), len(self.events) + 1
        for name in names:
            self.entries[name] |= change
            if change.get("status") == "Ready":
                for news in self.ledger.drain_notices:
                    if news.engine == name and news.ready_again_s is None:
                        news.ready_again_s = now_s
            elif change.get("status") in ("Terminating", "Gone"):
                news = DrainNotice(name, now_s)
                self.ledger.drain_notices.append(news)
                self.news.setdefault(number, []).append(news)
        endpoints = [dict(self.entries[name]) for name in names]
        roster = {"index": number, "snapshot": whole, "endpoints": endpoints}
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
            if not address.mute:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            else:
                watch.slow = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
            self._write(watch)
            await reader.read()
            address.watches.discard(watch)
        writer.close()

    def _write_all(self) -> None:
        for address in self.addresses:
            for watch in list(address.watches):
                self._write(watch)

    def _write(self, watch: Watch) -> None:
        """Write what is new, unless nothing is said, or all of it slowly."""
        address = watch.address
        if address.retired or address.mute or watch.writer.is_closing():
            return
        if watch.slow and not address.trickles:
            watch.writer.write(watch.slow)
            watch.slow = b""
        for event in self.events[watch.sent :]:
            data = f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode()
            if address.trickles:
                watch.slow += data
                continue
            watch.writer.write(data)
            self.bytes_written += len(data)
            for news in self.news.get(event["no"], ()):
                news.delivered_s.setdefault(address.dispatcher, time.monotonic())
        watch.sent = len(self.events)

    async def _tick(self) -> None:
        comment_s = time.monotonic()
        while True:
            await asyncio.sleep(TRICKLE_S)
            due = time.monotonic() - comment_s >= COMMENT_S
            comment_s = time.monotonic() if due else comment_s
            for address in self.addresses:
                for watch in list(address.watches):
                    self._trickle(watch)
                    silent = address.mute or address.retired or watch.slow or watch.writer.is_closing()
                    if due and not silent:
                        watch.writer.write(b": here\n\n")

    def _trickle(self, watch: Watch) -> None:
        address = watch.address
        if watch.slow and not (address.mute or address.retired or watch.writer.is_closing()):
            if address.trickles:
                watch.writer.write(watch.slow[:1])
                watch.slow = watch.slow[1:]
            else:
                self._write(watch)

    def close(self) -> None:
        """End everything."""
        if self._ticker is not None:
            self._ticker.cancel()
        for address in self.addresses:
            self.cut(address)
            if address.server is not None:
                address.server.close()
