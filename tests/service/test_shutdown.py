"""Tests of SIGTERM with a dispatcher process: every request is answered before the exit."""

from __future__ import annotations

import signal
import time

from ashcross.simulation.processes import wait_for
from tests.harness.toy_fleet import (
    MAXIMUM_WAIT_S,
    PipelinedClient,
    ToyFleetBed,
    row_numbers,
)


def test_sigterm_under_load_loses_no_request(bed: ToyFleetBed) -> None:
    client = PipelinedClient(bed.address)
    client.send(*(bed.query("ms=900", call_id=n + 1) for n in range(8)))
    client.send(bed.query("answer=silence", call_id=9, limit_ms=9000.0))
    wait_for("the PULLs", lambda: sum(bed.state()[e]["PULL"] for e in ("e1", "e2", "e3")) >= 8)
    began_s = time.monotonic()
    bed.dispatcher.process.send_signal(signal.SIGTERM)
    wait_for("the signal to be handled", lambda: bed.dispatcher.find_line("serving -> draining"))
    bed.dispatcher.process.send_signal(signal.SIGTERM)  # a second signal changes nothing
    assert bed.answer_to_ping() is False
    late_client = PipelinedClient(bed.address)  # new connections are still accepted and served
    late_client.send(bed.query("ms=20 rows=5"))
    assert row_numbers(late_client.read(1)[0]) == list(range(5))
    answers = {answer.call_id: answer for answer in client.read(9)}
    assert all(answers[call_id].result is not None for call_id in range(1, 9))
    assert answers[9].result is None  # rejected or failed before the process may be killed
    assert bed.dispatcher.process.wait(MAXIMUM_WAIT_S) == 0
    assert time.monotonic() - began_s >= 1.0
    assert bed.dispatcher.find_line("draining -> stopped")
    client.close()
    late_client.close()
