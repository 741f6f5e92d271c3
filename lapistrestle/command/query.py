"""Sends one query to a running program over its line protocol and returns the answer."""

from typing import Any

import click
from twisted.internet.protocol import ClientFactory

from lapistrestle.edge.reactor import monotonic_reactor
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineConnection, LineLimits, message_decoder

CONNECT_TIMEOUT, ANSWER_TIMEOUT = 3.0, 5.0  # seconds
MAX_ANSWER_BYTES = 8_388_608


class QueryConnection(LineConnection):
    """A connection that sends the query after the greeting and takes the first message as the answer."""

    def __init__(self, query: "Query") -> None:
        super().__init__(LineLimits(max_line_bytes=MAX_ANSWER_BYTES))
        self.query, self.protocol, self.decoder = query, query.peer_protocol, query.decoder

    def greeting_received(self, hello: wire.Hello) -> None:
        self.send_message(self.query.message)

    def message_received(self, message: Any) -> None:
        self.query.finish(message)

    def connection_lost(self) -> None:
        self.query.finish(None)


class Query(ClientFactory):
    """One query; it stops the reactor when it is finished."""

    noisy = False

    def __init__(self, reactor: Any, protocol: str, answers: Any, message: wire.Message) -> None:
        self.reactor, self.peer_protocol, self.message = reactor, protocol, message
        self.decoder = message_decoder(answers)
        self.answer: Any = None
        self.done = False

    def buildProtocol(self, addr: Any) -> QueryConnection:
        return QueryConnection(self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.finish(None)

    def finish(self, answer: Any) -> None:
        """Store the answer, or None if there is none; later calls are ignored."""
        if not self.done:
            self.done, self.answer = True, answer
            self.reactor.stop()


def send_query(port: int, protocol: str, answers: Any, message: wire.Message, no_answer: str) -> Any:
    """Send a message to the program that listens on this port of the loopback interface; return its answer.

    `answers` is the union of the possible message types. Raises ClickException with the text `no_answer` if
    there is none, and with the reason if the answer is a fault or a goodbye.
    """
    reactor = monotonic_reactor()
    query = Query(reactor, protocol, answers, message)
    reactor.connectTCP("127.0.0.1", port, query, timeout=CONNECT_TIMEOUT)
    reactor.callLater(ANSWER_TIMEOUT, query.finish, None)
    reactor.run()
    if query.answer is None:
        raise click.ClickException(no_answer)
    if isinstance(query.answer, wire.Fault | wire.Goodbye):
        raise click.ClickException(query.answer.reason)
    return query.answer
