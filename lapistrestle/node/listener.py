"""The listening socket on the reactor: accepts connections, a bounded number at once."""

import errno
import socket
from collections.abc import Callable
from typing import Any

from lapistrestle.node.streams import RETRIABLE_ERRORS, Reactor

OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# seconds without accepting after running out of descriptors: the listener stays readable and would spin
ACCEPT_PAUSE = 0.1
ACCEPT_QUEUE = 1_024  # connections that the kernel holds until they are accepted


class Listener:
    """Accepts connections, at most `ACCEPTS_PER_POLL` per poll."""

    ACCEPTS_PER_POLL = 64

    def __init__(
        self, reactor: Reactor, host: str, port: int, on_connection: Callable[[socket.socket], None],
        on_out_of_descriptors: Callable[[], object] = lambda: None,
    ) -> None:  # fmt: skip
        """`on_out_of_descriptors` is called if accepting fails for lack of descriptors or memory."""
        self.reactor = reactor
        self.on_connection = on_connection
        self.on_out_of_descriptors = on_out_of_descriptors
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind((host, port))
            self.sock.listen(ACCEPT_QUEUE)
        except OSError:
            self.sock.close()
            raise
        self.closed = False
        self.full_since: float | None = None  # time since which connections may wait in the accept queue
        reactor.addReader(self)

    def fileno(self) -> int:
        """The socket's descriptor, for the reactor."""
        return self.sock.fileno()

    def logPrefix(self) -> str:
        """The name in the reactor's log lines."""
        return "Listener"

    def doRead(self) -> None:
        """There are connections to accept."""
        for _ in range(self.ACCEPTS_PER_POLL):
            if not self.accept():
                return

    def accept(self) -> bool:
        """Accept one connection; False if there is none, or for lack of descriptors."""
        try:
            sock, _addr = self.sock.accept()
        except OSError as error:
            if error.errno in OUT_OF_DESCRIPTORS:
                if self.full_since is None:
                    self.full_since = self.reactor.seconds()
                self.reactor.removeReader(self)
                self.reactor.callLater(ACCEPT_PAUSE, self.resume)
                self.on_out_of_descriptors()
            elif error.errno in RETRIABLE_ERRORS:
                self.full_since = None
            return error.errno == errno.ECONNABORTED
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_connection(sock)
        return True

    def max_wait(self) -> float:
        """Seconds for which a connection accepted now may have waited for a descriptor."""
        return 0.0 if self.full_since is None else float(self.reactor.seconds()) - self.full_since

    def accept_all(self) -> bool:
        """Accept the connections that wait; False if others came meanwhile or descriptors are lacking."""
        for _ in range(ACCEPT_QUEUE + 1):  # the kernel lets one more wait than it is told
            if not self.accept():
                return self.full_since is None
        return False

    def resume(self) -> None:
        """Accept again after a pause."""
        if not self.closed:
            self.reactor.addReader(self)

    def connectionLost(self, reason: Any) -> None:
        """The descriptor failed."""
        self.close()

    def close(self) -> None:
        """Stop listening."""
        if not self.closed:
            self.closed = True
            self.reactor.removeReader(self)
            self.sock.close()
