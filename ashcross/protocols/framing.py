"""The base of the push parsers: bytes come in as they arrive, whole messages go out."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from ashcross.errors import AshcrossError
from ashcross.registry.buffers import BufferChain, BufferPool

Message = TypeVar("Message")


class FramingError(AshcrossError):
    """Bytes that break the protocol's form; nothing after them on that connection can be parsed."""

    remedy = "the connection is ended and others go on; where it comes often, look at the peer that writes it"


class Framer(Generic[Message]):
    """Cuts a stream into messages; an incomplete one waits in pooled buffers."""

    def __init__(self, pool: BufferPool) -> None:
        self._pending = BufferChain(pool)
        self._needed_bytes = 0  # pending ones before the next look is worth while

    def cut(self, data: bytes, at: int) -> tuple[int, Message] | int:
        """Cut the message at `at`: its end and itself, or the least length at which to cut again."""
        raise NotImplementedError

    def feed(self, data: bytes) -> Iterator[Message]:
        """Take bytes in and yield the messages that are whole now, one by one.

        `FramingError` comes only where the form is broken: what was whole before it has been yielded by then.
        Whoever stops half-way must be done with the connection, as what is left of the bytes is not kept.
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
        """Take in the first message alone: it, and the bytes behind it; None if it is incomplete."""
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
        """All bytes that wait and came; empty while they are known to be too few."""
        if not len(self._pending):
            return data
        self._pending.append(data)
        return self._pending.drain() if len(self._pending) >= self._needed_bytes else b""

    def _keep(self, data: bytes, at: int, least_length: int) -> None:
        self._needed_bytes = max(least_length, len(data) + 1) - at
        self._pending.append(data[at:] if at else data)

    @property
    def waiting(self) -> int:
        """Bytes of the incomplete message."""
        return len(self._pending)

    def close(self) -> None:
        """Give the buffers back; the connection is over."""
        self._pending.clear()
