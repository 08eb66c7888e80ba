"""`python -m ashcross lab ...`: run, show, replay, shrink, mutants, soak, coverage, report.

Exit codes: 0 without a violation; 1 if a rule broke, a mutant was missed or a fault kind never took effect;
2 for bad input.
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
  python -m ashcross lab shrink 4711 -o tests/scripts/late-after-a-standstill.json
  python -m ashcross lab replay tests/scripts/late-after-a-standstill.json
  python -m ashcross lab mutants --seeds 0:300
  python -m ashcross lab coverage --seeds 0:1000
  python -m ashcross lab soak --seeds 0:20 --jobs 3 --keep found/soak
  python -m ashcross lab report 4711 -o out.svg
"""


KEPT_SCENARIOS = ROOT / "tests" / "scripts"
# No seed of 0:800 finds these mutants. For each there is a kept scenario that does.
SCRIPT_ONLY_MUTANTS = (
    "attempt-surely-on-its-engine",
    "clock-follows-steps",
    "ends-over-unread-calls",
    "goes-on-with-what-was-known",
    "slow-readers-are-not-read",
)
MAX_FINDINGS_SHOWN = 20  # printed findings of one seed of the soak


class Bad(AshcrossError):
    """An invalid command-line argument; the exit code is 2."""

    remedy = "`ashcross lab COMMAND --help` shows the allowed values"


