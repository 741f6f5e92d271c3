"""Directory holders and watchers in virtual time, with the production state machines and encoded messages.

A holder is a single server with one queue: handling a message occupies it in virtual time for as long as the
handling took by `time.process_time`, and its replies are sent afterwards. So look-ups queue as on a single
core, and the network adds `one_way` in each direction.
"""

import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from lapistrestle.directory.assignment import Assignment, ShardReplica
from lapistrestle.directory.effects import (
    CloseConnection,
    CloseSession,
    Dial,
    HolderSettings,
    LookupFailed,
    PrefixReady,
    RequestRosterSnapshot,
    Send,
    SendTo,
    WatcherSettings,
)
from lapistrestle.directory.shard_holder import ShardHolder
from lapistrestle.directory.watcher import DirectoryWatcher
from lapistrestle.standins.virtual import DelayedCall, VirtualReactor
from lapistrestle.wire import directory as wire
from lapistrestle.wire.json_lines import message_decoder
from lapistrestle.wire.messages import RosterEntry, encode

TICK_MICROSECONDS = 100  # per tick of 0.1 ms
MICROSECONDS = 1e6  # per second
FROM_WATCHER = message_decoder(wire.FromWatcher)
FROM_HOLDER = message_decoder(wire.FromHolder)
NEVER = 2**62
FIRST_PORT = 101  # of the holders, for identification only


def to_ticks(reactor: VirtualReactor) -> int:
    """The reactor's time in ticks of 0.1 ms."""
    return reactor.now // TICK_MICROSECONDS


class HolderNode:
    """A holder process with one queue and one core."""

    def __init__(
        self,
        reactor: VirtualReactor,
        copy: ShardReplica,
        settings: HolderSettings,
        seed: int,
        one_way: int,
        timed: bool = True,
    ) -> None:
        """`one_way`: latency to a watcher in microseconds. Unless `timed`, work takes no virtual time."""
        self.reactor, self.copy, self.one_way, self.timed = reactor, copy, one_way, timed
        self.holder = ShardHolder(settings, seed, to_ticks(reactor))
        self.inbox: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.sessions: dict[int, tuple[WatcherNode, int]] = {}
        self.last_session = 0
        self.dead = False
        self.busy_until = 0
        self.working = False
        self.tick_at = NEVER
        self.processor = 0.0  # seconds spent
        self.messages_in = self.messages_out = self.bytes_in = self.bytes_out = 0
        self.number = 0  # revision of the roster's list
        self.roster: Callable[[], list[RosterEntry]] | None = None  # returns its full list; None: cut off
        self.snapshot_requests = 0  # sent to the roster

    # the roster

    def roster_changed(self, entries: list[RosterEntry], is_snapshot: bool = False) -> None:
        """The roster sends a full list or a change."""
        self.number += 1
        self.enqueue(self.apply_roster, entries, is_snapshot, wire.Revision("roster", self.number))

    def send_roster_snapshot(self) -> None:
        """Resends the full list, unless the roster is cut off."""
        if self.roster is not None:
            self.enqueue(self.apply_roster, self.roster(), True, wire.Revision("roster", self.number))

    def apply_roster(self, entries: list[RosterEntry], is_snapshot: bool, revision: wire.Revision) -> None:
        self.holder.instances_changed(entries, is_snapshot, revision, to_ticks(self.reactor))

    # watchers

    def connect(self, watcher: "WatcherNode", connection: int) -> None:
        """Accepts a watcher's connection, or refuses it if the holder was killed."""
        if self.dead:
            return watcher.after(self.one_way, watcher.refused, connection)
        self.last_session += 1
        session = self.last_session
        self.sessions[session] = watcher, connection
        self.enqueue(self.holder.session_opened, session, to_ticks(self.reactor))
        watcher.after(self.one_way, watcher.connected, connection, self, session)

    def disconnect(self, session: int) -> None:
        if self.sessions.pop(session, None) is not None:
            self.enqueue(self.session_closed, session)

    def session_closed(self, session: int) -> None:
        self.holder.session_closed(session, to_ticks(self.reactor))

    def arrive(self, session: int, line: bytes) -> None:
        self.messages_in += 1
        self.bytes_in += len(line)
        self.enqueue(self.handle_message, session, line)

    def handle_message(self, session: int, line: bytes) -> None:
        message = FROM_WATCHER.decode(line)
        self.holder.message_received(session, message, to_ticks(self.reactor))

    def kill(self) -> None:
        """Kills the holder; its connections close."""
        self.dead = True
        self.inbox.clear()
        for watcher, connection in self.sessions.values():
            watcher.after(self.one_way, watcher.connection_lost, connection)
        self.sessions.clear()

    # work

    def enqueue(self, call: Callable[..., None], *args: Any) -> None:
        if self.dead:
            return
        self.inbox.append((call, args))
        if not self.working:
            self.working = True
            self.reactor.schedule(max(0, self.busy_until - self.reactor.now), self.work)

    def work(self) -> None:
        """Handles one message, or the due tick; schedules the next after the time that this took."""
        if self.dead:
            return
        started_at = time.process_time()
        if self.inbox:
            call, args = self.inbox.popleft()
            call(*args)
        if self.holder.next_due() <= to_ticks(self.reactor):
            self.holder.tick(to_ticks(self.reactor))
        lines = self.encode_effects(self.holder.take_effects())
        elapsed = time.process_time() - started_at
        self.processor += elapsed
        delay = int(elapsed * MICROSECONDS) if self.timed else 0
        self.busy_until = self.reactor.now + delay
        for session, line in lines:
            self.send(session, line, delay)
        if self.inbox:
            self.reactor.schedule(delay, self.work)
        else:
            self.working = False
            self.schedule_tick()

    def encode_effects(self, effects: list[Any]) -> list[tuple[int, bytes | None]]:
        """Returns (session, encoded line) pairs; None instead of a line closes the session."""
        lines: list[tuple[int, bytes | None]] = []
        for effect in effects:
            if isinstance(effect, SendTo):
                lines.append((effect.session, encode(effect.message) + b"\n"))
            elif isinstance(effect, CloseSession):
                lines.append((effect.session, None))
            elif isinstance(effect, RequestRosterSnapshot):
                self.snapshot_requests += 1
                self.reactor.schedule(2 * self.one_way, self.send_roster_snapshot)
        return lines

    def send(self, session: int, line: bytes | None, delay: int) -> None:
        if session not in self.sessions:
            return
        watcher, connection = self.sessions[session]
        if line is None:
            del self.sessions[session]
            return watcher.after(delay + self.one_way, watcher.connection_lost, connection)
        self.messages_out += 1
        self.bytes_out += len(line)
        watcher.after(delay + self.one_way, watcher.arrive, connection, line)

    def schedule_tick(self) -> None:
        due = self.holder.next_due()
        if due < self.tick_at or self.tick_at <= to_ticks(self.reactor):
            self.tick_at = due
            self.reactor.schedule(max(0, due * TICK_MICROSECONDS - self.reactor.now), self.tick)

    def tick(self) -> None:
        if not self.working and not self.dead:
            self.working = True
            self.work()


