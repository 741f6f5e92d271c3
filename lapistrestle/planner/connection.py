"""The planner's connections to edges, which subscribe to plans, and to operators.

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
    """A connection of an edge or an operator.

    `name` is that of the peer, and `edge_start` identifies one start of an edge; it is empty for operators.
    Plans have the number of the journal entry that changed them; -1: no plan.
    """

    protocol = plans.PLANNER
    decoder = message_decoder(plans.ToPlanner)
    greets_first = False

    def __init__(self, planner: Planner) -> None:
        super().__init__(LineLimits())
        self.planner = planner
        self.name = ""
        self.edge_start = ""
        self.acknowledged_plan = -1  # the newest plan that the edge has acknowledged
        self.sent_plan = -1  # the newest plan sent to the edge

    def greeting(self) -> wire.Hello:
        """Return the planner's greeting, with its epoch."""
        return wire.Hello(self.protocol, wire.VERSION, f"planner epoch {self.planner.journal.epoch}")

    def greeting_received(self, hello: wire.Hello) -> None:
        """Send the plan to an edge, which names its start in the greeting; operators do not."""
        self.name = hello.name
        self.edge_start = hello.start
        if hello.start:
            self.planner.edge_connections[self] = None
            self.send_changes()

    def send_changes(self) -> None:
        """Send the changes since the last plan sent, or the complete plan at first."""
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
        """Write an edge's cumulative counts to the journal."""
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
        """Write an operator's command to the journal, and answer once it is on disk."""
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
        """Answer a line that can't be decoded with a fault; the connection stays open."""
        self.send_message(wire.Fault(why))

    def connection_lost(self) -> None:
        """Drop the connection, and the edge's replica reports if it has no other connection."""
        self.planner.edge_connections.pop(self, None)
        if not any(connection.name == self.name for connection in self.planner.edge_connections):
            self.planner.readiness.on_edge_gone(self.name)


class PlannerConnectionFactory(ServerFactory):
    """Creates the planner's protocol for accepted connections."""

    noisy = False

    def __init__(self, planner: Planner) -> None:
        self.planner = planner

    def buildProtocol(self, addr: Any) -> PlannerConnection:
        """Return the protocol for an accepted connection."""
        return PlannerConnection(self.planner)
