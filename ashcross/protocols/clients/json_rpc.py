"""Codec of the clients' protocol: JSON-RPC 2.0 messages after `Content-Length` heads. No I/O, no state.

The member names of the wire are used in this module only, each mapped to one field: `txn` is
`Query.request_id`, `unique` its idempotency key, `team` its tenant, `second` its `is_retry`, `limit` its time
limit, `cpu` and `memory` its estimates, `body` its statement, and `later` is `Answer.retry_after_ms`.
"""

from __future__ import annotations

import base64
import binascii
import json
from dataclasses import dataclass
from typing import Any

from ashcross.errors import AshcrossError, shown
from ashcross.protocols.framing import Framer, FramingError
from ashcross.registry.buffers import BufferPool

# error codes that JSON-RPC defines
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
UNKNOWN_METHOD = -32601
INVALID_PARAMS = -32602
# error codes of this protocol
REJECTED = -32050
FAILED = -32000

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 1024
MAX_LENGTH_DIGITS = 9  # in a Content-Length
# the largest integer that a double holds exactly: a client that uses doubles could not match a larger id
MAX_CALL_ID = (1 << 53) - 1
MAX_CONTAINERS = 256  # opening brackets in the body of a call, those in texts included; a call needs two
MAX_TEXT_LENGTH = 128  # characters of an idempotency key or a tenant
MAX_ESTIMATE = 1e8  # ms of CPU time or MB of memory: over a day of work, or the memory of any machine
MAX_TIME_LIMIT_MS = 1e8
REQUEST_ID_DIGITS = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
FALSE_VALUES = ("", "0", "None", "False")  # values of `second`, as text, that mean false


class BodyReader(Framer[bytes]):
    """A reader that cuts message bodies out of a stream; heads and bodies have maximum sizes."""

    def __init__(self, pool: BufferPool, max_body_bytes: int) -> None:
        super().__init__(pool)
        self._max_body_bytes = max_body_bytes

    def cut(self, data: bytes, at: int) -> tuple[int, bytes] | int:
        """Cut one head and the body that it announces."""
        end = data.find(HEAD_END, at, at + MAX_HEAD_BYTES)
        if end < 0:
            if len(data) - at >= MAX_HEAD_BYTES:
                raise FramingError("head", f"{MAX_HEAD_BYTES} bytes at most", "more")
            return len(data) + 1
        length = _content_length(data[at:end])
        if length > self._max_body_bytes:
            raise FramingError("body", f"{self._max_body_bytes} bytes at most", str(length))
        body_start = end + len(HEAD_END)
        body_end = body_start + length
        return (body_end, data[body_start:body_end]) if len(data) >= body_end else body_end


def _content_length(head: bytes) -> int:
    """Return the single Content-Length of a head; raises `FramingError` without it, or for a bad line."""
    length = None
    for line in head.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if not colon:
            raise FramingError("head", "a colon in each line", shown(line))
        if name.strip().lower() == b"content-length":
            digits = value.strip()
            if length is not None or not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
                raise FramingError("Content-Length", "one length", shown(value))
            length = int(digits)
    if length is None:
        raise FramingError("head", "a Content-Length", "none")
    return length


class CallError(AshcrossError):
    """An invalid call. `call_id` is its id, None if it is unknown; `code` is the JSON-RPC error code."""

    remedy = "the client has to change its call; what it sent is answered with this error"

    def __init__(self, code: int, call_id: int | None, place: str, wanted: str, found: str = "") -> None:
        super().__init__(place, wanted, found)
        self.code = code
        self.call_id = call_id


@dataclass(frozen=True, slots=True)
class Call:
    """A well-formed call: a request if it has an id, otherwise a notification."""

    method: str
    call_id: int | None
    params: dict[str, Any]


