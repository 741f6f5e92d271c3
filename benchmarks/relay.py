"""Compares the edge with a minimal LineReceiver relay of the same lines, in one run on loopback.

    python benchmarks/relay.py                 both, with 12 and 91 runners
    python benchmarks/relay.py --soak 1000000  memory of the edge over a million calls
    python benchmarks/relay.py --door          the edge alone and as a member of a fleet of 200, alternately

The measured program, the runners (which answer immediately) and the clients each have their own process and
core. The relay forwards each call's line to the next runner, round robin, and returns its answer.
"""

import json
import os
import random
import signal
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
import psutil
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.protocols.basic import LineReceiver

from lapistrestle.command.programs import serve
from lapistrestle.deployment.load import load_deployment
from lapistrestle.deployment.schema import Fleet
from lapistrestle.edge.program import Edge
from lapistrestle.edge.reactor import monotonic_reactor
from lapistrestle.standins.fleet import free_udp_ports
from lapistrestle.standins.roster import RosterStandIn
from lapistrestle.wire import messages as wire
from lapistrestle.wire.fleet import (
    CounterGossip,
    CounterSnapshot,
    Datagram,
    MemberRecord,
    MemberStatus,
    encode,
)
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

HELLO = msgspec.json.encode(wire.Hello(wire.CLIENT, wire.VERSION)) + b"\n"
COLUMNS = (
    "program", "calls/s at saturation", "ok", "CPU µs a call", "of it module", "p50 µs at 880/s",
    "p99 µs at 880/s", "CPU µs a call at 880/s", "MB",
)  # fmt: skip
DEPLOYMENT = """{
  methods: { m: { effect: "idempotent", deadline: "3 s", soft_deadline: "1 s" } },
  orders: { allowed: true }, listen: { open_calls: 100000 },
}"""


class InstantRunner(LineConnection):
    """A runner that answers immediately; it also accepts the calls that the relay forwards unchanged."""

    protocol = wire.RUNNER
    decoder = message_decoder(
        wire.Hello | wire.Run | wire.Cancel | wire.PreloadRequest | wire.Unload | wire.Call
    )
    greets_first = False

    def __init__(self, name: str) -> None:
        super().__init__(LineLimits())
        self.name, self.is_greeted = name, False

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, self.name, start=f"{self.name}#0", up_for=3_600_000.0)

    def handle_greeting(self, hello: wire.Hello) -> None:
        if hello.protocol == wire.RUNNER:
            super().handle_greeting(hello)
        self.is_greeted = True

    def message_received(self, message: Any) -> None:
        match message:
            case wire.Run():
                self.send_message(wire.RunFinished(message.call_id, "ok"))
            case wire.Call():
                self.send_message(wire.Answer(message.id, "ok"))
            case wire.PreloadRequest():
                self.send_message(wire.PreloadResult(message.preload_id, "ok", max(1, message.count)))


class RunnerFactory(ServerFactory):
    noisy = False

    def __init__(self, name: str) -> None:
        self.name = name

    def buildProtocol(self, addr: Any) -> InstantRunner:
        return InstantRunner(self.name)


class RunnerSide(LineReceiver):
    """The relay's connection to one runner."""

    transport: Any
    delimiter = b"\n"

    def __init__(self, relay: "Relay") -> None:
        self.relay = relay

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(HELLO)
        self.relay.runner_connections.append(self)

    def lineReceived(self, line: bytes) -> None:
        if self.relay.client_connection is not None:
            self.relay.client_connection.transport.write(line + b"\n")


class ClientSide(LineReceiver):
    """The relay's connection from the client."""

    transport: Any
    delimiter = b"\n"

    def __init__(self, relay: "Relay") -> None:
        self.relay, self.next_runner = relay, 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.relay.client_connection = self
        self.transport.write(HELLO)

    def lineReceived(self, line: bytes) -> None:
        if line.startswith(b'{"is":"call"'):
            self.next_runner += 1
            runner_connections = self.relay.runner_connections
            runner_connections[self.next_runner % len(runner_connections)].transport.write(line + b"\n")


class Relay(ServerFactory, ClientFactory):
    noisy = False

    def __init__(self) -> None:
        self.runner_connections: list[RunnerSide] = []
        self.client_connection: ClientSide | None = None

    def buildProtocol(self, addr: Any) -> ClientSide:
        return ClientSide(self)


