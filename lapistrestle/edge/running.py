"""Runs a program's reactor until it is stopped: its clock, its signals, its garbage."""

import gc
import signal
import time
from collections.abc import Callable, Mapping
from typing import Any


def reactor_of_now() -> Any:
    """Twisted's reactor on the monotonic clock: the machine's time may be set while we run."""
    from twisted.internet import reactor

    made: Any = reactor
    made.seconds = time.monotonic
    return made


def run(reactor: Any, begin: Callable[[], None], signals: Mapping[int, Callable[[], None]]) -> None:
    """Run until the reactor is stopped; each signal calls what belongs to it, in the reactor's turn."""
    # What stands at the start is never garbage, and an RPC leaves no cycle behind: full collections find
    # next to nothing, yet each holds every RPC up for tens of milliseconds. They still come, but rarely.
    gc.freeze()
    gc.set_threshold(50_000, 20, 100)
    for number, call in signals.items():
        signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
