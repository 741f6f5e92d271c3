"""`lapistrestle demo`: roster, runners and edge as processes, calls, and a live table."""

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


class Gauge(LineConnection):
    """Asks a runner for its load now and again."""

    protocol = wire.RUNNER
    decoder = message_decoder(wire.FromRunner)

    def __init__(self, show: dict[str, float]) -> None:
        super().__init__(LineLimits())
        self.show = show

    def message_received(self, message: Any) -> None:
        if isinstance(message, wire.ProbeResult) and message.report:
            self.show.update(message.report)


class Gauges(ClientFactory):
    noisy = False

    def __init__(self) -> None:
        self.shown: dict[str, dict[str, float]] = {}
        self.made: list[Gauge] = []
        self.naming: list[str] = []

    def buildProtocol(self, addr: Any) -> Gauge:
        show = self.shown.setdefault(str(addr.port), {})
        self.made.append(Gauge(show))
        return self.made[-1]

    def ask(self) -> None:
        for gauge in self.made:
            if gauge.is_greeted:
                gauge.send_message(wire.Probe(0))


class DemoCrowd(ClientPool):
    """Notes how long answers took."""

    def __init__(self, reactor: Any, habits: ClientBehaviour) -> None:
        super().__init__(reactor, habits, 1)
        self.verdicts = dict.fromkeys(("ok", "denied", "aborted", "fault"), 0)
        self.took: list[float] = []

    def on_verdict(self, wish: ClientRequest, verdict: str, retry_after: float) -> None:
        self.verdicts[verdict] += 1
        if verdict == "ok":
            self.took = [*self.took[-999:], self.reactor.seconds() - wish.started_at]
        super().on_verdict(wish, verdict, retry_after)


@click.command()
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--rate", default=40.0, show_default=True, help="Calls a second.")
@click.option("--runners", default=4, show_default=True, type=click.IntRange(1, 32))
def demo(seconds: float, rate: float, runners: int) -> None:
    """Start a roster, runners and an edge as processes, send calls, show what happens, stop clean."""
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
            crowd = play(console, edge, workers, seconds, rate)
            ended = {child.name: child.stop() for child in reversed(children)}
        finally:
            for child in children:
                child.stop()
    clean = all(status == 0 for status in ended.values())
    done = sum(crowd.verdicts.values())
    console.print(
        f"{crowd.counts['wishes']} RPCs wanted, {done} answers ({crowd.verdicts['ok']} ok), "
        f"{len(ended)} processes stopped {'clean' if clean else f'not clean: {ended}'}"
    )
    if not clean or not crowd.verdicts["ok"]:
        raise SystemExit(1)


def play(
    console: Console, edge: ChildProcess, workers: list[dict[str, Any]], seconds: float, rate: float
) -> DemoCrowd:
    reactor = monotonic_reactor()
    crowd, gauges = DemoCrowd(reactor, ClientBehaviour()), Gauges()
    crowd.links = [EdgeLink(crowd, "edge-0", edge.port)]
    for worker in workers:
        reactor.connectTCP("127.0.0.1", worker["port"], gauges)
    until = reactor.seconds() + seconds

    def want() -> None:
        now = reactor.seconds()
        if now >= until:
            return
        number = crowd.counts["wishes"] + 1
        method = "book" if crowd.random.random() < 0.2 else "price"
        function = f"{method}-rules-{min(int(crowd.random.expovariate(0.4)), 9)}"
        work = crowd.random.gammavariate(4.0, 10.0)
        crowd.submit(
            ClientRequest(
                f"op{number}", function, method, "", 300.0, 2, work, round(work), None,
                "idempotent" if method == "price" else "side-effecting", "all", 3.0, now,
            )
        )  # fmt: skip
        reactor.callLater(crowd.random.expovariate(rate), want)

    def stop_when_done() -> None:
        if reactor.seconds() >= until and not crowd.open:
            reactor.stop()
        else:
            reactor.callLater(0.1, stop_when_done)

    with Live(console=console, refresh_per_second=4) as live:

        def draw() -> None:
            gauges.ask()
            live.update(table(crowd, gauges, workers))
            reactor.callLater(0.25, draw)

        reactor.callLater(0.3, want)
        reactor.callLater(0.3, draw)
        reactor.callLater(seconds + 0.5, stop_when_done)
        reactor.callLater(seconds + 10, reactor.stop)
        reactor.run()
    return crowd


def table(crowd: DemoCrowd, gauges: Gauges, workers: list[dict[str, Any]]) -> Table:
    took = sorted(crowd.took) or [0.0]
    half, most = took[len(took) // 2] * 1000, took[int(len(took) * 0.99)] * 1000
    answers = ", ".join(f"{n} {word}" for word, n in crowd.verdicts.items())
    made = Table(title=f"{answers}; latency p50 {half:.0f} ms, p99 {most:.0f} ms")
    for column in ("runner", "port", "cores busy", "waiting", "loads under way", "memory in use"):
        made.add_column(column, justify="left" if column == "runner" else "right")
    for worker in workers:
        report = gauges.shown.get(str(worker["port"]), {})
        made.add_row(
            worker["name"], str(worker["port"]), f"{report.get('utilization', 0):.0%}",
            f"{report.get('backlog', 0):.0f}", f"{report.get('x1', 0):.0f}", f"{report.get('x0', 0):.0%}",
        )  # fmt: skip
    return made
