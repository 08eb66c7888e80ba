"""One run of the soak: what is drawn from its seed, and how it is played."""

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
from ashcross.simulation.soak.clients import Population, Wish
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
CALM_S = 2.0  # at the begin, and at the end while faults are over
LONGEST_S = 3.0
LAG_LOOK_S = 0.01
CROWD = 130  # more than all connections that clients may have at 256 descriptors
WISHES = (
    Wish("lookup", False, 0.1, (0.2, 1.5)),
    Wish("report", False, 0.4, (0.8, 3.0)),
    Wish("load", True, 0.3, (0.5, 2.5)),
    Wish("order", False, 0.2, (0.3, 2.0)),
)
CLASSES = [
    {"Name": "lookup", "Idempotency": "retryable", "Aim": 400_000, "GiveUp": 1_500_000, "Points": 1.0},
    {"Name": "report", "Idempotency": "retryable", "Aim": 1_000_000, "GiveUp": 3_000_000, "Points": 3.0},
    {"Name": "load", "Idempotency": "dedup", "Window": 600_000, "Aim": 800_000, "GiveUp": 2_500_000},
    {"Name": "order", "Idempotency": "fragile", "Aim": 700_000, "GiveUp": 2_000_000, "Points": 4.0},
]
RUDE = (
    b"nonsense\r\n\r\n",
    b"Content-Length: 99999999\r\n\r\n",
    b"Content-Length: 1\r\n\r\n{",
    b'Content-Length: 40\r\n\r\n{"jsonrpc":"2.0","id":1,"method":"nope"}',
    b"Content-Len",
    b"",
)


@dataclass(frozen=True, slots=True)
class Plan:
    """The size of a run."""

    seed: int
    dispatchers: int = 10
    engines: int = 12
    seconds: float = 20.0
    clients_each: int = 6
    program: Path = ROOT  # the tree whose `serve` is played, to hold versions against each other


@dataclass(slots=True)
class Outcome:
    """What came of a run."""

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
        """All of it."""
        return asdict(self)

    def line(self) -> str:
        """A line on it."""
        return (
            f"seed {self.seed}: {len(self.findings)} findings, {self.requests} requests, "
            f"{self.served} served, {self.attempts} attempts, {len(self.faults)} faults, "
            f"{self.injected} calls failed, patience at most {self.worst_patience_s:+.3f} s over, "
            f"rig {self.worst_lag_s * 1000:.0f} ms late"
        )


Fault = Callable[[float], Coroutine[Any, Any, None]]


