"""Counts of the reasons why requests, attempts and connections end, and of violated invariants.

Every reason is a constant in the program, so the number of counters is bounded. At the log level DEBUG each
reason is also logged with named fields (`request=`, `engine=`, `attempt=`). A violation is logged at every
level.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from loguru import logger

from ashcross.logs import rate_limited_log

MAX_SUMMARY_REASONS = 6  # the most frequent reasons, which the summary names


class AuditEvent(Enum):
    """The kind of event that has a reason; the value is its name in log lines."""

    CLOSE_CLIENT = "client closed"
    CLOSE_ENGINE = "engine connection closed"
    REJECT = "rejected"
    FAIL = "failed"
    RETRY = "retried"
    SKIP = "not sent"


# Gets the rule and the text of a violation.
ViolationListener = Callable[[str, str], None]


class Audit:
    """Counters of reasons and violations of one process."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[AuditEvent, str]] = Counter()
        self.violations: Counter[str] = Counter()
        self.detailed = False  # True at the log level DEBUG: each reason is logged
        self._violation_listener: ViolationListener | None = None

    def follow(self, listener: ViolationListener | None) -> None:
        """Call `listener` with the rule and the text of each violation; None removes the listener."""
        self._violation_listener = listener

    def note(self, event: AuditEvent, reason: str, **fields: object) -> None:
        """Count a reason; `fields` identify the request, attempt or connection in the log line."""
        self.counts[event, reason] += 1
        if self.detailed:
            logger.debug("{}: reason={!r} {}", event.value, str(reason), _format_fields(fields))

    def violation(self, rule: str, **fields: object) -> None:
        """Count and log the violation of an invariant.

        The caller skips the action that would violate it, except for the half-close of a client connection
        with open requests (`protocols/clients/connection.py`): that one is logged and done nevertheless.
        """
        self.violations[rule] += 1
        text = f"{rule} {_format_fields(fields)}"
        rate_limited_log.warn("violation", text)
        if self._violation_listener is not None:
            self._violation_listener(rule, text)

    def summary(self) -> str:
        """Return all violations and the most frequent reasons, formatted for a log line."""
        reasons = [
            f"{event.value} ({reason}) {count}"
            for (event, reason), count in self.counts.most_common(MAX_SUMMARY_REASONS)
        ]
        violations = [f"VIOLATION {rule} {count}" for rule, count in self.violations.items()]
        return ", ".join(violations + reasons) or "none"


def _format_fields(fields: dict[str, object]) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items())


audit = Audit()
