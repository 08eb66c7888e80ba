"""Emulated engines and service discovery: their behaviour by the protocol, and each way in which they fail.

An engine shares its cores among all queries that it runs, starts cold, crashes when overloaded while cold,
drops repeats of an idempotency key, and reports to the invariant checker what truly happened. An active fault
has a kind, an end and an amount, and random draws of its own.
"""

from __future__ import annotations

import json
import random
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ashcross.simulation.clock import Timeline
from ashcross.simulation.invariant_checker import EngineProcess, InvariantChecker
from ashcross.simulation.network import Address, End, Listener, Network
from ashcross.simulation.scenario import ClassSpec, Settings
from ashcross.simulation.wire_codec import BufferedWriter, RespReader, Unreadable, encode_array

# Each statement carries a comment with its work (ms) and the number of rows of its result.
WORK_COMMENT = re.compile(r"/\* lab work=(\d+) rows=(\d+) \*/")
BAND_WEIGHTS = (1, 4, 8, 16)  # by priority band: share of the cores where threads outnumber them (protocol)
PAGE_BYTES = 5_900  # a page ends before the row that would exceed this size
KEY_RETENTION_SLACK_US = 1_000_000  # engines remember an idempotency key this much longer than promised
# What the fault `answer-spoilt` sends in place of an answer, from the wire id and the encoded answer.
MALFORMED_ANSWERS: tuple[Callable[[bytes, bytes], bytes], ...] = (
    lambda wire_id, answer: b"\x00\xffnoise " + answer[:9],
    lambda wire_id, answer: b"*4\r\n$99999999999\r\n",
    lambda wire_id, answer: b"*4\r\n$-1\r\n" + answer,
    lambda wire_id, answer: answer[: len(answer) // 2] + b"?" + answer[len(answer) // 2 :],
    lambda wire_id, answer: encode_array(wire_id, b"served", b"total=-3", b"a\tb\tc\n"),
    lambda wire_id, answer: encode_array(wire_id, b"served", b"total=1", b"no row at all"),
    lambda wire_id, answer: encode_array(wire_id, b"nonsense", b"-", b""),
    lambda wire_id, answer: b"*4\r\n$16\r\n"
    + wire_id
    + b"\r\n$6\r\nserved\r\n$7\r\ntotal=1\r\n$3000000000\r\nabc",
    lambda wire_id, answer: answer.replace(b"*4", b"*3", 1),
    lambda wire_id, answer: answer.replace(b"*4", b"*5", 1),
    lambda wire_id, answer: answer.replace(b"$%d" % len(wire_id), b"$%d" % (len(wire_id) - 1), 1),
)


def result_rows(statement: str) -> bytes:
    """Return the result of a statement, which is the same on every engine."""
    match = WORK_COMMENT.search(statement)
    row_count = int(match.group(2)) if match else 1
    label = statement[:24].replace("\t", " ").replace("\n", " ")
    return b"".join(b"%d\t%b\t%d\n" % (row, label.encode(), row * 7919 % 1000) for row in range(row_count))


def split_pages(rows: bytes) -> list[bytes]:
    """Split a result into pages of whole rows."""
    pages, page = [], b""
    for row in rows.splitlines(keepends=True):
        if len(page) + len(row) > PAGE_BYTES:
            pages.append(page)
            page = b""
        page += row
    return [*pages, page]


@dataclass(eq=False, slots=True)
class Job:
    """One query that an engine runs."""

    wire_id: bytes
    session: Session
    remaining_us: float
    threads: int
    band: int
    pages: list[bytes]
    work_us: float
    rate: float = 0.0


@dataclass(eq=False, slots=True)
class Session:
    """One connection at an engine."""

    end: End
    writer: BufferedWriter
    command_reader: RespReader = field(default_factory=RespReader)
    jobs: dict[bytes, Job] = field(default_factory=dict)
    pages: dict[bytes, list[bytes]] = field(default_factory=dict)
    last_used_us: int = 0
    silenced: bool = False  # a faulty answer was written, and nothing may follow it


@dataclass(slots=True)
class ActiveFault:
    """A fault that an engine shows until a time."""

    until_us: int
    amount: float
    random_source: random.Random
    kind: str


class DeduplicationGroup:
    """The memory that a group of engines shares: when each idempotency key was first sent."""

    def __init__(self) -> None:
        self.first_sent_us: dict[str, int] = {}


class Engine:
    """One engine process."""

    def __init__(
        self,
        process: EngineProcess,
        network: Network,
        timeline: Timeline,
        checker: InvariantChecker,
        settings: Settings,
        deduplication_groups: dict[Any, DeduplicationGroup],
        record_fault_hit: Callable[[str, str], None],
        usual_work_us: dict[str, float],
    ) -> None:
        self.process, self._network, self._timeline, self._checker = process, network, timeline, checker
        self._settings, self._deduplication_groups = settings, deduplication_groups
        self._record_fault_hit = record_fault_hit
        self._classes = {class_spec.name: class_spec for class_spec in settings.classes}
        self.sessions: list[Session] = []
        self.jobs: list[Job] = []
        self._advanced_us, self._schedule_number = timeline.now_us, 0
        self.active_faults: dict[str, ActiveFault] = {}
        self.hung = False
        self._usual_work_us = usual_work_us
        # Queries that arrived while the engine was cold: time (us), work (us), and whether the dispatcher
        # that sent the query had been told of this engine's start.
        self._cold_arrivals: deque[tuple[int, float, bool]] = deque()
        self._listener = Listener(process.address, 256, self._accept)
        network.listen(self._listener)
        timeline.after(1_000_000, self._sweep)

    def _accept(self, listener: Listener) -> None:
        while listener.queue:
            end = listener.queue.pop(0)
            session = Session(end, BufferedWriter(end), last_used_us=self._timeline.now_us)
            end.on_change = lambda _, session=session: self._receive(session)  # type: ignore[misc]
            self.sessions.append(session)
            if end.peer is not None:
                self._checker.engine_accepted(end.peer, self.process)
            fault = self._active_fault("reset-new")
            if fault is not None and fault.random_source.random() < fault.amount:
                self._record_fault_hit("reset-new", "")
                self._timeline.after(fault.random_source.randrange(1, 3_000), self._close_session, session)

    def _close_session(self, session: Session, reset: bool = True) -> None:
        """Close a connection from the engine's side and drop its queries."""
        if session in self.sessions:
            self.sessions.remove(session)
            for job in list(session.jobs.values()):
                self._remove(job)
            self._report_jobs_lost(session)
            session.end.close(reset=reset)
            self._schedule()

    def _report_jobs_lost(self, session: Session) -> None:
        for job in session.jobs.values():
            self._checker.outcome_written(job.wire_id.decode(), self._dispatcher_end(session), "crashed")
        session.jobs.clear()

    @staticmethod
    def _dispatcher_end(session: Session) -> End:
        """Return the dispatcher's end of a connection, by which the invariant checker knows it."""
        return session.end.peer or session.end

    def _receive(self, session: Session) -> None:
        if self.hung or self.process.dead:
            return
        end = session.end
        if end.received:
            fault = self._active_fault("reset-unread")
            if fault is not None and b"PULL" in end.received and fault.random_source.random() < fault.amount:
                self._record_fault_hit("reset-unread", "")
                self._close_session(session)
                return
            session.last_used_us = self._timeline.now_us
            try:
                for _, parts in session.command_reader.feed(end.read(), self._timeline.now_us):
                    self._run_command(session, parts)
                    if session not in self.sessions:
                        return
            except Unreadable as error:
                self._checker.report_violation(
                    "fault", f"{self.process.name} received malformed bytes: {error}"
                )
                self._close_session(session)
                return
        if end.error or end.eof:
            if session in self.sessions:
                self._close_session(session, reset=False)
            return
        session.writer.flush()

    def _sweep(self) -> None:
        if self.process.dead:
            return
        limit_us = self._settings.idle_ms * 1000
        for session in list(self.sessions):
            if not session.jobs and not self.hung and self._timeline.now_us - session.last_used_us > limit_us:
                self._close_session(session, reset=False)
        self._timeline.after(1_000_000, self._sweep)

    def kill(self) -> None:
        """End the process: its connections are reset, new ones are refused."""
        if self.process.dead:
            return
        self._checker.engine_ended(self.process)
        self._network.unlisten(self._listener)
        for session in list(self.sessions):
            session.end.close(killed=True)
        self.sessions.clear()
        self.jobs.clear()

    def hang(self, hung: bool) -> None:
        """Stop reading and running queries, or continue."""
        if self.process.dead or self.hung == hung:
            return
        self._advance()
        self.hung = hung
        self._schedule()
        if not hung:
            for session in list(self.sessions):
                self._receive(session)

    def reset_idle(self) -> int:
        """Reset each connection on which no query runs; return how many."""
        idle = [session for session in self.sessions if not session.jobs]
        for session in idle:
            self._close_session(session)
        return len(idle)

    def _run_command(self, session: Session, parts: list[bytes]) -> None:
        command, wire_id = parts[0], parts[1]
        if command == b"PULL":
            self._start_query(session, wire_id, parts)
        elif command == b"KILL":
            job = session.jobs.pop(wire_id, None)
            if job is not None:
                self._remove(job)
                self._schedule()
        elif command == b"DISCARD":
            session.pages.pop(wire_id, None)
        elif command == b"BOOST":
            if wire_id in session.jobs:
                session.jobs[wire_id].band = int(parts[2])
                self._schedule()
        elif command == b"SCROLL":
            pages, number = session.pages.get(wire_id, []), int(parts[2])
            if number < len(pages):
                self._answer(session, wire_id, b"rows", b"index=%d" % number, pages[number])
            else:
                self._answer(session, wire_id, b"crashed", b"-", b"")
        elif command in (b"METER", b"ECHO"):
            report = self._report() if command == b"METER" else "-"
            self._answer(session, wire_id, b"green", report.encode(), b"")

    def _report(self) -> str:
        busy = min(1.0, sum(job.threads for job in self.jobs) / self.process.cores)
        return f"l=active:{len(self.jobs)};cpu:{busy:.2f};x0:0.10;x1:0.10"

    def _start_query(self, session: Session, wire_id: bytes, parts: list[bytes]) -> None:
        fields = dict(pair.split("=", 1) for pair in parts[2].decode().split(",") if "=" in pair)
        class_spec, statement = self._classes[fields["sort"]], parts[3].decode()
        match = WORK_COMMENT.search(statement)
        work_us = float(match.group(1)) * 1000 if match else 1_000.0
        self._count_cold_load(session, min(work_us, self._usual_work_us[class_spec.name]))
        if self.process.dead:
            return
        fault = self._active_fault("engine-full")
        if fault is not None and fault.random_source.random() < fault.amount:
            self._record_fault_hit("engine-full", wire_id.decode())
            self._end_query(session, wire_id, "overload")
            return
        sent_us = self._checker.attempt_sent_us(wire_id.decode(), self._dispatcher_end(session))
        dispatcher_host = session.end.remote[0]
        idempotency_key = fields.get("op") or wire_id.decode()
        if not self._apply_effect(class_spec, idempotency_key, sent_us, dispatcher_host):
            work_us = 1_000.0  # a repeat does not run again; the engine only returns the first answer
        fault = self._active_fault("engine-erring")
        if fault is not None and fault.random_source.random() < fault.amount:
            self._record_fault_hit("engine-erring", wire_id.decode())
            self._timeline.after(
                fault.random_source.randrange(100, 20_000), self._end_query, session, wire_id, "crashed"
            )
            return
        band, threads = int(fields.get("band", "1")), class_spec.threads
        pages = split_pages(result_rows(statement))
        job = Job(wire_id, session, max(100.0, work_us), threads, band, pages, work_us)
        session.jobs[wire_id] = job
        self._advance()
        self.jobs.append(job)
        self._schedule()
        if self._settings.progress_ms:
            self._timeline.after(self._settings.progress_ms * 1000, self._progress, job)
        fault = self._active_fault("reset-read")
        if fault is not None and fault.random_source.random() < fault.amount:
            self._record_fault_hit("reset-read", wire_id.decode())
            self._timeline.after(fault.random_source.randrange(1, 30_000), self._close_session, session)

    def _apply_effect(
        self, class_spec: ClassSpec, idempotency_key: str, sent_us: int, dispatcher_host: str
    ) -> bool:
        """Let the effect of a query happen, at once and as a whole.

        Return False for a repeat within the window, whose effect is dropped.
        """
        if class_spec.effect == "retryable":
            return True
        if class_spec.effect == "dedup":
            process = self.process
            scope = {"all": 0, "zone": process.zone, "cell": (process.zone, process.cell)}[class_spec.group]
            group = self._deduplication_groups.setdefault(scope, DeduplicationGroup())
            first_sent_us = group.first_sent_us.get(idempotency_key)
            if (
                first_sent_us is not None
                and sent_us - first_sent_us <= class_spec.window_ms * 1000 + KEY_RETENTION_SLACK_US
            ):
                return False
            group.first_sent_us[idempotency_key] = sent_us
        scope_name = class_spec.group if class_spec.effect == "dedup" else "all"
        self._checker.effect_happened(idempotency_key, self.process, dispatcher_host, scope_name)
        return True

    def _count_cold_load(self, session: Session, work_us: float) -> None:
        """Count the work that arrives while the engine is cold, and crash if there is too much of it.

        The work of a query counts up to what is usual for its class.
        """
        settings, process, now_us = self._settings, self.process, self._timeline.now_us
        warmth = min(1.0, (now_us - process.boot_us) / (settings.ramp_ms * 1000)) if process.boot_us else 1.0
        if warmth >= 1.0:
            return
        informed = self._checker.knows_start_of(session.end.remote[0], process)
        self._cold_arrivals.append((now_us, work_us, informed))
        while self._cold_arrivals[0][0] <= now_us - settings.fall_ms * 1000:
            self._cold_arrivals.popleft()
        total = sum(work for _, work, _ in self._cold_arrivals)
        capacity = process.cores * (settings.cold_from + (1 - settings.cold_from) * warmth)
        if total > settings.fall_multiple * capacity * settings.fall_ms * 1000:
            self._checker.cold_engine_overloaded(
                process, sum(work for _, work, informed in self._cold_arrivals if informed) / total
            )
            self.kill()

    def _capacity(self) -> float:
        settings, process = self._settings, self.process
        warmth = (
            min(1.0, (self._timeline.now_us - process.boot_us) / (settings.ramp_ms * 1000))
            if process.boot_us
            else 1.0
        )
        fault = self._active_fault("engine-slow")
        return (
            process.cores
            * (settings.cold_from + (1 - settings.cold_from) * warmth)
            / (fault.amount if fault else 1.0)
        )

    def _advance(self) -> None:
        elapsed_us, self._advanced_us = self._timeline.now_us - self._advanced_us, self._timeline.now_us
        for job in self.jobs:
            job.remaining_us -= elapsed_us * job.rate

    def _schedule(self) -> None:
        """Divide the cores among the queries, and come back when the first of them is done."""
        self._advance()
        self._schedule_number += 1
        if self.hung or not self.jobs:
            for job in self.jobs:
                job.rate = 0.0
            return
        capacity = self._capacity()
        total_threads = sum(job.threads for job in self.jobs)
        total_weight = sum(job.threads * BAND_WEIGHTS[job.band] for job in self.jobs)
        for job in self.jobs:
            share = (
                job.threads
                if total_threads <= capacity
                else capacity * job.threads * BAND_WEIGHTS[job.band] / total_weight
            )
            job.rate = min(float(job.threads), share)
        next_us = min(job.remaining_us / job.rate for job in self.jobs)
        self._timeline.after(max(1, int(next_us) + 1), self._finish_due_jobs, self._schedule_number)

    def reschedule(self) -> None:
        """Divide the cores again, after the engine's speed has changed."""
        if not self.process.dead:
            self._schedule()

    def _finish_due_jobs(self, schedule_number: int) -> None:
        if schedule_number != self._schedule_number or self.process.dead:
            return
        self._advance()
        for job in [job for job in self.jobs if job.remaining_us <= 0]:
            self._remove(job)
            job.session.jobs.pop(job.wire_id, None)
            self._answer_served(job)
        self._schedule()

    def _remove(self, job: Job) -> None:
        if job in self.jobs:
            self.jobs.remove(job)

    def _progress(self, job: Job) -> None:
        if job in self.jobs and not self.hung:
            self._advance()
            share = max(0.0, 1.0 - job.remaining_us / max(1.0, job.work_us))
            self._answer(job.session, job.wire_id, b"update", b"n=pct,datum=%.3f" % share, b"")
            self._timeline.after(self._settings.progress_ms * 1000, self._progress, job)

    def _answer_served(self, job: Job) -> None:
        session, pages = job.session, job.pages
        if len(pages) > 1:
            session.pages[job.wire_id] = pages
        fields = b"total=%d" % len(pages)
        if self._settings.reports == "inline":
            fields += b"," + self._report().encode()
        self._answer(session, job.wire_id, b"served", fields, pages[0])

    def _end_query(self, session: Session, wire_id: bytes, status: str) -> None:
        fields = self._report().encode() if self._settings.reports == "inline" else b"-"
        self._answer(session, wire_id, status.encode(), fields, b"")

    def _active_fault(self, kind: str) -> ActiveFault | None:
        fault = self.active_faults.get(kind)
        return fault if fault is not None and self._timeline.now_us < fault.until_us else None

    def _answer(self, session: Session, wire_id: bytes, status: bytes, fields: bytes, body: bytes) -> None:
        """Write an answer, subject to the faults that are active."""
        if session not in self.sessions or session.silenced or self.process.dead:
            return
        if self.hung:
            self._timeline.after(50_000, self._answer, session, wire_id, status, fields, body)
            return
        delay = self._active_fault("answer-late")
        if delay is not None and status in (b"served", b"rows", b"crashed", b"overload"):
            self._record_fault_hit("answer-late", wire_id.decode())
            self._timeline.after(
                int(delay.amount * 1000 * delay.random_source.random()),
                self._write_answer,
                session,
                wire_id,
                status,
                fields,
                body,
            )
            return
        self._write_answer(session, wire_id, status, fields, body)

    def _write_answer(
        self, session: Session, wire_id: bytes, status: bytes, fields: bytes, body: bytes
    ) -> None:
        if session not in self.sessions or session.silenced or self.process.dead:
            return
        answer, duplicate, request_id = encode_array(wire_id, status, fields, body), b"", wire_id.decode()
        session.last_used_us = self._timeline.now_us
        if status != b"update" and not request_id.startswith("probe"):
            if self._write_faulty_answer(session, wire_id, request_id, status, answer):
                return
            unknown, doubled = self._active_fault("answer-unknown"), self._active_fault("answer-doubled")
            if unknown is not None and unknown.random_source.random() < unknown.amount:
                self._record_fault_hit("answer-unknown", request_id)
                session.writer.write(
                    encode_array(b"%016x" % unknown.random_source.getrandbits(64), status, fields, body)
                )
            if doubled is not None and doubled.random_source.random() < doubled.amount:
                self._record_fault_hit("answer-doubled", request_id)
                duplicate = answer
        split = self._active_fault("answer-split")
        session.end.direction.segment_bytes = (
            max(1, int(split.amount)) if split else self._network.segment_bytes.get(self.process.address, 0)
        )
        if split:
            self._record_fault_hit("answer-split", request_id)
        on_arrival = None
        if status in (b"served", b"crashed", b"overload", b"nobody"):
            on_arrival = self._checker.outcome_written(
                request_id, self._dispatcher_end(session), status.decode()
            )
        session.writer.write(answer, on_arrival)
        session.writer.write(duplicate)

    def _write_faulty_answer(
        self, session: Session, wire_id: bytes, request_id: str, status: bytes, answer: bytes
    ) -> bool:
        """Send a malformed, cut or unfinished answer if such a fault is active; return whether one was sent.

        The query has run in any case.
        """
        malformed, cut, stopped = (
            self._active_fault(f"answer-{kind}") for kind in ("spoilt", "cut", "stopped")
        )
        end = self._dispatcher_end(session)
        if malformed is not None and malformed.random_source.random() < malformed.amount:
            self._record_fault_hit("answer-spoilt", request_id)
            self._checker.outcome_written(request_id, end, "crashed")
            session.writer.write(malformed.random_source.choice(MALFORMED_ANSWERS)(wire_id, answer))
            session.silenced = True
        elif cut is not None and cut.random_source.random() < cut.amount:
            self._record_fault_hit("answer-cut", request_id)
            self._checker.outcome_written(request_id, end, "crashed")
            session.writer.write(answer[: cut.random_source.randrange(len(answer))])
            self._close_session(session, reset=cut.random_source.random() < 0.5)
        elif stopped is not None and stopped.random_source.random() < stopped.amount:
            self._record_fault_hit("answer-stopped", request_id)
            self._checker.outcome_written(request_id, end, "crashed")
            session.writer.write(answer[: stopped.random_source.randrange(1, len(answer))])
            session.silenced = True
        else:
            return False
        return True


class DiscoveryConnection:
    """One dispatcher's connection to service discovery."""

    def __init__(self, end: End) -> None:
        self.end, self.writer, self.request_head = end, BufferedWriter(end), b""
        self.answered = self.stalled = False
        self.held: list[dict[str, Any]] = []  # events to send once discovery is not crowded any more


class Discovery:
    """Emulated service discovery: numbered events, sent to every watch."""

    def __init__(
        self,
        address: Address,
        network: Network,
        timeline: Timeline,
        checker: InvariantChecker,
        unix_ms: Callable[[int], int],
    ) -> None:
        self.address, self._network, self._timeline, self._checker = address, network, timeline, checker
        self._unix_ms = unix_ms
        self.events: list[dict[str, Any]] = []
        self.endpoint_entries: dict[str, dict[str, Any]] = {}
        self.connections: list[DiscoveryConnection] = []
        self.repeat_events_until_us = 0
        self.slow_answers_until_us = self.answer_delay_us = 0  # calls are answered late until that time
        self.is_crowded = False  # responses begin at once, and events and comments wait
        self.interruptions: list[tuple[str, int]] = []
        self._listener = Listener(address, 64, self._accept)
        network.listen(self._listener)
        timeline.after(1_000_000, self._send_comments)

    def endpoint_entry(self, process: EngineProcess, status: str) -> dict[str, Any]:
        """Return a process's entry in the endpoint list."""
        host, port = process.address
        since_ms = self._unix_ms(process.boot_us) if process.boot_us else 0
        return {
            "name": process.name,
            "address": f"{host}:{port}",
            "zone": process.zone,
            "type": process.kind,
            "group": process.cell,
            "status": status,
            "weight": 1,
            "since_ms": since_ms,
        }

    def publish(self, processes: list[tuple[EngineProcess, str]], is_snapshot: bool = False) -> None:
        """Publish one more event; processes that are dead are not announced as ready."""
        processes = [
            (process, status) for process, status in processes if status != "Ready" or not process.dead
        ]
        if not processes:
            return
        number = len(self.events) + 1
        endpoint_entries = [self.endpoint_entry(process, status) for process, status in processes]
        self.events.append(
            {
                "no": number,
                "roster": {"index": number, "snapshot": is_snapshot, "endpoints": endpoint_entries},
            }
        )
        for process, status in processes:
            names = [other.name for other, _ in processes]
            self.endpoint_entries[process.name] = endpoint_entries[names.index(process.name)]
            if status == "Ready":
                process.announcing_event = number
            self._checker.event_published(number, process.name, status)
        self._checker.note(
            f"bulletin {number}: " + ", ".join(f"{process.name} {status}" for process, status in processes)
        )
        for connection in self.connections:
            self._send_event(connection, self.events[-1])

    def known(self, number: int) -> dict[str, Any]:
        """Return the configuration's value of `known`: all events up to a number."""
        return {"no": number, "items": self.events[:number]}

    def _accept(self, listener: Listener) -> None:
        while listener.queue:
            connection = DiscoveryConnection(listener.queue.pop(0))
            connection.end.on_change = lambda _, connection=connection: self._receive(connection)  # type: ignore[misc]

    def _receive(self, connection: DiscoveryConnection) -> None:
        end = connection.end
        if end.error or end.eof:
            if connection in self.connections:
                self.connections.remove(connection)
            end.close()
            return
        connection.request_head += end.read()
        if not connection.answered and b"\r\n\r\n" in connection.request_head:
            connection.answered = True
            answer_delay_us = (
                self.answer_delay_us if self._timeline.now_us < self.slow_answers_until_us else 0
            )
            if answer_delay_us:
                self._timeline.after(answer_delay_us, self._answer_call, connection)
            else:
                self._answer_call(connection)
        connection.writer.flush()

    def _answer_call(self, connection: DiscoveryConnection) -> None:
        """Answer a watch: send all events after the one that it names, then each new one."""
        match = re.search(rb"(?i)last-event-id:\s*(\d+)", connection.request_head)
        last_event = int(match.group(1)) if match else 0
        self.connections.append(connection)
        connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        for event in self.events[last_event:]:
            self._send_event(connection, event)
        connection.writer.flush()

    def _send_event(self, connection: DiscoveryConnection, event: dict[str, Any]) -> None:
        if connection.stalled:
            return
        if self.is_crowded:
            connection.held.append(event)
            return
        text = f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode()
        peer, number = connection.end.peer, event["no"]

        def on_arrival() -> None:
            incarnation = next(
                (
                    incarnation
                    for incarnation in self._checker.incarnations.values()
                    if peer and incarnation.address[0] == peer.address[0]
                ),
                None,
            )
            if incarnation is not None:
                self._checker.event_received(incarnation, number)

        connection.writer.write(text, on_arrival)
        if self._timeline.now_us < self.repeat_events_until_us:
            connection.writer.write(text)

    def _send_comments(self) -> None:
        for connection in self.connections:
            if not (connection.stalled or self.is_crowded):
                connection.writer.write(b": here\n\n")
        self._timeline.after(1_000_000, self._send_comments)

    def presumed_known_us(self, published_us: int) -> int:
        """Return when an event counts as known to a dispatcher that it has not reached.

        The protocol sets the bounds: 7 s after the event is published. Where the stream was interrupted the
        event counts as known sooner, 2 s after a break and 4 s after a stall or a move, but not before 2 s
        after the last interruption since.
        """
        known_by_us = published_us + 7_000_000
        for kind, interrupted_us in self.interruptions:
            wait_us = 2_000_000 if kind == "break" else 4_000_000
            if interrupted_us + 6_000_000 > published_us:
                known_by_us = min(known_by_us, max(published_us, interrupted_us) + wait_us)
        return max(
            known_by_us,
            max(
                (
                    interrupted_us + 2_000_000
                    for _, interrupted_us in self.interruptions
                    if interrupted_us >= published_us
                ),
                default=0,
            ),
        )

    def interrupt_event(self, random_source: random.Random) -> int:
        """Close every connection in the middle of an event; return how many there were."""
        self.interruptions.append(("break", self._timeline.now_us))
        connections, self.connections = self.connections, []
        for connection in connections:
            text = json.dumps(self.events[-1]).encode()
            connection.writer.write(b"id: 99\ndata: " + text[: random_source.randrange(len(text))])
            connection.end.close(reset=random_source.random() < 0.5)
        return len(connections)

    def slow(self, for_us: int, delay_us: int) -> None:
        """Answer calls `delay_us` late for `for_us`."""
        self.slow_answers_until_us, self.answer_delay_us = self._timeline.now_us + for_us, delay_us

    def crowd(self, is_crowded: bool) -> int:
        """Hold back all events and comments, or send the events that were held; return the open connections.

        Connections are accepted and responses begin as usual.
        """
        self.is_crowded = is_crowded
        for connection in self.connections:
            held, connection.held = connection.held, []
            for event in held:
                self._send_event(connection, event)
        return len(self.connections)

    def stall(self, stalled: bool) -> int:
        """Send nothing more on the connections that are open, or close the stalled ones.

        Return the number of connections that are then open.
        """
        if stalled:
            self.interruptions.append(("stop", self._timeline.now_us))
            for connection in self.connections:
                connection.stalled = True
        else:
            for connection in [connection for connection in self.connections if connection.stalled]:
                self.connections.remove(connection)
                connection.end.close()
        return len(self.connections)

    def move(self, address: Address) -> None:
        """Move to another address; the old one sends nothing more and closes its connections after 1.5 s."""
        self.interruptions.append(("move", self._timeline.now_us))
        self._network.unlisten(self._listener)
        for connection in self.connections:
            connection.stalled = True
            self._timeline.after(1_500_000, connection.end.close)
        self.connections = []
        self.address, self._listener = address, Listener(address, 64, self._accept)
        self._network.listen(self._listener)
