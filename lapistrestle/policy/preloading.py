"""Preloading: loads copies before requests need them, to keep those in use and some headroom.

As in the paper (FnScale, section III-B 2), each function keeps in every period the peak number of copies in
use, plus its square root as headroom. Other than there, the headroom is divided among the dispatchers;
further differences: docs/design.md, "Changed".
"""

from dataclasses import dataclass, field
from math import ceil, sqrt
from typing import Final

from lapistrestle.policy.candidates import Candidates
from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import Function, FunctionReplica, PendingPreload, Request
from lapistrestle.policy.function_order import FunctionOrders
from lapistrestle.policy.health import Health
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.latency_zones import LatencyZones
from lapistrestle.policy.load_limit import LoadLimit
from lapistrestle.policy.loaded_copies import LoadedCopies
from lapistrestle.policy.ports import Host, TimerHandle
from lapistrestle.policy.preload_budget import PreloadBudget
from lapistrestle.policy.seeded_random import SeededRandom
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import EndpointState, Outcome, Zone
from lapistrestle.ticks import SECOND

MAINTENANCE_PERIOD: Final = 5 * SECOND  # ticks between two maintenance runs of a function
# Fraction of the preload budget that maintenance may use. The rest is for loads that requests wait for: when
# a new version is released, all dispatchers need those at once.
MAINTENANCE_BUDGET_FRACTION: Final = 0.25
MAX_COPIES_PER_PRELOAD: Final = 16  # per preload; bounds the count
# Ticks without loads for a worker that rejected one; saves the preload budget, and delays of waiting
# requests. Short, as load queues change fast.
FULL_QUEUE_BACKOFF: Final = SECOND // 2


@dataclass(eq=False, slots=True)
class MaintenanceTimer:
    """Token of a maintenance timer."""

    function: Function | None  # None: the maintenance was stopped
    handle: TimerHandle | None = None


