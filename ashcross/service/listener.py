"""The early listener: a socket that listens before the rest of the program is loaded.

Loading takes a quarter of a second of processor time, which is most of a second at a small share of a core.
A client that connects in that time waits in the kernel's queue; without the socket it would be refused.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import time
from collections.abc import Sequence
from dataclasses import dataclass

BACKLOG = 512  # connections that the kernel queues until they are accepted


@dataclass(frozen=True, slots=True)
class EarlyListener:
    """A listening socket and the time at which it began to listen."""

    socket: socket.socket
    listening_since_ns: int  # on the monotonic clock
    cpu_used_s: float  # processor time that the process had used by then

    def age_us(self, cores: float) -> int:
        """Return the greatest possible age of unread bytes, in us.

        This is the time since the process began; `cores` is its share of a core, by which the processor time
        it used before listening is converted to real time.
        """
        listening_us = (time.monotonic_ns() - self.listening_since_ns) // 1000
        return listening_us + int(self.cpu_used_s * 1e6 / cores)


def open_early_listener(arguments: Sequence[str]) -> EarlyListener | None:
    """Listen at the address that the environment or the configuration names; return None if that fails.

    `arguments` are those of the command line, where `--config FILE` may name the configuration. Errors are
    not reported here, because the check of the configuration and the second attempt to listen report them.
    """
    with contextlib.suppress(OSError, ValueError, TypeError, LookupError, AttributeError, RecursionError):
        address = os.environ.get("ROUTER_LISTEN")
        if not address:
            has_option = "--config" in arguments
            path = arguments[arguments.index("--config") + 1] if has_option else os.environ["ROUTER_CONFIG"]
            with open(path, encoding="utf-8") as file:  # noqa: PTH123 - pathlib takes time to load
                address = json.load(file)["listen"]
        host, _, port = address.rpartition(":")
        return _listen(host, int(port), time.process_time())
    return None


def listen_at(address: tuple[str, int]) -> EarlyListener:
    """Listen at an address from the checked configuration; raises `OSError` if that fails."""
    return _listen(*address, cpu_used_s=0.0)


def _listen(host: str, port: int, cpu_used_s: float) -> EarlyListener:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    return EarlyListener(sock, time.monotonic_ns(), cpu_used_s)
