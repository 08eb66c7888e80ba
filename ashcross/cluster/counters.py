"""Counts of what a node has done since its start, for the log."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class NodeCounters:
    """Counts of events since the start of a node."""

    admitted: int = 0  # requests that got their tokens
    rejected: int = 0  # requests that got none
    token_requests: int = 0  # requests for tokens made to the leader, this process included
    tokens_lent: int = 0  # as leader, to members and to itself
    messages_ignored: int = 0  # messages whose sender is not another member or has another configuration

    def text(self) -> str:
        """Return all counts as fields of a log line."""
        return " ".join(f"{name}={count}" for name, count in asdict(self).items())