class WatcherNode:
    """A dispatcher's watcher. `ready` and `failed` hold the durations of look-ups, in seconds."""

    def __init__(
        self,
        reactor: VirtualReactor,
        name: str,
        zone: str,
        assignment: Assignment,
        settings: WatcherSettings,
        holders: dict[ShardReplica, HolderNode],
        seed: int,
        one_way: int,
    ) -> None:
        self.reactor, self.holders, self.one_way = reactor, holders, one_way
        self.watcher = DirectoryWatcher(name, zone, assignment, settings, seed, to_ticks(reactor))
        self.links: dict[int, tuple[HolderNode, int]] = {}
        self.lookup_started_at: dict[str, float] = {}
        self.ready: list[float] = []
        self.failed: list[tuple[float, float]] = []  # (time, duration)
        self.ready_at: list[float] = []
        self.known_calls = 0  # calls whose prefix was known
        self.processor = 0.0
        self.messages_in = self.messages_out = self.bytes_in = self.bytes_out = 0
        self.timer: DelayedCall | None = None
        self.held_lines: list[tuple[int, bytes]] | None = None
        self.held_renewals = False
        self.stopped = False

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        if not self.stopped:
            self.reactor.schedule(delay, call, *args)

    # calls

    def call(self, function: str) -> bool:
        """Handles a call of this function; returns whether its prefix was known."""
        started_at = time.process_time()
        prefix = self.watcher.prefix_for(function, "check", to_ticks(self.reactor))
        if prefix is not None:
            self.known_calls += 1
            self.watcher.function_used(function, 0, to_ticks(self.reactor))
        else:
            self.lookup_started_at.setdefault(function, self.reactor.seconds())
        self.perform_effects(started_at)
        return prefix is not None

    # connections

    def connected(self, connection: int, holder: HolderNode, session: int) -> None:
        if connection not in self.watcher.connections:
            return holder.disconnect(session)
        self.links[connection] = holder, session
        self.handle_event(self.watcher.connection_ready, connection)

    def refused(self, connection: int) -> None:
        self.handle_event(self.watcher.connection_failed, connection)

    def connection_lost(self, connection: int) -> None:
        if self.links.pop(connection, None) is not None:
            self.handle_event(self.watcher.connection_lost, connection)

    def arrive(self, connection: int, line: bytes) -> None:
        if self.stopped or connection not in self.links:
            return
        if self.held_lines is not None:
            if self.held_renewals or b'"renewed"' not in line:
                self.held_lines.append((connection, line))
            return
        self.messages_in += 1
        self.bytes_in += len(line)
        started_at = time.process_time()
        self.watcher.message_received(connection, FROM_HOLDER.decode(line), to_ticks(self.reactor))
        self.perform_effects(started_at)

    @contextmanager
    def hold_lines(self, renewals: bool = False) -> Iterator[list[tuple[int, bytes]]]:
        """Within this context lines are collected instead of delivered; replies to renewals are collected as
        well if `renewals`, and dropped otherwise.
        """
        held_lines: list[tuple[int, bytes]] = []
        self.held_lines, self.held_renewals = held_lines, renewals
        yield held_lines
        self.held_lines = None

    def deliver_held(self, held_lines: list[tuple[int, bytes]]) -> None:
        for connection, line in held_lines:
            self.arrive(connection, line)

    def handle_event(self, event: Callable[[int, int], None], connection: int) -> None:
        if not self.stopped:
            started_at = time.process_time()
            event(connection, to_ticks(self.reactor))
            self.perform_effects(started_at)

    def tick(self) -> None:
        if not self.stopped:
            started_at = time.process_time()
            self.watcher.tick(to_ticks(self.reactor))
            self.perform_effects(started_at)

    # effects

    def perform_effects(self, started_at: float) -> None:
        sends = [
            (e.connection, encode(e.message) + b"\n") if isinstance(e, Send) else e
            for e in self.watcher.take_effects()
        ]
        due = self.watcher.next_due()
        self.processor += time.process_time() - started_at
        for effect in sends:
            self.perform(effect)
        at = max(due * TICK_MICROSECONDS, self.reactor.now)
        if self.timer is None or self.timer.done or self.timer.when > at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self.reactor.schedule(at - self.reactor.now, self.tick)

    def perform(self, effect: Any) -> None:
        match effect:
            case (int() as connection, bytes() as line):
                if connection in self.links:
                    holder, session = self.links[connection]
                    self.messages_out += 1
                    self.bytes_out += len(line)
                    self.reactor.schedule(self.one_way, holder.arrive, session, line)
            case Dial():
                holder = self.holders[effect.replica]
                self.reactor.schedule(2 * self.one_way, holder.connect, self, effect.connection)
            case CloseConnection():
                if effect.connection in self.links:
                    holder, session = self.links.pop(effect.connection)
                    self.reactor.schedule(self.one_way, holder.disconnect, session)
            case PrefixReady():
                started_at = self.lookup_started_at.pop(effect.function, None)
                if started_at is not None:
                    self.ready.append(self.reactor.seconds() - started_at)
                    self.ready_at.append(self.reactor.seconds())
            case LookupFailed():
                started_at = self.lookup_started_at.pop(effect.function, None)
                if started_at is not None:
                    self.failed.append((self.reactor.seconds(), self.reactor.seconds() - started_at))

    def stop(self) -> None:
        """Kills the dispatcher; its connections close."""
        self.stopped = True
        for holder, session in self.links.values():
            holder.disconnect(session)
        self.links.clear()


