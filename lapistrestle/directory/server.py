"""The process of a directory holder: performs I/O for `ShardHolder`, which makes all decisions.

Times are ticks of 0.1 ms on the reactor's clock, which must be monotonic, unless stated otherwise.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from lapistrestle.deployment.schema import HolderDeployment
from lapistrestle.directory.effects import CloseSession, HolderEffect, RequestRosterSnapshot, SendTo
from lapistrestle.directory.holder_counts import HolderCounts
from lapistrestle.directory.holder_settings import holder_settings
from lapistrestle.directory.roster_subscription import RosterSubscription
from lapistrestle.directory.shard_holder import ShardHolder
from lapistrestle.directory.watcher_sessions import Log, WatcherFactory, WatcherSessions
from lapistrestle.ticks import MILLISECOND, SECOND
from lapistrestle.wire.directory import InspectResponse, WatcherMessage

SHUTDOWN_GRACE_SECONDS = 1.0  # seconds for unsent data to be sent at shutdown
MAX_LOGGED_LINES = 100  # undecodable lines that are logged; further ones are only counted
MAX_LOGGED_REASON = 200  # characters of the reason
CLOCK_ROUNDING = 0.001  # ticks; a time that floating point yields just below a tick counts as that tick


class HolderProgram:
    """One holder on one reactor."""

    def __init__(self, reactor: Any, settings: HolderDeployment, log: Log, seed: int = 0) -> None:
        """`seed` is for the jitter of retry times given to watchers while the holder is busy."""
        serve = settings.serve
        self.reactor = reactor
        self.settings = settings
        self.name = serve.name
        self.log = log
        self.holder_settings = holder_settings(settings)
        self.holder = ShardHolder(
            self.holder_settings, seed, self.clock(), lambda text: log("directory", figures=text)
        )
        self.counts = HolderCounts()
        self.roster = RosterSubscription(
            reactor, serve.name, settings.roster.port, self.holder, self.clock, self.perform_effects,
            self.message_ignored, lambda text: log("roster", figures=text),
        )  # fmt: skip
        self.sessions = WatcherSessions(self, serve.name, serve.unsent, self.counts, log)
        self.timer: Any = None
        self.timer_due = 0
        self.listening: Any = None
        self.stopped: Callable[[], None] | None = None
        self.stopping = False

    def clock(self) -> int:
        """Now, in ticks."""
        return int(self.reactor.seconds() * SECOND + CLOCK_ROUNDING)

    def start(self) -> int:
        """Listen, and subscribe to the roster. Returns the port."""
        factory, port = WatcherFactory(self.sessions), self.settings.serve.port
        self.listening = self.reactor.listenTCP(port, factory, backlog=1024, interface="127.0.0.1")
        made: int = self.listening.getHost().port
        shards = sorted(self.holder_settings.shards)
        self.log("listening", port=made, holder=self.name, epoch=self.holder_settings.epoch, shards=shards)
        self.roster.start()
        self.schedule_timer()
        return made

    def message_ignored(self, name: str, why: str) -> None:
        """Count and log a line of a peer that could not be decoded."""
        self.counts.unreadable_lines += 1
        if self.counts.unreadable_lines <= MAX_LOGGED_LINES:
            self.log("passed over", peer=name, why=why[:MAX_LOGGED_REASON])

    # SessionListener

    def session_opened(self, session: int) -> None:
        """A watcher has connected and greeted."""
        self.holder.session_opened(session, self.clock())
        self.perform_effects()

    def session_message(self, session: int, message: WatcherMessage) -> None:
        """A watcher has sent a message."""
        self.holder.message_received(session, message, self.clock())
        self.perform_effects()

    def session_closed(self, session: int) -> None:
        """A watcher's connection is over."""
        self.holder.session_closed(session, self.clock())
        self.perform_effects()

    def connection_ended(self) -> None:
        """A connection has ended; at shutdown, stop after the last one."""
        if self.stopping:
            self.finish_if_idle()

    # effects and timer

    def perform_effects(self) -> None:
        """Perform the holder's effects, and schedule its next tick."""
        for effect in self.holder.take_effects():
            self.perform(effect)
        self.schedule_timer()

    def perform(self, effect: HolderEffect) -> None:
        """Perform one effect."""
        match effect:
            case SendTo():
                self.sessions.send(effect.session, effect.message)
            case CloseSession():
                self.sessions.close(effect.session, effect.reason)
            case RequestRosterSnapshot():
                self.roster.request_snapshot()

    def schedule_timer(self) -> None:
        """Schedule the timer for the holder's next deadline."""
        due = self.holder.next_due()
        if self.stopping or (self.timer is not None and self.timer_due <= due):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_due = due
        delay = max(0.0, due / SECOND - self.reactor.seconds())
        self.timer = self.reactor.callLater(delay, self.on_timer)

    def on_timer(self) -> None:
        """Handle the timer: let the holder do what is due."""
        self.timer = None
        self.holder.tick(self.clock())
        self.perform_effects()

    # operators

    def inspect(self, function: str) -> InspectResponse:
        """The answer to an operator's request."""
        return InspectResponse(msgspec.Raw(msgspec.json.encode(self.report(function))))

    def report(self, function: str) -> dict[str, Any]:
        """The holder's state and figures of its connections, as plain values."""
        now = self.clock()
        freshness = self.holder.freshness
        mean, most = self.sessions.meter.rates(now)
        replicas = [
            [{"host": replica.host, "port": replica.port, "zone": replica.zone} for replica in shard]
            for shard in self.settings.directory.shards
        ]
        watched = self.holder.watched.functions.get(function)
        prefixes = watched.prefixes.values() if watched is not None else ()
        return {
            "longest prefix": max((len(prefix.names) for prefix in prefixes), default=0),
            "holder": self.name,
            "zone": self.settings.serve.zone,
            "copies": replicas,
            "sessions": len(self.sessions),
            "slow": len(self.sessions.slow),
            "bytes a second": round(mean, 1),
            "most bytes in a second": most,
            "bytes": self.sessions.meter.total,
            "list": self.roster.list.state.value,
            "age ms": freshness.age(now) / MILLISECOND,
            "roster heard ms ago": (now - freshness.last_heard_at) / MILLISECOND,
            **self.counts.as_report(),
            **self.holder.inspect(function),
        }

    # shutdown

    def stop(self, stopped: Callable[[], None]) -> None:
        """Close all sessions, so that watchers fail over at once, and stop. A second call doesn't wait."""
        if self.stopping:
            self.finish()
            return
        self.stopping = True
        self.stopped = stopped
        self.log("stopping", sessions=len(self.sessions))
        self.listening.stopListening()
        self.roster.stop()
        self.sessions.close_all("the holder stops")
        self.reactor.callLater(SHUTDOWN_GRACE_SECONDS, self.finish)
        self.finish_if_idle()

    def finish_if_idle(self) -> None:
        """Finish the shutdown if no session is open."""
        if not len(self.sessions):
            self.finish()

    def finish(self) -> None:
        """Finish the shutdown; further calls have no effect."""
        stopped = self.stopped
        self.stopped = None
        if stopped is not None:
            counts = self.counts.as_report()
            self.log("stopped", sessions=self.sessions.opened, bytes=self.sessions.meter.total, **counts)
            stopped()
