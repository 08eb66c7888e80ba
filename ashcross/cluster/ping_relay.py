"""Pings sent on behalf of other members, and the members to which their answers go."""

from __future__ import annotations

from dataclasses import dataclass

MAX_RELAYED_PINGS = 256  # relayed pings that await their answers; the oldest one is dropped beyond that
FIRST_RELAYED_SEQ = (1 << 32) + 1  # higher than any number of this process's own health checks


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """The health check of another member that a ping is sent for."""

    requester: int  # the member that checks
    seq: int  # the number of its health check


class PingRelay:
    """Numbers the pings that are sent for other members, and matches their answers to those members."""

    def __init__(self) -> None:
        self._pending: dict[int, RelayedPing] = {}
        self._next_seq = FIRST_RELAYED_SEQ

    def begin(self, requester: int, seq: int) -> int:
        """Record a ping for a member's health check; return the number under which to send it."""
        relayed_seq = self._next_seq
        self._next_seq += 1
        self._pending[relayed_seq] = RelayedPing(requester, seq)
        while len(self._pending) > MAX_RELAYED_PINGS:
            oldest = next(iter(self._pending))
            del self._pending[oldest]
        return relayed_seq

    def finish(self, relayed_seq: int) -> RelayedPing | None:
        """Remove and return the relayed ping with this number; None if there is none."""
        return self._pending.pop(relayed_seq, None)
