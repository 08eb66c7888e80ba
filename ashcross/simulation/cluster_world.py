"""A deterministic simulation of a cluster: nodes, their network and clocks with faults, and checks of rules.

The nodes are the real ones (`ashcross.cluster.node.Node`) and exchange real datagrams. Each process reads
only its own clock; the rates of two clocks differ by at most `MAX_DRIFT_PPM`. The checks use the time of the
simulation.
"""

from __future__ import annotations

import hashlib
import random
import traceback
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import msgspec

from ashcross.cluster.actions import (
    Action,
    AdmitRequest,
    ConfigurationMismatch,
    LeaseAcquired,
    LeaseLost,
    RejectRequest,
    SendMessage,
)
from ashcross.cluster.clock_rates import MAX_DRIFT_PPM
from ashcross.cluster.events import (
    ChargeCompleted,
    ChargeRequested,
    Event,
    MessageReceived,
    ShutdownStarted,
    TimerFired,
)
from ashcross.cluster.leader_lease import MIN_LEASE_PERIODS
from ashcross.cluster.messages import Codec
from ashcross.cluster.node import Node
from ashcross.cluster.settings import NodeSettings
from ashcross.cluster.token_budget import QuotaKey, QuotaLimit
from ashcross.errors import AshcrossError
from ashcross.simulation.invariant_checker import Violation
from ashcross.simulation.world import Result

MAX_BREAKS, MAX_STEPS = 8, 400_000
# signs the datagrams; their last bytes are part of the digest, so that the key must not change
KEY = b"the laboratory's"
MAX_QUEUED_DATAGRAMS = 256  # that the kernel keeps for a paused process
CHARGE_WAIT_US = 80_000  # after which a node rejects a charge for which it has no tokens
USE_CHECK_US = 4_000_000  # length of the interval at the end in which the use of the limits is checked
MIN_USE = 0.8  # fraction of the admissible requests that must be admitted in that interval
ANSWER_SLACK_US = 100_000  # grace for an answer beyond `CHARGE_WAIT_US` and one timer period


class ClusterFault(msgspec.Struct, frozen=True):
    """One fault, from `at_us` for `duration_us`; the meaning of `side` and `amount` depends on its kind."""

    kind: str
    at_us: int
    duration_us: int
    target: int = 0
    side: tuple[int, ...] = ()
    amount: float = 0.0


class Stream(msgspec.Struct, frozen=True):
    """Requests at one member for one quota, at `rate` per second between two times.

    The repr of a stream seeds its random source, so that the names of this class and of its fields must not
    change: the digests of all seeds would.
    """

    member: int
    quota: int
    key: int  # -1: each request has a new quota key
    rate: float
    from_us: int
    to_us: int


class ClusterScript(msgspec.Struct, frozen=True):
    """The configuration, requests and faults of one run."""

    seed: int
    members: int
    lease_us: int
    period_us: int
    limits: tuple[tuple[float, float, float], ...]  # rate per second, burst, offline fraction
    drift_ppm: tuple[float, ...]  # drift of each member's clock
    latency_us: tuple[int, int]
    streams: tuple[Stream, ...]
    faults: tuple[ClusterFault, ...]
    calm_us: int  # all faults have ended by then
    length_us: int


def _notice_text(notice: LeaseAcquired | LeaseLost | ConfigurationMismatch) -> str:
    """Return the text of a notice; the digests of all seeds depend on these texts, which must not change."""
    match notice:
        case LeaseAcquired(number):
            return f"term: steward of term {number}"
        case LeaseLost(number):
            return f"term: no steward any more of term {number}"
        case ConfigurationMismatch(member):
            return f"plan: member {member} has other members, lease or quotas: not heard"


FAULTS = (
    "cut",
    "cut-one-way",
    "cut-chain",
    "loss",
    "late",
    "double",
    "kill",
    "kill-all",
    "kill-steward",
    "pause",
    "pause-steward",
    "leave",
    "rate",
    "cut-steward",
    "kill-steward",
    "pause-steward",
    "cut-steward",
)


