"""Grow-only counters that dispatchers gossip, one set per process. Free of I/O (docs/fleet.md).

This is the grow-only counter of Shapiro et al., "Conflict-Free Replicated Data Types" (SSS 2011): the newest
snapshot of a process wins, so lost, duplicated, late or reordered datagrams affect only its age. Rates are
computed from two snapshots of one process, by its own clock. The contribution of a process is limited by the
snapshot's age, by the maximum rate of one dispatcher, and by the median rate of all.
"""

from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from operator import add
from typing import NamedTuple
from zlib import crc32

import numpy as np
import numpy.typing as npt

from lapistrestle.ticks import SECOND
from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import CounterSnapshot, ProcessId

MAX_OVER_MEDIAN = 100.0  # limit of one process's rate in medians; fifty times the median does occur
MIN_REPORTERS = 3  # below which rates are not compared with the median
TRANSMISSIONS = 3  # of a snapshot by each process that has it: 1 in 20 processes misses it and gets the next
MAX_SAMPLES = 8  # stored per process
SAMPLES_IN_WINDOW = MAX_SAMPLES - 3  # stored samples are at least a rate window divided by this apart
CANDIDATES = 40  # snapshots of others considered per datagram: bounds the cost of each

Rates = npt.NDArray[np.float64]  # by counter, per second


@dataclass(frozen=True)
class CounterSettings:
    """When snapshots are sent, and how long they are valid. Durations are whole ticks of 0.1 ms."""

    send_interval: int = SECOND // 2
    refresh_interval: int = SECOND  # between two snapshots of a process's own counters
    full_weight_age: int = 3 * SECOND  # up to which a snapshot has full weight
    expiry_age: int = 10 * SECOND  # from which on a snapshot has no weight
    rate_window: int = 2 * SECOND  # minimum interval for rates, by the reporter's clock
    max_rate: float = 100_000.0  # per second and counter: more than one dispatcher can do
    max_datagrams: int = 10  # per round of gossip


class Sample(NamedTuple):
    """Counters at one time of the reporter's clock."""

    at: int
    counts: tuple[int, ...]


@dataclass(eq=False)
class Reporter:
    """One process and its counters, as far as known."""

    process_id: ProcessId
    snapshot: CounterSnapshot  # the newest
    taken_at: int  # the latest time, on our clock, at which the newest snapshot was taken
    transmissions: int = 0  # of the newest snapshot by this process
    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    rates: Rates | None = None  # by its own clock; None if there is only one snapshot

    def add_snapshot(self, snapshot: CounterSnapshot, now: int, rate_window: int) -> None:
        """Store a newer snapshot of the same process."""
        self.snapshot = snapshot
        self.taken_at = now - snapshot.age
        self.transmissions = 0
        shortest = rate_window // SAMPLES_IN_WINDOW
        if len(self.samples) > 1 and self.samples[-1].at - self.samples[-2].at < shortest:
            self.samples.pop()  # so that the stored ones span the window however often it reports
        self.samples.append(Sample(snapshot.at, snapshot.counts))
        self.update_rates(rate_window)

    def update_rates(self, rate_window: int) -> None:
        """Compute the rates between the newest sample and one at least a window older."""
        newest = self.samples[-1]
        earlier = (s for s in reversed(self.samples) if newest.at - s.at >= rate_window)
        first = next(earlier, self.samples[0])
        duration = newest.at - first.at
        if duration > 0:
            growth = np.array(newest.counts, float) - np.array(first.counts, float)
            self.rates = growth * (SECOND / duration)


@dataclass(frozen=True)
class FleetStatistics:
    """Aggregated counters of the fleet, and how complete they are."""

    rates: Mapping[str, float]  # by counter, per second
    totals: Mapping[str, int]  # sums by counter
    counted: int  # members included; snapshots of the others are too old or were never received
    size: int  # of the fleet
    age: int  # of the oldest snapshot included, in ticks


