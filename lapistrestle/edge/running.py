"""Runs a program's reactor until it is stopped: its clock, its signals, its garbage."""

import gc
import signal
import socket
import struct
import time
from collections.abc import Callable, Mapping
from contextlib import nullcontext
from typing import Any

SETTLE = 0.02  # seconds between the reactor's first turn and the program's beginning
LAST_RECEIVED = struct.Struct("=52xI")  # of the kernel's tcp_info: milliseconds since the last bytes came


def unread_for(sock: socket.socket) -> float:
    """Seconds since the last bytes reached this TCP socket, read or not, to the kernel's some milliseconds; 0
    where the kernel does not tell."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED.size)
    except OSError:
        return 0.0
    milliseconds: int = LAST_RECEIVED.unpack(told)[0] if len(told) == LAST_RECEIVED.size else 0
    return milliseconds / 1000


def reactor_of_now() -> Any:
    """Twisted's reactor on the monotonic clock: the machine's time may be set while we run. `looked`: when it
    last turned to its sockets before this time, and this time; what is read now came after the former.
    `around` is entered for each such look, by whoever sets it. `unread_for`: how long ago a socket's last
    bytes came."""
    from twisted.internet import reactor

    made: Any = reactor
    made.seconds = time.monotonic
    iterate, made.looked, made.around = made.doIteration, (time.monotonic(),) * 2, nullcontext

    def look(delay: float) -> None:
        made.looked = made.looked[1], time.monotonic()
        with made.around():
            iterate(delay)

    made.doIteration, made.unread_for = look, unread_for
    return made


def run(reactor: Any, begin: Callable[[], None], signals: Mapping[int, Callable[[], None]]) -> None:
    """Run until the reactor is stopped; each signal calls what belongs to it, in the reactor's turn.

    It begins, and listens, only once the start is paid for: what a socket takes before that waits for as long
    as the start still lasts, where its sender could have gone elsewhere at once. One that was killed is asked
    again under its address within seconds, on a slow core long before it is ready."""
    # What stands at the start is never garbage, and an RPC leaves no cycle behind: full collections find
    # next to nothing, yet each holds every RPC up for tens of milliseconds. They still come, but rarely.
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    for number, call in signals.items():
        signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))
    reactor.callWhenRunning(reactor.callLater, SETTLE, begin)
    reactor.run(installSignalHandlers=False)
