"""The planner's end of a connection: edges that follow its plans, and operators.

`docs/protocol.md` specifies the messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import ServerFactory

from lapistrestle.planner.entries import CommandEntry, OutcomeEntry
from lapistrestle.rollout.readiness import EdgeReport
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

if TYPE_CHECKING:
    from lapistrestle.planner.server import Planner


class PlannerConnection(LineConnection):
    """One connection, of an edge or an operator.

    `name` is the peer's and `edge_start` identifies an edge's start; an operator gives none. Plans are
    numbered by entries; -1 stands for none.
    """

    protocol = plans.PLANNER
    decoder = message_decoder(plans.ToPlanner)
    greets_first = False

    def __init__(self, planner: Planner) -> None:
        super().__init__(LineLimits())
        self.planner = planner
        self.name = ""
        self.edge_start = ""
        self.acknowledged_plan = -1  # the newest that the edge said it has
        self.sent_plan = -1  # the newest that was sent to it

    def greeting(self) -> wire.Hello:
        """Return what this end says first."""
        return wire.Hello(self.protocol, wire.VERSION, f"planner epoch {self.planner.journal.epoch}")

    def greeting_received(self, hello: wire.Hello) -> None:
        """The peer has greeted: an edge names its start and is sent the plan, an operator does not."""
        self.name = hello.name
        self.edge_start = hello.start
        if hello.start:
            self.planner.edge_connections[self] = None
            self.send_changes()

    def send_changes(self) -> None:
        """Send what changed since the last plan; the complete one at first."""
        number = self.planner.state.number
        if self.sent_plan < number or self.sent_plan < 0:
            self.send_message(self.planner.plan(self.sent_plan))
            self.sent_plan = number

    def message_received(self, message: Any) -> None:
        """Handle a message of `plans.ToPlanner`."""
        match message:
            case plans.Heartbeat():
                self.handle_heartbeat(message)
            case plans.OutcomeReport():
                self.handle_outcomes(message)
            case plans.ReplicaReport():
                report = EdgeReport(message.weight, message.shortage, self.planner.now())
                self.planner.readiness.on_report(message.function, message.candidate, self.name, report)
            case plans.RolloutCommand():
                self.handle_command(message)
            case plans.StatusRequest():
                self.send_message(self.planner.status())

    def handle_heartbeat(self, heartbeat: plans.Heartbeat) -> None:
        """Renew the edge's lease, unless a newer planner has taken over."""
        self.acknowledged_plan = max(self.acknowledged_plan, heartbeat.plan_number)
        if self.planner.verify_newest():
            self.send_message(plans.Heartbeat(heartbeat.sent_at))

    def handle_outcomes(self, report: plans.OutcomeReport) -> None:
        """Journal an edge's running counts."""
        entry = OutcomeEntry(
            at=self.planner.now(),
            edge=self.name,
            start=self.edge_start,
            function=report.function,
            candidate=report.candidate,
            step=report.step,
            minute=report.minute,
            counts=report.counts,
        )
        self.planner.append(entry)

    def handle_command(self, command: plans.RolloutCommand) -> None:
        """Journal an operator's command, and answer once it is on disk."""
        entry = CommandEntry(
            at=self.planner.now(),
            id=command.id,
            action=command.action,
            function=command.function,
            operator=command.operator,
            reason=command.reason,
            candidate=command.candidate,
            steps=command.steps,
            retention=int(command.retention * MILLISECOND),
        )
        result = self.planner.append(entry)
        if result is None:
            self.send_message(wire.Fault("not taken: another planner writes the journal", command.id))
            return
        edges_behind = [
            connection.name
            for connection in self.planner.edge_connections
            if connection.acknowledged_plan < result.number
        ]
        reply = plans.CommandReply(
            id=command.id,
            outcome=result.outcome.value,
            message=result.message,
            state=result.state,
            weight=result.weight,
            number=result.number,
            edges_behind=sorted(edges_behind),
        )
        self.send_message(reply)

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        """Answer a line that could not be read with a fault; the connection stays."""
        self.send_message(wire.Fault(why))

    def connection_lost(self) -> None:
        """Forget the connection, and its edge's replicas where it has no other one."""
        self.planner.edge_connections.pop(self, None)
        if not any(connection.name == self.name for connection in self.planner.edge_connections):
            self.planner.readiness.on_edge_gone(self.name)


class PlannerConnectionFactory(ServerFactory):
    """Makes the planner's end of each connection."""

    noisy = False

    def __init__(self, planner: Planner) -> None:
        self.planner = planner

    def buildProtocol(self, addr: Any) -> PlannerConnection:
        """Return the protocol of one accepted connection."""
        return PlannerConnection(self.planner)
