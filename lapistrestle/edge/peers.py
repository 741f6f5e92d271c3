"""Short messages between edges, where settings allow them: datagrams, which may be late or lost."""

from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from lapistrestle.wire import messages as wire

DECODER = msgspec.json.Decoder(wire.PeerMessage)


class Peers(DatagramProtocol):
    transport: Any

    def __init__(self, edge: Any) -> None:
        self.edge = edge
        self.ports: list[int] = edge.deployment.peers
        self.me: int = edge.settings.instance_index
        if self.me < len(self.ports):
            edge.reactor.listenUDP(self.ports[self.me], self, interface="127.0.0.1")

    def tell(self, peer: int | None, text: str) -> None:
        """To one other edge by number, or to all. Nothing tells whether it arrives."""
        line = wire.encode(wire.PeerMessage(self.me, text))
        for number, port in enumerate(self.ports):
            if number != self.me and peer in (None, number) and self.transport is not None:
                self.transport.write(line, ("127.0.0.1", port))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        try:
            message = DECODER.decode(datagram)
        except (msgspec.MsgspecError, UnicodeDecodeError) as trouble:
            self.edge.passed_over(f"peer at {addr[1]}", str(trouble))
            return
        self.edge.input()
        self.edge.host.gossip_received(message.sender, message.text)
