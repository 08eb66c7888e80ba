"""Checks a query before the scheduler receives it."""

from __future__ import annotations

from enum import StrEnum

from ashcross.protocols.clients import json_rpc
from ashcross.protocols.host_interfaces import ClassifiedQuery
from ashcross.protocols.statement_tables import tables_of
from ashcross.registry.request_registry import RequestRegistry


class RejectionReason(StrEnum):
    """Why a valid query is rejected before the scheduler receives it; such a query is never executed."""

    CONNECTION_CLOSING = "connection accepts no further calls"
    CONNECTION_FULL = "too many open on its connection"
    DISPATCHER_FULL = "too many open in all"


def read_query(call: json_rpc.Call, known: json_rpc.KnownNames, registry: RequestRegistry) -> json_rpc.Query:
    """Return the query of a call; raises `CallError` for an invalid parameter or a known request id."""
    query = json_rpc.parse_query(call, known)
    if query.request_id in registry.by_id:
        raise json_rpc.CallError(
            json_rpc.INVALID_PARAMS, call.call_id, "params.txn", "one that is not open", "one that is"
        )
    if registry.was_forwarded(query.request_id):  # a late answer would be matched to the new request
        raise json_rpc.CallError(
            json_rpc.INVALID_PARAMS, call.call_id, "params.txn", "a new one", "one that was used"
        )
    return query


def classify_query(method: str, query: json_rpc.Query, known: json_rpc.KnownNames) -> ClassifiedQuery:
    """Return the class of a query, its table group, and its ordering key if its class is ordered."""
    tables = tables_of(query.statement.decode())
    ordering_key = tables.first_table if method in known.ordered else None
    return ClassifiedQuery(known.classes[method], method, tables.group, ordering_key)
