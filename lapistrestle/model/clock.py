"""Simulated time over simpy, with the part of Twisted's reactor interface that edges and stand-ins use.

Time is in whole microseconds, so sums of delays are exact and the same on any machine. Calls that are due at
the same time run in the order in which they were scheduled.
"""

from collections.abc import Callable
from typing import Any

import simpy
from simpy.events import NORMAL, Event

START_US = 1_000_000_000  # microseconds; well above 0, so that times before the start of a day are positive


class ScheduledCall(Event):
    """A scheduled call, which may be cancelled; the counterpart of Twisted's DelayedCall."""

    def __init__(self, env: simpy.Environment, delay: int, call: Callable[..., Any], args: Any) -> None:
        self.env, self.callbacks = env, [self.fire]
        self._ok, self._value = True, None
        self.call, self.args, self.done = call, args, False
        env.schedule(self, NORMAL, delay)

    def fire(self, _: Event) -> None:
        if not self.done:
            self.done = True
            self.call(*self.args)

    def active(self) -> bool:
        return not self.done

    def cancel(self) -> None:
        self.done, self.args = True, ()


class ListeningPort:
    """The result of `Clock.listenTCP`: nothing listens, but the number identifies the one that would."""

    def __init__(self, number: int) -> None:
        self.port = number

    def getHost(self) -> "ListeningPort":
        return self

    def stopListening(self) -> None: ...


class Clock:
    """A reactor without sockets, whose time is that of the simulation."""

    def __init__(self) -> None:
        self.env = simpy.Environment(START_US)
        self.last_port = 0

    def seconds(self) -> float:
        return float(self.env.now) / 1e6

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> ScheduledCall:
        """Schedule a call after a delay in seconds, which is rounded up to whole microseconds."""
        return ScheduledCall(self.env, max(0, -int(-delay * 1e6 // 1)), call, args)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> ListeningPort:
        """Return a port with this number; 0: the next number that was not assigned yet."""
        self.last_port += not port
        return ListeningPort(port or self.last_port)

    def listenUDP(self, port: int, protocol: Any, interface: str = "") -> None:
        """Does nothing: edges of the model exchange gossip without datagrams."""

    def run(self, seconds: float) -> None:
        """Run all calls that are due within this time, and advance the time by it."""
        self.env.run(self.env.now + round(seconds * 1e6))
