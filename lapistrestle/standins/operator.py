"""A scripted operator, which sends rollout commands to the planner and resends them until they are answered.

It also records on tape each candidate's share of the traffic, as the planner reports it.
"""

from typing import Any

from twisted.internet.protocol import ClientFactory

from lapistrestle.rollout_types import CommandOutcome
from lapistrestle.standins.tape import Tape
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

STATUS_INTERVAL = 0.2  # seconds between two status requests


class OperatorConnection(LineConnection):
    protocol = plans.PLANNER
    decoder = message_decoder(plans.FromPlanner)

    def __init__(self, operator: "Operator") -> None:
        super().__init__(LineLimits())
        self.operator = operator

    def greeting_received(self, hello: wire.Hello) -> None:
        self.operator.connection = self
        for command in self.operator.pending_commands.values():
            self.send_message(command)

    def message_received(self, message: Any) -> None:
        match message:
            case plans.CommandReply():
                self.operator.reply_received(message)
            case plans.PlannerStatus():
                self.operator.status_received(message)

    def connection_lost(self) -> None:
        self.operator.on_disconnected()


class Operator(ClientFactory):
    """`port` is called at each dial, since a restarted planner listens on another port."""

    noisy = False

    def __init__(self, reactor: Any, port: Any, tape: Tape) -> None:
        self.reactor, self.port, self.tape = reactor, port, tape
        self.pending_commands: dict[str, plans.RolloutCommand] = {}
        self.connection: OperatorConnection | None = None
        self.replies: list[plans.CommandReply] = []
        self.shares: dict[str, float] = {}  # by version
        self.last_status_at = 0.0  # reactor time of the planner's last status, in seconds
        self.dial()
        self.request_status()

    def dial(self) -> None:
        if self.port():
            self.reactor.connectTCP("127.0.0.1", self.port(), self, timeout=0.5)
        else:
            self.reactor.callLater(0.1, self.dial)

    def buildProtocol(self, addr: Any) -> OperatorConnection:
        return OperatorConnection(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.reactor.callLater(0.1, self.dial)

    def on_disconnected(self) -> None:
        self.connection = None
        self.reactor.callLater(0.1, self.dial)

    def request_status(self) -> None:
        if self.connection is not None:
            self.connection.send_message(plans.StatusRequest())
        self.reactor.callLater(STATUS_INTERVAL, self.request_status)

    def status_received(self, status: plans.PlannerStatus) -> None:
        """Records changed shares; `since` on tape is the previous status, the earliest time of the change."""
        for rollout in status.rollouts:
            version = f"{rollout.function}@{rollout.candidate}"
            if self.shares.get(version, 0.0) != rollout.weight:
                self.shares[version] = rollout.weight
                since = self.tape.to_microseconds(self.last_status_at)
                self.tape.put("planner", "share", version=version, share=rollout.weight, since=since)
        self.last_status_at = self.reactor.seconds()

    def give(self, command: plans.RolloutCommand) -> None:
        self.pending_commands[command.id] = command
        if self.connection is not None:
            self.connection.send_message(command)

    def reply_received(self, reply: plans.CommandReply) -> None:
        """Records an answered command on tape, for the rule checkers."""
        command = self.pending_commands.pop(reply.id, None)
        if command is None:
            return
        self.replies.append(reply)
        version = f"{command.function}@{command.candidate}"
        if command.action == "back" and reply.outcome == CommandOutcome.DONE.value:
            self.tape.put("planner", "back", version=version)
        self.tape.put("planner", "order", said=command.action, version=version, outcome=reply.outcome)
