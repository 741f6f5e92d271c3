"""An operator on a script: gives orders to the planner, the same one again until it is answered, and notes
on the tape what share each candidate is said to have."""

from typing import Any

from twisted.internet.protocol import ClientFactory

from lapistrestle.rollout_types import CommandOutcome
from lapistrestle.standins.tape import Tape
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

ASK = 0.2  # seconds between two questions


class OperatorSpeaker(LineConnection):
    protocol = plans.PLANNER
    decoder = message_decoder(plans.FromPlanner)

    def __init__(self, operator: "Operator") -> None:
        super().__init__(LineLimits())
        self.operator = operator

    def greeting_received(self, hello: wire.Hello) -> None:
        self.operator.up = self
        for order in self.operator.open.values():
            self.send_message(order)

    def message_received(self, message: Any) -> None:
        match message:
            case plans.CommandReply():
                self.operator.replied(message)
            case plans.PlannerStatus():
                self.operator.told(message)

    def connection_lost(self) -> None:
        self.operator.lost()


class Operator(ClientFactory):
    """`port` is asked for at each dial, since a planner that was killed comes back elsewhere."""

    noisy = False

    def __init__(self, reactor: Any, port: Any, tape: Tape) -> None:
        self.reactor, self.port, self.tape = reactor, port, tape
        self.open: dict[str, plans.RolloutCommand] = {}
        self.up: OperatorSpeaker | None = None
        self.replies: list[plans.CommandReply] = []
        self.shares: dict[str, float] = {}  # by version
        self.seen = 0.0  # when the planner told last how things stand, in seconds
        self.dial()
        self.ask()

    def dial(self) -> None:
        if self.port():
            self.reactor.connectTCP("127.0.0.1", self.port(), self, timeout=0.5)
        else:
            self.reactor.callLater(0.1, self.dial)

    def buildProtocol(self, addr: Any) -> OperatorSpeaker:
        return OperatorSpeaker(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.reactor.callLater(0.1, self.dial)

    def lost(self) -> None:
        self.up = None
        self.reactor.callLater(0.1, self.dial)

    def ask(self) -> None:
        if self.up is not None:
            self.up.send_message(plans.StatusRequest())
        self.reactor.callLater(ASK, self.ask)

    def told(self, status: plans.PlannerStatus) -> None:
        """A share that changed did so since the status before this one."""
        for one in status.rollouts:
            version = f"{one.function}@{one.candidate}"
            if self.shares.get(version, 0.0) != one.weight:
                self.shares[version] = one.weight
                since = self.tape.moment(self.seen)
                self.tape.put("planner", "share", version=version, share=one.weight, since=since)
        self.seen = self.reactor.seconds()

    def give(self, order: plans.RolloutCommand) -> None:
        self.open[order.id] = order
        if self.up is not None:
            self.up.send_message(order)

    def replied(self, reply: plans.CommandReply) -> None:
        """It is accepted from now on; the tape says so, for the checker."""
        order = self.open.pop(reply.id, None)
        if order is None:
            return
        self.replies.append(reply)
        version = f"{order.function}@{order.candidate}"
        if order.action == "back" and reply.outcome == CommandOutcome.DONE.value:
            self.tape.put("planner", "back", version=version)
        self.tape.put("planner", "order", said=order.action, version=version, outcome=reply.outcome)
