"""One question to a program of ours over its line protocol, and its answer."""

from typing import Any

import click
from twisted.internet.protocol import ClientFactory

from lapistrestle.edge.reactor import monotonic_reactor
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

DIAL, PATIENCE = 3.0, 5.0  # seconds
LONGEST = 8_388_608  # bytes of an answer


class Asker(LineConnection):
    def __init__(self, asking: "Asking") -> None:
        super().__init__(LineLimits(max_line_bytes=LONGEST))
        self.asking, self.protocol, self.decoder = asking, asking.spoken, asking.decoder

    def greeting_received(self, hello: wire.Hello) -> None:
        self.send_message(self.asking.message)

    def message_received(self, message: Any) -> None:
        self.asking.answered(message)

    def connection_lost(self) -> None:
        self.asking.answered(None)


class Asking(ClientFactory):
    noisy = False

    def __init__(self, reactor: Any, protocol: str, answers: Any, message: wire.Message) -> None:
        self.reactor, self.spoken, self.message = reactor, protocol, message
        self.decoder = message_decoder(answers)
        self.answer: Any = None
        self.done = False

    def buildProtocol(self, addr: Any) -> Asker:
        return Asker(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.answered(None)

    def answered(self, answer: Any) -> None:
        if not self.done:
            self.done, self.answer = True, answer
            self.reactor.stop()


def asked(port: int, protocol: str, answers: Any, message: wire.Message, none: str) -> Any:
    """The answer of what listens at that port; `answers` is a union of message types. Raises ClickException,
    which says `none` where no answer comes."""
    reactor = monotonic_reactor()
    asking = Asking(reactor, protocol, answers, message)
    reactor.connectTCP("127.0.0.1", port, asking, timeout=DIAL)
    reactor.callLater(PATIENCE, asking.answered, None)
    reactor.run()
    if asking.answer is None:
        raise click.ClickException(none)
    if isinstance(asking.answer, wire.Fault | wire.Goodbye):
        raise click.ClickException(asking.answer.reason)
    return asking.answer
