"""Codec of the engines' protocol, on top of RESP. No I/O, no state.

The words of the wire (`PULL`, `patience`, `served`, ...) are used in this module only, each mapped to a name
of the program.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ashcross.decisions.events import AttemptOutcome, ProgressKind
from ashcross.errors import AshcrossError, shown
from ashcross.protocols.engines import resp
from ashcross.registry.request_registry import RequestRecord

MIN_ANSWER_WORDS = 3  # tag, word and fields
PAGE_ANSWER_WORDS = 4  # the same and the page; its result may have no rows, but the word is there


class EngineProtocolError(AshcrossError):
    """An answer that breaks the protocol: no further answer on its connection can be trusted."""

    remedy = "the connection is closed and its attempts may have run; check that engine if this happens often"


class AnswerKind(Enum):
    """What an answer to an attempt contains."""

    FIRST_PAGE = "the first page and the number of pages"
    PAGE = "a further page"
    PROGRESS = "progress of an attempt in flight"
    END = "an outcome without a result"
    UNKNOWN = "a word that the protocol does not define"


PAGE_KINDS = (AnswerKind.FIRST_PAGE, AnswerKind.PAGE)
# wire word -> kind of answer
ANSWER_KINDS = {"served": AnswerKind.FIRST_PAGE, "rows": AnswerKind.PAGE, "update": AnswerKind.PROGRESS}
# wire word -> outcome of the attempt that it ends
OUTCOMES = {
    "overload": AttemptOutcome.OVERLOADED,
    "crashed": AttemptOutcome.ERROR,
    "nobody": AttemptOutcome.NOT_SENT,
}
# value of the field `n` of an update -> kind of progress; other values are ignored
PROGRESS_KINDS = {
    "pct": ProgressKind.PROGRESS,
    "overflow": ProgressKind.SPILLING,
    "queued": ProgressKind.QUEUED,
}
HEALTHY = "green"  # wire word with which a healthy engine answers a health check


@dataclass(frozen=True, slots=True)
class EngineAnswer:
    """An answer. Its fields are checked only when they are read, as some answers are ignored as a whole."""

    tag: str  # the request's id, or a health check's tag
    word: str
    fields: dict[str, str]
    body: bytes  # empty for answers other than pages, which may have none

    @property
    def kind(self) -> AnswerKind:
        """The kind of an answer to an attempt."""
        if self.word in OUTCOMES:
            return AnswerKind.END
        return ANSWER_KINDS.get(self.word, AnswerKind.UNKNOWN)

    @property
    def outcome(self) -> AttemptOutcome:
        """The outcome that an answer of kind `END` reports."""
        return OUTCOMES[self.word]

    @property
    def health_check_outcome(self) -> AttemptOutcome:
        """The outcome that an answer to a health check reports."""
        return AttemptOutcome.SUCCEEDED if self.word == HEALTHY else AttemptOutcome.ERROR

    @property
    def has_load_report(self) -> bool:
        """Return whether the answer has a load report."""
        return "l" in self.fields

    def load_report(self) -> dict[str, float]:
        """Return the load report; empty if the answer has none."""
        return resp.load_report(self.fields.get("l", ""))

    def page_count(self) -> int:
        """Return the number of pages that a first page announces; raises `FramingError` for a bad number."""
        return resp.count(self.fields.get("total", ""))

    def page_index(self) -> int:
        """Return the index of a further page; raises `FramingError` for a bad number."""
        return resp.count(self.fields.get("index", ""))

    def progress_kind(self) -> ProgressKind | None:
        """Return the kind of an update; None for a kind that this program does not know."""
        return PROGRESS_KINDS.get(self.fields.get("n", ""))

    def progress_value(self) -> float:
        """Return the value of an update; raises `EngineProtocolError` if it is not a finite number."""
        text = self.fields.get("datum", "")
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not abs(value) < float("inf"):
            raise EngineProtocolError("field datum", "a finite number", shown(text))
        return value


def parse_answer(words: list[bytes]) -> EngineAnswer:
    """Parse an answer from its words; raises `EngineProtocolError` if their number does not fit its kind."""
    if len(words) < MIN_ANSWER_WORDS:
        raise EngineProtocolError("answer", f"{MIN_ANSWER_WORDS} words or more", f"{len(words)} words")
    tag, word, fields = words[:MIN_ANSWER_WORDS]
    body = words[MIN_ANSWER_WORDS] if len(words) > MIN_ANSWER_WORDS else b""
    answer = EngineAnswer(tag.decode("latin-1"), word.decode("latin-1"), resp.fields(fields), body)
    # with an array length that is one too small, the page stays behind the answer: it is not empty but unread
    if answer.kind in PAGE_KINDS and len(words) != PAGE_ANSWER_WORDS:
        wanted = f"{PAGE_ANSWER_WORDS} words for a page"
        raise EngineProtocolError(f"answer {shown(word)}", wanted, f"{len(words)} words")
    return answer


def start_query(request: RequestRecord, time_limit_ms: int) -> bytes:
    """Encode the start of a query that must be answered within `time_limit_ms`."""
    fields = {"sort": request.class_name, "patience": str(time_limit_ms)}
    if request.idempotency_key is not None:
        fields["op"] = request.idempotency_key
    if request.priority is not None:
        fields["band"] = str(request.priority)
    return resp.encode(b"PULL", request.request_id.encode(), resp.join_fields(fields), request.statement)


def fetch_page(request_id: str, index: int) -> bytes:
    """Encode a request for a further page of a result."""
    return resp.encode(b"SCROLL", request_id.encode(), str(index).encode())


def cancel_query(request_id: str) -> bytes:
    """Encode the cancellation of a query that runs or is queued."""
    return resp.encode(b"KILL", request_id.encode())


def discard_pages(request_id: str) -> bytes:
    """Encode the release of a result's pages that are not wanted any more."""
    return resp.encode(b"DISCARD", request_id.encode())


def set_priority(request_id: str, priority: int) -> bytes:
    """Encode a change of the priority of a query that runs or is queued."""
    return resp.encode(b"BOOST", request_id.encode(), str(priority).encode())


def request_load_report(tag: str) -> bytes:
    """Encode a health check: a request for the engine's load report, under a tag."""
    return resp.encode(b"METER", tag.encode())
