"""Virtual time: one timeline for a whole world, and a reactor for each process in it.

The reactor provides `IReactorTime`, `IReactorTCP` and `callFromThread` to the program and `IReactorFDSet` to
Twisted's own TCP transports, which run here unaltered over the sockets of `ashcross.simulation.network`. Its
turn is that of Twisted's reactors: what is ready is read and written first, then the calls that are due are
made.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from twisted.internet import main, tcp
from twisted.internet.base import DelayedCall
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IReactorFDSet, IReactorTCP, IReactorTime
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from ashcross.simulation.network import Machine, VirtualSocket

TURN_GAP_US = 5  # between two turns of a reactor that has more to do
CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]
CONNECTION_LOST_FAILURE = Failure(ConnectionLost())  # type: ignore[no-untyped-call]


class Timeline:
    """Calls by time, in microseconds.

    Calls of the same time are made in the order in which they were scheduled.
    """

    __slots__ = ("_heap", "_serial", "now_us")

    def __init__(self, start_us: int) -> None:
        self.now_us, self._serial = start_us, 0
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []

    def at(self, at_us: int, call: Callable[..., Any], *args: Any) -> None:
        """Schedule `call(*args)` for `at_us`, or for now if that time has passed."""
        self._serial += 1
        heappush(self._heap, (max(at_us, self.now_us), self._serial, call, args))

    def after(self, wait_us: int, call: Callable[..., Any], *args: Any) -> None:
        """Schedule `call(*args)` for `wait_us` from now."""
        self.at(self.now_us + wait_us, call, *args)

    def run(self, until_us: int, max_steps: int) -> bool:
        """Let time pass until `until_us`.

        Return False if that took `max_steps` calls, which means an endless loop.
        """
        heap, remaining_steps = self._heap, max_steps
        while heap and heap[0][0] <= until_us:
            self.now_us, _, call, args = heappop(heap)
            call(*args)
            remaining_steps -= 1
            if not remaining_steps:
                return False
        self.now_us = max(self.now_us, until_us)
        return True


class _Client(tcp.Client):
    """Twisted's own client transport on a virtual socket."""

    def createInternetSocket(self) -> Any:
        return self.connector.reactor.machine.socket()


class _Connector(tcp.Connector):
    """Twisted's own connector, with the transport above."""

    reactor: Any

    def _makeTransport(self) -> Any:
        transport_class: Any = _Client
        return transport_class(self.host, self.port, self.bindAddress, self, self.reactor)


class _Port(tcp.Port):
    """Twisted's own listening port on a virtual socket."""

    def createInternetSocket(self) -> Any:
        return self.reactor.machine.socket()


