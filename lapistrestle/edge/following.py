"""What a front end takes from the roster's lists, and where a runner's own word is newer. No I/O.

Which lists are taken: `sources/numbered_list.py`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lapistrestle.policy.types import EndpointState, WorkerInfo
from lapistrestle.sources.numbered_list import ListAction, NumberedList
from lapistrestle.wire.messages import RosterEntry, RosterSnapshot, RosterUpdate

STATES = {  # as the wire names them
    "serving": EndpointState.SERVING,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}


@dataclass(eq=False)
class Known:
    """One worker, from the roster and from itself."""

    entry: RosterEntry
    booted: int | None = None  # of `start`, on our clock; reckoned once: reckoned anew it would drift
    start: str = ""
    drains: str = ""  # the start at which the worker itself said that it drains


Address = tuple[str, int, str]  # of a worker: name, port, start; port 0: gone


@dataclass(frozen=True)
class Taken:
    """What a list led to."""

    do: ListAction
    whole: bool = False
    facts: tuple[WorkerInfo, ...] = ()
    addresses: tuple[Address, ...] = ()


class KnownWorkers:
    """The workers that one front end knows, from whoever tells it of them and from themselves."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = {zone: i for i, zone in enumerate(zones)}
        self.kinds = {kind: i for i, kind in enumerate(kinds)}
        self.known: dict[str, Known] = {}

    def note(self, entries: Iterable[RosterEntry], now: int) -> tuple[list[WorkerInfo], list[Address]]:
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

    def told(self, message: RosterSnapshot | RosterUpdate, now: int) -> Taken:
        """A list or change came from the roster."""
        do = self.accept(message)
        if do is not ListAction.APPLY:
            return Taken(do)
        whole = isinstance(message, RosterSnapshot)
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
