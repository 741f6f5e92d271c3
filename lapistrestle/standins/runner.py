"""A runner on a socket: accepts calls, preloads and health checks, and sends their results."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.protocol import ServerFactory

from lapistrestle.standins.engine import Engine, RunnerSpec, Task
from lapistrestle.standins.store import PackageStore
from lapistrestle.standins.tape import Tape
from lapistrestle.standins.taped_connection import NetworkFaults, TapedConnection
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineLimits, message_decoder

MAX_UP_FOR = 86_400_000.0  # milliseconds; a longer time since the start is reported as this
DEFAULT_LOAD_TIME = 500.0  # milliseconds to load a copy of a function that the day does not know
LONG_AGO = -1e9  # seconds: a token that has not taken effect


class Body(msgspec.Struct):
    """Body of a stand-in client's call: its true work and load time, in milliseconds."""

    work: float = 1.0
    load: float = DEFAULT_LOAD_TIME


BODY = msgspec.json.Decoder(Body)
EFFECT, NO_EFFECT = msgspec.Raw(b'{"did":true}'), msgspec.Raw(b'{"did":false}')


@dataclass
class VersionFault:
    """Defects of a version."""

    errors: float = 0.0  # share of its calls that fail
    slower: float = 1.0  # factor on the work of its calls
    load_errors: float = 0.0  # share of its loads that fail
    when_busy: float = 0.0  # only on runners with at least this part of the cores busy
    customer: str = ""  # only for this customer
    after: float = 0.0  # only from this time on, in seconds of the reactor

    def applies(self, customer: str, busy: float, now: float) -> bool:
        return self.customer in ("", customer) and busy >= self.when_busy and now >= self.after


NO_FAULT = VersionFault()


class TokenRegistry:
    """When each idempotency token last took effect within a group of runners, for each version.

    The hardest case for edges: versions do not share their tokens. Whether a call is a repeat counts from the
    time of its arrival, as it may wait here for longer than tokens are remembered.
    """

    def __init__(self) -> None:
        self.took_effect_at: dict[tuple[str, int], float] = {}

    def is_repeat(self, function: str, token: int | None, arrived_at: float, remembered: float) -> bool:
        return (
            token is not None
            and self.took_effect_at.get((function, token), LONG_AGO) >= arrived_at - remembered
        )

    def record(self, function: str, token: int | None, now: float) -> None:
        if token is not None:
            self.took_effect_at[function, token] = now


