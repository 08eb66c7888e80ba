"""Mutants of a dispatcher: known defects that are patched in at run time to test the invariant checker.

The simulation has to find each mutant by a violation of one of the rules that the mutant names.
"""

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
from ashcross.protocols.clients.close_reason import CloseReason
from ashcross.protocols.clients.connection import ClientConnection
from ashcross.protocols.clients.connection_manager import ClientConnectionManager
from ashcross.protocols.clients.input_reader import InputReader
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
    """Return a patch that starts the scheduler with changed settings."""

    def make(original: Any) -> Any:
        def init(scheduler: Any, settings: Any, seed: int) -> None:
            original(scheduler, replace(settings, **changes), seed)

        return init

    return swap(Scheduler, "__init__", make)


def _limits(**changes: Any) -> Patch:
    """Return a patch that starts the dispatcher core with changed limits."""

    def make(original: Any) -> Any:
        def init(
            core: Any, clock: Any, call_later: Any, scheduler: Any, requests: Any, endpoints: Any, limits: Any
        ) -> None:
            original(core, clock, call_later, scheduler, requests, endpoints, replace(limits, **changes))

        return init

    return swap(DispatcherCore, "__init__", make)


def _deduplicate_everywhere(original: Any) -> Any:
    def init(scheduler: Any, settings: Any, seed: int) -> None:
        classes = tuple(
            replace(class_settings, deduplication_scope=DeduplicationScope.ALL)
            for class_settings in settings.classes
        )
        original(scheduler, replace(settings, classes=classes), seed)

    return init


def _delay_endpoint_list_event(original: Any) -> Any:
    def receive(core: Any, event: Any) -> None:
        core.timer.call_later(0.251, original, core, event)

    return receive


def _ignore_draining_in_registry(original: Any) -> Any:
    def apply(registry: Any, discovered: Any, unseen_us: int | None, changed: Any) -> None:
        if discovered.endpoint.state is EndpointState.DRAINING:
            ready_endpoint = replace(discovered.endpoint, state=EndpointState.READY)
            discovered = replace(discovered, endpoint=ready_endpoint)
        original(registry, discovered, unseen_us, changed)

    return apply


def _ignore_draining_in_scheduler(original: Any) -> Any:
    def apply(engines: Any, event: Any) -> None:
        endpoints = tuple(
            replace(endpoint, state=EndpointState.READY)
            if endpoint.state is EndpointState.DRAINING
            else endpoint
            for endpoint in event.endpoints
        )
        original(engines, replace(event, endpoints=endpoints))

    return apply


def _allow_other_kinds_when_down(original: Any) -> Any:
    def choose(selection: Any, request: Any, now: int) -> Any:
        kinds = request.class_settings.allowed_engine_kinds
        usable_engines = [
            engine
            for engine in selection._engines.by_name.values()
            if engine.ready and not engine.outlier.ejected and engine.endpoint.engine_kind in kinds
        ]
        if kinds and not usable_engines:
            request.class_settings = replace(request.class_settings, allowed_engine_kinds=())
        return original(selection, request, now)

    return choose


def _always_reject(original: Any) -> Any:
    def reject(answers: Any, request: Any, now: int, reason: str) -> None:
        if not request.completed:
            answers._actions.append(RejectRequest(request.event.request_id, 0))
            answers.complete(request, now, met_objective=False)

    return reject


def _reset_as_connect_failure(original: Any) -> Any:
    def connection_lost(connection: Any, reason: Any = None) -> None:
        connection._end(AttemptOutcome.CONNECT_FAILED)

    return connection_lost


def _send_without_key(original: Any) -> Any:
    def send_query(connection: Any, attempt: Any) -> None:
        key, attempt.request.idempotency_key = attempt.request.idempotency_key, None
        original(connection, attempt)
        attempt.request.idempotency_key = key

    return send_query


def _send_trimmed_statement(original: Any) -> Any:
    def send_query(connection: Any, attempt: Any) -> None:
        attempt.request.statement = attempt.request.statement.rstrip(b"*/ ")
        original(connection, attempt)

    return send_query


def _release_without_cancel(original: Any) -> Any:
    def release_attempt(connection: Any, attempt: Any) -> None:
        connection.attempts.pop(attempt.request.request_id, None)

    return release_attempt


