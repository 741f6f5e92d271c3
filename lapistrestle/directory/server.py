"""A holder of the directory as a program: its connections to watchers and to the roster. Decides nothing.

Times are tenths of a millisecond on the reactor's clock, which must be monotonic, unless stated otherwise.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import ServerFactory

from lapistrestle.deployment.shape import HolderDeployment
from lapistrestle.directory.effects import (
    MILLISECOND,
    AskRoster,
    CloseSession,
    HolderEffect,
    HolderSettings,
    SendTo,
)
from lapistrestle.directory.holder import ShardHolder
from lapistrestle.edge.following import Do, News, NumberedList
from lapistrestle.edge.rosters import RosterSource, RosterSpeaker
from lapistrestle.wire import directory as wire
from lapistrestle.wire.lines import LineBounds, Speaker, union
from lapistrestle.wire.messages import VERSION, Change, Entry, Hello, Message, Whole, encode

Log = Callable[..., None]
TENTHS = 10_000  # tenths of a millisecond in a second
ROSTER_DIAL = 2_500  # for the connection to the roster and its greeting
ROSTER_LINE = 134_217_728  # bytes: a whole list of 380,000 instances is 50 MB
PATIENCE = 1.0  # seconds at the end for what was written to leave
RATE_SECONDS = 10  # over which bytes a second are measured
MOST_TOLD = 100  # lines passed over that are logged one by one


def holder_settings(made: HolderDeployment) -> HolderSettings:
    """What the decisions keep to."""
    directory, serve, workers = made.directory, made.serve, made.workers
    return HolderSettings(
        shards=frozenset(serve.shards or range(len(directory.shards))),
        shard_count=len(directory.shards),
        epoch=directory.epoch,
        oldest_epoch=serve.oldest_epoch or directory.epoch,
        lease=int(directory.lease),
        session_bytes=directory.bytes_per_second,
        total_bytes=serve.bytes_per_second,
        snapshot_rate=max(1, round(serve.snapshots_per_second)),
        snapshot_burst=max(1, round(serve.snapshots_per_second / 4)),
        most_sessions=serve.connections,
        ramp_time=int(workers.ramp),
        cold_share=workers.cold_share,
    )


class Instances(NumberedList):
    """The roster's list by its numbers; the entries themselves are kept by the decisions."""

    def __init__(self, log: Callable[[str], None]) -> None:
        super().__init__(log)
        self.names: set[str] = set()

    def size(self) -> int:
        return len(self.names)

    def take(self, entries: list[Entry], whole: bool) -> None:
        """Note who is there, after a list or change was accepted."""
        if whole:
            if not entries and self.names:
                self.log(f"list empty at {self.number}: all {len(self.names)} count as gone")
            self.names.clear()
        for entry in entries:
            if entry.listing == "gone":
                self.names.discard(entry.name)
            else:
                self.names.add(entry.name)


class Meter:
    """Bytes a second, over the last whole seconds."""

    def __init__(self, now: int) -> None:
        self.began = now // TENTHS
        self.seconds: deque[tuple[int, int]] = deque()  # second, bytes
        self.total = 0

    def add(self, size: int, now: int) -> None:
        second = now // TENTHS
        self.total += size
        if self.seconds and self.seconds[-1][0] == second:
            size += self.seconds.pop()[1]
        self.seconds.append((second, size))
        while self.seconds[0][0] < second - RATE_SECONDS:
            self.seconds.popleft()

    def rates(self, now: int) -> tuple[float, int]:
        """The mean over the last whole seconds, and the most in one of them."""
        second = now // TENTHS
        whole = [size for at, size in self.seconds if second - RATE_SECONDS <= at < second]
        span = max(1, min(RATE_SECONDS, second - self.began))
        return sum(whole) / span, max(whole, default=0)


