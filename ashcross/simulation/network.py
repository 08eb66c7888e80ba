"""Virtual hosts, sockets and connections: streams with latency, arbitrary segments, back-pressure and faults.

A connection has two ends. What one end sends is cut into segments, which arrive in order after the latency of
their direction, or wait while that direction is held (a cut cable, a machine that vanished). The receiver's
buffer bounds what can be sent. Emulated parties use an `End` directly; the program gets a `VirtualSocket`
with the calls and errors of the system's sockets, as far as Twisted's TCP transports use them.
"""

from __future__ import annotations

import errno
import random
import socket as system_socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

Address = tuple[str, int]
MAX_SMALL_SEGMENTS = 200  # of one write; each costs a step of the timeline, so the rest is sent in large ones
ABORTIVE_LINGER = struct.pack("ii", 1, 0)  # the value of SO_LINGER: on, 0 s


class TimelineInterface(Protocol):
    """The part of the timeline that the network uses."""

    now_us: int

    def at(self, at_us: int, call: Callable[..., Any], *args: Any) -> None:
        """Call `call(*args)` at a time."""


class NetworkObserver(Protocol):
    """Observes the bytes when they are taken from a sender and when they arrive at a host."""

    def connection_opened(self, end: End) -> None:
        """Report that a connection was requested; `end` is the side that asked."""

    def bytes_sent(self, end: End, data: bytes) -> None:
        """Report that the kernel of `end` took these bytes."""

    def bytes_arrived(self, end: End, data: bytes) -> None:
        """Report that these bytes have arrived at the host of `end`."""

    def half_closed(self, end: End) -> None:
        """Report that this end was half-closed by its own side: it writes nothing more, and reads on."""

    def closed(self, end: End, cause: str) -> None:
        """Report that this end was closed by its own side: `fin`, `reset`, or `killed` with its process."""

    def peer_closed(self, end: End) -> None:
        """Report that the other side's close has arrived at this end's host."""


@dataclass(frozen=True, slots=True)
class _Carried:
    """Something that is under way in a direction; `call(argument)` lets it arrive."""

    number: int  # in the order of sending
    call: Callable[..., Any]
    argument: Any


class Direction:
    """One direction of a connection: its latency, segments and cuts."""

    __slots__ = (
        "_random",
        "carried_count",
        "held",
        "jitter_us",
        "last_arrival_us",
        "latency_us",
        "segment_bytes",
        "waiting",
    )

    def __init__(self, seed: int, latency_us: int, jitter_us: int, segment_bytes: int) -> None:
        self._random = random.Random(seed)
        self.latency_us, self.jitter_us, self.segment_bytes = latency_us, jitter_us, segment_bytes
        self.held, self.last_arrival_us, self.carried_count = False, 0, 0
        # What waits until the direction is open again, in the order of arriving at the cut.
        self.waiting: list[_Carried] = []

    def segments(self, data: bytes) -> Iterator[bytes]:
        """Yield the bytes as one segment, or in random sizes around `segment_bytes`.

        After the first `MAX_SMALL_SEGMENTS` they are larger.
        """
        if not self.segment_bytes or len(data) <= 1:
            yield data
            return
        offset, segment_count = 0, 0
        while offset < len(data):
            size = (
                self._random.randint(1, 2 * self.segment_bytes - 1)
                if segment_count < MAX_SMALL_SEGMENTS
                else 4096
            )
            segment_count += 1
            yield data[offset : offset + size]
            offset += size

    def next_arrival_us(self, now_us: int) -> int:
        """Return when bytes sent now arrive, which is never before what was sent earlier."""
        wait_us = self.latency_us + int(self._random.random() * self.jitter_us)
        self.last_arrival_us = max(self.last_arrival_us, now_us + wait_us)
        return self.last_arrival_us


