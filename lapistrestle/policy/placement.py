"""Placement: chooses the worker of an attempt.

As in the FnSched paper: first fit along the function's order, within the capacity that the latency zones
allow, and the least busy worker as the last resort. Differences from the paper: docs/design.md, "Changed".
"""

from dataclasses import dataclass
from math import inf

from lapistrestle.policy.attempts import Attempts
from lapistrestle.policy.candidates import Candidates
from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import FunctionReplica, Request, Worker
from lapistrestle.policy.function_order import FunctionOrders
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.latency_zones import LatencyZones
from lapistrestle.policy.load_limit import LoadLimit
from lapistrestle.policy.loaded_copies import LoadedCopies
from lapistrestle.policy.preloading import Preloading
from lapistrestle.policy.request_state import RequestEvent
from lapistrestle.policy.seeded_random import SeededRandom
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import Outcome, Zone


@dataclass(eq=False)
class Placement:
    """Chooses a worker for a request, and sends the attempt."""

    settings: Settings
    clock: Clock
    rng: SeededRandom
    orders: FunctionOrders
    candidates: Candidates
    latency: LatencyEstimates
    zones: LatencyZones
    copies: LoadedCopies
    load_limit: LoadLimit
    preloading: Preloading
    attempts: Attempts

    def place(self, request: Request, _: FunctionReplica | None = None) -> RequestEvent:
        """Send the request to the first worker of the order with free capacity; otherwise load an additional
        copy on the first worker that accepts it; otherwise use the least busy worker.
        """
        function = request.function
        order = self.orders.order_from_own_offset(function)
        first = next(self.candidates.eligible(request, order), None)
        known = [worker for worker in order if worker is first or worker in function.replicas]
        in_use: list[FunctionReplica] = []
        for worker in self.candidates.eligible(request, known):
            replica = function.replica(worker)
            in_use.append(replica)
            if replica.in_flight < self.capacity(replica):
                return self.send(request, replica)
        return self.place_beyond_capacity(request, order, in_use)

    def send(self, request: Request, replica: FunctionReplica) -> RequestEvent:
        """Send the request to the replica's worker."""
        self.attempts.send(request, replica)
        return RequestEvent.SENT

    def capacity(self, replica: FunctionReplica) -> int:
        """Return the limit of own concurrent requests of the replica: one per lane, but a single one in
        Warning.
        """
        copies = self.copies.believed_count(replica) or int(self.copies.presumed_loaded(replica))
        zone = self.zones.zone(replica) if copies else Zone.UNSAFE
        if zone is Zone.UNSAFE:
            return 0
        return min(1, copies) if zone is Zone.WARNING else copies * replica.function.lanes

    def place_beyond_capacity(
        self, request: Request, order: list[Worker], in_use: list[FunctionReplica]
    ) -> RequestEvent:
        """No worker in use has free capacity: load an additional copy if all are near the latency bound,
        otherwise queue at one of them.
        """
        now = self.clock.now
        warm = [r for r in in_use if self.copies.believed_count(r) and now >= r.worker.rejecting_until]
        loading = [r for r in in_use if r.loading]
        zones = [self.zones.zone(r) for r in warm]
        below_unsafe = [r for r, zone in zip(warm, zones, strict=True) if zone is not Zone.UNSAFE]
        below_warning = min(zones, default=Zone.UNSAFE) < Zone.WARNING
        may_load = self.load_limit.allows(copy_exists=bool(warm))
        if not loading and not below_warning and may_load:
            cold = self.candidates.first_without_copy(request, order, to_load=bool(warm or request.attempts))
            if cold and warm:
                self.preloading.preload(cold, 1)  # the request itself need not wait for the load
            elif cold and not found_no_copy(request):
                return self.send(request, cold)
        # after "not loaded", not to workers without a known copy: one in twenty of those requests found one
        may_guess = not request.attempts if self.settings.reports_not_loaded else may_load
        return self.place_at_least_busy(
            request, below_unsafe or warm or loading or (in_use if may_guess else [])
        )

    def place_at_least_busy(self, request: Request, replicas: list[FunctionReplica]) -> RequestEvent:
        """Use the worker with the shortest wait, ties broken at random. None if the request would miss its
        latency objective or deadline, and delay others as well.
        """
        now = self.clock.now
        waits = [(self.zones.queueing_time(r.worker), r) for r in replicas if now >= r.worker.rejecting_until]
        shortest = min((wait for wait, _ in waits), default=inf)
        isolated = self.latency.isolated(request.function) * request.scale
        due = min(request.accepted_at + self.latency.objective(request), request.deadline)
        if shortest + isolated > due - now:
            return RequestEvent.NO_WORKER
        ties = [replica for wait, replica in waits if wait == shortest]
        replica = ties[self.rng.randbelow(len(ties))]
        if self.settings.reports_not_loaded and replica.loading and not self.copies.believed_count(replica):
            replica.waiters.append(request)  # it would be rejected before the load has finished
            return RequestEvent.WAITS_FOR_LOAD
        return self.send(request, replica)


def found_no_copy(request: Request) -> bool:
    """Whether an attempt of the request was answered "not loaded"."""
    return any(attempt.outcome is Outcome.NOT_LOADED for attempt in request.attempts)
