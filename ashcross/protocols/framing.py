"""The base of the push parsers: takes bytes as they arrive, and yields complete messages."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from ashcross.errors import AshcrossError
from ashcross.registry.buffers import BufferChain, BufferPool

Message = TypeVar("Message")


class FramingError(AshcrossError):
    """Bytes that break the framing of a protocol; nothing after them on that connection can be parsed."""

    remedy = "only this connection is closed; if this happens often, check the peer that sends these bytes"


class Framer(Generic[Message]):
    """A parser that cuts a stream into messages; an incomplete message waits in pooled buffers."""

    def __init__(self, pool: BufferPool) -> None:
        self._pending = BufferChain(pool)
        self._needed_bytes = 0  # pending bytes needed before the next attempt to cut

    def cut(self, data: bytes, at: int) -> tuple[int, Message] | int:
        """Return the end of the message at `at` and the message, or the length of `data` needed to retry."""
        raise NotImplementedError

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add received bytes and yield the complete messages, one by one.

        Raises `FramingError` at the bytes that break the framing, after all messages before them were
        yielded. A caller that stops early must be done with the connection, as the other bytes are dropped.
        """
        available = self._available(data)
        at = 0
        while at < len(available):
            result = self.cut(available, at)
            if isinstance(result, int):
                self._keep(available, at, result)
                break
            at, message = result
            yield message

    def first(self, data: bytes) -> tuple[Message, bytes] | None:
        """Add received bytes; return the first message and the bytes after it, None if it is incomplete."""
        available = self._available(data)
        if not available:
            return None
        result = self.cut(available, 0)
        if isinstance(result, int):
            self._keep(available, 0, result)
            return None
        end, message = result
        return message, available[end:]

    def _available(self, data: bytes) -> bytes:
        """Return the pending and the new bytes; empty while they are too few for a message."""
        if not len(self._pending):
            return data
        self._pending.append(data)
        return self._pending.drain() if len(self._pending) >= self._needed_bytes else b""

    def _keep(self, data: bytes, at: int, least_length: int) -> None:
        self._needed_bytes = max(least_length, len(data) + 1) - at
        self._pending.append(data[at:] if at else data)

    @property
    def waiting(self) -> int:
        """The number of bytes of the incomplete message."""
        return len(self._pending)

    @property
    def buffer_count(self) -> int:
        """The number of buffers that hold the incomplete message."""
        return self._pending.buffer_count

    def close(self) -> None:
        """Return the buffers to the pool, as the connection is closed."""
        self._pending.clear()
