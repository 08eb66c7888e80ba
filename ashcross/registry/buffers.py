"""Buffers of one size from a pool, and chains of them for messages that are not complete yet."""

from __future__ import annotations


class BufferPool:
    """Lends buffers of `size` bytes; keeps at most `maximum_spare` of the returned ones."""

    __slots__ = ("_maximum_spare", "_spare", "lent", "size")

    def __init__(self, size: int, maximum_spare: int) -> None:
        self.size = size
        self.lent = 0
        self._maximum_spare = maximum_spare
        self._spare: list[bytearray] = []

    def take(self) -> bytearray:
        """A buffer, used before or new; its content is whatever was left in it."""
        self.lent += 1
        return self._spare.pop() if self._spare else bytearray(self.size)

    def give(self, buffer: bytearray) -> None:
        """Take a buffer back; beyond the spare ones it goes to the memory manager."""
        self.lent -= 1
        if len(self._spare) < self._maximum_spare:
            self._spare.append(buffer)

    @property
    def spare(self) -> int:
        """How many buffers wait to be used again."""
        return len(self._spare)


class BufferChain:
    """Bytes in arrival order, in buffers of a pool."""

    __slots__ = ("_buffers", "_length", "_pool")

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._length = 0
        self._buffers: list[bytearray] = []

    def __len__(self) -> int:
        """How many bytes the chain has."""
        return self._length

    def append(self, data: bytes) -> None:
        """Copy bytes in at the end."""
        size = self._pool.size
        copied = 0
        while copied < len(data):
            offset = self._length % size
            if not offset:
                self._buffers.append(self._pool.take())
            fragment = data[copied : copied + size - offset]
            self._buffers[-1][offset : offset + len(fragment)] = fragment
            copied += len(fragment)
            self._length += len(fragment)

    def drain(self) -> bytes:
        """All bytes; the chain is empty afterwards, and its buffers are back in the pool."""
        left = self._length
        fragments = []
        for buffer in self._buffers:
            fragments.append(bytes(memoryview(buffer)[: min(left, len(buffer))]))
            left -= len(buffer)
        self.clear()
        return b"".join(fragments)

    def clear(self) -> None:
        """Give all buffers back; the chain may be used again."""
        for buffer in self._buffers:
            self._pool.give(buffer)
        self._buffers.clear()
        self._length = 0
