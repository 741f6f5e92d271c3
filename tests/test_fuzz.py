"""Fuzzing of the edge's protocols with clients, runners and roster.

No line may stop the edge, lose another client's call or leave an RPC open for ever.
"""

import msgspec
import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from test_edge import CALL, EdgeHarness, send_ended

SCALARS = st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats() | st.text(max_size=20)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4),
)
FIELDS = st.sampled_from(
    ["id", "fn", "method", "left", "customer", "memory", "lanes", "work", "token", "key", "body", "call",
     "order", "probe", "outcome", "warmth", "company", "report", "count", "number", "epoch", "workers", "why",
     "protocol", "version", "name", "start", "up_for", "draining"]
)  # fmt: skip
KINDS = st.sampled_from(
    ["hello", "call", "leave", "bye", "begun", "ended", "held", "probed", "draining", "whole", "change",
     "failed", "follow", "ask", "run", "cancel", "hold", "unload", "probe", "answer", "fault", "x"]
)  # fmt: skip
NEARLY_VALID = st.fixed_dictionaries(
    {},
    optional={
        "id": st.sampled_from(["1", "2", "3"]), "fn": st.sampled_from(["f", "g"]),
        "method": st.sampled_from(["preview", "charge", "dance"]), "left": st.sampled_from([0, 5, 900, 1e9]),
        "customer": st.sampled_from(["news", "x"]), "memory": st.sampled_from([0, 1e5]),
        "call": st.integers(0, 12), "order": st.integers(0, 12), "probe": st.integers(0, 12),
        "outcome": st.sampled_from(["ok", "error", "full", "miss", "cancelled", "?"]),
        "number": st.integers(0, 5), "epoch": st.sampled_from(["e", "f"]), "count": st.integers(0, 20),
        "workers": st.lists(
            st.fixed_dictionaries(
                {"name": st.sampled_from(["r0", "r1", "zz"]), "port": st.integers(0, 70_000)},
                optional={"listing": st.sampled_from(["serving", "draining", "gone"]),
                          "start": st.sampled_from(["r0#0", "r1#0", "n"]), "up_for": st.floats(0, 1e6)},
            ), max_size=3,
        ),
        "company": st.integers(-1, 3), "report": st.dictionaries(st.text(max_size=3), SCALARS, max_size=2),
    },
)  # fmt: skip


def as_line(kind: str, fields: dict[str, object]) -> bytes:
    """The message as a JSON line; a fixed line of invalid UTF-8 where JSON can't hold the fields."""
    try:
        return msgspec.json.encode({**fields, "is": kind})
    except (msgspec.MsgspecError, UnicodeEncodeError, OverflowError):
        return b'{"is": "\xff"}'


LINES = st.lists(
    st.binary(max_size=60).map(lambda data: data.replace(b"\n", b" "))
    | st.builds(as_line, KINDS, st.dictionaries(FIELDS, VALUES, max_size=6))
    | st.builds(as_line, KINDS, NEARLY_VALID),
    min_size=1,
    max_size=12,
)
FUZZ_SETTINGS = settings(
    max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)


def check_edge_still_serves(harness, client, name):
    """Check that another call of `client` is answered and that nothing stays open."""
    client.send(**CALL, id=name)
    for _ in range(30):
        harness.run(0.1)
        for peer, run in harness.run_messages():
            if run["rpc"] == f"c1/{name}" and not peer.closed:
                send_ended(peer, run)
    assert [a["id"] for a in client.messages("answer")] == [name]
    harness.run(90_000.0 if harness.edge.host.open_requests else 5.0)
    assert harness.nothing_open()
    assert not [figures for what, figures in harness.logs if what == "module raised"]


@FUZZ_SETTINGS
@given(LINES)
@example([b'{"is":"call","id":"1","fn":"f","method":"preview","left":900,"customer":"news","lanes":10000}'])
def test_no_line_of_a_client_harms_another(lines):
    harness = EdgeHarness()
    honest = harness.connect_client()
    other = harness.connect_client()
    for line in lines:
        other.send_raw(line + b"\n")
    harness.run()
    check_edge_still_serves(harness, honest, "honest")


@FUZZ_SETTINGS
@given(LINES)
def test_no_line_of_a_runner_stops_the_edge(lines):
    harness = EdgeHarness(runners=3)
    honest = harness.connect_client()
    honest.send(**CALL | {"left": 700}, id="early")
    harness.run()
    for line in lines:
        harness.runners["r0"][-1].send_raw(line + b"\n")
    harness.run(1.0)
    honest.received.clear()
    check_edge_still_serves(harness, honest, "honest")


@FUZZ_SETTINGS
@given(LINES)
def test_no_line_of_the_roster_stops_the_edge(lines):
    harness = EdgeHarness()
    honest = harness.connect_client()
    for line in lines:
        harness.roster.send_raw(line + b"\n")
    harness.run(0.5)
    harness.roster.send(**{"is": "hello", "protocol": "lapistrestle.roster", "version": 1})
    harness.run()
    for number in (10**15, 10**15):  # above any list number that the fuzzed lines can have set
        harness.send_list(number)
        harness.run(0.3)
    for name in harness.runners:
        for peer in harness.runners[name]:
            if not peer.closed and not peer.messages("bye"):
                hello = {"is": "hello", "protocol": "lapistrestle.runner", "version": 1, "name": name}
                peer.send(**hello, start=f"{name}#0", up_for=3_600_000)
    harness.run()
    check_edge_still_serves(harness, honest, "honest")


@pytest.mark.parametrize("cut", [1, 7, 4096])
def test_bytes_in_any_pieces_make_the_same_lines(cut):
    harness = EdgeHarness()
    client = harness.connect_client()
    data = b"".join(msgspec.json.encode(CALL | {"id": str(n)}) + b"\n" for n in range(9))
    for at in range(0, len(data), cut):
        client.send_raw(data[at : at + cut])
    harness.run(2.5)
    assert sorted(a["id"] for a in client.messages("answer")) == [str(n) for n in range(9)]
