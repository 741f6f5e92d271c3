"""The command `lapistrestle demo`: a roster, runners and an edge as processes, with a live table of calls."""

import json
import tempfile
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.live import Live
from rich.table import Table
from twisted.internet.protocol import ClientFactory

from lapistrestle.edge.reactor import monotonic_reactor
from lapistrestle.standins.child_processes import ChildProcess
from lapistrestle.standins.client import ClientBehaviour, ClientPool, ClientRequest, EdgeLink
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

DEPLOYMENT: dict[str, Any] = {
    "dispatcher": {"name": "edge-0"},
    "zones": ["a", "b"],
    "methods": {
        "price": {"effect": "idempotent", "deadline": "3 s", "soft_deadline": "1 s"},
        "book": {"effect": "side-effecting", "deadline": "3 s", "soft_deadline": "1.5 s"},
    },
    "workers": {"reports": "inline", "tells_warm": True, "tells_company": True},
    "orders": {"allowed": True},
    "allowed": {"come_back": "500 ms"},
}


class LoadProbe(LineConnection):
    """A connection to a runner, which stores the values of its load reports in `report`."""

    protocol = wire.RUNNER
    decoder = message_decoder(wire.FromRunner)

    def __init__(self, report: dict[str, float]) -> None:
        super().__init__(LineLimits())
        self.report = report

    def message_received(self, message: Any) -> None:
        if isinstance(message, wire.ProbeResult) and message.report:
            self.report.update(message.report)


class LoadProbes(ClientFactory):
    """The connections to all runners, with the last load report of each by its port as text."""

    noisy = False

    def __init__(self) -> None:
        self.reports: dict[str, dict[str, float]] = {}
        self.probes: list[LoadProbe] = []
        self.naming: list[str] = []

    def buildProtocol(self, addr: Any) -> LoadProbe:
        report = self.reports.setdefault(str(addr.port), {})
        self.probes.append(LoadProbe(report))
        return self.probes[-1]

    def send_probes(self) -> None:
        for probe in self.probes:
            if probe.is_greeted:
                probe.send_message(wire.Probe(0))


class DemoClients(ClientPool):
    """A client pool that records the latencies of its last 1,000 ok answers, in seconds."""

    def __init__(self, reactor: Any, behaviour: ClientBehaviour) -> None:
        super().__init__(reactor, behaviour, 1)
        self.verdicts = dict.fromkeys(("ok", "denied", "aborted", "fault"), 0)
        self.latencies: list[float] = []

    def on_verdict(self, request: ClientRequest, verdict: str, retry_after: float) -> None:
        self.verdicts[verdict] += 1
        if verdict == "ok":
            self.latencies = [*self.latencies[-999:], self.reactor.seconds() - request.started_at]
        super().on_verdict(request, verdict, retry_after)


@click.command()
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--rate", default=40.0, show_default=True, help="Calls a second.")
@click.option("--runners", default=4, show_default=True, type=click.IntRange(1, 32))
def demo(seconds: float, rate: float, runners: int) -> None:
    """Start a roster, runners and an edge as processes, send calls with a live table, and stop them all.

    Exit status 1 if no call was answered ok, or a process ended with an error.
    """
    console = Console()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        children: list[ChildProcess] = []

        def start(name: str, *args: str) -> ChildProcess:
            children.append(ChildProcess(folder, name, *args))
            children[-1].start()
            return children[-1]

        try:
            console.print(f"starting {runners} runners, a roster and an edge on loopback")
            names = [f"runner-{i}" for i in range(runners)]
            fleet = [start(n, "runner", n) for n in names]
            workers = [
                {"name": n, "port": c.wait_port(), "zone": "ab"[i % 2], "size": 4.0}
                for i, (n, c) in enumerate(zip(names, fleet, strict=True))
            ]
            (folder / "workers.json5").write_text(json.dumps(workers))
            roster = start("roster", "roster", str(folder / "workers.json5"))
            (folder / "edge.json5").write_text(json.dumps(DEPLOYMENT))
            edge = start("edge", "edge", str(folder / "edge.json5"), "--roster-port", str(roster.wait_port()))
            edge.wait_port()
            clients = send_calls(console, edge, workers, seconds, rate)
            exit_codes = {child.name: child.stop() for child in reversed(children)}
        finally:
            for child in children:
                child.stop()
    clean = all(status == 0 for status in exit_codes.values())
    done = sum(clients.verdicts.values())
    console.print(
        f"{clients.counts['wishes']} RPCs wanted, {done} answers ({clients.verdicts['ok']} ok), "
        f"{len(exit_codes)} processes stopped {'clean' if clean else f'not clean: {exit_codes}'}"
    )
    if not clean or not clients.verdicts["ok"]:
        raise SystemExit(1)


def send_calls(
    console: Console, edge: ChildProcess, workers: list[dict[str, Any]], seconds: float, rate: float
) -> DemoClients:
    """Send calls at random times for some seconds, and show a live table; return the clients at the end."""
    reactor = monotonic_reactor()
    clients, probes = DemoClients(reactor, ClientBehaviour()), LoadProbes()
    clients.links = [EdgeLink(clients, "edge-0", edge.port)]
    for worker in workers:
        reactor.connectTCP("127.0.0.1", worker["port"], probes)
    until = reactor.seconds() + seconds

    def send_next() -> None:
        now = reactor.seconds()
        if now >= until:
            return
        number = clients.counts["wishes"] + 1
        method = "book" if clients.random.random() < 0.2 else "price"
        function = f"{method}-rules-{min(int(clients.random.expovariate(0.4)), 9)}"
        work = clients.random.gammavariate(4.0, 10.0)
        clients.submit(
            ClientRequest(
                f"op{number}", function, method, "", 300.0, 2, work, round(work), None,
                "idempotent" if method == "price" else "side-effecting", "all", 3.0, now,
            )
        )  # fmt: skip
        reactor.callLater(clients.random.expovariate(rate), send_next)

    def stop_when_done() -> None:
        if reactor.seconds() >= until and not clients.open:
            reactor.stop()
        else:
            reactor.callLater(0.1, stop_when_done)

    with Live(console=console, refresh_per_second=4) as live:

        def draw() -> None:
            probes.send_probes()
            live.update(live_table(clients, probes, workers))
            reactor.callLater(0.25, draw)

        reactor.callLater(0.3, send_next)
        reactor.callLater(0.3, draw)
        reactor.callLater(seconds + 0.5, stop_when_done)
        reactor.callLater(seconds + 10, reactor.stop)
        reactor.run()
    return clients


def live_table(clients: DemoClients, probes: LoadProbes, workers: list[dict[str, Any]]) -> Table:
    """Return a table of the runners' load, with the verdicts and latencies so far in its title."""
    latencies = sorted(clients.latencies) or [0.0]
    p50, p99 = latencies[len(latencies) // 2] * 1000, latencies[int(len(latencies) * 0.99)] * 1000
    answers = ", ".join(f"{n} {verdict}" for verdict, n in clients.verdicts.items())
    table = Table(title=f"{answers}; latency p50 {p50:.0f} ms, p99 {p99:.0f} ms")
    for column in ("runner", "port", "cores busy", "waiting", "loads under way", "memory in use"):
        table.add_column(column, justify="left" if column == "runner" else "right")
    for worker in workers:
        report = probes.reports.get(str(worker["port"]), {})
        table.add_row(
            worker["name"], str(worker["port"]), f"{report.get('utilization', 0):.0%}",
            f"{report.get('backlog', 0):.0f}", f"{report.get('x1', 0):.0f}", f"{report.get('x0', 0):.0%}",
        )  # fmt: skip
    return table
