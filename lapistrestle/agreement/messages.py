"""Messages between the members of a Raft group, their persistent state, and the effects of events.

Section numbers refer to Ongaro, "Consensus: Bridging Theory and Practice" (2014): Raft (chapter 3) with
pre-vote (9.6), a leader that steps down without a quorum (6.2) and linearizable reads without a log entry
(6.4). Log indices count from 1; 0 is "before the first". Times are whole ticks of 0.1 ms.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field

Command = object  # a command of the replicated state machine, opaque to the log
RequestId = Hashable  # identifies a read to its requester


@dataclass(frozen=True)
class LogEntry:
    """One entry of the log; `command` is None for the no-op with which a leader starts its term (6.4)."""

    term: int
    command: Command | None


@dataclass
class PersistentState:
    """The state on disk (figure 3.1), from which a member restarts."""

    term: int = 0
    voted_for: str = ""  # in that term; "": nobody
    entries: list[LogEntry] = field(default_factory=list)


@dataclass(frozen=True)
class RequestVote:
    """A candidate's RPC (3.4); with `pre_vote` it asks whether a vote would be granted (9.6)."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


@dataclass(frozen=True)
class RequestVoteReply:
    """The answer to a `RequestVote`: `term` is the voter's, or that of the pre-vote if it is granted."""

    term: int
    granted: bool
    pre_vote: bool


@dataclass(frozen=True)
class AppendEntries:
    """A leader's RPC (3.5) with the entries that follow `prev_log_index`; without entries it is a heartbeat.

    `round` numbers the leader's heartbeats and is returned by the reply, for which reads wait (6.4).
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

    On `success` the log matches the leader's and is on disk up to `index`; else the leader should retry with
    the entry after `index`.
    """

    term: int
    success: bool
    index: int
    round: int


Message = RequestVote | RequestVoteReply | AppendEntries | AppendEntriesReply


@dataclass(frozen=True)
class Persist:
    """Write the term and the vote to disk, and replace the log from `first_index` on by `entries`.

    Later effects must not be executed before this is on disk.
    """

    term: int
    voted_for: str
    first_index: int = 0  # 0: the log is unchanged
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class Send:
    """Send a message to a member; it may be lost, duplicated or delayed."""

    to: str
    message: Message


@dataclass(frozen=True)
class Committed:
    """The entry at `index` is committed; emitted in order, once per entry and process lifetime."""

    index: int
    entry: LogEntry


@dataclass(frozen=True)
class ReadResult:
    """A read can be answered from the state up to `index`; None: this member can't answer it."""

    request_id: RequestId
    index: int | None


Effect = Persist | Send | Committed | ReadResult
