"""The adapter between the simulator's batches and the decision module, in both directions."""

import io
from typing import Any

import orjson
import pytest
from helpers import SETTINGS

from lapistrestle.benchlink.wire import Adapter, MalformedBatchError, serve
from lapistrestle.deployment import translation

D = {"dispatcher-id": "dispatcher/0"}
INIT = {"Init": {**D, "rng-seed": 5, "settings": SETTINGS}}
ROW = {"runner": "runner.a", "availability": None}
LIST = {"Update": {**D, "serial": 1, "kind": "cached", "records": [ROW]}}
DEMAND = {"Demand": {**D, "msg-id": "r-1", "class": 0, "image": "h:f", "not-after": 3_000_050, "odd": 1}}


def send(adapter: Adapter, clock: int, *events: dict[str, Any]) -> list[dict[str, Any]]:
    line = orjson.dumps({"clock": clock, "batch": 3, "happened": list(events)})
    reply = orjson.loads(adapter.answer(line))
    assert reply["batch"] == 3
    return [cmd for cmd in reply["cmds"] if "NotifyMe" not in cmd]


def test_a_demand_becomes_a_relay_that_never_outlasts_its_deadline() -> None:
    (relay,) = send(Adapter(), 10, INIT, LIST, DEMAND)
    fields = relay["Relay"]
    assert fields["msg-id"] == "r-1" and fields["runner"] == "runner.a"
    assert 0 < fields["within"] <= 3_000_050 - 10


def test_a_crash_forgets_all_and_late_or_unknown_events_are_ignored() -> None:
    adapter = Adapter()
    send(adapter, 10, INIT, LIST, DEMAND)
    late = {"Done": {**D, "msg-id": "r-1", "round-no": 0, "runner": "runner.a", "reason": "S", "took": 5}}
    timer = {"Fired": {**D, "key-back": 99}}
    assert send(adapter, 20, {"CrashNow": D}, INIT, late, timer, {"Odd": D}) == []


def test_an_exception_in_the_module_is_reported_for_its_instance() -> None:
    (reply,) = send(Adapter(), 10, INIT, {"Demand": {**D, "class": 0}})
    report = reply["InternalError"]
    assert report["dispatcher-id"] == "dispatcher/0" and "msg-id" in report["what"]


@pytest.mark.parametrize("line", [b"no\n", b"[]\n", b'{"clock":1}', b'{"clock":1,"batch":2,"happened":[3]}'])
def test_a_line_that_is_no_batch_ends_with_a_plain_message(line: bytes) -> None:
    with pytest.raises(MalformedBatchError, match="not a batch"):
        serve(io.BytesIO(line), io.BytesIO())


def test_units_round_towards_safety() -> None:
    assert (
        translation.to_ticks_ceil(101),
        translation.to_ticks_floor(199),
        translation.to_microseconds(0),
    ) == (2, 1, 1)
