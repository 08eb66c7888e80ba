"""Finds the table group and the first table that a statement reads or writes, without a full SQL parser.

The time that one statement takes is bounded, whatever it holds: it is examined once, from its start, and no
further than `MAX_CHARACTERS` and `MAX_TOKENS`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from itertools import groupby, islice
from typing import NamedTuple

TOKEN = re.compile(
    r"""
      (?P<skip> '(?:[^']|'')*(?:'|\Z)            # a string; a doubled quote is a quote in it
              | --[^\r\n]*                       # a comment to the end of the line
              | (?P<dollar>\$(?:[A-Za-z_]\w*)?\$)(?s:.*?)(?:(?P=dollar)|\Z) )
    | (?P<block> /\* )                           # start of a block comment; these may nest
    | (?P<quoted> "(?:[^"]|"")*" | `(?:[^`]|``)*` | \[[^\[\]\s]{0,128}\] )
    | (?P<word> [^\W\d][\w$]* )
    | (?P<number> \d[\w.]* )
    | (?P<sign> [.,()] )
    """,
    re.VERBOSE,
)
BLOCK_EDGE = re.compile(r"/\*|\*/")
NUMBERED_SCHEMA = re.compile(r".*_([0-9]{1,9})\Z", re.DOTALL)
# keywords that a table name may follow
TABLE_KEYWORDS = frozenset(("from", "join", "into", "update", "table", "using", "copy", "truncate", "merge"))
# words that may stand between such a keyword and the table name
MODIFIERS = frozenset(("only", "if", "not", "exists", "lateral", "ignore", "low_priority", "overwrite", "as"))
# keywords that begin a statement or a subquery
STATEMENTS = frozenset(
    ("select", "delete", "insert", "update", "merge", "with", "table", "values", "truncate", "copy", "load")
)
# keywords that begin a list of tables, and keywords that begin any other list
TABLE_LIST_KEYWORDS = frozenset(("from", "update"))
OTHER_LIST_KEYWORDS = frozenset(("select", "where", "set", "on", "by", "having", "values", "into", "with"))
KEYWORDS = TABLE_KEYWORDS | STATEMENTS | TABLE_LIST_KEYWORDS | OTHER_LIST_KEYWORDS


def _any_case(words: Iterable[str]) -> str:
    """Return a pattern of ASCII words in any case; as sets of letters it is faster than with a flag."""
    patterns = []
    for initial, group in groupby(sorted(words), key=lambda word: word[0]):
        rests = ("".join(f"[{letter}{letter.upper()}]" for letter in word[1:]) for word in group)
        patterns.append(f"[{initial}{initial.upper()}](?:{'|'.join(rests)})")
    return "|".join(patterns)


_INITIALS = "".join(sorted({word[0] for word in KEYWORDS}))
# the next place that matters outside a list of tables: a keyword, bracket, quote, comment, or numbered schema
NOTABLE = re.compile(
    rf"""
    (?= ['"`$\[()/_{_INITIALS}{_INITIALS.upper()}-] )
    (?: ['"`$\[()] | -- | /\* | \b(?:{_any_case(KEYWORDS)})(?![\w$]) | _[0-9]{{1,9}}\s*\. )
    """,
    re.VERBOSE,
)
PART_FOLLOWS = re.compile(r"\s*(?:\.|--|/\*)")  # a dot, or a comment that may stand before one
SKIPPED_SCHEMA = "staging"
MAX_CHARACTERS = 16_384  # of a statement that are examined: its tables are named near its start
MAX_TOKENS = 1_024  # of a statement that are examined one by one; plain text is skipped as a whole
MAX_COMMENT_EDGES = 2_048  # starts and ends of block comments that are matched with each other


class StatementTables(NamedTuple):
    """What a statement says of its tables.

    `group` is the number after the last underscore in the schema name of a table, 0 if there is none.
    `first_table` is the first table that is read or written, as lower-case `schema.table`, or None; it is the
    ordering key of ordered classes. Tables of the schema `staging` are skipped.
    """

    group: int
    first_table: str | None


class Name(NamedTuple):
    """The parts of a name, and whether it stands where a table may be named."""

    parts: list[str]
    may_be_table: bool


class Token(NamedTuple):
    """A word, name, number or sign: the name of its group in `TOKEN`, and its text without quotes."""

    kind: str
    value: str


NAME_KINDS = ("word", "quoted")


def tables_of(text: str) -> StatementTables:
    """Return the table group and the first table of a statement."""
    first_table: str | None = None
    group_elsewhere = 0
    for parts, may_be_table in _names(text):
        group = _group(parts[-2]) if len(parts) > 1 else 0
        if may_be_table and first_table is None and not _is_skipped(parts):
            first_table = ".".join(parts[-2:]).lower()
        if may_be_table and group:
            return StatementTables(group, first_table)
        # a group found elsewhere counts only if no name in a table position has one
        if len(parts) == 2 and not group_elsewhere:
            group_elsewhere = group
    return StatementTables(group_elsewhere, first_table)


def _is_skipped(parts: list[str]) -> bool:
    return len(parts) > 1 and parts[-2].lower() == SKIPPED_SCHEMA


def _group(schema: str) -> int:
    if schema.lower() == SKIPPED_SCHEMA:
        return 0
    match = NUMBERED_SCHEMA.match(schema)
    return int(match.group(1)) if match else 0


class _TokenReader:
    """Reads the tokens of a text in order, without strings and comments, up to `MAX_TOKENS`."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0
        self._tokens_left = MAX_TOKENS
        self._comment_ends: dict[int, int] | None = None  # by the position after the start of the comment

    def skip_plain_text(self) -> None:
        """Skip text that can name neither a table nor a group outside a list of tables."""
        match = NOTABLE.search(self._text, self._position)
        if match is None:
            self._position = len(self._text)
        elif match.group() in ("(", ")"):
            self._position = match.start()
        else:
            self._position = self._start_of_name(match.start())

    def _start_of_name(self, position: int) -> int:
        """Return where the qualified name begins of which a part begins or ends at `position`."""
        text = self._text
        while position > self._position and (text[position - 1].isalnum() or text[position - 1] in "_$."):
            if text[position - 1 : position + 1] == "..":  # no name; a long row of dots is read only once
                break
            position -= 1
        return position

    def next(self) -> Token | None:
        """Return the next token; None at the end of what is examined."""
        while self._tokens_left and (match := TOKEN.search(self._text, self._position)):
            self._tokens_left -= 1
            self._position = match.end()
            kind = match.lastgroup or ""
            if kind == "block":
                self._position = self._end_of_comment(match.end())
            elif kind == "quoted":
                quoted = match.group()
                return Token(kind, quoted[1:-1].replace(quoted[-1] * 2, quoted[-1]))
            elif kind not in ("skip", "dollar"):
                return Token(kind, match.group())
        return None

    def next_part(self) -> str | None:
        """Return the next part of a qualified name, after a dot; None, and read nothing, if there is none."""
        position = self._position
        if PART_FOLLOWS.match(self._text, position) is None:
            return None
        dot = self.next()
        if dot is not None and dot.value == "." and dot.kind == "sign":
            part = self.next()
            if part is not None and part.kind in NAME_KINDS:
                return part.value
        self._position = position
        return None

    def _end_of_comment(self, start: int) -> int:
        """Return where the block comment whose text begins at `start` ends.

        Comments may nest; one that is never closed as a nested comment ends at the first `*/`.
        """
        if self._comment_ends is None:  # once for a statement: many unclosed comments cost one scan together
            self._comment_ends = _comment_ends(self._text, start)
        if start in self._comment_ends:
            return self._comment_ends[start]
        first_end = self._text.find("*/", start)
        return first_end + 2 if first_end >= 0 else len(self._text)


def _comment_ends(text: str, start: int) -> dict[int, int]:
    """Return the end of each closed block comment, by the position at which its text begins.

    `start` is the first such position in `text`.
    """
    ends = {}
    open_starts = [start]
    for match in islice(BLOCK_EDGE.finditer(text, start), MAX_COMMENT_EDGES):
        if match.group() == "/*":
            open_starts.append(match.end())
        elif open_starts:
            ends[open_starts.pop()] = match.end()
    return ends


class _Bracket:
    """The statement, or an open bracket in it: what may stand there."""

    __slots__ = ("holds_statement", "in_table_list")

    def __init__(self, holds_statement: bool) -> None:
        self.holds_statement = holds_statement  # tables may be named there
        self.in_table_list = False  # the last keyword in it began a list of tables


def _names(text: str) -> Iterator[Name]:
    """Yield the names in a statement that may name a table or a group, in order."""
    reader = _TokenReader(text[:MAX_CHARACTERS])
    brackets = [_Bracket(holds_statement=True)]
    expects_table = False
    while True:
        if not expects_table and not brackets[-1].in_table_list:
            reader.skip_plain_text()
        token = reader.next()
        if token is None:
            return
        if token.kind not in NAME_KINDS:
            expects_table = _expects_table_after(token, brackets, expects_table)
            continue
        parts = _qualified_name(reader, token)
        word = token.value.lower() if len(parts) == 1 and token.kind == "word" else ""
        _note_keyword(word, brackets[-1])
        if word in TABLE_KEYWORDS:
            expects_table = brackets[-1].holds_statement
        elif word not in MODIFIERS:
            if word not in STATEMENTS:
                yield Name(parts, expects_table)
            expects_table = False


def _qualified_name(reader: _TokenReader, first: Token) -> list[str]:
    """Return the parts of the name that begins with the token `first`, which has been read."""
    parts = [first.value]
    while (part := reader.next_part()) is not None:
        parts.append(part)
    return parts


def _note_keyword(word: str, bracket: _Bracket) -> None:
    """Note a lower-case word that may begin a statement or a list."""
    if word in STATEMENTS:
        bracket.holds_statement = True
    if word in TABLE_LIST_KEYWORDS:
        bracket.in_table_list = True
    elif word in OTHER_LIST_KEYWORDS:
        bracket.in_table_list = False


def _expects_table_after(token: Token, brackets: list[_Bracket], expects_table: bool) -> bool:
    """Return whether a table may be named after a number or sign; opens or closes a bracket."""
    if token.value == "(":
        # a bracket in a table position holds tables or a subquery
        brackets.append(_Bracket(holds_statement=expects_table))
    elif token.value == ")":
        if len(brackets) > 1:
            brackets.pop()
        return False
    elif token.value == "," and not expects_table:
        return brackets[-1].holds_statement and brackets[-1].in_table_list
    return expects_table
