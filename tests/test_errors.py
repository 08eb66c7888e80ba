"""Every error derives from `AshcrossError`, has a row in docs/errors.md, and is printed as one line."""

from __future__ import annotations

import ast
import importlib
import pkgutil
import re
import subprocess
import sys
from pathlib import Path

import pytest

import ashcross
from ashcross.errors import AshcrossError

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "ashcross").rglob("*.py"))

# other types that the program raises; no operator sees them
OTHER_ERRORS = {
    "NotImplementedError",
    "OSError",
    "BlockingIOError",
    "Hung",
    "ZeroDivisionError",
    "AssertionError",
}


def error_types() -> set[type[AshcrossError]]:
    for module in pkgutil.walk_packages(ashcross.__path__, "ashcross."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    types, unvisited = set[type[AshcrossError]](), [AshcrossError]
    while unvisited:
        subclasses = unvisited.pop().__subclasses__()
        types.update(subclasses)
        unvisited += subclasses
    return {error for error in types if error.__module__.startswith("ashcross.")}


def test_each_error_type_has_a_documentation_row_and_a_remedy() -> None:
    page = (ROOT / "docs" / "errors.md").read_text(encoding="utf-8")
    rows = re.findall(r"^\| `(\w+)` \|", page, re.MULTILINE)
    assert sorted(rows) == sorted(error.__name__ for error in error_types())
    assert all("remedy" in vars(error) and len(error.remedy) > 10 for error in error_types())


def test_only_known_error_types_are_raised() -> None:
    names = {error.__name__ for error in error_types()} | OTHER_ERRORS
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Raise) and isinstance(node.exc, ast.Call):
                called = node.exc.func
                name = called.attr if isinstance(called, ast.Attribute) else getattr(called, "id", "")
                is_helper_call = name in ("wrong", "_wrong")  # helpers that return an `AshcrossError`
                assert name in names or is_helper_call, f"{path}:{node.lineno} raises {name}"


BAD_FILES = {
    "no.json": "{",
    "list.json": "[1]",
    "settings.json": '{"listen": "127.0.0.1:0", "settings": 5}',
    "classes.json": '{"listen": "127.0.0.1:0", "settings": {"Classes": []}}',
    "known.json": '{"known": {"items": [{"roster": {"endpoints": 5}}]}, "settings": {"Classes": [{}]}}',
}
BAD_OPERATOR_FILES = {
    "open.cue": "tier: {",
    "word.cue": 'tier: {key: "00", members: []}',
    "more.cue": f'tier: {{key: "{"0" * 32}", members: [{{name: "toy", address: "127.0.0.1:1"}}]}}\nbeyond: 1',
    "other.cue": f'tier: {{key: "{"0" * 32}", members: [{{name: "else", address: "127.0.0.1:1"}}]}}',
    "quota.cue": (
        f'tier: {{key: "{"0" * 32}", members: [{{name: "toy", address: "127.0.0.1:1"}}]}}\n'
        'quotas: """\n    quota q { per cow limit 5 in 1s }\n    """'
    ),
    "twice.cue": "tier: {}\ntier: 5",
    "bytes.cue": "\x00",
}


def error_output(*arguments: str) -> str:
    completed = subprocess.run(
        [sys.executable, "-B", "-m", "ashcross", *arguments], cwd=ROOT, capture_output=True, text=True
    )
    assert completed.returncode in (2, 5), completed
    return completed.stderr


@pytest.mark.parametrize("name", sorted(BAD_FILES))
def test_invalid_configuration_is_reported_in_one_line(name: str, tmp_path: Path) -> None:
    path = tmp_path / name
    path.write_text(BAD_FILES[name], encoding="utf-8")
    for command in ("check-config", "serve"):
        line = error_output(command, "--config", str(path))
        assert re.fullmatch(r"ashcross: [^\n]+: wanted [^\n]+, found [^\n]+; [^\n]+\n", line), line


@pytest.mark.parametrize("name", sorted(BAD_OPERATOR_FILES))
def test_invalid_operator_file_is_reported_in_one_line(name: str, tmp_path: Path) -> None:
    path = tmp_path / name
    path.write_text(BAD_OPERATOR_FILES[name], encoding="utf-8")
    line = error_output("check-config", "--config", "examples/config.json", "--operator", str(path))
    assert re.fullmatch(r"ashcross: [^\n]+: wanted [^\n]+, found [^\n]+; [^\n]+\n", line), line
    assert str(path) in line


@pytest.mark.parametrize(
    "arguments",
    [
        ("serve",),
        ("check-config", "--config", "/nowhere/c.json"),
        ("check-config", "--config", "examples/config.json", "--operator", "/nowhere/o.cue"),
        ("ping", "--at", "here"),
        ("ping", "--at", "127.0.0.1:1"),
        ("lab", "run", "--seeds", "5"),
        ("lab", "replay", "/nowhere/script.json"),
        ("lab", "run", "--mutant", "none-such"),
    ],
)
def test_invalid_arguments_are_reported_in_one_line(arguments: tuple[str, ...]) -> None:
    line = error_output(*arguments)
    assert re.fullmatch(r"ashcross[^\n]*: wanted [^\n]+, found [^\n]+; [^\n]+\n", line), line
