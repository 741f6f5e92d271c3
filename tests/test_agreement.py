"""Raft: one leader per term, durable commits, and detection of injected bugs by the cluster simulation."""

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
FREQUENT_FAULTS = FaultRates(loss=0.1, kills=0.8, cuts=0.6, stalls=0.4)
THREE = ["a", "b", "c"]
M = TypeVar("M", bound=Message)


@pytest.fixture
def node() -> RaftNode:
    return RaftNode("a", THREE, PersistentState(), RaftSettings(), 1, 0)


def sent_messages(effects: Sequence[Effect], kind: type[M]) -> list[tuple[str, M]]:
    return [(e.to, e.message) for e in effects if isinstance(e, Send) and isinstance(e.message, kind)]


def elected(node: RaftNode, now: int = 2 * SECOND) -> RaftNode:
    node.tick(now)
    node.on_message("b", RequestVoteReply(1, True, True), now)
    node.on_message("b", RequestVoteReply(1, True, False), now)
    assert node.role is Role.LEADER
    return node


# node member


def test_a_candidate_raises_its_term_only_after_a_pre_vote_majority(node: RaftNode) -> None:
    effects = node.tick(2 * SECOND)
    assert (
        node.term == 0
        and [m for _, m in sent_messages(effects, RequestVote)] == [RequestVote(1, 0, 0, True)] * 2
    )
    effects = node.on_message("c", RequestVoteReply(1, True, True), 2 * SECOND)
    assert effects[0] == Persist(1, "a") and sent_messages(effects, RequestVote)[0][1] == RequestVote(
        1, 0, 0, False
    )


def test_a_vote_is_persisted_before_the_reply_and_granted_once(node: RaftNode) -> None:
    effects = node.on_message("b", RequestVote(3, 0, 0, False), 0)
    assert effects.index(Persist(3, "b")) < effects.index(Send("b", RequestVoteReply(3, True, False)))
    assert sent_messages(node.on_message("c", RequestVote(3, 9, 3, False), 0), RequestVoteReply) == [
        ("c", RequestVoteReply(3, False, False))
    ]


def test_a_member_with_a_newer_log_grants_no_vote(node: RaftNode) -> None:
    node.entries = [LogEntry(2, "x")]
    assert sent_messages(node.on_message("b", RequestVote(3, 5, 1, False), 0), RequestVoteReply) == [
        ("b", RequestVoteReply(3, False, False))
    ]
    assert sent_messages(node.on_message("c", RequestVote(4, 1, 2, False), 0), RequestVoteReply) == [
        ("c", RequestVoteReply(4, True, False))
    ]


def test_a_pre_vote_is_refused_while_there_is_a_leader(node: RaftNode) -> None:
    node.on_message("b", AppendEntries(1, 0, 0, (), 0, 1), 0)
    assert sent_messages(node.on_message("c", RequestVote(2, 0, 0, True), 100), RequestVoteReply) == [
        ("c", RequestVoteReply(1, False, True))
    ]
    later = 2 * SECOND
    assert sent_messages(node.on_message("c", RequestVote(2, 0, 0, True), later), RequestVoteReply) == [
        ("c", RequestVoteReply(2, True, True))
    ]


def test_a_delayed_append_truncates_no_later_entries(node: RaftNode) -> None:
    node.on_message("b", AppendEntries(1, 0, 0, (LogEntry(1, "x"), LogEntry(1, "y")), 0, 1), 0)
    effects = node.on_message("b", AppendEntries(1, 0, 0, (LogEntry(1, "x"),), 0, 1), 10)
    assert node.last_index == 2 and not any(isinstance(e, Persist) for e in effects)


def test_conflicting_entries_are_replaced_on_disk_before_the_reply(node: RaftNode) -> None:
    node.on_message("b", AppendEntries(1, 0, 0, (LogEntry(1, "x"), LogEntry(1, "y")), 1, 1), 0)
    effects = node.on_message("c", AppendEntries(2, 1, 1, (LogEntry(2, "z"),), 1, 1), 10)
    save = Persist(2, "", 2, (LogEntry(2, "z"),))
    assert effects.index(save) < effects.index(Send("c", AppendEntriesReply(2, True, 2, 1)))
    assert node.entries == [LogEntry(1, "x"), LogEntry(2, "z")]