def _always_cancel_by_message(connection: Any, attempt: Any) -> None:
    """Release an attempt by a cancel message alone, even if its query is still unsent in the buffer."""
    request_id = attempt.request.request_id
    was_open = connection.attempts.pop(request_id, None) is not None
    if was_open and connection.is_connected and not attempt.engine_finished:
        connection._write(messages.cancel_query(request_id))


def _end_at_once(original: Any) -> Any:
    def start(shutdown: Any) -> None:
        shutdown._finish(0)

    return start


def _leave_requests_unanswered(original: Any) -> Any:
    def advance(shutdown: Any, now: int) -> None:
        if now >= shutdown._earliest_end_us:
            shutdown._components.core.fail_remaining_requests = nothing
            shutdown._finish(0)

    return advance


def _drop_when_blocked(original: Any) -> Any:
    def write(connection: Any, frame: bytes) -> None:
        if not connection._send_blocked:
            original(connection, frame)

    return write


def _always_trust_list(core: Any, is_fresh: bool) -> None:
    """Allow sends by the endpoint list, whether it is fresh or not."""
    core.endpoint_list.is_fresh = True
    core.discovery_is_connected = lambda: True
    core.endpoint_list.poll()


def _a_second_early(original: Any) -> Any:
    def rejection_is_safe(class_settings: Any, first_executed_us: Any, retry_us: int, *share: float) -> Any:
        return original(class_settings, first_executed_us, retry_us - 1_000_000, *share)

    return rejection_is_safe


def _without_first_table(original: Any) -> Any:
    def tables_of(text: str) -> Any:
        return original(text)._replace(first_table=None)

    return tables_of


def _take_any_bytes_for_a_comment(original: Any) -> Any:
    def data_handled(watch: Any, has_comment: bool, has_event: bool) -> None:
        original(watch, True, has_event)

    return data_handled


def _trust_list_after_wait(original: Any) -> Any:
    def discovery_wait_over(startup: Any) -> None:
        original(startup)
        components = startup._components
        if components.discovery is not None and not components.discovery.list_is_fresh:
            components.core.discovery_is_connected = lambda: True
            components.discovery.mark_list_fresh()

    return discovery_wait_over


def _read_no_input(reader: Any, until_empty: bool, is_done: Any = None) -> bool:
    """Read nothing from a client's connection and report that all input has been read."""
    return True


def _also_on_transport(method_name: str) -> Callable[[Any], Any]:
    """Return a wrapper that also calls `method_name` of the connection's transport."""

    def wrap(original: Any) -> Any:
        def call(connection: Any) -> None:
            original(connection)
            if connection.transport.connected and not connection._is_closed:
                getattr(connection.transport, method_name)()

        return call

    return wrap


def _delay_disconnect(original: Any) -> Any:
    def client_disconnected(connection: Any) -> None:
        connection._is_closed = True
        connection.flood_control.is_closed = True
        connection._owner.connection_closed(connection)
        connection._owner.stop_lingering(connection)
        connection._owner.call_later(0.4, original, connection)

    return client_disconnected


def _delay_abort(original: Any) -> Any:
    def abort(call_handler: Any, call: Any) -> None:
        call_handler._client._owner.call_later(0.4, original, call_handler, call)

    return abort


def _accept_every_client(original: Any) -> Any:
    def build_protocol(manager: Any, address: Any) -> Any:
        return ClientConnection(manager)

    return build_protocol


def _reverse_pages(original: Any) -> Any:
    def result(call_id: int, pages: list[bytes]) -> bytes:
        return bytes(original(call_id, pages[::-1]))

    return result


def _keep_finished_requests(original: Any) -> Any:
    def sweep(registry: Any) -> None:
        registry._finished = [request for request in registry._finished if request.attempts_in_flight]

    return sweep


def _fail_with_one_ready_engine(original: Any) -> Any:
    def run(review: Any, now: int) -> None:
        original(review, now)
        if sum(engine.ready for engine in review._engines.by_name.values()) == 1:
            raise ZeroDivisionError("one engine has no median")

    return run


def _drop_largest_incomplete_call(manager: Any) -> None:
    """Drop incomplete calls until the buffers suffice, and leave connections with open requests open."""
    while manager.pool.lent > manager.limits.max_pooled_buffers:
        largest = max(manager.connections, key=lambda connection: connection.reader.waiting, default=None)
        if largest is None or not largest.reader.waiting:
            return
        largest.stop_accepting(CloseReason.INCOMPLETE_CALLS, is_framed=False)