class Region:
    """The holders of one region, each with all shards, and its watchers."""

    def __init__(
        self,
        entries: list[RosterEntry],
        holders: int,
        shards: int,
        seed: int,
        one_way: int,
        zones: tuple[str, ...] = ("a", "b", "c"),
        watcher_settings: WatcherSettings | None = None,
        timed: bool = True,
        **holder_settings: Any,
    ) -> None:
        self.reactor = VirtualReactor()
        self.one_way, self.seed, self.zones = one_way, seed, zones
        copies = tuple(
            ShardReplica("127.0.0.1", FIRST_PORT + n, zones[n % len(zones)]) for n in range(holders)
        )
        self.assignment = Assignment(1, (copies,) * shards)
        self.watcher_settings = watcher_settings or WatcherSettings()
        settings = HolderSettings(shards=frozenset(range(shards)), shard_count=shards, **holder_settings)
        self.holders = {
            copy: HolderNode(self.reactor, copy, settings, seed + n, one_way, timed)
            for n, copy in enumerate(copies)
        }
        self.listed = {entry.name: entry for entry in entries}
        for node in self.holders.values():
            node.roster = self.snapshot
            node.roster_changed(entries, is_snapshot=True)
            self.run(0.0)
            self.reactor.run(max(self.reactor.seconds(), node.busy_until / MICROSECONDS))
        self.watchers: list[WatcherNode] = []

    def snapshot(self) -> list[RosterEntry]:
        return list(self.listed.values())

    def change(self, *entries: RosterEntry) -> None:
        """The roster sends a change to every holder."""
        for entry in entries:
            if entry.listing == "gone":
                self.listed.pop(entry.name, None)
            else:
                self.listed[entry.name] = entry
        for node in self.holders.values():
            if node.roster is not None:
                node.roster_changed(list(entries))

    def watcher(self, number: int) -> WatcherNode:
        zone = self.zones[number % len(self.zones)]
        node = WatcherNode(
            self.reactor, f"edge-{number}", zone, self.assignment, self.watcher_settings, self.holders,
            self.seed + number, self.one_way,
        )  # fmt: skip
        self.watchers.append(node)
        return node

    def run(self, seconds: float) -> None:
        self.reactor.run(self.reactor.seconds() + seconds)
