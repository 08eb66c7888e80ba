"""Clients that write a request slowly, on a connection that was at rest before."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as standins

CLIENTS = 12
REST_S = (1.8, 2.6)  # between two requests; the pages let a client rest for 4 s
WRITE_S = 0.4  # from the first to the last byte of a slowly written request
PIECES = 5
CROSSING_S = 0.050  # a request that crosses a close within this time is sent again
LIMIT_MS = 7500
LATE_S = 0.5  # an answer that comes so much after its time earns nothing but is not lost


async def _client(scene: standins.Scene, port: int, number: int) -> list[str]:
    """Send two requests, the second one slowly; return what is wrong."""
    client = standins.Client(scene.record, f"client {number}")
    await client.connect(port)
    statement = f"select * from sales_{number}.orders /* ms=40 */"
    first = await client.send("lookup", statement, LIMIT_MS)
    await client.finished(first, LIMIT_MS / 1000)
    await asyncio.sleep(random.uniform(*REST_S))
    if client.closed_at:
        return []
    call, data = client.prepare("lookup", statement, LIMIT_MS)
    pieces = PIECES if scene.trouble else 1
    size = len(data) // pieces + 1
    began_at = time.time()
    try:
        for at in range(0, len(data), size):
            await client.write(data[at : at + size])
            if at + size < len(data):
                await asyncio.sleep(WRITE_S / (PIECES - 1))
    except ConnectionError:
        scene.record.note(f"client {number} could not write its request to the end: it was not taken")
        return []
    client.sent(call)
    await client.finished(call, LIMIT_MS / 1000 + LATE_S)
    client.close()
    if call.answers:
        return []
    if not client.closed_at:
        return [f"LOST: {call.request} has no answer"]
    if client.closed_at >= call.sent_at - CROSSING_S or client.closed_at <= began_at + CROSSING_S:
        return []  # the close and the request may have crossed
    after_s = client.closed_at - began_at
    before_s = call.sent_at - client.closed_at
    return [
        f"LOST: {call.request}, its connection was closed {after_s:.3f} s after its first byte "
        f"and {before_s:.3f} s before its last"
    ]


async def case(scene: standins.Scene) -> int:
    """Send requests slowly, and count those that get no answer."""
    engines = [standins.Engine(f"e{number}", scene.record) for number in (1, 2, 3)]
    for engine in engines:
        await engine.start()
    bulletin = standins.Bulletin(scene.record, [engine.entry() for engine in engines])
    await bulletin.start()
    dispatcher = await scene.dispatcher(bulletin, standins.settings())
    found = await asyncio.gather(*[_client(scene, dispatcher.port, number) for number in range(CLIENTS)])
    faults = [fault for faults in found for fault in faults]
    for fault in faults:
        scene.record.note(fault)
    return standins.BROKEN if faults else standins.HELD


if __name__ == "__main__":
    standins.main(__file__, case)