@implementer(IReactorTime, IReactorTCP, IReactorFDSet)
class VirtualReactor:
    """The reactor of one process; it stands still while its machine is paused or dead."""

    def __init__(
        self, timeline: Timeline, machine: Machine, wake_us: int, report_fault: Callable[..., None]
    ) -> None:
        self.timeline, self.machine = timeline, machine
        self._wake_us, self._report_fault = wake_us, report_fault
        machine.on_socket_change, machine.on_resume = self._socket_changed, self._resumed
        self._readers: dict[Any, None] = {}
        self._writers: dict[Any, None] = {}
        # Sockets that may be ready, in the order in which they became so.
        self._possibly_ready: dict[VirtualSocket, None] = {}
        self._calls: list[tuple[int, int, DelayedCall]] = []
        self._serial = 0
        self._from_threads: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self._wake_at_us: int | None = None
        self._in_turn = False

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self.timeline.now_us / 1e6

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any, **kwargs: Any) -> DelayedCall:
        """Schedule a call as Twisted's reactors do, at a whole number of microseconds."""
        due_us = self.timeline.now_us + max(0, round(delay * 1e6))
        delayed_call = DelayedCall(
            due_us / 1e6, call, args, kwargs, self._call_cancelled, self._call_rescheduled, self.seconds
        )
        self._push_call(due_us, delayed_call)
        return delayed_call

    def _push_call(self, due_us: int, delayed_call: DelayedCall) -> None:
        self._serial += 1
        heappush(self._calls, (due_us, self._serial, delayed_call))
        self._wake(due_us)

    def _call_cancelled(self, delayed_call: DelayedCall) -> None:
        """Do nothing: the entry of a cancelled call is skipped when it comes due."""

    def _call_rescheduled(self, delayed_call: DelayedCall) -> None:
        # The old entry is skipped when it comes due, because its time differs from that of the call.
        self._push_call(round(delayed_call.getTime() * 1e6), delayed_call)

    def getDelayedCalls(self) -> list[DelayedCall]:
        """Return all calls that are still to be made, in order of time."""
        return [
            delayed_call
            for _, _, delayed_call in sorted(self._calls, key=lambda item: item[:2])
            if delayed_call.active()
        ]

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> _Connector:
        """Connect as Twisted's reactors do."""
        connector = _Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> _Port:
        """Listen as Twisted's reactors do."""
        listening_port = _Port(port, factory, backlog, interface, self)
        listening_port.startListening()
        return listening_port

    def addReader(self, reader: Any) -> None:
        """Call `doRead` of the selectable whenever there is something to read."""
        if reader not in self._readers:
            self._readers[reader] = None
            reader.socket.selectable = reader
            self._socket_changed(reader.socket)

    def addWriter(self, writer: Any) -> None:
        """Call `doWrite` of the selectable whenever something can be written."""
        if writer not in self._writers:
            self._writers[writer] = None
            writer.socket.selectable = writer
            self._socket_changed(writer.socket)

    def removeReader(self, reader: Any) -> None:
        """Stop calling `doRead` of the selectable."""
        self._readers.pop(reader, None)

    def removeWriter(self, writer: Any) -> None:
        """Stop calling `doWrite` of the selectable."""
        self._writers.pop(writer, None)

    def removeAll(self) -> list[Any]:
        """Remove all selectables and return them."""
        selectables = list({**self._readers, **self._writers})
        self._readers.clear()
        self._writers.clear()
        return selectables

    def getReaders(self) -> list[Any]:
        """Return the selectables that read."""
        return list(self._readers)

    def getWriters(self) -> list[Any]:
        """Return the selectables that write."""
        return list(self._writers)

    def callFromThread(self, call: Callable[..., Any], *args: Any) -> None:
        """Make a call in the next turn, as signal handlers do."""
        self._from_threads.append((call, args))
        self._wake(self.timeline.now_us)

    def stop(self) -> None:
        """End the process; what it has written is with the kernel already."""
        self.machine.exit()

    def _socket_changed(self, socket: VirtualSocket) -> None:
        """Mark a socket as possibly ready, and wake the process."""
        self._possibly_ready[socket] = None
        self._wake(self.timeline.now_us + (0 if self._in_turn else self._wake_us))

    def _resumed(self) -> None:
        self._wake_at_us = None
        self._wake(self.timeline.now_us)

    def _wake(self, at_us: int) -> None:
        if self._in_turn or self._wake_at_us is not None and self._wake_at_us <= at_us:
            return
        self._wake_at_us = at_us
        self.timeline.at(at_us, self._turn, at_us)

    def _turn(self, planned_us: int) -> None:
        if planned_us != self._wake_at_us or self.machine.halted:
            return  # an earlier turn replaced this one, or the process does not run
        self._wake_at_us = None
        self._in_turn = True
        try:
            self._poll()
            self._run_due()
        finally:
            self._in_turn = False
        if self.machine.halted:
            return
        if self._from_threads or any(True for _ in self._ready()):
            self._wake(self.timeline.now_us + TURN_GAP_US)
        self._drop_cancelled_calls()
        if self._calls:
            self._wake(max(self._calls[0][0], self.timeline.now_us + TURN_GAP_US))

    def _ready(self) -> list[tuple[Any, bool, bool]]:
        """Return what can be read and written now, in the order in which it became ready."""
        ready = []
        for socket in list(self._possibly_ready):
            selectable = socket.selectable
            reads = selectable in self._readers and socket.readable()
            writes = selectable in self._writers and socket.writable()
            if reads or writes:
                ready.append((selectable, reads, writes))
            else:
                del self._possibly_ready[socket]
        return ready

    def _poll(self) -> None:
        for selectable, reads, writes in self._ready():
            reason: Any = None
            try:
                if reads and selectable in self._readers:
                    reason = selectable.doRead()
                if not reason and writes and selectable in self._writers:
                    reads = False
                    reason = selectable.doWrite()
            except Exception as error:  # as in Twisted's reactors, only this connection is lost
                self._report_fault("reactor", "exception in a protocol", error)
                reason = main.CONNECTION_LOST
            if reason:
                self._disconnect(selectable, reason)

    def _disconnect(self, selectable: Any, reason: Any) -> None:
        self.removeReader(selectable)
        self.removeWriter(selectable)
        selectable.connectionLost(
            CONNECTION_DONE if isinstance(reason, ConnectionDone) else CONNECTION_LOST_FAILURE
        )

    def _drop_cancelled_calls(self) -> None:
        while self._calls:
            due_us, _, delayed_call = self._calls[0]
            if delayed_call.active() and round(delayed_call.getTime() * 1e6) == due_us:
                return
            heappop(self._calls)

    def _run_due(self) -> None:
        calls, self._from_threads = self._from_threads, []
        for call, args in calls:
            call(*args)
        now_us = self.timeline.now_us
        # Calls that are scheduled from now on belong to the next turn, as in Twisted's reactors.
        last_serial = self._serial
        while self._calls and self._calls[0][0] <= now_us and not self.machine.halted:
            due_us, serial, delayed_call = self._calls[0]
            if serial > last_serial:
                break
            heappop(self._calls)
            if not delayed_call.active() or round(delayed_call.getTime() * 1e6) != due_us:
                continue
            delayed_call.called = 1
            try:
                delayed_call.func(*delayed_call.args, **delayed_call.kw)
            except Exception as error:
                self._report_fault("reactor", "exception in a timed call", error)
