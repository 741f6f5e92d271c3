"""The production edge with a directory in virtual time; its holders are those of `directory_fleet`."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from benchmarks.scale import hollow
from benchmarks.scale.directory_fleet import HolderNode, Region
from lapistrestle.wire import directory as wire
from lapistrestle.wire.messages import VERSION, Hello, encode

GREETING = encode(Hello(wire.DIRECTORY, VERSION, "holder")) + b"\n"


class Session:
    """One connection between the edge and a holder; implements what each end expects of the other."""

    def __init__(self, dispatcher: "DirectoryDispatcher", holder: HolderNode, dial: Any) -> None:
        self.dispatcher, self.holder, self.dial = dispatcher, holder, dial
        self.number = -1
        self.transport: hollow.HollowTransport | None = None

    # called by the holder

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        self.dispatcher.reactor.schedule(delay, call, *args)

    def connected(self, connection: int, holder: HolderNode, session: int) -> None:
        self.number = session
        protocol = self.dial.buildProtocol(hollow.PEER)
        self.transport = hollow.HollowTransport(protocol, self.data_written, self.closed_by_edge)
        protocol.makeConnection(self.transport)
        self.read(GREETING)

    def refused(self, connection: int) -> None:
        self.dial.clientConnectionFailed(None, None)

    def connection_lost(self, connection: int) -> None:
        if self.transport is not None and not self.transport.closed:
            self.transport.closed = True
            self.transport.protocol.connectionLost(None)

    def arrive(self, connection: int, line: bytes) -> None:
        self.dispatcher.directory.count_received(line)
        if self.dispatcher.held_lines is None:
            self.read(line)
        else:
            self.dispatcher.held_lines.append((self, line))

    def read(self, line: bytes) -> None:
        if self.transport is not None and not self.transport.closed:
            self.transport.protocol.dataReceived(line)

    # called by the edge

    def data_written(self, transport: hollow.HollowTransport, data: bytes) -> None:
        if b'"is":"hello"' in data:
            return
        self.dispatcher.directory.count_sent(data)
        for line in data.splitlines(keepends=True):
            self.dispatcher.reactor.schedule(self.holder.one_way, self.holder.arrive, self.number, line)

    def closed_by_edge(self) -> None:
        self.dispatcher.reactor.schedule(self.holder.one_way, self.holder.disconnect, self.number)


class DirectoryDispatcher(hollow.HollowDispatcher):
    """One edge that watches the functions it calls at the holders of a region."""

    def __init__(self, region: Region, seed: int, of: int, number: int = 0, **directory: Any) -> None:
        self.directory = hollow.Traffic()
        ports = {copy.port: self.dial_handler(node) for copy, node in region.holders.items()}
        copies = [{"port": copy.port, "zone": copy.zone} for copy in region.holders]
        settings = {"epoch": 1, "shards": [copies] * len(region.assignment.shards), **directory}
        super().__init__([], seed, of, number, region.reactor, ports, directory=settings, roster={"port": 0})
        self.held_lines: list[tuple[Session, bytes]] | None = None
        self.lookup_seconds: list[float] = []  # seconds that calls waited for their function's prefix
        self.record_lookup_times(self.edge.directory.waiting_requests)

    @contextmanager
    def hold_lines(self) -> Iterator[list[tuple[Session, bytes]]]:
        """Within this context lines from holders are collected instead of delivered."""
        held_lines = self.held_lines = list[tuple[Session, bytes]]()
        yield held_lines
        self.held_lines = None

    def deliver_held(self, held_lines: list[tuple[Session, bytes]]) -> None:
        for session, line in held_lines:
            session.read(line)

    def record_lookup_times(self, waiting: Any) -> None:
        add, leave, started_at = waiting.add, waiting.leave, dict[Any, float]()

        def on_add(pending: Any) -> None:
            started_at[pending] = self.reactor.seconds()
            add(pending)

        def on_leave(pending: Any) -> bool:
            was_waiting: bool = leave(pending)
            if was_waiting:
                self.lookup_seconds.append(self.reactor.seconds() - started_at.pop(pending))
            return was_waiting

        waiting.add, waiting.leave = on_add, on_leave

    def dial_handler(self, holder: HolderNode) -> Callable[[Any], None]:
        """Returns the function that accepts the edge's dials to this holder."""

        def accept_dial(dial: Any) -> None:
            session: Any = Session(self, holder, dial)
            self.reactor.schedule(2 * holder.one_way, holder.connect, session, 0)

        return accept_dial
