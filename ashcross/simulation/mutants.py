"""Named defects, patched into the program at run time: the lab must find each and blame its own rule."""

from __future__ import annotations

import multiprocessing
import signal
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, nullcontext
from dataclasses import asdict, dataclass, replace
from itertools import chain
from typing import Any

from ashcross.decisions import attempts, final_answers, ordering, retries, send_rules
from ashcross.decisions.actions import RejectRequest
from ashcross.decisions.engine_review import EngineReview
from ashcross.decisions.engine_selection import EngineSelection
from ashcross.decisions.engine_table import EngineTable
from ashcross.decisions.engines import Engine
from ashcross.decisions.events import AttemptOutcome, EndpointState
from ashcross.decisions.final_answers import FinalAnswers
from ashcross.decisions.ordering import Ordering
from ashcross.decisions.scheduler import Scheduler
from ashcross.decisions.settings import DeduplicationScope
from ashcross.dispatcher import attempts as dispatcher_attempts
from ashcross.dispatcher.core import DispatcherCore
from ashcross.dispatcher.requests import RequestLifecycle
from ashcross.protocols.clients import json_rpc, query_validation
from ashcross.protocols.clients.call_handler import CallHandler
from ashcross.protocols.clients.connection import ClientConnection
from ashcross.protocols.clients.connection_manager import ClientConnectionManager
from ashcross.protocols.discovery.watch import EndpointListWatch
from ashcross.protocols.engines import messages
from ashcross.protocols.engines.connection import EngineConnection
from ashcross.protocols.engines.connection_pool import EngineConnectionPool
from ashcross.protocols.framing import Framer
from ashcross.registry.endpoint_registry import EndpointRegistry
from ashcross.registry.request_registry import RequestRegistry
from ashcross.service.clock import Clock
from ashcross.service.service import Service
from ashcross.service.shutdown import Shutdown
from ashcross.service.startup import Startup
from ashcross.simulation import cluster_mutants as tier_mutants
from ashcross.simulation import cluster_world as tier_world
from ashcross.simulation import world
from ashcross.simulation.defects import Mutant, Patch, nothing, patched, swap
from ashcross.simulation.scenario import Scenario, draw
from ashcross.simulation.world import Result


def _second_answer(connection: Any, call_id: int, frame: bytes) -> None:
    connection.open_requests.pop(call_id, None)
    connection._write(frame)
    connection._write(frame)


def _settings(**changes: Any) -> Patch:
    """The module is told other settings than the operators give."""

    def make(whole: Any) -> Any:
        def init(gateway: Any, settings: Any, seed: int) -> None:
            whole(gateway, replace(settings, **changes), seed)

        return init

    return swap(Scheduler, "__init__", make)


def _limits(**changes: Any) -> Patch:
    """The loop is told other limits than the configuration gives."""

    def make(whole: Any) -> Any:
        def init(loop: Any, clock: Any, later: Any, module: Any, book: Any, fleet: Any, limits: Any) -> None:
            whole(loop, clock, later, module, book, fleet, replace(limits, **changes))

        return init

    return swap(DispatcherCore, "__init__", make)


def _any_group(whole: Any) -> Any:
    def init(gateway: Any, settings: Any, seed: int) -> None:
        kinds = tuple(replace(kind, deduplication_scope=DeduplicationScope.ALL) for kind in settings.classes)
        whole(gateway, replace(settings, classes=kinds), seed)

    return init


def _late_news(whole: Any) -> Any:
    def roster(loop: Any, news: Any) -> None:
        loop.timer.call_later(0.251, whole, loop, news)

    return roster


def _never_draining(whole: Any) -> Any:
    def apply(fleet: Any, entry: Any, unseen_us: int | None) -> Any:
        if entry.endpoint.state is EndpointState.DRAINING:
            entry = replace(entry, endpoint=replace(entry.endpoint, state=EndpointState.READY))
        return whole(fleet, entry, unseen_us)

    return apply


