"""The parser of the operator's file: values and their positions."""

from __future__ import annotations

import pytest

from ashcross.operator_config.cue_parser import CueError, parse_file


def test_parsed_file_has_values_and_their_positions() -> None:
    file = parse_file('a: b: {\n  c: [1, 2Ki,\n 3]\n}\n"d e": """\n   x\n     y\n   """\n', "f.cue")
    assert file.content == {"a": {"b": {"c": [1, 2048, 3]}}, "d e": "x\n  y"}
    assert file.place("a.b.c[2]") == "f.cue:3:2: a.b.c[2]"
    with pytest.raises(CueError, match=r"f\.cue:2:1"):
        parse_file("a: 1\na: 2\n", "f.cue")
