"""What a front end takes from the roster: numbered lists, and where a runner's own word is newer. No I/O.

A whole list begins, each change counts one up. A number that does not follow means asking for the whole list
anew; a list that jumps back is taken only when the roster says the same twice, or says that its numbers began
anew: one stale reply must not bring back workers that are gone. An empty whole list is taken as it stands,
since being told that a worker is gone binds (rule 3); the log says so.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from lapistrestle.policy.types import EndpointState, WorkerInfo
from lapistrestle.wire.messages import Change, Entry, Whole

STATES = {  # as the wire names them
    "serving": EndpointState.SERVING,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}

Mode = Enum("Mode", "BLANK ASKING STEADY")
News = Enum("News", "WHOLE BACK AGAIN NEXT REPEAT GAP CUT FAILED")
Do = Enum("Do", "TAKE ASK PASS TELL_FAILED")

# what is done with a list or a change, by what is known and how its number lies to the last one taken
FOLLOWING: dict[tuple[Mode, News], tuple[Mode, Do]] = {
    (Mode.BLANK, News.WHOLE): (Mode.STEADY, Do.TAKE),
    (Mode.BLANK, News.BACK): (Mode.STEADY, Do.TAKE),
    (Mode.BLANK, News.AGAIN): (Mode.STEADY, Do.TAKE),
    (Mode.BLANK, News.NEXT): (Mode.ASKING, Do.ASK),
    (Mode.BLANK, News.REPEAT): (Mode.ASKING, Do.ASK),
    (Mode.BLANK, News.GAP): (Mode.ASKING, Do.ASK),
    (Mode.BLANK, News.CUT): (Mode.BLANK, Do.TELL_FAILED),
    (Mode.BLANK, News.FAILED): (Mode.BLANK, Do.TELL_FAILED),
    (Mode.STEADY, News.WHOLE): (Mode.STEADY, Do.TAKE),
    (Mode.STEADY, News.BACK): (Mode.ASKING, Do.ASK),
    (Mode.STEADY, News.AGAIN): (Mode.STEADY, Do.TAKE),
    (Mode.STEADY, News.NEXT): (Mode.STEADY, Do.TAKE),
    (Mode.STEADY, News.REPEAT): (Mode.STEADY, Do.PASS),
    (Mode.STEADY, News.GAP): (Mode.ASKING, Do.ASK),
    (Mode.STEADY, News.CUT): (Mode.STEADY, Do.TELL_FAILED),
    (Mode.STEADY, News.FAILED): (Mode.STEADY, Do.TELL_FAILED),
    (Mode.ASKING, News.WHOLE): (Mode.STEADY, Do.TAKE),
    (Mode.ASKING, News.BACK): (Mode.ASKING, Do.PASS),
    (Mode.ASKING, News.AGAIN): (Mode.STEADY, Do.TAKE),
    (Mode.ASKING, News.NEXT): (Mode.ASKING, Do.TAKE),
    (Mode.ASKING, News.REPEAT): (Mode.ASKING, Do.PASS),
    (Mode.ASKING, News.GAP): (Mode.ASKING, Do.PASS),
    (Mode.ASKING, News.CUT): (Mode.BLANK, Do.TELL_FAILED),
    (Mode.ASKING, News.FAILED): (Mode.BLANK, Do.TELL_FAILED),
}


@dataclass(eq=False)
class Known:
    """One worker, from the roster and from itself."""

    entry: Entry
    booted: int | None = None  # of `start`, on our clock; reckoned once: reckoned anew it would drift
    start: str = ""
    drains: str = ""  # the start at which the worker itself said that it drains


Address = tuple[str, int, str]  # of a worker: name, port, start; port 0: gone


@dataclass(frozen=True)
class Taken:
    """What a list led to."""

    do: Do
    whole: bool = False
    facts: tuple[WorkerInfo, ...] = ()
    addresses: tuple[Address, ...] = ()


class NumberedList:
    """The numbers of one roster's lists as one follower has taken them: a front end, or a directory's holder.

    A subclass keeps what the lists say, and tells its `size` for the log.
    """

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log = log
        self.mode, self.number, self.epoch = Mode.BLANK, -1, ""
        self.back: tuple[str, int] | None = None  # a list that jumped back, seen once

    def size(self) -> int:
        """Workers that are known now."""
        raise NotImplementedError

    def accept(self, message: Whole | Change) -> Do:
        """What is to be done with a list or change; one that is taken is the newest from now on."""
        do = self.step(self.news(message))
        if do is Do.TAKE:
            self.number, self.epoch, self.back = message.number, message.epoch, None
        return do

    def news(self, message: Whole | Change) -> News:
        same = message.epoch == self.epoch
        if isinstance(message, Whole):
            if not same or message.number >= self.number:
                return News.WHOLE
            again = self.back == (message.epoch, message.number)
            self.back = (message.epoch, message.number)
            return News.AGAIN if again else News.BACK
        if not same:
            return News.GAP
        step = message.number - self.number
        return News.NEXT if step == 1 else News.REPEAT if step <= 0 else News.GAP

    def step(self, news: News) -> Do:
        before = self.mode
        self.mode, do = FOLLOWING[self.mode, news]
        if self.mode is not before:
            mode, why = self.mode.name.lower(), news.name.lower()
            self.log(f"list {mode}: {why} at {self.number}, {self.size()} known")
        return do


class KnownWorkers:
    """The workers that one front end knows, from whoever tells it of them and from themselves."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = {zone: i for i, zone in enumerate(zones)}
        self.kinds = {kind: i for i, kind in enumerate(kinds)}
        self.known: dict[str, Known] = {}

    def note(self, entries: Iterable[Entry], now: int) -> tuple[list[WorkerInfo], list[Address]]:
        """What entries say, for the module, and where the workers listen now."""
        facts, addresses = list[WorkerInfo](), list[Address]()
        for entry in entries:
            known = self.known.get(entry.name)
            if known is None:
                known = self.known[entry.name] = Known(entry)
            known.entry = entry
            self.started(known, entry.start, entry.up_for, now, first=not known.start)
            facts.append(self.facts(known))
            addresses.append((entry.name, 0 if entry.listing == "gone" else entry.port, entry.start))
            if entry.listing == "gone":
                del self.known[entry.name]
        return facts, addresses

    def started(self, known: Known, start: str, up_for: float | None, now: int, first: bool) -> bool:
        """Note a start. The worker's own word, met by connecting, may be ahead of the list or behind it."""
        if start == known.start or not start:
            return False
        booted = None if up_for is None else now - int(up_for * 10)
        if not first and known.booted is not None and booted is not None and booted < known.booted:
            return False  # an older start: this word is the stale one
        known.start, known.booted = start, booted
        return True

    def met(
        self, name: str, start: str, up_for: float | None, draining: bool, now: int
    ) -> tuple[WorkerInfo, ...]:
        """A runner greeted us. What it says of itself is told to the module at once if it is new."""
        known = self.known.get(name)
        if known is None:
            return ()
        new = self.started(known, start, up_for, now, first=not known.start)
        if draining and known.drains != start:
            known.drains, new = start, True
        return (self.facts(known),) if new else ()

    def drains(self, name: str, start: str) -> tuple[WorkerInfo, ...]:
        """A runner itself said that it drains; a list that still says otherwise is the older word."""
        known = self.known.get(name)
        if known is None or known.start != start:
            return ()
        known.drains = start
        return (self.facts(known),)

    def facts(self, known: Known) -> WorkerInfo:
        entry = known.entry
        listing = STATES[entry.listing]
        if listing is EndpointState.SERVING and known.drains and known.drains == known.start:
            listing = EndpointState.DRAINING
        zone, kind = self.zones.get(entry.zone, 0), self.kinds.get(entry.kind, 0)
        return WorkerInfo(entry.name, zone, entry.cell, kind, entry.size, listing, known.booted)


class Following(NumberedList, KnownWorkers):
    """The roster's list as one front end holds it."""

    def __init__(self, zones: list[str], kinds: list[str], log: Callable[[str], None]) -> None:
        NumberedList.__init__(self, log)
        KnownWorkers.__init__(self, zones, kinds)

    def size(self) -> int:
        return len(self.known)

    def told(self, message: Whole | Change, now: int) -> Taken:
        """A list or change came from the roster."""
        do = self.accept(message)
        if do is not Do.TAKE:
            return Taken(do)
        whole = isinstance(message, Whole)
        gone = {}
        if whole:
            if not message.workers and self.known:
                self.log(f"list empty at {message.number}: all {len(self.known)} count as gone")
            named = {entry.name for entry in message.workers}
            gone = {name: known for name, known in self.known.items() if name not in named}
            for name in gone:
                del self.known[name]
        facts, addresses = self.note(message.workers, now)
        return Taken(do, whole, tuple(facts), (*((name, 0, "") for name in gone), *addresses))
