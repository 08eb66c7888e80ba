"""The tier on a virtual clock: nodes, datagrams that are lost, late, doubled and cut off, and a judge.

A node is the program's own (`ashcross.cluster.node.Node`), its datagrams are the program's bytes. Each
process counts time by a clock of its own, up to `MAX_DRIFT_PPM` apart from any other, and knows no other.
The judge goes by true time.
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

BREAKS_MOST, STEPS_MOST = 8, 400_000
KEY = b"the laboratory's"
QUEUE_MOST = 256  # datagrams that the kernel keeps for a process that stands still
PATIENCE_US = 80_000
LAST_US = 4_000_000  # at the end, in which use is judged
USE = 0.8  # of what could be admitted in the calm at the end
LATE_US = 100_000  # that an answer of the gate may take beyond patience and a tick, of a process that runs


class TierFault(msgspec.Struct, frozen=True):
    """One fault: from `at_us` for `for_us`; what `left` and `amount` mean is its kind's."""

    kind: str
    at_us: int
    for_us: int
    target: int = 0
    left: tuple[int, ...] = ()
    amount: float = 0.0


class Stream(msgspec.Struct, frozen=True):
    """Requests at one member for one quantity, `rate` a second between two times."""

    member: int
    quota: int
    key: int  # -1: a name never seen before with each
    rate: float
    from_us: int
    to_us: int


class TierScript(msgspec.Struct, frozen=True):
    """All that happens in one run."""

    seed: int
    members: int
    lease_us: int
    period_us: int
    limits: tuple[tuple[float, float, float], ...]  # rate a second, burst, apart
    ppm: tuple[float, ...]  # of each member's clock
    latency_us: tuple[int, int]
    streams: tuple[Stream, ...]
    faults: tuple[TierFault, ...]
    calm_us: int  # from then on nothing is wrong
    length_us: int


def _notice_text(notice: LeaseAcquired | LeaseLost | ConfigurationMismatch) -> str:
    """A notice in the words that the digests of kept seeds were made with."""
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


def draw(seed: int) -> TierScript:
    """The script of a seed."""
    rng = random.Random(f"tier/{seed}")
    members = rng.choice((2, 3, 3, 3, 4, 5, 5, 6, 7, 9, 12))
    lease_us = rng.randrange(800, 3_000) * 1000
    period_us = rng.choice((50, 100, 100, 200)) * 1000
    lease_us = max(lease_us, MIN_LEASE_PERIODS * period_us)
    limits = []
    for _ in range(rng.choice((1, 1, 2, 3))):
        rate = rng.choice((2.0, 5.0, 20.0, 60.0))
        burst = float(max(1, int(rate * rng.choice((0.5, 1.0, 3.0)))))
        limits.append((rate, burst, rng.choice((0.0, 0.15, 0.3, 0.6))))
    busy_us = rng.randrange(6, 14) * 1_000_000
    calm_us = lease_us * 2 + busy_us
    length_us = calm_us + 4 * lease_us + 7_000_000
    streams = [
        Stream(
            rng.randrange(members),
            rng.randrange(len(limits)),
            rng.choice((0, 0, 0, 0, 1, -1)),
            rng.choice((0.5, 3.0, 15.0, 40.0)),
            rng.choice((0, rng.randrange(0, calm_us))),
            length_us if rng.random() < 0.6 else rng.randrange(calm_us, length_us),
        )
        for _ in range(rng.randrange(2, 3 + members))
    ]
    faults = []
    for _ in range(rng.choice((2, 3, 4, 6))):
        kind, at_us = rng.choice(FAULTS), rng.randrange(0, calm_us)
        left = tuple(i for i in range(members) if rng.random() < 0.5)
        for_us = min(calm_us - at_us, rng.choice((50_000, 400_000, lease_us, 3 * lease_us)))
        at_us = max(at_us, rng.choice((0, 2 * lease_us)))  # most once there is a steward
        faults.append(TierFault(kind, at_us, for_us, rng.randrange(members), left, rng.random()))
    return TierScript(
        seed=seed,
        members=members,
        lease_us=lease_us,
        period_us=period_us,
        limits=tuple(limits),
        ppm=tuple(rng.uniform(-MAX_DRIFT_PPM / 2, MAX_DRIFT_PPM / 2) for _ in range(members)),
        latency_us=(50, rng.choice((300, 2_000, 20_000))),
        streams=tuple(streams),
        faults=tuple(sorted(faults, key=lambda fault: fault.at_us)),
        calm_us=calm_us,
        length_us=length_us,
    )


