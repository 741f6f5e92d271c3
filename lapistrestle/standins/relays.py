"""TCP relays between an edge and a directory holder, which record the traffic on tape and can be cut.

A cut link forwards neither bytes nor closes until it heals, as a network that loses packets for a while. A
connection opened meanwhile gets no greeting until then.
"""

from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
from twisted.python.failure import Failure

from lapistrestle.standins.tape import Recorder, Tape

DIAL_TIMEOUT = 2.0  # seconds


class Link:
    """The relays between one edge and one holder; the edge reaches the holder at `port`."""

    def __init__(self, reactor: Any, tape: Tape, edge: str, holder: str, target: int) -> None:
        self.reactor, self.tape, self.target = reactor, tape, target
        self.edge, self.holder = edge, holder
        self.is_cut = False
        self.connection_count = 0
        self.relays: dict[Relay, None] = {}
        listening = reactor.listenTCP(0, EdgeListener(self), interface="127.0.0.1")
        self.port: int = listening.getHost().port

    def set_cut(self, cut: bool) -> None:
        """Cuts the link, or heals it."""
        if cut is not self.is_cut:
            self.is_cut = cut
            for relay in list(self.relays):
                relay.update()


class Relay:
    """One connection from an edge, and the matching connection to the holder."""

    def __init__(self, link: Link, number: int) -> None:
        self.link = link
        self.connection = f"{link.edge}/{link.holder}/{number}"
        self.to_edge, self.from_edge = (Recorder(link.tape, self.connection, sign) for sign in "><")
        self.edge_endpoint = RelayEndpoint(self)  # connected to the edge
        self.holder_endpoint = RelayEndpoint(self)  # connected to the holder
        self.dialed = self.closed = False
        link.relays[self] = None
        link.tape.put(self.connection, "open", directory=True, edge=link.edge, holder=link.holder)

    def update(self) -> None:
        """Applies a change of the link or an endpoint: dials, pauses or resumes reading, forwards closes."""
        if self.link.is_cut or self.closed:
            return self.update_reading()
        if self.edge_endpoint.is_disconnected or self.holder_endpoint.is_disconnected:
            return self.close_relay()
        if not self.dialed:
            self.dialed = True
            reactor, target = self.link.reactor, self.link.target
            reactor.connectTCP("127.0.0.1", target, HolderDialer(self), timeout=DIAL_TIMEOUT)
        self.update_reading()

    def update_reading(self) -> None:
        for end, other in (
            (self.edge_endpoint, self.holder_endpoint),
            (self.holder_endpoint, self.edge_endpoint),
        ):
            end.set_reading(not self.link.is_cut and other.is_writable())

    def forward(self, end: "RelayEndpoint", data: bytes) -> None:
        if end is self.edge_endpoint:
            self.from_edge.data_received(data)
            self.holder_endpoint.write(data)
        else:
            self.to_edge.data_received(data)
            self.edge_endpoint.write(data)

    def close_relay(self) -> None:
        """Closes both endpoints after pending writes are flushed; called once one of them has closed."""
        self.closed = True
        for end in (self.edge_endpoint, self.holder_endpoint):
            end.close()
        self.to_edge.end()
        self.from_edge.end()
        self.link.tape.put(self.connection, "close")
        self.link.relays.pop(self, None)


class RelayEndpoint(Protocol):
    """One endpoint of a relay."""

    transport: Any

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.is_connected = self.is_disconnected = self.write_paused = False
        self.is_reading = True

    def is_writable(self) -> bool:
        """Whether the endpoint is connected and accepts more data."""
        return self.is_connected and not self.is_disconnected and not self.write_paused

    def connectionMade(self) -> None:
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.relay.update()

    def dataReceived(self, data: bytes) -> None:
        self.relay.forward(self, data)

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.is_disconnected = True
        if not self.relay.closed:
            self.relay.update()

    def write(self, data: bytes) -> None:
        if self.is_connected and not self.is_disconnected:
            self.transport.write(data)

    def set_reading(self, wanted: bool) -> None:
        if self.is_connected and not self.is_disconnected and wanted is not self.is_reading:
            self.is_reading = wanted
            if wanted:
                self.transport.resumeProducing()
            else:
                self.transport.pauseProducing()

    def close(self) -> None:
        if self.is_connected and not self.is_disconnected:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    # IPushProducer: the transport calls these while its write buffer is full

    def pauseProducing(self) -> None:
        self.write_paused = True
        self.relay.update_reading()

    def resumeProducing(self) -> None:
        self.write_paused = False
        self.relay.update_reading()

    def stopProducing(self) -> None: ...


class EdgeListener(ServerFactory):
    """Accepts connections from the edge."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> RelayEndpoint:
        self.link.connection_count += 1
        return Relay(self.link, self.link.connection_count).edge_endpoint


class HolderDialer(ClientFactory):
    """Opens the connection to the holder."""

    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: Any) -> RelayEndpoint | None:
        return None if self.relay.closed else self.relay.holder_endpoint

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.relay.holder_endpoint.is_disconnected = True
        if not self.relay.closed:
            self.relay.update()
