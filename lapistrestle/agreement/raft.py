"""One member of a Raft group: events and a clock in, effects out, in the order in which they are to be done.

A member says nothing that it can't stand for after a kill: each change of term, vote or log is a `Persist`
ahead of the messages that rest on it. A leader commits entries of its own term only; older ones are committed
by what follows them. A read is answered once a majority has answered a message sent after it was asked.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any
from zlib import crc32

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
    RequestVote,
    RequestVoteReply,
    Send,
)

SECOND = 10_000  # in tenths of a millisecond


@dataclass(frozen=True)
class RaftSettings:
    """Spans are whole tenths of a millisecond."""

    heartbeat_interval: int = SECOND // 10  # between two words of a leader
    election_timeout: int = SECOND // 2  # without a leader's word; up to twice that, by chance
    max_batch: int = 64  # entries in one word at the most: a follower far behind must not hold up the others
    max_pending_reads: int = 1_000  # that wait at once


Role = Enum("Role", "FOLLOWER PRE_CANDIDATE CANDIDATE LEADER")


class RaftNode:
    """One member. `members` are all, oneself among them. `disk` is what was persisted, read here once."""

    def __init__(
        self,
        me: str,
        members: Sequence[str],
        disk: PersistentState,
        settings: RaftSettings,
        seed: int,
        now: int,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.node_id, self.peers = me, [name for name in members if name != me]
        self.settings, self.seed, self.draws, self.log = settings, seed, 0, log
        self.term, self.voted_for, self.entries = disk.term, disk.voted_for, list(disk.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit_index = 0
        self.votes = set[str]()
        self.next_index = dict[str, int]()
        self.match_index = dict[str, int]()
        self.last_reply_at = dict[str, int]()  # as a leader: when each other last answered
        self.acknowledged_round = dict[str, int]()  # the latest round that each has answered
        self.round = 0
        self.pending_reads: list[tuple[int, Any]] = []  # the round that must be answered, and the tag
        self.last_leader_contact = now - 2 * self.settings.election_timeout  # when a leader was last heard
        self.effects: list[Effect] = []
        self.next_deadline = now
        self.reset_election_timer(now)

    # events

    def tick(self, now: int) -> list[Effect]:
        """Time has passed; ask again at `due`."""
        if now < self.next_deadline:
            return self.take_effects()
        if self.role is not Role.LEADER:
            self.start_election(now, pre_vote=True)
        elif self.lost_quorum(now):
            self.become_follower(self.term, "", now, "no majority answers")
        else:
            self.send_heartbeats(now)
        return self.take_effects()

    def on_message(self, sender: str, message: Message, now: int) -> list[Effect]:
        """A word of another member; those of no member are passed over."""
        if sender in self.peers:
            pre_vote = isinstance(message, RequestVote | RequestVoteReply) and message.pre_vote
            if message.term > self.term and not pre_vote:
                leads = sender if isinstance(message, AppendEntries) else ""
                self.become_follower(message.term, leads, now, f"{sender} is at term {message.term}")
            HANDLERS[type(message)](self, sender, message, now)
        return self.take_effects()

    def propose(self, command: Any, now: int) -> tuple[int | None, list[Effect]]:
        """Where the command will stand if it is agreed under this term; None: this one does not lead."""
        if self.role is not Role.LEADER:
            return None, []
        self.append([LogEntry(self.term, command)])
        self.send_heartbeats(now)
        return self.last_index, self.take_effects()

    def read(self, request_id: Any, now: int) -> list[Effect]:
        """Ask to answer from what is agreed now; a `ReadResult` follows, at once or later."""
        if self.role is not Role.LEADER or len(self.pending_reads) >= self.settings.max_pending_reads:
            self.effects.append(ReadResult(request_id, None))
        else:
            self.pending_reads.append((self.round + 1, request_id))
            self.send_heartbeats(now)
        return self.take_effects()

    # the log

    @property
    def last_index(self) -> int:
        """Of the last entry; 0: the log is empty."""
        return len(self.entries)

    def term_at(self, index: int) -> int:
        """Of the entry there; 0 where there is none."""
        return self.entries[index - 1].term if 0 < index <= self.last_index else 0

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Put entries at the end of the log, and on disk."""
        since = self.last_index + 1
        self.entries.extend(entries)
        self.persist(since, entries)

    def persist(self, since: int = 0, entries: Sequence[LogEntry] = ()) -> None:
        """Have the term, the vote and the log from `since` on written to disk."""
        self.effects.append(Persist(self.term, self.voted_for, since, tuple(entries)))

    def commit_to(self, index: int) -> None:
        """Commit up to there, in order; after a restart from the start again."""
        while self.commit_index < min(index, self.last_index):
            self.commit_index += 1
            self.effects.append(Committed(self.commit_index, self.entries[self.commit_index - 1]))

    # roles

    def reset_election_timer(self, now: int) -> None:
        """No election before a time-out from now on, with a part by chance so that two rarely ask at once."""
        self.draws += 1
        timeout = self.settings.election_timeout
        self.next_deadline = now + timeout + crc32(f"{self.seed}:{self.draws}".encode()) % timeout

    def become_follower(self, term: int, leader: str, now: int, why: str) -> None:
        """Lead or ask no longer. A higher term begins without a vote."""
        if self.role is Role.LEADER:
            self.log(f"leads no more at term {self.term}: {why}")
        if term > self.term:
            self.term, self.voted_for = term, ""
            self.persist()
        self.role, self.leader = Role.FOLLOWER, leader
        self.effects.extend(ReadResult(request_id, None) for _, request_id in self.pending_reads)
        self.pending_reads = []
        self.reset_election_timer(now)

    def start_election(self, now: int, pre_vote: bool) -> None:
        """Ask all for their votes; a pre-vote first, so that one that was cut off raises no term."""
        if not pre_vote:
            self.term, self.voted_for = self.term + 1, self.node_id
            self.persist()
        self.role, self.leader, self.votes = (
            Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE,
            "",
            {self.node_id},
        )
        self.reset_election_timer(now)
        message = RequestVote(self.term + pre_vote, self.last_index, self.term_at(self.last_index), pre_vote)
        self.effects.extend(Send(name, message) for name in self.peers)
        self.count_votes(now)

    def count_votes(self, now: int) -> None:
        """With a majority go on from a pre-vote to an election, or from that to leading."""
        if self.majority(len(self.votes)):
            if self.role is Role.PRE_CANDIDATE:
                self.start_election(now, pre_vote=False)
            else:
                self.become_leader(now)

    def majority(self, count: int) -> bool:
        """Whether so many members are one."""
        return 2 * count > len(self.peers) + 1

    def become_leader(self, now: int) -> None:
        """Lead this term, and begin it with an entry of its own."""
        self.role, self.leader = Role.LEADER, self.node_id
        self.log(f"leads at term {self.term} with {len(self.votes)} votes, log {self.last_index} long")
        self.next_index = dict.fromkeys(self.peers, self.last_index + 1)
        self.match_index = dict.fromkeys(self.peers, 0)
        self.last_reply_at = dict.fromkeys(self.peers, now)
        self.acknowledged_round = dict.fromkeys(self.peers, 0)
        self.append([LogEntry(self.term, None)])  # what came before is agreed with it
        self.send_heartbeats(now)

    def lost_quorum(self, now: int) -> bool:
        """Whether no majority has answered for so long that others may have chosen another."""
        lately = sum(now - at < 2 * self.settings.election_timeout for at in self.last_reply_at.values())
        return not self.majority(1 + lately)

    def send_heartbeats(self, now: int) -> None:
        """A word to all. Each gets what it lacks, in batches."""
        self.round += 1
        self.next_deadline = now + self.settings.heartbeat_interval
        for name in self.peers:
            self.replicate_to(name)
        self.advance()

    def replicate_to(self, name: str) -> None:
        """Send a follower the next batch that it lacks."""
        prev = self.next_index[name] - 1
        entries = tuple(self.entries[prev : prev + self.settings.max_batch])
        prev_term, commit = self.term_at(prev), self.commit_index
        message = AppendEntries(self.term, prev, prev_term, entries, commit, self.round)
        self.effects.append(Send(name, message))

    # words of others

    def on_request_vote(self, sender: str, message: RequestVote, now: int) -> None:
        """A vote for a log no older than one's own; a pre-vote only where no leader was heard of late: guards
        a leader that works against one that comes back from a cut."""
        newer = (message.last_log_term, message.last_log_index) >= (
            self.term_at(self.last_index),
            self.last_index,
        )
        if message.pre_vote:
            silent = now - self.last_leader_contact >= self.settings.election_timeout
            granted = newer and self.role is not Role.LEADER and silent and message.term > self.term
            term = message.term if granted else self.term
            return self.effects.append(Send(sender, RequestVoteReply(term, granted, True)))
        granted = message.term == self.term and newer and self.voted_for in ("", sender)
        if granted and not self.voted_for:
            self.voted_for = sender
            self.persist()
            self.reset_election_timer(now)
        self.effects.append(Send(sender, RequestVoteReply(self.term, granted, False)))

    def on_vote_reply(self, sender: str, message: RequestVoteReply, now: int) -> None:
        """A vote, or its refusal."""
        asked = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        if not message.granted and message.term > self.term:
            return self.become_follower(message.term, "", now, f"{sender} is at term {message.term}")
        if self.role is asked and message.granted and message.term == self.term + message.pre_vote:
            self.votes.add(sender)
            self.count_votes(now)

    def on_append_entries(self, sender: str, message: AppendEntries, now: int) -> None:
        """Entries of a leader: taken up where they follow on, else the leader is told how far to go back."""
        if message.term < self.term:
            return self.effects.append(Send(sender, AppendEntriesReply(self.term, False, 0, message.round)))
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self.become_follower(message.term, sender, now, f"{sender} leads")
        self.last_leader_contact = now
        self.reset_election_timer(now)
        if (
            message.prev_log_index > self.last_index
            or self.term_at(message.prev_log_index) != message.prev_log_term
        ):
            back = min(self.last_index, message.prev_log_index - 1)
            while back > self.commit_index and self.term_at(back) > message.prev_log_term:
                back -= 1  # over a whole term of ours that the leader can't have
            return self.effects.append(
                Send(sender, AppendEntriesReply(self.term, False, back, message.round))
            )
        at = message.prev_log_index
        for i, entry in enumerate(message.entries):
            if self.term_at(at + 1) != entry.term:  # a late word must not cut off what came after it
                del self.entries[at:]
                self.append(message.entries[i:])
                break
            at += 1
        match = message.prev_log_index + len(message.entries)
        self.commit_to(min(message.leader_commit, match))
        self.effects.append(Send(sender, AppendEntriesReply(self.term, True, match, message.round)))

    def on_append_reply(self, sender: str, message: AppendEntriesReply, now: int) -> None:
        """How far a follower's log is the leader's."""
        if self.role is not Role.LEADER or message.term != self.term:
            return
        self.last_reply_at[sender] = now
        self.acknowledged_round[sender] = max(self.acknowledged_round[sender], message.round)
        if message.success:
            self.match_index[sender] = max(self.match_index[sender], message.index)
            self.next_index[sender] = max(self.next_index[sender], message.index + 1)
            if self.next_index[sender] <= self.last_index and message.index + 1 == self.next_index[sender]:
                self.replicate_to(sender)
        elif message.index + 1 < self.next_index[sender]:
            self.next_index[sender] = max(self.match_index[sender], message.index) + 1
            self.replicate_to(sender)
        self.advance()

    def advance(self) -> None:
        """What a majority has on disk is agreed, if of this term; reads that a majority bears out."""
        index = self.majority_value(self.match_index, self.last_index)
        if self.term_at(index) == self.term:
            self.commit_to(index)
        answered = self.majority_value(self.acknowledged_round, self.round)
        while (
            self.pending_reads
            and self.pending_reads[0][0] <= answered
            and self.term_at(self.commit_index) == self.term
        ):
            self.effects.append(ReadResult(self.pending_reads.pop(0)[1], self.commit_index))

    def majority_value(self, others: Mapping[str, int], own: int) -> int:
        """The most that a majority has reached."""
        reached = sorted([*others.values(), own], reverse=True)
        return reached[len(reached) // 2]

    def take_effects(self) -> list[Effect]:
        """The effects of this event, in order."""
        out, self.effects = self.effects, []
        return out


HANDLERS: dict[type, Callable[[RaftNode, str, Any, int], None]] = {
    RequestVote: RaftNode.on_request_vote,
    RequestVoteReply: RaftNode.on_vote_reply,
    AppendEntries: RaftNode.on_append_entries,
    AppendEntriesReply: RaftNode.on_append_reply,
}
