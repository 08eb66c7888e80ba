"""Scenarios: typed records of settings, engines, traffic and faults, drawn from a seed or read from a file.

Settings, engines, network, requests and faults each draw from their own random stream (numpy's
`SeedSequence.spawn`), and each fault from a stream of its own, so that adding or dropping a fault changes no
other draw. Times are in milliseconds from the start of the run.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import product
from pathlib import Path
from typing import Any

import msgspec
import numpy

from ashcross.errors import AshcrossError, shown

VERSION = 1
ENGINE_KINDS = ("box-a", "box-b")


class ScriptError(AshcrossError):
    """A scenario that cannot be read or holds a value out of range."""

    remedy = "correct the scenario at this place; tests/scripts/ holds examples"


class Record(msgspec.Struct, forbid_unknown_fields=True):
    """Base of all records: an unknown key in a file is an error."""


class ClassSpec(Record):
    """Settings of one class of query."""

    name: str
    effect: str = "retryable"  # idempotency: retryable, dedup (engines drop repeats of a key) or fragile
    group: str = "all"  # engines that share deduplicated keys: all, zone or cell
    window_ms: int = 5_000  # how long an engine drops repeats of a key
    aim_ms: int = 1_000  # latency objective
    stretch: float = 2.0  # latency objective per unit of estimated work
    give_up_ms: int = 5_000  # longest time limit of a query
    worth: float = 1.0  # priority weight
    late_share: float = 0.0  # share of the weight that a late answer still earns
    threads: int = 1  # slots that a query takes on an engine
    is_load: bool = False
    in_turn: bool = False  # queries of a table run in the order of their arrival
    kinds: list[str] = []  # engine kinds that may run the class; empty: all
    zones: list[str] = []  # zones that may run the class; empty: all


class EngineSpec(Record):
    """One engine that is up and warm when the run starts."""

    name: str
    kind: str = "box-a"
    zone: str = "here"
    cell: int = 0
    cores: int = 8


class Settings(Record):
    """Number and configuration of the dispatchers, as far as they are drawn."""

    classes: list[ClassSpec]
    engines: list[EngineSpec]
    dispatchers: int = 2
    memory_mb: int = 96
    sockets: int = 512
    max_attempts: int = 4
    second_copies: bool = False
    priorities: bool = True
    progress_ms: int = 0
    reports: str = "inline"  # inline, on_probe or off
    drain_grace_ms: int = 250
    answer_slack_ms: int = 20
    idle_ms: int = 15_000
    dial_ms: int = 250
    key_quiet_ms: int = 300
    cold_from: float = 0.3
    ramp_ms: int = 15_000
    fall_multiple: float = 4.0
    fall_ms: int = 2_000
    ration_free: float = 0.0  # retry budget: retries in a window that are always allowed
    ration_share: float = 0.0  # retry budget: further retries, as a share of the requests in a window
    ration_ms: int = 0  # window of the retry budget; 0: no retry budget
    tenants: dict[str, float] = {}  # guaranteed requests a second


class NetworkSettings(Record):
    """Latency, buffers and segments of the simulated network."""

    latency_us: int = 400
    jitter_us: int = 200
    window: int = 65_536  # capacity of a receive buffer in bytes
    piece: int = 0  # approximate size of a segment in bytes; 0: each write is one segment
    wake_us: int = 60  # from the first ready socket until the process runs


class Request(Record):
    """One query of one client. When the client retries follows from the answers."""

    at_ms: int
    client: int  # each client has its own connections
    dispatcher: int  # index of the dispatcher that gets the query
    klass: int  # index into the classes of the settings
    work_ms: int = 50
    estimate: float = 1.0  # ratio of the declared work to the true work
    memory_mb: int = 16
    tables: int = 1
    rows: int = 5
    pad: int = 0  # bytes of padding in the statement
    limit_ms: int = 2_000
    team: str = ""  # tenant
    retries: int = 0
    way: str = "plain"  # what the client does: plain, abort, leave, half, stall or fresh
    way_ms: int = 0  # delay until the client does it


class Fault(Record):
    """One fault and how long it lasts. The meaning of `target` and `amount` depends on the kind."""

    kind: str
    at_ms: int
    for_ms: int = 1_000
    target: int = 0
    amount: float = 0.0


class Scenario(Record):
    """Everything that determines a run."""

    settings: Settings
    wires: NetworkSettings
    requests: list[Request]
    faults: list[Fault]
    seed: int = 0  # seeds the draws during the run: latencies, segment sizes, choices of the scheduler
    traffic_ms: int = 8_000  # drawn queries and first faults begin before this time
    length_ms: int = 28_000
    note: str = ""
    version: int = VERSION


# kind: (weight in the draw, what the fault strikes, least and most `for_ms`, least and most `amount`)
KINDS: dict[str, tuple[float, str, int, int, float, float]] = {
    "engine-killed": (2.0, "engine", 500, 6_000, 0, 0),
    "engine-silent": (2.0, "engine", 500, 5_000, 0, 0),
    "engine-slow": (1.5, "engine", 500, 6_000, 2, 12),
    "engine-erring": (1.5, "engine", 500, 5_000, 0.2, 1.0),
    "engine-full": (1.5, "engine", 300, 4_000, 0.3, 1.0),
    "engine-draining": (2.5, "engine", 600, 5_000, 0, 0),
    "engine-replaced": (1.5, "engine", 500, 4_000, 0, 1),
    "engine-dark": (1.5, "engine", 500, 6_000, 0, 0),
    "engines-cold": (1.0, "fleet", 300, 2_000, 0, 0),
    "reset-new": (1.0, "engine", 500, 4_000, 0.3, 1.0),
    "reset-idle": (1.0, "engine", 1, 1, 0, 0),
    "reset-unread": (1.2, "engine", 500, 4_000, 0.1, 0.7),
    "reset-read": (1.5, "engine", 500, 4_000, 0.1, 0.7),
    "answer-split": (1.0, "engine", 1_000, 6_000, 1, 20),
    "answer-late": (1.0, "engine", 500, 4_000, 50, 1_500),
    "answer-doubled": (1.0, "engine", 500, 5_000, 0.3, 1.0),
    "answer-unknown": (1.0, "engine", 500, 5_000, 0.3, 1.0),
    "answer-spoilt": (1.5, "engine", 500, 5_000, 0.1, 0.8),
    "answer-cut": (1.5, "engine", 500, 5_000, 0.1, 0.8),
    "answer-stopped": (1.0, "engine", 500, 5_000, 0.1, 0.6),
    "half-lost": (1.0, "engine", 500, 4_000, 0, 1),
    "bulletin-broken": (1.5, "bulletin", 1, 400, 0, 0),
    "bulletin-stalled": (1.2, "bulletin", 500, 9_000, 0, 0),
    "bulletin-crowded": (0.0, "bulletin", 9_000, 12_000, 0, 0),  # drawn apart, see `_crowded_discovery`
    "bulletin-doubled": (0.8, "bulletin", 1_000, 6_000, 0, 0),
    "bulletin-moved": (1.5, "bulletin", 1, 1, 0, 0),
    "client-flood": (1.0, "dispatcher", 1, 1, 20, 120),
    "client-rude": (1.0, "dispatcher", 1, 1, 0, 8),
    "client-crowd": (1.0, "dispatcher", 500, 2_500, 20, 400),
    "client-halves": (0.0, "dispatcher", 500, 2_500, 60, 400),  # drawn apart, see `_half_call_faults`
    "clock-step": (0.8, "dispatcher", 1, 1, -4_000, 4_000),
    "dispatcher-killed": (1.5, "dispatcher", 200, 3_000, 0, 0),
    "dispatcher-paused": (1.5, "dispatcher", 20, 1_200, 0, 0),
    "dispatcher-stopped": (1.2, "dispatcher", 300, 1_500, 0, 0),
    "dispatchers-two": (0.6, "dispatcher", 200, 1_500, 0, 0),
    "dispatchers-herd": (1.0, "dispatcher", 200, 2_000, 0, 1_500),
}


HALF_CALLS_SHARE = 0.1  # share of the seeds with the fault `client-halves`
CROWDED_SHARE = 0.08  # share of the seeds with the fault `bulletin-crowded`

REQUEST_INTERVAL_MS = 50  # between two of the queries that are drawn beside `bulletin-crowded`

# Fault kind -> a second kind that may be drawn along with it, because some failures show only when two faults
# overlap: a drain that discovery cannot announce, or a burst of queries that meets cold engines.
COMPANIONS = {
    "bulletin-stalled": "engine-draining",
    "bulletin-moved": "engine-draining",
    "bulletin-broken": "engine-draining",
    "engines-cold": "client-flood",
    "engine-replaced": "client-flood",
    "engine-dark": "client-flood",
    "dispatcher-paused": "engine-draining",
    "dispatcher-stopped": "engine-silent",
}


class Streams:
    """Independent random streams that are derived from one seed."""

    def __init__(self, seed: int) -> None:
        self._spawned = iter(numpy.random.SeedSequence(seed).spawn(16))

    def __iter__(self) -> Iterator[random.Random]:
        """Yield the streams as `random.Random`: a draw from numpy's generators takes ten times as long."""
        for sequence in self._spawned:
            yield random.Random(int.from_bytes(sequence.generate_state(4).tobytes(), "little"))