class RunnerDialer(ClientFactory):
    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: Any) -> RunnerSide:
        return RunnerSide(self.relay)


def pin_to_core(core: int) -> None:
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, {cores[core % len(cores)]})


class Client(LineConnection):
    protocol = wire.CLIENT
    decoder = message_decoder(wire.ToClient)

    def __init__(self, load: "LoadGenerator") -> None:
        super().__init__(LineLimits())
        self.load = load

    def greeting_received(self, hello: wire.Hello) -> None:
        self.load.ready(self)

    def message_received(self, message: Any) -> None:
        if isinstance(message, wire.Answer):
            self.load.answer_received(message)


class LoadGenerator(ClientFactory):
    """Sends calls, either with a fixed number in flight or at a rate, and records their latencies."""

    noisy = False

    def __init__(self, reactor: Any, out: int, rate: float, seconds: float, max_calls: int) -> None:
        self.reactor, self.concurrency, self.rate, self.seconds, self.max_calls = (
            reactor,
            out,
            rate,
            seconds,
            max_calls,
        )
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.sent: dict[str, float] = {}
        self.count = self.done = self.ok = 0
        self.started_at = self.ended_at = 0.0
        self.random = random.Random(1)
        self.memory_samples: list[tuple[int, int]] = []
        self.process: psutil.Process | None = None
        body = msgspec.Raw(b'{"work":1}')
        self.calls = [wire.Call("", f"fn-{i}", "m", 3000.0, memory=100.0, lanes=16, work=1.0, body=body)
                      for i in range(40)]  # fmt: skip

    def buildProtocol(self, addr: Any) -> Client:
        return Client(self)

    def ready(self, client: Client) -> None:
        self.client = client
        self.reactor.callLater(0.3, self.start)

    def start(self) -> None:
        self.started_at = self.reactor.seconds()
        if self.rate:
            self.due = self.started_at
            self.tick()
        else:
            for _ in range(self.concurrency):
                self.send()

    def tick(self) -> None:
        now = self.reactor.seconds()
        while self.due <= now:
            self.due += self.random.expovariate(self.rate)
            self.send()
        if now - self.started_at < self.seconds:
            self.reactor.callLater(max(0.0, self.due - now), self.tick)
        else:
            self.reactor.callLater(0.5, self.stop)

    def send(self) -> None:
        self.count += 1
        name = str(self.count)
        self.sent[name] = self.reactor.seconds()
        call = self.calls[self.random.randrange(len(self.calls))]
        call.id = name
        self.client.send_message(call)

    def answer_received(self, answer: wire.Answer) -> None:
        now = self.reactor.seconds()
        self.histogram.record_value(max(1, round((now - self.sent.pop(answer.id)) * 1e6)))
        self.done += 1
        self.ok += answer.verdict == "ok"
        if self.process is not None and self.done % 100_000 == 0:
            self.memory_samples.append((self.done, self.process.memory_info().rss))
        if not self.rate:
            if (now - self.started_at < self.seconds or self.max_calls) and (
                not self.max_calls or self.count < self.max_calls
            ):
                self.send()
            elif not self.sent:
                self.stop()

    def stop(self) -> None:
        self.ended_at = self.reactor.seconds()
        self.reactor.stop()


@click.group(invoke_without_command=True)
@click.option("--seconds", default=5.0, show_default=True)
@click.option("--door", is_flag=True, help="Only measure the CPU cost of fleet membership per call.")
@click.option("--soak", default=0, help="Only run this many calls through the edge and report its memory.")
@click.pass_context
def main(ctx: click.Context, seconds: float, door: bool, soak: int) -> None:
    """Runs the comparison and prints the results."""
    if ctx.invoked_subcommand:
        return
    folder = Path(f"/tmp/relay-{os.getpid()}")
    folder.mkdir()
    console = Console(width=120)
    if soak:
        figures = measure(folder, "edge", 12, 64, 0.0, 0.0, soak)
        for done, rss in figures["marks"]:
            console.print(f"{done:>9} calls: {rss / 1e6:.1f} MB")
        return
    if door:
        return measure_fleet_overhead(folder, console, seconds)
    for runners in (12, 91):
        table = Table(title=f"{runners} runners")
        for head in COLUMNS:
            table.add_column(head, justify="left" if head == "program" else "right")
        rows = {}
        for what in ("relay", "edge"):
            saturated = measure(folder, what, runners, 64, 0.0, seconds, 0)
            at_rate = measure(folder, what, runners, 0, 880.0, seconds, 0)
            rows[what] = (saturated, at_rate)
            shown = [
                saturated["cpu"],
                saturated["module"],
                at_rate["p50"],
                at_rate["p99"],
                at_rate["cpu"],
                saturated["rss"] / 1e6,
            ]
            table.add_row(
                what,
                f"{saturated['rate']:.0f}",
                f"{saturated['ok']:.4f}",
                *(f"{figure:.0f}" for figure in shown),
            )
        console.print(table)
        (relay, relay_at_rate), (edge, edge_at_rate) = rows["relay"], rows["edge"]
        median_added, most = (edge_at_rate[p] - relay_at_rate[p] for p in ("p50", "p99"))
        console.print(
            f"edge to relay: {edge['rate'] / relay['rate']:.2f} of its calls; "
            f"added at 880 a second p50 {median_added:.0f} µs, p99 {most:.0f} µs"
        )


