"""An edge's side of the directory of instances: its connections to holders, and what they tell handed on.

`directory.watcher` decides what is asked of which holder and what is believed; `choice` decides what becomes
of each RPC. Here an RPC waits until its function's prefix is known, and both are told what they need. Times
are whole tenths of a millisecond on the edge's clock. Imported only where a deployment names a directory.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lapistrestle.deployment.shape import Directory
from lapistrestle.directory.assignment import Assignment, Copy
from lapistrestle.directory.effects import (
    Dial,
    HangUp,
    InstancesChanged,
    InstancesForgotten,
    InstancesGone,
    LookupFailed,
    PrefixReady,
    Send,
    SumsChanged,
    WatcherEffect,
    WatcherSettings,
)
from lapistrestle.directory.region import Region
from lapistrestle.directory.watcher import NEAR_THE_END, DirectoryWatcher
from lapistrestle.edge.following import Address, Known
from lapistrestle.hosting.requests import Attempt, PendingRequest
from lapistrestle.hosting.timers import Timer
from lapistrestle.interface import Listing, SrvFacts
from lapistrestle.state import Fn
from lapistrestle.wire import directory as wire
from lapistrestle.wire.lines import LineBounds, Speaker, union
from lapistrestle.wire.messages import VERSION, Fault, Hello

EXTENSION_PAUSE = 5_000  # between two extensions of one prefix
RENEWALS = 3  # within the silence after which a holder is left
TENTHS = 10_000  # tenths of a millisecond in a second


def assignment_of(settings: Directory) -> Assignment:
    """The copies of each shard that the settings name."""
    shards = [tuple(Copy(c.host, c.port, c.zone) for c in copies) for copies in settings.shards]
    return Assignment(settings.epoch, tuple(shards))


def watcher_settings(settings: Directory, dial_time_out: int) -> WatcherSettings:
    """What the decisions keep to."""
    return WatcherSettings(
        first_count=settings.first_count,
        lookup_time_out=int(settings.lookup_time_out),
        heartbeat=int(settings.silence) // RENEWALS,
        silence=int(settings.silence),
        dial_time_out=dial_time_out,
        idle=int(settings.idle),
    )


class HolderSpeaker(Speaker):
    """The edge's end of one connection to a holder."""

    protocol = wire.DIRECTORY
    decoder = union(wire.FromHolder)

    def __init__(self, dial: "HolderDial") -> None:
        super().__init__(LineBounds())
        self.dial = dial

    def greeting(self) -> Hello:
        return Hello(self.protocol, VERSION, self.dial.directory.edge.name)

    def met(self, hello: Hello) -> None:
        self.dial.directory.connected(self.dial)

    def heard(self, message: Any) -> None:
        self.dial.directory.heard(self.dial, message)

    def unreadable(self, line: bytes, why: str) -> None:
        """A line lost may have told of a drain: the watches begin anew on another connection."""
        self.dial.directory.edge.passed_over("holder", why)
        super().unreadable(line, why)

    def lost(self) -> None:
        self.dial.directory.lost(self.dial, self.greeted)


class HolderDial(ClientFactory):
    """One connection to a copy of a shard, as the watcher numbers it."""

    noisy = False

    def __init__(self, directory: "EdgeDirectory", number: int) -> None:
        self.directory, self.number = directory, number
        self.speaker: HolderSpeaker | None = None
        self.connector: Any = None

    def buildProtocol(self, addr: Any) -> HolderSpeaker:
        self.speaker = HolderSpeaker(self)
        return self.speaker

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.directory.lost(self, greeted=False)

    def leave(self) -> None:
        """What is under way on it is of no use any more, also where the holder does not read."""
        if self.speaker is None:
            self.connector.disconnect()
        elif not self.speaker.closed:
            self.speaker.closed = True
            self.speaker.transport.unregisterProducer()
            self.speaker.transport.abortConnection()


