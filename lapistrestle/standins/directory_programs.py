"""Simulated processes of a region: roster, holders and watchers, which run the production state machines.

All messages between watchers and holders are encoded and decoded as on the wire.
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
from lapistrestle.standins.directory_checks import SessionRecord, WatcherView, check_revisions
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
RECONNECT_DELAY = 2_000  # ticks of 0.1 ms between a holder's attempts to reach its roster
STALL_DETECTION_MARGIN = 100  # ticks of 0.1 ms over the stall threshold of a holder: it must have detected it


class Roster(SimulatedProcess):
    """The list of all instances. Its channels to holders lose no messages, but may be cut or closed."""

    def __init__(self, world: "DirectorySimulation") -> None:
        super().__init__(world)
        self.world: DirectorySimulation = world
        self.entries = dict[str, wire.RosterEntry]()
        self.started_at = dict[str, int]()
        self.number, self.epochs = 0, ["e1"]
        self.incarnations = 0
        self.subscribers = dict["Holder", Channel]()

    def note(self, entry: wire.RosterEntry) -> None:
        if entry.listing == "gone":
            del self.entries[entry.name]
        else:
            self.entries[entry.name] = entry
        self.number += 1
        change = wire.RosterUpdate(self.number, [self.with_uptime(entry)], self.epochs[-1])
        for holder, channel in self.subscribers.items():
            self.send(holder, channel, change)

    def with_uptime(self, entry: wire.RosterEntry) -> wire.RosterEntry:
        up_for = (self.world.time.now - self.started_at[entry.name]) / 10
        return msgspec.structs.replace(entry, up_for=up_for)

    def snapshot(self) -> wire.RosterSnapshot:
        return wire.RosterSnapshot(
            self.number, [self.with_uptime(e) for e in self.entries.values()], self.epochs[-1]
        )

    def send(
        self, holder: "Holder", channel: Channel, message: wire.RosterSnapshot | wire.RosterUpdate
    ) -> None:
        sent = self.world.time.now
        channel.send(holder, lambda: holder.roster_message_received(channel, message, sent))

    def subscribe(self, holder: "Holder", channel: Channel) -> None:
        self.subscribers[holder] = channel
        self.send(holder, channel, self.snapshot())

    def request_snapshot(self, holder: "Holder", channel: Channel) -> None:
        if self.subscribers.get(holder) is channel:
            self.send(holder, channel, self.snapshot())

    def start(self, name: str, zone: str, size: float) -> None:
        self.incarnations += 1
        self.started_at[name] = self.world.time.now
        port = 9_000 + int(name[1:])
        self.note(wire.RosterEntry(name, port, zone, size=size, start=str(self.incarnations)))

    def restart(self) -> None:
        self.epochs.append(f"e{len(self.epochs) + 1}")
        self.number = 0
        for holder in list(self.subscribers):
            self.break_off(holder)

    def break_off(self, holder: "Holder") -> None:
        channel = self.subscribers.pop(holder, None)
        if channel is not None:
            channel.open = False
            incarnation = holder.incarnation
            self.world.time.after(
                50, lambda: holder.deliver(lambda: holder.roster_connection_lost(channel, incarnation))
            )


class Holder(SimulatedProcess):
    """A holder process that runs the `ShardHolder` state machine."""

    def __init__(self, world: "DirectorySimulation", copy: ShardReplica, settings: HolderSettings) -> None:
        super().__init__(world)
        self.world: DirectorySimulation = world
        self.copy, self.settings = copy, settings
        self.connections = dict[int, Connection]()
        self.channel: Channel | None = None
        self.resumed_at = 0  # end of the last stall
        self.list_sent_at = -1  # when the roster sent the current list
        self.boot()

    def boot(self) -> None:
        self.incarnation += 1
        self.alive, self.stalled, self.next_tick_at = True, False, -1
        seed = self.copy.port * 100 + self.incarnation
        self.decisions = ShardHolder(self.settings, seed, self.world.time.now)
        self.known_workers = EndpointListFollower([], [], lambda text: None)
        self.resumed_at, self.list_sent_at = 0, -1
        self.dial_roster()
        self.after_event()

    def dial_roster(self) -> None:
        roster, incarnation = self.world.roster, self.incarnation
        self.channel = channel = Channel(self.world, faulty=False)
        channel.cut = self.copy in self.world.cut_from_roster
        to_roster = Channel(self.world, faulty=False)
        if channel.cut:
            self.world.time.after(
                RECONNECT_DELAY,
                lambda: self.deliver(lambda: self.roster_connection_lost(channel, incarnation)),
            )
            return
        self.decisions.snapshot_requested(self.world.time.now)
        to_roster.send(roster, lambda: roster.subscribe(self, channel))

    def roster_message_received(
        self, channel: Channel, message: wire.RosterSnapshot | wire.RosterUpdate, sent: int
    ) -> None:
        if channel is not self.channel:
            return
        now = self.world.time.now
        taken = self.known_workers.message_received(message, now)
        if taken.action is ListAction.REQUEST_SNAPSHOT:
            self.decisions.snapshot_requested(now)
            self.request_roster_snapshot()
        if taken.action is ListAction.APPLY:
            is_snapshot = isinstance(message, wire.RosterSnapshot)
            if is_snapshot:
                self.list_sent_at = sent
            revision = Revision(message.epoch, message.number)
            self.decisions.instances_changed(message.workers, is_snapshot, revision, now)

    def request_roster_snapshot(self) -> None:
        channel = self.channel
        if channel is not None and not channel.cut:
            Channel(self.world, False).send(
                self.world.roster, lambda: self.world.roster.request_snapshot(self, channel)
            )

    def roster_connection_lost(self, channel: Channel, incarnation: int) -> None:
        if channel is not self.channel or incarnation != self.incarnation:
            return
        self.channel = None
        self.decisions.roster_lost(self.world.time.now)
        self.world.time.after(RECONNECT_DELAY, lambda: self.deliver(lambda: self.redial(incarnation)))

    def redial(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.channel is None:
            self.dial_roster()

    def kill(self) -> None:
        if not self.alive:
            return
        self.alive, self.stalled = False, False
        self.inbox.clear()
        if self.channel is not None:
            self.world.roster.subscribers.pop(self, None)
            self.channel.open = False
        for connection in list(self.connections.values()):
            connection.break_off()

    def on_resume(self) -> None:
        stalled_for = self.world.time.now - self.stalled_at
        if stalled_for > self.settings.stall_threshold + STALL_DETECTION_MARGIN:
            self.resumed_at = self.world.time.now

    def tick(self) -> None:
        self.decisions.tick(self.world.time.now)

    def after_event(self) -> None:
        if not self.alive:
            return
        for effect in self.decisions.take_effects():
            self.perform(effect)
        self.schedule_tick(self.decisions.next_due())

    def perform(self, effect: directory.HolderEffect) -> None:
        if isinstance(effect, directory.RequestRosterSnapshot):
            self.request_roster_snapshot()
            return
        connection = self.connections.get(effect.session)
        if connection is None:
            return
        if isinstance(effect, directory.CloseSession):
            if "lease" in effect.reason:
                connection.record.expired_at = self.world.time.now
            connection.close_by_holder()
        else:
            self.check_answer_is_fresh(effect.message)
            connection.note(effect.message)
            line = wire.encode(effect.message)
            connection.to_watcher.send(connection.watcher, lambda: connection.deliver_to_watcher(line))

    def check_answer_is_fresh(self, message: wire.Message) -> None:
        """Checks that after a stall a holder answers only from a list sent after the stall."""
        if isinstance(message, Snapshot | Unchanged | Renewed) and self.list_sent_at < self.resumed_at:
            self.world.breaches.add(
                self.world.time.now, f"{self.copy.port} answers from before it stood still"
            )


class Connection:
    """A connection between a watcher and a holder."""

    def __init__(self, world: "DirectorySimulation", watcher: "Watcher", number: int, holder: Holder) -> None:
        self.world, self.watcher, self.number, self.holder = world, watcher, number, holder
        self.incarnation = watcher.incarnation
        self.session = world.next_session()
        self.record = SessionRecord()
        self.to_watcher, self.to_holder = Channel(world), Channel(world)
        self.cut(world.is_cut(watcher, holder))
        self.open = True
        holder.connections[self.session] = self
        watcher.connections[number] = self

    def cut(self, cut: bool) -> None:
        self.to_watcher.cut = self.to_holder.cut = cut

    def send_greeting(self) -> None:
        self.to_holder.send(self.holder, self.greeting_received_by_holder)

    def greeting_received_by_holder(self) -> None:
        if self.holder.connections.get(self.session) is self:
            self.holder.decisions.session_opened(self.session, self.world.time.now)
            self.to_watcher.send(self.watcher, self.greeting_received_by_watcher)

    def greeting_received_by_watcher(self) -> None:
        if self.is_current():
            self.watcher.decisions.connection_ready(self.number, self.world.time.now)

    def is_current(self) -> bool:
        """Whether the watcher process that opened this connection still runs and has it open."""
        return (
            self.incarnation == self.watcher.incarnation and self.watcher.connections.get(self.number) is self
        )

    def deliver_to_holder(self, line: bytes) -> None:
        if self.holder.connections.get(self.session) is self:
            message: Any = DECODE_FROM_WATCHER(line)
            self.holder.decisions.message_received(self.session, message, self.world.time.now)

    def deliver_to_watcher(self, line: bytes) -> None:
        if not self.is_current():
            return
        message: Any = DECODE_FROM_HOLDER(line)
        self.watcher.decisions.message_received(self.number, message, self.world.time.now)
        if isinstance(message, Snapshot | Unchanged | Update):
            self.check_watcher_prefixes(message.sequence)

    def note(self, message: wire.Message) -> None:
        """Records the prefix of each watch after this message of the holder."""
        if isinstance(message, Snapshot | Unchanged | Update):
            functions = self.holder.decisions.sessions.all[self.session].watches
            watched = self.holder.decisions.watched.functions
            sent_prefixes = {
                watch: watched[function].watches[self.session].sent_prefix
                for watch, function in functions.items()
            }
            for watch, prefix in sent_prefixes.items():
                self.record.prefixes[message.sequence, watch] = prefix.names

    def check_watcher_prefixes(self, sequence: int) -> None:
        """Checks that the watcher's prefixes after a message equal the holder's when it sent the message."""
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
        self.to_watcher.send(self.watcher, self.watcher_disconnected)
        self.to_holder.open = False

    def close_by_watcher(self) -> None:
        self.watcher.connections.pop(self.number, None)
        self.to_holder.faulty = False
        self.to_holder.send(self.holder, self.holder_disconnected)
        self.to_watcher.open = False

    def watcher_disconnected(self) -> None:
        if self.is_current():
            del self.watcher.connections[self.number]
            self.watcher.decisions.connection_lost(self.number, self.world.time.now)

    def holder_disconnected(self) -> None:
        if self.holder.connections.get(self.session) is self:
            del self.holder.connections[self.session]
            self.holder.decisions.session_closed(self.session, self.world.time.now)

    def break_off(self) -> None:
        """Closes the connection. Both ends are notified if they run; the watcher not while it is cut off."""
        self.to_watcher.open = self.to_holder.open = False
        if not self.to_watcher.cut:
            self.world.time.after(30, lambda: self.watcher.deliver(self.watcher_disconnected))
        self.world.time.after(30, lambda: self.holder.deliver(self.holder_disconnected))


class Watcher(SimulatedProcess):
    """A dispatcher's watcher, which runs the `DirectoryWatcher` state machine."""

    def __init__(self, world: "DirectorySimulation", name: str, zone: str, settings: WatcherSettings) -> None:
        super().__init__(world)
        self.world: DirectorySimulation = world
        self.name, self.zone, self.settings = name, zone, settings
        self.connections = dict[int, Connection]()
        self.views = list[WatcherView]()
        self.boot()

    def boot(self) -> None:
        self.incarnation += 1
        self.alive, self.stalled, self.next_tick_at = True, False, -1
        self.connections = {}
        self.view = WatcherView(self.name, self.world.breaches)
        self.views.append(self.view)
        self.floors = dict[int, Revision]()
        seed = self.incarnation * 1_000 + int(self.name[1:])
        now, assignment = self.world.time.now, self.world.assignment
        self.decisions = DirectoryWatcher(self.name, self.zone, assignment, self.settings, seed, now)
        self.schedule_tick(self.decisions.next_due())

    def restart(self) -> None:
        for connection in list(self.connections.values()):
            connection.break_off()
        self.inbox.clear()
        self.boot()

    def call(self, function: str) -> None:
        now = self.world.time.now
        prefix = self.decisions.prefix_for(function, "", now)
        if prefix is None:
            self.view.pending_lookups.setdefault(function, now)
        elif prefix.names:
            position = min(int(self.world.chance.expovariate(0.4)), len(prefix.names) - 1)
            self.decisions.function_used(function, position, now)

    def tick(self) -> None:
        self.decisions.tick(self.world.time.now)

    def on_resume(self) -> None:
        self.view.pending_lookups = dict.fromkeys(self.view.pending_lookups, self.world.time.now)

    def after_event(self) -> None:
        now = self.world.time.now
        for effect in self.decisions.take_effects():
            self.perform(effect)
        self.view.check_lookup_timeouts(self.settings.lookup_timeout, now)
        check_revisions(self.decisions, self.floors, self.world.roster.epochs, now, self.world.breaches)
        for connection in self.decisions.connections.values():
            self.check_connection(connection.number)
        self.schedule_tick(max(now + 1, self.decisions.next_due()))

    def check_connection(self, number: int) -> None:
        state, connection = self.decisions.connections[number], self.connections.get(number)
        now = self.world.time.now
        if connection is None:
            return
        if state.lease_until != NEVER and state.lease_until > connection.record.expired_at:
            self.world.breaches.add(now, f"{self.name} relies on a lease that lapsed at its holder")
            connection.record.expired_at = NEVER
        if state.has_answered and connection.holder.settings.epoch < self.decisions.assignment.epoch:
            self.world.breaches.add(now, f"{self.name} accepts messages of an older epoch")

    def perform(self, effect: directory.WatcherEffect) -> None:
        if isinstance(effect, directory.Dial):
            self.world.dial(self, effect)
        elif isinstance(effect, directory.CloseConnection):
            if effect.connection in self.connections:
                self.connections[effect.connection].close_by_watcher()
        elif isinstance(effect, directory.Send):
            connection = self.connections.get(effect.connection)
            if connection is not None:
                line = wire.encode(effect.message)
                connection.to_holder.send(connection.holder, lambda: connection.deliver_to_holder(line))
        else:
            self.view.take(effect, self.world.time.now)
