"""Updates the estimates at the end of an attempt."""

from dataclasses import dataclass
from typing import Final

from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import FunctionReplica, Request, Worker
from lapistrestle.policy.estimates import SHORT_TIME_CONSTANT
from lapistrestle.policy.fleet_guidance import RegionCapacity
from lapistrestle.policy.health import Health
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.latency_zones import UNSAFE_BACKOFF, LatencyZones
from lapistrestle.policy.load_limit import LoadLimit
from lapistrestle.policy.loaded_copies import LoadedCopies
from lapistrestle.policy.preloading import Preloading
from lapistrestle.policy.retry_budget import RetryBudget
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.slow_start import SlowStart
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import Attempt, AttemptResult, EndpointState, LoadState, Outcome, Zone
from lapistrestle.ticks import SECOND

# Maximum ticks for which a worker with a full queue gets no requests: queues change faster than zones.
FULL_QUEUE_BACKOFF: Final = SECOND // 2
# A rejection within this fraction of a typical latency means a full queue, regardless of the customer.
IMMEDIATE_REJECTION_FRACTION: Final = 1 / 4
MIN_RATE: Final = 1e-9  # answers per tick; avoids a division by 0
QUEUE_LENGTH_KEY: Final = "backlog"  # value of a load report: requests queued at the worker


@dataclass(eq=False)
class OutcomeRecording:
    """Passes each outcome to the components whose estimates depend on it."""

    settings: Settings
    clock: Clock
    capacity: RegionCapacity | Endpoints
    latency: LatencyEstimates
    throughput: Throughput
    slow_start: SlowStart
    zones: LatencyZones
    copies: LoadedCopies
    load_limit: LoadLimit
    health: Health
    retry_budget: RetryBudget
    preloading: Preloading

    def record(
        self, replica: FunctionReplica, attempt: Attempt, outcome: Outcome, result: AttemptResult
    ) -> None:
        """Record the end of an attempt."""
        worker = replica.worker
        request = attempt.request
        worker.set_time_constant(int(SHORT_TIME_CONSTANT * self.throughput.time_constant_factor))
        loaded_first = attempt.cold
        if self.settings.reports_warmth:
            loaded_first = result.load_state is not LoadState.LOADED
        if outcome is Outcome.OK:
            self.record_ok(replica, attempt, result, loaded_first)
        self.retry_budget.add_result(attempt, outcome)
        if attempt.cold and outcome in (Outcome.OK, Outcome.ERROR, Outcome.TIMED_OUT):
            self.record_load(replica, outcome, result.latency)
        self.copies.record_restart(worker, outcome)
        if outcome is Outcome.NOT_LOADED:
            self.copies.record_not_loaded(replica)
        if outcome is Outcome.REJECTED:
            self.record_rejection(worker, request, result.latency)
        self.record_queue(replica, result)
        untimed = outcome in (Outcome.NOT_LOADED, Outcome.NOT_SENT) or (
            outcome is Outcome.OK and loaded_first
        )
        if not untimed and result.load_state is not LoadState.LOAD_FAILED:
            self.record_latency(replica, attempt, outcome, result.latency)

    def record_ok(
        self, replica: FunctionReplica, attempt: Attempt, result: AttemptResult, loaded_first: bool
    ) -> None:
        """Record an ok answer; if it was slow because others queue there, add a copy."""
        now = self.clock.now
        request = attempt.request
        worker = replica.worker
        latencies = self.latency.by_method[request.method]
        self.copies.record_answer(replica)
        if not loaded_first and attempt.concurrency <= 1:
            latencies.add(now, result.latency)
        # without a latency the work of the answer is not known
        if worker.endpoint_state is EndpointState.SERVING and latencies.count.value:
            self.slow_start.add_ok(request.method)
        self.throughput.add_ok(result.latency)
        worker.ok_answers.add(now, 1)
        worker.rejecting_until = 0
        if (
            result.concurrency is not None
            and result.latency > self.latency.bound(replica.function) * request.scale
        ):
            self.preloading.scale_up(replica, request, result.concurrency)

    def record_load(self, replica: FunctionReplica, outcome: Outcome, latency: int) -> None:
        """Record an attempt that waited for a load. If answers do not report loads, those from busy workers
        are ignored, as queueing may have caused the delay.
        """
        load_reported = self.settings.reports_warmth or self.settings.reports_not_loaded
        if load_reported or self.zones.worker_zone(replica) < Zone.WARNING:
            self.load_limit.record(replica.function, outcome is Outcome.OK, latency)

    def record_rejection(self, worker: Worker, request: Request, latency: int) -> None:
        """Exclude the worker for a while: for all requests if its queue is full; for this customer only if
        the rejection took time, so that the queue has room, and there are other customers to be fair to.
        """
        now = self.clock.now
        single_customer = len(self.settings.customers) <= 1
        if single_customer or latency < self.latency.typical(request.method) * IMMEDIATE_REJECTION_FRACTION:
            worker.rejecting_until = now + FULL_QUEUE_BACKOFF
        else:
            backoff = int(UNSAFE_BACKOFF * self.throughput.time_constant_factor)
            worker.customer_rejected_until[request.customer] = now + backoff

    def record_queue(self, replica: FunctionReplica, result: AttemptResult) -> None:
        """Record the wait implied by a reported queue as a latency, if own samples are too few: queued
        requests over the expected rate of a worker of its size.
        """
        if self.throughput.time_constant_factor <= 1 or QUEUE_LENGTH_KEY not in result.load_report:
            return
        worker = replica.worker
        all_answers = self.throughput.ok_rate() * self.settings.dispatcher_count
        rate = all_answers * worker.size / (self.capacity.size or 1)
        isolated = self.latency.isolated(replica.function)
        worker.add_latency(
            self.clock.now, isolated + result.load_report[QUEUE_LENGTH_KEY] / max(rate, MIN_RATE), isolated
        )

    def record_latency(
        self, replica: FunctionReplica, attempt: Attempt, outcome: Outcome, latency: int
    ) -> None:
        """Record the latency of the attempt; a failed one counts as at least the latency bound."""
        scale = attempt.request.scale
        bound = self.latency.bound(replica.function) * scale
        if outcome is not Outcome.OK:
            latency = max(latency, int(bound))
        replica.worker.add_latency(self.clock.now, latency, self.latency.isolated(replica.function) * scale)
        if outcome is not Outcome.REJECTED:
            self.zones.add_latency(replica, int(latency / scale))
            bad = outcome not in (Outcome.OK, Outcome.CANCELLED) or latency > bound
            self.health.record(replica.worker, bad, attempt.sent_at)
