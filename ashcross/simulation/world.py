"""A world: dispatchers, engines, a bulletin, clients and faults on one timeline, and what came of them."""

from __future__ import annotations

import random
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median
from typing import Any

from loguru import logger

from ashcross import logs
from ashcross.logs import rate_limited_log
from ashcross.service.clock import Clock
from ashcross.service.config_schema import Config, parse_config
from ashcross.service.phases import Phase
from ashcross.service.service import Service
from ashcross.simulation.clients import People
from ashcross.simulation.clock import Timeline, VirtualReactor
from ashcross.simulation.emulated_engines import Bulletin, Engine, Gremlin, Group
from ashcross.simulation.invariant_checker import Break, Judge, Node, Post
from ashcross.simulation.network import Machine, Network
from ashcross.simulation.scenario import ENGINE_KINDS, Fault, Request, Scenario

START_US, UNIX_US = 1_000_000_000, 1_800_000_000_000_000
STEPS_MOST = 3_000_000
LOOK_US, RETRIES_US = 250_000, 2_000_000
ENDING_US = 4_900_000  # before the end: what is left is looked at between two sweeps, not in the midst of one
ENGINE_PORT, BULLETIN = 9_000, ("10.2.0.1", 8_500)


@dataclass(slots=True)
class Result:
    """What came of one script."""

    seed: int
    digest: str
    breaks: list[Break]
    tally: dict[str, int]
    requests: int
    faults: int
    virtual_s: float
    dispatchers: int
    coverage: dict[str, dict[str, int]]
    latencies_us: list[tuple[int, int, str]] = field(default_factory=list)
    overdue: int = 0
    error: str = ""