def measure_fleet_overhead(folder: Path, console: Console, seconds: float) -> None:
    """Measures both alternately, so that other load on the machine affects them equally."""
    found: dict[str, list[float]] = {"edge": [], "member": []}
    for _ in range(5):
        for what, costs in found.items():
            costs.append(measure(folder, what, 12, 0, 880.0, seconds, 0)["cpu"])
    alone, member = (statistics.median(costs) for costs in found.values())
    for what, costs in found.items():
        console.print(f"{what}: CPU µs a call at 880/s " + ", ".join(f"{cost:.0f}" for cost in sorted(costs)))
    console.print(f"member of a fleet of 200: {member - alone:+.0f} µs a call, {member / alone - 1:+.1%}")


def measure(
    folder: Path, what: str, runners: int, out: int, rate: float, seconds: float, most: int
) -> dict[str, Any]:
    """Runs one measurement in its own process, since a reactor can be started only once."""
    figures = map(str, (runners, out, rate, seconds, most))
    command = [sys.executable, __file__, "one", what, str(folder), *figures]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    if result.returncode:
        raise SystemExit(f"{what} failed:\n{result.stdout}\n{result.stderr}")
    measured: dict[str, Any] = json.loads(result.stdout.splitlines()[-1])
    return measured


def start_program(folder: Path, *args: str) -> tuple[subprocess.Popen[bytes], list[int]]:
    port = folder / f"{args[0]}-{time.monotonic_ns()}.port"
    child = subprocess.Popen([sys.executable, __file__, args[0], str(port), *args[1:]])
    until = time.monotonic() + 20
    while not port.exists():
        if child.poll() is not None or time.monotonic() > until:
            raise SystemExit(f"{args[0]} did not start")
        time.sleep(0.01)
    return child, json.loads(port.read_text())


@main.command()
@click.argument("what")
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("runners", type=int)
@click.argument("out", type=int)
@click.argument("rate", type=float)
@click.argument("seconds", type=float)
@click.argument("most", type=int)
def one(what: str, folder: Path, runners: int, out: int, rate: float, seconds: float, most: int) -> None:
    """Starts the other programs, loads the measured one and prints the figures as JSON."""
    pin_to_core(2)
    fleet, ports = start_program(folder, "runners", str(runners))
    roster, (roster_port, *_) = start_program(folder, "roster", json.dumps(ports))
    program, (port,) = start_program(folder, what, json.dumps(ports), str(roster_port))
    try:
        time.sleep(0.5)
        reactor = monotonic_reactor()
        load_ = LoadGenerator(reactor, out, rate, seconds, most)
        process = psutil.Process(program.pid)
        load_.process = process
        reactor.connectTCP("127.0.0.1", port, load_)
        before = process.cpu_times()
        reactor.run()
        after = process.cpu_times()
        cpu = after.user + after.system - before.user - before.system
        rss = process.memory_info().rss
        program.send_signal(signal.SIGTERM)
        program.wait(10)
        spent_file = folder / f"spent-{program.pid}"
        spent = float(spent_file.read_text()) if spent_file.exists() else 0.0
    finally:
        for child in (fleet, roster, program):
            if child.poll() is None:
                child.kill()
            child.wait()
    histogram = load_.histogram
    print(
        json.dumps(
            {
                "rate": load_.done / (load_.ended_at - load_.started_at),
                "ok": load_.ok / max(1, load_.done),
                "cpu": cpu / load_.done * 1e6,
                "module": spent / load_.done * 1e6,
                "p50": histogram.get_value_at_percentile(50),
                "p99": histogram.get_value_at_percentile(99),
                "rss": rss,
                "marks": load_.memory_samples,
            }
        )
    )


