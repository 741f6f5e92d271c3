"""An edge's client of the directory of instances.

`directory.watcher` decides which holders are asked for what, and which answers are valid; this module carries
out its effects. The connections are in `holders`, RPCs that wait for a lookup in `waiting`, and changes of
instances are applied by `instances`. Times are ticks of 0.1 ms on the edge's clock. Imported only where a
deployment has a directory.
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
from lapistrestle.edge.instances import InstanceUpdates
from lapistrestle.edge.waiting import WaitingRequests
from lapistrestle.hosting.requests import PendingRequest, WorkerCall
from lapistrestle.hosting.timers import Timer
from lapistrestle.policy.entities import Function
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire.directory import Renewed

HEARTBEATS_WITHIN_SILENCE = 3  # heartbeats sent within the silence timeout, after which a holder is lost


def assignment_of(settings: Directory) -> Assignment:
    """The replicas of each shard, as the deployment lists them."""
    shards = [
        tuple(ShardReplica(replica.host, replica.port, replica.zone) for replica in replicas)
        for replicas in settings.shards
    ]
    return Assignment(settings.epoch, tuple(shards))


def watcher_settings(settings: Directory, dial_time_out: int) -> WatcherSettings:
    """The watcher's settings, from the deployment's. `dial_time_out` is in ticks."""
    return WatcherSettings(
        first_count=settings.first_count,
        lookup_timeout=int(settings.lookup_time_out),
        heartbeat=int(settings.silence) // HEARTBEATS_WITHIN_SILENCE,
        silence_timeout=int(settings.silence),
        dial_timeout=dial_time_out,
        idle_timeout=int(settings.idle),
    )


class EdgeDirectory:
    """Looks up the prefixes of functions that are called; RPCs wait until the prefix of theirs is known.

    A prefix is the first part of a function's order of workers, to which its calls are sent.
    """

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
        self.waiting_requests = WaitingRequests(edge, int(settings.lookup_time_out))
        self.instances = InstanceUpdates(edge, self.region)
        self.valid_at = 0  # time at which the region sums in the message being processed were current
        self.is_carrying_out = False
        self.timer: Timer | None = None

    # core.ListSource

    def start(self) -> None:
        self.carry_out_effects()

    def follow(self) -> None: ...  # instances are watched by function, from their first call on

    def read_now(self) -> None: ...  # its connections are read by the reactor only

    def is_current(self) -> bool:
        """Always True: the watcher evicts instances itself when their state may be outdated."""
        return True

    def gap(self) -> None:
        """Always None: a worker's greeting tells when it started, before any work is sent to it."""

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.stop()
        self.connections.close()

    # RPCs

    def has_prefix(self, function: Function, method: str) -> bool:
        """Whether the function's prefix is known, so that its calls can be placed; if not, start a lookup."""
        prefix = self.watcher.prefix_for(function.name, method, self.edge.clock())
        if prefix is not None and function.prefix is None:
            self.instances.set_prefix(function, prefix.names)
        return prefix is not None

    def wait(self, pending: PendingRequest) -> None:
        """Make a request wait for the end of the lookup, or its own deadline if that comes first."""
        self.waiting_requests.add(pending)
        self.carry_out_effects()

    def call_sent(self, worker_call: WorkerCall) -> None:
        """Tell the watcher how far the function's prefix is used: up to the worker that this call is sent to.

        The module may start anywhere in the order, so a position near the end does not mean that the prefix
        is too short; the module asks for more itself (`extend_prefix`).
        """
        prefix = worker_call.pending.function.prefix or ()
        if worker_call.worker in prefix:
            # kept below the position at which the watcher would extend the prefix
            last = max(0, int(EXTENSION_THRESHOLD * len(prefix)) - 1)
            position = min(prefix.index(worker_call.worker), last)
            self.watcher.function_used(worker_call.pending.function.name, position, self.edge.clock())
            if self.watcher.effects:  # else the time of the next timer is unchanged
                self.carry_out_effects()

    def extend_prefix(self, function: str) -> None:
        """Ask the directory for a longer prefix of the function's order of workers."""
        self.watcher.extend_prefix(function, self.edge.clock())
        if self.watcher.effects:
            self.carry_out_effects()

    # holders.ConnectionListener

    def connected(self, connection: int) -> None:
        self.watcher.connection_ready(connection, self.edge.clock())
        self.carry_out_effects()

    def connect_failed(self, connection: int) -> None:
        self.watcher.connection_failed(connection, self.edge.clock())
        self.carry_out_effects()

    def disconnected(self, connection: int) -> None:
        self.watcher.connection_lost(connection, self.edge.clock())
        self.carry_out_effects()

    def message_received(self, connection: int, message: Any) -> None:
        now = self.edge.clock()
        self.valid_at = message.sent_at - message.age if isinstance(message, Renewed) else now
        self.watcher.message_received(connection, message, now)
        self.carry_out_effects()

    # effects of the watcher

    def carry_out_effects(self) -> None:
        """Carry out the watcher's effects in order; those that they cause are appended, not nested."""
        if self.is_carrying_out:
            return
        self.is_carrying_out = True
        try:
            while effects := self.watcher.take_effects():
                for effect in effects:
                    self.carry_out_effect(effect)
        finally:
            self.is_carrying_out = False
        self.schedule_watcher()

    def schedule_watcher(self) -> None:
        """Schedule `run_watcher` for when the watcher is due; a timer that fires earlier reschedules it."""
        due = self.watcher.next_due()
        if self.timer is not None and self.timer.when <= due:
            return
        if self.timer is not None:
            self.timer.stop()
        self.timer = self.edge.after(max(0, due - self.edge.clock()), self.run_watcher, None)

    def run_watcher(self, _: object) -> None:
        """Let the watcher act on the time that has passed; on shutdown only while requests wait."""
        self.timer = None
        if not self.edge.stopping or self.waiting_requests:
            self.watcher.tick(self.edge.clock())
            self.carry_out_effects()

    def carry_out_effect(self, effect: WatcherEffect) -> None:
        match effect:
            case Dial():
                self.connections.dial(effect)
            case CloseConnection():
                self.connections.close_connection(effect.connection)
            case Send():
                self.connections.send(effect)
            case InstancesChanged():
                self.instances.changed(effect.entries)
            case InstancesGone():
                self.instances.removed(effect.names)
            case InstancesEvicted():
                self.instances.evicted(effect.names)
            case PrefixReady():
                self.prefix_ready(effect)
            case LookupFailed():
                self.waiting_requests.lookup_failed(effect.function, effect.retry_after)
            case RegionSumsChanged():
                self.region.update(effect.sums, self.valid_at)

    def prefix_ready(self, effect: PrefixReady) -> None:
        """Pass the prefix to the module, and then resume the RPCs that waited for it."""
        functions = dict.fromkeys(
            pending.function for pending in self.waiting_requests.of_function(effect.function)
        )
        if (function := self.edge.host.registry.functions.get(effect.function)) is not None:
            functions[function] = None
        for function in functions:
            self.instances.set_prefix(function, effect.names)
        self.waiting_requests.lookup_succeeded(effect.function)

    # operators

    def show(self) -> dict[str, Any]:
        """The directory client's state for operators, as JSON values."""
        sums = self.region.sums
        return {
            "name": self.edge.name,
            "epoch": self.settings.epoch,
            "shards": len(self.settings.shards),
            "shards reached": self.watcher.reachable_shards(),
            "connections": len(self.connections),
            "instances": len(self.edge.known_workers.known),
            "functions": sum(
                function.prefix is not None for function in self.edge.host.registry.functions.values()
            ),
            "waiting": len(self.waiting_requests),
            "look-ups": self.waiting_requests.counts,
            "region": None
            if sums is None
            else {
                "size": sums.size,
                "warm": sums.warm,
                "instances": sums.instances,
                "told ms ago": (self.edge.clock() - self.region.since) / MILLISECOND,
            },
        }
