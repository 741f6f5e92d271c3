"""The planner's state and the journal beneath it: restarts, kills, and writers that come back."""

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


class Numbered(PlannerState):
    """Numbers entries by itself."""

    def add(self, entry: JournalEntry) -> Any:
        return self.apply(self.number + 1, entry)


@pytest.fixture
def kept() -> Numbered:
    return Numbered()


def stepped(kept: Numbered, at: int, functions_ready: tuple[str, ...] = ("f",)) -> None:
    """Two ticks: edges are told of a step a second before it comes."""
    kept.add(TickEntry(at=at, functions_ready=functions_ready))
    kept.add(TickEntry(at=at + 10_000, functions_ready=functions_ready))


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


def test_a_command_that_comes_twice_is_answered_as_the_first_time(kept: Numbered) -> None:
    first = kept.add(command("1"))
    assert first.outcome == CommandOutcome.DONE and first.state == "warming"
    kept.add(TickEntry(at=5, functions_ready=("f",)))
    assert kept.add(command("1")) == first


def test_two_rollouts_of_one_function(kept: Numbered) -> None:
    kept.add(command("1"))
    assert kept.add(command("2")).outcome == CommandOutcome.NOTHING_TO_DO
    refused = kept.add(command("3", candidate="v3"))
    assert refused.outcome == CommandOutcome.REFUSED and "v2" in refused.message
    assert kept.add(command("4", function="g", candidate="v3")).outcome == CommandOutcome.DONE


def test_a_chain_of_rollouts_and_a_function_that_appears_for_the_first_time(kept: Numbered) -> None:
    kept.add(command("1", steps=(1.0,)))
    stepped(kept, 10_000)
    kept.add(good(0))
    stepped(kept, 30_000)
    assert kept.rollouts["f"].state is RolloutState.SETTLED and kept.settled_versions == {"f": "v2"}
    assert kept.add(command("2")).outcome == CommandOutcome.NOTHING_TO_DO  # it is what runs
    assert (
        kept.add(command("3a", candidate="v3", at=40_001)).outcome == CommandOutcome.REFUSED
    )  # clients may come back
    kept.add(TickEntry(at=10**6))
    assert kept.add(command("3", candidate="v3", at=10**6)).message == "v2 to v3"
    assert kept.splits_changed_after()["f"].settled == "v2" and len(kept.past_rollouts) == 1
    kept.add(command("4", "back", candidate="v3", at=10**6))
    assert kept.splits_changed_after()["f"].withdrawn
    assert kept.add(command("5", candidate="v4")).outcome == CommandOutcome.REFUSED  # until v3 is forgotten
    kept.add(TickEntry(at=10**9))
    assert kept.add(command("6", candidate="v4")).outcome == CommandOutcome.DONE


def test_what_has_settled_is_taken_back_to_the_version_before_it(kept: Numbered) -> None:
    kept.add(command("1", steps=(1.0,)))
    stepped(kept, 10_000)
    kept.add(command("2", "advance", at=20_000))
    stepped(kept, 30_000)
    kept.add(TickEntry(at=10**7))
    assert kept.splits_changed_after() == {"f": TrafficSplit("f", "v2")} and not kept.active_rollouts()
    assert kept.add(command("3", "back", at=10**7)).message == "v2 is withdrawing at 0%"
    assert kept.splits_changed_after()["f"] == TrafficSplit("f", "", "v2", 0.0, 1.0, withdrawn=True)
    kept.add(TickEntry(at=2 * 10**7))
    assert kept.settled_versions["f"] == "" and kept.splits_changed_after()["f"] == TrafficSplit("f", "")
    assert kept.add(command("4", candidate="v2", at=2 * 10**7)).message == "none to v2"  # and may come again


def test_a_command_for_another_candidate_does_nothing(kept: Numbered) -> None:
    kept.add(command("1"))
    assert kept.add(command("2", "back", candidate="v9")).outcome == CommandOutcome.REFUSED
    assert kept.add(command("3", "back", function="nobody")).outcome == CommandOutcome.REFUSED
    assert kept.rollouts["f"].state is RolloutState.WARMING


@pytest.mark.parametrize("steps", [(), (0.5,), (0.5, 0.1, 1.0), (0.0, 1.0), (0.2, 2.0)])
def test_steps_must_rise_to_one(kept: Numbered, steps: tuple[float, ...]) -> None:
    assert kept.add(command("1", steps=steps)).outcome == CommandOutcome.REFUSED and not kept.rollouts


