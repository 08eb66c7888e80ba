"""Plays case 1: a keyed request runs twice, as its retry reaches a new compute node of another cell."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

from standins import (
    HOST,
    CannotRunError,
    Client,
    Discovery,
    Dispatcher,
    Engine,
    Pull,
    Record,
    has_trouble,
    new_id,
    perth_settings,
    play,
)

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
CLASS = "load"
WINDOW_S = 12.0  # for which a cell remembers a key
LIMIT_S = 18.0  # of one try, nine tenths of the give-up time

CELLS = 2
ENGINES_OF_A_CELL = 3
RUN_S = 0.3
ESTIMATE_MS = 400  # of the work on one core; the request runs on two
START_S = 0.2  # from when a machine has vanished until a new compute node listens at its address
NOTICE_S = 0.3  # from the start of a compute node until the list names it
TOLD_S = (
    0.3  # from when the list names it until the dispatcher has to act by that: a grace of 250 ms and 50 ms
)
SILENT_NOTICE_S = 6.0  # from when a machine has vanished until the list says so


class Fleet:
    """The engines; those of a cell share what keys they have seen."""

    def __init__(self, record: Record, discovery: Discovery) -> None:
        self._record = record
        self._discovery = discovery
        self._first_seen_s: dict[tuple[int, str], float] = {}
        self.runs: list[Engine] = []  # the engines that have run the key, in order
        self.told_s: float | None = None  # when the list named the new compute node
        self._tasks: list[asyncio.Task[None]] = []
        self.engines = [
            Engine(f"e{cell}{number}", record, self.run, cell=cell)
            for cell in range(CELLS)
            for number in range(ENGINES_OF_A_CELL)
        ]

    async def run(self, pull: Pull) -> None:
        """Run a query, or drop it as a repeat of a key that its cell has seen within the window."""
        engine = pull.engine
        assert pull.key is not None
        first_s = self._first_seen_s.setdefault((engine.cell, pull.key), pull.arrived_s)
        if pull.arrived_s > first_s and pull.arrived_s - first_s <= WINDOW_S:
            self._record.write("engine: repeat dropped", engine=engine.name, txn=pull.request_id)
        else:
            await asyncio.sleep(RUN_S)
            self.runs.append(engine)
            self._record.write("engine: RAN", engine=engine.name, cell=engine.cell, txn=pull.request_id)
            if has_trouble() and len(self.runs) == 1:
                self._tasks.append(asyncio.create_task(self._replace(engine)))
                return
        pull.answer("served", "total=1", b"1\tone\trow\n")

    async def _replace(self, old: Engine) -> None:
        """Let an engine vanish before it answers, while its cell is replaced by new compute nodes.

        One of the new compute nodes, of another cell, gets the address of the one that has vanished.
        """
        old.vanish()
        mates = [engine for engine in self.engines if engine.cell == old.cell and engine is not old]
        self._discovery.add_event([engine.endpoint("Terminating") for engine in mates])
        await asyncio.sleep(START_S)
        new = Engine("n1", self._record, self.run, cell=(old.cell + 1) % CELLS, port=old.port)
        self.engines.append(new)
        await new.open()
        started_ms = int(time.time() * 1000)
        await asyncio.sleep(NOTICE_S)
        self._discovery.add_event([new.endpoint(since_ms=started_ms)])
        self.told_s = self._record.now_s()
        await asyncio.sleep(SILENT_NOTICE_S - START_S - NOTICE_S)
        self._discovery.add_event([old.endpoint("Gone")])


def settings() -> dict[str, Any]:
    """Return the settings of perth-address, with the cell as the group that drops repeats of the class."""
    content = perth_settings()
    for item in content["Classes"]:
        if item["Name"] == CLASS:
            item.update(Group="cell")
    return content


async def case(record: Record, folder: Path) -> bool:
    """Play the case and return whether the rule was broken."""
    discovery = Discovery(record)
    fleet = Fleet(record, discovery)
    dispatcher = Dispatcher(record, folder)
    for engine in fleet.engines:
        await engine.open()
    await discovery.open()
    discovery.add_event([engine.endpoint() for engine in fleet.engines], is_snapshot=True)
    dispatcher.start(
        {
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": f"{HOST}:{discovery.port}",
            "known": {"no": 1, "items": list(discovery.events)},
            "settings": settings(),
        }
    )
    try:
        await dispatcher.wait_until_ready()
        client = Client(record, "c1")
        await client.connect(dispatcher.port)
        await client.ask(
            CLASS,
            b"insert into sales_17.orders values (1)",
            LIMIT_S + 1,
            txn=new_id(),
            limit=int(LIMIT_S * 1000),
            team="acme",
            unique=KEY,
            cpu=ESTIMATE_MS,
            memory=96,
        )
        client.close()
        return verdict(record, fleet)
    finally:
        dispatcher.kill()


def verdict(record: Record, fleet: Fleet) -> bool:
    """Return whether the request, once it had run, reached a compute node outside the cell that ran it."""
    if not fleet.runs:
        raise CannotRunError("the request has not run at all")
    pulls = sorted(
        (pull for engine in fleet.engines for pull in engine.pulls), key=lambda pull: pull.arrived_s
    )
    cells = [pull.engine.cell for pull in pulls]
    later = [pull for pull in pulls[1:] if pull.engine.cell != cells[0]]
    record.write("verdict:", runs=len(fleet.runs), cells_sent_to=cells, told_s=fleet.told_s)
    if later and (fleet.told_s is None or later[0].arrived_s <= fleet.told_s + TOLD_S):
        raise CannotRunError("the retry came before the list named the new compute node")
    return bool(later)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
