"""The codec of the bench's text protocol: decodes lines to scheduler events and encodes actions as lines.

The codec makes no decisions. Only this module knows the event and action names of the protocol. Fields are
separated by tabs; `-` stands for an absent value. Unknown settings and report fields are skipped. A malformed
line raises `WireError`, or another exception that the host converts to `WireError`.
"""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Callable

from ashcross.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    PollEndpointList,
    RejectRequest,
    SendToPeer,
    SetAttemptTerms,
    StartAttempt,
    StartHealthCheck,
    StartTimer,
    WatchEndpointList,
)
from ashcross.decisions.events import (
    AnswerStarted,
    AttemptCompleted,
    AttemptOutcome,
    AttemptProgress,
    ClientDisconnected,
    Endpoint,
    EndpointListKind,
    EndpointState,
    Event,
    HealthCheckCompleted,
    PeerMessageReceived,
    ProgressKind,
    RequestReceived,
    TimerFired,
)
from ashcross.decisions.settings import SchedulerSettings
from ashcross.errors import AshcrossError, shown
from ashcross.service.settings_codec import decode


class WireError(AshcrossError):
    """A malformed line of the text protocol, or an action that the protocol cannot express."""

    # If an action cannot be encoded, this is part of an INTERNAL_ERROR line on standard output.
    remedy = "the adapter ends; check that the simulator and the adapter are of versions that fit"


OUTCOMES = {
    "GOOD": AttemptOutcome.SUCCEEDED,
    "BAD": AttemptOutcome.ERROR,
    "FULL": AttemptOutcome.OVERLOADED,
    "LATE": AttemptOutcome.TIMEOUT,
    "NOCONN": AttemptOutcome.CONNECT_FAILED,
    "RST": AttemptOutcome.RESET,
    "CXL": AttemptOutcome.CANCELLED,
    "NOP": AttemptOutcome.NOT_SENT,
}
ENDPOINT_STATES = {state.value: state for state in EndpointState}
LIST_KINDS = {kind.value: kind for kind in EndpointListKind}
PROGRESS_KINDS = {kind.value: kind for kind in ProgressKind}

# Bits of the attributes field of an `ACCEPT`.
HAS_WORK_ESTIMATE = 1
IS_RETRY = 2

# One number holds the work and memory that an attempt used: work in ms times the radix, plus memory in units.
USED_RADIX = 4096
MEMORY_UNIT_MB = 4


def integer(text: str) -> int:
    """Decode an integer; an absent value is 0."""
    return 0 if text == "-" else int(text)


def number(text: str) -> float:
    """Decode a number; an absent value is 0."""
    return 0.0 if text == "-" else float(text)


def optional(text: str) -> str | None:
    """Decode a string; an absent value is None."""
    return None if text == "-" else text


def decode_settings(text: str) -> tuple[SchedulerSettings, dict[str, int]]:
    """Decode the settings; return them with the index of each class by its name."""
    decoded, host = decode(json.loads(text))
    return decoded, host.class_names


def decode_endpoint(fields: list[str]) -> Endpoint:
    """Decode one `ROW`."""
    _, name, zone, engine_kind, cell, state, nominal, boot_us = fields
    return Endpoint(
        name=name,
        zone=zone,
        engine_kind=engine_kind,
        cell=integer(cell),
        state=ENDPOINT_STATES[int(state)],
        nominal=number(nominal),
        boot_us=integer(boot_us),
    )


