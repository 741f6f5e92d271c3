"""The programs of a region in virtual time: its roster, holders and watchers around their real decisions.

All messages between watchers and holders cross as encoded lines.
"""

from typing import TYPE_CHECKING, Any

import msgspec

from lapistrestle.directory import effects as directory
from lapistrestle.directory.assignment import ShardReplica
from lapistrestle.directory.effects import HolderSettings, WatcherSettings
from lapistrestle.directory.shard_holder import ShardHolder
from lapistrestle.directory.watcher import DirectoryWatcher
from lapistrestle.edge.known_workers import EndpointListFollower
from lapistrestle.sources.numbered_list import ListAction
from lapistrestle.standins.directory_checks import SessionRecord, WatcherView, check_floors
from lapistrestle.standins.directory_network import Channel, SimulatedProcess
from lapistrestle.ticks import NEVER
from lapistrestle.wire import messages as wire
from lapistrestle.wire.directory import (
    FromHolder,
    FromWatcher,
    Renewed,
    Revision,
    Snapshot,
    Unchanged,
    Update,
)

if TYPE_CHECKING:
    from lapistrestle.standins.directory_world import DirectorySimulation

DECODE_FROM_HOLDER = msgspec.json.Decoder(FromHolder).decode
DECODE_FROM_WATCHER = msgspec.json.Decoder(FromWatcher).decode
REDIAL = 2_000  # tenths of a millisecond between a holder's dials of its roster
NOTICED = 100  # tenths of a millisecond over a holder's bound on standstills: it must have noticed


class Roster(SimulatedProcess):
    """Knows the fleet. Nothing that it says to a holder is lost, but the connection may be cut or break."""

    def __init__(self, world: "DirectorySimulation") -> None:
        super().__init__(world)
        self.world: DirectorySimulation = world
        self.entries = dict[str, wire.RosterEntry]()
        self.booted = dict[str, int]()
        self.number, self.epochs = 0, ["e1"]
        self.incarnations = 0
        self.followers = dict["Holder", Channel]()

    def note(self, entry: wire.RosterEntry) -> None:
        if entry.listing == "gone":
            del self.entries[entry.name]
        else:
            self.entries[entry.name] = entry
        self.number += 1
        change = wire.RosterUpdate(self.number, [self.dated(entry)], self.epochs[-1])
        for holder, channel in self.followers.items():
            self.say(holder, channel, change)

    def dated(self, entry: wire.RosterEntry) -> wire.RosterEntry:
        up_for = (self.world.time.now - self.booted[entry.name]) / 10
        return msgspec.structs.replace(entry, up_for=up_for)

    def whole(self) -> wire.RosterSnapshot:
        return wire.RosterSnapshot(
            self.number, [self.dated(e) for e in self.entries.values()], self.epochs[-1]
        )

    def say(
        self, holder: "Holder", channel: Channel, message: wire.RosterSnapshot | wire.RosterUpdate
    ) -> None:
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
        self.note(wire.RosterEntry(name, port, zone, size=size, start=str(self.incarnations)))

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


class Holder(SimulatedProcess):
    """A holder process around the decisions."""

    def __init__(self, world: "DirectorySimulation", copy: ShardReplica, settings: HolderSettings) -> None:
        super().__init__(world)
        self.world: DirectorySimulation = world
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
        self.known_workers = EndpointListFollower([], [], lambda text: None)
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
        self.decisions.snapshot_requested(self.world.time.now)
        to_roster.send(roster, lambda: roster.follow(self, channel))

    def roster_said(
        self, channel: Channel, message: wire.RosterSnapshot | wire.RosterUpdate, sent: int
    ) -> None:
        if channel is not self.channel:
            return
        now = self.world.time.now
        taken = self.known_workers.message_received(message, now)
        if taken.action is ListAction.REQUEST_SNAPSHOT:
            self.decisions.snapshot_requested(now)
            self.ask_roster()
        if taken.action is ListAction.APPLY:
            whole = isinstance(message, wire.RosterSnapshot)
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
        if slept > self.settings.stall_threshold + NOTICED:
            self.woken = self.world.time.now

    def tick(self) -> None:
        self.decisions.tick(self.world.time.now)

    def after_event(self) -> None:
        if not self.alive:
            return
        for effect in self.decisions.take_effects():
            self.carry_out(effect)
        self.plan_tick(self.decisions.next_due())

    def carry_out(self, effect: directory.HolderEffect) -> None:
        if isinstance(effect, directory.RequestRosterSnapshot):
            self.ask_roster()
            return
        connection = self.connections.get(effect.session)
        if connection is None:
            return
        if isinstance(effect, directory.CloseSession):
            if "lease" in effect.reason:
                connection.record.lapsed_at = self.world.time.now
            connection.close_by_holder()
        else:
            self.check_answer(effect.message)
            connection.note(effect.message)
            line = wire.encode(effect.message)
            connection.to_watcher.send(connection.watcher, lambda: connection.watcher_hears(line))

    def check_answer(self, message: wire.Message) -> None:
        """A holder that stood still answers only by a list that was sent after it woke."""
        if isinstance(message, Snapshot | Unchanged | Renewed) and self.current_as_of < self.woken:
            self.world.breaches.add(
                self.world.time.now, f"{self.copy.port} answers from before it stood still"
            )


