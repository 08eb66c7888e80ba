"""A pool of buffers of one size, and chains of them that hold incomplete messages."""

from __future__ import annotations


class BufferPool:
    """Lends buffers of `size` bytes; keeps at most `maximum_spare` returned ones for reuse."""

    __slots__ = ("_maximum_spare", "_spare", "lent", "size")

    def __init__(self, size: int, maximum_spare: int) -> None:
        self.size = size
        self.lent = 0
        self._maximum_spare = maximum_spare
        self._spare: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Return a reused or new buffer; its content is undefined."""
        self.lent += 1
        return self._spare.pop() if self._spare else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        """Take a buffer back; it is kept for reuse unless there are `maximum_spare` already."""
        self.lent -= 1
        if len(self._spare) < self._maximum_spare:
            self._spare.append(buffer)

    @property
    def spare(self) -> int:
        """The number of buffers kept for reuse."""
        return len(self._spare)


class BufferChain:
    """Bytes in arrival order, stored in buffers of a pool."""

    __slots__ = ("_buffers", "_length", "_pool")

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._length = 0
        self._buffers: list[bytearray] = []

    def __len__(self) -> int:
        """Return the number of bytes in the chain."""
        return self._length

    @property
    def buffer_count(self) -> int:
        """The number of buffers that hold the bytes."""
        return len(self._buffers)

    def append(self, data: bytes) -> None:
        """Copy bytes to the end of the chain."""
        size = self._pool.size
        copied = 0
        while copied < len(data):
            offset = self._length % size
            if not offset:
                self._buffers.append(self._pool.acquire())
            fragment = data[copied : copied + size - offset]
            self._buffers[-1][offset : offset + len(fragment)] = fragment
            copied += len(fragment)
            self._length += len(fragment)

    def drain(self) -> bytes:
        """Return all bytes and empty the chain; its buffers go back to the pool."""
        remaining = self._length
        fragments = []
        for buffer in self._buffers:
            fragments.append(bytes(memoryview(buffer)[: min(remaining, len(buffer))]))
            remaining -= len(buffer)
        self.clear()
        return b"".join(fragments)

    def clear(self) -> None:
        """Discard all bytes and return the buffers to the pool; the chain can be used again."""
        for buffer in self._buffers:
            self._pool.release(buffer)
        self._buffers.clear()
        self._length = 0