class HolderProgram:
    """One holder on one reactor. Also what a `RosterSource` follows the roster for."""

    def __init__(self, reactor: Any, settings: HolderDeployment, log: Log, seed: int = 0) -> None:
        serve = settings.serve
        self.reactor, self.settings, self.name, self.log = reactor, settings, serve.name, log
        self.decided = holder_settings(settings)
        self.holder = ShardHolder(
            self.decided, seed, self.clock(), lambda text: log("directory", figures=text)
        )
        self.list = Instances(lambda text: log("roster", figures=text))
        self.bounds = LineBounds(line=ROSTER_LINE)  # of the connection to the roster
        self.connect_timeout, self.endpoints_polled = ROSTER_DIAL, False
        self.source = HolderRosterSource(self, settings.roster.port)
        self.sessions: dict[int, WatcherSpeaker] = {}
        self.count = 0  # of sessions so far: no number is used twice
        self.counts = dict.fromkeys(("turned away", "cut as slow", "passed over"), 0)
        self.meter = Meter(self.clock())
        self.slow: set[int] = set()  # sessions that read more slowly than is written
        self.next_turn: Any = None
        self.turn_at = 0
        self.listening: Any = None
        self.stopped: Callable[[], None] | None = None
        self.stopping = False

    def clock(self) -> int:
        return int(self.reactor.seconds() * TENTHS + 0.001)

    def start(self) -> int:
        """Listen, and follow the roster. Returns the port."""
        factory, port = Watchers(self), self.settings.serve.port
        self.listening = self.reactor.listenTCP(port, factory, backlog=1024, interface="127.0.0.1")
        made: int = self.listening.getHost().port
        shards = sorted(self.decided.shards)
        self.log("listening", port=made, holder=self.name, epoch=self.decided.epoch, shards=shards)
        self.source.start()
        self.wake()
        return made

    # what a `RosterSource` asks of whoever follows the roster

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Any:
        return self.reactor.callLater(delay / TENTHS, call, arg)

    def input(self) -> None: ...

    def list_told(self, message: Whole | Change) -> Do:
        do, whole = self.list.accept(message), isinstance(message, Whole)
        if do is Do.TAKE:
            self.list.take(message.workers, whole)
            revision = wire.Revision(message.epoch, message.number)
            self.holder.instances_changed(message.workers, whole, revision, self.clock())
        elif do is Do.ASK and not whole:  # a whole list has answered a question: as many are open as before
            self.holder.roster_asked(self.clock())
        elif do is Do.PASS and whole:
            self.holder.list_passed(self.clock())
        self.act()
        return do

    def list_followed(self) -> None:
        """The connection to the roster stands, and the whole list was asked for."""
        self.holder.roster_asked(self.clock())
        self.act()

    def list_news(self, news: News) -> None:
        if self.stopping:
            return
        if self.list.step(news) is Do.TELL_FAILED:
            self.holder.roster_lost(self.clock())
            self.act()

    def passed_over(self, name: str, why: str) -> None:
        self.counts["passed over"] += 1
        if self.counts["passed over"] <= MOST_TOLD:
            self.log("passed over", peer=name, why=why[:200])

    # what a `WatcherSpeaker` tells

    def met(self, speaker: "WatcherSpeaker") -> None:
        if self.stopping:
            return speaker.cut("the holder stops")
        self.count += 1
        speaker.session = self.count
        self.sessions[speaker.session] = speaker
        self.holder.connected(speaker.session, self.clock())
        self.act()

    def heard(self, speaker: "WatcherSpeaker", message: Any) -> None:
        if isinstance(message, wire.Show):
            return speaker.say(wire.Shown(msgspec.Raw(msgspec.json.encode(self.show(message.function)))))
        self.holder.heard(speaker.session, message, self.clock())
        self.act()

    def lost(self, speaker: "WatcherSpeaker") -> None:
        self.slow.discard(speaker.session)
        if self.sessions.pop(speaker.session, None) is not None:
            self.holder.disconnected(speaker.session, self.clock())
            self.act()
        if self.stopping:
            self.look()

    def slowed(self, speaker: "WatcherSpeaker", slow: bool) -> None:
        """A watcher has begun, or ceased, to read more slowly than it is written to."""
        self.slow.discard(speaker.session)
        if slow:
            self.slow.add(speaker.session)
        figures = {"slow": len(self.slow), "sessions": len(self.sessions)}
        self.log("watcher slow" if slow else "watcher reads", watcher=speaker.name, **figures)

    # turns

    def act(self) -> None:
        """Carry out what was decided, and be woken when more is due."""
        for effect in self.holder.take():
            self.carry_out(effect)
        self.wake()

    def carry_out(self, effect: HolderEffect) -> None:
        match effect:
            case SendTo():
                if (speaker := self.sessions.get(effect.session)) is not None:
                    speaker.say(effect.message)
            case CloseSession():
                if (speaker := self.sessions.pop(effect.session, None)) is not None:
                    self.counts["turned away"] += 1
                    speaker.cut(effect.why)
            case AskRoster():
                self.source.ask()

    def wake(self) -> None:
        due = self.holder.next_due()
        if self.stopping or (self.next_turn is not None and self.turn_at <= due):
            return
        if self.next_turn is not None:
            self.next_turn.cancel()
        self.turn_at = due
        self.next_turn = self.reactor.callLater(max(0.0, due / TENTHS - self.reactor.seconds()), self.turn)

    def turn(self) -> None:
        self.next_turn = None
        self.holder.tick(self.clock())
        self.act()

    # operators

    def show(self, function: str) -> dict[str, Any]:
        """What the decisions know, and what only the connections show."""
        now, knowledge = self.clock(), self.holder.knowledge
        mean, most = self.meter.rates(now)
        copies = [
            [{"host": copy.host, "port": copy.port, "zone": copy.zone} for copy in shard]
            for shard in self.settings.directory.shards
        ]
        watched = self.holder.watched.functions.get(function)
        prefixes = watched.prefixes.values() if watched is not None else ()
        return {
            "longest prefix": max((len(prefix.names) for prefix in prefixes), default=0),
            "holder": self.name,
            "zone": self.settings.serve.zone,
            "copies": copies,
            "sessions": len(self.sessions),
            "slow": len(self.slow),
            "bytes a second": round(mean, 1),
            "most bytes in a second": most,
            "bytes": self.meter.total,
            "list": self.list.mode.name.lower(),
            "age ms": knowledge.age(now) / MILLISECOND,
            "roster heard ms ago": (now - knowledge.heard_at) / MILLISECOND,
            **self.counts,
            **self.holder.show(function),
        }

    # the end

    def stop(self, stopped: Callable[[], None]) -> None:
        """Tell every watcher, which goes to the next copy at once, and end. A second call doesn't wait."""
        if self.stopping:
            return self.finish()
        self.stopping, self.stopped = True, stopped
        self.log("stopping", sessions=len(self.sessions))
        self.listening.stopListening()
        self.source.stop()
        for speaker in list(self.sessions.values()):
            speaker.cut("the holder stops")
        self.reactor.callLater(PATIENCE, self.finish)
        self.look()

    def look(self) -> None:
        if not self.sessions:
            self.finish()

    def finish(self) -> None:
        stopped, self.stopped = self.stopped, None
        if stopped is not None:
            self.log("stopped", sessions=self.count, bytes=self.meter.total, **self.counts)
            stopped()


