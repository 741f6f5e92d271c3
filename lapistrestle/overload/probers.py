"""Which few dispatchers probe and try a worker for all, and whose verdict the others take."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from lapistrestle.wire.fleet import Verdict

SECOND = 10_000
PROBERS = 2  # of each worker: one may stand still without being missed yet
EVERY = SECOND  # between two probes of one prober: a worker gets PROBERS in it, twice that in a partition
STALE = 5 * SECOND  # a verdict older than this says nothing


def mark(worker: str, member: str) -> bytes:
    return blake2b(f"{worker}\0{member}".encode(), digest_size=8).digest()


def probers(worker: str, members: Iterable[str]) -> list[str]:
    """By rendezvous hashing: when one comes or goes, only the workers that it probes change hands."""
    return sorted(members, key=lambda member: mark(worker, member), reverse=True)[:PROBERS]


@dataclass(frozen=True)
class Found:
    """A verdict as it is held: when it was true, by our clock."""

    fit: bool
    at: int
    by: str


class Verdicts:
    """What was found of workers, by whoever found it last. Told ones are hints: they lower what one does
    alone, and never replace what one has seen oneself."""

    def __init__(self, me: str) -> None:
        self.me, self.found = me, dict[str, Found]()
        self.asked: dict[str, int] = {}  # when each worker was last probed by us
        self.told: dict[str, int] = {}

    def mine(self, worker: str, here: Iterable[str], now: int) -> bool:
        """Whether we are to probe it now."""
        due = now - self.asked.get(worker, -EVERY) >= EVERY
        if not due or self.me not in probers(worker, {*here, self.me}):
            return False
        self.asked[worker] = now
        return True

    def seen(self, worker: str, fit: bool, now: int) -> None:
        """Our own finding."""
        before = self.found.get(worker)
        self.found[worker] = Found(fit, now, self.me)
        if before is None or before.fit != fit:
            self.told.pop(worker, None)  # news

    def heard(self, verdicts: Iterable[Verdict], now: int) -> None:
        """The newest holds. One of our own that comes back is no news."""
        for verdict in verdicts:
            at, held = now - verdict.age, self.found.get(verdict.worker)
            if verdict.by != self.me and now - at < STALE and (held is None or at > held.at):
                self.found[verdict.worker] = Found(verdict.fit, at, verdict.by)
                self.told.pop(verdict.worker, None)

    def unfit(self, worker: str, now: int) -> bool:
        """Whether the last word on it, if young enough, is that it serves nobody."""
        found = self.found.get(worker)
        return found is not None and not found.fit and now - found.at < STALE

    def to_send(self, now: int, most: int, times: int = 4) -> tuple[Verdict, ...]:
        """What is news, a few times each."""
        told = list[Verdict]()
        for worker, found in self.found.items():
            if len(told) < most and now - found.at < STALE and self.told.get(worker, 0) < times:
                self.told[worker] = self.told.get(worker, 0) + 1
                told.append(Verdict(worker, found.fit, max(0, now - found.at), found.by))
        return tuple(told)

    def keep(self, workers: Iterable[str]) -> None:
        """Only these are still on the list."""
        names = set(workers)
        self.found = {w: found for w, found in self.found.items() if w in names}
        self.asked = {w: at for w, at in self.asked.items() if w in names}
        self.told = {w: times for w, times in self.told.items() if w in names}
