"""Codec of RESP arrays of bulk strings, which engines speak. No I/O, no state but incomplete input."""

from __future__ import annotations

import re

from ashcross.errors import shown
from ashcross.protocols.framing import Framer, FramingError
from ashcross.registry.buffers import BufferPool

MAX_WORDS = 8  # in one array
PAGE_ROWS = re.compile(rb"(?:[^\t\n\0]*+\t[^\t\n\0]*+\t[^\t\n\0]*+\n)*+")
MAX_LENGTH_LINE_BYTES = 16  # with mark and CR LF; longer than the line of any allowed length
MAX_COUNT_DIGITS = 9


class WordsReader(Framer[list[bytes]]):
    """A parser of a stream of arrays; each bulk string has a maximum length."""

    def __init__(self, pool: BufferPool, max_bulk_bytes: int) -> None:
        super().__init__(pool)
        self._max_bulk_bytes = max_bulk_bytes

    def cut(self, data: bytes, at: int) -> tuple[int, list[bytes]] | int:
        """Cut one array of bulk strings."""
        array_head = _length(data, at, b"*", MAX_WORDS)
        if array_head is None:
            return len(data) + 1
        at, word_count = array_head
        words = []
        for _ in range(word_count):
            word_head = _length(data, at, b"$", self._max_bulk_bytes)
            if word_head is None:
                return len(data) + 1
            at, length = word_head
            end = at + length
            if len(data) < end + 2:
                return end + 2
            if data[end : end + 2] != b"\r\n":
                raise FramingError("bulk string", f"CR LF after {length} bytes", shown(data[end : end + 2]))
            words.append(data[at:end])
            at = end + 2
        return at, words


def _length(data: bytes, at: int, mark: bytes, maximum: int) -> tuple[int, int] | None:
    """Return the end of the length line at `at`, and its number; None if the line is incomplete."""
    if at >= len(data):
        return None
    if data[at : at + 1] != mark:
        raise FramingError("mark", shown(mark), shown(data[at : at + 1]))
    end = data.find(b"\r\n", at, at + MAX_LENGTH_LINE_BYTES)
    if end < 0:
        if len(data) - at >= MAX_LENGTH_LINE_BYTES:
            wanted = f"a line of {MAX_LENGTH_LINE_BYTES} bytes at most"
            raise FramingError("length", wanted, shown(data[at : at + MAX_LENGTH_LINE_BYTES]))
        return None
    digits = data[at + 1 : end]
    if not digits.isdigit() or int(digits) > maximum:
        raise FramingError("length", f"a number up to {maximum}", shown(digits[:MAX_LENGTH_LINE_BYTES]))
    return end + 2, int(digits)


def encode(*words: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def fields(text: bytes) -> dict[str, str]:
    """Parse a list `name=value,name=value`, or `-` for none; items without `=` are ignored."""
    if text == b"-":
        return {}
    pairs = (item.partition("=") for item in text.decode("utf-8", "replace").split(","))
    return {name: value for name, equals, value in pairs if equals}


def join_fields(pairs: dict[str, str]) -> bytes:
    """Encode a list `name=value,name=value`, or `-` for none."""
    return ",".join(f"{name}={value}" for name, value in pairs.items()).encode() or b"-"


def count(text: str) -> int:
    """Parse a whole number of ASCII digits; raises `FramingError` for any other form that Python accepts."""
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_COUNT_DIGITS:
        raise FramingError("count", f"a whole number of {MAX_COUNT_DIGITS} digits at most", shown(text))
    return int(text)


def is_page(body: bytes) -> bool:
    """Return whether a body consists of complete rows of three text columns in UTF-8."""
    if PAGE_ROWS.fullmatch(body) is None:
        return False
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True


def load_report(text: str) -> dict[str, float]:
    """Parse a load report `name:value;name:value`, without values that are negative or not finite numbers."""
    report = {}
    for item in text.split(";"):
        name, colon, value_text = item.partition(":")
        if not colon:
            continue
        try:
            value = float(value_text)
        except ValueError:
            continue
        if 0 <= value < float("inf"):
            report[name] = value
    return report
