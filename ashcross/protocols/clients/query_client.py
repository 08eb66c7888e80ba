"""A plain client for the command line: one call on one connection, with blocking sockets."""

from __future__ import annotations

import base64
import socket
import time
from typing import Any

from ashcross.errors import AshcrossError
from ashcross.protocols.clients import json_rpc
from ashcross.registry.buffers import BufferPool

MAX_ANSWER_BYTES = 1 << 20
BUFFER_BYTES = 16_384
MAX_SPARE_BUFFERS = 4
READ_BYTES = 65_536


class NoAnswerError(AshcrossError):
    """A dispatcher that could not be reached, or did not answer in time."""

    remedy = "check that a dispatcher listens there (`ashcross ping --at HOST:PORT`) and what it logs"


def ask(address: tuple[str, int], call: bytes, timeout_s: float) -> json_rpc.Answer:
    """Send one call and return its answer; raises `NoAnswerError` if none comes within `timeout_s`."""
    reader = json_rpc.BodyReader(BufferPool(BUFFER_BYTES, MAX_SPARE_BUFFERS), MAX_ANSWER_BYTES)
    deadline_s = time.monotonic() + timeout_s
    try:
        with socket.create_connection(address, timeout=timeout_s) as connection:
            connection.sendall(call)
            while (remaining_s := deadline_s - time.monotonic()) > 0:
                connection.settimeout(remaining_s)
                data = connection.recv(READ_BYTES)
                if not data:
                    raise NoAnswerError(
                        _address_text(address), "an answer", "the connection closed without one"
                    )
                for body in reader.feed(data):
                    return json_rpc.parse_answer(body)
    except OSError as error:
        raise NoAnswerError(_address_text(address), "an answer", str(error) or type(error).__name__) from None
    except AshcrossError as error:
        if isinstance(error, NoAnswerError):
            raise
        raise NoAnswerError(_address_text(address), "an answer", error.description()) from None
    raise NoAnswerError(_address_text(address), "an answer", f"none in {timeout_s:g} s")


def _address_text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def rows(answer: json_rpc.Answer) -> bytes:
    """Return the rows of a result, decoded."""
    result: dict[str, Any] = answer.result or {}
    return base64.b64decode(result.get("body", ""))
