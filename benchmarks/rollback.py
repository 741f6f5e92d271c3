"""Rollbacks on real sockets under load: when the last call-out reached the withdrawn version.

    python benchmarks/rollback.py [--runs 5] [--rate 880]

Edges, planner and roster are processes; the runners live here and note when each call of the candidate
arrives. Each run starts a rollout at half of the traffic, waits until it flows, takes it back, and counts
what came later.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table
from twisted.internet.protocol import ClientFactory

from lapistrestle.edge.reactor import monotonic_reactor
from lapistrestle.standins.child_processes import ChildProcess
from lapistrestle.standins.client import ClientBehaviour, ClientPool, ClientRequest, EdgeLink
from lapistrestle.standins.engine import RunnerSpec
from lapistrestle.standins.roster import RosterStandIn
from lapistrestle.standins.runner import RunnerServerConnection, RunnerStandIn, TokenRegistry
from lapistrestle.standins.store import PackageStore, StoreSpec
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

DEPLOYMENT = """{
  methods: { price: { effect: "idempotent", deadline: "3 s", soft_deadline: "1 s" } },
  dispatcher: { name: "edge-NUMBER", number: NUMBER, of: 2, seed: NUMBER },
  orders: { allowed: true },
}"""
NAME = "fn-0@v2"


class Operator(LineConnection):
    protocol = plans.PLANNER
    decoder = message_decoder(plans.FromPlanner)

    def __init__(self, run: "Run") -> None:
        super().__init__(LineLimits())
        self.run = run

    def greeting_received(self, hello: wire.Hello) -> None:
        self.run.operator = self
        self.run.begin()

    def message_received(self, message: Any) -> None:
        if isinstance(message, plans.CommandReply):
            self.run.replied(message)


class Operators(ClientFactory):
    noisy = False

    def __init__(self, run: "Run") -> None:
        self.run = run

    def buildProtocol(self, addr: Any) -> Operator:
        return Operator(self.run)


class Run:
    """One rollback."""

    def __init__(self, reactor: Any, rate: float) -> None:
        self.reactor, self.rate = reactor, rate
        self.operator: Operator
        self.met: list[float] = []  # when a call of the candidate reached a runner
        self.back = self.accepted = 0.0
        self.crowd = ClientPool(reactor, ClientBehaviour(), 1)
        self.over = False

    def begin(self) -> None:
        self.reactor.callLater(1.0, self.want)
        self.reactor.callLater(5.0, self.order, "start")
        self.look()

    def order(self, what: Any) -> None:
        self.operator.send_message(
            plans.RolloutCommand(what, what, "fn-0", "benchmark", candidate="v2", steps=(0.5, 1.0))
        )

    def look(self) -> None:
        """Once the candidate has had a second of traffic it is taken back."""
        if self.met and self.reactor.seconds() - self.met[0] > 1.0:
            self.back = self.reactor.seconds()
            self.order("back")
            self.reactor.callLater(3.0, self.stop)
        else:
            self.reactor.callLater(0.05, self.look)

    def replied(self, reply: plans.CommandReply) -> None:
        if reply.id == "back":
            self.accepted = self.reactor.seconds()

    def stop(self) -> None:
        self.over = True
        self.reactor.callLater(4.0, self.reactor.stop)

    def want(self) -> None:
        if self.over:
            return
        crowd = self.crowd
        number = crowd.counts["wishes"] + 1
        function = f"fn-{min(int(crowd.random.expovariate(0.7)), 9)}"
        crowd.submit(
            ClientRequest(
                f"op{number}", function, "price", "", 300.0, 4, 2.0, 2.0, None, "idempotent", "all", 3.0,
                self.reactor.seconds(),
            )
        )  # fmt: skip
        self.reactor.callLater(crowd.random.expovariate(self.rate), self.want)


@click.command()
@click.option("--runs", default=5, show_default=True)
@click.option("--rate", default=880.0, show_default=True, help="Calls a second.")
@click.option("--one", is_flag=True, hidden=True)
def main(runs: int, rate: float, one: bool) -> None:
    """Measure."""
    if one:
        return play(rate)
    table = Table(title=f"rollbacks under {rate:.0f} calls a second, two edges, eight runners")
    for head in ("run", "calls of the candidate before", "after it was accepted", "the last, ms after",
                 "calls wanted", "ok", "unanswered"):  # fmt: skip
        table.add_column(head, justify="right")
    for number in range(1, runs + 1):
        command = [sys.executable, __file__, "--one", "--rate", str(rate)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)
        if result.returncode:
            raise SystemExit(result.stdout + result.stderr)
        made = json.loads(result.stdout.splitlines()[-1])
        shown = ("before", "after", "last", "wanted", "ok", "open")
        table.add_row(str(number), *(str(made[key]) for key in shown))
    Console(width=110).print(table)


def play(rate: float) -> None:
    reactor = monotonic_reactor()
    run = Run(reactor, rate)
    store, roster = PackageStore(reactor, StoreSpec(fetches=50.0, limit=500)), RosterStandIn(reactor, 0.0)
    for number in range(8):
        facts = RunnerSpec(cores=4, speed=1.0, memory=40_000.0, queue=500)
        runner = RunnerStandIn(reactor, f"w{number}", 0, facts, store, TokenRegistry())
        entry = wire.RosterEntry(runner.name, runner.port, size=4.0, start=runner.start)
        roster.record(entry, runner.engine.booted, now=True)
    heard = RunnerServerConnection.message_received

    def noting(self: RunnerServerConnection, message: Any) -> None:
        if isinstance(message, wire.Run) and message.function == NAME:
            run.met.append(reactor.seconds())
        heard(self, message)

    RunnerServerConnection.message_received = noting  # type: ignore[method-assign]
    with tempfile.TemporaryDirectory() as name:
        folder, children = Path(name), list[ChildProcess]()
        try:
            planner = ChildProcess(folder, "planner", "planner", str(folder / "journal"))
            planner.start()
            children.append(planner)
            port = planner.wait_port()
            for number in range(2):
                file = folder / f"edge-{number}.json5"
                file.write_text(DEPLOYMENT.replace("NUMBER", str(number)))
                ports = ("--roster-port", str(roster.port), "--planner-port", str(port))
                children.append(ChildProcess(folder, f"edge-{number}", "edge", str(file), *ports))
                children[-1].start()
            edges = children[1:]
            for edge in edges:
                edge.wait_port()
            run.crowd.links = [EdgeLink(run.crowd, edge.name, edge.port) for edge in edges]
            reactor.connectTCP("127.0.0.1", port, Operators(run))
            reactor.callLater(60.0, reactor.stop)
            reactor.run()
        finally:
            for child in children:
                child.stop()
    after = [at for at in run.met if at > run.accepted]
    last = round((after[-1] - run.accepted) * 1000, 1) if after else 0
    print(
        msgspec.json.encode(
            {
                "before": len(run.met) - len(after), "after": len(after), "last": last,
                "wanted": run.crowd.counts["wishes"], "ok": run.crowd.counts["ok"], "open": run.crowd.open,
            }
        ).decode()
    )  # fmt: skip


if __name__ == "__main__":
    main()
