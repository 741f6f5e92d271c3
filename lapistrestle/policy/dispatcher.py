"""Entry point of the decision module: events in, commands out, no I/O.

A host creates one `Dispatcher` with its `Host`, the settings, a seed and the time, sets `now` before each
event and calls the methods of `Events`. Each decision is made in a module of its own; this one connects them
and passes each event to those that it concerns. docs/design.md describes the differences from the FnSched
paper.
"""

from collections.abc import Mapping, Sequence
from typing import Final

from lapistrestle.policy.admission import Admission
from lapistrestle.policy.attempts import Attempts
from lapistrestle.policy.candidates import Candidates
from lapistrestle.policy.clock import Clock
from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import Function, FunctionReplica, Request, Worker
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.function_order import FunctionOrders
from lapistrestle.policy.function_retention import FunctionRetention
from lapistrestle.policy.health import Health
from lapistrestle.policy.latency_estimates import LatencyEstimates
from lapistrestle.policy.latency_zones import LatencyZones
from lapistrestle.policy.load_limit import LoadLimit
from lapistrestle.policy.loaded_copies import LoadedCopies
from lapistrestle.policy.outcome_recording import OutcomeRecording
from lapistrestle.policy.placement import Placement
from lapistrestle.policy.ports import Host
from lapistrestle.policy.preload_budget import PreloadBudget
from lapistrestle.policy.preloading import MaintenanceTimer, Preloading
from lapistrestle.policy.request_state import EVENT_OF_OUTCOME, Action, RequestEvent, RequestStateMachine
from lapistrestle.policy.retries import Retries
from lapistrestle.policy.retry_budget import RetryBudget
from lapistrestle.policy.seeded_random import SeededRandom
from lapistrestle.policy.settings import MethodKind, Settings
from lapistrestle.policy.slow_start import SlowStart
from lapistrestle.policy.throughput import Throughput
from lapistrestle.policy.types import Attempt, AttemptResult, Outcome, State, WorkerInfo
from lapistrestle.ticks import SECOND

# Minimum ticks between two subscriptions to a polled endpoint list; prevents a busy loop.
MIN_POLL_INTERVAL: Final = SECOND


