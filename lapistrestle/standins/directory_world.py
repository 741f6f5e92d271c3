"""Watchers, holders and a roster in virtual time, with everything between them that breaks.

One step is one event: a message arrives, a program's time has come, something happens to the fleet. All
messages cross as encoded lines. Programs are killed, stand still and wake; connections lose and double
messages, are cut and break; zones restart, and the roster begins anew. All of it is drawn from a seed.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from lapistrestle.directory import effects as directory
from lapistrestle.directory.assignment import Assignment, Copy
from lapistrestle.directory.effects import SECOND, HolderSettings, WatcherSettings
from lapistrestle.directory.holder import ShardHolder
from lapistrestle.directory.instances import Instances
from lapistrestle.directory.watcher import DirectoryWatcher
from lapistrestle.edge.following import Do, Following
from lapistrestle.standins.directory_checks import (
    Breaches,
    EdgeView,
    SessionRecord,
    check_end,
    check_floors,
)
from lapistrestle.wire import messages as wire
from lapistrestle.wire.directory import FromHolder, FromWatcher, Renewed, Revision, Snapshot, Update

DECODE_FROM_HOLDER = msgspec.json.Decoder(FromHolder).decode
DECODE_FROM_WATCHER = msgspec.json.Decoder(FromWatcher).decode
REDIAL = 2_000  # tenths of a millisecond between a holder's dials of its roster
NOTICED = 100  # tenths of a millisecond over a holder's bound on standstills: it must have noticed
ZONES = ("north", "south", "west")


@dataclass(frozen=True)
class Weather:
    """How rough a day is: chances by message, or events a second."""

    loss: float = 0.003
    doubled: float = 0.003
    delay: tuple[int, int] = (5, 40)
    slow_chance: float = 0.01
    slow: int = 2_000
    changes: float = 4.0
    zone_restarts: float = 0.05
    roster_restarts: float = 0.05
    roster_breaks: float = 0.1
    kills: float = 0.25
    stalls: float = 0.35
    watcher_stalls: float = 0.1
    cuts: float = 0.4
    breaks: float = 0.2
    calls: float = 8.0  # of each watcher


CALM = Weather(0, 0, (5, 40), 0, 0, 1.0, 0, 0, 0, 0, 0, 0, 0, 0)


class Time:
    """What is to happen, in order."""

    def __init__(self) -> None:
        self.now, self.count = 0, 0
        self.queue = list[tuple[int, int, Callable[[], None]]]()

    def at(self, when: int, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (max(when, self.now), self.count, act))

    def after(self, delay: int, act: Callable[[], None]) -> None:
        self.at(self.now + delay, act)

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = until


class Program:
    """A process: it may stand still, while what arrives waits in the order of its arrival, and be killed."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.stalled, self.alive, self.life = False, True, 0
        self.inbox = deque[Callable[[], None]]()
        self.due = -1
        self.stalled_at = self.wakes_at = -1

    def deliver(self, act: Callable[[], None]) -> None:
        if self.stalled:
            self.inbox.append(act)
        elif self.alive:
            act()
            self.after_event()

    def stall(self, length: int) -> None:
        if self.stalled or not self.alive:
            return
        self.stalled, self.stalled_at = True, self.world.time.now
        until = self.stalled_at + length
        self.world.time.at(until, lambda: self.wake(until))
        self.wakes_at = until

    def wake(self, when: int) -> None:
        if not self.stalled or when != self.wakes_at:
            return
        self.stalled = False
        self.woke()
        while self.inbox and self.alive and not self.stalled:
            self.inbox.popleft()()
            self.after_event()
        self.tick_now()

    def plan_tick(self, when: int) -> None:
        if when != self.due:
            self.due = when
            life = self.life
            self.world.time.at(when, lambda: self.tick_at(when, life))

    def tick_at(self, when: int, life: int) -> None:
        if self.alive and not self.stalled and self.due == when and self.life == life:
            self.tick_now()

    def tick_now(self) -> None:
        if self.alive and not self.stalled:
            self.due = -1
            self.tick()
            self.after_event()

    def woke(self) -> None: ...

    def tick(self) -> None: ...

    def after_event(self) -> None: ...


