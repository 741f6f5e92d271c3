"""The planner's state and the journal beneath it: restarts, kills, and writers that come back."""

import os
import random
import signal
import sqlite3
import subprocess
import sys
import time

import pytest

from lapistrestle.planner.state import ENTRY, Command, PlannerState, Report, Tick, encode
from lapistrestle.rollout.life import DONE, NOTHING, REFUSED, State
from lapistrestle.rollout.versions import Split
from lapistrestle.store.journal import Journal, Outdated, Unreadable
from lapistrestle.store.plans import Kept, PlanFile
from lapistrestle.wire.plans import Share


def command(id_, what="start", function="f", candidate="v2", **more):
    return Command(
        at=more.pop("at", 0), id=id_, what=what, function=function, who="duty", candidate=candidate, **more
    )


class Numbered(PlannerState):
    """Numbers entries by itself."""

    def add(self, entry):
        return self.apply(self.number + 1, entry)


@pytest.fixture
def kept():
    return Numbered()


def stepped(kept, at, warm=("f",)):
    """Two ticks: edges are told of a step a second before it comes."""
    kept.add(Tick(at=at, warm=warm))
    kept.add(Tick(at=at + 10_000, warm=warm))


def good(step, minute=0):
    return Report(
        at=1,
        edge="e",
        start="s",
        function="f",
        candidate="v2",
        step=step,
        minute=minute,
        counts=(5000, 9, 5000, 9),
    )


def test_a_command_that_comes_twice_is_answered_as_the_first_time(kept):
    first = kept.add(command("1"))
    assert first.outcome == DONE and first.state == "warming"
    kept.add(Tick(at=5, warm=("f",)))
    assert kept.add(command("1")) == first


def test_two_rollouts_of_one_function(kept):
    kept.add(command("1"))
    assert kept.add(command("2")).outcome == NOTHING
    refused = kept.add(command("3", candidate="v3"))
    assert refused.outcome == REFUSED and "v2" in refused.says
    assert kept.add(command("4", function="g", candidate="v3")).outcome == DONE


def test_a_chain_of_rollouts_and_a_function_that_appears_for_the_first_time(kept):
    kept.add(command("1", steps=(1.0,)))
    stepped(kept, 10_000)
    kept.add(good(0))
    stepped(kept, 30_000)
    assert kept.rollouts["f"].state is State.SETTLED and kept.settled == {"f": "v2"}
    assert kept.add(command("2")).outcome == NOTHING  # it is what runs
    assert kept.add(command("3a", candidate="v3", at=40_001)).outcome == REFUSED  # clients may come back
    kept.add(Tick(at=10**6))
    assert kept.add(command("3", candidate="v3", at=10**6)).says == "v2 to v3"
    assert kept.plan()["f"].settled == "v2" and len(kept.ended) == 1
    kept.add(command("4", "back", candidate="v3", at=10**6))
    assert kept.plan()["f"].withdrawn
    assert kept.add(command("5", candidate="v4")).outcome == REFUSED  # until v3 is forgotten
    kept.add(Tick(at=10**9))
    assert kept.add(command("6", candidate="v4")).outcome == DONE


def test_what_has_settled_is_taken_back_to_the_version_before_it(kept):
    kept.add(command("1", steps=(1.0,)))
    stepped(kept, 10_000)
    kept.add(command("2", "advance", at=20_000))
    stepped(kept, 30_000)
    kept.add(Tick(at=10**7))
    assert kept.plan() == {"f": Split("f", "v2")} and not kept.running()
    assert kept.add(command("3", "back", at=10**7)).says == "v2 is withdrawing at 0%"
    assert kept.plan()["f"] == Split("f", "", "v2", 0.0, 1.0, withdrawn=True)
    kept.add(Tick(at=2 * 10**7))
    assert kept.settled["f"] == "" and kept.plan()["f"] == Split("f", "")
    assert kept.add(command("4", candidate="v2", at=2 * 10**7)).says == "none to v2"  # and may come again


def test_a_command_for_another_candidate_does_nothing(kept):
    kept.add(command("1"))
    assert kept.add(command("2", "back", candidate="v9")).outcome == REFUSED
    assert kept.add(command("3", "back", function="nobody")).outcome == REFUSED
    assert kept.rollouts["f"].state is State.WARMING


