"""The host of many independent schedulers behind one text protocol."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from ashcross.bench_adapter import codec
from ashcross.bench_adapter.codec import WireError
from ashcross.decisions.events import Endpoint, EndpointListKind, EndpointListUpdate, Event
from ashcross.decisions.scheduler import Scheduler
from ashcross.decisions.settings import SchedulerSettings
from ashcross.errors import AshcrossError, shown

# Exceptions that decoding raises for malformed input.
DECODING_ERRORS = (AshcrossError, ValueError, KeyError, IndexError, TypeError, AttributeError)
SHOWN_NAME_CHARACTERS = 40  # an error quotes this many characters of the name of a malformed line
SHOWN_LINE_CHARACTERS = 200  # an error quotes this many characters of the whole line
SHOWN_ERROR_CHARACTERS = 400  # an error quotes this many characters of the exception that caused it


@dataclass(frozen=True, slots=True)
class Instance:
    """One scheduler and the decoder for its events."""

    scheduler: Scheduler
    decoder: codec.Decoder


class Host:
    """The open instances; reads batches of lines, passes each event to its instance and returns the replies.

    `new_scheduler` builds a scheduler from its settings and its seed.
    """

    def __init__(self, new_scheduler: Callable[[SchedulerSettings, int], Scheduler] = Scheduler) -> None:
        self._new_scheduler = new_scheduler
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def replies(self, lines: Iterable[str]) -> Iterator[str]:
        """Yield one reply for each complete batch; raises `WireError` if a batch is malformed."""
        source = iter(lines)
        for line in source:
            first_line = line.rstrip("\n")
            try:
                reply = self._batch(first_line, source)
            except WireError:
                raise
            except DECODING_ERRORS as error:
                place = f"the batch that begins with {shown(first_line)}"
                raise WireError(place, "a well-formed batch", shown(error, SHOWN_ERROR_CHARACTERS)) from error
            yield reply

    def _batch(self, first_line: str, source: Iterator[str]) -> str:
        """Handle the lines up to the end of the batch, and return the complete reply."""
        fields = first_line.split("\t")
        if len(fields) != 2 or fields[0] != "FRAME":
            raise WireError("a batch", "FRAME and a time in its first line", shown(first_line))
        now = int(fields[1])
        reply: list[str] = []
        for source_line in source:
            line = source_line.rstrip("\n")
            if line == "EOB":
                reply.append("END\n")
                return "\n".join(reply)
            reply += self._handle_line(now, line, source)
        raise WireError("a batch", "EOB as its last line", "the end of the input")

    def _handle_line(self, now: int, line: str, source: Iterator[str]) -> list[str]:
        """Handle one line and return the lines of its reply; rows of a list are read from `source`."""
        name, _, arguments = line.partition("\t")
        try:
            if name == "DEFINE_LIST":
                self._define_list(arguments, source)
                return []
            if name == "OPEN_INSTANCE":
                return self._open_instance(arguments)
            fields = line.split("\t")
            number = int(fields[1])
            if name == "DESTROY":
                self._instances.pop(number, None)
                return []
            instance = self._instances.get(number)
            if instance is None:
                place = f"a line {shown(name, SHOWN_NAME_CHARACTERS)}"
                raise WireError(place, "the number of an open instance", shown(number))
            event = self._decode_event(instance, fields)
        except WireError:
            raise
        except DECODING_ERRORS as error:
            wanted = f"a well-formed line instead of {shown(line, SHOWN_LINE_CHARACTERS)}"
            found = shown(error, SHOWN_ERROR_CHARACTERS)
            place = f"a line {shown(name, SHOWN_NAME_CHARACTERS)}"
            raise WireError(place, wanted, found) from error
        if event is None:
            return []
        return _handle_event(number, instance, now, event)

    def _define_list(self, arguments: str, source: Iterator[str]) -> None:
        """Read the endpoint list to which later events refer by its number."""
        number, count = arguments.split("\t")
        endpoints = []
        for index in range(int(count)):
            fields = next(source, "").rstrip("\n").split("\t")
            if fields[0] != "ROW":
                wanted = f"a ROW as line {index + 1} of the list"
                raise WireError(f"DEFINE_LIST {number}"[:SHOWN_NAME_CHARACTERS], wanted, shown(fields[0]))
            endpoints.append(codec.decode_endpoint(fields))
        self._lists[int(number)] = tuple(endpoints)

    def _open_instance(self, arguments: str) -> list[str]:
        """Build the scheduler of a new instance, and return the lines of the reply."""
        number, seed, content = arguments.split("\t", 2)
        settings, classes = codec.decode_settings(content)
        try:
            scheduler = self._new_scheduler(settings, int(seed))
        except Exception as error:  # any error of the scheduler is reported in the reply; the host goes on
            return [_internal_error(number, error)]
        self._instances[int(number)] = Instance(scheduler, codec.Decoder(settings, classes))
        return []

    def _decode_event(self, instance: Instance, fields: list[str]) -> Event | None:
        """Return the event of a line, or None if it is skipped."""
        if fields[0] == "BACKENDS_CHANGED":
            return self._list_update(fields)
        return codec.EVENTS[fields[0]](instance.decoder, fields)

    def _list_update(self, fields: list[str]) -> EndpointListUpdate:
        _, _, kind_number, version, list_number = fields
        kind = codec.LIST_KINDS[int(kind_number)]
        endpoints = () if kind is EndpointListKind.FAILED else self._lists[int(list_number)]
        return EndpointListUpdate(kind, codec.integer(version), endpoints)


def _handle_event(number: int, instance: Instance, now: int, event: Event) -> list[str]:
    """Let one instance handle an event; return its actions as lines, also those before an error."""
    lines: list[str] = []
    try:
        for action in instance.scheduler.handle(now, event):
            lines.append(codec.encode(number, action))
    except Exception as error:  # any error of the scheduler is reported in the reply; the host goes on
        lines.append(_internal_error(number, error))
    return lines


def _internal_error(number: int | str, error: Exception) -> str:
    return f"INTERNAL_ERROR\t{number}\t{codec.one_line(repr(error))}"
