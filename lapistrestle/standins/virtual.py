"""A reactor on a virtual clock with in-memory transports, for the same protocol objects that run on sockets.

Time is in whole microseconds. Calls that are due at the same time run in the order in which they were
scheduled. Each program under test gets a `Process` as its reactor, which can be stalled (its input and timers
wait, as in a stopped process) or killed (its connections break, and nothing of it runs any more).
"""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.python.failure import Failure

LATENCY_US = 150  # microseconds one way
SOCKET_BUFFERS = 262_144  # bytes in the socket buffers of both ends together
TRANSPORT_BUFFER = 65_536  # bytes in a transport's own buffer at which its producer is paused


class DelayedCall:
    """A scheduled call, with the interface of Twisted's DelayedCall."""

    __slots__ = ("args", "call", "done", "process", "when")

    def __init__(
        self, when: int, process: "VirtualProcess | None", call: Callable[..., Any], args: Any
    ) -> None:
        self.when, self.process, self.call, self.args, self.done = when, process, call, args, False

    def active(self) -> bool:
        return not self.done

    def cancel(self) -> None:
        self.done = True


class VirtualReactor:
    """The clock, and the network between processes."""

    def __init__(self, start: float = 1_000.0) -> None:
        self.now = round(start * 1e6)
        self.heap: list[tuple[int, int, DelayedCall]] = []
        self.count = 0
        self.ports: dict[int, Listener] = {}
        self.datagrams: dict[int, DatagramPort] = {}
        # by source and target port: latencies of a datagram's copies; none if it is lost
        self.datagram_delays: Callable[[int, int], list[int]] = lambda source, target: [LATENCY_US]
        self.last_port = 20_000

    def seconds(self) -> float:
        return self.now / 1e6

    def schedule(
        self, delay: int, call: Callable[..., Any], *args: Any, process: "VirtualProcess | None" = None
    ) -> DelayedCall:
        delayed_call = DelayedCall(self.now + max(0, delay), process, call, args)
        self.count += 1
        heappush(self.heap, (delayed_call.when, self.count, delayed_call))
        return delayed_call

    def run(self, until: float) -> None:
        """Runs everything that is due up to that time, in seconds."""
        end = round(until * 1e6)
        while self.heap and self.heap[0][0] <= end:
            when, _, due = heappop(self.heap)
            if due.done:
                continue
            self.now = when
            if due.process is not None and not due.process.awake():
                due.process.overdue_timers.append(due)
                continue
            due.done = True
            due.call(*due.args)
        self.now = max(self.now, end)

    def free_port(self) -> int:
        self.last_port += 1
        return self.last_port