class Rig:
    """Processes, engines, discovery and clients of one run."""

    def __init__(self, plan: Plan, folder: Path, library: Path) -> None:
        self.plan, self.folder, self.library = plan, folder, library
        self.draw = random.Random(plan.seed)
        self.ledger = Ledger()
        self.engines = [Engine(f"e{n}", self.ledger, self._branch(f"e{n}")) for n in range(plan.engines)]
        self.discovery = Discovery(self.ledger)
        self.dispatchers: list[Dispatcher] = []
        self.populations: list[Population] = []
        self.ended = False

    def _branch(self, name: str) -> random.Random:
        return random.Random(f"{self.plan.seed}/{name}")

    async def run(self) -> Outcome:
        """Play it, and check_ledger what happened."""
        try:
            await self._start()
            await self._play()
        finally:
            self._end()
        self.ledger.end_s = time.monotonic()
        return self._judged()

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
        self.discovery.tell(*self.discovery.entries, whole=True)
        self.discovery.start()
        for number, port in enumerate(free_ports(self.plan.dispatchers)):
            await self.discovery.open(number)
            name = f"d{number}"
            files = str(self.folder / f"{name}.json")
            faults = Shim(self.folder, name, self.library, self.draw.getrandbits(32), files)
            made = Dispatcher(
                number, self.folder, port, faults, self.ledger, self._config_of(number), self.plan.program
            )
            made.start()
            self.dispatchers.append(made)
            population = Population(
                number, made.address, self.ledger, WISHES, self._branch(f"clients {number}"), made.takes
            )
            self.populations.append(population)

    def _config_of(self, number: int) -> Callable[[], dict[str, Any]]:
        return lambda: config(self.plan, number, self.discovery)

    async def _play(self) -> None:
        clients = [
            asyncio.create_task(population.usual())
            for population in self.populations
            for _ in range(self.plan.clients_each)
        ]
        watchers = [asyncio.create_task(self._watch_lag()), asyncio.create_task(self._watch_processes())]
        await self._until_ready()
        await asyncio.sleep(CALM_S)
        faults = await self._faults_until(time.monotonic() + self.plan.seconds)
        await asyncio.gather(*faults)
        await asyncio.sleep(CALM_S)
        for population in self.populations:
            population.ended = True
        await asyncio.sleep(LONGEST_S + 1.0)  # the last answers
        for dispatcher in self.dispatchers:
            if dispatcher.incarnation is not None and dispatcher.incarnation.exit_s is None:
                dispatcher.signal(signal.SIGTERM)
        await self._until(
            lambda: all(
                one.incarnation is None or one.incarnation.exit_s is not None for one in self.dispatchers
            ),
            6.0,
        )
        self.ended = True
        for task in (*clients, *watchers):
            task.cancel()
        await asyncio.gather(*clients, *watchers, return_exceptions=True)

    async def _until(self, holds: Callable[[], bool], bound_s: float) -> None:
        until_s = time.monotonic() + bound_s
        while not holds() and time.monotonic() < until_s:
            await asyncio.sleep(0.02)

    async def _until_ready(self) -> None:
        await self._until(
            lambda: all(
                one.incarnation is not None and one.incarnation.ready_s is not None
                for one in self.dispatchers
            ),
            30.0,
        )

    async def _watch_lag(self) -> None:
        """How late this process itself runs: what it measures is no better than that."""
        while not self.ended:
            began_s = time.monotonic()
            await asyncio.sleep(LAG_LOOK_S)
            now_s = time.monotonic()
            self.ledger.record_lag(now_s, now_s - began_s - LAG_LOOK_S)

    async def _watch_processes(self) -> None:
        while not self.ended:
            for dispatcher in self.dispatchers:
                dispatcher.look()
                if dispatcher.incarnation is not None and dispatcher.incarnation.ready_s is None:
                    await asyncio.to_thread(dispatcher.ping)
            await asyncio.sleep(0.02)

    # --------------------------------------------------------------- faults

    async def _faults_until(self, until_s: float) -> list[asyncio.Task[None]]:
        """Begin a fault each half second or so; each lasts longer than that, so that they overlap."""
        kinds: tuple[Fault, ...] = (
            self._restart,
            self._restart,
            self._kill,
            self._stop,
            self._stop,
            self._move,
            self._move,
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
            self._spoil_engine,
            self._reset_engine,
            self._close_idle,
            self._cut_watches,
            self._mute_watches,
            self._trickle_watches,
            self._rude_clients,
            self._crowd,
            self._flood,
            self._quiet,
        )
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < until_s:
            fault, span_s = self.draw.choice(kinds), self.draw.uniform(0.3, 4.0)
            tasks.append(asyncio.create_task(fault(span_s)))
            await asyncio.sleep(self.draw.expovariate(1 / 0.45))
        return tasks

    def _note(self, text: str) -> None:
        self.ledger.faults.append(f"{time.monotonic():.3f} {text}")

    def _free_dispatcher(self) -> Dispatcher | None:
        free = [one for one in self.dispatchers if not one.busy and one.takes()]
        chosen = self.draw.choice(free) if free else None
        if chosen is not None:
            chosen.busy = True
        return chosen

    def _engine(self) -> Engine:
        return self.draw.choice([engine for engine in self.engines if engine.up] or self.engines)

    async def _restart(self, span_s: float) -> None:
        await self._end_and_start(signal.SIGTERM)

    async def _kill(self, span_s: float) -> None:
        await self._end_and_start(signal.SIGKILL)

    async def _end_and_start(self, number: signal.Signals) -> None:
        dispatcher = self._free_dispatcher()
        if dispatcher is None:
            return
        self._note(f"{number.name} d{dispatcher.number}")
        dispatcher.signal(number)
        await self._until(
            lambda: dispatcher.incarnation is None or dispatcher.incarnation.exit_s is not None, 8.0
        )
        dispatcher.start()
        dispatcher.busy = False

    async def _stop(self, span_s: float) -> None:
        dispatcher = self._free_dispatcher()
        if dispatcher is None:
            return
        span_s = self.draw.choice((0.06, 0.12, 0.2, 0.3, 0.7, 1.2))
        self._note(f"SIGSTOP d{dispatcher.number} for {span_s} s")
        dispatcher.signal(signal.SIGSTOP)
        await asyncio.sleep(span_s)
        dispatcher.signal(signal.SIGCONT)
        dispatcher.busy = False

    async def _move(self, span_s: float) -> None:
        dispatcher = self._free_dispatcher()
        if dispatcher is None:
            return
        self._note(f"SIGHUP d{dispatcher.number}")
        for _ in range(self.draw.randrange(1, 4)):
            address = await self.discovery.open(dispatcher.number)
            address.mute = self.draw.random() < 0.3
            dispatcher.write_config()
            dispatcher.signal(signal.SIGHUP)
            await asyncio.sleep(self.draw.uniform(0.0, 0.6))
        dispatcher.busy = False
        await asyncio.sleep(span_s)
        self.discovery.current(dispatcher.number).mute = False

    async def _step_clock(self, span_s: float) -> None:
        dispatcher = self.draw.choice(self.dispatchers)
        offset_s = self.draw.choice((-3600.0, -5.0, -0.2, 0.2, 5.0, 3600.0))
        self._note(f"clock of d{dispatcher.number} by {offset_s} s")
        dispatcher.shim.step_wall_clock(offset_s)
        await asyncio.sleep(span_s)
        dispatcher.shim.step_wall_clock(0.0)

    async def _fail_calls(self, span_s: float) -> None:
        """Two kinds of failure at once, on one dispatcher, also while it starts, drains or reloads."""
        restarting = [one for one in self.dispatchers if one.busy]
        dispatcher = self.draw.choice(restarting or self.dispatchers)
        calls = self.draw.sample(sorted(shim.TRANSIENT), 2)
        for call in calls:
            error = self.draw.choice(shim.TRANSIENT[call])
            chance = self.draw.choice((0.1, 0.5))
            self._note(f"d{dispatcher.number}: {call.name} fails with {error} at {chance} for {span_s:.1f} s")
            dispatcher.shim.fail(call, error, chance)
        await asyncio.sleep(min(span_s, 1.5))
        dispatcher.shim.heal()

    async def _hang_engine(self, span_s: float) -> None:
        engine = self._engine()
        self._note(f"{engine.name} hangs for {span_s:.1f} s")
        engine.faults.hung = True
        await asyncio.sleep(span_s)
        engine.faults.hung = False

    async def _hold_network(self, span_s: float) -> None:
        engine = self._engine()
        self._note(f"{engine.name} is cut off for {span_s:.1f} s")
        engine.hold(True)
        await asyncio.sleep(span_s)
        engine.hold(False)

    async def _crash_engine(self, span_s: float) -> None:
        """It dies, is told gone a while later, and comes back cold under its name at another address."""
        engine = self._engine()
        if not engine.up:
            return
        self._note(f"{engine.name} dies")
        engine.crash()
        await asyncio.sleep(min(span_s, 1.0))
        self.discovery.tell(engine.name, status="Gone")
        await asyncio.sleep(span_s)
        await engine.listen()
        now_s = time.monotonic()
        self.ledger.cold_starts.append(ColdStart(engine.name, now_s, now_s + RAMP_S))
        self.discovery.tell(
            engine.name,
            status="Ready",
            address=f"127.0.0.1:{engine.port}",
            since_ms=int(time.time() * 1000),
        )

    async def _drain_engine(self, span_s: float) -> None:
        engine = self._engine()
        if not engine.up or self.discovery.entries[engine.name]["status"] != "Ready":
            return
        self._note(f"{engine.name} drains for {span_s:.1f} s")
        self.discovery.tell(engine.name, status="Terminating")
        await asyncio.sleep(span_s)
        if engine.up and self.discovery.entries[engine.name]["status"] == "Terminating":
            self.discovery.tell(engine.name, status="Ready")

    async def _slow_engine(self, span_s: float) -> None:
        engine = self._engine()
        self._note(f"{engine.name} is slow for {span_s:.1f} s")
        engine.faults.slow = self.draw.choice((5.0, 20.0))
        await asyncio.sleep(span_s)
        engine.faults.slow = 1.0

    async def _spoil_engine(self, span_s: float) -> None:
        engine = self._engine()
        self._note(f"{engine.name} spoils answers for {span_s:.1f} s")
        engine.faults.spoil, engine.faults.second = 0.2, 0.3
        await asyncio.sleep(span_s)
        engine.faults.spoil = engine.faults.second = 0.0

    async def _reset_engine(self, span_s: float) -> None:
        engine = self._engine()
        self._note(f"{engine.name} resets under requests for {span_s:.1f} s")
        engine.faults.reset = 0.3
        await asyncio.sleep(span_s)
        engine.faults.reset = 0.0

    async def _close_idle(self, span_s: float) -> None:
        self._note("engines close what is idle")
        for engine in self.engines:
            engine.close_idle()

    async def _cut_watches(self, span_s: float) -> None:
        self._note("watches break")
        for dispatcher in self.dispatchers:
            if self.draw.random() < 0.5:
                self.discovery.cut(self.discovery.current(dispatcher.number))

    async def _mute_watches(self, span_s: float) -> None:
        await self._watches(span_s * 2.5, "mute")

    async def _trickle_watches(self, span_s: float) -> None:
        await self._watches(span_s * 2.5, "trickles")

    async def _watches(self, span_s: float, how: str) -> None:
        chosen = [one.number for one in self.dispatchers if self.draw.random() < 0.4]
        self._note(f"watches of {chosen}: {how} for {span_s:.1f} s")
        for number in chosen:
            setattr(self.discovery.current(number), how, True)
        await asyncio.sleep(span_s)
        for address in self.discovery.addresses:
            if address.dispatcher in chosen:
                setattr(address, how, False)

    async def _rude_clients(self, span_s: float) -> None:
        population, payload = self.draw.choice(self.populations), self.draw.choice(RUDE)
        self._note(f"rude clients at d{population.number}: {payload[:20]!r}")
        await asyncio.gather(*(population.rude(payload, self.draw.randrange(1, 20)) for _ in range(12)))

    async def _crowd(self, span_s: float) -> None:
        """Connections that say nothing fill what clients may have."""
        population = self.draw.choice(self.populations)
        self._note(f"a crowd at d{population.number} for {span_s:.1f} s")
        await asyncio.gather(*(population.idle(span_s) for _ in range(CROWD)))

    async def _flood(self, span_s: float) -> None:
        """Clients that ask without end and read nothing."""
        population = self.draw.choice(self.populations)
        self._note(f"floods at d{population.number} for {span_s:.1f} s")
        await asyncio.gather(*(population.flood(span_s) for _ in range(3)))

    async def _quiet(self, span_s: float) -> None:
        """Nobody asks for a while; what comes next meets a process at rest."""
        self._note(f"quiet for {span_s:.1f} s")
        for population in self.populations:
            population.pause_s = 5.0
        await asyncio.sleep(span_s)
        for population in self.populations:
            population.pause_s = 0.05

    # -------------------------------------------------------------- the end

    def _end(self) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.look()
            dispatcher.end()
            dispatcher.note_log()
        for engine in self.engines:
            engine.crash()
        self.discovery.close()

    def _judged(self) -> Outcome:
        ledger = self.ledger
        terms = OracleSettings(
            classes={
                "lookup": ClassSettings(RetrySafety.IDEMPOTENT, 0.0),
                "report": ClassSettings(RetrySafety.IDEMPOTENT, 0.0),
                "load": ClassSettings(RetrySafety.IDEMPOTENT_WITH_KEY, 0.6),
                "order": ClassSettings(RetrySafety.NOT_IDEMPOTENT, 0.0),
            },
            maximum_attempts=4,
            cold_work_s=FALL_MULTIPLE * COLD_FROM * CORES * FALL_S,
            mean_work_s=sum(wish.cpu_s for wish in WISHES) / len(WISHES),
            fall_s=FALL_S,
        )
        pairs = [(ledger.requests[one.request_id], one) for one in ledger.attempts]
        excess_s = [patience_excess_s(*pair) for pair in pairs if pair[0].well_behaved]
        return Outcome(
            seed=self.plan.seed,
            findings=check_ledger(ledger, terms),
            requests=len(ledger.requests),
            served=sum(any(a.kind.value == "served" for a in r.answers) for r in ledger.requests.values()),
            attempts=len(ledger.attempts),
            faults=ledger.faults,
            worst_lag_s=ledger.worst_lag_s,
            worst_patience_s=max(excess_s, default=0.0),
            injected=sum(one.shim.injected(call) for one in self.dispatchers for call in Call),
        )


