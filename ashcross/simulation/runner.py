"""Runs many seeds in several processes and sums up the results.

The summary does not depend on the order of the seeds nor on the number of processes.
"""

from __future__ import annotations

import hashlib
import multiprocessing
import signal
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import FrameType

from ashcross.simulation import cluster_world as tier_world
from ashcross.simulation import mutants, scenario, world
from ashcross.simulation.world import Result

HANG_S = 60.0  # real time after which a seed counts as hung; a seed takes about 0.1 s


class Hung(BaseException):
    """A seed did not end in time. A `BaseException`, so that no `except Exception` hides it."""


@contextmanager
def watchdog(seconds: float) -> Iterator[None]:
    """Raise `Hung` in the main thread after `seconds` of real time."""

    def raise_hung(signal_number: int, frame: FrameType | None) -> None:
        raise Hung(f"no end after {seconds:g} s of real time")

    previous_handler = signal.signal(signal.SIGALRM, raise_hung)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)


def run_seed(seed: int, mutant: str = "", world_name: str = "dispatchers") -> Result:
    """Draw the scenario of a seed and run it, with the defect of `mutant` in the program unless empty."""
    try:
        with watchdog(HANG_S), mutants.applied(mutant):
            return WORLDS[world_name](seed)
    except Hung as error:
        return Result(seed, "", [], {}, 0, 0, 0.0, 0, {}, error=f"Hung: {error}")


WORLDS: dict[str, Callable[[int], Result]] = {
    "dispatchers": lambda seed: world.run(scenario.draw(seed)),
    "tier": lambda seed: tier_world.run(tier_world.draw(seed)),
}


def _run_job(job: tuple[int, str, str]) -> Result:
    return run_seed(*job)


def results(
    seeds: Iterable[int], jobs: int, mutant: str = "", world_name: str = "dispatchers"
) -> Iterator[Result]:
    """Run seeds in `jobs` processes and yield each result as it ends, in any order."""
    pending = [(seed, mutant, world_name) for seed in seeds]
    if jobs <= 1:
        yield from map(_run_job, pending)
        return
    context = multiprocessing.get_context("fork")
    with context.Pool(jobs, initializer=mutants.ignore_interrupt) as pool:
        yield from pool.imap_unordered(_run_job, pending, chunksize=4)


@dataclass(slots=True)
class Summary:
    """The results of many seeds, summed up."""

    seeds: int = 0
    requests: int = 0
    faults: int = 0
    virtual_s: float = 0.0
    wall_s: float = 0.0
    several: int = 0  # seeds with at least two dispatchers
    overdue: int = 0
    broken: dict[int, list[str]] = field(default_factory=dict)  # seed -> rule and text of each violation
    errors: dict[int, str] = field(default_factory=dict)  # seed -> text of the exception that ended it
    rules: Counter[str] = field(default_factory=Counter)  # rule -> number of seeds that broke it
    tally: Counter[str] = field(default_factory=Counter)
    coverage: dict[str, Counter[str]] = field(default_factory=dict)
    digests: dict[int, str] = field(default_factory=dict)

    def add(self, result: Result) -> None:
        """Add the result of one seed."""
        self.seeds += 1
        self.requests += result.requests
        self.faults += result.faults
        self.virtual_s += result.virtual_s
        self.several += result.dispatchers > 1
        self.overdue += result.overdue
        self.digests[result.seed] = result.digest
        self.tally.update(result.tally)
        if result.error:
            self.errors[result.seed] = result.error
        if result.breaks:
            self.broken[result.seed] = [f"{violation.rule}: {violation.text}" for violation in result.breaks]
            self.rules.update({violation.rule for violation in result.breaks})
        for fault_kind, stages in result.coverage.items():
            self.coverage.setdefault(fault_kind, Counter()).update(stages)

    @property
    def bad(self) -> int:
        """Number of seeds that broke a rule, raised an exception or hung."""
        return len(set(self.broken) | set(self.errors))

    def digest(self) -> str:
        """Return a digest over the event traces of all seeds, whatever the order in which they ran."""
        combined = hashlib.blake2b(digest_size=8)
        for seed in sorted(self.digests):
            combined.update(f"{seed}:{self.digests[seed]};".encode())
        return combined.hexdigest()

    def line(self) -> str:
        """Return the last line that a run prints."""
        rate = self.seeds / self.wall_s if self.wall_s else 0.0
        return (
            f"{self.seeds} seeds, {self.bad} broken, {self.requests} requests, {self.faults} faults, "
            f"{rate:.1f} seeds/s, digest {self.digest()}"
        )


def run_many(
    seeds: Iterable[int],
    jobs: int,
    mutant: str = "",
    on_result: Callable[[Result], None] | None = None,
    world_name: str = "dispatchers",
) -> Summary:
    """Run seeds and return the summary; after an interrupt it covers the seeds that had ended."""
    summary, began_s = Summary(), time.monotonic()
    try:
        for result in results(seeds, jobs, mutant, world_name):
            summary.add(result)
            if on_result is not None:
                on_result(result)
    except KeyboardInterrupt:
        pass
    summary.wall_s = time.monotonic() - began_s
    return summary
