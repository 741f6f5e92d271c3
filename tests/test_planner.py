"""The planner's state and its journal: replay after restarts, crashes, and fencing of old writers."""

import os
import random
import signal
import sqlite3
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from lapistrestle.planner.entries import (
    CommandEntry,
    JournalEntry,
    OutcomeEntry,
    TickEntry,
    decode_entry,
    encode_entry,
)
from lapistrestle.planner.state import PlannerState
from lapistrestle.rollout.state_machine import HistoryEntry, RolloutInput, RolloutState
from lapistrestle.rollout_types import CommandOutcome, RolloutAction, TrafficSplit
from lapistrestle.store.journal import Journal, JournalError, StaleEpochError
from lapistrestle.store.persisted_plan import PersistedPlan, PersistedPlanFile
from lapistrestle.wire.plans import SplitMessage


def command(
    id_: str, what: RolloutAction = "start", function: str = "f", candidate: str = "v2", **more: Any
) -> CommandEntry:
    return CommandEntry(
        at=more.pop("at", 0),
        id=id_,
        action=what,
        function=function,
        operator="duty",
        candidate=candidate,
        **more,
    )


class NumberingState(PlannerState):
    """A state that numbers the entries itself."""

    def add(self, entry: JournalEntry) -> Any:
        return self.apply(self.number + 1, entry)


@pytest.fixture
def state() -> NumberingState:
    return NumberingState()


def take_step(state: NumberingState, at: int, functions_ready: tuple[str, ...] = ("f",)) -> None:
    """Two ticks: the first announces a step, and the second, one second later, takes it."""
    state.add(TickEntry(at=at, functions_ready=functions_ready))
    state.add(TickEntry(at=at + 10_000, functions_ready=functions_ready))


def good(step: int, minute: int = 0) -> OutcomeEntry:
    return OutcomeEntry(
        at=1,
        edge="e",
        start="s",
        function="f",
        candidate="v2",
        step=step,
        minute=minute,
        counts=(5000, 9, 5000, 9),
    )


def test_a_repeated_command_gets_the_first_result(state: NumberingState) -> None:
    first = state.add(command("1"))
    assert first.outcome == CommandOutcome.DONE and first.state == "warming"
    state.add(TickEntry(at=5, functions_ready=("f",)))
    assert state.add(command("1")) == first


def test_a_function_has_one_rollout_at_a_time(state: NumberingState) -> None:
    state.add(command("1"))
    assert state.add(command("2")).outcome == CommandOutcome.NOTHING_TO_DO
    refused = state.add(command("3", candidate="v3"))
    assert refused.outcome == CommandOutcome.REFUSED and "v2" in refused.message
    assert state.add(command("4", function="g", candidate="v3")).outcome == CommandOutcome.DONE


def test_successive_rollouts_of_a_new_function(state: NumberingState) -> None:
    state.add(command("1", steps=(1.0,)))
    take_step(state, 10_000)
    state.add(good(0))
    take_step(state, 30_000)
    assert state.rollouts["f"].state is RolloutState.SETTLED and state.settled_versions == {"f": "v2"}
    assert state.add(command("2")).outcome == CommandOutcome.NOTHING_TO_DO  # it is the settled version
    assert (
        state.add(command("3a", candidate="v3", at=40_001)).outcome == CommandOutcome.REFUSED
    )  # clients may still retry requests on v1
    state.add(TickEntry(at=10**6))
    assert state.add(command("3", candidate="v3", at=10**6)).message == "v2 to v3"
    assert state.splits_changed_after()["f"].settled == "v2" and len(state.past_rollouts) == 1
    state.add(command("4", "back", candidate="v3", at=10**6))
    assert state.splits_changed_after()["f"].withdrawn
    assert (
        state.add(command("5", candidate="v4")).outcome == CommandOutcome.REFUSED
    )  # until the retention of v3 ends
    state.add(TickEntry(at=10**9))
    assert state.add(command("6", candidate="v4")).outcome == CommandOutcome.DONE


def test_a_settled_candidate_is_rolled_back_to_the_previous_version(state: NumberingState) -> None:
    state.add(command("1", steps=(1.0,)))
    take_step(state, 10_000)
    state.add(command("2", "advance", at=20_000))
    take_step(state, 30_000)
    state.add(TickEntry(at=10**7))
    assert state.splits_changed_after() == {"f": TrafficSplit("f", "v2")} and not state.active_rollouts()
    assert state.add(command("3", "back", at=10**7)).message == "v2 is withdrawing at 0%"
    assert state.splits_changed_after()["f"] == TrafficSplit("f", "", "v2", 0.0, 1.0, withdrawn=True)
    state.add(TickEntry(at=2 * 10**7))
    assert state.settled_versions["f"] == "" and state.splits_changed_after()["f"] == TrafficSplit("f", "")
    assert (
        state.add(command("4", candidate="v2", at=2 * 10**7)).message == "none to v2"
    )  # it may be rolled out again


def test_a_command_for_another_candidate_does_nothing(state: NumberingState) -> None:
    state.add(command("1"))
    assert state.add(command("2", "back", candidate="v9")).outcome == CommandOutcome.REFUSED
    assert state.add(command("3", "back", function="nobody")).outcome == CommandOutcome.REFUSED
    assert state.rollouts["f"].state is RolloutState.WARMING


@pytest.mark.parametrize("steps", [(), (0.5,), (0.5, 0.1, 1.0), (0.0, 1.0), (0.2, 2.0)])
def test_steps_must_rise_to_one(state: NumberingState, steps: tuple[float, ...]) -> None:
    assert state.add(command("1", steps=steps)).outcome == CommandOutcome.REFUSED and not state.rollouts


