"""Messages of the decision module to other edges by UDP, where the settings allow it; any may be lost."""

from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from lapistrestle.wire import messages as wire

DECODER = msgspec.json.Decoder(wire.PeerMessage)


class GossipSocket(DatagramProtocol):
    """The gossip socket of one edge, at the port that the deployment lists for its index."""

    transport: Any

    def __init__(self, edge: Any) -> None:
        self.edge = edge
        self.ports: list[int] = edge.deployment.peers
        self.me: int = edge.settings.instance_index
        if self.me < len(self.ports):
            edge.reactor.listenUDP(self.ports[self.me], self, interface="127.0.0.1")

    def send(self, peer: int | None, text: str) -> None:
        """Send to one other edge by its index, or to all. Delivery is not confirmed."""
        line = wire.encode(wire.PeerMessage(self.me, text))
        for number, port in enumerate(self.ports):
            if number != self.me and peer in (None, number) and self.transport is not None:
                self.transport.write(line, ("127.0.0.1", port))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        try:
            message = DECODER.decode(datagram)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self.edge.message_ignored(f"peer at {addr[1]}", str(error))
            return
        self.edge.host.gossip_received(message.sender, message.text)