class End:
    """One side of a connection."""

    __slots__ = (
        "address",
        "arrival_callbacks",
        "arrived_bytes",
        "closed",
        "connected",
        "direction",
        "eof",
        "error",
        "half_closed",
        "in_flight",
        "machine",
        "network",
        "number",
        "on_change",
        "peer",
        "receive_window",
        "received",
        "remote",
        "waits_for_window",
    )

    def __init__(
        self, network: Network, number: int, address: Address, remote: Address, direction: Direction
    ) -> None:
        self.network, self.number, self.address, self.remote = network, number, address, remote
        self.direction = direction  # carries what this end sends
        self.peer: End | None = None
        self.machine: Machine | None = None
        self.received = bytearray()
        self.receive_window, self.in_flight, self.waits_for_window = network.window, 0, False
        self.connected = self.eof = self.closed = self.half_closed = False
        self.error = self.arrived_bytes = 0
        # Functions to call once this many bytes have arrived, in ascending order.
        self.arrival_callbacks: deque[tuple[int, Callable[[], None]]] = deque()
        self.on_change: Callable[[End], None] = _ignore_change

    def free_window(self) -> int:
        """Return how many bytes the other side can still take."""
        peer = self.peer
        if peer is None:
            return 0
        return max(0, peer.receive_window - len(peer.received) - peer.in_flight)

    def send(self, data: bytes) -> int:
        """Hand bytes to the kernel and return how many it took."""
        sendable = bytes(data[: self.free_window()])
        if len(sendable) < len(data):
            self.waits_for_window = True
        if sendable and self.peer is not None:
            self.network.observer.bytes_sent(self, sendable)
            self.peer.in_flight += len(sendable)
            for segment in self.direction.segments(sendable):
                self.network.carry(self.direction, self.peer.receive_segment, segment)
        return len(sendable)

    def receive_segment(self, segment: bytes) -> None:
        """Take in a segment that has arrived."""
        self.in_flight -= len(segment)
        if self.closed:  # the host answers bytes for a closed socket with a reset
            if self.peer is not None and not self.peer.closed:
                self.network.carry(self.direction, self.peer.receive_reset, errno.ECONNRESET)
            return
        if self.error or self.eof:
            return
        self.received += segment
        self.arrived_bytes += len(segment)
        self.network.observer.bytes_arrived(self, segment)
        while self.arrival_callbacks and self.arrival_callbacks[0][0] <= self.arrived_bytes:
            self.arrival_callbacks.popleft()[1]()
        self.on_change(self)

    def read(self, max_bytes: int = 1 << 30) -> bytes:
        """Return and remove what has arrived, at most `max_bytes`; the sender's window opens."""
        data = bytes(self.received[:max_bytes])
        del self.received[:max_bytes]
        peer = self.peer
        if data and peer is not None and peer.waits_for_window and not peer.closed:
            peer.waits_for_window = False
            peer.on_change(peer)
        return data

    def half_close(self) -> None:
        """Close the sending direction; this side reads on."""
        if self.closed or self.half_closed or self.error:
            return
        self.half_closed = True
        self.network.observer.half_closed(self)
        if self.peer is not None:
            self.network.carry(self.direction, self.peer.receive_fin, None)

    def close(self, reset: bool = False, killed: bool = False) -> None:
        """Close this side; unread bytes make it a reset, as in the system."""
        if self.closed:
            return
        reset = reset or killed or bool(self.received)
        self.closed = True
        self.network.observer.closed(self, "killed" if killed else "reset" if reset else "fin")
        self.received.clear()
        self.on_change = _ignore_change
        if self.peer is not None and (reset or not self.half_closed):
            call: Callable[..., Any] = self.peer.receive_reset if reset else self.peer.receive_fin
            self.network.carry(self.direction, call, errno.ECONNRESET if reset else None)

    def receive_fin(self, _: object = None) -> None:
        """Take in that the other side sends nothing more."""
        if not (self.closed or self.error):
            self.eof = True
            self.network.observer.peer_closed(self)
            self.on_change(self)

    def receive_reset(self, error: int) -> None:
        """Take in that the connection was reset or refused.

        What arrived before can still be read; nothing more arrives.
        """
        if not (self.closed or self.error):
            self.error = error
            self.network.observer.peer_closed(self)
            self.on_change(self)


