"""Scripts: typed records of settings, fleet, traffic and faults, drawn from a seed, kept in files to edit.

Each concern draws from a random stream of its own (numpy's `SeedSequence.spawn`), and each fault from one
more, so that a fault that is added or dropped shifts nothing else. Times are milliseconds from the start.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import numpy

from ashcross.errors import AshcrossError, shown

VERSION = 1
ENGINE_KINDS = ("box-a", "box-b")


class ScriptError(AshcrossError):
    """A script that cannot be used."""

    remedy = "correct the script at this place; `ashcross lab show SEED` shows the form of one"


class Record(msgspec.Struct, forbid_unknown_fields=True):
    """The base of all records: a key that is not known is an error."""


class ClassSpec(Record):
    """One class of query, in the operators' words."""

    name: str
    effect: str = "retryable"  # retryable, dedup or fragile
    group: str = "all"
    window_ms: int = 5_000
    aim_ms: int = 1_000
    stretch: float = 2.0
    give_up_ms: int = 5_000
    worth: float = 1.0
    late_share: float = 0.0
    threads: int = 1
    is_load: bool = False
    in_turn: bool = False
    kinds: list[str] = []
    zones: list[str] = []


class EngineSpec(Record):
    """One engine that runs when the world starts, warm."""

    name: str
    kind: str = "box-a"
    zone: str = "here"
    cell: int = 0
    cores: int = 8


class Settings(Record):
    """What the dispatchers are told, as far as it is drawn."""

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
    ration_free: float = 0.0  # with ration_ms 0: no such rule
    ration_share: float = 0.0
    ration_ms: int = 0
    tenants: dict[str, float] = {}  # requests a second


class NetworkSettings(Record):
    """How the network carries bytes."""

    latency_us: int = 400
    jitter_us: int = 200
    window: int = 65_536  # bytes that a receiver's buffer holds
    piece: int = 0  # bytes of a segment, about; 0: whole writes
    wake_us: int = 60  # from the first ready socket until the process runs


class Request(Record):
    """One query of one client. Its retries follow from the answers."""

    at_ms: int
    client: int  # each has connections of its own
    dispatcher: int
    klass: int
    work_ms: int = 50
    estimate: float = 1.0  # told over true work
    memory_mb: int = 16
    tables: int = 1
    rows: int = 5
    pad: int = 0  # bytes more in the statement
    limit_ms: int = 2_000
    team: str = ""
    retries: int = 0
    way: str = "plain"  # plain, abort, leave, half, stall, fresh
    way_ms: int = 0


class Fault(Record):
    """Something goes wrong, for a while. What `target` and `amount` mean is told by the kind."""

    kind: str
    at_ms: int
    for_ms: int = 1_000
    target: int = 0
    amount: float = 0.0


class Scenario(Record):
    """A whole world."""

    settings: Settings
    wires: NetworkSettings
    requests: list[Request]
    faults: list[Fault]
    seed: int = 0  # of what is drawn while it runs: latencies, splits, the module's choices
    traffic_ms: int = 8_000
    length_ms: int = 28_000
    note: str = ""
    version: int = VERSION


# kind: (weight, on what, shortest and longest for_ms, least and most amount)
KINDS: dict[str, tuple[float, str, int, int, float, float]] = {
    "engine-killed": (2.0, "engine", 500, 6_000, 0, 0),
    "engine-silent": (2.0, "engine", 500, 5_000, 0, 0),
    "engine-slow": (1.5, "engine", 500, 6_000, 2, 12),
    "engine-erring": (1.5, "engine", 500, 5_000, 0.2, 1.0),
    "engine-full": (1.5, "engine", 300, 4_000, 0.3, 1.0),
    "engine-draining": (2.5, "engine", 600, 5_000, 0, 0),
    "engine-replaced": (1.5, "engine", 500, 4_000, 0, 0),
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
    "bulletin-doubled": (0.8, "bulletin", 1_000, 6_000, 0, 0),
    "bulletin-moved": (1.5, "bulletin", 1, 1, 0, 0),
    "client-flood": (1.0, "dispatcher", 1, 1, 20, 120),
    "client-rude": (1.0, "dispatcher", 1, 1, 0, 8),
    "client-crowd": (1.0, "dispatcher", 500, 2_500, 20, 400),
    "clock-step": (0.8, "dispatcher", 1, 1, -4_000, 4_000),
    "dispatcher-killed": (1.5, "dispatcher", 200, 3_000, 0, 0),
    "dispatcher-paused": (1.5, "dispatcher", 20, 1_200, 0, 0),
    "dispatcher-stopped": (1.2, "dispatcher", 300, 1_500, 0, 0),
    "dispatchers-two": (0.6, "dispatcher", 200, 1_500, 0, 0),
    "dispatchers-herd": (1.0, "dispatcher", 200, 2_000, 0, 1_500),
}