@dataclass(eq=False)
class Preloading:
    """Preloads in flight, and the functions whose replicas are maintained."""

    host: Host
    settings: Settings
    clock: Clock
    rng: SeededRandom
    orders: FunctionOrders
    latency: LatencyEstimates
    zones: LatencyZones
    copies: LoadedCopies
    health: Health
    candidates: Candidates
    budget: PreloadBudget
    load_limit: LoadLimit
    functions: dict[Function, MaintenanceTimer] = field(default_factory=dict, init=False)

    def start_maintenance(self, function: Function) -> None:
        """Start the periodic maintenance of a function that is used."""
        if function not in self.functions:
            self.set_maintenance_timer(function)

    def set_maintenance_timer(self, function: Function) -> None:
        """Set the timer for the next maintenance of a function."""
        timer = self.functions[function] = MaintenanceTimer(function)
        timer.handle = self.host.set_timer(MAINTENANCE_PERIOD, timer)

    def stop_maintenance(self, function: Function) -> None:
        """Stop the maintenance of a function that is discarded."""
        timer = self.functions.pop(function, None)
        if timer is not None:
            timer.function = None
            if timer.handle is not None:
                timer.handle.stop()

    def preload(self, replica: FunctionReplica, count: int, budget_fraction: float = 1.0) -> bool:
        """Send a preload for `count` copies and return True. Return False if the worker does not serve (a
        draining or removed worker is sent nothing new), if this fraction of the preload budget is used up, or
        if it needs a load that the full load queue of the worker or the quota of the fleet does not allow.
        """
        allowed = self.budget.allows(budget_fraction)
        worker = replica.worker
        needs_load = count > self.copies.believed_count(replica)
        load_refused = needs_load and (
            self.clock.now < worker.loads_rejected_until or not self.load_limit.fleet_allows()
        )
        if not allowed or worker.endpoint_state is not EndpointState.SERVING or load_refused:
            return False
        self.budget.add_preload()
        replica.pending_preloads.append(PendingPreload(self.clock.now, needs_load))
        if needs_load:
            replica.change_loading(1)
            self.load_limit.in_progress += 1
        self.host.preload(worker, replica.function, min(MAX_COPIES_PER_PRELOAD, count))
        return True

    def finish(self, replica: FunctionReplica, outcome: Outcome, count: int, duration: int) -> None:
        """Record the answer to the oldest preload of the replica: `count` copies are loaded, after `duration`
        ticks.
        """
        preload = replica.pending_preloads.pop(0)
        self.budget.finish(preload, duration)
        if preload.needs_load and outcome is Outcome.OK:
            self.copies.load_time.add(self.clock.now, duration)
        if preload.needs_load:
            replica.change_loading(-1)
            self.load_limit.in_progress -= 1
        self.load_limit.record(replica.function, outcome is not Outcome.ERROR, duration)
        if preload.needs_load:
            rejected = outcome is Outcome.REJECTED
            replica.worker.loads_rejected_until = self.clock.now + FULL_QUEUE_BACKOFF if rejected else 0
        self.update_copies(replica, outcome, count)

    def update_copies(self, replica: FunctionReplica, outcome: Outcome, count: int) -> None:
        """Update the believed copies from the answer to a preload."""
        if outcome in (Outcome.OK, Outcome.REJECTED, Outcome.ERROR):
            self.copies.set_count(replica, count)
        elif outcome in self.copies.restart_outcomes:  # the worker lost its copies: a bad outcome
            replica.worker.emptied_at = self.clock.now
            self.health.record(replica.worker, True, self.clock.now)
        elif outcome is Outcome.RESET:  # the worker executes the preload regardless
            replica.copies = max(1, replica.copies)
            replica.confirmed_at = self.clock.now

    def scale_up(self, replica: FunctionReplica, request: Request, concurrency: int) -> None:
        """Add a copy on the next worker of the order if `concurrency`, the requests of the function on the
        worker as reported, fills its lanes. Each dispatcher alone may see too little of a function to notice
        that it is hot. The copy is wasted if the waits were short.
        """
        lanes = self.copies.believed_count(replica) * replica.function.lanes
        if concurrency < lanes or self.load_limit.in_progress >= self.load_limit.limit:
            return
        order = self.orders.order_from_own_offset(replica.function)
        without_copy = self.candidates.first_without_copy(request, order)
        if without_copy and not without_copy.loading:
            self.preload(without_copy, 1)

    def maintain_replicas(self, function: Function) -> None:
        """Once per period: keep the copies that were used and this dispatcher's share of the headroom, unless
        the load limit is taken up by loads that requests wait for; drop what is no longer used.
        """
        used = {
            r: ceil(r.peak_in_flight / function.lanes) for r in function.replicas.values() if r.peak_in_flight
        }
        self.drop_unused(function)
        if not function.replicas:  # only its isolated latency is retained
            del self.functions[function]
            function.drop_order()
            return
        self.set_maintenance_timer(function)
        if used:
            self.latency.update_isolated(function)
            self.preload_along_order(function, used, self.own_headroom(sum(used.values())))

    def drop_unused(self, function: Function) -> None:
        """Start a new period, and drop replicas that are unused and whose history has expired."""
        for replica in list(function.replicas.values()):
            replica.peak_in_flight = replica.in_flight
            in_use = replica.is_busy or self.copies.believed_count(replica)
            history_until = max(replica.backoff_until, replica.not_loaded_at + self.settings.idle_timeout)
            if not in_use and self.clock.now > history_until:
                function.drop(replica.worker)

    def own_headroom(self, used: int) -> int:
        """Return this dispatcher's share of the headroom, the square root of the used copies. The remainder
        of the division is assigned at random.
        """
        dispatchers = self.settings.dispatcher_count
        headroom, remainder = divmod(ceil(sqrt(used)), dispatchers)
        return headroom + (self.rng.randbelow(dispatchers) < remainder)

    def preload_along_order(
        self, function: Function, used: dict[FunctionReplica, int], headroom: int
    ) -> None:
        """Preload the used copies along the order, and the headroom at the first worker that accepts it.
        Copies in steady use that are loaded need no preload; renewing them all at once started up to forty
        loads.
        """
        for worker in self.orders.function_order(function):
            if worker.endpoint_state is not EndpointState.SERVING:
                continue
            if not (headroom or worker in function.replicas) or not self.health.healthy(worker):
                continue
            replica = function.replica(worker)
            if self.zones.zone(replica) is Zone.UNSAFE:
                continue
            count = used.get(replica, 0) + headroom
            headroom = 0  # all of it goes to the first worker
            below_limit = self.load_limit.in_progress < self.load_limit.limit
            may_load = below_limit and self.load_limit.fleet_allows(copy_exists=True)
            needs_load = count > self.copies.believed_count(replica)
            # without a load, a preload is only needed to add headroom
            needed = may_load if needs_load else count > used.get(replica, 0)
            if needed:
                self.preload(replica, count, MAINTENANCE_BUDGET_FRACTION)