class Process:
    """One member's place: processes come and go, the clock is the machine's."""

    def __init__(self, world: TierWorld, number: int) -> None:
        self.world, self.number = world, number
        self.node: Node | None = None
        self.paused = False
        self.starts = 0
        self.queue: deque[bytes] = deque()
        self._ppm = world.script.ppm[number]
        self._true_us, self._local_us = 0, 1_000_000 * (number + 1)

    def clock(self) -> int:
        """This machine's time in microseconds."""
        return self._local_us + int((self.world.now - self._true_us) * (1.0 + self._ppm / 1e6))

    def set_rate(self, ppm: float) -> None:
        """The clock goes at another rate from now on."""
        self._local_us, self._true_us = self.clock(), self.world.now
        self._ppm = ppm

    def start(self) -> None:
        """A new process, from nothing."""
        s = self.world.script
        self.starts += 1
        rng = random.Random(f"{s.seed}/{self.number}/{self.starts}")
        limits = tuple(QuotaLimit(*limit) for limit in s.limits)
        settings = NodeSettings(self.number, s.members, 7, s.lease_us, s.period_us, limits, PATIENCE_US)
        self.node = Node(settings, rng.getrandbits(31), self.clock(), rng)
        self.queue.clear()

    def kill(self) -> None:
        """It is gone with all that it knew; its requests are nobody's duty any more."""
        self.node, self.paused = None, False
        self.queue.clear()
        self.world.forget(self.number)

    def hand(self, event: Event) -> None:
        """Let the node take an event in, and carry out what it wants."""
        if self.node is not None and not self.paused:
            self.world.carry_out(self, self.node.handle(self.clock(), event))

    def receive(self, data: bytes) -> None:
        """A datagram has come."""
        if self.node is None:
            return
        if self.paused:
            if len(self.queue) < QUEUE_MOST:
                self.queue.append(data)
            return
        try:
            message = self.world.codec.decode(data)
        except AshcrossError as error:
            self.world.broke("fault", f"d{self.number} cannot read a datagram: {error}")
            return
        self.hand(MessageReceived(message))

    def resume(self) -> None:
        """It goes on, and first reads what lies there."""
        self.paused = False
        while self.queue:
            self.receive(self.queue.popleft())
        self.hand(TimerFired())


