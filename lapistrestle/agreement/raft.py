"""One member of an agreement: events and a clock in, effects out, in the order in which they are to be done.

A member says nothing that it can't stand for after a kill: each change of term, vote or log is a `Save` ahead
of the words that rest on it. A leader commits entries of its own term only; older ones are agreed by what
follows them. A read is answered once a majority has answered a word that was sent after the read was asked.
"""

from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from typing import Any
from zlib import crc32

from lapistrestle.agreement.words import (
    Append,
    Appended,
    AskVote,
    Commit,
    Disk,
    Effect,
    Entry,
    Message,
    Read,
    Save,
    Send,
    Vote,
)

SECOND = 10_000  # in tenths of a millisecond
DEFAULTS: Mapping[str, int] = {
    "beat": SECOND // 10,  # between two words of a leader
    "patience": SECOND // 2,  # without a leader's word before one asks for votes; up to twice that, by chance
    "batch": 64,  # entries in one word at the most: a follower far behind must not hold up the others
    "reads": 1_000,  # that wait at once
}

Role = Enum("Role", "FOLLOWER ASKING CANDIDATE LEADER")  # ASKING: for pre-votes


class Member:
    """`members` are all, oneself among them. `disk` is what was saved; it is read here, once."""

    def __init__(
        self, me: str, members: Sequence[str], disk: Disk, facts: Mapping[str, int], seed: int, now: int,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:  # fmt: skip
        self.me, self.others = me, [name for name in members if name != me]
        self.facts, self.seed, self.draws, self.log = {**DEFAULTS, **facts}, seed, 0, log
        self.term, self.voted, self.entries = disk.term, disk.voted, list(disk.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = 0
        self.votes = set[str]()
        self.next = dict[str, int]()
        self.match = dict[str, int]()
        self.heard_at = dict[str, int]()  # as a leader: when each other last answered
        self.answered = dict[str, int]()  # the latest round that each has answered
        self.round = 0
        self.reads: list[tuple[int, Any]] = []  # the round that must be answered, and the tag
        self.word_at = now - 2 * self.facts["patience"]  # when a leader was last heard
        self.out: list[Effect] = []
        self.due = now
        self.be_patient(now)

    # events

    def tick(self, now: int) -> list[Effect]:
        """Time has passed; ask again at `due`."""
        if now < self.due:
            return self.done()
        if self.role is not Role.LEADER:
            self.ask(now, pre=True)
        elif self.alone(now):
            self.follow(self.term, "", now, "no majority answers")
        else:
            self.beat(now)
        return self.done()

    def heard(self, sender: str, message: Message, now: int) -> list[Effect]:
        """A word of another member; those of no member are passed over."""
        if sender in self.others:
            if message.term > self.term and not (isinstance(message, AskVote | Vote) and message.pre):
                leads = sender if isinstance(message, Append) else ""
                self.follow(message.term, leads, now, f"{sender} is at term {message.term}")
            HEARD[type(message)](self, sender, message, now)
        return self.done()

    def propose(self, command: Any, now: int) -> tuple[int | None, list[Effect]]:
        """Where the command will stand if it is agreed under this term; None: this one does not lead."""
        if self.role is not Role.LEADER:
            return None, []
        self.append([Entry(self.term, command)])
        self.beat(now)
        return self.last, self.done()

    def read(self, tag: Any, now: int) -> list[Effect]:
        """Ask to answer from what is agreed now; a `Read` follows, at once or later."""
        if self.role is not Role.LEADER or len(self.reads) >= self.facts["reads"]:
            self.out.append(Read(tag, None))
        else:
            self.reads.append((self.round + 1, tag))
            self.beat(now)
        return self.done()

    # the log

    @property
    def last(self) -> int:
        return len(self.entries)

    def term_at(self, index: int) -> int:
        return self.entries[index - 1].term if 0 < index <= self.last else 0

    def append(self, entries: Sequence[Entry]) -> None:
        since = self.last + 1
        self.entries.extend(entries)
        self.save(since, entries)

    def save(self, since: int = 0, entries: Sequence[Entry] = ()) -> None:
        self.out.append(Save(self.term, self.voted, since, tuple(entries)))

    def agree(self, index: int) -> None:
        """Up to there all is agreed. Told in order; after a restart from the start again."""
        while self.commit < min(index, self.last):
            self.commit += 1
            self.out.append(Commit(self.commit, self.entries[self.commit - 1]))

    # roles

    def be_patient(self, now: int) -> None:
        self.draws += 1
        patience = self.facts["patience"]
        self.due = now + patience + crc32(f"{self.seed}:{self.draws}".encode()) % patience

    def follow(self, term: int, leader: str, now: int, why: str) -> None:
        """Lead or ask no longer. A higher term begins without a vote."""
        if self.role is Role.LEADER:
            self.log(f"leads no more at term {self.term}: {why}")
        if term > self.term:
            self.term, self.voted = term, ""
            self.save()
        self.role, self.leader = Role.FOLLOWER, leader
        self.out.extend(Read(tag, None) for _, tag in self.reads)
        self.reads = []
        self.be_patient(now)

    def ask(self, now: int, pre: bool) -> None:
        """Ask all for their votes; a pre-vote first, so that one that was cut off raises no term."""
        if not pre:
            self.term, self.voted = self.term + 1, self.me
            self.save()
        self.role, self.leader, self.votes = Role.ASKING if pre else Role.CANDIDATE, "", {self.me}
        self.be_patient(now)
        word = AskVote(self.term + pre, self.last, self.term_at(self.last), pre)
        self.out.extend(Send(name, word) for name in self.others)
        self.count(now)

    def count(self, now: int) -> None:
        if self.majority(len(self.votes)):
            if self.role is Role.ASKING:
                self.ask(now, pre=False)
            else:
                self.lead(now)

    def majority(self, count: int) -> bool:
        return 2 * count > len(self.others) + 1

    def lead(self, now: int) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.log(f"leads at term {self.term} with {len(self.votes)} votes, log {self.last} long")
        self.next = dict.fromkeys(self.others, self.last + 1)
        self.match = dict.fromkeys(self.others, 0)
        self.heard_at = dict.fromkeys(self.others, now)
        self.answered = dict.fromkeys(self.others, 0)
        self.append([Entry(self.term, None)])  # what came before is agreed with it
        self.beat(now)

    def alone(self, now: int) -> bool:
        """Whether no majority has answered for so long that others may have chosen another."""
        lately = sum(now - at < 2 * self.facts["patience"] for at in self.heard_at.values())
        return not self.majority(1 + lately)

    def beat(self, now: int) -> None:
        """A word to all. Each gets what it lacks, in batches."""
        self.round += 1
        self.due = now + self.facts["beat"]
        for name in self.others:
            self.tell(name)
        self.settle()

    def tell(self, name: str) -> None:
        prev = self.next[name] - 1
        entries = tuple(self.entries[prev : prev + self.facts["batch"]])
        self.out.append(
            Send(name, Append(self.term, prev, self.term_at(prev), entries, self.commit, self.round))
        )

    # words of others

    def on_ask(self, sender: str, word: AskVote, now: int) -> None:
        """A vote for a log no older than one's own; a pre-vote only where no leader was heard of late: guards
        a leader that works against one that comes back from a cut."""
        newer = (word.last_term, word.last) >= (self.term_at(self.last), self.last)
        if word.pre:
            quiet = self.role is not Role.LEADER and now - self.word_at >= self.facts["patience"]
            granted = newer and quiet and word.term > self.term
            return self.out.append(Send(sender, Vote(word.term if granted else self.term, granted, True)))
        granted = word.term == self.term and newer and self.voted in ("", sender)
        if granted and not self.voted:
            self.voted = sender
            self.save()
            self.be_patient(now)
        self.out.append(Send(sender, Vote(self.term, granted, False)))

    def on_vote(self, sender: str, word: Vote, now: int) -> None:
        asked = Role.ASKING if word.pre else Role.CANDIDATE
        if not word.granted and word.term > self.term:
            return self.follow(word.term, "", now, f"{sender} is at term {word.term}")
        if self.role is asked and word.granted and word.term == self.term + word.pre:
            self.votes.add(sender)
            self.count(now)

    def on_append(self, sender: str, word: Append, now: int) -> None:
        if word.term < self.term:
            return self.out.append(Send(sender, Appended(self.term, False, 0, word.round)))
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self.follow(word.term, sender, now, f"{sender} leads")
        self.word_at = now
        self.be_patient(now)
        if word.prev > self.last or self.term_at(word.prev) != word.prev_term:
            back = min(self.last, word.prev - 1)
            while back > self.commit and self.term_at(back) > word.prev_term:
                back -= 1  # over a whole term of ours that the leader can't have
            return self.out.append(Send(sender, Appended(self.term, False, back, word.round)))
        at = word.prev
        for i, entry in enumerate(word.entries):
            if self.term_at(at + 1) != entry.term:  # a late word must not cut off what came after it
                del self.entries[at:]
                self.append(word.entries[i:])
                break
            at += 1
        match = word.prev + len(word.entries)
        self.agree(min(word.commit, match))
        self.out.append(Send(sender, Appended(self.term, True, match, word.round)))

    def on_appended(self, sender: str, word: Appended, now: int) -> None:
        if self.role is not Role.LEADER or word.term != self.term:
            return
        self.heard_at[sender] = now
        self.answered[sender] = max(self.answered[sender], word.round)
        if word.ok:
            self.match[sender] = max(self.match[sender], word.index)
            self.next[sender] = max(self.next[sender], word.index + 1)
            if self.next[sender] <= self.last and word.index + 1 == self.next[sender]:
                self.tell(sender)
        elif word.index + 1 < self.next[sender]:
            self.next[sender] = max(self.match[sender], word.index) + 1
            self.tell(sender)
        self.settle()

    def settle(self) -> None:
        """What a majority has on disk is agreed, if of this term; reads that a majority bears out."""
        index = self.borne(self.match, self.last)
        if self.term_at(index) == self.term:
            self.agree(index)
        answered = self.borne(self.answered, self.round)
        while self.reads and self.reads[0][0] <= answered and self.term_at(self.commit) == self.term:
            self.out.append(Read(self.reads.pop(0)[1], self.commit))

    def borne(self, others: Mapping[str, int], own: int) -> int:
        """The most that a majority has reached."""
        reached = sorted([*others.values(), own], reverse=True)
        return reached[len(reached) // 2]

    def done(self) -> list[Effect]:
        out, self.out = self.out, []
        return out


HEARD: dict[type, Callable[[Member, str, Any, int], None]] = {
    AskVote: Member.on_ask,
    Vote: Member.on_vote,
    Append: Member.on_append,
    Appended: Member.on_appended,
}
