"""Host of one instance of the decision module.

A transport creates a `ModuleHost`, reports what it receives, and carries out what the host requests through
`Transport`. The host makes no decisions (placement, retries, rejections); its few safety checks act only if
the module failed to, and are logged. All times are ticks on the host's clock.
"""

from collections.abc import Callable, Mapping, Sequence
from contextlib import AbstractContextManager
from typing import Any

from lapistrestle.hosting.answers import FinalAnswers
from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.endpoint_updates import EndpointUpdates
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.registry import ObjectRegistry
from lapistrestle.hosting.requests import (
    COUNTERS,
    NO_REPORT,
    Counter,
    PendingRequest,
    RequestEnd,
    WorkerCall,
    WorkerTask,
)
from lapistrestle.hosting.tasks import WorkerTasks
from lapistrestle.hosting.timers import Timer, Timers
from lapistrestle.hosting.transport import Transport
from lapistrestle.hosting.worker_calls import WorkerCalls
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.entities import Function, Worker
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import (
    Attempt,
    EndpointGap,
    FunctionInfo,
    LoadState,
    Outcome,
    RequestInfo,
    WorkerInfo,
)

MAX_FUNCTIONS = 20_000  # cached by name
MAX_GOSSIP_LENGTH = 256  # characters per message to another dispatcher