@main.command()
@click.argument("port", type=click.Path(path_type=Path))
@click.argument("count", type=int)
def runners(port: Path, count: int) -> None:
    pin_to_core(1)
    reactor = monotonic_reactor()
    listeners = [reactor.listenTCP(0, RunnerFactory(f"w{i}"), interface="127.0.0.1") for i in range(count)]
    write_ports(port, [listener.getHost().port for listener in listeners])
    reactor.run()


def write_ports(path: Path, ports: list[int]) -> None:
    part = path.with_suffix(".part")
    part.write_text(json.dumps(ports))
    part.replace(path)


@main.command()
@click.argument("port", type=click.Path(path_type=Path))
@click.argument("ports")
def roster(port: Path, ports: str) -> None:
    pin_to_core(3)
    reactor = monotonic_reactor()
    stand_in = RosterStandIn(reactor, 0.0)
    for number, at in enumerate(json.loads(ports)):
        entry = wire.RosterEntry(f"w{number}", at, size=4.0, start=f"w{number}#0")
        stand_in.record(entry, reactor.seconds() - 3600, now=True)
    write_ports(port, [stand_in.port])
    reactor.run()


@main.command()
@click.argument("port", type=click.Path(path_type=Path))
@click.argument("ports")
@click.argument("roster_port")
def relay(port: Path, ports: str, roster_port: str) -> None:
    pin_to_core(0)
    reactor = monotonic_reactor()
    relay_factory = Relay()
    for at in json.loads(ports):
        reactor.connectTCP("127.0.0.1", at, RunnerDialer(relay_factory))
    write_ports(port, [reactor.listenTCP(0, relay_factory, interface="127.0.0.1").getHost().port])
    reactor.run()


@main.command()
@click.argument("port", type=click.Path(path_type=Path))
@click.argument("ports")
@click.argument("roster_port", type=int)
def edge(port: Path, ports: str, roster_port: int) -> None:
    run_edge(port, roster_port, ())


@main.command()
@click.argument("port", type=click.Path(path_type=Path))
@click.argument("ports")
@click.argument("roster_port", type=int)
def member(port: Path, ports: str, roster_port: int) -> None:
    """The edge in a fleet with 199 others, each of which sends its counters once a second."""
    run_edge(port, roster_port, tuple(f"other-{i}" for i in range(199)))


def run_edge(port: Path, roster_port: int, others: tuple[str, ...]) -> None:
    pin_to_core(0)
    reactor = monotonic_reactor()
    path = port.with_suffix(".json5")
    path.write_text(DEPLOYMENT)
    deployment = load_deployment(path)
    deployment.roster.port = roster_port
    if others:
        deployment.fleet = Fleet(name="measured", port=free_udp_ports(1)[0])
    program = Edge(reactor, deployment, lambda what, **figures: None)
    program.host.events.stopwatch = time.perf_counter

    records = tuple(MemberRecord(name, 1, 1, 0, MemberStatus.ALIVE, "127.0.0.1", 1) for name in others)

    def send_counters(second: int) -> None:
        """Sends one second's counters of all members, as datagrams spread over the second."""
        member = program.fleet_member
        assert member is not None
        digests = member.admission.counters
        counts = (10 * second,) * len(digests.counts)
        rows = [CounterSnapshot(name, 1, 1, second + 1, 10_000 * (second + 1), 0, counts) for name in others]
        for first in range(0, len(rows), 10):  # each sender also forwards others' counters
            claim = records[first]
            gossip = CounterGossip(digests.layout, tuple(rows[first : first + 10]))
            piggybacked = () if second else records[first : first + 10]
            data = encode(Datagram("measured", 1, claim, gossip, piggybacked))
            when = first / len(others)
            reactor.callLater(when, member.endpoint.datagramReceived, data, ("127.0.0.1", 1))
        reactor.callLater(1.0, send_counters, second + 1)

    def start_edge() -> int:
        at = program.start()
        if others:
            send_counters(0)
        write_ports(port, [at])
        return at

    serve(reactor, start_edge, None, reactor.stop)
    (port.parent / f"spent-{os.getpid()}").write_text(str(program.host.events.module_seconds))


if __name__ == "__main__":
    main()