def test_evidence_of_another_step_is_ignored(state: NumberingState) -> None:
    state.add(command("1"))
    take_step(state, 10_000)
    state.add(good(0))
    take_step(state, 30_000)
    assert state.rollouts["f"].step == 1
    state.add(good(0))
    state.add(good(5))
    assert state.rollouts["f"].evidence.totals_by_minute() == {}


def test_edges_are_sent_the_changes_since_their_plan(state: NumberingState) -> None:
    state.add(command("1"))
    state.add(command("2", function="g"))
    known = state.number
    take_step(state, 10_000, ("g",))
    assert (
        set(state.splits_changed_after(known)) == {"g"}
        and set(state.splits_changed_after()) == {"f", "g"}
        and not state.splits_changed_after(state.number)
    )


def test_the_same_entries_give_the_same_state(state: NumberingState, tmp_path: Path) -> None:
    journal = Journal(tmp_path / "j")
    entries: list[JournalEntry] = [
        command("1"),
        TickEntry(at=10_000, functions_ready=("f",)),
        good(0),
        TickEntry(at=20_000, functions_ready=("f",)),
        command("2", "back", reason="wrong prices", at=30_000),
    ]
    for entry in entries:
        state.apply(journal.append([encode_entry(entry)]), entry)
    journal.close()
    again = PlannerState()
    for number, line in Journal(tmp_path / "j").entries():
        again.apply(number, decode_entry(line))
    assert (
        again.rollouts == state.rollouts
        and again.splits_changed_after() == state.splits_changed_after()
        and again.results == state.results
    )
    assert again.rollouts["f"].history[-1] == HistoryEntry(
        30_000, "duty", "wrong prices", RolloutInput.ROLL_BACK, RolloutState.WITHDRAWING
    )


def test_an_entry_out_of_order_is_rejected(state: NumberingState) -> None:
    with pytest.raises(ValueError, match="does not follow"):
        state.apply(2, command("1"))


def test_a_writer_of_an_older_epoch_is_fenced(tmp_path: Path) -> None:
    older = Journal(tmp_path / "j")
    older.append([b"1"])
    newer = Journal(tmp_path / "j")
    newer.append([b"2"])
    with pytest.raises(StaleEpochError, match="writes here now"):
        older.append([b"3"])
    newer.append([b"4", b"5"])
    assert [entry for _, entry in newer.entries()] == [b"1", b"2", b"4", b"5"]
    assert [number for number, _ in newer.entries(after=2)] == [3, 4]


def test_a_file_that_is_no_journal_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "j").write_bytes(b"not a database at all, but long enough to be taken for one" * 40)
    with pytest.raises(JournalError, match=r"j: "):
        Journal(tmp_path / "j")


def test_a_failed_append_leaves_nothing(tmp_path: Path) -> None:
    journal = Journal(tmp_path / "j")
    with pytest.raises((JournalError, sqlite3.Error, TypeError)):
        journal.append([b"1", object()])  # type: ignore[list-item]
    assert journal.append([b"2"]) == 1 and [e for _, e in journal.entries()] == [b"2"]


WRITER = """
import sys
from pathlib import Path
from lapistrestle.rollout_types import TrafficSplit
from lapistrestle.store.persisted_plan import PersistedPlan, PersistedPlanFile
from lapistrestle.wire.plans import SplitMessage
from lapistrestle.store.journal import Journal
journal = Journal(Path(sys.argv[1]))
last = sum(1 for _ in journal.entries())
while True:
    group = [f"{last + i}:{'x' * 3000}".encode() for i in (1, 2, 3)]
    last = journal.append(group)
    print(last, flush=True)
"""


def test_acknowledged_entries_survive_a_kill(tmp_path: Path) -> None:
    """Writes groups of three entries; a kill must lose no acknowledged entry and leave no partial group."""
    path, chance, acknowledged = tmp_path / "j", random.Random(1), 0
    for _ in range(12):
        child = subprocess.Popen([sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE, text=True)
        assert child.stdout
        acknowledged = int(child.stdout.readline())
        time.sleep(chance.uniform(0, 0.03))  # varies the point of the kill; no test condition
        os.kill(child.pid, signal.SIGKILL)
        for line in child.stdout.read().split("\n"):
            acknowledged = int(line) if line.endswith(tuple("0123456789")) else acknowledged
        child.wait()
        journal = Journal(path)
        found = [entry.split(b":")[0] for _, entry in journal.entries()]
        journal.close()
        assert found == [str(n).encode() for n in range(1, len(found) + 1)]
        assert len(found) >= acknowledged and len(found) % 3 == 0


# the plan persisted by an edge

PLAN = PersistedPlan(3, 7, [SplitMessage("f", "v1", "v2", 0.5, 0.5)], ["g@v9"])


def test_a_persisted_plan_is_replaced_atomically(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = PersistedPlanFile(tmp_path / "plan")
    assert file.read() is None
    file.write(PLAN)
    assert file.read() == PLAN

    def full(*asked: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", full)
    with pytest.raises(OSError, match="No space"):
        file.write(PersistedPlan(4, 1, []))
    assert file.read() == PLAN


@pytest.mark.parametrize("bytes_", [b"", b"{", b'{"epoch":"x"}', b"\xff\xfe"])
def test_an_unreadable_persisted_plan_is_reported_with_its_path(tmp_path: Path, bytes_: bytes) -> None:
    (tmp_path / "plan").write_bytes(bytes_)
    with pytest.raises(ValueError, match="plan"):
        PersistedPlanFile(tmp_path / "plan").read()
