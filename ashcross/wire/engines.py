"""Connections to engines: RESP both ways, many requests on each, answers in any order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from ashcross.gateway.interface import NoteKind, Outcome
from ashcross.lifecycle.logs import seldom
from ashcross.loop import Loop
from ashcross.memory.book import AttemptRecord, ProbeRecord, Stage
from ashcross.memory.buffers import BufferPool
from ashcross.memory.fleet import EngineRecord
from ashcross.wire import resp
from ashcross.wire.dialling import dial
from ashcross.wire.framing import FramingError

NOTES = {"pct": NoteKind.PROGRESS, "overflow": NoteKind.SPILLS, "queued": NoteKind.WAITS}
ENDS = {"overload": Outcome.FULL, "crashed": Outcome.ERROR, "nobody": Outcome.MOOT}


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Bounds of the engines' side."""

    dial_timeout_us: int
    idle_us: int  # our side closes after this, before the engine does
    multiplex: int
    links_per_engine: int
    links_most: int
    pages_most: int
    answer_bytes: int
    bulk_bytes: int


class EngineLink(Protocol):
    """One connection, from the dial to its end."""

    transport: Any

    def __init__(self, engines: Engines, record: EngineRecord) -> None:
        self._engines, self._loop, self.record = engines, engines.loop, record
        self._reader = resp.WordsReader(engines.pool, engines.limits.bulk_bytes)
        self.up = self.ended = False
        self.open: dict[str, AttemptRecord] = {}
        self.probes: dict[str, ProbeRecord] = {}
        self.used_us = self._loop.clock()

    # ---------------------------------------------------------- connection

    def connectionMade(self) -> None:
        """The dial has come through: write what waited for it and is still wanted."""
        self.transport.setTcpNoDelay(True)
        self.up, self.used_us = True, self._loop.clock()
        for attempt in list(self.open.values()):
            if self.record.ready:
                self._ask(attempt)
            else:  # drained or gone during the dial: it never ran
                self._loop.settle(attempt, Outcome.MOOT)
        for probe in self.probes.values():
            self._ask_load(probe)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Whatever was out here is over: it may have run."""
        self._end(Outcome.RESET)

    def dial_failed(self, reason: Failure) -> None:
        """The connection never came up: nothing ran."""
        self._end(Outcome.CONNECT_FAILED)

    def _end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.up, self.ended = False, True
        self._reader.close()
        if self in self.record.links:
            self.record.links.remove(self)
        for attempt in list(self.open.values()):
            self._loop.settle(attempt, outcome)
        for probe in list(self.probes.values()):
            self._loop.probed(probe, outcome, {})
        self.open.clear()
        self.probes.clear()

    def idle(self) -> bool:
        """Is nothing open here?"""
        return self.up and not self.open and not self.probes

    def close(self) -> None:
        """End the connection; what is open on it is given up."""
        if self.up:
            self.transport.abortConnection()
            self._end(Outcome.RESET)  # at once: nothing new may be put on it until the reactor tells

    # ------------------------------------------------------------- asking

    def pull(self, attempt: AttemptRecord) -> None:
        """Start an attempt, now or as soon as the connection is up."""
        attempt.link = self
        self.open[attempt.request.txn] = attempt
        if self.up:
            self._ask(attempt)

    def _write(self, *words: bytes) -> None:
        self.used_us = self._loop.clock()
        self.transport.write(resp.encode(*words))

    def _ask(self, attempt: AttemptRecord) -> None:
        request = attempt.request
        left_ms = max(1, (attempt.until_us - self._loop.clock()) // 1000)
        pairs = {"sort": request.sort, "patience": str(left_ms)}
        if request.unique is not None:
            pairs["op"] = request.unique
        if request.priority is not None:
            pairs["band"] = str(request.priority)
        attempt.stage = Stage.ASKED
        self._write(b"PULL", request.txn.encode(), resp.join_fields(pairs), request.statement)

    def give_up(self, attempt: AttemptRecord) -> None:
        """The attempt is settled on our side: tell the engine if it still works for it or holds pages."""
        if self.open.get(attempt.request.txn) is not attempt:
            return
        del self.open[attempt.request.txn]
        if not self.up or attempt.stage is Stage.DIALLING or attempt.ended:
            return
        ident = attempt.request.txn.encode()
        self._write(b"DISCARD" if attempt.stage is Stage.PAGES else b"KILL", ident)

    def boost(self, attempt: AttemptRecord, priority: int) -> None:
        """A new priority for an attempt that is out."""
        if self.up and attempt.stage is Stage.ASKED:
            self._write(b"BOOST", attempt.request.txn.encode(), str(priority).encode())

    def ask_load(self, probe: ProbeRecord) -> None:
        """Probe the engine here."""
        self.probes[probe.tag] = probe
        if self.up:
            self._ask_load(probe)

    def _ask_load(self, probe: ProbeRecord) -> None:
        self._write(b"METER", probe.tag.encode())

    # ------------------------------------------------------------ answers

    def dataReceived(self, data: bytes) -> None:
        """Take in answers; bytes that cannot be parsed end this connection alone."""
        try:
            answers = self._reader.feed(data)
        except FramingError as error:
            seldom.warn("engine", f"{self.record.name}: {error}; its connection is closed")
            self.close()
            return
        self.used_us = self._loop.clock()
        for words in answers:
            try:
                self._answered(words)
            except Exception as error:  # one answer's fault costs that one
                seldom.warn("engine", f"{self.record.name}: an answer cannot be used", error)
                self._drop(words)

    def _answered(self, words: list[bytes]) -> None:
        if len(words) < 3:
            raise ValueError("an answer of fewer than three words")
        ident, word = words[0].decode("latin-1"), words[1].decode("latin-1")
        fields, body = resp.fields(words[2]), words[3] if len(words) > 3 else b""
        probe = self.probes.pop(ident, None)
        if probe is not None:
            self._probed(probe, word, fields)
            return
        attempt = self.open.get(ident)
        if attempt is None:  # a cancel crossed it
            self._engines.unknown += 1
            return
        if "l" in fields:
            attempt.report = resp.load_report(fields["l"])
        if word == "served" and attempt.stage is Stage.ASKED:
            self._served(attempt, fields, body)
        elif word == "rows" and attempt.stage is Stage.PAGES:
            self._page(attempt, int(fields["index"]), body)
        elif word == "update":
            kind = NOTES.get(fields.get("n", ""))
            if kind is not None:
                self._loop.note(attempt, kind, float(fields["datum"]))
        elif word in ENDS:
            attempt.ended = True
            self._loop.settle(attempt, ENDS[word])
        else:
            raise ValueError(f"the word {word[:20]!r} does not fit")

    def _drop(self, words: list[bytes]) -> None:
        """The attempt that an unusable answer names ends as one that may have run."""
        attempt = self.open.get(words[0].decode("latin-1")) if words else None
        if attempt is not None:
            self._loop.settle(attempt, Outcome.ERROR)

    def _served(self, attempt: AttemptRecord, fields: dict[str, str], body: bytes) -> None:
        total = int(fields.get("total", "1"))
        if not 1 <= total <= self._engines.limits.pages_most:
            raise ValueError(f"{total} pages")
        attempt.stage, attempt.missing = Stage.PAGES, total
        attempt.pages = [None] * total
        ident = attempt.request.txn.encode()
        for number in range(1, total):  # all at once: a round trip each would add up
            self._write(b"SCROLL", ident, str(number).encode())
        self._page(attempt, 0, body)

    def _page(self, attempt: AttemptRecord, index: int, body: bytes) -> None:
        if not 0 <= index < len(attempt.pages):
            raise ValueError(f"page {index} of {len(attempt.pages)}")
        if attempt.pages[index] is not None:
            return
        attempt.pages[index] = body
        attempt.missing -= 1
        attempt.size += len(body)
        if attempt.size > self._engines.limits.answer_bytes:
            raise ValueError("the result is too long")
        if not attempt.missing:
            attempt.ended = True
            self._loop.settle(attempt, Outcome.GOOD)

    def _probed(self, probe: ProbeRecord, word: str, fields: dict[str, str]) -> None:
        outcome = Outcome.GOOD if word == "green" else Outcome.ERROR
        self._loop.probed(probe, outcome, resp.load_report(fields.get("l", "")))


class Engines:
    """Puts attempts and probes on connections, and dials."""

    def __init__(self, reactor: Any, loop: Loop, pool: BufferPool, limits: EngineLimits) -> None:
        self._reactor, self.loop, self.pool, self.limits = reactor, loop, pool, limits
        self.unknown = 0  # answers that named nothing open

    def pull(self, attempt: AttemptRecord, engine: EngineRecord) -> None:
        """Put an attempt on a connection where no earlier one of its request may still be answered."""
        used = {id(earlier.link) for earlier in attempt.request.attempts if earlier is not attempt}
        for link in sorted(engine.links, key=lambda link: not link.up):
            if id(link) not in used and len(link.open) < self.limits.multiplex:
                break
        else:
            dialled = self._dial(engine)
            if dialled is None:
                self.loop.settle(attempt, Outcome.CONNECT_FAILED)
                return
            link = dialled
        link.pull(attempt)

    def probe(self, probe: ProbeRecord, engine: EngineRecord) -> None:
        """Ask an engine for its load, on a connection that is up if there is one."""
        links = sorted(engine.links, key=lambda link: not link.up)
        link = links[0] if links else self._dial(engine)
        if link is None:
            self.loop.probed(probe, Outcome.CONNECT_FAILED, {})
        else:
            link.ask_load(probe)

    def _dial(self, engine: EngineRecord) -> EngineLink | None:
        limits = self.limits
        if len(engine.links) >= limits.links_per_engine or self.loop.fleet.connections() >= limits.links_most:
            seldom.warn("engine", f"{engine.name}: no connection left for it")
            return None
        link = EngineLink(self, engine)
        engine.links.append(link)
        address, timeout_s = (engine.host, engine.port), limits.dial_timeout_us / 1e6
        dial(self._reactor, address, timeout_s, link).addErrback(link.dial_failed)
        return link

    def close_idle(self, engine: EngineRecord) -> None:
        """Close connections on which nothing is open."""
        for link in list(engine.links):
            if link.idle():
                link.close()

    def sweep(self) -> None:
        """Close what has been idle for long, before the other side does, and what leads to no engine now."""
        now = self.loop.clock()
        for record in self.loop.fleet.records():
            for link in list(record.links):
                left = self.loop.fleet.engines.get(record.name) is not record
                if link.idle() and (left or now - link.used_us >= self.limits.idle_us):
                    link.close()
                elif link.probes:  # forget those whose time is up
                    link.probes = {tag: probe for tag, probe in link.probes.items() if not probe.settled}

    def close(self) -> None:
        """End every connection."""
        for record in self.loop.fleet.records():
            for link in list(record.links):
                link.close()
