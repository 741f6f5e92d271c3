"""The commands that run an edge, a stand-in runner or roster, and `call`, which sends calls to an edge."""

import random
import secrets
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ClientFactory

from lapistrestle.deployment.load import DeploymentError, convert_value, load_deployment, read_json5
from lapistrestle.edge.program import Edge
from lapistrestle.edge.reactor import monotonic_reactor, run
from lapistrestle.records.logs import make_log
from lapistrestle.standins.engine import RunnerSpec
from lapistrestle.standins.roster import RosterStandIn
from lapistrestle.standins.runner import RunnerStandIn, TokenRegistry
from lapistrestle.standins.store import PackageStore, StoreSpec
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

COLD_SHARE = 0.2  # initial capacity of a runner started with --cold, relative to its full capacity
COLD_RAMP_SECONDS = 15.0  # until it has its full capacity
DRAIN_POLL_SECONDS = 0.05  # between two checks whether a draining runner is idle
LAST_ANSWER_SECONDS = 0.1  # for the last answers to be sent before a drained runner exits
DEFAULT_UP_FOR_MS = 86_400_000.0  # of workers whose entry does not state it: long past slow start

PATH = click.Path(path_type=Path)
tell_port = click.option("--tell-port", type=PATH, help="Write the port to this file once it listens.")
as_json = click.option("--json", "json_", is_flag=True, help="Print JSON lines instead of text.")


def write_port(path: Path | None, port: int) -> None:
    """Write the port to the file, if any, by a rename, so that a reader never sees a partial number."""
    if path is not None:
        part = path.with_suffix(".part")
        part.write_text(str(port))
        part.replace(path)


def serve(reactor: Any, start: Callable[[], int], path: Path | None, stop: Callable[[], None]) -> None:
    """Run a program until it stops the reactor.

    `start` returns its port, which is written to `path`; `stop` is called at each SIGTERM and SIGINT. Ends
    with exit status 1 if it can't listen.
    """

    def start_program() -> None:
        try:
            write_port(path, start())
        except CannotListenError as error:
            click.echo(f"can't listen: {error.socketError}", err=True)
            failed.append(1)
            reactor.stop()

    failed: list[int] = []
    run(reactor, start_program, dict.fromkeys((signal.SIGTERM, signal.SIGINT), stop))
    if failed:
        raise SystemExit(1)


@click.command()
@click.argument("deployment", type=PATH)
@click.option("--port", type=int, help="Port to listen at, instead of that in the deployment.")
@click.option("--roster-port", type=int, help="Port of the roster, instead of that in the deployment.")
@click.option("--planner-port", type=int, help="Port of the planner, instead of that in the deployment.")
@tell_port
@as_json
def edge(
    deployment: Path, port: int | None, roster_port: int | None, planner_port: int | None,
    tell_port: Path | None, json_: bool,
) -> None:  # fmt: skip
    """Run an edge: accept calls from clients, and run them on the runners that the roster lists.

    On SIGTERM it accepts no more calls and finishes the open ones; on a second one it aborts them.
    """
    settings = load_deployment(deployment)
    if port is not None:
        settings.listen.port = port
    if roster_port is not None:
        settings.roster.port = roster_port
    if planner_port is not None:
        settings.planner.port = planner_port
    if not settings.roster.port and not settings.directory.shards:
        raise DeploymentError(f"{deployment}: roster.port: is missing; an edge needs one (or --roster-port)")
    reactor = monotonic_reactor()
    try:
        boot, nonce = time.time_ns() // 1_000_000, secrets.randbits(32)
        program = Edge(reactor, settings, make_log(json_), boot=boot, nonce=nonce)
    except CannotListenError as error:
        raise click.ClickException(f"can't listen for peers: {error}") from None
    serve(reactor, program.start, tell_port, lambda: program.stop(reactor.stop))


