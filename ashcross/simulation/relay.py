"""A relay for datagrams between processes on loopback: drops, delays, duplicates, corrupts or blocks them.

Each member has a port at the relay, to which its peers send. The sender is known by its source address.
"""

from __future__ import annotations

import random
import selectors
import socket
import threading
import time
from collections.abc import Iterable
from heapq import heappop, heappush

Address = tuple[str, int]
POLL_S = 0.02


class Relay:
    """Forwards datagrams to `members`, numbered by their position, in a thread of its own."""

    def __init__(self, members: list[Address], seed: int) -> None:
        self._members, self._random_source = members, random.Random(seed)
        self._member_numbers = {address: number for number, address in enumerate(members)}
        self._selector = selectors.DefaultSelector()
        self._sockets: list[socket.socket] = []
        for number in range(len(members)):
            port_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            port_socket.bind(("127.0.0.1", 0))
            port_socket.setblocking(False)
            self._selector.register(port_socket, selectors.EVENT_READ, number)
            self._sockets.append(port_socket)
        self.ports = [port_socket.getsockname()[1] for port_socket in self._sockets]
        self._blocked: set[tuple[int, int]] = set()  # pairs of sender and receiver that are blocked
        self.drop_chance = self.duplicate_chance = self.corrupt_chance = 0.0  # of each datagram
        self.delay_s = (0.0, 0.0)  # range of a random delay; a wide range reorders datagrams
        self._delayed: list[tuple[float, int, int, bytes]] = []
        self._serial = 0
        self.forwarded = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def cut(self, senders: Iterable[int], receivers: Iterable[int], one_way: bool = False) -> None:
        """Block datagrams from `senders` to `receivers`, and unless `one_way` also those back."""
        pairs = {(sender, receiver) for sender in senders for receiver in receivers}
        self._blocked = (
            self._blocked | pairs | (set() if one_way else {(receiver, sender) for sender, receiver in pairs})
        )

    def heal(self) -> None:
        """Unblock all directions."""
        self._blocked = set()

    def close(self) -> None:
        """Stop the thread, and close the sockets."""
        self._stopped.set()
        self._thread.join()
        for port_socket in self._sockets:
            port_socket.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            wait_s = (
                POLL_S if not self._delayed else min(POLL_S, max(0.0, self._delayed[0][0] - time.monotonic()))
            )
            for key, _ in self._selector.select(wait_s):
                self._receive(self._sockets[key.data], key.data)
            while self._delayed and self._delayed[0][0] <= time.monotonic():
                _, _, receiver, data = heappop(self._delayed)
                self._send(receiver, data)

    def _receive(self, port_socket: socket.socket, receiver: int) -> None:
        for _ in range(64):
            try:
                data, source = port_socket.recvfrom(2048)
            except OSError:
                return
            sender = self._member_numbers.get(source)
            if (
                sender is None
                or (sender, receiver) in self._blocked
                or self._random_source.random() < self.drop_chance
            ):
                continue
            if self._random_source.random() < self.corrupt_chance:
                position = self._random_source.randrange(len(data))
                flipped = data[position] ^ (1 << self._random_source.randrange(8))
                data = data[:position] + bytes((flipped,)) + data[position + 1 :]
            for _ in range(2 if self._random_source.random() < self.duplicate_chance else 1):
                wait_s = self._random_source.uniform(*self.delay_s)
                if wait_s > 0:
                    self._serial += 1
                    heappush(self._delayed, (time.monotonic() + wait_s, self._serial, receiver, data))
                else:
                    self._send(receiver, data)

    def _send(self, receiver: int, data: bytes) -> None:
        self.forwarded += 1
        try:
            self._sockets[receiver].sendto(data, self._members[receiver])
        except OSError:
            return  # the member is not running