class Channel:
    """One direction of a connection: in order, delayed, and sometimes a message is lost or doubled."""

    def __init__(self, world: "World", faulty: bool = True) -> None:
        self.world, self.faulty = world, faulty
        self.last = 0
        self.open = True
        self.cut = False
        self.held = deque[tuple[Program, Callable[[], None]]]()

    def send(self, to: Program, act: Callable[[], None]) -> None:
        chance, weather = self.world.chance, self.world.weather
        if not self.open or (self.faulty and chance.random() < weather.loss):
            return
        times = 2 if self.faulty and chance.random() < weather.doubled else 1
        for _ in range(times):
            if self.cut:
                self.held.append((to, act))
            else:
                self.pass_on(to, act)

    def pass_on(self, to: Program, act: Callable[[], None]) -> None:
        chance, weather = self.world.chance, self.world.weather
        delay = chance.randint(*weather.delay)
        if weather.slow and chance.random() < weather.slow_chance:
            delay += chance.randint(0, weather.slow)
        self.last = max(self.last, self.world.time.now + delay)
        self.world.time.at(self.last, lambda: self.arrive(to, act))

    def arrive(self, to: Program, act: Callable[[], None]) -> None:
        if self.cut:
            self.held.append((to, act))
        elif self.open:
            to.deliver(act)

    def heal(self) -> None:
        self.cut = False
        while self.held:
            self.pass_on(*self.held.popleft())


class Roster(Program):
    """Knows the fleet. Nothing that it says to a holder is lost, but the connection may be cut or break."""

    def __init__(self, world: "World") -> None:
        super().__init__(world)
        self.entries = dict[str, wire.Entry]()
        self.booted = dict[str, int]()
        self.number, self.epochs = 0, ["e1"]
        self.incarnations = 0
        self.followers = dict["Holder", Channel]()

    def note(self, entry: wire.Entry) -> None:
        if entry.listing == "gone":
            del self.entries[entry.name]
        else:
            self.entries[entry.name] = entry
        self.number += 1
        change = wire.Change(self.number, [self.dated(entry)], self.epochs[-1])
        for holder, channel in self.followers.items():
            self.say(holder, channel, change)

    def dated(self, entry: wire.Entry) -> wire.Entry:
        up_for = (self.world.time.now - self.booted[entry.name]) / 10
        return msgspec.structs.replace(entry, up_for=up_for)

    def whole(self) -> wire.Whole:
        return wire.Whole(self.number, [self.dated(e) for e in self.entries.values()], self.epochs[-1])

    def say(self, holder: "Holder", channel: Channel, message: wire.Whole | wire.Change) -> None:
        sent = self.world.time.now
        channel.send(holder, lambda: holder.roster_said(channel, message, sent))

    def follow(self, holder: "Holder", channel: Channel) -> None:
        self.followers[holder] = channel
        self.say(holder, channel, self.whole())

    def ask(self, holder: "Holder", channel: Channel) -> None:
        if self.followers.get(holder) is channel:
            self.say(holder, channel, self.whole())

    def start(self, name: str, zone: str, size: float) -> None:
        self.incarnations += 1
        self.booted[name] = self.world.time.now
        port = 9_000 + int(name[1:])
        self.note(wire.Entry(name, port, zone, size=size, start=str(self.incarnations)))

    def begin_anew(self) -> None:
        self.epochs.append(f"e{len(self.epochs) + 1}")
        self.number = 0
        for holder in list(self.followers):
            self.break_off(holder)

    def break_off(self, holder: "Holder") -> None:
        channel = self.followers.pop(holder, None)
        if channel is not None:
            channel.open = False
            life = holder.life
            self.world.time.after(50, lambda: holder.deliver(lambda: holder.roster_broke(channel, life)))


