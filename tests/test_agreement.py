"""The replicated log: one leader a term, what is agreed stays, and planted faults are found."""

from collections.abc import Sequence
from dataclasses import replace
from typing import TypeVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapistrestle.agreement.messages import (
    AppendEntries,
    AppendEntriesReply,
    Committed,
    Effect,
    LogEntry,
    Message,
    Persist,
    PersistentState,
    ReadResult,
    RequestId,
    RequestVote,
    RequestVoteReply,
    Send,
)
from lapistrestle.agreement.raft import RaftNode, RaftSettings, Role
from lapistrestle.standins.raft_cluster import FaultRates, RaftCluster

SECOND = 10_000
ROUGH = FaultRates(loss=0.1, kills=0.8, cuts=0.6, stalls=0.4)
THREE = ["a", "b", "c"]
M = TypeVar("M", bound=Message)


@pytest.fixture
def one() -> RaftNode:
    return RaftNode("a", THREE, PersistentState(), RaftSettings(), 1, 0)


def said(effects: Sequence[Effect], kind: type[M]) -> list[tuple[str, M]]:
    return [(e.to, e.message) for e in effects if isinstance(e, Send) and isinstance(e.message, kind)]


def leading(one: RaftNode, now: int = 2 * SECOND) -> RaftNode:
    one.tick(now)
    one.on_message("b", RequestVoteReply(1, True, True), now)
    one.on_message("b", RequestVoteReply(1, True, False), now)
    assert one.role is Role.LEADER
    return one


# one member


def test_no_term_is_raised_before_a_majority_would_vote(one: RaftNode) -> None:
    effects = one.tick(2 * SECOND)
    assert one.term == 0 and [m for _, m in said(effects, RequestVote)] == [RequestVote(1, 0, 0, True)] * 2
    effects = one.on_message("c", RequestVoteReply(1, True, True), 2 * SECOND)
    assert effects[0] == Persist(1, "a") and said(effects, RequestVote)[0][1] == RequestVote(1, 0, 0, False)


def test_a_vote_is_on_disk_before_it_is_said_and_given_once(one: RaftNode) -> None:
    effects = one.on_message("b", RequestVote(3, 0, 0, False), 0)
    assert effects.index(Persist(3, "b")) < effects.index(Send("b", RequestVoteReply(3, True, False)))
    assert said(one.on_message("c", RequestVote(3, 9, 3, False), 0), RequestVoteReply) == [
        ("c", RequestVoteReply(3, False, False))
    ]


def test_one_with_a_longer_log_gives_no_vote(one: RaftNode) -> None:
    one.entries = [LogEntry(2, "x")]
    assert said(one.on_message("b", RequestVote(3, 5, 1, False), 0), RequestVoteReply) == [
        ("b", RequestVoteReply(3, False, False))
    ]
    assert said(one.on_message("c", RequestVote(4, 1, 2, False), 0), RequestVoteReply) == [
        ("c", RequestVoteReply(4, True, False))
    ]


def test_a_pre_vote_is_refused_while_a_leader_is_heard(one: RaftNode) -> None:
    one.on_message("b", AppendEntries(1, 0, 0, (), 0, 1), 0)
    assert said(one.on_message("c", RequestVote(2, 0, 0, True), 100), RequestVoteReply) == [
        ("c", RequestVoteReply(1, False, True))
    ]
    later = 2 * SECOND
    assert said(one.on_message("c", RequestVote(2, 0, 0, True), later), RequestVoteReply) == [
        ("c", RequestVoteReply(2, True, True))
    ]


def test_a_late_word_cuts_nothing_off_that_came_after_it(one: RaftNode) -> None:
    one.on_message("b", AppendEntries(1, 0, 0, (LogEntry(1, "x"), LogEntry(1, "y")), 0, 1), 0)
    effects = one.on_message("b", AppendEntries(1, 0, 0, (LogEntry(1, "x"),), 0, 1), 10)
    assert one.last_index == 2 and not any(isinstance(e, Persist) for e in effects)


