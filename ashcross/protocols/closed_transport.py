"""Releases the memory that a Twisted transport holds after its connection has ended."""

from __future__ import annotations

from typing import Any


def drop_unsent_bytes(transport: Any) -> None:
    """Free the unsent bytes of a transport whose connection has ended.

    Twisted keeps them as long as the transport, which is part of a reference cycle and lives until the
    garbage collector examines its oldest objects, hundreds of connections later.
    """
    transport.dataBuffer = b""
    transport._tempDataBuffer = []
    transport._tempDataLen = 0
