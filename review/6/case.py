"""A keyed request that took effect and whose answer was lost: what follows when its client does as told."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as standins

WINDOW_S = 5.0
GIVE_UP_MS = 15000
LIMIT_MS = 12000  # 80% of the time after which a client gives up
LOAD_MS = 4200
ESTIMATE_MS = 16800  # of work on two threads
REQUESTS = 6


def _settings() -> dict[str, Any]:
    base = standins.settings()
    base["Classes"] = [
        {
            "Name": "load",
            "Idempotency": "dedup",
            "Group": "all",
            "Window": int(WINDOW_S * 1e6),
            "Aim": 3000000,
            "AimStretch": 0.0,
            "GiveUp": GIVE_UP_MS * 1000,
            "Points": 6.0,
            "LateShare": 0.6,
        }
    ]
    base["FamilyInfo"] |= {"ClassThreads": [2], "ClassLoad": [True]}
    base["Limits"] |= {"RetryAfter": True}
    return base


async def _use(client: standins.Client, key: str) -> list[standins.Call]:
    """Send one request and, where it is refused, its retry after the wait that the refusal names."""
    statement = f"insert into sales_{int(key[:4], 16)}.orders select 1 /* ms={LOAD_MS} */"
    began_at = time.time()
    first = await client.send("load", statement, LIMIT_MS, unique=key, cpu=ESTIMATE_MS, memory=96)
    await client.finished(first, LIMIT_MS / 1000 + 1.0)
    if first.verdict != "refused":
        return [first]
    await asyncio.sleep(first.later_ms / 1000)
    left_ms = GIVE_UP_MS - int((time.time() - began_at) * 1000)
    retry = await client.send("load", statement, left_ms, unique=key, cpu=ESTIMATE_MS, memory=96, second=1)
    await client.finished(retry, left_ms / 1000 + 1.0)
    return [first, retry]


async def case(scene: standins.Scene) -> int:
    """Lose the answers to loads by a reset of their connections, and count how often each took effect."""
    keys = standins.KeyMemory(WINDOW_S)
    engines = [standins.Engine(f"e{number}", scene.record, keys) for number in (1, 2, 3)]
    for engine in engines:
        await engine.start()
        engine.reset_at_end = lambda run: scene.trouble and len(keys.effects[run.key]) == 1 and not run.repeat
    bulletin = standins.Bulletin(scene.record, [engine.entry() for engine in engines])
    await bulletin.start()
    dispatcher = await scene.dispatcher(bulletin, _settings())
    client = standins.Client(scene.record, "client")
    await client.connect(dispatcher.port)
    names = [secrets.token_hex(16) for _ in range(REQUESTS)]
    uses = await asyncio.gather(*[_use(client, name) for name in names])
    await asyncio.sleep(1.0)
    broken = False
    for name, calls in zip(names, uses, strict=True):
        effects = keys.effects.get(name, [])
        ends = " then ".join(call.verdict for call in calls)
        scene.record.note(f"key {name}: {ends}; took effect {len(effects)} times")
        broken = broken or len(effects) > 1
    if not any(keys.effects.values()):
        raise standins.CannotRunError("no load took effect")
    return standins.BROKEN if broken else standins.HELD


if __name__ == "__main__":
    standins.main(__file__, case)