class Dispatcher:
    """One dispatcher's place: processes come and go there, address and name stay."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.name, self.host, self.port = f"d{number}", f"10.0.0.{number + 1}", 8_080
        self.starts, self.step_us = 0, 0
        self.known_no = 0  # of the bulletin's events, those that its configuration holds
        self.machine: Machine | None = None
        self.service: Service | None = None
        self.reactor: VirtualReactor | None = None
        self.post: Post | None = None
        self.down_us = 0  # since when it has been down or told to stop
        self.termed = False

    @property
    def up(self) -> bool:
        """Does a process live there?"""
        return self.machine is not None and not self.machine.dead

    def start(self) -> None:
        """A new process, from nothing but its configuration."""
        if self.up:
            return
        world, s = self.world, self.world.script.settings
        self.starts += 1
        machine = self.machine = Machine(world.network, self.host, s.sockets)
        reactor = VirtualReactor(world.times, machine, world.script.wires.wake_us, world.fault)
        self.reactor = reactor
        if not self.down_us:  # else its configuration is that of when it was killed or had ended
            self.known_no = len(world.bulletin.events)
        config = self.config()
        post = self.post = Post(
            f"{self.name}.{self.starts}",
            (self.host, self.port),
            s.sockets,
            config.limits.engine_connections,
            config.limits.unsent_bytes + (1 << 20),
        )
        world.judge.posts[post.address] = post
        for number in range(1, len(world.bulletin.events) + 1):
            world.judge.told(post, number)
        clock = Clock(
            lambda: (world.times.now_us + UNIX_US + self.step_us) * 1000, lambda: world.times.now_us * 1000
        )
        self.service = Service(config, reactor, clock)
        self.service.start()
        self.termed, self.down_us = False, 0
        machine.exited = self._exited
        listener = world.network.listeners[post.address]
        whole = listener.accepted

        def accepted(listening: Any) -> None:
            world.judge.accepted(listening.queue[-1], post)
            whole(listening)

        listener.accepted = accepted
        world.judge.note(f"{post.name} starts")

    def config(self) -> Config:
        """The configuration's file as it stands, through the program's own reader."""
        return parse_config(self.world.content(self), {})

    def kill(self) -> None:
        """SIGKILL."""
        if self.up and self.machine is not None and self.post is not None:
            self.world.judge.note(f"{self.post.name} is killed")
            self.post.gone = "killed"
            self.machine.kill()
            self._went()

    def pause(self, on: bool) -> None:
        """SIGSTOP and SIGCONT."""
        if self.up and self.machine is not None and self.post is not None and self.post.paused != on:
            self.world.judge.note(f"{self.post.name} {'stands still' if on else 'goes on'}")
            self.post.paused = on
            if on:
                self.post.paused_us = self.world.times.now_us
            else:
                self.post.resumed_us = self.world.times.now_us
            self.machine.pause(on)

    def hang_up(self) -> None:
        """SIGHUP."""
        if self.up and self.reactor is not None and self.service is not None:
            self.reactor.callFromThread(self.service.reload, self.config)

    def terminate(self) -> None:
        """SIGTERM, and SIGKILL when the time that PROTOCOL grants is up."""
        if self.up and not self.termed and self.reactor is not None and self.service is not None:
            world, post = self.world, self.post
            world.judge.note(f"{self.name} is told to stop")
            self.termed, self.down_us = True, world.times.now_us
            self.reactor.callFromThread(self.service.drain)
            longest_ms = min(3_000, max(kind.give_up_ms for kind in world.script.settings.classes))
            world.times.after((longest_ms + 700) * 1000, self._end_of_grace, post)

    def _end_of_grace(self, post: Post | None) -> None:
        if self.post is not post or not self.up or post is None:
            return
        if post.paused or self.world.times.now_us - post.resumed_us < 1_000_000:
            self.kill()
            return
        for one in post.tries.values():
            if one.arrived_us and one.owed and not one.answer and one.arrived_us - self.down_us < 700_000:
                self.world.judge.broke("answered", f"{post.name} was killed after SIGTERM, {one.txn} open")
        self.kill()

    def _exited(self) -> None:
        if self.post is not None:
            self.world.judge.note(f"{self.post.name} has ended")
            self.world.judge.ended_post(self.post, "exited")
            self._went()

    def _went(self) -> None:
        self.down_us, self.known_no = self.world.times.now_us, len(self.world.bulletin.events)

    def unsent(self) -> int:
        """Bytes that wait in the process for clients to read."""
        links = self.service.components.clients.connections if self.service is not None else ()
        return sum(len(link.transport.dataBuffer) + link.transport._tempDataLen for link in links)

    def left(self) -> list[str]:
        """What a process that has had nothing to do for long still holds."""
        service = self.service
        if service is None or self.reactor is None:
            return []
        found = {
            "requests in the book": len(service.components.requests.by_id),
            "open requests": service.components.requests.open_count,
            "bytes of statements": service.components.requests.statement_bytes,
            "pooled buffers": service.components.buffers.lent,
            "attempts on connections": sum(
                len(ln.attempts) for r in service.components.endpoints.records() for ln in r.connections
            ),
            "bytes for clients": self.unsent(),
            "clients' connections": len(service.components.clients.connections),
            "connections to engines that have gone": sum(
                len(record.connections) for record in service.components.endpoints.departed
            ),
            "entries of the heap": max(0, len(service.components.requests.deadlines) - 4),
            "timed calls": max(0, len(self.reactor.getDelayedCalls()) - 4),
        }
        return [f"{count} {what}" for what, count in found.items() if count]


class World:
    """Runs one script."""

    def __init__(self, script: Scenario, log: Callable[[str], None] | None = None) -> None:
        self.script = script
        self.times = Timeline(START_US)
        s, wires = script.settings, script.wires
        self._draws = random.Random(f"lab/{script.seed}")
        self.judge = Judge(s, lambda: self.times.now_us, self.times.at)
        if log is not None:
            self.judge.log = lambda text: log(f"{(self.times.now_us - START_US) / 1000:10.3f} ms  {text}")
        seed = self._draws.getrandbits
        self.network = Network(
            self.times, seed(64), self.judge, wires.latency_us, wires.jitter_us, wires.window
        )
        self.bulletin = Bulletin(BULLETIN, self.network, self.times, self.judge, self._unix_ms)
        self.judge.cap_us = lambda at_us, post: self.bulletin.cap_us(at_us)
        self.people = People(self.network, self.times, self.judge, s, self, seed(64))
        self.engines: list[Engine] = []
        self._groups: dict[Any, Group] = {}
        self._names = 0
        self._prices = self._usual_work_us()
        self.overdue = 0
        self.coverage: dict[str, dict[str, int]] = {}
        self.dispatchers = [Dispatcher(self, i) for i in range(s.dispatchers)]

    @staticmethod
    def _unix_ms(virtual_us: int) -> int:
        return (UNIX_US + virtual_us) // 1000

    # ---------------------------------------------------------------- build

    def content(self, dispatcher: Dispatcher) -> dict[str, Any]:
        """The operators' file for a dispatcher."""
        s = self.script.settings
        seed = random.Random(f"{self.script.seed}/{dispatcher.name}/{dispatcher.starts}").getrandbits(64)
        cores = [self._cores(kind) for kind in ENGINE_KINDS]
        guarantees: dict[str, Any] = {
            "AnswerSlack": s.answer_slack_ms * 1000,
            "ColdFrom": s.cold_from,
            "RampTime": s.ramp_ms * 1000,
            "DrainGrace": s.drain_grace_ms * 1000,
            "Fall": s.fall_ms * 1000,
            "FallMultiple": s.fall_multiple,
            "KeyQuiet": s.key_quiet_ms * 1000,
        }
        if s.ration_ms:
            guarantees |= {
                "CountedOver": s.ration_ms * 1000,
                "FreeResends": s.ration_free,
                "ExtraPerRequest": s.ration_share,
            }
        return {
            "name": dispatcher.name,
            "listen": f"{dispatcher.host}:{dispatcher.port}",
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": s.memory_mb, "sockets": s.sockets},
            "bulletin": "{}:{}".format(*self.bulletin.address),
            "known": self.bulletin.known(dispatcher.known_no),
            "settings": {
                "Classes": [
                    {
                        "Name": c.name,
                        "Idempotency": c.effect,
                        "Group": c.group,
                        "Window": c.window_ms * 1000,
                        "Aim": c.aim_ms * 1000,
                        "AimStretch": c.stretch,
                        "GiveUp": c.give_up_ms * 1000,
                        "Points": c.worth,
                        "LateShare": c.late_share,
                        "InTurn": c.in_turn,
                        "RunsOn": c.kinds,
                        "FailureDomainsOpen": c.zones,
                    }
                    for c in s.classes
                ],
                "FailureDomains": sorted({engine.zone for engine in s.engines}),
                "FamilyInfo": {
                    "ClassLoad": [c.is_load for c in s.classes],
                    "ClassThreads": [c.threads for c in s.classes],
                    "ClassWaits": [False] * len(s.classes),
                    "CpuOfKind": cores,
                    "SizeMb": [16384.0, 16384.0],
                    "GrantsCount": False,
                    "LargestShare": 0.4,
                    "MemoryShort": "queue",
                    "Priorities": s.priorities,
                    "ProgressPace": s.progress_ms * 1000,
                    "CostInAnswers": False,
                },
                "Guarantees": guarantees,
                "Instances": s.dispatchers,
                "Limits": {
                    "ConnIdle": s.idle_ms * 1000,
                    "DialTimeout": s.dial_ms * 1000,
                    "MaxAttempts": s.max_attempts,
                    "MaxOpen": 4000,
                    "MaxRetryAfter": 300_000,
                    "MayCancel": True,
                    "Multiplex": 100,
                    "Probes": s.reports == "on_probe",
                    "RetryAfter": True,
                    "SecondCopies": s.second_copies,
                },
                "MachineTypes": list(ENGINE_KINDS),
                "Me": dispatcher.number,
                "MyZone": "here",
                "OverShareWorth": 0.1,
                "Report": {"Fields": ["active", "cpu", "x0", "x1"], "How": s.reports},
                "Step": 5000,
                "Tenants": [{"Name": name, "AllowancePerS": rate} for name, rate in s.tenants.items()],
            },
        }

    def _cores(self, kind: str) -> int:
        """The cores of a kind of machine, as the settings tell them."""
        return next((spec.cores for spec in self.script.settings.engines if spec.kind == kind), 8)

    def _usual_work_us(self) -> dict[str, float]:
        """The usual work of each class, as the rule on cold engines counts it: rare long ones are chance."""
        works: dict[str, list[int]] = {spec.name: [] for spec in self.script.settings.classes}
        for request in self.script.requests:
            works[self.script.settings.classes[request.klass].name].append(request.work_ms)
        return {name: 1000.0 * median(items or [1]) for name, items in works.items()}

    def engine(
        self, name: str, kind: str, zone: str, cell: int, cores: int, boot_us: int, host: str = ""
    ) -> Engine:
        """Start an engine process; it is not told of yet."""
        self._names += 1
        address = (host or f"10.1.{self._names // 250}.{self._names % 250 + 1}", ENGINE_PORT)
        node = Node(name, kind, zone, cell, address, cores, boot_us)
        self.judge.born(node)
        made = Engine(
            node,
            self.network,
            self.times,
            self.judge,
            self.script.settings,
            self._groups,
            self.bit,
            self._prices,
        )
        if self.script.wires.piece:
            self.network.piece[address] = self.script.wires.piece
        self.engines.append(made)
        return made

    def choose(self, wanted: int) -> Post | None:
        """The front: as wanted, but for a dispatcher that has been down, or told to stop, for a while."""
        now_us = self.times.now_us
        for turn in range(len(self.dispatchers)):
            one = self.dispatchers[(wanted + turn) % len(self.dispatchers)]
            if one.post is not None and (not one.down_us or now_us - one.down_us < 300_000):
                return one.post
        return None

    # ------------------------------------------------------------------ run

    def run(self) -> Result:
        """Let the whole script happen."""
        script, s = self.script, self.script.settings
        for spec in s.engines:
            self.engine(spec.name, spec.kind, spec.zone, spec.cell, spec.cores, 0)
        self.bulletin.tell([(engine.node, "Ready") for engine in self.engines], whole=True)
        for dispatcher in self.dispatchers:
            dispatcher.start()
        for request in script.requests:
            self.times.at(START_US + request.at_ms * 1000, self.people.wish, request)
        self.people.until_us = START_US + script.traffic_ms * 1000 + RETRIES_US
        for number, fault in enumerate(script.faults):
            draw = random.Random(f"{script.seed}/{number}/{fault.kind}/run")
            self.times.at(START_US + fault.at_ms * 1000, self._strike, fault, draw)
        self.times.after(LOOK_US, self._look)
        ended_us = START_US + script.length_ms * 1000
        calm = self.times.run(ended_us - ENDING_US, STEPS_MOST)
        if calm:
            self._check_left()
            for dispatcher in self.dispatchers:
                dispatcher.pause(False)
                dispatcher.terminate()
            calm = self.times.run(ended_us, STEPS_MOST)
            self._check_ended()
        if not calm:
            self.judge.broke("fault", f"something never comes to rest: {STEPS_MOST} steps")
        return Result(
            script.seed,
            self.judge.digest(),
            self.judge.breaks,
            self.judge.tally,
            self.people.sent,
            len(script.faults),
            (self.times.now_us - START_US) / 1e6,
            s.dispatchers,
            self.coverage,
            self.judge.latencies_us,
            self.overdue,
        )

    def _look(self) -> None:
        for dispatcher in self.dispatchers:
            if dispatcher.up and dispatcher.machine is not None and dispatcher.post is not None:
                machine, post = dispatcher.machine, dispatcher.post
                self.judge.held(post, len(machine.sockets), machine.starved, dispatcher.unsent())
        self.people.sweep()
        self.times.after(LOOK_US, self._look)

    def _check_left(self) -> None:
        for dispatcher in self.dispatchers:
            if (
                dispatcher.up
                and dispatcher.post is not None
                and not dispatcher.post.paused
                and not dispatcher.termed
            ):
                for what in dispatcher.left():
                    self.judge.broke("left", f"{dispatcher.post.name} still holds {what} at the end")

    def _check_ended(self) -> None:
        for dispatcher in self.dispatchers:
            service = dispatcher.service
            if dispatcher.up:
                self.judge.broke("left", f"{dispatcher.name} did not end after SIGTERM")
            elif (
                service is not None
                and dispatcher.termed
                and dispatcher.post
                and dispatcher.post.gone == "exited"
            ):
                if service.components.phases.current is not Phase.STOPPED:
                    self.judge.broke(
                        "left", f"{dispatcher.name} ended in phase {service.components.phases.current.value}"
                    )
                if service.components.buffers.lent:
                    self.judge.broke(
                        "left", f"{dispatcher.name} ended with {service.components.buffers.lent} buffers lent"
                    )

    # --------------------------------------------------------------- faults

    def fault(self, topic: str, text: str, error: BaseException | None) -> None:
        """The program caught an exception, or warns."""
        if topic == "violation":  # a check of the program's own
            self.judge.broke("invariant", text)
        if error is not None:
            where = traceback.extract_tb(error.__traceback__)[-1:]
            place = f" at {where[0].filename.rsplit('/', 1)[-1]}:{where[0].name}" if where else ""
            self.judge.broke("fault", f"{topic}: {text}: {type(error).__name__} {error}{place}")
        elif topic == "overdue":
            self.overdue += 1

    def bit(self, kind: str, txn: str) -> None:
        """A fault has met something: a request by its transaction, or whatever is open."""
        stages = self.coverage.setdefault(kind, {})
        posts = list(self.judge.posts.values())
        named = [post.tries[txn] for post in posts if txn in post.tries]
        met = named or [one for post in posts for one in post.tries.values() if one.owed and not one.answer]
        for stage in {one.stage(): None for one in met} or {"nothing open": None}:
            stages[stage] = stages.get(stage, 0) + 1

    def _strike(self, fault: Fault, draw: random.Random) -> None:
        self.judge.note(f"fault {fault.kind} target {fault.target} for {fault.for_ms} ms, {fault.amount:g}")
        where, _, what = fault.kind.partition("-")
        strike = getattr(self, f"_{where}_{what}".replace("-", "_"), None)
        if strike is not None:
            if strike(fault, draw) is not False:
                self.bit(fault.kind, "")
            return
        engine = self._target(fault)
        if engine is None:
            return
        until_us = self.times.now_us + fault.for_ms * 1000
        engine.gremlins[fault.kind] = Gremlin(until_us, fault.amount, draw, fault.kind)
        if fault.kind == "engine-slow":
            self.bit(fault.kind, "")
            engine.replan()
            self.times.at(until_us + 1, engine.replan)

    def _target(self, fault: Fault) -> Engine | None:
        live = [engine for engine in self.engines if not engine.node.dead]
        return live[fault.target % len(live)] if live else None

    def _dispatcher(self, fault: Fault, more: int = 0) -> Dispatcher:
        return self.dispatchers[(fault.target + more) % len(self.dispatchers)]

    def _successor(self, engine: Engine, wait_us: int, draw: random.Random, address: bool = False) -> None:
        """Another engine comes for one that has gone: a new name, cold."""
        old = engine.node
        host = old.address[0] if address else ""

        def come() -> None:
            name = f"n{self._names}"
            made = self.engine(name, old.kind, old.zone, old.cell, old.cores, self.times.now_us, host)
            self.times.after(draw.randrange(20_000, 300_000), self.bulletin.tell, [(made.node, "Ready")])

        self.times.after(wait_us, come)

    def _engine_killed(self, fault: Fault, draw: random.Random) -> bool:
        engine = self._target(fault)
        if engine is None:
            return False
        engine.kill()
        self.times.after(draw.randrange(50_000, 1_500_000), self.bulletin.tell, [(engine.node, "Gone")])
        self._successor(engine, fault.for_ms * 1000, draw)
        return True

    def _engine_silent(self, fault: Fault, draw: random.Random) -> bool:
        engine = self._target(fault)
        if engine is None:
            return False
        engine.hang(True)
        self.times.after(fault.for_ms * 1000, engine.hang, False)
        return True

    def _engine_dark(self, fault: Fault, draw: random.Random) -> bool:
        engine = self._target(fault)
        if engine is None:
            return False
        self.network.darken(engine.node.address, True)
        self.times.after(fault.for_ms * 1000, self.network.darken, engine.node.address, False)
        return True

    def _engine_draining(self, fault: Fault, draw: random.Random) -> bool:
        engine = self._target(fault)
        if engine is None or not engine.node.told_as:
            return False
        self.bulletin.tell([(engine.node, "Terminating")])

        def go() -> None:
            self.bulletin.tell([(engine.node, "Gone")])
            self.times.after(draw.randrange(0, 500_000), engine.kill)

        self.times.after(fault.for_ms * 1000, go)
        self._successor(engine, draw.randrange(100_000, 2_000_000), draw)
        return True

    def _engine_replaced(self, fault: Fault, draw: random.Random) -> bool:
        """Another engine, of another kind perhaps, at the address of one that has gone."""
        engine = self._target(fault)
        if engine is None:
            return False
        old = engine.node
        engine.kill()
        kind, name = draw.choice(ENGINE_KINDS), f"n{self._names}"
        cores = self._cores(kind)
        made = self.engine(name, kind, old.zone, old.cell, cores, self.times.now_us, old.address[0])
        self.times.after(
            min(fault.for_ms, 2_000) * 1000, self.bulletin.tell, [(old, "Gone"), (made.node, "Ready")]
        )
        return True

    def _engines_cold(self, fault: Fault, draw: random.Random) -> bool:
        """All engines restart, cold, each at its address and under its name."""
        for engine in [engine for engine in self.engines if not engine.node.dead]:
            old = engine.node
            engine.kill()

            def come(old: Node = old) -> None:
                if self.judge.nodes[old.address] is not old:
                    return
                made = self.engine(
                    old.name, old.kind, old.zone, old.cell, old.cores, self.times.now_us, old.address[0]
                )
                self.times.after(draw.randrange(20_000, 500_000), self.bulletin.tell, [(made.node, "Ready")])

            self.times.after(fault.for_ms * 1000, come)
        return True

    def _reset_idle(self, fault: Fault, draw: random.Random) -> bool:
        engine = self._target(fault)
        return engine is not None and engine.reset_idle() > 0

    def _half_lost(self, fault: Fault, draw: random.Random) -> bool:
        """One direction of each connection that there is now carries nothing."""
        engine = self._target(fault)
        if engine is None:
            return False
        ends = [end for end in self.network.live(engine.node.address) if end.peer is not None]
        for end in ends:
            side = end if fault.amount < 0.5 or end.peer is None else end.peer
            self.network.hold(side, True)
            self.times.after(fault.for_ms * 1000, self.network.hold, side, False)
        return bool(ends)

    def _bulletin_broken(self, fault: Fault, draw: random.Random) -> bool:
        return self.bulletin.break_off(draw) > 0

    def _bulletin_stalled(self, fault: Fault, draw: random.Random) -> bool:
        count = self.bulletin.stall(True)
        self.times.after(fault.for_ms * 1000, self.bulletin.stall, False)
        return count > 0

    def _bulletin_doubled(self, fault: Fault, draw: random.Random) -> bool:
        self.bulletin.doubles_until_us = self.times.now_us + fault.for_ms * 1000
        return True

    def _bulletin_moved(self, fault: Fault, draw: random.Random) -> bool:
        host, port = self.bulletin.address
        self.bulletin.move((host, port + 1))
        for dispatcher in self.dispatchers:
            dispatcher.hang_up()
        return True

    def _client_flood(self, fault: Fault, draw: random.Random) -> bool:
        """Many queries at once from one client."""
        index = self._dispatcher(fault).number
        for _ in range(int(fault.amount)):
            request = Request(
                0,
                200,
                index,
                0,
                work_ms=draw.randrange(5, 60),
                limit_ms=draw.choice((300, 1_500)),
                pad=draw.choice((0, 0, 2_000)),
            )
            self.people.wish(request)
        return True

    def _client_rude(self, fault: Fault, draw: random.Random) -> bool:
        post = self._dispatcher(fault).post
        if post is None or post.gone or self._dispatcher(fault).termed:
            return False
        self.people.rude(post, int(fault.amount), draw)
        return True

    def _client_crowd(self, fault: Fault, draw: random.Random) -> bool:
        post = self._dispatcher(fault).post
        if post is None or post.gone:
            return False
        self.people.crowd(post, int(fault.amount), fault.for_ms * 1000)
        return True

    def _clock_step(self, fault: Fault, draw: random.Random) -> bool:
        self._dispatcher(fault).step_us += int(fault.amount * 1000)
        return True

    def _dispatcher_killed(self, fault: Fault, draw: random.Random) -> bool:
        dispatcher = self._dispatcher(fault)
        if not dispatcher.up:
            return False
        self.bit(fault.kind, "")
        dispatcher.kill()
        self.times.after(fault.for_ms * 1000, dispatcher.start)
        return False  # told before, as nothing is open afterwards

    def _dispatchers_two(self, fault: Fault, draw: random.Random) -> bool:
        self.bit(fault.kind, "")
        for more in range(2):
            dispatcher = self._dispatcher(fault, more)
            dispatcher.kill()
            self.times.after((fault.for_ms + more * 150) * 1000, dispatcher.start)
        return False

    def _dispatchers_herd(self, fault: Fault, draw: random.Random) -> bool:
        """All but one are killed at once; an engine drains meanwhile, and the bulletin answers calls late."""
        self.bit(fault.kind, "")
        for more in range(max(1, len(self.dispatchers) - 1)):
            dispatcher = self._dispatcher(fault, more)
            dispatcher.kill()
            self.times.after(fault.for_ms * 1000, dispatcher.start)
        self.bulletin.slow((fault.for_ms + 2_000) * 1000, int(fault.amount * 1000))
        drain = Fault("engine-draining", fault.at_ms, fault.for_ms + 3_000, fault.target)
        self.times.after(draw.randrange(0, fault.for_ms * 1000), self._engine_draining, drain, draw)
        return False

    def _dispatcher_paused(self, fault: Fault, draw: random.Random) -> bool:
        dispatcher = self._dispatcher(fault)
        dispatcher.pause(True)
        self.times.after(fault.for_ms * 1000, dispatcher.pause, False)
        return dispatcher.up

    def _dispatcher_stopped(self, fault: Fault, draw: random.Random) -> bool:
        dispatcher = self._dispatcher(fault)
        if not dispatcher.up or dispatcher.termed:
            return False
        dispatcher.terminate()
        self.times.after(5_000_000 + fault.for_ms * 1000, dispatcher.start)
        return True


_watched = False


def run(script: Scenario, log: Callable[[str], None] | None = None) -> Result:
    """Run a script; an exception of the lab's own or of the program is told in the result, never raised."""
    global _watched
    if not _watched:
        logs.watch_twisted()
        _watched = True
    logger.disable("ashcross")
    world: World | None = None
    try:
        world = World(script, log)
        times, fault = world.times, world.fault
        rate_limited_log.follow(lambda: times.now_us / 1e6, fault)
        return world.run()
    except Exception:
        failed = world.judge.breaks if world is not None else []
        return Result(
            script.seed,
            "",
            failed,
            {},
            0,
            len(script.faults),
            0.0,
            script.settings.dispatchers,
            {},
            error=traceback.format_exc(),
        )
    finally:
        rate_limited_log.follow(time.monotonic)
        logger.enable("ashcross")