class Holder(Program):
    """A holder process around the decisions."""

    def __init__(self, world: "World", copy: Copy, settings: HolderSettings) -> None:
        super().__init__(world)
        self.copy, self.settings = copy, settings
        self.connections = dict[int, Connection]()
        self.channel: Channel | None = None
        self.woken = 0  # when it last woke
        self.current_as_of = -1  # when the latest list that it has was sent, on one clock for all
        self.boot()

    def boot(self) -> None:
        self.life += 1
        self.alive, self.stalled, self.due = True, False, -1
        seed = self.copy.port * 100 + self.life
        self.decisions = ShardHolder(self.settings, seed, self.world.time.now)
        self.following = Following([], [], lambda text: None)
        self.woken, self.current_as_of = 0, -1
        self.dial_roster()
        self.after_event()

    def dial_roster(self) -> None:
        roster, life = self.world.roster, self.life
        self.channel = channel = Channel(self.world, faulty=False)
        channel.cut = self.copy in self.world.cut_from_roster
        to_roster = Channel(self.world, faulty=False)
        if channel.cut:
            self.world.time.after(REDIAL, lambda: self.deliver(lambda: self.roster_broke(channel, life)))
            return
        self.decisions.roster_asked(self.world.time.now)
        to_roster.send(roster, lambda: roster.follow(self, channel))

    def roster_said(self, channel: Channel, message: wire.Whole | wire.Change, sent: int) -> None:
        if channel is not self.channel:
            return
        now = self.world.time.now
        taken = self.following.told(message, now)
        if taken.do is Do.ASK:
            self.decisions.roster_asked(now)
            self.ask_roster()
        if taken.do is Do.TAKE:
            whole = isinstance(message, wire.Whole)
            if whole:
                self.current_as_of = sent
            revision = Revision(message.epoch, message.number)
            self.decisions.instances_changed(message.workers, whole, revision, now)

    def ask_roster(self) -> None:
        channel = self.channel
        if channel is not None and not channel.cut:
            Channel(self.world, False).send(self.world.roster, lambda: self.world.roster.ask(self, channel))

    def roster_broke(self, channel: Channel, life: int) -> None:
        if channel is not self.channel or life != self.life:
            return
        self.channel = None
        self.decisions.roster_lost(self.world.time.now)
        self.world.time.after(REDIAL, lambda: self.deliver(lambda: self.redial(life)))

    def redial(self, life: int) -> None:
        if life == self.life and self.channel is None:
            self.dial_roster()

    def kill(self) -> None:
        if not self.alive:
            return
        self.alive, self.stalled = False, False
        self.inbox.clear()
        if self.channel is not None:
            self.world.roster.followers.pop(self, None)
            self.channel.open = False
        for connection in list(self.connections.values()):
            connection.break_off()

    def woke(self) -> None:
        slept = self.world.time.now - self.stalled_at
        if slept > self.settings.standstill + NOTICED:
            self.woken = self.world.time.now

    def tick(self) -> None:
        self.decisions.tick(self.world.time.now)

    def after_event(self) -> None:
        if not self.alive:
            return
        for effect in self.decisions.take():
            self.carry_out(effect)
        self.plan_tick(self.decisions.next_due())

    def carry_out(self, effect: directory.HolderEffect) -> None:
        if isinstance(effect, directory.AskRoster):
            self.ask_roster()
            return
        connection = self.connections.get(effect.session)
        if connection is None:
            return
        if isinstance(effect, directory.CloseSession):
            if "lease" in effect.why:
                connection.record.lapsed_at = self.world.time.now
            connection.close_by_holder()
        else:
            self.check_answer(effect.message)
            connection.note(effect.message)
            line = wire.encode(effect.message)
            connection.to_watcher.send(connection.watcher, lambda: connection.watcher_hears(line))

    def check_answer(self, message: wire.Message) -> None:
        """A holder that stood still answers only by a list that was sent after it woke."""
        if isinstance(message, Snapshot | Renewed) and self.current_as_of < self.woken:
            self.world.breaches.add(
                self.world.time.now, f"{self.copy.port} answers from before it stood still"
            )


