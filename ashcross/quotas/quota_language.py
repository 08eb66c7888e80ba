"""The quota language: its grammar, its records and its parser. docs/quotas.md describes the language.

quota bulk-lists {
    per    team
    count  match-report
    limit  1200 in 60s  burst 200
    apart  15%
    over   refuse
}

The keywords of the language are fixed. They correspond to these names in the program:

    per    `Quota.counted_by`
    count  `Quota.class_names`
    limit  `Quota.limit`, `Quota.span_s`, `Quota.burst`
    apart  `Quota.offline_fraction`, the share of the limit that is set aside for dispatchers without a leader
    over   no name: a request over the limit is rejected
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import cache
from typing import TypeAlias

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedInput, VisitError

from ashcross.errors import AshcrossError, shown

GRAMMAR = r"""
start: quota*
quota: "quota" NAME "{" clause* "}"
?clause: per | count | limit | apart | over
per: "per" NAME
count: "count" (NAME ("," NAME)* | ALL)
limit: "limit" NUMBER "in" SPAN ("burst" NUMBER)?
apart: "apart" PERCENT
over: "over" NAME
ALL.2: "*"
PERCENT.3: /[0-9]+(\.[0-9]+)?%/
SPAN.3: /[0-9]+(\.[0-9]+)?(ms|s|min|h|d)\b/
NUMBER.2: /[0-9]+(\.[0-9]+)?/
NAME: /[A-Za-z_][A-Za-z0-9_.-]*/
%ignore /[ \t\r\n]+/
%ignore /#[^\n]*/
"""
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
DEFAULT_OFFLINE_FRACTION = 0.1
MAX_OFFLINE_FRACTION = 0.9
REJECT_KEYWORD = "refuse"  # the grammar takes any name after `over`; only this one is accepted
ERROR_CONTEXT = 20  # characters of the text that an error quotes before and after the place


class QuotaError(AshcrossError):
    """A text in the quota language that is not valid."""

    remedy = "correct the quota at this place (docs/quotas.md has the language)"


class CountedBy(Enum):
    """The groups of clients that have a limit of their own under a quota."""

    TEAM = "team"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Quota:
    """A limit on the requests of each team, or of all teams together."""

    name: str
    counted_by: CountedBy
    class_names: frozenset[str]  # the classes whose requests it counts; empty: all classes
    limit: float  # requests in `span_s`, more than 0
    span_s: float  # more than 0
    burst: float  # requests at once, 1 or more
    offline_fraction: float  # share of limit and burst for dispatchers without a leader, 0 to 0.9

    @property
    def rate(self) -> float:
        """The limit in requests a second."""
        return self.limit / self.span_s

    def counts(self, class_name: str) -> bool:
        """Return whether this quota counts requests of the class."""
        return not self.class_names or class_name in self.class_names

    def canonical_text(self) -> str:
        """Return a text of the quota for the configuration's digest.

        The text is the same in all processes: class names are sorted, as the order of a set may differ.
        """
        classes = ",".join(sorted(self.class_names))
        numbers = f"{self.limit} {self.span_s} {self.burst} {self.offline_fraction}"
        return f"{self.name} {self.counted_by.value} {classes} {numbers}"


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The values of a `limit` clause, as in `Quota`."""

    limit: float
    span_s: float
    burst: float


ClauseValue: TypeAlias = CountedBy | frozenset[str] | RateLimit | float | str


@dataclass(frozen=True, slots=True)
class Clause:
    """One clause of a quota."""

    keyword: str
    token: Token  # a token of the clause, whose position is named in errors
    value: ClauseValue


