"""The settings of a node of the cluster."""

from __future__ import annotations

from dataclasses import dataclass

from ashcross.cluster.token_budget import QuotaLimit

MAX_CHARGE_WAIT_US = 80_000  # the longest time that a request waits for its tokens


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of a node, the same on all dispatchers of a cluster except for `member`."""

    member: int  # this dispatcher's position in the list of members, from 0
    member_count: int
    configuration_digest: int  # of the list of members, the lease and the quotas
    lease_us: int  # the length of a leader lease, and of a promise
    period_us: int  # the time between two health checks
    limits: tuple[QuotaLimit, ...]  # in the order of the quotas in the operator's file
    charge_wait_us: int = MAX_CHARGE_WAIT_US  # the longest time that a request waits for its tokens


@dataclass(frozen=True, slots=True)
class LocalMember:
    """The member that this process is."""

    number: int  # its position in the list of members, from 0
    count: int  # the number of listed members
    incarnation_id: int  # a random number; other processes of the same member have different ones