class HolderRosterSpeaker(RosterSpeaker):
    """The holder's end of the connection to the roster."""

    source: "HolderRosterSource"

    def met(self, hello: Hello) -> None:
        super().met(hello)
        self.source.edge.list_followed()

    def unreadable(self, line: bytes, why: str) -> None:
        """What can't be read may have answered a question: only a new connection has none open."""
        self.source.edge.passed_over("roster", why)
        self.cut(f"unreadable line: {why}")


class HolderRosterSource(RosterSource):
    """Follows the roster, and has the decisions told whenever a whole list is asked for."""

    edge: HolderProgram

    def speak(self) -> HolderRosterSpeaker:
        return HolderRosterSpeaker(self)


class WatcherSpeaker(Speaker):
    """The holder's end of a connection, of a dispatcher or an operator."""

    protocol = wire.DIRECTORY
    decoder = union(wire.FromWatcher)
    speaks_first = False

    def __init__(self, program: HolderProgram) -> None:
        super().__init__(LineBounds(waiting=program.settings.serve.unsent))
        self.program = program
        self.session, self.name = 0, ""

    def greeting(self) -> Hello:
        return Hello(self.protocol, VERSION, self.program.name)

    def met(self, hello: Hello) -> None:
        self.name = hello.name
        self.program.met(self)

    def heard(self, message: Any) -> None:
        self.program.heard(self, message)

    def say(self, message: Message) -> None:
        if self.closed:
            return
        line = encode(message) + b"\n"
        self.program.meter.add(len(line), self.program.clock())
        self.say_line(line)

    def cut(self, why: str) -> None:
        if not self.closed and self.waiting > self.bounds.waiting:
            self.program.counts["cut as slow"] += 1
            self.program.log("watcher cut", watcher=self.name, why=why, waiting=self.waiting)
        super().cut(why)

    def unreadable(self, line: bytes, why: str) -> None:
        """What can't be read may have been a watch: the watcher begins anew."""
        self.program.passed_over(self.name, why)
        super().unreadable(line, why)

    def slowed(self, slow: bool) -> None:
        if self.session:
            self.program.slowed(self, slow)

    def lost(self) -> None:
        self.program.lost(self)


class Watchers(ServerFactory):
    """Connections of watchers."""

    noisy = False

    def __init__(self, program: HolderProgram) -> None:
        self.program = program

    def buildProtocol(self, addr: Any) -> WatcherSpeaker:
        return WatcherSpeaker(self.program)
