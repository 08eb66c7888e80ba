"""One run of the soak: real dispatchers, engines, discovery and clients, and faults drawn from a seed."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import tempfile
import time
from collections.abc import Callable, Coroutine, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from ashcross.decisions.settings import RetrySafety
from ashcross.simulation.faults import shim
from ashcross.simulation.faults.shim import Call, Shim
from ashcross.simulation.processes import ROOT, free_ports
from ashcross.simulation.soak.clients import Population, RequestTemplate
from ashcross.simulation.soak.discovery import Discovery
from ashcross.simulation.soak.dispatchers import Dispatcher
from ashcross.simulation.soak.engines import Engine
from ashcross.simulation.soak.ledger import ColdStart, Ledger
from ashcross.simulation.soak.oracle import (
    ClassSettings,
    Finding,
    OracleSettings,
    check_ledger,
    patience_excess_s,
)

CORES, FALL_S, FALL_MULTIPLE, COLD_FROM, RAMP_S = 8, 2.0, 4.0, 0.3, 6.0
CALM_S = 2.0  # without faults, before the first and after the last of them
MAX_LIMIT_S = 3.0  # longest time limit of any request
LAG_CHECK_S = 0.01
IDLE_CONNECTIONS = 130  # more than clients may open on a dispatcher with 256 descriptors
REQUEST_TEMPLATES = (
    RequestTemplate("lookup", False, 0.1, (0.2, 1.5)),
    RequestTemplate("report", False, 0.4, (0.8, 3.0)),
    RequestTemplate("load", True, 0.3, (0.5, 2.5)),
    RequestTemplate("order", False, 0.2, (0.3, 2.0)),
)
CLASSES = [
    {"Name": "lookup", "Idempotency": "retryable", "Aim": 400_000, "GiveUp": 1_500_000, "Points": 1.0},
    {"Name": "report", "Idempotency": "retryable", "Aim": 1_000_000, "GiveUp": 3_000_000, "Points": 3.0},
    {"Name": "load", "Idempotency": "dedup", "Window": 600_000, "Aim": 800_000, "GiveUp": 2_500_000},
    {"Name": "order", "Idempotency": "fragile", "Aim": 700_000, "GiveUp": 2_000_000, "Points": 4.0},
]
MALFORMED_PAYLOADS = (
    b"nonsense\r\n\r\n",
    b"Content-Length: 99999999\r\n\r\n",
    b"Content-Length: 1\r\n\r\n{",
    b'Content-Length: 40\r\n\r\n{"jsonrpc":"2.0","id":1,"method":"nope"}',
    b"Content-Len",
    b"",
)


@dataclass(frozen=True, slots=True)
class Plan:
    """The seed and the size of a run."""

    seed: int
    dispatchers: int = 10
    engines: int = 12
    seconds: float = 20.0
    clients_each: int = 6
    program: Path = ROOT  # root of the source tree whose `serve` runs, to compare versions


@dataclass(slots=True)
class Outcome:
    """The findings and figures of a run."""

    seed: int
    findings: list[Finding]
    requests: int
    served: int
    attempts: int
    faults: list[str]
    worst_lag_s: float
    worst_patience_s: float
    injected: int

    def as_json(self) -> dict[str, Any]:
        """Return all fields under their own names."""
        return asdict(self)

    def line(self) -> str:
        """Return a summary in one line."""
        return (
            f"seed {self.seed}: {len(self.findings)} findings, {self.requests} requests, "
            f"{self.served} served, {self.attempts} attempts, {len(self.faults)} faults, "
            f"{self.injected} system calls failed, "
            f"largest excess of patience {self.worst_patience_s:+.3f} s, "
            f"longest delay of the rig {self.worst_lag_s * 1000:.0f} ms"
        )


# starts a fault of a given duration in seconds, and ends it
Fault = Callable[[float], Coroutine[Any, Any, None]]


class Rig:
    """The processes, engines, service discovery and clients of one run."""

    def __init__(self, plan: Plan, folder: Path, library: Path) -> None:
        self.plan, self.folder, self.library = plan, folder, library
        self.random_source = random.Random(plan.seed)
        self.ledger = Ledger()
        self.engines = [
            Engine(f"e{number}", self.ledger, self._derived_random(f"e{number}"))
            for number in range(plan.engines)
        ]
        self.discovery = Discovery(self.ledger)
        self.dispatchers: list[Dispatcher] = []
        self.populations: list[Population] = []
        self.ended = False

    def _derived_random(self, name: str) -> random.Random:
        return random.Random(f"{self.plan.seed}/{name}")

    async def run(self) -> Outcome:
        """Run to the end, and return the outcome with the oracle's findings."""
        try:
            await self._start()
            await self._run_clients_and_faults()
        finally:
            self._tear_down()
        self.ledger.end_s = time.monotonic()
        return self._outcome()

    async def _start(self) -> None:
        for engine in self.engines:
            await engine.listen()
            self.discovery.entries[engine.name] = {
                "name": engine.name,
                "address": f"127.0.0.1:{engine.port}",
                "zone": "here",
                "type": "big",
                "group": 0,
                "status": "Ready",
                "weight": 1,
                "since_ms": 0,
            }
        self.discovery.publish(*self.discovery.entries, is_snapshot=True)
        self.discovery.start()
        for number, port in enumerate(free_ports(self.plan.dispatchers)):
            await self.discovery.open(number)
            name = f"d{number}"
            files = str(self.folder / f"{name}.json")
            faults = Shim(self.folder, name, self.library, self.random_source.getrandbits(32), files)
            dispatcher = Dispatcher(
                number, self.folder, port, faults, self.ledger, self._config_of(number), self.plan.program
            )
            dispatcher.start()
            self.dispatchers.append(dispatcher)
            population = Population(
                number,
                dispatcher.address,
                self.ledger,
                REQUEST_TEMPLATES,
                self._derived_random(f"clients {number}"),
                dispatcher.accepts_requests,
            )
            self.populations.append(population)

    def _config_of(self, number: int) -> Callable[[], dict[str, Any]]:
        return lambda: config(self.plan, number, self.discovery)

    async def _run_clients_and_faults(self) -> None:
        clients = [
            asyncio.create_task(population.run_regular_client())
            for population in self.populations
            for _ in range(self.plan.clients_each)
        ]
        watchers = [asyncio.create_task(self._measure_lag()), asyncio.create_task(self._watch_dispatchers())]
        await self._wait_until_ready()
        await asyncio.sleep(CALM_S)
        faults = await self._start_faults(time.monotonic() + self.plan.seconds)
        await asyncio.gather(*faults)
        await asyncio.sleep(CALM_S)
        for population in self.populations:
            population.ended = True
        await asyncio.sleep(MAX_LIMIT_S + 1.0)  # so that the last answers can arrive
        for dispatcher in self.dispatchers:
            if dispatcher.incarnation is not None and dispatcher.incarnation.exit_s is None:
                dispatcher.signal(signal.SIGTERM)
        await self._wait_until(
            lambda: all(
                dispatcher.incarnation is None or dispatcher.incarnation.exit_s is not None
                for dispatcher in self.dispatchers
            ),
            6.0,
        )
        self.ended = True
        for task in (*clients, *watchers):
            task.cancel()
        await asyncio.gather(*clients, *watchers, return_exceptions=True)

    async def _wait_until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        deadline_s = time.monotonic() + timeout_s
        while not condition() and time.monotonic() < deadline_s:
            await asyncio.sleep(0.02)

    async def _wait_until_ready(self) -> None:
        await self._wait_until(
            lambda: all(
                dispatcher.incarnation is not None and dispatcher.incarnation.ready_s is not None
                for dispatcher in self.dispatchers
            ),
            30.0,
        )

    async def _measure_lag(self) -> None:
        """Record the delays of this process's event loop, which limit the precision of all recorded times."""
        while not self.ended:
            began_s = time.monotonic()
            await asyncio.sleep(LAG_CHECK_S)
            now_s = time.monotonic()
            self.ledger.record_lag(now_s, now_s - began_s - LAG_CHECK_S)

    async def _watch_dispatchers(self) -> None:
        while not self.ended:
            for dispatcher in self.dispatchers:
                dispatcher.record_exit()
                if dispatcher.incarnation is not None and dispatcher.incarnation.ready_s is None:
                    await asyncio.to_thread(dispatcher.ping)
            await asyncio.sleep(0.02)

    async def _start_faults(self, deadline_s: float) -> list[asyncio.Task[None]]:
        """Start a fault every 0.45 s on average until the deadline, and return the overlapping tasks."""
        kinds: tuple[Fault, ...] = (
            self._terminate_dispatcher,
            self._terminate_dispatcher,
            self._kill_dispatcher,
            self._pause_dispatcher,
            self._pause_dispatcher,
            self._move_discovery,
            self._move_discovery,
            self._step_clock,
            self._fail_calls,
            self._fail_calls,
            self._hang_engine,
            self._hold_network,
            self._crash_engine,
            self._crash_engine,
            self._drain_engine,
            self._drain_engine,
            self._slow_engine,
            self._corrupt_answers,
            self._reset_connections,
            self._close_idle_connections,
            self._abort_watches,
            self._silence_watches,
            self._trickle_watches,
            self._send_malformed_payloads,
            self._open_idle_connections,
            self._flood_with_calls,
            self._pause_clients,
        )
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < deadline_s:
            fault, span_s = self.random_source.choice(kinds), self.random_source.uniform(0.3, 4.0)
            tasks.append(asyncio.create_task(fault(span_s)))
            await asyncio.sleep(self.random_source.expovariate(1 / 0.45))
        return tasks

    def _record_fault(self, text: str) -> None:
        self.ledger.faults.append(f"{time.monotonic():.3f} {text}")

    def _take_free_dispatcher(self) -> Dispatcher | None:
        """Return a random dispatcher on which no fault acts, marked as busy, or None if there is none."""
        free = [
            dispatcher
            for dispatcher in self.dispatchers
            if not dispatcher.busy and dispatcher.accepts_requests()
        ]
        chosen = self.random_source.choice(free) if free else None
        if chosen is not None:
            chosen.busy = True
        return chosen

    def _random_engine(self) -> Engine:
        """Return a random running engine, or any engine if none runs."""
        return self.random_source.choice(
            [engine for engine in self.engines if engine.running] or self.engines
        )

    async def _terminate_dispatcher(self, span_s: float) -> None:
        await self._stop_and_start(signal.SIGTERM)

    async def _kill_dispatcher(self, span_s: float) -> None:
        await self._stop_and_start(signal.SIGKILL)

    async def _stop_and_start(self, signal_number: signal.Signals) -> None:
        dispatcher = self._take_free_dispatcher()
        if dispatcher is None:
            return
        self._record_fault(f"{signal_number.name} d{dispatcher.number}")
        dispatcher.signal(signal_number)
        await self._wait_until(
            lambda: dispatcher.incarnation is None or dispatcher.incarnation.exit_s is not None, 8.0
        )
        dispatcher.start()
        dispatcher.busy = False

    async def _pause_dispatcher(self, span_s: float) -> None:
        dispatcher = self._take_free_dispatcher()
        if dispatcher is None:
            return
        span_s = self.random_source.choice((0.06, 0.12, 0.2, 0.3, 0.7, 1.2))
        self._record_fault(f"SIGSTOP d{dispatcher.number} for {span_s} s")
        dispatcher.signal(signal.SIGSTOP)
        await asyncio.sleep(span_s)
        dispatcher.signal(signal.SIGCONT)
        dispatcher.busy = False

    async def _move_discovery(self, span_s: float) -> None:
        dispatcher = self._take_free_dispatcher()
        if dispatcher is None:
            return
        self._record_fault(f"SIGHUP d{dispatcher.number}")
        for _ in range(self.random_source.randrange(1, 4)):
            address = await self.discovery.open(dispatcher.number)
            address.silent = self.random_source.random() < 0.3
            dispatcher.write_config()
            dispatcher.signal(signal.SIGHUP)
            await asyncio.sleep(self.random_source.uniform(0.0, 0.6))
        dispatcher.busy = False
        await asyncio.sleep(span_s)
        self.discovery.current_address(dispatcher.number).silent = False

    async def _step_clock(self, span_s: float) -> None:
        dispatcher = self.random_source.choice(self.dispatchers)
        offset_s = self.random_source.choice((-3600.0, -5.0, -0.2, 0.2, 5.0, 3600.0))
        self._record_fault(f"wall clock of d{dispatcher.number} stepped by {offset_s} s")
        dispatcher.shim.step_wall_clock(offset_s)
        await asyncio.sleep(span_s)
        dispatcher.shim.step_wall_clock(0.0)

    async def _fail_calls(self, span_s: float) -> None:
        """Let two system calls of one dispatcher fail, if possible of one that starts, drains or reloads."""
        restarting = [dispatcher for dispatcher in self.dispatchers if dispatcher.busy]
        dispatcher = self.random_source.choice(restarting or self.dispatchers)
        calls = self.random_source.sample(sorted(shim.TRANSIENT_ERRORS), 2)
        for call in calls:
            error = self.random_source.choice(shim.TRANSIENT_ERRORS[call])
            chance = self.random_source.choice((0.1, 0.5))
            self._record_fault(
                f"d{dispatcher.number}: {call.name} fails with {error} at {chance} for {span_s:.1f} s"
            )
            dispatcher.shim.fail(call, error, chance)
        await asyncio.sleep(min(span_s, 1.5))
        dispatcher.shim.heal()

    async def _hang_engine(self, span_s: float) -> None:
        engine = self._random_engine()
        self._record_fault(f"{engine.name} hangs for {span_s:.1f} s")
        engine.faults.hung = True
        await asyncio.sleep(span_s)
        engine.faults.hung = False

    async def _hold_network(self, span_s: float) -> None:
        engine = self._random_engine()
        self._record_fault(f"{engine.name} is cut off from the network for {span_s:.1f} s")
        engine.hold_network(True)
        await asyncio.sleep(span_s)
        engine.hold_network(False)

    async def _crash_engine(self, span_s: float) -> None:
        """Crash an engine, publish it as gone, and start it cold under the same name at another address."""
        engine = self._random_engine()
        if not engine.running:
            return
        self._record_fault(f"{engine.name} crashes")
        engine.crash()
        await asyncio.sleep(min(span_s, 1.0))
        self.discovery.publish(engine.name, status="Gone")
        await asyncio.sleep(span_s)
        await engine.listen()
        now_s = time.monotonic()
        self.ledger.cold_starts.append(ColdStart(engine.name, now_s, now_s + RAMP_S))
        self.discovery.publish(
            engine.name,
            status="Ready",
            address=f"127.0.0.1:{engine.port}",
            since_ms=int(time.time() * 1000),
        )

    async def _drain_engine(self, span_s: float) -> None:
        engine = self._random_engine()
        if not engine.running or self.discovery.entries[engine.name]["status"] != "Ready":
            return
        self._record_fault(f"{engine.name} drains for {span_s:.1f} s")
        self.discovery.publish(engine.name, status="Terminating")
        await asyncio.sleep(span_s)
        if engine.running and self.discovery.entries[engine.name]["status"] == "Terminating":
            self.discovery.publish(engine.name, status="Ready")

    async def _slow_engine(self, span_s: float) -> None:
        engine = self._random_engine()
        self._record_fault(f"{engine.name} is slow for {span_s:.1f} s")
        engine.faults.slowdown = self.random_source.choice((5.0, 20.0))
        await asyncio.sleep(span_s)
        engine.faults.slowdown = 1.0

    async def _corrupt_answers(self, span_s: float) -> None:
        engine = self._random_engine()
        self._record_fault(f"{engine.name} corrupts answers for {span_s:.1f} s")
        engine.faults.corrupt_chance, engine.faults.duplicate_chance = 0.2, 0.3
        await asyncio.sleep(span_s)
        engine.faults.corrupt_chance = engine.faults.duplicate_chance = 0.0

    async def _reset_connections(self, span_s: float) -> None:
        engine = self._random_engine()
        self._record_fault(f"{engine.name} resets connections for {span_s:.1f} s")
        engine.faults.reset_chance = 0.3
        await asyncio.sleep(span_s)
        engine.faults.reset_chance = 0.0

    async def _close_idle_connections(self, span_s: float) -> None:
        self._record_fault("engines close idle connections")
        for engine in self.engines:
            engine.close_idle()

    async def _abort_watches(self, span_s: float) -> None:
        self._record_fault("watches are aborted")
        for dispatcher in self.dispatchers:
            if self.random_source.random() < 0.5:
                self.discovery.abort_watches(self.discovery.current_address(dispatcher.number))

    async def _silence_watches(self, span_s: float) -> None:
        await self._impair_watches(span_s * 2.5, "silent")

    async def _trickle_watches(self, span_s: float) -> None:
        await self._impair_watches(span_s * 2.5, "trickles")

    async def _impair_watches(self, span_s: float, impairment: str) -> None:
        chosen = [dispatcher.number for dispatcher in self.dispatchers if self.random_source.random() < 0.4]
        self._record_fault(f"watches of {chosen}: {impairment} for {span_s:.1f} s")
        for number in chosen:
            setattr(self.discovery.current_address(number), impairment, True)
        await asyncio.sleep(span_s)
        for address in self.discovery.addresses:
            if address.dispatcher in chosen:
                setattr(address, impairment, False)

    async def _send_malformed_payloads(self, span_s: float) -> None:
        population, payload = (
            self.random_source.choice(self.populations),
            self.random_source.choice(MALFORMED_PAYLOADS),
        )
        self._record_fault(f"malformed payloads to d{population.number}: {payload[:20]!r}")
        await asyncio.gather(
            *(
                population.run_malformed_client(payload, self.random_source.randrange(1, 20))
                for _ in range(12)
            )
        )

    async def _open_idle_connections(self, span_s: float) -> None:
        """Open more idle connections to one dispatcher than its clients may have."""
        population = self.random_source.choice(self.populations)
        self._record_fault(f"idle connections to d{population.number} for {span_s:.1f} s")
        await asyncio.gather(*(population.run_idle_client(span_s) for _ in range(IDLE_CONNECTIONS)))

    async def _flood_with_calls(self, span_s: float) -> None:
        """Send calls to one dispatcher without pause, from clients that read no answers."""
        population = self.random_source.choice(self.populations)
        self._record_fault(f"call floods to d{population.number} for {span_s:.1f} s")
        await asyncio.gather(*(population.run_flooding_client(span_s) for _ in range(3)))

    async def _pause_clients(self, span_s: float) -> None:
        """Let clients send few requests for a while; the next ones meet idle dispatchers."""
        self._record_fault(f"few requests for {span_s:.1f} s")
        for population in self.populations:
            population.mean_pause_s = 5.0
        await asyncio.sleep(span_s)
        for population in self.populations:
            population.mean_pause_s = 0.05

    def _tear_down(self) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.record_exit()
            dispatcher.kill()
            dispatcher.record_log_errors()
        for engine in self.engines:
            engine.crash()
        self.discovery.close()

    def _outcome(self) -> Outcome:
        ledger = self.ledger
        settings = OracleSettings(
            classes={
                "lookup": ClassSettings(RetrySafety.IDEMPOTENT, 0.0),
                "report": ClassSettings(RetrySafety.IDEMPOTENT, 0.0),
                "load": ClassSettings(RetrySafety.IDEMPOTENT_WITH_KEY, 0.6),
                "order": ClassSettings(RetrySafety.NOT_IDEMPOTENT, 0.0),
            },
            maximum_attempts=4,
            cold_work_s=FALL_MULTIPLE * COLD_FROM * CORES * FALL_S,
            mean_work_s=sum(template.cpu_s for template in REQUEST_TEMPLATES) / len(REQUEST_TEMPLATES),
            fall_s=FALL_S,
        )
        attempts = [(ledger.requests[attempt.request_id], attempt) for attempt in ledger.attempts]
        excess_s = [
            patience_excess_s(request, attempt) for request, attempt in attempts if request.well_behaved
        ]
        return Outcome(
            seed=self.plan.seed,
            findings=check_ledger(ledger, settings),
            requests=len(ledger.requests),
            served=sum(
                any(answer.kind.value == "served" for answer in request.answers)
                for request in ledger.requests.values()
            ),
            attempts=len(ledger.attempts),
            faults=ledger.faults,
            worst_lag_s=ledger.worst_lag_s,
            worst_patience_s=max(excess_s, default=0.0),
            injected=sum(dispatcher.shim.injected(call) for dispatcher in self.dispatchers for call in Call),
        )


