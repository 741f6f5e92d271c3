"""Workers of the endpoint list, and sums over those that serve.

The cost of a change is proportional to the workers in it, not to all that are known. What is derived from all
workers that serve is computed once after any number of changes, when it is first read. A dispatcher that
knows only some of the workers of its region (`partial`) builds no ring and keeps the sums up to date.
"""

from bisect import bisect_left, insort
from collections.abc import Sequence
from typing import Final

from lapistrestle.policy.entities import Worker
from lapistrestle.policy.estimates import SHORT_TIME_CONSTANT
from lapistrestle.policy.types import EndpointState, WorkerInfo
from lapistrestle.ticks import SECOND

# Ticks until the first trial of an ejected worker, so that dispatchers do not rush to one that just failed;
# `health.py` doubles it while trials fail.
INITIAL_EJECTION_BACKOFF: Final = SECOND


def ring_order(worker: Worker) -> tuple[int, str]:
    """Return the sort key of the ring."""
    return worker.ring_position, worker.name


class Endpoints:
    """All known workers, those that serve, and those removed from the list."""

    def __init__(self, partial: bool) -> None:
        self.partial = partial
        self.known: dict[Worker, None] = {}
        self.removed: dict[Worker, None] = {}  # removed from the list, but still with requests or preloads
        self.ring: list[Worker] = []  # the listed workers in ring order; empty if partial
        self.version = 0  # of the ring
        self.current_serving: dict[Worker, None] = {}  # see `serving`
        self.current_size = 0.0  # see `size`
        self.is_stale = False  # whether the list has changed since these two were computed

    @property
    def workers(self) -> list[Worker]:
        """All known workers, in the order in which they were first listed."""
        return list(self.known)

    @property
    def count(self) -> int:
        """The number of known workers."""
        return len(self.known)

    @property
    def serving(self) -> dict[Worker, None]:
        """The workers that serve, in ring order."""
        if self.is_stale:
            self.refresh()
        return self.current_serving

    @property
    def size(self) -> float:
        """The total size of the workers that serve."""
        if self.is_stale:
            self.refresh()
        return self.current_size

    def refresh(self) -> None:
        """Collect the workers that serve, and sum their sizes in ring order."""
        self.is_stale = False
        serves = EndpointState.SERVING
        serving = [worker for worker in self.ring if worker.endpoint_state is serves]
        self.current_serving = dict.fromkeys(serving)
        self.current_size = sum([worker.size for worker in serving])

    def update(self, workers: Sequence[tuple[Worker, WorkerInfo]], snapshot: bool) -> None:
        """Apply changes of the endpoint list; with `snapshot`, `workers` is the complete list."""
        if snapshot:
            self.remove_all()
        for worker, info in workers:
            was_listed = self.is_listed(worker)
            self.remove_from_sums(worker)
            restarted = info.booted_at is not None and info.booted_at != worker.booted_at
            if restarted or worker not in self.known:
                worker.reset(SHORT_TIME_CONSTANT, INITIAL_EJECTION_BACKOFF, info.booted_at)
            worker.update(info)
            self.add(worker)
            if not (self.partial or snapshot) and self.is_listed(worker) is not was_listed:
                self.change_ring(worker)
        if snapshot and not self.partial:
            self.sort()
        self.is_stale = not self.partial

    def is_listed(self, worker: Worker) -> bool:
        """Whether the worker is on the list, in whatever state."""
        return worker in self.known and worker not in self.removed

    def remove_all(self) -> None:
        """Mark every worker as removed, until a later entry names it."""
        for worker in self.known:
            self.remove_from_sums(worker)
            worker.endpoint_state = EndpointState.REMOVED
            self.removed[worker] = None

    def remove_from_sums(self, worker: Worker) -> None:
        """If partial: remove the worker from those that serve, if it is one of them."""
        if self.partial and worker in self.current_serving:
            del self.current_serving[worker]
            self.current_size -= worker.size

    def add(self, worker: Worker) -> None:
        """Add the worker to the collections for its state."""
        self.known[worker] = None
        self.removed.pop(worker, None)
        if worker.endpoint_state is EndpointState.REMOVED:
            self.removed[worker] = None
        elif self.partial and worker.endpoint_state is EndpointState.SERVING:
            self.current_serving[worker] = None
            self.current_size += worker.size

    def change_ring(self, worker: Worker) -> None:
        """Insert a worker that was added to the list into the ring, or remove one that has left the list."""
        self.version += 1
        if self.is_listed(worker):
            worker.ring_version = self.version
            insort(self.ring, worker, key=ring_order)
        else:
            del self.ring[bisect_left(self.ring, ring_order(worker), key=ring_order)]

    def sort(self) -> None:
        """Rebuild the ring from all listed workers."""
        ring = sorted((worker for worker in self.known if worker not in self.removed), key=ring_order)
        if ring != self.ring:  # otherwise the orders built from it stay valid
            self.version += 1
            for worker in set(ring).difference(self.ring):
                worker.ring_version = self.version
            self.ring = ring

    def forget_removed(self) -> None:
        """Drop the removed workers that have no requests or preloads in flight. Keeps memory bounded
        in a long-running process; a worker that returns later starts without history.
        """
        departed = [worker for worker in self.removed if not worker.in_flight and not worker.has_pending_work]
        for worker in departed:
            del self.known[worker]
            del self.removed[worker]
            for function in list(worker.replicas):
                function.drop(worker)
