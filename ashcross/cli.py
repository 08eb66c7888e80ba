"""The command line: serve, check-config, ask, version."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from ashcross import __version__
from ashcross.lifecycle import config as configuration
from ashcross.lifecycle.checks import ConfigError


def parser() -> argparse.ArgumentParser:
    """All sub-commands with their options."""
    top = argparse.ArgumentParser(
        prog="ashcross", description="A query gateway: what runs, where, with how much memory."
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run a dispatcher in the foreground")
    check = commands.add_parser("check-config", help="check a configuration and say what it holds")
    for command in (serve, check):
        command.add_argument(
            "--config",
            metavar="FILE",
            help=f"the configuration; else the file that {configuration.PATH_VARIABLE} names",
        )
    commands.add_parser("version", help="print the version")
    return top


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command; its exit code."""
    asked = parser().parse_args(arguments)
    if asked.command == "version":
        print(f"ashcross {__version__}")
        return 0
    try:
        config = configuration.from_process(asked.config)
    except ConfigError as error:
        print(f"ashcross: {error}", file=sys.stderr)
        return 2
    if asked.command == "check-config":
        print(
            f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, classes "
            f"{', '.join(config.host.class_names)}, {len(config.known)} events known"
        )
        return 0
    from ashcross.lifecycle import logs, service  # Twisted is loaded by who serves alone

    logs.start(config.transport.log_level)
    return service.run(config)