class GossipCounters:
    """The counters of this process, and the newest snapshots of the others."""

    def __init__(
        self, columns: Sequence[str], process_id: ProcessId, settings: CounterSettings, now: int
    ) -> None:
        """`columns` names the counters, in an order that all dispatchers of a layout share."""
        self.columns = {name: i for i, name in enumerate(columns)}
        self.settings = settings
        self.layout = crc32("\n".join(columns).encode())
        self.process_id = process_id
        self.counts = [0] * len(columns)
        self.seq = 0
        self.refreshed_at = now
        self.reporters: dict[str, Reporter] = {}  # by name, this process included
        self.rejected = 0  # invalid snapshots, and datagrams of another layout
        self.refresh_own(now)

    def add(self, column: str, amount: int = 1) -> None:
        """Add to one of this process's counters; a negative amount is ignored."""
        self.counts[self.columns[column]] += max(0, amount)

    # snapshots to send

    def refresh_own(self, now: int) -> None:
        """Take a new snapshot of this process's counters."""
        self.seq += 1
        self.refreshed_at = now
        snapshot = CounterSnapshot(*self.process_id, self.seq, now, 0, tuple(self.counts))
        own = self.reporters.setdefault(self.process_id[0], Reporter(self.process_id, snapshot, now))
        own.add_snapshot(snapshot, now, self.settings.rate_window)

    def snapshots_to_send(self, now: int, free_bytes: int) -> list[CounterSnapshot]:
        """This process's snapshot, then the least transmitted ones of others, as many as fit."""
        if now - self.refreshed_at >= self.settings.refresh_interval:
            self.refresh_own(now)
        others = [
            reporter
            for name, reporter in self.reporters.items()
            if name != self.process_id[0]
            and reporter.transmissions < TRANSMISSIONS
            and now - reporter.taken_at < self.settings.expiry_age
        ]
        own = self.reporters[self.process_id[0]]
        snapshots = list[CounterSnapshot]()
        for reporter in [own, *nsmallest(CANDIDATES, others, key=least_transmitted)]:
            snapshot = wire.with_age(reporter.snapshot, max(0, now - reporter.taken_at))
            free_bytes -= wire.encoded_size(snapshot)
            if free_bytes < 0:
                break
            snapshots.append(snapshot)
            reporter.transmissions += 1
        return snapshots

    def datagrams_per_round(self, size: int, snapshot_bytes: int) -> int:
        """The number of datagrams to send in one round of gossip.

        Enough to spread all snapshots of a fleet of this size within two refresh intervals, but no more than
        `max_datagrams`: in larger fleets statistics get older rather than more expensive.
        """
        per_datagram = max(1, (wire.MAX_DATAGRAM_BYTES - wire.ENVELOPE_BYTES) // max(1, snapshot_bytes))
        settings = self.settings
        sendings = size * TRANSMISSIONS * settings.send_interval
        wanted = sendings / (per_datagram * 2 * settings.refresh_interval)
        return int(max(1, min(settings.max_datagrams, wanted)))

    # snapshots received

    def on_snapshots(self, layout: int, snapshots: Collection[CounterSnapshot], now: int) -> None:
        """Handle received snapshots, the sender's own and others that it forwards."""
        if layout != self.layout:
            self.rejected += 1
            return
        for snapshot in snapshots:
            if snapshot.name != self.process_id[0]:
                self.accept(snapshot, now)

    def accept(self, snapshot: CounterSnapshot, now: int) -> None:
        """Store a snapshot if it is newer than the known one of its process."""
        process_id = (snapshot.name, snapshot.boot, snapshot.nonce)
        reporter = self.reporters.get(snapshot.name)
        is_old_process = reporter is not None and process_id < reporter.process_id
        if len(snapshot.counts) != len(self.columns) or is_old_process:
            return
        if reporter is None or process_id > reporter.process_id:  # a restarted process counts from zero
            reporter = Reporter(process_id, snapshot, now - snapshot.age)
            reporter.samples.append(Sample(snapshot.at, snapshot.counts))
            self.reporters[snapshot.name] = reporter
            return
        held = reporter.snapshot
        if snapshot.seq == held.seq:  # it came by a shorter path, so its age is known better
            reporter.taken_at = max(reporter.taken_at, min(now, now - snapshot.age))
            return
        if snapshot.seq < held.seq:
            return  # arrived late
        has_shrunk = any(new < old for old, new in zip(held.counts, snapshot.counts, strict=True))
        if has_shrunk or snapshot.at <= held.at:  # guards against a faulty reporter
            self.rejected += 1
            return
        reporter.add_snapshot(snapshot, now, self.settings.rate_window)

    def forget(self, name: str) -> None:
        """Remove the counters of a forgotten member."""
        self.reporters.pop(name, None)

    # statistics

    def age_weight(self, reporter: Reporter, now: int) -> float:
        """Weight of a reporter: 1 up to `full_weight_age`, falling linearly to 0 at `expiry_age`."""
        full, expiry = self.settings.full_weight_age, self.settings.expiry_age
        age = now - reporter.taken_at
        return min(1.0, max(0.0, (expiry - age) / (expiry - full)))

    def statistics(self, now: int, is_present: Callable[[str], bool], size: int) -> FleetStatistics:
        """Statistics of this process and all others that are present, weighted and limited."""
        own = self.own_rates()
        reported = [own]
        weights = list[float]()
        totals = list(self.counts)
        oldest = 0
        for name, reporter in self.reporters.items():
            if name == self.process_id[0] or reporter.rates is None or not is_present(name):
                continue
            if (weight := self.age_weight(reporter, now)) > 0:
                weights.append(weight)
                reported.append(reporter.rates)
                totals = list(map(add, totals, reporter.snapshot.counts))
                oldest = max(oldest, now - reporter.taken_at)
        rates = own
        if weights:
            by_reporter = np.array(reported)
            rates = own + np.array(weights) @ np.minimum(by_reporter[1:], self.rate_bounds(by_reporter))
        return self.named_statistics(rates, totals, 1 + len(weights), size, oldest)

    def rate_bounds(self, by_reporter: Rates) -> Rates:
        """The limit of each counter's rate for one reporter."""
        bounds = np.full(by_reporter.shape[1], float(self.settings.max_rate))
        if len(by_reporter) >= MIN_REPORTERS:
            median = np.median(by_reporter, axis=0)
            bounds = np.minimum(bounds, MAX_OVER_MEDIAN * np.maximum(1.0, median))
        return bounds

    def own_statistics(self) -> FleetStatistics:
        """Statistics of this process only."""
        return self.named_statistics(self.own_rates(), self.counts, 1, 1, 0)

    def own_rates(self) -> Rates:
        """Rates of this process; 0 while there is only one snapshot."""
        rates = self.reporters[self.process_id[0]].rates
        return np.zeros(len(self.columns)) if rates is None else rates

    def named_statistics(
        self, rates: Rates, totals: Sequence[int], counted: int, size: int, age: int
    ) -> FleetStatistics:
        """Statistics under the names of the counters."""
        rates_by_name = dict(zip(self.columns, rates.tolist(), strict=True))
        totals_by_name = dict(zip(self.columns, totals, strict=True))
        return FleetStatistics(rates_by_name, totals_by_name, counted, size, age)


def least_transmitted(reporter: Reporter) -> tuple[int, int]:
    """Sort key for sending: the least transmitted first, among these the youngest."""
    return reporter.transmissions, -reporter.taken_at
