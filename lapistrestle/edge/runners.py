"""Connections to runners in the JSON lines protocol; their state machine is `edge.connection_state`."""

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lapistrestle.edge.connection_state import (
    ConnectionCallbacks,
    ConnectionEvent,
    ConnectionState,
    ConnectionStateMachine,
    Line,
)
from lapistrestle.hosting.host import ModuleHost
from lapistrestle.hosting.requests import NO_REPORT, WorkerCall, WorkerTask
from lapistrestle.policy.types import LoadState, Outcome
from lapistrestle.ticks import MILLISECOND, SECOND
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

# by their names on the wire
OUTCOMES = {
    "ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.REJECTED, "miss": Outcome.NOT_LOADED,
    "cancelled": Outcome.CANCELLED,
}  # fmt: skip
LOAD_STATES = {
    "": LoadState.UNKNOWN, "stood": LoadState.LOADED, "began load": LoadState.STARTED_LOAD,
    "joined load": LoadState.JOINED_LOAD, "load failed": LoadState.LOAD_FAILED,
}  # fmt: skip


def call_message(worker_call: WorkerCall, now: int) -> wire.Run:
    """The message that starts an attempt; its time left is counted from `now` (ticks)."""
    pending, request = worker_call.pending, worker_call.pending.message
    time_left = max(1, worker_call.expires_at - now) / MILLISECOND
    return wire.Run(
        worker_call.number, pending.tag, pending.function.name, request.method, time_left, request.customer,
        request.memory, request.lanes, request.token, request.key, request.body,
    )  # fmt: skip


def preload_message(task: WorkerTask) -> wire.PreloadRequest:
    """The message that starts a preload; with a count of 0 it only asks how many copies are loaded."""
    assert task.function is not None
    function = task.function
    return wire.PreloadRequest(task.number, function.name, task.count, function.memory_mb, function.lanes)


def encode_line(message: wire.Message) -> bytes:
    """Encode a message as JSON with the line end."""
    return wire.encode(message) + b"\n"


def report_reply(host: ModuleHost, reply: wire.RunFinished | wire.PreloadResult | wire.ProbeResult) -> None:
    """Report to the host how an attempt, preload or health check ended."""
    match reply:
        case wire.RunFinished():
            host.attempt_finished(
                reply.call_id, OUTCOMES[reply.outcome], reply.body, LOAD_STATES[reply.load_state],
                reply.concurrency, reply.report or NO_REPORT,
            )  # fmt: skip
        case wire.PreloadResult():
            host.preload_finished(reply.preload_id, OUTCOMES[reply.outcome], reply.count)
        case wire.ProbeResult():
            host.health_check_finished(reply.probe_id, Outcome.OK, reply.report or NO_REPORT)


class RunnerLineConnection(LineConnection):
    """The edge's end of one connection to a runner; `runner` is None once the edge has dropped it."""

    protocol = wire.RUNNER
    decoder = message_decoder(wire.FromRunner)

    def __init__(self, runner: "Runner") -> None:
        super().__init__(runner.edge.bounds)
        self.runner: Runner | None = runner

    def greeting(self) -> wire.Hello:
        assert self.runner
        return wire.Hello(self.protocol, wire.VERSION, self.runner.edge.name)

    def greeting_received(self, hello: wire.Hello) -> None:
        if self.runner:
            self.runner.greeting_received(hello)

    def message_received(self, message: Any) -> None:
        if self.runner:
            self.runner.message_received(message)

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        """Ignore the line: if it was the reply to a call, only that call is affected and times out."""
        if self.runner:
            self.runner.edge.message_ignored(self.runner.state_machine.name, why)

    def write_blocked(self, slow: bool) -> None:
        """The socket accepts no more data (`slow`), or accepts data again."""
        if self.runner:
            self.runner.state_machine.step(
                ConnectionEvent.WRITE_BLOCKED if slow else ConnectionEvent.WRITABLE
            )

    def pauseProducing(self) -> None:
        """Keep reading from a runner that reads slowly, so that its replies are still received."""
        self.paused = False

    def resumeProducing(self) -> None: ...

    def connection_lost(self) -> None:
        if runner := self.runner:
            runner.drop_connection()
            runner.state_machine.step(ConnectionEvent.LOST)


