"""An operator on a script: gives orders to the planner, the same one again until it is answered."""

from typing import Any

from twisted.internet.protocol import ClientFactory

from lapistrestle.standins.tape import Tape
from lapistrestle.wire import messages as wire
from lapistrestle.wire import plans
from lapistrestle.wire.lines import LineBounds, Speaker, union


class OperatorSpeaker(Speaker):
    protocol = plans.PLANNER
    decoder = union(plans.FromPlanner)

    def __init__(self, operator: "Operator") -> None:
        super().__init__(LineBounds())
        self.operator = operator

    def met(self, hello: wire.Hello) -> None:
        self.operator.up = self
        for order in self.operator.open.values():
            self.say(order)

    def heard(self, message: Any) -> None:
        if isinstance(message, plans.Reply):
            self.operator.replied(message)

    def lost(self) -> None:
        self.operator.lost()


class Operator(ClientFactory):
    """`port` is asked for at each dial, since a planner that was killed comes back elsewhere."""

    noisy = False

    def __init__(self, reactor: Any, port: Any, tape: Tape) -> None:
        self.reactor, self.port, self.tape = reactor, port, tape
        self.open: dict[str, plans.Order] = {}
        self.up: OperatorSpeaker | None = None
        self.replies: list[plans.Reply] = []
        self.dial()

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

    def give(self, order: plans.Order) -> None:
        self.open[order.id] = order
        if self.up is not None:
            self.up.say(order)

    def replied(self, reply: plans.Reply) -> None:
        """It is accepted from now on; the tape says so, for the checker."""
        order = self.open.pop(reply.id, None)
        if order is None:
            return
        self.replies.append(reply)
        version = f"{order.fn}@{order.candidate}"
        if order.what == "back" and reply.outcome == "done":
            self.tape.put("planner", "back", version=version)
        self.tape.put("planner", "order", said=order.what, version=version, outcome=reply.outcome)
