"""One simulated world: dispatchers, engines, service discovery, clients and faults on one timeline."""

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
from ashcross.simulation.clients import ClientPopulation
from ashcross.simulation.clock import Timeline, VirtualReactor
from ashcross.simulation.emulated_engines import ActiveFault, DeduplicationGroup, Discovery, Engine
from ashcross.simulation.invariant_checker import EngineProcess, Incarnation, InvariantChecker, Violation
from ashcross.simulation.network import Machine, Network
from ashcross.simulation.scenario import ENGINE_KINDS, Fault, Request, Scenario

START_US = 1_000_000_000  # virtual time at which a scenario begins
UNIX_US = 1_800_000_000_000_000  # Unix time at virtual time 0
MAX_STEPS = 3_000_000  # of the timeline; a run that takes more is stuck in a loop
CHECK_INTERVAL_US = 250_000  # between two checks of the dispatchers' resources
RETRY_TIME_US = 2_000_000  # clients may retry until this long after the end of the traffic
# Dispatchers are told to stop this long before the end of the scenario. This is no whole number of seconds,
# so that remaining resources are counted between two sweeps of the dispatchers and not during one.
SHUTDOWN_TIME_US = 4_900_000
ENGINE_PORT = 9_000
OLD_STAYS_LISTED_FROM = 0.5  # amount of the fault `engine-replaced` from which the old engine stays listed
DISCOVERY_ADDRESS = ("10.2.0.1", 8_500)