class Connection:
    """Between a watcher and a holder."""

    def __init__(self, world: "DirectorySimulation", watcher: "Watcher", number: int, holder: Holder) -> None:
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
            self.holder.decisions.session_opened(self.session, self.world.time.now)
            self.to_watcher.send(self.watcher, self.met)

    def met(self) -> None:
        if self.current():
            self.watcher.decisions.connection_ready(self.number, self.world.time.now)

    def current(self) -> bool:
        """Whether the watcher that has this connection still runs and keeps it."""
        return self.life == self.watcher.life and self.watcher.connections.get(self.number) is self

    def holder_hears(self, line: bytes) -> None:
        if self.holder.connections.get(self.session) is self:
            message: Any = DECODE_FROM_WATCHER(line)
            self.holder.decisions.message_received(self.session, message, self.world.time.now)

    def watcher_hears(self, line: bytes) -> None:
        if not self.current():
            return
        message: Any = DECODE_FROM_HOLDER(line)
        self.watcher.decisions.message_received(self.number, message, self.world.time.now)
        if isinstance(message, Snapshot | Unchanged | Update):
            self.check(message.sequence)

    def note(self, message: wire.Message) -> None:
        """Write down what each watch's prefix is after this message of the holder's."""
        if isinstance(message, Snapshot | Unchanged | Update):
            functions = self.holder.decisions.sessions.all[self.session].watches
            watched = self.holder.decisions.watched.functions
            told = {
                watch: watched[function].watches[self.session].sent_prefix
                for watch, function in functions.items()
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
            self.watcher.decisions.connection_lost(self.number, self.world.time.now)

    def holder_loses(self) -> None:
        if self.holder.connections.get(self.session) is self:
            del self.holder.connections[self.session]
            self.holder.decisions.session_closed(self.session, self.world.time.now)

    def break_off(self) -> None:
        """The connection breaks; both ends hear of it, if they run, unless it is cut."""
        self.to_watcher.open = self.to_holder.open = False
        if not self.to_watcher.cut:
            self.world.time.after(30, lambda: self.watcher.deliver(self.watcher_loses))
        self.world.time.after(30, lambda: self.holder.deliver(self.holder_loses))


class Watcher(SimulatedProcess):
    """A dispatcher's watcher around the decisions."""

    def __init__(self, world: "DirectorySimulation", name: str, zone: str, settings: WatcherSettings) -> None:
        super().__init__(world)
        self.world: DirectorySimulation = world
        self.name, self.zone, self.settings = name, zone, settings
        self.connections = dict[int, Connection]()
        self.views = list[WatcherView]()
        self.boot()

    def boot(self) -> None:
        self.life += 1
        self.alive, self.stalled, self.due = True, False, -1
        self.connections = {}
        self.view = WatcherView(self.name, self.world.breaches)
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
        prefix = self.decisions.prefix_for(function, "", now)
        if prefix is None:
            self.view.waiting.setdefault(function, now)
        elif prefix.names:
            position = min(int(self.world.chance.expovariate(0.4)), len(prefix.names) - 1)
            self.decisions.function_used(function, position, now)

    def tick(self) -> None:
        self.decisions.tick(self.world.time.now)

    def woke(self) -> None:
        self.view.waiting = dict.fromkeys(self.view.waiting, self.world.time.now)

    def after_event(self) -> None:
        now = self.world.time.now
        for effect in self.decisions.take_effects():
            self.carry_out(effect)
        self.view.check_waiting(self.settings.lookup_timeout, now)
        check_floors(self.decisions, self.floors, self.world.roster.epochs, now, self.world.breaches)
        for connection in self.decisions.connections.values():
            self.check_connection(connection.number)
        self.plan_tick(max(now + 1, self.decisions.next_due()))

    def check_connection(self, number: int) -> None:
        known, made = self.decisions.connections[number], self.connections.get(number)
        now = self.world.time.now
        if made is None:
            return
        if known.lease_until != NEVER and known.lease_until > made.record.lapsed_at:
            self.world.breaches.add(now, f"{self.name} believes in a lease that lapsed at its holder")
            made.record.lapsed_at = NEVER
        if known.has_answered and made.holder.settings.epoch < self.decisions.assignment.epoch:
            self.world.breaches.add(now, f"{self.name} takes word of an older epoch")

    def carry_out(self, effect: directory.WatcherEffect) -> None:
        if isinstance(effect, directory.Dial):
            self.world.dial(self, effect)
        elif isinstance(effect, directory.CloseConnection):
            if effect.connection in self.connections:
                self.connections[effect.connection].close_by_watcher()
        elif isinstance(effect, directory.Send):
            connection = self.connections.get(effect.connection)
            if connection is not None:
                line = wire.encode(effect.message)
                connection.to_holder.send(connection.holder, lambda: connection.holder_hears(line))
        else:
            self.view.take(effect, self.world.time.now)
