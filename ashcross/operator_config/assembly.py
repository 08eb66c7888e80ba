"""Adds the subsystems that the operator's file configures to a dispatcher.

This module is imported only if the command line names an operator's file.
"""

from __future__ import annotations

from ashcross.cluster.messages import Codec
from ashcross.cluster.settings import NodeSettings
from ashcross.cluster.transport import ClusterSetup, ClusterTransport
from ashcross.operator_config.records import ClusterRecord, OperatorConfig
from ashcross.protocols.discovery.endpoint_list import address
from ashcross.quotas.admission import QuotaAdmission, limits
from ashcross.service.service import Service

US_PER_MS = 1_000


def attach(service: Service, operator_config: OperatorConfig, source: str) -> None:
    """Make the service enforce quotas together with the other dispatchers of its cluster.

    `source` is the path of the operator's file. Raises `CueError` if the file does not list this dispatcher.
    """
    member = operator_config.member_number(service.config.name, source)
    setup = ClusterSetup(
        settings=_node_settings(operator_config, member),
        codec=Codec(bytes.fromhex(operator_config.cluster.key)),
        listen=address(operator_config.cluster.members[member].address),
        peers=_peer_addresses(operator_config.cluster),
        quota_keys=QuotaAdmission(operator_config.quotas).quota_keys,
    )
    components = service.components
    transport = ClusterTransport(components.reactor, components.core, setup)
    components.core.gate = transport
    service.add_subsystem(transport)


def _node_settings(operator_config: OperatorConfig, member: int) -> NodeSettings:
    cluster = operator_config.cluster
    return NodeSettings(
        member=member,
        member_count=len(cluster.members),
        configuration_digest=operator_config.digest,
        lease_us=cluster.lease_ms * US_PER_MS,
        period_us=cluster.period_ms * US_PER_MS,
        limits=limits(operator_config.quotas),
    )


def _peer_addresses(cluster: ClusterRecord) -> tuple[tuple[str, int], ...]:
    """Return host and port at which this process reaches each listed member."""
    return tuple(address(cluster.via.get(member.name, member.address)) for member in cluster.members)
