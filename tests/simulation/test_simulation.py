"""The laboratory: its network, its judge at the edges, its scripts, and that it stays out of `serve`."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ashcross.decisions.final_answers import FinalAnswers
from ashcross.dispatcher.core import DispatcherCore
from ashcross.dispatcher.requests import RequestLifecycle
from ashcross.simulation import commands, mutants, runner, shrink, world
from ashcross.simulation.clock import Timeline
from ashcross.simulation.network import End, Listener, Network
from ashcross.simulation.scenario import (
    KINDS,
    ClassSpec,
    EngineSpec,
    Fault,
    NetworkSettings,
    Request,
    Scenario,
    ScriptError,
    Settings,
    draw,
    encode,
    load,
)

ROOT = Path(__file__).resolve().parents[2]
KEPT = sorted((ROOT / "tests" / "scripts").glob("*.json"))


def small(*requests: Request, faults: tuple[Fault, ...] = (), **settings: Any) -> Scenario:
    """One dispatcher, two engines, one safe class."""
    base = {
        "classes": [ClassSpec("lookup", aim_ms=600, give_up_ms=3_000)],
        "engines": [EngineSpec("e0"), EngineSpec("e1", "box-b")],
        "dispatchers": 1,
    } | settings
    wires = NetworkSettings(latency_us=100, jitter_us=0, wake_us=10)
    return Scenario(Settings(**base), wires, list(requests), list(faults), length_ms=24_000)  # type: ignore[arg-type]


def rules(script: Scenario) -> list[str]:
    result = world.run(script)
    assert not result.error, result.error
    return [one.rule for one in result.breaks]


# ------------------------------------------------------------------ network


class Tap:
    def opened(self, end: End) -> None: ...
    def sent(self, end: End, data: bytes) -> None: ...
    def arrived(self, end: End, data: bytes) -> None: ...
    def ended(self, end: End, how: str) -> None: ...
    def broken_off(self, end: End) -> None: ...
    def shut(self, end: End) -> None: ...


class Pair:
    """A connection between two parties that note what they hear."""

    def __init__(self, window: int = 65_536, piece: int = 0) -> None:
        self.times = Timeline(0)
        self.network = Network(self.times, 1, Tap(), 100, 50, window)
        self.at = ("10.0.0.1", 1)
        self.network.piece[self.at] = piece
        self.ends: list[End] = []
        self.network.listen(Listener(self.at, 1, lambda listener: self.ends.append(listener.queue.pop())))
        self.end = self.network.dial("10.0.0.2", self.at, lambda end: None)
        self.pass_ms(1)

    @property
    def peer(self) -> End:
        return self.ends[0]

    def pass_ms(self, ms: int) -> None:
        self.times.run(self.times.now_us + ms * 1000, 1 << 20)


@pytest.mark.parametrize("piece", [0, 1, 7])
def test_bytes_come_whole_and_in_order_however_they_are_cut(piece: int) -> None:
    pair = Pair(piece=piece)
    data = bytes(range(256)) * 8
    assert pair.end.up
    assert pair.end.send(data) == len(data)
    pair.pass_ms(10)
    assert pair.peer.read() == data


def test_a_receiver_that_does_not_read_bounds_its_sender() -> None:
    pair = Pair(window=1_000)
    assert pair.end.send(b"x" * 1_500) == 1_000
    assert pair.end.send(b"y") == 0
    pair.pass_ms(5)
    assert pair.end.room() == 0
    told: list[int] = []
    pair.end.heard = lambda end: told.append(end.room())
    pair.peer.read(600)
    assert told == [600]


def test_a_held_direction_keeps_what_is_sent_until_it_is_mended() -> None:
    pair = Pair()
    pair.network.hold(pair.end, True)
    pair.end.send(b"lost?")
    pair.peer.send(b"the other way")
    pair.pass_ms(500)
    assert not pair.peer.received
    assert pair.end.read() == b"the other way"
    pair.network.hold(pair.end, False)
    pair.pass_ms(5)
    assert pair.peer.read() == b"lost?"


def test_a_close_with_unread_bytes_is_a_reset_and_what_came_before_it_stays() -> None:
    pair = Pair()
    pair.end.send(b"unread")
    pair.peer.send(b"answer")
    pair.pass_ms(5)
    pair.peer.close()
    pair.pass_ms(5)
    assert pair.end.error
    assert pair.end.read() == b"answer"


def test_nobody_listens_and_a_full_queue() -> None:
    pair = Pair()
    refused = pair.network.dial("10.0.0.2", ("10.0.0.9", 1), lambda end: None)
    pair.network.listen(Listener(("10.0.0.8", 1), 1, lambda listener: None))
    first, second = (pair.network.dial("10.0.0.2", ("10.0.0.8", 1), lambda end: None) for _ in range(2))
    pair.pass_ms(1_000)
    assert refused.error
    assert first.up
    assert not second.up
    assert not second.error


# -------------------------------------------------------------------- rules


@pytest.mark.parametrize(("late_ms", "broken"), [(249, False), (251, True)])
def test_a_send_249_ms_after_a_drain_was_told_is_kept_and_251_ms_breaks_the_rule(
    late_ms: int, broken: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The program hears of the drain 600 ms late; the request reaches it just before or after the limit."""
    whole = DispatcherCore.receive_endpoint_list_event
    monkeypatch.setattr(
        DispatcherCore,
        "receive_endpoint_list_event",
        lambda loop, news: loop.timer.call_later(0.6, whole, loop, news),
    )
    script = small(
        Request(at_ms=900, client=0, dispatcher=0, klass=0, work_ms=5),  # opens the connections
        Request(at_ms=1_000 + late_ms, client=0, dispatcher=0, klass=0, work_ms=5),
        faults=(Fault("engine-draining", at_ms=1_000, for_ms=2_000),),
        engines=[EngineSpec("e0")],
    )
    assert ("drain" in rules(script)) is broken


