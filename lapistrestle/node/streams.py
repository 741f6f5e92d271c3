"""Sockets on the reactor that tell which data was sent.

Twisted's transports buffer all data without telling how much of it was written. But whether a request has
been sent decides whether it may be retried elsewhere, and whether it can still be cancelled when its worker
drains. So connections of the platform's protocols are file descriptors of their own, registered as readers
and writers of the reactor. Each reads a limited amount per poll, so that one fast sender can't starve the
others.
"""

import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

# The call is made again later; the connection is as it was. ENOBUFS and ENOMEM: the kernel lacks memory.
RETRIABLE_ERRORS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM)
READ_SIZE = 16_384  # bytes per read
MAX_READS = 64  # reads of one connection at once: more than all open requests of a client need


class Reactor(Protocol):
    """What a stream needs of the reactor; the names are Twisted's (`IReactorFDSet`, `IReactorTime`)."""

    def seconds(self) -> float:
        """The time on a monotonic clock."""

    def callLater(self, delay: float, call: Callable[..., object], *args: Any) -> Any:
        """Call after so many seconds."""

    def addReader(self, reader: Any) -> object:
        """Call the reader's `doRead` whenever its descriptor is readable."""

    def removeReader(self, reader: Any) -> object:
        """Stop calling `doRead`."""

    def addWriter(self, writer: Any) -> object:
        """Call the writer's `doWrite` whenever its descriptor is writable."""

    def removeWriter(self, writer: Any) -> object:
        """Stop calling `doWrite`."""


class Stream:
    """One connected or connecting socket.

    Subclasses implement `received`, `lost` and, if they dial, `connected`.
    """

    def __init__(self, reactor: Reactor, sock: socket.socket, dialled: bool = False) -> None:
        self.reactor = reactor
        self.sock = sock
        self.dialling = dialled
        self.dead = False
        self.closing = False
        # chunks, each with a mark by which the owner knows it
        self.unsent: deque[tuple[bytes, int]] = deque()
        self.offset = 0  # bytes of the first chunk that were sent
        self.unsent_bytes = 0
        self.sent_bytes = 0  # ever
        self.writing = self.reading = False

    def start(self) -> None:
        """Begin to connect, or to read."""
        if self.dialling:
            self.watch_writes(True)
        else:
            self.watch_reads(True)

    def watch_reads(self, on: bool) -> None:
        """Start or stop watching for data to read."""
        if on is not self.reading and not self.dead:
            self.reading = on
            (self.reactor.addReader if on else self.reactor.removeReader)(self)

    def watch_writes(self, on: bool) -> None:
        """Start or stop watching for room to write."""
        if on is not self.writing and not self.dead:
            self.writing = on
            (self.reactor.addWriter if on else self.reactor.removeWriter)(self)

    # called by the reactor

    def fileno(self) -> int:
        """The socket's descriptor, for the reactor."""
        return self.sock.fileno()

    def logPrefix(self) -> str:
        """The name in the reactor's log lines."""
        return type(self).__name__

    def doRead(self) -> None:
        """The socket is readable."""
        self.read(self.reads_per_poll())

    def read(self, count: int, time_limit: float | None = None) -> bool:
        """Read received data, at most so many times, and begin no read so many seconds after the first.

        Returns whether all data was read that the socket had.
        """
        ends_at = None
        is_all_read = False
        for _ in range(count):
            data = self.receive()
            if data is None:
                return True
            is_all_read = len(data) < self.read_size()
            if time_limit is not None and ends_at is None:
                ends_at = self.reactor.seconds() + time_limit
            self.received(data)
            if ends_at is not None and self.reactor.seconds() >= ends_at:
                break
        return is_all_read

    def receive(self) -> bytes | None:
        """Read once; None if there is nothing. Drops a connection that the peer closed or that failed."""
        if self.dead or not self.may_receive():
            return None
        try:
            data = self.sock.recv(self.read_size())
        except OSError as error:
            if error.errno not in RETRIABLE_ERRORS:
                self.drop(error.strerror or "lost")
            return None
        if not data:
            self.drop("closed by the peer")
            return None
        return data

    def read_on(self) -> None:
        """Read all data that the socket has, up to MAX_READS reads."""
        self.read(MAX_READS)

    def doWrite(self) -> None:
        """The connection is established, or the socket is writable."""
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
            self.connected()
            if self.unsent:
                self.flush()
        elif self.unsent:
            self.flush()
        else:
            self.watch_writes(False)
            self.write_completed()

    def connectionLost(self, reason: Any) -> None:
        """The descriptor failed."""
        self.drop("lost")

    # called by the owner

    def send(self, data: bytes, mark: int = 0) -> None:
        """Write as much as the socket accepts now; the rest is buffered and sent later."""
        if self.dead:
            return
        self.unsent.append((data, mark))
        self.unsent_bytes += len(data)
        if len(self.unsent) == 1 and not self.dialling:
            self.flush()

    def offer(self, data: bytes, mark: int = 0) -> bool:
        """Send data if the socket accepts at least a part of it now; else return False and buffer nothing.

        After False, `write_completed` is called once the socket is writable. So data that was not sent at all
        stays with the owner, which can still cancel it.
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
        """Write buffered data, as much as the socket accepts."""
        while self.unsent and not self.dead:
            data = self.unsent[0][0]
            try:
                sent = self.sock.send(data[self.offset :] if self.offset else data)
            except OSError as error:
                if error.errno in RETRIABLE_ERRORS:
                    break
                self.drop(error.strerror or "lost")
                return
            self.offset += sent
            self.unsent_bytes -= sent
            self.sent_bytes += sent
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
            self.write_completed()

    def close(self) -> None:
        """Close after all buffered data is written."""
        self.closing = True
        self.watch_reads(False)
        if not self.unsent:
            self.drop("done")

    def connect_timed_out(self, _: object = None) -> None:
        """The connect timeout has passed."""
        if self.dialling:
            self.drop("connect timeout")

    def drop(self, reason: str) -> None:
        """Close immediately, discarding buffered data."""
        if self.dead:
            return
        self.reactor.removeReader(self)
        self.reactor.removeWriter(self)
        self.dead = True
        self.sock.close()
        self.lost(reason)

    # for subclasses

    def read_size(self) -> int:
        """How many bytes are read at most by one call."""
        return READ_SIZE

    def may_receive(self) -> bool:
        """Whether data may be read now."""
        return self.reading

    def reads_per_poll(self) -> int:
        """How many reads are made per poll."""
        return 1

    def connected(self) -> None:
        """Called when the connection is established."""

    def received(self, data: bytes) -> None:
        """Called with received data."""

    def write_completed(self) -> None:
        """Called when all buffered data has been written."""

    def lost(self, reason: str) -> None:
        """Called when the connection is closed, with the reason."""


def dial(host: str, port: int) -> socket.socket:
    """Create a socket and start to connect it. Raises OSError if that fails immediately."""
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
    """Connect without blocking. Raises OSError if that fails immediately."""
    code = sock.connect_ex((host, port))
    if code not in (0, errno.EINPROGRESS):
        raise OSError(code, os.strerror(code))
