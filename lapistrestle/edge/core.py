"""The protocol-independent part of an edge: one decision module, its clock and timers, and its runners.

A protocol supplies the front (client connections), the factory of runner handles and the sources of the
worker list.
"""

import socket
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from lapistrestle.edge.work_gate import NOT_STARTED, WorkGate
from lapistrestle.hosting.host import ModuleHost
from lapistrestle.hosting.requests import PendingRequest, RequestEnd, WorkerCall, WorkerTask
from lapistrestle.hosting.timer_gate import TimerGate
from lapistrestle.hosting.timers import Timer
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import EndpointGap, EndpointState, FunctionInfo, Outcome, WorkerInfo
from lapistrestle.ticks import SECOND

Log = Callable[..., None]
# ticks between two polls of the sockets; if more have passed, the process was stalled, and what is read now
# may have been unread for that time
STALL_THRESHOLD = 200
EVENTS_LEFT_UNREAD = "events left unread"  # the list's source sends more than is read in one go
COUNTED_EVENTS = ("turned away", "unreadable", "passed over", NOT_STARTED, EVENTS_LEFT_UNREAD)
MAX_LOGGED = 100  # log lines of each counted event; further ones are only counted
FINISH_CHECK_INTERVAL = 100  # ticks between two checks whether a shutdown is complete
ANSWER_FLUSH_TIME = 300  # ticks that answers may take to be sent once all requests were aborted


class Front(Protocol):
    """Accepts client connections and their requests."""

    def listen(self) -> int: ...  # returns the port
    def close(self) -> None: ...  # accept no new connections
    def open_requests(self) -> list[PendingRequest]: ...  # the requests without a final answer
    def has_pending_io(self) -> bool: ...  # while stopping: answers are unsent or received data is unread
    def close_all(self) -> None: ...  # close every client connection


class RunnerHandle(Protocol):
    """The connection, or pool of connections, to one runner process.

    `address` distinguishes the process from others with the same worker name. `send_call`, `send_preload` and
    `send_health_check` set `connection` of the call or task to the object that can withdraw it.
    """

    address: Any

    def added(self) -> None: ...  # the runner was added to the list
    def removed(self) -> None: ...  # the runner was removed; calls in flight may still finish
    def discard_unsent(self) -> None: ...  # the runner drains: discard what is queued and not written
    def send_call(self, worker_call: WorkerCall) -> None: ...
    def send_preload(self, task: WorkerTask) -> None: ...
    def connected_since(self) -> int | None: ...  # tick since which the connected process has run at least
    def unload(self, function: str) -> None: ...
    def send_health_check(self, task: WorkerTask) -> None: ...
    def end(self) -> None: ...  # close the connections immediately


class ListSource(Protocol):
    """A source of the worker list."""

    def start(self) -> None: ...
    def follow(self) -> None: ...  # subscribe to the list
    def stop(self) -> None: ...
    def read_now(self) -> None: ...  # process what the socket has received and is not read yet
    def is_current(self) -> bool: ...  # whether the list is recent enough for new work to start by it
    def gap(self) -> EndpointGap | None: ...  # what the list may lack; None: it is complete


