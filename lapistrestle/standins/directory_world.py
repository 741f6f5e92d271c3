"""Fault-injection simulation of a directory region in virtual time.

Processes are killed, stalled and resumed; connections lose and duplicate messages, are cut and closed; zones
restart, and the roster restarts with a new epoch. All faults are drawn from a seed.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from lapistrestle.directory import effects as directory
from lapistrestle.directory.assignment import Assignment, ShardReplica
from lapistrestle.directory.effects import HolderSettings, WatcherSettings
from lapistrestle.directory.instances import RegionInstances
from lapistrestle.standins.directory_checks import Violations, check_end
from lapistrestle.standins.directory_network import NetworkConditions, SimulatedClock
from lapistrestle.standins.directory_programs import Connection, Holder, Roster, Watcher
from lapistrestle.ticks import SECOND
from lapistrestle.wire import messages as wire

ZONES = ("north", "south", "west")
NO_FAULTS = NetworkConditions(0, 0, (5, 40), 0, 0, 1.0, 0, 0, 0, 0, 0, 0, 0, 0)
DEFAULT_FAULTS = NetworkConditions()
FREQUENT_FAULTS = NetworkConditions(
    loss=0.02,
    duplicated=0.02,
    slow_chance=0.05,
    changes=15,
    zone_restarts=0.2,
    roster_restarts=0.2,
    roster_breaks=0.4,
    kills=0.8,
    stalls=1.0,
    watcher_stalls=0.3,
    cuts=1.2,
    breaks=0.6,
)


@dataclass(frozen=True)
class SimulationPlan:
    """The size and settings of a simulated region."""

    watchers: int = 5
    copies: int = 2
    shards: int = 2
    instances: int = 24
    functions: int = 12
    settings: WatcherSettings = field(
        default_factory=lambda: WatcherSettings(first_count=4, idle_timeout=8 * SECOND)
    )
    holder: HolderSettings = field(default_factory=HolderSettings)
    old_holder: bool = False  # adds a holder of an older epoch to each shard


class DirectorySimulation:
    """A simulated region; violated invariants are collected in `breaches`."""

    def __init__(
        self, seed: int, plan: SimulationPlan | None = None, conditions: NetworkConditions | None = None
    ) -> None:
        self.plan, self.conditions = plan or SimulationPlan(), conditions or NetworkConditions()
        self.chance, self.time, self.breaches = random.Random(seed), SimulatedClock(), Violations()
        self.sessions = 0
        self.cut_from_roster = set[ShardReplica]()
        self.cut_pairs = set[tuple[str, ShardReplica]]()
        self.roster = Roster(self)
        self.counts = dict[str, int]()  # faults by kind
        self.make_fleet()
        self.make_holders()
        self.make_watchers()

    def make_fleet(self) -> None:
        for i in range(self.plan.instances):
            size = self.chance.choice((0.5, 1.0, 1.0, 2.0))
            self.roster.start(f"w{i}", ZONES[i % len(ZONES)], size)

    def make_holders(self) -> None:
        plan = self.plan
        copies = [ShardReplica("127.0.0.1", 7_000 + i, ZONES[i % len(ZONES)]) for i in range(plan.copies)]
        old = [ShardReplica("127.0.0.1", 6_999, ZONES[0])] if plan.old_holder else []
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
        holder, incarnation = self.holders[dial.replica], watcher.incarnation
        if not holder.alive:
            self.time.after(
                20, lambda: watcher.deliver(lambda: self.refuse(watcher, incarnation, dial.connection))
            )
        elif not self.is_cut(watcher, holder):
            Connection(self, watcher, dial.connection, holder).send_greeting()

    def refuse(self, watcher: Watcher, incarnation: int, connection: int) -> None:
        if watcher.incarnation == incarnation:
            watcher.decisions.connection_failed(connection, self.time.now)

    # random events

    def schedule_repeatedly(self, rate: float, action: Callable[[], None], until: int) -> None:
        """Runs the action at random times, `rate` times a second on average, until `until`."""
        if rate <= 0:
            return
        when = self.time.now + 1 + int(self.chance.expovariate(rate) * SECOND)
        if when < until:
            self.time.at(when, lambda: self.run_and_reschedule(rate, action, until))

    def run_and_reschedule(self, rate: float, action: Callable[[], None], until: int) -> None:
        action()
        self.schedule_repeatedly(rate, action, until)

    def count_fault(self, fault: str) -> None:
        self.counts[fault] = self.counts.get(fault, 0) + 1

    def call(self) -> None:
        watcher = self.chance.choice(self.watchers)
        function = f"f{self.chance.choice(self.used[watcher.name])}"
        if watcher.alive and not watcher.stalled:
            watcher.call(function)
            watcher.after_event()

    def change_instance(self) -> None:
        """One instance drains, serves again, is replaced, is removed, is added or changes its size."""
        name = f"w{self.chance.randrange(self.plan.instances)}"
        entry = self.roster.entries.get(name)
        zone = ZONES[int(name[1:]) % len(ZONES)]
        if entry is None:
            return self.roster.start(name, zone, self.chance.choice((0.5, 1.0, 2.0)))
        change = self.chance.choice(("drain", "serve", "replace", "go", "size"))
        if change == "replace":
            self.roster.start(name, zone, entry.size)
        elif change == "go":
            self.roster.note(msgspec.structs.replace(entry, listing="gone"))
        elif change == "size":
            self.roster.note(msgspec.structs.replace(entry, size=self.chance.choice((0.5, 1.0, 2.0, 3.0))))
        else:
            listing = "draining" if change == "drain" else "serving"
            self.roster.note(msgspec.structs.replace(entry, listing=listing))

    def restart_zone(self) -> None:
        self.count_fault("zone restarts")
        zone = self.chance.choice(ZONES)
        for entry in [entry for entry in self.roster.entries.values() if entry.zone == zone]:
            self.roster.note(msgspec.structs.replace(entry, listing="gone"))
            when = self.chance.randint(SECOND // 10, 2 * SECOND)
            self.time.after(when, lambda entry=entry: self.restart_instance(entry))  # type: ignore[misc]

    def restart_instance(self, entry: wire.RosterEntry) -> None:
        if entry.name not in self.roster.entries:
            self.roster.start(entry.name, entry.zone, entry.size)

    def restart_roster(self) -> None:
        self.count_fault("roster restarts")
        self.roster.restart()

    def break_roster(self) -> None:
        """Cuts the connection between a holder and its roster for a random time, then closes it."""
        self.count_fault("roster cuts")
        holder = self.chance.choice(list(self.holders.values()))
        self.cut_from_roster.add(holder.copy)
        channel, incarnation = holder.channel, holder.incarnation
        if channel is not None:
            channel.cut = True

        def heal() -> None:
            self.cut_from_roster.discard(holder.copy)
            if channel is not None and self.roster.subscribers.get(holder) is channel:
                del self.roster.subscribers[holder]
            if channel is not None and channel is holder.channel:
                channel.open = False
                holder.deliver(lambda: holder.roster_connection_lost(channel, incarnation))

        self.time.after(self.chance.randint(SECOND // 5, 10 * SECOND), heal)

    def kill(self) -> None:
        self.count_fault("kills")
        if self.chance.random() < 0.3:
            return self.chance.choice(self.watchers).restart()
        holder = self.chance.choice(list(self.holders.values()))
        if holder.alive:
            holder.kill()
            self.time.after(self.chance.randint(SECOND // 5, 3 * SECOND), lambda: self.restart_holder(holder))

    def restart_holder(self, holder: Holder) -> None:
        if not holder.alive:
            holder.boot()

    def stall(self) -> None:
        self.count_fault("standstills")
        holder = self.chance.choice(list(self.holders.values()))
        length = self.chance.randint(SECOND // 20, 6 * SECOND)
        if holder.alive and not holder.stalled:
            holder.stall(length)

    def stall_watcher(self) -> None:
        self.count_fault("standstills of watchers")
        self.chance.choice(self.watchers).stall(self.chance.randint(SECOND // 20, 6 * SECOND))

    def cut(self) -> None:
        """Cuts a watcher off from a holder for a random time; the connection may survive this."""
        self.count_fault("cuts")
        watcher = self.chance.choice(self.watchers)
        holder = self.chance.choice(list(self.holders.values()))
        self.cut_pairs.add((watcher.name, holder.copy))
        affected = [c for c in watcher.connections.values() if c.holder is holder]
        for connection in affected:
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
        self.count_fault("breaks")
        connections = list(self.chance.choice(self.watchers).connections.values())
        if connections:
            self.chance.choice(connections).break_off()

    def day(self, seconds: float) -> None:
        """Runs random calls, changes and faults for so many seconds."""
        until = self.time.now + int(seconds * SECOND)
        conditions = self.conditions
        self.schedule_repeatedly(conditions.calls * len(self.watchers), self.call, until)
        self.schedule_repeatedly(conditions.changes, self.change_instance, until)
        self.schedule_repeatedly(conditions.zone_restarts, self.restart_zone, until)
        self.schedule_repeatedly(conditions.roster_restarts, self.restart_roster, until)
        self.schedule_repeatedly(conditions.roster_breaks, self.break_roster, until)
        self.schedule_repeatedly(conditions.kills, self.kill, until)
        self.schedule_repeatedly(conditions.stalls, self.stall, until)
        self.schedule_repeatedly(conditions.watcher_stalls, self.stall_watcher, until)
        self.schedule_repeatedly(conditions.cuts, self.cut, until)
        self.schedule_repeatedly(conditions.breaks, self.break_connection, until)
        self.time.run(until)

    def run_without_faults(self, seconds: float, quiet: float = 3) -> None:
        """Ends the faults, then the changes of instances, then the calls, and checks every watcher's state.

        Runs calls and changes for `seconds`, calls alone for `quiet` seconds, and neither for one second.
        """
        self.conditions = replace(NO_FAULTS, calls=self.conditions.calls)
        self.day(seconds)
        self.conditions = replace(self.conditions, changes=0)
        self.day(quiet)
        self.conditions = replace(self.conditions, calls=0)
        self.day(1)
        truth = RegionInstances()
        truth.apply(self.roster.entries.values(), True, self.time.now)
        for watcher in self.watchers:
            check_end(watcher.decisions, watcher.view, truth, self.time.now, self.breaches)


def random_simulation(seed: int) -> DirectorySimulation:
    """Draws a simulation from its seed.

    Odd seeds have the rates of DEFAULT_FAULTS, even ones those of FREQUENT_FAULTS. Every third has holders
    of an older epoch; in every fifth, watchers remember at most 4 retired instances.
    """
    settings = WatcherSettings(first_count=4, idle_timeout=8 * SECOND)
    if seed % 5 == 0:
        settings = replace(settings, max_retired=4)
    plan = SimulationPlan(copies=2 + seed % 2, settings=settings, old_holder=seed % 3 == 0)
    return DirectorySimulation(seed, plan, DEFAULT_FAULTS if seed % 2 else FREQUENT_FAULTS)


def run_simulation(seed: int, fault_seconds: float = 12, recovery_seconds: float = 20) -> DirectorySimulation:
    """Runs a random simulation: `fault_seconds` of faults, then `recovery_seconds` without any."""
    world = random_simulation(seed)
    world.day(fault_seconds)
    world.run_without_faults(recovery_seconds)
    return world
