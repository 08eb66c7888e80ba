"""Tests of SIGHUP with a dispatcher process: reload of the configuration.

An invalid file must change nothing, and a reload during a drain must neither end nor cancel the drain.
"""

from __future__ import annotations

import json
import signal
from functools import partial

from ashcross.simulation.processes import wait_for
from tests.harness.toy_fleet import (
    MAXIMUM_WAIT_S,
    PipelinedClient,
    ToyFleetBed,
    row_numbers,
)


def test_reload_moves_discovery_and_rejects_invalid_file(bed: ToyFleetBed) -> None:
    wait_for("a connection to discovery", lambda: bed.state()["readers"] == 1)
    for reload_number in (1, 2):  # a second reload must work as well as the first
        moved = bed.command("move")
        bed.config_path.write_text(json.dumps(bed.config | {"bulletin": moved}), encoding="utf-8")
        bed.dispatcher.process.send_signal(signal.SIGHUP)
        wait_for("a connection to the new address", lambda: bed.state()["readers"] == 1)
        bed.command(f"gone e{reload_number}")
        removed_engine = f"e{reload_number}"
        wait_for("the removal of an engine", partial(bed.is_served_without, removed_engine))
    for invalid_content, error in (
        ("{", "wanted JSON"),
        (json.dumps(bed.config | {"bulletin": "nowhere"}), "bulletin: wanted host:port"),
        (json.dumps(bed.config | {"limits": {"sockets": "many"}}), r"limits\.sockets: wanted a number"),
    ):
        bed.config_path.write_text(invalid_content, encoding="utf-8")
        bed.dispatcher.process.send_signal(signal.SIGHUP)
        wait_for(error, partial(bed.dispatcher.find_line, f"configuration rejected: .*{error}"))
        assert bed.answer_to_ping() is True
        assert bed.state()["readers"] == 1
    changes = {"bulletin": moved, "name": "other", "seed": "1", "known": {"no": 0, "items": []}}
    bed.config_path.write_text(json.dumps(bed.config | changes), encoding="utf-8")
    bed.dispatcher.process.send_signal(signal.SIGHUP)
    wait_for(
        "the warning about a key that needs a restart",
        lambda: bed.dispatcher.find_line("only a restart changes these keys: name$"),
    )
    assert row_numbers(bed.ask("rows=3")) == [0, 1, 2]


def test_reload_during_drain_continues_drain(bed: ToyFleetBed) -> None:
    client = PipelinedClient(bed.address)
    client.send(bed.query("ms=1200 rows=4"))
    wait_for("the PULL", lambda: sum(bed.state()[e]["PULL"] for e in ("e1", "e2", "e3")) >= 1)
    bed.dispatcher.process.send_signal(signal.SIGTERM)
    wait_for("the drain", lambda: bed.dispatcher.find_line("serving -> draining"))
    bed.dispatcher.process.send_signal(signal.SIGHUP)
    wait_for("the reload", lambda: bed.dispatcher.find_line("reloading -> draining"))
    assert bed.answer_to_ping() is False
    assert row_numbers(client.read(1)[0]) == [0, 1, 2, 3]
    assert bed.dispatcher.process.wait(MAXIMUM_WAIT_S) == 0
    client.close()
