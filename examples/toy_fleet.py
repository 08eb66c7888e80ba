"""A toy fleet to try the dispatcher with: engines that speak RESP, and a service discovery.

    python examples/toy_fleet.py                                # at the addresses of examples/config.json
    python examples/toy_fleet.py --free-ports --write-config F  # at free ports; F gets their configuration

An engine answers after 50 ms with 20 rows. A comment in the statement changes the answer:

    select * from sales_17.orders /* toy: rows=900 ms=200 answer=served */

`answer` is one of served, overload, crashed, silence. Standard input takes commands, one on each line:

    kill NAME       reset the connections of an engine and stop listening
    silence NAME    let an engine neither read commands nor answer
    drain NAME      announce that an engine is terminating
    gone NAME       announce that an engine is gone
    start NAME      start an engine again, as a new process at a new address
    cut             reset the connections of service discovery
    mute, unmute    stop or resume the events and comments of service discovery
    move            move service discovery to a new address; the old one accepts no connections, sends nothing
                    and closes its connections after 1.5 s
    state           print a JSON object: connections and commands of each engine, readers of discovery
    quit            end the fleet
"""

from __future__ import annotations

import argparse
import json
import re
import sys
import time
from pathlib import Path
from typing import IO, Any

from twisted.internet import reactor as _reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.stdio import StandardIO
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import LineReceiver

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from ashcross.protocols.engines import resp
from ashcross.protocols.framing import FramingError
from ashcross.registry.buffers import BufferPool

reactor: Any = _reactor
ANSWER_OPTIONS = re.compile(rb"/\*\s*toy:([^*]*)\*/")
PAGE_BYTES = 6000  # largest page of a result
MOVE_CLOSE_S = 1.5  # after a move, the connections to the old address are closed after this time
CONFIG_TEMPLATE = Path(__file__).with_name("config.json")


def pages_of(rows: int) -> list[bytes]:
    """Return a result of `rows` rows with three text columns, divided into pages of whole rows."""
    pages, page = [], b""
    for number in range(rows):
        row = b"%d\trow number %d\t%s\n" % (number, number, b"x" * (number % 40))
        if len(page) + len(row) > PAGE_BYTES:
            pages.append(page)
            page = b""
        page += row
    return [*pages, page]


