"""Messages between the members of a Raft group, what they persist, and the effects that they ask for.

Sections are those of Ongaro, "Consensus: Bridging Theory and Practice" (2014): Raft (chapter 3) with pre-vote
(9.6), a leader that steps down without a quorum (6.2) and linearizable reads without an entry (6.4). Log
indices count from 1; 0 is "before the first". Times are whole ticks of 0.1 ms.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field

Command = object  # what the state machine above the log understands; the log never looks inside
RequestId = Hashable  # names a read to whoever asked for it


@dataclass(frozen=True)
class LogEntry:
    """One entry of the log; `command` is None for the no-op with which a leader begins its term (6.4)."""

    term: int
    command: Command | None


@dataclass
class PersistentState:
    """What is on disk (figure 3.1): a member that restarts begins from it and from nothing else."""

    term: int = 0
    voted_for: str = ""  # in that term; "" is nobody
    entries: list[LogEntry] = field(default_factory=list)


@dataclass(frozen=True)
class RequestVote:
    """A candidate's RPC (3.4). With `pre_vote` it only asks whether a vote would be granted (9.6)."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


@dataclass(frozen=True)
class RequestVoteReply:
    """The answer to a `RequestVote`: the voter's `term`, or that of the pre-vote which it grants."""

    term: int
    granted: bool
    pre_vote: bool


@dataclass(frozen=True)
class AppendEntries:
    """A leader's RPC (3.5): the entries that follow `prev_log_index`; without entries it is a heartbeat.

    `round` numbers the leader's heartbeats; the reply brings it back, which is what reads wait for (6.4).
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    round: int


@dataclass(frozen=True)
class AppendEntriesReply:
    """The answer to an `AppendEntries`.

    On `success` the log is the leader's and on disk up to `index`; else the leader is to try again with the
    entry after `index`.
    """

    term: int
    success: bool
    index: int
    round: int


Message = RequestVote | RequestVoteReply | AppendEntries | AppendEntriesReply


@dataclass(frozen=True)
class Persist:
    """Write term and vote to disk, and `entries` in place of the log from `first_index` on.

    No effect that follows may be carried out before this is on disk.
    """

    term: int
    voted_for: str
    first_index: int = 0  # 0: the log is unchanged
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class Send:
    """Send a message to a member; it may be lost, doubled or late."""

    to: str
    message: Message


@dataclass(frozen=True)
class Committed:
    """The entry at `index` is committed; notified in order, once for each in the life of a process."""

    index: int
    entry: LogEntry


@dataclass(frozen=True)
class ReadResult:
    """A read may be answered from the state up to `index`; None: this member can not answer it."""

    request_id: RequestId
    index: int | None


Effect = Persist | Send | Committed | ReadResult