# what is worth having while another fault lasts: a drain that the bulletin cannot tell, a flood for cold
# engines
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
    """Random streams by concern: `settings`, `fleet`, `traffic`, `wires`, and one for each fault."""

    def __init__(self, seed: int) -> None:
        self._spawned = iter(numpy.random.SeedSequence(seed).spawn(16))

    def __iter__(self) -> Iterator[random.Random]:
        """The next concern's stream, a generator of Python's: numpy's cost ten times as much a draw."""
        for sequence in self._spawned:
            yield random.Random(int.from_bytes(sequence.generate_state(4).tobytes(), "little"))


def draw(seed: int) -> Scenario:
    """The script of a seed, the same on any machine."""
    streams = iter(Streams(seed))
    settings = _settings(next(streams))
    settings.engines = _engines(next(streams), settings)
    wires = _wires(next(streams))
    traffic_ms = 8_000
    requests = _requests(next(streams), settings, traffic_ms)
    faults = list(_faults(next(streams), settings, traffic_ms, seed))
    requests += _at_the_edge(next(streams), faults, settings)
    requests.sort(key=lambda request: request.at_ms)
    longest_ms = max(kind.give_up_ms for kind in settings.classes)
    length_ms = traffic_ms + longest_ms + 15_000  # retries, idle connections, the end
    return Scenario(settings, wires, requests, faults, seed, traffic_ms, length_ms)


def _settings(r: random.Random) -> Settings:
    safe = ClassSpec("lookup", aim_ms=r.choice((300, 600, 1_000)), give_up_ms=r.choice((1_500, 3_000)))
    placed = ClassSpec(
        "report",
        aim_ms=1_500,
        give_up_ms=4_000,
        worth=5.0,
        late_share=0.3,
        threads=r.choice((2, 4)),
        kinds=[r.choice(ENGINE_KINDS)],
    )
    keyed = ClassSpec(
        "load",
        "dedup",
        r.choice(("all", "all", "zone", "cell")),
        r.choice((1_000, 2_500, 6_000)),
        aim_ms=1_000,
        give_up_ms=r.choice((3_000, 5_000)),
        worth=4.0,
        late_share=0.5,
        threads=2,
        is_load=True,
        in_turn=r.random() < 0.35,
    )
    unsafe = ClassSpec("post", "fragile", aim_ms=800, give_up_ms=3_000, in_turn=r.random() < 0.25)
    reports, rationed = r.choice(("inline", "on_probe", "off")), r.random() < 0.3
    return Settings(
        classes=[safe, placed, keyed, unsafe],
        engines=[],
        dispatchers=r.choices((1, 2, 3), (1, 4, 3))[0],
        memory_mb=r.choice((32, 48, 96, 192)),
        sockets=r.choice((96, 160, 256, 1024)),
        max_attempts=r.choice((2, 4, 6)),
        second_copies=r.random() < 0.25,
        priorities=r.random() < 0.7,
        progress_ms=r.choice((0, 0, 100)),
        reports=reports,
        idle_ms=r.choice((3_000, 15_000)),
        cold_from=r.choice((0.2, 0.3)),
        ramp_ms=r.choice((5_000, 15_000)),
        fall_multiple=r.choice((1.5, 2.0, 4.0)),
        fall_ms=r.choice((1_000, 2_000)),
        ration_free=2.0 if rationed else 0.0,
        ration_share=r.choice((0.05, 0.2)) if rationed else 0.0,
        ration_ms=r.choice((2_000, 5_000)) if rationed else 0,
        tenants={} if r.random() < 0.5 else {"acme": 5.0, "other": 2.0},
    )