class Core:
    """One edge on one reactor. The reactor's clock must be monotonic: a clock set back would delay timers.

    Times are ticks of 0.1 ms on that clock.
    """

    def __init__(
        self, reactor: Any, name: str, settings: Settings, log: Log, seed: int, slack: int = 0,
        make: Callable[..., Any] = Dispatcher, fleet: FleetGuidance | None = None,
    ) -> None:  # fmt: skip
        self.reactor, self.name, self.log = reactor, name, log
        self.settings = settings
        self.fleet = fleet or FleetGuidance()
        self.connect_timeout = settings.connect_timeout
        self.endpoints_polled = settings.endpoints_polled
        self.runners: dict[str, Any] = {}
        self.counts = dict.fromkeys(COUNTED_EVENTS, 0)
        self.stopping = False
        self.dial_on_first_use = False  # connect to a runner on first use instead of when it is listed
        self.on_stopped: Callable[[], None] | None = None
        # called with a request that is closed and has no attempt in flight, perhaps more than once
        self.on_request_finished: Callable[[PendingRequest], None] = lambda _: None
        # set once all requests were aborted: the deadline for sending their answers
        self.answer_flush_deadline: int | None = None
        self.timer_gate, self.next_wakeup, self.next_wakeup_at = TimerGate(), None, -1
        self.front: Front
        self.make_runner: Callable[[str, Any, str], RunnerHandle]
        self.sources: list[ListSource] = []
        self.work_gate = WorkGate(self)
        self.host = ModuleHost(self, self.settings, seed, self.clock, slack, make, fleet=self.fleet)
        if hasattr(reactor, "around"):
            reactor.around = self.host.batched

    def clock(self) -> int:
        """The time in ticks."""
        # the offset absorbs floating-point error: 0.3 ms must become 3 ticks, not 2
        return int(self.reactor.seconds() * SECOND + 0.001)

    def earliest_arrival(self) -> int:
        """The earliest time at which the data being read now can have arrived.

        That is the time of the previous poll: after a stall of the process, requests were sent long before
        they are read.
        """
        poll_times = getattr(self.reactor, "looked", None)
        return self.clock() if poll_times is None else int(poll_times[0] * SECOND)

    def unread_for(self, sock: socket.socket, longest: int) -> int:
        """How long the data read now has been in the socket's receive buffer, in ticks, at most `longest`.

        The age is the kernel's, 0 where that is unknown. A client's deadline runs from when it sent the
        request, also while this process is stalled.
        """
        data_age = getattr(self.reactor, "unread_for", None)
        if data_age is None or not longest:
            return 0
        return min(longest, int(data_age(sock) * SECOND))

    def max_unread_time(self) -> int:
        """The longest time for which the data read now can have been unread; 0 unless the process stalled."""
        longest = self.clock() - self.earliest_arrival()
        return longest if longest > STALL_THRESHOLD else 0

    def start(self) -> int:
        """Start listening and following the worker list. Returns the port."""
        port = self.front.listen()
        for source in self.sources:
            source.start()
        self.log("listening", port=port, edge=self.name)
        return port

    # timers

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Timer:
        """Call `call(arg)` after `delay` ticks. The timer can be stopped."""
        timer = self.host.timers.at(self.clock() + delay, call, arg)
        self.timers_changed()
        return timer

    def timers_changed(self) -> None:
        """Have the reactor call `run_timers` when the next timer is due."""
        due = self.host.timers.next()
        if due is None or (self.next_wakeup is not None and self.next_wakeup_at <= due):
            return
        if self.next_wakeup is not None:
            self.next_wakeup.cancel()
        self.next_wakeup_at = due
        self.next_wakeup = self.reactor.callLater(
            max(0.0, due / SECOND - self.reactor.seconds()), self.run_timers
        )

    def run_timers(self) -> None:
        """Fire the timers that are due, unless the timer gate has the sockets polled first."""
        self.next_wakeup = None
        due, now = self.host.timers.next(), self.clock()
        if due is not None and due <= now:
            if not self.timer_gate.may_fire(now, due):
                self.next_wakeup_at = due
                self.next_wakeup = self.reactor.callLater(0, self.run_timers)
                return
            self.host.fire_timers()
        self.timers_changed()

    # the worker list and the runners

    def endpoints_received(self, workers: Sequence[WorkerInfo], whole: bool) -> None:
        """Apply a worker list (`whole`) or a change to it.

        From now on no new work is sent to a worker that does not serve, queued lines to it are discarded, and
        the module gets the list ahead of other queued events.
        """
        self.work_gate.update(workers, whole)
        self.host.endpoints_received(workers, whole)
        for worker in workers:
            if worker.endpoint_state is not EndpointState.SERVING and worker.name in self.runners:
                self.runners[worker.name].discard_unsent()

    def address_received(self, name: str, address: Any, start: str = "") -> None:
        """Note the address of a runner; an empty one removes it.

        Another address means another process: the handle of the old one is kept until its calls have ended.
        """
        runner = self.runners.get(name)
        if runner is not None and (not address or runner.address != address):
            del self.runners[name]
            runner.removed()
            runner = None
        if runner is None and address and not self.stopping and not self.dial_on_first_use:
            runner = self.runners[name] = self.make_runner(name, address, start)
            runner.added()

    def runner(self, name: str) -> Any:
        """The connection handle of the runner; `None` if there is none."""
        return self.runners.get(name)

    def message_ignored(self, name: str, why: str) -> None:
        """Count and log a message that is ignored, with the name of its sender and the reason."""
        self.count_and_log("passed over", peer=name, why=why[:200])

    def count_and_log(self, what: str, **figures: Any) -> None:
        """Count an event, and log its first MAX_LOGGED occurrences."""
        self.counts[what] += 1
        if self.counts[what] <= MAX_LOGGED:
            self.log(what, **figures)

    # hosting.transport.Transport

    def send_answer(self, pending: PendingRequest, verdict: RequestEnd, retry_after: int, body: Any) -> None:
        pending.client.answer(pending, verdict, retry_after, body)

    def request_closed(self, pending: PendingRequest, how: RequestEnd) -> None: ...

    def request_finished(self, pending: PendingRequest) -> None:
        self.on_request_finished(pending)

    def stream_started(self, pending: PendingRequest) -> None: ...

    def send_call(self, worker_call: WorkerCall) -> None:
        """Send an attempt. It ends as not sent if the worker drains, as unreachable without a connection."""
        if not self.work_gate.is_serving(worker_call.worker.name):
            self.work_gate.count_not_started(worker_call)
            return self.host.attempt_finished(worker_call.number, Outcome.NOT_SENT)
        runner = self.runner(worker_call.worker.name)
        if runner is None:
            return self.host.attempt_finished(worker_call.number, Outcome.UNREACHABLE)
        runner.send_call(worker_call)

    def withdraw(self, task: WorkerCall | WorkerTask, notify: bool) -> bool:
        return task.connection is not None and task.connection.withdraw(task.number, notify)

    def cancel_unsent(self, worker_call: WorkerCall) -> bool:
        return worker_call.connection is not None and worker_call.connection.cancel_unsent(worker_call.number)

    def send_preload(self, task: WorkerTask) -> None:
        if task.count and not self.work_gate.is_serving(task.worker.name):
            self.work_gate.count_not_started(task)
            return self.host.preload_finished(task.number, Outcome.NOT_SENT, 0)
        runner = self.runner(task.worker.name)
        if runner is None:
            return self.host.preload_finished(task.number, Outcome.UNREACHABLE, 0)
        runner.send_preload(task)

    def endpoint_gap(self) -> EndpointGap | None:
        return next((gap for source in self.sources if (gap := source.gap()) is not None), None)

    def connected_since(self, worker: WorkerInfo) -> int | None:
        runner = self.runner(worker.name)
        return None if runner is None else runner.connected_since()

    def unload(self, worker: WorkerInfo, function: FunctionInfo) -> None:
        if runner := self.runner(worker.name):
            runner.unload(function.name)

    def send_health_check(self, task: WorkerTask) -> None:
        runner = self.runner(task.worker.name)
        if runner is None:
            return self.host.health_check_finished(task.number, Outcome.UNREACHABLE, {})
        runner.send_health_check(task)

    def send_gossip(self, peer: int | None, text: str) -> None: ...

    def watch_endpoints(self) -> None:
        for source in self.sources:
            source.follow()

    def extend_prefix(self, function: FunctionInfo) -> None: ...

    # shutdown

    def stop(self, stopped: Callable[[], None]) -> None:
        """Accept no new requests and finish those that are open, then call `stopped`.

        A second call aborts the open requests and allows their answers ANSWER_FLUSH_TIME ticks to be sent.
        """
        if self.stopping:
            self.host.abort_all(self.front.open_requests())
            self.answer_flush_deadline = (
                self.clock() + ANSWER_FLUSH_TIME
                if self.answer_flush_deadline is None
                else self.answer_flush_deadline
            )
            return self.check_finished()
        self.stopping, self.on_stopped = True, stopped
        self.log("stopping", open=self.host.open_requests)
        self.front.close()
        self.check_finished()

    def check_finished(self, _: object = None) -> None:
        """Finish the shutdown once every request is answered and the answers are sent, or time is up."""
        late = self.answer_flush_deadline is not None and self.clock() >= self.answer_flush_deadline
        if late or not (self.host.open_requests or self.front.has_pending_io()):
            return self.finish()
        self.after(FINISH_CHECK_INTERVAL, self.check_finished, None)

    def finish(self) -> None:
        """Close all connections and call `stopped`; further calls do nothing."""
        stopped, self.on_stopped = self.on_stopped, None
        if stopped is None:
            return
        self.log("stopped", **self.host.counts, **self.counts)
        for source in self.sources:
            source.stop()
        self.front.close_all()
        for runner in self.runners.values():
            runner.end()
        stopped()
