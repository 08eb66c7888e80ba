"""A plain client for the command line: one question on one connection, with ordinary blocking sockets."""

from __future__ import annotations

import base64
import socket
import time
from typing import Any

from ashcross.memory.buffers import BufferPool
from ashcross.wire import jsonrpc

ANSWER_MOST = 1 << 20


class NoAnswer(Exception):
    """The dispatcher could not be reached, or did not answer in time."""


def ask(address: tuple[str, int], question: bytes, wait_s: float) -> jsonrpc.Answer:
    """Send one call and read its answer."""
    reader, until_s = jsonrpc.BodyReader(BufferPool(16_384, 4), ANSWER_MOST), time.monotonic() + wait_s
    try:
        with socket.create_connection(address, timeout=wait_s) as connection:
            connection.sendall(question)
            while (left_s := until_s - time.monotonic()) > 0:
                connection.settimeout(left_s)
                data = connection.recv(65_536)
                if not data:
                    raise NoAnswer("the connection was closed without an answer")
                for body in reader.feed(data):
                    return jsonrpc.parse_answer(body)
    except OSError as error:
        raise NoAnswer(str(error) or type(error).__name__) from None
    except ValueError as error:
        raise NoAnswer(f"an answer that cannot be read: {error}") from None
    raise NoAnswer("timed out")


def rows(answer: jsonrpc.Answer) -> bytes:
    """The rows of a result."""
    result: dict[str, Any] = answer.result or {}
    return base64.b64decode(result.get("body", ""))