def config(plan: Plan, number: int, discovery: Discovery) -> dict[str, Any]:
    """Return a dispatcher's configuration as of now, without its name and address."""
    text = (ROOT / "examples" / "config.json").read_text(encoding="utf-8")
    example: dict[str, Any] = json.loads(text)
    settings = example["settings"] | {"Classes": CLASSES, "Instances": plan.dispatchers, "Me": number}
    settings["FamilyInfo"] |= {
        "ClassLoad": [False] * 4,
        "ClassThreads": [1, 2, 1, 1],
        "ClassWaits": [False] * 4,
        "CpuOfKind": [CORES, CORES],
        "SizeMb": [16384.0, 16384.0],
    }
    settings["Guarantees"] |= {
        "Fall": int(FALL_S * 1e6),
        "FallMultiple": FALL_MULTIPLE,
        "ColdFrom": COLD_FROM,
        "RampTime": int(RAMP_S * 1e6),
    }
    settings["Tenants"] = []
    return example | {
        "settings": settings,
        "known": discovery.known(),
        "bulletin": f"127.0.0.1:{discovery.current_address(number).port}",
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
    }


def play(plan: Plan, folder: Path) -> Outcome:
    """Play one run; the processes' configurations and logs stay in `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    rig = Rig(plan, folder, shim.build(folder))
    return asyncio.run(rig.run())


def play_many(plans: list[Plan], jobs: int, keep: Path | None) -> Iterator[Outcome]:
    """Play runs in worker processes, `jobs` at once, and yield each outcome as it comes.

    The logs stay under `keep`; without it they are removed at the end.
    """
    with tempfile.TemporaryDirectory() as temporary, ProcessPoolExecutor(jobs) as pool:
        parent = (keep or Path(temporary)).resolve()
        runs = [pool.submit(play, plan, parent / f"seed-{plan.seed}") for plan in plans]
        for run in as_completed(runs):
            yield run.result()
