"""Tests of the push parsers: every split point, round trips, and arbitrary bytes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashcross.protocols.clients import json_rpc
from ashcross.protocols.discovery import event_stream
from ashcross.protocols.engines import resp
from ashcross.protocols.framing import Framer, FramingError
from ashcross.registry.buffers import BufferPool

POOL = BufferPool(16, 64)


def words_reader() -> resp.WordsReader:
    return resp.WordsReader(POOL, 1000)


def body_reader() -> json_rpc.BodyReader:
    return json_rpc.BodyReader(POOL, 1000)


def event_reader() -> event_stream.EventReader:
    return event_stream.EventReader(POOL, 1000)


RESP_STREAM = b"".join(
    resp.encode(*words) for words in ((b"id1", b"served", b"total=2", b"a\tb\tc\n\r\n"), (b"", b"-"), ())
)
RPC_STREAM = b"".join(
    (json_rpc.frame(b'{"a":"\r\n\r\n"}'), b"X-Other: 1\r\ncontent-length:2\r\n\r\n{}", json_rpc.frame(b""))
)
SSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
SSE_BODY = (
    "\ufeff: hi\n\nid: 1\r\ndata: one\r\ndata:two\r\n\r\nevent: x\rid: 2\rdata: \u00e4\r\rdata: three\n\n"
).encode()
SSE_PLAIN = SSE_HEAD + b"\r\n" + SSE_BODY
SSE_CHUNKED = (
    SSE_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"".join(
        b"%x;ext=1\r\n%b\r\n" % (len(chunk), chunk) for chunk in (SSE_BODY[:7], SSE_BODY[7:30], SSE_BODY[30:])
    )
)
CASES: list[tuple[Callable[[], Any], bytes]] = [
    (words_reader, RESP_STREAM),
    (body_reader, RPC_STREAM),
    (event_reader, SSE_PLAIN),
    (event_reader, SSE_CHUNKED),
]


@pytest.mark.parametrize(("make_reader", "stream"), CASES)
def test_split_points_do_not_change_the_messages(make_reader: Callable[[], Any], stream: bytes) -> None:
    lent_before = POOL.lent
    expected = list(make_reader().feed(stream))
    assert len(expected) == 3
    for split in range(len(stream) + 1):
        reader = make_reader()
        assert [*reader.feed(stream[:split]), *reader.feed(stream[split:])] == expected, split
        reader.close()
    reader = make_reader()
    assert [message for i in range(len(stream)) for message in reader.feed(stream[i : i + 1])] == expected
    reader.close()
    assert POOL.lent == lent_before


def test_events_are_parsed_as_the_standard_says() -> None:
    events = list(event_reader().feed(SSE_PLAIN))
    assert events == [
        event_stream.ServerEvent("1", "one\ntwo"),
        event_stream.ServerEvent("2", "\u00e4"),
        event_stream.ServerEvent("2", "three"),
    ]
    assert list(event_reader().feed(SSE_CHUNKED)) == events


@pytest.mark.parametrize("make_reader", [words_reader, body_reader, event_reader])
@given(st.lists(st.binary(max_size=60), max_size=8))
def test_arbitrary_bytes_raise_only_framing_errors(
    make_reader: Callable[[], Any], fragments: list[bytes]
) -> None:
    reader = make_reader()
    try:
        for fragment in fragments:
            list(reader.feed(fragment))
    except FramingError:
        pass
    finally:
        reader.close()


@given(st.lists(st.lists(st.binary(max_size=50), max_size=resp.MAX_WORDS), max_size=6), st.integers(1, 40))
def test_resp_parses_what_it_encodes(messages: list[list[bytes]], step: int) -> None:
    stream, reader = b"".join(resp.encode(*words) for words in messages), words_reader()
    assert [m for i in range(0, len(stream), step) for m in reader.feed(stream[i : i + step])] == messages


@pytest.mark.parametrize(
    ("make_reader", "invalid_bytes"),
    [
        (words_reader, b"*9\r\n"),
        (words_reader, b"*1\r\n$1001\r\n"),
        (words_reader, b"*1\r\n$-1\r\n"),
        (words_reader, b"*1\r\n$1\r\nabc"),
        (words_reader, b"*" + b"1" * 20),
        (words_reader, b"PING\r\n"),
        (body_reader, b"Content-Length: 1001\r\n\r\n"),
        (body_reader, b"Content-Length: -1\r\n\r\n"),
        (body_reader, b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n"),
        (body_reader, b"Other: 1\r\n\r\n"),
        (body_reader, b"nothing\r\n\r\n"),
        (body_reader, b"x" * json_rpc.MAX_HEAD_BYTES),
        (event_reader, b"HTTP/1.1 500 no\r\n\r\n"),
        (event_reader, b"SMTP\r\n\r\n"),
        (event_reader, b"x" * event_stream.MAX_HEAD_BYTES),
        (event_reader, SSE_HEAD + b"\r\n" + b"data: " + b"x" * 1001),
        (event_reader, SSE_HEAD + b"\r\n" + b"data: xxxxxxxxx\n" * 120),
        (event_reader, SSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\nfff\r\n"),
        (event_reader, SSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"),
        (event_reader, SSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
    ],
)
def test_broken_framing_or_exceeded_limit_is_an_error(
    make_reader: Callable[[], Any], invalid_bytes: bytes
) -> None:
    with pytest.raises(FramingError):
        list(make_reader().feed(invalid_bytes))


MESSAGE_THEN_BROKEN_FRAMING = [
    (words_reader, resp.encode(b"id1", b"served", b"-"), b"*9\r\n"),
    (body_reader, json_rpc.frame(b"{}"), b"Content-Length: 1001\r\n\r\n"),
    (event_reader, SSE_HEAD + b"\r\ndata: one\n\n", b"data: " + b"x" * 1001),
    (event_reader, SSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\n", b"fff\r\n"),
]


@pytest.mark.parametrize(("make_reader", "complete", "broken"), MESSAGE_THEN_BROKEN_FRAMING)
def test_messages_before_broken_framing_are_yielded(
    make_reader: Callable[[], Any], complete: bytes, broken: bytes
) -> None:
    stream = complete + broken
    for split in range(len(stream) + 1):
        reader, messages = make_reader(), []
        with pytest.raises(FramingError):
            for fragment in (stream[:split], stream[split:]):
                for message in reader.feed(fragment):
                    messages.append(message)
        reader.close()
        assert len(messages) == 1, split


def test_message_in_small_fragments_is_not_cut_for_each_fragment() -> None:
    cut_count = 0

    class CountingReader(json_rpc.BodyReader):
        def cut(self, data: bytes, at: int) -> tuple[int, bytes] | int:
            nonlocal cut_count
            cut_count += 1
            return super().cut(data, at)

    reader: Framer[bytes] = CountingReader(BufferPool(64, 64), 100_000)
    stream = json_rpc.frame(b"x" * 50_000)
    assert [m for i in range(0, len(stream), 50) for m in reader.feed(stream[i : i + 50])] == [b"x" * 50_000]
    assert cut_count <= 3