class EdgeDirectory:
    """Keeps the module's knowledge to the functions that are called, and RPCs waiting until they have one."""

    def __init__(self, edge: Any, settings: Directory) -> None:
        self.edge, self.settings = edge, settings
        self.region: Region = edge.facts["region"]
        place = edge.deployment.dispatcher
        self.watcher = DirectoryWatcher(
            place.name,
            place.zone,
            assignment_of(settings),
            watcher_settings(settings, edge.facts["dial_time_out"]),
            place.seed,
            edge.clock(),
            lambda text: edge.log("directory", figures=text),
        )
        self.dials: dict[int, HolderDial] = {}
        self.waiting: dict[str, dict[PendingRequest, Timer | None]] = {}  # by function: with its own time-out
        self.parted: dict[str, Known] = {}  # in no prefix any more, while they warm up
        self.extended: dict[str, int] = {}  # by function: when a longer prefix was asked for last
        self.asked = 0  # since when the message at hand was true
        self.acting = False
        self.timer: Timer | None = None
        self.counts = dict.fromkeys(("waited", "looked up", "failed", "late"), 0)

    # as a source of the list

    def start(self) -> None:
        self.act()

    def follow(self) -> None: ...

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.stop()
        for dial in self.dials.values():
            dial.leave()
        self.dials.clear()

    # RPCs

    def ready(self, fn: Fn, method: str) -> bool:
        """Whether an RPC of this function can be placed now; else it has to wait."""
        prefix = self.watcher.wanted(fn.name, method, self.edge.clock())
        if prefix is not None and fn.prefix is None:
            self.rank(fn, prefix.names)
        return prefix is not None

    def wait(self, pending: PendingRequest) -> None:
        """Until `PrefixReady` or `LookupFailed`, which comes within the look-up time-out, or its deadline."""
        self.counts["waited"] += 1
        now, timer = self.edge.clock(), None
        if pending.deadline < now + self.settings.lookup_time_out:
            timer = self.edge.after(max(0, pending.deadline - now), self.late, pending)
        self.waiting.setdefault(pending.fn.name, {})[pending] = timer
        self.act()

    def late(self, pending: PendingRequest) -> None:
        self.counts["late"] += 1
        self.deny(pending, self.edge.facts["longest_come_back"])

    def deny(self, pending: PendingRequest, come_back: int) -> None:
        facts = self.edge.facts
        told = min(come_back, facts["longest_come_back"]) if facts["may_come_back"] else 0
        self.edge.host.deny(pending, told)

    def left(self, pending: PendingRequest) -> bool:
        """It waits no longer, whatever the reason; whether it did."""
        waiting = self.waiting.get(pending.fn.name, {})
        if pending not in waiting:
            return False
        timer = waiting.pop(pending)
        if timer is not None:
            timer.stop()
        if not waiting:
            del self.waiting[pending.fn.name]
        return True

    def used(self, attempt: Attempt) -> None:
        """A call-out goes to a worker: its function is in use, up to that worker's place.

        An order is entered anywhere, so a place near the end is no sign that the prefix is too short: the
        module says where it is (`more`).
        """
        prefix = attempt.pending.fn.prefix or ()
        if attempt.srv in prefix:
            last = max(0, int(NEAR_THE_END * len(prefix)) - 1)
            place = min(prefix.index(attempt.srv), last)
            self.watcher.used(attempt.pending.fn.name, place, self.edge.clock())
            if self.watcher.effects:  # else nothing is due earlier than it was
                self.act()

    def more(self, fn: str) -> None:
        """The prefix was not enough. What a longer one brings must show before a yet longer one is asked for:
        else each jam would have the whole fleet listed within a few round trips."""
        now = self.edge.clock()
        if now - self.extended.get(fn, -EXTENSION_PAUSE) >= EXTENSION_PAUSE:
            self.extended[fn] = now
            self.watcher.more(fn, now)
            self.act()

    # connections

    def connected(self, dial: HolderDial) -> None:
        if dial.number in self.dials:
            self.edge.input()
            self.watcher.connected(dial.number, self.edge.clock())
            self.act()

    def lost(self, dial: HolderDial, greeted: bool) -> None:
        if self.dials.pop(dial.number, None) is None:
            return
        self.edge.input()
        told = self.watcher.disconnected if greeted else self.watcher.refused
        told(dial.number, self.edge.clock())
        self.act()

    def heard(self, dial: HolderDial, message: Any) -> None:
        if dial.number not in self.dials:
            return
        self.edge.input()
        if isinstance(message, Fault):
            return self.edge.passed_over("holder", f"it could not take a line: {message.why}")
        now = self.edge.clock()
        self.asked = message.asked - message.age if isinstance(message, wire.Renewed) else now
        self.watcher.heard(dial.number, message, now)
        self.act()

    # what the watcher decided

    def act(self) -> None:
        """Carry out its effects in order. What that leads to may bring more of them: their turn is later."""
        if self.acting:
            return
        self.acting = True
        try:
            while effects := self.watcher.take():
                for effect in effects:
                    self.carry_out(effect)
        finally:
            self.acting = False
        self.wake()

    def wake(self) -> None:
        """Be called when more is due. A timer that proves early does no harm."""
        due = self.watcher.next_due()
        if self.timer is not None and self.timer.when <= due:
            return
        if self.timer is not None:
            self.timer.stop()
        self.timer = self.edge.after(max(0, due - self.edge.clock()), self.tick, None)

    def tick(self, _: object) -> None:
        self.timer = None
        if not self.edge.stopping or self.waiting:
            self.watcher.tick(self.edge.clock())
            self.act()

    def carry_out(self, effect: WatcherEffect) -> None:
        match effect:
            case Dial():
                self.dial(effect)
            case HangUp():
                if (dial := self.dials.pop(effect.connection, None)) is not None:
                    dial.leave()
            case Send():
                self.send(effect)
            case InstancesChanged():
                self.changed(effect)
            case InstancesGone():
                self.gone(effect.names)
            case InstancesForgotten():
                self.forgotten(effect.names)
            case PrefixReady():
                self.prefix_ready(effect)
            case LookupFailed():
                self.lookup_failed(effect)
            case SumsChanged():
                self.region.told(effect.sums, self.asked)

    def dial(self, effect: Dial) -> None:
        dial = self.dials[effect.connection] = HolderDial(self, effect.connection)
        time_out = self.edge.facts["dial_time_out"] / TENTHS
        copy = effect.copy
        dial.connector = self.edge.reactor.connectTCP(copy.host, copy.port, dial, timeout=time_out)

    def send(self, effect: Send) -> None:
        dial = self.dials.get(effect.connection)
        if dial is not None and dial.speaker is not None:
            dial.speaker.say(effect.message)

    def changed(self, effect: InstancesChanged) -> None:
        for entry in effect.entries:
            parted = self.parted.pop(entry.name, None)
            if parted is not None:  # what the module was told of its start stays as it was reckoned
                self.edge.following.known[entry.name] = parted
        facts, addresses = self.edge.following.note(effect.entries, self.edge.clock())
        self.edge.workers_told(facts, addresses)

    def gone(self, names: Iterable[str]) -> None:
        """Rule 3: nothing new goes there. What is out may still end."""
        facts = list[SrvFacts]()
        for name in names:
            known = self.edge.following.known.pop(name, None) or self.parted.pop(name, None)
            if known is not None:
                facts.append(replace(self.edge.following.facts(known), listing=Listing.GONE))
        self.tell_left(facts)

    def forgotten(self, names: Iterable[str]) -> None:
        """No prefix names these any more, and no drain of theirs would be heard of: nothing goes there.

        One that warms up is kept in the module, where what it was sent counts against its budget also when
        it is met again (rule 4).
        """
        facts = list[SrvFacts]()
        for name in names:
            known = self.edge.following.known.pop(name, None)
            if known is None:
                continue
            warm_at = (known.booted or -self.region.ramp_time) + self.region.ramp_time
            left = warm_at - self.edge.clock() if self.region.ramp_time and known.booted is not None else 0
            listing = Listing.DRAINING if left > 0 else Listing.GONE
            facts.append(replace(self.edge.following.facts(known), listing=listing))
            if left > 0:
                self.parted[name] = known
                self.edge.after(left, self.warmed_up, known)
        self.tell_left(facts)

    def warmed_up(self, known: Known) -> None:
        if self.parted.get(known.entry.name) is known:
            self.gone([known.entry.name])

    def tell_left(self, facts: list[SrvFacts]) -> None:
        if facts:
            left: list[Address] = [(told.name, 0, "") for told in facts]
            self.edge.workers_told(facts, left)

    # prefixes

    def prefix_ready(self, effect: PrefixReady) -> None:
        waiting = list(self.waiting.get(effect.function, ()))
        fns = dict.fromkeys(pending.fn for pending in waiting)
        if (fn := self.edge.host.registry.fns.get(effect.function)) is not None:
            fns[fn] = None
        for fn in fns:
            self.rank(fn, effect.names)
        for name in [n for n, at in self.extended.items() if at + EXTENSION_PAUSE <= self.edge.clock()]:
            del self.extended[name]
        self.counts["looked up"] += bool(waiting)
        for pending in waiting:
            self.left(pending)
            self.edge.host.looked_up(pending)

    def lookup_failed(self, effect: LookupFailed) -> None:
        self.counts["failed"] += 1
        for pending in list(self.waiting.get(effect.function, ())):
            self.deny(pending, effect.retry_after)

    def rank(self, fn: Fn, names: tuple[str, ...]) -> None:
        """Tell the module the function's prefix, as far as its workers are known."""
        self.edge.host.ranked(fn, [name for name in names if name in self.edge.following.known])

    # operators

    def show(self) -> dict[str, Any]:
        """What an operator sees of it, as plain values."""
        sums = self.region.sums
        return {
            "name": self.edge.name,
            "epoch": self.settings.epoch,
            "shards": len(self.settings.shards),
            "shards reached": self.watcher.shards_reached(),
            "connections": len(self.dials),
            "instances": len(self.edge.following.known),
            "functions": sum(fn.prefix is not None for fn in self.edge.host.registry.fns.values()),
            "waiting": sum(len(requests) for requests in self.waiting.values()),
            "look-ups": self.counts,
            "region": None
            if sums is None
            else {
                "size": sums.size,
                "warm": sums.warm,
                "instances": sums.instances,
                "told ms ago": (self.edge.clock() - self.region.since) / 10,
            },
        }
