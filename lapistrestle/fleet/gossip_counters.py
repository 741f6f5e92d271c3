"""Counters that dispatchers gossip: they only grow, and are kept by process. Free of I/O (docs/fleet.md).

A row is one process's counters as of a moment on its own clock. The newest row of a process holds, so a lost,
doubled, late or reordered datagram changes nothing but ages. Rates come from two rows of the same process, by
its own clock. What a row counts for is bounded three ways: by its age, by what one dispatcher can do at all,
and by what the others do.
"""

from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from operator import add
from zlib import crc32

import numpy as np

from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import CounterSnapshot

SECOND = 10_000  # in tenths of a millisecond
MAX_OVER_MEDIAN = 100.0  # bound of one process's rate over the median: fifty times is known to happen
MIN_REPORTERS = 3  # under which there is no median to hold one against
TRANSMISSIONS = 3  # of a row by each that holds it: one in twenty misses it, and gets the next
SAMPLES = 8  # kept of each process
CANDIDATES = 40  # rows of others weighed for one datagram


@dataclass(frozen=True)
class CounterSettings:
    """When rows are sent and what they are worth. Spans are whole tenths of a millisecond."""

    send_interval: int = SECOND // 2
    refresh_interval: int = SECOND  # between two rows of one's own
    full_weight_age: int = 3 * SECOND  # a row counts whole until it is so old
    expiry_age: int = 10 * SECOND  # and nothing from then on
    rate_window: int = 2 * SECOND  # rates are taken over at least so long, by the reporter's clock
    max_rate: float = 100_000.0  # of any column a second: what one dispatcher can do at all
    max_datagrams: int = 10  # at one sending


@dataclass(eq=False)
class Reporter:
    """One process, as far as its rows are known."""

    process_id: tuple[str, int, int]
    snapshot: CounterSnapshot
    valid_at: int  # on our clock: when the newest row was true, at the latest
    transmissions: int = 0  # of the newest row, by us
    samples: deque[tuple[int, tuple[int, ...]]] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    rates: np.ndarray | None = None  # for each column, a second of its own clock; None while there is one row

    def update_rates(self, rate_window: int) -> None:
        """The rates anew, from the newest row and one a window before it."""
        newest_at, newest = self.samples[-1]
        then = next((s for s in reversed(self.samples) if newest_at - s[0] >= rate_window), self.samples[0])
        lasts = newest_at - then[0]
        if lasts > 0:
            self.rates = (np.array(newest, float) - np.array(then[1], float)) * (SECOND / lasts)


@dataclass(frozen=True)
class FleetStatistics:
    """What the fleet does, a second, and the counters themselves added up. `counted` of `size` are in them,
    the others are too old or unheard of; `age` is that of the oldest counted, in tenths of a millisecond."""

    rates: Mapping[str, float]
    totals: Mapping[str, int]
    counted: int
    size: int
    age: int


