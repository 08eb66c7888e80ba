"""Tests of the package layers: a package imports only lower layers, and imports form no cycle."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "ashcross").rglob("*.py"))

# The layers from the lowest to the highest. A package may import itself and the packages before it.
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
    """Yield the modules of the program that a file imports at any level."""
    modules = {module_of(source) for source in SOURCES}
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in modules)
        elif isinstance(node, ast.ImportFrom) and node.module in modules:
            submodules = {f"{node.module}.{alias.name}" for alias in node.names} & modules
            yield from submodules or {node.module or ""}


def layer(module: str) -> str:
    return module.split(".")[1] if "." in module else ""


def test_imports_follow_layers_without_cycles() -> None:
    graph = {module_of(path): set(imports(path)) for path in SOURCES}
    upward = [
        f"{module} imports {imported}"
        for module, imported_modules in graph.items()
        for imported in imported_modules
        if layer(module) and layer(imported) and LAYERS.index(layer(imported)) > LAYERS.index(layer(module))
    ]
    assert upward == []

    def find_cycle(module: str, path: tuple[str, ...]) -> tuple[str, ...]:
        if module in path:
            return (*path[path.index(module) :], module)
        if module in without_cycle:
            return ()
        for imported in graph[module] - {module.rpartition(".")[0]}:
            if cycle := find_cycle(imported, (*path, module)):
                return cycle
        without_cycle.add(module)
        return ()

    without_cycle: set[str] = set()
    assert [cycle for module in graph if (cycle := find_cycle(module, ()))] == []
