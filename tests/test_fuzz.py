"""Fuzzing of the three protocols: no line stops a program, loses another call, or leaks an open RPC."""

import msgspec
import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from test_edge import CALL, Stage, end

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
NEAR = st.fixed_dictionaries(
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
    try:
        return msgspec.json.encode({**fields, "is": kind})
    except (msgspec.MsgspecError, UnicodeEncodeError, OverflowError):
        return b'{"is": "\xff"}'


LINES = st.lists(
    st.binary(max_size=60).map(lambda data: data.replace(b"\n", b" "))
    | st.builds(as_line, KINDS, st.dictionaries(FIELDS, VALUES, max_size=6))
    | st.builds(as_line, KINDS, NEAR),
    min_size=1,
    max_size=12,
)
FEW = settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])


def finish(stage, client, name):
    """A well-behaved client's call is answered whatever the others have sent, and nothing stays open."""
    client.say(**CALL, id=name)
    for _ in range(30):
        stage.run(0.1)
        for peer, run in stage.runs():
            if run["rpc"] == f"c1/{name}" and not peer.closed:
                end(peer, run)
    assert [a["id"] for a in client.heard("answer")] == [name]
    stage.run(90_000.0 if stage.edge.host.open_requests else 5.0)
    assert stage.clean()
    assert not [figures for what, figures in stage.logs if what == "module raised"]


@FEW
@given(LINES)
@example([b'{"is":"call","id":"1","fn":"f","method":"preview","left":900,"customer":"news","lanes":10000}'])
def test_no_line_of_a_client_harms_another(lines):
    stage = Stage()
    honest = stage.client()
    other = stage.client()
    for line in lines:
        other.raw(line + b"\n")
    stage.run()
    finish(stage, honest, "honest")


@FEW
@given(LINES)
def test_no_line_of_a_runner_stops_the_edge(lines):
    stage = Stage(runners=3)
    honest = stage.client()
    honest.say(**CALL | {"left": 700}, id="early")
    stage.run()
    for line in lines:
        stage.runners["r0"][-1].raw(line + b"\n")
    stage.run(1.0)
    honest.got.clear()
    finish(stage, honest, "honest")


@FEW
@given(LINES)
def test_no_line_of_the_roster_stops_the_edge(lines):
    stage = Stage()
    honest = stage.client()
    for line in lines:
        stage.roster.raw(line + b"\n")
    stage.run(0.5)
    stage.roster.say(**{"is": "hello", "protocol": "lapistrestle.roster", "version": 1})
    stage.run()
    for number in (10**15, 10**15):  # whatever number the edge had reached
        stage.list_(number)
        stage.run(0.3)
    for name in stage.runners:
        for peer in stage.runners[name]:
            if not peer.closed and not peer.heard("bye"):
                hello = {"is": "hello", "protocol": "lapistrestle.runner", "version": 1, "name": name}
                peer.say(**hello, start=f"{name}#0", up_for=3_600_000)
    stage.run()
    finish(stage, honest, "honest")


@pytest.mark.parametrize("cut", [1, 7, 4096])
def test_bytes_in_any_pieces_make_the_same_lines(cut):
    stage = Stage()
    client = stage.client()
    data = b"".join(msgspec.json.encode(CALL | {"id": str(n)}) + b"\n" for n in range(9))
    for at in range(0, len(data), cut):
        client.raw(data[at : at + cut])
    stage.run(2.5)
    assert sorted(a["id"] for a in client.heard("answer")) == [str(n) for n in range(9)]