class GossipCounters:
    """`columns`: names of the counters, the same and in the same order at every dispatcher of a layout."""

    def __init__(
        self, columns: Sequence[str], process_id: tuple[str, int, int], settings: CounterSettings, now: int
    ) -> None:
        self.columns, self.settings = {name: i for i, name in enumerate(columns)}, settings
        self.layout = crc32("\n".join(columns).encode())
        self.process_id, self.counts = process_id, [0] * len(columns)
        self.seq, self.made_at = 0, now
        self.reporters: dict[str, Reporter] = {}  # others, and oneself
        self.rejected = 0
        self.refresh_own(now)

    def add(self, column: str, amount: int = 1) -> None:
        """Count something of one's own; amounts are never negative."""
        self.counts[self.columns[column]] += max(0, amount)

    # one's own rows, and others' to pass on

    def refresh_own(self, now: int) -> None:
        """A new row of one's own."""
        self.seq, self.made_at = self.seq + 1, now
        snapshot = CounterSnapshot(*self.process_id, self.seq, now, 0, tuple(self.counts))
        own = self.reporters.setdefault(self.process_id[0], Reporter(self.process_id, snapshot, now))
        self.append(own, snapshot, now)

    def snapshots_to_send(self, now: int, room: int) -> list[CounterSnapshot]:
        """One's own row and those of others that were passed on least, as many as fit into `room` bytes."""
        if now - self.made_at >= self.settings.refresh_interval:
            self.refresh_own(now)
        others = [
            reporter
            for name, reporter in self.reporters.items()
            if name != self.process_id[0]
            and reporter.transmissions < TRANSMISSIONS
            and now - reporter.valid_at < self.settings.expiry_age
        ]
        chosen = [self.reporters[self.process_id[0]], *nsmallest(CANDIDATES, others, key=self.send_order)]
        snapshots = list[CounterSnapshot]()
        for reporter in chosen:
            snapshot = wire.with_age(reporter.snapshot, max(0, now - reporter.valid_at))
            room -= wire.encoded_size(snapshot)
            if room < 0:
                break
            snapshots.append(snapshot)
            reporter.transmissions += 1
        return snapshots

    @staticmethod
    def send_order(reporter: Reporter) -> tuple[int, int]:
        """Least passed on first, then the youngest."""
        return reporter.transmissions, -reporter.valid_at

    def datagrams_per_round(self, size: int, row_bytes: int) -> int:
        """How many to send at one time, so that all rows get round within two refreshes of a fleet of that
        size, and no more than the bound: beyond it figures are older, not dearer."""
        fit = max(1, (wire.MAX_DATAGRAM_BYTES - wire.ENVELOPE_BYTES) // max(1, row_bytes))
        wanted = (
            size * TRANSMISSIONS * self.settings.send_interval / (fit * 2 * self.settings.refresh_interval)
        )
        return int(max(1, min(self.settings.max_datagrams, wanted)))

    def on_snapshots(self, layout: int, snapshots: Collection[CounterSnapshot], now: int) -> None:
        """Rows came, the sender's own and others that it passes on."""
        if layout != self.layout:
            self.rejected += 1
            return
        for snapshot in snapshots:
            if snapshot.name != self.process_id[0]:
                self.accept(snapshot, now)

    def accept(self, snapshot: CounterSnapshot, now: int) -> None:
        """Take a row up if it is newer than what is held of its process."""
        process_id = (snapshot.name, snapshot.boot, snapshot.nonce)
        reporter = self.reporters.get(snapshot.name)
        if len(snapshot.counts) != len(self.columns) or (reporter and process_id < reporter.process_id):
            return
        if reporter is None or process_id > reporter.process_id:  # a restart counts from nothing again
            reporter = self.reporters[snapshot.name] = Reporter(process_id, snapshot, now - snapshot.age)
            reporter.samples.append((snapshot.at, snapshot.counts))
            return
        if snapshot.seq == reporter.snapshot.seq:
            reporter.valid_at = max(reporter.valid_at, min(now, now - snapshot.age))  # by a shorter way
            return
        if snapshot.seq < reporter.snapshot.seq:
            return  # late
        shrunk = any(b < a for a, b in zip(reporter.snapshot.counts, snapshot.counts, strict=True))
        if (
            shrunk or snapshot.at <= reporter.snapshot.at
        ):  # guards against one that tells nonsense; it counts nothing
            self.rejected += 1
            return
        self.append(reporter, snapshot, now)

    def append(self, reporter: Reporter, snapshot: CounterSnapshot, now: int) -> None:
        """A newer row of the same process."""
        reporter.snapshot, reporter.valid_at, reporter.transmissions = snapshot, now - snapshot.age, 0
        samples = reporter.samples
        if len(samples) > 1 and samples[-1][0] - samples[-2][0] < self.settings.rate_window // (SAMPLES - 3):
            samples.pop()  # so that the kept ones span the window however often it tells
        samples.append((snapshot.at, snapshot.counts))
        reporter.update_rates(self.settings.rate_window)

    def forget(self, name: str) -> None:
        """That process is known no more."""
        self.reporters.pop(name, None)

    # what follows

    def weight(self, reporter: Reporter, now: int) -> float:
        """Whole while fresh, then less, and nothing once old."""
        full_weight_age, old, age = (
            self.settings.full_weight_age,
            self.settings.expiry_age,
            now - reporter.valid_at,
        )
        return min(1.0, max(0.0, (old - age) / (old - full_weight_age)))

    def statistics(self, now: int, present: Callable[[str], bool], size: int) -> FleetStatistics:
        """Of oneself and all that are `present`, each within its bounds; one's own figures as they are."""
        own, age, totals = self.own_rates(), 0, list(self.counts)
        weights, parts = list[float](), [own]
        for name, reporter in self.reporters.items():
            if name == self.process_id[0] or reporter.rates is None or not present(name):
                continue
            if (weight := self.weight(reporter, now)) > 0:
                weights.append(weight)
                parts.append(reporter.rates)
                totals = list(map(add, totals, reporter.snapshot.counts))
                age = max(age, now - reporter.valid_at)
        rates = own
        if weights:
            said = np.array(parts)
            cap = np.full(len(own), float(self.settings.max_rate))
            if len(parts) >= MIN_REPORTERS:
                cap = np.minimum(cap, MAX_OVER_MEDIAN * np.maximum(1.0, np.median(said, axis=0)))
            rates = own + np.array(weights) @ np.minimum(said[1:], cap)
        return self.named(rates, totals, 1 + len(weights), size, age)

    def own_statistics(self) -> FleetStatistics:
        """Of oneself only."""
        return self.named(self.own_rates(), self.counts, 1, 1, 0)

    def own_rates(self) -> np.ndarray:
        """Of oneself; 0 while there is one row."""
        rates = self.reporters[self.process_id[0]].rates
        return np.zeros(len(self.columns)) if rates is None else rates

    def named(
        self, rates: np.ndarray, totals: Sequence[int], counted: int, size: int, age: int
    ) -> FleetStatistics:
        """Figures by the names of columns."""
        by_name = dict(zip(self.columns, rates.tolist(), strict=True))
        return FleetStatistics(by_name, dict(zip(self.columns, totals, strict=True)), counted, size, age)