def test_what_differs_is_replaced_on_disk_before_it_is_answered(one: RaftNode) -> None:
    one.on_message("b", AppendEntries(1, 0, 0, (LogEntry(1, "x"), LogEntry(1, "y")), 1, 1), 0)
    effects = one.on_message("c", AppendEntries(2, 1, 1, (LogEntry(2, "z"),), 1, 1), 10)
    save = Persist(2, "", 2, (LogEntry(2, "z"),))
    assert effects.index(save) < effects.index(Send("c", AppendEntriesReply(2, True, 2, 1)))
    assert one.entries == [LogEntry(1, "x"), LogEntry(2, "z")]


def test_entries_of_an_earlier_term_are_agreed_by_what_follows_them_only(one: RaftNode) -> None:
    one.entries = [LogEntry(1, "x")]
    one.term = 1
    one.tick(2 * SECOND)
    one.on_message("b", RequestVoteReply(2, True, True), 2 * SECOND)
    one.on_message("b", RequestVoteReply(2, True, False), 2 * SECOND)
    assert not any(
        isinstance(e, Committed) for e in one.on_message("b", AppendEntriesReply(2, True, 1, 1), 2 * SECOND)
    )
    told = [
        e
        for e in one.on_message("b", AppendEntriesReply(2, True, 2, 1), 2 * SECOND)
        if isinstance(e, Committed)
    ]
    assert told == [Committed(1, LogEntry(1, "x")), Committed(2, LogEntry(2, None))]


def test_a_read_waits_for_a_majority_that_answers_after_it_was_asked(one: RaftNode) -> None:
    now = 2 * SECOND
    leading(one).on_message("b", AppendEntriesReply(1, True, 1, 1), now)
    before = one.round
    assert not any(isinstance(e, ReadResult) for e in one.read("r", now))
    assert not any(
        isinstance(e, ReadResult) for e in one.on_message("c", AppendEntriesReply(1, True, 1, before), now)
    )
    assert ReadResult("r", 1) in one.on_message("c", AppendEntriesReply(1, True, 1, before + 1), now)


def test_a_leader_that_hears_no_majority_leads_no_more_and_says_so_to_reads(one: RaftNode) -> None:
    now = 2 * SECOND
    leading(one, now)
    one.read("r", now)
    effects = one.tick(now + 3 * SECOND)
    assert one.role is Role.FOLLOWER and ReadResult("r", None) in effects


def test_who_does_not_lead_takes_no_command_and_answers_no_read(one: RaftNode) -> None:
    assert one.propose("x", 0) == (None, []) and one.read("r", 0) == [ReadResult("r", None)]


def test_one_far_behind_is_led_back_in_few_words_and_caught_up_in_batches(one: RaftNode) -> None:
    one.settings = replace(one.settings, max_batch=10)
    one.entries, one.term = [LogEntry(1, i) for i in range(95)], 1
    one.tick(2 * SECOND)
    one.on_message("b", RequestVoteReply(2, True, True), 2 * SECOND)
    one.on_message("b", RequestVoteReply(2, True, False), 2 * SECOND)
    other, words = RaftNode("b", THREE, PersistentState(1), RaftSettings(), 2, 0), 0
    queue = said(one.tick(2 * SECOND + 1_000), AppendEntries)
    while queue and words < 40:
        to, word = queue.pop(0)
        if to == "b":
            words += 1
            for _, answer in said(other.on_message("a", word, 3 * SECOND), AppendEntriesReply):
                queue += said(one.on_message("b", answer, 3 * SECOND), AppendEntries)
    assert other.entries == one.entries and words <= 14


def test_words_of_one_that_is_no_member_are_passed_over(one: RaftNode) -> None:
    assert one.on_message("x", RequestVote(9, 9, 9, False), 0) == [] and one.term == 0


# clusters


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_a_calm_cluster_has_one_leader_and_agrees_on_all(count: int) -> None:
    made = RaftCluster(count, 1, FaultRates(0, 0, 0, kills=0, cuts=0, stalls=0))
    made.day(6)
    assert len(made.leading()) == 1 and not made.invariants.breaches
    assert len(made.invariants.agreed) > 5 and made.done_reads > 5
    assert made.kills == 0 and len({made.members[n].term for n in made.names}) == 1


@pytest.mark.parametrize("seed", range(60))
def test_rough_days_break_nothing_and_all_agree_when_they_are_over(seed: int) -> None:
    made = RaftCluster(3 + 2 * (seed % 2), seed, ROUGH)
    made.day(20)
    assert made.invariants.breaches == [] and made.kills > 5
    made.calm(8)
    assert made.invariants.breaches == [] and len(made.leading()) == 1
    logs = [made.members[name].entries[: made.invariants.acknowledged] for name in made.names]
    assert all(log == logs[0] for log in logs) and len(logs[0]) == made.invariants.acknowledged


