"""Tests of the command line: output, error texts and exit codes."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from ashcross.cli import main
from tests.harness.toy_fleet import (
    ROOT,
    ToyFleetBed,
)


def test_ask_and_ping_with_dispatcher(shared_bed: ToyFleetBed, capfd: pytest.CaptureFixture[str]) -> None:
    address = f"{shared_bed.address[0]}:{shared_bed.address[1]}"
    assert main(["ping", "--at", address]) == 0
    assert main(["ask", "lookup", "select * from sales_17.orders /* toy: rows=2 */", "--at", address]) == 0
    assert capfd.readouterr().out == "well\n0\trow number 0\t\n1\trow number 1\tx\n"
    rejected = "select * from sales_17.orders /* toy: answer=overload */"
    assert main(["ask", "lookup", rejected, "--at", address, "--limit-ms", "1500"]) == 3
    assert "; retry after " in capfd.readouterr().err
    assert main(["ask", "dance", "select 1", "--at", address]) == 4
    assert "wanted a class of the settings" in capfd.readouterr().err


def test_commands_without_dispatcher(capfd: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    with socket.socket() as bound_socket:  # bound, but not listening
        bound_socket.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{bound_socket.getsockname()[1]}"
        assert main(["ping", "--at", address]) == 5
    assert "wanted an answer" in capfd.readouterr().err
    assert main(["ping", "--at", "nowhere"]) == 2
    assert main(["version"]) == 0
    assert main(["check-config", "--config", str(ROOT / "examples" / "config.json")]) == 0
    assert "lookup, report, load" in capfd.readouterr().out
    invalid_path = tmp_path / "invalid.json"
    invalid_path.write_text('{"settings": {"Classes": [{"Name": "a"}]}}', encoding="utf-8")
    for command in ("serve", "check-config"):
        assert main([command, "--config", str(invalid_path)]) == 2
        assert capfd.readouterr().err.startswith(
            "ashcross: settings.Classes[0].Aim: wanted a number of 1 or more, found nothing; "
        )
    with pytest.raises(SystemExit) as caught:
        main(["dance"])
    assert caught.value.code == 2