class Dispatcher:
    """One instance of the decision module."""

    def __init__(
        self, host: Host, settings: Settings, seed: int, now: int, fleet: FleetGuidance | None = None
    ) -> None:
        self.host = host
        self.settings = settings
        self.fleet = FleetGuidance() if fleet is None else fleet
        self.clock = Clock(now)
        self.rng = SeededRandom(seed)
        self.create_estimates()
        self.create_rules()
        self.create_senders()
        self.create_selectors()
        self.create_recording()
        handlers = {
            Action.ADMIT: self.admit,
            Action.PLACE: self.placement.place,
            Action.WAIT_FOR_RETRY: self.wait_for_retry,
            Action.RETRY: self.retries.retry,
            Action.ON_NOT_LOADED: self.retries.on_not_loaded,
            Action.REJECT: self.reject,
        }
        self.state_machine = RequestStateMachine(handlers)
        if settings.endpoints_polled:
            self.poll_endpoints()

    def create_estimates(self) -> None:
        """Create the components that only estimate."""
        settings, clock, region = self.settings, self.clock, self.fleet.region
        self.endpoints = Endpoints(partial=region is not None)
        self.capacity = self.endpoints if region is None else region
        self.latency = LatencyEstimates(settings, clock)
        self.throughput = Throughput(clock)
        self.orders = FunctionOrders(settings, clock, self.endpoints, self.capacity, self.latency)
        self.copies = LoadedCopies(settings, clock, self.throughput)

    def create_rules(self) -> None:
        """Create the components with rules for every worker or every load."""
        settings, clock = self.settings, self.clock
        endpoints, latency, throughput = self.endpoints, self.latency, self.throughput
        self.slow_start = SlowStart(
            self.host, settings, clock, endpoints, self.fleet.region, latency, throughput
        )
        self.health = Health(self.host, clock, endpoints, latency)
        self.zones = LatencyZones(clock, endpoints, latency, throughput)
        self.load_limit = LoadLimit(settings, clock, self.fleet, endpoints, self.capacity, latency)
        self.preload_budget = PreloadBudget(settings, clock, self.copies)
        self.retry_budget = RetryBudget(clock, self.fleet, throughput)
        self.candidates = Candidates(
            self.host, settings, clock, self.orders, self.health, self.slow_start, self.zones, self.copies
        )

    def create_senders(self) -> None:
        """Create the components that send attempts and preloads."""
        settings, clock = self.settings, self.clock
        self.preloading = Preloading(
            host=self.host,
            settings=settings,
            clock=clock,
            rng=self.rng,
            orders=self.orders,
            latency=self.latency,
            zones=self.zones,
            copies=self.copies,
            health=self.health,
            candidates=self.candidates,
            budget=self.preload_budget,
            load_limit=self.load_limit,
        )
        self.retention = FunctionRetention(self.host, settings, clock, self.preloading)
        self.attempts = Attempts(
            self.host,
            settings,
            clock,
            self.latency,
            self.throughput,
            self.copies,
            self.load_limit,
            self.slow_start,
        )
        self.admission = Admission(
            self.host, settings, clock, self.rng, self.latency, self.throughput, self.attempts
        )

    def create_selectors(self) -> None:
        """Create the components that choose a worker for a request."""
        self.placement = Placement(
            settings=self.settings,
            clock=self.clock,
            rng=self.rng,
            orders=self.orders,
            candidates=self.candidates,
            latency=self.latency,
            zones=self.zones,
            copies=self.copies,
            load_limit=self.load_limit,
            preloading=self.preloading,
            attempts=self.attempts,
        )
        self.retries = Retries(
            settings=self.settings,
            clock=self.clock,
            orders=self.orders,
            candidates=self.candidates,
            latency=self.latency,
            copies=self.copies,
            preloading=self.preloading,
            placement=self.placement,
            admission=self.admission,
            budget=self.retry_budget,
        )

    def create_recording(self) -> None:
        """Create the component that records the outcomes of attempts."""
        self.outcomes = OutcomeRecording(
            settings=self.settings,
            clock=self.clock,
            capacity=self.capacity,
            latency=self.latency,
            throughput=self.throughput,
            slow_start=self.slow_start,
            zones=self.zones,
            copies=self.copies,
            load_limit=self.load_limit,
            health=self.health,
            retry_budget=self.retry_budget,
            preloading=self.preloading,
        )

    @property
    def now(self) -> int:
        """The tick of the current event."""
        return self.clock.now

    @now.setter
    def now(self, now: int) -> None:
        """Set the tick; the host does so before each event."""
        self.clock.now = now

    # Events

    def on_endpoints(self, workers: Sequence[tuple[Worker, WorkerInfo]], snapshot: bool) -> None:
        """See `Events.on_endpoints`."""
        self.endpoints.update(workers, snapshot)
        self.health.endpoints_changed()
        self.slow_start.endpoints_changed()
        self.load_limit.endpoints_changed()
        self.endpoints.forget_removed()

    def on_endpoints_failed(self) -> None:
        """Do nothing: the subscription is renewed at the next poll."""

    def on_prefix(self, function: Function, prefix: list[Worker]) -> None:
        """See `Events.on_prefix`."""
        function.prefix = prefix

    def on_request(self, request: Request) -> None:
        """See `Events.on_request`."""
        # set earlier if it waited for the function's prefix
        request.accepted_at = request.accepted_at or self.clock.now
        request.function.requests += 1
        self.latency.apply_work_hint(request)
        self.preloading.start_maintenance(request.function)
        self.throughput.update_time_constant_factor(len(self.endpoints.serving))
        self.orders.add_demand(request, self.throughput.time_constant_factor)
        self.preload_budget.add_request(request)
        self.state_machine.handle(request, RequestEvent.RECEIVED)
        self.retention.update(request.function)

    def on_client_gone(self, request: Request) -> None:
        """See `Events.on_client_gone`."""
        request.state = State.OVER
        request.over = True

    def on_attempt_started(self, attempt: Attempt) -> None:
        """See `Events.on_attempt_started`: the worker is not silent."""
        attempt.worker.silent_since = None

    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, result: AttemptResult) -> None:
        """See `Events.on_attempt_finished`."""
        request = attempt.request
        replica = request.function.replica(attempt.worker)
        event = EVENT_OF_OUTCOME[outcome]
        self.attempts.finish(attempt, replica, outcome)
        self.outcomes.record(replica, attempt, outcome, result)
        if event is RequestEvent.MAY_HAVE_RUN and request.may_have_run_on is None:
            request.may_have_run_on = attempt.worker
            request.may_have_run_at = attempt.sent_at
        if result.over:
            self.on_client_gone(request)
        self.state_machine.handle(request, event, replica)
        if replica.waiters and not replica.pending_preloads and not replica.loading:
            self.release_waiters(replica)
        self.retention.update(request.function)

    def on_timer(self, token: object) -> None:
        """See `Events.on_timer`. The token is a parked request, a maintenance timer, or None: the endpoint
        list.
        """
        if isinstance(token, Request):
            self.state_machine.handle(
                token, RequestEvent.WAIT_EXPIRED if token.state is State.PARKED else None
            )
        elif isinstance(token, MaintenanceTimer):
            if token.function is not None:
                self.maintain(token.function)
        else:
            self.poll_endpoints()

    def on_preload_finished(
        self, worker: Worker, function: Function, outcome: Outcome, count: int, duration: int
    ) -> None:
        """See `Events.on_preload_finished`."""
        replica = function.replica(worker)
        self.preloading.finish(replica, outcome, count, duration)
        self.release_waiters(replica)
        self.retention.update(function)

    def on_health_check(
        self, worker: Worker, outcome: Outcome, duration: int, report: Mapping[str, float]
    ) -> None:
        """Do nothing: health is derived from the outcomes of attempts."""

    def on_gossip(self, peer: int, text: str) -> None:
        """Do nothing: no decision depends on gossip."""

    def on_peer_verdict(self, worker: Worker, at: int) -> None:
        """See `Events.on_peer_verdict`."""
        self.health.on_peer_verdict(worker, at)

    def on_memory(self, used: int) -> None:
        """See `Events.on_memory`."""
        self.retention.on_memory(used)

    def maintain(self, function: Function) -> None:
        """Maintain the replicas of a function."""
        self.preloading.maintain_replicas(function)
        self.retention.update(function)

    # Actions of the request state machine

    def admit(self, request: Request, _: FunctionReplica | None) -> RequestEvent:
        """Apply admission control to the request."""
        return RequestEvent.ADMITTED if self.admission.admits(request) else RequestEvent.NO_WORKER

    def wait_for_retry(self, request: Request, _: FunctionReplica | None) -> None:
        """Set a timer for the last moment at which the parked request could still be run in time."""
        time_left = request.deadline - self.clock.now
        self.host.set_timer(max(1, int(time_left - self.latency.isolated(request.function))), request)

    def reject(self, request: Request, _: FunctionReplica | None) -> None:
        """Answer at once: rejected if a retry by the client is harmless, otherwise aborted."""
        method = self.settings.methods[request.method]
        repeatable = method.kind is MethodKind.IDEMPOTENT or (
            method.kind is MethodKind.DEDUPLICATED and method.dedup_scope == "all"
        )
        if request.may_have_run_on is None or repeatable:
            self.host.reject(request, self.settings.max_retry_after if self.settings.may_retry_after else 0)
        else:
            self.host.abort(request)

    def release_waiters(self, replica: FunctionReplica) -> None:
        """Resume the requests that waited for a load, when it, or what might have started it, has ended."""
        for request in replica.take_waiters():
            self.state_machine.handle(request, RequestEvent.LOADED, replica)

    def poll_endpoints(self) -> None:
        """Subscribe to the endpoint list, and set a timer to renew the subscription before it expires."""
        self.host.watch_endpoints()
        self.host.set_timer(max(MIN_POLL_INTERVAL, self.settings.poll_within // 2), None)
