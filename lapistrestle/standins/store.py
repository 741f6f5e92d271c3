"""The package store from which all runners fetch: slows down under load, rejects fetches, and fails if
overloaded."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass
class StoreSpec:
    """Capacity of the store."""

    fetches: float = 12.0  # concurrent fetches at full speed; more share the capacity
    limit: int = 60  # concurrent fetches at most; further ones are rejected
    tips_at: float = 3.0  # more than this multiple of `fetches` for `tips_after` makes the store fail
    tips_after: float = 3.0  # seconds
    stops_for: float = 4.0  # seconds for which a failed store rejects everything


@dataclass(eq=False)
class Fetch:
    """A fetch in progress."""

    done: Callable[[bool], None]
    counted: bool = False
    cancelled: bool = False


class PackageStore:
    def __init__(self, reactor: Any, facts: StoreSpec) -> None:
        self.reactor, self.facts = reactor, facts
        self.active, self.crowded_since, self.stopped_until = 0, -1.0, -1.0
        self.factor = 1.0  # fault: times slower
        self.fetched = self.turned_away = 0

    def fetch(self, seconds: float, done: Callable[[bool], None]) -> Fetch:
        now, facts = self.reactor.seconds(), self.facts
        fetch = Fetch(done)
        if now < self.stopped_until or self.active >= facts.limit:
            self.turned_away += 1
            self.reactor.callLater(0.005, self.end, fetch, False)
            return fetch
        self.active += 1
        self.fetched += 1
        fetch.counted = True
        if self.active <= facts.tips_at * facts.fetches:
            self.crowded_since = -1.0
        elif self.crowded_since < 0:
            self.crowded_since = now
        elif now - self.crowded_since > facts.tips_after:
            self.stopped_until, self.crowded_since = now + facts.stops_for, -1.0
        duration = seconds * self.factor * max(1.0, self.active / facts.fetches)
        self.reactor.callLater(duration, self.end, fetch)
        return fetch

    def end(self, fetch: Fetch, ok: bool = True) -> None:
        self.active -= fetch.counted
        fetch.counted = False
        if not fetch.cancelled:
            fetch.done(ok and self.reactor.seconds() >= self.stopped_until)

    def cancel(self, fetch: Fetch) -> None:
        """Cancels a fetch: its capacity is free at once, and `done` is not called."""
        self.active -= fetch.counted
        fetch.counted, fetch.cancelled = False, True
