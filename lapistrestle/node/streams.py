"""A connection on the reactor that tells what has left.

Twisted's own transports keep what they are given, and nobody learns how much of it was written. Rules 2 and 3
hang on just that, so connections of the platform's protocol are descriptors of their own, on the reactor's
readers and writers. Each reads a bounded piece a turn: a client at full speed must not keep the rest waiting.
"""

import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from lapistrestle.edge.work_gate import READ_AGAIN

TRY_AGAIN = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
PAUSE = 0.1  # seconds without accepting where the machine has no room: readable still, it would spin
READ = 16_384  # bytes of one connection a turn
MOST_READS = 64  # pieces that are read at once of what lies unread: all that a client may have open, and more
FRESH = READ_AGAIN / 10_000  # seconds for which a connection that was read to its end need not be again


class Reactor(Protocol):
    """What a stream needs of the reactor; the names are Twisted's (`IReactorFDSet`, `IReactorTime`)."""

    def seconds(self) -> float:
        """The time on a monotonic clock."""

    def callLater(self, delay: float, call: Callable[..., object], *args: Any) -> Any:
        """Call after so many seconds."""

    def addReader(self, reader: Any) -> object:
        """Call `doRead` of it whenever there is something to read."""

    def removeReader(self, reader: Any) -> object:
        """No longer."""

    def addWriter(self, writer: Any) -> object:
        """Call `doWrite` of it whenever its socket takes more."""

    def removeWriter(self, writer: Any) -> object:
        """No longer."""


class Stream:
    """One connected or connecting socket. A subclass gives `received`, `lost` and, where it dials, `made`."""

    def __init__(self, reactor: Reactor, sock: socket.socket, dialled: bool = False) -> None:
        self.reactor = reactor
        self.sock = sock
        self.dialling = dialled
        self.dead = False
        self.closing = False
        self.unsent: deque[tuple[bytes, int]] = deque()  # pieces, each with a mark of the sender's own
        self.offset = 0  # bytes of the first piece that have left
        self.unsent_bytes = 0
        self.writing = self.reading = False
        self.read_at = -FRESH  # when it was last read to its end, by the reactor's clock

    def begin(self) -> None:
        """Begin to connect, or to read."""
        if self.dialling:
            self.watch_writes(True)
        else:
            self.watch_reads(True)

    def watch_reads(self, on: bool) -> None:
        """Have the reactor tell when there is something to read, or no longer."""
        if on is not self.reading and not self.dead:
            self.reading = on
            (self.reactor.addReader if on else self.reactor.removeReader)(self)

    def watch_writes(self, on: bool) -> None:
        """Have the reactor tell when the socket takes more, or no longer."""
        if on is not self.writing and not self.dead:
            self.writing = on
            (self.reactor.addWriter if on else self.reactor.removeWriter)(self)

    # what the reactor asks

    def fileno(self) -> int:
        """The socket's descriptor, for the reactor."""
        return self.sock.fileno()

    def logPrefix(self) -> str:
        """The name by which the reactor logs it."""
        return type(self).__name__

    def doRead(self) -> None:
        """The reactor: there is something to read."""
        self.read(self.pieces())

    def read(self, pieces: int) -> None:
        """Read what has come, some pieces at the most."""
        for _ in range(pieces):
            if self.dead or not self.reading:
                return
            try:
                data = self.sock.recv(READ)
            except OSError as error:
                if error.errno not in TRY_AGAIN:
                    self.drop(error.strerror or "lost")
                    return
                self.read_at = self.reactor.seconds()
                return
            if not data:
                self.drop("closed by the peer")
                return
            if len(data) < READ:
                self.read_at = self.reactor.seconds()
            self.received(data)

    def read_now(self) -> None:
        """Read what lies unread, its end included, unless that was done within FRESH."""
        if self.reactor.seconds() - self.read_at > FRESH:
            self.read(MOST_READS)

    def doWrite(self) -> None:
        """The reactor: the connection is made, or the socket takes more."""
        if self.dead:
            return
        if self.dialling:
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.drop(os.strerror(error))
                return
            self.dialling = False
            self.watch_writes(False)
            self.watch_reads(True)
            self.made()
            if self.unsent:
                self.flush()
        elif self.unsent:
            self.flush()
        else:
            self.watch_writes(False)
            self.drained()

    def connectionLost(self, reason: Any) -> None:
        """The reactor: the descriptor failed."""
        self.drop("lost")

    # what its owner asks

    def send(self, data: bytes, mark: int = 0) -> None:
        """Write at once as much as the socket takes; the rest follows when it can."""
        if self.dead:
            return
        self.unsent.append((data, mark))
        self.unsent_bytes += len(data)
        if len(self.unsent) == 1 and not self.dialling:
            self.flush()

    def offer(self, data: bytes, mark: int = 0) -> bool:
        """As `send`, but where the socket takes nothing of it now nothing is kept either, and `drained` is
        called once it takes more. False then: what has not begun to leave stays the owner's to take back.
        """
        if self.dead or self.dialling:
            return False
        if not self.unsent:
            self.send(data, mark)
            if self.dead or not self.unsent or self.offset:
                return True
            self.unsent.clear()
            self.unsent_bytes = 0
        return False

    def flush(self) -> None:
        """Write what waits, as much as the socket takes."""
        while self.unsent and not self.dead:
            data = self.unsent[0][0]
            try:
                sent = self.sock.send(data[self.offset :] if self.offset else data)
            except OSError as error:
                if error.errno in TRY_AGAIN:
                    break
                self.drop(error.strerror or "lost")
                return
            self.offset += sent
            self.unsent_bytes -= sent
            if self.offset < len(data):
                break
            self.unsent.popleft()
            self.offset = 0
        if self.unsent:
            self.watch_writes(True)
            return
        if self.closing:
            self.drop("done")
            return
        if self.writing:
            self.watch_writes(False)
            self.drained()

    def close(self) -> None:
        """Close once all is written."""
        self.closing = True
        self.watch_reads(False)
        if not self.unsent:
            self.drop("done")

    def unmade(self, _: object = None) -> None:
        """The time to connect is up."""
        if self.dialling:
            self.drop("no connection in time")

    def drop(self, reason: str) -> None:
        """Close now."""
        if self.dead:
            return
        self.reactor.removeReader(self)
        self.reactor.removeWriter(self)
        self.dead = True
        self.sock.close()
        self.lost(reason)

    # for subclasses

    def pieces(self) -> int:
        """How many to read in this turn."""
        return 1

    def made(self) -> None:
        """The connection was made."""

    def received(self, data: bytes) -> None:
        """Bytes came."""

    def drained(self) -> None:
        """All that waited has been written."""

    def lost(self, reason: str) -> None:
        """The connection is gone, and why."""


