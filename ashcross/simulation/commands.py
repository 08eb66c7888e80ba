"""`python -m ashcross lab ...`: run, show, replay, shrink, mutants, coverage, report.

Exit codes: 0 all holds, 1 a rule broke (or a mutant was missed, or a kind of fault never bit), 2 bad input.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from ashcross.errors import AshcrossError, shown
from ashcross.simulation import coverage, mutants, runner, shrink, world
from ashcross.simulation.processes import ROOT
from ashcross.simulation.scenario import Scenario, ScriptError, draw, encode, load
from ashcross.simulation.world import Result

EXAMPLES = """examples:
  python -m ashcross lab run --seeds 0:10000 --jobs 8
  python -m ashcross lab show 4711
  python -m ashcross lab shrink 4711 -o tests/scripts/late-after-a-pause.json
  python -m ashcross lab replay tests/scripts/late-after-a-pause.json
  python -m ashcross lab mutants --seeds 0:300
  python -m ashcross lab coverage --seeds 0:1000
  python -m ashcross lab soak --seeds 0:20 --jobs 3 --keep found/soak
  python -m ashcross lab report 4711 -o out.svg
"""


KEPT_SCRIPTS = ROOT / "tests" / "scripts"
# mutants that no seed of 0:800 finds; a kept script finds each
SCRIPT_ONLY_MUTANTS = (
    "clock-follows-steps",
    "ends-over-unread-calls",
    "goes-on-with-what-was-known",
    "slow-readers-are-not-read",
)
SHOWN = 20  # findings of a seed of the soak


class Bad(AshcrossError):
    """Input that cannot be used: exit code 2."""

    remedy = "`ashcross lab COMMAND --help` tells what can stand there"


def parser() -> argparse.ArgumentParser:
    """All sub-commands."""
    top = argparse.ArgumentParser(
        prog="ashcross lab",
        description="The network code on a virtual clock, against faults from seeds, judged by the rules.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def command(name: str, what: str) -> argparse.ArgumentParser:
        made = commands.add_parser(name, help=what, description=what)
        made.add_argument("--json", action="store_true", help="print JSON")
        return made

    def seeds(made: argparse.ArgumentParser, default: str) -> None:
        made.add_argument(
            "--seeds", default=default, metavar="A:B", help="seeds A to B - 1 (default %(default)s)"
        )
        made.add_argument(
            "--jobs", type=int, default=os.cpu_count() or 1, help="processes (default %(default)s)"
        )

    run = command("run", "run seeds and judge them")
    seeds(run, "0:1000")
    run.add_argument("--mutant", default="", help="with this defect in the program")
    run.add_argument("--world", choices=sorted(runner.WORLDS), default="dispatchers", help="what is run")
    show = command("show", "a readable timeline of one seed or script")
    replay = command("replay", "run one seed or script and judge it")
    shrinker = command("shrink", "find the smallest script that breaks the same rule")
    report = command("report", "plot service, refusals and latency of one seed or script, faults marked")
    for made in (show, replay, shrinker, report):
        made.add_argument("what", metavar="SEED|FILE")
    for made in (show, replay, shrinker):
        made.add_argument("--mutant", default="", help="with this defect in the program")
    shrinker.add_argument("-o", "--output", type=Path, required=True, metavar="FILE")
    shrinker.add_argument(
        "--rule", default="", help="the rule to keep broken (default: the first that breaks)"
    )
    shrinker.add_argument("--budget-s", type=float, default=60.0, help="time to spend (default %(default)g)")
    report.add_argument("-o", "--output", type=Path, required=True, metavar="FILE.svg")
    mutant = command("mutants", "put each known defect into the program and see whether it is found")
    mutant.epilog = (
        f"No seed of 0:800 finds {', '.join(SCRIPT_ONLY_MUTANTS)}: these need the kept scripts. "
        "An installation without a checkout has none; name their folder with --scripts."
    )
    seeds(mutant, "0:800")
    mutant.add_argument(
        "--scripts",
        type=Path,
        default=KEPT_SCRIPTS,
        metavar="FOLDER",
        help="kept scripts, run after the seeds (default: tests/scripts of the checkout)",
    )
    mutant.add_argument("--world", choices=sorted(runner.WORLDS), default="dispatchers", help="whose mutants")
    mutant.add_argument("--only", default="", help="one mutant alone")
    soak = command("soak", "play real processes on loopback against faults that overlap")
    seeds(soak, "0:4")
    soak.set_defaults(jobs=2)
    soak.add_argument("--seconds", type=float, default=20.0, help="of faults (default %(default)g)")
    soak.add_argument("--dispatchers", type=int, default=10, help="processes a seed (default %(default)s)")
    soak.add_argument("--program", type=Path, default=ROOT, metavar="DIR", help="whose serve is played")
    soak.add_argument(
        "--keep", type=Path, metavar="DIR", help="where logs and configurations stay (default: nowhere)"
    )
    cover = command("coverage", "how often each kind of fault met each stage of a request's life")
    seeds(cover, "0:1000")
    return top


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command; its exit code."""
    asked = parser().parse_args(arguments)
    try:
        return int(globals()[f"_{asked.command}"](asked))
    except (Bad, ScriptError) as error:
        print(f"ashcross lab: {error}", file=sys.stderr)
        return 2


