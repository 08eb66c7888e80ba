"""A dictionary of bounded size, which drops the key that was written least recently."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class RecentDict(Generic[Key, Value]):
    """A dictionary of at most `maximum_size` entries; `put` makes a key the most recent, `get` does not."""

    __slots__ = ("_entries", "_maximum_size")

    def __init__(self, maximum_size: int) -> None:
        self._maximum_size = maximum_size
        self._entries: OrderedDict[Key, Value] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __contains__(self, key: Key) -> bool:
        """Return whether the dictionary has the key."""
        return key in self._entries

    def get(self, key: Key) -> Value | None:
        """Return the value of a key, or None if the dictionary does not have it."""
        return self._entries.get(key)

    def put(self, key: Key, value: Value) -> None:
        """Store a value as the most recent entry; drop the least recent one if there are too many."""
        self._entries[key] = value
        self._entries.move_to_end(key)
        if len(self._entries) > self._maximum_size:
            self._entries.popitem(last=False)
