"""Byte-exact forms of journal entries, the persisted plan, learned figures and planner messages."""

from pathlib import Path

import msgspec
import pytest

from lapistrestle.planner.entries import (
    CommandEntry,
    JournalEntry,
    OutcomeEntry,
    TickEntry,
    decode_entry,
    encode_entry,
)
from lapistrestle.rollout_types import CommandOutcome
from lapistrestle.store.learned_state import LearnedMethod, read_learned_state, write_learned_state
from lapistrestle.store.persisted_plan import PersistedPlan, PersistedPlanFile
from lapistrestle.wire import plans
from lapistrestle.wire.json_lines import message_decoder
from lapistrestle.wire.messages import Message, encode

ENTRIES: list[tuple[JournalEntry, bytes]] = [
    (
        CommandEntry(
            at=12, id="1", action="start", function="f", operator="duty", reason="tariff", candidate="v2",
            steps=(0.5, 1.0), retention=7,
        ),
        b'{"is":"command","id":"1","what":"start","fn":"f","who":"duty","why":"tariff","candidate":"v2",'
        b'"steps":[0.5,1.0],"remembered":7,"at":12}',
    ),
    (
        CommandEntry(at=12, id="1", action="back", function="f", operator="duty"),
        b'{"is":"command","id":"1","what":"back","fn":"f","who":"duty","at":12}',
    ),
    (
        OutcomeEntry(
            at=5, edge="e", start="s", function="f", candidate="v2", step=0, minute=3, counts=(5, 1, 4, 0)
        ),
        b'{"is":"report","edge":"e","start":"s","fn":"f","candidate":"v2","step":0,"minute":3,'
        b'"counts":[5,1,4,0],"at":5}',
    ),
    (TickEntry(at=9, functions_ready=("f", "g")), b'{"is":"look","warm":["f","g"],"at":9}'),
    (TickEntry(at=10), b'{"is":"look","at":10}'),
]  # fmt: skip

PLAN = PersistedPlan(
    3,
    7,
    [
        plans.SplitMessage("f", "v1", "v2", 0.5, 0.75, False, 1, 1.0, False),
        plans.SplitMessage("g", "v1", "v2", 1.0, 1.0, True, -1, 0.0, True),
    ],
    ["g@v9"],
)
PLAN_BYTES = (
    b'{"epoch":3,"number":7,"shares":[{"fn":"f","settled":"v1","candidate":"v2","share":0.5,"peak":0.75,'
    b'"step":1,"next":1.0},{"fn":"g","settled":"v1","candidate":"v2","share":1.0,"peak":1.0,'
    b'"withdrawn":true,"next":0.0,"done":true}],"barred":["g@v9"]}'
)

METHODS = {"a": LearnedMethod(10, 20, 900.0, 40.0)}
METHODS_BYTES = b'{"shape":1,"methods":{"a":{"soft_deadline":10,"deadline":20,"alone":900.0,"hint":40.0}}}'

MESSAGES: list[tuple[Message, bytes]] = [
    (
        plans.Plan(7, 3, [plans.SplitMessage("f", "v1", "v2", 0.5)], True),
        b'{"is":"plan","number":7,"epoch":3,"shares":[{"fn":"f","settled":"v1","candidate":"v2",'
        b'"share":0.5}],"whole":true}',
    ),
    (plans.Heartbeat(5, 7), b'{"is":"beat","asked":5,"has":7}'),
    (
        plans.OutcomeReport("f", "v2", 0, 3, (5, 1, 4, 0)),
        b'{"is":"counts","fn":"f","candidate":"v2","step":0,"minute":3,"counts":[5,1,4,0]}',
    ),
    (
        plans.ReplicaReport("f", "v2", 0.5, "no"),
        b'{"is":"warm","fn":"f","candidate":"v2","share":0.5,"lacks":"no"}',
    ),
    (
        plans.RolloutCommand("1", "start", "f", "duty", "tariff", "v2", (0.5, 1.0), 5.0),
        b'{"is":"order","id":"1","what":"start","fn":"f","who":"duty","why":"tariff","candidate":"v2",'
        b'"steps":[0.5,1.0],"remembered":5.0}',
    ),
    (
        plans.CommandReply("1", CommandOutcome.DONE.value, "v1 to v2", "warming", 0.5, 7, ["e"]),
        b'{"is":"reply","id":"1","outcome":"done","says":"v1 to v2","state":"warming","share":0.5,'
        b'"number":7,"behind":["e"]}',
    ),
    (plans.StatusRequest(), b'{"is":"ask"}'),
    (
        plans.PlannerStatus(
            7,
            3,
            [
                plans.RolloutStatus(
                    "f", "v1", "v2", "growing", 0.5, 1, (5, 1, 4, 0), 1.5, 2.5,
                    [plans.HistoryLine(1.5, "duty", "tariff", "start", "warming")], 1.0, {"e": "no"},
                )
            ],
            {"e": 7},
        ),
        b'{"is":"status","number":7,"epoch":3,"rollouts":[{"fn":"f","settled":"v1","candidate":"v2",'
        b'"state":"growing","share":0.5,"step":1,"counts":[5,1,4,0],"harm":1.5,"good":2.5,'
        b'"history":[[1.5,"duty","tariff","start","warming"]],"next":1.0,"waits":{"e":"no"}}],'
        b'"edges":{"e":7}}',
    ),
]  # fmt: skip


@pytest.mark.parametrize(("entry", "data"), ENTRIES)
def test_a_journal_entry_keeps_its_bytes(entry: JournalEntry, data: bytes) -> None:
    assert encode_entry(entry) == data
    assert decode_entry(data) == entry


def test_a_persisted_plan_keeps_its_bytes(tmp_path: Path) -> None:
    file = PersistedPlanFile(tmp_path / "plan")
    file.write(PLAN)
    assert file.path.read_bytes() == PLAN_BYTES
    assert file.read() == PLAN


def test_learned_figures_keep_their_bytes(tmp_path: Path) -> None:
    path = tmp_path / "learned"
    write_learned_state(path, METHODS)
    assert path.read_bytes() == METHODS_BYTES
    assert read_learned_state(path) == METHODS


@pytest.mark.parametrize(("message", "data"), MESSAGES)
def test_a_message_of_the_planner_keeps_its_bytes(message: Message, data: bytes) -> None:
    assert encode(message) == data
    assert message_decoder(plans.ToPlanner | plans.FromPlanner).decode(data) == message


def test_python_field_names_are_not_accepted_on_the_wire() -> None:
    with pytest.raises(msgspec.ValidationError, match="missing required field `what`"):
        message_decoder(plans.ToPlanner).decode(
            b'{"is":"order","id":"1","action":"start","fn":"f","who":"duty"}'
        )