def _ignore_change(end: End) -> None:
    """Ignore changes of an end that has no user any more."""


class Listener:
    """A listening socket."""

    __slots__ = ("address", "backlog", "machine", "on_connection", "queue")

    def __init__(
        self,
        address: Address,
        backlog: int,
        on_connection: Callable[[Listener], None],
        machine: Machine | None = None,
    ) -> None:
        self.address, self.backlog = address, backlog
        self.on_connection, self.machine = on_connection, machine
        self.queue: list[End] = []


class Network:
    """All addresses and connections, and the faults between them."""

    def __init__(
        self,
        timeline: TimelineInterface,
        seed: int,
        observer: NetworkObserver,
        latency_us: int,
        jitter_us: int,
        window: int,
    ) -> None:
        self.timeline, self.observer, self.window = timeline, observer, window
        self._random = random.Random(seed)
        self._latency_us, self._jitter_us = latency_us, jitter_us
        self.listeners: dict[Address, Listener] = {}
        self.connections: list[End] = []  # the ends that asked for the connections, oldest first
        self.unreachable: set[Address] = set()  # hosts there neither send nor receive
        self.segment_bytes: dict[Address, int] = {}  # size of the segments by address
        self._last_port = 40_000

    def carry(self, direction: Direction, call: Callable[..., Any], argument: Any) -> None:
        """Let something arrive at the end of a direction, in order."""
        direction.carried_count += 1
        item = _Carried(direction.carried_count, call, argument)
        if direction.held:
            direction.waiting.append(item)
        else:
            self.timeline.at(direction.next_arrival_us(self.timeline.now_us), self._arrive, direction, item)

    def _arrive(self, direction: Direction, item: _Carried) -> None:
        if direction.held:  # the direction was cut while this was under way
            direction.waiting.append(item)
        else:
            item.call(item.argument)

    def hold(self, end: End, held: bool) -> None:
        """Cut the direction from `end` to its peer, or open it again: what was held arrives in order."""
        direction = end.direction
        if direction.held == held:
            return
        direction.held = held
        if not held:
            waiting, direction.waiting = direction.waiting, []
            for item in sorted(waiting, key=lambda item: item.number):
                self.carry(direction, item.call, item.argument)

    def set_unreachable(self, address: Address, unreachable: bool) -> None:
        """Take a machine off the network or bring it back; connections to it stay open and silent."""
        (self.unreachable.add if unreachable else self.unreachable.discard)(address)
        for end in self.open_connections(address):
            self.hold(end, unreachable)
            if end.peer is not None:
                self.hold(end.peer, unreachable)

    def open_connections(self, address: Address) -> list[End]:
        """Return the connections to an address whose asking side is open, oldest first."""
        self.connections = [
            end for end in self.connections if not end.closed or end.peer and not end.peer.closed
        ]
        return [end for end in self.connections if end.remote == address and not end.closed]

    def listen(self, listener: Listener) -> None:
        """Accept connections at an address.

        Raises OSError if another listener has it.
        """
        if listener.address in self.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        self.listeners[listener.address] = listener

    def unlisten(self, listener: Listener) -> None:
        """Accept no more connections; those that wait in the queue are reset."""
        if self.listeners.get(listener.address) is listener:
            del self.listeners[listener.address]
        for end in listener.queue:
            end.close(reset=True)
        listener.queue.clear()

    def connect(self, host: str, remote: Address, on_change: Callable[[End], None]) -> End:
        """Request a connection.

        `on_change` is called on each change of it, the first time when it is open or refused.
        """
        self._last_port += 1
        random_source, segment_bytes = self._random, self.segment_bytes.get(remote, 0)
        outbound, inbound = (
            Direction(
                random_source.getrandbits(64),
                self._latency_us // 2 + random_source.randrange(self._latency_us),
                self._jitter_us,
                segment_bytes,
            )
            for _ in range(2)
        )
        number = self._last_port - 40_001
        end = End(self, number, (host, self._last_port), remote, outbound)
        peer = End(self, number, remote, end.address, inbound)
        end.on_change = on_change
        self.connections.append(end)
        self.observer.connection_opened(end)
        if remote in self.unreachable:
            outbound.held = inbound.held = True
        self.carry(outbound, self._receive_connect, (end, peer))
        return end

    def _receive_connect(self, ends: tuple[End, End]) -> None:
        end, peer = ends
        if end.closed:
            return
        listener = self.listeners.get(end.remote)
        if listener is None:
            self.carry(peer.direction, end.receive_reset, errno.ECONNREFUSED)
            return
        if len(listener.queue) >= listener.backlog:
            return  # the queue of connections not yet accepted is full, so the request is lost
        end.peer, peer.peer = peer, end
        peer.connected = True
        listener.queue.append(peer)
        self.carry(peer.direction, _complete_connect, end)
        listener.on_connection(listener)


