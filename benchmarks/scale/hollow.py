"""Hollow dispatchers: the program's own edge in virtual time, with encoded messages and no sockets.

The edge, its module, its list and its connections' decisions are the program's. Hollow are the transports,
the clients, the roster and the workers, which answer with the messages that real ones would send. What
Twisted's transports and the kernel's sockets cost is not in it; `real.py` measures that beside it.
"""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from twisted.internet.address import IPv4Address

from lapistrestle.deployment.load import convert_value
from lapistrestle.deployment.schema import Deployment
from lapistrestle.edge.clients import ClientConnection
from lapistrestle.edge.program import Edge
from lapistrestle.standins.virtual import LATENCY_US, VirtualProcess, VirtualReactor
from lapistrestle.wire import messages as wire
from lapistrestle.wire.json_lines import message_decoder

ROSTER_PORT = 1
WORKER_PORT = 2  # of every hollow worker: they are told apart by name
ZONES = ("a", "b", "c")  # of one region
LONGEST_LINE = 64 * 1024 * 1024  # bytes; the default of the settings is far below a whole list at these sizes
ANSWER_AFTER = 20_000  # microseconds that a hollow worker takes for a call
LOAD_AFTER = 300_000  # microseconds, for the first call of a function there
PEER = IPv4Address("TCP", "127.0.0.1", WORKER_PORT)
FROM_EDGE_TO_WORKER = message_decoder(wire.ToRunner)
FROM_EDGE_TO_CLIENT = message_decoder(wire.ToClient)