@pytest.mark.parametrize("steps", [(), (0.5,), (0.5, 0.1, 1.0), (0.0, 1.0), (0.2, 2.0)])
def test_steps_must_rise_to_one(kept, steps):
    assert kept.add(command("1", steps=steps)).outcome == REFUSED and not kept.rollouts


def test_evidence_of_another_step_is_none(kept):
    kept.add(command("1"))
    stepped(kept, 10_000)
    kept.add(good(0))
    stepped(kept, 30_000)
    assert kept.rollouts["f"].step == 1
    kept.add(good(0))
    kept.add(good(5))
    assert kept.rollouts["f"].evidence.minutes() == {}


def test_edges_are_told_what_changed_since_the_number_they_know(kept):
    kept.add(command("1"))
    kept.add(command("2", function="g"))
    known = kept.number
    stepped(kept, 10_000, ("g",))
    assert set(kept.plan(known)) == {"g"} and set(kept.plan()) == {"f", "g"} and not kept.plan(kept.number)


def test_the_same_entries_give_the_same_state(kept, tmp_path):
    journal = Journal(tmp_path / "j")
    entries = [command("1"), Tick(at=10_000, warm=("f",)), good(0), Tick(at=20_000, warm=("f",)),
               command("2", "back", why="wrong prices", at=30_000)]  # fmt: skip
    for entry in entries:
        kept.apply(journal.append([encode(entry)]), entry)
    journal.close()
    again = PlannerState()
    for number, line in Journal(tmp_path / "j").entries():
        again.apply(number, ENTRY.decode(line))
    assert again.rollouts == kept.rollouts and again.plan() == kept.plan() and again.replies == kept.replies
    assert again.rollouts["f"].history[-1] == (30_000, "duty", "wrong prices", "back", "withdrawing")


def test_an_entry_that_does_not_follow_is_refused(kept):
    with pytest.raises(ValueError, match="does not follow"):
        kept.apply(2, command("1"))


def test_an_older_writer_that_comes_back_is_refused(tmp_path):
    older = Journal(tmp_path / "j")
    older.append([b"1"])
    newer = Journal(tmp_path / "j")
    newer.append([b"2"])
    with pytest.raises(Outdated, match="writes here now"):
        older.append([b"3"])
    newer.append([b"4", b"5"])
    assert [entry for _, entry in newer.entries()] == [b"1", b"2", b"4", b"5"]
    assert [number for number, _ in newer.entries(after=2)] == [3, 4]


def test_what_is_no_journal_is_said_to_be_none(tmp_path):
    (tmp_path / "j").write_bytes(b"not a database at all, but long enough to be taken for one" * 40)
    with pytest.raises(Unreadable, match=r"j: "):
        Journal(tmp_path / "j")


def test_a_failed_append_leaves_nothing(tmp_path):
    journal = Journal(tmp_path / "j")
    with pytest.raises((Unreadable, sqlite3.Error, TypeError)):
        journal.append([b"1", object()])
    assert journal.append([b"2"]) == 1 and [e for _, e in journal.entries()] == [b"2"]


WRITER = """
import sys
from pathlib import Path
from lapistrestle.rollout.versions import Split
from lapistrestle.store.plans import Kept, PlanFile
from lapistrestle.wire.plans import Share
from lapistrestle.store.journal import Journal
journal = Journal(Path(sys.argv[1]))
last = sum(1 for _ in journal.entries())
while True:
    group = [f"{last + i}:{'x' * 3000}".encode() for i in (1, 2, 3)]
    last = journal.append(group)
    print(last, flush=True)
"""


def test_what_was_acknowledged_survives_a_kill_at_any_moment(tmp_path):
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

KEPT = Kept(3, 7, [Share("f", "v1", "v2", 0.5, 0.5)], ["g@v9"])


def test_a_kept_plan_is_whole_or_the_one_before(tmp_path, monkeypatch):
    file = PlanFile(tmp_path / "plan")
    assert file.read() is None
    file.write(KEPT)
    assert file.read() == KEPT

    def full(*asked):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", full)
    with pytest.raises(OSError, match="No space"):
        file.write(Kept(4, 1, []))
    assert file.read() == KEPT


@pytest.mark.parametrize("bytes_", [b"", b"{", b'{"epoch":"x"}', b"\xff\xfe"])
def test_a_kept_plan_that_can_not_be_read_is_named(tmp_path, bytes_):
    (tmp_path / "plan").write_bytes(bytes_)
    with pytest.raises(ValueError, match="plan"):
        PlanFile(tmp_path / "plan").read()
