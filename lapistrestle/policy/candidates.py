"""Workers that are eligible for a request."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import FunctionReplica, Request, Worker
from lapistrestle.policy.function_order import FunctionOrders
from lapistrestle.policy.health import Health
from lapistrestle.policy.latency_zones import LatencyZones
from lapistrestle.policy.loaded_copies import LoadedCopies
from lapistrestle.policy.ports import Host
from lapistrestle.policy.settings import MethodKind, Settings
from lapistrestle.policy.slow_start import SlowStart
from lapistrestle.policy.types import EndpointState, Outcome, Zone


@dataclass(eq=False)
class Candidates:
    """Eligibility rules for every attempt and every load that a request starts."""

    host: Host
    settings: Settings
    clock: Clock
    orders: FunctionOrders
    health: Health
    slow_start: SlowStart
    zones: LatencyZones
    copies: LoadedCopies

    def eligible(
        self, request: Request, order: Iterable[Worker], include_not_loaded: bool = False
    ) -> Iterator[Worker]:
        """Return the eligible workers of `order`; those that the request has tried only if there is no other.
        With `include_not_loaded`, a worker that answered "not loaded" does not count as tried.
        """
        tried = self.tried(request, include_not_loaded)
        ejections_apply = self.health.ejections_apply()
        if tried:
            others = (
                worker for worker in self.orders.function_order(request.function) if worker not in tried
            )
            if not any(self.is_eligible(request, worker, ejections_apply) for worker in others):
                tried.clear()
        return (
            worker
            for worker in order
            if worker not in tried and self.is_eligible(request, worker, ejections_apply)
        )

    def tried(self, request: Request, include_not_loaded: bool) -> set[Worker]:
        """Return the workers that the request has tried."""
        tried = set()
        for attempt in request.attempts:
            not_loaded = attempt.outcome is Outcome.NOT_LOADED
            if not not_loaded or not (include_not_loaded or request.function.replica(attempt.worker).copies):
                tried.add(attempt.worker)
        return tried

    def is_eligible(self, request: Request, worker: Worker, ejections_apply: bool) -> bool:
        """Whether the request may go to the worker now. With `ejections_apply`, unhealthy workers are
        excluded.
        """
        if worker.endpoint_state is not EndpointState.SERVING:
            return False
        if worker.customer_rejected_until.get(request.customer, 0) > self.clock.now:
            return False
        if ejections_apply and not self.health.healthy(worker):
            return False
        return self.allows_repeat(request, worker) and self.slow_start.has_capacity(worker, request)

    def allows_repeat(self, request: Request, worker: Worker) -> bool:
        """Whether the request may be sent there if it may have run already. No effect may happen twice, so
        the method must be idempotent, or the worker must drop the repeated idempotency key.
        """
        method = self.settings.methods[request.method]
        ran_on = request.may_have_run_on
        if ran_on is None or method.kind is MethodKind.IDEMPOTENT:
            return True
        if method.kind is not MethodKind.DEDUPLICATED:
            return False
        if self.clock.now >= request.may_have_run_at + method.dedup_window:
            return False
        if method.dedup_scope == "zone":
            return worker.zone == ran_on.zone
        if method.dedup_scope == "cell":
            return worker.cell == ran_on.cell
        return method.dedup_scope == "all"

    def first_without_copy(
        self,
        request: Request,
        order: Iterable[Worker],
        to_load: bool = True,
        include_not_loaded: bool = False,
    ) -> FunctionReplica | None:
        """Return the replica for an additional copy: the first eligible worker of `order` without one that is
        not Unsafe and, if `to_load`, accepts loads. If there is none, a longer prefix is requested.
        """
        function = request.function
        for worker in self.eligible(request, order, include_not_loaded):
            # a replica that is only inspected is not stored
            replica = function.replicas.get(worker) or FunctionReplica(worker, function)
            suitable = not self.copies.believed_count(replica) and self.zones.zone(replica) is not Zone.UNSAFE
            if suitable and (not to_load or self.clock.now >= worker.loads_rejected_until):
                return function.replica(worker)
        if function.prefix is not None:
            self.host.extend_prefix(function)
        return None