class Connection:
    """Between a watcher and a holder."""

    def __init__(self, world: "World", watcher: "Watcher", number: int, holder: Holder) -> None:
        self.world, self.watcher, self.number, self.holder = world, watcher, number, holder
        self.life = watcher.life
        self.session = world.next_session()
        self.record = SessionRecord()
        self.to_watcher, self.to_holder = Channel(world), Channel(world)
        self.cut(world.is_cut(watcher, holder))
        self.open = True
        holder.connections[self.session] = self
        watcher.connections[number] = self

    def cut(self, cut: bool) -> None:
        self.to_watcher.cut = self.to_holder.cut = cut

    def greet(self) -> None:
        self.to_holder.send(self.holder, self.greeted)

    def greeted(self) -> None:
        if self.holder.connections.get(self.session) is self:
            self.holder.decisions.connected(self.session, self.world.time.now)
            self.to_watcher.send(self.watcher, self.met)

    def met(self) -> None:
        if self.current():
            self.watcher.decisions.connected(self.number, self.world.time.now)

    def current(self) -> bool:
        """Whether the watcher that has this connection still runs and keeps it."""
        return self.life == self.watcher.life and self.watcher.connections.get(self.number) is self

    def holder_hears(self, line: bytes) -> None:
        if self.holder.connections.get(self.session) is self:
            message: Any = DECODE_FROM_WATCHER(line)
            self.holder.decisions.heard(self.session, message, self.world.time.now)

    def watcher_hears(self, line: bytes) -> None:
        if not self.current():
            return
        message: Any = DECODE_FROM_HOLDER(line)
        self.watcher.decisions.heard(self.number, message, self.world.time.now)
        if isinstance(message, Snapshot | Update):
            self.check(message.sequence)

    def note(self, message: wire.Message) -> None:
        """Write down what each watch's prefix is after this message of the holder's."""
        if isinstance(message, Snapshot | Update):
            functions = self.holder.decisions.sessions.all[self.session].watches
            watched = self.holder.decisions.watched.functions
            told = {
                watch: watched[function].watches[self.session].told for watch, function in functions.items()
            }
            for watch, prefix in told.items():
                self.record.prefixes[message.sequence, watch] = prefix.names

    def check(self, sequence: int) -> None:
        """What the watcher has after a message is what the holder had when it sent it."""
        connection = self.watcher.decisions.connections.get(self.number)
        if connection is None or connection.sequence != sequence:
            return
        for watch, function in connection.watches.items():
            true = self.record.prefixes.get((sequence, watch))
            if true is not None and function.names != true:
                text = f"{self.watcher.name}: {function.name} after batch {sequence} is {function.names}"
                self.world.breaches.add(self.world.time.now, f"{text}, not {true}")

    def close_by_holder(self) -> None:
        self.holder.connections.pop(self.session, None)
        self.to_watcher.send(self.watcher, self.watcher_loses)
        self.to_holder.open = False

    def close_by_watcher(self) -> None:
        self.watcher.connections.pop(self.number, None)
        self.to_holder.faulty = False
        self.to_holder.send(self.holder, self.holder_loses)
        self.to_watcher.open = False

    def watcher_loses(self) -> None:
        if self.current():
            del self.watcher.connections[self.number]
            self.watcher.decisions.disconnected(self.number, self.world.time.now)

    def holder_loses(self) -> None:
        if self.holder.connections.get(self.session) is self:
            del self.holder.connections[self.session]
            self.holder.decisions.disconnected(self.session, self.world.time.now)

    def break_off(self) -> None:
        """The connection breaks; both ends hear of it, if they run, unless it is cut."""
        self.to_watcher.open = self.to_holder.open = False
        if not self.to_watcher.cut:
            self.world.time.after(30, lambda: self.watcher.deliver(self.watcher_loses))
        self.world.time.after(30, lambda: self.holder.deliver(self.holder_loses))


