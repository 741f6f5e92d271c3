"""Hollow dispatchers: the production edge in virtual time, with encoded messages and simulated peers.

The edge, its decision module, its endpoint list and its connections are production code. Transports, clients,
roster and workers are stubs ("hollow"), which reply with the messages that real ones would send. The cost of
Twisted's transports and of kernel sockets is not included; `roles/real_dispatchers.py` measures it.
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
WORKER_PORT = 2  # of every hollow worker: they are distinguished by name
ZONES = ("a", "b", "c")  # of one region
LONGEST_LINE = 64 * 1024 * 1024  # bytes; the default of the settings is far below a full list at these sizes
ANSWER_AFTER = 20_000  # microseconds, duration of a call at a hollow worker
LOAD_AFTER = 300_000  # microseconds, added for the first call of a function at a worker
PEER = IPv4Address("TCP", "127.0.0.1", WORKER_PORT)
FROM_EDGE_TO_WORKER = message_decoder(wire.ToRunner)
FROM_EDGE_TO_CLIENT = message_decoder(wire.ToClient)


class Traffic(msgspec.Struct):
    """Encoded messages and bytes of one kind of connection, as seen by the dispatcher."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def count_received(self, line: bytes) -> None:
        self.messages_in += 1
        self.bytes_in += len(line)

    def count_sent(self, data: bytes) -> None:
        self.messages_out += data.count(b"\n")
        self.bytes_out += len(data)


class HollowTransport:
    """A stub of a Twisted transport; bytes written go to `written`."""

    __slots__ = ("closed", "on_close", "protocol", "written")
    disconnecting = False

    def __init__(
        self,
        protocol: Any,
        written: Callable[["HollowTransport", bytes], None],
        on_close: Callable[[], None] | None = None,
    ) -> None:
        """`on_close` is called when the protocol closes the connection."""
        self.protocol, self.written, self.on_close, self.closed = protocol, written, on_close, False

    def write(self, data: bytes) -> None:
        if not self.closed:
            self.written(self, data)

    def loseConnection(self) -> None:
        if not self.closed and self.on_close is not None:
            self.on_close()
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
    """All hollow workers; the only state is which functions are loaded at which worker."""

    def __init__(self, reactor: VirtualReactor) -> None:
        self.reactor, self.traffic = reactor, Traffic()
        self.loaded: set[tuple[str, str]] = set()

    def accept(self, dial: Any) -> None:
        """Accepts a dial of the dispatcher and sends the worker's greeting."""
        if dial.runner is None:
            return
        name, start = dial.runner.state_machine.name, dial.runner.start
        protocol = dial.buildProtocol(PEER)
        if protocol is None:
            return
        transport = HollowTransport(protocol, self.data_received)
        protocol.makeConnection(transport)
        self.send(transport, wire.Hello(wire.RUNNER, wire.VERSION, name, start=start, up_for=3_600_000.0))

    def data_received(self, transport: HollowTransport, data: bytes) -> None:
        self.traffic.count_sent(data)
        for line in data.splitlines():
            message = FROM_EDGE_TO_WORKER.decode(line)
            match message:
                case wire.Run():
                    runner = transport.protocol.runner
                    key = (runner.state_machine.name, message.function)
                    wait = ANSWER_AFTER if key in self.loaded else LOAD_AFTER + ANSWER_AFTER
                    self.loaded.add(key)
                    self.reactor.schedule(wait, self.send, transport, wire.RunFinished(message.call_id, "ok"))
                case wire.PreloadRequest():
                    self.reactor.schedule(
                        LATENCY_US,
                        self.send,
                        transport,
                        wire.PreloadResult(message.preload_id, "ok", message.count),
                    )

    def send(self, transport: HollowTransport, message: wire.Message) -> None:
        line = wire.encode(message) + b"\n"
        self.traffic.count_received(line)
        if not transport.closed:
            transport.protocol.dataReceived(line)


class Roster:
    """A hollow roster with the full list, which sends changes on request."""

    def __init__(self, entries: list[wire.RosterEntry]) -> None:
        self.entries, self.number, self.traffic = entries, 0, Traffic()
        self.transport: HollowTransport | None = None
        self.snapshot_bytes = 0  # of the line with the full list

    def accept(self, factory: Any) -> None:
        protocol = factory.buildProtocol(PEER)
        self.transport = HollowTransport(protocol, self.data_received)
        protocol.makeConnection(self.transport)
        self.send(wire.Hello(wire.ROSTER, wire.VERSION, "roster"))

    def data_received(self, transport: HollowTransport, data: bytes) -> None:
        self.traffic.count_sent(data)

    def send(self, message: wire.Message) -> int:
        assert self.transport
        line = wire.encode(message) + b"\n"
        self.traffic.count_received(line)
        self.transport.protocol.dataReceived(line)
        return len(line)

    def send_snapshot(self) -> None:
        self.snapshot_bytes = self.send(wire.RosterSnapshot(self.number, self.entries, "epoch"))

    def send_update(self, *entries: wire.RosterEntry) -> int:
        """Sends one change; returns its size in bytes."""
        self.number += 1
        return self.send(wire.RosterUpdate(self.number, list(entries), "epoch"))