def parse_call(body: bytes) -> Call:
    """Parse a message body; raises `CallError` if it is not a valid call."""
    containers = body.count(b"{") + body.count(b"[")
    if containers > MAX_CONTAINERS:  # a body of lists takes a hundred times as long to parse as a statement
        wanted = f"{MAX_CONTAINERS} objects and lists at most"
        raise CallError(PARSE_ERROR, None, "call", wanted, f"{containers} brackets")
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        raise CallError(PARSE_ERROR, None, "call", "JSON", "otherwise") from None
    if not isinstance(content, dict):
        raise CallError(INVALID_REQUEST, None, "call", "an object", "otherwise")
    call_id = content.get("id")
    method = content.get("method")
    params = content.get("params", {})
    if call_id is not None and (type(call_id) is not int or not 1 <= call_id <= MAX_CALL_ID):
        raise CallError(INVALID_REQUEST, None, "id", f"a whole number from 1 to {MAX_CALL_ID}", "otherwise")
    if content.get("jsonrpc") != "2.0" or not isinstance(method, str):
        raise CallError(INVALID_REQUEST, call_id, "call", "JSON-RPC 2.0 with a method", "otherwise")
    if method == "abort" and isinstance(params, list) and len(params) == 1:
        params = {"id": params[0]}  # JSON-RPC allows parameters by position
    if not isinstance(params, dict):
        raise CallError(INVALID_PARAMS, call_id, "params", "an object", "otherwise")
    return Call(method, call_id, params)


@dataclass(frozen=True, slots=True)
class Abort:
    """The request that a client aborts: named by its call id, or else by its request id."""

    call_id: int | None
    request_id: str | None


def parse_abort(call: Call) -> Abort:
    """Parse an abort, which names its request in its parameters or by its own id; a missing name is None."""
    call_id = call.params.get("id", call.call_id)
    request_id = call.params.get("txn")
    return Abort(
        call_id if type(call_id) is int else None, request_id if isinstance(request_id, str) else None
    )


@dataclass(frozen=True, slots=True)
class Query:
    """The validated parameters of a query."""

    request_id: str
    limit_ms: float
    tenant: str | None
    is_retry: bool
    idempotency_key: str | None
    cpu_ms: float
    memory_mb: float
    statement: bytes


@dataclass(frozen=True, slots=True)
class KnownNames:
    """The names that the settings define for queries: classes with their indexes, and tenants.

    Classes in `keyed` need an idempotency key. In classes in `ordered`, queries on one table run in the order
    in which they were accepted.
    """

    classes: dict[str, int]
    keyed: frozenset[str]
    tenants: frozenset[str]
    ordered: frozenset[str] = frozenset()


class _QueryParams:
    """A reader of one query's parameters; its methods raise `CallError` for an invalid value."""

    def __init__(self, call: Call) -> None:
        self._call = call

    def wrong(self, name: str, wanted: str) -> CallError:
        """Return the error for an invalid parameter."""
        return CallError(INVALID_PARAMS, self._call.call_id, f"params.{name}", wanted)

    def number(self, name: str, minimum: float, maximum: float) -> float:
        """Return a number from `minimum` to `maximum`; a missing one is 0, which may be out of that range."""
        value = self._call.params.get(name, 0)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value <= maximum:
            raise self.wrong(name, f"a number from {minimum:g} to {maximum:g}")
        return float(value)

    def optional_word(self, name: str) -> str | None:
        """Return a word of at most `MAX_TEXT_LENGTH` characters; None if it is missing."""
        value = self._call.params.get(name)
        if value is None:
            return None
        if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH or not _fits_field_list(value):
            raise self.wrong(name, f"a word of 1 to {MAX_TEXT_LENGTH} characters")
        return value

    def request_id(self) -> str:
        """Return the request id."""
        value = self._call.params.get("txn")
        if not isinstance(value, str) or len(value) != REQUEST_ID_DIGITS or not set(value) <= HEX_DIGITS:
            raise self.wrong("txn", f"{REQUEST_ID_DIGITS} hex digits")
        return value

    def check_tenant(self, tenant: str | None, known: KnownNames) -> None:
        """Raises `CallError` if the settings list tenants and this one is not among them."""
        if tenant is not None and known.tenants and tenant not in known.tenants:
            raise self.wrong("team", "a tenant of the settings")

    def check_idempotency_key(self, key: str | None, known: KnownNames) -> None:
        """Raises `CallError` if the class needs an idempotency key and the query has none."""
        if key is None and self._call.method in known.keyed:
            raise self.wrong("unique", "the idempotency key that this class needs")

    def is_retry(self) -> bool:
        """Return whether the client marks the query as a retry."""
        return str(self._call.params.get("second", "")) not in FALSE_VALUES

    def statement(self) -> bytes:
        """Return the statement, decoded from base64: UTF-8, not blank, without a null character."""
        try:
            statement = base64.b64decode(self._call.params.get("body", ""), validate=True)
        except (binascii.Error, ValueError, TypeError):
            raise self.wrong("body", "base64") from None
        try:
            is_readable = bool(statement.decode().strip()) and b"\0" not in statement
        except UnicodeDecodeError:
            is_readable = False
        if not is_readable:
            raise self.wrong("body", "a statement in UTF-8")
        return statement