def _seed_range(text: str) -> range:
    match = re.fullmatch(r"(\d+):(\d+)", text)
    if match is None or int(match.group(1)) >= int(match.group(2)):
        raise Bad("--seeds", "A:B with A under B", shown(text))
    return range(int(match.group(1)), int(match.group(2)))


def _jobs(asked: argparse.Namespace) -> int:
    if not 1 <= asked.jobs <= 256:
        raise Bad("--jobs", "1 to 256", str(asked.jobs))
    return int(asked.jobs)


def _mutant(asked: argparse.Namespace) -> str:
    if asked.mutant and asked.mutant not in mutants.MUTANTS:
        raise Bad("--mutant", f"one of {', '.join(sorted(mutants.MUTANTS))}", shown(asked.mutant))
    return str(asked.mutant)


def _script(what: str) -> Scenario:
    if what.isdigit():
        return draw(int(what))
    return load(Path(what))


def _run(asked: argparse.Namespace) -> int:
    seeds, jobs, mutant = _seed_range(asked.seeds), _jobs(asked), _mutant(asked)
    with _progress(len(seeds), asked.json) as told:
        summary = runner.run_many(seeds, jobs, mutant, told, asked.world)
    if asked.json:
        print(json.dumps(_as_json(summary)))
    else:
        for seed, texts in sorted(summary.broken.items()):
            print(f"seed {seed}: {texts[0]}" + (f" (and {len(texts) - 1} more)" if len(texts) > 1 else ""))
        for seed, error in sorted(summary.errors.items()):
            print(f"seed {seed} ended in an error:\n{error}")
        if summary.rules:
            print(
                "rules broken, by seeds: "
                + ", ".join(f"{rule} {n}" for rule, n in summary.rules.most_common())
            )
        if summary.seeds:
            means = (summary.requests, summary.faults, summary.virtual_s)
            of = "{:.1f} requests, {:.1f} faults, {:.1f} virtual seconds".format(
                *(m / summary.seeds for m in means)
            )
            print(f"a seed has {of} on average; {summary.several} seeds with two dispatchers or more")
        print(summary.line())
    return 1 if summary.bad else 0


def _soak(asked: argparse.Namespace) -> int:
    from ashcross.simulation.soak import rig  # its parties need asyncio, which nothing else here does

    if not 1 <= asked.dispatchers <= 40:
        raise Bad("--dispatchers", "1 to 40", str(asked.dispatchers))
    plans = [
        rig.Plan(seed, dispatchers=asked.dispatchers, seconds=asked.seconds, program=asked.program.resolve())
        for seed in _seed_range(asked.seeds)
    ]
    bad = 0
    for outcome in rig.play_many(plans, _jobs(asked), asked.keep):
        bad += bool(outcome.findings)
        print(json.dumps(outcome.as_json()) if asked.json else outcome.line(), flush=True)
        for finding in outcome.findings[:SHOWN] if not asked.json else ():
            print(f"    {finding.rule}: {finding.text}", flush=True)
    return 1 if bad else 0


def _as_json(summary: runner.Summary) -> dict[str, Any]:
    return {
        "seeds": summary.seeds,
        "broken": summary.bad,
        "requests": summary.requests,
        "faults": summary.faults,
        "virtual_s": round(summary.virtual_s, 3),
        "wall_s": round(summary.wall_s, 3),
        "digest": summary.digest(),
        "several_dispatchers": summary.several,
        "rules": dict(summary.rules),
        "tally": dict(summary.tally),
        "breaks": {str(seed): texts for seed, texts in sorted(summary.broken.items())},
        "errors": {str(seed): text for seed, text in sorted(summary.errors.items())},
    }


class _progress:
    """A bar on standard error, where that is a terminal."""

    def __init__(self, total: int, quiet: bool) -> None:
        self._total, self._bar = total, None if quiet or not sys.stderr.isatty() else self._make()

    def _make(self) -> Any:
        from rich.console import Console
        from rich.progress import Progress

        return Progress(console=Console(stderr=True))

    def __enter__(self) -> Any:
        if self._bar is None:
            return None
        bar = self._bar
        bar.start()
        task = bar.add_task("seeds", total=self._total)
        return lambda result: bar.advance(task)

    def __exit__(self, *error: object) -> None:
        if self._bar is not None:
            self._bar.stop()


