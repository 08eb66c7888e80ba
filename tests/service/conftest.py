"""Fixtures for tests with a dispatcher process and the toy fleet."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness.toy_fleet import ToyFleetBed


@pytest.fixture(scope="module")
def shared_bed(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ToyFleetBed]:
    bed = ToyFleetBed(tmp_path_factory.mktemp("shared_bed"))
    yield bed
    bed.close()


@pytest.fixture
def bed(tmp_path: Path) -> Iterator[ToyFleetBed]:
    bed = ToyFleetBed(tmp_path)
    yield bed
    bed.close()
