"""The edge without its ways in and out: one module instance, its clock and timers, the workers it may reach.

It is given a front (clients), a way to speak to runners and sources of the list; each set is one protocol.
"""

import socket
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from lapistrestle.edge.work_gate import NOT_BEGUN, READ_AGAIN, WorkGate
from lapistrestle.hosting.host import ModuleHost
from lapistrestle.hosting.requests import PendingRequest, RequestEnd, WorkerCall, WorkerTask
from lapistrestle.hosting.timer_gate import TimerGate
from lapistrestle.hosting.timers import Timer
from lapistrestle.policy.dispatcher import Dispatcher
from lapistrestle.policy.fleet_guidance import FleetGuidance
from lapistrestle.policy.settings import Settings
from lapistrestle.policy.types import EndpointState, FunctionInfo, Outcome, WorkerInfo
from lapistrestle.ticks import SECOND

Log = Callable[..., None]
LATE = READ_AGAIN  # since the look before: a close may lie behind what is read
PIECES = 4  # a whole request with the longest body, and what follows it
MOST_LOGGED = 100  # lines of one kind
LAST = 300  # tenths of a millisecond: for answers to leave once all is cut short


class Front(Protocol):
    """Where clients come in."""

    def listen(self) -> int: ...  # the port
    def close(self) -> None: ...  # take no new connections
    def open(self) -> list[PendingRequest]: ...
    def owes(self) -> bool: ...  # once stopping: answers that have not left, or what has come and is not read
    def end(self) -> None: ...  # leave every connection


class RunnerHandle(Protocol):
    """How one runner is spoken to. `address` tells it from another process under its name. What it is asked
    to do takes as its `connection` whoever can withdraw it."""

    address: Any

    def named(self) -> None: ...  # it is on the list now
    def dropped(self) -> None: ...  # it is gone: what is out may still end
    def hold_back(self) -> None: ...  # it drains: what waits to be written is not sent
    def send_call(self, worker_call: WorkerCall) -> None: ...
    def send_preload(self, task: WorkerTask) -> None: ...
    def unload(self, function: str) -> None: ...
    def send_health_check(self, task: WorkerTask) -> None: ...
    def end(self) -> None: ...  # leave it at once


class ListSource(Protocol):
    """Who tells the list of workers."""

    def start(self) -> None: ...
    def follow(self) -> None: ...
    def stop(self) -> None: ...
    def read_now(self) -> None: ...  # what lies unread of it
    def is_current(self) -> bool: ...  # whether new work may still begin by what it told last