def draw(seed: int) -> Scenario:
    """Return the scenario of a seed, which is the same on any machine."""
    streams = iter(Streams(seed))
    settings = _settings(next(streams))
    settings.engines = _engines(next(streams), settings)
    network = _network(next(streams))
    traffic_ms = 8_000
    requests = _requests(next(streams), settings, traffic_ms)
    faults = list(_faults(next(streams), settings, traffic_ms, seed))
    faults += _half_call_faults(settings, traffic_ms, seed)
    requests += _requests_in_pieces(faults, settings)
    crowded = _crowded_discovery(faults, seed)
    faults += crowded
    requests += _requests_while_crowded(crowded, settings)
    requests += _requests_at_drain_grace_end(next(streams), faults, settings)
    requests.sort(key=lambda request: request.at_ms)
    longest_ms = max(spec.give_up_ms for spec in settings.classes)
    length_ms = traffic_ms + longest_ms + 15_000  # 15 s for retries, idle connections and shutdown
    return Scenario(settings, network, requests, faults, seed, traffic_ms, length_ms)


def _settings(rng: random.Random) -> Settings:
    lookup = ClassSpec("lookup", aim_ms=rng.choice((300, 600, 1_000)), give_up_ms=rng.choice((1_500, 3_000)))
    report = ClassSpec(
        "report",
        aim_ms=1_500,
        give_up_ms=4_000,
        worth=5.0,
        late_share=0.3,
        threads=rng.choice((2, 4)),
        kinds=[rng.choice(ENGINE_KINDS)],
    )
    load = ClassSpec(
        "load",
        "dedup",
        rng.choice(("all", "all", "zone", "cell")),
        rng.choice((1_000, 2_500, 6_000)),
        aim_ms=1_000,
        give_up_ms=rng.choice((3_000, 5_000)),
        worth=4.0,
        late_share=0.5,
        threads=2,
        is_load=True,
        in_turn=rng.random() < 0.35,
    )
    post = ClassSpec("post", "fragile", aim_ms=800, give_up_ms=3_000, in_turn=rng.random() < 0.25)
    load_reports, has_retry_budget = rng.choice(("inline", "on_probe", "off")), rng.random() < 0.3
    return Settings(
        classes=[lookup, report, load, post],
        engines=[],
        dispatchers=rng.choices((1, 2, 3), (1, 4, 3))[0],
        memory_mb=rng.choice((32, 48, 96, 192)),
        sockets=rng.choice((96, 160, 256, 1024)),
        max_attempts=rng.choice((2, 4, 6)),
        second_copies=rng.random() < 0.25,
        priorities=rng.random() < 0.7,
        progress_ms=rng.choice((0, 0, 100)),
        reports=load_reports,
        idle_ms=rng.choice((3_000, 15_000)),
        cold_from=rng.choice((0.2, 0.3)),
        ramp_ms=rng.choice((5_000, 15_000)),
        fall_multiple=rng.choice((1.5, 2.0, 4.0)),
        fall_ms=rng.choice((1_000, 2_000)),
        ration_free=2.0 if has_retry_budget else 0.0,
        ration_share=rng.choice((0.05, 0.2)) if has_retry_budget else 0.0,
        ration_ms=rng.choice((2_000, 5_000)) if has_retry_budget else 0,
        tenants={} if rng.random() < 0.5 else {"acme": 5.0, "other": 2.0},
    )