class Traffic(msgspec.Struct):
    """Messages and bytes of one kind of connection, as encoded, from the dispatcher's side."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def came(self, line: bytes) -> None:
        self.messages_in += 1
        self.bytes_in += len(line)

    def left(self, data: bytes) -> None:
        self.messages_out += data.count(b"\n")
        self.bytes_out += len(data)


class HollowTransport:
    """What a Twisted transport is to a protocol; bytes written go to `written`."""

    __slots__ = ("closed", "left", "protocol", "written")
    disconnecting = False

    def __init__(
        self,
        protocol: Any,
        written: Callable[["HollowTransport", bytes], None],
        left: Callable[[], None] | None = None,
    ) -> None:
        """`left` is called once the program closes it."""
        self.protocol, self.written, self.left, self.closed = protocol, written, left, False

    def write(self, data: bytes) -> None:
        if not self.closed:
            self.written(self, data)

    def loseConnection(self) -> None:
        if not self.closed and self.left is not None:
            self.left()
        self.closed = True

    def abortConnection(self) -> None:
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None: ...
    def unregisterProducer(self) -> None: ...
    def pauseProducing(self) -> None: ...
    def resumeProducing(self) -> None: ...
    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def getPeer(self) -> IPv4Address:
        return PEER


class Workers:
    """All hollow workers together; they hold nothing but which functions stand where."""

    def __init__(self, reactor: VirtualReactor) -> None:
        self.reactor, self.traffic = reactor, Traffic()
        self.loaded: set[tuple[str, str]] = set()

    def accept(self, dial: Any) -> None:
        """The dispatcher dials a worker: the connection is made and greeted."""
        if dial.runner is None:
            return
        name, start = dial.runner.state_machine.name, dial.runner.start
        protocol = dial.buildProtocol(PEER)
        if protocol is None:
            return
        transport = HollowTransport(protocol, self.heard)
        protocol.makeConnection(transport)
        self.say(transport, wire.Hello(wire.RUNNER, wire.VERSION, name, start=start, up_for=3_600_000.0))

    def heard(self, transport: HollowTransport, data: bytes) -> None:
        self.traffic.left(data)
        for line in data.splitlines():
            message = FROM_EDGE_TO_WORKER.decode(line)
            match message:
                case wire.Run():
                    runner = transport.protocol.runner
                    key = (runner.state_machine.name, message.function)
                    wait = ANSWER_AFTER if key in self.loaded else LOAD_AFTER + ANSWER_AFTER
                    self.loaded.add(key)
                    self.reactor.schedule(wait, self.say, transport, wire.RunFinished(message.call_id, "ok"))
                case wire.PreloadRequest():
                    self.reactor.schedule(
                        LATENCY_US,
                        self.say,
                        transport,
                        wire.PreloadResult(message.preload_id, "ok", message.count),
                    )

    def say(self, transport: HollowTransport, message: wire.Message) -> None:
        line = wire.encode(message) + b"\n"
        self.traffic.came(line)
        if not transport.closed:
            transport.protocol.dataReceived(line)


class Roster:
    """A hollow roster with the whole list, which tells changes when the test says so."""

    def __init__(self, entries: list[wire.RosterEntry]) -> None:
        self.entries, self.number, self.traffic = entries, 0, Traffic()
        self.transport: HollowTransport | None = None
        self.whole_bytes = 0  # of the line with the whole list

    def accept(self, factory: Any) -> None:
        protocol = factory.buildProtocol(PEER)
        self.transport = HollowTransport(protocol, self.heard)
        protocol.makeConnection(self.transport)
        self.say(wire.Hello(wire.ROSTER, wire.VERSION, "roster"))

    def heard(self, transport: HollowTransport, data: bytes) -> None:
        self.traffic.left(data)

    def say(self, message: wire.Message) -> int:
        assert self.transport
        line = wire.encode(message) + b"\n"
        self.traffic.came(line)
        self.transport.protocol.dataReceived(line)
        return len(line)

    def tell_all(self) -> None:
        self.whole_bytes = self.say(wire.RosterSnapshot(self.number, self.entries, "epoch"))

    def tell(self, *entries: wire.RosterEntry) -> int:
        """One change; returns its bytes."""
        self.number += 1
        return self.say(wire.RosterUpdate(self.number, list(entries), "epoch"))


class HollowProcess(VirtualProcess):
    """The reactor as the edge sees it: what it dials is hollow."""

    def __init__(self, reactor: VirtualReactor, workers: Workers, roster: Roster) -> None:
        super().__init__(reactor, "edge")
        self.workers, self.roster = workers, roster
        self.holders: dict[int, Callable[[Any], None]] = {}  # what takes a dial, by port

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Any:
        if port == ROSTER_PORT:
            return self.roster.accept(factory)
        if port in self.holders:
            return self.reactor.schedule(0, self.holders[port], factory)
        return self.reactor.schedule(2 * LATENCY_US, self.workers.accept, factory)


class HollowDispatcher:
    """One edge, its clients and its workers; with the whole list unless its settings say otherwise."""

    def __init__(
        self,
        entries: list[wire.RosterEntry],
        seed: int,
        of: int,
        number: int = 0,
        reactor: VirtualReactor | None = None,
        holders: dict[int, Callable[[Any], None]] | None = None,
        **more: Any,
    ) -> None:
        """`holders` take dials to the directory, by port; `more` are further settings."""
        self.reactor = reactor or VirtualReactor()
        self.workers, self.roster = Workers(self.reactor), Roster(entries)
        process = HollowProcess(self.reactor, self.workers, self.roster)
        process.holders = holders or {}
        made = convert_value({**settings(of, number), **more}, Deployment)
        self.edge = Edge(process, made, lambda what, **figures: None, seed)
        self.clients, self.answers = Traffic(), dict.fromkeys(("ok", "denied", "aborted"), 0)
        self.called_at: dict[str, float] = {}  # of calls without answer, by id
        self.took: list[float] = []  # seconds until the answer, of those that were ok
        self.count = 0
        self.edge.start()
        self.seat = self.connected_client()

    def connected_client(self) -> Any:
        seat: Any = ClientConnection(self.edge, 1)
        seat.makeConnection(HollowTransport(seat, self.heard))
        seat.dataReceived(wire.encode(wire.Hello(wire.CLIENT, wire.VERSION, "client")) + b"\n")
        return seat

    def heard(self, transport: HollowTransport, data: bytes) -> None:
        self.clients.left(data)
        for line in data.splitlines():
            message = FROM_EDGE_TO_CLIENT.decode(line)
            if isinstance(message, wire.Answer):
                self.answers[message.verdict] += 1
                began = self.called_at.pop(message.id)
                if message.verdict == "ok":
                    self.took.append(self.reactor.seconds() - began)

    def learn_all(self) -> None:
        """The roster tells the whole list, and every connection that the edge makes of it is up."""
        self.roster.tell_all()
        self.run(0.01)

    def line_of(self, function: str) -> bytes:
        self.count += 1
        call = wire.Call(str(self.count), function, "check", 3_000.0, memory=100.0)
        return wire.encode(call) + b"\n"

    def call(self, function: str) -> None:
        """A client calls; the answer comes in virtual time."""
        line = self.line_of(function)
        self.called_at[str(self.count)] = self.reactor.seconds()
        self.clients.came(line)
        self.seat.dataReceived(line)

    def run(self, seconds: float) -> None:
        self.reactor.run(self.reactor.seconds() + seconds)

    def call_at(self, times: Iterator[tuple[float, str]]) -> None:
        """Calls at these seconds from now, in order."""
        began = self.reactor.seconds()
        for after, function in times:
            self.reactor.run(began + after)
            self.call(function)

    def drop_answers(self) -> None:
        """What the test notes of answers is no state of the dispatcher."""
        self.took.clear()


def settings(of: int, number: int = 0, roster_port: int = ROSTER_PORT) -> dict[str, Any]:
    """One dispatcher of many, as the example of small rule programs has them."""
    return {
        "dispatcher": {"name": f"edge-{number}", "number": number, "of": of, "zone": ZONES[0]},
        "listen": {"longest_line": LONGEST_LINE, "open_calls": 100_000},
        "roster": {"port": roster_port},
        "zones": list(ZONES),
        "methods": {"check": {"effect": "idempotent", "deadline": "3 s", "soft_deadline": "1.4 s"}},
        "workers": {
            "size_means": "rough", "drain_grace": "1 s", "cold_share": 0.18, "ramp": "15 s",
            "fall_multiple": 3.5, "fall_time": "3 s", "idle_life": "9 s", "reports": "inline",
        },
        "orders": {"allowed": True, "time_out": "10 s"},
        "allowed": {"tries": 3, "dial": "250 ms", "come_back": "500 ms"},
    }  # fmt: skip


def entry(number: int, listing: Any = "serving", start: int = 0, region: int = 0) -> wire.RosterEntry:
    """One instance as a roster names it; names have the length that the assumptions state."""
    name, zone = f"instance-r{region}-{number:012d}", ZONES[number % len(ZONES)]
    return wire.RosterEntry(
        name, WORKER_PORT, zone, number % 97, "quad", 1.0, listing, f"{name}#{start}", 3_600_000.0
    )


def entries(count: int, region: int = 0) -> list[wire.RosterEntry]:
    return [entry(number, region=region) for number in range(count)]


def drained(told: wire.RosterEntry) -> wire.RosterEntry:
    return msgspec.structs.replace(told, listing="draining")
