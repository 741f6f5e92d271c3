"""Holders and watchers of the directory in virtual time: the program's decisions and encoded messages.

A holder is one server with one queue: what handling a message took, by `time.process_time`, is how long the
holder is busy in virtual time, and what it answers leaves afterwards. So look-ups wait behind one another as
on a machine of one such core, and the network adds `one_way` in each direction.
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

TENTH = 100  # microseconds in a tenth of a millisecond
MILLION = 1e6
FROM_WATCHER = message_decoder(wire.FromWatcher)
FROM_HOLDER = message_decoder(wire.FromHolder)
NEVER = 2**62
FIRST_PORT = 101  # of the holders


def tenths(reactor: VirtualReactor) -> int:
    return reactor.now // TENTH


class HolderNode:
    """A holder's process: one queue, one core."""

    def __init__(
        self,
        reactor: VirtualReactor,
        copy: ShardReplica,
        settings: HolderSettings,
        seed: int,
        one_way: int,
        timed: bool = True,
    ) -> None:
        """`one_way`: microseconds to a watcher. Not `timed`: work takes no virtual time."""
        self.reactor, self.copy, self.one_way, self.timed = reactor, copy, one_way, timed
        self.holder = ShardHolder(settings, seed, tenths(reactor))
        self.inbox: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.sessions: dict[int, tuple[WatcherNode, int]] = {}
        self.last_session = 0
        self.dead = False
        self.busy_until = 0
        self.working = False
        self.tick_at = NEVER
        self.processor = 0.0  # seconds spent
        self.messages_in = self.messages_out = self.bytes_in = self.bytes_out = 0
        self.number = 0  # of the roster's list
        self.roster: Callable[[], list[RosterEntry]] | None = None  # its whole list; None: cut off
        self.asks = 0  # for the whole list

    # the roster

    def learn(self, entries: list[RosterEntry], whole: bool = False) -> None:
        """The roster tells a list, or a change of some."""
        self.number += 1
        self.put(self.learnt, entries, whole, wire.Revision("roster", self.number))

    def answer_roster(self) -> None:
        """The whole list once more, unless the roster is cut off."""
        if self.roster is not None:
            self.put(self.learnt, self.roster(), True, wire.Revision("roster", self.number))

    def learnt(self, entries: list[RosterEntry], whole: bool, revision: wire.Revision) -> None:
        self.holder.instances_changed(entries, whole, revision, tenths(self.reactor))

    # watchers

    def connect(self, watcher: "WatcherNode", connection: int) -> None:
        """A dial arrives."""
        if self.dead:
            return watcher.after(self.one_way, watcher.refused, connection)
        self.last_session += 1
        session = self.last_session
        self.sessions[session] = watcher, connection
        self.put(self.holder.session_opened, session, tenths(self.reactor))
        watcher.after(self.one_way, watcher.connected, connection, self, session)

    def leave(self, session: int) -> None:
        if self.sessions.pop(session, None) is not None:
            self.put(self.gone, session)

    def gone(self, session: int) -> None:
        self.holder.session_closed(session, tenths(self.reactor))

    def arrive(self, session: int, line: bytes) -> None:
        self.messages_in += 1
        self.bytes_in += len(line)
        self.put(self.heard, session, line)

    def heard(self, session: int, line: bytes) -> None:
        message = FROM_WATCHER.decode(line)
        self.holder.message_received(session, message, tenths(self.reactor))

    def kill(self) -> None:
        """Gone at once; its connections break."""
        self.dead = True
        self.inbox.clear()
        for watcher, connection in self.sessions.values():
            watcher.after(self.one_way, watcher.broken, connection)
        self.sessions.clear()

    # work

    def put(self, call: Callable[..., None], *args: Any) -> None:
        if self.dead:
            return
        self.inbox.append((call, args))
        if not self.working:
            self.working = True
            self.reactor.schedule(max(0, self.busy_until - self.reactor.now), self.work)

    def work(self) -> None:
        """One message, or the tick that is due; then the next once the time it took is over."""
        if self.dead:
            return
        began = time.process_time()
        if self.inbox:
            call, args = self.inbox.popleft()
            call(*args)
        if self.holder.next_due() <= tenths(self.reactor):
            self.holder.tick(tenths(self.reactor))
        lines = self.lines_of(self.holder.take_effects())
        took = time.process_time() - began
        self.processor += took
        delay = int(took * MILLION) if self.timed else 0
        self.busy_until = self.reactor.now + delay
        for session, line in lines:
            self.send(session, line, delay)
        if self.inbox:
            self.reactor.schedule(delay, self.work)
        else:
            self.working = False
            self.wake()

    def lines_of(self, effects: list[Any]) -> list[tuple[int, bytes | None]]:
        """Encoded lines by session; None closes it."""
        lines: list[tuple[int, bytes | None]] = []
        for effect in effects:
            if isinstance(effect, SendTo):
                lines.append((effect.session, encode(effect.message) + b"\n"))
            elif isinstance(effect, CloseSession):
                lines.append((effect.session, None))
            elif isinstance(effect, RequestRosterSnapshot):
                self.asks += 1
                self.reactor.schedule(2 * self.one_way, self.answer_roster)
        return lines

    def send(self, session: int, line: bytes | None, delay: int) -> None:
        if session not in self.sessions:
            return
        watcher, connection = self.sessions[session]
        if line is None:
            del self.sessions[session]
            return watcher.after(delay + self.one_way, watcher.broken, connection)
        self.messages_out += 1
        self.bytes_out += len(line)
        watcher.after(delay + self.one_way, watcher.arrive, connection, line)

    def wake(self) -> None:
        due = self.holder.next_due()
        if due < self.tick_at or self.tick_at <= tenths(self.reactor):
            self.tick_at = due
            self.reactor.schedule(max(0, due * TENTH - self.reactor.now), self.tick)

    def tick(self) -> None:
        if not self.working and not self.dead:
            self.working = True
            self.work()