def _engines(rng: random.Random, settings: Settings) -> list[EngineSpec]:
    count = rng.randint(2, 6)
    zones = ["here"] if rng.random() < 0.6 else ["here", "there"]
    cores = {kind: rng.choice((2, 4, 8)) for kind in ENGINE_KINDS}  # configured for each kind
    kinds = [*ENGINE_KINDS, *(rng.choice(ENGINE_KINDS) for _ in range(count - 2))]
    return [EngineSpec(f"e{i}", kind, rng.choice(zones), i % 2, cores[kind]) for i, kind in enumerate(kinds)]


def _network(rng: random.Random) -> NetworkSettings:
    return NetworkSettings(
        latency_us=rng.choice((100, 400, 2_000)),
        jitter_us=rng.choice((0, 200, 1_500)),
        window=rng.choice((2_048, 8_192, 65_536, 65_536)),
        piece=rng.choice((0, 0, 0, 7, 60)),
        wake_us=rng.choice((10, 60, 500)),
    )


def _requests(rng: random.Random, settings: Settings, traffic_ms: int) -> list[Request]:
    count, clients = rng.randint(55, 85), rng.randint(3, 8)
    requests, has_heavy_queries = [], rng.random() < 0.4
    for _ in range(count):
        klass = rng.choices(range(4), (5, 2, 3, 2))[0]
        spec = settings.classes[klass]
        work_ms = max(5, int(rng.expovariate(1 / 60)) * spec.threads)
        if has_heavy_queries and rng.random() < 0.1:
            work_ms *= 20
        client_behaviour = rng.choices(
            ("plain", "abort", "leave", "half", "stall", "fresh"), (20, 1, 1, 1, 1, 2)
        )[0]
        requests.append(
            Request(
                at_ms=rng.randrange(200, traffic_ms),
                client=rng.randrange(clients),
                dispatcher=rng.randrange(settings.dispatchers),
                klass=klass,
                work_ms=work_ms,
                estimate=rng.choice((1.0, 1.0, 0.5, 2.0)),
                memory_mb=rng.choice((8, 32, 200)),
                tables=rng.randint(1, 4),
                rows=rng.choice((1, 5, 40, 300, 1_200)),
                pad=rng.choice((0, 0, 0, 0, 3_000)),
                limit_ms=int(spec.give_up_ms * rng.choice((1.0, 1.0, 0.6, 0.3))),
                team=rng.choice(sorted(settings.tenants)) if settings.tenants else "",
                retries=rng.choice((0, 0, 1, 2)),
                way=client_behaviour,
                way_ms=0 if client_behaviour == "plain" else rng.choice((1, 5, 40, 300, 1_200)),
            )
        )
    return sorted(requests, key=lambda request: request.at_ms)