class VirtualProcess:
    """One program's reactor, with the part of Twisted's interface that is used."""

    def __init__(self, reactor: VirtualReactor, name: str) -> None:
        self.reactor, self.name = reactor, name
        self.stalled = self.dead = False
        self.overdue_timers: list[DelayedCall] = []  # timers that came due during a stall
        self.inbox: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self.transports: dict[VirtualTransport, None] = {}
        self.listeners: list[Listener] = []

    def awake(self) -> bool:
        return not (self.stalled or self.dead)

    def seconds(self) -> float:
        return self.reactor.seconds()

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> DelayedCall:
        return self.reactor.schedule(-int(-delay * 1e6 // 1), call, *args, process=self)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> "Listener":
        port = port or self.reactor.free_port()
        if port in self.reactor.ports:
            raise OSError(f"port {port} is taken")
        listener = self.reactor.ports[port] = Listener(self, port, factory)
        self.listeners.append(listener)
        return listener

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> "Connector":
        connector = Connector(self, port, factory)
        self.reactor.schedule(2 * LATENCY_US, connector.connect, timeout)
        return connector

    def listenUDP(self, port: int, protocol: Any, interface: str = "") -> None:
        protocol.transport = self.reactor.datagrams[port] = DatagramPort(self, port, protocol)

    def deliver(self, call: Callable[..., Any], *args: Any) -> None:
        """Delivers input to this process; a stalled one gets it when it resumes."""
        if self.dead:
            return
        if self.stalled:
            self.inbox.append((call, args))
        else:
            call(*args)

    def stall(self) -> None:
        self.stalled = True

    def resume(self) -> None:
        """Ends a stall. As in a real reactor, due timers run first, then the input that has arrived."""
        if self.dead:
            return
        self.stalled = False
        timers, self.overdue_timers = self.overdue_timers, []
        for timer in timers:
            if not timer.done:
                timer.done = True
                timer.call(*timer.args)
        while self.inbox:
            call, args = self.inbox.popleft()
            call(*args)

    def kill(self) -> None:
        """Kills the process: its connections break, and nothing of it runs again."""
        self.dead = True
        for listener in self.listeners:
            listener.close()
        for wire in list(self.transports):
            wire.break_off()
        self.transports.clear()
        self.inbox.clear()


class Listener:
    def __init__(self, process: VirtualProcess, port: int, factory: Any) -> None:
        self.process, self.port, self.factory = process, port, factory

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", "127.0.0.1", self.port)

    def stopListening(self) -> None:
        self.close()

    def close(self) -> None:
        if self.process.reactor.ports.get(self.port) is self:
            del self.process.reactor.ports[self.port]


class Connector:
    def __init__(self, process: VirtualProcess, port: int, factory: Any) -> None:
        self.process, self.port, self.factory = process, port, factory
        self.wire: VirtualTransport | None = None
        self.cancelled = False

    def disconnect(self) -> None:
        self.cancelled = True
        if self.wire is not None:
            self.wire.loseConnection()

    def connect(self, timeout: float) -> None:
        listener = self.process.reactor.ports.get(self.port)
        if self.cancelled or self.process.dead:
            return
        if listener is None or listener.process.dead:
            return self.process.deliver(self.fail, ConnectionRefusedError())  # type: ignore[no-untyped-call]
        here, there = VirtualTransport(self.process, self.port), VirtualTransport(listener.process, self.port)
        here.peer, there.peer, self.wire = there, here, here
        listener.process.deliver(there.accept, listener)
        self.process.deliver(self.connected, here)

    def connected(self, wire: "VirtualTransport") -> None:
        if self.cancelled:
            return wire.abortConnection()
        protocol = self.factory.buildProtocol(wire.getPeer())
        if protocol is None:
            return wire.abortConnection()
        wire.connect_protocol(protocol)

    def fail(self, reason: Exception) -> None:
        if not self.cancelled:
            self.factory.clientConnectionFailed(self, Failure(reason))  # type: ignore[no-untyped-call]


class VirtualTransport:
    """One end of a connection: a Twisted transport for its protocol, which delivers bytes after a latency."""

    def __init__(self, process: VirtualProcess, port: int) -> None:
        self.process, self.reactor, self.port = process, process.reactor, port
        self.peer: VirtualTransport
        self.protocol: Any = None
        self.unread: deque[bytes] = deque()  # arrived and not yet read
        self.unread_bytes = 0
        self.in_flight = 0  # bytes written and not yet read by the peer
        self.reading, self.closed, self.peer_closed = True, False, False
        self.producer: Any = None
        self.producer_paused = False
        process.transports[self] = None

    @property
    def disconnecting(self) -> bool:
        return self.closed

    # opening and closing

    def accept(self, listener: Listener) -> None:
        protocol = listener.factory.buildProtocol(self.getPeer())
        if protocol is None:
            return self.abortConnection()
        self.connect_protocol(protocol)

    def connect_protocol(self, protocol: Any) -> None:
        self.protocol = protocol
        protocol.makeConnection(self)
        self.read()

    def getPeer(self) -> IPv4Address:
        return IPv4Address("TCP", "127.0.0.1", self.port)

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", "127.0.0.1", self.port)

    def loseConnection(self) -> None:
        """Closes; what was written still arrives."""
        if not self.closed:
            self.closed = True
            self.reactor.schedule(LATENCY_US, self.peer.process.deliver, self.peer.on_peer_closed)
            self.reactor.schedule(0, self.process.deliver, self.on_closed, ConnectionDone())

    def abortConnection(self) -> None:
        """Closes; what was written and not yet read may be lost."""
        self.closed = True
        self.reactor.schedule(LATENCY_US, self.peer.process.deliver, self.peer.on_closed, ConnectionLost())
        self.reactor.schedule(0, self.process.deliver, self.on_closed, ConnectionLost())

    def break_off(self) -> None:
        self.closed = self.peer_closed = True
        self.reactor.schedule(LATENCY_US, self.peer.process.deliver, self.peer.on_closed, ConnectionLost())

    def on_peer_closed(self) -> None:
        """The peer has closed: the connection ends here once everything before that has been read."""
        self.peer_closed = True
        self.read()

    def on_closed(self, reason: Exception) -> None:
        self.closed = True
        self.process.transports.pop(self, None)
        protocol, self.protocol = self.protocol, None
        self.unread.clear()
        if protocol is not None:
            protocol.connectionLost(Failure(reason))  # type: ignore[no-untyped-call]

    # bytes

    def write(self, data: bytes) -> None:
        if self.closed or not data:
            return
        self.in_flight += len(data)
        self.reactor.schedule(LATENCY_US, self.peer.arrive, data)
        if (
            self.producer is not None
            and not self.producer_paused
            and self.in_flight > SOCKET_BUFFERS + TRANSPORT_BUFFER
        ):
            self.producer_paused = True
            self.producer.pauseProducing()

    def arrive(self, data: bytes) -> None:
        """Bytes reached this end's socket, whether or not its process is stalled."""
        self.unread.append(data)
        self.unread_bytes += len(data)
        self.process.deliver(self.read)

    def read(self) -> None:
        while self.unread and self.reading and self.protocol is not None:
            data = self.unread.popleft()
            self.unread_bytes -= len(data)
            self.peer.peer_read(len(data))
            self.protocol.dataReceived(data)
        if self.peer_closed and not self.unread and self.protocol is not None:
            self.on_closed(ConnectionDone())
        elif self.peer_closed and not self.reading and self.protocol is not None and not self.closed:
            self.closed = True  # writing to a closed peer fails

    def peer_read(self, size: int) -> None:
        self.in_flight -= size
        if self.producer_paused and self.in_flight <= SOCKET_BUFFERS:
            self.producer_paused = False
            if self.producer is not None and not self.closed:
                self.reactor.schedule(LATENCY_US, self.process.deliver, self.resume_producer)

    def resume_producer(self) -> None:
        if self.producer is not None and not self.closed and not self.producer_paused:
            self.producer.resumeProducing()

    # flow control and socket options

    def pauseProducing(self) -> None:
        self.reading = False

    def resumeProducing(self) -> None:
        if not self.reading:
            self.reading = True
            self.reactor.schedule(0, self.process.deliver, self.read)

    def stopProducing(self) -> None:
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer

    def unregisterProducer(self) -> None:
        self.producer = None

    def setTcpNoDelay(self, enabled: bool) -> None: ...


class DatagramPort:
    def __init__(self, process: VirtualProcess, port: int, protocol: Any) -> None:
        self.process, self.port, self.protocol = process, port, protocol

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        for delay in self.process.reactor.datagram_delays(self.port, address[1]):
            self.process.reactor.schedule(delay, self.deliver, data, address[1])

    def deliver(self, data: bytes, port: int) -> None:
        there = self.process.reactor.datagrams.get(port)
        if there is not None:
            there.process.deliver(there.protocol.datagramReceived, data, ("127.0.0.1", self.port))