def test_entries_of_an_earlier_term_commit_only_with_a_later_entry(node: RaftNode) -> None:
    node.entries = [LogEntry(1, "x")]
    node.term = 1
    node.tick(2 * SECOND)
    node.on_message("b", RequestVoteReply(2, True, True), 2 * SECOND)
    node.on_message("b", RequestVoteReply(2, True, False), 2 * SECOND)
    assert not any(
        isinstance(e, Committed) for e in node.on_message("b", AppendEntriesReply(2, True, 1, 1), 2 * SECOND)
    )
    committed = [
        e
        for e in node.on_message("b", AppendEntriesReply(2, True, 2, 1), 2 * SECOND)
        if isinstance(e, Committed)
    ]
    assert committed == [Committed(1, LogEntry(1, "x")), Committed(2, LogEntry(2, None))]


def test_a_read_waits_for_a_majority_of_replies_to_a_later_heartbeat(node: RaftNode) -> None:
    now = 2 * SECOND
    elected(node).on_message("b", AppendEntriesReply(1, True, 1, 1), now)
    before = node.round
    assert not any(isinstance(e, ReadResult) for e in node.read("r", now))
    assert not any(
        isinstance(e, ReadResult) for e in node.on_message("c", AppendEntriesReply(1, True, 1, before), now)
    )
    assert ReadResult("r", 1) in node.on_message("c", AppendEntriesReply(1, True, 1, before + 1), now)


def test_a_leader_without_a_quorum_steps_down_and_fails_its_reads(node: RaftNode) -> None:
    now = 2 * SECOND
    elected(node, now)
    node.read("r", now)
    effects = node.tick(now + 3 * SECOND)
    assert node.role is Role.FOLLOWER and ReadResult("r", None) in effects


def test_a_follower_accepts_no_commands_and_no_reads(node: RaftNode) -> None:
    assert node.propose("x", 0) == (None, []) and node.read("r", 0) == [ReadResult("r", None)]


def test_a_follower_far_behind_catches_up_with_few_messages(node: RaftNode) -> None:
    node.settings = replace(node.settings, max_batch=10)
    node.entries, node.term = [LogEntry(1, i) for i in range(95)], 1
    node.tick(2 * SECOND)
    node.on_message("b", RequestVoteReply(2, True, True), 2 * SECOND)
    node.on_message("b", RequestVoteReply(2, True, False), 2 * SECOND)
    other, messages = RaftNode("b", THREE, PersistentState(1), RaftSettings(), 2, 0), 0
    queue = sent_messages(node.tick(2 * SECOND + 1_000), AppendEntries)
    while queue and messages < 40:
        to, message = queue.pop(0)
        if to == "b":
            messages += 1
            for _, answer in sent_messages(other.on_message("a", message, 3 * SECOND), AppendEntriesReply):
                queue += sent_messages(node.on_message("b", answer, 3 * SECOND), AppendEntries)
    assert other.entries == node.entries and messages <= 14


def test_messages_of_a_non_member_are_ignored(node: RaftNode) -> None:
    assert node.on_message("x", RequestVote(9, 9, 9, False), 0) == [] and node.term == 0


# clusters


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_a_cluster_without_faults_has_one_leader_and_commits(count: int) -> None:
    cluster = RaftCluster(count, 1, FaultRates(0, 0, 0, kills=0, cuts=0, stalls=0))
    cluster.day(6)
    assert len(cluster.leading()) == 1 and not cluster.invariants.breaches
    assert len(cluster.invariants.agreed) > 5 and cluster.done_reads > 5
    assert cluster.kills == 0 and len({cluster.members[n].term for n in cluster.names}) == 1


@pytest.mark.parametrize("seed", range(60))
def test_no_invariant_breaks_under_faults_and_all_members_converge_after(seed: int) -> None:
    cluster = RaftCluster(3 + 2 * (seed % 2), seed, FREQUENT_FAULTS)
    cluster.day(20)
    assert cluster.invariants.breaches == [] and cluster.kills > 5
    cluster.run_without_faults(8)
    assert cluster.invariants.breaches == [] and len(cluster.leading()) == 1
    logs = [cluster.members[name].entries[: cluster.invariants.acknowledged] for name in cluster.names]
    assert all(log == logs[0] for log in logs) and len(logs[0]) == cluster.invariants.acknowledged


