"""Tests of reading the configuration file."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashcross.service.config_file import load_config
from ashcross.service.config_reader import ConfigError


def test_missing_or_invalid_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="ROUTER_CONFIG"):
        load_config(None, {})
    with pytest.raises(ConfigError, match="can be read"):
        load_config(str(tmp_path / "none"), {})
    invalid_path = tmp_path / "invalid"
    invalid_path.write_text("{", encoding="utf-8")
    with pytest.raises(ConfigError, match="wanted JSON"):
        load_config(None, {"ROUTER_CONFIG": str(invalid_path)})