class ModuleHost:
    """Connects the module with its registry, timers, event queue and the calls and tasks in flight.

    A request that the module has not answered `slack` ticks after its deadline is aborted; 0 means at the
    deadline. `make_module` creates the module from this host, the settings, a seed, the time and the fleet
    guidance.
    """

    def __init__(
        self,
        transport: Transport,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        slack: int = 0,
        make_module: Callable[..., Any] = Dispatcher,
        max_functions: int = MAX_FUNCTIONS,
        fleet: FleetGuidance | None = None,
    ) -> None:
        self.transport = transport
        self.settings = settings
        self.clock = clock
        # with a limit of memory the module decides which functions are retained
        self.registry = ObjectRegistry(None if settings.memory_limit else max_functions)
        self.timers = Timers()
        self.counts = dict.fromkeys(COUNTERS, 0)
        context = HostContext(transport, settings, clock, self.timers, self.counts)
        self.events = EventQueue(
            context, self.abort_after_error, self.request_discarded, transport.request_finished
        )
        self.answers = FinalAnswers(context, self.events, slack)
        self.calls = WorkerCalls(context, self.events, self.answers)
        self.answers.cancel_unsent = self.calls.cancel_unsent
        self.worker_tasks = WorkerTasks(context, self.events)
        self.last_number = 0
        self.endpoint_updates = EndpointUpdates(context, self.events, self.registry, self.worker_tasks)
        self.module = self.events.module = make_module(self, settings, seed, clock(), fleet)

    @property
    def open_requests(self) -> int:
        """Requests received and not closed yet."""
        return self.answers.open_requests

    @property
    def worker_calls(self) -> dict[int, WorkerCall]:
        """Attempts in flight, by number."""
        return self.calls.open

    @property
    def tasks(self) -> dict[int, WorkerTask]:
        """Preloads and health checks in flight, by number."""
        return self.worker_tasks.open

    def batched(self) -> AbstractContextManager[None]:
        """See `EventQueue.batched`."""
        return self.events.batched()

    def fire_timers(self) -> None:
        """Fire the timers that are due."""
        while (timer := self.timers.pop(self.clock())) is not None:
            timer.call(timer.arg)
        self.transport.timers_changed()

    # reports of the transport: requests

    def request_received(
        self,
        *,
        client: Any,
        message: Any,
        tag: str,
        function_name: str,
        method: int,
        customer: int,
        time_left: int,
        memory_mb: float = 0.0,
        lanes: int = 1,
        work: int | None = None,
        repeat: bool = False,
        route: Any = None,
        already_counted: bool = False,
        prior_attempts: int = 0,
        load_time: int | None = None,
        arrived_at: int | None = None,
        awaits_prefix: bool = False,
    ) -> PendingRequest:
        """A request was received, with `time_left` ticks until its deadline.

        `client`, `message` and `route` are only handed back to the transport; `tag` identifies the request in
        logs. `work` is the hinted work in ticks, `repeat` marks a retry by the client. `already_counted`: the
        preload budget has counted it before. `prior_attempts` were made for another version and count towards
        the limit. `arrived_at` is the earliest tick at which it may have arrived. If `awaits_prefix`, it is
        passed to the module by `lookup_finished`, once the prefix of its function is known.
        """
        now, function = (
            self.clock(),
            self.registry.function(function_name, method, memory_mb, lanes, load_time),
        )
        pending = PendingRequest(
            tag, function, method, customer, now + time_left, work, repeat, already_counted, arrived_at
        )
        pending.client, pending.message, pending.route = client, message, route
        pending.prior_attempts = prior_attempts
        self.answers.accept(pending)
        if awaits_prefix:  # else the module sets `accepted_at` when it gets the event
            pending.accepted_at, pending.arrived_at = now, now if arrived_at is None else arrived_at
        else:
            self.events.post(pending, "on_request", pending)
        return pending

    def lookup_finished(self, pending: PendingRequest) -> None:
        """The prefix of the request's function was delivered to the module: pass the request on."""
        if not pending.is_closed:
            self.events.post(pending, "on_request", pending)

    def client_gone(self, pending: PendingRequest) -> None:
        """The client disconnected; attempts that workers have continue."""
        self.answers.client_gone(pending)

    def retract(self, pending: PendingRequest) -> None:
        """Close a request that has not run, so that it can be submitted again for another function."""
        self.answers.retract(pending)

    def abort_all(self, requests: Sequence[PendingRequest]) -> None:
        """Abort the requests at once, as the program ends."""
        self.answers.abort_all(requests)

    def abort_after_error(self, pending: PendingRequest) -> None:
        """Abort a request on whose event the module raised."""
        self.answers.finish(pending, RequestEnd.ABORTED)

    def request_discarded(self, pending: PendingRequest) -> None:
        """The client of a request left before the module was told of it, and perhaps of its function."""
        if self.settings.memory_limit and not pending.function.retained_bytes:
            self.registry.forget_function(pending.function)

    # reports of the transport: workers

    def attempt_started(self, number: int) -> None:
        """The answer to an attempt started to stream."""
        self.calls.started(number)

    def attempt_finished(
        self, number: int, outcome: Outcome, body: Any = None, load_state: LoadState = LoadState.UNKNOWN,
        concurrency: int | None = None, load_report: Mapping[str, float] = NO_REPORT,
    ) -> None:  # fmt: skip
        """An attempt ended."""
        self.calls.finished(number, outcome, body, load_state, concurrency, load_report)

    def preload_finished(self, number: int, outcome: Outcome, count: int) -> None:
        """A preload ended; the worker holds `count` copies."""
        self.worker_tasks.preload_finished(number, outcome, count)

    def health_check_finished(self, number: int, outcome: Outcome, report: Mapping[str, float]) -> None:
        """A health check ended."""
        self.worker_tasks.health_check_finished(number, outcome, report)

    def task_finished_without_reply(self, number: int, outcome: Outcome) -> None:
        """A preload or a health check ended without a reply from the worker."""
        self.worker_tasks.finished_without_reply(number, outcome)

    def finished_without_reply(self, number: int, outcome: Outcome) -> None:
        """An attempt, a preload or a health check ended without a reply from the worker."""
        if number in self.calls.open:
            self.calls.finished(number, outcome)
        else:
            self.worker_tasks.finished_without_reply(number, outcome)

    def unmatched_reply(self) -> None:
        """A worker replied to something that is not in flight."""
        self.counts[Counter.UNMATCHED] += 1

    # reports of the transport: the endpoint list and other dispatchers

    def endpoints_received(self, entries: Sequence[WorkerInfo], is_snapshot: bool) -> None:
        """Entries of the endpoint list were received; with `is_snapshot`, `entries` is the complete list."""
        self.endpoint_updates.received(entries, is_snapshot)

    def prefix_received(self, function: Function, names: Sequence[str]) -> None:
        """The directory returned a prefix of a function's order; each worker was listed before."""
        self.events.post(None, "on_prefix", function, [self.registry.worker(name) for name in names])

    def endpoints_failed(self) -> None:
        """The endpoint list could not be read."""
        self.events.post(None, "on_endpoints_failed")

    def gossip_received(self, peer: int, text: str) -> None:
        """Another dispatcher sent a message."""
        self.events.post(None, "on_gossip", peer, text)

    def peer_verdict_received(self, worker: Worker, at: int) -> None:
        """Another dispatcher found a worker healthy at tick `at`."""
        self.events.post(None, "on_peer_verdict", worker, at)

    def memory_measured(self, used: int) -> None:
        """The process uses so many bytes of memory."""
        self.events.post(None, "on_memory", used)

    # commands of the module (policy.ports.Host)

    def next_number(self) -> int:
        """Return a unique number for an attempt or a task."""
        self.last_number += 1
        return self.last_number

    def send_attempt(self, attempt: Attempt, timeout: int) -> None:
        """Send an attempt."""
        self.calls.send(self.next_number(), attempt, timeout)

    def reject(self, request: RequestInfo, retry_after: int) -> None:
        """Answer that the request was not run; `retry_after` as in `Transport.send_answer`."""
        assert isinstance(request, PendingRequest)
        self.answers.finish(request, RequestEnd.REJECTED, retry_after)

    def abort(self, request: RequestInfo) -> None:
        """Answer that the request failed and may have run."""
        assert isinstance(request, PendingRequest)
        self.answers.finish(request, RequestEnd.ABORTED)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        self.calls.cancel(attempt)

    def preload(self, worker: WorkerInfo, function: FunctionInfo, count: int) -> None:
        """Have a worker hold `count` loaded copies of a function."""
        assert isinstance(worker, Worker)
        assert isinstance(function, Function)
        self.worker_tasks.preload(self.next_number(), worker, function, count)

    def health_check(self, worker: WorkerInfo) -> None:
        """Request the load report of a worker."""
        assert isinstance(worker, Worker)
        self.worker_tasks.health_check(self.next_number(), worker)

    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None:
        """Have a worker unload a function."""
        self.transport.unload(worker, function)

    def send_gossip(self, peer: int | None, text: str) -> None:
        """Send a message to another dispatcher, if the settings allow it."""
        if self.settings.may_gossip:
            self.transport.send_gossip(peer, text[:MAX_GOSSIP_LENGTH])

    def set_timer(self, delay: int, token: object) -> Timer:
        """Post `on_timer(token)` after `delay` ticks. A timer of a request is stopped when that is closed."""
        timer = self.timers.at(self.clock() + max(1, delay), self.on_timer_due, token)
        if isinstance(token, PendingRequest):
            token.timers.append(timer)
        return timer

    def on_timer_due(self, token: object) -> None:
        """A timer set by the module is due."""
        self.events.post(token if isinstance(token, PendingRequest) else None, "on_timer", token)

    def watch_endpoints(self) -> None:
        """Subscribe to the endpoint list."""
        self.transport.watch_endpoints()

    def extend_prefix(self, function: FunctionInfo) -> None:
        """Request a longer prefix of a function's order."""
        self.transport.extend_prefix(function)

    def endpoint_gap(self) -> EndpointGap | None:
        """Return the changes that the endpoint list may lack; None: it is complete."""
        return self.transport.endpoint_gap()

    def connected_since(self, worker: WorkerInfo) -> int | None:
        """Return the tick since which the worker's process has run at least; None without a connection."""
        return self.transport.connected_since(worker)

    def forget_function(self, function: FunctionInfo) -> None:
        """Discard a function that the module no longer retains."""
        self.registry.forget_function(function)

    def log(self, text: str) -> None:
        """Log a message of the module, as an event whose name is fixed."""
        self.transport.log("mode", figures=text)