class Watcher(Program):
    """A dispatcher's watcher around the decisions."""

    def __init__(self, world: "World", name: str, zone: str, settings: WatcherSettings) -> None:
        super().__init__(world)
        self.name, self.zone, self.settings = name, zone, settings
        self.connections = dict[int, Connection]()
        self.views = list[EdgeView]()
        self.boot()

    def boot(self) -> None:
        self.life += 1
        self.alive, self.stalled, self.due = True, False, -1
        self.connections = {}
        self.view = EdgeView(self.name, self.world.breaches)
        self.views.append(self.view)
        self.floors = dict[int, Revision]()
        seed = self.life * 1_000 + int(self.name[1:])
        now, assignment = self.world.time.now, self.world.assignment
        self.decisions = DirectoryWatcher(self.name, self.zone, assignment, self.settings, seed, now)
        self.plan_tick(self.decisions.next_due())

    def restart(self) -> None:
        for connection in list(self.connections.values()):
            connection.break_off()
        self.inbox.clear()
        self.boot()

    def call(self, function: str) -> None:
        now = self.world.time.now
        prefix = self.decisions.wanted(function, "", now)
        if prefix is None:
            self.view.waiting.setdefault(function, now)
        elif prefix.names:
            position = min(int(self.world.chance.expovariate(0.4)), len(prefix.names) - 1)
            self.decisions.used(function, position, now)

    def tick(self) -> None:
        self.decisions.tick(self.world.time.now)

    def woke(self) -> None:
        self.view.waiting = dict.fromkeys(self.view.waiting, self.world.time.now)

    def after_event(self) -> None:
        now = self.world.time.now
        for effect in self.decisions.take():
            self.carry_out(effect)
        self.view.check_waiting(self.settings.lookup_time_out, now)
        check_floors(self.decisions, self.floors, self.world.roster.epochs, now, self.world.breaches)
        for connection in self.decisions.connections.values():
            self.check_connection(connection.number)
        self.plan_tick(max(now + 1, self.decisions.next_due()))

    def check_connection(self, number: int) -> None:
        known, made = self.decisions.connections[number], self.connections.get(number)
        now = self.world.time.now
        if made is None:
            return
        if known.lease_until < directory.SECOND * 10**9 and known.lease_until > made.record.lapsed_at:
            self.world.breaches.add(now, f"{self.name} believes in a lease that lapsed at its holder")
            made.record.lapsed_at = 2**62
        if known.proven and made.holder.settings.epoch < self.decisions.assignment.epoch:
            self.world.breaches.add(now, f"{self.name} takes word of an older epoch")

    def carry_out(self, effect: directory.WatcherEffect) -> None:
        if isinstance(effect, directory.Dial):
            self.world.dial(self, effect)
        elif isinstance(effect, directory.HangUp):
            if effect.connection in self.connections:
                self.connections[effect.connection].close_by_watcher()
        elif isinstance(effect, directory.Send):
            connection = self.connections.get(effect.connection)
            if connection is not None:
                line = wire.encode(effect.message)
                connection.to_holder.send(connection.holder, lambda: connection.holder_hears(line))
        else:
            self.view.take(effect, self.world.time.now)


@dataclass(frozen=True)
class Plan:
    """The size of a world."""

    watchers: int = 5
    copies: int = 2
    shards: int = 2
    instances: int = 24
    functions: int = 12
    settings: WatcherSettings = field(default_factory=lambda: WatcherSettings(first_count=4, idle=8 * SECOND))
    holder: HolderSettings = field(default_factory=HolderSettings)
    old_holder: bool = False  # one more copy of each shard, of an older epoch