def _engines(r: random.Random, settings: Settings) -> list[EngineSpec]:
    count = r.randint(2, 6)
    zones = ["here"] if r.random() < 0.6 else ["here", "there"]
    cores = {kind: r.choice((2, 4, 8)) for kind in ENGINE_KINDS}  # as the settings tell it, for a kind
    kinds = [*ENGINE_KINDS, *(r.choice(ENGINE_KINDS) for _ in range(count - 2))]
    return [EngineSpec(f"e{i}", kind, r.choice(zones), i % 2, cores[kind]) for i, kind in enumerate(kinds)]


def _wires(r: random.Random) -> NetworkSettings:
    return NetworkSettings(
        latency_us=r.choice((100, 400, 2_000)),
        jitter_us=r.choice((0, 200, 1_500)),
        window=r.choice((2_048, 8_192, 65_536, 65_536)),
        piece=r.choice((0, 0, 0, 7, 60)),
        wake_us=r.choice((10, 60, 500)),
    )


def _requests(r: random.Random, settings: Settings, traffic_ms: int) -> list[Request]:
    count, clients = r.randint(55, 85), r.randint(3, 8)
    out, hot = [], r.random() < 0.4
    for _ in range(count):
        klass = r.choices(range(4), (5, 2, 3, 2))[0]
        spec = settings.classes[klass]
        work_ms = max(5, int(r.expovariate(1 / 60)) * spec.threads)
        if hot and r.random() < 0.1:
            work_ms *= 20
        way = r.choices(("plain", "abort", "leave", "half", "stall", "fresh"), (20, 1, 1, 1, 1, 2))[0]
        out.append(
            Request(
                at_ms=r.randrange(200, traffic_ms),
                client=r.randrange(clients),
                dispatcher=r.randrange(settings.dispatchers),
                klass=klass,
                work_ms=work_ms,
                estimate=r.choice((1.0, 1.0, 0.5, 2.0)),
                memory_mb=r.choice((8, 32, 200)),
                tables=r.randint(1, 4),
                rows=r.choice((1, 5, 40, 300, 1_200)),
                pad=r.choice((0, 0, 0, 0, 3_000)),
                limit_ms=int(spec.give_up_ms * r.choice((1.0, 1.0, 0.6, 0.3))),
                team=r.choice(sorted(settings.tenants)) if settings.tenants else "",
                retries=r.choice((0, 0, 1, 2)),
                way=way,
                way_ms=0 if way == "plain" else r.choice((1, 5, 40, 300, 1_200)),
            )
        )
    return sorted(out, key=lambda request: request.at_ms)


def _at_the_edge(r: random.Random, faults: list[Fault], settings: Settings) -> list[Request]:
    """Requests that come just as the grace of a drain ends: where a limit lies, a mistake of 1 ms shows."""
    drains = [fault for fault in faults if fault.kind == "engine-draining"]
    return [
        Request(
            fault.at_ms + settings.drain_grace_ms + r.randint(-1, 2),
            r.randrange(3),
            r.randrange(settings.dispatchers),
            0,
            r.randint(2, 20),
            limit_ms=1_000,
        )
        for fault in drains
        for _ in range(5)
    ]


def _faults(r: random.Random, settings: Settings, traffic_ms: int, seed: int) -> Iterator[Fault]:
    names = sorted(KINDS)
    for number in range(r.choice((2, 3, 4, 5, 6))):
        kind = r.choices(names, [KINDS[name][0] for name in names])[0]
        own = random.Random(f"{seed}/{number}/{kind}")  # one stream a fault: another one shifts none of it
        fault = draw_fault(own, kind, settings, traffic_ms)
        yield fault
        follows = COMPANIONS.get(kind)
        if follows is not None and own.random() < 0.6:  # faults that tell something only together
            second = draw_fault(own, follows, settings, traffic_ms)
            second.at_ms = fault.at_ms + own.randrange(0, 2_500)
            if follows == "engine-draining":  # longer than the news of it may take
                second.for_ms = own.randint(4_500, 9_000)
            if kind in ("engines-cold", "engine-replaced"):  # enough to push a cold engine over
                second.at_ms, second.amount = second.at_ms + fault.for_ms, float(own.randint(150, 400))
            yield second


