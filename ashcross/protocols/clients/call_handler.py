"""Handles the calls of one client: pings, aborts and queries; keeps its open requests."""

from __future__ import annotations

from ashcross.audit import AuditEvent, audit
from ashcross.protocols.clients import json_rpc
from ashcross.protocols.clients.connection_owner import CallContext
from ashcross.protocols.clients.flood_control import FloodControl
from ashcross.protocols.clients.query_validation import RejectionReason, classify_query, read_query
from ashcross.registry.request_registry import ReplyChannel, RequestRecord


class CallHandler:
    """The calls and open requests of one client, whose answers go to `client`."""

    def __init__(self, client: ReplyChannel, context: CallContext, flood_control: FloodControl) -> None:
        self._client = client
        self._host = context.host
        self._health = context.phases
        self._known = context.known
        self._max_open_requests = context.limits.max_open_requests
        self._flood_control = flood_control
        self.open_requests: dict[int, RequestRecord] = {}
        self.unread_answers = 0  # written since the client stopped reading; they count as open requests
        self.is_closing = False  # every further query is rejected

    def handle(self, call: json_rpc.Call, arrived_us: int) -> bytes | None:
        """Handle a call that arrived at `arrived_us`; return the frame of an answer that is due at once.

        Raises `CallError` if the call is invalid.
        """
        if call.method == "abort":
            self._abort(call)
            return None
        if call.call_id is None:
            raise json_rpc.CallError(json_rpc.INVALID_REQUEST, None, "id", "one, for a query or ping", "none")
        if call.call_id in self.open_requests:
            raise json_rpc.CallError(
                json_rpc.INVALID_REQUEST, None, "id", "one that is not open", "one that is"
            )
        if call.method == "ping":
            return json_rpc.health(call.call_id, self._health.is_ready)
        return self._query(call, call.call_id, arrived_us)

    def _abort(self, call: json_rpc.Call) -> None:
        request = self._find_request(json_rpc.parse_abort(call))
        if request is not None:  # otherwise its answer was sent before the abort came
            del self.open_requests[request.call_id]
            self._host.client_disconnected(request)

    def _find_request(self, abort: json_rpc.Abort) -> RequestRecord | None:
        if abort.call_id in self.open_requests:
            return self.open_requests[abort.call_id]
        requests = self.open_requests.values()
        return next((request for request in requests if request.request_id == abort.request_id), None)

    def _query(self, call: json_rpc.Call, call_id: int, arrived_us: int) -> bytes | None:
        query = read_query(call, self._known, self._host.requests)
        reason = self._rejection_reason(len(query.statement))
        if reason is not None:  # rejected before the scheduler gets it, so it is certainly not executed
            audit.note(AuditEvent.REJECT, reason, request=query.request_id)
            return json_rpc.rejection(call_id, 0)
        classified = classify_query(call.method, query, self._known)
        request = self._host.accept_request(self._client, call_id, classified, query, arrived_us)
        self.open_requests[call_id] = request
        if self._host.gate is not None:
            self._host.gate.request_received(request, query.tenant)
        return None

    def _rejection_reason(self, statement_bytes: int) -> RejectionReason | None:
        if self.is_closing:
            self._flood_control.count_call_over_limit()
            return RejectionReason.CONNECTION_CLOSING
        if len(self.open_requests) + self.unread_answers >= self._max_open_requests:
            self._flood_control.count_call_over_limit()  # well-behaved clients stay under this limit
            return RejectionReason.CONNECTION_FULL
        if self._host.requests.is_full(statement_bytes):
            return RejectionReason.DISPATCHER_FULL
        return None
