"""A parser for the subset of CUE that is needed for records.

The subset of the CUE language specification: `name: value`, `a: b: value`, quoted names, `{}`, `[]`, strings
in one or three quotes, integers and decimal numbers with the suffixes `K` to `Gi`, `true`, `false`, `null`,
`//` comments, and a comma or the end of a line between fields. Constraints, references and templates are
left out: the records of the program (`operator_config.records`) define the types.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import cache
from typing import TypeAlias

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

from ashcross.errors import AshcrossError, shown

GRAMMAR = r"""
start: _sep* (field (_sep+ field)* _sep*)?
field: name ":" (field | value)
name: NAME | STRING
?value: struct | list | STRING | LONG | NUMBER | WORD
struct: "{" _sep* (field (_sep+ field)* _sep*)? "}"
list: "[" _sep* (value (_sep+ value)* _sep*)? "]"
_sep: "," | NEWLINE
NAME: /[A-Za-z_$][A-Za-z0-9_$]*/
WORD.2: /(true|false|null)\b(?!\s*:)/
LONG.3: /\"\"\"\r?\n(.|\n)*?\n[ \t]*\"\"\"/
STRING.2: /"([^"\\\n]|\\.)*"/
NUMBER: /-?[0-9][0-9_]*(\.[0-9]+)?([eE][+-]?[0-9]+)?([KMG]i?)?/
NEWLINE: /\r?\n/
%ignore /[ \t]+/
%ignore /\/\/[^\n]*/
"""
SUFFIXES = {"Ki": 1 << 10, "Mi": 1 << 20, "Gi": 1 << 30, "K": 10**3, "M": 10**6, "G": 10**9}
KEYWORDS = {"true": True, "false": False, "null": None}
ERROR_CONTEXT = 20  # characters of the text that an error quotes before and after the place

Value: TypeAlias = "dict[str, Value] | list[Value] | str | int | float | bool | None"
Struct: TypeAlias = dict[str, Value]
Node: TypeAlias = Tree[Token] | Token


class CueError(AshcrossError):
    """An operator's file that cannot be read or is not valid."""

    remedy = (
        "correct the file at this place; `ashcross check-config --operator FILE` reads it without starting"
    )


@dataclass(frozen=True, slots=True)
class Position:
    """A position in a file."""

    line: int = 1  # from 1
    column: int = 1  # from 1


class CueFile:
    """A file's content, and the position of each value by its path, such as `members[0].name`."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.content: Struct = {}
        self.positions: dict[str, Position] = {}

    def place(self, path: str) -> str:
        """Return file, line and column of a value, and its path.

        The position is that of the nearest enclosing value in the file if the value itself is missing.
        """
        nearest = path
        while nearest and nearest not in self.positions:
            separator = "." if "." in nearest or "[" not in nearest else "["
            nearest = nearest.rpartition(separator)[0]
        return self.place_at(self.positions.get(nearest, Position()), path)

    def place_at(self, position: Position, path: str) -> str:
        """Return file, line, column and path as errors name them."""
        place = f"{self.source}:{position.line}:{position.column}"
        return f"{place}: {path}" if path else place


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def parse_file(text: str, source: str) -> CueFile:
    """Parse a file's text; errors name `source` as the file. Raises `CueError`."""
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        context = error.get_context(text, ERROR_CONTEXT).splitlines()[:1]
        found = shown(context[0].strip()) if context else "the end of the file"
        raise CueError(f"{source}:{error.line}:{error.column}", "a field or a value", found) from None
    file = CueFile(source)
    _TreeReader(file).read_fields(tree, file.content, "")
    return file


class _TreeReader:
    """Converts the parsed tree to the file's content."""

    def __init__(self, file: CueFile) -> None:
        self._file = file

    def read_fields(self, tree: Tree[Token], struct: Struct, path: str) -> None:
        """Add the fields of a tree, which is a struct or the whole file, to `struct`."""
        for child in tree.children:
            if isinstance(child, Tree) and child.data == "field":
                self._read_field(child, struct, path)

    def _read_field(self, tree: Tree[Token], struct: Struct, path: str) -> None:
        name_node, value = _without_newlines(tree)
        token = name_node.children[0] if isinstance(name_node, Tree) else name_node
        assert isinstance(token, Token)
        name = json.loads(token) if token.type == "STRING" else str(token)
        field_path = f"{path}.{name}" if path else name
        is_struct = isinstance(value, Tree) and value.data in ("field", "struct")
        if name in struct and not (is_struct and isinstance(struct[name], dict)):
            place = self._file.place_at(_position(token), field_path)
            found = f"it a second time, after {self._file.place(field_path)}"
            raise CueError(place, "each field once", found)
        self._file.positions.setdefault(field_path, _position(token))
        if is_struct:
            inner = struct.setdefault(name, {})
            assert isinstance(value, Tree)
            assert isinstance(inner, dict)
            self._read_struct(value, inner, field_path)
        else:
            struct[name] = self._value(value, field_path)

    def _read_struct(self, tree: Tree[Token], struct: Struct, path: str) -> None:
        """Add the fields in braces, or the single field of the short form `a: b: value`."""
        if tree.data == "field":
            self._read_field(tree, struct, path)
        else:
            self.read_fields(tree, struct, path)

    def _value(self, node: Node, path: str) -> Value:
        if isinstance(node, Tree):
            return self._struct(node, path) if node.data == "struct" else self._list(node, path)
        match node.type:
            case "LONG":
                return _multiline_string(str(node))
            case "STRING":
                return self._string(node, path)
            case "WORD":
                return KEYWORDS[str(node)]
            case _:
                return _number(str(node))

    def _struct(self, tree: Tree[Token], path: str) -> Struct:
        struct: Struct = {}
        self.read_fields(tree, struct, path)
        return struct

    def _list(self, tree: Tree[Token], path: str) -> list[Value]:
        items: list[Value] = []
        for index, node in enumerate(_without_newlines(tree)):
            item_path = f"{path}[{index}]"
            self._file.positions[item_path] = _position(node)
            items.append(self._value(node, item_path))
        return items

    def _string(self, token: Token, path: str) -> str:
        try:
            return str(json.loads(token))
        except ValueError:
            place = self._file.place_at(_position(token), path)
            raise CueError(place, "a string with the escapes of JSON", shown(str(token), 40)) from None


def _position(node: Node) -> Position:
    """Return where a node begins; line 1, column 1 for an empty list or struct, whose position is unknown."""
    meta = node.meta if isinstance(node, Tree) else node
    return Position(getattr(meta, "line", 1) or 1, getattr(meta, "column", 1) or 1)


def _multiline_string(text: str) -> str:
    """Return the value of a string in three quotes.

    The indentation of its last line is removed from each line, as CUE specifies.
    """
    lines = text.splitlines()
    indent = lines[-1].removesuffix('"""')
    return "\n".join(line.removeprefix(indent) for line in lines[1:-1])


def _number(text: str) -> int | float:
    suffix = next((suffix for suffix in SUFFIXES if text.endswith(suffix)), "")
    digits = text.removesuffix(suffix).replace("_", "")
    is_decimal = bool(set(digits) & set(".eE"))
    value: int | float = float(digits) if is_decimal else int(digits)
    return value * SUFFIXES[suffix] if suffix else value


def _without_newlines(tree: Tree[Token]) -> list[Node]:
    """Return the children without the line ends that separators leave in the tree."""
    return [child for child in tree.children if not _is_newline(child)]


def _is_newline(child: Node) -> bool:
    return isinstance(child, Token) and child.type == "NEWLINE"
