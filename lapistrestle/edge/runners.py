"""Connections to runners in the JSON lines protocol; their state machine is `edge.linking`."""

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lapistrestle.edge.linking import Input, Line, Link, LinkCallbacks, Linking
from lapistrestle.hosting.host import ModuleHost
from lapistrestle.hosting.requests import NO_REPORT, WorkerCall, WorkerTask
from lapistrestle.policy.types import LoadState, Outcome
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

OUTCOMES = {
    "ok": Outcome.OK, "error": Outcome.ERROR, "full": Outcome.REJECTED, "miss": Outcome.NOT_LOADED,
    "cancelled": Outcome.CANCELLED,
}  # fmt: skip
WARMTH = {
    "": LoadState.UNKNOWN, "stood": LoadState.LOADED, "began load": LoadState.STARTED_LOAD,
    "joined load": LoadState.JOINED_LOAD, "load failed": LoadState.LOAD_FAILED,
}  # fmt: skip


def run_of(worker_call: WorkerCall, now: int) -> wire.Run:
    """The message of an attempt, with the time left to it at `now`."""
    pending, asked = worker_call.pending, worker_call.pending.message
    left = max(1, worker_call.expires_at - now) / 10
    return wire.Run(
        worker_call.number, pending.tag, pending.function.name, asked.method, left, asked.customer,
        asked.memory, asked.lanes, asked.token, asked.key, asked.body,
    )  # fmt: skip


def hold_of(task: WorkerTask) -> wire.PreloadRequest:
    """The message of a preload."""
    assert task.function is not None
    function = task.function
    return wire.PreloadRequest(task.number, function.name, task.count, function.memory_mb, function.lanes)


def encoded(message: wire.Message) -> bytes:
    """A message as a line."""
    return wire.encode(message) + b"\n"


def tell(host: ModuleHost, said: wire.RunFinished | wire.PreloadResult | wire.ProbeResult) -> None:
    """Report to the host how an attempt, preload or health check ended."""
    match said:
        case wire.RunFinished():
            host.attempt_finished(
                said.call_id, OUTCOMES[said.outcome], said.body, WARMTH[said.load_state], said.concurrency,
                said.report or NO_REPORT,
            )  # fmt: skip
        case wire.PreloadResult():
            host.preload_finished(said.preload_id, OUTCOMES[said.outcome], said.count)
        case wire.ProbeResult():
            host.health_check_finished(said.probe_id, Outcome.OK, said.report or NO_REPORT)


class RunnerSpeaker(LineConnection):
    """The edge's end of one connection to a runner; `runner` is None once the connection was abandoned."""

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
            self.runner.met(hello)

    def message_received(self, message: Any) -> None:
        if self.runner:
            self.runner.heard(message)

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        """Ignore the line, so that other calls are not affected; a call that it may have ended will
        time out.
        """
        if self.runner:
            self.runner.edge.passed_over(self.runner.linking.name, why)

    def write_blocked(self, slow: bool) -> None:
        if self.runner:
            self.runner.linking.step(Input.SLOWED if slow else Input.EASED)

    def pauseProducing(self) -> None:
        """Keep reading from a runner that reads slowly: it may still report how calls ended."""
        self.paused = False

    def resumeProducing(self) -> None: ...

    def connection_lost(self) -> None:
        if runner := self.runner:
            runner.edge.input()
            runner.drop_speaker()
            runner.linking.step(Input.BROKE)


class Dial(ClientFactory):
    """One attempt to connect to a runner."""

    noisy = False

    def __init__(self, runner: "Runner") -> None:
        self.runner: Runner | None = runner
        self.speaker: RunnerSpeaker | None = None

    def buildProtocol(self, addr: Any) -> RunnerSpeaker | None:
        if self.runner is None:
            return None
        self.speaker = self.runner.speaker = RunnerSpeaker(self.runner)
        return self.speaker

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        if self.runner is not None and self.runner.dialling is self:
            self.runner.dialling = None
            self.runner.linking.step(Input.FAILED)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None: ...