class TierWorld:
    """Runs one script."""

    def __init__(self, script: TierScript, log: Callable[[str], None] | None = None) -> None:
        self.script, self.now, self._serial = script, 0, 0
        self._log = log
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._draw = random.Random(f"tier-run/{script.seed}")
        self.codec = Codec(KEY)
        self._digest = hashlib.blake2b(digest_size=16)
        self.breaks: list[Violation] = []
        self._cut: set[tuple[int, int]] = set()
        self._loss = self._double = self._late = 0.0
        self.processes = [Process(self, number) for number in range(script.members)]
        self._asked: dict[str, tuple[int, int, tuple[int, bytes], int]] = {}  # id: member, time, name, start
        self._buckets: dict[tuple[int, bytes], tuple[float, int]] = {}
        self._running: dict[str, tuple[int, tuple[int, bytes], int]] = {}
        self.tally = {"taken": 0, "granted": 0, "refused": 0, "given back": 0}
        self._offered: dict[tuple[int, bytes], list[int]] = {}
        self._got: dict[tuple[int, bytes], int] = {}
        self._spent: list[tuple[int, tuple[int, bytes]]] = []
        self._requests = 0

    # ------------------------------------------------------------- timeline

    def at(self, at_us: int, call: Callable[..., None], *args: Any) -> None:
        """Have a call made at a time."""
        self._serial += 1
        heappush(self._heap, (at_us, self._serial, call, args))

    def run(self) -> Result:
        """Let all of it happen."""
        s = self.script
        for process in self.processes:
            process.start()
            self.at(self._draw.randrange(s.period_us // 4), self._tick, process)
        for stream in s.streams:
            self.at(stream.from_us, self._request, stream, random.Random(f"{s.seed}/{stream}"))
        for number, fault in enumerate(s.faults):
            self.at(fault.at_us, self._strike, fault, random.Random(f"{s.seed}/{number}/fault"))
        self.at(s.calm_us, self._calm)
        steps = 0
        while self._heap and self._heap[0][0] <= s.length_us and len(self.breaks) < BREAKS_MOST:
            self.now, _, call, args = heappop(self._heap)
            call(*args)
            steps += 1
            if steps > STEPS_MOST:
                self.broke("fault", f"something never comes to rest: {STEPS_MOST} steps")
                break
        if len(self.breaks) < BREAKS_MOST:
            self._judge_limits()
            self._judge_use()
            self._judge_left()
        return Result(
            s.seed,
            self._digest.hexdigest(),
            self.breaks,
            self.tally,
            self._requests,
            len(s.faults),
            self.now / 1e6,
            s.members,
            {},
            [],
        )

    def broke(self, rule: str, text: str) -> None:
        """A bound is passed, or something owed did not come."""
        if len(self.breaks) < BREAKS_MOST:
            self.breaks.append(Violation(rule, self.now, text))
        self.note(f"BROKEN {rule}: {text}")

    def note(self, text: str) -> None:
        """A line of the timeline."""
        self._digest.update(text.encode())
        if self._log is not None:
            self._log(f"{self.now / 1000:10.3f} ms  {text}")

    # -------------------------------------------------------------- network

    def carry_out(self, process: Process, actions: list[Action]) -> None:
        """What a node asks for."""
        for action in actions:
            match action:
                case SendMessage(member, message):
                    self._send(process.number, member, self.codec.encode(message))
                case AdmitRequest(ident):
                    self._granted(process, ident)
                case RejectRequest(ident, later_us):
                    self._refused(process, ident, later_us)
                case LeaseAcquired() | LeaseLost() | ConfigurationMismatch():
                    self.note(f"d{process.number}: {_notice_text(action)}")
        self._judge_steward()

    def _send(self, sender: int, to: int, data: bytes) -> None:
        self._digest.update(f"{self.now} {sender} {to} ".encode() + data[-16:])
        if (sender, to) in self._cut or self._draw.random() < self._loss:
            return
        for _ in range(2 if self._draw.random() < self._double else 1):
            wait_us = self._draw.randrange(*self.script.latency_us)
            if self._draw.random() < self._late:
                wait_us += self._draw.randrange(2 * self.script.lease_us)
            self.at(self.now + wait_us, self._arrive, sender, to, data)

    def _arrive(self, sender: int, to: int, data: bytes) -> None:
        if (sender, to) not in self._cut:
            self.processes[to].receive(data)

    def _tick(self, process: Process) -> None:
        process.hand(TimerFired())
        self.at(self.now + self.script.period_us // 4, self._tick, process)

    # ------------------------------------------------------------- requests

    def _request(self, stream: Stream, rng: random.Random) -> None:
        if self.now >= stream.to_us:
            return
        self.at(self.now + max(1, int(rng.expovariate(stream.rate) * 1e6)), self._request, stream, rng)
        process = self.processes[stream.member]
        if process.node is None or process.paused:
            return
        self._requests += 1
        ident = f"{self._requests:08x}"
        key = (f"new{ident}" if stream.key < 0 else f"k{stream.key}").encode()
        name = (stream.quota, key[:16])
        self._asked[ident] = (process.number, self.now, name, process.starts)
        self.tally["taken"] += 1
        if self.now >= self.script.length_us - LAST_US:
            self._offered.setdefault(name, []).append(self.now)
        process.hand(ChargeRequested(ident, (QuotaKey(*name),), process.clock() + 2_000_000))
        wait_us = PATIENCE_US + self.script.period_us // 4 + LATE_US
        self.at(self.now + wait_us, self._due, ident)

    def _due(self, ident: str) -> None:
        asked = self._asked.get(ident)
        if asked is None:
            return
        process = self.processes[asked[0]]
        if process.node is None or process.starts != asked[3]:
            del self._asked[ident]
        elif process.paused:
            self.at(self.now + LATE_US, self._due, ident)
        else:
            del self._asked[ident]
            self.broke("answered", f"d{asked[0]} told {ident} neither yes nor no in its time")

    def _granted(self, process: Process, ident: str) -> None:
        asked = self._asked.pop(ident, None)
        if asked is None:
            self.broke("answered", f"d{process.number} let {ident} pass a second time, or unasked")
            return
        self.tally["granted"] += 1
        self.note(f"d{process.number}: {ident} of {asked[2]} may pass")
        self._running[ident] = (process.number, asked[2], self.now)
        # most are written at once; some wait in the module, and some of those never run
        wait_us = self._draw.choice((100, 100, 2_000, 700_000))
        self.at(self.now + wait_us, self._settle, ident, process.starts, self._draw.random() < 0.9)

    def _settle(self, ident: str, start: int, ran: bool) -> None:
        number, name, granted_us = self._running.pop(ident)
        process = self.processes[number]
        if process.starts == start and process.node is not None and process.paused:
            self._running[ident] = (number, name, granted_us)
            self.at(self.now + LATE_US, self._settle, ident, start, ran)
            return
        alive = process.starts == start and process.node is not None
        if ran or not alive:
            self._spent.append((granted_us, name))
        else:
            self.tally["given back"] += 1
        if alive:
            process.hand(ChargeCompleted(ident, ran))

    def _refused(self, process: Process, ident: str, later_us: int) -> None:
        asked = self._asked.pop(ident, None)
        if asked is None:
            self.broke("answered", f"d{process.number} turned {ident} away a second time, or unasked")
            return
        self.tally["refused"] += 1
        self.note(f"d{process.number}: {ident} of {asked[2]} is turned away, {later_us} us")
        if later_us <= 0:
            self.broke(
                "answered", f"d{process.number} turned {ident} away with no word of when to come again"
            )

    def forget(self, number: int) -> None:
        """A process has died: what it was asked is nobody's duty."""
        for ident in [ident for ident, asked in self._asked.items() if asked[0] == number]:
            del self._asked[ident]

    # --------------------------------------------------------------- judging

    def _judge_steward(self) -> None:
        """At most one process lends at any instant, whoever else believes what."""
        holding = [
            process.number
            for process in self.processes
            if process.node is not None and process.node.leader_lease.is_leader(process.clock())
        ]
        if len(holding) > 1:
            self.broke("steward", f"{' and '.join(f'd{number}' for number in holding)} are stewards at once")

    def _judge_limits(self) -> None:
        """A bucket of rate and burst in true time, for each quantity: it never goes below nothing."""
        spent = self._spent + [(at_us, name) for _, name, at_us in self._running.values()]
        for at_us, name in sorted(spent):
            rate, burst, _ = self.script.limits[name[0]]
            tokens, then_us = self._buckets.get(name, (burst, 0))
            tokens = min(burst, tokens + (at_us - then_us) * rate / 1e6) - 1.0
            self._buckets[name] = (tokens, at_us)
            self._got[name] = self._got.get(name, 0) + (at_us >= self.script.length_us - LAST_US)
            if tokens < -1e-6:
                self.now = at_us
                self.broke("limit", f"{name} is passed by {-tokens:.3f} at {at_us / 1e6:.3f} s")
                self._buckets[name] = (0.0, at_us)

    def _judge_use(self) -> None:
        """In the calm at the end the limit is used, not just kept."""
        for name, offered in self._offered.items():
            rate, burst, _ = self.script.limits[name[0]]
            tokens, then_us, could, got = 0.0, self.script.length_us - LAST_US, 0, self._got.get(name, 0)
            for at_us in offered:  # one central counter that has nothing at the begin
                tokens, then_us = min(burst, tokens + (at_us - then_us) * rate / 1e6), at_us
                could += tokens >= 1.0
                tokens -= tokens >= 1.0
            if got < USE * could - 3 and not name[1].startswith(b"new"):
                self.broke("use", f"{name}: {got} of {could} that could pass in the last 4 s")

    def _judge_left(self) -> None:
        """After a calm of many leases all that live know all, and there is a steward."""
        live = [process for process in self.processes if process.node is not None]
        whole = sum(1 << process.number for process in live)
        for process in live:
            assert process.node is not None
            seen = process.node.membership.live_members(process.clock())
            if seen != whole:
                self.broke("members", f"d{process.number} takes {seen:b} to live, and {whole:b} do")
        if 2 * len(live) > len(self.processes):
            holds = [p for p in live if p.node is not None and p.node.leader_lease.is_leader(p.clock())]
            if len(holds) != 1:
                self.broke("steward", f"{len(holds)} stewards in the calm at the end")

    # ---------------------------------------------------------------- faults

    def _calm(self) -> None:
        self._cut, self._loss, self._double, self._late = set(), 0.0, 0.0, 0.0
        for process in self.processes:
            if process.paused:
                process.resume()
            if process.node is None or process.node.ended:
                process.kill()
                process.start()

    def _strike(self, fault: TierFault, rng: random.Random) -> None:
        self.note(f"fault {fault.kind} target {fault.target} left {fault.left} for {fault.for_us} us")
        steward = next(
            (p for p in self.processes if p.node is not None and p.node.leader_lease.is_leader(p.clock())),
            None,
        )
        target = self.processes[fault.target]
        if fault.kind.endswith("-steward") and steward is not None:
            target = steward
        until_us = self.now + fault.for_us
        match fault.kind.removesuffix("-steward"):
            case "cut" if fault.kind == "cut-steward":
                self._part({target.number}, until_us, False)
            case "cut":
                self._part(set(fault.left), until_us, False)
            case "cut-one-way":
                self._part(set(fault.left), until_us, True)
            case "cut-chain":  # each hears its neighbours alone
                count = self.script.members
                pairs = {(a, b) for a in range(count) for b in range(count) if abs(a - b) > 1}
                self._cut |= pairs
                self.at(until_us, self._heal, pairs)
            case "loss":
                self._loss = 0.1 + 0.6 * fault.amount
                self.at(until_us, self._set, "_loss", 0.0)
            case "late":
                self._late = 0.3 * fault.amount
                self.at(until_us, self._set, "_late", 0.0)
            case "double":
                self._double = fault.amount
                self.at(until_us, self._set, "_double", 0.0)
            case "kill":
                target.kill()
                self.at(until_us, self._restart, target)
            case "kill-all":
                for process in self.processes:
                    process.kill()
                    self.at(until_us + rng.randrange(300_000), self._restart, process)
            case "pause":
                target.paused = target.node is not None
                self.at(until_us, self._go_on, target)
            case "leave":
                target.hand(ShutdownStarted())
                self.at(self.now + 50_000, self._kill, target)
                self.at(until_us + 60_000, self._restart, target)
            case "rate":
                target.set_rate(rng.uniform(-MAX_DRIFT_PPM / 2, MAX_DRIFT_PPM / 2))

    def _part(self, left: set[int], until_us: int, one_way: bool) -> None:
        right = set(range(self.script.members)) - left
        pairs = {(a, b) for a in left for b in right}
        pairs |= set() if one_way else {(b, a) for a, b in pairs}
        self._cut |= pairs
        self.at(until_us, self._heal, pairs)

    def _heal(self, pairs: set[tuple[int, int]]) -> None:
        self._cut -= pairs

    def _set(self, name: str, value: float) -> None:
        setattr(self, name, value)

    def _restart(self, process: Process) -> None:
        if process.node is None:
            process.start()

    def _kill(self, process: Process) -> None:
        if process.node is not None and process.node.ended:
            process.kill()

    def _go_on(self, process: Process) -> None:
        if process.paused:
            process.resume()


def run(script: TierScript, log: Callable[[str], None] | None = None) -> Result:
    """Run a script; an exception is told in the result, never raised."""
    world = TierWorld(script, log)
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
