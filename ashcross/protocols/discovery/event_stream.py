"""Parser of server-sent events (WHATWG standard) over HTTP/1.1. No I/O.

It has three layers, each with a maximum size: the head of the response, its transfer coding, and lines.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ashcross.errors import shown
from ashcross.protocols.framing import Framer, FramingError
from ashcross.registry.buffers import BufferPool

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 8192
MAX_CHUNK_LINE_BYTES = 256


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """An event of the stream."""

    event_id: str
    data: str


def request(host: str, path: str, last_event_id: int) -> bytes:
    """Encode the request that opens the stream after an event; 0 requests all events."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Cache-Control: no-cache\r\nLast-Event-ID: {last_event_id}\r\n\r\n"
    ).encode()


class _ResponseHead(Framer[dict[str, str]]):
    """A reader of the head of a response; field names become lower-case."""

    def cut(self, data: bytes, at: int) -> tuple[int, dict[str, str]] | int:
        """Cut one head; raises `FramingError` unless the status is 200."""
        end = data.find(HEAD_END, at, at + MAX_HEAD_BYTES)
        if end < 0:
            if len(data) - at >= MAX_HEAD_BYTES:
                found = f"no end in {len(data) - at} bytes"
                raise FramingError("response's head", f"{MAX_HEAD_BYTES} bytes at most", found)
            return len(data) + 1
        status_line, *lines = data[at:end].decode("latin-1").split("\r\n")
        parts = status_line.split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or parts[1] != "200":
            raise FramingError("response", "status 200", shown(status_line))
        pairs = (line.partition(":") for line in lines)
        return end + len(HEAD_END), {name.strip().lower(): value.strip() for name, _, value in pairs}


class _Chunks(Framer[bytes]):
    """A reader of the chunked transfer coding; an empty chunk is its end."""

    def __init__(self, pool: BufferPool, max_chunk_bytes: int) -> None:
        super().__init__(pool)
        self._max_chunk_bytes = max_chunk_bytes

    def cut(self, data: bytes, at: int) -> tuple[int, bytes] | int:
        """Cut one chunk."""
        end = data.find(b"\r\n", at, at + MAX_CHUNK_LINE_BYTES)
        if end < 0:
            if len(data) - at >= MAX_CHUNK_LINE_BYTES:
                wanted = f"{MAX_CHUNK_LINE_BYTES} bytes at most"
                raise FramingError(
                    "line before a chunk of the HTTP response", wanted, f"no end in {len(data) - at} bytes"
                )
            return len(data) + 1
        digits = data[at:end].partition(b";")[0].strip()
        if not digits or not set(digits) <= set(b"0123456789abcdefABCDEF"):
            raise FramingError("chunk of the HTTP response", "a length in hex digits", shown(data[at:end]))
        length = int(digits, 16)
        if length > self._max_chunk_bytes:
            raise FramingError(
                "chunk of the HTTP response",
                f"{self._max_chunk_bytes} bytes at most",
                f"a length of {shown(length)}",
            )
        start = end + 2
        if len(data) < start + length + 2:
            return start + length + 2
        if data[start + length : start + length + 2] != b"\r\n":
            line_end = data[start + length : start + length + 2]
            raise FramingError("chunk of the HTTP response", f"CR LF after {length} bytes", shown(line_end))
        return start + length + 2, data[start : start + length]


class _Lines(Framer[str]):
    """A reader of lines that end with CR LF, LF or CR; the line ends are removed."""

    def __init__(self, pool: BufferPool, max_line_bytes: int) -> None:
        super().__init__(pool)
        self._max_line_bytes = max_line_bytes
        self._is_after_cr = False  # the bytes fed so far end with a CR that ended a line

    def feed(self, data: bytes) -> Iterator[str]:
        """Yield the complete lines; the LF of a CR LF that is split between two calls ends no second line."""
        if self._is_after_cr and data:
            data = data.removeprefix(b"\n")
            self._is_after_cr = False
        yield from super().feed(data)

    def cut(self, data: bytes, at: int) -> tuple[int, str] | int:
        """Cut one line."""
        ends = [end for end in (data.find(b"\n", at), data.find(b"\r", at)) if end >= 0]
        line_bytes = (min(ends) if ends else len(data)) - at
        if line_bytes > self._max_line_bytes:
            wanted = f"{self._max_line_bytes} bytes at most"
            raise FramingError("line of the event stream", wanted, f"{line_bytes} bytes or more")
        if not ends:
            return len(data) + 1
        end = min(ends)
        line = data[at:end].decode("utf-8", "replace")
        next_line = end + 1
        if data[end:next_line] == b"\r":
            self._is_after_cr = next_line == len(data)
            if data[next_line : next_line + 1] == b"\n":
                next_line += 1
        return next_line, line


class EventReader:
    """A parser of one response, from its status line on."""

    def __init__(self, pool: BufferPool, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._head = _ResponseHead(pool)
        self._chunks = _Chunks(pool, max_event_bytes)
        self._lines = _Lines(pool, max_event_bytes)
        self.is_open = False  # the head of the response is complete
        self._is_chunked = False
        self._is_first_line = True
        self._event_id = ""
        self._data: list[str] = []
        self._data_size = 0
        self.comments = 0  # comments read; the first one marks the end of the backlog

    def feed(self, data: bytes) -> Iterator[ServerEvent]:
        """Parse received bytes and yield the complete events; comments and other fields are skipped."""
        if not self.is_open:
            head = self._head.first(data)
            if head is None:
                return
            fields, data = head
            self.is_open = True
            self._is_chunked = "chunked" in fields.get("transfer-encoding", "").lower()
        for body in self._chunks.feed(data) if self._is_chunked else (data,):
            for line in self._lines.feed(body):
                event = self._take_line(line)
                if event is not None:
                    yield event

    def _take_line(self, line: str) -> ServerEvent | None:
        if self._is_first_line:
            self._is_first_line = False
            line = line.removeprefix("\ufeff")
        if not line:
            return self._end_event()
        name, _, value = line.partition(":")
        if not name:
            self.comments += 1
        value = value.removeprefix(" ")
        if name == "data":
            self._add_data(value)
        elif name == "id" and "\0" not in value:
            self._event_id = value
        return None

    def _add_data(self, value: str) -> None:
        self._data_size += len(value) + 1
        if self._data_size > self._max_event_bytes:
            wanted = f"{self._max_event_bytes} characters at most"
            raise FramingError("event's data", wanted, f"{self._data_size} characters or more")
        self._data.append(value)

    def _end_event(self) -> ServerEvent | None:
        """End the event at an empty line; return None if it has no data."""
        data = "\n".join(self._data)
        self._data = []
        self._data_size = 0
        return ServerEvent(self._event_id, data) if data else None

    def close(self) -> None:
        """Return the buffers to the pool."""
        self._head.close()
        self._chunks.close()
        self._lines.close()
