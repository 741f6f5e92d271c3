"""Which few dispatchers probe and try a worker for all, and whose verdict the others take."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from lapistrestle.wire.fleet import WorkerVerdict

SECOND = 10_000
PROBERS_PER_WORKER = 2  # of each worker: one may stand still without being missed yet
PROBE_EVERY = SECOND  # by one prober: a worker gets PROBERS probes in it, twice that in a partition
STALE = 5 * SECOND  # a verdict older than this says nothing
TRANSMISSIONS = 4  # of a verdict that is news, by each that holds it


def weight(worker: str, member: str) -> bytes:
    """Rendezvous weight of a member for a worker; the greatest win."""
    return blake2b(f"{worker}\0{member}".encode(), digest_size=8).digest()


def select_probers(worker: str, members: Iterable[str]) -> list[str]:
    """By rendezvous hashing: when one comes or goes, only the workers that it probes change hands."""
    return sorted(members, key=lambda member: weight(worker, member), reverse=True)[:PROBERS_PER_WORKER]


@dataclass(frozen=True)
class Finding:
    """A verdict as it is held: when it was true, by our clock."""

    healthy: bool
    at: int
    prober: str


class WorkerVerdicts:
    """What was found of workers, by whoever found it last. Those of others are hints: they lower what one
    does alone, and never replace what one has seen oneself."""

    def __init__(self, me: str) -> None:
        self.me, self.findings = me, dict[str, Finding]()
        self.probed_at: dict[str, int] = {}  # by us
        self.transmissions: dict[str, int] = {}  # of the finding that is held, by us

    def should_probe(self, worker: str, live: Iterable[str], now: int) -> bool:
        """Whether we are to probe it now."""
        due = now - self.probed_at.get(worker, -PROBE_EVERY) >= PROBE_EVERY
        if not due or self.me not in select_probers(worker, {*live, self.me}):
            return False
        self.probed_at[worker] = now
        return True

    def record(self, worker: str, healthy: bool, now: int) -> None:
        """Our own finding."""
        before = self.findings.get(worker)
        self.findings[worker] = Finding(healthy, now, self.me)
        if before is None or before.healthy != healthy:
            self.transmissions.pop(worker, None)  # news

    def on_verdicts(self, verdicts: Iterable[WorkerVerdict], now: int) -> None:
        """The newest holds. One of our own that comes back is no news."""
        for verdict in verdicts:
            at, held = now - verdict.age, self.findings.get(verdict.worker)
            if verdict.prober != self.me and now - at < STALE and (held is None or at > held.at):
                self.findings[verdict.worker] = Finding(verdict.healthy, at, verdict.prober)
                self.transmissions.pop(verdict.worker, None)

    def is_unhealthy(self, worker: str, now: int) -> bool:
        """Whether the last word on it, if young enough, is that it serves nobody."""
        found = self.findings.get(worker)
        return found is not None and not found.healthy and now - found.at < STALE

    def to_send(self, now: int, most: int, times: int = TRANSMISSIONS) -> tuple[WorkerVerdict, ...]:
        """What is news, a few times each."""
        chosen = list[WorkerVerdict]()
        for worker, found in self.findings.items():
            if len(chosen) < most and now - found.at < STALE and self.transmissions.get(worker, 0) < times:
                self.transmissions[worker] = self.transmissions.get(worker, 0) + 1
                chosen.append(WorkerVerdict(worker, found.healthy, max(0, now - found.at), found.prober))
        return tuple(chosen)

    def retain(self, workers: Iterable[str]) -> None:
        """Only these are still on the list."""
        names = set(workers)
        self.findings = {w: found for w, found in self.findings.items() if w in names}
        self.probed_at = {w: at for w, at in self.probed_at.items() if w in names}
        self.transmissions = {w: times for w, times in self.transmissions.items() if w in names}