class World:
    """A region in virtual time."""

    def __init__(self, seed: int, plan: Plan | None = None, weather: Weather | None = None) -> None:
        self.plan, self.weather = plan or Plan(), weather or Weather()
        self.chance, self.time, self.breaches = random.Random(seed), Time(), Breaches()
        self.sessions = 0
        self.cut_from_roster = set[Copy]()
        self.cut_pairs = set[tuple[str, Copy]]()
        self.roster = Roster(self)
        self.counts = dict[str, int]()  # of faults
        self.make_fleet()
        self.make_holders()
        self.make_watchers()

    def make_fleet(self) -> None:
        for i in range(self.plan.instances):
            size = self.chance.choice((0.5, 1.0, 1.0, 2.0))
            self.roster.start(f"w{i}", ZONES[i % len(ZONES)], size)

    def make_holders(self) -> None:
        plan = self.plan
        copies = [Copy("127.0.0.1", 7_000 + i, ZONES[i % len(ZONES)]) for i in range(plan.copies)]
        old = [Copy("127.0.0.1", 6_999, ZONES[0])] if plan.old_holder else []
        self.assignment = Assignment(2, tuple((*copies, *old) for _ in range(plan.shards)))
        shards = frozenset(range(plan.shards))
        settings = replace(plan.holder, epoch=2, oldest_epoch=2, shards=shards, shard_count=plan.shards)
        self.holders = {copy: Holder(self, copy, settings) for copy in copies}
        for copy in old:
            self.holders[copy] = Holder(self, copy, replace(settings, epoch=1, oldest_epoch=1))

    def make_watchers(self) -> None:
        self.watchers = [
            Watcher(self, f"d{i}", ZONES[i % len(ZONES)], self.plan.settings)
            for i in range(self.plan.watchers)
        ]
        self.used = {
            watcher.name: self.chance.sample(range(self.plan.functions), self.plan.functions // 2)
            for watcher in self.watchers
        }

    def next_session(self) -> int:
        self.sessions += 1
        return self.sessions

    def is_cut(self, watcher: Watcher, holder: Holder) -> bool:
        return (watcher.name, holder.copy) in self.cut_pairs

    def dial(self, watcher: Watcher, dial: directory.Dial) -> None:
        holder, life = self.holders[dial.copy], watcher.life
        if not holder.alive:
            self.time.after(20, lambda: watcher.deliver(lambda: self.refuse(watcher, life, dial.connection)))
        elif not self.is_cut(watcher, holder):
            Connection(self, watcher, dial.connection, holder).greet()

    def refuse(self, watcher: Watcher, life: int, connection: int) -> None:
        if watcher.life == life:
            watcher.decisions.refused(connection, self.time.now)

    # what happens

    def every(self, rate: float, act: Callable[[], None], until: int) -> None:
        """Let something happen so often a second, by chance."""
        if rate <= 0:
            return
        when = self.time.now + 1 + int(self.chance.expovariate(rate) * SECOND)
        if when < until:
            self.time.at(when, lambda: self.happen(rate, act, until))

    def happen(self, rate: float, act: Callable[[], None], until: int) -> None:
        act()
        self.every(rate, act, until)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def call(self) -> None:
        watcher = self.chance.choice(self.watchers)
        function = f"f{self.chance.choice(self.used[watcher.name])}"
        if watcher.alive and not watcher.stalled:
            watcher.call(function)
            watcher.after_event()

    def change(self) -> None:
        """One instance drains, serves again, is replaced, goes, comes or takes another size."""
        name = f"w{self.chance.randrange(self.plan.instances)}"
        entry = self.roster.entries.get(name)
        zone = ZONES[int(name[1:]) % len(ZONES)]
        if entry is None:
            return self.roster.start(name, zone, self.chance.choice((0.5, 1.0, 2.0)))
        what = self.chance.choice(("drain", "serve", "replace", "go", "size"))
        if what == "replace":
            self.roster.start(name, zone, entry.size)
        elif what == "go":
            self.roster.note(msgspec.structs.replace(entry, listing="gone"))
        elif what == "size":
            self.roster.note(msgspec.structs.replace(entry, size=self.chance.choice((0.5, 1.0, 2.0, 3.0))))
        else:
            listing = "draining" if what == "drain" else "serving"
            self.roster.note(msgspec.structs.replace(entry, listing=listing))

    def restart_zone(self) -> None:
        self.count("zone restarts")
        zone = self.chance.choice(ZONES)
        for entry in [entry for entry in self.roster.entries.values() if entry.zone == zone]:
            self.roster.note(msgspec.structs.replace(entry, listing="gone"))
            when = self.chance.randint(SECOND // 10, 2 * SECOND)
            self.time.after(when, lambda entry=entry: self.back(entry))  # type: ignore[misc]

    def back(self, entry: wire.Entry) -> None:
        if entry.name not in self.roster.entries:
            self.roster.start(entry.name, entry.zone, entry.size)

    def restart_roster(self) -> None:
        self.count("roster restarts")
        self.roster.begin_anew()

    def break_roster(self) -> None:
        """The connection between a holder and its roster is cut for a while, then breaks."""
        self.count("roster cuts")
        holder = self.chance.choice(list(self.holders.values()))
        self.cut_from_roster.add(holder.copy)
        channel, life = holder.channel, holder.life
        if channel is not None:
            channel.cut = True

        def heal() -> None:
            self.cut_from_roster.discard(holder.copy)
            if channel is not None and self.roster.followers.get(holder) is channel:
                del self.roster.followers[holder]
            if channel is not None and channel is holder.channel:
                channel.open = False
                holder.deliver(lambda: holder.roster_broke(channel, life))

        self.time.after(self.chance.randint(SECOND // 5, 10 * SECOND), heal)

    def kill(self) -> None:
        self.count("kills")
        if self.chance.random() < 0.3:
            return self.chance.choice(self.watchers).restart()
        holder = self.chance.choice(list(self.holders.values()))
        if holder.alive:
            holder.kill()
            self.time.after(self.chance.randint(SECOND // 5, 3 * SECOND), lambda: self.start_again(holder))

    def start_again(self, holder: Holder) -> None:
        if not holder.alive:
            holder.boot()

    def stall(self) -> None:
        self.count("standstills")
        holder = self.chance.choice(list(self.holders.values()))
        length = self.chance.randint(SECOND // 20, 6 * SECOND)
        if holder.alive and not holder.stalled:
            holder.stall(length)

    def stall_watcher(self) -> None:
        self.count("standstills of watchers")
        self.chance.choice(self.watchers).stall(self.chance.randint(SECOND // 20, 6 * SECOND))

    def cut(self) -> None:
        """A watcher and a holder don't reach each other for a while; the connection may survive that."""
        self.count("cuts")
        watcher = self.chance.choice(self.watchers)
        holder = self.chance.choice(list(self.holders.values()))
        self.cut_pairs.add((watcher.name, holder.copy))
        between = [c for c in watcher.connections.values() if c.holder is holder]
        for connection in between:
            connection.cut(True)
        survives = self.chance.random() < 0.5
        self.time.after(
            self.chance.randint(SECOND // 10, 5 * SECOND), lambda: self.heal(watcher, holder, survives)
        )

    def heal(self, watcher: Watcher, holder: Holder, survives: bool) -> None:
        self.cut_pairs.discard((watcher.name, holder.copy))
        both = [*watcher.connections.values(), *holder.connections.values()]
        for connection in [c for c in both if c.watcher is watcher and c.holder is holder]:
            connection.to_watcher.heal()
            connection.to_holder.heal()
            if not survives:
                connection.break_off()

    def break_connection(self) -> None:
        self.count("breaks")
        made = list(self.chance.choice(self.watchers).connections.values())
        if made:
            self.chance.choice(made).break_off()

    def day(self, seconds: float) -> None:
        """Rough weather for so long."""
        until = self.time.now + int(seconds * SECOND)
        weather = self.weather
        self.every(weather.calls * len(self.watchers), self.call, until)
        self.every(weather.changes, self.change, until)
        self.every(weather.zone_restarts, self.restart_zone, until)
        self.every(weather.roster_restarts, self.restart_roster, until)
        self.every(weather.roster_breaks, self.break_roster, until)
        self.every(weather.kills, self.kill, until)
        self.every(weather.stalls, self.stall, until)
        self.every(weather.watcher_stalls, self.stall_watcher, until)
        self.every(weather.cuts, self.cut, until)
        self.every(weather.breaks, self.break_connection, until)
        self.time.run(until)

    def calm(self, seconds: float, quiet: float = 3) -> None:
        """Calm weather for so long, then no change of the fleet, and no call either; watchers know the truth."""
        self.weather = replace(CALM, calls=self.weather.calls)
        self.day(seconds)
        self.weather = replace(self.weather, changes=0)
        self.day(quiet)
        self.weather = replace(self.weather, calls=0)
        self.day(1)
        truth = Instances()
        truth.apply(self.roster.entries.values(), True, self.time.now)
        for watcher in self.watchers:
            check_end(watcher.decisions, watcher.view, truth, self.time.now, self.breaches)