class HollowProcess(VirtualProcess):
    """The edge's reactor; its dials are accepted by hollow peers."""

    def __init__(self, reactor: VirtualReactor, workers: Workers, roster: Roster) -> None:
        super().__init__(reactor, "edge")
        self.workers, self.roster = workers, roster
        self.holders: dict[int, Callable[[Any], None]] = {}  # accept a dial, by port

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Any:
        if port == ROSTER_PORT:
            return self.roster.accept(factory)
        if port in self.holders:
            return self.reactor.schedule(0, self.holders[port], factory)
        return self.reactor.schedule(2 * LATENCY_US, self.workers.accept, factory)


class HollowDispatcher:
    """One edge with its clients and workers; it follows the full list unless its settings use a directory."""

    def __init__(
        self,
        entries: list[wire.RosterEntry],
        seed: int,
        of: int,
        number: int = 0,
        reactor: VirtualReactor | None = None,
        holders: dict[int, Callable[[Any], None]] | None = None,
        **overrides: Any,
    ) -> None:
        """`holders` accept dials to the directory, by port; `overrides` are further settings."""
        self.reactor = reactor or VirtualReactor()
        self.workers, self.roster = Workers(self.reactor), Roster(entries)
        process = HollowProcess(self.reactor, self.workers, self.roster)
        process.holders = holders or {}
        deployment = convert_value({**settings(of, number), **overrides}, Deployment)
        self.edge = Edge(process, deployment, lambda what, **figures: None, seed)
        self.clients, self.answers = Traffic(), dict.fromkeys(("ok", "denied", "aborted"), 0)
        self.called_at: dict[str, float] = {}  # of unanswered calls, by id
        self.latencies: list[float] = []  # seconds, of calls answered ok
        self.count = 0
        self.edge.start()
        self.client = self.connect_client()

    def connect_client(self) -> Any:
        client: Any = ClientConnection(self.edge, 1)
        client.makeConnection(HollowTransport(client, self.data_received))
        client.dataReceived(wire.encode(wire.Hello(wire.CLIENT, wire.VERSION, "client")) + b"\n")
        return client

    def data_received(self, transport: HollowTransport, data: bytes) -> None:
        self.clients.count_sent(data)
        for line in data.splitlines():
            message = FROM_EDGE_TO_CLIENT.decode(line)
            if isinstance(message, wire.Answer):
                self.answers[message.verdict] += 1
                started_at = self.called_at.pop(message.id)
                if message.verdict == "ok":
                    self.latencies.append(self.reactor.seconds() - started_at)

    def load_full_list(self) -> None:
        """Sends the full list and waits until the edge is connected to every instance in it."""
        self.roster.send_snapshot()
        self.run(0.01)

    def encode_call(self, function: str) -> bytes:
        self.count += 1
        call = wire.Call(str(self.count), function, "check", 3_000.0, memory=100.0)
        return wire.encode(call) + b"\n"

    def call(self, function: str) -> None:
        """Sends a client's call; the answer arrives in virtual time."""
        line = self.encode_call(function)
        self.called_at[str(self.count)] = self.reactor.seconds()
        self.clients.count_received(line)
        self.client.dataReceived(line)

    def run(self, seconds: float) -> None:
        self.reactor.run(self.reactor.seconds() + seconds)

    def call_at(self, times: Iterator[tuple[float, str]]) -> None:
        """Sends calls at these times, in seconds from now, in ascending order."""
        started_at = self.reactor.seconds()
        for after, function in times:
            self.reactor.run(started_at + after)
            self.call(function)

    def clear_latencies(self) -> None:
        """Clears the recorded latencies, which must not count as state of the dispatcher."""
        self.latencies.clear()


def settings(of: int, number: int = 0, roster_port: int = ROSTER_PORT) -> dict[str, Any]:
    """Settings of one of `of` dispatchers, as in the example of small rule programs."""
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
    """The roster's entry of one instance; names have the length stated in the assumptions."""
    name, zone = f"instance-r{region}-{number:012d}", ZONES[number % len(ZONES)]
    return wire.RosterEntry(
        name, WORKER_PORT, zone, number % 97, "quad", 1.0, listing, f"{name}#{start}", 3_600_000.0
    )


def entries(count: int, region: int = 0) -> list[wire.RosterEntry]:
    return [entry(number, region=region) for number in range(count)]


def drained(original: wire.RosterEntry) -> wire.RosterEntry:
    return msgspec.structs.replace(original, listing="draining")
