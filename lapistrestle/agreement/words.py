"""What members of one agreement say to each other, what they keep on disk, and what they ask to be done.

Shapes after Ongaro, "Consensus: Bridging Theory and Practice" (2014): Raft with pre-vote (9.6), a leader that
steps down without a majority (6.2), reads that need no entry (6.4). Indices count from 1; times are whole
tenths of a millisecond.
"""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Entry:
    """One place in the log; `command` is None for the one that a leader begins its term with."""

    term: int
    command: Any


@dataclass
class Disk:
    """What has been saved: a member that returns begins from it and from nothing else."""

    term: int = 0
    voted: str = ""  # for whom, in that term
    entries: list[Entry] = field(default_factory=list)


@dataclass(frozen=True)
class AskVote:
    """`pre`: would you vote for me in that term? Nothing is promised by it."""

    term: int
    last: int
    last_term: int
    pre: bool


@dataclass(frozen=True)
class Vote:
    term: int
    granted: bool
    pre: bool


@dataclass(frozen=True)
class Append:
    """A leader's word: entries after `prev`, and how far all is agreed. `round` comes back in the answer."""

    term: int
    prev: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


@dataclass(frozen=True)
class Appended:
    """`index`: up to there the log is the leader's and on disk; not `ok`: the leader is to go back there."""

    term: int
    ok: bool
    index: int
    round: int


Message = AskVote | Vote | Append | Appended


@dataclass(frozen=True)
class Save:
    """Put term and vote on disk, and the log from `since` on in place of what stands there. Nothing that
    follows it among the effects may be done before it is on disk."""

    term: int
    voted: str
    since: int = 0  # 0: the log is as it was
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True)
class Send:
    to: str
    message: Message


@dataclass(frozen=True)
class Commit:
    """The entry at `index` is agreed; told once a life for each, in order."""

    index: int
    entry: Entry


@dataclass(frozen=True)
class Read:
    """What was asked under `tag` may be answered from the state up to `index`; None: by nobody here."""

    tag: Any
    index: int | None


Effect = Save | Send | Commit | Read
