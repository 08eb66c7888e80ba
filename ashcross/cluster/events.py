"""The events that a node handles. Times are microseconds of its own clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ashcross.cluster.messages import Message
from ashcross.cluster.token_budget import QuotaKey


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A datagram was received and decoded."""

    message: Message


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer has fired, as it does several times in each health check period."""


@dataclass(frozen=True, slots=True)
class ChargeRequested:
    """A request needs tokens; one `AdmitRequest` or `RejectRequest` answers it."""

    request_id: str
    quota_keys: tuple[QuotaKey, ...]  # the budgets of which it needs one token each
    deadline_us: int  # the request's own deadline; its wait for tokens may end sooner (`charge_wait_us`)


@dataclass(frozen=True, slots=True)
class ChargeCompleted:
    """A request no longer waits for tokens or holds any."""

    request_id: str
    # True: the first byte of an attempt may be written, so the request's tokens are spent. False: the tokens
    # that no attempt has spent are given back.
    spent: bool


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This process is about to end."""


Event: TypeAlias = MessageReceived | TimerFired | ChargeRequested | ChargeCompleted | ShutdownStarted