class Runner(LinkCallbacks):
    """The connection to one runner process; a process at another address gets its own object."""

    def __init__(self, edge: Any, name: str, port: int, start: str) -> None:
        self.edge, self.address, self.start = edge, port, start
        self.linking = Linking(name, self, lambda text: edge.log("link", figures=text), edge.clock)
        self.speaker: RunnerSpeaker | None = None
        self.dialling: Dial | None = None
        self.connector: Any = None
        self.patience: Any = None

    # core.RunnerHandle

    def named(self) -> None:
        self.linking.step(Input.NAMED)

    def dropped(self) -> None:
        self.linking.step(Input.DROPPED)

    def hold_back(self) -> None:
        self.linking.hold_back()

    def end(self) -> None:
        self.drop_speaker()

    # sending

    def send_call(self, worker_call: WorkerCall) -> None:
        worker_call.connection = self
        number, until = worker_call.number, worker_call.write_by
        if not self.linking.send(Line(number, lambda: self.run_line(worker_call), until, work=worker_call)):
            self.host.attempt_finished(worker_call.number, Outcome.REJECTED)

    def run_line(self, worker_call: WorkerCall) -> bytes:
        return encoded(run_of(worker_call, self.edge.clock()))

    def cancel_unsent(self, number: int) -> bool:
        return self.linking.cancel_unsent(number)

    def withdraw(self, number: int, notify: bool) -> bool:
        """Stop waiting for this number; True if its line was never sent. Otherwise `notify` the runner."""
        if self.linking.withdraw(number):
            return True
        if notify and self.linking.state in (Link.OPEN, Link.ENDING):
            self.write(wire.encode(wire.Cancel(number)) + b"\n")
        return False

    def send_preload(self, task: WorkerTask) -> None:
        task.connection = self
        work = task if task.count else None
        line = Line(task.number, lambda: encoded(hold_of(task)), work=work)
        if not self.linking.send(line, prompt=task.count > 0):
            self.host.preload_finished(task.number, Outcome.REJECTED, 0)

    def unload(self, function: str) -> None:
        self.linking.send(Line(0, lambda: encoded(wire.Unload(function))))

    def send_health_check(self, task: WorkerTask) -> None:
        task.connection = self
        if not self.linking.send(Line(task.number, lambda: encoded(wire.Probe(task.number)))):
            self.host.health_check_finished(task.number, Outcome.REJECTED, NO_REPORT)

    # messages from the runner

    @property
    def host(self) -> ModuleHost:
        host: ModuleHost = self.edge.host
        return host

    def met(self, hello: wire.Hello) -> None:
        self.edge.input()
        if hello.name != self.linking.name:
            self.edge.passed_over(self.linking.name, f"{hello.name or 'nobody'} answers at its port")
            if self.speaker:
                self.speaker.close_with_reason(f"{self.linking.name} was expected here")
            return
        self.start = hello.start or self.start
        self.stop_patience()
        self.dialling = None
        self.edge.runner_met(self.linking.name, hello)
        self.linking.step(Input.GREETED)

    def heard(self, message: Any) -> None:
        self.edge.input()
        match message:
            case wire.RunFinished():
                self.tell_if(self.linking.ended(message.call_id), message)
            case wire.RunStarted():
                if message.call_id in self.linking.out:
                    self.host.attempt_started(message.call_id)
                else:
                    self.host.unmatched_reply()
            case wire.PreloadResult():
                self.tell_if(self.linking.ended(message.preload_id), message)
            case wire.ProbeResult():
                self.tell_if(self.linking.ended(message.probe_id), message)
            case wire.Draining():
                self.edge.runner_drains(self.linking.name, self.start)
            case wire.Fault():
                self.edge.passed_over(self.linking.name, f"it could not take a line: {message.reason}")

    def tell_if(self, known: object, said: Any) -> None:
        """Report a reply to a request in flight; ignore duplicate or unexpected ones."""
        if known:
            tell(self.host, said)
        else:
            self.host.unmatched_reply()

    # linking.LinkCallbacks

    def dial(self) -> None:
        dial = self.dialling = Dial(self)
        time_out = self.edge.settings.connect_timeout / 10_000
        self.stop_patience()
        self.patience = self.edge.reactor.callLater(time_out, self.unmet, dial)
        self.connector = self.edge.reactor.connectTCP("127.0.0.1", self.address, dial, timeout=time_out)

    def unmet(self, dial: Dial) -> None:
        """No greeting came within the connect timeout: the connection failed."""
        self.patience = None
        if self.dialling is dial:
            self.drop_speaker()
            self.linking.step(Input.FAILED)

    def stop_patience(self) -> None:
        if self.patience is not None and self.patience.active():
            self.patience.cancel()
        self.patience = None

    def drop_speaker(self) -> None:
        """Abandon the connection: further messages on it are ignored."""
        self.stop_patience()
        speaker, self.speaker, dial, self.dialling = self.speaker, None, self.dialling, None
        if dial is not None:
            dial.runner = None
        if speaker is not None:
            speaker.runner = None
            if not speaker.closed:
                speaker.closed = True
                speaker.transport.unregisterProducer()
                speaker.transport.loseConnection()
        elif dial is not None and self.connector is not None:
            self.connector.disconnect()

    def may_begin(self, work: WorkerCall | WorkerTask) -> bool:
        may: bool = self.edge.gate.may_begin(work, self)
        return may

    def write(self, line: bytes, number: int = 0) -> bool:
        if self.speaker is not None:
            self.speaker.send_line(line)
        return True

    def close(self) -> None:
        self.drop_speaker()

    def ask(self, delay: int) -> None:
        self.edge.after(delay, self.linking.step, Input.DUE)

    def never_left(self, numbers: list[int]) -> None:
        for number in numbers:
            self.host.finished_without_reply(number, Outcome.UNREACHABLE)

    def not_sent(self, numbers: list[int]) -> None:
        for number in numbers:
            self.host.finished_without_reply(number, Outcome.NOT_SENT)

    def broke(self, numbers: list[int]) -> None:
        for number in numbers:
            self.host.finished_without_reply(number, Outcome.RESET)


def bounds_of(listen: Any) -> LineLimits:
    """The limits of connections, from the deployment's `listen` section."""
    return LineLimits(listen.longest_line, listen.unsent, listen.open_calls)
