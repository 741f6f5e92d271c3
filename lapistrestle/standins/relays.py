"""A relay on TCP between an edge and a directory's holder: everything on tape, and cut where a test wants it.

A cut link passes no bytes and tells neither end of the other's close; both show once it heals, as on a
network whose packets are lost for a while. A connection made meanwhile gets no greeting.
"""

from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
from twisted.python.failure import Failure

from lapistrestle.standins.tape import Recorder, Tape

DIAL = 2.0  # seconds


class Link:
    """The relays between one edge and one holder; `port` is where the edge finds the holder."""

    def __init__(self, reactor: Any, tape: Tape, edge: str, holder: str, target: int) -> None:
        self.reactor, self.tape, self.target = reactor, tape, target
        self.edge, self.holder = edge, holder
        self.cut = False
        self.count = 0
        self.relays: dict[Relay, None] = {}
        listening = reactor.listenTCP(0, Accepting(self), interface="127.0.0.1")
        self.port: int = listening.getHost().port

    def set_cut(self, cut: bool) -> None:
        """Break the link, or heal it."""
        if cut is not self.cut:
            self.cut = cut
            for relay in list(self.relays):
                relay.settle()


class Relay:
    """One connection of an edge, and the one to the holder that stands for it."""

    def __init__(self, link: Link, number: int) -> None:
        self.link = link
        self.connection = f"{link.edge}/{link.holder}/{number}"
        self.to_edge, self.from_edge = (Recorder(link.tape, self.connection, sign) for sign in "><")
        self.near = End(self)  # towards the edge
        self.far = End(self)  # towards the holder
        self.dialled = self.over = False
        link.relays[self] = None
        link.tape.put(self.connection, "open", directory=True, edge=link.edge, holder=link.holder)

    def settle(self) -> None:
        """After a change of the link, or of an end: dial, read on or not, and tell of closes."""
        if self.link.cut or self.over:
            return self.read()
        if self.near.lost or self.far.lost:
            return self.end()
        if not self.dialled:
            self.dialled = True
            reactor, target = self.link.reactor, self.link.target
            reactor.connectTCP("127.0.0.1", target, Dialling(self), timeout=DIAL)
        self.read()

    def read(self) -> None:
        for end, other in ((self.near, self.far), (self.far, self.near)):
            end.read_on(not self.link.cut and other.ready())

    def pass_on(self, end: "End", data: bytes) -> None:
        if end is self.near:
            self.from_edge.bytes(data)
            self.far.write(data)
        else:
            self.to_edge.bytes(data)
            self.near.write(data)

    def end(self) -> None:
        """One end has closed: so does the other, once what was written has left."""
        self.over = True
        for end in (self.near, self.far):
            end.close()
        self.to_edge.end()
        self.from_edge.end()
        self.link.tape.put(self.connection, "close")
        self.link.relays.pop(self, None)


class End(Protocol):
    """One end of a relay."""

    transport: Any

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.made = self.lost = self.slow = False
        self.reads = True

    def ready(self) -> bool:
        """Whether more may be written here."""
        return self.made and not self.lost and not self.slow

    def connectionMade(self) -> None:
        self.made = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.relay.settle()

    def dataReceived(self, data: bytes) -> None:
        self.relay.pass_on(self, data)

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.lost = True
        if not self.relay.over:
            self.relay.settle()

    def write(self, data: bytes) -> None:
        if self.made and not self.lost:
            self.transport.write(data)

    def read_on(self, wanted: bool) -> None:
        if self.made and not self.lost and wanted is not self.reads:
            self.reads = wanted
            if wanted:
                self.transport.resumeProducing()
            else:
                self.transport.pauseProducing()

    def close(self) -> None:
        if self.made and not self.lost:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    # as the producer of what is written here

    def pauseProducing(self) -> None:
        self.slow = True
        self.relay.read()

    def resumeProducing(self) -> None:
        self.slow = False
        self.relay.read()

    def stopProducing(self) -> None: ...


class Accepting(ServerFactory):
    """Connections of the edge."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> End:
        self.link.count += 1
        return Relay(self.link, self.link.count).near


class Dialling(ClientFactory):
    """The connection to the holder."""

    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: Any) -> End | None:
        return None if self.relay.over else self.relay.far

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.relay.far.lost = True
        if not self.relay.over:
            self.relay.settle()