@dataclass(slots=True)
class Result:
    """The outcome of one scenario."""

    seed: int
    digest: str
    breaks: list[Violation]
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
    """One dispatcher: its processes come and go, its address and name stay."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.name, self.host, self.port = f"d{number}", f"10.0.0.{number + 1}", 8_080
        self.starts, self.clock_step_us = 0, 0
        self.known_event = 0  # number of the last discovery event in the configuration file
        self.machine: Machine | None = None
        self.service: Service | None = None
        self.reactor: VirtualReactor | None = None
        self.incarnation: Incarnation | None = None
        self.down_since_us = 0  # time of the process's end or of its SIGTERM; 0: it runs
        self.is_stopping = False

    @property
    def is_running(self) -> bool:
        """Return whether a process of this dispatcher exists."""
        return self.machine is not None and not self.machine.dead

    def start(self) -> None:
        """Start a new process that knows nothing but its configuration; do nothing if one exists."""
        if self.is_running:
            return
        world, settings = self.world, self.world.script.settings
        self.starts += 1
        machine = self.machine = Machine(world.network, self.host, settings.sockets)
        reactor = VirtualReactor(world.timeline, machine, world.script.wires.wake_us, world.report_problem)
        self.reactor = reactor
        if not self.down_since_us:  # a restart uses the list as it was when the last process ended
            self.known_event = len(world.discovery.events)
        config = self.config()
        incarnation = self.incarnation = Incarnation(
            f"{self.name}.{self.starts}",
            (self.host, self.port),
            settings.sockets,
            config.limits.engine_connections,
            config.limits.unsent_bytes + (1 << 20),
        )
        world.checker.incarnations[incarnation.address] = incarnation
        for number in range(1, len(world.discovery.events) + 1):
            world.checker.event_received(incarnation, number)
        clock = Clock(
            lambda: (world.timeline.now_us + UNIX_US + self.clock_step_us) * 1000,
            lambda: world.timeline.now_us * 1000,
        )
        self.service = Service(config, reactor, clock)
        self.service.start()
        self.is_stopping, self.down_since_us = False, 0
        machine.on_exit = self._exited
        listener = world.network.listeners[incarnation.address]
        on_connection = listener.on_connection

        def observed_on_connection(listener: Any) -> None:
            world.checker.client_accepted(listener.queue[-1], incarnation)
            on_connection(listener)

        listener.on_connection = observed_on_connection
        world.checker.note(f"{incarnation.name} starts")

    def config(self) -> Config:
        """Return the current configuration file, read by the program's own parser."""
        return parse_config(self.world.configuration_content(self), {})

    def kill(self) -> None:
        """Kill the process as SIGKILL does."""
        if self.is_running and self.machine is not None and self.incarnation is not None:
            self.world.checker.note(f"{self.incarnation.name} is killed")
            self.incarnation.ended_by = "killed"
            self.machine.kill()
            self._process_ended()

    def pause(self, paused: bool) -> None:
        """Stop the process as SIGSTOP does, or continue it as SIGCONT does."""
        if (
            self.is_running
            and self.machine is not None
            and self.incarnation is not None
            and self.incarnation.paused != paused
        ):
            self.world.checker.note(f"{self.incarnation.name} {'stands still' if paused else 'goes on'}")
            self.incarnation.paused = paused
            if paused:
                self.incarnation.paused_us = self.world.timeline.now_us
            else:
                self.incarnation.resumed_us = self.world.timeline.now_us
            self.machine.pause(paused)

    def reload(self) -> None:
        """Make the process read its configuration again, as on SIGHUP."""
        if self.is_running and self.reactor is not None and self.service is not None:
            self.reactor.callFromThread(self.service.reload, self.config)

    def terminate(self) -> None:
        """Ask the process to stop, as SIGTERM does.

        It is killed once the time that the protocol grants has passed.
        """
        if self.is_running and not self.is_stopping and self.reactor is not None and self.service is not None:
            world, incarnation = self.world, self.incarnation
            world.checker.note(f"{self.name} is told to stop")
            self.is_stopping, self.down_since_us = True, world.timeline.now_us
            self.reactor.callFromThread(self.service.drain)
            longest_limit_ms = min(
                3_000, max(class_spec.give_up_ms for class_spec in world.script.settings.classes)
            )
            world.timeline.after((longest_limit_ms + 700) * 1000, self._end_of_grace, incarnation)

    def _end_of_grace(self, incarnation: Incarnation | None) -> None:
        if self.incarnation is not incarnation or not self.is_running or incarnation is None:
            return
        if incarnation.paused or self.world.timeline.now_us - incarnation.resumed_us < 1_000_000:
            self.kill()
            return
        for request in incarnation.requests.values():
            if (
                request.arrived_us
                and request.awaits_answer
                and not request.answer
                and request.arrived_us - self.down_since_us < 700_000
            ):
                self.world.checker.report_violation(
                    "answered",
                    f"{incarnation.name} was killed after SIGTERM while {request.request_id} was open",
                )
        self.kill()

    def _exited(self) -> None:
        if self.incarnation is not None:
            self.world.checker.note(f"{self.incarnation.name} has ended")
            self.world.checker.incarnation_ended(self.incarnation, "exited")
            self._process_ended()

    def _process_ended(self) -> None:
        self.down_since_us, self.known_event = self.world.timeline.now_us, len(self.world.discovery.events)

    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait in the process until clients read."""
        connections = self.service.components.clients.connections if self.service is not None else ()
        return sum(
            len(connection.transport.dataBuffer) + connection.transport._tempDataLen
            for connection in connections
        )

    def remaining_resources(self) -> list[str]:
        """Return what the process still holds, as texts with counts.

        A process that has been idle for long holds nothing.
        """
        service = self.service
        if service is None or self.reactor is None:
            return []
        counts = {
            "requests in the registry": len(service.components.requests.by_id),
            "open requests": service.components.requests.open_count,
            "bytes of statements": service.components.requests.statement_bytes,
            "pooled buffers": service.components.buffers.lent,
            "attempts on connections": sum(
                len(connection.attempts)
                for endpoint in service.components.endpoints.records()
                for connection in endpoint.connections
            ),
            "bytes for clients": self.unsent_bytes(),
            "client connections": len(service.components.clients.connections),
            "connections to departed engines": sum(
                len(record.connections) for record in service.components.endpoints.departed
            ),
            "request deadlines": max(0, len(service.components.requests.deadlines) - 4),
            "timers": max(0, len(self.reactor.getDelayedCalls()) - 4),
        }
        return [f"{count} {resource}" for resource, count in counts.items() if count]


class World:
    """Runs one scenario."""

    def __init__(self, script: Scenario, log: Callable[[str], None] | None = None) -> None:
        self.script = script
        self.timeline = Timeline(START_US)
        settings, wires = script.settings, script.wires
        self._random = random.Random(f"lab/{script.seed}")
        self.checker = InvariantChecker(settings, lambda: self.timeline.now_us, self.timeline.at)
        if log is not None:
            self.checker.log = lambda text: log(
                f"{(self.timeline.now_us - START_US) / 1000:10.3f} ms  {text}"
            )
        random_bits = self._random.getrandbits
        self.network = Network(
            self.timeline, random_bits(64), self.checker, wires.latency_us, wires.jitter_us, wires.window
        )
        self.discovery = Discovery(
            DISCOVERY_ADDRESS, self.network, self.timeline, self.checker, self._unix_ms
        )
        self.checker.presumed_known_us = lambda at_us, incarnation: self.discovery.presumed_known_us(at_us)
        self.clients = ClientPopulation(
            self.network, self.timeline, self.checker, settings, self, random_bits(64)
        )
        self.engines: list[Engine] = []
        self._deduplication_groups: dict[Any, DeduplicationGroup] = {}
        self._engines_started = 0
        self._usual_work_us = self._median_work_us()
        self.overdue = 0
        self.coverage: dict[str, dict[str, int]] = {}
        self.dispatchers = [Dispatcher(self, number) for number in range(settings.dispatchers)]

    @staticmethod
    def _unix_ms(virtual_us: int) -> int:
        return (UNIX_US + virtual_us) // 1000

    def configuration_content(self, dispatcher: Dispatcher) -> dict[str, Any]:
        """Return the content of a dispatcher's configuration file."""
        settings = self.script.settings
        seed = random.Random(f"{self.script.seed}/{dispatcher.name}/{dispatcher.starts}").getrandbits(64)
        cores = [self._cores_of(kind) for kind in ENGINE_KINDS]
        guarantees: dict[str, Any] = {
            "AnswerSlack": settings.answer_slack_ms * 1000,
            "ColdFrom": settings.cold_from,
            "RampTime": settings.ramp_ms * 1000,
            "DrainGrace": settings.drain_grace_ms * 1000,
            "Fall": settings.fall_ms * 1000,
            "FallMultiple": settings.fall_multiple,
            "KeyQuiet": settings.key_quiet_ms * 1000,
        }
        if settings.ration_ms:
            guarantees |= {
                "CountedOver": settings.ration_ms * 1000,
                "FreeResends": settings.ration_free,
                "ExtraPerRequest": settings.ration_share,
            }
        return {
            "name": dispatcher.name,
            "listen": f"{dispatcher.host}:{dispatcher.port}",
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": settings.memory_mb, "sockets": settings.sockets},
            "bulletin": "{}:{}".format(*self.discovery.address),
            "known": self.discovery.known(dispatcher.known_event),
            "settings": {
                "Classes": [
                    {
                        "Name": class_spec.name,
                        "Idempotency": class_spec.effect,
                        "Group": class_spec.group,
                        "Window": class_spec.window_ms * 1000,
                        "Aim": class_spec.aim_ms * 1000,
                        "AimStretch": class_spec.stretch,
                        "GiveUp": class_spec.give_up_ms * 1000,
                        "Points": class_spec.worth,
                        "LateShare": class_spec.late_share,
                        "InTurn": class_spec.in_turn,
                        "RunsOn": class_spec.kinds,
                        "FailureDomainsOpen": class_spec.zones,
                    }
                    for class_spec in settings.classes
                ],
                "FailureDomains": sorted({engine.zone for engine in settings.engines}),
                "FamilyInfo": {
                    "ClassLoad": [class_spec.is_load for class_spec in settings.classes],
                    "ClassThreads": [class_spec.threads for class_spec in settings.classes],
                    "ClassWaits": [False] * len(settings.classes),
                    "CpuOfKind": cores,
                    "SizeMb": [16384.0, 16384.0],
                    "GrantsCount": False,
                    "LargestShare": 0.4,
                    "MemoryShort": "queue",
                    "Priorities": settings.priorities,
                    "ProgressPace": settings.progress_ms * 1000,
                    "CostInAnswers": False,
                },
                "Guarantees": guarantees,
                "Instances": settings.dispatchers,
                "Limits": {
                    "ConnIdle": settings.idle_ms * 1000,
                    "DialTimeout": settings.dial_ms * 1000,
                    "MaxAttempts": settings.max_attempts,
                    "MaxOpen": 4000,
                    "MaxRetryAfter": 300_000,
                    "MayCancel": True,
                    "Multiplex": 100,
                    "Probes": settings.reports == "on_probe",
                    "RetryAfter": True,
                    "SecondCopies": settings.second_copies,
                },
                "MachineTypes": list(ENGINE_KINDS),
                "Me": dispatcher.number,
                "MyZone": "here",
                "OverShareWorth": 0.1,
                "Report": {"Fields": ["active", "cpu", "x0", "x1"], "How": settings.reports},
                "Step": 5000,
                "Tenants": [{"Name": name, "AllowancePerS": rate} for name, rate in settings.tenants.items()],
            },
        }

    def _cores_of(self, kind: str) -> int:
        """Return the number of cores that the settings give for a kind of engine."""
        return next((spec.cores for spec in self.script.settings.engines if spec.kind == kind), 8)

    def _median_work_us(self) -> dict[str, float]:
        """Return the usual work of each class in microseconds.

        This is the median, so that rare long queries do not count against the rule on cold engines.
        """
        works_by_class_ms: dict[str, list[int]] = {
            class_spec.name: [] for class_spec in self.script.settings.classes
        }
        for request in self.script.requests:
            works_by_class_ms[self.script.settings.classes[request.klass].name].append(request.work_ms)
        return {name: 1000.0 * median(works_ms or [1]) for name, works_ms in works_by_class_ms.items()}

    def start_engine(
        self, name: str, kind: str, zone: str, cell: int, cores: int, boot_us: int, host: str = ""
    ) -> Engine:
        """Start an engine process; service discovery does not list it yet."""
        self._engines_started += 1
        address = (
            host or f"10.1.{self._engines_started // 250}.{self._engines_started % 250 + 1}",
            ENGINE_PORT,
        )
        process = EngineProcess(name, kind, zone, cell, address, cores, boot_us)
        self.checker.engine_started(process)
        engine = Engine(
            process,
            self.network,
            self.timeline,
            self.checker,
            self.script.settings,
            self._deduplication_groups,
            self.record_fault_hit,
            self._usual_work_us,
        )
        if self.script.wires.piece:
            self.network.segment_bytes[address] = self.script.wires.piece
        self.engines.append(engine)
        return engine

    def choose(self, preferred: int) -> Incarnation | None:
        """Return the preferred dispatcher's incarnation, or the next one's.

        A dispatcher that has been down, or stopping, for 300 ms or longer is left out; None if all are.
        """
        now_us = self.timeline.now_us
        for offset in range(len(self.dispatchers)):
            dispatcher = self.dispatchers[(preferred + offset) % len(self.dispatchers)]
            if dispatcher.incarnation is not None and (
                not dispatcher.down_since_us or now_us - dispatcher.down_since_us < 300_000
            ):
                return dispatcher.incarnation
        return None

    def run(self) -> Result:
        """Run the whole scenario and return its outcome."""
        script, settings = self.script, self.script.settings
        for spec in settings.engines:
            self.start_engine(spec.name, spec.kind, spec.zone, spec.cell, spec.cores, 0)
        self.discovery.publish([(engine.process, "Ready") for engine in self.engines], is_snapshot=True)
        for dispatcher in self.dispatchers:
            dispatcher.start()
        for request in script.requests:
            self.timeline.at(START_US + request.at_ms * 1000, self.clients.start_query, request)
        self.clients.no_retries_after_us = START_US + script.traffic_ms * 1000 + RETRY_TIME_US
        for number, fault in enumerate(script.faults):
            random_source = random.Random(f"{script.seed}/{number}/{fault.kind}/run")
            self.timeline.at(START_US + fault.at_ms * 1000, self._apply_fault, fault, random_source)
        self.timeline.after(CHECK_INTERVAL_US, self._check_resources)
        ended_us = START_US + script.length_ms * 1000
        came_to_rest = self.timeline.run(ended_us - SHUTDOWN_TIME_US, MAX_STEPS)
        if came_to_rest:
            self._check_remaining_resources()
            for dispatcher in self.dispatchers:
                dispatcher.pause(False)
                dispatcher.terminate()
            came_to_rest = self.timeline.run(ended_us, MAX_STEPS)
            self._check_ended()
        if not came_to_rest:
            self.checker.report_violation("fault", f"the simulation did not end within {MAX_STEPS} steps")
        return Result(
            script.seed,
            self.checker.digest(),
            self.checker.violations,
            self.checker.tally,
            self.clients.sent,
            len(script.faults),
            (self.timeline.now_us - START_US) / 1e6,
            settings.dispatchers,
            self.coverage,
            self.checker.latencies_us,
            self.overdue,
        )

    def _check_resources(self) -> None:
        for dispatcher in self.dispatchers:
            if (
                dispatcher.is_running
                and dispatcher.machine is not None
                and dispatcher.incarnation is not None
            ):
                machine, incarnation = dispatcher.machine, dispatcher.incarnation
                self.checker.check_resources(
                    incarnation, len(machine.sockets), machine.refused_sockets, dispatcher.unsent_bytes()
                )
        self.clients.sweep()
        self.timeline.after(CHECK_INTERVAL_US, self._check_resources)

    def _check_remaining_resources(self) -> None:
        for dispatcher in self.dispatchers:
            if (
                dispatcher.is_running
                and dispatcher.incarnation is not None
                and not dispatcher.incarnation.paused
                and not dispatcher.is_stopping
            ):
                for resource in dispatcher.remaining_resources():
                    self.checker.report_violation(
                        "left", f"{dispatcher.incarnation.name} still holds {resource} at the end"
                    )

    def _check_ended(self) -> None:
        for dispatcher in self.dispatchers:
            service = dispatcher.service
            if dispatcher.is_running:
                self.checker.report_violation("left", f"{dispatcher.name} did not end after SIGTERM")
            elif (
                service is not None
                and dispatcher.is_stopping
                and dispatcher.incarnation
                and dispatcher.incarnation.ended_by == "exited"
            ):
                if service.components.phases.current is not Phase.STOPPED:
                    self.checker.report_violation(
                        "left", f"{dispatcher.name} ended in phase {service.components.phases.current.value}"
                    )
                if service.components.buffers.lent:
                    self.checker.report_violation(
                        "left", f"{dispatcher.name} ended with {service.components.buffers.lent} buffers lent"
                    )

    def report_problem(self, topic: str, text: str, error: BaseException | None) -> None:
        """Record an exception that the program caught, a broken invariant, or a request that is overdue."""
        if topic == "violation":  # raised by the dispatcher's own invariant checks
            self.checker.report_violation("invariant", text)
        if error is not None:
            frames = traceback.extract_tb(error.__traceback__)[-1:]
            place = f" at {frames[0].filename.rsplit('/', 1)[-1]}:{frames[0].name}" if frames else ""
            self.checker.report_violation("fault", f"{topic}: {text}: {type(error).__name__} {error}{place}")
        elif topic == "overdue":
            self.overdue += 1

    def record_fault_hit(self, kind: str, request_id: str) -> None:
        """Count the stages of the requests that a fault affects.

        These are the request named, or else every open request.
        """
        stages = self.coverage.setdefault(kind, {})
        incarnations = list(self.checker.incarnations.values())
        named_requests = [
            incarnation.requests[request_id]
            for incarnation in incarnations
            if request_id in incarnation.requests
        ]
        affected_requests = named_requests or [
            request
            for incarnation in incarnations
            for request in incarnation.requests.values()
            if request.awaits_answer and not request.answer
        ]
        for stage in {request.stage(): None for request in affected_requests} or {"nothing open": None}:
            stages[stage] = stages.get(stage, 0) + 1

    def _apply_fault(self, fault: Fault, random_source: random.Random) -> None:
        self.checker.note(f"fault {fault.kind} target {fault.target} for {fault.for_ms} ms, {fault.amount:g}")
        subject, _, event = fault.kind.partition("-")
        apply_fault = getattr(self, f"_{subject}_{event}".replace("-", "_"), None)
        if apply_fault is not None:
            if apply_fault(fault, random_source) is not False:
                self.record_fault_hit(fault.kind, "")
            return
        engine = self._target_engine(fault)
        if engine is None:
            return
        until_us = self.timeline.now_us + fault.for_ms * 1000
        engine.active_faults[fault.kind] = ActiveFault(until_us, fault.amount, random_source, fault.kind)
        if fault.kind == "engine-slow":
            self.record_fault_hit(fault.kind, "")
            engine.reschedule()
            self.timeline.at(until_us + 1, engine.reschedule)

    def _target_engine(self, fault: Fault) -> Engine | None:
        running = [engine for engine in self.engines if not engine.process.dead]
        return running[fault.target % len(running)] if running else None

    def _target_dispatcher(self, fault: Fault, offset: int = 0) -> Dispatcher:
        return self.dispatchers[(fault.target + offset) % len(self.dispatchers)]

    def _start_successor_later(
        self, engine: Engine, wait_us: int, random_source: random.Random, address: bool = False
    ) -> None:
        """Start a cold engine under a new name in place of one that has gone, `wait_us` from now."""
        old_process = engine.process
        host = old_process.address[0] if address else ""

        def start_successor() -> None:
            name = f"n{self._engines_started}"
            successor = self.start_engine(
                name,
                old_process.kind,
                old_process.zone,
                old_process.cell,
                old_process.cores,
                self.timeline.now_us,
                host,
            )
            self.timeline.after(
                random_source.randrange(20_000, 300_000),
                self.discovery.publish,
                [(successor.process, "Ready")],
            )

        self.timeline.after(wait_us, start_successor)

    def _engine_killed(self, fault: Fault, random_source: random.Random) -> bool:
        engine = self._target_engine(fault)
        if engine is None:
            return False
        engine.kill()
        self.timeline.after(
            random_source.randrange(50_000, 1_500_000), self.discovery.publish, [(engine.process, "Gone")]
        )
        self._start_successor_later(engine, fault.for_ms * 1000, random_source)
        return True

    def _engine_silent(self, fault: Fault, random_source: random.Random) -> bool:
        engine = self._target_engine(fault)
        if engine is None:
            return False
        engine.hang(True)
        self.timeline.after(fault.for_ms * 1000, engine.hang, False)
        return True

    def _engine_dark(self, fault: Fault, random_source: random.Random) -> bool:
        engine = self._target_engine(fault)
        if engine is None:
            return False
        self.network.set_unreachable(engine.process.address, True)
        self.timeline.after(fault.for_ms * 1000, self.network.set_unreachable, engine.process.address, False)
        return True

    def _engine_draining(self, fault: Fault, random_source: random.Random) -> bool:
        engine = self._target_engine(fault)
        if engine is None or not engine.process.announcing_event:
            return False
        self.discovery.publish([(engine.process, "Terminating")])

        def leave() -> None:
            self.discovery.publish([(engine.process, "Gone")])
            self.timeline.after(random_source.randrange(0, 500_000), engine.kill)

        self.timeline.after(fault.for_ms * 1000, leave)
        self._start_successor_later(engine, random_source.randrange(100_000, 2_000_000), random_source)
        return True

    def _engine_replaced(self, fault: Fault, random_source: random.Random) -> bool:
        """Kill an engine and start another, of a kind drawn at random, at the same address.

        With an amount of 0.5 or more the new one is in another cell, and it is listed long before the list
        says that the old one has gone.
        """
        engine = self._target_engine(fault)
        if engine is None:
            return False
        old_process = engine.process
        engine.kill()
        kind, name = random_source.choice(ENGINE_KINDS), f"n{self._engines_started}"
        old_stays_listed = fault.amount >= OLD_STAYS_LISTED_FROM
        successor = self.start_engine(
            name,
            kind,
            old_process.zone,
            (old_process.cell + 1) % 2 if old_stays_listed else old_process.cell,
            self._cores_of(kind),
            self.timeline.now_us,
            old_process.address[0],
        )
        gone, ready = (old_process, "Gone"), (successor.process, "Ready")
        if old_stays_listed:
            listed_us = random_source.randrange(20_000, 1_000_000)
            self.timeline.after(listed_us, self.discovery.publish, [ready])
            self.timeline.after(listed_us + fault.for_ms * 1000, self.discovery.publish, [gone])
        else:
            self.timeline.after(min(fault.for_ms, 2_000) * 1000, self.discovery.publish, [gone, ready])
        return True

    def _engines_cold(self, fault: Fault, random_source: random.Random) -> bool:
        """Restart all engines; each comes back cold, with its address and its name."""
        for engine in [engine for engine in self.engines if not engine.process.dead]:
            old_process = engine.process
            engine.kill()

            def restart(old_process: EngineProcess = old_process) -> None:
                if self.checker.processes[old_process.address] is not old_process:
                    return
                restarted = self.start_engine(
                    old_process.name,
                    old_process.kind,
                    old_process.zone,
                    old_process.cell,
                    old_process.cores,
                    self.timeline.now_us,
                    old_process.address[0],
                )
                self.timeline.after(
                    random_source.randrange(20_000, 500_000),
                    self.discovery.publish,
                    [(restarted.process, "Ready")],
                )

            self.timeline.after(fault.for_ms * 1000, restart)
        return True

    def _reset_idle(self, fault: Fault, random_source: random.Random) -> bool:
        engine = self._target_engine(fault)
        return engine is not None and engine.reset_idle() > 0

    def _half_lost(self, fault: Fault, random_source: random.Random) -> bool:
        """Cut one direction of each connection to an engine that exists now."""
        engine = self._target_engine(fault)
        if engine is None:
            return False
        ends = [end for end in self.network.open_connections(engine.process.address) if end.peer is not None]
        for end in ends:
            cut_end = end if fault.amount < 0.5 or end.peer is None else end.peer
            self.network.hold(cut_end, True)
            self.timeline.after(fault.for_ms * 1000, self.network.hold, cut_end, False)
        return bool(ends)

    def _bulletin_broken(self, fault: Fault, random_source: random.Random) -> bool:
        return self.discovery.interrupt_event(random_source) > 0

    def _bulletin_stalled(self, fault: Fault, random_source: random.Random) -> bool:
        count = self.discovery.stall(True)
        self.timeline.after(fault.for_ms * 1000, self.discovery.stall, False)
        return count > 0

    def _bulletin_crowded(self, fault: Fault, random_source: random.Random) -> bool:
        """Hold back what discovery sends, while an engine drains and stays in the list as draining."""
        count = self.discovery.crowd(True)
        self.timeline.after(fault.for_ms * 1000, self.discovery.crowd, False)
        drain = Fault("engine-draining", fault.at_ms, fault.for_ms + 1_000, fault.target)
        self.timeline.after(random_source.randrange(1_000_000), self._engine_draining, drain, random_source)
        return count > 0

    def _bulletin_doubled(self, fault: Fault, random_source: random.Random) -> bool:
        self.discovery.repeat_events_until_us = self.timeline.now_us + fault.for_ms * 1000
        return True

    def _bulletin_moved(self, fault: Fault, random_source: random.Random) -> bool:
        host, port = self.discovery.address
        self.discovery.move((host, port + 1))
        for dispatcher in self.dispatchers:
            dispatcher.reload()
        return True

    def _client_flood(self, fault: Fault, random_source: random.Random) -> bool:
        """Send many queries at once from one client."""
        index = self._target_dispatcher(fault).number
        for _ in range(int(fault.amount)):
            request = Request(
                0,
                200,
                index,
                0,
                work_ms=random_source.randrange(5, 60),
                limit_ms=random_source.choice((300, 1_500)),
                pad=random_source.choice((0, 0, 2_000)),
            )
            self.clients.start_query(request)
        return True

    def _client_rude(self, fault: Fault, random_source: random.Random) -> bool:
        incarnation = self._target_dispatcher(fault).incarnation
        if incarnation is None or incarnation.ended_by or self._target_dispatcher(fault).is_stopping:
            return False
        self.clients.send_malformed_call(incarnation, int(fault.amount), random_source)
        return True

    def _client_crowd(self, fault: Fault, random_source: random.Random) -> bool:
        incarnation = self._target_dispatcher(fault).incarnation
        if incarnation is None or incarnation.ended_by:
            return False
        self.clients.open_idle_connections(incarnation, int(fault.amount), fault.for_ms * 1000)
        return True

    def _client_halves(self, fault: Fault, random_source: random.Random) -> bool:
        incarnation = self._target_dispatcher(fault).incarnation
        if incarnation is None or incarnation.ended_by:
            return False
        self.clients.open_half_calls(incarnation, int(fault.amount), fault.for_ms * 1000)
        return True

    def _clock_step(self, fault: Fault, random_source: random.Random) -> bool:
        self._target_dispatcher(fault).clock_step_us += int(fault.amount * 1000)
        return True

    def _dispatcher_killed(self, fault: Fault, random_source: random.Random) -> bool:
        dispatcher = self._target_dispatcher(fault)
        if not dispatcher.is_running:
            return False
        self.record_fault_hit(fault.kind, "")
        dispatcher.kill()
        self.timeline.after(fault.for_ms * 1000, dispatcher.start)
        return False  # the hit was recorded before the kill, while requests were still open

    def _dispatchers_two(self, fault: Fault, random_source: random.Random) -> bool:
        self.record_fault_hit(fault.kind, "")
        for offset in range(2):
            dispatcher = self._target_dispatcher(fault, offset)
            dispatcher.kill()
            self.timeline.after((fault.for_ms + offset * 150) * 1000, dispatcher.start)
        return False

    def _dispatchers_herd(self, fault: Fault, random_source: random.Random) -> bool:
        """Kill all dispatchers but one at once.

        Meanwhile an engine drains, and service discovery answers calls late.
        """
        self.record_fault_hit(fault.kind, "")
        for offset in range(max(1, len(self.dispatchers) - 1)):
            dispatcher = self._target_dispatcher(fault, offset)
            dispatcher.kill()
            self.timeline.after(fault.for_ms * 1000, dispatcher.start)
        self.discovery.slow((fault.for_ms + 2_000) * 1000, int(fault.amount * 1000))
        drain = Fault("engine-draining", fault.at_ms, fault.for_ms + 3_000, fault.target)
        self.timeline.after(
            random_source.randrange(0, fault.for_ms * 1000), self._engine_draining, drain, random_source
        )
        return False

    def _dispatcher_paused(self, fault: Fault, random_source: random.Random) -> bool:
        dispatcher = self._target_dispatcher(fault)
        dispatcher.pause(True)
        self.timeline.after(fault.for_ms * 1000, dispatcher.pause, False)
        return dispatcher.is_running

    def _dispatcher_stopped(self, fault: Fault, random_source: random.Random) -> bool:
        dispatcher = self._target_dispatcher(fault)
        if not dispatcher.is_running or dispatcher.is_stopping:
            return False
        dispatcher.terminate()
        self.timeline.after(5_000_000 + fault.for_ms * 1000, dispatcher.start)
        return True


_watching_twisted = False


def run(script: Scenario, log: Callable[[str], None] | None = None) -> Result:
    """Run a scenario and return its outcome.

    An exception of the simulation or of the program is part of the outcome and is never raised.
    """
    global _watching_twisted
    if not _watching_twisted:
        logs.watch_twisted()
        _watching_twisted = True
    logger.disable("ashcross")
    world: World | None = None
    try:
        world = World(script, log)
        timeline, report_problem = world.timeline, world.report_problem
        rate_limited_log.follow(lambda: timeline.now_us / 1e6, report_problem)
        return world.run()
    except Exception:
        violations = world.checker.violations if world is not None else []
        return Result(
            script.seed,
            "",
            violations,
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