def dial(host: str, port: int) -> socket.socket:
    """A socket that has begun to connect. Raises OSError where that fails at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        begin_connecting(sock, host, port)
    except OSError:
        sock.close()
        raise
    return sock


def begin_connecting(sock: socket.socket, host: str, port: int) -> None:
    """Connect without waiting for it. Raises OSError where that fails at once."""
    code = sock.connect_ex((host, port))
    if code not in (0, errno.EINPROGRESS):
        raise OSError(code, os.strerror(code))


class Listener:
    """Accepts connections, some a turn."""

    EACH = 64

    def __init__(
        self, reactor: Reactor, host: str, port: int, on_connection: Callable[[socket.socket], None],
        on_out_of_descriptors: Callable[[], object] = lambda: None,
    ) -> None:  # fmt: skip
        """`on_out_of_descriptors` is called where the machine has no descriptor left for one more."""
        self.reactor = reactor
        self.on_connection = on_connection
        self.on_out_of_descriptors = on_out_of_descriptors
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind((host, port))
            self.sock.listen(1024)
        except OSError:
            self.sock.close()
            raise
        self.closed = False
        self.full_since: float | None = None  # since then some may wait in the machine's line
        reactor.addReader(self)

    def fileno(self) -> int:
        """The socket's descriptor, for the reactor."""
        return self.sock.fileno()

    def logPrefix(self) -> str:
        """The name by which the reactor logs it."""
        return "Listener"

    def doRead(self) -> None:
        """The reactor: connections wait."""
        for _ in range(self.EACH):
            if not self.accept():
                return

    def accept(self) -> bool:
        """Take one; False if there is none now."""
        try:
            sock, _addr = self.sock.accept()
        except OSError as error:
            if error.errno in TRY_AGAIN:
                self.full_since = None
            if error.errno in OUT_OF_DESCRIPTORS:
                if self.full_since is None:
                    self.full_since = self.reactor.seconds()
                self.reactor.removeReader(self)
                self.reactor.callLater(PAUSE, self.resume)
                self.on_out_of_descriptors()
            return error.errno == errno.ECONNABORTED
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_connection(sock)
        return True

    def waited(self) -> float:
        """Seconds for which what is accepted now may have waited for a descriptor."""
        return 0.0 if self.full_since is None else float(self.reactor.seconds()) - self.full_since

    def empty(self) -> bool:
        """Accept all that waits; False if the machine has no descriptor left for some of it."""
        while self.accept():
            continue
        return self.full_since is None

    def resume(self) -> None:
        """Accept again after a pause."""
        if not self.closed:
            self.reactor.addReader(self)

    def connectionLost(self, reason: Any) -> None:
        """The reactor: the descriptor failed."""
        self.close()

    def close(self) -> None:
        """Accept nothing more."""
        if not self.closed:
            self.closed = True
            self.reactor.removeReader(self)
            self.sock.close()