def config(plan: Plan, number: int, discovery: Discovery) -> dict[str, Any]:
    """A dispatcher's configuration as it is now, without its name and address."""
    text = (ROOT / "examples" / "config.json").read_text(encoding="utf-8")
    base: dict[str, Any] = json.loads(text)
    settings = base["settings"] | {"Classes": CLASSES, "Instances": plan.dispatchers, "Me": number}
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
    return base | {
        "settings": settings,
        "known": discovery.known(),
        "bulletin": f"127.0.0.1:{discovery.current(number).port}",
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
    }


def play(plan: Plan, folder: Path) -> Outcome:
    """One run in a folder of its own, where the processes' logs stay."""
    folder.mkdir(parents=True, exist_ok=True)
    rig = Rig(plan, folder, shim.build(folder))
    return asyncio.run(rig.run())


def play_many(plans: list[Plan], jobs: int, keep: Path | None) -> Iterator[Outcome]:
    """Runs in processes of their own, `jobs` at once; each outcome as it comes."""
    with tempfile.TemporaryDirectory() as made, ProcessPoolExecutor(jobs) as pool:
        parent = (keep or Path(made)).resolve()
        runs = [pool.submit(play, plan, parent / f"seed-{plan.seed}") for plan in plans]
        for run in as_completed(runs):
            yield run.result()
