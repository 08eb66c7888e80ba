"""Usual clients beside bad ones that send hundreds of requests with long lists of columns at once."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as standins

CONNECTIONS = 200
REQUESTS = 40  # on each connection
STATEMENT = "select " + "x," * 8100 + "y from sales_1.orders /* ms=30 */"
USUAL = 5
USUAL_S = 8.0  # how long the usual clients send
LIMIT_MS = 6000  # 80% of the time after which a client gives up
LATE_S = 0.5  # an answer that comes so much after its time earns nothing but is not lost


async def _bad_connection(port: int) -> None:
    """Send the requests as fast as they go, and read whatever comes."""
    body = base64.b64encode(STATEMENT.encode()).decode()
    messages = []
    for number in range(1, REQUESTS + 1):
        fields = {"txn": secrets.token_hex(8), "limit": 3600, "body": body}
        call = {"jsonrpc": "2.0", "id": number, "method": "lookup", "params": fields}
        text = json.dumps(call).encode()
        messages.append(b"Content-Length: %d\r\n\r\n%b" % (len(text), text))
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(standins.HOST, port)
        writer.writelines(messages)
        while await reader.read(65536):
            pass
        writer.close()


async def _bad_clients(port: int) -> None:
    await asyncio.gather(*[_bad_connection(port) for _ in range(CONNECTIONS)])


async def _usual(scene: standins.Scene, port: int, number: int, end_at: float) -> list[standins.Call]:
    client = standins.Client(scene.record, f"usual client {number}")
    await client.connect(port)
    calls = []
    while time.time() < end_at:
        calls.append(await client.send("lookup", "select * from sales_2.orders /* ms=30 */", LIMIT_MS))
        await asyncio.sleep(random.uniform(0.3, 0.7))
    for call in calls:
        await client.finished(call, max(0.0, call.sent_at + LIMIT_MS / 1000 + LATE_S - time.time()))
    return calls


async def case(scene: standins.Scene) -> int:
    """Count the usual clients' requests that have no answer half a second after their time."""
    engines = [standins.Engine(f"e{number}", scene.record) for number in (1, 2, 3)]
    for engine in engines:
        await engine.start()
    bulletin = standins.Bulletin(scene.record, [engine.entry() for engine in engines])
    await bulletin.start()
    dispatcher = await scene.dispatcher(bulletin, standins.settings())
    end_at = time.time() + USUAL_S
    tasks = [asyncio.create_task(_usual(scene, dispatcher.port, number, end_at)) for number in range(USUAL)]
    await asyncio.sleep(1.0)
    if scene.trouble:
        scene.record.note(f"{CONNECTIONS} bad connections send {REQUESTS} requests each")
        await scene.helper(__file__, str(dispatcher.port))
    calls = [call for task in await asyncio.gather(*tasks) for call in task]
    if not any(call.verdict == "served" for call in calls):
        raise standins.CannotRunError("no request was served")
    last_s = LIMIT_MS / 1000 + LATE_S
    lost = [call for call in calls if not call.answers or call.answered_at > call.sent_at + last_s]
    scene.record.note(f"{len(calls)} requests of usual clients, {len(lost)} of them lost")
    for call in lost:
        scene.record.note(f"LOST: {call.request} has no answer {last_s:.1f} s after it was sent")
    return standins.BROKEN if lost else standins.HELD


if __name__ == "__main__":
    if len(sys.argv) > 1:
        asyncio.run(_bad_clients(int(sys.argv[1])))
    else:
        standins.main(__file__, case)
