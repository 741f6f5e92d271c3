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
from lapistrestle.wire.fleet import Row

SECOND = 10_000  # in tenths of a millisecond
MAX_OVER_MEDIAN = 100.0  # bound of one process's rate over the median: fifty times is known to happen
MIN_REPORTERS = 3  # under which there is no median to hold one against
TRANSMISSIONS = 3  # of a row by each that holds it: one in twenty misses it, and gets the next
SAMPLES = 8  # kept of each process
CANDIDATES = 40  # rows of others weighed for one datagram


@dataclass(frozen=True)
class DigestSettings:
    """When rows are sent and what they are worth. Spans are whole tenths of a millisecond."""

    send_every: int = SECOND // 2
    refresh: int = SECOND  # between two rows of one's own
    fresh: int = 3 * SECOND  # a row counts whole until it is so old
    expires: int = 10 * SECOND  # and nothing from then on
    window: int = 2 * SECOND  # rates are taken over at least so long, by the reporter's clock
    max_rate: float = 100_000.0  # of any column a second: what one dispatcher can do at all
    max_datagrams: int = 10  # at one sending


@dataclass(eq=False)
class Reporter:
    """One process, as far as its rows are known."""

    life: tuple[str, int, int]
    row: Row
    true_at: int  # on our clock: when the newest row was true, at the latest
    transmissions: int = 0  # of the newest row, by us
    samples: deque[tuple[int, tuple[int, ...]]] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    rates: np.ndarray | None = None  # for each column, a second of its own clock; None while there is one row

    def update_rates(self, window: int) -> None:
        """The rates anew, from the newest row and one a window before it."""
        newest_at, newest = self.samples[-1]
        then = next((s for s in reversed(self.samples) if newest_at - s[0] >= window), self.samples[0])
        lasts = newest_at - then[0]
        if lasts > 0:
            self.rates = (np.array(newest, float) - np.array(then[1], float)) * (SECOND / lasts)


@dataclass(frozen=True)
class Figures:
    """What the fleet does, a second, and the counters themselves added up. `counted` of `size` are in them,
    the others are too old or unheard of; `age` is that of the oldest counted, in tenths of a millisecond."""

    rates: Mapping[str, float]
    totals: Mapping[str, int]
    counted: int
    size: int
    age: int


