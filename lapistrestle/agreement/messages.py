"""Messages between the members of a Raft group, what they persist, and the effects that they ask for.

Shapes after Ongaro, "Consensus: Bridging Theory and Practice" (2014): Raft with pre-vote (9.6), a leader that
steps down without a majority (6.2), reads that need no entry (6.4). Indices count from 1; times are whole
tenths of a millisecond.
"""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class LogEntry:
    """One place in the log; `command` is None for the one that a leader begins its term with."""

    term: int
    command: Any


@dataclass
class PersistentState:
    """What is on disk: a member that returns begins from it and from nothing else."""

    term: int = 0
    voted_for: str = ""  # in that term
    entries: list[LogEntry] = field(default_factory=list)


@dataclass(frozen=True)
class RequestVote:
    """`pre_vote`: would you vote for me in that term? Nothing is promised by it."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


@dataclass(frozen=True)
class RequestVoteReply:
    """`term`: the voter's; of a granted pre-vote the one that was asked for."""

    term: int
    granted: bool
    pre_vote: bool


@dataclass(frozen=True)
class AppendEntries:
    """A leader's entries after `prev_log_index`, and how far the log is committed. `round` comes back."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    round: int


@dataclass(frozen=True)
class AppendEntriesReply:
    """`index`: up to there the log is the leader's and on disk; no `success`: the leader is to go back."""

    term: int
    success: bool
    index: int
    round: int


Message = RequestVote | RequestVoteReply | AppendEntries | AppendEntriesReply


@dataclass(frozen=True)
class Persist:
    """Put term and vote on disk, and the log from `first_index` on in place of what stands there. Nothing
    that follows it among the effects may be done before it is on disk."""

    term: int
    voted_for: str
    first_index: int = 0  # 0: the log is as it was
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Message


@dataclass(frozen=True)
class Committed:
    """The entry at `index` is committed; told once a life for each, in order."""

    index: int
    entry: LogEntry


@dataclass(frozen=True)
class ReadResult:
    """What was asked under `request_id` may be answered from the state up to `index`; None: by nobody."""

    request_id: Any
    index: int | None


Effect = Persist | Send | Committed | ReadResult