def _complete_connect(end: End) -> None:
    if not end.closed:
        end.connected = True
        end.on_change(end)


class Machine:
    """A host with one process of the program: its sockets, and whether the process runs."""

    def __init__(self, network: Network, host: str, max_descriptors: int) -> None:
        self.network, self.host, self.max_descriptors = network, host, max_descriptors
        self.sockets: dict[int, VirtualSocket] = {}
        self._last_fileno, self.peak_sockets = 100, 0
        self.refused_sockets = 0  # number of sockets refused because of the limit
        self.paused = self.dead = False
        self.on_socket_change: Callable[[VirtualSocket], None] = lambda socket: None
        self.on_resume: Callable[[], None] = lambda: None
        self.on_exit: Callable[[], None] = lambda: None

    @property
    def halted(self) -> bool:
        """Return whether the process does not run: it is paused or dead."""
        return self.paused or self.dead

    def socket(self) -> VirtualSocket:
        """Return a new socket.

        Raises OSError beyond the limit on descriptors.
        """
        if len(self.sockets) >= self.max_descriptors:
            self.refused_sockets += 1
            raise OSError(errno.EMFILE, "too many open files")
        self._last_fileno += 1
        new_socket = self.sockets[self._last_fileno] = VirtualSocket(self, self._last_fileno)
        self.peak_sockets = max(self.peak_sockets, len(self.sockets))
        return new_socket

    def pause(self, paused: bool) -> None:
        """Pause the process without its knowledge, or resume it."""
        if self.paused and not paused and not self.dead:
            self.paused = False
            self.on_resume()
        else:
            self.paused = paused

    def kill(self) -> None:
        """Kill the process: all its connections are reset."""
        self._end(killed=True)

    def exit(self) -> None:
        """End the process as if by itself; what it handed to the kernel still arrives."""
        self._end(killed=False)
        self.on_exit()

    def _end(self, killed: bool) -> None:
        self.dead = True
        for open_socket in list(self.sockets.values()):
            open_socket.close_with_process(killed)
        self.sockets.clear()


