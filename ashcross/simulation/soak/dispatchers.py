"""Real `serve` processes of the soak, each with a fault shim for its clock, sockets and files."""

from __future__ import annotations

import contextlib
import json
import os
import re
import secrets
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ashcross.protocols.clients import json_rpc, query_client
from ashcross.simulation.faults.shim import Shim
from ashcross.simulation.soak.ledger import Incarnation, Ledger

# Log lines that show a fault of the program; texts of the log that change there must change here too.
ERROR_LINES = re.compile(r"violation:|Traceback|fault on|internal error|not handled|ERROR")
EXPECTED_ERRORS = re.compile(r"configuration rejected|ConfigUnreadableError")
ARRIVALS_AFTER_SIGTERM_S = 0.3  # clients still send requests this long after SIGTERM


class Dispatcher:
    """One dispatcher: its incarnations, one after the other, at one address."""

    def __init__(
        self,
        number: int,
        folder: Path,
        port: int,
        shim: Shim,
        ledger: Ledger,
        config: Callable[[], dict[str, Any]],
        program: Path,
    ) -> None:
        self.number, self.folder, self.shim, self.ledger = number, folder, shim, ledger
        self.address = ("127.0.0.1", port)
        self.path, self.log = folder / f"d{number}.json", folder / f"d{number}.log"
        self._config, self.program = config, program
        self.process: subprocess.Popen[bytes] | None = None
        self.incarnation: Incarnation | None = None
        self.paused_since_s: float | None = None
        self.busy = False  # a fault acts on the process, so that no second one may be chosen

    def write_config(self) -> None:
        """Write the configuration file as of now, with a new seed."""
        content = self._config() | {
            "name": f"d{self.number}",
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": secrets.token_hex(8),
        }
        self.path.write_text(json.dumps(content), encoding="utf-8")

    def start(self) -> None:
        """Start a new process, and record its incarnation."""
        self.write_config()
        self.incarnation = Incarnation(self.number, time.monotonic())
        self.ledger.incarnations.append(self.incarnation)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "ashcross", "serve", "--config", str(self.path)],
                cwd=self.program,
                stdout=log,
                stderr=log,
                env=os.environ | self.shim.environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send SIGTERM, SIGKILL, SIGSTOP, SIGCONT or SIGHUP, and record its time."""
        now_s = time.monotonic()
        assert self.process is not None
        assert self.incarnation is not None
        if number is signal.SIGTERM:
            self.incarnation.sigterm_s = now_s
        elif number is signal.SIGKILL:
            self.incarnation.sigkill_s = now_s
        elif number is signal.SIGSTOP:
            self.paused_since_s = now_s
        elif number is signal.SIGCONT and self.paused_since_s is not None:
            self.incarnation.pauses.append((self.paused_since_s, now_s))
            self.paused_since_s = None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def record_exit(self) -> None:
        """Record the exit of the process if it has ended."""
        assert self.process is not None
        assert self.incarnation is not None
        if self.incarnation.exit_s is None and self.process.poll() is not None:
            self.incarnation.exit_s, self.incarnation.exit_code = time.monotonic(), self.process.returncode

    def accepts_requests(self) -> bool:
        """Return whether clients send requests to this dispatcher now."""
        incarnation = self.incarnation
        if (
            incarnation is None
            or incarnation.ready_s is None
            or incarnation.exit_s is not None
            or incarnation.sigkill_s is not None
        ):
            return False
        return (
            incarnation.sigterm_s is None
            or time.monotonic() < incarnation.sigterm_s + ARRIVALS_AFTER_SIGTERM_S
        )

    def ping(self) -> None:
        """Ping the process until it has once been healthy; blocks, so that a thread must call it."""
        if (
            self.incarnation is None
            or self.incarnation.ready_s is not None
            or self.incarnation.exit_s is not None
        ):
            return
        incarnation = self.incarnation
        with contextlib.suppress(query_client.NoAnswerError):
            answer = query_client.ask(self.address, json_rpc.call("ping", 1, {}), 0.5)
            if (answer.result or {}).get("well") is True:
                incarnation.ready_s = time.monotonic()

    def record_log_errors(self) -> None:
        """Copy the unexpected errors from the process's log to the ledger."""
        if not self.log.exists():
            return
        for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines():
            if ERROR_LINES.search(line) and not EXPECTED_ERRORS.search(line):
                self.ledger.log_errors.append(f"d{self.number}: {line[:300]}")

    def kill(self) -> None:
        """Kill the process, and wait until it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)