class WatcherNode:
    """A dispatcher's side. `ready` and `failed` hold how long look-ups took, in seconds."""

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
        self.watcher = DirectoryWatcher(name, zone, assignment, settings, seed, tenths(reactor))
        self.links: dict[int, tuple[HolderNode, int]] = {}
        self.asked_at: dict[str, float] = {}
        self.ready: list[float] = []
        self.failed: list[tuple[float, float]] = []  # at, after waiting for
        self.ready_at: list[float] = []
        self.known = 0  # calls that found their prefix known
        self.processor = 0.0
        self.messages_in = self.messages_out = self.bytes_in = self.bytes_out = 0
        self.timer: DelayedCall | None = None
        self.held: list[tuple[int, bytes]] | None = None
        self.held_renewals = False
        self.stopped = False

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        if not self.stopped:
            self.reactor.schedule(delay, call, *args)

    # calls

    def call(self, function: str) -> bool:
        """A call wants this function; whether its prefix was known."""
        began = time.process_time()
        prefix = self.watcher.prefix_for(function, "check", tenths(self.reactor))
        if prefix is not None:
            self.known += 1
            self.watcher.function_used(function, 0, tenths(self.reactor))
        else:
            self.asked_at.setdefault(function, self.reactor.seconds())
        self.act(began)
        return prefix is not None

    # connections

    def connected(self, connection: int, holder: HolderNode, session: int) -> None:
        if connection not in self.watcher.connections:
            return holder.leave(session)
        self.links[connection] = holder, session
        self.tell(self.watcher.connection_ready, connection)

    def refused(self, connection: int) -> None:
        self.tell(self.watcher.connection_failed, connection)

    def broken(self, connection: int) -> None:
        if self.links.pop(connection, None) is not None:
            self.tell(self.watcher.connection_lost, connection)

    def arrive(self, connection: int, line: bytes) -> None:
        if self.stopped or connection not in self.links:
            return
        if self.held is not None:
            if self.held_renewals or b'"renewed"' not in line:
                self.held.append((connection, line))
            return
        self.messages_in += 1
        self.bytes_in += len(line)
        began = time.process_time()
        self.watcher.message_received(connection, FROM_HOLDER.decode(line), tenths(self.reactor))
        self.act(began)

    @contextmanager
    def holding(self, renewals: bool = False) -> Iterator[list[tuple[int, bytes]]]:
        """What arrives meanwhile is held instead of read; answers to `renewals` are left out, or held too."""
        held: list[tuple[int, bytes]] = []
        self.held, self.held_renewals = held, renewals
        yield held
        self.held = None

    def take_in(self, held: list[tuple[int, bytes]]) -> None:
        for connection, line in held:
            self.arrive(connection, line)

    def tell(self, event: Callable[[int, int], None], connection: int) -> None:
        if not self.stopped:
            began = time.process_time()
            event(connection, tenths(self.reactor))
            self.act(began)

    def tick(self) -> None:
        if not self.stopped:
            began = time.process_time()
            self.watcher.tick(tenths(self.reactor))
            self.act(began)

    # effects

    def act(self, began: float) -> None:
        sends = [
            (e.connection, encode(e.message) + b"\n") if isinstance(e, Send) else e
            for e in self.watcher.take_effects()
        ]
        due = self.watcher.next_due()
        self.processor += time.process_time() - began
        for effect in sends:
            self.perform(effect)
        at = max(due * TENTH, self.reactor.now)
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
                    self.reactor.schedule(self.one_way, holder.leave, session)
            case PrefixReady():
                asked = self.asked_at.pop(effect.function, None)
                if asked is not None:
                    self.ready.append(self.reactor.seconds() - asked)
                    self.ready_at.append(self.reactor.seconds())
            case LookupFailed():
                asked = self.asked_at.pop(effect.function, None)
                if asked is not None:
                    self.failed.append((self.reactor.seconds(), self.reactor.seconds() - asked))

    def stop(self) -> None:
        """The dispatcher dies; its connections break."""
        self.stopped = True
        for holder, session in self.links.values():
            holder.leave(session)
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
            node.roster = self.whole
            node.learn(entries, whole=True)
            self.run(0.0)
            self.reactor.run(max(self.reactor.seconds(), node.busy_until / MILLION))
        self.watchers: list[WatcherNode] = []

    def whole(self) -> list[RosterEntry]:
        return list(self.listed.values())

    def change(self, *entries: RosterEntry) -> None:
        """The roster tells every holder a change."""
        for entry in entries:
            if entry.listing == "gone":
                self.listed.pop(entry.name, None)
            else:
                self.listed[entry.name] = entry
        for node in self.holders.values():
            if node.roster is not None:
                node.learn(list(entries))

    def watcher(self, number: int) -> WatcherNode:
        zone = self.zones[number % len(self.zones)]
        made = WatcherNode(
            self.reactor, f"edge-{number}", zone, self.assignment, self.watcher_settings, self.holders,
            self.seed + number, self.one_way,
        )  # fmt: skip
        self.watchers.append(made)
        return made

    def run(self, seconds: float) -> None:
        self.reactor.run(self.reactor.seconds() + seconds)
