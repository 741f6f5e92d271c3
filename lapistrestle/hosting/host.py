"""One instance of the decision module and the world around it.

A transport makes a `ModuleHost`, reports what came over its connections, and carries out what the host asks
through `Transport`. Nothing here places, repeats or denies; the few guards act only where the module did not,
and log it. All times are whole tenths of a millisecond on the host's clock.
"""

from collections.abc import Callable, Mapping, Sequence
from contextlib import AbstractContextManager
from typing import Any

from lapistrestle.hosting.answers import FinalAnswers
from lapistrestle.hosting.context import HostContext
from lapistrestle.hosting.events import EventQueue
from lapistrestle.hosting.registry import ObjectRegistry
from lapistrestle.hosting.requests import (
    ABORTED,
    COUNTERS,
    DENIED,
    NO_REPORT,
    UNMATCHED,
    PendingRequest,
    WorkerCall,
    WorkerTask,
)
from lapistrestle.hosting.tasks import WorkerTasks
from lapistrestle.hosting.timers import Timers
from lapistrestle.hosting.transport import Transport
from lapistrestle.hosting.worker_calls import WorkerCalls
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.interface import (
    Attempt,
    EndpointState,
    FunctionInfo,
    LoadState,
    Outcome,
    RequestInfo,
    WorkerInfo,
)
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.state import Function, Worker

MOST_FUNCTIONS = 20_000  # kept by name
PEER_TEXT = 256  # characters of one message to another dispatcher


