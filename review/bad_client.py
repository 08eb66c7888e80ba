"""A bad client, a process of its own: opens connections by the hundred and sends half a request on each.

Usage: bad_client.py PORT CONNECTIONS SECONDS

When a connection is closed, it opens another and does the same thing again.
"""

from __future__ import annotations

import contextlib
import os
import selectors
import socket
import sys
import time

HOST = "127.0.0.1"
BODY_BYTES = 1500  # of the whole request
SENT_BYTES = 700  # of its body
PAUSE_S = 0.05  # before a connection is opened again
READ_BYTES = 65_536


def half_a_request() -> bytes:
    """Return the head of a request and the first part of its body."""
    body = b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"txn":"%b","limit":5000,"body":"' % (
        os.urandom(8).hex().encode()
    )
    return b"Content-Length: %d\r\n\r\n%b" % (BODY_BYTES, body.ljust(SENT_BYTES, b"c"))


def main() -> None:
    """Play the bad client until its time is over."""
    port, count, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    selector = selectors.DefaultSelector()
    end_s = time.monotonic() + seconds
    missing = count
    while time.monotonic() < end_s:
        for _ in range(missing):
            with contextlib.suppress(OSError):
                connection = socket.create_connection((HOST, port), timeout=1.0)
                connection.sendall(half_a_request())
                selector.register(connection, selectors.EVENT_READ)
                missing -= 1
        for key, _ in selector.select(PAUSE_S):
            missing += _has_ended(selector, key.fileobj)
        time.sleep(PAUSE_S)


def _has_ended(selector: selectors.BaseSelector, connection: object) -> bool:
    """Read from a connection; close it and return True if the other side has closed it."""
    assert isinstance(connection, socket.socket)
    with contextlib.suppress(OSError):
        if connection.recv(READ_BYTES):
            return False
    selector.unregister(connection)
    connection.close()
    return True


if __name__ == "__main__":
    main()
