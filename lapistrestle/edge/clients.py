"""Client connections of the JSON lines protocol."""

from typing import Any, Literal

import msgspec
from twisted.internet.protocol import ServerFactory

from lapistrestle.hosting.requests import PendingRequest, RequestEnd
from lapistrestle.rollout.version_choice import attempt_key
from lapistrestle.ticks import MILLISECOND
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import LineConnection, message_decoder


class CallId(msgspec.Struct):
    """The id of a call that can't be decoded as a whole, so that its client can be answered."""

    id: str = ""


CALL_ID_DECODER = msgspec.json.Decoder(CallId)
# names of the verdicts on the wire
VERDICTS: dict[RequestEnd, Literal["ok", "denied", "aborted"]] = {
    RequestEnd.OK: "ok",
    RequestEnd.REJECTED: "denied",
    RequestEnd.ABORTED: "aborted",
}
NOT_AVAILABLE = {
    "fleet": "this edge is in no fleet (fleet.name is not set)",
    "directory": "this edge has no directory (directory.shards is empty)",
}


class ClientConnection(LineConnection):
    """The connection of one client, with its open requests by call id."""

    protocol = wire.CLIENT
    decoder = message_decoder(wire.FromClient)
    greets_first = False

    def __init__(self, edge: Any, number: int) -> None:
        super().__init__(edge.bounds)
        self.edge, self.name = edge, f"c{number}"
        self.open_requests: dict[str, PendingRequest] = {}

    def greeting(self) -> wire.Hello:
        return wire.Hello(self.protocol, wire.VERSION, self.edge.name, self.name)

    def greeting_received(self, hello: wire.Hello) -> None:
        """Register the client at the edge."""
        self.edge.client_connections[self] = None

    def message_received(self, message: Any) -> None:
        match message:
            case wire.Call():
                self.call_received(message)
            case wire.CancelRequest():
                pending = self.open_requests.pop(message.id, None)
                if pending is not None:
                    self.edge.host.client_gone(pending)
            case wire.InspectRequest():
                self.show_state(message.subject)
            case _:
                self.send_message(wire.Fault("a greeting or a call was expected"))

    def show_state(self, what: str) -> None:
        """Answer an operator's query for the state of the `fleet` or the `directory`, or with a fault."""
        shown = {"fleet": self.edge.fleet_member, "directory": self.edge.directory}[what]
        if shown is None:
            return self.send_message(wire.Fault(NOT_AVAILABLE[what]))
        self.send_message(wire.InspectResponse(msgspec.Raw(msgspec.json.encode(shown.show()))))

    def call_received(self, call: wire.Call) -> None:
        """Check a call, route it to a version, and hand it to the host unless it is rejected."""
        edge = self.edge
        if call.id in self.open_requests:
            return self.send_message(wire.Fault(f"id {call.id} is open on this connection", call.id))
        method = edge.methods.get(call.method)
        if method is None:
            known = ", ".join(edge.methods)
            return self.send_message(
                wire.Fault(f"method {call.method} is not known; known: {known}", call.id)
            )
        customer = edge.customers.get(call.customer) if edge.customers else 0
        if customer is None:
            return self.send_message(wire.Fault(f'customer "{call.customer}" is not known', call.id))
        time_left = int(call.timeout * MILLISECOND) - edge.margin
        is_full = len(self.open_requests) >= self.limits.max_open_calls
        if (
            is_full
            or edge.stopping
            or time_left <= 0
            or (edge.planner is not None and edge.planner.awaits_first_plan())
        ):
            edge.counts["turned away"] += 1
            retry_after = edge.settings.max_retry_after / MILLISECOND if time_left > 0 else 0.0
            return self.send_message(wire.Answer(call.id, RequestEnd.REJECTED.value, retry_after))
        route = edge.route(call, self, method)
        if not route.name:
            edge.counts["turned away"] += 1
            return self.send_message(wire.Answer(call.id, RequestEnd.ABORTED.value))
        admission_retry_after = None
        if edge.fleet_member is not None:
            key = attempt_key(call.key, call.token, f"{self.name}/{call.id}")
            admission_retry_after = edge.fleet_member.admit(method, customer, call.is_retry, key)
        if admission_retry_after is not None:  # rejected by admission control; no worker has seen it
            edge.counts["turned away"] += 1
            return self.send_message(
                wire.Answer(call.id, RequestEnd.REJECTED.value, admission_retry_after / MILLISECOND)
            )
        edge.accept_call(self, call, method, customer, time_left, route)

    def is_waiting(self) -> bool:
        """Whether the client is still connected. Reads the socket first; a disconnect closes its requests."""
        self.read_now()
        return not self.closed

    def read_now(self) -> None:
        """Read the socket now.

        Otherwise work could be started for a client whose disconnect has not been read yet.
        """
        read = getattr(self.transport, "doRead", None)
        if read is None or self.closed:
            return
        if read() is not None:  # the connection has ended; the reactor closes it later
            self.connection_lost()

    def answer(self, pending: PendingRequest, verdict: RequestEnd, retry_after: int, body: Any) -> None:
        """Send the final answer of a request. `retry_after` is in ticks."""
        call = pending.message
        self.open_requests.pop(call.id, None)
        self.send_message(
            wire.Answer(call.id, VERDICTS[verdict], retry_after / MILLISECOND, body or wire.NO_BODY)
        )

    def unreadable_line_received(self, line: bytes, why: str) -> None:
        """Answer with a fault, which carries the id of the call if that can be decoded."""
        try:
            name = CALL_ID_DECODER.decode(line).id
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            name = ""
        self.edge.counts["unreadable"] += 1
        self.send_message(wire.Fault(why, name))

    def connection_lost(self) -> None:
        """Close the client's open requests at the host."""
        self.edge.client_connections.pop(self, None)
        requests, self.open_requests = list(self.open_requests.values()), {}
        for pending in requests:
            self.edge.host.client_gone(pending)


class ClientFront(ServerFactory):
    """Accepts client connections in the JSON lines protocol; implements `core.Front`."""

    noisy = False

    def __init__(self, edge: Any) -> None:
        self.edge, self.last_number = edge, 0
        self.client_connections: dict[ClientConnection, None] = {}
        self.listening_port: Any = None

    def buildProtocol(self, addr: Any) -> ClientConnection:
        self.last_number += 1
        return ClientConnection(self.edge, self.last_number)

    def listen(self) -> int:
        """Listen at the configured port; with port 0 the system assigns one. Returns the port."""
        wanted_port = self.edge.deployment.listen.port
        self.listening_port = self.edge.reactor.listenTCP(wanted_port, self, interface="127.0.0.1")
        port: int = self.listening_port.getHost().port
        return port

    def close(self) -> None:
        if self.listening_port is not None:
            self.listening_port.stopListening()

    def open_requests(self) -> list[PendingRequest]:
        return [pending for client in self.client_connections for pending in client.open_requests.values()]

    def has_pending_io(self) -> bool:
        return False  # Twisted's transports write their buffers before they close

    def close_all(self) -> None:
        for client in list(self.client_connections):
            client.close_with_reason("the edge stops")
