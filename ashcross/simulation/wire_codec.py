"""Codecs of the invariant checker and the emulated parties, written apart from the program's own.

A reader that shared its code with the program would not notice the program's mistakes.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable, Iterator
from typing import Any

from ashcross.errors import AshcrossError, shown
from ashcross.simulation.network import End


class Unreadable(AshcrossError):
    """Malformed bytes that the program wrote."""

    remedy = "this is a defect of the program: keep the seed as a script and look at the bytes it wrote"


class RespReader:
    """Parses RESP arrays of bulk strings, each with the time of its first byte (us)."""

    def __init__(self) -> None:
        self._unread, self._first_byte_us = bytearray(), 0

    def feed(self, data: bytes, now_us: int) -> Iterator[tuple[int, list[bytes]]]:
        """Take bytes in and yield the arrays that are complete.

        Raises Unreadable for bytes that are no such array.
        """
        if not self._unread:
            self._first_byte_us = now_us
        self._unread += data
        while self._unread:
            parsed = self._array()
            if parsed is None:
                return
            size, parts = parsed
            del self._unread[:size]
            yield self._first_byte_us, parts
            self._first_byte_us = now_us

    def _array(self) -> tuple[int, list[bytes]] | None:
        head = self._line(0, b"*")
        if head is None:
            return None
        count, offset = head
        parts = []
        for _ in range(count):
            head = self._line(offset, b"$")
            if head is None:
                return None
            length, offset = head
            if len(self._unread) < offset + length + 2:
                return None
            parts.append(bytes(self._unread[offset : offset + length]))
            offset += length + 2
        return offset, parts

    def _line(self, offset: int, mark: bytes) -> tuple[int, int] | None:
        end = self._unread.find(b"\r\n", offset)
        if end < 0:
            return None
        if self._unread[offset : offset + 1] != mark or not self._unread[offset + 1 : end].isdigit():
            raise Unreadable(
                "RESP array",
                f"`{mark.decode()}` and a length",
                shown(bytes(self._unread[offset : offset + 20])),
            )
        return int(self._unread[offset + 1 : end]), end + 2


def encode_array(*parts: bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class JsonRpcReader:
    """Parses JSON bodies behind `Content-Length` headers."""

    def __init__(self) -> None:
        self._unread = bytearray()

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """Take bytes in and yield the objects that are complete.

        Raises Unreadable for a malformed header or body.
        """
        self._unread += data
        while (end := self._unread.find(b"\r\n\r\n")) >= 0:
            name, _, value = bytes(self._unread[:end]).partition(b":")
            if name.lower() != b"content-length" or not value.strip().isdigit():
                raise Unreadable(
                    "JSON-RPC frame", "a `Content-Length` header", shown(bytes(self._unread[:40]))
                )
            body_end = end + 4 + int(value)
            if len(self._unread) < body_end:
                return
            try:
                content = json.loads(bytes(self._unread[end + 4 : body_end]))
            except ValueError as error:
                raise Unreadable("JSON-RPC frame", "JSON", str(error)) from None
            del self._unread[:body_end]
            yield content


def encode_frame(content: dict[str, Any]) -> bytes:
    """Return a JSON body behind its `Content-Length` header."""
    body = json.dumps(content, separators=(",", ":")).encode()
    return b"Content-Length: %d\r\n\r\n" % len(body) + body


def encode_call(method: str, call_id: int | None, params: dict[str, Any]) -> bytes:
    """Return a client's JSON-RPC call, a notification if `call_id` is None."""
    content = {"jsonrpc": "2.0", "method": method, "params": params}
    return encode_frame(content if call_id is None else content | {"id": call_id})


def encode_statement(statement: str) -> str:
    """Return a statement as calls carry it, in base64."""
    return base64.b64encode(statement.encode()).decode()


class BufferedWriter:
    """Writes for an emulated party; what the kernel does not take at once waits here, in order."""

    def __init__(self, end: End) -> None:
        self.end, self._waiting, self._written = end, bytearray(), 0

    def write(self, data: bytes, on_arrival: Callable[[], None] | None = None) -> None:
        """Send bytes; `on_arrival` is called once the last of them has arrived at the other host."""
        self._waiting += data
        self._written += len(data)
        if on_arrival is not None and self.end.peer is not None:
            self.end.peer.arrival_callbacks.append((self._written, on_arrival))
        self.flush()

    def flush(self) -> None:
        """Send what waits, as far as the window allows."""
        if self._waiting and not self.end.closed and not self.end.error:
            del self._waiting[: self.end.send(bytes(self._waiting))]