class Core:
    """One front end on one reactor, whose clock must be monotonic: one set back would hold the timers."""

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
        self.counts = dict.fromkeys(("turned away", "unreadable", "passed over", NOT_BEGUN), 0)
        self.stopping = False
        self.dials_when_used = False  # runners only when something is sent there, else when they are listed
        self.stopped: Callable[[], None] | None = None
        self.answers_until: int | None = None  # once cut short: until when answers may still leave
        self.inputs = 0  # inputs so far
        self.turns, self.next_turn, self.turn_at = TimerGate(), None, -1
        self.front: Front
        self.make_runner: Callable[[str, Any, str], RunnerHandle]
        self.sources: list[ListSource] = []
        self.gate = WorkGate(self)
        self.host = ModuleHost(self, self.settings, seed, self.clock, slack, make, fleet=self.fleet)
        if hasattr(reactor, "around"):
            reactor.around = self.host.batched

    def clock(self) -> int:
        return int(self.reactor.seconds() * SECOND + 0.001)  # 0.3 ms must not read as 2.99 tenths

    def earliest_arrival(self) -> int:
        """The earliest moment at which what is read now may have come: a program that stood still reads late,
        and by the sockets' count its RPCs are older than by its own."""
        looked = getattr(self.reactor, "looked", None)
        return self.clock() if looked is None else int(looked[0] * SECOND)

    def unread_for(self, sock: socket.socket, longest: int) -> int:
        """How long what is read now lay in its socket, `longest` at the most, in tenths of a millisecond, as
        far as the kernel tells: a client counts its time from when it sent, also while the program stood
        still."""
        age = getattr(self.reactor, "unread_for", None)
        if age is None or not longest:
            return 0
        return min(longest, int(age(sock) * SECOND))

    def since_look(self) -> int:
        """How long what is read now may have lain unread at the most; 0 unless the program stood still."""
        longest = self.clock() - self.earliest_arrival()
        return longest if longest > LATE else 0

    def pieces(self) -> int:
        """How many pieces of one connection are read at once: all that there are, within bounds, after a
        standstill. One that ends, and what it brought before, are then met in the same look."""
        return PIECES if self.clock() - self.earliest_arrival() > LATE else 1

    def start(self) -> int:
        """Listen, and follow the list. Returns the port."""
        port = self.front.listen()
        for source in self.sources:
            source.start()
        self.log("listening", port=port, edge=self.name)
        return port

    # turns and timers

    def input(self) -> None:
        self.inputs += 1

    def after(self, delay: int, call: Callable[[Any], None], arg: object) -> Timer:
        timer = self.host.timers.at(self.clock() + delay, call, arg)
        self.timers_changed()
        return timer

    def timers_changed(self) -> None:
        """Have the reactor call `turn` when the next timer is due."""
        due = self.host.timers.next()
        if due is None or (self.next_turn is not None and self.turn_at <= due):
            return
        if self.next_turn is not None:
            self.next_turn.cancel()
        self.turn_at = due
        self.next_turn = self.reactor.callLater(max(0.0, due / SECOND - self.reactor.seconds()), self.turn)

    def turn(self) -> None:
        self.next_turn = None
        due, now = self.host.timers.next(), self.clock()
        if due is not None and due <= now:
            if not self.turns.may_fire(now, due, self.inputs):
                self.turn_at = due
                self.next_turn = self.reactor.callLater(0, self.turn)
                return
            self.host.fire_timers()
        self.timers_changed()

    # the list and the runners

    def listed(self, told: Sequence[WorkerInfo], whole: bool) -> None:
        """A list or a change of it was read. Nothing new begins against it from now on, what waits to be
        written is taken back, and the module hears of it before whatever else waits to be told."""
        self.gate.listed(told, whole)
        self.host.endpoints_received(told, whole)
        for facts in told:
            if facts.endpoint_state is not EndpointState.SERVING and facts.name in self.runners:
                self.runners[facts.name].hold_back()

    def address(self, name: str, address: Any, start: str = "") -> None:
        """A runner listens here now. At another address it is another process; the old way ends its calls."""
        runner = self.runners.get(name)
        if runner is not None and (not address or runner.address != address):
            del self.runners[name]
            runner.dropped()
            runner = None
        if runner is None and address and not self.stopping and not self.dials_when_used:
            runner = self.runners[name] = self.make_runner(name, address, start)
            runner.named()

    def runner(self, name: str) -> Any:
        """The runner that something is to be sent to; `None` if it is not there."""
        return self.runners.get(name)

    def passed_over(self, name: str, why: str) -> None:
        self.count_and_log("passed over", peer=name, why=why[:200])

    def count_and_log(self, what: str, **figures: Any) -> None:
        """Count what may come often, and log the first ones."""
        self.counts[what] += 1
        if self.counts[what] <= MOST_LOGGED:
            self.log(what, **figures)

    # what the host asks (hosting.transport)

    def send_answer(self, pending: PendingRequest, verdict: RequestEnd, retry_after: int, body: Any) -> None:
        pending.client.answer(pending, verdict, retry_after, body)

    def request_closed(self, pending: PendingRequest, how: RequestEnd) -> None: ...

    def stream_started(self, pending: PendingRequest) -> None: ...

    def send_call(self, worker_call: WorkerCall) -> None:
        if not self.gate.serves(worker_call.worker.name):
            self.gate.refused(worker_call)
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
        if task.count and not self.gate.serves(task.worker.name):
            self.gate.refused(task)
            return self.host.preload_finished(task.number, Outcome.NOT_SENT, 0)
        runner = self.runner(task.worker.name)
        if runner is None:
            return self.host.preload_finished(task.number, Outcome.UNREACHABLE, 0)
        runner.send_preload(task)

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

    # the end

    def stop(self, stopped: Callable[[], None]) -> None:
        """Take nothing new and finish what is out; a second call answers all of it as aborted at once, and
        waits a little for answers to leave."""
        if self.stopping:
            self.host.abort_all(self.front.open())
            self.answers_until = self.clock() + LAST if self.answers_until is None else self.answers_until
            return self.check_finished()
        self.stopping, self.stopped = True, stopped
        self.log("stopping", open=self.host.open_requests)
        self.front.close()
        self.check_finished()

    def check_finished(self, _: object = None) -> None:
        """Whether all is over: what came until now has its answer, and that has left."""
        late = self.answers_until is not None and self.clock() >= self.answers_until
        if late or not (self.host.open_requests or self.front.owes()):
            return self.finish()
        self.after(100, self.check_finished, None)

    def finish(self) -> None:
        stopped, self.stopped = self.stopped, None
        if stopped is None:
            return
        self.log("stopped", **self.host.counts, **self.counts)
        for source in self.sources:
            source.stop()
        self.front.end()
        for runner in self.runners.values():
            runner.end()
        stopped()
