"""Workers of the endpoint list, and sums over those that serve.

A dispatcher that knows only some of the workers of its region (`partial`) builds no ring; the cost of a
change is then proportional to the workers in it, not to all that are known.
"""

from collections.abc import Sequence
from typing import Final

from lapistrestle.policy.entities import Worker
from lapistrestle.policy.estimates import SHORT_TIME_CONSTANT
from lapistrestle.policy.types import EndpointState, WorkerInfo
from lapistrestle.ticks import SECOND

# Ticks until the first trial of an ejected worker, so that dispatchers do not rush to one that just failed;
# `health.py` doubles it while trials fail.
INITIAL_EJECTION_BACKOFF: Final = SECOND


class Endpoints:
    """All known workers, those that serve, and those removed from the list."""

    def __init__(self, partial: bool) -> None:
        self.partial = partial
        self.known: dict[Worker, None] = {}
        self.serving: dict[Worker, None] = {}
        self.removed: dict[Worker, None] = {}  # removed from the list, but still with requests or preloads
        self.ring: list[Worker] = []  # by ring position; empty if partial
        self.version = 0  # of the ring
        self.size = 0.0  # total size of those that serve

    @property
    def workers(self) -> list[Worker]:
        """All known workers, in the order in which they were first listed."""
        return list(self.known)

    @property
    def count(self) -> int:
        """The number of known workers."""
        return len(self.known)

    def update(self, workers: Sequence[tuple[Worker, WorkerInfo]], snapshot: bool) -> None:
        """Apply changes of the endpoint list; with `snapshot`, `workers` is the complete list."""
        if snapshot:
            self.remove_all()
        for worker, info in workers:
            self.remove_from_serving(worker)
            restarted = info.booted_at is not None and info.booted_at != worker.booted_at
            if restarted or worker not in self.known:
                worker.reset(SHORT_TIME_CONSTANT, INITIAL_EJECTION_BACKOFF, info.booted_at)
            worker.update(info)
            self.add(worker)
        if not self.partial:
            self.sort()

    def remove_all(self) -> None:
        """Mark every worker as removed, until a later entry names it."""
        for worker in self.known:
            self.remove_from_serving(worker)
            worker.endpoint_state = EndpointState.REMOVED
            self.removed[worker] = None

    def remove_from_serving(self, worker: Worker) -> None:
        """Remove the worker from those that serve, if it is one of them."""
        if worker in self.serving:
            del self.serving[worker]
            self.size -= worker.size

    def add(self, worker: Worker) -> None:
        """Add the worker to the collections for its state."""
        self.known[worker] = None
        self.removed.pop(worker, None)
        if worker.endpoint_state is EndpointState.SERVING:
            self.serving[worker] = None
            self.size += worker.size
        elif worker.endpoint_state is EndpointState.REMOVED:
            self.removed[worker] = None

    def sort(self) -> None:
        """Rebuild the ring, and sum the sizes in ring order."""
        listed = (worker for worker in self.known if worker not in self.removed)
        ring = sorted(listed, key=lambda worker: (worker.ring_position, worker.name))
        if ring != self.ring:  # otherwise the orders built from it stay valid
            self.ring = ring
            self.version += 1
        self.serving = dict.fromkeys(
            worker for worker in ring if worker.endpoint_state is EndpointState.SERVING
        )
        self.size = sum(worker.size for worker in self.serving)

    def forget_removed(self) -> list[Worker]:
        """Drop the removed workers that have no requests or preloads in flight, and return them. Keeps memory
        bounded in a long-running process; a worker that returns later starts without history.
        """
        departed = [worker for worker in self.removed if not worker.in_flight and not worker.has_pending_work]
        for worker in departed:
            del self.known[worker]
            del self.removed[worker]
            for function in list(worker.replicas):
                function.drop(worker)
        return departed
