"""Rollbacks on real sockets under load: how long calls still reach the withdrawn version.

    python benchmarks/rollback.py [--runs 5] [--rate 880]

Edges and planner are processes of their own; the roster and the runners run in this process, where the
runners record each call of the candidate. Each run starts a rollout with half of the traffic, waits until the
candidate gets calls, rolls it back, and counts the calls that arrive later.
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


class OperatorConnection(LineConnection):
    """The operator's connection to the planner."""

    protocol = plans.PLANNER
    decoder = message_decoder(plans.FromPlanner)

    def __init__(self, run: "Run") -> None:
        super().__init__(LineLimits())
        self.run = run

    def greeting_received(self, hello: wire.Hello) -> None:
        self.run.operator = self
        self.run.start()

    def message_received(self, message: Any) -> None:
        if isinstance(message, plans.CommandReply):
            self.run.on_reply(message)


class OperatorFactory(ClientFactory):
    """Creates the operator's connection."""

    noisy = False

    def __init__(self, run: "Run") -> None:
        self.run = run

    def buildProtocol(self, addr: Any) -> OperatorConnection:
        return OperatorConnection(self.run)


class Run:
    """One rollback under load."""

    def __init__(self, reactor: Any, rate: float) -> None:
        self.reactor, self.rate = reactor, rate
        self.operator: OperatorConnection
        self.candidate_calls: list[float] = []  # times at which runners received calls of the candidate
        self.back = self.accepted = 0.0  # times at which the rollback was sent and accepted
        self.clients = ClientPool(reactor, ClientBehaviour(), 1)
        self.stopped = False

    def start(self) -> None:
        self.reactor.callLater(1.0, self.submit_next)
        self.reactor.callLater(5.0, self.send_command, "start")
        self.roll_back_when_running()

    def send_command(self, action: Any) -> None:
        self.operator.send_message(
            plans.RolloutCommand(action, action, "fn-0", "benchmark", candidate="v2", steps=(0.5, 1.0))
        )

    def roll_back_when_running(self) -> None:
        """Roll back once the candidate has had one second of traffic."""
        if self.candidate_calls and self.reactor.seconds() - self.candidate_calls[0] > 1.0:
            self.back = self.reactor.seconds()
            self.send_command("back")
            self.reactor.callLater(3.0, self.stop)
        else:
            self.reactor.callLater(0.05, self.roll_back_when_running)

    def on_reply(self, reply: plans.CommandReply) -> None:
        if reply.id == "back":
            self.accepted = self.reactor.seconds()

    def stop(self) -> None:
        self.stopped = True
        self.reactor.callLater(4.0, self.reactor.stop)

    def submit_next(self) -> None:
        if self.stopped:
            return
        clients = self.clients
        number = clients.counts["wishes"] + 1
        function = f"fn-{min(int(clients.random.expovariate(0.7)), 9)}"
        clients.submit(
            ClientRequest(
                f"op{number}", function, "price", "", 300.0, 4, 2.0, 2.0, None, "idempotent", "all", 3.0,
                self.reactor.seconds(),
            )
        )  # fmt: skip
        self.reactor.callLater(clients.random.expovariate(self.rate), self.submit_next)


@click.command()
@click.option("--runs", default=5, show_default=True)
@click.option("--rate", default=880.0, show_default=True, help="Calls a second.")
@click.option("--one", is_flag=True, hidden=True)
def main(runs: int, rate: float, one: bool) -> None:
    """Run the rollbacks in processes of their own and print a table."""
    if one:
        return run_once(rate)
    table = Table(title=f"rollbacks under {rate:.0f} calls a second, two edges, eight runners")
    for head in ("run", "calls of the candidate before", "after it was accepted", "the last, ms after",
                 "calls wanted", "ok", "unanswered"):  # fmt: skip
        table.add_column(head, justify="right")
    for number in range(1, runs + 1):
        command = [sys.executable, __file__, "--one", "--rate", str(rate)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)
        if result.returncode:
            raise SystemExit(result.stdout + result.stderr)
        figures = json.loads(result.stdout.splitlines()[-1])
        columns = ("before", "after", "last", "wanted", "ok", "open")
        table.add_row(str(number), *(str(figures[key]) for key in columns))
    Console(width=110).print(table)


def run_once(rate: float) -> None:
    """Run one rollback and print its figures as JSON."""
    reactor = monotonic_reactor()
    run = Run(reactor, rate)
    store, roster = PackageStore(reactor, StoreSpec(fetches=50.0, limit=500)), RosterStandIn(reactor, 0.0)
    for number in range(8):
        spec = RunnerSpec(cores=4, speed=1.0, memory=40_000.0, queue=500)
        runner = RunnerStandIn(reactor, f"w{number}", 0, spec, store, TokenRegistry())
        entry = wire.RosterEntry(runner.name, runner.port, size=4.0, start=runner.start)
        roster.record(entry, runner.engine.booted, now=True)
    original = RunnerServerConnection.message_received

    def recording(self: RunnerServerConnection, message: Any) -> None:
        if isinstance(message, wire.Run) and message.function == NAME:
            run.candidate_calls.append(reactor.seconds())
        original(self, message)

    RunnerServerConnection.message_received = recording  # type: ignore[method-assign]
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
            run.clients.links = [EdgeLink(run.clients, edge.name, edge.port) for edge in edges]
            reactor.connectTCP("127.0.0.1", port, OperatorFactory(run))
            reactor.callLater(60.0, reactor.stop)
            reactor.run()
        finally:
            for child in children:
                child.stop()
    after = [at for at in run.candidate_calls if at > run.accepted]
    last = round((after[-1] - run.accepted) * 1000, 1) if after else 0
    print(
        msgspec.json.encode(
            {
                "before": len(run.candidate_calls) - len(after), "after": len(after), "last": last,
                "wanted": run.clients.counts["wishes"], "ok": run.clients.counts["ok"],
                "open": run.clients.open,
            }
        ).decode()
    )  # fmt: skip


if __name__ == "__main__":
    main()