@given(st.integers(0, 10**6), st.integers(2, 5), st.integers(0, 4), st.integers(0, 3))
@settings(max_examples=40, deadline=None)
def test_committed_entries_survive_any_faults(seed: int, count: int, loss: int, kills: int) -> None:
    faults = FaultRates(loss=loss / 10, duplicated=0.2, late=0.2, kills=kills, cuts=1.0, stalls=1.0)
    cluster = RaftCluster(count, seed, faults)
    cluster.day(6)
    assert cluster.invariants.breaches == []


def test_a_seed_gives_the_same_run_twice() -> None:
    first, second = RaftCluster(5, 7, FREQUENT_FAULTS), RaftCluster(5, 7, FREQUENT_FAULTS)
    for cluster in (first, second):
        cluster.day(15)
    assert first.invariants == second.invariants and first.disks == second.disks


# injected bugs


class VotesBeforePersisting(RaftNode):
    """Sends its vote before the vote is on disk."""

    def persist(self, first_index: int = 0, entries: Sequence[LogEntry] = ()) -> None:
        self.effects.append(Persist(self.term, "", first_index, tuple(entries)))


class CommitsOldTerms(RaftNode):
    """Commits an entry of an earlier term once a majority has it."""

    def advance_commit_index(self) -> None:
        matches = sorted([*self.match_index.values(), self.last_index], reverse=True)
        self.commit_to(matches[len(matches) // 2])
        super().advance_commit_index()


class ReadsWithoutHeartbeat(RaftNode):
    """Answers reads immediately while it believes to be the leader."""

    def read(self, request_id: RequestId, now: int) -> list[Effect]:
        return [ReadResult(request_id, self.commit_index if self.role is Role.LEADER else None)]


class AcknowledgesBeforePersisting(RaftNode):
    """Acknowledges entries before they are on disk."""

    def take_effects(self) -> list[Effect]:
        out = super().take_effects()
        return [*(e for e in out if not isinstance(e, Persist)), *(e for e in out if isinstance(e, Persist))]


class TruncatesOnDelayedAppend(RaftNode):
    """Truncates its log on a delayed message."""

    def on_append_entries(self, sender: str, request: AppendEntries, now: int) -> None:
        if (
            request.term >= self.term
            and request.prev_log_index <= self.last_index
            and self.term_at(request.prev_log_index) == request.prev_log_term
        ):
            del self.entries[request.prev_log_index :]
            self.persist(request.prev_log_index + 1)
        super().on_append_entries(sender, request, now)


HANDLED_BY = {TruncatesOnDelayedAppend: TruncatesOnDelayedAppend.on_append_entries}


@pytest.mark.parametrize(
    "fault",
    [
        VotesBeforePersisting,
        CommitsOldTerms,
        ReadsWithoutHeartbeat,
        AcknowledgesBeforePersisting,
        TruncatesOnDelayedAppend,
    ],
)
def test_an_injected_bug_is_found(fault: type[RaftNode], monkeypatch: pytest.MonkeyPatch) -> None:
    from lapistrestle.agreement import raft

    if fault in HANDLED_BY:
        monkeypatch.setitem(raft.HANDLERS, AppendEntries, HANDLED_BY[fault])
    assert any(broken_invariants(seed, fault) for seed in range(400))


def broken_invariants(seed: int, make: type[RaftNode]) -> list[str]:
    """Return the broken invariants of a cluster with frequent elections and crashes of leaders."""
    faults = FaultRates(
        loss=0.1, kills=6, cuts=4, stalls=2, late=0.1, slow=600, requests=100, downtime=(1, 300)
    )
    cluster = RaftCluster(
        3 + 2 * (seed % 2),
        seed,
        faults,
        make,
        RaftSettings(election_timeout=300, heartbeat_interval=80, max_batch=1),
    )
    cluster.day(6)
    return cluster.invariants.breaches


def test_the_same_runs_break_no_invariant_without_a_bug() -> None:
    assert not any(broken_invariants(seed, RaftNode) for seed in range(40))


def test_a_member_that_restarts_with_an_empty_disk_is_found() -> None:
    def lost(seed: int) -> list[str]:
        cluster = RaftCluster(3, seed, FaultRates(kills=0, cuts=1.0, stalls=1.0))
        cluster.schedule_repeatedly(
            1.5, lambda: cluster.kill(cluster.random.choice(cluster.names), disk=False)
        )
        cluster.day(12)
        return cluster.invariants.breaches

    assert any(lost(seed) for seed in range(200))