class VirtualSocket:
    """A stream socket of the program, with the system's calls and errors."""

    __slots__ = ("_abortive", "_address", "_fileno", "_machine", "_refused", "end", "listener", "selectable")

    def __init__(self, machine: Machine, fileno: int, end: End | None = None) -> None:
        self._machine, self._fileno, self.end = machine, fileno, end
        self.listener: Listener | None = None
        self._address: Address = (machine.host, 0)
        self._abortive, self._refused = False, 0
        self.selectable: Any = None  # Twisted's selectable, which the reactor calls

    def fileno(self) -> int:
        """Return the number of this socket, which no other of its process has."""
        return self._fileno

    def setblocking(self, on: Any) -> None:
        """Do nothing: a virtual socket never blocks."""

    def getpeername(self) -> Address:
        """Return the other side's address.

        Raises OSError if there is no connection.
        """
        if self.end is None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self.end.remote

    def getsockname(self) -> Address:
        """Return the address of this side."""
        return self.end.address if self.end is not None else self._address

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Set an option; only SO_LINGER with a time of 0 has an effect, it makes the close a reset."""
        if (level, option) == (system_socket.SOL_SOCKET, system_socket.SO_LINGER):
            self._abortive = value == ABORTIVE_LINGER

    def getsockopt(self, level: int, option: int) -> int:
        """Return an option's value: SO_ERROR gives the error of a failed connect, all others are 0."""
        if (
            (level, option) == (system_socket.SOL_SOCKET, system_socket.SO_ERROR)
            and self.end is not None
            and not self.end.connected
        ):
            return self.end.error
        return 0

    def bind(self, address: Address) -> None:
        """Choose the address.

        Raises OSError if a listener has it.
        """
        if address in self._machine.network.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        self._address = address

    def listen(self, backlog: int) -> None:
        """Accept connections at the bound address."""
        self.listener = Listener(
            self._address, backlog, lambda listener: self._machine.on_socket_change(self), self._machine
        )
        self._machine.network.listen(self.listener)

    def accept(self) -> tuple[VirtualSocket, Address]:
        """Return a socket for the first connection that waits, and the client's address.

        Raises BlockingIOError if no connection waits, and OSError beyond the limit on descriptors.
        """
        if self.listener is None or not self.listener.queue:
            raise BlockingIOError(errno.EWOULDBLOCK, "no connection waits")
        accepted = self._machine.socket()
        end = accepted.end = self.listener.queue.pop(0)
        accepted._attach(end)
        return accepted, end.remote

    def _attach(self, end: End) -> None:
        self.end, end.machine = end, self._machine
        end.on_change = lambda end: self._machine.on_socket_change(self)

    def connect_ex(self, address: Address) -> int:
        """Request a connection, or return the state of that request, as an errno."""
        if self.end is None:
            machine = self._machine
            self._attach(
                machine.network.connect(machine.host, address, lambda end: machine.on_socket_change(self))
            )
            return errno.EINPROGRESS
        return errno.EISCONN if self.end.connected else self.end.error or errno.EALREADY

    def recv(self, max_bytes: int) -> bytes:
        """Return what has arrived, at most `max_bytes`; empty at the end of the stream.

        Raises BlockingIOError if nothing has arrived, and OSError after a reset.
        """
        end = self.end
        if end is None:
            raise OSError(errno.ENOTCONN, "not connected")
        if end.received:
            return end.read(max_bytes)
        if end.error:
            raise OSError(end.error, "the connection was reset")
        if end.eof:
            return b""
        raise BlockingIOError(errno.EWOULDBLOCK, "nothing has arrived")

    def send(self, data: Any) -> int:
        """Hand bytes to the kernel and return how many it took.

        Raises BlockingIOError if the window is full, and OSError if the connection has ended.
        """
        end = self.end
        if end is None or end.error or end.closed:
            raise OSError(end.error if end and end.error else errno.EPIPE, "the connection has ended")
        sent = end.send(bytes(data))
        if not sent and len(data):
            raise BlockingIOError(errno.EWOULDBLOCK, "the receive window is full")
        return sent

    def readable(self) -> bool:
        """Return whether a read, or an accept, would give a result."""
        if self.listener is not None:
            return bool(self.listener.queue)
        end = self.end
        return end is not None and bool(end.received or end.eof or end.error)

    def writable(self) -> bool:
        """Return whether a write, or a look at the state of a connect, would give a result."""
        end = self.end
        if end is None:
            return False
        if not end.connected or end.error:
            return end.connected or bool(end.error)
        has_window = end.free_window() > 0
        end.waits_for_window = not has_window
        return has_window

    def shutdown(self, direction: int) -> None:
        """Close the sending direction; other directions have no effect here, as `close` closes both."""
        if direction == system_socket.SHUT_WR and self.end is not None:
            self.end.half_close()

    def close(self) -> None:
        """Close the socket and free its descriptor."""
        self._machine.sockets.pop(self._fileno, None)
        if self.listener is not None:
            self._machine.network.unlisten(self.listener)
        if self.end is not None:
            self.end.close(reset=self._abortive)

    def close_with_process(self, killed: bool) -> None:
        """Close what a process leaves open at its end."""
        if self.listener is not None:
            self._machine.network.unlisten(self.listener)
        if self.end is not None:
            self.end.close(killed=killed)