class RunnerStandIn:
    """One process of a runner. A restarted runner is a new object with the same name, on another port."""

    def __init__(
        self, reactor: Any, name: str, start: int, spec: RunnerSpec, store: PackageStore,
        tokens: TokenRegistry, tape: Tape | None = None, cold: bool = False, port: int = 0,
        reported: frozenset[str] = frozenset(),
        load_times: dict[str, float] | None = None, on_collapse: Any = None,
    ) -> None:  # fmt: skip
        self.reactor, self.name, self.start, self.spec = reactor, name, f"{name}#{start}", spec
        self.tokens, self.tape, self.reported, self.on_collapse = tokens, tape, reported, on_collapse
        # time to load a copy in milliseconds, by function
        self.load_times = load_times if load_times is not None else {}
        self.network_faults = NetworkFaults(seed=start)
        self.engine = Engine(reactor, spec, store, self.collapse, cold)
        self.version_faults: dict[str, VersionFault] = {}  # by the name of a version
        self.random_source = NetworkFaults(seed=start + 1)
        self.engine.load_fails = lambda function: self.random_source.draw(
            self.version_faults.get(function, NO_FAULT).load_errors
        )
        self.connections: dict[RunnerServerConnection, None] = {}
        self.tasks: dict[tuple[Any, int], Task] = {}  # by the edge's connection and number
        self.count = 0
        self.listening = reactor.listenTCP(port, RunnerFactory(self), interface="127.0.0.1")
        self.port: int = self.listening.getHost().port
        if tape is not None:
            share = 1.0 if not cold else spec.cold_share
            tape.put(self.start, "boot", runner=name, cores=spec.cores, speed=spec.speed, share=share)

    def up_for(self) -> float:
        """Milliseconds since the start."""
        return min(MAX_UP_FOR, round((self.reactor.seconds() - self.engine.booted) * 1000, 1))

    def hello(self) -> wire.Hello:
        return wire.Hello(
            wire.RUNNER, wire.VERSION, self.name, start=self.start, up_for=self.up_for(),
            draining=self.engine.draining,
        )  # fmt: skip

    def kill(self) -> None:
        self.engine.dead = True
        self.listening.stopListening()
        for connection in list(self.connections):
            connection.break_off()
        if self.tape is not None:
            self.tape.put(self.start, "end", runner=self.name)

    def collapse(self) -> None:
        """Collapses under overload; the process does not come back by itself."""
        if self.tape is not None:
            self.tape.put(self.start, "fell", runner=self.name)
        self.kill()
        if self.on_collapse is not None:
            self.on_collapse(self)

    def drain(self) -> None:
        self.engine.draining = True
        for connection in self.connections:
            connection.send_message(wire.Draining())

    def refuse(self, on: bool) -> None:
        """A fault: no connection is accepted; established ones go on."""
        if on:
            self.listening.stopListening()
        else:
            self.listening = self.reactor.listenTCP(self.port, RunnerFactory(self), interface="127.0.0.1")

    # messages of edges, on sockets and in the model

    def handle(self, message: Any, peer: Any, send: Callable[[Any], None]) -> None:
        """Handles a message that came over the connection `peer`; answers go to `send`."""
        engine = self.engine
        match message:
            case wire.Run():
                self.run(message, peer, send)
            case wire.Cancel():
                if task := self.tasks.get((peer, message.call_id)):
                    engine.cancel(task)
            case wire.PreloadRequest():
                load = self.load_times.get(message.function, DEFAULT_LOAD_TIME) / 1000

                def on_preloaded(outcome: Any, count: int) -> None:
                    engine.when_running(lambda: send(wire.PreloadResult(message.preload_id, outcome, count)))

                engine.preload(
                    message.function, message.count, message.memory, message.lanes, load, on_preloaded
                )
            case wire.Unload():
                engine.unload(message.function)
            case wire.Probe():
                engine.when_running(lambda: send(wire.ProbeResult(message.probe_id, self.report("on_probe"))))

    def report(self, how: str) -> dict[str, float] | None:
        return self.engine.report() if {how, "inline"} & self.reported else None

    def run(self, run: wire.Run, peer: Any, send: Callable[[Any], None]) -> None:
        try:
            body = BODY.decode(run.body)
        except msgspec.MsgspecError:
            body = Body()
        took_effect = [False]
        engine, fault = self.engine, self.version_faults.get(run.function, NO_FAULT)
        busy = engine.running / engine.spec.cores
        arrived_at = self.reactor.seconds()
        fault = fault if fault.applies(run.customer, busy, arrived_at) else NO_FAULT

        def on_started(task: Task) -> bool:
            if self.tokens.is_repeat(run.function, run.token, arrived_at, self.spec.token_memory):
                return False
            self.tokens.record(run.function, run.token, self.reactor.seconds())
            took_effect[0] = True
            if self.tape is not None:
                self.tape.put(
                    peer.connection,
                    "effect",
                    call=run.call_id,
                    key=run.key,
                    method=run.method,
                    token=run.token,
                )
            return True

        def on_finished(task: Task, outcome: Any, load_state: Any, details: dict[str, Any]) -> None:
            self.tasks.pop((peer, run.call_id), None)
            if outcome == "ok" and self.random_source.draw(fault.errors):
                outcome = "error"
            send(
                wire.RunFinished(
                    run.call_id,
                    outcome,
                    load_state if "warm" in self.reported or load_state == "load failed" else "",
                    details["company"] if "company" in self.reported else None,
                    details["report"] if "inline" in self.reported else None,
                    EFFECT if took_effect[0] else NO_EFFECT,
                )
            )  # fmt: skip

        load = self.load_times.get(run.function, body.load) / 1000
        task = Task(
            run.function,
            body.work * fault.slower / 1000,
            run.memory,
            run.lanes,
            load,
            on_finished,
            on_started,
        )
        self.tasks[peer, run.call_id] = task
        engine.run(task)


class RunnerFactory(ServerFactory):
    noisy = False

    def __init__(self, runner: RunnerStandIn) -> None:
        self.runner = runner

    def buildProtocol(self, addr: Any) -> "RunnerServerConnection | None":
        if self.runner.engine.dead:
            return None
        self.runner.count += 1
        return RunnerServerConnection(self.runner, f"{self.runner.start}/{self.runner.count}")


class RunnerServerConnection(TapedConnection):
    protocol = wire.RUNNER
    decoder = message_decoder(wire.ToRunner)
    greets_first = False

    def __init__(self, runner: RunnerStandIn, name: str) -> None:
        super().__init__(LineLimits(), runner.reactor, runner.tape, runner.network_faults, name)
        self.runner = runner

    def connectionMade(self) -> None:
        self.runner.connections[self] = None
        self.record_open(runner=self.runner.name, start=self.runner.start)
        super().connectionMade()

    def greeting(self) -> wire.Hello:
        return self.runner.hello()

    def message_received(self, message: Any) -> None:
        self.runner.handle(message, self, self.send_message)

    def connection_lost(self) -> None:
        self.runner.connections.pop(self, None)
