"""The cluster on a UDP socket: a thin protocol that passes events to a `Node` and executes its actions."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from ashcross.cluster.actions import (
    Action,
    AdmitRequest,
    ConfigurationMismatch,
    LeaseAcquired,
    LeaseLost,
    RejectRequest,
    SendMessage,
)
from ashcross.cluster.events import (
    ChargeCompleted,
    ChargeRequested,
    Event,
    MessageReceived,
    ShutdownStarted,
    TimerFired,
)
from ashcross.cluster.messages import Codec, Message, MessageError
from ashcross.cluster.node import Node
from ashcross.cluster.settings import NodeSettings
from ashcross.cluster.token_budget import QuotaKey
from ashcross.dispatcher.core import DispatcherCore
from ashcross.logs import rate_limited_log
from ashcross.registry.request_registry import RequestRecord

TIMER_EVENTS_PER_PERIOD = 4  # timer events in one health check period
STATISTICS_INTERVAL_S = 30.0
LOG_TOPIC = "cluster"
MISMATCH_LOG_TOPIC = "cluster-configuration"


def boot_time_us() -> int:
    """Return the microseconds since the machine started; sleep counts, so that leases end in it too."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


@dataclass(frozen=True, slots=True)
class ClusterSetup:
    """The parameters of a `ClusterTransport`, beside its dispatcher."""

    settings: NodeSettings
    codec: Codec
    listen: tuple[str, int]  # host and port of this process
    peers: tuple[tuple[str, int], ...]  # host and port at which this process reaches each listed member
    # returns the budgets that a request of a class and a team (None: without a team) is charged to
    quota_keys: Callable[[str, str | None], tuple[QuotaKey, ...]]


class ClusterTransport(DatagramProtocol):
    """One process of the cluster: its socket, its timers, and the admission gate of its dispatcher."""

    transport: Any  # the UDP port; Twisted sets it when the protocol starts to listen

    def __init__(
        self,
        reactor: Any,  # the reactor of Twisted or of the simulation
        dispatcher: DispatcherCore,
        setup: ClusterSetup,
        clock: Callable[[], int] = boot_time_us,
    ) -> None:
        random_source = random.Random(secrets.randbits(64))
        self.node = Node(setup.settings, random_source.getrandbits(31), clock(), random_source)
        self.unreadable_datagrams = 0
        self._reactor = reactor
        self._dispatcher = dispatcher
        self._setup = setup
        self._clock = clock
        self._port: Any = None
        self._timer = LoopingCall(self._timer_fired)
        self._statistics_timer = LoopingCall(self.log_statistics)
        self._timer.clock = reactor
        self._statistics_timer.clock = reactor

    def start(self) -> None:
        """Start to receive datagrams, and start the timers."""
        host, port = self._setup.listen
        settings = self._setup.settings
        self._port = self._reactor.listenUDP(port, self, interface=host)
        timer_interval_s = settings.period_us / TIMER_EVENTS_PER_PERIOD / 1e6
        self._start_timer("protocol", self._timer, timer_interval_s)
        self._start_timer("statistics", self._statistics_timer, STATISTICS_INTERVAL_S)
        logger.info(
            "cluster: started, position from 0 and number of listed members: member={} members={}",
            settings.member,
            settings.member_count,
        )

    @staticmethod
    def _start_timer(name: str, timer: LoopingCall, interval_s: float) -> None:
        def log_failure(reason: Failure) -> None:
            logger.error(
                "cluster: {} timer failed and does not run again until the dispatcher restarts: reason={}",
                name,
                reason.getErrorMessage(),
            )

        timer.start(interval_s, now=False).addErrback(log_failure)

    def stop(self) -> None:
        """Notify the other members, stop the timers and the socket."""
        self._handle(ShutdownStarted())
        for timer in (self._timer, self._statistics_timer):
            if timer.running:
                timer.stop()
        if self._port is not None:
            self._port.stopListening()

    def log_statistics(self) -> None:
        """Log the counts of events since the start, and the state of the cluster as this process sees it."""
        node = self.node
        logger.info(
            "cluster: statistics, counts since the start but for live, members, term and leader, which are "
            "the present state (leader by position from 0; term 0: no candidacy known): "
            "{} live={} members={} term={} leader={} unreadable={} standstills={}",
            node.counters.text(),
            node.membership.live_members(self._clock()).bit_count(),
            self._setup.settings.member_count,
            node.leader_lease.key.number,
            node.leader_lease.key.leader,
            self.unreadable_datagrams,
            node.failure_detector.standstills,
        )

    def request_received(self, request: RequestRecord, team: str | None) -> None:
        """Admit a request at once if no quota counts it; otherwise admit or reject it, now or later."""
        quota_keys = self._setup.quota_keys(request.class_name, team)
        if not quota_keys:
            self._dispatcher.admit(request.request_id)
            return
        remaining_us = max(0, request.deadline_us - self._dispatcher.clock())
        self._handle(ChargeRequested(request.request_id, quota_keys, self._clock() + remaining_us))

    def attempt_started(self, request: RequestRecord) -> None:
        """Record that the request goes out to an engine: its tokens are spent."""
        self._handle(ChargeCompleted(request.request_id, spent=True))

    def request_finished(self, request: RequestRecord) -> None:
        """Record that the request has its answer; tokens that no attempt has spent are given back."""
        self._handle(ChargeCompleted(request.request_id, spent=False))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: ARG002, N802 - Twisted's
        """Pass a message to the node; a datagram that cannot be decoded is counted and logged."""
        try:
            message = self._setup.codec.decode(datagram)
        except MessageError as error:
            self.unreadable_datagrams += 1
            rate_limited_log.warn(LOG_TOPIC, f"datagram dropped reason={error}")
            return
        self._handle(MessageReceived(message))

    def _timer_fired(self) -> None:
        self._handle(TimerFired())

    def _handle(self, event: Event) -> None:
        try:
            for action in self.node.handle(self._clock(), event):
                self._execute(action)
        except Exception as error:
            # The process goes on without this event. A request whose charge is lost with it does not wait for
            # ever: its deadline ends the wait.
            rate_limited_log.warn(LOG_TOPIC, f"event not handled event={type(event).__name__}", error)

    def _execute(self, action: Action) -> None:
        match action:
            case SendMessage(member, message):
                self._send(member, message)
            case AdmitRequest(request_id):
                self._dispatcher.admit(request_id)
            case RejectRequest(request_id, retry_after_us):
                self._dispatcher.reject(request_id, retry_after_us)
            case LeaseAcquired(number):
                logger.info("cluster: this dispatcher has acquired the leader lease: term={}", number)
            case LeaseLost(number):
                logger.info(
                    "cluster: this dispatcher no longer holds the leader lease; "
                    "the candidacy that it knows now is term={}",
                    number,
                )
            case ConfigurationMismatch(member):
                reason = "its members, lease or quotas differ from those of this dispatcher"
                rate_limited_log.warn(
                    MISMATCH_LOG_TOPIC,
                    "messages ignored of the member at this position (from 0), "
                    "give all dispatchers the same members, lease and quotas: "
                    f"member={member} reason={reason!r}",
                )

    def _send(self, member: int, message: Message) -> None:
        if self.transport is None:
            return
        try:
            self.transport.write(self._setup.codec.encode(message), self._setup.peers[member])
        except OSError as error:
            # The send buffer is full, or there is no route: the protocol treats it as a lost datagram.
            rate_limited_log.warn(LOG_TOPIC, f"datagram not sent member={member} reason={error}")
