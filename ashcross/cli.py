"""The command line: serve, check-config, ask, ping, lab, version.

Exit codes: 0 success, 1 the dispatcher cannot serve, 2 invalid arguments or configuration. `ask` and `ping`
also return 3 if the query was rejected or the dispatcher is not ready, 4 if the query failed, and 5 if there
was no answer.
"""

from __future__ import annotations

import argparse
import secrets
import sys
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING

from ashcross import __version__
from ashcross.errors import AshcrossError
from ashcross.service import config_file
from ashcross.service.config_schema import Config
from ashcross.service.listener import EarlyListener
from ashcross.service.signals import Signals

# A command imports only what it needs, because each import costs start time and memory.
if TYPE_CHECKING:
    from ashcross.operator_config.records import OperatorConfig
    from ashcross.protocols.clients import json_rpc

EXIT_DONE = 0
EXIT_BAD_ARGUMENTS = 2
EXIT_REJECTED = 3
EXIT_FAILED = 4
EXIT_NO_ANSWER = 5

PING_TIMEOUT_S = 5.0
ANSWER_MARGIN_S = 1.0  # `ask` waits this long beyond the deadline of its request


def parser() -> argparse.ArgumentParser:
    """Return the parser of all subcommands and their options."""
    top = argparse.ArgumentParser(
        prog="ashcross",
        description="A query gateway: it decides which query runs, on which engine and with how much memory.",
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run a dispatcher in the foreground")
    check = commands.add_parser("check-config", help="check a configuration and print a summary")
    for command in (serve, check):
        command.add_argument(
            "--config",
            metavar="FILE",
            help=f"the configuration file (default: the file that {config_file.PATH_VARIABLE} names)",
        )
        command.add_argument(
            "--operator",
            metavar="FILE",
            help="the operator's file, which enables the cluster and quotas (docs/cluster.md)",
        )
    ask = commands.add_parser("ask", help="send one query to a dispatcher and print its rows")
    ask.add_argument("class_name", metavar="CLASS", help="the name of the class in the settings")
    ask.add_argument("statement", metavar="STATEMENT", help="the statement; - reads it from standard input")
    ask.add_argument(
        "--limit-ms", type=float, default=5000.0, help="deadline of the query in ms (default %(default)g)"
    )
    ask.add_argument("--team", help="the tenant")
    ask.add_argument(
        "--cpu-ms", type=float, default=50.0, help="estimated work in ms on one core (default %(default)g)"
    )
    ask.add_argument(
        "--memory-mb", type=float, default=16.0, help="estimated memory in MB (default %(default)g)"
    )
    ask.add_argument("--unique", help="the idempotency key, for classes that need one")
    ping = commands.add_parser("ping", help="check whether a dispatcher is ready for requests")
    for command in (ask, ping):
        command.add_argument(
            "--at",
            metavar="HOST:PORT",
            default="127.0.0.1:8080",
            help="address of the dispatcher (default %(default)s)",
        )
    commands.add_parser(
        "lab", help="run the dispatcher in simulation with injected faults (see `ashcross lab --help`)"
    )
    commands.add_parser("version", help="print the version")
    return top


def main(
    arguments: Sequence[str] | None = None,
    signals: Signals | None = None,
    listener: EarlyListener | None = None,
) -> int:
    """Run one command and return its exit code.

    `signals` has the handlers installed and holds the signals so far; `listener` is the socket on which
    `serve` already listens.
    """
    command_line = sys.argv[1:] if arguments is None else list(arguments)
    if command_line[:1] == ["lab"]:
        from ashcross.simulation import commands

        return commands.main(command_line[1:])
    options = parser().parse_args(command_line)
    if options.command == "version":
        print(f"ashcross {__version__}")
        return EXIT_DONE
    if options.command in ("ask", "ping"):
        return _ask(options)
    if options.command == "check-config":
        return _check_config(options)
    if signals is None:
        signals = Signals()
        signals.install()
    return _serve(options, signals, listener)


def _check_config(options: argparse.Namespace) -> int:
    """Check the configuration and the operator's file, and print a summary of each."""
    try:
        config = config_file.process_config(options.config)
        operator_config = _load_operator_config(options.operator, config)
    except AshcrossError as error:
        return _bad_arguments(error)
    print(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, classes "
        f"{', '.join(config.host.class_names)}, known discovery events: {len(config.known_events)}"
    )
    if operator_config is not None:
        print(
            f"{options.operator}: {len(operator_config.cluster.members)} members, "
            f"quotas {', '.join(quota.name for quota in operator_config.quotas) or 'none'}"
        )
    return EXIT_DONE


def _serve(options: argparse.Namespace, signals: Signals, listener: EarlyListener | None) -> int:
    """Run a dispatcher until a signal stops it."""
    try:
        config = config_file.process_config_with_retry(options.config, lambda: signals.stop)
        operator_config = _load_operator_config(options.operator, config)
    except AshcrossError as error:
        return _bad_arguments(error)
    from ashcross import logs
    from ashcross.service import process

    logs.start(config.transport.log_level)
    attach = None
    if operator_config is not None:
        from ashcross.operator_config import assembly

        attach = partial(assembly.attach, operator_config=operator_config, source=options.operator)
    read_config = partial(config_file.process_config, options.config)
    return process.run(config, signals, read_config, listener, attach)


def _load_operator_config(path: str | None, config: Config) -> OperatorConfig | None:
    """Return the content of the operator's file, or None without a path.

    Raises `AshcrossError` if the file is invalid or does not list this dispatcher as a member.
    """
    if not path:
        return None
    from ashcross.operator_config import records

    operator_config = records.load(path)
    operator_config.member_number(config.name, path)
    return operator_config


def _ask(options: argparse.Namespace) -> int:
    """Send one call, print its answer, and return the exit code."""
    from ashcross.protocols.clients import json_rpc, query_client
    from ashcross.protocols.discovery.endpoint_list import EndpointListError, address

    try:
        target = address(options.at)
    except EndpointListError as error:
        remedy = "give the address of a dispatcher as HOST:PORT"
        return _bad_arguments(EndpointListError("--at", error.wanted, error.found, remedy))
    if options.command == "ping":
        call = json_rpc.call("ping", 1, {})
        timeout_s = PING_TIMEOUT_S
    else:
        call = _query_call(options)
        timeout_s = options.limit_ms / 1000 + ANSWER_MARGIN_S
    try:
        answer = query_client.ask(target, call, timeout_s)
    except query_client.NoAnswerError as error:
        print(f"ashcross: {error}", file=sys.stderr)
        return EXIT_NO_ANSWER
    if answer.result is None:
        retry_after = f"; retry after {answer.retry_after_ms} ms" if answer.retry_after_ms else ""
        print(f"ashcross: {answer.message} ({answer.code}){retry_after}", file=sys.stderr)
        return EXIT_REJECTED if answer.code == json_rpc.REJECTED else EXIT_FAILED
    if options.command == "ping":
        is_ready = answer.result.get("well") is True
        print("well" if is_ready else "ill")
        return EXIT_DONE if is_ready else EXIT_REJECTED
    return _print_rows(answer)


def _query_call(options: argparse.Namespace) -> bytes:
    """Return the call of `ask`; its parameters have the names of the protocol."""
    from ashcross.protocols.clients import json_rpc

    statement = sys.stdin.read() if options.statement == "-" else options.statement
    parameters = {
        "txn": secrets.token_hex(8),
        "limit": options.limit_ms,
        "cpu": options.cpu_ms,
        "memory": options.memory_mb,
        "unique": options.unique,
        "team": options.team,
    }
    return json_rpc.query(options.class_name, 1, statement.encode(), parameters)


def _print_rows(answer: json_rpc.Answer) -> int:
    from ashcross.protocols.clients import query_client

    sys.stdout.buffer.write(query_client.rows(answer))
    sys.stdout.flush()
    return EXIT_DONE


def _bad_arguments(error: AshcrossError) -> int:
    print(f"ashcross: {error}", file=sys.stderr)
    return EXIT_BAD_ARGUMENTS