class _SteppingClock(Clock):
    """A clock that follows the wall clock, also when that is set."""

    __slots__ = ("_unix_ns",)

    def __init__(self, unix_ns: Any, monotonic_ns: Any) -> None:
        super().__init__(unix_ns, monotonic_ns)
        self._unix_ns = unix_ns

    def __call__(self) -> int:
        return int(self._unix_ns() // 1000)


def _time_of_read(core: Any) -> int:
    return int(core.clock())


def _full_progress(*_: Any) -> float:
    return 1.0


def _true(*_: Any) -> bool:
    return True


def _false(*_: Any) -> bool:
    return False


def _always_not_sent(attempt: Any, outcome: Any) -> Any:
    return AttemptOutcome.NOT_SENT


# A scheduler that never rejects or fails a request. Only the check at the request's deadline answers then.
SILENT_SCHEDULER: tuple[Patch, ...] = ((FinalAnswers, "reject_or_fail", nothing),)

_DISPATCHER_MUTANTS = (
    Mutant("second-answer", ("answered",), ((ClientConnection, "reply", _second_answer),)),
    Mutant(
        "answer-dropped-while-unread", ("answered",), (swap(ClientConnection, "_write", _drop_when_blocked),)
    ),
    Mutant("pages-in-reverse", ("answered",), (swap(json_rpc, "result", _reverse_pages),)),
    Mutant("missing-page-taken-for-empty", ("answered",), ((messages, "PAGE_KINDS", ()),)),
    Mutant("spoilt-page-passed-on", ("answered",), ((EngineConnection, "_is_valid_page", _true),)),
    Mutant(
        "overdue-guard-removed", ("answered",), ((RequestLifecycle, "_expire", nothing), *SILENT_SCHEDULER)
    ),
    Mutant("late-after-a-standstill", ("answered",), ((DispatcherCore, "arrival_us", _time_of_read),)),
    Mutant(
        "ends-at-sigterm",
        ("answered",),
        (swap(Shutdown, "start", _end_at_once), (DispatcherCore, "fail_remaining_requests", nothing)),
    ),
    Mutant(
        "ends-with-open-requests", ("answered",), (swap(Shutdown, "_advance", _leave_requests_unanswered),)
    ),
    Mutant(
        "half-a-call-dropped",
        ("answered",),
        ((ClientConnectionManager, "check_pooled_buffers", _drop_largest_incomplete_call),),
    ),
    Mutant("silent-clients-stay", ("answered",), ((ClientConnection, "sweep", nothing),)),
    Mutant("clock-follows-steps", ("answered", "drain", "left"), ((world, "Clock", _SteppingClock),)),
    Mutant(
        "unsafe-again-after-reset",
        ("effect", "invariant"),
        ((attempts, "NOT_EXECUTED", (*send_rules.NOT_EXECUTED, AttemptOutcome.RESET)),),
    ),
    Mutant(
        "reset-told-as-refused",
        ("effect",),
        (swap(EngineConnection, "connectionLost", _reset_as_connect_failure),),
    ),
    Mutant(
        "called-off-told-as-never-ran",
        ("effect",),
        ((dispatcher_attempts, "outcome_when_stopped", _always_not_sent),),
    ),
    Mutant(
        "refuses-what-may-have-run",
        ("effect", "invariant"),
        (swap(FinalAnswers, "reject_or_fail", _always_reject),),
    ),
    Mutant(
        "keyed-past-its-window",
        ("effect", "invariant"),
        ((retries, "REPEAT_WINDOW_SHARE", 5.0), (final_answers, "REPEAT_WINDOW_SHARE", 5.0)),
    ),
    Mutant(
        "rejection-forgets-its-wait",
        ("effect",),
        (
            swap(final_answers, "rejection_is_safe", _a_second_early),
            swap(send_rules, "rejection_is_safe", _a_second_early),
        ),
    ),
    Mutant("keyed-out-of-its-group", ("effect",), (swap(Scheduler, "__init__", _deduplicate_everywhere),)),
    Mutant("key-not-sent", ("fault", "effect"), (swap(EngineConnection, "_send_query", _send_without_key),)),
    Mutant(
        "statement-trimmed", ("fault",), (swap(EngineConnection, "_send_query", _send_trimmed_statement),)
    ),
    Mutant("no-wait-after-kill", ("copies",), (_limits(cancel_grace_us=0),)),
    Mutant("no-kill", ("copies",), (swap(EngineConnection, "release_attempt", _release_without_cancel),)),
    Mutant(
        "drain-1-ms-too-long",
        ("drain",),
        (swap(DispatcherCore, "receive_endpoint_list_event", _delay_endpoint_list_event),),
    ),
    Mutant(
        "drain-unheard",
        ("drain",),
        (
            swap(EndpointRegistry, "_apply", _ignore_draining_in_registry),
            swap(EngineTable, "apply", _ignore_draining_in_scheduler),
        ),
    ),
    Mutant(
        "sends-before-the-backlog", ("drain",), ((DispatcherCore, "set_list_freshness", _always_trust_list),)
    ),
    Mutant(
        "goes-on-with-what-was-known",
        ("drain",),
        (swap(Startup, "_discovery_wait_over", _trust_list_after_wait),),
    ),
    Mutant(
        "response-head-confirms-the-list",
        ("drain",),
        (swap(EndpointListWatch, "data_handled", _take_any_bytes_for_a_comment),),
    ),
    Mutant("bulletin-never-again", ("drain",), ((EndpointListWatch, "connection_lost", nothing),)),
    Mutant("bulletin-silence-unheard", ("drain",), ((EndpointListWatch, "poll", nothing),)),
    Mutant("reload-unheard", ("drain",), ((Service, "reload", nothing),)),
    Mutant(
        "gone-process-keeps-its-address",
        ("effect", "placement", "drain"),
        ((EndpointRegistry, "_withhold_others_at_address", nothing),),
    ),
    Mutant("attempt-surely-on-its-engine", ("effect",), ((EngineTable, "_note_successor", nothing),)),
    Mutant("cold-taken-for-warm", ("cold",), ((Engine, "slow_start_progress", _full_progress),)),
    Mutant("order-ignored", ("order",), ((Ordering, "is_next", _true),)),
    Mutant("order-key-not-told", ("order",), (swap(query_validation, "tables_of", _without_first_table),)),
    Mutant("rest-of-key-forgotten", ("order",), ((ordering, "OUTCOME_UNKNOWN", ()),)),
    Mutant(
        "placed-elsewhere-when-down",
        ("placement",),
        (swap(EngineSelection, "choose", _allow_other_kinds_when_down),),
    ),
    Mutant("ration-ignored", ("ration",), (_settings(retry_budget_window_us=0),)),
    Mutant("attempts-unbounded", ("ration",), (_settings(max_attempts=50), _limits(max_attempts=50))),
    Mutant(
        "clients-unbounded",
        ("bounds", "answered"),
        (swap(ClientConnectionManager, "buildProtocol", _accept_every_client),),
    ),
    Mutant(
        "accepts-unbounded",
        ("bounds",),
        (
            (ClientConnectionManager, "accept_from", nothing),
            (ClientConnectionManager, "_end_accept_round", nothing),
        ),
    ),
    Mutant("ends-over-unread-calls", ("answered",), ((InputReader, "drain", _read_no_input),)),
    Mutant(
        "slow-readers-are-not-read",
        ("answered",),
        (
            (InputReader, "drain", _read_no_input),
            swap(ClientConnection, "pauseProducing", _also_on_transport("pauseProducing")),
            swap(ClientConnection, "resumeProducing", _also_on_transport("resumeProducing")),
        ),
    ),
    Mutant(
        "sends-for-clients-that-left",
        ("gone",),
        (swap(ClientConnection, "_client_disconnected", _delay_disconnect),),
    ),
    Mutant("aborts-read-late", ("gone",), (swap(CallHandler, "_abort", _delay_abort),)),
    Mutant(
        "stuck-queries-go-out",
        ("answered", "drain"),
        (
            (EngineConnection, "is_write_blocked", _false),
            (EngineConnection, "release_attempt", _always_cancel_by_message),
            (EngineConnection, "_close_if_unsent", nothing),
            (EngineConnectionPool, "endpoint_list_changed", nothing),
        ),
    ),
    Mutant("request-leaked", ("left",), (swap(RequestRegistry, "sweep", _keep_finished_requests),)),
    Mutant("buffers-leaked", ("left",), ((Framer, "close", nothing),)),
    Mutant("connection-leaked", ("left",), ((EngineConnectionPool, "sweep", nothing),)),
    Mutant("client-link-leaked", ("left",), ((ClientConnectionManager, "connection_closed", nothing),)),
    Mutant("module-stumbles", ("fault",), (swap(EngineReview, "run", _fail_with_one_ready_engine),)),
)
MUTANTS = {mutant.name: mutant for mutant in (*_DISPATCHER_MUTANTS, *tier_mutants.MADE)}


def applied(name: str) -> AbstractContextManager[None]:
    """Return a context in which the program has the defect of a mutant; an empty name changes nothing."""
    return patched(MUTANTS[name]) if name else nullcontext()


@dataclass(frozen=True, slots=True)
class MutantResult:
    """Whether one mutant was found, and at which seed."""

    name: str
    rules: tuple[str, ...]
    found: bool
    seed: int  # first seed that broke one of the mutant's rules, or the last seed that was run
    # number of runs (seeds and kept scenarios) up to and including the one that found it; all if none did
    after: int
    text: str  # the violation that found it
    others: tuple[str, ...]  # rules broken before that are not among the mutant's rules

    def line(self) -> str:
        """Return the mutant's line of the printed table."""
        outcome = (
            f"after {self.after:5} seeds, at {self.seed}: {self.text}"
            if self.found
            else f"MISSED in {self.after}"
        )
        other_rules = f" (also {', '.join(self.others)})" if self.others else ""
        return f"{self.name:30} {'/'.join(self.rules):18} {outcome}{other_rules}"

    def as_json(self) -> dict[str, Any]:
        """Return the fields as a record of the --json output."""
        return asdict(self)


def find_mutant(name: str, seeds: Iterable[int], scenarios: tuple[Scenario, ...] = ()) -> MutantResult:
    """Run seeds, then kept scenarios, with a mutant until a run breaks one of the mutant's rules."""
    mutant, other_rules, count, seed = MUTANTS[name], dict[str, None](), 0, 0
    with applied(name):
        for count, (result, seed) in enumerate(_runs(mutant, seeds, scenarios), 1):
            violation = next(
                (violation for violation in result.breaks if violation.rule in mutant.rules), None
            )
            if violation is not None:
                text = f"{violation.rule}: {violation.text}"
                return MutantResult(name, mutant.rules, True, seed, count, text, tuple(other_rules))
            other_rules |= {violation.rule: None for violation in result.breaks}
            other_rules |= {"error": None} if result.error else {}
    return MutantResult(name, mutant.rules, False, seed, count, "", tuple(other_rules))


def _runs(
    mutant: Mutant, seeds: Iterable[int], scenarios: tuple[Scenario, ...]
) -> Iterator[tuple[Result, int]]:
    """Yield the result and the seed of each run: of drawn scenarios first, of kept ones after them."""
    if mutant.world == "tier":
        yield from ((tier_world.run(tier_world.draw(seed)), seed) for seed in seeds)
        return
    yield from ((world.run(scenario), scenario.seed) for scenario in chain(map(draw, seeds), scenarios))


def _run_job(job: tuple[str, range, tuple[Scenario, ...]]) -> MutantResult:
    return find_mutant(*job)


def find_mutants(
    seeds: range,
    jobs: int,
    only: str = "",
    scenarios: tuple[Scenario, ...] = (),
    world_name: str = "dispatchers",
) -> list[MutantResult]:
    """Look for every mutant of a world, or for `only` one, and return the results in order of `MUTANTS`."""
    pending = [
        (name, seeds, scenarios)
        for name, mutant in MUTANTS.items()
        if (name == only if only else mutant.world == world_name)
    ]
    if jobs <= 1 or len(pending) == 1:
        return [_run_job(job) for job in pending]
    with multiprocessing.get_context("fork").Pool(jobs, initializer=ignore_interrupt) as pool:
        return pool.map(_run_job, pending, chunksize=1)


def ignore_interrupt() -> None:
    """Ignore SIGINT in a worker process: the parent handles an interrupt and reports what was done."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