def _requests_at_drain_grace_end(
    rng: random.Random, faults: list[Fault], settings: Settings
) -> list[Request]:
    """Return requests that arrive as the grace period of a drain ends, to show an error of 1 ms there."""
    drains = [fault for fault in faults if fault.kind == "engine-draining"]
    return [
        Request(
            fault.at_ms + settings.drain_grace_ms + rng.randint(-1, 2),
            rng.randrange(3),
            rng.randrange(settings.dispatchers),
            0,
            rng.randint(2, 20),
            limit_ms=1_000,
        )
        for fault in drains
        for _ in range(5)
    ]


def _faults(rng: random.Random, settings: Settings, traffic_ms: int, seed: int) -> Iterator[Fault]:
    names = sorted(KINDS)
    for number in range(rng.choice((2, 3, 4, 5, 6))):
        kind = rng.choices(names, [KINDS[name][0] for name in names])[0]
        # Each fault draws from its own stream, so that one more fault leaves the draws of the rest unchanged.
        fault_rng = random.Random(f"{seed}/{number}/{kind}")
        fault = draw_fault(fault_rng, kind, settings, traffic_ms)
        yield fault
        companion_kind = COMPANIONS.get(kind)
        if companion_kind is not None and fault_rng.random() < 0.6:
            companion = draw_fault(fault_rng, companion_kind, settings, traffic_ms)
            companion.at_ms = fault.at_ms + fault_rng.randrange(0, 2_500)
            if companion_kind == "engine-draining":  # outlasts the delay with which the drain is announced
                companion.for_ms = fault_rng.randint(4_500, 9_000)
            if kind in ("engines-cold", "engine-replaced"):  # enough queries to overload a cold engine
                companion.at_ms, companion.amount = (
                    companion.at_ms + fault.for_ms,
                    float(fault_rng.randint(150, 400)),
                )
            yield companion


