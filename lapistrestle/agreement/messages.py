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
    """`pre`: would you vote for me in that term? Nothing is promised by it."""

    term: int
    last: int
    last_term: int
    pre: bool


@dataclass(frozen=True)
class VoteReply:
    """`term`: the voter's; of a granted pre-vote the one that was asked for."""

    term: int
    granted: bool
    pre: bool


@dataclass(frozen=True)
class AppendEntries:
    """A leader's entries after `prev`, and how far the log is committed. `round` comes back in the reply."""

    term: int
    prev: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int


@dataclass(frozen=True)
class AppendReply:
    """`index`: up to there the log is the leader's and on disk; not `ok`: the leader is to go back there."""

    term: int
    ok: bool
    index: int
    round: int


Message = RequestVote | VoteReply | AppendEntries | AppendReply


@dataclass(frozen=True)
class Persist:
    """Put term and vote on disk, and the log from `since` on in place of what stands there. Nothing that
    follows it among the effects may be done before it is on disk."""

    term: int
    voted_for: str
    since: int = 0  # 0: the log is as it was
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Message


@dataclass(frozen=True)
class Commit:
    """The entry at `index` is committed; told once a life for each, in order."""

    index: int
    entry: LogEntry


@dataclass(frozen=True)
class Read:
    """What was asked under `tag` may be answered from the state up to `index`; None: by nobody here."""

    tag: Any
    index: int | None


Effect = Persist | Send | Commit | Read
