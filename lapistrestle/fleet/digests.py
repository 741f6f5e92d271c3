"""What dispatchers tell one another: counters that only grow, kept by process, free of I/O (docs/fleet.md).

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
from typing import Any
from zlib import crc32

import numpy as np

from lapistrestle.wire import fleet as wire
from lapistrestle.wire.fleet import Row

SECOND = 10_000  # in tenths of a millisecond
DEFAULTS: Mapping[str, Any] = {
    "tell": SECOND // 2,  # between two tellings
    "refresh": SECOND,  # between two rows of one's own
    "fresh": 3 * SECOND,  # a row counts whole until it is so old
    "old": 10 * SECOND,  # and nothing from then on
    "window": 2 * SECOND,  # rates are taken over at least so long, by the teller's clock
    "most": 100_000.0,  # of any column a second: what one dispatcher can do at all
    "datagrams": 10,  # sent at one telling at the most
}
PART = 100.0  # one process counts for no more than so many times the median: fifty times is known to happen
FEW = 3  # tellers under which there is no median to hold one against
TOLD = 3  # how often a row is passed on by each that holds it: one in twenty misses it, and gets the next
ROOM = 8  # samples kept of each process


@dataclass(eq=False)
class Teller:
    """One process, as far as its rows are known."""

    life: tuple[str, int, int]
    row: Row
    true_at: int  # on our clock: when the newest row was true, at the latest
    told: int = 0
    samples: deque[tuple[int, tuple[int, ...]]] = field(default_factory=lambda: deque(maxlen=ROOM))
    rates: np.ndarray | None = None  # for each column, a second of its own clock; None while there is one row

    def reckon(self, window: int) -> None:
        """The rates anew, from the newest row and one a window before it."""
        newest_at, newest = self.samples[-1]
        then = next((s for s in reversed(self.samples) if newest_at - s[0] >= window), self.samples[0])
        lasts = newest_at - then[0]
        if lasts > 0:
            self.rates = (np.array(newest, float) - np.array(then[1], float)) * (SECOND / lasts)


@dataclass(frozen=True)
class Figures:
    """What the fleet does, a second, and the counters themselves added up. `told` of `size` are counted, the
    others are too old or unheard of; `age` is that of the oldest counted, in tenths of a millisecond."""

    rates: Mapping[str, float]
    totals: Mapping[str, int]
    told: int
    size: int
    age: int


class Digests:
    """`columns`: names of the counters, the same and in the same order at every dispatcher of a layout."""

    def __init__(
        self, columns: Sequence[str], life: tuple[str, int, int], facts: Mapping[str, Any], now: int
    ) -> None:
        self.columns, self.facts = {name: i for i, name in enumerate(columns)}, {**DEFAULTS, **facts}
        self.layout = crc32("\n".join(columns).encode())
        self.life, self.counts = life, [0] * len(columns)
        self.seq, self.made_at = 0, now
        self.tellers: dict[str, Teller] = {}  # others, and oneself
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
        own = self.tellers.setdefault(self.life[0], Teller(self.life, row, now))
        self.newer(own, row, now)

    def to_tell(self, now: int, room: int) -> list[Row]:
        """One's own row and those of others that were passed on least, as many as fit into `room` bytes."""
        if now - self.made_at >= self.facts["refresh"]:
            self.renew(now)
        others = [t for n, t in self.tellers.items() if n != self.life[0] and t.told < TOLD
                  and now - t.true_at < self.facts["old"]]  # fmt: skip
        chosen, rows = [self.tellers[self.life[0]], *nsmallest(40, others, key=self.turn)], list[Row]()
        for teller in chosen:
            row = wire.aged(teller.row, max(0, now - teller.true_at))
            room -= wire.size(row)
            if room < 0:
                break
            rows.append(row)
            teller.told += 1
        return rows

    @staticmethod
    def turn(teller: Teller) -> tuple[int, int]:
        return teller.told, -teller.true_at

    def datagrams(self, size: int, row_bytes: int) -> int:
        """How many to send at one telling, so that all rows get round within two refreshes of a fleet of that
        size, and no more than the bound: beyond it figures are older, not dearer."""
        fit = max(1, (wire.MOST - wire.HEAD) // max(1, row_bytes))
        wanted = size * TOLD * self.facts["tell"] / (fit * 2 * self.facts["refresh"])
        return int(max(1, min(self.facts["datagrams"], wanted)))

    def heard(self, layout: int, rows: Collection[Row], now: int) -> None:
        """Rows came, the sender's own and others that it passes on."""
        if layout != self.layout:
            self.refused += 1
            return
        for row in rows:
            if row.name != self.life[0]:
                self.take(row, now)

    def take(self, row: Row, now: int) -> None:
        life = (row.name, row.boot, row.nonce)
        teller = self.tellers.get(row.name)
        if len(row.counts) != len(self.columns) or (teller and life < teller.life):
            return
        if teller is None or life > teller.life:  # a restart counts from nothing again
            teller = self.tellers[row.name] = Teller(life, row, now - row.age)
            teller.samples.append((row.at, row.counts))
            return
        if row.seq == teller.row.seq:
            teller.true_at = max(teller.true_at, min(now, now - row.age))  # by a shorter way
            return
        if row.seq < teller.row.seq:
            return  # late
        shrunk = any(b < a for a, b in zip(teller.row.counts, row.counts, strict=True))
        if shrunk or row.at <= teller.row.at:  # guards against one that tells nonsense; it counts nothing
            self.refused += 1
            return
        self.newer(teller, row, now)

    def newer(self, teller: Teller, row: Row, now: int) -> None:
        teller.row, teller.true_at, teller.told = row, now - row.age, 0
        samples = teller.samples
        if len(samples) > 1 and samples[-1][0] - samples[-2][0] < self.facts["window"] // (ROOM - 3):
            samples.pop()  # so that the kept ones span the window however often it tells
        samples.append((row.at, row.counts))
        teller.reckon(self.facts["window"])

    def forget(self, name: str) -> None:
        self.tellers.pop(name, None)

    # what follows

    def weight(self, teller: Teller, now: int) -> float:
        """Whole while fresh, then less, and nothing once old."""
        fresh, old, age = self.facts["fresh"], self.facts["old"], now - teller.true_at
        return min(1.0, max(0.0, (old - age) / (old - fresh)))

    def figures(self, now: int, present: Callable[[str], bool], size: int) -> Figures:
        """Of oneself and all that are `present`, each within its bounds; one's own figures as they are."""
        own, age, totals = self.own(), 0, list(self.counts)
        weights, parts = list[float](), [own]
        for name, teller in self.tellers.items():
            if name == self.life[0] or teller.rates is None or not present(name):
                continue
            if (weight := self.weight(teller, now)) > 0:
                weights.append(weight)
                parts.append(teller.rates)
                totals = list(map(add, totals, teller.row.counts))
                age = max(age, now - teller.true_at)
        rates = own
        if weights:
            said = np.array(parts)
            cap = np.full(len(own), float(self.facts["most"]))
            if len(parts) >= FEW:
                cap = np.minimum(cap, PART * np.maximum(1.0, np.median(said, axis=0)))
            rates = own + np.array(weights) @ np.minimum(said[1:], cap)
        return self.shown(rates, totals, 1 + len(weights), size, age)

    def alone(self) -> Figures:
        """Of oneself only."""
        return self.shown(self.own(), self.counts, 1, 1, 0)

    def own(self) -> np.ndarray:
        rates = self.tellers[self.life[0]].rates
        return np.zeros(len(self.columns)) if rates is None else rates

    def shown(self, rates: np.ndarray, totals: Sequence[int], told: int, size: int, age: int) -> Figures:
        named = dict(zip(self.columns, rates.tolist(), strict=True))
        return Figures(named, dict(zip(self.columns, totals, strict=True)), told, size, age)
