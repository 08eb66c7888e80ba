"""Imports go one way: a package imports only what stands below it."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "ashcross").rglob("*.py"))

# from the bottom up: each may import what stands before it, and what is in its own package
LAYERS = (
    "errors",
    "logs",
    "audit",
    "decisions",
    "registry",
    "protocols",
    "dispatcher",
    "service",
    "cluster",
    "quotas",
    "operator_config",
    "bench_adapter",
    "simulation",
    "cli",
    "__main__",
)


def module_of(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports(path: Path) -> Iterator[str]:
    """Modules of the program that a file imports, anywhere in it."""
    modules = {module_of(source) for source in SOURCES}
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in modules)
        elif isinstance(node, ast.ImportFrom) and node.module in modules:
            named = {f"{node.module}.{alias.name}" for alias in node.names} & modules
            yield from named or {node.module or ""}


def layer(module: str) -> str:
    return module.split(".")[1] if "." in module else ""


def test_imports_follow_layers_without_cycles() -> None:
    graph = {module_of(path): set(imports(path)) for path in SOURCES}
    upward = [
        f"{module} imports {other}"
        for module, others in graph.items()
        for other in others
        if layer(module) and layer(other) and LAYERS.index(layer(other)) > LAYERS.index(layer(module))
    ]
    assert upward == []

    def cycle(module: str, path: tuple[str, ...]) -> tuple[str, ...]:
        if module in path:
            return (*path[path.index(module) :], module)
        if module in done:
            return ()
        for other in graph[module] - {module.rpartition(".")[0]}:
            if found := cycle(other, (*path, module)):
                return found
        done.add(module)
        return ()

    done: set[str] = set()
    assert [found for module in graph if (found := cycle(module, ()))] == []