def _still_ready(whole: Any) -> Any:
    """The module hears of no drain either."""

    def apply(engines: Any, event: Any) -> None:
        entries = tuple(
            replace(one, state=EndpointState.READY) if one.state is EndpointState.DRAINING else one
            for one in event.endpoints
        )
        whole(engines, replace(event, endpoints=entries))

    return apply


def _elsewhere_when_down(whole: Any) -> Any:
    def choose(selection: Any, request: Any, now: int) -> Any:
        kinds = request.class_settings.allowed_engine_kinds
        own = [
            engine
            for engine in selection._engines.by_name.values()
            if engine.ready and not engine.outlier.ejected and engine.endpoint.engine_kind in kinds
        ]
        if kinds and not own:
            request.class_settings = replace(request.class_settings, allowed_engine_kinds=())
        return whole(selection, request, now)

    return choose


def _always_refuse(whole: Any) -> Any:
    def reject(answers: Any, request: Any, now: int, reason: str) -> None:
        if not request.completed:
            answers._actions.append(RejectRequest(request.event.request_id, 0))
            answers.complete(request, now, met_objective=False)

    return reject


def _reset_as_refused(whole: Any) -> Any:
    def lost(link: Any, reason: Any = None) -> None:
        link._end(AttemptOutcome.CONNECT_FAILED)

    return lost


def _no_key(whole: Any) -> Any:
    def ask(link: Any, attempt: Any) -> None:
        kept, attempt.request.idempotency_key = attempt.request.idempotency_key, None
        whole(link, attempt)
        attempt.request.idempotency_key = kept

    return ask


def _trimmed(whole: Any) -> Any:
    def ask(link: Any, attempt: Any) -> None:
        attempt.request.statement = attempt.request.statement.rstrip(b"*/ ")
        whole(link, attempt)

    return ask


def _no_kill(whole: Any) -> Any:
    def give_up(link: Any, attempt: Any) -> None:
        link.attempts.pop(attempt.request.request_id, None)

    return give_up


def _word_only(link: Any, attempt: Any) -> None:
    """Gives up by a word alone, wherever the query lies."""
    request_id = attempt.request.request_id
    was_open = link.attempts.pop(request_id, None) is not None
    if was_open and link.is_connected and not attempt.engine_finished:
        link._write(messages.cancel_query(request_id))


def _ends_at_once(whole: Any) -> Any:
    def start(shutdown: Any) -> None:
        shutdown._finish(0)

    return start


def _nothing_abandoned(whole: Any) -> Any:
    def advance(shutdown: Any, now: int) -> None:
        if now >= shutdown._earliest_end_us:
            shutdown._components.core.fail_remaining_requests = nothing
            shutdown._finish(0)

    return advance


def _drops_when_paused(whole: Any) -> Any:
    def write(link: Any, frame: bytes) -> None:
        if not link._send_blocked:
            whole(link, frame)

    return write


def _trusts(loop: Any, on: bool) -> None:
    """Whatever is told of the list, it is sent by."""
    loop.endpoint_list.is_fresh = True
    loop.discovery_is_connected = lambda: True
    loop.endpoint_list.poll()


def _believes(whole: Any) -> Any:
    def discovery_wait_over(startup: Any) -> None:
        whole(startup)
        components = startup._components
        if components.discovery is not None and not components.discovery.list_is_fresh:
            components.core.discovery_is_connected = lambda: True
            components.discovery.mark_list_fresh()

    return discovery_wait_over


def _nothing_to_read(connection: Any, until_empty: bool = False) -> bool:
    """Reads nothing of a client's connection, and says that it is empty."""
    return True


def _reading(name: str) -> Callable[[Any], Any]:
    def made(whole: Any) -> Any:
        def call(link: Any) -> None:
            whole(link)
            if link.transport.connected and not link._is_closed:
                getattr(link.transport, name)()

        return call

    return made


