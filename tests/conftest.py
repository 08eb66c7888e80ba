"""Fixtures shared by several test files."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator
from pathlib import Path
from typing import Any

import pytest

from ashcross.simulation.faults import shim
from tests.harness.peers import TestBed

MakeTestBed = Callable[..., TestBed]

LOG_LINES = 60  # the last lines of each process's log that the report of a failed test shows


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Add the logs of a failed test's processes to its report, as its temporary folder may be gone later."""
    report = yield
    arguments: dict[str, Any] = getattr(item, "funcargs", {})
    folder = arguments.get("tmp_path")
    if report.failed and isinstance(folder, Path):
        for path in sorted((*folder.rglob("*.log"), *folder.rglob("log.txt"))):
            lines = path.read_text(encoding="utf-8", errors="replace").splitlines()[-LOG_LINES:]
            report.sections.append((f"log {path.relative_to(folder)}", "\n".join(lines)))
    return report


@pytest.fixture(scope="session")
def shim_library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The library to preload into a process to offset its wall clock and to make its system calls fail."""
    return shim.build(tmp_path_factory.mktemp("shim"))


@pytest.fixture
def bed_environment() -> dict[str, str]:
    """Environment variables for the processes of `make_test_bed`; a test file may override this fixture."""
    return {}


@pytest.fixture
def make_test_bed(tmp_path: Path, bed_environment: dict[str, str]) -> Iterator[MakeTestBed]:
    """A function that makes test beds, each with a real `serve` process; they are closed after the test."""
    test_beds: list[TestBed] = []

    def build(**options: Any) -> TestBed:
        test_beds.append(TestBed(tmp_path, environment=bed_environment, **options))
        return test_beds[-1]

    yield build
    for test_bed in test_beds:
        test_bed.close()


@pytest.fixture
def serving_bed(make_test_bed: MakeTestBed) -> TestBed:
    """A test bed whose dispatcher has started to serve."""
    test_bed = make_test_bed()
    test_bed.start_serving()
    return test_bed
