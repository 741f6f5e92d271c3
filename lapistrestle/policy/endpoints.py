"""The workers that the endpoint list names, and sums over those that serve.

Of a dispatcher that is told a part of them (`partial`) no order is made here, and a change costs what it
names, however many are known.
"""

from collections.abc import Sequence
from typing import Final

from lapistrestle.policy.entities import Worker
from lapistrestle.policy.estimates import SHORT_TIME_CONSTANT
from lapistrestle.policy.types import EndpointState, WorkerInfo
from lapistrestle.ticks import SECOND

# Ticks before an ejected worker is tried for the first time. Guards against a crowd at one that just failed;
# `health.py` doubles it while trials fail.
INITIAL_EJECTION_BACKOFF: Final = SECOND


class Endpoints:
    """All workers known, those that serve, and those that left."""

    def __init__(self, partial: bool) -> None:
        self.partial = partial
        self.known: dict[Worker, None] = {}
        self.serving: dict[Worker, None] = {}
        self.removed: dict[Worker, None] = {}  # removed from the list, and not forgotten yet
        self.ring: list[Worker] = []  # by position; empty if partial
        self.version = 0  # of the ring
        self.size = 0.0  # of those that serve

    @property
    def workers(self) -> list[Worker]:
        """All that are known, in the order in which they were first named."""
        return list(self.known)

    @property
    def count(self) -> int:
        """How many are known."""
        return len(self.known)

    def update(self, workers: Sequence[tuple[Worker, WorkerInfo]], snapshot: bool) -> None:
        """Take over what the endpoint list says; `snapshot`: it names all that there are."""
        if snapshot:
            self.remove_all()
        for worker, info in workers:
            self.remove_from_serving(worker)
            restarted = info.booted is not None and info.booted != worker.booted
            if restarted or worker not in self.known:
                worker.reset(SHORT_TIME_CONSTANT, INITIAL_EJECTION_BACKOFF, info.booted)
            worker.update(info)
            self.add(worker)
        if not self.partial:
            self.sort()

    def remove_all(self) -> None:
        """Mark every worker as removed, until the list names it again."""
        for worker in self.known:
            self.remove_from_serving(worker)
            worker.listing = EndpointState.REMOVED
            self.removed[worker] = None

    def remove_from_serving(self, worker: Worker) -> None:
        """Take the worker out of those that serve."""
        if worker in self.serving:
            del self.serving[worker]
            self.size -= worker.size

    def add(self, worker: Worker) -> None:
        """Put the worker where its state belongs."""
        self.known[worker] = None
        self.removed.pop(worker, None)
        if worker.listing is EndpointState.SERVING:
            self.serving[worker] = None
            self.size += worker.size
        elif worker.listing is EndpointState.REMOVED:
            self.removed[worker] = None

    def sort(self) -> None:
        """Renew the ring, and the sums in its order."""
        listed = (worker for worker in self.known if worker not in self.removed)
        ring = sorted(listed, key=lambda worker: (worker.ring_position, worker.name))
        if ring != self.ring:  # else the orders made from it still hold
            self.ring = ring
            self.version += 1
        self.serving = dict.fromkeys(worker for worker in ring if worker.listing is EndpointState.SERVING)
        self.size = sum(worker.size for worker in self.serving)

    def forget_removed(self) -> list[Worker]:
        """Forget the workers that left once nothing is under way there, and return them. Guards against a
        long life that grows; one that is back is learned anew.
        """
        gone = [worker for worker in self.removed if not worker.in_flight and not worker.has_pending_work]
        for worker in gone:
            del self.known[worker]
            del self.removed[worker]
            for function in list(worker.replicas):
                function.drop(worker)
        return gone
