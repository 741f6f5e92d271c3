"""The platform's codecs: results do not depend on how bytes are split, limits hold, no input raises."""

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lapistrestle.node import fastcgi
from lapistrestle.node.configuration import ConfigurationError, parse_configuration, read_configuration
from lapistrestle.node.notices import Frame, FrameDecoder, FrameError, Record
from lapistrestle.standins.platform import begin_request, board_frame, board_row

FIELDS = st.dictionaries(st.binary(max_size=300), st.binary(max_size=300), max_size=5)


def request(number: int, fields: dict[bytes, bytes], body: bytes) -> bytes:
    params = b"".join(fastcgi.encode_pair(k, v) for k, v in fields.items())
    parts = [begin_request(number)]
    for kind, content in ((fastcgi.PARAMS, params), (fastcgi.STDIN, body)):
        for at in range(0, len(content), 700):
            piece = content[at : at + 700]
            parts.append(fastcgi.HEAD.pack(1, kind, number, len(piece), 3, 0) + piece + b"pad")
        parts.append(fastcgi.encode_record(kind, number))
    return b"".join(parts)


def events(data: bytes, cuts: list[int]) -> list[fastcgi.Event]:
    reader, found, at = fastcgi.RecordReader(), list[fastcgi.Event](), 0
    for cut in [*sorted(c % (len(data) + 1) for c in cuts), len(data)]:
        found += reader.feed(data[at:cut])
        at = cut
    return found


REQUESTS = st.lists(st.tuples(FIELDS, st.binary(max_size=2000)), max_size=4)


@given(REQUESTS, st.lists(st.integers(0, 10**6), max_size=20))
def test_any_split_gives_the_same_requests(
    requests: list[tuple[dict[bytes, bytes], bytes]], cuts: list[int]
) -> None:
    data = b"".join(request(i + 1, *one) for i, one in enumerate(requests))
    wanted = [fastcgi.Request(i + 1, True, fields, body) for i, (fields, body) in enumerate(requests)]
    assert events(data, cuts) == events(data, []) == wanted


@given(st.binary(max_size=400), st.lists(st.integers(0, 10**6), max_size=8))
def test_no_bytes_raise_and_their_split_does_not_matter(data: bytes, cuts: list[int]) -> None:
    assert events(data, cuts) == events(data, [])


@given(st.lists(st.tuples(st.integers(1, 11), st.integers(0, 3), st.binary(max_size=40)), max_size=30))
def test_records_in_any_order_never_raise_or_reuse_an_open_request_number(
    records: list[tuple[int, int, bytes]],
) -> None:
    reader = fastcgi.RecordReader()
    for kind, number, content in records:
        for event in reader.feed(fastcgi.encode_record(kind, number, content)):
            if isinstance(event, fastcgi.Request):
                assert event.number in reader.open_requests and event.number not in reader.partial


def test_limits_apply_before_data_is_buffered() -> None:
    reader = fastcgi.RecordReader()
    reader.feed(begin_request(1))
    for _ in range(40):
        reader.feed(fastcgi.encode_record(fastcgi.PARAMS, 1, b"x" * 60_000))
    assert not reader.partial and len(reader.buffer) < 100
    head = begin_request(2) + fastcgi.encode_record(fastcgi.PARAMS, 2)
    (over,) = events(head + fastcgi.encode_record(fastcgi.STDIN, 2, b"x" * 20_000), [])
    assert isinstance(over, fastcgi.MalformedRequest) and over.status == 413


INVALID_FIELDS = [b"\x05\x05abc", b"\xff\xff\xff\xff\x00", b"\x80", b"\x01\x01ab\x01\x01ac"]


@pytest.mark.parametrize("params", INVALID_FIELDS)
def test_fields_with_invalid_lengths_are_rejected(params: bytes) -> None:
    data = (
        begin_request(1)
        + fastcgi.encode_record(fastcgi.PARAMS, 1, params)
        + fastcgi.encode_record(fastcgi.PARAMS, 1)
    )
    assert [e.status for e in events(data, []) if isinstance(e, fastcgi.MalformedRequest)] == [400]