@click.command()
@click.argument("name")
@click.option("--port", default=0, help="Port to listen at; 0: any free one.")
@click.option("--cores", default=4, show_default=True)
@click.option("--speed", default=1.0, show_default=True, help="Speed of a core; the reference core has 1.")
@click.option("--memory", default=14_000.0, show_default=True, help="Memory in MB.")
@click.option("--queue", default=100, show_default=True, help="Maximum number of waiting calls.")
@click.option("--absent", type=click.Choice(["load", "miss"]), default="load", show_default=True)
@click.option(
    "--cold", is_flag=True, help="Start with a fifth of its capacity, and full capacity after 15 s."
)
@tell_port
def runner(
    name: str, port: int, cores: int, speed: float, memory: float, queue: int, absent: str, cold: bool,
    tell_port: Path | None,
) -> None:  # fmt: skip
    """Run a stand-in runner. A call's body {"work": ms, "load": ms} sets how long it works and loads.

    On SIGTERM it drains, on a second one it stops at once.
    """
    reactor = monotonic_reactor()
    spec = RunnerSpec(cores, speed, memory, queue, absent=absent)
    if cold:
        spec.cold_share, spec.ramp = COLD_SHARE, COLD_RAMP_SECONDS
    log = make_log(runner=name)
    started: list[RunnerStandIn] = []  # empty until `start` is called

    def start() -> int:
        reported = frozenset({"inline", "warm", "company"})
        store = PackageStore(reactor, StoreSpec())
        stamp = time.time_ns() % 1_000_000_000
        started.append(
            RunnerStandIn(
                reactor, name, stamp, spec, store, TokenRegistry(), cold=cold, port=port, reported=reported
            )
        )
        log("listening", port=started[0].port)
        return started[0].port

    def stop() -> None:
        standin = started[0]
        if standin.engine.draining:
            return reactor.stop()
        standin.drain()
        log("draining", running=standin.engine.running)
        stop_when_idle()

    def stop_when_idle() -> None:
        if started[0].engine.running or started[0].engine.queue:
            reactor.callLater(DRAIN_POLL_SECONDS, stop_when_idle)
        else:
            reactor.callLater(LAST_ANSWER_SECONDS, reactor.stop)

    serve(reactor, start, tell_port, stop)


@click.command()
@click.argument("workers", type=PATH)
@click.option("--port", default=0, help="Port to listen at; 0: any free one.")
@click.option("--lag", default=1.0, show_default=True, help="Delay of changes in seconds.")
@tell_port
def roster(workers: Path, port: int, lag: float, tell_port: Path | None) -> None:
    """Run a stand-in roster that lists the workers of a JSON5 file: [{name, port, zone, size, …}].

    On SIGHUP it reads the file again, and sends the changes after the lag.
    """
    reactor = monotonic_reactor()
    log = make_log(roster=str(workers))
    started: list[RosterStandIn] = []  # empty until `start` is called
    known: dict[str, wire.RosterEntry] = {}

    def read_workers(first: bool) -> None:
        value, text = read_json5(workers)
        entries = {e.name: e for e in convert_value(value, list[wire.RosterEntry], text, str(workers))}
        for name, entry in entries.items():
            if entry != known.get(name):
                up_for = (entry.up_for if entry.up_for is not None else DEFAULT_UP_FOR_MS) / 1000
                started[0].record(entry, reactor.seconds() - up_for, now=first)
        for name, entry in known.items():
            if name not in entries:
                started[0].record(msgspec.structs.replace(entry, listing="gone"), 0.0)
        known.clear()
        known.update(entries)
        log("workers file read", workers=len(known))

    def reload_workers() -> None:
        try:
            read_workers(False)
        except DeploymentError as error:
            log("workers file rejected", why=str(error))

    def start() -> int:
        started.append(RosterStandIn(reactor, lag, port=port))
        read_workers(True)
        return started[0].port

    value, text = read_json5(workers)
    convert_value(value, list[wire.RosterEntry], text, str(workers))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload_workers))
    serve(reactor, start, tell_port, reactor.stop)


class CallConnection(LineConnection):
    """The connection of `lapistrestle call` to an edge."""

    protocol = wire.CLIENT
    decoder = message_decoder(wire.ToClient)

    def __init__(self, batch: "CallBatch") -> None:
        super().__init__(LineLimits())
        self.batch = batch

    def greeting_received(self, hello: wire.Hello) -> None:
        self.batch.start(self)

    def message_received(self, message: Any) -> None:
        match message:
            case wire.Answer():
                self.batch.on_answer(message)
            case wire.Fault():
                self.batch.on_fault(message)

    def goodbye_received(self, reason: str) -> None:
        self.batch.error = reason

    def connection_lost(self) -> None:
        self.batch.on_connection_lost()