class RunnerDial(ClientFactory):
    """One attempt to connect to a runner."""

    noisy = False

    def __init__(self, runner: "Runner") -> None:
        self.runner: Runner | None = runner
        self.connection: RunnerLineConnection | None = None

    def buildProtocol(self, addr: Any) -> RunnerLineConnection | None:
        if self.runner is None:
            return None
        self.connection = self.runner.connection = RunnerLineConnection(self.runner)
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        if self.runner is not None and self.runner.dial_in_progress is self:
            self.runner.dial_in_progress = None
            self.runner.state_machine.step(ConnectionEvent.DIAL_FAILED)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None: ...


class Runner(ConnectionCallbacks):
    """The connection to one runner process; a process at another address gets its own object."""

    def __init__(self, edge: Any, name: str, port: int, start: str) -> None:
        self.edge, self.address, self.start = edge, port, start
        self.state_machine = ConnectionStateMachine(
            name, self, lambda text: edge.log("link", figures=text), edge.clock
        )
        self.connection: RunnerLineConnection | None = None
        self.dial_in_progress: RunnerDial | None = None
        self.connector: Any = None
        self.greeting_timer: Any = None

    # core.RunnerHandle

    def added(self) -> None:
        self.state_machine.step(ConnectionEvent.LISTED)

    def removed(self) -> None:
        self.state_machine.step(ConnectionEvent.REMOVED)

    def discard_unsent(self) -> None:
        """Report all queued lines as not sent."""
        self.state_machine.discard_unsent()

    def end(self) -> None:
        self.drop_connection()

    def connected_since(self) -> None:
        """Always None, and never asked: the sources of an edge have no gap."""

    # sending

    def send_call(self, worker_call: WorkerCall) -> None:
        """Send or queue an attempt. With a full queue or a closing connection it ends as rejected."""
        worker_call.connection = self
        number, send_by = worker_call.number, worker_call.write_by
        if not self.state_machine.send(
            Line(number, lambda: self.call_line(worker_call), send_by, work=worker_call)
        ):
            self.host.attempt_finished(worker_call.number, Outcome.REJECTED)

    def call_line(self, worker_call: WorkerCall) -> bytes:
        return encode_line(call_message(worker_call, self.edge.clock()))

    def cancel_unsent(self, number: int) -> bool:
        """Remove a queued line; False if it has been written."""
        return self.state_machine.cancel_unsent(number)

    def withdraw(self, number: int, notify: bool) -> bool:
        """Stop waiting for this attempt or task; True if it was never sent.

        If it was, `notify` sends the runner a request to cancel it.
        """
        if self.state_machine.withdraw(number):
            return True
        if notify and self.state_machine.state in (ConnectionState.OPEN, ConnectionState.CLOSING):
            self.write(wire.encode(wire.Cancel(number)) + b"\n")
        return False

    def send_preload(self, task: WorkerTask) -> None:
        """Send or queue a preload, which has to be written within PROMPT_WAIT; else it ends as rejected.

        One with a count of 0 only asks how many copies are loaded, and may be written later.
        """
        task.connection = self
        work = task if task.count else None
        line = Line(task.number, lambda: encode_line(preload_message(task)), work=work)
        if not self.state_machine.send(line, prompt=task.count > 0):
            self.host.preload_finished(task.number, Outcome.REJECTED, 0)

    def unload(self, function: str) -> None:
        self.state_machine.send(Line(0, lambda: encode_line(wire.Unload(function))))

    def send_health_check(self, task: WorkerTask) -> None:
        task.connection = self
        if not self.state_machine.send(Line(task.number, lambda: encode_line(wire.Probe(task.number)))):
            self.host.health_check_finished(task.number, Outcome.REJECTED, NO_REPORT)

    # messages from the runner

    @property
    def host(self) -> ModuleHost:
        host: ModuleHost = self.edge.host
        return host

    def greeting_received(self, hello: wire.Hello) -> None:
        """Open the connection for calls, or close it if another worker answers at this address."""
        if hello.name != self.state_machine.name:
            self.edge.message_ignored(
                self.state_machine.name, f"its port is served by {hello.name or 'an unnamed process'}"
            )
            if self.connection:
                self.connection.close_with_reason(f"{self.state_machine.name} was expected here")
            return
        self.start = hello.start or self.start
        self.stop_greeting_timer()
        self.dial_in_progress = None
        self.edge.runner_greeted(self.state_machine.name, hello)
        self.state_machine.step(ConnectionEvent.ESTABLISHED)

    def message_received(self, message: Any) -> None:
        match message:
            case wire.RunFinished():
                self.report_if_in_flight(self.state_machine.finished(message.call_id), message)
            case wire.RunStarted():
                if message.call_id in self.state_machine.in_flight:
                    self.host.attempt_started(message.call_id)
                else:
                    self.host.unmatched_reply()
            case wire.PreloadResult():
                self.report_if_in_flight(self.state_machine.finished(message.preload_id), message)
            case wire.ProbeResult():
                self.report_if_in_flight(self.state_machine.finished(message.probe_id), message)
            case wire.Draining():
                self.edge.runner_draining(self.state_machine.name, self.start)
            case wire.Fault():
                self.edge.message_ignored(
                    self.state_machine.name, f"the peer rejected a line: {message.reason}"
                )

    def report_if_in_flight(self, is_in_flight: object, reply: Any) -> None:
        """Report the reply to the host; one to nothing in flight, such as a duplicate, is only counted."""
        if is_in_flight:
            report_reply(self.host, reply)
        else:
            self.host.unmatched_reply()

    # connection_state.ConnectionCallbacks

    def dial(self) -> None:
        dial = self.dial_in_progress = RunnerDial(self)
        timeout = self.edge.settings.connect_timeout / SECOND
        self.stop_greeting_timer()
        self.greeting_timer = self.edge.reactor.callLater(timeout, self.greeting_timed_out, dial)
        self.connector = self.edge.reactor.connectTCP("127.0.0.1", self.address, dial, timeout=timeout)

    def greeting_timed_out(self, dial: RunnerDial) -> None:
        """Treat a connection without a greeting within the connect timeout as failed."""
        self.greeting_timer = None
        if self.dial_in_progress is dial:
            self.drop_connection()
            self.state_machine.step(ConnectionEvent.DIAL_FAILED)

    def stop_greeting_timer(self) -> None:
        if self.greeting_timer is not None and self.greeting_timer.active():
            self.greeting_timer.cancel()
        self.greeting_timer = None

    def drop_connection(self) -> None:
        """Close the connection, or stop dialling; what is still received on it is ignored."""
        self.stop_greeting_timer()
        connection, self.connection, dial, self.dial_in_progress = (
            self.connection,
            None,
            self.dial_in_progress,
            None,
        )
        if dial is not None:
            dial.runner = None
        if connection is not None:
            connection.runner = None
            if not connection.closed:
                connection.closed = True
                connection.transport.unregisterProducer()
                connection.transport.loseConnection()
        elif dial is not None and self.connector is not None:
            self.connector.disconnect()

    def may_start(self, work: WorkerCall | WorkerTask) -> bool:
        allowed: bool = self.edge.work_gate.may_start(work, self)
        return allowed

    def write(self, line: bytes, number: int = 0) -> bool:
        if self.connection is not None:
            self.connection.send_line(line)
        return True

    def close(self) -> None:
        self.drop_connection()

    def schedule_redial(self, delay: int) -> None:
        self.edge.after(delay, self.state_machine.step, ConnectionEvent.BACKOFF_ELAPSED)

    def report_unreachable(self, numbers: list[int]) -> None:
        for number in numbers:
            self.host.finished_without_reply(number, Outcome.UNREACHABLE)

    def report_not_sent(self, numbers: list[int]) -> None:
        for number in numbers:
            self.host.finished_without_reply(number, Outcome.NOT_SENT)

    def report_lost(self, numbers: list[int]) -> None:
        for number in numbers:
            self.host.finished_without_reply(number, Outcome.RESET)


def line_bounds(listen: Any) -> LineLimits:
    """The limits of connections, from the deployment's `listen` section."""
    return LineLimits(listen.longest_line, listen.unsent, listen.open_calls)
