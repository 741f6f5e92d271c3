"""The package store all runners fetch from: slows when crowded, turns fetches away, stops when overrun."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass
class StoreFacts:
    fetches: float = 12.0  # at once at full speed
    limit: int = 60  # at once at most; further ones are turned away
    tips_at: float = 3.0  # times `fetches`, for `tips_after`: then it stops for `stops_for`
    tips_after: float = 3.0  # seconds
    stops_for: float = 4.0


class Store:
    def __init__(self, reactor: Any, facts: StoreFacts) -> None:
        self.reactor, self.facts = reactor, facts
        self.active, self.crowded_since, self.stopped_until = 0, -1.0, -1.0
        self.factor = 1.0  # a trouble: times slower
        self.fetched = self.turned_away = 0

    def fetch(self, seconds: float, done: Callable[[bool], None]) -> None:
        now, facts = self.reactor.seconds(), self.facts
        if now < self.stopped_until or self.active >= facts.limit:
            self.turned_away += 1
            self.reactor.callLater(0.005, done, False)
            return
        self.active += 1
        self.fetched += 1
        if self.active <= facts.tips_at * facts.fetches:
            self.crowded_since = -1.0
        elif self.crowded_since < 0:
            self.crowded_since = now
        elif now - self.crowded_since > facts.tips_after:
            self.stopped_until, self.crowded_since = now + facts.stops_for, -1.0
        took = seconds * self.factor * max(1.0, self.active / facts.fetches)
        self.reactor.callLater(took, self.end, done)

    def end(self, done: Callable[[bool], None]) -> None:
        self.active -= 1
        done(self.reactor.seconds() >= self.stopped_until)
