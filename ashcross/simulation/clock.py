"""Virtual time: one timeline for a whole world, and a reactor for each process that lives in it.

The reactor provides `IReactorTime`, `IReactorTCP` and `callFromThread` to the program and `IReactorFDSet` to
Twisted's own TCP transports, which run here unaltered over the sockets of `ashcross.simulation.network`.
Its turn is that of Twisted's reactors: what is ready is read and written first, then what is due is called.
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

TURN_GAP_US = 5  # from one turn of a reactor that has more to do until its next
CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]
CONNECTION_LOST_FAILURE = Failure(ConnectionLost())  # type: ignore[no-untyped-call]


class Timeline:
    """What happens when, in microseconds; things of one time happen in the order in which they were told."""

    __slots__ = ("_heap", "_serial", "now_us")

    def __init__(self, start_us: int) -> None:
        self.now_us, self._serial = start_us, 0
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []

    def at(self, at_us: int, call: Callable[..., Any], *args: Any) -> None:
        """Have `call(*args)` made once it is `at_us`, or at once if that has passed."""
        self._serial += 1
        heappush(self._heap, (max(at_us, self.now_us), self._serial, call, args))

    def after(self, wait_us: int, call: Callable[..., Any], *args: Any) -> None:
        """The same, a while from now."""
        self.at(self.now_us + wait_us, call, *args)

    def run(self, until_us: int, max_steps: int) -> bool:
        """Let time pass; False if that took `steps_most` steps: something never rests."""
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
    """Twisted's own connector."""

    reactor: Any

    def _makeTransport(self) -> Any:
        transport_class: Any = _Client
        return transport_class(self.host, self.port, self.bindAddress, self, self.reactor)


class _Port(tcp.Port):
    """Twisted's own listening port."""

    def createInternetSocket(self) -> Any:
        return self.reactor.machine.socket()


@implementer(IReactorTime, IReactorTCP, IReactorFDSet)
class VirtualReactor:
    """The reactor of one process. It stands still while its machine is paused, or dead."""

    def __init__(
        self, timeline: Timeline, machine: Machine, wake_us: int, report_fault: Callable[..., None]
    ) -> None:
        self.timeline, self.machine, self._wake_us, self._report_fault = (
            timeline,
            machine,
            wake_us,
            report_fault,
        )
        machine.on_socket_change, machine.on_resume = self._socket_changed, self._resumed
        self._readers: dict[Any, None] = {}
        self._writers: dict[Any, None] = {}
        self._possibly_ready: dict[
            VirtualSocket, None
        ] = {}  # what may be ready, in the order in which it became so
        self._calls: list[tuple[int, int, DelayedCall]] = []
        self._serial = 0
        self._from_threads: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self._wake_at_us: int | None = None
        self._in_turn = False

    # ------------------------------------------------------- IReactorTime

    def seconds(self) -> float:
        """Seconds since the world's beginning of time."""
        return self.timeline.now_us / 1e6

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any, **kwargs: Any) -> DelayedCall:
        """As Twisted's; the time is a whole number of microseconds."""
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
        """Its entry is skipped when it comes due."""

    def _call_rescheduled(self, delayed_call: DelayedCall) -> None:
        # its old entry is skipped, as its time no longer fits
        self._push_call(round(delayed_call.getTime() * 1e6), delayed_call)

    def getDelayedCalls(self) -> list[DelayedCall]:
        """All calls that are still to be made."""
        return [
            delayed_call
            for _, _, delayed_call in sorted(self._calls, key=lambda item: item[:2])
            if delayed_call.active()
        ]

    # -------------------------------------------------------- IReactorTCP

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> _Connector:
        """As Twisted's."""
        connector = _Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> _Port:
        """As Twisted's."""
        listening = _Port(port, factory, backlog, interface, self)
        listening.startListening()
        return listening

    # ------------------------------------------------------ IReactorFDSet

    def addReader(self, reader: Any) -> None:
        """Call `doRead` whenever there is something to read."""
        if reader not in self._readers:
            self._readers[reader] = None
            reader.socket.selectable = reader
            self._socket_changed(reader.socket)

    def addWriter(self, writer: Any) -> None:
        """Call `doWrite` whenever something can be written."""
        if writer not in self._writers:
            self._writers[writer] = None
            writer.socket.selectable = writer
            self._socket_changed(writer.socket)

    def removeReader(self, reader: Any) -> None:
        """Read no more."""
        self._readers.pop(reader, None)

    def removeWriter(self, writer: Any) -> None:
        """Write no more."""
        self._writers.pop(writer, None)

    def removeAll(self) -> list[Any]:
        """Leave every selectable."""
        selectables = list({**self._readers, **self._writers})
        self._readers.clear()
        self._writers.clear()
        return selectables

    def getReaders(self) -> list[Any]:
        """Who reads."""
        return list(self._readers)

    def getWriters(self) -> list[Any]:
        """Who writes."""
        return list(self._writers)

    # --------------------------------------------------------- the rest

    def callFromThread(self, call: Callable[..., Any], *args: Any) -> None:
        """Make a call in the next turn: what signal handlers do."""
        self._from_threads.append((call, args))
        self._wake(self.timeline.now_us)

    def stop(self) -> None:
        """The process ends, once what is written has been handed to the kernel."""
        self.machine.exit()

    def _socket_changed(self, socket: VirtualSocket) -> None:
        """Something about a socket has changed: it may be ready."""
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
            return  # an earlier turn took its place, or the process does not run
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
        """Who can read and who can write now, in the order in which that became so."""
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
            except Exception as error:  # as in Twisted's reactors: it costs this connection
                self._report_fault("reactor", "fault in a protocol", error)
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
        last_serial = (
            self._serial
        )  # what is asked for now belongs to the next turn, as Twisted's new calls do
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
                self._report_fault("reactor", "fault in a timed call", error)