class Digests:
    """`columns`: names of the counters, the same and in the same order at every dispatcher of a layout."""

    def __init__(
        self, columns: Sequence[str], life: tuple[str, int, int], settings: DigestSettings, now: int
    ) -> None:
        self.columns, self.settings = {name: i for i, name in enumerate(columns)}, settings
        self.layout = crc32("\n".join(columns).encode())
        self.life, self.counts = life, [0] * len(columns)
        self.seq, self.made_at = 0, now
        self.reporters: dict[str, Reporter] = {}  # others, and oneself
        self.refused = 0
        self.renew(now)

    def add(self, column: str, amount: int = 1) -> None:
        """Count something of one's own; amounts are never negative."""
        self.counts[self.columns[column]] += max(0, amount)

    # one's own rows, and others' to pass on

    def renew(self, now: int) -> None:
        """A new row of one's own."""
        self.seq, self.made_at = self.seq + 1, now
        row = Row(*self.life, self.seq, now, 0, tuple(self.counts))
        own = self.reporters.setdefault(self.life[0], Reporter(self.life, row, now))
        self.append(own, row, now)

    def rows_to_send(self, now: int, room: int) -> list[Row]:
        """One's own row and those of others that were passed on least, as many as fit into `room` bytes."""
        if now - self.made_at >= self.settings.refresh:
            self.renew(now)
        others = [
            reporter
            for name, reporter in self.reporters.items()
            if name != self.life[0]
            and reporter.transmissions < TRANSMISSIONS
            and now - reporter.true_at < self.settings.expires
        ]
        chosen = [self.reporters[self.life[0]], *nsmallest(CANDIDATES, others, key=self.send_order)]
        rows = list[Row]()
        for reporter in chosen:
            row = wire.aged(reporter.row, max(0, now - reporter.true_at))
            room -= wire.size(row)
            if room < 0:
                break
            rows.append(row)
            reporter.transmissions += 1
        return rows

    @staticmethod
    def send_order(reporter: Reporter) -> tuple[int, int]:
        """Least passed on first, then the youngest."""
        return reporter.transmissions, -reporter.true_at

    def datagrams(self, size: int, row_bytes: int) -> int:
        """How many to send at one time, so that all rows get round within two refreshes of a fleet of that
        size, and no more than the bound: beyond it figures are older, not dearer."""
        fit = max(1, (wire.MOST - wire.HEAD) // max(1, row_bytes))
        wanted = size * TRANSMISSIONS * self.settings.send_every / (fit * 2 * self.settings.refresh)
        return int(max(1, min(self.settings.max_datagrams, wanted)))

    def heard(self, layout: int, rows: Collection[Row], now: int) -> None:
        """Rows came, the sender's own and others that it passes on."""
        if layout != self.layout:
            self.refused += 1
            return
        for row in rows:
            if row.name != self.life[0]:
                self.accept(row, now)

    def accept(self, row: Row, now: int) -> None:
        """Take a row up if it is newer than what is held of its process."""
        life = (row.name, row.boot, row.nonce)
        reporter = self.reporters.get(row.name)
        if len(row.counts) != len(self.columns) or (reporter and life < reporter.life):
            return
        if reporter is None or life > reporter.life:  # a restart counts from nothing again
            reporter = self.reporters[row.name] = Reporter(life, row, now - row.age)
            reporter.samples.append((row.at, row.counts))
            return
        if row.seq == reporter.row.seq:
            reporter.true_at = max(reporter.true_at, min(now, now - row.age))  # by a shorter way
            return
        if row.seq < reporter.row.seq:
            return  # late
        shrunk = any(b < a for a, b in zip(reporter.row.counts, row.counts, strict=True))
        if shrunk or row.at <= reporter.row.at:  # guards against one that tells nonsense; it counts nothing
            self.refused += 1
            return
        self.append(reporter, row, now)

    def append(self, reporter: Reporter, row: Row, now: int) -> None:
        """A newer row of the same process."""
        reporter.row, reporter.true_at, reporter.transmissions = row, now - row.age, 0
        samples = reporter.samples
        if len(samples) > 1 and samples[-1][0] - samples[-2][0] < self.settings.window // (SAMPLES - 3):
            samples.pop()  # so that the kept ones span the window however often it tells
        samples.append((row.at, row.counts))
        reporter.update_rates(self.settings.window)

    def forget(self, name: str) -> None:
        """That process is known no more."""
        self.reporters.pop(name, None)

    # what follows

    def weight(self, reporter: Reporter, now: int) -> float:
        """Whole while fresh, then less, and nothing once old."""
        fresh, old, age = self.settings.fresh, self.settings.expires, now - reporter.true_at
        return min(1.0, max(0.0, (old - age) / (old - fresh)))

    def figures(self, now: int, present: Callable[[str], bool], size: int) -> Figures:
        """Of oneself and all that are `present`, each within its bounds; one's own figures as they are."""
        own, age, totals = self.own_rates(), 0, list(self.counts)
        weights, parts = list[float](), [own]
        for name, reporter in self.reporters.items():
            if name == self.life[0] or reporter.rates is None or not present(name):
                continue
            if (weight := self.weight(reporter, now)) > 0:
                weights.append(weight)
                parts.append(reporter.rates)
                totals = list(map(add, totals, reporter.row.counts))
                age = max(age, now - reporter.true_at)
        rates = own
        if weights:
            said = np.array(parts)
            cap = np.full(len(own), float(self.settings.max_rate))
            if len(parts) >= MIN_REPORTERS:
                cap = np.minimum(cap, MAX_OVER_MEDIAN * np.maximum(1.0, np.median(said, axis=0)))
            rates = own + np.array(weights) @ np.minimum(said[1:], cap)
        return self.named(rates, totals, 1 + len(weights), size, age)

    def own_figures(self) -> Figures:
        """Of oneself only."""
        return self.named(self.own_rates(), self.counts, 1, 1, 0)

    def own_rates(self) -> np.ndarray:
        """Of oneself; 0 while there is one row."""
        rates = self.reporters[self.life[0]].rates
        return np.zeros(len(self.columns)) if rates is None else rates

    def named(self, rates: np.ndarray, totals: Sequence[int], counted: int, size: int, age: int) -> Figures:
        """Figures by the names of columns."""
        by_name = dict(zip(self.columns, rates.tolist(), strict=True))
        return Figures(by_name, dict(zip(self.columns, totals, strict=True)), counted, size, age)