def _one(asked: argparse.Namespace, log: Any = None) -> Result:
    found = _script(asked.what)
    with mutants.applied(_mutant(asked)):
        return world.run(found, log)


def _verdict(result: Result, as_json: bool) -> int:
    bad = bool(result.breaks or result.error)
    if as_json:
        breaks = [
            {"rule": one.rule, "ms": (one.at_us - world.START_US) / 1000, "text": one.text}
            for one in result.breaks
        ]
        print(
            json.dumps(
                {
                    "seed": result.seed,
                    "digest": result.digest,
                    "breaks": breaks,
                    "error": result.error,
                    "requests": result.requests,
                    "tally": result.tally,
                }
            )
        )
        return int(bad)
    for one in result.breaks:
        print(f"{(one.at_us - world.START_US) / 1000:10.3f} ms  {one.rule}: {one.text}")
    if result.error:
        print(result.error)
    tally = ", ".join(f"{name} {count}" for name, count in result.tally.items())
    print(f"{'broken' if bad else 'holds'}: {tally}; digest {result.digest}")
    return int(bad)


def _show(asked: argparse.Namespace) -> int:
    found = _script(asked.what)
    if not asked.json:
        s = found.settings
        print(f"{s.dispatchers} dispatchers, {len(s.engines)} engines, {len(found.requests)} requests")
        for kind in s.classes:
            print(f"  class {kind.name}: {kind.effect}, group {kind.group}, kinds {kind.kinds or 'any'}")
    return _verdict(_one(asked, None if asked.json else print), asked.json)


def _replay(asked: argparse.Namespace) -> int:
    return _verdict(_one(asked), asked.json)


def _shrink(asked: argparse.Namespace) -> int:
    found, mutant = _script(asked.what), _mutant(asked)
    with mutants.applied(mutant):
        broken = shrink.breaks(found)
        rule = asked.rule or next(iter(broken), "")
        if rule not in broken:
            found_rules = ", ".join(broken) or "none"
            raise Bad(str(asked.what), f"a script that breaks {rule or 'a rule'}", str(found_rules))
        best = shrink.shrink(found, rule, asked.budget_s)
    best.scenario.note = f"breaks {rule}: {best.text}"
    asked.output.write_bytes(encode(best.scenario))
    told = {
        "rule": rule,
        "text": best.text,
        "tries": best.tries,
        "file": str(asked.output),
        "faults": len(best.scenario.faults),
        "requests": len(best.scenario.requests),
    }
    if asked.json:
        print(json.dumps(told))
    else:
        left = f"{told['faults']} faults and {told['requests']} requests"
        print(f"{rule}: {best.text}\n{left} left after {best.tries} tries, in {asked.output}")
    return 1


def _mutants(asked: argparse.Namespace) -> int:
    seeds, jobs = _seed_range(asked.seeds), _jobs(asked)
    if asked.only and asked.only not in mutants.MUTANTS:
        raise Bad("--only", f"one of {', '.join(sorted(mutants.MUTANTS))}", shown(asked.only))
    kept = tuple(load(path) for path in sorted(asked.scripts.glob("*.json")))
    found = mutants.find_mutants(seeds, jobs, asked.only, kept, asked.world)
    if asked.json:
        print(json.dumps([row.as_json() for row in found]))
    else:
        for row in found:
            print(row.line())
    missed = [row.name for row in found if not row.found]
    if not asked.json:
        print(
            f"{len(found) - len(missed)} of {len(found)} found"
            + (f"; missed: {', '.join(missed)}" if missed else "")
        )
    return 1 if missed else 0


def _coverage(asked: argparse.Namespace) -> int:
    summary = runner.run_many(_seed_range(asked.seeds), _jobs(asked))
    table = coverage.CoverageTable(summary.coverage)
    print(json.dumps(table.as_json()) if asked.json else table.text())
    never = table.uncovered()
    if never:
        print(f"never bit in {summary.seeds} seeds: {', '.join(never)}", file=sys.stderr)
    return 1 if never else 0


def _report(asked: argparse.Namespace) -> int:
    from ashcross.simulation import report

    if asked.output.suffix != ".svg":
        raise Bad("-o", "a name that ends with .svg", shown(str(asked.output)))
    found = _script(asked.what)
    result = world.run(found)
    figures = report.write_plot(found, result, asked.output)
    print(
        json.dumps(figures)
        if asked.json
        else f"{asked.output}: " + ", ".join(f"{k} {v}" for k, v in figures.items())
    )
    return 1 if result.breaks or result.error else 0