def test_management_records_are_answered() -> None:
    requests = fastcgi.encode_pair(b"FCGI_MPXS_CONNS", b"") + fastcgi.encode_pair(b"OTHER", b"")
    (reply,) = events(fastcgi.encode_record(fastcgi.GET_VALUES, 0, requests), [])
    assert isinstance(reply, fastcgi.ImmediateReply) and reply.data.endswith(
        fastcgi.encode_pair(b"FCGI_MPXS_CONNS", b"1")
    )
    (unknown,) = events(fastcgi.encode_record(77, 0), [])
    assert isinstance(unknown, fastcgi.ImmediateReply) and unknown.data[1] == fastcgi.UNKNOWN


def test_an_answer_is_split_into_records_of_valid_size() -> None:
    records = fastcgi.encode_response(7, b"Status: 200 OK\r\n\r\n", b"x" * 200_000)
    at, body = 0, b""
    while at < len(records):
        _, kind, number, size, padding, _ = fastcgi.HEAD.unpack_from(records, at)
        assert number == 7
        body += records[at + 8 : at + 8 + size] if kind == fastcgi.STDOUT else b""
        at += 8 + size + padding
    assert body == b"Status: 200 OK\r\n\r\n" + b"x" * 200_000


@given(st.lists(st.integers(0, 10**6), max_size=10))
def test_any_split_gives_the_same_frames(cuts: list[int]) -> None:
    first = board_frame(1, 1, board_row(0xC41F7A, 10080, zone=1, cell=2, weight=4000))
    data = first + board_frame(1, 0) + board_frame(2, 2, board_row(3, 9))
    decoder, found, at = FrameDecoder(), list[Frame](), 0
    for cut in [*sorted(c % (len(data) + 1) for c in cuts), len(data)]:
        found += decoder.feed(data[at:cut])
        at = cut
    assert [f.revision for f in found] == [1, 1, 2]
    assert found[0].records == (Record(0xC41F7A, 0x7F000001, 10080, 0, 1, 0, 2, 4000, 0),)
    assert found[0].records[0].name == "s-00c41f7a" and found[0].records[0].address == "127.0.0.1:10080"


@given(st.binary(max_size=200))
def test_arbitrary_bytes_of_the_endpoint_list_raise_only_frame_errors(data: bytes) -> None:
    decoder = FrameDecoder()
    try:
        decoder.feed(data)
    except FrameError:
        assert decoder.frames is not None
    assert len(decoder.buffer) <= len(data)


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"listen": "nowhere"}, "$.listen"),
        ({"settings": {}}, "profiles"),
        ({"seed": "xyz"}, "$.seed"),
        ({"limits": {"sockets": "many"}}, "$.limits.sockets"),
        ({"known": {"notices": [{"rev": 1, "pool": {"full": True, "servers": [{"id": "x"}]}}]}}, "servers"),
    ],
)
def test_an_invalid_configuration_is_rejected_with_the_path(change: dict[str, Any], path: str) -> None:
    settings = {"profiles": [{"name": "a", "deadline": 1}]}
    good = {"name": "n", "listen": "127.0.0.1:0", "seed": "1", "settings": settings}
    assert parse_configuration(msgspec.json.encode(good), "f.json").file.name == "n"
    with pytest.raises(ConfigurationError, match=r"f\.json") as error:
        parse_configuration(msgspec.json.encode(good | change), "f.json")
    assert path in str(error.value)


def test_a_missing_configuration_file_is_named() -> None:
    with pytest.raises(ConfigurationError, match=r"/nowhere/config\.json"):
        read_configuration("/nowhere/config.json")
    with pytest.raises(ConfigurationError, match="EDGE_CONFIG"):
        read_configuration(None)


def test_a_record_is_parsed_after_the_events_before_it_were_handled() -> None:
    """Guards against an abort that is read by the state before the request in front was answered."""
    request = begin_request(1) + fastcgi.encode_record(fastcgi.PARAMS, 1)
    request += fastcgi.encode_record(fastcgi.STDIN, 1)
    reader, kinds = fastcgi.RecordReader(), list[str]()
    for event in reader.events(request + fastcgi.encode_record(fastcgi.ABORT, 1) + request):
        kinds.append(type(event).__name__)
        reader.request_finished(1)
    assert kinds == ["Request", "Request"] and not reader.broken