def _later_disconnected(whole: Any) -> Any:
    def disconnected(connection: Any) -> None:
        connection._is_closed = True
        connection.flood_control.is_closed = True
        connection._owner.connection_closed(connection)
        connection._owner.stop_lingering(connection)
        connection._owner.call_later(0.4, whole, connection)

    return disconnected


def _later_abort(whole: Any) -> Any:
    def abort(calls: Any, call: Any) -> None:
        calls._client._owner.call_later(0.4, whole, calls, call)

    return abort


def _all_come(whole: Any) -> Any:
    def build(factory: Any, addr: Any) -> Any:
        return ClientConnection(factory)

    return build


def _reversed(whole: Any) -> Any:
    def rows(ident: int, pages: list[bytes]) -> bytes:
        return bytes(whole(ident, pages[::-1]))

    return rows


def _kept(whole: Any) -> Any:
    def sweep(book: Any) -> None:
        book._finished = [request for request in book._finished if request.attempts_in_flight]

    return sweep


def _stumbles(whole: Any) -> Any:
    def run(review: Any, now: int) -> None:
        whole(review, now)
        if sum(engine.ready for engine in review._engines.by_name.values()) == 1:
            raise ZeroDivisionError("one engine has no median")

    return run


class _SteppingClock(Clock):
    """Follows the system's time, wherever that is set."""

    __slots__ = ("_unix_ns",)

    def __init__(self, unix_ns: Any, monotonic_ns: Any) -> None:
        super().__init__(unix_ns, monotonic_ns)
        self._unix_ns = unix_ns

    def __call__(self) -> int:
        return int(self._unix_ns() // 1000)


def _now(loop: Any) -> int:
    return int(loop.clock())


def _warm(*_: Any) -> float:
    return 1.0


def _true(*_: Any) -> bool:
    return True


def _false(*_: Any) -> bool:
    return False


def _moot(attempt: Any, outcome: Any) -> Any:
    return AttemptOutcome.NOT_SENT


# a module that never gives a request up: the guard at the deadline answers in its place
MUTE_MODULE: tuple[Patch, ...] = ((FinalAnswers, "reject_or_fail", nothing),)

_MADE = (
    Mutant("second-answer", ("answered",), ((ClientConnection, "reply", _second_answer),)),
    Mutant(
        "answer-dropped-while-unread", ("answered",), (swap(ClientConnection, "_write", _drops_when_paused),)
    ),
    Mutant("pages-in-reverse", ("answered",), (swap(json_rpc, "result", _reversed),)),
    Mutant("spoilt-page-passed-on", ("answered",), ((EngineConnection, "_is_valid_page", _true),)),
    Mutant("overdue-guard-removed", ("answered",), ((RequestLifecycle, "_expire", nothing), *MUTE_MODULE)),
    Mutant("late-after-a-standstill", ("answered",), ((DispatcherCore, "arrival_us", _now),)),
    Mutant(
        "ends-at-sigterm",
        ("answered",),
        (swap(Shutdown, "start", _ends_at_once), (DispatcherCore, "fail_remaining_requests", nothing)),
    ),
    Mutant("ends-with-open-requests", ("answered",), (swap(Shutdown, "_advance", _nothing_abandoned),)),
    Mutant("silent-clients-stay", ("answered",), ((ClientConnection, "sweep", nothing),)),
    Mutant("clock-follows-steps", ("answered", "drain", "left"), ((world, "Clock", _SteppingClock),)),
    Mutant(
        "unsafe-again-after-reset",
        ("effect", "invariant"),
        ((attempts, "NOT_EXECUTED", (*send_rules.NOT_EXECUTED, AttemptOutcome.RESET)),),
    ),
    Mutant(
        "reset-told-as-refused", ("effect",), (swap(EngineConnection, "connectionLost", _reset_as_refused),)
    ),
    Mutant(
        "called-off-told-as-never-ran", ("effect",), ((dispatcher_attempts, "outcome_when_stopped", _moot),)
    ),
    Mutant(
        "refuses-what-may-have-run",
        ("effect", "invariant"),
        (swap(FinalAnswers, "reject_or_fail", _always_refuse),),
    ),
    Mutant(
        "keyed-past-its-window",
        ("effect", "invariant"),
        ((retries, "REPEAT_WINDOW_SHARE", 5.0), (final_answers, "REPEAT_WINDOW_SHARE", 5.0)),
    ),
    Mutant("keyed-out-of-its-group", ("effect",), (swap(Scheduler, "__init__", _any_group),)),
    Mutant("key-not-sent", ("fault", "effect"), (swap(EngineConnection, "_send_query", _no_key),)),
    Mutant("statement-trimmed", ("fault",), (swap(EngineConnection, "_send_query", _trimmed),)),
    Mutant("no-wait-after-kill", ("copies",), (_limits(cancel_grace_us=0),)),
    Mutant("no-kill", ("copies",), (swap(EngineConnection, "release_attempt", _no_kill),)),
    Mutant(
        "drain-1-ms-too-long", ("drain",), (swap(DispatcherCore, "receive_endpoint_list_event", _late_news),)
    ),
    Mutant(
        "drain-unheard",
        ("drain",),
        (swap(EndpointRegistry, "_apply", _never_draining), swap(EngineTable, "apply", _still_ready)),
    ),
    Mutant("sends-before-the-backlog", ("drain",), ((DispatcherCore, "set_list_freshness", _trusts),)),
    Mutant("goes-on-with-what-was-known", ("drain",), (swap(Startup, "_discovery_wait_over", _believes),)),
    Mutant("bulletin-never-again", ("drain",), ((EndpointListWatch, "connection_lost", nothing),)),
    Mutant("bulletin-silence-unheard", ("drain",), ((EndpointListWatch, "poll", nothing),)),
    Mutant("reload-unheard", ("drain",), ((Service, "reload", nothing),)),
    Mutant("cold-taken-for-warm", ("cold",), ((Engine, "slow_start_progress", _warm),)),
    Mutant("order-ignored", ("order",), ((Ordering, "is_next", _true),)),
    Mutant("order-key-not-told", ("order",), ((query_validation, "table_of", nothing),)),
    Mutant("rest-of-key-forgotten", ("order",), ((ordering, "OUTCOME_UNKNOWN", ()),)),
    Mutant(
        "placed-elsewhere-when-down", ("placement",), (swap(EngineSelection, "choose", _elsewhere_when_down),)
    ),
    Mutant("ration-ignored", ("ration",), (_settings(retry_budget_window_us=0),)),
    Mutant("attempts-unbounded", ("ration",), (_settings(max_attempts=50), _limits(max_attempts=50))),
    Mutant(
        "clients-unbounded",
        ("bounds", "answered"),
        (swap(ClientConnectionManager, "buildProtocol", _all_come),),
    ),
    Mutant(
        "accepts-unbounded",
        ("bounds",),
        (
            (ClientConnectionManager, "accept_from", nothing),
            (ClientConnectionManager, "_end_accept_round", nothing),
        ),
    ),
    Mutant("ends-over-unread-calls", ("answered",), ((ClientConnection, "drain_input", _nothing_to_read),)),
    Mutant(
        "slow-readers-are-not-read",
        ("answered",),
        (
            (ClientConnection, "drain_input", _nothing_to_read),
            swap(ClientConnection, "pauseProducing", _reading("pauseProducing")),
            swap(ClientConnection, "resumeProducing", _reading("resumeProducing")),
        ),
    ),
    Mutant(
        "sends-for-clients-that-left",
        ("gone",),
        (swap(ClientConnection, "_client_disconnected", _later_disconnected),),
    ),
    Mutant("aborts-read-late", ("gone",), (swap(CallHandler, "_abort", _later_abort),)),
    Mutant(
        "stuck-queries-go-out",
        ("answered", "drain"),
        (
            (EngineConnection, "is_write_blocked", _false),
            (EngineConnection, "release_attempt", _word_only),
            (EngineConnection, "_close_if_unsent", nothing),
            (EngineConnectionPool, "endpoint_list_changed", nothing),
        ),
    ),
    Mutant("request-leaked", ("left",), (swap(RequestRegistry, "sweep", _kept),)),
    Mutant("buffers-leaked", ("left",), ((Framer, "close", nothing),)),
    Mutant("connection-leaked", ("left",), ((EngineConnectionPool, "sweep", nothing),)),
    Mutant("client-link-leaked", ("left",), ((ClientConnectionManager, "connection_closed", nothing),)),
    Mutant("module-stumbles", ("fault",), (swap(EngineReview, "run", _stumbles),)),
)
MUTANTS = {mutant.name: mutant for mutant in (*_MADE, *tier_mutants.MADE)}


def applied(name: str) -> AbstractContextManager[None]:
    """The context in which the program has a mutant's defect; an empty name is the plain program."""
    return patched(MUTANTS[name]) if name else nullcontext()


@dataclass(frozen=True, slots=True)
class Row:
    """What became of one mutant."""

    name: str
    rules: tuple[str, ...]
    found: bool
    seed: int  # the first that broke one of its rules
    after: int  # how many seeds were run
    text: str
    others: tuple[str, ...]  # rules broken before that are not its own

    def line(self) -> str:
        """One line of the table."""
        how = (
            f"after {self.after:5} seeds, at {self.seed}: {self.text}"
            if self.found
            else f"MISSED in {self.after}"
        )
        also = f" (also {', '.join(self.others)})" if self.others else ""
        return f"{self.name:30} {'/'.join(self.rules):18} {how}{also}"

    def as_json(self) -> dict[str, Any]:
        """The same as a record."""
        return asdict(self)


def find_mutant(name: str, seeds: Iterable[int], scripts: tuple[Scenario, ...] = ()) -> Row:
    """Run seeds, then kept scripts, with a mutant until one breaks its own rule."""
    mutant, others, count, seed = MUTANTS[name], dict[str, None](), 0, 0
    with applied(name):
        for count, (result, seed) in enumerate(_runs(mutant, seeds, scripts), 1):
            own = next((one for one in result.breaks if one.rule in mutant.rules), None)
            if own is not None:
                return Row(name, mutant.rules, True, seed, count, f"{own.rule}: {own.text}", tuple(others))
            others |= {one.rule: None for one in result.breaks}
            others |= {"error": None} if result.error else {}
    return Row(name, mutant.rules, False, seed, count, "", tuple(others))


def _runs(
    mutant: Mutant, seeds: Iterable[int], scripts: tuple[Scenario, ...]
) -> Iterator[tuple[Result, int]]:
    if mutant.world == "tier":
        yield from ((tier_world.run(tier_world.draw(seed)), seed) for seed in seeds)
        return
    yield from ((world.run(script), script.seed) for script in chain(map(draw, seeds), scripts))


def _seek(asked: tuple[str, range, tuple[Scenario, ...]]) -> Row:
    return find_mutant(*asked)


def find_mutants(
    seeds: range,
    jobs: int,
    only: str = "",
    scripts: tuple[Scenario, ...] = (),
    which: str = "dispatchers",
) -> list[Row]:
    """Seek every mutant of a world, or one alone; in the order of the list."""
    asked = [
        (name, seeds, scripts)
        for name, mutant in MUTANTS.items()
        if (name == only if only else mutant.world == which)
    ]
    if jobs <= 1 or len(asked) == 1:
        return [_seek(one) for one in asked]
    with multiprocessing.get_context("fork").Pool(jobs, initializer=ignore_interrupt) as pool:
        return pool.map(_seek, asked, chunksize=1)


def ignore_interrupt() -> None:
    """In a process of a pool: the parent tells what was done until an interrupt."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