def parser() -> argparse.ArgumentParser:
    """Return the parser of all sub-commands."""
    top = argparse.ArgumentParser(
        prog="ashcross lab",
        description="Simulate dispatchers on a virtual clock and network, inject faults and check the rules.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def command(name: str, description: str) -> argparse.ArgumentParser:
        subparser = commands.add_parser(name, help=description, description=description)
        subparser.add_argument("--json", action="store_true", help="print JSON")
        return subparser

    def add_seeds(subparser: argparse.ArgumentParser, default: str) -> None:
        subparser.add_argument(
            "--seeds", default=default, metavar="A:B", help="seeds A to B - 1 (default %(default)s)"
        )
        subparser.add_argument(
            "--jobs", type=int, default=os.cpu_count() or 1, help="processes (default %(default)s)"
        )

    run = command("run", "run seeds and check each run against the rules")
    add_seeds(run, "0:1000")
    run.add_argument("--mutant", default="", help="known defect to patch into the program")
    run.add_argument("--world", choices=sorted(runner.WORLDS), default="dispatchers", help="what to simulate")
    show = command("show", "print a timeline of one seed or scenario file")
    replay = command("replay", "run one seed or scenario file and check it against the rules")
    shrinker = command("shrink", "write a small scenario that breaks the same rule")
    report = command("report", "plot answers, latencies and faults of one seed or scenario file")
    for subparser in (show, replay, shrinker, report):
        subparser.add_argument("what", metavar="SEED|FILE")
    for subparser in (show, replay, shrinker):
        subparser.add_argument("--mutant", default="", help="known defect to patch into the program")
    shrinker.add_argument("-o", "--output", type=Path, required=True, metavar="FILE")
    shrinker.add_argument(
        "--rule", default="", help="the rule to keep broken (default: the first that breaks)"
    )
    shrinker.add_argument(
        "--budget-s", type=float, default=60.0, help="seconds to spend (default %(default)g)"
    )
    report.add_argument("-o", "--output", type=Path, required=True, metavar="FILE.svg")
    mutant = command("mutants", "patch each known defect into the program and check that a rule breaks")
    mutant.epilog = (
        f"No seed of 0:800 finds {', '.join(SCRIPT_ONLY_MUTANTS)}: these need the kept scenarios. "
        "An installation without a checkout has none; name their folder with --scripts."
    )
    add_seeds(mutant, "0:800")
    mutant.add_argument(
        "--scripts",
        type=Path,
        default=KEPT_SCENARIOS,
        metavar="FOLDER",
        help="kept scenarios, run after the seeds (default: tests/scripts of the checkout)",
    )
    mutant.add_argument(
        "--world", choices=sorted(runner.WORLDS), default="dispatchers", help="world whose mutants are run"
    )
    mutant.add_argument("--only", default="", help="run this mutant alone")
    soak = command("soak", "run real processes on loopback under overlapping faults")
    add_seeds(soak, "0:4")
    soak.set_defaults(jobs=2)
    soak.add_argument("--seconds", type=float, default=20.0, help="time with faults (default %(default)g)")
    soak.add_argument("--dispatchers", type=int, default=10, help="processes per seed (default %(default)s)")
    soak.add_argument("--program", type=Path, default=ROOT, metavar="DIR", help="checkout whose serve is run")
    soak.add_argument(
        "--keep", type=Path, metavar="DIR", help="folder for logs and configurations (default: deleted)"
    )
    cover = command("coverage", "count at which stages of a request each fault kind struck")
    add_seeds(cover, "0:1000")
    return top


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one sub-command and return its exit code."""
    options = parser().parse_args(arguments)
    try:
        return int(globals()[f"_{options.command}"](options))
    except (Bad, ScriptError) as error:
        print(f"ashcross lab: {error}", file=sys.stderr)
        return 2


def _seed_range(text: str) -> range:
    match = re.fullmatch(r"(\d+):(\d+)", text)
    if match is None or int(match.group(1)) >= int(match.group(2)):
        raise Bad("--seeds", "A:B with A less than B", shown(text))
    return range(int(match.group(1)), int(match.group(2)))


def _jobs(options: argparse.Namespace) -> int:
    if not 1 <= options.jobs <= 256:
        raise Bad("--jobs", "1 to 256", str(options.jobs))
    return int(options.jobs)


def _mutant(options: argparse.Namespace) -> str:
    if options.mutant and options.mutant not in mutants.MUTANTS:
        raise Bad("--mutant", f"one of {', '.join(sorted(mutants.MUTANTS))}", shown(options.mutant))
    return str(options.mutant)


def _load_scenario(seed_or_path: str) -> Scenario:
    if seed_or_path.isdigit():
        return draw(int(seed_or_path))
    return load(Path(seed_or_path))


def _run(options: argparse.Namespace) -> int:
    seeds, jobs, mutant = _seed_range(options.seeds), _jobs(options), _mutant(options)
    with _progress(len(seeds), options.json) as on_result:
        summary = runner.run_many(seeds, jobs, mutant, on_result, options.world)
    if options.json:
        print(json.dumps(_as_json(summary)))
    else:
        for seed, texts in sorted(summary.broken.items()):
            print(f"seed {seed}: {texts[0]}" + (f" (and {len(texts) - 1} more)" if len(texts) > 1 else ""))
        for seed, error in sorted(summary.errors.items()):
            print(f"seed {seed} ended in an error:\n{error}")
        if summary.rules:
            print(
                "rules broken, by seeds: "
                + ", ".join(f"{rule} {count}" for rule, count in summary.rules.most_common())
            )
        if summary.seeds:
            totals = (summary.requests, summary.faults, summary.virtual_s)
            means = "{:.1f} requests, {:.1f} faults, {:.1f} virtual seconds".format(
                *(total / summary.seeds for total in totals)
            )
            print(f"mean per seed: {means}; {summary.several} seeds with at least two dispatchers")
        print(summary.line())
    return 1 if summary.bad else 0


def _soak(options: argparse.Namespace) -> int:
    from ashcross.simulation.soak import rig  # imports asyncio, which no other command needs

    if not 1 <= options.dispatchers <= 40:
        raise Bad("--dispatchers", "1 to 40", str(options.dispatchers))
    plans = [
        rig.Plan(
            seed, dispatchers=options.dispatchers, seconds=options.seconds, program=options.program.resolve()
        )
        for seed in _seed_range(options.seeds)
    ]
    failed_seeds = 0
    for outcome in rig.play_many(plans, _jobs(options), options.keep):
        failed_seeds += bool(outcome.findings)
        print(json.dumps(outcome.as_json()) if options.json else outcome.line(), flush=True)
        for finding in outcome.findings[:MAX_FINDINGS_SHOWN] if not options.json else ():
            print(f"    {finding.rule}: {finding.text}", flush=True)
    return 1 if failed_seeds else 0


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
    """A progress bar on standard error, if that is a terminal."""

    def __init__(self, total: int, quiet: bool) -> None:
        self._total, self._bar = total, None if quiet or not sys.stderr.isatty() else self._create_bar()

    def _create_bar(self) -> Any:
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


def _run_one(options: argparse.Namespace, log: Any = None) -> Result:
    scenario = _load_scenario(options.what)
    with mutants.applied(_mutant(options)):
        return world.run(scenario, log)


def _print_verdict(result: Result, as_json: bool) -> int:
    has_failed = bool(result.breaks or result.error)
    if as_json:
        violations = [
            {
                "rule": violation.rule,
                "ms": (violation.at_us - world.START_US) / 1000,
                "text": violation.text,
            }
            for violation in result.breaks
        ]
        print(
            json.dumps(
                {
                    "seed": result.seed,
                    "digest": result.digest,
                    "breaks": violations,
                    "error": result.error,
                    "requests": result.requests,
                    "tally": result.tally,
                }
            )
        )
        return int(has_failed)
    for violation in result.breaks:
        print(f"{(violation.at_us - world.START_US) / 1000:10.3f} ms  {violation.rule}: {violation.text}")
    if result.error:
        print(result.error)
    tally = ", ".join(f"{name} {count}" for name, count in result.tally.items())
    print(f"{'broken' if has_failed else 'holds'}: {tally}; digest {result.digest}")
    return int(has_failed)


def _show(options: argparse.Namespace) -> int:
    scenario = _load_scenario(options.what)
    if not options.json:
        settings = scenario.settings
        print(
            f"{settings.dispatchers} dispatchers, {len(settings.engines)} engines, "
            f"{len(scenario.requests)} requests"
        )
        for spec in settings.classes:
            print(f"  class {spec.name}: {spec.effect}, group {spec.group}, kinds {spec.kinds or 'any'}")
    return _print_verdict(_run_one(options, None if options.json else print), options.json)


def _replay(options: argparse.Namespace) -> int:
    return _print_verdict(_run_one(options), options.json)


def _shrink(options: argparse.Namespace) -> int:
    scenario, mutant = _load_scenario(options.what), _mutant(options)
    with mutants.applied(mutant):
        broken = shrink.breaks(scenario)
        rule = options.rule or next(iter(broken), "")
        if rule not in broken:
            found = f"a scenario that breaks {', '.join(broken) or 'no rule'}"
            raise Bad(str(options.what), f"a scenario that breaks {rule or 'a rule'}", found)
        best = shrink.shrink(scenario, rule, options.budget_s)
    best.scenario.note = f"breaks {rule}: {best.text}"
    options.output.write_bytes(encode(best.scenario))
    record = {
        "rule": rule,
        "text": best.text,
        "tries": best.tries,
        "file": str(options.output),
        "faults": len(best.scenario.faults),
        "requests": len(best.scenario.requests),
    }
    if options.json:
        print(json.dumps(record))
    else:
        size = f"{record['faults']} faults and {record['requests']} requests"
        print(f"{rule}: {best.text}\n{size} left after {best.tries} runs, written to {options.output}")
    return 1


def _mutants(options: argparse.Namespace) -> int:
    seeds, jobs = _seed_range(options.seeds), _jobs(options)
    if options.only and options.only not in mutants.MUTANTS:
        raise Bad("--only", f"one of {', '.join(sorted(mutants.MUTANTS))}", shown(options.only))
    kept_scenarios = tuple(load(path) for path in sorted(options.scripts.glob("*.json")))
    results = mutants.find_mutants(seeds, jobs, options.only, kept_scenarios, options.world)
    if options.json:
        print(json.dumps([result.as_json() for result in results]))
    else:
        for result in results:
            print(result.line())
    missed = [result.name for result in results if not result.found]
    if not options.json:
        print(
            f"{len(results) - len(missed)} of {len(results)} found"
            + (f"; missed: {', '.join(missed)}" if missed else "")
        )
    return 1 if missed else 0


def _coverage(options: argparse.Namespace) -> int:
    summary = runner.run_many(_seed_range(options.seeds), _jobs(options))
    table = coverage.CoverageTable(summary.coverage)
    print(json.dumps(table.as_json()) if options.json else table.text())
    uncovered = table.uncovered()
    if uncovered:
        print(f"no effect in {summary.seeds} seeds: {', '.join(uncovered)}", file=sys.stderr)
    return 1 if uncovered else 0


def _report(options: argparse.Namespace) -> int:
    from ashcross.simulation import report

    if options.output.suffix != ".svg":
        raise Bad("-o", "a name that ends with .svg", shown(str(options.output)))
    scenario = _load_scenario(options.what)
    result = world.run(scenario)
    figures = report.write_plot(scenario, result, options.output)
    print(
        json.dumps(figures)
        if options.json
        else f"{options.output}: " + ", ".join(f"{name} {value}" for name, value in figures.items())
    )
    return 1 if result.breaks or result.error else 0