class ModuleHost:
    """Joins the module with its registry, timers, event queue and the bookkeeping of what is under way.

    `slack` is how long past a request's deadline the guard waits for the module's own answer; `make` builds
    the module from this host, the settings, a seed and the time.
    """

    def __init__(
        self,
        transport: Transport,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        slack: int = 0,
        make: Callable[..., Any] = Dispatcher,
        max_functions: int = MOST_FUNCTIONS,
        fleet: FleetGuidance | None = None,
    ) -> None:
        self.transport, self.settings, self.clock = transport, settings, clock
        self.registry, self.timers = ObjectRegistry(max_functions), Timers()
        self.counts = dict.fromkeys(COUNTERS, 0)
        context = HostContext(transport, settings, clock, self.timers, self.counts)
        self.events = EventQueue(context, self.aborted_by_fault)
        self.answers = FinalAnswers(context, self.events, slack)
        self.calls = WorkerCalls(context, self.events, self.answers)
        self.answers.cancel_unsent = self.calls.cancel_unsent
        self.orders = WorkerTasks(context, self.events)
        self.last_number = 0
        self.departing: dict[str, None] = {}  # that the list names no more, and that the registry may have
        self.unheard: set[str] = set()  # named as there by lists that the module may not have heard yet
        self.module = self.events.module = make(self, settings, seed, clock(), fleet)

    @property
    def open(self) -> int:
        """Requests taken and not yet finally answered."""
        return self.answers.open

    @property
    def worker_calls(self) -> dict[int, WorkerCall]:
        """Attempts under way, by number."""
        return self.calls.open

    @property
    def tasks(self) -> dict[int, WorkerTask]:
        """Orders and probes under way, by number."""
        return self.orders.open

    def batched(self) -> AbstractContextManager[None]:
        """As `EventQueue.batched`."""
        return self.events.batched()

    def fire_timers(self) -> None:
        """Fire the timers that are due."""
        while (timer := self.timers.pop(self.clock())) is not None:
            timer.call(timer.arg)
        self.transport.wake()

    # what the transport reports: requests

    def arrived(
        self,
        *,
        client: Any,
        message: Any,
        tag: str,
        function_name: str,
        method: int,
        customer: int,
        left: int,
        memory: float = 0.0,
        lanes: int = 1,
        work: int | None = None,
        repeat: bool = False,
        route: Any = None,
        moved: bool = False,
        prior_attempts: int = 0,
        load: int | None = None,
        came: int | None = None,
        waits: bool = False,
    ) -> PendingRequest:
        """A request has come; `left` is how long its client still waits, `came` the earliest that it came.
        One that `waits` for its function's prefix reaches the module by `looked_up`."""
        now, function = self.clock(), self.registry.function(function_name, method, memory, lanes, load)
        pending = PendingRequest(tag, function, method, customer, now + left, work, repeat, moved, came)
        pending.client, pending.message, pending.route = client, message, route
        pending.prior_attempts = prior_attempts
        self.answers.take(pending)
        if waits:
            pending.began, pending.came = now, now if came is None else came
        else:
            self.events.post(pending, "on_request", pending)
        return pending

    def looked_up(self, pending: PendingRequest) -> None:
        """The prefix of the request's function is known, and the module was told it."""
        if not pending.final:
            self.events.post(pending, "on_request", pending)

    def client_left(self, pending: PendingRequest) -> None:
        """The client has gone; what a worker has of the request goes on to its own end."""
        self.answers.client_left(pending)

    def retract(self, pending: PendingRequest) -> None:
        """The host takes a request back that has not run, to have it placed anew under another function."""
        self.answers.retract(pending)

    def abort_all(self, requests: Sequence[PendingRequest]) -> None:
        """Answer these at once: the program ends."""
        self.answers.abort_all(requests)

    def aborted_by_fault(self, pending: PendingRequest) -> None:
        """The module raised over it."""
        self.answers.finish(pending, ABORTED)

    # what the transport reports: workers

    def begun(self, number: int) -> None:
        """The answer to an attempt has begun to stream."""
        self.calls.begun(number)

    def ended(
        self, number: int, outcome: Outcome, body: Any = None, warmth: LoadState = LoadState.UNKNOWN,
        company: int | None = None, report: Mapping[str, float] = NO_REPORT,
    ) -> None:  # fmt: skip
        """An attempt has ended."""
        self.calls.ended(number, outcome, body, warmth, company, report)

    def ordered(self, number: int, outcome: Outcome, count: int) -> None:
        """An order has ended, with `count` copies held."""
        self.orders.ordered(number, outcome, count)

    def probed(self, number: int, outcome: Outcome, report: Mapping[str, float]) -> None:
        """A probe has ended."""
        self.orders.probed(number, outcome, report)

    def task_ended(self, number: int, outcome: Outcome) -> None:
        """An order or a probe has ended without a reply from the worker."""
        self.orders.ended(number, outcome)

    def ended_without_reply(self, number: int, outcome: Outcome) -> None:
        """An attempt, an order or a probe has ended without a reply from the worker."""
        if number in self.calls.open:
            self.calls.ended(number, outcome)
        else:
            self.orders.ended(number, outcome)

    def unmatched_reply(self) -> None:
        """A worker has answered what is not under way."""
        self.counts[UNMATCHED] += 1

    # what the transport reports: the list of workers and other dispatchers

    def listed(self, entries: Sequence[WorkerInfo], whole: bool) -> None:
        """Entries of the list of workers; `whole` if it names them all."""
        if not self.events.lists:
            self.unheard.clear()
        self.unheard.update(e.name for e in entries if e.listing is not EndpointState.REMOVED)
        self.events.post_list([(self.registry.worker(e.name), e) for e in entries], whole)
        if whole:
            self.departing = dict.fromkeys(self.registry.workers)
        self.departing.update((e.name, None) for e in entries if e.listing is EndpointState.REMOVED)
        if self.departing:
            self.drop_departed()

    def drop_departed(self) -> None:
        """Without this a long life keeps every worker that ever served. One that is back, of which the module
        has not heard yet, still counts as gone there and stays. So does one that was sent something within
        the window of its slow start: back in it, it would be sent as much once more (rule 4)."""
        held = {task.worker for task in self.tasks.values()}
        workers = self.registry.workers
        left = [
            workers[name]
            for name in self.departing
            if name in workers and workers[name].listing is EndpointState.REMOVED
        ]
        since = self.clock() - self.settings.overload_window
        stay = {
            worker.name: None
            for worker in left
            if worker.out or worker in held or worker.name in self.unheard or worker.sent_since(since)
        }
        for worker in left:
            if worker.name not in stay:
                del workers[worker.name]
        if not self.events.busy:  # else the module may not have heard yet that they are gone
            self.departing = stay

    def ranked(self, function: Function, names: Sequence[str]) -> None:
        """The first workers of a function's order; each was listed before."""
        self.events.post(None, "on_prefix", function, [self.registry.worker(name) for name in names])

    def list_failed(self) -> None:
        """The list of workers could not be read."""
        self.events.post(None, "on_endpoints_failed")

    def told(self, peer: int, text: str) -> None:
        """Another dispatcher has sent text."""
        self.events.post(None, "on_gossip", peer, text)

    def vouched(self, worker: Worker, at: int) -> None:
        """Another dispatcher has had an answer from a worker, at that time."""
        self.events.post(None, "on_peer_verdict", worker, at)

    # what the module asks for (interface.Host)

    def next_number(self) -> int:
        """A number for an attempt or a task; never used twice."""
        self.last_number += 1
        return self.last_number

    def send_attempt(self, attempt: Attempt, time_out: int) -> None:
        """Send an attempt."""
        self.calls.send(self.next_number(), attempt, time_out)

    def reject(self, request: RequestInfo, retry_after: int) -> None:
        """Answer that it did not run; `come_back` as in `Transport.answer`."""
        assert isinstance(request, PendingRequest)
        self.answers.finish(request, DENIED, retry_after)

    def abort(self, request: RequestInfo) -> None:
        """Answer that it may have run."""
        assert isinstance(request, PendingRequest)
        self.answers.finish(request, ABORTED)

    def cancel(self, attempt: Attempt) -> None:
        """Want no more of an attempt."""
        self.calls.cancel(attempt)

    def preload(self, worker: WorkerInfo, function: FunctionInfo, count: int) -> None:
        """Have a worker hold copies."""
        assert isinstance(worker, Worker) and isinstance(function, Function)
        self.orders.order(self.next_number(), worker, function, count)

    def health_check(self, worker: WorkerInfo) -> None:
        """Ask a worker for its report."""
        assert isinstance(worker, Worker)
        self.orders.probe(self.next_number(), worker)

    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None:
        """Have a worker drop a function."""
        self.transport.unload(worker, function)

    def send_gossip(self, peer: int | None, text: str) -> None:
        """Send text to another dispatcher, where settings allow it."""
        if self.settings.may_gossip:
            self.transport.tell_peer(peer, text[:PEER_TEXT])

    def set_timer(self, delay: int, token: object) -> None:
        """Give the token back after so long, as `woken`."""
        self.timers.at(self.clock() + max(1, delay), self.woken, token)

    def woken(self, token: object) -> None:
        """A wake-up that the module asked for is due."""
        self.events.post(token if isinstance(token, PendingRequest) else None, "on_timer", token)

    def watch_endpoints(self) -> None:
        """Ask for updates of the list of workers."""
        self.transport.follow_list()

    def extend_prefix(self, function: FunctionInfo) -> None:
        """Ask for a longer prefix of a function's order."""
        self.transport.more(function)

    def log(self, text: str) -> None:
        """One log line of a change of mode."""
        self.transport.log("mode", figures=text)
