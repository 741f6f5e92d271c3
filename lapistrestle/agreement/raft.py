"""One member of a Raft group: events and the time in, effects out, in the order in which to execute them.

Section numbers refer to Ongaro, "Consensus: Bridging Theory and Practice" (2014). A member sends nothing that
a restart could contradict: each change of term, vote or log is a `Persist` ahead of the messages that depend
on it (3.8). A leader commits only entries of its own term by counting replicas; older ones are committed with
a later entry (3.6.2). A read is answered once a majority has answered a heartbeat sent after the read was
requested (6.4). Times are whole ticks of 0.1 ms.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any
from zlib import crc32

from lapistrestle.agreement.messages import (
    AppendEntries,
    AppendEntriesReply,
    Command,
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
from lapistrestle.ticks import SECOND


@dataclass(frozen=True)
class RaftSettings:
    """Timing and limits of a group; the same at all members."""

    heartbeat_interval: int = SECOND // 10  # ticks between two heartbeats of a leader
    election_timeout: int = SECOND // 2  # minimum in ticks; randomized up to twice that (3.4)
    max_batch: int = 64  # entries per message, so that a follower far behind does not delay the others
    max_pending_reads: int = 1_000  # further ones are refused, which bounds memory


class Role(Enum):
    """The role of a member in its term (3.3), with a separate one for a candidate in pre-vote (9.6)."""

    FOLLOWER = 1
    PRE_CANDIDATE = 2
    CANDIDATE = 3
    LEADER = 4


@dataclass(frozen=True)
class PendingRead:
    """A read that waits until a majority has answered the heartbeat `round`."""

    round: int
    request_id: RequestId


class RaftNode:
    """One member of a Raft group."""

    def __init__(
        self,
        node_id: str,
        members: Sequence[str],
        disk: PersistentState,
        settings: RaftSettings,
        seed: int,
        now: int,
        log_line: Callable[[str], None] = lambda _text: None,
    ) -> None:
        """`members` are all, including this one; `disk` is the persisted state, read only here."""
        self.node_id = node_id
        self.peers = [name for name in members if name != node_id]
        self.settings = settings
        self.seed = seed
        self.timer_draws = 0
        self.log_line = log_line
        self.term = disk.term
        self.voted_for = disk.voted_for
        self.entries = list(disk.entries)
        self.role = Role.FOLLOWER
        self.leader = ""  # "": unknown
        self.commit_index = 0
        self.votes = set[str]()  # granted to this candidate
        # state of a leader, by peer
        self.next_index = dict[str, int]()
        self.match_index = dict[str, int]()
        self.last_reply_at = dict[str, int]()
        self.acknowledged_round = dict[str, int]()
        self.round = 0  # of the latest heartbeat
        self.pending_reads: list[PendingRead] = []
        self.last_leader_contact = now - 2 * settings.election_timeout
        self.effects: list[Effect] = []
        self.next_deadline = now
        self.reset_election_timer(now)

    # events

    def tick(self, now: int) -> list[Effect]:
        """Handle the passing of time; to be called at `next_deadline`."""
        if now < self.next_deadline:
            return self.take_effects()
        if self.role is not Role.LEADER:
            self.start_election(now, pre_vote=True)
        elif self.has_lost_quorum(now):
            self.become_follower(self.term, "", now, "no replies from a majority")
        else:
            self.send_heartbeats(now)
        return self.take_effects()

    def on_message(self, sender: str, message: Message, now: int) -> list[Effect]:
        """Handle a message; those of senders that are not members are ignored."""
        if sender in self.peers:
            pre_vote = isinstance(message, RequestVote | RequestVoteReply) and message.pre_vote
            if message.term > self.term and not pre_vote:
                leader = sender if isinstance(message, AppendEntries) else ""
                self.become_follower(message.term, leader, now, f"{sender} is at term {message.term}")
            HANDLERS[type(message)](self, sender, message, now)
        return self.take_effects()

    def propose(self, command: Command, now: int) -> tuple[int | None, list[Effect]]:
        """Append a command; return its index, valid if it commits in this term; None: not the leader."""
        if self.role is not Role.LEADER:
            return None, []
        self.append([LogEntry(self.term, command)])
        self.send_heartbeats(now)
        return self.last_index, self.take_effects()

    def read(self, request_id: RequestId, now: int) -> list[Effect]:
        """Request a linearizable read (6.4); its `ReadResult` follows immediately or later."""
        if self.role is not Role.LEADER or len(self.pending_reads) >= self.settings.max_pending_reads:
            self.effects.append(ReadResult(request_id, None))
        else:
            self.pending_reads.append(PendingRead(self.round + 1, request_id))
            self.send_heartbeats(now)
        return self.take_effects()

    # the log

    @property
    def last_index(self) -> int:
        """Index of the last entry; 0 if the log is empty."""
        return len(self.entries)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at `index`; 0 if there is none."""
        return self.entries[index - 1].term if 0 < index <= self.last_index else 0

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries to the log, and persist them."""
        first_index = self.last_index + 1
        self.entries.extend(entries)
        self.persist(first_index, entries)

    def persist(self, first_index: int = 0, entries: Sequence[LogEntry] = ()) -> None:
        """Emit a `Persist` of the term, the vote and the log from `first_index` on."""
        self.effects.append(Persist(self.term, self.voted_for, first_index, tuple(entries)))

    def commit_to(self, index: int) -> None:
        """Commit up to `index`, in order; a restarted process starts again at the first entry."""
        while self.commit_index < min(index, self.last_index):
            self.commit_index += 1
            self.effects.append(Committed(self.commit_index, self.entries[self.commit_index - 1]))

    # roles

    def reset_election_timer(self, now: int) -> None:
        """Set a randomized election timeout, so that two members rarely become candidates at once (3.4)."""
        self.timer_draws += 1
        timeout = self.settings.election_timeout
        spread = crc32(f"{self.seed}:{self.timer_draws}".encode()) % timeout
        self.next_deadline = now + timeout + spread

    def become_follower(self, term: int, leader: str, now: int, reason: str) -> None:
        """Step down, or end a candidacy. A higher term starts without a vote."""
        if self.role is Role.LEADER:
            self.log_line(f"stepped down as leader of term {self.term}: {reason}")
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.persist()
        self.role = Role.FOLLOWER
        self.leader = leader
        self.effects.extend(ReadResult(pending.request_id, None) for pending in self.pending_reads)
        self.pending_reads = []
        self.reset_election_timer(now)

    def start_election(self, now: int, pre_vote: bool) -> None:
        """Become a candidate, at first with `pre_vote`, so that a partitioned member raises no term (9.6)."""
        if not pre_vote:
            self.term += 1
            self.voted_for = self.node_id
            self.persist()
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader = ""
        self.votes = {self.node_id}
        self.reset_election_timer(now)
        term = self.term + 1 if pre_vote else self.term
        request = RequestVote(term, self.last_index, self.term_at(self.last_index), pre_vote)
        self.effects.extend(Send(name, request) for name in self.peers)
        self.count_votes(now)

    def count_votes(self, now: int) -> None:
        """With a majority of votes, proceed from the pre-vote to the election, or become leader."""
        if self.is_majority(len(self.votes)):
            if self.role is Role.PRE_CANDIDATE:
                self.start_election(now, pre_vote=False)
            else:
                self.become_leader(now)

    def is_majority(self, count: int) -> bool:
        """Whether that many members are a majority of the group."""
        return 2 * count > len(self.peers) + 1

    def become_leader(self, now: int) -> None:
        """Become leader, and append a no-op that lets earlier entries commit (3.6.2, 6.4)."""
        self.role = Role.LEADER
        self.leader = self.node_id
        self.log_line(f"leader of term {self.term}: {len(self.votes)} votes, {self.last_index} log entries")
        self.next_index = dict.fromkeys(self.peers, self.last_index + 1)
        self.match_index = dict.fromkeys(self.peers, 0)
        self.last_reply_at = dict.fromkeys(self.peers, now)
        self.acknowledged_round = dict.fromkeys(self.peers, 0)
        self.append([LogEntry(self.term, None)])
        self.send_heartbeats(now)

    def has_lost_quorum(self, now: int) -> bool:
        """Whether a majority has been silent for so long that it may have elected another leader (6.2)."""
        silence = 2 * self.settings.election_timeout
        reachable = sum(now - at < silence for at in self.last_reply_at.values())
        return not self.is_majority(1 + reachable)

    def send_heartbeats(self, now: int) -> None:
        """Send an `AppendEntries` to each peer, with the entries that it lacks."""
        self.round += 1
        self.next_deadline = now + self.settings.heartbeat_interval
        for name in self.peers:
            self.replicate_to(name)
        self.on_majority_progress()

    def replicate_to(self, name: str) -> None:
        """Send a follower the next batch of entries that it lacks."""
        prev = self.next_index[name] - 1
        entries = tuple(self.entries[prev : prev + self.settings.max_batch])
        request = AppendEntries(self.term, prev, self.term_at(prev), entries, self.commit_index, self.round)
        self.effects.append(Send(name, request))

    # messages

    def on_request_vote(self, sender: str, request: RequestVote, now: int) -> None:
        """Grant a vote to a candidate whose log is at least as up-to-date (3.6.1)."""
        own_log = (self.term_at(self.last_index), self.last_index)
        up_to_date = (request.last_log_term, request.last_log_index) >= own_log
        if request.pre_vote:
            self.answer_pre_vote(sender, request, up_to_date, now)
            return
        granted = request.term == self.term and up_to_date and self.voted_for in ("", sender)
        if granted and not self.voted_for:
            self.voted_for = sender
            self.persist()
            self.reset_election_timer(now)
        self.effects.append(Send(sender, RequestVoteReply(self.term, granted, False)))

    def answer_pre_vote(self, sender: str, request: RequestVote, up_to_date: bool, now: int) -> None:
        """Refuse a pre-vote while there is a leader, so that a rejoining member does not depose it (9.6)."""
        leader_silent = now - self.last_leader_contact >= self.settings.election_timeout
        granted = up_to_date and self.role is not Role.LEADER and leader_silent and request.term > self.term
        term = request.term if granted else self.term
        self.effects.append(Send(sender, RequestVoteReply(term, granted, True)))

    def on_request_vote_reply(self, sender: str, reply: RequestVoteReply, now: int) -> None:
        """Count a vote, or step down if the term is higher."""
        if not reply.granted and reply.term > self.term:
            self.become_follower(reply.term, "", now, f"{sender} is at term {reply.term}")
            return
        expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        expected_term = self.term + 1 if reply.pre_vote else self.term
        if self.role is expected_role and reply.granted and reply.term == expected_term:
            self.votes.add(sender)
            self.count_votes(now)

    def on_append_entries(self, sender: str, request: AppendEntries, now: int) -> None:
        """Store the leader's entries if the logs match, else reply from where the leader should retry."""
        if request.term < self.term:
            self.reply_to_append(sender, False, 0, request)
            return
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self.become_follower(request.term, sender, now, f"{sender} is the leader")
        self.last_leader_contact = now
        self.reset_election_timer(now)
        prev = request.prev_log_index
        if prev > self.last_index or self.term_at(prev) != request.prev_log_term:
            self.reply_to_append(sender, False, self.conflict_index(request), request)
            return
        self.store(prev, request.entries)
        match_index = prev + len(request.entries)
        self.commit_to(min(request.leader_commit, match_index))
        self.reply_to_append(sender, True, match_index, request)

    def reply_to_append(self, leader: str, success: bool, index: int, request: AppendEntries) -> None:
        """Answer an `AppendEntries`."""
        self.effects.append(Send(leader, AppendEntriesReply(self.term, success, index, request.round)))

    def conflict_index(self, request: AppendEntries) -> int:
        """Return the index to retry from, skipping whole terms that the leader can't have (3.5)."""
        index = min(self.last_index, request.prev_log_index - 1)
        while index > self.commit_index and self.term_at(index) > request.prev_log_term:
            index -= 1
        return index

    def store(self, prev: int, entries: Sequence[LogEntry]) -> None:
        """Append the entries after `prev` over conflicting ones; a late message truncates nothing (3.5)."""
        for offset, entry in enumerate(entries):
            if self.term_at(prev + offset + 1) != entry.term:
                del self.entries[prev + offset :]
                self.append(entries[offset:])
                return

    def on_append_entries_reply(self, sender: str, reply: AppendEntriesReply, now: int) -> None:
        """Record how far a follower's log matches, and send the next entries that it lacks."""
        if self.role is not Role.LEADER or reply.term != self.term:
            return
        self.last_reply_at[sender] = now
        self.acknowledged_round[sender] = max(self.acknowledged_round[sender], reply.round)
        following = reply.index + 1
        if reply.success:
            self.match_index[sender] = max(self.match_index[sender], reply.index)
            self.next_index[sender] = max(self.next_index[sender], following)
            if self.next_index[sender] <= self.last_index and following == self.next_index[sender]:
                self.replicate_to(sender)
        elif following < self.next_index[sender]:
            self.next_index[sender] = max(self.match_index[sender], reply.index) + 1
            self.replicate_to(sender)
        self.on_majority_progress()

    # majority progress

    def on_majority_progress(self) -> None:
        """Commit entries and answer reads that a majority has acknowledged."""
        self.advance_commit_index()
        self.answer_reads()

    def advance_commit_index(self) -> None:
        """Commit the entries that a majority has on disk, if the last of them is of this term (3.6.2)."""
        index = self.majority_value(self.match_index, self.last_index)
        if self.term_at(index) == self.term:
            self.commit_to(index)

    def answer_reads(self) -> None:
        """Answer reads whose round a majority has acknowledged, once an entry of this term is committed."""
        acknowledged = self.majority_value(self.acknowledged_round, self.round)
        if self.term_at(self.commit_index) != self.term:
            return
        while self.pending_reads and self.pending_reads[0].round <= acknowledged:
            pending = self.pending_reads.pop(0)
            self.effects.append(ReadResult(pending.request_id, self.commit_index))

    def majority_value(self, by_peer: Mapping[str, int], own: int) -> int:
        """Return the greatest value that a majority of the group has reached."""
        reached = sorted([*by_peer.values(), own], reverse=True)
        return reached[len(reached) // 2]

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects of this event, in order."""
        effects = self.effects
        self.effects = []
        return effects


Handler = Callable[[RaftNode, str, Any, int], None]  # Any: the message type of its key
HANDLERS: dict[type[Message], Handler] = {
    RequestVote: RaftNode.on_request_vote,
    RequestVoteReply: RaftNode.on_request_vote_reply,
    AppendEntries: RaftNode.on_append_entries,
    AppendEntriesReply: RaftNode.on_append_entries_reply,
}
