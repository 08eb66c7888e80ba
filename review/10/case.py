"""Drains while the bulletin is crowded: it begins its responses, and what it has to tell comes late."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as standins

ENGINES = 3
CROWDED_S = 14.0
DRAIN_AFTER_S = 0.5  # from the begin of the crowded time
TOLD_AT_LATEST_S = 7.0  # an event counts as told after this time, whether or not it arrived
GRACE_S = 0.250 + 0.050  # the drain grace and the slack of all time limits
INTERVAL_S = 0.05
LIMIT_MS = 7500


async def _queries(client: standins.Client, until: float) -> list[standins.Call]:
    calls: list[standins.Call] = []
    while time.time() < until:
        statement = f"select * from sales_{len(calls) % 20}.orders /* ms=40 */"
        calls.append(await client.send("lookup", statement, LIMIT_MS))
        await asyncio.sleep(INTERVAL_S)
    return calls


async def case(scene: standins.Scene) -> int:
    """Drain a compute node while the bulletin is crowded, and look for queries that it gets too late."""
    engines = [standins.Engine(f"e{number}", scene.record) for number in range(1, ENGINES + 1)]
    for engine in engines:
        await engine.start()
    bulletin = standins.Bulletin(scene.record, [engine.entry() for engine in engines])
    await bulletin.start()
    dispatcher = await scene.dispatcher(bulletin, standins.settings())
    client = standins.Client(scene.record, "client")
    await client.connect(dispatcher.port)
    await asyncio.gather(*[(await client.send("lookup", "select 1 /* ms=40 */", LIMIT_MS)).done.wait()])
    crowded_at = time.time()
    if scene.trouble:
        await bulletin.set_crowded(True)
    queries = asyncio.create_task(_queries(client, crowded_at + CROWDED_S + 1.0))
    await asyncio.sleep(DRAIN_AFTER_S)
    drained = engines[0]
    told_at = await bulletin.publish([drained.entry("Terminating")])
    await asyncio.sleep(crowded_at + CROWDED_S - time.time())
    await bulletin.set_crowded(False)
    calls = await queries
    await asyncio.sleep(1.0)
    if len(engines[1].runs) + len(engines[2].runs) < len(calls) / 10:
        raise standins.CannotRunError("the other compute nodes got too few queries")
    last_allowed = told_at + TOLD_AT_LATEST_S + GRACE_S
    late = [run for run in drained.runs if run.first_byte_at > last_allowed]
    scene.record.note(f"{len(calls)} queries sent, {len(drained.runs)} of them to {drained.name}")
    for run in late:
        scene.record.note(f"TOO LATE: {run.request}, {run.first_byte_at - told_at:.2f} s after the event")
    return standins.BROKEN if late else standins.HELD


if __name__ == "__main__":
    standins.main(__file__, case)
