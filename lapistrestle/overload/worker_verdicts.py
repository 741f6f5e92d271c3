"""Which few members probe a suspect worker for all, and whose verdict the others take."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from lapistrestle.ticks import SECOND
from lapistrestle.wire.fleet import WorkerVerdict

PROBERS_PER_WORKER = 2  # one may stand still without being missed yet
PROBE_INTERVAL = SECOND  # of one prober: a worker gets PROBERS_PER_WORKER in it, twice that in a partition
EXPIRY_AGE = 5 * SECOND  # from which on a verdict says nothing
TRANSMISSIONS = 4  # of a new verdict, by each that holds it


def rendezvous_weight(worker: str, member: str) -> bytes:
    """Weight of a member for a worker, after Thaler, Ravishankar (1998); the greatest win."""
    return blake2b(f"{worker}\0{member}".encode(), digest_size=8).digest()


def select_probers(worker: str, members: Iterable[str]) -> list[str]:
    """The members that probe a worker, by rendezvous hashing.

    When a member comes or goes, only the workers that it probes change hands.
    """
    ranked = sorted(members, key=lambda member: rendezvous_weight(worker, member), reverse=True)
    return ranked[:PROBERS_PER_WORKER]


@dataclass(frozen=True)
class HeldVerdict:
    """A verdict as it is held: `at` is when it was found, by our clock."""

    healthy: bool
    at: int
    prober: str


class WorkerVerdicts:
    """The newest verdict on each worker, whoever found it.

    Those of others are hints: they lower what one does alone, and never replace what one has seen oneself.
    """

    def __init__(self, me: str) -> None:
        self.me = me
        self.by_worker: dict[str, HeldVerdict] = {}
        self.probed_at: dict[str, int] = {}  # by us
        self.transmissions: dict[str, int] = {}  # of the verdict held, by us

    def should_probe(self, worker: str, live: Iterable[str], now: int) -> bool:
        """Whether we are to probe it now; if so that is recorded."""
        due = now - self.probed_at.get(worker, -PROBE_INTERVAL) >= PROBE_INTERVAL
        if not due or self.me not in select_probers(worker, {*live, self.me}):
            return False
        self.probed_at[worker] = now
        return True

    def record(self, worker: str, healthy: bool, now: int) -> None:
        """Record our own verdict; one that differs from the last is sent anew."""
        before = self.by_worker.get(worker)
        self.by_worker[worker] = HeldVerdict(healthy, now, self.me)
        if before is None or before.healthy != healthy:
            self.transmissions.pop(worker, None)

    def on_verdicts(self, verdicts: Iterable[WorkerVerdict], now: int) -> None:
        """Verdicts of others arrived: the newest holds; one of our own that comes back does not count."""
        for verdict in verdicts:
            at = now - verdict.age
            held = self.by_worker.get(verdict.worker)
            is_newer = held is None or at > held.at
            if verdict.prober != self.me and now - at < EXPIRY_AGE and is_newer:
                self.by_worker[verdict.worker] = HeldVerdict(verdict.healthy, at, verdict.prober)
                self.transmissions.pop(verdict.worker, None)

    def is_unhealthy(self, worker: str, now: int) -> bool:
        """Whether the newest verdict, if it is young enough, is that the worker serves nobody."""
        held = self.by_worker.get(worker)
        return held is not None and not held.healthy and now - held.at < EXPIRY_AGE

    def to_send(self, now: int, limit: int, times: int = TRANSMISSIONS) -> tuple[WorkerVerdict, ...]:
        """Verdicts that were sent less than so many times, up to the limit."""
        chosen = list[WorkerVerdict]()
        for worker, held in self.by_worker.items():
            sent = self.transmissions.get(worker, 0)
            age = now - held.at
            if len(chosen) < limit and age < EXPIRY_AGE and sent < times:
                self.transmissions[worker] = sent + 1
                chosen.append(WorkerVerdict(worker, held.healthy, max(0, age), held.prober))
        return tuple(chosen)

    def retain(self, workers: Iterable[str]) -> None:
        """Drop what is known of all other workers, which are no longer listed."""
        names = set(workers)
        self.by_worker = {worker: held for worker, held in self.by_worker.items() if worker in names}
        self.probed_at = {worker: at for worker, at in self.probed_at.items() if worker in names}
        self.transmissions = {worker: sent for worker, sent in self.transmissions.items() if worker in names}