def test_the_guard_at_the_deadline_answers_where_the_module_never_does(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(FinalAnswers, "reject_or_fail", lambda answers, request, now, reason: None)
    script = small(
        *(Request(at_ms=500 + i, client=i % 3, dispatcher=0, klass=0) for i in range(30)),
        faults=tuple(Fault("engine-silent", at_ms=400, for_ms=9_000, target=i) for i in range(2)),
    )
    result = world.run(script)
    assert result.overdue
    assert not result.breaks
    monkeypatch.setattr(RequestLifecycle, "_expire", lambda lifecycle, request: None)
    assert "answered" in rules(script)


def test_a_world_without_faults_serves_all() -> None:
    requests = [Request(at_ms=300 + 40 * i, client=i % 4, dispatcher=0, klass=0) for i in range(80)]
    result = world.run(small(*requests))
    assert (result.breaks, result.error) == ([], "")
    assert result.tally["served"] == result.tally["taken"] == 80


@pytest.mark.parametrize("path", KEPT, ids=lambda path: path.stem)
def test_scripts_that_once_broke_a_rule_hold(path: Path) -> None:
    assert rules(load(path)) == []


# what each kept script was shrunk from: the defect that it shows, and the rule that it breaks
SHOWN = {
    "clock-set-back": ("clock-follows-steps", "answered"),
    "cold-taken-for-warm": ("cold-taken-for-warm", "cold"),
    "descriptors-run-out": ("accepts-unbounded", "bounds"),
    "ends-with-an-open-request": ("ends-with-open-requests", "answered"),
    "start-goes-on-with-its-known-list": ("goes-on-with-what-was-known", "drain"),
    "herd-sends-by-an-old-list": ("sends-before-the-backlog", "drain"),
    "late-after-a-standstill": ("late-after-a-standstill", "answered"),
    "order-key-not-told": ("order-key-not-told", "order"),
    "crowd-after-a-standstill": ("ends-over-unread-calls", "answered"),
    "stuck-queries-after-their-answer": ("stuck-queries-go-out", "answered"),
    "unread-behind-a-slow-reader": ("slow-readers-are-not-read", "answered"),
}


@pytest.mark.parametrize("path", KEPT, ids=lambda path: path.stem)
def test_scripts_break_their_rule_with_the_defect_that_they_were_shrunk_from(path: Path) -> None:
    defect, rule = SHOWN[path.stem]
    with mutants.applied(defect):
        assert rule in rules(load(path))


# ------------------------------------------------------------- determinism


def test_a_seed_has_one_digest_whatever_the_hash_seed_and_the_jobs() -> None:
    def told(hash_seed: str, jobs: str) -> Any:
        command = [sys.executable, "-m", "ashcross", "lab", "run", "--seeds", "0:6", "--jobs", jobs, "--json"]
        done = subprocess.run(
            command, cwd=ROOT, env=os.environ | {"PYTHONHASHSEED": hash_seed}, capture_output=True, check=True
        )
        return json.loads(done.stdout)["digest"]

    assert told("1", "1") == told("2", "1") == told("77", "3")


def test_the_order_of_seeds_does_not_matter() -> None:
    there, back = (runner.run_many(order, 1) for order in (range(5), range(4, -1, -1)))
    assert there.digest() == back.digest()
    assert there.tally["served"] > 100


def test_one_more_fault_shifts_nothing_else() -> None:
    one, other = draw(7), draw(7)
    other.faults.append(Fault("bulletin-doubled", at_ms=20_000, for_ms=1))
    assert one.requests == other.requests
    assert one.faults == other.faults[:-1]
    assert world.run(one).tally == world.run(other).tally


def test_draws_cover_what_they_should() -> None:
    scripts = [draw(seed) for seed in range(300)]
    assert {fault.kind for script in scripts for fault in script.faults} == set(KINDS)
    assert sum(script.settings.dispatchers > 1 for script in scripts) > 200
    assert sum(len(script.requests) for script in scripts) / 300 >= 60
    assert sum(len(script.faults) for script in scripts) / 300 >= 3


# ------------------------------------------------------------------- files


def test_a_script_comes_back_from_its_file_as_it_was(tmp_path: Path) -> None:
    script, path = draw(11), tmp_path / "s.json"
    path.write_bytes(encode(script))
    assert load(path) == script


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('"kind": "engine-killed', '"kind": "engine-eaten', "faults[0].kind: wanted one of"),
        ('"at_ms": ', '"at_msec": ', "unknown field `at_msec`"),
        ('"length_ms": 28000', '"length_ms": -1', "length_ms: wanted 1 to 600000, found -1"),
        ('"version": 1', '"version": 9', "version: wanted 1, found 9"),
        ("{", "[", ""),
    ],
)
def test_a_file_that_cannot_be_used_is_told_by_its_place(
    tmp_path: Path, old: str, new: str, told: str
) -> None:
    path = tmp_path / "s.json"
    fault = Fault("engine-killed", 1_000)
    text = encode(Scenario(small().settings, NetworkSettings(), [], [fault])).decode()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(ScriptError) as error:
        load(path)
    assert str(path) in str(error.value)
    assert told in str(error.value)