def _half_call_faults(settings: Settings, traffic_ms: int, seed: int) -> list[Fault]:
    """Return clients that send half a call each, for some seeds; other draws stay as they are."""
    rng = random.Random(f"{seed}/half-calls")
    if rng.random() >= HALF_CALLS_SHARE:
        return []
    return [draw_fault(rng, "client-halves", settings, traffic_ms)]


def _crowded_discovery(faults: list[Fault], seed: int) -> list[Fault]:
    """Return a time of crowded service discovery, for some seeds; other draws stay as they are.

    Not beside a break or a stop of its stream: after these the protocol's bound is shorter, and supposes that
    the next connection gets the backlog.
    """
    rng = random.Random(f"{seed}/crowded-discovery")
    is_interrupted = any(fault.kind in ("bulletin-broken", "bulletin-stalled") for fault in faults)
    if rng.random() >= CROWDED_SHARE or is_interrupted:
        return []
    _, _, shortest_ms, longest_ms, _, _ = KINDS["bulletin-crowded"]
    return [Fault("bulletin-crowded", rng.randrange(500, 3_000), rng.randint(shortest_ms, longest_ms))]


def _requests_while_crowded(faults: list[Fault], settings: Settings) -> list[Request]:
    """Return queries through the whole time of crowded discovery, past the time at which a drain is known."""
    return [
        Request(at_ms, client=0, dispatcher=at_ms // REQUEST_INTERVAL_MS % settings.dispatchers, klass=0)
        for fault in faults
        for at_ms in range(fault.at_ms, fault.at_ms + fault.for_ms, REQUEST_INTERVAL_MS)
    ]


def _requests_in_pieces(faults: list[Fault], settings: Settings) -> list[Request]:
    """Return pairs of requests on one connection, the second in two pieces while the first is open.

    They meet clients that use up the buffers for incomplete calls.
    """
    requests = []
    for fault in faults:
        if fault.kind != "client-halves":
            continue
        target = fault.target % settings.dispatchers
        for at_ms, client in product((fault.at_ms + 100, fault.at_ms + 300), range(3)):
            first = Request(at_ms, client, target, 0, work_ms=400, limit_ms=1_500)
            second = Request(
                at_ms + 20, client, target, 0, 20, pad=3_000, limit_ms=1_500, way="half", way_ms=300
            )
            requests += [first, second]
    return requests


def draw_fault(rng: random.Random, kind: str, settings: Settings, traffic_ms: int) -> Fault:
    """Draw one fault of a kind, with its start, duration, target and amount."""
    _, target_type, shortest_ms, longest_ms, least, most = KINDS[kind]
    target_count = {"engine": len(settings.engines), "dispatcher": settings.dispatchers}.get(target_type, 1)
    return Fault(
        kind,
        at_ms=rng.randrange(500, traffic_ms),
        for_ms=rng.randint(shortest_ms, longest_ms),
        target=rng.randrange(target_count),
        amount=round(rng.uniform(least, most), 3),
    )


def check(scenario: Scenario) -> Scenario:
    """Return the scenario once its values are checked; raises `ScriptError` with the place of a bad one."""

    def need(is_valid: bool, place: str, wanted: str, found: Any) -> None:
        if not is_valid:
            raise ScriptError(place, wanted, shown(found))

    settings = scenario.settings
    need(scenario.version == VERSION, "version", f"{VERSION}", scenario.version)
    need(1 <= settings.dispatchers <= 16, "settings.dispatchers", "1 to 16", settings.dispatchers)
    need(0 < len(settings.engines) <= 200, "settings.engines", "1 to 200 engines", len(settings.engines))
    need(bool(settings.classes), "settings.classes", "at least one class", len(settings.classes))
    need(0 < scenario.length_ms <= 600_000, "length_ms", "1 to 600000", scenario.length_ms)
    times_allowed = f"0 to {scenario.length_ms - 1}"
    for i, request in enumerate(scenario.requests):
        place = f"requests[{i}]"
        need(
            0 <= request.klass < len(settings.classes),
            f"{place}.klass",
            f"0 to {len(settings.classes) - 1}",
            request.klass,
        )
        need(
            0 <= request.dispatcher < settings.dispatchers,
            f"{place}.dispatcher",
            f"0 to {settings.dispatchers - 1}",
            request.dispatcher,
        )
        need(0 <= request.at_ms < scenario.length_ms, f"{place}.at_ms", times_allowed, request.at_ms)
        need(1 <= request.limit_ms <= 100_000, f"{place}.limit_ms", "1 to 100000", request.limit_ms)
    for i, fault in enumerate(scenario.faults):
        place = f"faults[{i}]"
        need(fault.kind in KINDS, f"{place}.kind", "one of " + ", ".join(sorted(KINDS)), fault.kind)
        need(0 <= fault.at_ms < scenario.length_ms, f"{place}.at_ms", times_allowed, fault.at_ms)
        need(fault.for_ms >= 0, f"{place}.for_ms", "0 or more", fault.for_ms)
        need(fault.target >= 0, f"{place}.target", "0 or more", fault.target)
    return scenario


def encode(scenario: Scenario) -> bytes:
    """Return a scenario in the form of its file: indented JSON without fields that have their default."""
    content = msgspec.to_builtins(scenario)
    for key in ("settings", "wires"):
        content[key] = _without_defaults(content[key], type(getattr(scenario, key)))
    for key, record_type in (("requests", Request), ("faults", Fault)):
        content[key] = [_without_defaults(record, record_type) for record in content[key]]
    content["settings"]["classes"] = [
        _without_defaults(record, ClassSpec) for record in content["settings"]["classes"]
    ]
    content["settings"]["engines"] = [
        _without_defaults(record, EngineSpec) for record in content["settings"]["engines"]
    ]
    return msgspec.json.format(msgspec.json.encode(content), indent=1) + b"\n"


def _without_defaults(record: dict[str, Any], record_type: type) -> dict[str, Any]:
    defaults = {field.name: field.default for field in msgspec.structs.fields(record_type)}
    return {key: value for key, value in record.items() if value != defaults.get(key, msgspec.NODEFAULT)}


def load(path: Path) -> Scenario:
    """Read and check a scenario file; raises `ScriptError`."""
    try:
        return check(msgspec.json.decode(path.read_bytes(), type=Scenario))
    except OSError as error:
        raise ScriptError(str(path), "a file that can be read", str(error.strerror)) from None
    except ScriptError as error:
        raise ScriptError(f"{path}: {error.place}", error.wanted, error.found) from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise ScriptError(str(path), "a scenario", str(error)) from None
