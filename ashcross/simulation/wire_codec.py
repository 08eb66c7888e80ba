"""What the judge and the emulated parties read and write: own small readers, apart from the program's.

A reader that shared its code with the program would be blind to the program's mistakes.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable, Iterator
from typing import Any

from ashcross.errors import AshcrossError, shown
from ashcross.simulation.network import End


class Unreadable(AshcrossError):
    """Bytes of the program that break the form, as the judge reads them."""

    remedy = "a fault of the program: keep the seed as a script and look at what it wrote"


class RespReader:
    """RESP arrays of bulk strings; each comes with the time of its first byte (us)."""

    def __init__(self) -> None:
        self._unread, self._first_byte_us = bytearray(), 0

    def feed(self, data: bytes, now_us: int) -> Iterator[tuple[int, list[bytes]]]:
        """Take bytes in; yield what is whole."""
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
            raise Unreadable("words", "a length", shown(bytes(self._unread[offset : offset + 20])))
        return int(self._unread[offset + 1 : end]), end + 2


def encode_array(*parts: bytes) -> bytes:
    """One array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class JsonRpcReader:
    """JSON bodies behind `Content-Length` heads."""

    def __init__(self) -> None:
        self._unread = bytearray()

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """Take bytes in; yield the objects that are whole."""
        self._unread += data
        while (end := self._unread.find(b"\r\n\r\n")) >= 0:
            name, _, value = bytes(self._unread[:end]).partition(b":")
            if name.lower() != b"content-length" or not value.strip().isdigit():
                raise Unreadable("frame", "a head", shown(bytes(self._unread[:40])))
            body_end = end + 4 + int(value)
            if len(self._unread) < body_end:
                return
            try:
                content = json.loads(bytes(self._unread[end + 4 : body_end]))
            except ValueError as error:
                raise Unreadable("frame", "JSON", str(error)) from None
            del self._unread[:body_end]
            yield content


def encode_frame(content: dict[str, Any]) -> bytes:
    """A JSON body behind its head."""
    body = json.dumps(content, separators=(",", ":")).encode()
    return b"Content-Length: %d\r\n\r\n" % len(body) + body


def encode_call(method: str, call_id: int | None, params: dict[str, Any]) -> bytes:
    """A client's call."""
    content = {"jsonrpc": "2.0", "method": method, "params": params}
    return encode_frame(content if call_id is None else content | {"id": call_id})


def encode_statement(statement: str) -> str:
    """A statement as calls carry it."""
    return base64.b64encode(statement.encode()).decode()


class BufferedWriter:
    """Writes for an emulated party: what the kernel does not take at once waits here, in order."""

    def __init__(self, end: End) -> None:
        self.end, self._waiting, self._written = end, bytearray(), 0

    def write(self, data: bytes, on_arrival: Callable[[], None] | None = None) -> None:
        """Send bytes; `arrived` is called once the last of them is at the other host."""
        self._waiting += data
        self._written += len(data)
        if on_arrival is not None and self.end.peer is not None:
            self.end.peer.arrival_callbacks.append((self._written, on_arrival))
        self.flush()

    def flush(self) -> None:
        """Send what waits, as far as there is room."""
        if self._waiting and not self.end.closed and not self.end.error:
            del self._waiting[: self.end.send(bytes(self._waiting))]