class CallBatch(ClientFactory):
    """Sends `count` calls at `rate` per second (0: all at once), records the answers, stops the reactor."""

    noisy = False

    def __init__(self, reactor: Any, call: wire.Call, count: int, rate: float) -> None:
        self.reactor, self.call, self.count, self.rate = reactor, call, count, rate
        self.sent: dict[str, float] = {}  # time of sending, by id
        self.done: list[tuple[str, str, float]] = []  # id, verdict and latency in seconds
        self.faults: list[str] = []
        self.error = ""  # why the connection ended
        self.connection: CallConnection | None = None
        self.random = random.Random(1)

    def buildProtocol(self, addr: Any) -> CallConnection:
        return CallConnection(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.error = reason.getErrorMessage()
        self.reactor.stop()

    def start(self, connection: CallConnection) -> None:
        self.connection = connection
        self.send_next()

    def send_next(self) -> None:
        if len(self.sent) >= self.count or self.connection is None:
            return
        name = f"call-{len(self.sent) + 1}"
        self.sent[name] = self.reactor.seconds()
        self.connection.send_message(msgspec.structs.replace(self.call, id=name, key=name))
        self.reactor.callLater(self.random.expovariate(self.rate) if self.rate else 0.0, self.send_next)

    def on_answer(self, answer: wire.Answer) -> None:
        self.done.append((answer.id, answer.verdict, self.reactor.seconds() - self.sent[answer.id]))
        self.stop_when_done()

    def on_fault(self, fault: wire.Fault) -> None:
        self.faults.append(fault.reason)
        self.stop_when_done()

    def stop_when_done(self) -> None:
        if len(self.done) + len(self.faults) >= self.count:
            self.reactor.stop()

    def on_connection_lost(self) -> None:
        self.error = self.error or "the connection broke"
        if self.reactor.running:
            self.reactor.stop()


@click.command()
@click.option("--port", required=True, type=int, help="Port of the edge.")
@click.option("--fn", "function", required=True)
@click.option("--method", required=True)
@click.option("--customer", default="")
@click.option("--left", default=3000.0, show_default=True, help="Timeout of a call in milliseconds.")
@click.option("--memory", default=300.0, show_default=True, help="Memory of a copy of the function in MB.")
@click.option("--lanes", default=1, show_default=True)
@click.option(
    "--work",
    default=50.0,
    show_default=True,
    help="Milliseconds for which a stand-in runner works on a call.",
)
@click.option(
    "--load",
    default=500.0,
    show_default=True,
    help="Milliseconds for which a stand-in runner loads the function.",
)
@click.option("--token", type=int)
@click.option("--count", default=1, show_default=True)
@click.option("--rate", default=0.0, help="Calls a second; 0: all at once.")
@as_json
def call(
    port: int, function: str, method: str, customer: str, left: float, memory: float, lanes: int, work: float,
    load: float, token: int | None, count: int, rate: float, json_: bool,
) -> None:  # fmt: skip
    """Send calls to an edge and show the answers. Exit status 1 unless all are ok."""
    reactor = monotonic_reactor()
    body = msgspec.Raw(msgspec.json.encode({"work": work, "load": load}))
    message = wire.Call(
        "", function, method, left, customer, memory, lanes, work, token=token, load_time=load, body=body
    )
    batch = CallBatch(reactor, message, count, rate)
    reactor.connectTCP("127.0.0.1", port, batch, timeout=5)
    reactor.callLater(left / 1000 + (count / rate if rate else 0) + 5, reactor.stop)
    reactor.run()
    if json_:
        for name, verdict, latency in batch.done:
            click.echo(msgspec.json.encode({"id": name, "verdict": verdict, "ms": round(latency * 1000, 2)}))
    else:
        table = Table("answer", "calls", "fastest ms", "median ms", "slowest ms")
        for verdict in ("ok", "denied", "aborted"):
            times = sorted(latency * 1000 for _, answered, latency in batch.done if answered == verdict)
            if times:
                figures = (times[0], times[len(times) // 2], times[-1])
                table.add_row(verdict, str(len(times)), *(f"{t:.1f}" for t in figures))
        Console().print(table)
    for reason in sorted(set(batch.faults)):
        click.echo(f"rejected: {reason}", err=True)
    if len(batch.done) + len(batch.faults) < count:
        click.echo(f"{count - len(batch.done) - len(batch.faults)} without answer: {batch.error}", err=True)
    sys.exit(0 if len(batch.done) == count and all(v == "ok" for _, v, _ in batch.done) else 1)
