"""An edge's side of the directory of instances: what its watcher decides is carried out.

`directory.watcher` decides what is asked of which holder and what is believed; `choice` decides what becomes
of each RPC. Here both are told what they need, by the connections (`holders`), the RPCs that wait until their
function's prefix is known (`waiting`) and the hand-over of instances (`instances`). Times are whole tenths of
a millisecond on the edge's clock. Imported only where a deployment names a directory.
"""

from typing import Any

from lapistrestle.deployment.schema import Directory
from lapistrestle.directory.assignment import Assignment, ShardReplica
from lapistrestle.directory.effects import (
    CloseConnection,
    Dial,
    InstancesChanged,
    InstancesEvicted,
    InstancesGone,
    LookupFailed,
    PrefixReady,
    RegionSumsChanged,
    Send,
    WatcherEffect,
    WatcherSettings,
)
from lapistrestle.directory.region_estimate import RegionEstimate
from lapistrestle.directory.watcher import EXTENSION_THRESHOLD, DirectoryWatcher
from lapistrestle.edge.holders import HolderConnections
from lapistrestle.edge.instances import InstanceHandOver
from lapistrestle.edge.waiting import WaitingRequests
from lapistrestle.hosting.requests import PendingRequest, WorkerCall
from lapistrestle.hosting.timers import Timer
from lapistrestle.policy.entities import Function
from lapistrestle.wire.directory import Renewed

RENEWALS = 3  # within the silence after which a holder is left


def assignment_of(settings: Directory) -> Assignment:
    """The copies of each shard that the settings name."""
    shards = [tuple(ShardReplica(c.host, c.port, c.zone) for c in copies) for copies in settings.shards]
    return Assignment(settings.epoch, tuple(shards))


def watcher_settings(settings: Directory, dial_time_out: int) -> WatcherSettings:
    """What the decisions keep to."""
    return WatcherSettings(
        first_count=settings.first_count,
        lookup_timeout=int(settings.lookup_time_out),
        heartbeat=int(settings.silence) // RENEWALS,
        silence_timeout=int(settings.silence),
        dial_timeout=dial_time_out,
        idle_timeout=int(settings.idle),
    )


class EdgeDirectory:
    """Keeps the module's knowledge to the functions that are called, and RPCs waiting until they have one."""

    def __init__(self, edge: Any, settings: Directory) -> None:
        self.edge, self.settings = edge, settings
        assert isinstance(edge.fleet.region, RegionEstimate)
        self.region = edge.fleet.region
        place = edge.deployment.dispatcher
        self.watcher = DirectoryWatcher(
            place.name,
            place.zone,
            assignment_of(settings),
            watcher_settings(settings, edge.settings.connect_timeout),
            place.seed,
            edge.clock(),
            lambda text: edge.log("directory", figures=text),
        )
        self.connections = HolderConnections(edge, self)
        self.waiting = WaitingRequests(edge, int(settings.lookup_time_out))
        self.instances = InstanceHandOver(edge, self.region)
        self.asked = 0  # since when the message at hand was true
        self.acting = False
        self.timer: Timer | None = None

    # as a source of the list

    def start(self) -> None:
        self.act()

    def follow(self) -> None: ...

    def read_now(self) -> None: ...  # the reactor reads it

    def is_current(self) -> bool:
        """How old a prefix may be is the watcher's to know, which tells what it can no longer vouch for."""
        return True

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.stop()
        self.connections.close()

    # RPCs

    def ready(self, function: Function, method: str) -> bool:
        """Whether an RPC of this function can be placed now; else it has to wait."""
        prefix = self.watcher.prefix_for(function.name, method, self.edge.clock())
        if prefix is not None and function.prefix is None:
            self.instances.rank(function, prefix.names)
        return prefix is not None

    def wait(self, pending: PendingRequest) -> None:
        """Until `PrefixReady` or `LookupFailed`, which comes within the look-up time-out, or its deadline."""
        self.waiting.add(pending)
        self.act()

    def used(self, worker_call: WorkerCall) -> None:
        """A call-out goes to a worker: its function is in use, up to that worker's place.

        An order is entered anywhere, so a place near the end is no sign that the prefix is too short: the
        module says where it is (`more`).
        """
        prefix = worker_call.pending.function.prefix or ()
        if worker_call.worker in prefix:
            last = max(0, int(EXTENSION_THRESHOLD * len(prefix)) - 1)
            place = min(prefix.index(worker_call.worker), last)
            self.watcher.function_used(worker_call.pending.function.name, place, self.edge.clock())
            if self.watcher.effects:  # else nothing is due earlier than it was
                self.act()

    def more(self, function: str) -> None:
        """The prefix was not enough."""
        self.watcher.extend_prefix(function, self.edge.clock())
        if self.watcher.effects:
            self.act()

    # what becomes of connections (holders.Listener)

    def connected(self, connection: int) -> None:
        self.watcher.connection_ready(connection, self.edge.clock())
        self.act()

    def refused(self, connection: int) -> None:
        self.watcher.connection_failed(connection, self.edge.clock())
        self.act()

    def disconnected(self, connection: int) -> None:
        self.watcher.connection_lost(connection, self.edge.clock())
        self.act()

    def heard(self, connection: int, message: Any) -> None:
        now = self.edge.clock()
        self.asked = message.sent_at - message.age if isinstance(message, Renewed) else now
        self.watcher.message_received(connection, message, now)
        self.act()

    # what the watcher decided

    def act(self) -> None:
        """Carry out its effects in order. What that leads to may bring more of them: their turn is later."""
        if self.acting:
            return
        self.acting = True
        try:
            while effects := self.watcher.take_effects():
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
                self.connections.dial(effect)
            case CloseConnection():
                self.connections.hang_up(effect.connection)
            case Send():
                self.connections.send(effect)
            case InstancesChanged():
                self.instances.changed(effect.entries)
            case InstancesGone():
                self.instances.gone(effect.names)
            case InstancesEvicted():
                self.instances.forgotten(effect.names)
            case PrefixReady():
                self.prefix_ready(effect)
            case LookupFailed():
                self.waiting.failed(effect.function, effect.retry_after)
            case RegionSumsChanged():
                self.region.update(effect.sums, self.asked)

    def prefix_ready(self, effect: PrefixReady) -> None:
        """Tell the module of it, and then of the RPCs that waited for it."""
        functions = dict.fromkeys(pending.function for pending in self.waiting.of(effect.function))
        if (function := self.edge.host.registry.functions.get(effect.function)) is not None:
            functions[function] = None
        for function in functions:
            self.instances.rank(function, effect.names)
        self.waiting.looked_up(effect.function)

    # operators

    def show(self) -> dict[str, Any]:
        """What an operator sees of it, as plain values."""
        sums = self.region.sums
        return {
            "name": self.edge.name,
            "epoch": self.settings.epoch,
            "shards": len(self.settings.shards),
            "shards reached": self.watcher.reachable_shards(),
            "connections": len(self.connections),
            "instances": len(self.edge.following.known),
            "functions": sum(
                function.prefix is not None for function in self.edge.host.registry.functions.values()
            ),
            "waiting": len(self.waiting),
            "look-ups": self.waiting.counts,
            "region": None
            if sums is None
            else {
                "size": sums.size,
                "warm": sums.warm,
                "instances": sums.instances,
                "told ms ago": (self.edge.clock() - self.region.since) / 10,
            },
        }