def draw(seed: int) -> ClusterScript:
    """Return the script of a seed; the order of the random draws determines it."""
    random_source = random.Random(f"tier/{seed}")
    members = random_source.choice((2, 3, 3, 3, 4, 5, 5, 6, 7, 9, 12))
    lease_us = random_source.randrange(800, 3_000) * 1000
    period_us = random_source.choice((50, 100, 100, 200)) * 1000
    lease_us = max(lease_us, MIN_LEASE_PERIODS * period_us)
    limits = []
    for _ in range(random_source.choice((1, 1, 2, 3))):
        rate = random_source.choice((2.0, 5.0, 20.0, 60.0))
        burst = float(max(1, int(rate * random_source.choice((0.5, 1.0, 3.0)))))
        limits.append((rate, burst, random_source.choice((0.0, 0.15, 0.3, 0.6))))
    busy_us = random_source.randrange(6, 14) * 1_000_000
    calm_us = lease_us * 2 + busy_us
    length_us = calm_us + 4 * lease_us + 7_000_000
    streams = [
        Stream(
            random_source.randrange(members),
            random_source.randrange(len(limits)),
            random_source.choice((0, 0, 0, 0, 1, -1)),
            random_source.choice((0.5, 3.0, 15.0, 40.0)),
            random_source.choice((0, random_source.randrange(0, calm_us))),
            length_us if random_source.random() < 0.6 else random_source.randrange(calm_us, length_us),
        )
        for _ in range(random_source.randrange(2, 3 + members))
    ]
    faults = []
    for _ in range(random_source.choice((2, 3, 4, 6))):
        kind, at_us = random_source.choice(FAULTS), random_source.randrange(0, calm_us)
        side = tuple(member for member in range(members) if random_source.random() < 0.5)
        duration_us = min(calm_us - at_us, random_source.choice((50_000, 400_000, lease_us, 3 * lease_us)))
        # most faults begin after two lease durations, when a leader has been elected
        at_us = max(at_us, random_source.choice((0, 2 * lease_us)))
        faults.append(
            ClusterFault(
                kind, at_us, duration_us, random_source.randrange(members), side, random_source.random()
            )
        )
    return ClusterScript(
        seed=seed,
        members=members,
        lease_us=lease_us,
        period_us=period_us,
        limits=tuple(limits),
        drift_ppm=tuple(random_source.uniform(-MAX_DRIFT_PPM / 2, MAX_DRIFT_PPM / 2) for _ in range(members)),
        latency_us=(50, random_source.choice((300, 2_000, 20_000))),
        streams=tuple(streams),
        faults=tuple(sorted(faults, key=lambda fault: fault.at_us)),
        calm_us=calm_us,
        length_us=length_us,
    )


class Process:
    """One member: its node, which may be killed and started again, and the clock of its machine."""

    def __init__(self, world: ClusterWorld, number: int) -> None:
        self.world, self.number = world, number
        self.node: Node | None = None
        self.paused = False
        self.starts = 0
        self.queue: deque[bytes] = deque()
        self._drift_ppm = world.script.drift_ppm[number]
        # the simulation's time and this clock's time at the last change of the clock's rate
        self._rate_set_true_us, self._rate_set_local_us = 0, 1_000_000 * (number + 1)

    def clock(self) -> int:
        """Return the time of this machine's clock in microseconds."""
        return self._rate_set_local_us + int(
            (self.world.now_us - self._rate_set_true_us) * (1.0 + self._drift_ppm / 1e6)
        )

    def set_rate(self, drift_ppm: float) -> None:
        """Change the drift of the clock from now on."""
        self._rate_set_local_us, self._rate_set_true_us = self.clock(), self.world.now_us
        self._drift_ppm = drift_ppm

    def start(self) -> None:
        """Start a new incarnation without any state."""
        script = self.world.script
        self.starts += 1
        random_source = random.Random(f"{script.seed}/{self.number}/{self.starts}")
        limits = tuple(QuotaLimit(*limit) for limit in script.limits)
        settings = NodeSettings(
            self.number, script.members, 7, script.lease_us, script.period_us, limits, CHARGE_WAIT_US
        )
        self.node = Node(settings, random_source.getrandbits(31), self.clock(), random_source)
        self.queue.clear()

    def kill(self) -> None:
        """Discard the node with all its state; its requests need no answer any more."""
        self.node, self.paused = None, False
        self.queue.clear()
        self.world.forget_requests(self.number)

    def deliver(self, event: Event) -> None:
        """Let the node handle an event, and execute its actions; a paused or killed process ignores it."""
        if self.node is not None and not self.paused:
            self.world.execute(self, self.node.handle(self.clock(), event))

    def receive(self, data: bytes) -> None:
        """Decode a datagram and handle its message; a paused process queues it."""
        if self.node is None:
            return
        if self.paused:
            if len(self.queue) < MAX_QUEUED_DATAGRAMS:
                self.queue.append(data)
            return
        try:
            message = self.world.codec.decode(data)
        except AshcrossError as error:
            self.world.report_break("fault", f"d{self.number} cannot read a datagram: {error}")
            return
        self.deliver(MessageReceived(message))

    def resume(self) -> None:
        """Resume a paused process, which first handles the queued datagrams."""
        self.paused = False
        while self.queue:
            self.receive(self.queue.popleft())
        self.deliver(TimerFired())


