"""Tests of the early listener.

Without it, clients that connect while the program is still being loaded would be refused.
"""

from __future__ import annotations

import json
import socket
import time
from pathlib import Path

import pytest

from ashcross.service.listener import EarlyListener, open_early_listener


def test_clients_can_connect_before_program_is_loaded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0"}), encoding="utf-8")
    monkeypatch.delenv("ROUTER_LISTEN", raising=False)
    listener = open_early_listener(["ashcross", "serve", "--config", str(path)])
    assert listener is not None
    assert not listener.socket.getblocking()
    with socket.create_connection(listener.socket.getsockname(), 5.0):
        pass
    monkeypatch.setenv("ROUTER_LISTEN", f"127.0.0.1:{listener.socket.getsockname()[1]}")
    # The address is in use; the second attempt to listen reports that.
    assert open_early_listener(["ashcross", "serve", "--config", str(path)]) is None
    listener.socket.close()


@pytest.mark.parametrize("text", ["{", "[]", "{}", '{"listen": 5}', '{"listen": "here"}', "[" * 100_000])
def test_invalid_configuration_opens_no_early_listener(
    text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    path.write_text(text, encoding="utf-8")
    for name in ("ROUTER_LISTEN", "ROUTER_CONFIG"):
        monkeypatch.delenv(name, raising=False)
    assert open_early_listener(["ashcross", "serve", "--config", str(path)]) is None
    assert open_early_listener(["ashcross", "serve", "--config"]) is None
    assert open_early_listener(["ashcross", "serve"]) is None


def test_listener_age_counts_processor_time_at_share_of_core() -> None:
    with socket.socket() as sock:
        listener = EarlyListener(sock, time.monotonic_ns() - 2_000_000, 0.03)
        assert 2_000 + 100_000 <= listener.age_us(0.3) < 2_000 + 100_000 + 5_000_000
        assert listener.age_us(1.0) < listener.age_us(0.3)