class EngineConnection(Protocol):
    """A connection of a dispatcher to an engine."""

    transport: Any

    def __init__(self, engine: Engine) -> None:
        self.engine, self.reader = engine, resp.WordsReader(BufferPool(4096, 4), 1 << 20)
        self.running: dict[bytes, Any] = {}
        self.pages: dict[bytes, list[bytes]] = {}

    def connectionMade(self) -> None:
        """Register the connection."""
        self.engine.connections.add(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Cancel all queries of the connection."""
        self.engine.connections.discard(self)
        for call in self.running.values():
            call.cancel()
        self.running.clear()

    def answer(self, *words: bytes) -> None:
        """Send an answer, unless the engine is silent."""
        if not self.engine.silent:
            self.transport.write(resp.encode(*words))

    def dataReceived(self, data: bytes) -> None:
        """Run the commands that have arrived completely."""
        if self.engine.silent:
            return
        try:
            for words in self.reader.feed(data):
                self.run_command(words)
        except FramingError as error:
            print(f"{self.engine.name}: {error}", file=sys.stderr)
            self.transport.abortConnection()

    def run_command(self, words: list[bytes]) -> None:
        """Run one command."""
        command, request_id = words[0], words[1]
        if command == b"PULL":
            self.start_query(request_id, words[3])
        elif command in (b"KILL", b"DISCARD"):
            self.engine.counts[command.decode()] += 1
            call = self.running.pop(request_id, None)
            if call is not None:
                call.cancel()
            self.pages.pop(request_id, None)
        elif command == b"SCROLL":
            pages, page_index = self.pages.get(request_id, []), int(words[2])
            if page_index < len(pages):
                self.answer(request_id, b"rows", b"index=%d" % page_index, pages[page_index])
            else:
                self.answer(request_id, b"crashed", b"-", b"")
        elif command == b"METER":
            running_count = len(self.running)
            report = f"l=active:{running_count};cpu:{min(1.0, running_count / 8):.2f};x0:0.1;x1:0.1"
            self.answer(request_id, b"green", report.encode(), b"")
        elif command == b"ECHO":
            self.answer(request_id, b"green", b"-", b"")

    def start_query(self, request_id: bytes, statement: bytes) -> None:
        """Start a query, and write its arrival (monotonic nanoseconds and request id) to the ledger."""
        self.engine.counts["PULL"] += 1
        if self.engine.ledger is not None:
            self.engine.ledger.write(f"{time.monotonic_ns()} {request_id.decode()}\n")
            self.engine.ledger.flush()
        options = {"rows": "20", "ms": "50", "answer": "served"}
        match = ANSWER_OPTIONS.search(statement)
        if match:
            options |= dict(
                option.split("=", 1) for option in match.group(1).decode().split() if "=" in option
            )
        if options["answer"] != "silence":
            delay_s = int(options["ms"]) / 1000
            self.running[request_id] = reactor.callLater(delay_s, self.finish_query, request_id, options)

    def finish_query(self, request_id: bytes, options: dict[str, str]) -> None:
        """Send the answer of a query; further pages are kept until the dispatcher reads or discards them."""
        self.running.pop(request_id, None)
        if options["answer"] != "served":
            self.answer(request_id, options["answer"].encode(), b"-", b"")
            return
        pages = pages_of(int(options["rows"]))
        if len(pages) > 1:
            self.pages[request_id] = pages
        self.answer(request_id, b"served", b"total=%d" % len(pages), pages[0])


class Engine(Factory):
    """An engine of the fleet; `entry` is its entry in the endpoint list."""

    noisy = False

    def __init__(self, name: str, entry: dict[str, Any], ledger: IO[str] | None = None) -> None:
        self.name, self.entry, self.silent, self.ledger = name, entry, False, ledger
        self.connections: set[EngineConnection] = set()
        self.counts = {"PULL": 0, "KILL": 0, "DISCARD": 0}
        self.port: Any = None

    def buildProtocol(self, addr: Any) -> EngineConnection:
        """Return the protocol of a new connection."""
        return EngineConnection(self)

    def listen(self, port: int) -> None:
        """Listen at a port, or at a free one if it is 0."""
        self.port = reactor.listenTCP(port, self, interface="127.0.0.1")
        self.entry["address"] = f"127.0.0.1:{self.port.getHost().port}"

    def kill(self) -> None:
        """Act like a process that is killed: reset the connections and refuse new ones."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for connection in list(self.connections):
            connection.transport.abortConnection()


class DiscoveryConnection(Protocol):
    """A connection that reads the events of service discovery."""

    transport: Any

    def __init__(self, discovery: Discovery) -> None:
        self.discovery, self.head, self.is_streaming = discovery, b"", False

    def dataReceived(self, data: bytes) -> None:
        """Wait for the head of the request, then send all events after the one that it names."""
        if self.is_streaming:
            return
        self.head += data
        if b"\r\n\r\n" not in self.head:
            return
        match = re.search(rb"(?i)last-event-id:\s*(\d+)", self.head)
        last_event_number = int(match.group(1)) if match else 0
        self.is_streaming = True
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        for event in self.discovery.events[last_event_number:]:
            self.send(event)
        self.discovery.readers.add(self)

    def send(self, event: dict[str, Any]) -> None:
        """Send one event."""
        self.transport.write(f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode())

    def connectionLost(self, reason: Any = None) -> None:
        """Remove the connection from the readers."""
        self.discovery.readers.discard(self)


class Discovery(Factory):
    """The service discovery: a list of numbered events and the connections that read it."""

    noisy = False

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.events: list[dict[str, Any]] = []
        self.readers: set[DiscoveryConnection] = set()
        self.is_muted = False
        self.port: Any = None
        self.publish(entries, is_snapshot=True)

    def buildProtocol(self, addr: Any) -> DiscoveryConnection:
        """Return the protocol of a new connection."""
        return DiscoveryConnection(self)

    def publish(self, entries: list[dict[str, Any]], is_snapshot: bool = False) -> None:
        """Add an event with these entries of the endpoint list, and send it to all readers."""
        number = len(self.events) + 1
        roster = {"index": number, "snapshot": is_snapshot, "endpoints": [dict(entry) for entry in entries]}
        self.events.append({"no": number, "roster": roster})
        if not self.is_muted:
            for reader in self.readers:
                reader.send(self.events[-1])

    def listen(self, port: int) -> str:
        """Listen at a port, or at a free one if it is 0, instead of the previous one; return the address."""
        if self.port is not None:
            self.port.stopListening()
            for reader in self.readers:
                reactor.callLater(MOVE_CLOSE_S, reader.transport.loseConnection)
            self.readers.clear()
        self.port = reactor.listenTCP(port, self, interface="127.0.0.1")
        return f"127.0.0.1:{self.port.getHost().port}"

    def send_comment(self) -> None:
        """Send a comment, which shows the readers that the connection is alive."""
        if not self.is_muted:
            for reader in self.readers:
                reader.transport.write(b": here\n\n")


class ToyFleet(LineReceiver):
    """The engines, the service discovery, and the commands on standard input."""

    delimiter = b"\n"
    transport: Any

    def __init__(self, config: dict[str, Any], free_ports: bool, ledger: IO[str] | None = None) -> None:
        self.engines: dict[str, Engine] = {}
        entries = config["known"]["items"][0]["roster"]["endpoints"]
        for entry in entries:
            engine = self.engines[entry["name"]] = Engine(entry["name"], entry, ledger)
            engine.listen(0 if free_ports else int(entry["address"].rpartition(":")[2]))
        self.discovery = Discovery(entries)
        port = 0 if free_ports else int(config["bulletin"].rpartition(":")[2])
        config["bulletin"] = self.discovery.listen(port)
        LoopingCall(self.discovery.send_comment).start(1.0)

    def lineReceived(self, line: bytes) -> None:
        """Run a command and print its result as one line."""
        command, _, name = line.decode().strip().partition(" ")
        engine = self.engines.get(name)
        try:
            print(self.run_command(command, engine), flush=True)
        except (AttributeError, KeyError) as error:
            print(f"command {command!r} for engine {name!r} failed: {error}", flush=True)

    def run_command(self, command: str, engine: Any) -> str:
        """Run one command, and return its result."""
        if command == "kill":
            engine.kill()
        elif command == "silence":
            engine.silent = True
        elif command in ("drain", "gone"):
            engine.entry["status"] = "Terminating" if command == "drain" else "Gone"
            self.discovery.publish([engine.entry])
        elif command == "start":
            engine.kill()
            engine.silent = False
            engine.listen(0)
            engine.entry |= {"status": "Ready", "since_ms": int(time.time() * 1000)}
            self.discovery.publish([engine.entry])
        elif command == "cut":
            for reader in list(self.discovery.readers):
                reader.transport.abortConnection()
        elif command in ("mute", "unmute"):
            self.discovery.is_muted = command == "mute"
        elif command == "move":
            return self.discovery.listen(0)
        elif command == "state":
            state = {
                name: {"connections": len(named_engine.connections), **named_engine.counts}
                for name, named_engine in self.engines.items()
            }
            return json.dumps(state | {"readers": len(self.discovery.readers)})
        elif command == "quit":
            reactor.stop()
        else:
            return f"unknown command {command!r}"
        return "ok"

    def connectionLost(self, reason: Any = None) -> None:
        """Continue without commands, as standard input has ended."""


def main() -> None:
    """Start the fleet and run it until it is told to quit."""
    parser = argparse.ArgumentParser(description="a toy fleet: engines and a service discovery")
    parser.add_argument(
        "--free-ports", action="store_true", help="listen at free ports instead of those of config.json"
    )
    parser.add_argument("--write-config", metavar="FILE", help="write a configuration with these addresses")
    parser.add_argument("--ledger", metavar="FILE", help="append a line for each query that arrives")
    options = parser.parse_args()
    config = json.loads(CONFIG_TEMPLATE.read_text(encoding="utf-8"))
    ledger = Path(options.ledger).open("a", encoding="utf-8") if options.ledger else None  # noqa: SIM115
    fleet = ToyFleet(config, options.free_ports, ledger)
    if options.write_config:
        if options.free_ports:
            config["listen"] = "127.0.0.1:0"
        Path(options.write_config).write_text(json.dumps(config), encoding="utf-8")
    StandardIO(fleet)  # type: ignore[no-untyped-call]
    print(f"{len(fleet.engines)} engines, service discovery at {config['bulletin']}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
