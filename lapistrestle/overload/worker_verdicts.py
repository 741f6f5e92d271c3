"""Shared health checks: a few members probe a suspect worker, and the others use their verdicts."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from lapistrestle.ticks import SECOND
from lapistrestle.wire.fleet import WorkerVerdict

PROBERS_PER_WORKER = 2  # so that a stalled prober that is not detected yet does not stop the probes
PROBE_INTERVAL = SECOND  # of each prober; a worker gets PROBERS_PER_WORKER probes, twice that in a partition
EXPIRY_AGE = 5 * SECOND  # after which a verdict is ignored
TRANSMISSIONS = 4  # of a new verdict, by each member that has it


def rendezvous_weight(worker: str, member: str) -> bytes:
    """Return a member's weight for a worker in rendezvous hashing (Thaler, Ravishankar, 1998)."""
    return blake2b(f"{worker}\0{member}".encode(), digest_size=8).digest()


def select_probers(worker: str, members: Iterable[str]) -> list[str]:
    """Return the members that probe a worker, by rendezvous hashing.

    When a member joins or leaves, only the workers that it probes get other probers.
    """
    ranked = sorted(members, key=lambda member: rendezvous_weight(worker, member), reverse=True)
    return ranked[:PROBERS_PER_WORKER]


@dataclass(frozen=True)
class HeldVerdict:
    """A cached verdict; `at` is the time of the health check on this member's clock."""

    healthy: bool
    at: int
    prober: str


class WorkerVerdicts:
    """The newest verdict on each worker, by any member.

    Verdicts of others are hints: they can make this member more cautious, and never override its own
    observations.
    """

    def __init__(self, me: str) -> None:
        self.me = me
        self.by_worker: dict[str, HeldVerdict] = {}
        self.probed_at: dict[str, int] = {}  # by this member
        self.transmissions: dict[str, int] = {}  # of the cached verdict, by this member

    def should_probe(self, worker: str, live: Iterable[str], now: int) -> bool:
        """Whether this member should probe the worker now; if so the probe is recorded."""
        due = now - self.probed_at.get(worker, -PROBE_INTERVAL) >= PROBE_INTERVAL
        if not due or self.me not in select_probers(worker, {*live, self.me}):
            return False
        self.probed_at[worker] = now
        return True

    def record(self, worker: str, healthy: bool, now: int) -> None:
        """Record this member's verdict; a changed one is gossiped again."""
        before = self.by_worker.get(worker)
        self.by_worker[worker] = HeldVerdict(healthy, now, self.me)
        if before is None or before.healthy != healthy:
            self.transmissions.pop(worker, None)

    def on_verdicts(self, verdicts: Iterable[WorkerVerdict], now: int) -> None:
        """Handle received verdicts: the newest wins, and this member's own are ignored."""
        for verdict in verdicts:
            at = now - verdict.age
            held = self.by_worker.get(verdict.worker)
            is_newer = held is None or at > held.at
            if verdict.prober != self.me and now - at < EXPIRY_AGE and is_newer:
                self.by_worker[verdict.worker] = HeldVerdict(verdict.healthy, at, verdict.prober)
                self.transmissions.pop(verdict.worker, None)

    def is_unhealthy(self, worker: str, now: int) -> bool:
        """Whether the newest verdict has not expired and says that the worker is unhealthy."""
        held = self.by_worker.get(worker)
        return held is not None and not held.healthy and now - held.at < EXPIRY_AGE

    def to_send(self, now: int, limit: int, times: int = TRANSMISSIONS) -> tuple[WorkerVerdict, ...]:
        """Return up to `limit` verdicts that were sent fewer than `times` times, and count them as sent."""
        chosen = list[WorkerVerdict]()
        for worker, held in self.by_worker.items():
            sent = self.transmissions.get(worker, 0)
            age = now - held.at
            if len(chosen) < limit and age < EXPIRY_AGE and sent < times:
                self.transmissions[worker] = sent + 1
                chosen.append(WorkerVerdict(worker, held.healthy, max(0, age), held.prober))
        return tuple(chosen)

    def retain(self, workers: Iterable[str]) -> None:
        """Drop the state of all workers except these, which are the listed ones."""
        names = set(workers)
        self.by_worker = {worker: held for worker, held in self.by_worker.items() if worker in names}
        self.probed_at = {worker: at for worker, at in self.probed_at.items() if worker in names}
        self.transmissions = {worker: sent for worker, sent in self.transmissions.items() if worker in names}