def test_evidence_of_another_step_is_none(kept: Numbered) -> None:
    kept.add(command("1"))
    stepped(kept, 10_000)
    kept.add(good(0))
    stepped(kept, 30_000)
    assert kept.rollouts["f"].step == 1
    kept.add(good(0))
    kept.add(good(5))
    assert kept.rollouts["f"].evidence.totals_by_minute() == {}


def test_edges_are_told_what_changed_since_the_number_they_know(kept: Numbered) -> None:
    kept.add(command("1"))
    kept.add(command("2", function="g"))
    known = kept.number
    stepped(kept, 10_000, ("g",))
    assert (
        set(kept.splits_changed_after(known)) == {"g"}
        and set(kept.splits_changed_after()) == {"f", "g"}
        and not kept.splits_changed_after(kept.number)
    )


def test_the_same_entries_give_the_same_state(kept: Numbered, tmp_path: Path) -> None:
    journal = Journal(tmp_path / "j")
    entries: list[JournalEntry] = [
        command("1"),
        TickEntry(at=10_000, functions_ready=("f",)),
        good(0),
        TickEntry(at=20_000, functions_ready=("f",)),
        command("2", "back", reason="wrong prices", at=30_000),
    ]
    for entry in entries:
        kept.apply(journal.append([encode_entry(entry)]), entry)
    journal.close()
    again = PlannerState()
    for number, line in Journal(tmp_path / "j").entries():
        again.apply(number, decode_entry(line))
    assert (
        again.rollouts == kept.rollouts
        and again.splits_changed_after() == kept.splits_changed_after()
        and again.results == kept.results
    )
    assert again.rollouts["f"].history[-1] == HistoryEntry(
        30_000, "duty", "wrong prices", RolloutInput.ROLL_BACK, RolloutState.WITHDRAWING
    )


def test_an_entry_that_does_not_follow_is_refused(kept: Numbered) -> None:
    with pytest.raises(ValueError, match="does not follow"):
        kept.apply(2, command("1"))


def test_an_older_writer_that_comes_back_is_refused(tmp_path: Path) -> None:
    older = Journal(tmp_path / "j")
    older.append([b"1"])
    newer = Journal(tmp_path / "j")
    newer.append([b"2"])
    with pytest.raises(StaleEpochError, match="writes here now"):
        older.append([b"3"])
    newer.append([b"4", b"5"])
    assert [entry for _, entry in newer.entries()] == [b"1", b"2", b"4", b"5"]
    assert [number for number, _ in newer.entries(after=2)] == [3, 4]


def test_what_is_no_journal_is_said_to_be_none(tmp_path: Path) -> None:
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


def test_what_was_acknowledged_survives_a_kill_at_any_moment(tmp_path: Path) -> None:
    """Groups of three are written; each kill must leave all that was acknowledged, and no group in part."""
    path, chance, acknowledged = tmp_path / "j", random.Random(1), 0
    for _ in range(12):
        child = subprocess.Popen([sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE, text=True)
        assert child.stdout
        acknowledged = int(child.stdout.readline())
        time.sleep(chance.uniform(0, 0.03))  # where in its writing it is met, not a proof of anything
        os.kill(child.pid, signal.SIGKILL)
        for line in child.stdout.read().split("\n"):
            acknowledged = int(line) if line.endswith(tuple("0123456789")) else acknowledged
        child.wait()
        journal = Journal(path)
        found = [entry.split(b":")[0] for _, entry in journal.entries()]
        journal.close()
        assert found == [str(n).encode() for n in range(1, len(found) + 1)]
        assert len(found) >= acknowledged and len(found) % 3 == 0


# the plan that an edge keeps

KEPT = PersistedPlan(3, 7, [SplitMessage("f", "v1", "v2", 0.5, 0.5)], ["g@v9"])


def test_a_kept_plan_is_whole_or_the_one_before(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = PersistedPlanFile(tmp_path / "plan")
    assert file.read() is None
    file.write(KEPT)
    assert file.read() == KEPT

    def full(*asked: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", full)
    with pytest.raises(OSError, match="No space"):
        file.write(PersistedPlan(4, 1, []))
    assert file.read() == KEPT


@pytest.mark.parametrize("bytes_", [b"", b"{", b'{"epoch":"x"}', b"\xff\xfe"])
def test_a_kept_plan_that_can_not_be_read_is_named(tmp_path: Path, bytes_: bytes) -> None:
    (tmp_path / "plan").write_bytes(bytes_)
    with pytest.raises(ValueError, match="plan"):
        PersistedPlanFile(tmp_path / "plan").read()