class Decoder:
    """The decoder for the events of one instance, whose settings name the classes and load report fields."""

    __slots__ = ("_classes", "_report_fields")

    def __init__(self, settings: SchedulerSettings, classes: dict[str, int]) -> None:
        self._classes = classes
        self._report_fields = settings.load_report_fields

    def _report(self, text: str) -> dict[str, float]:
        if text in ("-", ""):
            return {}
        return {
            name: float(value)
            for name, value in zip(self._report_fields, text.split(","), strict=False)
            if value not in ("-", "")
        }

    def request_received(self, fields: list[str]) -> RequestReceived:
        """Decode an `ACCEPT`."""
        _, _, request_id, memory_mb, table_group, class_name, key, attributes, work_us, left_us, tenant = (
            fields
        )
        bits = integer(attributes)
        return RequestReceived(
            request_id=request_id,
            class_index=self._classes[class_name],
            table_group=int(number(table_group)),
            ordering_key=optional(key),
            memory_mb=number(memory_mb),
            work_estimate_us=integer(work_us) if bits & HAS_WORK_ESTIMATE else 0,
            time_left_us=integer(left_us),
            tenant=optional(tenant),
            is_retry=bool(bits & IS_RETRY),
        )

    def attempt_completed(self, fields: list[str]) -> AttemptCompleted:
        """Decode a `SETTLED`."""
        _, _, request_id, attempt, engine, outcome, latency_us, is_over, used, load = fields
        work_ms, memory_units = divmod(integer(used), USED_RADIX)
        return AttemptCompleted(
            request_id=request_id,
            attempt_number=int(attempt),
            engine_name=engine,
            outcome=OUTCOMES[outcome],
            latency_us=integer(latency_us),
            request_is_over=is_over == "1",
            work_us=work_ms * 1000,
            memory_used_mb=float(memory_units * MEMORY_UNIT_MB),
            load_report=self._report(load),
        )

    def answer_started(self, fields: list[str]) -> AnswerStarted:
        """Decode an `UNDER_WAY`."""
        _, _, request, attempt, engine, latency = fields
        return AnswerStarted(request, int(attempt), engine, integer(latency))

    def attempt_progress(self, fields: list[str]) -> AttemptProgress | None:
        """Decode a `PROGRESS`; return None, which skips the event, if its topic is unknown."""
        _, _, request, attempt, engine, topic, value = fields
        kind = PROGRESS_KINDS.get(int(topic))
        return None if kind is None else AttemptProgress(request, int(attempt), engine, kind, number(value))

    def client_disconnected(self, fields: list[str]) -> ClientDisconnected:
        """Decode a `TIMED_OUT_CLIENT`."""
        _, _, request = fields
        return ClientDisconnected(request)

    def timer_fired(self, fields: list[str]) -> TimerFired:
        """Decode a `TICK_DUE`."""
        _, _, token = fields
        return TimerFired(int(token))

    def health_check_completed(self, fields: list[str]) -> HealthCheckCompleted:
        """Decode a `PONG`."""
        _, _, latency, outcome, engine, load = fields
        return HealthCheckCompleted(engine, OUTCOMES[outcome], integer(latency), self._report(load))

    def peer_message(self, fields: list[str]) -> PeerMessageReceived:
        """Decode an `INBOX`."""
        _, _, peer, encoded = fields
        try:
            payload = b"" if encoded == "-" else base64.b64decode(encoded, validate=True)
        except binascii.Error as error:
            raise WireError("INBOX", "a payload in base64", f"{shown(encoded)} ({error})") from error
        return PeerMessageReceived(int(peer), payload)


EVENTS: dict[str, Callable[[Decoder, list[str]], Event | None]] = {
    "ACCEPT": Decoder.request_received,
    "SETTLED": Decoder.attempt_completed,
    "UNDER_WAY": Decoder.answer_started,
    "PROGRESS": Decoder.attempt_progress,
    "TIMED_OUT_CLIENT": Decoder.client_disconnected,
    "TICK_DUE": Decoder.timer_fired,
    "PONG": Decoder.health_check_completed,
    "INBOX": Decoder.peer_message,
}


def one_line(text: str) -> str:
    """Replace each run of whitespace by one space, so that the text fits the last field of a line."""
    return " ".join(text.split())


def encode(instance: int, action: Action) -> str:  # noqa: C901 - one case for each type of action
    """Encode one action as a line."""
    match action:
        case StartAttempt(request, engine, timeout_us):
            return f"SUBMIT_TO\t{instance}\t{request}\t{engine}\t{timeout_us}"
        case StartTimer(at_us, token):
            return f"SLEEP\t{instance}\t{at_us}\t{token}"
        case SetAttemptTerms(request, memory_mb, priority):
            return f"LIMITS_FOR\t{instance}\t{request}\t{memory_mb:.10g}\t{priority}"
        case RejectRequest(request, retry_after_us):
            return f"DENY\t{instance}\t{request}\t{retry_after_us}"
        case FailRequest(request):
            return f"ABORT\t{instance}\t{request}"
        case CancelAttempt(request, attempt):
            return f"CANCEL\t{instance}\t{request}\t{attempt}"
        case StartHealthCheck(engine):
            return f"PROBE\t{instance}\t{engine}"
        case WatchEndpointList(on):
            return f"TRACK\t{instance}\t{int(on)}"
        case PollEndpointList():
            return f"QUERY_ALL\t{instance}"
        case CloseIdleConnections(engine):
            return f"CLOSE\t{instance}\t{engine}"
        case SendToPeer(peer, payload):
            return f"POST\t{instance}\t{peer}\t{base64.b64encode(payload).decode() or '-'}"
        case LogMessage(text):
            return f"PRINT\t{instance}\t{one_line(text) or '-'}"
    # This text goes to standard output, in an INTERNAL_ERROR line.
    raise WireError("an action of the module", "one that the wire has", shown(action))
