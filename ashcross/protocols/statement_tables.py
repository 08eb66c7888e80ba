"""Finds the table group and the first table that a statement reads or writes, without a full SQL parser."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

TOKEN = re.compile(
    r"""
      (?P<skip> '(?:[^']|'')*(?:'|\Z)            # a string; a doubled quote is a quote in it
              | --[^\r\n]*                       # a comment to the end of the line
              | (?P<dollar>\$(?:[A-Za-z_]\w*)?\$)(?s:.*?)(?:(?P=dollar)|\Z) )
    | (?P<block> /\* )                           # start of a block comment; these may nest
    | (?P<quoted> "(?:[^"]|"")*" | `(?:[^`]|``)*` | \[[^\]\s]{0,128}\] )
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
SKIPPED_SCHEMA = "staging"
MAX_CHARACTERS = 16_384  # of a statement that are examined: its tables are named near its start
MAX_UNCLOSED_COMMENTS = 16  # searches for the end of a comment that find none
MAX_LIST_TOKENS = 64  # tokens examined backwards for the keyword that began a list


class Name(NamedTuple):
    """The parts of a name, and whether it stands where a table may be named."""

    parts: list[str]
    may_be_table: bool


Token = tuple[str, str]  # group in `TOKEN` and text; a plain tuple for speed, as each word makes one
DOT: Token = ("sign", ".")
NAME_KINDS = ("word", "quoted")


def group_of_tables(text: str) -> int:
    """Return the number after the last underscore in the schema name of a table; 0 if there is none."""
    group_elsewhere = 0
    for parts, may_be_table in _names(text):
        if len(parts) > 1:
            group = _group(parts[-2])
            if may_be_table and group:
                return group
            # a group found elsewhere counts only if no name in a table position has one
            if len(parts) == 2 and not group_elsewhere:
                group_elsewhere = group
    return group_elsewhere


def table_of(text: str) -> str | None:
    """Return the first table that a statement reads or writes, as lower-case `schema.table`, or None.

    The table is the ordering key of ordered classes; tables of the schema `staging` are skipped.
    """
    for parts, may_be_table in _names(text):
        is_skipped = len(parts) > 1 and parts[-2].lower() == SKIPPED_SCHEMA
        if may_be_table and not is_skipped:
            return ".".join(parts[-2:]).lower()
    return None


def _group(schema: str) -> int:
    if schema.lower() == SKIPPED_SCHEMA:
        return 0
    match = NUMBERED_SCHEMA.match(schema)
    return int(match.group(1)) if match else 0


def _tokens(text: str) -> list[Token]:
    """Return the words, names and signs of a text, without strings and comments."""
    tokens: list[Token] = []
    position = 0
    unclosed_comments = 0
    while match := TOKEN.search(text, position):
        position = match.end()
        kind = match.lastgroup or ""
        if kind in ("skip", "dollar"):
            continue
        if kind == "block":
            position, is_closed = _end_of_comment(text, position)
            if not is_closed:
                unclosed_comments += 1
            if unclosed_comments > MAX_UNCLOSED_COMMENTS:  # hostile input: each one costs a scan of the text
                return tokens
            continue
        value = match.group()
        if kind == "quoted":
            quote = value[-1]
            value = value[1:-1].replace(quote * 2, quote)
        tokens.append((kind, value))
    return tokens


def _end_of_comment(text: str, start: int) -> tuple[int, bool]:
    """Return where a block comment ends, and whether it is closed.

    Comments may nest; one that is never closed as a nested comment ends at the first `*/`.
    """
    depth = 1
    position = start
    while depth and (match := BLOCK_EDGE.search(text, position)):
        position = match.end()
        depth += 1 if match.group() == "/*" else -1
    if not depth:
        return position, True
    first_end = text.find("*/", start)
    return (first_end + 2 if first_end >= 0 else len(text)), False


def _names(text: str) -> Iterator[Name]:
    """Yield the names in a statement, in order."""
    tokens = _tokens(text[:MAX_CHARACTERS])
    is_statement = [True]  # for the statement and each open bracket: whether tables may be named there
    expects_table = False
    position = 0
    while position < len(tokens):
        kind, value = tokens[position]
        if kind in NAME_KINDS:
            parts, position = _qualified_name(tokens, position)
            word = value.lower() if len(parts) == 1 and kind == "word" else ""
            if word in STATEMENTS:
                is_statement[-1] = True
            if word in TABLE_KEYWORDS:
                expects_table = is_statement[-1]
            elif word not in MODIFIERS:
                if word not in STATEMENTS:
                    yield Name(parts, expects_table)
                expects_table = False
            continue
        expects_table = _expects_table_behind(tokens, position, is_statement, expects_table)
        position += 1


def _expects_table_behind(
    tokens: list[Token], position: int, is_statement: list[bool], expects_table: bool
) -> bool:
    """Return whether a table may be named after a sign; opens or closes a bracket in `is_statement`."""
    _, value = tokens[position]
    if value == "(":
        is_statement.append(expects_table)  # a bracket in a table position holds tables or a subquery
    elif value == ")":
        if len(is_statement) > 1:
            is_statement.pop()
        return False
    elif value == "," and not expects_table:
        return is_statement[-1] and _is_in_table_list(tokens, position)
    return expects_table


def _qualified_name(tokens: list[Token], start: int) -> tuple[list[str], int]:
    """Return the parts of the name that begins at `start`, and the position after it."""
    parts = [tokens[start][1]]
    position = start + 1
    while position + 1 < len(tokens) and tokens[position] == DOT and tokens[position + 1][0] in NAME_KINDS:
        parts.append(tokens[position + 1][1])
        position += 2
    return parts, position


def _is_in_table_list(tokens: list[Token], position: int) -> bool:
    """Return whether a comma belongs to a list of tables, by the keyword that began the list."""
    depth = 0
    for kind, value in reversed(tokens[max(0, position - MAX_LIST_TOKENS) : position]):
        if value == ")" and kind == "sign":
            depth += 1
        elif value == "(" and kind == "sign":
            if not depth:
                return False
            depth -= 1
        elif kind == "word" and not depth:
            word = value.lower()
            if word in TABLE_LIST_KEYWORDS:
                return True
            if word in OTHER_LIST_KEYWORDS:
                return False
    return False