@given(st.integers(0, 10**6), st.integers(2, 5), st.integers(0, 4), st.integers(0, 3))
@settings(max_examples=40, deadline=None)
def test_whatever_the_faults_nothing_agreed_differs_or_vanishes(
    seed: int, count: int, loss: int, kills: int
) -> None:
    faults = FaultRates(loss=loss / 10, doubled=0.2, late=0.2, kills=kills, cuts=1.0, stalls=1.0)
    made = RaftCluster(count, seed, faults)
    made.day(6)
    assert made.invariants.breaches == []


def test_the_same_day_twice_is_the_same() -> None:
    first, second = RaftCluster(5, 7, ROUGH), RaftCluster(5, 7, ROUGH)
    for made in (first, second):
        made.day(15)
    assert first.invariants == second.invariants and first.disks == second.disks


# planted faults


class VotesInMemory(RaftNode):
    """Its vote is not on disk when it says it."""

    def persist(self, first_index: int = 0, entries: Sequence[LogEntry] = ()) -> None:
        self.effects.append(Persist(self.term, "", first_index, tuple(entries)))


class CountsCopies(RaftNode):
    """Takes an entry of an earlier term for agreed once a majority has it."""

    def advance_commit_index(self) -> None:
        matches = sorted([*self.match_index.values(), self.last_index], reverse=True)
        self.commit_to(matches[len(matches) // 2])
        super().advance_commit_index()


class ReadsAtOnce(RaftNode):
    """Answers reads as long as it thinks that it leads."""

    def read(self, request_id: RequestId, now: int) -> list[Effect]:
        return [ReadResult(request_id, self.commit_index if self.role is Role.LEADER else None)]


class AnswersFirst(RaftNode):
    """Says that it has entries before they are on disk."""

    def take_effects(self) -> list[Effect]:
        out = super().take_effects()
        return [*(e for e in out if not isinstance(e, Persist)), *(e for e in out if isinstance(e, Persist))]


class CutsOff(RaftNode):
    """A late word cuts off what came after it."""

    def on_append_entries(self, sender: str, request: AppendEntries, now: int) -> None:
        if (
            request.term >= self.term
            and request.prev_log_index <= self.last_index
            and self.term_at(request.prev_log_index) == request.prev_log_term
        ):
            del self.entries[request.prev_log_index :]
            self.persist(request.prev_log_index + 1)
        super().on_append_entries(sender, request, now)


HANDLED_BY = {CutsOff: CutsOff.on_append_entries}


@pytest.mark.parametrize("fault", [VotesInMemory, CountsCopies, ReadsAtOnce, AnswersFirst, CutsOff])
def test_a_planted_fault_is_found(fault: type[RaftNode], monkeypatch: pytest.MonkeyPatch) -> None:
    from lapistrestle.agreement import raft

    if fault in HANDLED_BY:
        monkeypatch.setitem(raft.HANDLERS, AppendEntries, HANDLED_BY[fault])
    assert any(broken(seed, fault) for seed in range(400))


def broken(seed: int, make: type[RaftNode]) -> list[str]:
    """A cluster that chooses leaders all the time, and loses them as often."""
    faults = FaultRates(loss=0.1, kills=6, cuts=4, stalls=2, late=0.1, slow=600, asks=100, back=(1, 300))
    made = RaftCluster(
        3 + 2 * (seed % 2),
        seed,
        faults,
        make,
        RaftSettings(election_timeout=300, heartbeat_interval=80, max_batch=1),
    )
    made.day(6)
    return made.invariants.breaches


def test_the_same_days_break_nothing_without_a_fault() -> None:
    assert not any(broken(seed, RaftNode) for seed in range(40))


def test_a_member_that_returns_with_an_empty_disk_under_its_old_name_is_found() -> None:
    def lost(seed: int) -> list[str]:
        made = RaftCluster(3, seed, FaultRates(kills=0, cuts=1.0, stalls=1.0))
        made.again(1.5, lambda: made.kill(made.random.choice(made.names), disk=False))
        made.day(12)
        return made.invariants.breaches

    assert any(lost(seed) for seed in range(200))
