"""The program's edge with a directory, hollow: its holders are those of `directory_fleet`."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from benchmarks.scale import hollow
from benchmarks.scale.directory_fleet import HolderNode, Region
from lapistrestle.wire import directory as wire
from lapistrestle.wire.messages import VERSION, Hello, encode

GREETING = encode(Hello(wire.DIRECTORY, VERSION, "holder")) + b"\n"


class Session:
    """One connection of the edge to a holder, as both of them see it."""

    def __init__(self, dispatcher: "DirectoryDispatcher", holder: HolderNode, dial: Any) -> None:
        self.dispatcher, self.holder, self.dial = dispatcher, holder, dial
        self.number = -1
        self.transport: hollow.HollowTransport | None = None

    # what the holder does

    def after(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        self.dispatcher.reactor.schedule(delay, call, *args)

    def connected(self, connection: int, holder: HolderNode, session: int) -> None:
        self.number = session
        protocol = self.dial.buildProtocol(hollow.PEER)
        self.transport = hollow.HollowTransport(protocol, self.said, self.left)
        protocol.makeConnection(self.transport)
        self.read(GREETING)

    def refused(self, connection: int) -> None:
        self.dial.clientConnectionFailed(None, None)

    def broken(self, connection: int) -> None:
        if self.transport is not None and not self.transport.closed:
            self.transport.closed = True
            self.transport.protocol.connectionLost(None)

    def arrive(self, connection: int, line: bytes) -> None:
        self.dispatcher.directory.came(line)
        if self.dispatcher.held is None:
            self.read(line)
        else:
            self.dispatcher.held.append((self, line))

    def read(self, line: bytes) -> None:
        if self.transport is not None and not self.transport.closed:
            self.transport.protocol.dataReceived(line)

    # what the edge does

    def said(self, transport: hollow.HollowTransport, data: bytes) -> None:
        if b'"is":"hello"' in data:
            return
        self.dispatcher.directory.left(data)
        for line in data.splitlines(keepends=True):
            self.dispatcher.reactor.schedule(self.holder.one_way, self.holder.arrive, self.number, line)

    def left(self) -> None:
        self.dispatcher.reactor.schedule(self.holder.one_way, self.holder.leave, self.number)


class DirectoryDispatcher(hollow.HollowDispatcher):
    """One edge that watches what it calls at the holders of a region."""

    def __init__(self, region: Region, seed: int, of: int, number: int = 0, **directory: Any) -> None:
        self.directory = hollow.Traffic()
        ports = {copy.port: self.dialled_by(node) for copy, node in region.holders.items()}
        copies = [{"port": copy.port, "zone": copy.zone} for copy in region.holders]
        settings = {"epoch": 1, "shards": [copies] * len(region.assignment.shards), **directory}
        super().__init__([], seed, of, number, region.reactor, ports, directory=settings, roster={"port": 0})
        self.held: list[tuple[Session, bytes]] | None = None
        self.looked_up: list[float] = []  # seconds that calls waited for their function's prefix
        self.time_look_ups(self.edge.directory.waiting_requests)

    @contextmanager
    def holding(self) -> Iterator[list[tuple[Session, bytes]]]:
        """What holders say meanwhile is held instead of read."""
        held = self.held = list[tuple[Session, bytes]]()
        yield held
        self.held = None

    def take_in(self, held: list[tuple[Session, bytes]]) -> None:
        for session, line in held:
            session.read(line)

    def time_look_ups(self, waiting: Any) -> None:
        wait, left, since = waiting.add, waiting.leave, dict[Any, float]()

        def waits(pending: Any) -> None:
            since[pending] = self.reactor.seconds()
            wait(pending)

        def leaves(pending: Any) -> bool:
            was_waiting: bool = left(pending)
            if was_waiting:
                self.looked_up.append(self.reactor.seconds() - since.pop(pending))
            return was_waiting

        waiting.add, waiting.leave = waits, leaves

    def dialled_by(self, holder: HolderNode) -> Callable[[Any], None]:
        """What takes a dial of the edge to this holder."""

        def dialled(dial: Any) -> None:
            session: Any = Session(self, holder, dial)
            self.reactor.schedule(2 * holder.one_way, holder.connect, session, 0)

        return dialled
