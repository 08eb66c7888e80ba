"""The actions that a node returns, and the outbox in which its parts collect them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ashcross.cluster.messages import Message


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A datagram to send to a member."""

    member: int  # the receiver's position in the list of members
    message: Message


@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Admission of a request, which has its tokens."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Rejection of a request, which gets no tokens."""

    request_id: str
    retry_after_us: int  # microseconds after which a retry may be admitted


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """A log line to write: this process has become the leader."""

    number: int  # the number of its candidacy, logged as the term


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """A log line to write: this process is no longer the leader."""

    number: int  # the number of the candidacy that is known now, logged as the term


@dataclass(frozen=True, slots=True)
class ConfigurationMismatch:
    """A log line to write: messages of a member with another configuration are ignored."""

    member: int  # its configuration differs in the members, the lease or the quotas


Action: TypeAlias = (
    SendMessage | AdmitRequest | RejectRequest | LeaseAcquired | LeaseLost | ConfigurationMismatch
)


class Outbox:
    """Collects the actions of one event in the order in which they are to be executed."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def send(self, member: int, message: Message) -> None:
        """Append a datagram to a member."""
        self._actions.append(SendMessage(member, message))

    def take(self) -> list[Action]:
        """Remove and return all collected actions."""
        actions = self._actions
        self._actions = []
        return actions
