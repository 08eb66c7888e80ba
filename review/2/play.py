"""Plays case 2: an answer with a length that does not fit reaches the client as a result without rows."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from standins import (
    HOST,
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
    resp,
)

CLASS = "lookup"
LIMIT_S = 6.75  # of one try, nine tenths of the give-up time
ENGINES = 6
RUN_S = 0.05
LOOKUPS = 60
LOOKUPS_PER_S = 20
SPOILT_EVERY = 5  # one answer in so many is spoilt
# lengths that do not fit, played in turn: the word whose length is wrong (None: the array's), and by how much
WRONG_LENGTHS: tuple[tuple[int | None, int], ...] = ((0, 1), (2, -1), (3, 1), (3, -1), (None, 1), (None, -1))


def spoilt(words: list[bytes], wrong: tuple[int | None, int]) -> bytes:
    """Return a RESP array of which one length is wrong; all other bytes are as they should be."""
    word_index, difference = wrong
    lengths = [len(word) for word in words]
    count = len(words)
    if word_index is None:
        count += difference
    else:
        lengths[word_index] += difference
    parts = (b"$%d\r\n%b\r\n" % (length, word) for length, word in zip(lengths, words, strict=True))
    return b"*%d\r\n" % count + b"".join(parts)


class Fleet:
    """Engines that spoil one good answer in five, and remember the rows that they made."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._answered = 0
        self._spoilt = 0
        self.made: dict[str, set[bytes]] = {}  # by request id
        self.engines = [Engine(f"e{number}", record, self.run) for number in range(1, ENGINES + 1)]

    async def run(self, pull: Pull) -> None:
        """Run a query and answer it with three rows."""
        await asyncio.sleep(RUN_S)
        rows = b"".join(b"%d\t%b\trow\n" % (number, pull.request_id.encode()) for number in range(1, 4))
        self.made.setdefault(pull.request_id, set()).add(rows)
        self._answered += 1
        words = [pull.request_id.encode(), b"served", b"total=1", rows]
        data = resp(words)
        is_spoilt = has_trouble() and self._answered % SPOILT_EVERY == 0
        if is_spoilt:
            data = spoilt(words, WRONG_LENGTHS[self._spoilt % len(WRONG_LENGTHS)])
            self._spoilt += 1
        self._record.write(
            "engine: answered", engine=pull.engine.name, txn=pull.request_id, spoilt=is_spoilt, bytes=data
        )
        pull.write(data)


async def ask(record: Record, port: int, number: int, txn: str) -> Answer:
    """Send one lookup on a connection of its own and return its answer."""
    client = Client(record, f"c{number}")
    await client.connect(port)
    answer = await client.ask(
        CLASS,
        b"select * from sales_17.orders",
        LIMIT_S + 0.5,
        txn=txn,
        limit=int(LIMIT_S * 1000),
        team="acme",
        cpu=50,
        memory=16,
    )
    client.close()
    return answer


async def case(record: Record, folder: Path) -> bool:
    """Play the case and return whether the rule was broken."""
    fleet = Fleet(record)
    discovery = Discovery(record)
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
            "settings": perth_settings(),
        }
    )
    try:
        await dispatcher.wait_until_ready()
        asking = {}
        for number in range(LOOKUPS):
            txn = new_id()
            asking[txn] = asyncio.create_task(ask(record, dispatcher.port, number, txn))
            await asyncio.sleep(1 / LOOKUPS_PER_S)
        return verdict(record, fleet, {txn: await task for txn, task in asking.items()})
    finally:
        dispatcher.kill()


def verdict(record: Record, fleet: Fleet, answers: dict[str, Answer]) -> bool:
    """Return whether a request was answered as served with rows that no engine made for it."""
    served = {txn: answer for txn, answer in answers.items() if answer.kind == "served"}
    wrong = [txn for txn, answer in served.items() if answer.rows not in fleet.made.get(txn, set())]
    for txn in wrong:
        record.write("wrong:", txn=txn, got=served[txn].rows, made=fleet.made.get(txn))
    record.write("verdict:", sent=len(answers), served=len(served), served_wrong=len(wrong))
    if not served:
        raise CannotRunError("no request was served")
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