class ClusterWorld:
    """Runs one script on a virtual clock and network."""

    def __init__(self, script: ClusterScript, log: Callable[[str], None] | None = None) -> None:
        self.script, self.now_us, self._serial = script, 0, 0
        self._log = log
        self._timeline: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._random_source = random.Random(f"tier-run/{script.seed}")
        self.codec = Codec(KEY)
        self._digest = hashlib.blake2b(digest_size=16)
        self.breaks: list[Violation] = []
        self._blocked: set[tuple[int, int]] = set()
        self._loss_chance = self._duplicate_chance = self._delay_chance = 0.0
        self.processes = [Process(self, number) for number in range(script.members)]
        # by request id: member, time of the request, quota and key, incarnation of the process
        self._pending: dict[str, tuple[int, int, tuple[int, bytes], int]] = {}
        self._buckets: dict[tuple[int, bytes], tuple[float, int]] = {}
        # by request id, until it completes: member, quota and key, time of the admission
        self._admitted: dict[str, tuple[int, tuple[int, bytes], int]] = {}
        self.tally = {"taken": 0, "granted": 0, "refused": 0, "given back": 0}
        # by quota and key, in the last `USE_CHECK_US` of the run: times of requests, number of admissions
        self._final_requests: dict[tuple[int, bytes], list[int]] = {}
        self._final_admissions: dict[tuple[int, bytes], int] = {}
        self._charged: list[tuple[int, tuple[int, bytes]]] = []
        self._requests = 0

    def schedule(self, at_us: int, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call; calls at the same time run in the order of scheduling."""
        self._serial += 1
        heappush(self._timeline, (at_us, self._serial, call, args))

    def run(self) -> Result:
        """Run the script to its end, check the rules, and return the result."""
        script = self.script
        for process in self.processes:
            process.start()
            self.schedule(self._random_source.randrange(script.period_us // 4), self._run_timer, process)
        for stream in script.streams:
            self.schedule(
                stream.from_us, self._send_request, stream, random.Random(f"{script.seed}/{stream}")
            )
        for number, fault in enumerate(script.faults):
            self.schedule(
                fault.at_us, self._apply_fault, fault, random.Random(f"{script.seed}/{number}/fault")
            )
        self.schedule(script.calm_us, self._end_faults)
        steps = 0
        while self._timeline and self._timeline[0][0] <= script.length_us and len(self.breaks) < MAX_BREAKS:
            self.now_us, _, call, args = heappop(self._timeline)
            call(*args)
            steps += 1
            if steps > MAX_STEPS:
                self.report_break("fault", f"the run did not end within {MAX_STEPS} steps")
                break
        if len(self.breaks) < MAX_BREAKS:
            self._check_limits()
            self._check_use()
            self._check_recovery()
        return Result(
            script.seed,
            self._digest.hexdigest(),
            self.breaks,
            self.tally,
            self._requests,
            len(script.faults),
            self.now_us / 1e6,
            script.members,
            {},
            [],
        )

    def report_break(self, rule: str, text: str) -> None:
        """Record a broken rule; its text goes into the digest too."""
        if len(self.breaks) < MAX_BREAKS:
            self.breaks.append(Violation(rule, self.now_us, text))
        self.record(f"BROKEN {rule}: {text}")

    def record(self, text: str) -> None:
        """Add a line to the log and to the digest, which depends on the texts of all lines."""
        self._digest.update(text.encode())
        if self._log is not None:
            self._log(f"{self.now_us / 1000:10.3f} ms  {text}")

    def execute(self, process: Process, actions: list[Action]) -> None:
        """Execute the actions of a node, and check that there is one leader at most."""
        for action in actions:
            match action:
                case SendMessage(member, message):
                    self._send(process.number, member, self.codec.encode(message))
                case AdmitRequest(request_id):
                    self._handle_admission(process, request_id)
                case RejectRequest(request_id, retry_after_us):
                    self._handle_rejection(process, request_id, retry_after_us)
                case LeaseAcquired() | LeaseLost() | ConfigurationMismatch():
                    self.record(f"d{process.number}: {_notice_text(action)}")
        self._check_single_leader()

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        self._digest.update(f"{self.now_us} {sender} {receiver} ".encode() + data[-16:])
        if (sender, receiver) in self._blocked or self._random_source.random() < self._loss_chance:
            return
        for _ in range(2 if self._random_source.random() < self._duplicate_chance else 1):
            delay_us = self._random_source.randrange(*self.script.latency_us)
            if self._random_source.random() < self._delay_chance:
                delay_us += self._random_source.randrange(2 * self.script.lease_us)
            self.schedule(self.now_us + delay_us, self._deliver_datagram, sender, receiver, data)

    def _deliver_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        if (sender, receiver) not in self._blocked:
            self.processes[receiver].receive(data)

    def _run_timer(self, process: Process) -> None:
        process.deliver(TimerFired())
        self.schedule(self.now_us + self.script.period_us // 4, self._run_timer, process)

    def _send_request(self, stream: Stream, random_source: random.Random) -> None:
        if self.now_us >= stream.to_us:
            return
        self.schedule(
            self.now_us + max(1, int(random_source.expovariate(stream.rate) * 1e6)),
            self._send_request,
            stream,
            random_source,
        )
        process = self.processes[stream.member]
        if process.node is None or process.paused:
            return
        self._requests += 1
        request_id = f"{self._requests:08x}"
        key = (f"new{request_id}" if stream.key < 0 else f"k{stream.key}").encode()
        quota_key = (stream.quota, key[:16])
        self._pending[request_id] = (process.number, self.now_us, quota_key, process.starts)
        self.tally["taken"] += 1
        if self.now_us >= self.script.length_us - USE_CHECK_US:
            self._final_requests.setdefault(quota_key, []).append(self.now_us)
        process.deliver(ChargeRequested(request_id, (QuotaKey(*quota_key),), process.clock() + 2_000_000))
        delay_us = CHARGE_WAIT_US + self.script.period_us // 4 + ANSWER_SLACK_US
        self.schedule(self.now_us + delay_us, self._check_answer, request_id)

    def _check_answer(self, request_id: str) -> None:
        pending = self._pending.get(request_id)
        if pending is None:
            return
        process = self.processes[pending[0]]
        if process.node is None or process.starts != pending[3]:
            del self._pending[request_id]
        elif process.paused:
            self.schedule(self.now_us + ANSWER_SLACK_US, self._check_answer, request_id)
        else:
            del self._pending[request_id]
            self.report_break("answered", f"d{pending[0]} neither admitted nor rejected {request_id} in time")

    def _handle_admission(self, process: Process, request_id: str) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            self.report_break("answered", f"d{process.number} admitted {request_id}, which was not pending")
            return
        self.tally["granted"] += 1
        self.record(f"d{process.number}: {request_id} of {pending[2]} may pass")
        self._admitted[request_id] = (process.number, pending[2], self.now_us)
        # most requests complete soon; some wait in the dispatcher, and some of these never run
        delay_us = self._random_source.choice((100, 100, 2_000, 700_000))
        self.schedule(
            self.now_us + delay_us,
            self._complete,
            request_id,
            process.starts,
            self._random_source.random() < 0.9,
        )

    def _complete(self, request_id: str, start: int, ran: bool) -> None:
        number, quota_key, admitted_us = self._admitted.pop(request_id)
        process = self.processes[number]
        if process.starts == start and process.node is not None and process.paused:
            self._admitted[request_id] = (number, quota_key, admitted_us)
            self.schedule(self.now_us + ANSWER_SLACK_US, self._complete, request_id, start, ran)
            return
        alive = process.starts == start and process.node is not None
        if ran or not alive:
            self._charged.append((admitted_us, quota_key))
        else:
            self.tally["given back"] += 1
        if alive:
            process.deliver(ChargeCompleted(request_id, ran))

    def _handle_rejection(self, process: Process, request_id: str, retry_after_us: int) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            self.report_break("answered", f"d{process.number} rejected {request_id}, which was not pending")
            return
        self.tally["refused"] += 1
        self.record(f"d{process.number}: {request_id} of {pending[2]} is turned away, {retry_after_us} us")
        if retry_after_us <= 0:
            self.report_break(
                "answered", f"d{process.number} rejected {request_id} with retry time {retry_after_us} us"
            )

    def forget_requests(self, number: int) -> None:
        """Forget the pending requests of a process that has been killed."""
        for request_id in [
            request_id for request_id, pending in self._pending.items() if pending[0] == number
        ]:
            del self._pending[request_id]

    def _check_single_leader(self) -> None:
        """Check that at most one process holds the leader lease by its own clock."""
        leader_numbers = [
            process.number
            for process in self.processes
            if process.node is not None and process.node.leader_lease.is_leader(process.clock())
        ]
        if len(leader_numbers) > 1:
            self.report_break(
                "steward",
                f"{' and '.join(f'd{number}' for number in leader_numbers)} hold the leader lease at once",
            )

    def _check_limits(self) -> None:
        """Check each quota against a token bucket of its rate and burst, which must never go below zero."""
        charged = self._charged + [(at_us, quota_key) for _, quota_key, at_us in self._admitted.values()]
        for at_us, quota_key in sorted(charged):
            rate, burst, _ = self.script.limits[quota_key[0]]
            tokens, last_us = self._buckets.get(quota_key, (burst, 0))
            tokens = min(burst, tokens + (at_us - last_us) * rate / 1e6) - 1.0
            self._buckets[quota_key] = (tokens, at_us)
            self._final_admissions[quota_key] = self._final_admissions.get(quota_key, 0) + (
                at_us >= self.script.length_us - USE_CHECK_US
            )
            if tokens < -1e-6:
                self.now_us = at_us
                self.report_break(
                    "limit", f"{quota_key} exceeded by {-tokens:.3f} tokens at {at_us / 1e6:.3f} s"
                )
                self._buckets[quota_key] = (0.0, at_us)

    def _check_use(self) -> None:
        """Check that requests are admitted up to the limits once all faults have ended."""
        for quota_key, request_times in self._final_requests.items():
            rate, burst, _ = self.script.limits[quota_key[0]]
            tokens, last_us, admissible, admitted = (
                0.0,
                self.script.length_us - USE_CHECK_US,
                0,
                self._final_admissions.get(quota_key, 0),
            )
            # admissible is what one central bucket would admit, if it were empty at the start of the interval
            for at_us in request_times:
                tokens, last_us = min(burst, tokens + (at_us - last_us) * rate / 1e6), at_us
                admissible += tokens >= 1.0
                tokens -= tokens >= 1.0
            if admitted < MIN_USE * admissible - 3 and not quota_key[1].startswith(b"new"):
                self.report_break(
                    "use",
                    f"{quota_key}: {admitted} of {admissible} admissible requests admitted in the last 4 s",
                )

    def _check_recovery(self) -> None:
        """Check that at the end all live members know each other, and that a live majority has one leader."""
        live = [process for process in self.processes if process.node is not None]
        live_mask = sum(1 << process.number for process in live)
        for process in live:
            assert process.node is not None
            known_mask = process.node.membership.live_members(process.clock())
            if known_mask != live_mask:
                self.report_break(
                    "members", f"d{process.number} has live members {known_mask:b}, expected {live_mask:b}"
                )
        if 2 * len(live) > len(self.processes):
            leaders = [
                process
                for process in live
                if process.node is not None and process.node.leader_lease.is_leader(process.clock())
            ]
            if len(leaders) != 1:
                self.report_break("steward", f"{len(leaders)} leaders at the end, expected 1")

    def _end_faults(self) -> None:
        self._blocked, self._loss_chance, self._duplicate_chance, self._delay_chance = set(), 0.0, 0.0, 0.0
        for process in self.processes:
            if process.paused:
                process.resume()
            if process.node is None or process.node.ended:
                process.kill()
                process.start()

    def _apply_fault(self, fault: ClusterFault, random_source: random.Random) -> None:
        self.record(f"fault {fault.kind} target {fault.target} left {fault.side} for {fault.duration_us} us")
        leader = next(
            (
                process
                for process in self.processes
                if process.node is not None and process.node.leader_lease.is_leader(process.clock())
            ),
            None,
        )
        target = self.processes[fault.target]
        if fault.kind.endswith("-steward") and leader is not None:
            target = leader
        until_us = self.now_us + fault.duration_us
        match fault.kind.removesuffix("-steward"):
            case "cut" if fault.kind == "cut-steward":
                self._partition({target.number}, until_us, False)
            case "cut":
                self._partition(set(fault.side), until_us, False)
            case "cut-one-way":
                self._partition(set(fault.side), until_us, True)
            case "cut-chain":  # each member reaches only its neighbours
                count = self.script.members
                pairs = {
                    (sender, receiver)
                    for sender in range(count)
                    for receiver in range(count)
                    if abs(sender - receiver) > 1
                }
                self._blocked |= pairs
                self.schedule(until_us, self._unblock, pairs)
            case "loss":
                self._loss_chance = 0.1 + 0.6 * fault.amount
                self.schedule(until_us, self._set, "_loss_chance", 0.0)
            case "late":
                self._delay_chance = 0.3 * fault.amount
                self.schedule(until_us, self._set, "_delay_chance", 0.0)
            case "double":
                self._duplicate_chance = fault.amount
                self.schedule(until_us, self._set, "_duplicate_chance", 0.0)
            case "kill":
                target.kill()
                self.schedule(until_us, self._start_if_killed, target)
            case "kill-all":
                for process in self.processes:
                    process.kill()
                    self.schedule(until_us + random_source.randrange(300_000), self._start_if_killed, process)
            case "pause":
                target.paused = target.node is not None
                self.schedule(until_us, self._resume_if_paused, target)
            case "leave":
                target.deliver(ShutdownStarted())
                self.schedule(self.now_us + 50_000, self._kill_if_ended, target)
                self.schedule(until_us + 60_000, self._start_if_killed, target)
            case "rate":
                target.set_rate(random_source.uniform(-MAX_DRIFT_PPM / 2, MAX_DRIFT_PPM / 2))

    def _partition(self, side: set[int], until_us: int, one_way: bool) -> None:
        other_side = set(range(self.script.members)) - side
        pairs = {(sender, receiver) for sender in side for receiver in other_side}
        pairs |= set() if one_way else {(receiver, sender) for sender, receiver in pairs}
        self._blocked |= pairs
        self.schedule(until_us, self._unblock, pairs)

    def _unblock(self, pairs: set[tuple[int, int]]) -> None:
        self._blocked -= pairs

    def _set(self, attribute: str, value: float) -> None:
        setattr(self, attribute, value)

    def _start_if_killed(self, process: Process) -> None:
        if process.node is None:
            process.start()

    def _kill_if_ended(self, process: Process) -> None:
        if process.node is not None and process.node.ended:
            process.kill()

    def _resume_if_paused(self, process: Process) -> None:
        if process.paused:
            process.resume()


def run(script: ClusterScript, log: Callable[[str], None] | None = None) -> Result:
    """Run a script; an exception is not raised but reported in the result's `error`."""
    world = ClusterWorld(script, log)
    try:
        return world.run()
    except Exception:
        return Result(
            script.seed,
            "",
            world.breaks,
            {},
            0,
            len(script.faults),
            0.0,
            script.members,
            {},
            error=traceback.format_exc(),
        )
