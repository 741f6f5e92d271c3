"""Twisted's reactor as the programs run it: monotonic clock, signals, garbage collection."""

import gc
import signal
import socket
import struct
import time
from collections.abc import Callable, Mapping
from contextlib import nullcontext
from typing import Any

GC_THRESHOLDS = (50_000, 20, 100)  # as `gc.set_threshold` takes them
START_DELAY = 0.02  # seconds between the start of the reactor and that of the program
# tcpi_last_data_recv of the kernel's tcp_info, in milliseconds
TCP_INFO_LAST_RECEIVED = struct.Struct("=52xI")


def unread_for(sock: socket.socket) -> float:
    """Seconds since this TCP socket last received data, whether that was read or not; 0 if unknown.

    The kernel's resolution is a few milliseconds.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_RECEIVED.size)
    except OSError:
        return 0.0
    milliseconds: int = (
        TCP_INFO_LAST_RECEIVED.unpack(info)[0] if len(info) == TCP_INFO_LAST_RECEIVED.size else 0
    )
    return milliseconds / 1000


def monotonic_reactor() -> Any:
    """Twisted's reactor on the monotonic clock, as the system time may be set while the program runs.

    It gets three attributes. `looked`: the times of the previous poll of the sockets and of the current one;
    data read now arrived after the former. `around`: a context manager entered for each poll, which the
    program may set. `unread_for`: the function of this module.
    """
    from twisted.internet import reactor as twisted_reactor

    reactor: Any = twisted_reactor
    reactor.seconds = time.monotonic
    iterate, reactor.looked, reactor.around = reactor.doIteration, (time.monotonic(),) * 2, nullcontext

    def poll(delay: float) -> None:
        reactor.looked = reactor.looked[1], time.monotonic()
        with reactor.around():
            iterate(delay)

    reactor.doIteration, reactor.unread_for = poll, unread_for
    return reactor


def run(reactor: Any, begin: Callable[[], None], signals: Mapping[int, Callable[[], None]]) -> None:
    """Run until the reactor is stopped; each signal calls its handler in the reactor's thread.

    `begin`, which starts to listen, is called only once the reactor runs. A connection accepted before that
    would wait until the process is ready, while a refused client can go to another dispatcher at once. After
    a crash, clients reconnect to the address within seconds; on a slow core that is long before the process
    is ready.
    """
    # Objects that exist at the start are never garbage, and RPCs leave no reference cycles. Full collections
    # find next to nothing, but each delays all RPCs by tens of milliseconds. So they are made rare.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    for number, call in signals.items():
        signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))
    reactor.callWhenRunning(reactor.callLater, START_DELAY, begin)
    reactor.run(installSignalHandlers=False)
