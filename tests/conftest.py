"""Fixtures that several test files share."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashcross.lab.faults import shim


@pytest.fixture(scope="session")
def shim_library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The preloaded library that moves a process's wall clock and lets its calls fail."""
    return shim.build(tmp_path_factory.mktemp("shim"))
