#!/usr/bin/env python3
"""Measures the resources that one dispatcher uses with few and with many engines of the same total capacity.

    python tools/fleet_sizes.py 80 1280

Each number of engines gets one real `serve` process, configured as one of 200 dispatchers; engines, service
discovery and clients are those of the fault soak. Engines are replaced one after the other. Prints CPU time,
memory, descriptors, connections made, size of endpoint lists and fraction served, each with its bound, which
follows from the first number.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from ashcross.simulation.faults import shim
from ashcross.simulation.processes import ROOT, free_ports, wait_for
from ashcross.simulation.soak import rig
from ashcross.simulation.soak.clients import Population
from ashcross.simulation.soak.discovery import Discovery
from ashcross.simulation.soak.dispatchers import Dispatcher
from ashcross.simulation.soak.engines import Engine, ProxiedConnection
from ashcross.simulation.soak.ledger import Ledger

TOTAL_CORES = 640.0
DISPATCHERS = 200
RUN_S = 30.0
CLIENT_PAUSE_S = 0.12
CLIENTS = 6
REPLACED_FRACTION = 0.3  # of the engines, over the run
POLL_S = 0.05
DRAIN_WAIT_S = 2.0
CPU_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """The resources that a dispatcher used in one run."""

    cpu_s: float
    memory_mb: float
    descriptors: int
    connections: int
    list_kb: float
    served_fraction: float

    def bounds(self, engines: int) -> tuple[float, ...]:
        """Return the bounds for a run with `engines` engines, where this is the use of the first run."""
        thousands = engines / 1000
        return (
            1.4 * self.cpu_s + 0.02 + 0.12 * thousands,
            1.5 * self.memory_mb + 8 + 4 * thousands,
            2 * self.descriptors + 40,
            2.5 * self.connections + 40,
            2 * self.list_kb + 64 + 500 * thousands,
            0.85 * self.served_fraction,
        )

    def values(self) -> tuple[float, ...]:
        """Return the values in the order of `bounds`."""
        return (
            self.cpu_s,
            self.memory_mb,
            self.descriptors,
            self.connections,
            self.list_kb,
            self.served_fraction,
        )


NAMES = ("CPU s", "peak memory MB", "descriptors", "connections made", "list KB", "fraction served")


async def run(engines: int, folder: Path) -> ResourceUse:
    """Run one dispatcher with `engines` engines for `RUN_S`, and return what it used."""
    ledger = Ledger()
    random_source = random.Random(engines)
    fleet = [Engine(f"e{n}", ledger, random.Random(n)) for n in range(engines)]
    discovery = Discovery(ledger)
    for engine in fleet:
        await engine.listen()
        discovery.entries[engine.name] = entry(engine)
    discovery.publish(*discovery.entries, is_snapshot=True)
    discovery.start()
    await discovery.open(0)
    faults = shim.Shim(folder, "d0", shim.build(folder))
    (port,) = free_ports(1)
    dispatcher = Dispatcher(0, folder, port, faults, ledger, config_of(discovery, engines), ROOT)
    dispatcher.start()

    def is_ready() -> bool:
        dispatcher.ping()
        return dispatcher.accepts_requests()

    await asyncio.to_thread(wait_for, "the dispatcher", is_ready)
    population = Population(
        0, dispatcher.address, ledger, rig.REQUEST_TEMPLATES, random_source, dispatcher.accepts_requests
    )
    population.mean_pause_s = CLIENT_PAUSE_S
    population.burst_chance = 0.0
    clients = [asyncio.create_task(population.run_regular_client()) for _ in range(CLIENTS)]
    descriptors = await replace_engines(fleet, discovery, dispatcher)
    population.ended = True
    await asyncio.sleep(rig.MAX_LIMIT_S + 0.5)
    use = resource_use(dispatcher, ledger, descriptors, discovery)
    dispatcher.signal(signal.SIGTERM)
    await asyncio.sleep(DRAIN_WAIT_S)
    dispatcher.kill()
    for client in clients:
        client.cancel()
    for engine in fleet:
        engine.crash()
    discovery.close()
    return use


async def replace_engines(fleet: list[Engine], discovery: Discovery, dispatcher: Dispatcher) -> int:
    """Replace engines one after the other for `RUN_S`; return the peak number of open descriptors."""
    assert dispatcher.process is not None
    descriptors = Path(f"/proc/{dispatcher.process.pid}/fd")
    interval_s = RUN_S / (REPLACED_FRACTION * len(fleet))
    end_s = time.monotonic() + RUN_S
    next_s = time.monotonic() + interval_s
    number = 0
    peak = 0
    while time.monotonic() < end_s:
        peak = max(peak, len(list(descriptors.iterdir())))
        while time.monotonic() >= next_s:
            next_s += interval_s
            number += 1
            discovery.publish(fleet[number].name, status="Terminating")
            discovery.publish(fleet[number].name, status="Ready", since_ms=int(time.time() * 1000))
        await asyncio.sleep(POLL_S)
    return peak


def entry(engine: Engine) -> dict[str, Any]:
    """Return an engine's entry of the endpoint list."""
    return {
        "name": engine.name,
        "address": f"127.0.0.1:{engine.port}",
        "zone": "here",
        "type": "big",
        "group": 0,
        "status": "Ready",
        "weight": 1,
        "since_ms": 0,
    }


def config_of(discovery: Discovery, engines: int) -> Callable[[], dict[str, Any]]:
    """Return a factory of the configuration, in which the engines share `TOTAL_CORES` evenly."""
    cores = TOTAL_CORES / engines
    plan = rig.Plan(seed=0, dispatchers=DISPATCHERS)

    def config() -> dict[str, Any]:
        content = rig.config(plan, 0, discovery)
        content["settings"]["FamilyInfo"]["CpuOfKind"] = [cores, cores]
        return content

    return config


def resource_use(
    dispatcher: Dispatcher, ledger: Ledger, descriptors: int, discovery: Discovery
) -> ResourceUse:
    """Return the resource use, read from `/proc` and the ledger."""
    assert dispatcher.process is not None
    folder = Path(f"/proc/{dispatcher.process.pid}")
    fields = (folder / "stat").read_text(encoding="ascii").rpartition(")")[2].split()
    peak_kb = next(
        int(line.split()[1])
        for line in (folder / "status").read_text(encoding="ascii").splitlines()
        if line.startswith("VmHWM:")
    )
    kept_requests = [request for request in ledger.requests.values() if request.client_left_s is None]
    served = sum(
        any(answer.kind.value == "served" for answer in request.answers) for request in kept_requests
    )
    return ResourceUse(
        cpu_s=(int(fields[11]) + int(fields[12])) / CPU_TICKS_PER_S,
        memory_mb=peak_kb / 1024,
        descriptors=descriptors,
        connections=ProxiedConnection.connections_made,
        list_kb=discovery.bytes_written / 1024,
        served_fraction=served / max(1, len(kept_requests)),
    )


def main() -> None:
    """Run each number of engines, and print a line for each."""
    sizes = [int(argument) for argument in sys.argv[1:]] or [80, 1280]
    first: ResourceUse | None = None
    for engines in sizes:
        ProxiedConnection.connections_made = 0
        with tempfile.TemporaryDirectory() as folder, contextlib.suppress(KeyboardInterrupt):
            use = asyncio.run(run(engines, Path(folder)))
        first = first or use
        rows = zip(NAMES, use.values(), first.bounds(engines), strict=True)
        line = ", ".join(f"{name} {value:.2f} (bound {bound:.2f})" for name, value, bound in rows)
        print(f"{engines} engines: {line}", flush=True)


if __name__ == "__main__":
    main()