def draw_fault(r: random.Random, kind: str, settings: Settings, traffic_ms: int) -> Fault:
    """One fault of a kind."""
    _, where, shortest_ms, longest_ms, least, most = KINDS[kind]
    targets = {"engine": len(settings.engines), "dispatcher": settings.dispatchers}.get(where, 1)
    return Fault(
        kind,
        at_ms=r.randrange(500, traffic_ms),
        for_ms=r.randint(shortest_ms, longest_ms),
        target=r.randrange(targets),
        amount=round(r.uniform(least, most), 3),
    )


# ----------------------------------------------------------------- files


def check(script: Scenario) -> Scenario:
    """What the types do not say; `ScriptError` names the place."""

    def need(holds: bool, place: str, wanted: str, found: Any) -> None:
        if not holds:
            raise ScriptError(place, wanted, shown(found))

    s = script.settings
    need(script.version == VERSION, "version", f"{VERSION}", script.version)
    need(1 <= s.dispatchers <= 16, "settings.dispatchers", "1 to 16", s.dispatchers)
    need(0 < len(s.engines) <= 200, "settings.engines", "1 to 200 engines", len(s.engines))
    need(bool(s.classes), "settings.classes", "one class or more", len(s.classes))
    need(0 < script.length_ms <= 600_000, "length_ms", "1 to 600000", script.length_ms)
    for i, request in enumerate(script.requests):
        place = f"requests[{i}]"
        need(
            0 <= request.klass < len(s.classes), f"{place}.klass", f"0 to {len(s.classes) - 1}", request.klass
        )
        need(
            0 <= request.dispatcher < s.dispatchers, f"{place}.dispatcher", "one of them", request.dispatcher
        )
        need(0 <= request.at_ms < script.length_ms, f"{place}.at_ms", "a time within", request.at_ms)
        need(1 <= request.limit_ms <= 100_000, f"{place}.limit_ms", "1 to 100000", request.limit_ms)
    for i, fault in enumerate(script.faults):
        place = f"faults[{i}]"
        need(fault.kind in KINDS, f"{place}.kind", "one of " + ", ".join(sorted(KINDS)), fault.kind)
        need(0 <= fault.at_ms < script.length_ms, f"{place}.at_ms", "a time within", fault.at_ms)
        need(fault.for_ms >= 0, f"{place}.for_ms", "0 or more", fault.for_ms)
        need(fault.target >= 0, f"{place}.target", "0 or more", fault.target)
    return script


def encode(script: Scenario) -> bytes:
    """A script as a file holds it: JSON, indented, defaults left out."""
    whole = msgspec.to_builtins(script)
    for key in ("settings", "wires"):
        whole[key] = _lean(whole[key], type(getattr(script, key)))
    for key, kind in (("requests", Request), ("faults", Fault)):
        whole[key] = [_lean(item, kind) for item in whole[key]]
    whole["settings"]["classes"] = [_lean(item, ClassSpec) for item in whole["settings"]["classes"]]
    whole["settings"]["engines"] = [_lean(item, EngineSpec) for item in whole["settings"]["engines"]]
    return msgspec.json.format(msgspec.json.encode(whole), indent=1) + b"\n"


def _lean(item: dict[str, Any], kind: type) -> dict[str, Any]:
    defaults = {field.name: field.default for field in msgspec.structs.fields(kind)}
    return {key: value for key, value in item.items() if value != defaults.get(key, msgspec.NODEFAULT)}


def load(path: Path) -> Scenario:
    """Read and check a script's file."""
    try:
        return check(msgspec.json.decode(path.read_bytes(), type=Scenario))
    except OSError as error:
        raise ScriptError(str(path), "a file that can be read", str(error.strerror)) from None
    except ScriptError as error:
        raise ScriptError(f"{path}: {error.place}", error.wanted, error.found) from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise ScriptError(str(path), "a script", str(error)) from None