def parse_query(call: Call, known: KnownNames) -> Query:
    """Parse a query; raises `CallError` if a parameter is invalid, or would be unreadable to an engine."""
    if call.method not in known.classes:
        raise CallError(UNKNOWN_METHOD, call.call_id, "method", "a class of the settings", "another")
    params = _QueryParams(call)
    request_id = params.request_id()
    tenant = params.optional_word("team")
    idempotency_key = params.optional_word("unique")
    params.check_tenant(tenant, known)
    params.check_idempotency_key(idempotency_key, known)
    return Query(
        request_id=request_id,
        tenant=tenant,
        idempotency_key=idempotency_key,
        statement=params.statement(),
        limit_ms=params.number("limit", 1.0, MAX_TIME_LIMIT_MS),
        is_retry=params.is_retry(),
        cpu_ms=params.number("cpu", 0.0, MAX_ESTIMATE),
        memory_mb=params.number("memory", 0.0, MAX_ESTIMATE),
    )


def _fits_field_list(text: str) -> bool:
    """Return whether a text is printable ASCII without the separators of engines' field lists."""
    return text.isascii() and text.isprintable() and not set(text) & set(" ,=")


def _encode(content: dict[str, Any]) -> bytes:
    return frame(json.dumps(content, separators=(",", ":")).encode())


def frame(body: bytes) -> bytes:
    """Return a body preceded by its head."""
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def result(call_id: int, pages: list[bytes]) -> bytes:
    """Encode a result: all pages, complete and in order."""
    body = base64.b64encode(b"".join(pages))
    return frame(b'{"jsonrpc":"2.0","id":%d,"result":{"body":"%b"}}' % (call_id, body))


def health(call_id: int, well: bool) -> bytes:
    """Encode the answer to a `ping`."""
    return _encode({"jsonrpc": "2.0", "id": call_id, "result": {"well": well}})


def rejection(call_id: int, retry_after_ms: int) -> bytes:
    """Encode a rejection: the query was not executed. A `retry_after_ms` of 0 is left out."""
    error_object: dict[str, Any] = {"code": REJECTED, "message": "refused; trying again is harmless"}
    if retry_after_ms > 0:
        error_object["data"] = {"later": retry_after_ms}
    return _encode({"jsonrpc": "2.0", "id": call_id, "error": error_object})


def error(call_id: int | None, code: int, message: str) -> bytes:
    """Encode any other error; it says nothing on whether the call had an effect."""
    return _encode({"jsonrpc": "2.0", "id": call_id, "error": {"code": code, "message": message}})


def failure(call_id: int) -> bytes:
    """Encode the failure of a query that may have been executed."""
    return error(call_id, FAILED, "failed; the effect is not known")


class AnswerError(AshcrossError):
    """A message from a dispatcher that is not a valid answer."""

    remedy = "check that a dispatcher listens at that address, and its version"


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer as a client reads it: a result, or the code and message of an error."""

    call_id: int | None
    result: dict[str, Any] | None
    code: int
    message: str
    retry_after_ms: int


def parse_answer(body: bytes) -> Answer:
    """Parse an answer; raises `AnswerError` if the body is not a valid one."""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        raise AnswerError("answer", "JSON", shown(body)) from None
    if not isinstance(content, dict):
        raise AnswerError("answer", "an object", shown(content))
    result_object = content.get("result")
    if isinstance(result_object, dict):
        return Answer(content.get("id"), result_object, 0, "", 0)
    error_object = content.get("error")
    if not isinstance(error_object, dict) or not isinstance(error_object.get("code"), int):
        raise AnswerError("answer", "a result or an error with a code", shown(content))
    retry_after_ms = int((error_object.get("data") or {}).get("later", 0))
    message = str(error_object.get("message", ""))
    return Answer(content.get("id"), None, error_object["code"], message, retry_after_ms)


def call(method: str, call_id: int | None, params: dict[str, Any]) -> bytes:
    """Encode a call as a client sends it; without an id it is a notification."""
    content: dict[str, Any] = {"jsonrpc": "2.0", "method": method, "params": params}
    return _encode(content if call_id is None else content | {"id": call_id})


def query(method: str, call_id: int, statement: bytes, params: dict[str, Any]) -> bytes:
    """Encode a query as a client sends it."""
    return call(method, call_id, {**params, "body": base64.b64encode(statement).decode()})
