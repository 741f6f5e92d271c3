"""The workers that an edge knows, from the roster's lists and from the runners themselves. No I/O.

A runner's own notice that it started or drains may be newer than the list. Which lists are applied is decided
in `sources/numbered_list.py`. Times are ticks of 0.1 ms.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lapistrestle.policy.types import EndpointState, WorkerInfo
from lapistrestle.sources.numbered_list import ListAction, NumberedList
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire.messages import RosterEntry, RosterSnapshot, RosterUpdate

ENDPOINT_STATES = {  # by their names on the wire
    "serving": EndpointState.SERVING,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}


@dataclass(eq=False)
class KnownWorker:
    """What is known of one worker."""

    entry: RosterEntry
    booted: int | None = None  # time of `start` on the edge's clock; computed once, so that it does not drift
    start: str = ""  # id of the process start, a new one at each restart
    draining_start: str = ""  # start id with which the runner itself announced that it drains


Address = tuple[str, int, str]  # of a worker: name, port, start id; port 0: removed


@dataclass(frozen=True)
class ListResult:
    """How a list or change is handled; if applied: whether it is complete, and what it changes."""

    action: ListAction
    whole: bool = False
    workers: tuple[WorkerInfo, ...] = ()
    addresses: tuple[Address, ...] = ()


class KnownWorkers:
    """The workers that one edge knows, by name.

    `zones` and `kinds` are the deployment's names; the module gets their indexes, unknown ones as 0.
    """

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = {zone: i for i, zone in enumerate(zones)}
        self.kinds = {kind: i for i, kind in enumerate(kinds)}
        self.known: dict[str, KnownWorker] = {}

    def update(self, entries: Iterable[RosterEntry], now: int) -> tuple[list[WorkerInfo], list[Address]]:
        """Apply entries of a list. Returns the workers for the module, and their addresses."""
        workers, addresses = list[WorkerInfo](), list[Address]()
        for entry in entries:
            known = self.known.get(entry.name)
            if known is None:
                known = self.known[entry.name] = KnownWorker(entry)
            known.entry = entry
            self.note_start(known, entry.start, entry.up_for, now, first=not known.start)
            workers.append(self.worker_info(known))
            addresses.append((entry.name, 0 if entry.listing == "gone" else entry.port, entry.start))
            if entry.listing == "gone":
                del self.known[entry.name]
        return workers, addresses

    def note_start(self, known: KnownWorker, start: str, up_for: float | None, now: int, first: bool) -> bool:
        """Record a reported process start of a worker; False if it is empty, known or an earlier one.

        A runner's greeting may be older or newer than the list, so of two starts the later one counts.
        `up_for` is the time in ms since the start; `first` is set if no start is known yet.
        """
        if start == known.start or not start:
            return False
        booted = None if up_for is None else now - int(up_for * MILLISECOND)
        if not first and known.booted is not None and booted is not None and booted < known.booted:
            return False  # an outdated report of an earlier start
        known.start, known.booted = start, booted
        return True

    def greeting_received(
        self, name: str, start: str, up_for: float | None, draining: bool, now: int
    ) -> tuple[WorkerInfo, ...]:
        """Apply a runner's greeting. Returns the worker if its start or draining state is new, else ()."""
        known = self.known.get(name)
        if known is None:
            return ()
        is_new = self.note_start(known, start, up_for, now, first=not known.start)
        if draining and known.draining_start != start:
            known.draining_start, is_new = start, True
        return (self.worker_info(known),) if is_new else ()

    def drain_announced(self, name: str, start: str) -> tuple[WorkerInfo, ...]:
        """Apply a runner's notice that it drains, which overrides a list that has this start as serving.

        Returns the worker; () if the notice is from another start or the worker is not known.
        """
        known = self.known.get(name)
        if known is None or known.start != start:
            return ()
        known.draining_start = start
        return (self.worker_info(known),)

    def worker_info(self, known: KnownWorker) -> WorkerInfo:
        """The worker as passed to the module; draining if the list or the runner itself says so."""
        entry = known.entry
        listing = ENDPOINT_STATES[entry.listing]
        if listing is EndpointState.SERVING and known.draining_start and known.draining_start == known.start:
            listing = EndpointState.DRAINING
        zone, kind = self.zones.get(entry.zone, 0), self.kinds.get(entry.kind, 0)
        return WorkerInfo(entry.name, zone, entry.cell, kind, entry.size, listing, known.booted)


class EndpointListFollower(NumberedList, KnownWorkers):
    """One edge's copy of the roster's worker list; checks the sequence numbers of what it applies."""

    def __init__(self, zones: list[str], kinds: list[str], log: Callable[[str], None]) -> None:
        NumberedList.__init__(self, log)
        KnownWorkers.__init__(self, zones, kinds)

    def size(self) -> int:
        return len(self.known)

    def message_received(self, message: RosterSnapshot | RosterUpdate, now: int) -> ListResult:
        """Apply a list or change from the roster, if its number allows.

        Known workers that a complete list does not name are removed.
        """
        action = self.accept(message)
        if action is not ListAction.APPLY:
            return ListResult(action)
        whole = isinstance(message, RosterSnapshot)
        removed = {}
        if whole:
            if not message.workers and self.known:
                self.log(f"list empty at {message.number}: all {len(self.known)} count as gone")
            listed = {entry.name for entry in message.workers}
            removed = {name: known for name, known in self.known.items() if name not in listed}
            for name in removed:
                del self.known[name]
        workers, addresses = self.update(message.workers, now)
        return ListResult(action, whole, tuple(workers), (*((name, 0, "") for name in removed), *addresses))
