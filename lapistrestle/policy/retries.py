"""Retries of a request, and the reaction to "not loaded".

"Not loaded" at the home (the first worker of the function's order) starts a preload there, and the request is
sent once that is answered. Variants for many dispatchers: docs/design.md, "front ends of their own clients".
"""

from dataclasses import dataclass

from lapistrestle.policy.admission import Admission
from lapistrestle.policy.candidates import Candidates
from lapistrestle.policy.clock import Clock
from lapistrestle.policy.entities import FunctionReplica, Request, Worker
from lapistrestle.policy.function_order import FunctionOrders
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.loaded_copies import LoadedCopies
from lapistrestle.policy.placement import Placement
from lapistrestle.policy.preloading import Preloading
from lapistrestle.policy.request_state import RequestEvent
from lapistrestle.policy.retry_budget import RetryBudget
from lapistrestle.policy.settings import Settings


@dataclass(eq=False)
class Retries:
    """Sends all attempts of a request after the first."""

    settings: Settings
    clock: Clock
    orders: FunctionOrders
    candidates: Candidates
    latency: LatencyEstimates
    copies: LoadedCopies
    preloading: Preloading
    placement: Placement
    admission: Admission
    budget: RetryBudget

    def retry(self, request: Request, _: FunctionReplica | None) -> RequestEvent:
        """Place the request again, if attempts, time and retry budget allow."""
        exhausted = self.attempts_exhausted(request) or self.admission.cannot_finish_in_time(request)
        allowed = self.budget.allows(request)
        if exhausted or not allowed:
            return RequestEvent.NO_WORKER
        return self.placement.place(request)

    def attempts_exhausted(self, request: Request) -> bool:
        """Whether the request has used all its attempts."""
        return len(request.attempts) >= self.settings.attempt_limit

    def on_not_loaded(self, request: Request, replica: FunctionReplica | None) -> RequestEvent:
        """Try the home once, as all dispatchers send there and may have loaded a copy. Otherwise preload
        there and park the request until that is answered, so that it cannot arrive before the preload; if the
        load would take too long, retry.
        """
        if replica is None or not self.settings.reports_not_loaded or self.attempts_exhausted(request):
            return self.retry(request, replica)
        order = self.orders.function_order(request.function)
        # the first eligible worker, including those that answered "not loaded"
        home = next(self.candidates.eligible(request, order, include_not_loaded=True), None)
        if home and self.may_have_copy(request, home):
            # if answers report waiting requests, copies are added by `Preloading.scale_up`
            if not self.settings.reports_concurrency:
                self.preloading.preload(replica, 1)
            return self.placement.send(request, request.function.replica(home))
        too_late = self.load_misses_deadline(request)
        if not too_late and not replica.loading:
            replica = self.candidates.first_without_copy(request, order, include_not_loaded=True) or replica
        if too_late or not (replica.loading or self.preloading.preload(replica, 1)):
            return self.retry(request, replica)
        replica.waiters.append(request)
        return RequestEvent.WAITS_FOR_LOAD

    def may_have_copy(self, request: Request, home: Worker) -> bool:
        """Whether the home may have a copy loaded by other dispatchers, and the request has not tried it."""
        if not self.copies.presumed_loaded(request.function.replica(home)):
            return False
        return not any(attempt.worker is home for attempt in request.attempts)

    def load_misses_deadline(self, request: Request) -> bool:
        """Whether the deadline would pass before a load could finish and the request be run."""
        load_time = request.function.load_time or 0
        isolated = self.latency.isolated(request.function) * request.scale
        return self.clock.now + load_time + isolated > request.deadline