class _QuotaTransformer(Transformer[Token, list[Quota]]):
    """Transforms the parsed tree into quotas; it has a method for each rule of the grammar.

    `first_line` is added to the line numbers of the text in errors.
    """

    def __init__(self, source: str, first_line: int) -> None:
        super().__init__()
        self._source = source
        self._first_line = first_line

    def _place(self, token: Token) -> str:
        return f"{self._source}:{(token.line or 1) + self._first_line}:{token.column}"

    def start(self, quotas: list[Quota]) -> list[Quota]:
        """Return the quotas of the whole text."""
        return quotas

    @v_args(inline=True)
    def per(self, name: Token) -> Clause:
        """Return the clause `per team` or `per all`."""
        try:
            counted_by = CountedBy(str(name))
        except ValueError:
            raise QuotaError(self._place(name), "per team or per all", f"per {shown(str(name))}") from None
        return Clause("per", name, counted_by)

    def count(self, names: list[Token]) -> Clause:
        """Return the clause `count` with names of classes, or with `*` for all classes."""
        counts_all = any(name.type == "ALL" for name in names)
        class_names = () if counts_all else (str(name) for name in names)
        return Clause("count", names[0], frozenset(class_names))

    def limit(self, numbers: list[Token]) -> Clause:
        """Return the clause `limit N in SPAN`; without `burst` that is the limit per second, or 1 if more."""
        limit = float(numbers[0])
        span_s = self._seconds(numbers[1])
        burst = float(numbers[2]) if len(numbers) > 2 else max(1.0, limit / span_s)
        if limit <= 0 or span_s <= 0 or burst < 1:
            wanted = "a limit over 0 and a burst of 1 or more"
            raise QuotaError(self._place(numbers[0]), wanted, shown(" ".join(numbers)))
        return Clause("limit", numbers[0], RateLimit(limit, span_s, burst))

    @staticmethod
    def _seconds(token: Token) -> float:
        unit = token.lstrip("0123456789.")
        return float(token.removesuffix(unit)) * SECONDS_PER_UNIT[unit]

    @v_args(inline=True)
    def apart(self, percent: Token) -> Clause:
        """Return the clause `apart` with a percentage."""
        fraction = float(percent.removesuffix("%")) / 100
        if fraction > MAX_OFFLINE_FRACTION:
            wanted = f"a share of {MAX_OFFLINE_FRACTION:.0%} at most"
            raise QuotaError(self._place(percent), wanted, shown(str(percent)))
        return Clause("apart", percent, fraction)

    @v_args(inline=True)
    def over(self, name: Token) -> Clause:
        """Return the clause `over refuse`."""
        if name != REJECT_KEYWORD:
            raise QuotaError(self._place(name), f"over {REJECT_KEYWORD}", f"over {shown(str(name))}")
        return Clause("over", name, str(name))

    @v_args(inline=True)
    def quota(self, name: Token, *clauses: Clause) -> Quota:
        """Return a quota with its clauses, of which each keyword may occur once."""
        by_keyword: dict[str, Clause] = {}
        for clause in clauses:
            if clause.keyword in by_keyword:
                first_place = self._place(by_keyword[clause.keyword].token)
                wanted = f"`{clause.keyword}` once in a quota"
                raise QuotaError(self._place(clause.token), wanted, f"it at {first_place} too")
            by_keyword[clause.keyword] = clause
        values = {keyword: clause.value for keyword, clause in by_keyword.items()}
        limit = values.get("limit")
        if not isinstance(limit, RateLimit):
            found = f"only the clauses {', '.join(by_keyword)}" if by_keyword else "a quota without clauses"
            raise QuotaError(self._place(name), f"a `limit` clause in quota {shown(str(name))}", found)
        counted_by = values.get("per", CountedBy.ALL)
        class_names = values.get("count", frozenset())
        offline_fraction = values.get("apart", DEFAULT_OFFLINE_FRACTION)
        assert isinstance(counted_by, CountedBy)
        assert isinstance(class_names, frozenset)
        assert isinstance(offline_fraction, float)
        return Quota(
            name=str(name),
            counted_by=counted_by,
            class_names=class_names,
            limit=limit.limit,
            span_s=limit.span_s,
            burst=limit.burst,
            offline_fraction=offline_fraction,
        )


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


def parse(text: str, source: str = "quotas", first_line: int = 0) -> tuple[Quota, ...]:
    """Return the quotas of a text.

    Errors name `source` as the file, and add `first_line` to line numbers. Raises `QuotaError`.
    """
    try:
        quotas = _QuotaTransformer(source, first_line).transform(_parser().parse(text))
    except UnexpectedInput as error:
        context = error.get_context(text, ERROR_CONTEXT).splitlines()[:1]
        found = shown(context[0].strip()) if context else "the end of the text"
        place = f"{source}:{error.line + first_line}:{error.column}"
        raise QuotaError(place, "a quota's clause", found) from None
    except VisitError as error:
        raise error.orig_exc from None
    _check_names(quotas, source)
    return tuple(quotas)


def _check_names(quotas: list[Quota], source: str) -> None:
    names: set[str] = set()
    for position, quota in enumerate(quotas, 1):
        if quota.name in names:
            found = f"{shown(quota.name)} again as quota {position} of {len(quotas)}"
            raise QuotaError(f"{source}: quota {quota.name}", "each name once", found)
        names.add(quota.name)