# ---------------------------------------------------------------- commands


@pytest.mark.parametrize(
    "arguments",
    [
        ["run", "--seeds", "9:3"],
        ["run", "--seeds", "x"],
        ["run", "--seeds", "0:1", "--jobs", "0"],
        ["replay", "no-such-file.json"],
        ["replay", "3", "--mutant", "no-such"],
        ["mutants", "--only", "no-such"],
        ["report", "3", "-o", "x.png"],
    ],
)
def test_bad_input_is_told_with_what_was_wanted(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert commands.main(arguments) == 2
    assert "wanted" in (told := capsys.readouterr().err) or "cannot be read" in told


@pytest.mark.parametrize("name", commands.SCRIPT_ONLY_MUTANTS)
def test_mutants_command_runs_the_kept_scripts_by_default(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Without the kept scripts the plain command misses these mutants: no seed of its range finds them."""
    assert commands.main(["mutants", "--only", name, "--seeds", "0:1"]) == 0
    assert "1 of 1 found" in capsys.readouterr().out


def test_a_broken_seed_shrinks_to_a_file_that_breaks_the_same_rule(tmp_path: Path) -> None:
    path = tmp_path / "small.json"
    asked = ["shrink", "2", "--mutant", "second-answer", "-o", str(path), "--budget-s", "20"]
    assert commands.main(asked) == 1
    script = load(path)
    assert len(script.requests) == 1
    assert not script.faults
    with mutants.applied("second-answer"):
        assert "answered" in shrink.breaks(script)
    assert shrink.breaks(script) == {}


def test_a_seed_that_raises_is_told_as_that_seed(monkeypatch: pytest.MonkeyPatch) -> None:
    def raises(engine: Any, *more: Any) -> None:
        raise RuntimeError("the lab's own fault")

    monkeypatch.setattr(world.World, "_look", raises)
    summary = runner.run_many(range(2), 1)
    assert set(summary.errors) == {0, 1}
    assert "the lab's own fault" in summary.errors[0]
    assert summary.bad == 2


def test_a_seed_that_never_ends_is_told_and_the_others_go_on(monkeypatch: pytest.MonkeyPatch) -> None:
    whole = world.run

    def run(script: Scenario, log: Any = None) -> Any:
        while script.seed == 1:
            pass
        return whole(script, log)

    monkeypatch.setattr(world, "run", run)
    monkeypatch.setattr(runner, "HANG_S", 2.0)
    summary = runner.run_many(range(3), 1)
    assert list(summary.errors) == [1]
    assert "Hung" in summary.errors[1]
    assert summary.seeds == 3


def test_a_report_is_the_same_file_for_the_same_seed(tmp_path: Path) -> None:
    for name in ("a.svg", "b.svg"):
        commands.main(["report", "3", "-o", str(tmp_path / name)])
    assert (tmp_path / "a.svg").read_bytes() == (tmp_path / "b.svg").read_bytes()


def test_serve_imports_nothing_of_the_lab_or_its_libraries() -> None:
    code = (
        "import sys; import ashcross.cli, ashcross.service.process, ashcross.logs; "
        "print(' '.join(sorted({name.split('.')[0] for name in sys.modules}"
        " | {name for name in sys.modules if name.startswith('ashcross.')})))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True, text=True)
    loaded = set(done.stdout.split())
    assert not loaded & {
        "numpy",
        "msgspec",
        "zstandard",
        "hdrh",
        "rich",
        "matplotlib",
        "OpenSSL",
        "lark",
        "click",
    }
    switched_on = ("ashcross.simulation", "ashcross.cluster", "ashcross.quotas", "ashcross.operator_config")
    assert not {name for name in loaded if name.startswith(switched_on)}
