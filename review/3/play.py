"""Plays case 3: a request that was written whole on an open connection is dropped without an answer."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path

from standins import (
    HOST,
    ROOT,
    Answer,
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

MEMORY_MB = 48
SOCKETS = 1024
CLASS = "lookup"
LIMIT_S = 6.75  # of one try, nine tenths of the give-up time
LATE_S = 0.5  # an answer that comes later than this after its time is lost
SLACK_S = 0.05
CROSSING_S = 0.05  # a request that crosses a close within this time is sent again

ENGINES = 6
RUN_S = 1.0
CLIENTS = 10
CLIENT_INTERVAL_S = 0.5
PAUSE_S = 0.3  # between the two pieces of a request
STATEMENT = b"select * from sales_17.orders /* " + b"x" * 4000 + b" */"
BAD_CONNECTIONS = 300
BAD_S = 60.0
BAD_START_S = 2.0


async def run(pull: Pull) -> None:
    """Run a query."""
    await asyncio.sleep(RUN_S)
    pull.engine.record.write("engine: ran", engine=pull.engine.name, txn=pull.request_id)
    pull.answer("served", "total=1", b"1\tone\trow\n")


async def ask_twice(record: Record, port: int, number: int) -> tuple[Answer, Answer]:
    """Send two requests on one connection, the second in two pieces, and return their answers."""
    client = Client(record, f"c{number}")
    await client.connect(port)
    wait_s = LIMIT_S + LATE_S + SLACK_S
    common = {"limit": int(LIMIT_S * 1000), "team": "acme", "cpu": 500, "memory": 16}
    first = asyncio.create_task(client.ask(CLASS, STATEMENT, wait_s, txn=new_id(), **common))
    await asyncio.sleep(0.05)
    second = await client.ask_in_pieces(CLASS, STATEMENT, wait_s, PAUSE_S, txn=new_id(), **common)
    answers = await first, second
    client.close()
    return answers


async def case(record: Record, folder: Path) -> bool:
    """Play the case and return whether the rule was broken."""
    engines = [Engine(f"e{number}", record, run) for number in range(1, ENGINES + 1)]
    discovery = Discovery(record)
    dispatcher = Dispatcher(record, folder)
    for engine in engines:
        await engine.open()
    await discovery.open()
    discovery.add_event([engine.endpoint() for engine in engines], is_snapshot=True)
    dispatcher.start(
        {
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "bulletin": f"{HOST}:{discovery.port}",
            "known": {"no": 1, "items": list(discovery.events)},
            "settings": perth_settings(),
        }
    )
    bad_client: subprocess.Popen[bytes] | None = None
    try:
        await dispatcher.wait_until_ready()
        if has_trouble():
            bad_client = start_bad_client(record, dispatcher.port)
            await asyncio.sleep(BAD_START_S)
        asking = []
        for number in range(CLIENTS):
            asking.append(asyncio.create_task(ask_twice(record, dispatcher.port, number)))
            await asyncio.sleep(CLIENT_INTERVAL_S)
        record.write("platform: memory", mb=f"{dispatcher.private_memory_mb():.1f}", limit=MEMORY_MB)
        return verdict(record, [answer for pair in await asyncio.gather(*asking) for answer in pair])
    finally:
        dispatcher.kill()
        if bad_client is not None:
            bad_client.kill()
            bad_client.wait()


def start_bad_client(record: Record, port: int) -> subprocess.Popen[bytes]:
    """Start a process that opens connections by the hundred and sends half a request on each."""
    arguments = [str(port), str(BAD_CONNECTIONS), str(BAD_S)]
    record.write(
        "bad client: started", connections=BAD_CONNECTIONS, each_sends="half-a-request,again-if-closed"
    )
    return subprocess.Popen([sys.executable, "-B", str(ROOT / "review/bad_client.py"), *arguments])


def verdict(record: Record, answers: list[Answer]) -> bool:
    """Return whether a request that was taken got no whole answer."""
    lost = [
        answer
        for answer in answers
        if answer.kind == "none" or answer.kind == "closed" and answer.after_s > CROSSING_S
    ]
    kinds = {kind: sum(answer.kind == kind for answer in answers) for kind in {item.kind for item in answers}}
    record.write("verdict:", sent=len(answers), lost=len(lost), **kinds)
    if not has_trouble() and kinds.get("served", 0) < len(answers):
        raise CannotRunError(f"not all requests were served without trouble: {kinds}")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
