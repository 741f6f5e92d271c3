"""The package store from which all runners fetch: slows down under load, rejects fetches, and fails if
overloaded."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

REJECTION_TIME = 0.005  # seconds until a rejected fetch fails


@dataclass
class StoreSpec:
    """Capacity of the store."""

    fetches: float = 12.0  # concurrent fetches at full speed; more share the capacity
    limit: int = 60  # concurrent fetches at most; further ones are rejected
    overload_multiple: float = 3.0  # more concurrent fetches than this multiple of `fetches`
    overload_time: float = 3.0  # for so many seconds make the store fail
    outage_time: float = 4.0  # seconds for which a failed store rejects everything


@dataclass(eq=False)
class Fetch:
    """A fetch in progress."""

    done: Callable[[bool], None]
    counted: bool = False
    cancelled: bool = False


class PackageStore:
    def __init__(self, reactor: Any, spec: StoreSpec) -> None:
        self.reactor, self.spec = reactor, spec
        self.active, self.crowded_since, self.stopped_until = 0, -1.0, -1.0
        self.factor = 1.0  # fault: times slower
        self.fetched = self.rejected = 0

    def fetch(self, seconds: float, done: Callable[[bool], None]) -> Fetch:
        now, spec = self.reactor.seconds(), self.spec
        fetch = Fetch(done)
        if now < self.stopped_until or self.active >= spec.limit:
            self.rejected += 1
            self.reactor.callLater(REJECTION_TIME, self.end, fetch, False)
            return fetch
        self.active += 1
        self.fetched += 1
        fetch.counted = True
        if self.active <= spec.overload_multiple * spec.fetches:
            self.crowded_since = -1.0
        elif self.crowded_since < 0:
            self.crowded_since = now
        elif now - self.crowded_since > spec.overload_time:
            self.stopped_until, self.crowded_since = now + spec.outage_time, -1.0
        duration = seconds * self.factor * max(1.0, self.active / spec.fetches)
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
